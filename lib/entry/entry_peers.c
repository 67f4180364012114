/*
 * Exchange with other instances: membership, distribution of configurations,
 * and forwarding of calls under request ids that another instance issued.
 */
#include "lib/entry/entry_internal.h"

#include <string.h>

/* Time after which an unanswered request for a configuration is repeated. */
#define CONFIG_PULL_TIMEOUT (500 * G_TIME_SPAN_MILLISECOND)
/* Time until a configuration that this instance rejected is requested again. */
#define REJECTED_CONFIG_RETRY_DELAY (1 * G_TIME_SPAN_MINUTE)
/* Time beyond the deadline for the issuer's answer to travel back. */
#define FORWARD_GRACE (100 * G_TIME_SPAN_MILLISECOND)
/* Deadline of a forwarded call whose method is not in the schema in force. */
#define UNKNOWN_METHOD_DEADLINE (60 * G_TIME_SPAN_SECOND)

/* A call that this instance has forwarded to the issuer of its request id. */
typedef struct forward {
	TAILQ_ENTRY(forward) link;
	guint64 number;
	void *caller_ref;
	char address[MEMBER_ADDRESS_MAX + 1]; /* of the issuer */
	GTimeSpan expiry;
} forward_t;

/* A call that another instance forwarded here, used as its caller_ref. */
typedef struct peer_call {
	TAILQ_ENTRY(peer_call) link;
	guint64 connection;
	guint64 number;
} peer_call_t;

struct entry_peers {
	TAILQ_HEAD(forward_list, forward) forwards;
	GHashTable *forwards_by_number;
	GHashTable *forwards_by_ref;
	TAILQ_HEAD(peer_call_list, peer_call) peer_calls;
	GHashTable *peer_calls_by_ref; /* keys only */
	guint64 last_forward_number;
	guint64 requested_version; /* in the last PEER_CONFIG_PULL */
	GTimeSpan next_pull; /* when that version may be requested again */
	guint64 announced_version; /* passed to the membership */
	/* In the last PEER_EVACUATION_PULL. */
	guint64 requested_evacuations;
	GTimeSpan next_evacuation_pull; /* when it may be requested again */
};

/* Sets the state of this instance that every message carries. */
static void set_sender_state(const entry_t *entry, peer_message_t *message)
{
	message->config_version = config_version(entry->config);
	message->store_revision =
		subscription_watch_revision(entry->subscription);
	message->evacuation_position = evacuations_position(entry->evacuations);
}

void entry_send_to_peer(entry_t *entry, const char *address,
			peer_message_t *message)
{
	set_sender_state(entry, message);
	entry->actions.send_to_peer(entry->actions.ctx, address, message);
}

void entry_reply_to_peer(entry_t *entry, guint64 connection,
			 peer_message_t *message)
{
	set_sender_state(entry, message);
	entry->actions.reply_to_peer(entry->actions.ctx, connection, message);
}

static void on_membership_send(void *ctx, const char *address,
			       const membership_message_t *membership)
{
	peer_message_t message = { .kind = PEER_MEMBERSHIP };

	message.u.membership = *membership;
	entry_send_to_peer(ctx, address, &message);
}

static void on_membership_reply(void *ctx, guint64 connection,
				const membership_message_t *membership)
{
	peer_message_t message = { .kind = PEER_MEMBERSHIP };

	message.u.membership = *membership;
	entry_reply_to_peer(ctx, connection, &message);
}

void entry_peers_init(entry_t *entry, const member_t *self)
{
	membership_actions_t actions = {
		.send = on_membership_send,
		.reply = on_membership_reply,
		.ctx = entry,
	};
	entry_peers_t *peers = g_new0(entry_peers_t, 1);

	TAILQ_INIT(&peers->forwards);
	TAILQ_INIT(&peers->peer_calls);
	peers->forwards_by_number =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	peers->forwards_by_ref = g_hash_table_new(NULL, NULL);
	peers->peer_calls_by_ref = g_hash_table_new(NULL, NULL);
	entry->peers = peers;
	entry->membership =
		membership_new(self, &actions, entry->random, entry->counters);
	membership_set_log(entry->membership, &entry->actions.log);
}

static void forward_free(entry_peers_t *peers, forward_t *forward)
{
	g_hash_table_remove(peers->forwards_by_number, &forward->number);
	g_hash_table_remove(peers->forwards_by_ref, forward->caller_ref);
	TAILQ_REMOVE(&peers->forwards, forward, link);
	g_free(forward);
}

static void peer_call_free(entry_peers_t *peers, peer_call_t *peer_call)
{
	g_hash_table_remove(peers->peer_calls_by_ref, peer_call);
	TAILQ_REMOVE(&peers->peer_calls, peer_call, link);
	g_free(peer_call);
}

void entry_peers_free(entry_t *entry)
{
	entry_peers_t *peers = entry->peers;

	while (!TAILQ_EMPTY(&peers->forwards))
		forward_free(peers, TAILQ_FIRST(&peers->forwards));
	while (!TAILQ_EMPTY(&peers->peer_calls))
		peer_call_free(peers, TAILQ_FIRST(&peers->peer_calls));
	g_hash_table_destroy(peers->forwards_by_number);
	g_hash_table_destroy(peers->forwards_by_ref);
	g_hash_table_destroy(peers->peer_calls_by_ref);
	g_free(peers);
	membership_free(entry->membership);
}

void entry_add_seed(entry_t *entry, const char *peer_address)
{
	membership_add_seed(entry->membership, peer_address);
}

gboolean entry_has_forwarded_calls(const entry_t *entry)
{
	return !TAILQ_EMPTY(&entry->peers->forwards);
}

/*
 * Time to the deadline of a call to be forwarded; max_remaining 0 is unknown.
 */
static GTimeSpan remaining_time(const call_request_t *request,
				GTimeSpan max_remaining)
{
	if (max_remaining <= 0)
		max_remaining = UNKNOWN_METHOD_DEADLINE;
	return request->remaining > 0 ? MIN(request->remaining, max_remaining) :
					max_remaining;
}

static forward_t *add_forward(entry_t *entry, void *caller_ref,
			      const member_t *issuer, GTimeSpan remaining)
{
	entry_peers_t *peers = entry->peers;
	forward_t *forward = g_new0(forward_t, 1);

	forward->number = ++peers->last_forward_number;
	forward->caller_ref = caller_ref;
	forward->expiry = entry_now(entry) + remaining + FORWARD_GRACE;
	g_strlcpy(forward->address, issuer->peer_address,
		  sizeof(forward->address));
	TAILQ_INSERT_TAIL(&peers->forwards, forward, link);
	g_hash_table_insert(peers->forwards_by_number, &forward->number,
			    forward);
	g_hash_table_insert(peers->forwards_by_ref, caller_ref, forward);
	return forward;
}

/* The member that issued the id, NULL if gone, restarted or this instance. */
static const member_t *find_issuer(const entry_t *entry, const request_id_t *id)
{
	const member_t *issuer =
		membership_find(entry->membership, id->instance);

	if (!issuer || issuer == membership_self(entry->membership) ||
	    issuer->incarnation != id->incarnation ||
	    issuer->state == MEMBER_GONE)
		return NULL;
	return issuer;
}

/*
 * The issuer may have received the call through another instance, so its outcome
 * is not known here.
 */
static void refuse_to_forward(entry_t *entry, void *caller_ref)
{
	catk_error_t error;

	catk_error_set(&error, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN,
		       "this instance is shutting down and cannot wait for the "
		       "issuer of the request id: send the call again with the "
		       "same request id to another instance");
	entry_answer_error(entry, caller_ref, &error);
}

gboolean entry_forward_call(entry_t *entry, const call_request_t *request,
			    const request_id_t *id, GTimeSpan max_remaining)
{
	GTimeSpan remaining = remaining_time(request, max_remaining);
	const member_t *issuer = find_issuer(entry, id);
	peer_message_t message = { .kind = PEER_FORWARD_CALL };
	const forward_t *forward;

	if (!issuer || g_hash_table_contains(entry->peers->peer_calls_by_ref,
					     request->caller_ref))
		return FALSE;
	if (!entry_may_wait_until(entry, entry_now(entry) + remaining +
						 FORWARD_GRACE)) {
		refuse_to_forward(entry, request->caller_ref);
		return TRUE;
	}
	forward = add_forward(entry, request->caller_ref, issuer, remaining);
	counters_add(entry->counters, COUNTER_CALLS_FORWARDED, 1);
	message.u.call.number = forward->number;
	message.u.call.service = request->service;
	message.u.call.method = request->method;
	message.u.call.request_id = request->request_id;
	message.u.call.caller = request->caller;
	message.u.call.remaining = remaining;
	message.u.call.body = request->body;
	entry_send_to_peer(entry, forward->address, &message);
	membership_ping_now(entry->membership, issuer->name, entry_now(entry));
	return TRUE;
}

static void finish_forward(entry_t *entry, forward_t *forward,
			   const call_answer_t *answer)
{
	void *caller_ref = forward->caller_ref;

	forward_free(entry->peers, forward);
	entry_relay_answer(entry, caller_ref, answer);
}

/* Only the issuer can prove that a call did not run. */
static void finish_forward_unknown(entry_t *entry, forward_t *forward,
				   catk_error_kind_t kind)
{
	call_answer_t answer = { 0 };

	catk_error_set(&answer.error, kind, OUTCOME_UNKNOWN,
		       "no answer from the issuer of the request id: check the "
		       "effect before sending the call with a new id");
	finish_forward(entry, forward, &answer);
}

gboolean entry_cancel_forwarded_call(entry_t *entry, void *caller_ref)
{
	entry_peers_t *peers = entry->peers;
	forward_t *forward =
		g_hash_table_lookup(peers->forwards_by_ref, caller_ref);
	peer_message_t message = { .kind = PEER_FORWARD_CANCEL };

	if (!forward)
		return FALSE;
	message.u.cancelled = forward->number;
	entry_send_to_peer(entry, forward->address, &message);
	forward_free(peers, forward);
	return TRUE;
}

void entry_send_answer(entry_t *entry, void *caller_ref,
		       const call_answer_t *answer)
{
	peer_message_t message = { .kind = PEER_FORWARD_ANSWER };
	peer_call_t *peer_call = caller_ref;

	if (!g_hash_table_contains(entry->peers->peer_calls_by_ref,
				   caller_ref)) {
		entry->actions.answer(entry->actions.ctx, caller_ref, answer);
		return;
	}
	message.u.answer.number = peer_call->number;
	message.u.answer.error = answer->error;
	message.u.answer.status = answer->status;
	message.u.answer.body = answer->body;
	entry_reply_to_peer(entry, peer_call->connection, &message);
	peer_call_free(entry->peers, peer_call);
}

static void handle_forwarded_call(entry_t *entry, guint64 connection,
				  const peer_forward_call_t *call)
{
	peer_call_t *peer_call = g_new0(peer_call_t, 1);
	call_request_t request = {
		.service = call->service,
		.method = call->method,
		.request_id = call->request_id,
		.caller = call->caller,
		/* 0 would mean the deadline of the method. */
		.remaining = MAX(call->remaining, 1),
		.body = call->body,
		.caller_ref = peer_call,
	};

	peer_call->connection = connection;
	peer_call->number = call->number;
	TAILQ_INSERT_TAIL(&entry->peers->peer_calls, peer_call, link);
	g_hash_table_add(entry->peers->peer_calls_by_ref, peer_call);
	entry_call(entry, &request);
}

static void handle_forward_answer(entry_t *entry,
				  const peer_forward_answer_t *answer)
{
	forward_t *forward = g_hash_table_lookup(
		entry->peers->forwards_by_number, &answer->number);
	call_answer_t relayed = {
		.error = answer->error,
		.status = answer->status,
		.body = answer->body,
	};

	if (forward)
		finish_forward(entry, forward, &relayed);
	else
		counters_add(entry->counters, COUNTER_ANSWERS_DROPPED, 1);
}

static void cancel_peer_call(entry_t *entry, peer_call_t *peer_call)
{
	entry_cancel(entry, peer_call);
	peer_call_free(entry->peers, peer_call);
}

static void handle_forward_cancel(entry_t *entry, guint64 connection,
				  guint64 number)
{
	peer_call_t *peer_call, *next;

	TAILQ_FOREACH_SAFE (peer_call, &entry->peers->peer_calls, link, next)
		if (peer_call->connection == connection &&
		    peer_call->number == number)
			cancel_peer_call(entry, peer_call);
}

static void request_config(entry_t *entry, guint64 connection, guint64 version)
{
	peer_message_t message = { .kind = PEER_CONFIG_PULL };
	entry_peers_t *peers = entry->peers;
	GTimeSpan now = entry_now(entry);

	if (version <= config_version(entry->config) ||
	    (version <= peers->requested_version && now < peers->next_pull))
		return;
	peers->requested_version = version;
	peers->next_pull = now + CONFIG_PULL_TIMEOUT;
	message.u.accepts_deflated = TRUE;
	entry_reply_to_peer(entry, connection, &message);
}

static void send_config(entry_t *entry, guint64 connection,
			gboolean may_deflate)
{
	peer_message_t message = { .kind = PEER_CONFIG_DOCUMENT };

	if (!config_document(entry->config))
		return;
	message.u.config.version = config_version(entry->config);
	message.u.config.document = config_document(entry->config);
	message.u.config.may_deflate = may_deflate;
	entry_reply_to_peer(entry, connection, &message);
}

static void handle_config(entry_t *entry, guint64 version, GBytes *document)
{
	gboolean unfinished;

	if (version <= config_version(entry->config))
		return;
	unfinished = entry->actions.config_received(entry->actions.ctx, version,
						    document);
	if (version <= config_version(entry->config))
		return;
	/* Not requested again while it is read, nor if it is rejected then. */
	if (!unfinished)
		counters_add(entry->counters, COUNTER_CONFIG_REJECTED, 1);
	entry->peers->requested_version = version;
	entry->peers->next_pull =
		entry_now(entry) + REJECTED_CONFIG_RETRY_DELAY;
}

static void request_evacuations(entry_t *entry, guint64 connection,
				guint64 position)
{
	peer_message_t message = { .kind = PEER_EVACUATION_PULL };
	entry_peers_t *peers = entry->peers;
	GTimeSpan now = entry_now(entry);

	if (position <= evacuations_position(entry->evacuations) ||
	    (position <= peers->requested_evacuations &&
	     now < peers->next_evacuation_pull))
		return;
	peers->requested_evacuations = position;
	peers->next_evacuation_pull = now + CONFIG_PULL_TIMEOUT;
	entry_reply_to_peer(entry, connection, &message);
}

static void send_evacuations(entry_t *entry, guint64 connection)
{
	peer_message_t message = { .kind = PEER_EVACUATIONS };
	peer_evacuations_t *evacuations = &message.u.evacuations;

	if (!evacuations_position(entry->evacuations))
		return;
	evacuations->count =
		evacuations_list(entry->evacuations, evacuations->data_centres,
				 G_N_ELEMENTS(evacuations->data_centres));
	entry_reply_to_peer(entry, connection, &message);
}

static void handle_evacuations(entry_t *entry, const peer_message_t *message)
{
	const peer_evacuations_t *evacuations = &message->u.evacuations;

	evacuations_replace(entry->evacuations, evacuations->data_centres,
			    evacuations->count, message->evacuation_position,
			    "peer");
}

void entry_receive_peer_message(entry_t *entry, guint64 connection,
				const peer_message_t *message)
{
	switch (message->kind) {
	case PEER_HELLO:
		break;
	case PEER_MEMBERSHIP:
		membership_receive(entry->membership, connection,
				   &message->u.membership, entry_now(entry));
		if (entry->quota)
			quota_record_contact(entry->quota, entry_now(entry));
		break;
	case PEER_CONFIG_PULL:
		send_config(entry, connection, message->u.accepts_deflated);
		break;
	case PEER_CONFIG_DOCUMENT:
		handle_config(entry, message->u.config.version,
			      message->u.config.document);
		break;
	case PEER_FORWARD_CALL:
		handle_forwarded_call(entry, connection, &message->u.call);
		break;
	case PEER_FORWARD_ANSWER:
		handle_forward_answer(entry, &message->u.answer);
		break;
	case PEER_FORWARD_CANCEL:
		handle_forward_cancel(entry, connection, message->u.cancelled);
		break;
	case PEER_SUBSCRIBE:
		entry_receive_subscribe(entry, connection,
					&message->u.subscribe);
		break;
	case PEER_ENDPOINTS:
		entry_receive_endpoints(entry, &message->u.endpoints);
		break;
	case PEER_EVACUATION_PULL:
		send_evacuations(entry, connection);
		break;
	case PEER_EVACUATIONS:
		handle_evacuations(entry, message);
		break;
	case PEER_QUOTA_ASK:
		if (entry->quota)
			quota_receive_ask(entry->quota, connection,
					  &message->u.quota_ask,
					  entry_now(entry));
		break;
	case PEER_QUOTA_ANSWER:
		if (entry->quota)
			quota_receive_answer(entry->quota,
					     &message->u.quota_answer,
					     entry_now(entry));
		break;
	}
	request_evacuations(entry, connection, message->evacuation_position);
	request_config(entry, connection, message->config_version);
	subscription_record_peer_revision(
		entry->subscription, message->store_revision, entry_now(entry));
}

void entry_inbound_peer_closed(entry_t *entry, guint64 connection)
{
	peer_call_t *peer_call, *next;

	TAILQ_FOREACH_SAFE (peer_call, &entry->peers->peer_calls, link, next)
		if (peer_call->connection == connection)
			cancel_peer_call(entry, peer_call);
	subscription_remove_connection(entry->subscription, connection);
}

void entry_end_forwarded_calls(entry_t *entry)
{
	while (!TAILQ_EMPTY(&entry->peers->forwards))
		finish_forward_unknown(entry,
				       TAILQ_FIRST(&entry->peers->forwards),
				       CATK_OUTCOME_UNKNOWN);
}

void entry_outbound_peer_lost(entry_t *entry, const char *address)
{
	forward_t *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &entry->peers->forwards, link, next)
		if (strcmp(forward->address, address) == 0)
			finish_forward_unknown(entry, forward,
					       CATK_OUTCOME_UNKNOWN);
	if (entry->quota)
		quota_peer_lost(entry->quota, address, entry_now(entry));
}

void entry_peers_tick(entry_t *entry)
{
	guint64 version = config_version(entry->config);
	entry_peers_t *peers = entry->peers;
	GTimeSpan now = entry_now(entry);
	forward_t *forward, *next;

	TAILQ_FOREACH_SAFE (forward, &peers->forwards, link, next)
		if (now >= forward->expiry)
			finish_forward_unknown(entry, forward,
					       CATK_DEADLINE_EXCEEDED);
	membership_tick(entry->membership, now);
	if (version == peers->announced_version)
		return;
	peers->announced_version = version;
	membership_set_config_version(entry->membership, version);
}
