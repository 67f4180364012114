#include "lib/admission/retry_budget.h"

#define CREDIT_OF_RETRY 100

void retry_budget_init(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
	budget->credit = 0;
	budget->saved_max = RETRY_BUDGET_SAVED_MAX;
}

void retry_budget_set_percent(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
}

void retry_budget_set_saved(retry_budget_t *budget, guint retries)
{
	budget->saved_max = retries;
	budget->credit = MIN(budget->credit, retries * CREDIT_OF_RETRY);
}

void retry_budget_earn(retry_budget_t *budget)
{
	budget->credit = MIN(budget->credit + budget->percent,
			     budget->saved_max * CREDIT_OF_RETRY);
}

gboolean retry_budget_has_room(const retry_budget_t *budget)
{
	return budget->credit >= CREDIT_OF_RETRY;
}

void retry_budget_spend(retry_budget_t *budget)
{
	g_assert(retry_budget_has_room(budget));
	budget->credit -= CREDIT_OF_RETRY;
}
