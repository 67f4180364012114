/* Probes for load reports before the endpoint of a routed call is chosen. */
#include <string.h>

#include "lib/entry/entry_internal.h"

/*
 * Maximum wait for probes, longer than one exchange between data centres on a
 * new connection. After that, a call proceeds with the reports at hand.
 */
#define PROBE_WAIT (10 * G_TIME_SPAN_MILLISECOND)
/* Interval of probes for free capacity while calls are queued. */
#define PROBE_REFRESH_INTERVAL (20 * G_TIME_SPAN_MILLISECOND)
/*
 * Endpoints in other data centres that are probed at once, for a new call and
 * in a refresh. Choosing between two is enough there, and each probe costs
 * traffic between data centres.
 */
#define REMOTE_PROBES_PER_CALL 2
#define REMOTE_PROBES_PER_REFRESH 1
/* Weight of a new sample in the moving average of the service time. */
#define SERVICE_TIME_SAMPLE_WEIGHT 0.05
/*
 * Time that a call needs to finish, in multiples of the average service time.
 */
#define SERVICE_TIME_MARGIN 1.3
/*
 * Wait of a call that cannot meet its objective: the time to its deadline over
 * the divisor, at most the maximum.
 */
#define LATE_WAIT_DIVISOR 16
#define LATE_WAIT_MAX (60 * G_TIME_SPAN_MILLISECOND)
/*
 * Time for which a call is sent neither to another data centre nor by an
 * outdated load report: the time to its latest start over the divisor, at most
 * the maximum. Traffic between data centres is expensive, and slowdowns are
 * short. Calls of the most urgent priority may use other data centres at once.
 */
#define LOCAL_WAIT_DIVISOR 2
#define LOCAL_WAIT_MAX (150 * G_TIME_SPAN_MILLISECOND)
/* No call waits longer than the time to its deadline over this divisor. */
#define WAIT_DIVISOR 2
/*
 * A refused caller is told to retry after a random fraction of the time to its
 * deadline, so that callers refused together do not retry together. The short
 * delays apply if it was not refused for lack of capacity.
 */
#define SHORT_RETRY_AFTER_MIN (10 * G_TIME_SPAN_MILLISECOND)
#define SHORT_RETRY_AFTER_MAX (30 * G_TIME_SPAN_MILLISECOND)
#define RETRY_AFTER_FRACTION_MIN 0.08
#define RETRY_AFTER_FRACTION_MAX 0.3
/* Callers return after the end of a pause, spread over this part of it. */
#define PAUSE_SPREAD 0.1

/*
 * TRUE if the call may use another data centre although it will miss its
 * objective: its caller was refused before and retries. Calls of the most
 * urgent priority may not. They may use other data centres from the start, so
 * one that is late has found no capacity anywhere while it was in time. It
 * would now displace calls that are in time.
 */
static gboolean remote_allowed_when_late(const call_t *call, GTimeSpan now)
{
	return call->caller_retried && call->queue.priority > 0 &&
	       now >= call->remote_allowed_at;
}

/* TRUE if the call meets its objective when it starts on a usual endpoint. */
static gboolean can_be_in_time(const entry_service_t *service,
			       const call_t *call, GTimeSpan now)
{
	return !call->objective ||
	       (double)(call->objective - now) >
		       service->service_time[call->queue.priority];
}

/*
 * There is nothing to wait for if no local endpoint accepts work. With
 * spillover, a call that will be late anyway does not use up the probes of
 * calls that can be in time.
 */
static gboolean is_remote_allowed(const entry_service_t *service,
				  const call_t *call, GTimeSpan now)
{
	if (!upstream_accepts_local_work(service->upstream, now))
		return TRUE;
	return now >= call->remote_allowed_at &&
	       (!service->spillover || can_be_in_time(service, call, now) ||
		remote_allowed_when_late(call, now));
}

void entry_record_spillover_call(entry_service_t *service, const call_t *call,
				 const endpoint_t *endpoint, GTimeSpan now)
{
	const spillover_call_t record = {
		.wait = now - call->ready,
		.wait_max = call->queue.latest_start - call->ready,
		.remote = endpoint && upstream_is_remote(service->upstream,
							 endpoint_id(endpoint)),
		.refused = !endpoint,
	};

	/* Second attempts did not wait for an endpoint alone. */
	if (service->spillover && call->routed &&
	    call->attempts_started == (endpoint ? 1 : 0) &&
	    upstream_accepts_local_work(service->upstream, now))
		spillover_record_call(service->spillover, &record, now);
}

void entry_record_spillover_probe(entry_service_t *service,
				  const char *endpoint,
				  const load_report_t *report, GTimeSpan now)
{
	const spillover_probe_t probe = {
		.remote = upstream_is_remote(service->upstream, endpoint),
		.has_capacity = report && load_report_shows_capacity(report),
		.round_trip =
			upstream_probe_age(service->upstream, endpoint, now),
	};

	if (service->spillover && probe.round_trip >= 0)
		spillover_record_probe(service->spillover, &probe, now);
}

void entry_record_spillover_end(entry_service_t *service, const char *endpoint,
				attempt_end_t end, GTimeSpan now)
{
	if (service->spillover &&
	    (end == ATTEMPT_SHED || end == ATTEMPT_SILENT ||
	     end == ATTEMPT_FAILED) &&
	    upstream_is_remote(service->upstream, endpoint))
		spillover_record_remote_refusal(service->spillover, now);
}

upstream_criteria_t entry_call_criteria(const entry_service_t *service,
					const call_t *call, GTimeSpan now)
{
	upstream_criteria_t criteria = {
		.avoid = call->attempts_started ? call->last_endpoint : NULL,
		.service_time =
			(GTimeSpan)service->service_time[call->queue.priority],
		.remote_allowed = is_remote_allowed(service, call, now),
		.remote_when_late = remote_allowed_when_late(call, now),
		.stale_report_allowed = now >= call->stale_report_allowed_at,
	};

	criteria.remote_without_report =
		service->spillover && criteria.remote_allowed &&
		criteria.stale_report_allowed &&
		can_be_in_time(service, call, now) &&
		!upstream_accepts_local_work(service->upstream, now);

	if (call->objective)
		criteria.objective_left = MAX(call->objective - now, 1);
	return criteria;
}

void entry_learn_service_time(entry_service_t *service, const call_t *call,
			      const char *endpoint,
			      const attempt_result_t *result, GTimeSpan latency,
			      GTimeSpan now)
{
	double *average = &service->service_time[call->queue.priority];
	double sample = (double)latency;

	if (result->end != ATTEMPT_ANSWERED || result->status >= 500)
		return;
	if (call->start_slowdown_percent > 0)
		sample = sample * 100 / call->start_slowdown_percent;
	if (*average == 0)
		*average = sample;
	else if (result->has_report && result->report.slots)
		upstream_record_service_time_ratio(service->upstream, endpoint,
						   &result->report,
						   sample / *average, now);
	*average += SERVICE_TIME_SAMPLE_WEIGHT * (sample - *average);
}

GTimeSpan entry_retry_after(entry_t *entry, const entry_service_t *service,
			    const call_t *call, gboolean has_capacity)
{
	GTimeSpan now = entry_now(entry);
	double needed = SERVICE_TIME_MARGIN *
			service->service_time[call->queue.priority];
	GTimeSpan available_at =
		upstream_accepts_work_at(service->upstream, now);
	double part;

	if (available_at > now && available_at != CATK_NEVER)
		return (GTimeSpan)((double)(available_at - now) *
				   g_rand_double_range(entry->random, 1,
						       1 + PAUSE_SPREAD));
	if (has_capacity &&
	    call->objective - now - SHORT_RETRY_AFTER_MAX > (GTimeSpan)needed)
		return g_rand_int_range(entry->random, SHORT_RETRY_AFTER_MIN,
					SHORT_RETRY_AFTER_MAX);
	part = g_rand_double_range(entry->random, RETRY_AFTER_FRACTION_MIN,
				   RETRY_AFTER_FRACTION_MAX);
	return (GTimeSpan)(part * (double)(call->deadline - now));
}

gboolean entry_can_start_in_time(const entry_service_t *service,
				 const call_t *call, GTimeSpan now)
{
	return !call->routed ||
	       upstream_accepts_work_at(service->upstream, now) <=
		       call->queue.latest_start;
}

/* Refuses a routed call for which entry_can_start_in_time() is FALSE. */
static void refuse_no_endpoint(entry_t *entry, const entry_service_t *service,
			       call_t *call)
{
	catk_error_t error;

	catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "every endpoint of %.64s is leaving, is warming up or "
		       "has asked for a pause: retry after the given time",
		       call->service);
	error.retry_after = entry_retry_after(entry, service, call, FALSE);
	entry_finish_refused(entry, call, &error);
}

/* Refuses a routed call that found no endpoint with capacity in time. */
static void refuse_no_capacity(entry_t *entry, call_t *call)
{
	entry_service_t *service = entry_find_service(entry, call->service);
	catk_error_t error;

	admission_no_capacity(service->admission, &call->queue,
			      entry_now(entry));
	entry_record_spillover_call(service, call, NULL, entry_now(entry));
	catk_error_set(&error, CATK_OVERLOADED, OUTCOME_NOT_RUN,
		       "no endpoint of %.64s had capacity in time: retry "
		       "after the given time",
		       call->service);
	error.retry_after = entry_retry_after(entry, service, call, FALSE);
	entry_finish_refused(entry, call, &error);
}

static void enqueue_new_call(entry_t *entry, entry_service_t *service,
			     call_t *call)
{
	admission_item_t *displaced;
	catk_error_t error;

	if (!admission_offer(service->admission, &call->queue, entry_now(entry),
			     &displaced, &error)) {
		if (call->routed)
			error.retry_after =
				entry_retry_after(entry, service, call, FALSE);
		entry_finish_with_error(entry, call, &error);
		return;
	}
	if (displaced)
		entry_finish_refused(
			entry, container_of(displaced, call_t, queue), &error);
	entry_dispatch(entry, service);
}

/* Queues a call, new or to be retried, and starts it if there is capacity. */
static void queue_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	if (!call->offered) {
		call->offered = TRUE;
		enqueue_new_call(entry, service, call);
		return;
	}
	admission_requeue(service->admission, &call->queue);
	entry_dispatch(entry, service);
}

void entry_probe_wait_end(entry_service_t *service, call_t *call)
{
	if (!call->load_probes.active)
		return;
	call->load_probes.active = FALSE;
	TAILQ_REMOVE(&service->awaiting_probes, call, load_probes.link);
}

static guint probes_max(const entry_t *entry, upstream_scope_t scope,
			guint remote_max)
{
	guint max = MIN(entry->limits.probe_fanout, CALL_PROBES_MAX);

	return scope == SCOPE_REMOTE ? MIN(max, remote_max) : max;
}

/* Sends probes for the call. Returns FALSE if none is needed or allowed. */
static gboolean send_call_probes(entry_t *entry, entry_service_t *service,
				 call_t *call, upstream_scope_t scope)
{
	const char *ids[CALL_PROBES_MAX];
	GTimeSpan now = entry_now(entry);
	call_load_probes_t *probes = &call->load_probes;
	guint max = probes_max(entry, scope, REMOTE_PROBES_PER_CALL);
	guint count =
		upstream_plan_probes(service->upstream, scope, ids, max, now);
	guint i;

	if (!count)
		return FALSE;
	probes->scope = scope;
	probes->active = TRUE;
	probes->until = now + PROBE_WAIT;
	probes->pending_count = count;
	for (i = 0; i < count; i++)
		g_strlcpy(probes->pending[i], ids[i],
			  sizeof(probes->pending[i]));
	TAILQ_INSERT_TAIL(&service->awaiting_probes, call, load_probes.link);
	counters_add(entry->counters, COUNTER_PROBES_SENT, count);
	for (i = 0; i < count; i++)
		entry->actions.send_probe(entry->actions.ctx, call->service,
					  ids[i]);
	return TRUE;
}

/*
 * Continues when the probes of a scope have ended, timed out or are not needed:
 * sends the next ones if no local endpoint meets the call's objective, otherwise
 * queues the call, or refuses it if no endpoint will accept it in time.
 */
static void continue_call(entry_t *entry, entry_service_t *service,
			  call_t *call)
{
	GTimeSpan now = entry_now(entry);
	upstream_criteria_t criteria = entry_call_criteria(service, call, now);

	entry_probe_wait_end(service, call);
	if (!upstream_local_meets_objective(service->upstream, &criteria,
					    now) &&
	    ((call->load_probes.scope == SCOPE_LOCAL &&
	      send_call_probes(entry, service, call, SCOPE_LOCAL)) ||
	     (criteria.remote_allowed &&
	      send_call_probes(entry, service, call, SCOPE_REMOTE))))
		return;
	if (entry_can_start_in_time(service, call, now))
		queue_call(entry, service, call);
	else
		refuse_no_endpoint(entry, service, call);
}

/*
 * A call waits as long as it can meet its objective. One that cannot waits only
 * briefly: its caller is refused early and retries when there may be capacity,
 * and calls that can be in time go first.
 */
static GTimeSpan latest_start(const entry_service_t *service,
			      const call_t *call, GTimeSpan now)
{
	GTimeSpan remaining = call->deadline - now;
	GTimeSpan needed =
		(GTimeSpan)(SERVICE_TIME_MARGIN *
			    service->service_time[call->queue.priority]);
	GTimeSpan latest =
		now + MIN(remaining / LATE_WAIT_DIVISOR, LATE_WAIT_MAX);

	if (call->objective)
		latest = MAX(latest, call->objective - needed);
	return MIN(latest, now + remaining / WAIT_DIVISOR);
}

static GTimeSpan local_wait(const call_t *call, GTimeSpan now)
{
	return MIN((call->queue.latest_start - now) / LOCAL_WAIT_DIVISOR,
		   LOCAL_WAIT_MAX);
}

static GTimeSpan remote_allowed_at(const entry_service_t *service,
				   const call_t *call, GTimeSpan now)
{
	GTimeSpan wait;

	if (service->spillover) {
		wait = spillover_wait(service->spillover,
				      call->queue.latest_start - now, now);
		return wait == CATK_NEVER ? CATK_NEVER : now + wait;
	}
	return call->queue.priority == 0 ? now : call->stale_report_allowed_at;
}

void entry_probe_then_queue(entry_t *entry, entry_service_t *service,
			    call_t *call)
{
	GTimeSpan now = entry_now(entry);

	if (!entry_may_start(entry, service, call)) {
		entry_refuse_for_shutdown(entry, call);
		return;
	}
	if (call->routed && !call->queue.latest_start) {
		call->queue.latest_start = latest_start(service, call, now);
		call->stale_report_allowed_at = now + local_wait(call, now);
		call->ready = now;
		call->remote_allowed_at = remote_allowed_at(service, call, now);
	}
	call->load_probes.scope = SCOPE_LOCAL;
	if (call->routed && send_call_probes(entry, service, call, SCOPE_LOCAL))
		return;
	if (call->routed)
		continue_call(entry, service, call);
	else
		queue_call(entry, service, call);
}

static void remove_pending_probe(call_load_probes_t *probes,
				 const char *endpoint)
{
	guint i;

	for (i = 0; i < probes->pending_count; i++)
		if (strcmp(probes->pending[i], endpoint) == 0) {
			probes->pending_count--;
			memmove(probes->pending[i],
				probes->pending[probes->pending_count],
				sizeof(probes->pending[i]));
			return;
		}
}

void entry_probe_wait_report(entry_t *entry, entry_service_t *service,
			     const char *endpoint)
{
	call_t *call, *next;

	TAILQ_FOREACH (call, &service->awaiting_probes, load_probes.link)
		remove_pending_probe(&call->load_probes, endpoint);
	/* Starts over after each call, as continuing it may change the list. */
	do {
		next = NULL;
		TAILQ_FOREACH (call, &service->awaiting_probes,
			       load_probes.link)
			if (!call->load_probes.pending_count) {
				next = call;
				break;
			}
		if (next)
			continue_call(entry, service, next);
	} while (next);
}

static gboolean any_call_allows_remote(const entry_t *entry,
				       const entry_service_t *service,
				       GTimeSpan now)
{
	const char *name = upstream_service(service->upstream);
	const call_t *call;

	TAILQ_FOREACH (call, &entry->calls, by_deadline)
		if (call->queue.lane && strcmp(call->service, name) == 0 &&
		    is_remote_allowed(service, call, now))
			return TRUE;
	return FALSE;
}

static void send_refresh_probes(entry_t *entry, entry_service_t *service,
				GTimeSpan now)
{
	const char *ids[CALL_PROBES_MAX];
	upstream_scope_t scope;
	guint count, max, i;

	service->next_refresh = now + PROBE_REFRESH_INTERVAL;
	for (scope = SCOPE_LOCAL; scope <= SCOPE_REMOTE; scope++) {
		if (scope == SCOPE_REMOTE &&
		    !any_call_allows_remote(entry, service, now))
			break;
		max = probes_max(entry, scope, REMOTE_PROBES_PER_REFRESH);
		count = upstream_plan_probes(service->upstream, scope, ids, max,
					     now);
		counters_add(entry->counters, COUNTER_PROBES_SENT, count);
		for (i = 0; i < count; i++)
			entry->actions.send_probe(
				entry->actions.ctx,
				upstream_service(service->upstream), ids[i]);
	}
}

/* Refuses the queued calls that will not start in time. */
static void refuse_overdue_calls(entry_t *entry, const entry_service_t *service,
				 GTimeSpan now)
{
	const char *name = upstream_service(service->upstream);
	call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &entry->calls, by_deadline, next) {
		if (!call->queue.lane || !call->queue.latest_start ||
		    strcmp(call->service, name) != 0)
			continue;
		if (!entry_can_start_in_time(service, call, now))
			refuse_no_endpoint(entry, service, call);
		else if (now >= call->queue.latest_start)
			refuse_no_capacity(entry, call);
	}
}

void entry_probe_wait_tick(entry_t *entry, entry_service_t *service)
{
	GTimeSpan now = entry_now(entry);
	call_t *call = TAILQ_FIRST(&service->awaiting_probes);

	while (call && now >= call->load_probes.until) {
		continue_call(entry, service, call);
		call = TAILQ_FIRST(&service->awaiting_probes);
	}
	if (!service->declared || !entry->limits.probe_fanout ||
	    !admission_waiting(service->admission) ||
	    now < service->next_refresh)
		return;
	refuse_overdue_calls(entry, service, now);
	send_refresh_probes(entry, service, now);
}

GTimeSpan entry_probe_wait_wakeup(const entry_service_t *service)
{
	const call_t *call = TAILQ_FIRST(&service->awaiting_probes);
	GTimeSpan wakeup = call ? call->load_probes.until : CATK_NEVER;

	if (admission_waiting(service->admission) && service->next_refresh)
		wakeup = MIN(wakeup, service->next_refresh);
	return wakeup;
}
