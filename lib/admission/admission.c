#include "lib/admission/admission.h"

#include "lib/admission/concurrency_limit.h"
#include "lib/admission/moving_rate.h"
#include "lib/admission/policy.h"

/* Weight of a new latency in the moving average. */
#define LATENCY_WEIGHT 0.1
/*
 * Time left for an answer: the mean plus so many mean deviations. With the
 * mean alone, a fifth of the calls that a flood had delayed were started and
 * then cut at their deadline, for nothing.
 */
#define LATENCY_DEVIATIONS 2

/* A caller should neither hammer nor stay away for longer than a flood. */
#define RETRY_AFTER_MIN (1 * G_TIME_SPAN_MILLISECOND)
#define RETRY_AFTER_MAX (30 * G_TIME_SPAN_SECOND)

struct admission {
	admission_limits_t limits;
	counters_t *counters;
	admission_view_t view;
	admission_policy_ops_t policy;
	concurrency_limit_t concurrency;
	moving_rate_t completions;
	double latency; /* moving average in microseconds, 0 for none */
	double deviation; /* moving average of the distance from it */
	gboolean limit_is_fixed;
	guint64 arrivals;
};

static admission_policy_ops_t policy_of(admission_policy_t policy)
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
	admission->policy = policy_of(limits->policy);
	admission->view.queue_max = limits->queue_max;
	concurrency_limit_init(&admission->concurrency);
	admission->view.limit = admission->concurrency.limit;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		lane_init(&admission->view.lanes[i]);
	return admission;
}

void admission_free(admission_t *admission)
{
	guint i;

	if (!admission)
		return;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		lane_clear(&admission->view.lanes[i]);
	admission->policy.free(admission->policy.ctx);
	g_free(admission);
}

void admission_set_fixed_limit(admission_t *admission, guint attempts)
{
	g_assert(attempts >= 1);
	admission->limit_is_fixed = TRUE;
	admission->view.limit = attempts;
}

void admission_configure(admission_t *admission, const schema_t *schema)
{
	guint i;

	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		admission->view.floor_percent[i] =
			i < schema->priority_count ?
				schema->priorities[i].floor_percent :
				0;
}

/*
 * Completions alone underestimate an idle service; the attempts in flight
 * over their mean latency tell what it does as soon as calls wait.
 */
double admission_drain_rate(const admission_t *admission, GTimeSpan now)
{
	double completed = moving_rate_per_second(&admission->completions, now);
	double possible = 0;

	if (admission->latency > 0)
		possible = admission->view.in_flight_total *
			   (double)G_TIME_SPAN_SECOND / admission->latency;
	return MAX(completed, possible);
}

/* Time until an arrival starts, 0 when nothing is known. */
static GTimeSpan expected_wait(const admission_t *admission, guint priority,
			       GTimeSpan now)
{
	const admission_view_t *view = &admission->view;
	double rate = admission_drain_rate(admission, now);
	double seconds;

	if (view->waiting == 0 || rate <= 0)
		return 0;
	seconds = admission->policy.wait(admission->policy.ctx, view, priority,
					 rate, now);
	return (GTimeSpan)(MIN(seconds, G_MAXINT32) * G_TIME_SPAN_SECOND);
}

static void set_retry_after(catk_error_t *err, GTimeSpan wait)
{
	if (err)
		err->retry_after =
			CLAMP(wait, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
}

static void set_full(catk_error_t *err, GTimeSpan wait, guint waiting)
{
	catk_error_set(err, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "%u calls are waiting: try again after the time given",
		       waiting);
	set_retry_after(err, wait);
}

static void set_over_share(catk_error_t *err, GTimeSpan wait,
			   const char *caller)
{
	catk_error_set(err, CATK_RATE_LIMITED, OUTCOME_NOT_RUN,
		       "caller \"%.64s\" has more than its share of waiting "
		       "calls: send fewer at once",
		       caller);
	set_retry_after(err, wait);
}

static gboolean can_finish(const admission_t *admission,
			   const admission_item_t *item, GTimeSpan start)
{
	double needed =
		admission->latency + LATENCY_DEVIATIONS * admission->deviation;

	if (admission->view.in_flight_total == 0)
		return TRUE;
	return start + (GTimeSpan)needed <= item->deadline;
}

static void set_too_late(catk_error_t *err, GTimeSpan wait)
{
	catk_error_set(err, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "the call cannot finish before its deadline: try again "
		       "after the time given or with a later deadline");
	set_retry_after(err, wait);
}

gboolean admission_can_finish(const admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err)
{
	if (can_finish(admission, item, now))
		return TRUE;
	set_too_late(err, expected_wait(admission, item->priority, now));
	return FALSE;
}

static guint caller_share(const admission_t *admission)
{
	guint share = admission->limits.queue_max *
		      admission->limits.caller_share_percent / 100;

	return MAX(share, 1);
}

/* The share applies only while other callers wait too. */
static gboolean is_over_share(const admission_t *admission,
			      const admission_item_t *item)
{
	const admission_lane_t *lane = &admission->view.lanes[item->priority];
	guint own = lane_caller_length(lane, item->caller);

	return own >= caller_share(admission) && lane->length > own;
}

static void take_out(admission_t *admission, admission_item_t *item)
{
	admission->view.waiting--;
	lane_remove(item->lane, item);
}

/* Removes a call of a caller that took more than its share while alone. */
static admission_item_t *displace_over_share(admission_t *admission,
					     const admission_item_t *arrival,
					     GTimeSpan wait, catk_error_t *err)
{
	const admission_lane_t *lane =
		&admission->view.lanes[arrival->priority];
	admission_item_t *item = lane_last_of_longest(lane);
	guint share = caller_share(admission);

	if (!item || item->owner->length <= share ||
	    g_str_equal(item->caller, arrival->caller))
		return NULL;
	set_over_share(err, wait, item->caller);
	take_out(admission, item);
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
					  &admission->view, arrival->priority);
	if (!item)
		return NULL;
	set_full(err, expected_wait(admission, item->priority, now),
		 admission->view.waiting);
	take_out(admission, item);
	return item;
}

static gboolean make_room(admission_t *admission, admission_item_t *item,
			  GTimeSpan now, admission_item_t **displaced,
			  catk_error_t *err)
{
	if (admission->view.waiting < admission->limits.queue_max)
		return TRUE;
	*displaced = displace(admission, item, now, err);
	if (*displaced)
		return TRUE;
	set_full(err, expected_wait(admission, item->priority, now),
		 admission->view.waiting);
	return FALSE;
}

static gboolean is_acceptable(const admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err)
{
	GTimeSpan wait;

	if (now >= item->deadline) {
		catk_error_set(err, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the deadline passed before the call was "
			       "queued: send it with a later deadline");
		return FALSE;
	}
	wait = expected_wait(admission, item->priority, now);
	if (is_over_share(admission, item)) {
		set_over_share(err, wait, item->caller);
		return FALSE;
	}
	if ((item->latest_start && now + wait > item->latest_start) ||
	    !can_finish(admission, item, now + wait)) {
		set_too_late(err, wait);
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
	if (!is_acceptable(admission, item, now, err) ||
	    !make_room(admission, item, now, displaced, err))
		return FALSE;
	item->arrival = admission->arrivals++;
	lane_add(&admission->view.lanes[item->priority], item);
	admission->view.waiting++;
	return TRUE;
}

admission_item_t *admission_next(admission_t *admission, GTimeSpan now)
{
	admission_item_t *item =
		admission->policy.next(admission->policy.ctx, &admission->view);

	(void)now;
	if (!item)
		return NULL;
	lane_take(item->lane, item);
	admission->view.waiting--;
	return item;
}

void admission_attempt_started(admission_t *admission,
			       const admission_item_t *item, GTimeSpan now)
{
	admission->view.in_flight[item->priority]++;
	admission->view.in_flight_total++;
	admission->policy.started(admission->policy.ctx, &admission->view,
				  item->priority, now);
}

static void count_answer(admission_t *admission, GTimeSpan latency,
			 GTimeSpan now)
{
	double sample = (double)MAX(latency, 1);
	double distance;

	moving_rate_add(&admission->completions, now);
	if (admission->latency == 0)
		admission->latency = sample;
	distance = ABS(sample - admission->latency);
	admission->latency += LATENCY_WEIGHT * (sample - admission->latency);
	admission->deviation +=
		LATENCY_WEIGHT * (distance - admission->deviation);
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
					   admission->view.in_flight_total);
	admission->view.limit = concurrency->limit;
}

void admission_attempt_ended(admission_t *admission,
			     const admission_item_t *item, admission_end_t end,
			     double load, GTimeSpan latency, GTimeSpan now)
{
	g_assert(admission->view.in_flight[item->priority] > 0);
	if (end == ADMISSION_ANSWERED)
		count_answer(admission, latency, now);
	else if (end == ADMISSION_REFUSED)
		admission->policy.refused(admission->policy.ctx,
					  item->priority);
	update_limit(admission, end, load);
	admission->view.in_flight[item->priority]--;
	admission->view.in_flight_total--;
}

void admission_requeue(admission_t *admission, admission_item_t *item)
{
	lane_put_back(&admission->view.lanes[item->priority], item);
	admission->view.waiting++;
}

void admission_remove(admission_t *admission, admission_item_t *item)
{
	if (item->lane)
		take_out(admission, item);
}

guint admission_waiting(const admission_t *admission)
{
	return admission->view.waiting;
}

guint admission_waiting_of_priority(const admission_t *admission,
				    guint priority)
{
	g_assert(priority < SCHEMA_PRIORITIES_MAX);
	return admission->view.lanes[priority].length;
}

double admission_limit(const admission_t *admission)
{
	return admission->view.limit;
}
