/*
 * Hedging: a second attempt of an idempotent call whose first one takes longer
 * than most, within a budget and only while no call waits.
 */
#include "lib/entry/entry_internal.h"

#include <string.h>

/* Hedges that unused credit may add up to. */
#define HEDGE_CREDIT_MAX 10.0

void entry_hedge_plan(entry_t *entry, entry_service_t *service, call_t *call)
{
	if (!call->idempotent || entry->limits.hedge_percent == 0)
		return;
	service->hedge_credit = MIN(HEDGE_CREDIT_MAX,
				    service->hedge_credit +
					    entry->limits.hedge_percent / 100.0);
	TAILQ_INSERT_TAIL(&service->hedges, call, by_hedge);
	call->hedge_planned = TRUE;
}

void entry_hedge_forget(entry_service_t *service, call_t *call)
{
	if (!call->hedge_planned)
		return;
	TAILQ_REMOVE(&service->hedges, call, by_hedge);
	call->hedge_planned = FALSE;
}

/* Calls are in the order of their first attempts, so the first is due first. */
GTimeSpan entry_hedge_due(const entry_service_t *service)
{
	const call_t *call = TAILQ_FIRST(&service->hedges);
	GTimeSpan delay = upstream_slow_latency(service->upstream);
	const attempt_t *attempt;

	if (!call || delay == 0)
		return CATK_NEVER;
	attempt = TAILQ_FIRST(&call->attempts);
	return attempt ? attempt->started + delay : 0;
}

static gboolean is_queue_empty(const entry_t *entry,
			       const entry_service_t *service)
{
	const schema_t *schema = config_schema(entry->config);
	guint i;

	for (i = 0; i < schema->priority_count; i++)
		if (admission_length(service->admission, i) > 0)
			return FALSE;
	return TRUE;
}

static void hedge(entry_t *entry, entry_service_t *service, call_t *call)
{
	GTimeSpan now = entry_now(entry);
	const endpoint_t *endpoint;

	if (TAILQ_EMPTY(&call->attempts) || service->hedge_credit < 1 ||
	    call->attempts_made >= entry->limits.attempts_max ||
	    !is_queue_empty(entry, service))
		return;
	endpoint = upstream_choose(service->upstream, call->last_address, now);
	if (!endpoint ||
	    strcmp(endpoint_address(endpoint), call->last_address) == 0)
		return;
	service->hedge_credit -= 1;
	counters_add(entry->counters, COUNTER_ATTEMPTS_HEDGED, 1);
	entry_start_attempt(entry, service, call, endpoint, now);
}

void entry_hedge_calls(entry_t *entry, entry_service_t *service)
{
	GTimeSpan now = entry_now(entry);
	call_t *call;

	while (now >= entry_hedge_due(service)) {
		call = TAILQ_FIRST(&service->hedges);
		entry_hedge_forget(service, call);
		hedge(entry, service, call);
	}
}
