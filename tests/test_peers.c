/*
 * Tests several instances with real processes: membership, forwarded calls and
 * configuration from peers. No call may run twice or get a false outcome when
 * an instance is paused, killed or isolated.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support.h"

#define ENTRIES 5
#define SPARE ENTRIES /* index of an instance that only some tests start */
#define CALLER_PORT 100 /* offsets of the ports */
#define PEER_PORT 120
#define UPSTREAM_PORT 140
#define OBJECT_PORT 141
#define START_MS 5000
#define DETECTION_MS 5000
#define BOOK "/v1/call/booking/book"
#define ID_HEADER "Catkinstall-Request-Id"

static struct {
	process_t *entries[ENTRIES + 1];
	process_t *upstream;
	char *schema;
} fleet;

static guint caller_port(guint entry)
{
	return test_port(CALLER_PORT + entry);
}

/* key and value are the setting that names the source of the configuration. */
static void start_entry(guint entry, const char *key, const char *value)
{
	char *settings = write_build_file(
		"peers.json",
		"{\"instance\":\"e%u\",\"data_centre\":\"k%u\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\",\"%s\":\"%s\","
		"\"seeds\":[\"127.0.0.1:%u\"],\"resolve_addresses\":%d,"
		"\"request_id_lifetime_ms\":60000,\"resolve_ttl_ms\":200}",
		entry, entry % 2, caller_port(entry),
		test_port(PEER_PORT + entry), key, value, test_port(PEER_PORT),
		ENTRIES);

	fleet.entries[entry] =
		process_start("catkinstalld", "--settings", settings, NULL);
	assert_true(wait_until(daemon_is_ready,
			       GUINT_TO_POINTER(caller_port(entry)), START_MS));
	g_free(settings);
}

static void stop_entry(guint entry)
{
	g_clear_pointer(&fleet.entries[entry], process_free);
}

/* Returns the body of the answer to a GET. Free with g_free(). */
static char *get_from(guint entry, const char *path)
{
	reply_t reply;

	http_request(&reply, "GET", caller_port(entry), path, NULL, NULL);
	assert_int_equal(reply.status, 200);
	g_free(reply.outcome);
	return reply.body;
}

static gint64 dump_integer(guint entry, const char *path)
{
	char *text = get_from(entry, "/v1/operator/dump");
	gint64 value = json_integer_at(text, path);

	g_free(text);
	return value;
}

/*
 * Counts the members that an instance sees in a state; only the member with the
 * given name if that is not NULL.
 */
static guint count_seen(guint entry, const char *name, const char *state)
{
	char *text = get_from(entry, "/v1/operator/dump");
	JsonNode *root = json_from_string(text, NULL);
	JsonArray *members = json_object_get_array_member(
		json_node_get_object(root), "members");
	guint count = 0, i;

	for (i = 0; i < json_array_get_length(members); i++) {
		JsonObject *member = json_array_get_object_element(members, i);

		if (name &&
		    g_strcmp0(json_object_get_string_member(member, "name"),
			      name) != 0)
			continue;
		count += g_str_equal(
			json_object_get_string_member(member, "state"), state);
	}
	json_node_unref(root);
	g_free(text);
	return count;
}

static gboolean all_are_live(void *ctx)
{
	guint i;

	(void)ctx;
	for (i = 0; i < ENTRIES; i++)
		if (count_seen(i, NULL, "live") != ENTRIES)
			return FALSE;
	return TRUE;
}

/* TRUE if all other instances see the instance as gone. */
static gboolean is_gone(void *ctx)
{
	guint entry = GPOINTER_TO_UINT(ctx), i;
	gchar *name = g_strdup_printf("e%u", entry);
	gboolean gone = TRUE;

	for (i = 0; i < ENTRIES && gone; i++)
		gone = i == entry || count_seen(i, name, "gone") == 1;
	g_free(name);
	return gone;
}

static void assert_call(guint entry, const char *id, const char *body,
			guint status, const char *outcome)
{
	reply_t reply;

	http_request(&reply, "POST", caller_port(entry), BOOK, body, ID_HEADER,
		     id, "Catkinstall-Deadline-Ms", "1500", NULL);
	assert_int_equal(reply.status, status);
	assert_string_equal(reply.outcome, outcome);
	if (status == 200)
		assert_string_equal(reply.body, body);
	reply_clear(&reply);
}

static void assert_runs(const char *body, const char *runs)
{
	gchar *path = g_strdup_printf("/runs?body=%s", body);
	reply_t reply;

	http_request(&reply, "POST", test_port(UPSTREAM_PORT), path, NULL,
		     NULL);
	assert_string_equal(reply.body, runs);
	reply_clear(&reply);
	g_free(path);
}

static int set_up(void **state)
{
	gchar *port = g_strdup_printf("%u", test_port(UPSTREAM_PORT));
	guint i;

	(void)state;
	fleet.upstream = process_start("fake_upstream", "--port", port,
				       "--service-ms", "50", NULL);
	g_free(port);
	fleet.schema = write_build_file(
		"peers_schema.json",
		"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":10}],"
		"\"services\":[{\"name\":\"booking\",\"slots\":3,"
		"\"connections\":200,\"probes_per_second\":0,"
		"\"endpoints\":[\"127.0.0.1:%u\"],\"methods\":["
		"{\"name\":\"book\",\"priority\":\"urgent\","
		"\"idempotent\":false,\"deadline_ms\":5000}]}]}",
		test_port(UPSTREAM_PORT));
	for (i = 0; i < ENTRIES; i++)
		start_entry(i, "config_file", fleet.schema);
	return 0;
}

static int tear_down(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i <= SPARE; i++)
		stop_entry(i);
	process_free(fleet.upstream);
	g_free(fleet.schema);
	return 0;
}

/* Fails if one seed is not enough to discover all members. */
static void members_discover_each_other(void **state)
{
	(void)state;
	assert_true(wait_until(all_are_live, NULL, START_MS));
}

/* Resolves at entry 0 and returns the entry at a position of the addresses. */
static guint resolve_at(guint position)
{
	JsonArray *addresses;
	char *text = get_from(0, "/v1/resolve");
	JsonNode *root = json_from_string(text, NULL);
	guint port;

	addresses = json_object_get_array_member(json_node_get_object(root),
						 "addresses");
	assert_int_equal(json_array_get_length(addresses), ENTRIES);
	port = (guint)atoi(
		strchr(json_array_get_string_element(addresses, position),
		       ':') +
		1);
	json_node_unref(root);
	g_free(text);
	return port - caller_port(0);
}

/*
 * Fails if the addresses are not in the order own instance, own data centre
 * (even numbers), other data centre, or do not rotate within a data centre.
 */
static void resolve_prefers_local_and_rotates(void **state)
{
	guint seen[ENTRIES] = { 0 };
	guint i;

	(void)state;
	for (i = 0; i < 4; i++) {
		assert_int_equal(resolve_at(0), 0);
		seen[resolve_at(1)]++;
		assert_int_equal(resolve_at(2) % 2, 0);
		seen[resolve_at(3)]++;
		assert_int_equal(resolve_at(4) % 2, 1);
	}
	assert_int_equal(seen[2] + seen[4], 4);
	assert_int_equal(seen[1] + seen[3], 4);
	assert_true(seen[2] && seen[4] && seen[1] && seen[3]);
}

/* Fails if a call sent to another instance is lost, changed or run twice. */
static void forwarded_call_runs_once(void **state)
{
	char *id = fetch_request_id(caller_port(1));

	(void)state;
	assert_call(2, id, "forwarded", 200, "ran");
	assert_call(3, id, "forwarded", 200, "ran");
	assert_call(1, id, "forwarded", 200, "ran");
	assert_runs("forwarded", "1");
	g_free(id);
}

/*
 * Fails if concurrent duplicates of a call, sent to its issuer and to another
 * instance, run twice or get different answers.
 */
static void duplicates_at_two_instances_run_once(void **state)
{
	char *id = fetch_request_id(caller_port(1));
	async_request_t *duplicates[2];
	reply_t reply;
	guint i;

	(void)state;
	for (i = 0; i < 2; i++)
		duplicates[i] = http_start("POST", caller_port(1 + i), BOOK,
					   "copies", ID_HEADER, id, NULL);
	for (i = 0; i < 2; i++) {
		http_join(duplicates[i], &reply);
		assert_int_equal(reply.status, 200);
		assert_string_equal(reply.body, "copies");
		reply_clear(&reply);
	}
	assert_runs("copies", "1");
	g_free(id);
}

/*
 * Fails if a call is not cancelled at the issuer of its id when the caller
 * disconnects from the instance that forwarded the call.
 */
static void forwarded_call_is_cancelled(void **state)
{
	char *id = fetch_request_id(caller_port(1));
	async_request_t *request;

	(void)state;
	process_signal(fleet.upstream, SIGSTOP);
	request = http_start("POST", caller_port(2), BOOK, "left", ID_HEADER,
			     id, NULL);
	run_loop_for(200);
	http_abort(request);
	run_loop_for(200);
	process_signal(fleet.upstream, SIGCONT);
	assert_int_equal(dump_integer(1, "counters.calls_cancelled_by_caller"),
			 1);
	assert_int_equal(dump_integer(1, "calls_in_flight"), 0);
	g_free(id);
}

/*
 * Fails if a paused instance declares others gone, does not rejoin, or runs a
 * forwarded call after its deadline, or if connections to it are not closed as
 * silent.
 */
static void paused_instance_rejoins(void **state)
{
	char *id = fetch_request_id(caller_port(4));
	guint i;

	(void)state;
	process_signal(fleet.entries[4], SIGSTOP);
	assert_call(0, id, "stale", 504, "unknown");
	g_free(id);
	run_loop_for(1400);
	process_signal(fleet.entries[4], SIGCONT);
	for (i = 0; i < 50; i++) {
		assert_int_equal(count_seen(4, NULL, "gone"), 0);
		run_loop_for(20);
	}
	assert_true(wait_until(all_are_live, NULL, DETECTION_MS));
	assert_true(dump_integer(0, "counters.connections_closed_as_silent") >
		    0);
	id = fetch_request_id(caller_port(4));
	assert_call(0, id, "after-pause", 200, "ran");
	assert_runs("stale", "0");
	g_free(id);
}

/*
 * Fails if an instance reports that a call did not run although it had
 * forwarded the call to the issuer of its id, or cannot reach the issuer.
 */
static void lost_issuer_means_unknown_outcome(void **state)
{
	char *id = fetch_request_id(caller_port(1));
	char *later = fetch_request_id(caller_port(1));
	async_request_t *request;
	reply_t reply;

	(void)state;
	process_signal(fleet.entries[1], SIGSTOP);
	request = http_start("POST", caller_port(2), BOOK, "lost", ID_HEADER,
			     id, NULL);
	run_loop_for(100);
	stop_entry(1);
	http_join(request, &reply);
	assert_string_equal(reply.outcome, "unknown");
	reply_clear(&reply);
	assert_call(2, later, "later", 502, "unknown");
	assert_true(wait_until(is_gone, GUINT_TO_POINTER(1), DETECTION_MS));
	assert_call(3, later, "later", 502, "unknown");
	start_entry(1, "config_file", fleet.schema);
	assert_call(1, later, "later", 502, "unknown");
	assert_call(2, later, "later", 502, "unknown");
	assert_true(wait_until(all_are_live, NULL, DETECTION_MS));
	assert_call(4, later, "later", 502, "unknown");
	assert_runs("later", "0");
	g_free(id);
	g_free(later);
}

static void signal_group(guint first, guint end, int signal)
{
	while (first < end)
		process_signal(fleet.entries[first++], signal);
}

/* Fails if a group that cannot reach the other instances stops serving. */
static void isolated_group_serves(void **state)
{
	static const guint bounds[2][2] = { { 0, 2 }, { 2, ENTRIES } };
	guint i;

	(void)state;
	for (i = 0; i < 2; i++) {
		guint other = bounds[1 - i][0];
		char *id;

		signal_group(bounds[i][0], bounds[i][1], SIGSTOP);
		run_loop_for(4000);
		assert_int_equal(count_seen(other, NULL, "live"),
				 bounds[1 - i][1] - other);
		id = fetch_request_id(caller_port(other));
		assert_call(other + 1, id, "alone", 200, "ran");
		g_free(id);
		signal_group(bounds[i][0], bounds[i][1], SIGCONT);
		assert_true(wait_until(all_are_live, NULL, 2 * DETECTION_MS));
	}
}

/* Fails if an instance needs the object API to get its configuration. */
static void configuration_comes_from_peers(void **state)
{
	gchar *closed = g_strdup_printf("127.0.0.1:%u", test_port(OBJECT_PORT));
	char *id;

	(void)state;
	start_entry(SPARE, "object_api", closed);
	id = fetch_request_id(caller_port(SPARE));
	assert_call(0, id, "from-peers", 200, "ran");
	g_free(id);
	g_free(closed);
}

/* Fails if a resolve returns the address of an instance that is leaving. */
static void leaving_instance_is_not_resolved(void **state)
{
	gchar *address = g_strdup_printf("127.0.0.1:%u", caller_port(SPARE));

	(void)state;
	process_signal(fleet.entries[SPARE], SIGTERM);
	run_loop_for(2000);
	for (guint i = 0; i < 2 * ENTRIES; i++) {
		char *text = get_from(i % ENTRIES, "/v1/resolve");

		assert_null(strstr(text, address));
		g_free(text);
	}
	g_free(address);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(members_discover_each_other),
		cmocka_unit_test(resolve_prefers_local_and_rotates),
		cmocka_unit_test(forwarded_call_runs_once),
		cmocka_unit_test(duplicates_at_two_instances_run_once),
		cmocka_unit_test(forwarded_call_is_cancelled),
		cmocka_unit_test(paused_instance_rejoins),
		cmocka_unit_test(lost_issuer_means_unknown_outcome),
		cmocka_unit_test(isolated_group_serves),
		cmocka_unit_test(configuration_comes_from_peers),
		cmocka_unit_test(leaving_instance_is_not_resolved),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
