/* Attempts: dispatch of calls to endpoints, results of attempts, retries. */
#include <string.h>

#include "lib/entry/entry_internal.h"

/*
 * Time before the deadline at which an attempt is cancelled. It covers opening
 * a connection and one exchange between data centres (about 8 ms), with a
 * margin for a busy endpoint.
 */
#define CANCEL_MARGIN (50 * G_TIME_SPAN_MILLISECOND)

/*
 * Minimum wait before a cancel query is sent for an idempotent attempt that has
 * received no byte. Shorter waits would cancel calls that are merely queued at a
 * busy endpoint.
 */
#define CANCEL_QUERY_DELAY_MIN (250 * G_TIME_SPAN_MILLISECOND)

/* Attempts per call that may fail to be sent without counting as attempts. */
#define UNSENT_ATTEMPTS_MAX 4

/* Calls for which an endpoint elsewhere is sought at once, to limit the work. */
#define CROSSING_CALLS_TRIED 4

static const char *priority_name(const entry_t *entry, guint priority)
{
	const schema_t *schema = config_schema(entry->config);

	if (priority >= schema->priority_count)
		priority = schema->priority_count - 1;
	return schema->priorities[priority].name;
}

static GTimeSpan cancel_margin(const call_t *call)
{
	return MIN(CANCEL_MARGIN, (call->deadline - call->admitted) / 4);
}

static guint attempts_max(const entry_t *entry, const call_t *call)
{
	return call->attempts_max ? call->attempts_max :
				    entry->limits.attempts_max;
}

static gboolean may_retry(const entry_t *entry, const entry_service_t *service,
			  const call_t *call, GTimeSpan now)
{
	/* No caller waits for the answer. */
	if (call->routed && TAILQ_EMPTY(&call->waiters))
		return FALSE;
	/* Calls pass through up to 7 services: only one of them may retry. */
	if (call->caller_attempt > 1)
		return FALSE;
	/* Too late to cancel: the outcome would probably be unknown. */
	if (call->deadline - now <= cancel_margin(call))
		return FALSE;
	if (call_attempts_counted(call) >= attempts_max(entry, call) ||
	    !entry_can_start_in_time(service, call, now) ||
	    !entry_may_start(entry, service, call))
		return FALSE;
	return call->queue.priority == 0 ?
		       retry_budget_has_tokens(&service->retry_budget) :
		       retry_budget_has_unreserved_tokens(
			       &service->retry_budget);
}

/*
 * An early cancel query on a silent connection only helps an idempotent call
 * that may be retried in the time left. Any other call would merely lose its
 * place in the queue of a busy endpoint.
 */
static void set_cancel_query_times(const entry_t *entry,
				   const entry_service_t *service,
				   const call_t *call,
				   attempt_request_t *request, GTimeSpan now)
{
	GTimeSpan remaining = request->remaining;

	request->last_cancel_query_after =
		MAX(remaining - cancel_margin(call), remaining / 2);
	request->first_cancel_query_after = request->last_cancel_query_after;
	if (call->idempotent && may_retry(entry, service, call, now))
		request->first_cancel_query_after =
			MIN(MAX(CANCEL_QUERY_DELAY_MIN, remaining / 2),
			    request->last_cancel_query_after);
}

/* NULL once the caller has left, as its message may have been freed. */
static void *routed_caller(const call_t *call)
{
	const call_waiter_t *waiter = TAILQ_FIRST(&call->waiters);

	return call->routed && waiter ? waiter->caller_ref : NULL;
}

/* As in attempt_request_t. */
static const char *organisation_of(const entry_t *entry, const call_t *call)
{
	if (organisations_is_empty(config_schema(entry->config)->organisations))
		return NULL;
	return call->organisation ? call->organisation : "";
}

static void start_attempt(entry_t *entry, entry_service_t *service,
			  call_t *call, const endpoint_t *endpoint,
			  GTimeSpan now)
{
	attempt_t *attempt = call_start_attempt(call, entry->next_attempt++,
						endpoint_id(endpoint),
						endpoint_address(endpoint),
						now);
	attempt_request_t request = {
		.attempt_id = attempt->id,
		.address = endpoint_address(endpoint),
		.endpoint = attempt->endpoint,
		.caller_ref = routed_caller(call),
		.idempotent = call->idempotent,
		.service = call->service,
		.method = call->method,
		.priority = priority_name(entry, call->queue.priority),
		.remaining = call->deadline - now,
		.attempt =
			call->caller_attempt - 1 + call_attempts_counted(call),
		.connections_max = upstream_connection_share(service->upstream),
		.needs_new_connection = attempt->needs_new_connection,
		.organisation = organisation_of(entry, call),
		.body = call->body,
	};

	call->start_slowdown_percent =
		upstream_expected_slowdown(service->upstream, endpoint, now);
	if (call->routed)
		entry_log_attempt_started(entry, service, call, attempt,
					  endpoint);
	if (upstream_is_remote(service->upstream, attempt->endpoint))
		counters_add(entry->counters, COUNTER_ATTEMPTS_REMOTE, 1);
	entry_record_spillover_call(service, call, endpoint, now);
	g_hash_table_insert(entry->calls_by_attempt, &attempt->id, call);
	upstream_attempt_started(service->upstream, attempt->endpoint, now);
	admission_attempt_started(service->admission, &call->queue, now);
	counters_add(entry->counters, COUNTER_ATTEMPTS_STARTED, 1);
	if (call->attempts_started > 1)
		counters_add(entry->counters, COUNTER_ATTEMPTS_RETRIED, 1);
	else
		retry_budget_fill(&service->retry_budget);
	set_cancel_query_times(entry, service, call, &request, now);
	entry->actions.start_attempt(entry->actions.ctx, &request);
}

/*
 * An attempt started this late cannot be cancelled before the deadline, so its
 * outcome would probably be unknown.
 */
static void refuse_late_start(entry_t *entry, call_t *call)
{
	catk_error_t error;

	catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
		       "too little time was left to start the call: send it "
		       "again with a new request id and a later deadline");
	entry_finish_refused(entry, call, &error);
}

/*
 * Checks the key of a routed call against the configuration in force, which may
 * have withdrawn it or given it to another organisation since the call arrived.
 */
static gboolean check_key_again(const entry_t *entry, call_t *call,
				catk_error_t *error)
{
	const organisation_t *organisation;

	if (!call->routed)
		return TRUE;
	if (!entry_check_key(entry, call->credential, call->needs_key,
			     &organisation, error))
		return FALSE;
	call_set_organisation(call, organisation ? organisation->name : NULL);
	return TRUE;
}

/*
 * Reads the clock, checks the deadline, the key, the credit and the request id,
 * records the dispatch and starts the attempt without returning to the main
 * loop. A pause of the process before this function thus cannot cause a late
 * dispatch. Returns FALSE if no endpoint has capacity.
 */
static gboolean dispatch_call(entry_t *entry, entry_service_t *service,
			      call_t *call)
{
	GTimeSpan now = entry_now(entry);
	upstream_criteria_t criteria;
	const endpoint_t *endpoint;
	catk_error_t error;

	if (now >= call->deadline) {
		entry_finish_expired(entry, call);
		return TRUE;
	}
	if (call->has_id && call->deadline - now <= cancel_margin(call)) {
		refuse_late_start(entry, call);
		return TRUE;
	}
	if (!admission_can_finish(service->admission, &call->queue, now,
				  &error)) {
		admission_no_capacity(service->admission, &call->queue, now);
		entry_finish_refused(entry, call, &error);
		return TRUE;
	}
	if (!check_key_again(entry, call, &error)) {
		entry_finish_refused(entry, call, &error);
		return TRUE;
	}
	criteria = entry_call_criteria(service, call, now);
	endpoint = upstream_choose_for(service->upstream, &criteria, now);
	if (!endpoint) {
		admission_requeue(service->admission, &call->queue);
		return FALSE;
	}
	if (!entry_take_credit(entry, call))
		return TRUE;
	if (call->has_id &&
	    !request_ids_dispatch(entry->ids, call->sequence, now)) {
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the request id expired before the call "
			       "started: resolve again and use a new id");
		entry_finish_with_error(entry, call, &error);
		return TRUE;
	}
	start_attempt(entry, service, call, endpoint, now);
	return TRUE;
}

/*
 * Starts one of the first calls of the priority that may leave the data centre,
 * if one finds an endpoint. The first call of a queue may have to wait at home
 * while others need not.
 */
static gboolean dispatch_crossing_call(entry_t *entry, entry_service_t *service,
				       guint priority)
{
	const char *name = upstream_service(service->upstream);
	GTimeSpan now = entry_now(entry);
	upstream_criteria_t criteria;
	guint tried = 0;
	call_t *call;

	TAILQ_FOREACH (call, &entry->calls, by_deadline) {
		if (!call->queue.lane || call->queue.priority != priority ||
		    strcmp(call->service, name) != 0)
			continue;
		criteria = entry_call_criteria(service, call, now);
		if (!criteria.remote_allowed)
			continue;
		if (upstream_choose_for(service->upstream, &criteria, now)) {
			admission_remove(service->admission, &call->queue);
			return dispatch_call(entry, service, call);
		}
		if (++tried == CROSSING_CALLS_TRIED)
			return FALSE;
	}
	return FALSE;
}

void entry_dispatch(entry_t *entry, entry_service_t *service)
{
	admission_item_t *item;

	while ((item = admission_next(service->admission, entry_now(entry)))) {
		guint priority = item->priority;

		if (!dispatch_call(entry, service,
				   container_of(item, call_t, queue)) &&
		    !(service->spillover &&
		      dispatch_crossing_call(entry, service, priority)))
			return;
	}
}

static void retry_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	retry_budget_take(&service->retry_budget);
	if (call->has_id)
		request_ids_revoke_dispatch(entry->ids, call->sequence);
	entry_probe_then_queue(entry, service, call);
}

/*
 * Retries a routed call whose attempt could not be sent. Such an attempt
 * reached no endpoint, so it counts neither as an attempt nor against the
 * retry budget. Returns FALSE if this does not apply or the limit is reached.
 */
static gboolean retry_unsent(entry_t *entry, entry_service_t *service,
			     call_t *call, attempt_end_t end)
{
	if (!call->routed || end != ATTEMPT_NOT_SENT ||
	    TAILQ_EMPTY(&call->waiters) ||
	    call->attempts_uncounted >= UNSENT_ATTEMPTS_MAX)
		return FALSE;
	call->attempts_uncounted++;
	entry_probe_then_queue(entry, service, call);
	return TRUE;
}

static void refuse_after_attempts(entry_t *entry, call_t *call)
{
	catk_error_t error;

	if (call->has_id)
		request_ids_revoke_dispatch(entry->ids, call->sequence);
	catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "no endpoint of %s accepted the call in %u attempts: "
		       "retry later with a new request id",
		       call->service, call->attempts_started);
	error.retry_after = G_TIME_SPAN_SECOND;
	if (call->routed)
		error.retry_after = entry_retry_after(
			entry, entry_find_service(entry, call->service), call,
			TRUE);
	entry_finish_with_error(entry, call, &error);
}

static void finish_outcome_unknown(entry_t *entry, call_t *call)
{
	catk_error_t error;

	catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
		       "the upstream sent no complete answer and the call may "
		       "have run: check its effect before sending it again");
	entry_finish_with_error(entry, call, &error);
}

static void count_attempt_end(entry_t *entry, attempt_end_t end)
{
	if (end == ATTEMPT_SHED)
		counters_add(entry->counters, COUNTER_ATTEMPTS_SHED, 1);
	else if (end != ATTEMPT_ANSWERED)
		counters_add(entry->counters, COUNTER_ATTEMPTS_FAILED, 1);
	if (end == ATTEMPT_SILENT)
		counters_add(entry->counters, COUNTER_CONNECTIONS_SILENT, 1);
	if (end == ATTEMPT_BAD_ANSWER)
		counters_add(entry->counters, COUNTER_ANSWERS_DROPPED, 1);
}

static double reported_load(const attempt_result_t *result)
{
	const load_report_t *report = &result->report;

	if (!result->has_report || !report->slots)
		return 0;
	return (double)report->in_flight / report->slots;
}

static void report_to_admission(entry_service_t *service, const call_t *call,
				const attempt_result_t *result,
				GTimeSpan latency, GTimeSpan now)
{
	admission_end_t end = ADMISSION_NO_ANSWER;

	if (result->end == ATTEMPT_ANSWERED)
		end = ADMISSION_ANSWERED;
	else if (result->end == ATTEMPT_SHED)
		end = ADMISSION_REFUSED;
	admission_attempt_ended(service->admission, &call->queue, end,
				reported_load(result), latency, now);
}

static void apply_step(entry_t *entry, entry_service_t *service, call_t *call,
		       call_step_t step, const attempt_result_t *result)
{
	switch (step) {
	case CALL_WAIT:
		break;
	case CALL_RETRY:
		retry_call(entry, service, call);
		break;
	case CALL_RAN:
		entry_finish_with_answer(entry, call, result);
		break;
	case CALL_NOT_RUN:
		refuse_after_attempts(entry, call);
		break;
	case CALL_UNKNOWN:
		finish_outcome_unknown(entry, call);
		break;
	}
}

/*
 * The end as reported to the upstream. A 5xx or an empty answer is passed on to
 * the caller, but counts as a failure of the endpoint.
 */
static attempt_end_t end_for_upstream(const attempt_result_t *result)
{
	if (result->end != ATTEMPT_ANSWERED)
		return result->end;
	if (result->status >= 500 ||
	    (!result->message && g_bytes_get_size(result->body) == 0))
		return ATTEMPT_ERROR_ANSWER;
	return ATTEMPT_ANSWERED;
}

/*
 * The end as reported to the call. A 5xx answer to an idempotent routed call is
 * retried, if allowed, before it is passed on.
 */
static attempt_end_t end_for_call(const call_t *call,
				  const attempt_result_t *result,
				  gboolean retry_allowed)
{
	if (call->routed && call->idempotent && retry_allowed &&
	    result->end == ATTEMPT_ANSWERED && result->status >= 500)
		return ATTEMPT_ERROR_ANSWER;
	return result->end;
}

void entry_attempt_ended(entry_t *entry, const attempt_result_t *result)
{
	GTimeSpan now = entry_now(entry);
	entry_service_t *service;
	gboolean retry_allowed;
	GTimeSpan latency;
	attempt_t *attempt;
	call_step_t step;
	call_t *call;

	call = g_hash_table_lookup(entry->calls_by_attempt,
				   &result->attempt_id);
	if (!call) {
		counters_add(entry->counters, COUNTER_ANSWERS_DROPPED, 1);
		return;
	}
	service = entry_find_service(entry, call->service);
	attempt = call_find_attempt(call, result->attempt_id);
	latency = now - attempt->started;
	count_attempt_end(entry, result->end);
	if (call->routed)
		entry_log_attempt_ended(entry, call, attempt, result);
	upstream_attempt_ended(service->upstream, attempt->endpoint,
			       end_for_upstream(result), latency,
			       result->has_report ? &result->report : NULL,
			       now);
	report_to_admission(service, call, result, latency, now);
	entry_record_spillover_end(service, attempt->endpoint, result->end,
				   now);
	entry_learn_service_time(service, call, attempt->endpoint, result,
				 latency, now);
	g_hash_table_remove(entry->calls_by_attempt, &attempt->id);
	if (!attempt_end_proves_not_run(result->end))
		quota_spend(entry->quota, &call->quota);
	retry_allowed = may_retry(entry, service, call, now);
	step = call_end_attempt(call, entry_retry_rule(entry), attempt,
				end_for_call(call, result, retry_allowed),
				retry_allowed, now);
	if (step == CALL_WAIT ||
	    !retry_unsent(entry, service, call, result->end))
		apply_step(entry, service, call, step, result);
	entry_dispatch(entry, service);
}

void entry_probe_ended(entry_t *entry, const char *name, const char *endpoint,
		       const load_report_t *report)
{
	entry_service_t *service = entry_find_service(entry, name);

	if (!service)
		return;
	entry_record_spillover_probe(service, endpoint, report,
				     entry_now(entry));
	upstream_probe_ended(service->upstream, endpoint, report,
			     entry_now(entry));
	entry_probe_wait_report(entry, service, endpoint);
	entry_dispatch(entry, service);
}

void entry_endpoint_notice(entry_t *entry, const char *name,
			   const char *endpoint,
			   const endpoint_notice_t *notice)
{
	entry_service_t *service = entry_find_service(entry, name);

	if (service)
		upstream_notice_received(service->upstream, endpoint, notice,
					 entry_now(entry));
}
