/* The path of a call through an entry: admission, attempts, outcome. */
#include "lib/entry/entry_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * Time before the deadline at which an attempt is cancelled. It covers a new
 * connection and one exchange between data centres (about 8 ms) with room for
 * a busy endpoint.
 */
#define CANCEL_MARGIN (50 * G_TIME_SPAN_MILLISECOND)

/*
 * Shortest wait before an idempotent attempt without a byte is looked into.
 * Shorter waits would cancel calls that only queue at a busy endpoint.
 */
#define SILENCE_MIN (250 * G_TIME_SPAN_MILLISECOND)

static const call_rule_t *rule_of(const entry_t *entry)
{
	return entry->limits.call_rule ? entry->limits.call_rule :
					 &call_rule_by_proof;
}

static outcome_t outcome_of(const entry_t *entry, const call_t *call)
{
	const call_rule_t *rule = rule_of(entry);

	return rule->outcome(rule->ctx, call);
}

static void answer_error(entry_t *entry, void *caller_ref,
			 const catk_error_t *error)
{
	call_answer_t answer = { .error = *error };

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

static void answer_success(entry_t *entry, void *caller_ref, guint status,
			   GBytes *body)
{
	call_answer_t answer = { .status = status, .body = body };

	answer.error.outcome = OUTCOME_RAN;
	counters_add(entry->counters, COUNTER_CALLS_SUCCEEDED, 1);
	entry_send_answer(entry, caller_ref, &answer);
}

void entry_pass_answer(entry_t *entry, void *caller_ref,
		       const call_answer_t *answer)
{
	if (answer->error.kind == CATK_OK)
		answer_success(entry, caller_ref, answer->status, answer->body);
	else
		answer_error(entry, caller_ref, &answer->error);
}

/* Deadlines mostly arrive in order, so the search from the end is short. */
static void insert_by_deadline(entry_t *entry, call_t *call)
{
	call_t *before = TAILQ_LAST(&entry->calls, call_list);

	while (before && before->deadline > call->deadline)
		before = TAILQ_PREV(before, call_list, by_deadline);
	if (before)
		TAILQ_INSERT_AFTER(&entry->calls, before, call, by_deadline);
	else
		TAILQ_INSERT_HEAD(&entry->calls, call, by_deadline);
}

static void add_waiter(entry_t *entry, call_t *call, void *caller_ref)
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
		upstream_attempt_ended(service->upstream, attempt->address,
				       ATTEMPT_ABANDONED,
				       now - attempt->started, NULL, now);
		admission_ended(service->admission, &call->queue,
				ADMISSION_NO_ANSWER, 0, now - attempt->started,
				now);
		g_hash_table_remove(entry->calls_by_attempt, &attempt->id);
		entry->actions.cancel_attempt(entry->actions.ctx, attempt->id);
	}
}

/* Removes the call from every list and index and frees it. */
static void drop_call(entry_t *entry, call_t *call)
{
	entry_service_t *service = entry_find_service(entry, call->service);
	call_waiter_t *waiter;

	admission_remove(service->admission, &call->queue);
	abandon_attempts(entry, call);
	TAILQ_FOREACH (waiter, &call->waiters, link)
		g_hash_table_remove(entry->calls_by_ref, waiter->caller_ref);
	if (call->has_id)
		g_hash_table_remove(entry->calls_by_sequence, &call->sequence);
	TAILQ_REMOVE(&entry->calls, call, by_deadline);
	call_free(call);
}

void entry_drop_calls(entry_t *entry)
{
	while (!TAILQ_EMPTY(&entry->calls))
		drop_call(entry, TAILQ_FIRST(&entry->calls));
}

static void finish_with_error(entry_t *entry, call_t *call,
			      const catk_error_t *error)
{
	call_waiter_t *waiter;

	if (call->has_id && error->outcome == OUTCOME_NOT_RUN)
		request_ids_seal(entry->ids, call->sequence);
	else if (call->has_id)
		request_ids_abandon(entry->ids, call->sequence);
	TAILQ_FOREACH (waiter, &call->waiters, link)
		answer_error(entry, waiter->caller_ref, error);
	drop_call(entry, call);
}

static void finish_with_answer(entry_t *entry, call_t *call, guint status,
			       GBytes *body)
{
	call_waiter_t *waiter;

	if (call->has_id)
		request_ids_complete(entry->ids, call->sequence, status, body);
	TAILQ_FOREACH (waiter, &call->waiters, link)
		answer_success(entry, waiter->caller_ref, status, body);
	drop_call(entry, call);
}

/* Ends a call that admission gave up; an earlier attempt may have run. */
static void finish_refused(entry_t *entry, call_t *call, catk_error_t *error)
{
	error->outcome = outcome_of(entry, call);
	finish_with_error(entry, call, error);
}

static void finish_expired(entry_t *entry, call_t *call)
{
	catk_error_t error;

	if (outcome_of(entry, call) == OUTCOME_NOT_RUN)
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the deadline passed before the call started: "
			       "send it again with a new request id and a "
			       "later deadline");
	else
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_UNKNOWN,
			       "the deadline passed while the call may have "
			       "been running: read its effect before sending "
			       "it again");
	finish_with_error(entry, call, &error);
}

void entry_expire_calls(entry_t *entry)
{
	GTimeSpan now = entry_now(entry);
	call_t *call = TAILQ_FIRST(&entry->calls);

	while (call && now >= call->deadline) {
		finish_expired(entry, call);
		call = TAILQ_FIRST(&entry->calls);
	}
}

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

static gboolean may_retry(const entry_t *entry, const call_t *call,
			  GTimeSpan now)
{
	/* Calls are up to 7 levels deep: only one level retries. */
	if (call->caller_attempt > 1)
		return FALSE;
	/* Too late to cancel: the outcome would most likely be unknown. */
	if (call->deadline - now <= cancel_margin(call))
		return FALSE;
	return call->attempts_made < entry->limits.attempts_max &&
	       retry_budget_has_room(&entry->retries);
}

/*
 * Only an idempotent call that may be retried gains from an early look at a
 * silent connection: it can be sent again in the time that is left. Any other
 * call would lose its place at a busy endpoint.
 */
static void set_inquiry_times(const entry_t *entry, const call_t *call,
			      attempt_request_t *request, GTimeSpan now)
{
	GTimeSpan remaining = request->remaining;

	request->cancel_after =
		MAX(remaining - cancel_margin(call), remaining / 2);
	request->inquire_after = request->cancel_after;
	if (call->idempotent && may_retry(entry, call, now))
		request->inquire_after = MIN(MAX(SILENCE_MIN, remaining / 2),
					     request->cancel_after);
}

static void start_attempt(entry_t *entry, entry_service_t *service,
			  call_t *call, const endpoint_t *endpoint,
			  GTimeSpan now)
{
	attempt_t *attempt = call_start_attempt(
		call, entry->next_attempt++, endpoint_address(endpoint), now);
	attempt_request_t request = {
		.attempt_id = attempt->id,
		.address = attempt->address,
		.service = call->service,
		.method = call->method,
		.priority = priority_name(entry, call->queue.priority),
		.remaining = call->deadline - now,
		.attempt = call->caller_attempt - 1 + call->attempts_made,
		.connections_max = upstream_connection_share(service->upstream),
		.body = call->body,
	};

	g_hash_table_insert(entry->calls_by_attempt, &attempt->id, call);
	upstream_attempt_started(service->upstream, attempt->address, now);
	admission_started(service->admission, &call->queue, now);
	counters_add(entry->counters, COUNTER_ATTEMPTS_STARTED, 1);
	if (call->attempts_made > 1)
		counters_add(entry->counters, COUNTER_ATTEMPTS_RETRIED, 1);
	else
		retry_budget_earn(&entry->retries);
	set_inquiry_times(entry, call, &request, now);
	entry->actions.start_attempt(entry->actions.ctx, &request);
}

/*
 * Reads the clock, checks deadline and id, records and hands over in one step
 * of the loop, so that a pause before this step cannot lead to a late
 * dispatch.
 */
static gboolean dispatch_call(entry_t *entry, entry_service_t *service,
			      call_t *call)
{
	const char *avoid = call->attempts_made ? call->last_address : NULL;
	GTimeSpan now = entry_now(entry);
	const endpoint_t *endpoint;
	catk_error_t error;

	if (now >= call->deadline) {
		finish_expired(entry, call);
		return TRUE;
	}
	if (!admission_can_finish(service->admission, &call->queue, now,
				  &error)) {
		finish_refused(entry, call, &error);
		return TRUE;
	}
	endpoint = upstream_choose(service->upstream, avoid, now);
	if (!endpoint) {
		admission_requeue(service->admission, &call->queue);
		return FALSE;
	}
	if (call->has_id &&
	    !request_ids_dispatch(entry->ids, call->sequence, now)) {
		catk_error_set(&error, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the request id expired before the call "
			       "started: resolve again and use a new id");
		finish_with_error(entry, call, &error);
		return TRUE;
	}
	start_attempt(entry, service, call, endpoint, now);
	return TRUE;
}

void entry_dispatch(entry_t *entry, entry_service_t *service)
{
	admission_item_t *item;
	gboolean again = TRUE;

	while (again) {
		item = admission_next(service->admission, entry_now(entry));
		again = item &&
			dispatch_call(entry, service,
				      container_of(item, call_t, queue));
	}
}

static guint64 fingerprint(const call_request_t *request)
{
	XXH3_state_t *state = XXH3_createState();
	gsize size;
	gconstpointer data = g_bytes_get_data(request->body, &size);
	guint64 result;

	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, request->service,
			   strlen(request->service) + 1);
	XXH3_64bits_update(state, request->method, strlen(request->method) + 1);
	XXH3_64bits_update(state, data, size);
	result = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return result;
}

static void admit(entry_t *entry, entry_service_t *service, call_t *call,
		  void *caller_ref)
{
	admission_item_t *displaced;
	catk_error_t error;

	insert_by_deadline(entry, call);
	if (call->has_id)
		g_hash_table_insert(entry->calls_by_sequence, &call->sequence,
				    call);
	add_waiter(entry, call, caller_ref);
	if (!admission_offer(service->admission, &call->queue, entry_now(entry),
			     &displaced, &error)) {
		finish_with_error(entry, call, &error);
		return;
	}
	if (displaced)
		finish_refused(entry, container_of(displaced, call_t, queue),
			       &error);
	entry_dispatch(entry, service);
}

static call_t *new_call(entry_t *entry, const call_request_t *request,
			const schema_method_t *method)
{
	GTimeSpan remaining = method->deadline;
	call_attributes_t attributes = {
		.service = request->service,
		.method = method,
		.caller = request->caller,
		.body = request->body,
		.caller_attempt = MAX(request->attempt, 1),
	};

	if (request->remaining > 0)
		remaining = MIN(remaining, request->remaining);
	attributes.admitted = entry_now(entry);
	attributes.deadline = attributes.admitted + remaining;
	return call_new(&attributes);
}

/* Answers a request whose id was seen before or is not valid here. */
static void answer_by_id_state(entry_t *entry, const call_request_t *request,
			       guint64 sequence, request_id_state_t state,
			       const held_answer_t *held)
{
	void *ref = request->caller_ref;
	catk_error_t error;
	call_t *call;

	switch (state) {
	case REQUEST_ID_FRESH:
		g_assert_not_reached();
	case REQUEST_ID_IN_PROGRESS:
		call = g_hash_table_lookup(entry->calls_by_sequence, &sequence);
		g_assert(call);
		add_waiter(entry, call, ref);
		return;
	case REQUEST_ID_ANSWERED:
		answer_success(entry, ref, held->status, held->body);
		return;
	case REQUEST_ID_ANSWER_DROPPED:
		catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_RAN,
			       "the call ran but its answer is no longer "
			       "held: read its effect from the upstream");
		break;
	case REQUEST_ID_SEALED:
	case REQUEST_ID_EXPIRED:
		catk_error_set(&error, CATK_CONFLICT, OUTCOME_NOT_RUN,
			       "this request id was refused or has expired "
			       "and will not run: use a new id");
		break;
	case REQUEST_ID_NOT_ISSUED:
		/* It may be issued and run later, so nothing is promised. */
		catk_error_set(&error, CATK_INVALID_ARGUMENT, OUTCOME_UNKNOWN,
			       "this request id is not issued yet: take ids "
			       "from the answer of /v1/resolve");
		break;
	case REQUEST_ID_OTHER_REQUEST:
		catk_error_set(&error, CATK_CONFLICT, OUTCOME_NOT_RUN,
			       "this request id belongs to another request, "
			       "this one did not run: use a new id for it");
		break;
	case REQUEST_ID_OUTCOME_UNKNOWN:
	case REQUEST_ID_FORGOTTEN:
		catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
			       "whether the call ran is not known: read its "
			       "effect before sending it with a new id");
		break;
	}
	answer_error(entry, ref, &error);
}

static gboolean is_own_id(const entry_t *entry, const request_id_t *id)
{
	const member_t *self = membership_self(entry->membership);

	return strcmp(id->instance, self->name) == 0 &&
	       id->incarnation == self->incarnation;
}

/* longest bounds the time to the deadline, 0 when it is not known here. */
static void call_issuer(entry_t *entry, const call_request_t *request,
			const request_id_t *id, GTimeSpan longest)
{
	catk_error_t error;

	if (entry_forward(entry, request, id, longest))
		return;
	catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
		       "the issuer of this request id is gone: read the "
		       "effect before sending it with a new id");
	answer_error(entry, request->caller_ref, &error);
}

static void call_with_id(entry_t *entry, entry_service_t *service,
			 const schema_method_t *method,
			 const call_request_t *request)
{
	const held_answer_t *held = NULL;
	request_id_state_t state;
	catk_error_t error;
	request_id_t id;
	call_t *call;

	if (!request_id_parse(request->request_id, &id, &error)) {
		answer_error(entry, request->caller_ref, &error);
		return;
	}
	if (!is_own_id(entry, &id)) {
		call_issuer(entry, request, &id, method->deadline);
		return;
	}
	state = request_ids_begin(entry->ids, id.sequence, fingerprint(request),
				  entry_now(entry), &held);
	if (state != REQUEST_ID_FRESH) {
		counters_add(entry->counters, COUNTER_CALLS_DUPLICATE, 1);
		answer_by_id_state(entry, request, id.sequence, state, held);
		return;
	}
	call = new_call(entry, request, method);
	call->has_id = TRUE;
	call->sequence = id.sequence;
	admit(entry, service, call, request->caller_ref);
}

static const schema_method_t *
find_method(entry_t *entry, const call_request_t *request, catk_error_t *error)
{
	const schema_t *schema = config_schema(entry->config);
	const schema_service_t *service;
	const schema_method_t *method;

	if (!schema) {
		catk_error_set(error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "no configuration is in force here yet: use "
			       "another instance or try again later");
		return NULL;
	}
	service = schema_find_service(schema, request->service);
	method = service ? schema_find_method(service, request->method) : NULL;
	if (!method)
		catk_error_set(error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
			       "method %.64s.%.64s is not in schema version "
			       "%" G_GUINT64_FORMAT
			       ": declare it or correct the name",
			       request->service, request->method,
			       config_version(entry->config));
	return method;
}

/*
 * Decides a request whose method is not declared here by its id. Its issuer may
 * have run it under another schema, so only the issuer may refuse it; a refusal
 * seals the id, or a late copy would run once the method is declared. FALSE when
 * the id does not stand in the way of a refusal.
 */
static gboolean decided_by_id(entry_t *entry, const call_request_t *request)
{
	const held_answer_t *held = NULL;
	request_id_state_t state;
	request_id_t id;

	if (!request->request_id ||
	    !request_id_parse(request->request_id, &id, NULL))
		return FALSE;
	if (!is_own_id(entry, &id)) {
		call_issuer(entry, request, &id, 0);
		return TRUE;
	}
	state = request_ids_begin(entry->ids, id.sequence, fingerprint(request),
				  entry_now(entry), &held);
	if (state == REQUEST_ID_FRESH) {
		request_ids_seal(entry->ids, id.sequence);
		return FALSE;
	}
	answer_by_id_state(entry, request, id.sequence, state, held);
	return TRUE;
}

/* TRUE for a copy of a request that came when its method was not idempotent. */
static gboolean is_recorded(entry_t *entry, const call_request_t *request)
{
	request_id_t id;

	return request->request_id &&
	       request_id_parse(request->request_id, &id, NULL) &&
	       is_own_id(entry, &id) &&
	       request_ids_has_record(entry->ids, id.sequence);
}

void entry_call(entry_t *entry, const call_request_t *request)
{
	const schema_method_t *method;
	entry_service_t *service;
	catk_error_t error;

	counters_add(entry->counters, COUNTER_CALLS_RECEIVED, 1);
	method = find_method(entry, request, &error);
	if (!method) {
		if (!decided_by_id(entry, request))
			answer_error(entry, request->caller_ref, &error);
		return;
	}
	service = entry_find_service(entry, request->service);
	if (!rule_of(entry)->keeps_records ||
	    (method->idempotent && !is_recorded(entry, request))) {
		admit(entry, service, new_call(entry, request, method),
		      request->caller_ref);
		return;
	}
	if (!request->request_id) {
		catk_error_set(&error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "method %s.%s is not idempotent: send a "
			       "Catkinstall-Request-Id from /v1/resolve",
			       request->service, request->method);
		answer_error(entry, request->caller_ref, &error);
		return;
	}
	call_with_id(entry, service, method, request);
}

void entry_cancel(entry_t *entry, void *caller_ref)
{
	call_t *call = g_hash_table_lookup(entry->calls_by_ref, caller_ref);
	catk_error_t error;

	if (!call) {
		if (entry_cancel_forward(entry, caller_ref))
			counters_add(entry->counters, COUNTER_CALLS_CANCELLED,
				     1);
		return;
	}
	counters_add(entry->counters, COUNTER_CALLS_CANCELLED, 1);
	g_hash_table_remove(entry->calls_by_ref, caller_ref);
	call_remove_waiter(call, caller_ref);
	if (!TAILQ_EMPTY(&call->waiters))
		return;
	/*
	 * A lost connection is no reason to lose the result of a call that may
	 * be running: it goes on, and a copy under the same id gets its answer.
	 */
	if (call->has_id && outcome_of(entry, call) != OUTCOME_NOT_RUN)
		return;
	catk_error_set(&error, CATK_CANCELLED, outcome_of(entry, call),
		       "the caller closed its connection");
	finish_with_error(entry, call, &error);
}

static void retry_call(entry_t *entry, entry_service_t *service, call_t *call)
{
	retry_budget_spend(&entry->retries);
	if (call->has_id)
		request_ids_undispatch(entry->ids, call->sequence);
	admission_requeue(service->admission, &call->queue);
}

static void refuse_after_attempts(entry_t *entry, call_t *call)
{
	catk_error_t error;

	if (call->has_id)
		request_ids_undispatch(entry->ids, call->sequence);
	catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "no endpoint of %s took the call in %u attempts: try "
		       "again later with a new request id",
		       call->service, call->attempts_made);
	error.retry_after = G_TIME_SPAN_SECOND;
	finish_with_error(entry, call, &error);
}

static void finish_unknown(entry_t *entry, call_t *call)
{
	catk_error_t error;

	catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
		       "the upstream gave no whole answer and the call may "
		       "have run: read its effect before sending it again");
	finish_with_error(entry, call, &error);
}

static void count_end(entry_t *entry, attempt_end_t end)
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
	admission_ended(service->admission, &call->queue, end,
			reported_load(result), latency, now);
}

static void take_step(entry_t *entry, entry_service_t *service, call_t *call,
		      call_step_t step, const attempt_result_t *result)
{
	switch (step) {
	case CALL_WAIT:
		break;
	case CALL_RETRY:
		retry_call(entry, service, call);
		break;
	case CALL_RAN:
		finish_with_answer(entry, call, result->status, result->body);
		break;
	case CALL_NOT_RUN:
		refuse_after_attempts(entry, call);
		break;
	case CALL_UNKNOWN:
		finish_unknown(entry, call);
		break;
	}
}

/* A 5xx or an empty success is passed on, but counts against the endpoint. */
static attempt_end_t judged_end(const attempt_result_t *result)
{
	if (result->end != ATTEMPT_ANSWERED)
		return result->end;
	if (result->status >= 500 || g_bytes_get_size(result->body) == 0)
		return ATTEMPT_ERROR_ANSWER;
	return ATTEMPT_ANSWERED;
}

void entry_attempt_ended(entry_t *entry, const attempt_result_t *result)
{
	GTimeSpan now = entry_now(entry);
	entry_service_t *service;
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
	count_end(entry, result->end);
	upstream_attempt_ended(service->upstream, attempt->address,
			       judged_end(result), now - attempt->started,
			       result->has_report ? &result->report : NULL,
			       now);
	report_to_admission(service, call, result, now - attempt->started, now);
	g_hash_table_remove(entry->calls_by_attempt, &attempt->id);
	step = call_end_attempt(call, rule_of(entry), attempt, result->end,
				may_retry(entry, call, now), now);
	take_step(entry, service, call, step, result);
	entry_dispatch(entry, service);
}

void entry_probe_ended(entry_t *entry, const char *name, const char *address,
		       const load_report_t *report)
{
	entry_service_t *service = entry_find_service(entry, name);

	if (!service)
		return;
	upstream_probe_ended(service->upstream, address, report,
			     entry_now(entry));
	entry_dispatch(entry, service);
}
