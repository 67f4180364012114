/* What a shutdown means for the calls of an entry. */
#include "lib/entry/entry_internal.h"

static const shutdown_rule_t *shutdown_rule(const entry_t *entry)
{
	return entry->limits.shutdown_rule ? entry->limits.shutdown_rule :
					     &shutdown_rule_by_deadline;
}

static gboolean rule_allows(const entry_t *entry, const shutdown_call_t *call)
{
	return shutdown_may_start(&entry->shutdown, shutdown_rule(entry), call,
				  entry_now(entry));
}

gboolean entry_may_start(const entry_t *entry, const entry_service_t *service,
			 const call_t *call)
{
	const shutdown_call_t attributes = {
		.deadline = call->deadline,
		.service_time =
			(GTimeSpan)service->service_time[call->queue.priority],
	};

	return rule_allows(entry, &attributes);
}

gboolean entry_may_wait_until(const entry_t *entry, GTimeSpan instant)
{
	const shutdown_call_t attributes = { .deadline = instant };

	return rule_allows(entry, &attributes);
}

void entry_refuse_for_shutdown(entry_t *entry, call_t *call)
{
	catk_error_t error;

	if (entry_call_outcome(entry, call) != OUTCOME_NOT_RUN) {
		catk_error_set(
			&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
			"this instance is shutting down and the call may "
			"have run: check its effect before sending it "
			"again");
		entry_finish_with_error(entry, call, &error);
		return;
	}
	catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "this instance is shutting down and could end before "
		       "the call: send it to another instance%s",
		       call->has_id ? ", with a new request id" : "");
	if (call->routed)
		error.retry_after = entry_retry_after(
			entry, entry_find_service(entry, call->service), call,
			TRUE);
	entry_finish_with_error(entry, call, &error);
}

void entry_refuse_unstarted_calls(entry_t *entry)
{
	call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &entry->calls, by_deadline, next)
		if (TAILQ_EMPTY(&call->attempts) &&
		    !entry_may_start(entry,
				     entry_find_service(entry, call->service),
				     call))
			entry_refuse_for_shutdown(entry, call);
}
