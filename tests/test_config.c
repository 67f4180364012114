/*
 * Guards the spread of configurations (R7) with five instances in two data
 * centres: in force everywhere within 6 s, and never back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "tests/support.h"

#define INSTANCES 5
#define FIRST_OF_SECOND_DATA_CENTRE 3
#define CALLER_PORT 40
#define PEER_PORT 50
#define OBJECT_PORT 60
#define START_TIMEOUT_MS 5000
#define IN_FORCE_MS 6000 /* bound of R7 */
#define WATCHERS_MAX 4 /* two in each data centre */
#define STATS_MS 6000
/* A watch of 2 s at a time, and the one that waited at the reset. */
#define WATCHER_CALLS_MAX (STATS_MS / 2000 + 1)

typedef struct {
	process_t *process;
	gboolean paused;
	gint64 version; /* last seen, must not fall */
} instance_t;

static struct {
	process_t *object_api;
	instance_t instances[INSTANCES];
	gint64 wanted; /* version that all shall have */
} fleet;

static const char schema_format[] =
	"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":%u}],"
	"\"services\":[{\"name\":\"booking\",\"slots\":3,\"connections\":200,"
	"\"probes_per_second\":0,\"endpoints\":[\"127.0.0.1:1\"],\"methods\":["
	"{\"name\":\"book\",\"priority\":\"urgent\",\"idempotent\":false,"
	"\"deadline_ms\":2000}]}]}";

static char *schema_text(guint floor)
{
	return g_strdup_printf(schema_format, floor);
}

static void start_instance(guint i)
{
	gchar *name = g_strdup_printf("config_e%u.json", i);
	char *settings = write_build_file(
		name,
		"{\"instance\":\"e%u\",\"data_centre\":\"%s\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\",\"seeds\":[\"127.0.0.1:%u\","
		"\"127.0.0.1:%u\"],\"object_api\":\"127.0.0.1:%u\"}",
		i, i < FIRST_OF_SECOND_DATA_CENTRE ? "k1" : "k2",
		test_port(CALLER_PORT + i), test_port(PEER_PORT + i),
		test_port(PEER_PORT), test_port(PEER_PORT + 1),
		test_port(OBJECT_PORT));

	fleet.instances[i].process =
		process_start("catkinstalld", "--settings", settings, NULL);
	fleet.instances[i].version = 0;
	g_free(settings);
	g_free(name);
}

/* Version in force there, 0 for none or no answer. Fails when it has fallen. */
static gint64 look_at(guint i)
{
	instance_t *instance = &fleet.instances[i];
	gint64 version;
	reply_t reply;

	http_request(&reply, "GET", test_port(CALLER_PORT + i), "/v1/resolve",
		     NULL, NULL);
	if (reply.status != 200) {
		reply_clear(&reply);
		return 0;
	}
	version = json_integer_at(reply.body, "config_version");
	reply_clear(&reply);
	assert_true(version >= instance->version);
	instance->version = version;
	return version;
}

static gboolean wanted_everywhere(void *ctx)
{
	gboolean all = TRUE;
	guint i;

	(void)ctx;
	for (i = 0; i < INSTANCES; i++)
		if (!fleet.instances[i].paused && look_at(i) < fleet.wanted)
			all = FALSE;
	return all;
}

static void assert_in_force(gint64 version, const char *event)
{
	gint64 start = g_get_monotonic_time();

	fleet.wanted = version;
	assert_true(wait_until(wanted_everywhere, NULL, IN_FORCE_MS));
	print_message("version %" G_GINT64_FORMAT " in force everywhere "
		      "%" G_GINT64_FORMAT " ms after %s\n",
		      version,
		      (g_get_monotonic_time() - start) /
			      G_TIME_SPAN_MILLISECOND,
		      event);
}

static void object_request(const char *path, const char *body, reply_t *reply)
{
	http_request(reply, "POST", test_port(OBJECT_PORT), path, body, NULL);
	assert_int_equal(reply->status, 200);
}

static void control(const char *query)
{
	gchar *path = g_strdup_printf("/control?%s", query);
	reply_t reply;

	object_request(path, NULL, &reply);
	reply_clear(&reply);
	g_free(path);
}

/* Writes past the entries, so that only their watches can tell them. */
static void store_by_hand(gint64 base, const char *text)
{
	gchar *path = g_strdup_printf(
		"/v1/put/config/schema?if_version=%" G_GINT64_FORMAT, base);
	reply_t reply;

	object_request(path, text, &reply);
	reply_clear(&reply);
	g_free(path);
}

static async_request_t *start_apply(guint instance, const char *change_id,
				    gint64 base, guint floor)
{
	gchar *path = g_strdup_printf("/v1/operator/config?change_id=%s"
				      "&base_version=%" G_GINT64_FORMAT,
				      change_id, base);
	char *text = schema_text(floor);
	async_request_t *request = http_start(
		"POST", test_port(CALLER_PORT + instance), path, text, NULL);

	g_free(text);
	g_free(path);
	return request;
}

/* Applies a change and checks the status and the version in the answer. */
static void assert_apply(guint instance, const char *change_id, gint64 base,
			 guint status, gint64 version)
{
	reply_t reply;

	http_join(start_apply(instance, change_id, base, 1), &reply);
	assert_int_equal(reply.status, status);
	assert_int_equal(json_integer_at(reply.body, "version"), version);
	reply_clear(&reply);
}

/* Exit status of catkinctl config apply at the first instance. */
static int ctl_apply(const char *schema, const char *change_id,
		     const char *base, const char *timeout_ms)
{
	gchar *entry = g_strdup_printf("127.0.0.1:%u", test_port(CALLER_PORT));
	char *file = write_build_file("config_schema.json", "%s", schema);
	process_t *process = process_start(
		"catkinctl", "--entry", entry, "config", "apply", file,
		"--change-id", change_id, "--base-version", base, "--author",
		"test", "--wait", "--timeout-ms", timeout_ms, NULL);
	int status = process_wait(process);

	process_free(process);
	g_free(file);
	g_free(entry);
	return status;
}

/* The state of an instance, "" without an answer; free with g_free(). */
static char *dump_of(guint instance)
{
	char *text;
	reply_t reply;

	http_request(&reply, "GET", test_port(CALLER_PORT + instance),
		     "/v1/operator/dump", NULL, NULL);
	text = g_strdup(reply.status == 200 ? reply.body : "");
	reply_clear(&reply);
	return text;
}

static gint64 dump_integer(guint instance, const char *path)
{
	char *text = dump_of(instance);
	gint64 value = json_integer_at(text, path);

	g_free(text);
	return value;
}

/* Live members that the instance knows, itself included. */
static guint live_members(guint instance)
{
	char *text = dump_of(instance);
	const char *place = text;
	guint count = 0;

	while ((place = strstr(place, "\"live\""))) {
		count++;
		place++;
	}
	g_free(text);
	return count;
}

static gboolean fleet_is_complete(void *ctx)
{
	guint i;

	(void)ctx;
	for (i = 0; i < INSTANCES; i++)
		if (live_members(i) != INSTANCES)
			return FALSE;
	return TRUE;
}

static int set_up(void **state)
{
	gchar *port = g_strdup_printf("%u", test_port(OBJECT_PORT));
	guint i;

	(void)state;
	fleet.object_api =
		process_start("fake_object_api", "--port", port, NULL);
	g_free(port);
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	assert_true(wait_until(fleet_is_complete, NULL, START_TIMEOUT_MS));
	return 0;
}

static int tear_down(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		process_free(fleet.instances[i].process);
	process_free(fleet.object_api);
	return 0;
}

/* Fails when --wait returns early, or an exit status names another remedy. */
static void operator_applies_and_waits(void **state)
{
	char *schema = schema_text(2);
	guint i;

	(void)state;
	assert_int_equal(ctl_apply("{\"services\":[]}", "bad", "0", "9000"), 2);
	assert_int_equal(ctl_apply(schema, "first", "0", "9000"), 0);
	for (i = 0; i < INSTANCES; i++)
		assert_int_equal(look_at(i), 1);
	assert_int_equal(ctl_apply(schema, "first", "0", "9000"), 0);
	assert_int_equal(ctl_apply(schema, "late", "0", "9000"), 3);
	assert_apply(1, "second", 1, 200, 2);
	assert_in_force(2, "the answer to the operator");
	g_free(schema);
}

/* Fails when a write whose answer was lost is reported as failed, or done twice. */
static void lost_answer_is_one_change(void **state)
{
	(void)state;
	control("lose_answers=1");
	assert_apply(2, "lost", 2, 200, 3);
	assert_apply(4, "after", 3, 200, 4);
	assert_apply(1, "lost", 2, 200, 3);
	assert_in_force(4, "a lost answer");
}

/* Fails when two operators both win, or the loser is not told the version. */
static void one_of_two_racing_operators_wins(void **state)
{
	async_request_t *requests[2];
	reply_t replies[2];
	guint i, won = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		requests[i] =
			start_apply(i * 3, i ? "race-b" : "race-a", 4, 10 + i);
	for (i = 0; i < 2; i++) {
		http_join(requests[i], &replies[i]);
		won += replies[i].status == 200;
		assert_true(replies[i].status == 200 ||
			    replies[i].status == 409);
		assert_int_equal(json_integer_at(replies[i].body, "version"),
				 5);
		reply_clear(&replies[i]);
	}
	assert_int_equal(won, 1);
	assert_in_force(5, "a race");
}

/* Fails when connections that went silent together hide a version for over 6 s. */
static void silent_watches_hide_nothing(void **state)
{
	char *text = schema_text(6);

	(void)state;
	control("silence=1");
	store_by_hand(5, text);
	assert_in_force(6, "a write while all watches were silent");
	g_free(text);
}

/*
 * Fails when an invalid version comes into force, is asked for without pause,
 * or blocks the next one.
 */
static void invalid_version_blocks_nothing(void **state)
{
	char *text = schema_text(8);
	gint64 calls[INSTANCES];
	guint i, counted = 0;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		calls[i] = dump_integer(i, "counters.object_api_calls");
	store_by_hand(6, "{\"schema\":{}}");
	run_loop_for(1000);
	for (i = 0; i < INSTANCES; i++) {
		assert_int_equal(look_at(i), 6);
		counted += dump_integer(
				   i, "counters.config_versions_rejected") == 1;
		assert_true(dump_integer(i, "counters.object_api_calls") -
				    calls[i] <=
			    WATCHER_CALLS_MAX);
	}
	assert_in_range(counted, 1, WATCHERS_MAX);
	store_by_hand(7, text);
	assert_in_force(8, "a write after an invalid version");
	g_free(text);
}

/*
 * Fails when an instance that starts from nothing in an outage stays without
 * configuration, or a change that was not written is called anything else.
 */
static void outage_reverts_nothing(void **state)
{
	async_request_t *request;
	reply_t reply;

	(void)state;
	control("outage=1");
	request = start_apply(1, "outage", 8, 9);
	process_free(fleet.instances[2].process);
	start_instance(2);
	assert_in_force(8, "a restart in an outage");
	http_join(request, &reply);
	assert_int_equal(reply.status, 503);
	assert_string_equal(reply.outcome, "not_run");
	reply_clear(&reply);
	control("outage=0");
	assert_apply(1, "outage", 8, 200, 9);
	assert_in_force(9, "the end of an outage");
}

/* Fails when --wait leaves out a half that is cut off, or the half stays behind. */
static void cut_half_catches_up(void **state)
{
	char *schema = schema_text(11);
	guint i;

	(void)state;
	for (i = FIRST_OF_SECOND_DATA_CENTRE; i < INSTANCES; i++) {
		process_signal(fleet.instances[i].process, SIGSTOP);
		fleet.instances[i].paused = TRUE;
	}
	/* Not yet gone, so --wait must wait for them. */
	assert_int_equal(ctl_apply(schema, "cut", "9", "1000"), 6);
	g_free(schema);
	assert_in_force(10, "a change during a cut");
	run_loop_for(3000);
	for (i = FIRST_OF_SECOND_DATA_CENTRE; i < INSTANCES; i++) {
		process_signal(fleet.instances[i].process, SIGCONT);
		fleet.instances[i].paused = FALSE;
	}
	assert_in_force(10, "the end of a cut");
	assert_true(wait_until(fleet_is_complete, NULL, IN_FORCE_MS));
}

/* Fails when more than two instances of a data centre watch, or too often. */
static void watches_are_few(void **state)
{
	guint i, watchers = 0;
	reply_t reply;

	(void)state;
	/* The watches of former watchers run out first. */
	run_loop_for(3000);
	control("reset_stats=1");
	run_loop_for(STATS_MS);
	object_request("/stats", NULL, &reply);
	for (i = 0; i < INSTANCES; i++) {
		gchar *path = g_strdup_printf("calls.e%u", i);
		gint64 calls = json_integer_at(reply.body, path);

		print_message("e%u: %" G_GINT64_FORMAT " calls/min\n", i,
			      MAX(calls, 0) * 60000 / STATS_MS);
		assert_true(calls <= WATCHER_CALLS_MAX);
		watchers += calls > 1;
		g_free(path);
	}
	assert_in_range(watchers, 1, WATCHERS_MAX);
	reply_clear(&reply);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(operator_applies_and_waits),
		cmocka_unit_test(lost_answer_is_one_change),
		cmocka_unit_test(one_of_two_racing_operators_wins),
		cmocka_unit_test(silent_watches_hide_nothing),
		cmocka_unit_test(invalid_version_blocks_nothing),
		cmocka_unit_test(outage_reverts_nothing),
		cmocka_unit_test(cut_half_catches_up),
		cmocka_unit_test(watches_are_few),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
