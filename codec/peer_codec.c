#include "codec/peer_codec.h"

#include <string.h>

#include "codec/deflate.h"
#include "proto/peer.pb-c.h"

/* Limit of text fields. Services and methods of a schema are shorter. */
#define TEXT_BYTES_MAX 1024
/* Above MEMBERSHIP_GONE_RETENTION; keeps sums of times in range. */
#define STATE_AGE_MAX G_TIME_SPAN_DAY

static void member_to_wire(const member_t *member, Catk__Member *wire)
{
	catk__member__init(wire);
	wire->name = (char *)member->name;
	wire->data_centre = (char *)member->data_centre;
	wire->caller_address = (char *)member->caller_address;
	wire->peer_address = (char *)member->peer_address;
	wire->incarnation = member->incarnation;
	wire->refutation = member->refutation;
	wire->state = member->state;
	wire->config_version = member->config_version;
	wire->state_age_us = (guint64)member->state_age;
}

static gboolean copy_text(char *target, gsize size, const char *source)
{
	return g_strlcpy(target, source, size) < size;
}

static gboolean member_from_wire(const Catk__Member *wire, member_t *member)
{
	memset(member, 0, sizeof(*member));
	if (!wire || !wire->name[0] || wire->state > MEMBER_GONE)
		return FALSE;
	member->incarnation = wire->incarnation;
	member->refutation = wire->refutation;
	member->state = (member_state_t)wire->state;
	member->config_version = wire->config_version;
	member->state_age = (GTimeSpan)MIN(wire->state_age_us, STATE_AGE_MAX);
	return copy_text(member->name, sizeof(member->name), wire->name) &&
	       copy_text(member->data_centre, sizeof(member->data_centre),
			 wire->data_centre) &&
	       copy_text(member->caller_address, sizeof(member->caller_address),
			 wire->caller_address) &&
	       copy_text(member->peer_address, sizeof(member->peer_address),
			 wire->peer_address);
}

static void bytes_to_wire(GBytes *bytes, ProtobufCBinaryData *wire)
{
	gsize size = 0;

	wire->data = bytes ? (uint8_t *)g_bytes_get_data(bytes, &size) : NULL;
	wire->len = size;
}

static GByteArray *pack(Catk__Envelope *envelope, const peer_message_t *message)
{
	GByteArray *bytes;
	gsize size;

	envelope->config_version = message->config_version;
	envelope->store_revision = message->store_revision;
	envelope->evacuation_position = message->evacuation_position;
	size = catk__envelope__get_packed_size(envelope);
	bytes = g_byte_array_sized_new((guint)size);
	g_byte_array_set_size(bytes, (guint)size);
	catk__envelope__pack(envelope, bytes->data);
	return bytes;
}

static GByteArray *encode_membership(const peer_message_t *peer_message)
{
	const membership_message_t *message = &peer_message->u.membership;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__Member sender, *members, **updates;
	Catk__PingRequest request = CATK__PING_REQUEST__INIT;
	Catk__Ping ping = CATK__PING__INIT;
	Catk__Ack ack = CATK__ACK__INIT;
	GByteArray *bytes;
	guint i;

	members = g_new(Catk__Member, message->update_count);
	updates = g_new(Catk__Member *, message->update_count);
	for (i = 0; i < message->update_count; i++) {
		member_to_wire(&message->updates[i], &members[i]);
		updates[i] = &members[i];
	}
	member_to_wire(&message->sender, &sender);
#define FILL(wire)                                        \
	do {                                              \
		(wire).sequence = message->sequence;      \
		(wire).sender = &sender;                  \
		(wire).n_updates = message->update_count; \
		(wire).updates = updates;                 \
	} while (0)
	switch (message->kind) {
	case MEMBERSHIP_PING:
		FILL(ping);
		ping.want_members = message->want_members;
		envelope.body_case = CATK__ENVELOPE__BODY_PING;
		envelope.ping = &ping;
		break;
	case MEMBERSHIP_PING_REQUEST:
		FILL(request);
		request.target = (char *)message->target;
		envelope.body_case = CATK__ENVELOPE__BODY_PING_REQUEST;
		envelope.ping_request = &request;
		break;
	case MEMBERSHIP_ACK:
		FILL(ack);
		envelope.body_case = CATK__ENVELOPE__BODY_ACK;
		envelope.ack = &ack;
		break;
	}
#undef FILL
	bytes = pack(&envelope, peer_message);
	g_free(members);
	g_free(updates);
	return bytes;
}

static GByteArray *encode_config(const peer_message_t *message)
{
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__ConfigDocument document = CATK__CONFIG_DOCUMENT__INIT;

	document.version = message->u.config.version;
	if (message->u.config.deflated)
		bytes_to_wire(message->u.config.deflated, &document.deflated);
	else
		bytes_to_wire(message->u.config.document, &document.document);
	envelope.body_case = CATK__ENVELOPE__BODY_CONFIG_DOCUMENT;
	envelope.config_document = &document;
	return pack(&envelope, message);
}

static GByteArray *encode_call(const peer_message_t *message)
{
	const peer_forward_call_t *call = &message->u.call;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__ForwardCall wire = CATK__FORWARD_CALL__INIT;

	wire.number = call->number;
	wire.service = (char *)call->service;
	wire.method = (char *)call->method;
	wire.request_id = (char *)call->request_id;
	wire.caller = (char *)call->caller;
	wire.remaining_us = (guint64)call->remaining;
	bytes_to_wire(call->body, &wire.body);
	envelope.body_case = CATK__ENVELOPE__BODY_FORWARD_CALL;
	envelope.forward_call = &wire;
	return pack(&envelope, message);
}

static GByteArray *encode_answer(const peer_message_t *message)
{
	const peer_forward_answer_t *answer = &message->u.answer;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__ForwardAnswer wire = CATK__FORWARD_ANSWER__INIT;
	gboolean failed = answer->error.kind != CATK_OK;

	wire.number = answer->number;
	wire.error_kind = (char *)catk_error_kind_name(answer->error.kind);
	wire.outcome = (char *)outcome_name(answer->error.outcome);
	wire.retry_after_us = (guint64)answer->error.retry_after;
	if (failed)
		wire.message = (char *)answer->error.message;
	wire.status = answer->status;
	bytes_to_wire(answer->body, &wire.body);
	envelope.body_case = CATK__ENVELOPE__BODY_FORWARD_ANSWER;
	envelope.forward_answer = &wire;
	return pack(&envelope, message);
}

static GByteArray *encode_subscribe(const peer_message_t *message)
{
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__Subscribe wire = CATK__SUBSCRIBE__INIT;

	wire.incarnation = message->u.subscribe.position.incarnation;
	wire.change = message->u.subscribe.position.change;
	wire.own_only = message->u.subscribe.own_only;
	wire.want_all = message->u.subscribe.want_all;
	envelope.body_case = CATK__ENVELOPE__BODY_SUBSCRIBE;
	envelope.subscribe = &wire;
	return pack(&envelope, message);
}

static void change_to_wire(const catalogue_change_t *change,
			   Catk__Endpoint *wire)
{
	const catalogue_entry_t *entry = &change->entry;

	catk__endpoint__init(wire);
	wire->state = change->state;
	wire->id = (char *)entry->info.id;
	wire->address = (char *)entry->info.address;
	wire->data_centre = (char *)entry->info.data_centre;
	wire->service = (char *)entry->service;
	wire->leaving = entry->info.leaving;
	wire->slots = entry->info.slots;
	wire->cold_for_us = (guint64)MAX(entry->info.warmup_remaining, 0);
	wire->born = entry->start_time;
	wire->sequence = entry->sequence;
	wire->revision = entry->revision;
}

static GByteArray *encode_endpoints(const peer_message_t *message)
{
	const peer_endpoints_t *endpoints = &message->u.endpoints;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__Endpoints wire = CATK__ENDPOINTS__INIT;
	Catk__Endpoint *items = g_new(Catk__Endpoint, endpoints->count);
	Catk__Endpoint **pointers = g_new(Catk__Endpoint *, endpoints->count);
	GByteArray *bytes;
	guint i;

	for (i = 0; i < endpoints->count; i++) {
		change_to_wire(&endpoints->changes[i], &items[i]);
		pointers[i] = &items[i];
	}
	wire.name = (char *)endpoints->update.name;
	wire.incarnation = endpoints->update.incarnation;
	wire.from_change = endpoints->update.from;
	wire.to_change = endpoints->update.to;
	wire.in_contact = endpoints->update.in_contact;
	wire.complete = endpoints->update.complete;
	wire.endpoints = pointers;
	wire.n_endpoints = endpoints->count;
	envelope.body_case = CATK__ENVELOPE__BODY_ENDPOINTS;
	envelope.endpoints = &wire;
	bytes = pack(&envelope, message);
	g_free(pointers);
	g_free(items);
	return bytes;
}

static GByteArray *encode_evacuations(const peer_message_t *message)
{
	const peer_evacuations_t *evacuations = &message->u.evacuations;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__Evacuations wire = CATK__EVACUATIONS__INIT;

	wire.data_centres = (char **)evacuations->data_centres;
	wire.n_data_centres = evacuations->count;
	envelope.body_case = CATK__ENVELOPE__BODY_EVACUATIONS;
	envelope.evacuations = &wire;
	return pack(&envelope, message);
}

static GByteArray *encode_quota_ask(const peer_message_t *message)
{
	const quota_ask_t *ask = &message->u.quota_ask;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__QuotaAsk wire = CATK__QUOTA_ASK__INIT;
	Catk__QuotaRequest *items = g_new(Catk__QuotaRequest, ask->count);
	Catk__QuotaRequest **pointers = g_new(Catk__QuotaRequest *, ask->count);
	GByteArray *bytes;
	guint i;

	for (i = 0; i < ask->count; i++) {
		catk__quota_request__init(&items[i]);
		items[i].name = (char *)ask->requests[i].name;
		items[i].shard = ask->requests[i].shard;
		items[i].wanted = ask->requests[i].wanted;
		items[i].returned = ask->requests[i].returned;
		items[i].claim = ask->requests[i].claim;
		pointers[i] = &items[i];
	}
	wire.sent_us = ask->sent;
	wire.requests = pointers;
	wire.n_requests = ask->count;
	envelope.body_case = CATK__ENVELOPE__BODY_QUOTA_ASK;
	envelope.quota_ask = &wire;
	bytes = pack(&envelope, message);
	g_free(pointers);
	g_free(items);
	return bytes;
}

static GByteArray *encode_quota_answer(const peer_message_t *message)
{
	const quota_answer_t *answer = &message->u.quota_answer;
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__QuotaAnswer wire = CATK__QUOTA_ANSWER__INIT;
	Catk__QuotaGrant *items = g_new(Catk__QuotaGrant, answer->count);
	Catk__QuotaGrant **pointers = g_new(Catk__QuotaGrant *, answer->count);
	GByteArray *bytes;
	guint i;

	for (i = 0; i < answer->count; i++) {
		const quota_grant_t *grant = &answer->grants[i];

		catk__quota_grant__init(&items[i]);
		items[i].name = (char *)grant->name;
		items[i].shard = grant->shard;
		items[i].kind = grant->kind;
		items[i].granted = grant->granted;
		items[i].retry_after_us = (guint64)grant->retry_after;
		items[i].ask_after_us = (guint64)grant->ask_after;
		items[i].level = grant->level;
		pointers[i] = &items[i];
	}
	wire.sent_us = answer->sent;
	wire.grants = pointers;
	wire.n_grants = answer->count;
	envelope.body_case = CATK__ENVELOPE__BODY_QUOTA_ANSWER;
	envelope.quota_answer = &wire;
	bytes = pack(&envelope, message);
	g_free(pointers);
	g_free(items);
	return bytes;
}

GByteArray *peer_codec_encode(const peer_message_t *message)
{
	Catk__Envelope envelope = CATK__ENVELOPE__INIT;
	Catk__Hello hello = CATK__HELLO__INIT;
	Catk__ConfigPull pull = CATK__CONFIG_PULL__INIT;
	Catk__ForwardCancel cancel = CATK__FORWARD_CANCEL__INIT;
	Catk__EvacuationPull evacuation_pull = CATK__EVACUATION_PULL__INIT;

	switch (message->kind) {
	case PEER_HELLO:
		hello.protocol_version = message->u.protocol_version;
		envelope.body_case = CATK__ENVELOPE__BODY_HELLO;
		envelope.hello = &hello;
		break;
	case PEER_MEMBERSHIP:
		return encode_membership(message);
	case PEER_CONFIG_PULL:
		envelope.body_case = CATK__ENVELOPE__BODY_CONFIG_PULL;
		pull.accepts_deflated = message->u.accepts_deflated;
		envelope.config_pull = &pull;
		break;
	case PEER_CONFIG_DOCUMENT:
		return encode_config(message);
	case PEER_FORWARD_CALL:
		return encode_call(message);
	case PEER_FORWARD_ANSWER:
		return encode_answer(message);
	case PEER_FORWARD_CANCEL:
		cancel.number = message->u.cancelled;
		envelope.body_case = CATK__ENVELOPE__BODY_FORWARD_CANCEL;
		envelope.forward_cancel = &cancel;
		break;
	case PEER_SUBSCRIBE:
		return encode_subscribe(message);
	case PEER_ENDPOINTS:
		return encode_endpoints(message);
	case PEER_EVACUATION_PULL:
		envelope.body_case = CATK__ENVELOPE__BODY_EVACUATION_PULL;
		envelope.evacuation_pull = &evacuation_pull;
		break;
	case PEER_EVACUATIONS:
		return encode_evacuations(message);
	case PEER_QUOTA_ASK:
		return encode_quota_ask(message);
	case PEER_QUOTA_ANSWER:
		return encode_quota_answer(message);
	}
	return pack(&envelope, message);
}

/* message->updates may be allocated even if FALSE is returned. */
static gboolean decode_updates(const Catk__Member *sender,
			       Catk__Member *const *updates, gsize count,
			       membership_message_t *message)
{
	if (count > MEMBERSHIP_MEMBERS_MAX ||
	    !member_from_wire(sender, &message->sender))
		return FALSE;
	message->updates = g_new(member_t, count);
	while (message->update_count < count) {
		guint i = message->update_count++;

		if (!member_from_wire(updates[i], &message->updates[i]))
			return FALSE;
	}
	return TRUE;
}

static gboolean decode_membership(const Catk__Envelope *wire,
				  membership_message_t *message)
{
	switch (wire->body_case) {
	case CATK__ENVELOPE__BODY_PING:
		message->kind = MEMBERSHIP_PING;
		message->sequence = wire->ping->sequence;
		message->want_members = wire->ping->want_members;
		return decode_updates(wire->ping->sender, wire->ping->updates,
				      wire->ping->n_updates, message);
	case CATK__ENVELOPE__BODY_PING_REQUEST:
		message->kind = MEMBERSHIP_PING_REQUEST;
		message->sequence = wire->ping_request->sequence;
		return copy_text(message->target, sizeof(message->target),
				 wire->ping_request->target) &&
		       decode_updates(wire->ping_request->sender,
				      wire->ping_request->updates,
				      wire->ping_request->n_updates, message);
	default:
		message->kind = MEMBERSHIP_ACK;
		message->sequence = wire->ack->sequence;
		return decode_updates(wire->ack->sender, wire->ack->updates,
				      wire->ack->n_updates, message);
	}
}

/* Copies the data because the receiver may keep a reference to it. */
static GBytes *bytes_from_wire(const ProtobufCBinaryData *wire)
{
	return g_bytes_new(wire->data, wire->len);
}

static gboolean decode_config_document(const Catk__ConfigDocument *wire,
				       peer_message_t *message)
{
	message->u.config.version = wire->version;
	if (wire->deflated.len)
		message->u.config.document =
			inflate_bytes(wire->deflated.data, wire->deflated.len,
				      PEER_CONFIG_BYTES_MAX);
	else
		message->u.config.document = bytes_from_wire(&wire->document);
	return message->u.config.document != NULL;
}

static gboolean decode_call(const Catk__ForwardCall *wire,
			    peer_forward_call_t *call)
{
	if (wire->remaining_us > G_MAXINT64 ||
	    strlen(wire->service) > TEXT_BYTES_MAX ||
	    strlen(wire->method) > TEXT_BYTES_MAX ||
	    strlen(wire->request_id) > TEXT_BYTES_MAX ||
	    strlen(wire->caller) > TEXT_BYTES_MAX)
		return FALSE;
	call->number = wire->number;
	call->service = wire->service;
	call->method = wire->method;
	call->request_id = wire->request_id;
	call->caller = wire->caller;
	call->remaining = (GTimeSpan)wire->remaining_us;
	call->body = bytes_from_wire(&wire->body);
	return TRUE;
}

static gboolean decode_answer(const Catk__ForwardAnswer *wire,
			      peer_forward_answer_t *answer)
{
	if (wire->retry_after_us > G_MAXINT64)
		return FALSE;
	answer->number = wire->number;
	catk_error_set(&answer->error,
		       catk_error_kind_from_name(wire->error_kind),
		       outcome_from_name(wire->outcome), "%s", wire->message);
	answer->error.retry_after = (GTimeSpan)wire->retry_after_us;
	answer->status = wire->status;
	if (answer->error.kind == CATK_OK)
		answer->body = bytes_from_wire(&wire->body);
	return TRUE;
}

static gboolean change_from_wire(const Catk__Endpoint *wire,
				 catalogue_change_t *change)
{
	catalogue_entry_t *entry = &change->entry;
	endpoint_info_t *info = &entry->info;

	memset(change, 0, sizeof(*change));
	if (!wire->id[0] || wire->state > CATALOGUE_REMOVED ||
	    wire->cold_for_us > G_TIME_SPAN_DAY)
		return FALSE;
	change->state = (catalogue_state_t)wire->state;
	info->leaving = wire->leaving;
	info->slots = wire->slots;
	info->warmup_remaining = (GTimeSpan)wire->cold_for_us;
	entry->start_time = wire->born;
	entry->sequence = wire->sequence;
	entry->revision = wire->revision;
	return copy_text(info->id, sizeof(info->id), wire->id) &&
	       copy_text(info->address, sizeof(info->address), wire->address) &&
	       copy_text(info->data_centre, sizeof(info->data_centre),
			 wire->data_centre) &&
	       copy_text(entry->service, sizeof(entry->service), wire->service);
}

/* endpoints->changes may be allocated even if FALSE is returned. */
static gboolean decode_endpoints(const Catk__Endpoints *wire,
				 peer_endpoints_t *endpoints)
{
	catalogue_change_t *changes;
	guint i;

	if (wire->n_endpoints > PEER_ENDPOINTS_MAX)
		return FALSE;
	changes = g_new(catalogue_change_t, wire->n_endpoints);
	endpoints->changes = changes;
	endpoints->count = (guint)wire->n_endpoints;
	endpoints->update.name = wire->name;
	endpoints->update.incarnation = wire->incarnation;
	endpoints->update.from = wire->from_change;
	endpoints->update.to = wire->to_change;
	endpoints->update.in_contact = wire->in_contact;
	endpoints->update.complete = wire->complete;
	for (i = 0; i < endpoints->count; i++)
		if (!change_from_wire(wire->endpoints[i], &changes[i]))
			return FALSE;
	return TRUE;
}

static void decode_subscribe(const Catk__Subscribe *wire,
			     peer_subscribe_t *subscribe)
{
	subscribe->position.incarnation = wire->incarnation;
	subscribe->position.change = wire->change;
	subscribe->own_only = wire->own_only;
	subscribe->want_all = wire->want_all;
}

static gboolean decode_evacuations(const Catk__Evacuations *wire,
				   peer_evacuations_t *evacuations)
{
	gsize i;

	if (wire->n_data_centres > EVACUATION_DATA_CENTRES_MAX)
		return FALSE;
	for (i = 0; i < wire->n_data_centres; i++)
		evacuations->data_centres[i] = wire->data_centres[i];
	evacuations->count = (guint)wire->n_data_centres;
	return TRUE;
}

/* ask->requests may be allocated even if FALSE is returned. */
static gboolean decode_quota_ask(const Catk__QuotaAsk *wire, quota_ask_t *ask)
{
	quota_request_t *requests;
	guint i;

	if (wire->n_requests > QUOTA_ITEMS_MAX)
		return FALSE;
	requests = g_new0(quota_request_t, wire->n_requests);
	ask->sent = wire->sent_us;
	ask->requests = requests;
	ask->count = (guint)wire->n_requests;
	for (i = 0; i < ask->count; i++) {
		const Catk__QuotaRequest *item = wire->requests[i];

		if (strlen(item->name) > QUOTA_NAME_MAX)
			return FALSE;
		requests[i].name = item->name;
		requests[i].shard = item->shard;
		requests[i].wanted = item->wanted;
		requests[i].returned = item->returned;
		requests[i].claim = item->claim;
	}
	return TRUE;
}

static gboolean grant_from_wire(const Catk__QuotaGrant *wire,
				quota_grant_t *grant)
{
	if (strlen(wire->name) > QUOTA_NAME_MAX ||
	    wire->kind >= QUOTA_GRANT_KIND_COUNT || !(wire->level >= 0) ||
	    wire->retry_after_us > G_TIME_SPAN_DAY ||
	    wire->ask_after_us > G_TIME_SPAN_DAY)
		return FALSE;
	grant->name = wire->name;
	grant->shard = wire->shard;
	grant->kind = (quota_grant_kind_t)wire->kind;
	grant->granted = wire->granted;
	grant->retry_after = (GTimeSpan)wire->retry_after_us;
	grant->ask_after = (GTimeSpan)wire->ask_after_us;
	grant->level = wire->level;
	return TRUE;
}

/* answer->grants may be allocated even if FALSE is returned. */
static gboolean decode_quota_answer(const Catk__QuotaAnswer *wire,
				    quota_answer_t *answer)
{
	quota_grant_t *grants;
	guint i;

	if (wire->n_grants > QUOTA_ITEMS_MAX)
		return FALSE;
	grants = g_new0(quota_grant_t, wire->n_grants);
	answer->sent = wire->sent_us;
	answer->grants = grants;
	answer->count = (guint)wire->n_grants;
	for (i = 0; i < answer->count; i++)
		if (!grant_from_wire(wire->grants[i], &grants[i]))
			return FALSE;
	return TRUE;
}

static gboolean decode_body(const Catk__Envelope *wire, peer_message_t *message)
{
	message->config_version = wire->config_version;
	message->store_revision = wire->store_revision;
	message->evacuation_position = wire->evacuation_position;
	switch (wire->body_case) {
	case CATK__ENVELOPE__BODY_HELLO:
		message->kind = PEER_HELLO;
		message->u.protocol_version = wire->hello->protocol_version;
		return TRUE;
	case CATK__ENVELOPE__BODY_PING:
	case CATK__ENVELOPE__BODY_PING_REQUEST:
	case CATK__ENVELOPE__BODY_ACK:
		message->kind = PEER_MEMBERSHIP;
		return decode_membership(wire, &message->u.membership);
	case CATK__ENVELOPE__BODY_CONFIG_PULL:
		message->kind = PEER_CONFIG_PULL;
		message->u.accepts_deflated =
			wire->config_pull->accepts_deflated;
		return TRUE;
	case CATK__ENVELOPE__BODY_CONFIG_DOCUMENT:
		message->kind = PEER_CONFIG_DOCUMENT;
		return decode_config_document(wire->config_document, message);
	case CATK__ENVELOPE__BODY_FORWARD_CALL:
		message->kind = PEER_FORWARD_CALL;
		return decode_call(wire->forward_call, &message->u.call);
	case CATK__ENVELOPE__BODY_FORWARD_ANSWER:
		message->kind = PEER_FORWARD_ANSWER;
		return decode_answer(wire->forward_answer, &message->u.answer);
	case CATK__ENVELOPE__BODY_FORWARD_CANCEL:
		message->kind = PEER_FORWARD_CANCEL;
		message->u.cancelled = wire->forward_cancel->number;
		return TRUE;
	case CATK__ENVELOPE__BODY_SUBSCRIBE:
		message->kind = PEER_SUBSCRIBE;
		decode_subscribe(wire->subscribe, &message->u.subscribe);
		return TRUE;
	case CATK__ENVELOPE__BODY_ENDPOINTS:
		message->kind = PEER_ENDPOINTS;
		return decode_endpoints(wire->endpoints, &message->u.endpoints);
	case CATK__ENVELOPE__BODY_EVACUATION_PULL:
		message->kind = PEER_EVACUATION_PULL;
		return TRUE;
	case CATK__ENVELOPE__BODY_EVACUATIONS:
		message->kind = PEER_EVACUATIONS;
		return decode_evacuations(wire->evacuations,
					  &message->u.evacuations);
	case CATK__ENVELOPE__BODY_QUOTA_ASK:
		message->kind = PEER_QUOTA_ASK;
		return decode_quota_ask(wire->quota_ask, &message->u.quota_ask);
	case CATK__ENVELOPE__BODY_QUOTA_ANSWER:
		message->kind = PEER_QUOTA_ANSWER;
		return decode_quota_answer(wire->quota_answer,
					   &message->u.quota_answer);
	default:
		return FALSE;
	}
}

static void clear_message(peer_message_t *message)
{
	switch (message->kind) {
	case PEER_MEMBERSHIP:
		g_free(message->u.membership.updates);
		break;
	case PEER_CONFIG_DOCUMENT:
		g_clear_pointer(&message->u.config.document, g_bytes_unref);
		break;
	case PEER_FORWARD_CALL:
		g_clear_pointer(&message->u.call.body, g_bytes_unref);
		break;
	case PEER_FORWARD_ANSWER:
		g_clear_pointer(&message->u.answer.body, g_bytes_unref);
		break;
	case PEER_ENDPOINTS:
		g_free((gpointer)message->u.endpoints.changes);
		break;
	case PEER_QUOTA_ASK:
		g_free((gpointer)message->u.quota_ask.requests);
		break;
	case PEER_QUOTA_ANSWER:
		g_free((gpointer)message->u.quota_answer.grants);
		break;
	default:
		break;
	}
}

gboolean peer_codec_decode(const guint8 *data, gsize size,
			   peer_codec_message_fn_t on_message, void *ctx)
{
	Catk__Envelope *wire = catk__envelope__unpack(NULL, size, data);
	peer_message_t message = { 0 };
	gboolean ok;

	if (!wire)
		return FALSE;
	ok = decode_body(wire, &message);
	if (ok)
		on_message(ctx, &message);
	clear_message(&message);
	catk__envelope__free_unpacked(wire, NULL);
	return ok;
}
