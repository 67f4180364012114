/* Arrival and cancellation of calls: routing, request ids, duplicates. */
#include "lib/entry/entry_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * Delay after which callers of an instance without configuration retry. One
 * that has no configuration a second after its start often has an outage of the
 * store, so other instances are the callers' better choice.
 */
#define NO_CONFIG_RETRY_MIN (100 * G_TIME_SPAN_MILLISECOND)
#define NO_CONFIG_RETRY_MAX (400 * G_TIME_SPAN_MILLISECOND)

static guint64 request_fingerprint(const call_request_t *request)
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

/* A call that may have run must not be reported as refused. */
static void refuse_without_credit(entry_t *entry, call_t *call,
				  quota_result_t result, GTimeSpan retry_after)
{
	catk_error_t error;

	if (entry_call_outcome(entry, call) != OUTCOME_NOT_RUN)
		catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
			       "the call may have run, and the rate limit of "
			       "its organisation allows no second attempt: "
			       "check its effect before sending it again");
	else if (result == QUOTA_REFUSED)
		catk_error_set(&error, CATK_RATE_LIMITED, OUTCOME_NOT_RUN,
			       "the organisation has reached its rate limit: "
			       "send the call again after the stated delay");
	else
		catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "the instance that keeps the rate limit of the "
			       "organisation does not answer: send the call to "
			       "another instance or again later");
	error.retry_after = retry_after;
	entry_finish_with_error(entry, call, &error);
}

gboolean entry_take_credit(entry_t *entry, call_t *call)
{
	GTimeSpan now = entry_now(entry);
	GTimeSpan retry_after;
	quota_result_t result;

	if (!entry->quota || !call->routed)
		return TRUE;
	if (!call->organisation) {
		quota_give_back(entry->quota, &call->quota, now);
		return TRUE;
	}
	result = quota_take(entry->quota, &call->quota, call->organisation, now,
			    &retry_after);
	if (result == QUOTA_REFUSED || result == QUOTA_NO_CONTACT)
		refuse_without_credit(entry, call, result, retry_after);
	return result == QUOTA_ADMITTED;
}

static void on_credit_decided(void *ctx, quota_item_t *item,
			      quota_result_t result, GTimeSpan retry_after)
{
	call_t *call = container_of(item, call_t, quota);
	entry_t *entry = ctx;

	if (result == QUOTA_ADMITTED)
		entry_probe_then_queue(
			entry, entry_find_service(entry, call->service), call);
	else
		refuse_without_credit(entry, call, result, retry_after);
}

static void on_send_ask(void *ctx, const char *address, const quota_ask_t *ask)
{
	peer_message_t message = { .kind = PEER_QUOTA_ASK };

	message.u.quota_ask = *ask;
	entry_send_to_peer(ctx, address, &message);
}

static void on_send_grants(void *ctx, guint64 connection,
			   const quota_answer_t *answer)
{
	peer_message_t message = { .kind = PEER_QUOTA_ANSWER };

	message.u.quota_answer = *answer;
	entry_reply_to_peer(ctx, connection, &message);
}

void entry_quota_init(entry_t *entry)
{
	const quota_options_t options = {
		.window = entry->limits.quota_window,
		.overage = entry->limits.quota_overage,
		.slack = entry->limits.quota_slack,
		.first_start = entry->limits.first_start > 0,
	};
	const quota_actions_t actions = {
		.send_ask = on_send_ask,
		.send_answer = on_send_grants,
		.decided = on_credit_decided,
		.log = &entry->actions.log,
		.ctx = entry,
	};

	if (entry->limits.quota_window > 0)
		entry->quota = quota_new(
			membership_self(entry->membership)->name, &options,
			&actions, entry->counters, entry_now(entry));
}

static void admit(entry_t *entry, entry_service_t *service, call_t *call,
		  void *caller_ref)
{
	entry_insert_call(entry, call);
	if (call->has_id)
		g_hash_table_insert(entry->calls_by_sequence, &call->sequence,
				    call);
	entry_add_waiter(entry, call, caller_ref);
	if (entry_take_credit(entry, call))
		entry_probe_then_queue(entry, service, call);
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

static void count_received(entry_t *entry)
{
	counters_add(entry->counters, COUNTER_CALLS_RECEIVED, 1);
	if (entry_is_leaving(entry))
		entry->shutdown.calls.received++;
}

static void log_no_route(const entry_t *entry, const routed_request_t *request)
{
	LOG_EVENT(&entry->actions.log, "no_route",
		  LOG_TEXT("request", request->name ? request->name : ""),
		  LOG_TEXT("host", request->host),
		  LOG_TEXT("path", request->path),
		  LOG_NUMBER("config_version",
			     (gint64)config_version(entry->config)));
}

static void answer_no_route(entry_t *entry, const routed_request_t *request)
{
	catk_error_t error;

	catk_error_set(&error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "no route of configuration version %" G_GUINT64_FORMAT
		       " matches this host and path: declare one or correct "
		       "the address",
		       config_version(entry->config));
	log_no_route(entry, request);
	entry_answer_error(entry, request->caller_ref, &error);
}

/* Callers return spread over time, to this instance or to another one. */
static void refuse_without_config(entry_t *entry, void *caller_ref)
{
	catk_error_t error;

	catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "this instance has no configuration yet: use another "
		       "instance or retry later");
	error.retry_after = g_rand_int_range(entry->random, NO_CONFIG_RETRY_MIN,
					     NO_CONFIG_RETRY_MAX);
	entry_answer_error(entry, caller_ref, &error);
}

/* The request waits for the configuration, or is refused if it may not. */
static void route_without_config(entry_t *entry,
				 const routed_request_t *request)
{
	const startup_request_t attributes = {
		.host = (char *)request->host,
		.path = (char *)request->path,
		.name = (char *)request->name,
		.credential = (char *)request->credential,
		.body = request->body,
		.deadline = request->remaining > 0 ?
				    entry_now(entry) + request->remaining :
				    0,
		.caller_ref = request->caller_ref,
	};

	if (!entry_is_leaving(entry) &&
	    startup_queue_add(&entry->startup_queue, &attributes,
			      entry_now(entry)))
		return;
	log_no_route(entry, request);
	refuse_without_config(entry, request->caller_ref);
}

gboolean entry_check_key(const entry_t *entry, const char *credential,
			 gboolean needs_key,
			 const organisation_t **organisation,
			 catk_error_t *error)
{
	const organisations_t *organisations =
		config_schema(entry->config)->organisations;

	*organisation = organisations_find_by_key(organisations, credential);
	if (*organisation || !needs_key ||
	    organisations_is_empty(organisations))
		return TRUE;
	catk_error_set(error, CATK_UNAUTHENTICATED, OUTCOME_NOT_RUN,
		       "%s in configuration version %" G_GUINT64_FORMAT
		       ": send the key of an organisation",
		       credential ? "the key of the request is not valid" :
				    "the request needs a key",
		       config_version(entry->config));
	counters_add(entry->counters, COUNTER_CALLS_UNAUTHENTICATED, 1);
	return FALSE;
}

static void answer_without_valid_key(entry_t *entry,
				     const routed_request_t *request,
				     const schema_route_t *route,
				     const catk_error_t *error)
{
	LOG_EVENT(&entry->actions.log, "key_refused",
		  LOG_TEXT("request", request->name ? request->name : ""),
		  LOG_TEXT("method", route->method.name),
		  LOG_NUMBER("has_key", request->credential != NULL),
		  LOG_NUMBER("config_version",
			     (gint64)config_version(entry->config)));
	entry_answer_error(entry, request->caller_ref, error);
}

static void route_request(entry_t *entry, const routed_request_t *request)
{
	const schema_t *schema = config_schema(entry->config);
	const schema_route_t *route =
		schema_match_route(schema, request->host, request->path);
	const char *service = NULL;
	call_attributes_t attributes = { .caller = "", .caller_attempt = 1 };
	GTimeSpan remaining;
	catk_error_t error;

	if (route &&
	    !entry_check_key(entry, request->credential, !route->is_public,
			     &attributes.organisation, &error)) {
		answer_without_valid_key(entry, request, route, &error);
		return;
	}
	if (route)
		service = route_splits_next(entry->splits, route);
	if (!service) {
		answer_no_route(entry, request);
		return;
	}
	remaining = route->method.deadline;
	if (request->remaining > 0) {
		remaining = MIN(remaining, request->remaining);
		attributes.elapsed = route_deadlines_estimate_elapsed(
			entry->deadlines, route, request->remaining);
	}
	attributes.log_name = request->name;
	attributes.credential = request->credential;
	/* Queues are fair between organisations. */
	if (attributes.organisation)
		attributes.caller = attributes.organisation->name;
	attributes.service = service;
	attributes.method = &route->method;
	attributes.route = route;
	attributes.body = request->body;
	attributes.admitted = entry_now(entry);
	attributes.deadline = attributes.admitted + remaining;
	admit(entry, entry_find_service(entry, service), call_new(&attributes),
	      request->caller_ref);
}

void entry_route(entry_t *entry, const routed_request_t *request)
{
	count_received(entry);
	if (config_schema(entry->config))
		route_request(entry, request);
	else
		route_without_config(entry, request);
}

void entry_route_startup_requests(entry_t *entry)
{
	startup_request_t *waiting;

	while ((waiting = startup_queue_take(&entry->startup_queue))) {
		routed_request_t request = {
			.host = waiting->host,
			.path = waiting->path,
			.name = waiting->name,
			.credential = waiting->credential,
			.body = waiting->body,
			.caller_ref = waiting->caller_ref,
		};

		/* A deadline that has passed ends the call at once. */
		if (waiting->deadline)
			request.remaining =
				MAX(waiting->deadline - entry_now(entry), 1);
		route_request(entry, &request);
		startup_request_free(waiting);
	}
}

void entry_refuse_startup_requests(entry_t *entry, gboolean all)
{
	startup_request_t *waiting;

	while ((waiting =
			all ? startup_queue_take(&entry->startup_queue) :
			      startup_queue_take_expired(&entry->startup_queue,
							 entry_now(entry)))) {
		refuse_without_config(entry, waiting->caller_ref);
		startup_request_free(waiting);
	}
}

/* Answers a request whose id is already used, expired, sealed or not issued. */
static void answer_by_id_state(entry_t *entry, const call_request_t *request,
			       guint64 sequence, request_id_state_t state,
			       const held_answer_t *held)
{
	void *ref = request->caller_ref;
	catk_error_t error;
	call_t *call;

	switch (state) {
	case REQUEST_ID_NEW:
		g_assert_not_reached();
	case REQUEST_ID_IN_PROGRESS:
		call = g_hash_table_lookup(entry->calls_by_sequence, &sequence);
		g_assert(call);
		entry_add_waiter(entry, call, ref);
		return;
	case REQUEST_ID_ANSWERED:
		entry_answer_success(entry, ref, held->status, held->body);
		return;
	case REQUEST_ID_ANSWER_DROPPED:
		catk_error_set(&error, CATK_UNAVAILABLE, OUTCOME_RAN,
			       "the call ran but its answer is no longer "
			       "stored: check its effect at the upstream");
		break;
	case REQUEST_ID_SEALED:
	case REQUEST_ID_EXPIRED:
		catk_error_set(&error, CATK_CONFLICT, OUTCOME_NOT_RUN,
			       "the call of this request id was refused, or "
			       "the id has expired; it will not run: use a "
			       "new id");
		break;
	case REQUEST_ID_NOT_ISSUED:
		/* The id may be issued and used later, so not NOT_RUN. */
		catk_error_set(&error, CATK_INVALID_ARGUMENT, OUTCOME_UNKNOWN,
			       "this request id has not been issued: use ids "
			       "from the answer of /v1/resolve");
		break;
	case REQUEST_ID_CONFLICT:
		catk_error_set(&error, CATK_CONFLICT, OUTCOME_NOT_RUN,
			       "this request id was used by a different "
			       "request; this one did not run: use a new id");
		break;
	case REQUEST_ID_OUTCOME_UNKNOWN:
	case REQUEST_ID_PURGED:
		catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
			       "whether the call ran is not known: check its "
			       "effect before sending it with a new id");
		break;
	}
	entry_answer_error(entry, ref, &error);
}

static gboolean is_own_id(const entry_t *entry, const request_id_t *id)
{
	const member_t *self = membership_self(entry->membership);

	return strcmp(id->instance, self->name) == 0 &&
	       id->incarnation == self->incarnation;
}

/* max_remaining is as in entry_forward_call(). */
static void forward_to_issuer(entry_t *entry, const call_request_t *request,
			      const request_id_t *id, GTimeSpan max_remaining)
{
	catk_error_t error;

	if (entry_forward_call(entry, request, id, max_remaining))
		return;
	catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
		       "the issuer of this request id is not available: check "
		       "the effect before sending the call with a new id");
	entry_answer_error(entry, request->caller_ref, &error);
}

static void call_with_id(entry_t *entry, entry_service_t *service,
			 const schema_method_t *method,
			 const call_request_t *request, const request_id_t *id)
{
	const held_answer_t *held = NULL;
	request_id_state_t state;
	call_t *call;

	if (!is_own_id(entry, id)) {
		forward_to_issuer(entry, request, id, method->deadline);
		return;
	}
	state = request_ids_begin(entry->ids, id->sequence,
				  request_fingerprint(request),
				  entry_now(entry), &held);
	if (state != REQUEST_ID_NEW) {
		counters_add(entry->counters, COUNTER_CALLS_DUPLICATE, 1);
		answer_by_id_state(entry, request, id->sequence, state, held);
		return;
	}
	call = new_call(entry, request, method);
	call->has_id = TRUE;
	call->sequence = id->sequence;
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
			       "this instance has no configuration yet: use "
			       "another instance or retry later");
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
 * Handles a request id whose method is not declared here. Its issuer may have
 * run the call under another schema, so only the issuer may refuse it. Seals
 * an unused id, or a late copy would run once the method is declared. Returns
 * FALSE if the request has no answer yet and must be refused.
 */
static gboolean decide_by_id(entry_t *entry, const call_request_t *request,
			     const request_id_t *id)
{
	const held_answer_t *held = NULL;
	request_id_state_t state;

	if (!is_own_id(entry, id)) {
		forward_to_issuer(entry, request, id, 0);
		return TRUE;
	}
	state = request_ids_begin(entry->ids, id->sequence,
				  request_fingerprint(request),
				  entry_now(entry), &held);
	if (state == REQUEST_ID_NEW) {
		request_ids_seal(entry->ids, id->sequence);
		return FALSE;
	}
	answer_by_id_state(entry, request, id->sequence, state, held);
	return TRUE;
}

/*
 * TRUE if the id has a record: an earlier copy of the request was received
 * while its method was not idempotent.
 */
static gboolean has_record(entry_t *entry, const request_id_t *id)
{
	return is_own_id(entry, id) &&
	       request_ids_has_record(entry->ids, id->sequence);
}

void entry_call(entry_t *entry, const call_request_t *request)
{
	const schema_method_t *method;
	entry_service_t *service;
	catk_error_t error, id_error;
	request_id_t id;
	gboolean has_id = request->request_id &&
			  request_id_parse(request->request_id, &id, &id_error);

	count_received(entry);
	method = find_method(entry, request, &error);
	if (!method) {
		if (!has_id || !decide_by_id(entry, request, &id))
			entry_answer_error(entry, request->caller_ref, &error);
		return;
	}
	service = entry_find_service(entry, request->service);
	if (!entry_retry_rule(entry)->records_request_ids ||
	    (method->idempotent && !(has_id && has_record(entry, &id)))) {
		admit(entry, service, new_call(entry, request, method),
		      request->caller_ref);
		return;
	}
	if (!request->request_id) {
		catk_error_set(&error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "method %s.%s is not idempotent: send a "
			       "Catkinstall-Request-Id from /v1/resolve",
			       request->service, request->method);
		entry_answer_error(entry, request->caller_ref, &error);
		return;
	}
	if (has_id)
		call_with_id(entry, service, method, request, &id);
	else
		entry_answer_error(entry, request->caller_ref, &id_error);
}

static void count_cancelled(entry_t *entry)
{
	counters_add(entry->counters, COUNTER_CALLS_CANCELLED, 1);
	if (entry_is_leaving(entry))
		entry->shutdown.calls.cancelled++;
}

void entry_cancel(entry_t *entry, void *caller_ref)
{
	call_t *call = g_hash_table_lookup(entry->calls_by_ref, caller_ref);
	catk_error_t error;

	if (!call) {
		if (entry_cancel_forwarded_call(entry, caller_ref) ||
		    startup_queue_remove(&entry->startup_queue, caller_ref))
			count_cancelled(entry);
		return;
	}
	count_cancelled(entry);
	entry_log_call(entry, "caller_left", call, NULL);
	g_hash_table_remove(entry->calls_by_ref, caller_ref);
	call_remove_waiter(call, caller_ref);
	if (!TAILQ_EMPTY(&call->waiters))
		return;
	/*
	 * A call that may be running and must not run twice continues, so that
	 * a copy under the same id gets its answer.
	 */
	if ((call->has_id || (call->routed && !call->idempotent)) &&
	    entry_call_outcome(entry, call) != OUTCOME_NOT_RUN)
		return;
	catk_error_set(&error, CATK_CANCELLED, entry_call_outcome(entry, call),
		       "the caller closed its connection");
	entry_finish_with_error(entry, call, &error);
}
