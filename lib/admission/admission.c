#include "lib/admission/admission.h"

#include "lib/admission/concurrency_limit.h"
#include "lib/admission/moving_rate.h"
#include "lib/admission/policy.h"

/* Weight of a new latency in the moving average. */
#define LATENCY_WEIGHT 0.1
/*
 * A call is expected to need the mean latency plus this many mean deviations.
 * With the mean alone, a fifth of the calls that a flood has delayed are
 * started and then cancelled at their deadline.
 */
#define LATENCY_DEVIATIONS 2

/* Callers should neither retry continually nor stay away after a flood. */
#define RETRY_AFTER_MIN (1 * G_TIME_SPAN_MILLISECOND)
#define RETRY_AFTER_MAX (30 * G_TIME_SPAN_SECOND)

struct admission {
	admission_limits_t limits;
	counters_t *counters;
	admission_state_t state;
	admission_policy_ops_t policy;
	concurrency_limit_t concurrency;
	moving_rate_t completions;
	fair_share_t *fair_share;
	double mean_latency; /* moving average in microseconds, 0 for none */
	double mean_deviation; /* moving average of the deviation from it */
	gboolean limit_is_fixed;
	guint64 next_arrival;
};

static admission_policy_ops_t create_policy(admission_policy_t policy)
{
	return policy == ADMISSION_FIFO ? admission_policy_fifo() :
					  admission_policy_priority();
}

admission_t *admission_new(const admission_limits_t *limits,
			   counters_t *counters)
{
	admission_t *admission = g_new0(admission_t, 1);
	guint i;

	g_assert(limits->queue_max >= 1);
	admission->limits = *limits;
	admission->counters = counters;
	admission->policy = create_policy(limits->policy);
	admission->state.queue_max = limits->queue_max;
	admission->fair_share = fair_share_new();
	concurrency_limit_init(&admission->concurrency);
	admission->state.limit = admission->concurrency.limit;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		lane_init(&admission->state.lanes[i]);
	return admission;
}

void admission_free(admission_t *admission)
{
	guint i;

	if (!admission)
		return;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		lane_clear(&admission->state.lanes[i]);
	admission->policy.free(admission->policy.ctx);
	fair_share_free(admission->fair_share);
	g_free(admission);
}

void admission_set_fixed_limit(admission_t *admission, guint attempts)
{
	g_assert(attempts >= 1);
	admission->limit_is_fixed = TRUE;
	admission->state.limit = attempts;
}

void admission_configure(admission_t *admission, const schema_t *schema)
{
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		admission->state.floor_percent[i] =
			i < schema->priority_count ?
				schema->priorities[i].floor_percent :
				0;
}

/*
 * The rate of completions underestimates the capacity of a service that was
 * idle. The attempts in flight over their mean latency (Little's law) show it
 * as soon as calls wait. While none is in flight, one at a time is assumed: the
 * waiting calls may only wait for load reports.
 */
double admission_drain_rate(const admission_t *admission, GTimeSpan now)
{
	double completed = moving_rate_per_second(&admission->completions, now);
	double possible = 0;

	if (admission->mean_latency > 0)
		possible = MAX(admission->state.in_flight_total, 1) *
			   (double)G_TIME_SPAN_SECOND / admission->mean_latency;
	return MAX(completed, possible);
}

/* Estimated time until a new call starts, 0 for unknown. */
static GTimeSpan expected_wait(const admission_t *admission, guint priority,
			       GTimeSpan now)
{
	const admission_state_t *state = &admission->state;
	double rate = admission_drain_rate(admission, now);
	double seconds;

	if (state->waiting == 0 || rate <= 0)
		return 0;
	seconds = admission->policy.expected_wait(admission->policy.ctx, state,
						  priority, rate, now);
	return (GTimeSpan)(MIN(seconds, G_MAXINT32) * G_TIME_SPAN_SECOND);
}

static void set_retry_after(catk_error_t *err, GTimeSpan wait)
{
	if (err)
		err->retry_after =
			CLAMP(wait, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
}

static void set_queue_full(catk_error_t *err, GTimeSpan wait, guint waiting)
{
	catk_error_set(err, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "the queue is full with %u waiting calls: retry after "
		       "the given time",
		       waiting);
	set_retry_after(err, wait);
}

static void set_share_exceeded(catk_error_t *err, GTimeSpan wait,
			       const char *caller)
{
	catk_error_set(err, CATK_RATE_LIMITED, OUTCOME_NOT_RUN,
		       "caller \"%.64s\" exceeds its share of the queue: send "
		       "fewer concurrent calls",
		       caller);
	set_retry_after(err, wait);
}

static gboolean can_finish(const admission_t *admission,
			   const admission_item_t *item, GTimeSpan start)
{
	double needed = admission->mean_latency +
			LATENCY_DEVIATIONS * admission->mean_deviation;

	if (admission->state.in_flight_total == 0)
		return TRUE;
	return start + (GTimeSpan)needed <= item->deadline;
}

static void set_deadline_unreachable(catk_error_t *err, GTimeSpan wait)
{
	catk_error_set(err, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "the call is not expected to finish before its "
		       "deadline: retry after the given time or with a later "
		       "deadline");
	set_retry_after(err, wait);
}

gboolean admission_can_finish(const admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err)
{
	if (can_finish(admission, item, now))
		return TRUE;
	set_deadline_unreachable(err,
				 expected_wait(admission, item->priority, now));
	return FALSE;
}

static guint caller_share(const admission_t *admission)
{
	guint share = admission->limits.queue_max *
		      admission->limits.caller_share_percent / 100;

	return MAX(share, 1);
}

/* The share of a caller is enforced only while other callers wait too. */
static gboolean is_over_share(const admission_t *admission,
			      const admission_item_t *item)
{
	const admission_lane_t *lane = &admission->state.lanes[item->priority];
	guint own = lane_caller_length(lane, item->caller);

	return own >= caller_share(admission) && lane->length > own;
}

static void unlink_item(admission_t *admission, admission_item_t *item)
{
	admission->state.waiting--;
	lane_remove(item->lane, item);
}

/* Displaces a call of a caller that exceeded its share while it was alone. */
static admission_item_t *displace_over_share(admission_t *admission,
					     const admission_item_t *arrival,
					     GTimeSpan wait, catk_error_t *err)
{
	const admission_lane_t *lane =
		&admission->state.lanes[arrival->priority];
	admission_item_t *item = lane_last_of_longest_caller(lane);
	guint share = caller_share(admission);

	if (!item || item->lane_caller->length <= share ||
	    g_str_equal(item->caller, arrival->caller))
		return NULL;
	set_share_exceeded(err, wait, item->caller);
	unlink_item(admission, item);
	return item;
}

static admission_item_t *displace(admission_t *admission,
				  const admission_item_t *arrival,
				  GTimeSpan now, catk_error_t *err)
{
	GTimeSpan wait = expected_wait(admission, arrival->priority, now);
	admission_item_t *item =
		displace_over_share(admission, arrival, wait, err);

	if (item)
		return item;
	item = admission->policy.displace(admission->policy.ctx,
					  &admission->state, arrival->priority);
	if (!item)
		return NULL;
	set_queue_full(err, expected_wait(admission, item->priority, now),
		       admission->state.waiting);
	unlink_item(admission, item);
	return item;
}

static gboolean make_room(admission_t *admission, admission_item_t *item,
			  GTimeSpan now, admission_item_t **displaced,
			  catk_error_t *err)
{
	if (admission->state.waiting < admission->limits.queue_max)
		return TRUE;
	*displaced = displace(admission, item, now, err);
	if (*displaced)
		return TRUE;
	set_queue_full(err, expected_wait(admission, item->priority, now),
		       admission->state.waiting);
	return FALSE;
}

static void set_over_fair_share(catk_error_t *err, GTimeSpan wait,
				const char *organisation)
{
	catk_error_set(
		err, CATK_RATE_LIMITED, OUTCOME_NOT_RUN,
		"capacity is short and organisation \"%.64s\" exceeds its "
		"share: retry after the given time",
		organisation);
	set_retry_after(err, wait);
}

static gboolean is_acceptable(admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err)
{
	GTimeSpan wait;

	if (now >= item->deadline) {
		catk_error_set(err, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the deadline passed before the call was "
			       "queued: retry with a later deadline");
		return FALSE;
	}
	wait = expected_wait(admission, item->priority, now);
	if (item->has_share &&
	    !fair_share_admit(admission->fair_share, item->caller,
			      item->share_weight, now)) {
		set_over_fair_share(err, wait, item->caller);
		return FALSE;
	}
	if (is_over_share(admission, item)) {
		set_share_exceeded(err, wait, item->caller);
		return FALSE;
	}
	if ((item->latest_start && now + wait > item->latest_start) ||
	    !can_finish(admission, item, now + wait)) {
		admission_no_capacity(admission, item, now);
		set_deadline_unreachable(err, wait);
		return FALSE;
	}
	return TRUE;
}

gboolean admission_offer(admission_t *admission, admission_item_t *item,
			 GTimeSpan now, admission_item_t **displaced,
			 catk_error_t *err)
{
	g_assert(item->priority < SCHEMA_PRIORITIES_MAX);
	*displaced = NULL;
	if (!is_acceptable(admission, item, now, err))
		return FALSE;
	if (!make_room(admission, item, now, displaced, err)) {
		admission_no_capacity(admission, item, now);
		return FALSE;
	}
	if (*displaced)
		admission_no_capacity(admission, *displaced, now);
	item->arrival = admission->next_arrival++;
	lane_add(&admission->state.lanes[item->priority], item);
	admission->state.waiting++;
	return TRUE;
}

admission_item_t *admission_next(admission_t *admission, GTimeSpan now)
{
	admission_item_t *item = admission->policy.next(admission->policy.ctx,
							&admission->state);

	(void)now;
	if (!item)
		return NULL;
	lane_dequeue(item->lane, item);
	admission->state.waiting--;
	return item;
}

void admission_no_capacity(admission_t *admission, const admission_item_t *item,
			   GTimeSpan now)
{
	if (item->has_share && !item->share_counted)
		fair_share_no_capacity(admission->fair_share, now);
}

void admission_attempt_started(admission_t *admission, admission_item_t *item,
			       GTimeSpan now)
{
	if (item->has_share && !item->share_counted)
		fair_share_started(admission->fair_share, now);
	item->share_counted = TRUE;
	admission->state.in_flight[item->priority]++;
	admission->state.in_flight_total++;
	admission->policy.started(admission->policy.ctx, &admission->state,
				  item->priority, now);
}

static void record_answer(admission_t *admission, GTimeSpan latency,
			  GTimeSpan now)
{
	double sample = (double)MAX(latency, 1);
	double distance;

	moving_rate_add(&admission->completions, now);
	if (admission->mean_latency == 0)
		admission->mean_latency = sample;
	distance = ABS(sample - admission->mean_latency);
	admission->mean_latency +=
		LATENCY_WEIGHT * (sample - admission->mean_latency);
	admission->mean_deviation +=
		LATENCY_WEIGHT * (distance - admission->mean_deviation);
}

static void update_limit(admission_t *admission, admission_end_t end,
			 double load)
{
	concurrency_limit_t *concurrency = &admission->concurrency;

	if (admission->limit_is_fixed)
		return;
	if (end == ADMISSION_REFUSED)
		concurrency_limit_refused(concurrency);
	else if (end == ADMISSION_ANSWERED)
		concurrency_limit_answered(concurrency, load,
					   admission->state.in_flight_total);
	admission->state.limit = concurrency->limit;
}

void admission_attempt_ended(admission_t *admission,
			     const admission_item_t *item, admission_end_t end,
			     double load, GTimeSpan latency, GTimeSpan now)
{
	g_assert(admission->state.in_flight[item->priority] > 0);
	if (end == ADMISSION_ANSWERED)
		record_answer(admission, latency, now);
	else if (end == ADMISSION_REFUSED)
		admission->policy.refused(admission->policy.ctx,
					  item->priority);
	update_limit(admission, end, load);
	admission->state.in_flight[item->priority]--;
	admission->state.in_flight_total--;
}

void admission_requeue(admission_t *admission, admission_item_t *item)
{
	lane_requeue(&admission->state.lanes[item->priority], item);
	admission->state.waiting++;
}

void admission_remove(admission_t *admission, admission_item_t *item)
{
	if (item->lane)
		unlink_item(admission, item);
}

guint admission_waiting(const admission_t *admission)
{
	return admission->state.waiting;
}

guint admission_waiting_of_priority(const admission_t *admission,
				    guint priority)
{
	g_assert(priority < SCHEMA_PRIORITIES_MAX);
	return admission->state.lanes[priority].length;
}

const fair_share_t *admission_fair_share(const admission_t *admission)
{
	return admission->fair_share;
}

double admission_limit(const admission_t *admission)
{
	return admission->state.limit;
}
