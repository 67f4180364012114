/*
 * Tests a network partition between two data centres: all peer connections, and
 * those from the second data centre to the object API, stop passing bytes at
 * the same time. Both halves must keep serving, no call may run twice, and the
 * halves must converge afterwards.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support_relay.h"

#define INSTANCES 6
#define HALF 3 /* instances in each data centre, a half of the fleet */
#define CALLER_PORT 700 /* offsets of the ports */
#define PEER_PORT 710
#define RELAY_PORT 720 /* one for each instance, then the object API's */
#define OBJECT_RELAY_PORT (RELAY_PORT + INSTANCES)
#define OBJECT_PORT 730
#define UPSTREAM_PORT 731
/* Time for a version to be in force everywhere, and for the membership. */
#define CONVERGENCE_MS 6000
#define IN_FLIGHT_MS 20 /* less than the service time of the upstream */
#define CROSS_CALLS 6

static const char schema_format[] =
	"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":%u}],"
	"\"services\":[{\"name\":\"booking\",\"slots\":3,\"connections\":200,"
	"\"probes_per_second\":0,\"endpoints\":[\"127.0.0.1:%u\"],\"methods\":["
	"{\"name\":\"book\",\"priority\":\"urgent\",\"idempotent\":false,"
	"\"deadline_ms\":1500}]}]}";

/* A call sent to an instance of the half that did not issue its request id. */
typedef struct {
	guint issuer; /* index of the instance */
	char *id;
	char body[16];
} cross_call_t;

/* Expected state of all instances. */
typedef struct {
	gint64 versions[2]; /* in force in each half */
	guint live; /* members */
} view_t;

static struct {
	process_t *instances[INSTANCES];
	gint64 versions[INSTANCES]; /* last seen, must not decrease */
	process_t *object_api;
	process_t *upstream;
	cross_call_t cross_calls[CROSS_CALLS];
} fleet;

static guint caller_port(guint instance)
{
	return test_port(CALLER_PORT + instance);
}

static void start_instance(guint i)
{
	guint half = i / HALF;
	gchar *name = g_strdup_printf("partition_e%u.json", i);
	char *settings = write_build_file(
		name,
		"{\"instance\":\"e%u\",\"data_centre\":\"k%u\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\","
		"\"peer_listen\":\"127.0.0.1:%u\","
		"\"seeds\":[\"127.0.0.1:%u\",\"127.0.0.1:%u\"],"
		"\"object_api\":\"127.0.0.1:%u\","
		"\"request_id_lifetime_ms\":60000}",
		i, half, caller_port(i), test_port(RELAY_PORT + i),
		test_port(PEER_PORT + i), test_port(RELAY_PORT),
		test_port(RELAY_PORT + HALF),
		test_port(half ? OBJECT_RELAY_PORT : OBJECT_PORT));

	relay_start(test_port(RELAY_PORT + i), test_port(PEER_PORT + i), half);
	fleet.instances[i] =
		process_start("catkinstalld", "--settings", settings, NULL);
	relay_add_process(fleet.instances[i], half);
	g_free(settings);
	g_free(name);
}

static gboolean instance_has(guint i, gint64 version, guint live)
{
	gint64 seen;
	reply_t reply;
	char *place;

	http_request(&reply, "GET", caller_port(i), "/v1/operator/dump", NULL,
		     NULL);
	seen = reply.status == 200 ?
		       json_integer_at(reply.body, "config_version") :
		       0;
	assert_true(seen >= fleet.versions[i]);
	fleet.versions[i] = seen;
	place = reply.body;
	while (place && (place = strstr(place + 1, "\"live\"")))
		live--;
	reply_clear(&reply);
	return seen == version && live == 0;
}

/* Checks every instance each time, so that any decrease of a version is seen. */
static gboolean fleet_has(void *ctx)
{
	const view_t *view = ctx;
	gboolean all = TRUE;
	guint i;

	for (i = 0; i < INSTANCES; i++)
		all &= instance_has(i, view->versions[i / HALF], view->live);
	return all;
}

static void assert_converges(gint64 first, gint64 second, guint live)
{
	view_t view = { .versions = { first, second }, .live = live };
	gint64 start = g_get_monotonic_time();

	assert_true(wait_until(fleet_has, &view, CONVERGENCE_MS));
	print_message("versions %d and %d, %u live after %d ms\n", (int)first,
		      (int)second, live,
		      (int)((g_get_monotonic_time() - start) /
			    G_TIME_SPAN_MILLISECOND));
}

static void apply(guint base)
{
	gchar *path = g_strdup_printf(
		"/v1/operator/config?change_id=c%u&base_version=%u", base,
		base);
	gchar *text = g_strdup_printf(schema_format, base + 1,
				      test_port(UPSTREAM_PORT));
	reply_t reply;

	http_request(&reply, "POST", caller_port(1), path, text, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	g_free(text);
	g_free(path);
}

static async_request_t *start_call(guint instance, const char *id,
				   const char *body)
{
	return http_start("POST", caller_port(instance),
			  "/v1/call/booking/book", body,
			  "Catkinstall-Request-Id", id, NULL);
}

static async_request_t *start_cross_call(guint i)
{
	cross_call_t *cross_call = &fleet.cross_calls[i];

	cross_call->issuer = i % 2 * HALF;
	cross_call->id = fetch_request_id(caller_port(cross_call->issuer));
	g_snprintf(cross_call->body, sizeof(cross_call->body), "cross%u", i);
	return start_call(HALF - cross_call->issuer, cross_call->id,
			  cross_call->body);
}

/*
 * Waits for the answer. Its outcome must be the given one or "ran", and agree
 * with the number of runs at the upstream.
 */
static void assert_outcome(async_request_t *request, const char *body,
			   const char *outcome)
{
	gchar *path = g_strdup_printf("/runs?body=%s", body);
	reply_t reply, runs;

	http_join(request, &reply);
	http_request(&runs, "POST", test_port(UPSTREAM_PORT), path, NULL, NULL);
	print_message("%s: %s, runs %s\n", body, reply.outcome, runs.body);
	if (g_strcmp0(reply.outcome, "ran") == 0) {
		assert_string_equal(reply.body, body);
		assert_string_equal(runs.body, "1");
	} else {
		assert_string_equal(reply.outcome, outcome);
		assert_in_range(atoi(runs.body), 0, *outcome == 'u');
	}
	reply_clear(&runs);
	reply_clear(&reply);
	g_free(path);
}

/*
 * Each instance must run a call with an id that it issued, and one with an id of
 * another instance in its half.
 */
static void assert_halves_serve(const char *when)
{
	guint i;

	for (i = 0; i < 2 * INSTANCES; i++) {
		guint instance = i % INSTANCES;
		guint issuer = i < INSTANCES ? instance :
					       instance / HALF * HALF +
						       (instance + 1) % HALF;
		gchar *body = g_strdup_printf("%s%u", when, i);
		char *id = fetch_request_id(caller_port(issuer));

		assert_outcome(start_call(instance, id, body), body, "ran");
		g_free(id);
		g_free(body);
	}
}

static int set_up(void **state)
{
	gchar *object_port = g_strdup_printf("%u", test_port(OBJECT_PORT));
	gchar *upstream_port = g_strdup_printf("%u", test_port(UPSTREAM_PORT));
	guint i;

	(void)state;
	fleet.object_api =
		process_start("fake_object_api", "--port", object_port, NULL);
	fleet.upstream = process_start("fake_upstream", "--port", upstream_port,
				       "--service-ms", "50", NULL);
	g_free(object_port);
	g_free(upstream_port);
	relay_start(test_port(OBJECT_RELAY_PORT), test_port(OBJECT_PORT), 0);
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	assert_converges(0, 0, INSTANCES);
	apply(0);
	assert_converges(1, 1, INSTANCES);
	return 0;
}

static int tear_down(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		process_free(fleet.instances[i]);
	for (i = 0; i < CROSS_CALLS; i++)
		g_free(fleet.cross_calls[i].id);
	process_free(fleet.upstream);
	process_free(fleet.object_api);
	return 0;
}

/* Fails if peer_listen is accepted without peer_address. */
static void listen_address_alone_is_refused(void **state)
{
	char *settings = write_build_file(
		"partition_listen.json",
		"{\"instance\":\"e\",\"data_centre\":\"k\",\"caller_address\":"
		"\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:2\","
		"\"object_api\":\"127.0.0.1:3\"}");
	process_t *process = process_start("catkinstalld", "--settings",
					   settings, "--check", NULL);

	(void)state;
	assert_int_not_equal(process_wait(process), 0);
	process_free(process);
	g_free(settings);
}

/*
 * Fails if the instances of either data centre stop serving, or report "not
 * run" for a call that an instance of the other one may run.
 */
static void partitioned_halves_keep_serving(void **state)
{
	async_request_t *requests[CROSS_CALLS];
	guint i;

	(void)state;
	/*
	 * Two calls are in flight when the partition starts, two are sent
	 * before it is detected.
	 */
	for (i = 0; i < 2; i++)
		requests[i] = start_cross_call(i);
	run_loop_for(IN_FLIGHT_MS);
	relay_set_partition(TRUE);
	for (i = 2; i < 4; i++)
		requests[i] = start_cross_call(i);
	assert_halves_serve("early");
	assert_converges(1, 1, HALF);
	for (i = 4; i < CROSS_CALLS; i++)
		requests[i] = start_cross_call(i);
	for (i = 0; i < CROSS_CALLS; i++)
		assert_outcome(requests[i], fleet.cross_calls[i].body,
			       "unknown");
	assert_halves_serve("late");
	assert_true(relay_blocked_directions() > 0);
}

/*
 * Fails if a new version does not spread in the data centre where it was
 * applied, or appears in the other one, or if an instance's version decreases.
 */
static void version_does_not_cross_the_partition(void **state)
{
	view_t view = { .versions = { 2, 1 }, .live = HALF };
	guint i;

	(void)state;
	apply(1);
	assert_converges(2, 1, HALF);
	for (i = 0; i < 20; i++) {
		assert_true(fleet_has(&view));
		run_loop_for(100);
	}
}

/*
 * Fails if the halves do not converge after the partition, or if a call runs
 * twice when it is sent again to the issuer of its id.
 */
static void halves_converge_after_the_partition(void **state)
{
	guint i;

	(void)state;
	relay_set_partition(FALSE);
	assert_converges(2, 2, INSTANCES);
	for (i = 0; i < CROSS_CALLS; i++) {
		const cross_call_t *cross_call = &fleet.cross_calls[i];

		assert_outcome(start_call(cross_call->issuer, cross_call->id,
					  cross_call->body),
			       cross_call->body, "not_run");
	}
	assert_halves_serve("healed");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(listen_address_alone_is_refused),
		cmocka_unit_test(partitioned_halves_keep_serving),
		cmocka_unit_test(version_does_not_cross_the_partition),
		cmocka_unit_test(halves_converge_after_the_partition),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
