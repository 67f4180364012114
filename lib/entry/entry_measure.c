/* Load reports that are asked for before a routed call is placed. */
#include <string.h>

#include "lib/entry/entry_internal.h"

/*
 * Longest wait for reports, over one exchange between data centres on a new
 * connection. A call goes on with what is known then.
 */
#define MEASURE_WAIT (10 * G_TIME_SPAN_MILLISECOND)
/* Time between two looks for room while calls wait. */
#define REFRESH_INTERVAL (20 * G_TIME_SPAN_MILLISECOND)
/*
 * Endpoints of other data centres that are asked at once, for a call and in one
 * look: two choices are enough there, and each probe costs bytes between data
 * centres.
 */
#define FAR_PROBES_OF_CALL 2
#define FAR_PROBES_OF_LOOK 1
#define WORK_WEIGHT 0.05
/* Service time that a call should have left when it starts, over the usual. */
#define WORK_MARGIN 1.3
/* Wait of a call that cannot meet its objective, by the time it has left. */
#define LATE_WAIT_PART 16
#define LATE_WAIT_MAX (60 * G_TIME_SPAN_MILLISECOND)
/*
 * Wait for an endpoint of this data centre before others are considered: bytes
 * between data centres are dear, and a slowdown is over soon. The most urgent
 * calls do not wait.
 */
#define NEAR_WAIT_PART 2
#define NEAR_WAIT_MAX (150 * G_TIME_SPAN_MILLISECOND)
/* No call waits longer than this part of its time. */
#define WAIT_PART 2
/*
 * A refused caller is told to come back after a part of the time that it has
 * left, at random, so that callers refused together return apart.
 */
#define RETURN_SOON_MIN (10 * G_TIME_SPAN_MILLISECOND)
#define RETURN_SOON_MAX (30 * G_TIME_SPAN_MILLISECOND)
#define RETURN_MIN 0.08
#define RETURN_MAX 0.3

/*
 * The most urgent calls crossed without a wait when they were in time: where
 * they find no room, no data centre has any, and late ones displace others.
 */
static gboolean crosses_when_late(const call_t *call, GTimeSpan now)
{
	return call->returning && call->queue.priority > 0 &&
	       now >= call->far_after;
}

upstream_criteria_t entry_need_of(const entry_service_t *service,
				  const call_t *call, GTimeSpan now)
{
	upstream_criteria_t need = {
		.avoid = call->attempts_made || call->unsent ?
				 call->last_endpoint :
				 NULL,
		.service_time = (GTimeSpan)service->work[call->queue.priority],
		.remote_allowed = now >= call->far_after,
		.remote_when_late = crosses_when_late(call, now),
		.stale_report_allowed = now >= call->blind_after,
	};

	if (call->objective)
		need.objective_left = MAX(call->objective - now, 1);
	return need;
}

void entry_learn_work(entry_service_t *service, const call_t *call,
		      const char *endpoint, const attempt_result_t *result,
		      GTimeSpan latency, GTimeSpan now)
{
	double *work = &service->work[call->queue.priority];
	double sample = (double)latency;

	if (result->end != ATTEMPT_ANSWERED || result->status >= 500)
		return;
	if (call->slowdown_at_start > 0)
		sample = sample * 100 / call->slowdown_at_start;
	if (*work == 0)
		*work = sample;
	else if (result->has_report && result->report.slots)
		upstream_record_service_time_ratio(service->upstream, endpoint,
						   &result->report,
						   sample / *work, now);
	*work += WORK_WEIGHT * (sample - *work);
}

GTimeSpan entry_return_time(entry_t *entry, const entry_service_t *service,
			    const call_t *call, gboolean soon)
{
	GTimeSpan now = entry_now(entry);
	double work = WORK_MARGIN * service->work[call->queue.priority];
	double part;

	if (soon && call->objective - now - RETURN_SOON_MAX > (GTimeSpan)work)
		return g_rand_int_range(entry->random, RETURN_SOON_MIN,
					RETURN_SOON_MAX);
	part = g_rand_double_range(entry->random, RETURN_MIN, RETURN_MAX);
	return (GTimeSpan)(part * (double)(call->deadline - now));
}

/* Refuses a routed call that finds no room in time. */
static void refuse_for_room(entry_t *entry, call_t *call)
{
	catk_error_t error;

	catk_error_set(&error, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "no endpoint of %.64s has room in time: come back "
		       "after the time given",
		       call->service);
	error.retry_after = entry_return_time(
		entry, entry_find_service(entry, call->service), call, FALSE);
	entry_finish_refused(entry, call, &error);
}

static void offer_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	admission_item_t *displaced;
	catk_error_t error;

	if (!admission_offer(service->admission, &call->queue, entry_now(entry),
			     &displaced, &error)) {
		if (call->routed)
			error.retry_after =
				entry_return_time(entry, service, call, FALSE);
		entry_finish_with_error(entry, call, &error);
		return;
	}
	if (displaced)
		entry_finish_refused(
			entry, container_of(displaced, call_t, queue), &error);
	entry_dispatch(entry, service);
}

/* Queues a call, new or to be retried, and starts it when there is room. */
static void queue_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	if (!call->attempts_made && !call->unsent) {
		offer_call(entry, service, call);
		return;
	}
	admission_requeue(service->admission, &call->queue);
	entry_dispatch(entry, service);
}

void entry_measure_end(entry_service_t *service, call_t *call)
{
	if (!call->measure.active)
		return;
	call->measure.active = FALSE;
	TAILQ_REMOVE(&service->measuring, call, measure.link);
}

static guint probes_max(const entry_t *entry, upstream_scope_t scope,
			guint far_max)
{
	guint max = MIN(entry->limits.probe_fanout, CALL_PROBES_MAX);

	return scope == SCOPE_REMOTE ? MIN(max, far_max) : max;
}

/* Sends probes for the call. FALSE when none is needed or allowed. */
static gboolean ask(entry_t *entry, entry_service_t *service, call_t *call,
		    upstream_scope_t scope)
{
	const char *ids[CALL_PROBES_MAX];
	GTimeSpan now = entry_now(entry);
	call_measure_t *measure = &call->measure;
	guint max = probes_max(entry, scope, FAR_PROBES_OF_CALL);
	guint count =
		upstream_plan_probes(service->upstream, scope, ids, max, now);
	guint i;

	if (!count)
		return FALSE;
	measure->scope = scope;
	measure->active = TRUE;
	measure->until = now + MEASURE_WAIT;
	measure->pending_count = count;
	for (i = 0; i < count; i++)
		g_strlcpy(measure->pending[i], ids[i],
			  sizeof(measure->pending[i]));
	TAILQ_INSERT_TAIL(&service->measuring, call, measure.link);
	counters_add(entry->counters, COUNTER_PROBES_SENT, count);
	for (i = 0; i < count; i++)
		entry->actions.send_probe(entry->actions.ctx, call->service,
					  ids[i]);
	return TRUE;
}

/* The reports of a scope are in, or their time is over. */
static void go_on(entry_t *entry, entry_service_t *service, call_t *call)
{
	GTimeSpan now = entry_now(entry);
	upstream_criteria_t need = entry_need_of(service, call, now);

	entry_measure_end(service, call);
	if (!upstream_local_meets_objective(service->upstream, &need, now) &&
	    ((call->measure.scope == SCOPE_LOCAL &&
	      ask(entry, service, call, SCOPE_LOCAL)) ||
	     (need.remote_allowed && ask(entry, service, call, SCOPE_REMOTE))))
		return;
	queue_call(entry, service, call);
}

/*
 * A call waits while it can still meet its objective. One that cannot waits for
 * a short time only: refused at once, its caller comes back when there may be
 * room, and what can be in time goes first.
 */
static GTimeSpan latest_start(const entry_service_t *service,
			      const call_t *call, GTimeSpan now)
{
	GTimeSpan remaining = call->deadline - now;
	GTimeSpan work =
		(GTimeSpan)(WORK_MARGIN * service->work[call->queue.priority]);
	GTimeSpan latest = now + MIN(remaining / LATE_WAIT_PART, LATE_WAIT_MAX);

	if (call->objective)
		latest = MAX(latest, call->objective - work);
	return MIN(latest, now + remaining / WAIT_PART);
}

static GTimeSpan near_wait(const call_t *call, GTimeSpan now)
{
	return MIN((call->queue.latest_start - now) / NEAR_WAIT_PART,
		   NEAR_WAIT_MAX);
}

void entry_measure(entry_t *entry, entry_service_t *service, call_t *call)
{
	GTimeSpan now = entry_now(entry);

	if (call->routed && !call->queue.latest_start) {
		call->queue.latest_start = latest_start(service, call, now);
		call->blind_after = now + near_wait(call, now);
		call->far_after = call->queue.priority == 0 ? now :
							      call->blind_after;
	}
	call->measure.scope = SCOPE_LOCAL;
	if (call->routed && ask(entry, service, call, SCOPE_LOCAL))
		return;
	if (call->routed)
		go_on(entry, service, call);
	else
		queue_call(entry, service, call);
}

static void remove_pending(call_measure_t *measure, const char *endpoint)
{
	guint i;

	for (i = 0; i < measure->pending_count; i++)
		if (strcmp(measure->pending[i], endpoint) == 0) {
			measure->pending_count--;
			memmove(measure->pending[i],
				measure->pending[measure->pending_count],
				sizeof(measure->pending[i]));
			return;
		}
}

void entry_measure_take(entry_t *entry, entry_service_t *service,
			const char *endpoint)
{
	call_t *call, *next;

	TAILQ_FOREACH (call, &service->measuring, measure.link)
		remove_pending(&call->measure, endpoint);
	/* Each turn removes one call; placing it may change the list. */
	do {
		next = NULL;
		TAILQ_FOREACH (call, &service->measuring, measure.link)
			if (!call->measure.pending_count) {
				next = call;
				break;
			}
		if (next)
			go_on(entry, service, next);
	} while (next);
}

static gboolean wants_far(const entry_t *entry, const entry_service_t *service,
			  GTimeSpan now)
{
	const char *name = upstream_service(service->upstream);
	const call_t *call;

	TAILQ_FOREACH (call, &entry->calls, by_deadline)
		if (call->queue.lane && now >= call->far_after &&
		    strcmp(call->service, name) == 0)
			return TRUE;
	return FALSE;
}

static void refresh(entry_t *entry, entry_service_t *service, GTimeSpan now)
{
	const char *ids[CALL_PROBES_MAX];
	upstream_scope_t scope;
	guint count, max, i;

	service->next_refresh = now + REFRESH_INTERVAL;
	for (scope = SCOPE_LOCAL; scope <= SCOPE_REMOTE; scope++) {
		if (scope == SCOPE_REMOTE && !wants_far(entry, service, now))
			break;
		max = probes_max(entry, scope, FAR_PROBES_OF_LOOK);
		count = upstream_plan_probes(service->upstream, scope, ids, max,
					     now);
		counters_add(entry->counters, COUNTER_PROBES_SENT, count);
		for (i = 0; i < count; i++)
			entry->actions.send_probe(
				entry->actions.ctx,
				upstream_service(service->upstream), ids[i]);
	}
}

/* Refuses the waiting calls whose latest start has passed. */
static void give_up_waiting(entry_t *entry, const entry_service_t *service,
			    GTimeSpan now)
{
	const char *name = upstream_service(service->upstream);
	call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &entry->calls, by_deadline, next)
		if (call->queue.lane && call->queue.latest_start &&
		    now >= call->queue.latest_start &&
		    strcmp(call->service, name) == 0)
			refuse_for_room(entry, call);
}

void entry_measure_tick(entry_t *entry, entry_service_t *service)
{
	GTimeSpan now = entry_now(entry);
	call_t *call = TAILQ_FIRST(&service->measuring);

	while (call && now >= call->measure.until) {
		go_on(entry, service, call);
		call = TAILQ_FIRST(&service->measuring);
	}
	if (!service->declared || !entry->limits.probe_fanout ||
	    !admission_waiting(service->admission) ||
	    now < service->next_refresh)
		return;
	give_up_waiting(entry, service, now);
	refresh(entry, service, now);
}

GTimeSpan entry_measure_wakeup(const entry_service_t *service)
{
	const call_t *call = TAILQ_FIRST(&service->measuring);
	GTimeSpan wakeup = call ? call->measure.until : CATK_NEVER;

	if (admission_waiting(service->admission) && service->next_refresh)
		wakeup = MIN(wakeup, service->next_refresh);
	return wakeup;
}
