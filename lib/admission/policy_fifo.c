/* First in, first out for all priorities and callers. */
#include "lib/admission/policy.h"

static admission_item_t *fifo_next(void *ctx, const admission_state_t *state)
{
	admission_item_t *item, *oldest = NULL;
	guint i;

	(void)ctx;
	if (state->in_flight_total + 1 > state->limit)
		return NULL;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++) {
		item = TAILQ_FIRST(&state->lanes[i].arrivals);
		if (item && (!oldest || item->arrival < oldest->arrival))
			oldest = item;
	}
	return oldest;
}

static void fifo_started(void *ctx, const admission_state_t *state,
			 guint priority, GTimeSpan now)
{
	(void)ctx;
	(void)state;
	(void)priority;
	(void)now;
}

static void fifo_refused(void *ctx, guint priority)
{
	(void)ctx;
	(void)priority;
}

static admission_item_t *
fifo_displace(void *ctx, const admission_state_t *state, guint priority)
{
	(void)ctx;
	(void)state;
	(void)priority;
	return NULL;
}

static double fifo_expected_wait(void *ctx, const admission_state_t *state,
				 guint priority, double rate, GTimeSpan now)
{
	(void)ctx;
	(void)priority;
	(void)now;
	return state->waiting / rate;
}

static void fifo_free(void *ctx)
{
	(void)ctx;
}

admission_policy_ops_t admission_policy_fifo(void)
{
	return (admission_policy_ops_t){ .next = fifo_next,
					 .started = fifo_started,
					 .refused = fifo_refused,
					 .displace = fifo_displace,
					 .expected_wait = fifo_expected_wait,
					 .free = fifo_free };
}
