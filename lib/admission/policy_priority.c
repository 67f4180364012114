/* Strict priority with floors. */
#include "lib/admission/moving_rate.h"
#include "lib/admission/policy.h"

/* Credit is in hundredths of a dispatch, so that floors add up exactly. */
#define CREDIT_OF_DISPATCH 100
#define CREDIT_MAX_WAITING (2 * CREDIT_OF_DISPATCH)
/* After idleness a priority may start one call ahead of others, not more. */
#define CREDIT_MAX_IDLE CREDIT_OF_DISPATCH
/* Attempts of a burst, over the limit. */
#define BURST_FACTOR 2

typedef struct {
	guint credit[SCHEMA_PRIORITIES_MAX];
	moving_rate_t starts[SCHEMA_PRIORITIES_MAX];
} priority_policy_t;

static gboolean is_owed(const priority_policy_t *policy, guint priority)
{
	return policy->credit[priority] >= CREDIT_OF_DISPATCH;
}

/*
 * Calls less urgent than this one do not count: they must not delay it. While
 * there are such calls in flight, a burst may exceed the limit, since the next
 * of them starts only when the total is below the limit again. Without that,
 * three attempts in flight of each entry delay a load of half the capacity.
 */
static gboolean has_room(const admission_view_t *view, guint priority)
{
	double limit = view->limit;
	guint ahead = 0;
	guint i;

	for (i = 0; i <= priority; i++)
		ahead += view->in_flight[i];
	if (view->in_flight_total > ahead)
		limit *= BURST_FACTOR;
	return ahead + 1 <= limit;
}

/* A priority that is owed a dispatch goes first, and beyond the limit. */
static admission_item_t *priority_next(void *ctx, const admission_view_t *view)
{
	const priority_policy_t *policy = ctx;
	admission_item_t *chosen = NULL;
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++) {
		if (!view->lanes[i].length)
			continue;
		if (is_owed(policy, i))
			return lane_next(&view->lanes[i]);
		if (!chosen && has_room(view, i))
			chosen = lane_next(&view->lanes[i]);
	}
	return chosen;
}

static void add_credit(priority_policy_t *policy, const admission_view_t *view,
		       guint priority)
{
	guint max = view->lanes[priority].length ? CREDIT_MAX_WAITING :
						   CREDIT_MAX_IDLE;
	guint credit = policy->credit[priority] + view->floor_percent[priority];

	policy->credit[priority] = MIN(credit, max);
}

static void priority_started(void *ctx, const admission_view_t *view,
			     guint priority, GTimeSpan now)
{
	priority_policy_t *policy = ctx;
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		add_credit(policy, view, i);
	policy->credit[priority] -=
		MIN(policy->credit[priority], CREDIT_OF_DISPATCH);
	moving_rate_add(&policy->starts[priority], now);
}

/* A dispatch that the upstream refused is not one that the floor promised. */
static void priority_refused(void *ctx, guint priority)
{
	priority_policy_t *policy = ctx;

	policy->credit[priority] =
		MIN(policy->credit[priority] + CREDIT_OF_DISPATCH,
		    CREDIT_MAX_WAITING);
}

static gboolean is_above_floor(const admission_view_t *view, guint priority)
{
	return view->lanes[priority].length * 100 >
	       view->floor_percent[priority] * view->queue_max;
}

/*
 * The newest call of the least urgent priority above its floor, for an arrival
 * that is more urgent, or whose own priority has less than its floor.
 */
static admission_item_t *
priority_displace(void *ctx, const admission_view_t *view, guint priority)
{
	gboolean owed = (view->lanes[priority].length + 1) * 100 <=
			view->floor_percent[priority] * view->queue_max;
	guint i;

	(void)ctx;
	for (i = SCHEMA_PRIORITIES_MAX; i-- > 0;) {
		if (i == priority || !is_above_floor(view, i))
			continue;
		if (i > priority || owed)
			return lane_newest(&view->lanes[i]);
	}
	return NULL;
}

/* Calls per second that less urgent priorities take within their floors. */
static double owed_rate(const priority_policy_t *policy,
			const admission_view_t *view, guint priority,
			double rate, GTimeSpan now)
{
	double owed = 0;
	guint i;

	for (i = priority + 1; i < SCHEMA_PRIORITIES_MAX; i++)
		owed += MIN(moving_rate_per_second(&policy->starts[i], now),
			    rate * view->floor_percent[i] / 100);
	return owed;
}

static double priority_wait(void *ctx, const admission_view_t *view,
			    guint priority, double rate, GTimeSpan now)
{
	const priority_policy_t *policy = ctx;
	double own = view->lanes[priority].length;
	double floor_rate = rate * view->floor_percent[priority] / 100;
	double left = rate - owed_rate(policy, view, priority, rate, now);
	double wait = G_MAXINT32;
	double ahead = own;
	guint i;

	for (i = 0; i < priority; i++) {
		ahead += view->lanes[i].length;
		left -= moving_rate_per_second(&policy->starts[i], now);
	}
	if (ahead == 0)
		return 0;
	if (left > 0)
		wait = ahead / left;
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
					 .wait = priority_wait,
					 .free = g_free,
					 .ctx = g_new0(priority_policy_t, 1) };
}
