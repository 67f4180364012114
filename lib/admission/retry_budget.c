#include "lib/admission/retry_budget.h"

#define CREDIT_PER_RETRY 100
/* Reserved for the most urgent priority. */
#define CREDIT_RESERVED (CREDIT_PER_RETRY / 2)

void retry_budget_init(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
	budget->credit = 0;
	budget->capacity = RETRY_BUDGET_CAPACITY_DEFAULT * CREDIT_PER_RETRY;
}

void retry_budget_set_percent(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
}

void retry_budget_set_capacity(retry_budget_t *budget, guint hundredths)
{
	budget->capacity = MAX(hundredths, CREDIT_PER_RETRY);
	budget->credit = MIN(budget->credit, budget->capacity);
}

void retry_budget_earn(retry_budget_t *budget)
{
	budget->credit =
		MIN(budget->credit + budget->percent, budget->capacity);
}

gboolean retry_budget_has_credit(const retry_budget_t *budget)
{
	return budget->credit >= CREDIT_PER_RETRY;
}

gboolean retry_budget_has_unreserved_credit(const retry_budget_t *budget)
{
	guint reserved =
		MIN(CREDIT_RESERVED, budget->capacity - CREDIT_PER_RETRY);

	return budget->credit >= CREDIT_PER_RETRY + reserved;
}

void retry_budget_spend(retry_budget_t *budget)
{
	g_assert(retry_budget_has_credit(budget));
	budget->credit -= CREDIT_PER_RETRY;
}
