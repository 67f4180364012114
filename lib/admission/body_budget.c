#include "lib/admission/body_budget.h"

/* Percentage of the budget for all large bodies together. */
#define LARGE_PERCENT 75

void body_budget_init(body_budget_t *budget, gsize max)
{
	*budget = (body_budget_t){ .max = max };
}

static gboolean is_large(gsize bytes)
{
	return bytes > BODY_SMALL_BYTES_MAX;
}

static gsize *class_of(body_budget_t *budget, gsize bytes)
{
	return is_large(bytes) ? &budget->large : &budget->small;
}

static gboolean has_room(const body_budget_t *budget, gsize bytes)
{
	if (bytes > budget->max)
		return FALSE;
	if (is_large(bytes))
		return !budget->large ||
		       budget->large + bytes <=
			       budget->max / 100 * LARGE_PERCENT;
	/* A large body may exceed its part alone; small ones keep theirs. */
	return budget->small + bytes <=
	       budget->max -
		       MIN(budget->large, budget->max / 100 * LARGE_PERCENT);
}

gboolean body_budget_resize(body_budget_t *budget, gsize *held, gsize bytes)
{
	*class_of(budget, *held) -= *held;
	if (bytes > *held && !has_room(budget, bytes)) {
		*class_of(budget, *held) += *held;
		return FALSE;
	}
	*class_of(budget, bytes) += bytes;
	*held = bytes;
	return TRUE;
}

gsize body_budget_used(const body_budget_t *budget)
{
	return budget->small + budget->large;
}
