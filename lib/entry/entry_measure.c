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
#define WORK_WEIGHT 0.05

upstream_need_t entry_need_of(const entry_service_t *service,
			      const call_t *call, GTimeSpan now)
{
	upstream_need_t need = {
		.avoid = call->attempts_made || call->unsent ?
				 call->last_endpoint :
				 NULL,
		.work = (GTimeSpan)service->work[call->queue.priority],
		.idempotent = call->idempotent,
	};

	if (call->objective)
		need.objective = MAX(call->objective - now, 1);
	return need;
}

void entry_learn_work(entry_service_t *service, const call_t *call,
		      const attempt_result_t *result, GTimeSpan latency)
{
	double *work = &service->work[call->queue.priority];
	double sample = (double)latency;

	if (result->end != ATTEMPT_ANSWERED || result->status >= 500)
		return;
	if (result->has_report && result->report.slowdown_percent)
		sample = sample * 100 / result->report.slowdown_percent;
	if (*work == 0)
		*work = sample;
	*work += WORK_WEIGHT * (sample - *work);
}

static void offer_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	admission_item_t *displaced;
	catk_error_t error;

	if (!admission_offer(service->admission, &call->queue, entry_now(entry),
			     &displaced, &error)) {
		entry_finish_with_error(entry, call, &error);
		return;
	}
	if (displaced)
		entry_finish_refused(
			entry, container_of(displaced, call_t, queue), &error);
	entry_dispatch(entry, service);
}

void entry_queue_call(entry_t *entry, entry_service_t *service, call_t *call)
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

/* Sends probes for the call. FALSE when none is needed or allowed. */
static gboolean ask(entry_t *entry, entry_service_t *service, call_t *call,
		    upstream_scope_t scope)
{
	const char *ids[CALL_PROBES_MAX];
	GTimeSpan now = entry_now(entry);
	call_measure_t *measure = &call->measure;
	guint max = MIN(entry->limits.probe_fanout, CALL_PROBES_MAX);
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
	upstream_need_t need = entry_need_of(service, call, now);

	entry_measure_end(service, call);
	if (call->measure.scope == SCOPE_NEAR &&
	    !upstream_near_suffices(service->upstream, &need, now) &&
	    ask(entry, service, call, SCOPE_FAR))
		return;
	entry_queue_call(entry, service, call);
}

void entry_measure(entry_t *entry, entry_service_t *service, call_t *call)
{
	call->measure.scope = SCOPE_NEAR;
	if (call->routed && ask(entry, service, call, SCOPE_NEAR))
		return;
	if (call->routed)
		go_on(entry, service, call);
	else
		entry_queue_call(entry, service, call);
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

static void refresh(entry_t *entry, entry_service_t *service, GTimeSpan now)
{
	const char *ids[CALL_PROBES_MAX];
	guint max = MIN(entry->limits.probe_fanout, CALL_PROBES_MAX);
	upstream_scope_t scope;
	guint count, i;

	service->next_refresh = now + REFRESH_INTERVAL;
	for (scope = SCOPE_NEAR; scope <= SCOPE_FAR; scope++) {
		count = upstream_plan_probes(service->upstream, scope, ids, max,
					     now);
		counters_add(entry->counters, COUNTER_PROBES_SENT, count);
		for (i = 0; i < count; i++)
			entry->actions.send_probe(
				entry->actions.ctx,
				upstream_service(service->upstream), ids[i]);
	}
}

void entry_measure_tick(entry_t *entry, entry_service_t *service)
{
	GTimeSpan now = entry_now(entry);
	call_t *call = TAILQ_FIRST(&service->measuring);

	while (call && now >= call->measure.until) {
		go_on(entry, service, call);
		call = TAILQ_FIRST(&service->measuring);
	}
	if (service->declared && entry->limits.probe_fanout &&
	    admission_waiting(service->admission) &&
	    now >= service->next_refresh)
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
