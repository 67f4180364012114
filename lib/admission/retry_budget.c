#include "lib/admission/retry_budget.h"

#define CREDIT_OF_RETRY 100
/* Kept for the most urgent calls. */
#define CREDIT_RESERVED (CREDIT_OF_RETRY / 2)

void retry_budget_init(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
	budget->credit = 0;
	budget->credit_max = RETRY_BUDGET_CAPACITY_DEFAULT * CREDIT_OF_RETRY;
}

void retry_budget_set_percent(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
}

void retry_budget_set_capacity(retry_budget_t *budget, guint hundredths)
{
	budget->credit_max = MAX(hundredths, CREDIT_OF_RETRY);
	budget->credit = MIN(budget->credit, budget->credit_max);
}

void retry_budget_earn(retry_budget_t *budget)
{
	budget->credit =
		MIN(budget->credit + budget->percent, budget->credit_max);
}

gboolean retry_budget_has_credit(const retry_budget_t *budget)
{
	return budget->credit >= CREDIT_OF_RETRY;
}

gboolean retry_budget_has_unreserved_credit(const retry_budget_t *budget)
{
	guint reserved =
		MIN(CREDIT_RESERVED, budget->credit_max - CREDIT_OF_RETRY);

	return budget->credit >= CREDIT_OF_RETRY + reserved;
}

void retry_budget_spend(retry_budget_t *budget)
{
	g_assert(retry_budget_has_credit(budget));
	budget->credit -= CREDIT_OF_RETRY;
}
