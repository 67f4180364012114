#include "tests/support_fleet.h"

#include <stdlib.h>
#include <string.h>

#include "codec/deflate.h"
#include "codec/peer_codec.h"

#define ENDPOINTS_MAX 1024
#define START_TIME (100 * G_TIME_SPAN_SECOND)
#define DATA_CENTRES_MAX 8
#define STORE_PAGE 500 /* endpoints in an answer to a list */

/* A connection id encodes both ends, so that replies can be routed. */
#define CONNECTION_OF(from, to) ((guint64)(from)*FLEET_INSTANCES_MAX + (to) + 1)

typedef struct packet {
	TAILQ_ENTRY(packet) link;
	guint to;
	guint64 connection;
	GTimeSpan due;
	GByteArray *bytes;
} packet_t;

/* A call to the store in flight. */
typedef struct {
	feed_step_kind_t kind; /* FEED_WAIT for none */
	guint64 revision; /* at which a watch started */
	guint after; /* first endpoint of a page */
	GTimeSpan answer_at;
	GTimeSpan timeout_at;
	gboolean lost; /* sent or waiting in an outage */
} store_call_t;

typedef struct {
	entry_t *entry; /* NULL while it does not run */
	guint64 incarnation;
	gboolean silent; /* cut off from the others and the store */
	gboolean cut_from_store;
	guint side; /* of a partition */
	gboolean paused;
	store_call_t calls[FEED_KIND_COUNT];
	GTimeSpan sent_by; /* its link is busy until then */
	GTimeSpan received_by;
	GTimeSpan busy_until; /* parses a configuration */
} instance_t;

static struct {
	fleet_options_t options;
	instance_t instances[FLEET_INSTANCES_MAX];
	guint64 endpoint_revisions[ENDPOINTS_MAX]; /* 0: not registered */
	guint64 change_revisions[ENDPOINTS_MAX]; /* also of removals */
	guint64 revision; /* of the store */
	gboolean store_down;
	gboolean answers_lost[FEED_KIND_COUNT];
	gboolean evacuated[DATA_CENTRES_MAX];
	guint64 evacuation_revisions[DATA_CENTRES_MAX]; /* of the last change */
	guint64 config_revision;
	guint64 config_version;
	GBytes *config_document;
	deflate_cache_t deflated;
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	counters_t counters;
	TAILQ_HEAD(packet_list, packet) packets;
	fleet_traffic_t traffic[FLEET_MESSAGE_KINDS];
	guint store_calls[FEED_KIND_COUNT];
	peer_message_kind_t lost_kind;
	guint messages_until_loss; /* 0: no message is lost */
} fleet;

static GTimeSpan read_clock(void *ctx)
{
	(void)ctx;
	return fleet.now;
}

static gboolean is_connected(guint index)
{
	return fleet.instances[index].entry && !fleet.instances[index].silent;
}

static void count_message(guint from, guint to, peer_message_kind_t kind,
			  gsize size)
{
	fleet_traffic_t *traffic = &fleet.traffic[kind];

	traffic->messages++;
	traffic->bytes += size;
	if (from % fleet.options.data_centres !=
	    to % fleet.options.data_centres)
		traffic->crossing_bytes += size;
}

/* Occupies a link from the instant start on; returns when the bytes are over. */
static GTimeSpan pass_link(GTimeSpan *busy_until, GTimeSpan start, gsize size)
{
	*busy_until = MAX(*busy_until, start) +
		      (GTimeSpan)(size * G_TIME_SPAN_SECOND /
				  fleet.options.link_bytes_per_s);
	return *busy_until;
}

/* As net/peer_link does. */
static GByteArray *encode(const peer_message_t *message)
{
	peer_message_t copy = *message;

	if (copy.kind == PEER_CONFIG_DOCUMENT && copy.u.config.may_deflate)
		copy.u.config.deflated = deflate_cache_get(
			&fleet.deflated, copy.u.config.document);
	return peer_codec_encode(&copy);
}

static gboolean is_lost(peer_message_kind_t kind)
{
	if (!fleet.messages_until_loss || kind != fleet.lost_kind)
		return FALSE;
	return --fleet.messages_until_loss == 0;
}

void fleet_lose_message(peer_message_kind_t kind, guint number)
{
	fleet.lost_kind = kind;
	fleet.messages_until_loss = number;
}

static void send_packet(guint from, guint to, guint64 connection,
			const peer_message_t *message)
{
	GByteArray *bytes = encode(message);
	packet_t *packet;
	GTimeSpan sent;

	count_message(from, to, message->kind, bytes->len);
	sent = pass_link(&fleet.instances[from].sent_by, fleet.now, bytes->len);
	if (!is_connected(from) || !is_connected(to) ||
	    is_lost(message->kind) ||
	    fleet.instances[from].side != fleet.instances[to].side) {
		g_byte_array_unref(bytes);
		return;
	}
	packet = g_new0(packet_t, 1);
	packet->to = to;
	packet->connection = connection;
	packet->bytes = bytes;
	packet->due =
		pass_link(&fleet.instances[to].received_by, sent, bytes->len) +
		FLEET_STEP;
	TAILQ_INSERT_TAIL(&fleet.packets, packet, link);
}

static void on_send(void *ctx, const char *address,
		    const peer_message_t *message)
{
	guint from = (guint)((instance_t *)ctx - fleet.instances);
	guint to = (guint)atoi(address);

	send_packet(from, to, CONNECTION_OF(from, to), message);
}

static void on_reply(void *ctx, guint64 connection,
		     const peer_message_t *message)
{
	guint self = (guint)((instance_t *)ctx - fleet.instances);
	guint to = (guint)((connection - 1) / FLEET_INSTANCES_MAX);

	if (to == self)
		to = (guint)((connection - 1) % FLEET_INSTANCES_MAX);
	send_packet(self, to, connection, message);
}

/* What the instance sends about the version leaves after the parsing. */
static void parse_config(instance_t *instance, guint64 version,
			 GBytes *document)
{
	instance->busy_until =
		fleet.now +
		(GTimeSpan)(g_bytes_get_size(document) * G_TIME_SPAN_SECOND /
			    fleet.options.parsed_bytes_per_s);
	instance->sent_by = MAX(instance->sent_by, instance->busy_until);
	entry_activate_config(instance->entry, version,
			      fleet.options.new_schema ?
				      fleet.options.new_schema() :
				      schema_new(),
			      document);
}

static gboolean on_config_received(void *ctx, guint64 version, GBytes *document)
{
	parse_config(ctx, version, document);
	return FALSE;
}

static void data_centre_name(guint index, char *name, gsize size)
{
	g_snprintf(name, size, "kathmandu-%u", index);
}

static void on_start_attempt(void *ctx, const attempt_request_t *request)
{
	fleet.options.on_start((guint)((instance_t *)ctx - fleet.instances),
			       request);
}

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	(void)caller_ref;
	fleet.options.on_answer((guint)((instance_t *)ctx - fleet.instances),
				answer);
}

static void start_instance(guint index)
{
	instance_t *instance = &fleet.instances[index];
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = 1,
				 .retention = 1,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 50, .caller_share_percent = 100 },
		.entries_max = fleet.options.entries_max ?
				       fleet.options.entries_max :
				       16,
		.attempts_max = 2,
		.resolve_addresses = ENTRY_RESOLVE_ADDRESSES_MAX,
		.change_bound = fleet.options.change_bound,
		.reconnect_bound = fleet.options.reconnect_bound,
		.evacuation_bound = fleet.options.evacuation_bound,
		.first_start = fleet.options.first_start &&
			       !instance->incarnation,
		.concurrency_max = fleet.options.on_start ? 1000 : 0,
		.quota_window = fleet.options.quota_window,
		.quota_overage = fleet.options.quota_overage,
		.quota_slack = fleet.options.quota_slack,
	};
	entry_actions_t actions = { .send_to_peer = on_send,
				    .reply_to_peer = on_reply,
				    .config_received = on_config_received,
				    .start_attempt = on_start_attempt,
				    .answer = on_answer,
				    .ctx = instance };
	member_t self = { .incarnation = ++instance->incarnation };
	guint i;

	memset(instance->calls, 0, sizeof(instance->calls));
	g_snprintf(self.name, sizeof(self.name), "edge-kathmandu-%u", index);
	data_centre_name(index % fleet.options.data_centres, self.data_centre,
			 sizeof(self.data_centre));
	g_snprintf(self.peer_address, sizeof(self.peer_address), "%u", index);
	g_snprintf(self.caller_address, sizeof(self.caller_address),
		   "10.1.0.%u:8161", index);
	instance->entry = entry_new(&self, &limits, &actions, &fleet.clock,
				    fleet.random, &fleet.counters);
	for (i = 0; i < fleet.options.seeds; i++) {
		gchar *seed = g_strdup_printf(
			"%u", (index + i) % fleet.options.seeds);

		entry_add_seed(instance->entry, seed);
		g_free(seed);
	}
}

static void ignore_message(const gchar *domain, GLogLevelFlags level,
			   const gchar *message, gpointer data)
{
	(void)domain;
	(void)level;
	(void)message;
	(void)data;
}

void fleet_start(const fleet_options_t *options)
{
	guint i;

	/* Hundreds of instances report each outage of the store. */
	g_log_set_default_handler(ignore_message, NULL);
	memset(&fleet, 0, sizeof(fleet));
	fleet.options = *options;
	TAILQ_INIT(&fleet.packets);
	fleet.clock = (catk_clock_t){ .now = read_clock };
	fleet.random = g_rand_new_with_seed(options->random_seed);
	fleet.now = START_TIME;
	for (i = 0; i < options->endpoints; i++)
		fleet_set_endpoint(i, TRUE);
	for (i = 0; i < options->instances; i++)
		start_instance(i);
}

static void packet_free(packet_t *packet)
{
	TAILQ_REMOVE(&fleet.packets, packet, link);
	g_byte_array_unref(packet->bytes);
	g_free(packet);
}

void fleet_stop(void)
{
	guint i;

	for (i = 0; i < fleet.options.instances; i++)
		entry_free(fleet.instances[i].entry);
	while (!TAILQ_EMPTY(&fleet.packets))
		packet_free(TAILQ_FIRST(&fleet.packets));
	g_clear_pointer(&fleet.config_document, g_bytes_unref);
	deflate_cache_clear(&fleet.deflated);
	g_rand_free(fleet.random);
}

void fleet_kill(guint index)
{
	g_clear_pointer(&fleet.instances[index].entry, entry_free);
}

void fleet_restart(guint index)
{
	fleet_kill(index);
	start_instance(index);
}

void fleet_silence(guint index, gboolean silent)
{
	fleet.instances[index].silent = silent;
}

/* Calls that wait for an answer then are never answered. */
void fleet_cut_from_store(guint index, gboolean cut)
{
	instance_t *instance = &fleet.instances[index];
	guint kind;

	instance->cut_from_store = cut;
	for (kind = 0; kind < FEED_KIND_COUNT; kind++)
		instance->calls[kind].lost = TRUE;
}

void fleet_set_side(guint index, guint side)
{
	fleet.instances[index].side = side;
}

void fleet_pause(guint index, gboolean paused)
{
	fleet.instances[index].paused = paused;
}

GTimeSpan fleet_now(void)
{
	return fleet.now;
}

void fleet_set_store_down(gboolean down)
{
	guint i, kind;

	fleet.store_down = down;
	for (i = 0; i < fleet.options.instances; i++)
		for (kind = 0; kind < FEED_KIND_COUNT; kind++)
			fleet.instances[i].calls[kind].lost = TRUE;
}

void fleet_lose_store_calls(feed_kind_t kind)
{
	fleet.answers_lost[kind] = TRUE;
}

entry_t *fleet_entry(guint index)
{
	return fleet.instances[index].entry;
}

void fleet_publish_config(guint64 version, gsize document_bytes)
{
	guint8 *data = g_malloc(document_bytes);
	gsize i;

	/* Text that repeats itself, as the routes of a configuration do. */
	for (i = 0; i < document_bytes; i++)
		data[i] =
			"{\"path_prefix\":\"/route/\",\"service\":\"s\"},"[i %
									   41];
	for (i = 0; i + 8 < document_bytes; i += 120)
		data[i] = (guint8)g_rand_int_range(fleet.random, 'a', 'z');
	g_clear_pointer(&fleet.config_document, g_bytes_unref);
	fleet.config_document = g_bytes_new_take(data, document_bytes);
	fleet.config_version = version;
	fleet.config_revision = ++fleet.revision;
}

void fleet_set_endpoint(guint id, gboolean listed)
{
	fleet.change_revisions[id] = ++fleet.revision;
	fleet.endpoint_revisions[id] = listed ? fleet.revision : 0;
}

void fleet_set_evacuated(guint data_centre, gboolean evacuated)
{
	g_assert_true(data_centre < DATA_CENTRES_MAX);
	fleet.evacuated[data_centre] = evacuated;
	fleet.evacuation_revisions[data_centre] = ++fleet.revision;
}

static void endpoint_name(guint id, char *name, gsize size)
{
	g_snprintf(name, size, "i-%08x", id);
}

static void put_endpoint(instance_t *instance, guint id)
{
	catalogue_entry_t entry = {
		.service = "pole-control",
		.revision = fleet.endpoint_revisions[id],
		.start_time = 1792868499650953,
		.sequence = 1,
	};

	endpoint_name(id, entry.info.id, sizeof(entry.info.id));
	g_snprintf(entry.info.address, sizeof(entry.info.address),
		   "10.3.64.%u:8568", id);
	g_strlcpy(entry.info.data_centre, "kathmandu-1",
		  sizeof(entry.info.data_centre));
	catalogue_put(entry_catalogue(instance->entry), &entry, fleet.now);
}

static guint apply_endpoints(instance_t *instance, const store_call_t *call)
{
	catalogue_t *catalogue = entry_catalogue(instance->entry);
	guint changes = 0, id, last = ENDPOINTS_MAX;
	char name[UPSTREAM_ID_MAX + 1];

	if (call->kind == FEED_LIST)
		last = MIN(call->after + STORE_PAGE, ENDPOINTS_MAX);
	for (id = call->after; id < last; id++) {
		if (fleet.change_revisions[id] <= call->revision)
			continue;
		changes++;
		endpoint_name(id, name, sizeof(name));
		if (fleet.endpoint_revisions[id])
			put_endpoint(instance, id);
		else
			catalogue_remove(catalogue, name, fleet.now);
	}
	return changes;
}

static void apply_config(instance_t *instance)
{
	if (fleet.config_document)
		parse_config(instance, fleet.config_version,
			     fleet.config_document);
}

/* Returns the number of changes since the revision of the call. */
static guint apply_evacuations(instance_t *instance, const store_call_t *call)
{
	evacuations_t *evacuations = entry_evacuations(instance->entry);
	char name[EVACUATION_NAME_MAX + 1];
	guint changes = 0, i;

	if (call->kind == FEED_LIST)
		evacuations_begin_list(evacuations);
	for (i = 0; i < DATA_CENTRES_MAX; i++) {
		if (fleet.evacuation_revisions[i] <= call->revision)
			continue;
		changes++;
		data_centre_name(i, name, sizeof(name));
		if (fleet.evacuated[i])
			evacuations_put(evacuations, name);
		else
			evacuations_remove(evacuations, name);
	}
	if (call->kind == FEED_LIST)
		evacuations_end_list(evacuations, fleet.revision);
	else
		evacuations_changes_read(evacuations, fleet.revision);
	return changes;
}

static gboolean has_evacuation_news(guint64 revision)
{
	guint i;

	for (i = 0; i < DATA_CENTRES_MAX; i++)
		if (fleet.evacuation_revisions[i] > revision)
			return TRUE;
	return FALSE;
}

static gboolean has_news(feed_kind_t kind, guint64 revision)
{
	guint id;

	if (kind == FEED_EVACUATIONS)
		return has_evacuation_news(revision);
	if (kind == FEED_CONFIGURATION)
		return fleet.config_revision > revision;
	for (id = 0; id < ENDPOINTS_MAX; id++)
		if (fleet.change_revisions[id] > revision)
			return TRUE;
	return FALSE;
}

static void record_list(instance_t *instance, feed_kind_t kind, guint after)
{
	feed_t *feed = entry_feed(instance->entry, kind);
	gboolean more = kind == FEED_ENDPOINTS &&
			after + STORE_PAGE < fleet.options.endpoints;
	gchar *last = g_strdup_printf("%u", after + STORE_PAGE);

	feed_page_read(feed, fleet.revision, last, more, fleet.now);
	g_free(last);
	if (feed_is_listing(feed) || kind != FEED_ENDPOINTS)
		return;
	entry_record_store_revision(instance->entry, feed_revision(feed),
				    FALSE);
	catalogue_end_list(entry_catalogue(instance->entry),
			   feed_revision(feed), fleet.now);
}

/* Stands in for platform/discovery. */
static void answer_store_call(instance_t *instance, feed_kind_t kind)
{
	const entry_store_call_t answered = { .outcome = FEED_ANSWERED };
	store_call_t call = instance->calls[kind];
	feed_t *feed = entry_feed(instance->entry, kind);
	guint changes = 1;

	instance->calls[kind].kind = FEED_WAIT;
	entry_store_call_ended(instance->entry, kind, &answered);
	if (kind == FEED_ENDPOINTS)
		changes = apply_endpoints(instance, &call);
	else if (kind == FEED_EVACUATIONS)
		changes = apply_evacuations(instance, &call);
	else if (call.kind == FEED_LIST || has_news(kind, call.revision))
		apply_config(instance);
	else
		changes = 0;
	if (call.kind == FEED_LIST) {
		record_list(instance, kind, call.after);
	} else {
		feed_changes_read(feed, fleet.revision, changes, fleet.now);
		if (kind == FEED_ENDPOINTS)
			entry_record_store_revision(
				instance->entry, fleet.revision, changes > 0);
	}
	entry_endpoints_changed(instance->entry);
}

static void fail_store_call(instance_t *instance, feed_kind_t kind)
{
	const entry_store_call_t lost = { .outcome = FEED_UNANSWERED };

	instance->calls[kind].kind = FEED_WAIT;
	entry_store_call_ended(instance->entry, kind, &lost);
}

static void start_store_call(instance_t *instance, feed_kind_t kind)
{
	store_call_t *call = &instance->calls[kind];
	feed_step_t next = entry_next_store_call(instance->entry, kind);

	if (next.kind == FEED_WAIT)
		return;
	if (next.kind == FEED_LIST && !next.after && kind == FEED_ENDPOINTS)
		catalogue_begin_list(entry_catalogue(instance->entry));
	call->kind = next.kind;
	call->revision = next.kind == FEED_WATCH ? next.revision : 0;
	call->after = next.after ? (guint)atoi(next.after) : 0;
	call->answer_at =
		fleet.now + (next.kind == FEED_WATCH ? next.watch_wait : 0);
	call->timeout_at = fleet.now + next.timeout;
	call->lost = fleet.store_down || instance->cut_from_store ||
		     fleet.answers_lost[kind];
	entry_store_call_sent(instance->entry, kind, &next);
	fleet.store_calls[kind]++;
}

static void run_store(instance_t *instance, feed_kind_t kind)
{
	store_call_t *call = &instance->calls[kind];

	if (call->kind == FEED_WAIT)
		start_store_call(instance, kind);
	else if (fleet.now >= call->timeout_at)
		fail_store_call(instance, kind);
	else if (!instance->silent && !call->lost &&
		 (fleet.now >= call->answer_at ||
		  (call->kind == FEED_WATCH && has_news(kind, call->revision))))
		answer_store_call(instance, kind);
}

static void deliver_to(void *ctx, const peer_message_t *message)
{
	const packet_t *packet = ctx;

	entry_receive_peer_message(fleet.instances[packet->to].entry,
				   packet->connection, message);
}

static void deliver_due(void)
{
	packet_t *packet, *next;

	TAILQ_FOREACH_SAFE (packet, &fleet.packets, link, next) {
		if (fleet.now < packet->due ||
		    fleet.instances[packet->to].paused ||
		    fleet.now < fleet.instances[packet->to].busy_until)
			continue;
		if (is_connected(packet->to))
			g_assert_true(peer_codec_decode(packet->bytes->data,
							packet->bytes->len,
							deliver_to, packet));
		packet_free(packet);
	}
}

static void run_instance(instance_t *instance)
{
	guint kind;

	if (!instance->entry || instance->paused ||
	    fleet.now < instance->busy_until)
		return;
	entry_tick(instance->entry);
	for (kind = 0; kind < FEED_KIND_COUNT; kind++)
		run_store(instance, kind);
}

void fleet_run_for(GTimeSpan time)
{
	GTimeSpan end = fleet.now + time;
	guint i;

	while (fleet.now < end) {
		fleet.now += FLEET_STEP;
		deliver_due();
		for (i = 0; i < fleet.options.instances; i++)
			run_instance(&fleet.instances[i]);
	}
}

guint fleet_count_connected(void)
{
	guint count = 0, i;

	for (i = 0; i < fleet.options.instances; i++)
		count += is_connected(i);
	return count;
}

guint fleet_count_version(guint64 version)
{
	guint count = 0, i;

	for (i = 0; i < fleet.options.instances; i++)
		count += is_connected(i) &&
			 config_version(entry_config(
				 fleet.instances[i].entry)) >= version;
	return count;
}

gboolean fleet_knows_evacuations(guint index)
{
	const evacuations_t *known =
		entry_evacuations(fleet.instances[index].entry);
	char name[EVACUATION_NAME_MAX + 1];
	guint i;

	for (i = 0; i < DATA_CENTRES_MAX; i++) {
		data_centre_name(i, name, sizeof(name));
		if (evacuations_contains(known, name) != fleet.evacuated[i])
			return FALSE;
	}
	return TRUE;
}

guint fleet_count_evacuations(void)
{
	guint count = 0, i;

	for (i = 0; i < fleet.options.instances; i++)
		count += is_connected(i) && fleet_knows_evacuations(i);
	return count;
}

static gboolean knows_all(const instance_t *instance)
{
	GArray *known =
		catalogue_all(entry_catalogue(instance->entry), fleet.now);
	guint expected = 0, found = 0, id, i;

	for (id = 0; id < ENDPOINTS_MAX; id++)
		expected += fleet.endpoint_revisions[id] > 0;
	for (i = 0; i < known->len; i++) {
		const catalogue_change_t *change =
			&g_array_index(known, catalogue_change_t, i);

		id = (guint)strtoul(change->entry.info.id + strlen("i-"), NULL,
				    16);
		found += fleet.endpoint_revisions[id] == change->entry.revision;
	}
	i = known->len;
	g_array_unref(known);
	return found == expected && i == expected;
}

guint fleet_count_complete(void)
{
	guint count = 0, i;

	for (i = 0; i < fleet.options.instances; i++)
		count += is_connected(i) && knows_all(&fleet.instances[i]);
	return count;
}

fleet_traffic_t fleet_traffic(peer_message_kind_t kind)
{
	return fleet.traffic[kind];
}

fleet_traffic_t fleet_total_traffic(void)
{
	fleet_traffic_t total = { 0 };
	guint kind;

	for (kind = 0; kind < FLEET_MESSAGE_KINDS; kind++) {
		total.messages += fleet.traffic[kind].messages;
		total.bytes += fleet.traffic[kind].bytes;
		total.crossing_bytes += fleet.traffic[kind].crossing_bytes;
	}
	return total;
}

guint fleet_store_calls_of(feed_kind_t kind)
{
	return fleet.store_calls[kind];
}

guint fleet_store_calls(void)
{
	guint calls = 0, kind;

	for (kind = 0; kind < FEED_KIND_COUNT; kind++)
		calls += fleet.store_calls[kind];
	return calls;
}

gboolean fleet_reads_store(guint index, feed_kind_t kind)
{
	return fleet.instances[index].calls[kind].kind != FEED_WAIT;
}

void fleet_reset_counts(void)
{
	memset(fleet.traffic, 0, sizeof(fleet.traffic));
	memset(fleet.store_calls, 0, sizeof(fleet.store_calls));
}
