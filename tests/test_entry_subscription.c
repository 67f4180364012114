/*
 * Tests a fleet of entries on a simulated network: each change in the store
 * must reach all entries although only a few read the store, and callers must
 * resolve the addresses of all entries.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "codec/peer_codec.h"
#include "lib/entry/entry.h"

#define ENTRIES 30
#define DATA_CENTRES 3
#define ADDRESSES_MAX 8 /* per result, fewer than the entries per data centre */
#define STEP (20 * G_TIME_SPAN_MILLISECOND) /* also the message latency */
#define JOIN_TIME (20 * G_TIME_SPAN_SECOND)
#define CHANGE_BOUND (2 * G_TIME_SPAN_SECOND) /* limit on learning a change */
#define RECONNECT_BOUND (3 * G_TIME_SPAN_SECOND) /* after an outage */
#define STORE_POLL_INTERVAL (CHANGE_BOUND / 3)
#define STORE_ENDPOINTS_MAX 8

/* A connection id encodes both ends, so that replies can be routed. */
#define CONNECTION_OF(from, to) ((guint64)(from)*ENTRIES + (to) + 1)

typedef struct packet {
	TAILQ_ENTRY(packet) link;
	guint to;
	guint64 connection;
	GByteArray *bytes;
} packet_t;

typedef struct {
	entry_t *entry;
	GTimeSpan next_poll; /* of the store */
	guint64 polled_revision; /* of the store at the last poll */
	guint polls;
	gboolean dead;
	gboolean store_unreachable; /* for this node only */
	gboolean watches_configuration; /* that watch is answered always */
} node_t;

typedef struct {
	guint64 revision; /* 0 if the endpoint is not in the store */
} stored_t;

static struct {
	node_t nodes[ENTRIES];
	stored_t store[STORE_ENDPOINTS_MAX];
	guint64 revision;
	gboolean store_down;
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	counters_t counters;
	TAILQ_HEAD(packet_list, packet) packets;
} net;

static GTimeSpan read_clock(void *ctx)
{
	(void)ctx;
	return net.now;
}

static void enqueue_packet(guint to, guint64 connection,
			   const peer_message_t *message)
{
	packet_t *packet = g_new0(packet_t, 1);

	packet->to = to;
	packet->connection = connection;
	packet->bytes = peer_codec_encode(message);
	TAILQ_INSERT_TAIL(&net.packets, packet, link);
}

static void on_send(void *ctx, const char *address,
		    const peer_message_t *message)
{
	guint from = (guint)((node_t *)ctx - net.nodes);
	guint to = (guint)atoi(address);

	enqueue_packet(to, CONNECTION_OF(from, to), message);
}

static void on_reply(void *ctx, guint64 connection,
		     const peer_message_t *message)
{
	guint self = (guint)((node_t *)ctx - net.nodes);
	guint to = (guint)((connection - 1) / ENTRIES);

	if (to == self)
		to = (guint)((connection - 1) % ENTRIES);
	enqueue_packet(to, connection, message);
}

static void start_node(guint index)
{
	node_t *node = &net.nodes[index];
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = 1,
				 .retention = 1,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 50, .caller_share_percent = 100 },
		.entries_max = ENTRIES,
		.attempts_max = 2,
		.resolve_addresses = ADDRESSES_MAX,
		.change_bound = CHANGE_BOUND,
		.reconnect_bound = RECONNECT_BOUND,
	};
	entry_actions_t actions = { .send_to_peer = on_send,
				    .reply_to_peer = on_reply,
				    .ctx = node };
	member_t self = { .incarnation = 1 };

	memset(node, 0, sizeof(*node));
	g_snprintf(self.name, sizeof(self.name), "e%u", index);
	g_snprintf(self.data_centre, sizeof(self.data_centre), "k%u",
		   index % DATA_CENTRES);
	g_snprintf(self.peer_address, sizeof(self.peer_address), "%u", index);
	g_snprintf(self.caller_address, sizeof(self.caller_address), "c%u",
		   index);
	node->entry = entry_new(&self, &limits, &actions, &net.clock,
				net.random, &net.counters);
	entry_add_seed(node->entry, "0");
}

static void put_endpoint(node_t *node, guint id)
{
	catalogue_entry_t entry = { .service = "s",
				    .revision = net.store[id].revision };

	g_snprintf(entry.info.id, sizeof(entry.info.id), "i-%u", id);
	catalogue_put(entry_catalogue(node->entry), &entry, net.now);
}

static void answer_configuration(node_t *node)
{
	const entry_store_call_t answered = { .outcome = FEED_ANSWERED };

	entry_store_call_ended(node->entry, FEED_CONFIGURATION, &answered);
	feed_changes_read(entry_feed(node->entry, FEED_CONFIGURATION),
			  net.revision, 0, net.now);
}

/* Stands in for platform/discovery, listing the store at each poll. */
static void poll_store(node_t *node)
{
	const entry_store_call_t answered = { .outcome = FEED_ANSWERED };
	const entry_store_call_t lost = { .outcome = FEED_UNANSWERED };
	catalogue_t *catalogue = entry_catalogue(node->entry);
	guint id;

	node->next_poll = net.now + STORE_POLL_INTERVAL;
	node->polls++;
	if (node->store_unreachable || net.store_down) {
		entry_store_call_ended(node->entry, FEED_ENDPOINTS, &lost);
		if (node->watches_configuration)
			answer_configuration(node);
		return;
	}
	entry_store_call_ended(node->entry, FEED_ENDPOINTS, &answered);
	catalogue_begin_list(catalogue);
	for (id = 0; id < STORE_ENDPOINTS_MAX; id++)
		if (net.store[id].revision)
			put_endpoint(node, id);
	catalogue_end_list(catalogue, net.revision, net.now);
	feed_page_read(entry_feed(node->entry, FEED_ENDPOINTS), net.revision,
		       NULL, FALSE, net.now);
	entry_endpoints_changed(node->entry);
}

static void deliver_to(void *ctx, const peer_message_t *message)
{
	const packet_t *packet = ctx;

	entry_receive_peer_message(net.nodes[packet->to].entry,
				   packet->connection, message);
}

static void deliver(packet_t *packet)
{
	TAILQ_REMOVE(&net.packets, packet, link);
	if (!net.nodes[packet->to].dead)
		assert_true(peer_codec_decode(packet->bytes->data,
					      packet->bytes->len, deliver_to,
					      packet));
	g_byte_array_unref(packet->bytes);
	g_free(packet);
}

static void step(void)
{
	const packet_t *last = TAILQ_LAST(&net.packets, packet_list);
	packet_t *packet = TAILQ_FIRST(&net.packets), *next;
	gboolean more = packet != NULL;
	guint i;

	net.now += STEP;
	while (more) {
		next = TAILQ_NEXT(packet, link);
		more = packet != last;
		deliver(packet);
		packet = next;
	}
	for (i = 0; i < ENTRIES; i++) {
		node_t *node = &net.nodes[i];

		if (node->dead)
			continue;
		entry_tick(node->entry);
		if (net.now >= node->next_poll &&
		    entry_should_read_store(node->entry))
			poll_store(node);
	}
}

static void run_for(GTimeSpan time)
{
	GTimeSpan end = net.now + time;

	while (net.now < end)
		step();
}

/* Adds an endpoint to the store or removes it. */
static void change_store(guint id, gboolean listed)
{
	net.revision++;
	net.store[id].revision = listed ? net.revision : 0;
}

static gboolean knows_endpoint(node_t *node, guint id)
{
	GArray *known = catalogue_changes_since(entry_catalogue(node->entry), 0,
						FALSE, net.now);
	gboolean found = FALSE;
	gchar *name = g_strdup_printf("i-%u", id);
	guint i;

	for (i = 0; i < known->len; i++) {
		const catalogue_change_t *change =
			&g_array_index(known, catalogue_change_t, i);

		found |= change->state == CATALOGUE_PRESENT &&
			 strcmp(change->entry.info.id, name) == 0;
	}
	g_free(name);
	g_array_unref(known);
	return found;
}

/* Number of live instances that know the endpoint. */
static guint count_knowing(guint id)
{
	guint count = 0;
	guint i;

	for (i = 0; i < ENTRIES; i++)
		count += !net.nodes[i].dead &&
			 knows_endpoint(&net.nodes[i], id);
	return count;
}

static guint count_polls(void)
{
	guint polls = 0;
	guint i;

	for (i = 0; i < ENTRIES; i++)
		polls += net.nodes[i].polls;
	return polls;
}

static gboolean is_source(guint index)
{
	return entry_is_config_watcher(net.nodes[index].entry);
}

static int set_up(void **state)
{
	guint i;

	(void)state;
	memset(&net, 0, sizeof(net));
	TAILQ_INIT(&net.packets);
	net.clock = (catk_clock_t){ .now = read_clock };
	net.random = g_rand_new_with_seed(5);
	net.now = 100 * G_TIME_SPAN_SECOND;
	net.revision = 10;
	for (i = 0; i < ENTRIES; i++) {
		start_node(i);
		poll_store(&net.nodes[i]);
	}
	run_for(JOIN_TIME);
	return 0;
}

static int tear_down(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < ENTRIES; i++)
		net.nodes[i].dead = TRUE;
	while (!TAILQ_EMPTY(&net.packets))
		deliver(TAILQ_FIRST(&net.packets));
	for (i = 0; i < ENTRIES; i++)
		entry_free(net.nodes[i].entry);
	g_rand_free(net.random);
	return 0;
}

/*
 * Fails if a change does not reach every instance within the bound, or if
 * instances other than the sources read the store.
 */
static void only_sources_read_the_store(void **state)
{
	const guint sources = DATA_CENTRES * ENTRY_CONFIG_WATCHERS;
	guint before = count_polls();

	(void)state;
	change_store(1, TRUE);
	run_for(CHANGE_BOUND);
	assert_int_equal(count_knowing(1), ENTRIES);
	change_store(1, FALSE);
	run_for(CHANGE_BOUND);
	assert_int_equal(count_knowing(1), 0);
	assert_in_range(
		count_polls() - before, 1,
		sources * (guint)(2 * CHANGE_BOUND / STORE_POLL_INTERVAL + 2));
}

/* Fails if a data centre misses a change after all its sources have died. */
static void dead_sources_do_not_hide_changes(void **state)
{
	guint i, live = ENTRIES;

	(void)state;
	for (i = 0; i < ENTRIES; i += DATA_CENTRES)
		if (is_source(i)) {
			net.nodes[i].dead = TRUE;
			live--;
		}
	assert_int_equal(live, ENTRIES - ENTRY_CONFIG_WATCHERS);
	change_store(2, TRUE);
	run_for(CHANGE_BOUND);
	assert_int_equal(count_knowing(2), live);
}

/*
 * Fails if a data centre whose sources cannot reach the store misses a change
 * that other instances can read.
 */
static void sources_without_store_learn_from_others(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < ENTRIES; i += DATA_CENTRES)
		net.nodes[i].store_unreachable = is_source(i);
	change_store(3, TRUE);
	run_for(CHANGE_BOUND);
	assert_int_equal(count_knowing(3), ENTRIES);
}

/* Fails if sources that cannot read endpoints hide changes of them. */
static void sources_without_endpoints_hide_no_changes(void **state)
{
	const guint sources = DATA_CENTRES * ENTRY_CONFIG_WATCHERS;
	guint i;

	(void)state;
	for (i = 0; i < ENTRIES; i++) {
		net.nodes[i].store_unreachable = is_source(i);
		net.nodes[i].watches_configuration = is_source(i);
	}
	/* Until the sources notice. */
	run_for(STORE_POLL_INTERVAL);
	change_store(5, TRUE);
	run_for(CHANGE_BOUND);
	assert_true(count_knowing(5) >= ENTRIES - sources);
}

/* Fails if the whole fleet polls the store during an outage of the store. */
static void only_sources_poll_during_an_outage(void **state)
{
	const guint sources = DATA_CENTRES * ENTRY_CONFIG_WATCHERS;
	const guint seconds = 8;
	guint before = count_polls();

	(void)state;
	net.store_down = TRUE;
	run_for(seconds * G_TIME_SPAN_SECOND);
	assert_in_range(count_polls() - before, sources,
			sources * (guint)(seconds * G_TIME_SPAN_SECOND /
						  STORE_POLL_INTERVAL +
					  2) +
				(ENTRIES - sources) * seconds / 2);
	net.store_down = FALSE;
	change_store(4, TRUE);
	run_for(CHANGE_BOUND);
	assert_int_equal(count_knowing(4), ENTRIES);
}

/* Number of different addresses in a number of results. */
static guint count_resolved(const char *data_centre, guint answers)
{
	GHashTable *addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	resolve_result_t result;
	guint i, count;

	for (; answers; answers--) {
		assert_true(entry_resolve_for_data_centre(
			net.nodes[0].entry, data_centre, &result, NULL));
		assert_int_equal(result.address_count, ADDRESSES_MAX);
		for (i = 0; i < result.address_count; i++)
			g_hash_table_add(addresses,
					 g_strdup(result.addresses[i]));
	}
	count = g_hash_table_size(addresses);
	g_hash_table_unref(addresses);
	return count;
}

/* Fails if some instances are never resolved when not all fit in a result. */
static void resolve_rotates_over_all_instances(void **state)
{
	(void)state;
	assert_int_equal(count_resolved("k1", 2), ENTRIES / DATA_CENTRES);
	assert_int_equal(count_resolved(NULL, 2 * ENTRIES / ADDRESSES_MAX),
			 ENTRIES);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(only_sources_read_the_store),
		TEST(dead_sources_do_not_hide_changes),
		TEST(sources_without_store_learn_from_others),
		TEST(sources_without_endpoints_hide_no_changes),
		TEST(only_sources_poll_during_an_outage),
		TEST(resolve_rotates_over_all_instances),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
