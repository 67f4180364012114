#include "lib/admission/retry_budget.h"

#define TOKENS_PER_RETRY 100
/* Reserved for the most urgent priority. */
#define TOKENS_RESERVED (TOKENS_PER_RETRY / 2)

void retry_budget_init(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
	budget->tokens = 0;
	budget->capacity = RETRY_BUDGET_CAPACITY_DEFAULT * TOKENS_PER_RETRY;
}

void retry_budget_set_percent(retry_budget_t *budget, guint percent)
{
	g_assert(percent <= 100);
	budget->percent = percent;
}

void retry_budget_set_capacity(retry_budget_t *budget, guint tokens)
{
	budget->capacity = MAX(tokens, TOKENS_PER_RETRY);
	budget->tokens = MIN(budget->tokens, budget->capacity);
}

void retry_budget_fill(retry_budget_t *budget)
{
	budget->tokens =
		MIN(budget->tokens + budget->percent, budget->capacity);
}

gboolean retry_budget_has_tokens(const retry_budget_t *budget)
{
	return budget->tokens >= TOKENS_PER_RETRY;
}

gboolean retry_budget_has_unreserved_tokens(const retry_budget_t *budget)
{
	guint reserved =
		MIN(TOKENS_RESERVED, budget->capacity - TOKENS_PER_RETRY);

	return budget->tokens >= TOKENS_PER_RETRY + reserved;
}

void retry_budget_take(retry_budget_t *budget)
{
	g_assert(retry_budget_has_tokens(budget));
	budget->tokens -= TOKENS_PER_RETRY;
}
