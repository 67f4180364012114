/*
 * Tests the distribution of configurations with five instances in two data
 * centres: an accepted version must be in force at every live instance within
 * 6 s, and must never be reverted.
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
#define IN_FORCE_MS 6000 /* for a version to be in force everywhere */
/* A watch of 2 s, the timeout of a call of 2 s, and a new watch. */
#define WATCH_REPLACEMENT_MS 4500
#define WATCHERS_MAX 4 /* two in each data centre */
#define STATS_MS 6000
/* One watch every 2 s, and the one in progress at the reset. */
#define WATCHER_CALLS_MAX (STATS_MS / 2000 + 1)

typedef struct {
	process_t *process;
	gboolean paused;
	gint64 version; /* last seen, must not decrease */
} instance_t;

static struct {
	process_t *object_api;
	instance_t instances[INSTANCES];
	gint64 expected; /* minimum version at all instances */
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

/*
 * Returns the version in force at an instance, 0 if none is or it does not
 * answer. Fails if the version has decreased.
 */
static gint64 read_version(guint i)
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

static gboolean expected_everywhere(void *ctx)
{
	gboolean all = TRUE;
	guint i;

	(void)ctx;
	for (i = 0; i < INSTANCES; i++)
		if (!fleet.instances[i].paused &&
		    read_version(i) < fleet.expected)
			all = FALSE;
	return all;
}

static void assert_in_force(gint64 version, const char *event)
{
	gint64 start = g_get_monotonic_time();

	fleet.expected = version;
	assert_true(wait_until(expected_everywhere, NULL, IN_FORCE_MS));
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

/* Writes without an instance, so that only watches can detect the version. */
static void put_directly(gint64 base, const char *text)
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

/* Runs catkinctl config apply at the first instance; returns its exit status. */
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

/* Returns the dump of an instance, "" without an answer. Free with g_free(). */
static char *read_dump(guint instance)
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
	char *text = read_dump(instance);
	gint64 value = json_integer_at(text, path);

	g_free(text);
	return value;
}

/* Counts the live members that the instance knows, including itself. */
static guint count_live_members(guint instance)
{
	char *text = read_dump(instance);
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
		if (count_live_members(i) != INSTANCES)
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

/* Fails if --wait returns too early, or if an exit status is wrong. */
static void operator_applies_and_waits(void **state)
{
	char *schema = schema_text(2);
	guint i;

	(void)state;
	assert_int_equal(ctl_apply("{\"services\":[]}", "bad", "0", "9000"), 2);
	assert_int_equal(ctl_apply(schema, "first", "0", "9000"), 0);
	for (i = 0; i < INSTANCES; i++)
		assert_int_equal(read_version(i), 1);
	assert_int_equal(ctl_apply(schema, "first", "0", "9000"), 0);
	assert_int_equal(ctl_apply(schema, "late", "0", "9000"), 3);
	assert_apply(1, "second", 1, 200, 2);
	assert_in_force(2, "the answer to the operator");
	g_free(schema);
}

/* Fails if a write whose answer was lost is reported as failed, or repeated. */
static void lost_answer_is_one_change(void **state)
{
	(void)state;
	control("lose_answers=1");
	assert_apply(2, "lost", 2, 200, 3);
	assert_apply(4, "after", 3, 200, 4);
	assert_apply(1, "lost", 2, 200, 3);
	assert_in_force(4, "a lost answer");
}

/*
 * Fails if two concurrent changes of the same version are both accepted, or if
 * the rejected operator does not get the stored version.
 */
static void one_of_two_concurrent_changes_is_accepted(void **state)
{
	async_request_t *requests[2];
	reply_t replies[2];
	guint i, accepted = 0;

	(void)state;
	for (i = 0; i < 2; i++)
		requests[i] =
			start_apply(i * 3, i ? "race-b" : "race-a", 4, 10 + i);
	for (i = 0; i < 2; i++) {
		http_join(requests[i], &replies[i]);
		accepted += replies[i].status == 200;
		assert_true(replies[i].status == 200 ||
			    replies[i].status == 409);
		assert_int_equal(json_integer_at(replies[i].body, "version"),
				 5);
		reply_clear(&replies[i]);
	}
	assert_int_equal(accepted, 1);
	assert_in_force(5, "a race");
}

/*
 * Fails if a version is not in force in time when the connections of all
 * watches have silently stopped delivering data.
 */
static void dead_watches_are_replaced_in_time(void **state)
{
	gint64 start = g_get_monotonic_time();
	char *text = schema_text(6);

	(void)state;
	control("silence=1");
	put_directly(5, text);
	assert_in_force(6, "a write while all watches were silent");
	g_free(text);
	/* The next test needs working watches, and a peer may be faster. */
	while (g_get_monotonic_time() <
	       start + WATCH_REPLACEMENT_MS * G_TIME_SPAN_MILLISECOND)
		run_loop_for(100);
}

/*
 * Fails if an invalid version comes into force, is requested in a busy loop, or
 * blocks the next version.
 */
static void invalid_version_is_skipped(void **state)
{
	char *text = schema_text(8);
	gint64 calls[INSTANCES];
	guint i, counted = 0;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		calls[i] = dump_integer(i, "counters.object_api_calls");
	put_directly(6, "{\"schema\":{}}");
	run_loop_for(1000);
	for (i = 0; i < INSTANCES; i++) {
		assert_int_equal(read_version(i), 6);
		counted += dump_integer(
				   i, "counters.config_versions_rejected") == 1;
		assert_true(dump_integer(i, "counters.object_api_calls") -
				    calls[i] <=
			    WATCHER_CALLS_MAX);
	}
	assert_in_range(counted, 1, WATCHERS_MAX);
	put_directly(7, text);
	assert_in_force(8, "a write after an invalid version");
	g_free(text);
}

/*
 * Fails if an instance that starts during an outage of the object API does not
 * get the version in force, or if a change that could not be written is not
 * reported as not run.
 */
static void outage_reverts_no_version(void **state)
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

/*
 * Fails if --wait does not wait for paused instances, or if they do not get the
 * new version when they resume.
 */
static void paused_instances_catch_up(void **state)
{
	char *schema = schema_text(11);
	guint i;

	(void)state;
	for (i = FIRST_OF_SECOND_DATA_CENTRE; i < INSTANCES; i++) {
		process_signal(fleet.instances[i].process, SIGSTOP);
		fleet.instances[i].paused = TRUE;
	}
	/* The paused instances still count as members, so --wait must wait. */
	assert_int_equal(ctl_apply(schema, "cut", "9", "1000"), 6);
	g_free(schema);
	assert_in_force(10, "a change during a pause");
	run_loop_for(3000);
	for (i = FIRST_OF_SECOND_DATA_CENTRE; i < INSTANCES; i++) {
		process_signal(fleet.instances[i].process, SIGCONT);
		fleet.instances[i].paused = FALSE;
	}
	assert_in_force(10, "the end of a pause");
	assert_true(wait_until(fleet_is_complete, NULL, IN_FORCE_MS));
}

/* Fails if more than two instances per data centre watch, or too often. */
static void number_of_watches_is_limited(void **state)
{
	guint i, watchers = 0;
	reply_t reply;

	(void)state;
	/* Let the watches of former watchers end first. */
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
		cmocka_unit_test(one_of_two_concurrent_changes_is_accepted),
		cmocka_unit_test(dead_watches_are_replaced_in_time),
		cmocka_unit_test(invalid_version_is_skipped),
		cmocka_unit_test(outage_reverts_no_version),
		cmocka_unit_test(paused_instances_catch_up),
		cmocka_unit_test(number_of_watches_is_limited),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
