/* The end of a call: its answer, the record of its request id, its removal. */
#include "lib/entry/entry_internal.h"

const retry_rule_t *entry_retry_rule(const entry_t *entry)
{
	return entry->limits.retry_rule ? entry->limits.retry_rule :
					  &retry_rule_at_most_once;
}

outcome_t entry_call_outcome(const entry_t *entry, const call_t *call)
{
	const retry_rule_t *rule = entry_retry_rule(entry);

	return rule->outcome(rule->ctx, call);
}

static void count_answer_in_shutdown(entry_t *entry, outcome_t outcome)
{
	shutdown_calls_t *calls = &entry->shutdown.calls;

	if (!entry_is_leaving(entry))
		return;
	if (outcome == OUTCOME_NOT_RUN)
		calls->refused++;
	else
		calls->answered++;
}

static void answer_error(entry_t *entry, void *caller_ref,
			 const catk_error_t *error, GTimeSpan elapsed)
{
	call_answer_t answer = { .error = *error, .elapsed = elapsed };

	count_answer_in_shutdown(entry, error->outcome);
	switch (error->outcome) {
	case OUTCOME_NOT_RUN:
		counters_add(entry->counters, COUNTER_CALLS_REFUSED, 1);
		break;
	case OUTCOME_RAN:
		counters_add(entry->counters, COUNTER_CALLS_RAN_FAILED, 1);
		break;
	case OUTCOME_UNKNOWN:
		counters_add(entry->counters, COUNTER_CALLS_UNKNOWN, 1);
		break;
	}
	entry_send_answer(entry, caller_ref, &answer);
}

void entry_answer_error(entry_t *entry, void *caller_ref,
			const catk_error_t *error)
{
	answer_error(entry, caller_ref, error, 0);
}

void entry_answer_success(entry_t *entry, void *caller_ref, guint status,
			  GBytes *body)
{
	call_answer_t answer = { .status = status, .body = body };

	answer.error.outcome = OUTCOME_RAN;
	count_answer_in_shutdown(entry, OUTCOME_RAN);
	counters_add(entry->counters, COUNTER_CALLS_SUCCEEDED, 1);
	entry_send_answer(entry, caller_ref, &answer);
}

void entry_relay_answer(entry_t *entry, void *caller_ref,
			const call_answer_t *answer)
{
	if (answer->error.kind == CATK_OK)
		entry_answer_success(entry, caller_ref, answer->status,
				     answer->body);
	else
		entry_answer_error(entry, caller_ref, &answer->error);
}

/* Most calls have the latest deadline, so the search from the end is short. */
void entry_insert_call(entry_t *entry, call_t *call)
{
	call_t *before = TAILQ_LAST(&entry->calls, call_list);

	while (before && before->deadline > call->deadline)
		before = TAILQ_PREV(before, call_list, by_deadline);
	if (before)
		TAILQ_INSERT_AFTER(&entry->calls, before, call, by_deadline);
	else
		TAILQ_INSERT_HEAD(&entry->calls, call, by_deadline);
}

void entry_add_waiter(entry_t *entry, call_t *call, void *caller_ref)
{
	call_add_waiter(call, caller_ref);
	g_hash_table_insert(entry->calls_by_ref, caller_ref, call);
}

static void abandon_attempts(entry_t *entry, call_t *call)
{
	entry_service_t *service = entry_find_service(entry, call->service);
	GTimeSpan now = entry_now(entry);
	attempt_t *attempt;

	TAILQ_FOREACH (attempt, &call->attempts, link) {
		upstream_attempt_ended(service->upstream, attempt->endpoint,
				       ATTEMPT_ABANDONED,
				       now - attempt->started, NULL, now);
		admission_attempt_ended(service->admission, &call->queue,
					ADMISSION_NO_ANSWER, 0,
					now - attempt->started, now);
		g_hash_table_remove(entry->calls_by_attempt, &attempt->id);
		if (!entry->freeing)
			entry->actions.cancel_attempt(entry->actions.ctx,
						      attempt->id);
	}
}

/* Removes the call from all lists and indexes and frees it. */
static void remove_call(entry_t *entry, call_t *call)
{
	entry_service_t *service = entry_find_service(entry, call->service);
	call_waiter_t *waiter;

	admission_remove(service->admission, &call->queue);
	entry_probe_wait_end(service, call);
	/* What is in flight may run. */
	if (TAILQ_EMPTY(&call->attempts))
		quota_give_back(entry->quota, &call->quota, entry_now(entry));
	else
		quota_spend(entry->quota, &call->quota);
	abandon_attempts(entry, call);
	TAILQ_FOREACH (waiter, &call->waiters, link)
		g_hash_table_remove(entry->calls_by_ref, waiter->caller_ref);
	if (call->has_id)
		g_hash_table_remove(entry->calls_by_sequence, &call->sequence);
	TAILQ_REMOVE(&entry->calls, call, by_deadline);
	call_free(call);
}

void entry_record_cut_calls(entry_t *entry)
{
	const call_waiter_t *waiter;
	const call_t *call;

	TAILQ_FOREACH (call, &entry->calls, by_deadline) {
		TAILQ_FOREACH (waiter, &call->waiters, link) {
			entry->shutdown.calls.cut++;
			entry_log_cut_call(entry, call);
		}
	}
	counters_add(entry->counters, COUNTER_CALLS_CUT_AT_SHUTDOWN,
		     entry->shutdown.calls.cut);
}

/* Requests no actions, as the front end may be partly freed already. */
void entry_free_calls(entry_t *entry)
{
	entry->freeing = TRUE;
	while (!TAILQ_EMPTY(&entry->calls))
		remove_call(entry, TAILQ_FIRST(&entry->calls));
}

void entry_finish_with_error(entry_t *entry, call_t *call,
			     const catk_error_t *error)
{
	call_waiter_t *waiter;

	if (call->has_id && error->outcome == OUTCOME_NOT_RUN)
		request_ids_seal(entry->ids, call->sequence);
	else if (call->has_id)
		request_ids_end_unknown(entry->ids, call->sequence);
	if (call->routed)
		entry_log_call(entry, "request_ended", call, error);
	TAILQ_FOREACH (waiter, &call->waiters, link)
		answer_error(entry, waiter->caller_ref, error,
			     entry_now(entry) - call->admitted);
	remove_call(entry, call);
}

void entry_finish_with_answer(entry_t *entry, call_t *call,
			      const attempt_result_t *result)
{
	call_answer_t answer = {
		.error.outcome = OUTCOME_RAN,
		.status = result->status,
		.body = result->body,
		.message = result->message,
		.elapsed = entry_now(entry) - call->admitted,
	};
	call_waiter_t *waiter;

	if (call->has_id)
		request_ids_complete(entry->ids, call->sequence, result->status,
				     result->body);
	if (call->routed)
		entry_log_call(entry, "request_ended", call, NULL);
	TAILQ_FOREACH (waiter, &call->waiters, link) {
		count_answer_in_shutdown(entry, OUTCOME_RAN);
		counters_add(entry->counters, COUNTER_CALLS_SUCCEEDED, 1);
		entry_send_answer(entry, waiter->caller_ref, &answer);
	}
	remove_call(entry, call);
}

/* An earlier attempt may have run, so the outcome is not always NOT_RUN. */
void entry_finish_refused(entry_t *entry, call_t *call, catk_error_t *error)
{
	error->outcome = entry_call_outcome(entry, call);
	entry_finish_with_error(entry, call, error);
}

void entry_finish_expired(entry_t *entry, call_t *call)
{
	catk_error_t error;

	if (entry_call_outcome(entry, call) == OUTCOME_NOT_RUN)
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the deadline passed before the call started: "
			       "send it again with a new request id and a "
			       "later deadline");
	else
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_UNKNOWN,
			       "the deadline passed while the call may have "
			       "been running: read its effect before sending "
			       "it again");
	entry_finish_with_error(entry, call, &error);
}

void entry_expire_calls(entry_t *entry)
{
	GTimeSpan now = entry_now(entry);
	call_t *call = TAILQ_FIRST(&entry->calls);

	while (call && now >= call->deadline) {
		entry_finish_expired(entry, call);
		call = TAILQ_FIRST(&entry->calls);
	}
}
