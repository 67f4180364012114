/*
 * Strict priority with floors: each priority earns credit for its minimum share
 * of dispatches and goes first once it has the credit for one.
 */
#include "lib/admission/moving_rate.h"
#include "lib/admission/policy.h"

/* Floors are percentages, so credit is counted in hundredths of a dispatch. */
#define CREDIT_PER_DISPATCH 100
#define CREDIT_MAX_WAITING (2 * CREDIT_PER_DISPATCH)
/* After idling a priority may start one call ahead of others, but not more. */
#define CREDIT_MAX_IDLE CREDIT_PER_DISPATCH
/* Attempts in a burst, as a multiple of the limit. */
#define BURST_FACTOR 2

typedef struct {
	guint credit[SCHEMA_PRIORITIES_MAX];
	moving_rate_t starts[SCHEMA_PRIORITIES_MAX];
} priority_policy_t;

static gboolean has_dispatch_credit(const priority_policy_t *policy,
				    guint priority)
{
	return policy->credit[priority] >= CREDIT_PER_DISPATCH;
}

/*
 * Attempts of less urgent priorities do not count, as they must not delay this
 * one. While such attempts are in flight, this priority may exceed the limit in
 * a burst: less urgent calls start again only when the total is below the
 * limit. Without the burst, a limit of three attempts per entry would delay
 * calls at half of the capacity.
 */
static gboolean is_below_limit(const admission_state_t *state, guint priority)
{
	double limit = state->limit;
	guint ahead = 0;
	guint i;

	for (i = 0; i <= priority; i++)
		ahead += state->in_flight[i];
	if (state->in_flight_total > ahead)
		limit *= BURST_FACTOR;
	return ahead + 1 <= limit;
}

/* A priority with credit for a dispatch goes first and may exceed the limit. */
static admission_item_t *priority_next(void *ctx,
				       const admission_state_t *state)
{
	const priority_policy_t *policy = ctx;
	admission_item_t *chosen = NULL;
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++) {
		if (!state->lanes[i].length)
			continue;
		if (has_dispatch_credit(policy, i))
			return lane_next(&state->lanes[i]);
		if (!chosen && is_below_limit(state, i))
			chosen = lane_next(&state->lanes[i]);
	}
	return chosen;
}

static void add_credit(priority_policy_t *policy,
		       const admission_state_t *state, guint priority)
{
	guint max = state->lanes[priority].length ? CREDIT_MAX_WAITING :
						    CREDIT_MAX_IDLE;
	guint credit =
		policy->credit[priority] + state->floor_percent[priority];

	policy->credit[priority] = MIN(credit, max);
}

static void priority_started(void *ctx, const admission_state_t *state,
			     guint priority, GTimeSpan now)
{
	priority_policy_t *policy = ctx;
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		add_credit(policy, state, i);
	policy->credit[priority] -=
		MIN(policy->credit[priority], CREDIT_PER_DISPATCH);
	moving_rate_add(&policy->starts[priority], now);
}

/* A refused dispatch does not count towards the floor: returns its credit. */
static void priority_refused(void *ctx, guint priority)
{
	priority_policy_t *policy = ctx;

	policy->credit[priority] =
		MIN(policy->credit[priority] + CREDIT_PER_DISPATCH,
		    CREDIT_MAX_WAITING);
}

static gboolean is_above_floor(const admission_state_t *state, guint priority)
{
	return state->lanes[priority].length * 100 >
	       state->floor_percent[priority] * state->queue_max;
}

/*
 * Displaces the newest call of the least urgent priority that exceeds its floor
 * of queue places, if the new call is more urgent or its own priority is below
 * its floor.
 */
static admission_item_t *
priority_displace(void *ctx, const admission_state_t *state, guint priority)
{
	gboolean below_floor =
		(state->lanes[priority].length + 1) * 100 <=
		state->floor_percent[priority] * state->queue_max;
	guint i;

	(void)ctx;
	for (i = SCHEMA_PRIORITIES_MAX; i-- > 0;) {
		if (i == priority || !is_above_floor(state, i))
			continue;
		if (i > priority || below_floor)
			return lane_newest(&state->lanes[i]);
	}
	return NULL;
}

/* Dispatches per second of less urgent priorities within their floors. */
static double lower_floors_rate(const priority_policy_t *policy,
				const admission_state_t *state, guint priority,
				double rate, GTimeSpan now)
{
	double sum = 0;
	guint i;

	for (i = priority + 1; i < SCHEMA_PRIORITIES_MAX; i++)
		sum += MIN(moving_rate_per_second(&policy->starts[i], now),
			   rate * state->floor_percent[i] / 100);
	return sum;
}

static double priority_expected_wait(void *ctx, const admission_state_t *state,
				     guint priority, double rate, GTimeSpan now)
{
	const priority_policy_t *policy = ctx;
	double own = state->lanes[priority].length;
	double floor_rate = rate * state->floor_percent[priority] / 100;
	double available =
		rate - lower_floors_rate(policy, state, priority, rate, now);
	double wait = G_MAXINT32;
	double ahead = own;
	guint i;

	for (i = 0; i < priority; i++) {
		ahead += state->lanes[i].length;
		available -= moving_rate_per_second(&policy->starts[i], now);
	}
	if (ahead == 0)
		return 0;
	if (available > 0)
		wait = ahead / available;
	if (floor_rate > 0)
		wait = MIN(wait, own / floor_rate);
	return wait;
}

admission_policy_ops_t admission_policy_priority(void)
{
	return (admission_policy_ops_t){ .next = priority_next,
					 .started = priority_started,
					 .refused = priority_refused,
					 .displace = priority_displace,
					 .expected_wait =
						 priority_expected_wait,
					 .free = g_free,
					 .ctx = g_new0(priority_policy_t, 1) };
}
