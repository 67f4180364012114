/*
 * Guards two data centres that lose contact with each other: all peer links,
 * and the second data centre's way to the object API, go silent together.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "tests/support_relay.h"

#define INSTANCES 6
#define HALF 3 /* instances in each data centre */
#define CALLER_PORT 700 /* offsets of the ports */
#define PEER_PORT 710
#define RELAY_PORT 720 /* one for each instance, then the object API's */
#define OBJECT_RELAY_PORT (RELAY_PORT + INSTANCES)
#define OBJECT_PORT 730
#define UPSTREAM_PORT 731
#define START_MS 8000
#define IN_FORCE_MS 6000 /* bound of R7, also for all members after the heal */
#define DETECTION_MS 5000
#define UNDER_WAY_MS 20 /* less than the upstream's service time */
#define CROSSINGS 6

/* A call that is sent to the half that did not issue its id. */
typedef struct {
	guint issuer;
	char *id;
	char body[16];
} crossing_t;

static struct {
	process_t *instances[INSTANCES];
	gint64 versions[INSTANCES]; /* last seen, must not fall */
	process_t *object_api;
	process_t *upstream;
	crossing_t crossings[CROSSINGS];
} fleet;

static guint caller_port(guint instance)
{
	return support_port(CALLER_PORT + instance);
}

static void start_instance(guint i)
{
	guint half = i / HALF;
	gchar *name = g_strdup_printf("partition_e%u.json", i);
	char *settings = write_file(
		name,
		"{\"instance\":\"e%u\",\"data_centre\":\"k%u\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\","
		"\"peer_listen\":\"127.0.0.1:%u\","
		"\"seeds\":[\"127.0.0.1:%u\",\"127.0.0.1:%u\"],"
		"\"object_api\":\"127.0.0.1:%u\","
		"\"request_id_lifetime_ms\":60000}",
		i, half, caller_port(i), support_port(RELAY_PORT + i),
		support_port(PEER_PORT + i), support_port(RELAY_PORT),
		support_port(RELAY_PORT + HALF),
		support_port(half ? OBJECT_RELAY_PORT : OBJECT_PORT));

	relay_start(support_port(RELAY_PORT + i), support_port(PEER_PORT + i),
		    half);
	fleet.instances[i] =
		process_start("catkinstalld", "--settings", settings, NULL);
	relay_add_process(fleet.instances[i], half);
	g_free(settings);
	g_free(name);
}

/* Live members that an instance knows, itself included; 0 without an answer. */
static guint live_members(guint instance)
{
	guint count = 0;
	reply_t reply;
	char *place;

	http_request(&reply, "GET", caller_port(instance), "/v1/operator/dump",
		     NULL, NULL);
	place = reply.status == 200 ? reply.body : NULL;
	while (place && (place = strstr(place + 1, "\"live\"")))
		count++;
	reply_clear(&reply);
	return count;
}

/* TRUE when every instance counts so many live members. */
static gboolean all_count(void *expected)
{
	guint i;

	for (i = 0; i < INSTANCES; i++)
		if (live_members(i) != GPOINTER_TO_UINT(expected))
			return FALSE;
	return TRUE;
}

/* Version in force at the instance. Fails when it has fallen. */
static gint64 look_at(guint i)
{
	gint64 version;
	reply_t reply;

	http_request(&reply, "GET", caller_port(i), "/v1/resolve", NULL, NULL);
	version = reply.status == 200 ?
			  json_integer_at(reply.body, "config_version") :
			  0;
	reply_clear(&reply);
	assert_true(version >= fleet.versions[i]);
	fleet.versions[i] = version;
	return version;
}

typedef struct {
	guint instances; /* the first so many have the version */
	gint64 version;
	gint64 others; /* version of the rest */
} wanted_t;

static gboolean is_in_force(void *ctx)
{
	const wanted_t *wanted = ctx;
	gboolean all = TRUE;
	gint64 version;
	guint i;

	for (i = 0; i < INSTANCES; i++) {
		version = look_at(i);
		if (i < wanted->instances)
			all &= version == wanted->version;
		else
			assert_int_equal(version, wanted->others);
	}
	return all;
}

static void apply(gint64 base, guint floor)
{
	gchar *path = g_strdup_printf(
		"/v1/operator/config?change_id=c%" G_GINT64_FORMAT
		"&base_version=%" G_GINT64_FORMAT,
		base, base);
	gchar *text = g_strdup_printf(
		"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":%u}],"
		"\"services\":[{\"name\":\"booking\",\"slots\":3,"
		"\"connections\":200,\"probes_per_second\":0,"
		"\"endpoints\":[\"127.0.0.1:%u\"],\"methods\":["
		"{\"name\":\"book\",\"priority\":\"urgent\","
		"\"idempotent\":false,\"deadline_ms\":1500}]}]}",
		floor, support_port(UPSTREAM_PORT));
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

static guint runs_of(const char *body)
{
	gchar *path = g_strdup_printf("/runs?body=%s", body);
	reply_t reply;
	guint runs;

	http_request(&reply, "POST", support_port(UPSTREAM_PORT), path, NULL,
		     NULL);
	assert_int_equal(reply.status, 200);
	runs = (guint)g_ascii_strtoull(reply.body, NULL, 10);
	reply_clear(&reply);
	g_free(path);
	return runs;
}

static async_request_t *start_crossing(const crossing_t *crossing)
{
	return start_call((crossing->issuer + HALF) % INSTANCES, crossing->id,
			  crossing->body);
}

/* Waits for the answer, which is "unknown", or "ran" after exactly one run. */
static void assert_never_denied(const crossing_t *crossing,
				async_request_t *request)
{
	guint runs;
	reply_t reply;

	http_join(request, &reply);
	runs = runs_of(crossing->body);
	print_message("%s: %s, %u runs\n", crossing->body, reply.outcome, runs);
	assert_non_null(reply.outcome);
	if (strcmp(reply.outcome, "ran") == 0)
		assert_int_equal(runs, 1);
	else
		assert_string_equal(reply.outcome, "unknown");
	assert_in_range(runs, 0, 1);
	reply_clear(&reply);
}

/* Asks the issuer, whose answer is final, and compares it with the runs. */
static void assert_settled(const crossing_t *crossing)
{
	reply_t reply;

	http_join(start_call(crossing->issuer, crossing->id, crossing->body),
		  &reply);
	print_message("%s: %s at the issuer\n", crossing->body, reply.outcome);
	run_loop_for(200);
	assert_non_null(reply.outcome);
	assert_int_equal(runs_of(crossing->body),
			 strcmp(reply.outcome, "ran") == 0);
	reply_clear(&reply);
}

/* A call with an id of the issuer, sent to an instance, runs once. */
static void assert_serves(guint issuer, guint instance, const char *body)
{
	char *id = take_request_id(caller_port(issuer));
	reply_t reply;

	http_join(start_call(instance, id, body), &reply);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.body, body);
	assert_int_equal(runs_of(body), 1);
	reply_clear(&reply);
	g_free(id);
}

/* Every instance gets a call of its own and one forwarded in its half. */
static void assert_halves_serve(const char *when)
{
	guint i;

	for (i = 0; i < INSTANCES; i++) {
		guint neighbour = i / HALF * HALF + (i + 1) % HALF;
		gchar *body = g_strdup_printf("%s%u", when, i);

		assert_serves(i, i, body);
		g_free(body);
		body = g_strdup_printf("%s%u-forwarded", when, i);
		assert_serves(i, neighbour, body);
		g_free(body);
	}
}

static int set_up(void **state)
{
	gchar *object_port = g_strdup_printf("%u", support_port(OBJECT_PORT));
	gchar *upstream_port =
		g_strdup_printf("%u", support_port(UPSTREAM_PORT));
	wanted_t first = { .instances = INSTANCES, .version = 1 };
	guint i;

	(void)state;
	fleet.object_api =
		process_start("fake_object_api", "--port", object_port, NULL);
	fleet.upstream = process_start("fake_upstream", "--port", upstream_port,
				       "--service-ms", "50", NULL);
	g_free(object_port);
	g_free(upstream_port);
	relay_start(support_port(OBJECT_RELAY_PORT), support_port(OBJECT_PORT),
		    0);
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	assert_true(
		wait_until(all_count, GUINT_TO_POINTER(INSTANCES), START_MS));
	apply(0, 1);
	assert_true(wait_until(is_in_force, &first, IN_FORCE_MS));
	return 0;
}

static int tear_down(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		process_free(fleet.instances[i]);
	for (i = 0; i < CROSSINGS; i++)
		g_free(fleet.crossings[i].id);
	process_free(fleet.upstream);
	process_free(fleet.object_api);
	return 0;
}

/* Fails when an address to listen on is accepted without one to tell others. */
static void listen_address_alone_is_refused(void **state)
{
	char *settings = write_file(
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

/* Fails when a half stops serving, or denies a call that ran in the other. */
static void halves_serve_and_deny_nothing(void **state)
{
	async_request_t *requests[CROSSINGS];
	guint i;

	(void)state;
	for (i = 0; i < CROSSINGS; i++) {
		crossing_t *crossing = &fleet.crossings[i];

		crossing->issuer = i % 2 * HALF;
		crossing->id = take_request_id(caller_port(crossing->issuer));
		g_snprintf(crossing->body, sizeof(crossing->body), "cross%u",
			   i);
	}
	/* Two are under way at the cut, two start before it is noticed. */
	for (i = 0; i < 2; i++)
		requests[i] = start_crossing(&fleet.crossings[i]);
	run_loop_for(UNDER_WAY_MS);
	relay_set_cut(TRUE);
	for (i = 2; i < 4; i++)
		requests[i] = start_crossing(&fleet.crossings[i]);
	assert_halves_serve("early");
	for (i = 0; i < 4; i++)
		assert_never_denied(&fleet.crossings[i], requests[i]);
	assert_true(
		wait_until(all_count, GUINT_TO_POINTER(HALF), DETECTION_MS));
	for (i = 4; i < CROSSINGS; i++)
		assert_never_denied(&fleet.crossings[i],
				    start_crossing(&fleet.crossings[i]));
	assert_halves_serve("late");
	assert_true(relay_held_connections() > 0);
}

/* Fails when a version stays out of its half, crosses the cut, or falls. */
static void version_stays_in_its_half(void **state)
{
	wanted_t wanted = { .instances = HALF, .version = 2, .others = 1 };
	guint i;

	(void)state;
	apply(1, 2);
	assert_true(wait_until(is_in_force, &wanted, IN_FORCE_MS));
	for (i = 0; i < 20; i++) {
		assert_true(is_in_force(&wanted));
		run_loop_for(100);
	}
}

/* Fails when the halves stay apart, or an answer given in the cut was false. */
static void heal_joins_the_halves(void **state)
{
	wanted_t wanted = { .instances = INSTANCES, .version = 2 };
	gint64 start = g_get_monotonic_time(), in_force, joined;
	guint i;

	(void)state;
	relay_set_cut(FALSE);
	assert_true(wait_until(is_in_force, &wanted, IN_FORCE_MS));
	in_force = (g_get_monotonic_time() - start) / G_TIME_SPAN_MILLISECOND;
	assert_true(wait_until(all_count, GUINT_TO_POINTER(INSTANCES),
			       IN_FORCE_MS - MIN(IN_FORCE_MS, in_force)));
	joined = (g_get_monotonic_time() - start) / G_TIME_SPAN_MILLISECOND;
	print_message("after the heal: in force everywhere %" G_GINT64_FORMAT
		      " ms, all members %" G_GINT64_FORMAT " ms\n",
		      in_force, joined);
	for (i = 0; i < CROSSINGS; i++)
		assert_settled(&fleet.crossings[i]);
	assert_halves_serve("healed");
	assert_true(is_in_force(&wanted));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(listen_address_alone_is_refused),
		cmocka_unit_test(halves_serve_and_deny_nothing),
		cmocka_unit_test(version_stays_in_its_half),
		cmocka_unit_test(heal_joins_the_halves),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
