/*
 * Tests that all instances together stay within the probe budget, counted at
 * the upstream, although they have different endpoint lists, are restarted and
 * paused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>

#include "tests/support.h"

#define ENTRIES 5
#define ENDPOINTS 3
#define BUDGET 10 /* probes per second and endpoint, from all instances */
#define ENTRY_PORT 300
#define ENDPOINT_PORT 310
#define RESTARTS 6
#define PAUSED 4 /* index of the instance that is paused */
#define START_TIMEOUT_MS 5000

typedef struct {
	process_t *upstream;
	process_t *entries[ENTRIES];
	GTimeSpan started;
} fleet_t;

typedef struct {
	GTimeSpan at;
	gint64 probes[ENDPOINTS]; /* received so far */
} sample_t;

/* Only the first endpoint is in the lists of all instances. */
static char *write_schema(guint entry)
{
	guint second = 1 + entry % (ENDPOINTS - 1);
	gchar *name = g_strdup_printf("probes_schema_%u.json", entry);
	char *path = write_build_file(
		name,
		"{\"priorities\":[{\"name\":\"p\",\"floor_percent\":10}],"
		"\"services\":[{\"name\":\"s\",\"slots\":3,"
		"\"connections\":200,\"probes_per_second\":%d,"
		"\"endpoints\":[\"127.0.0.1:%u\",\"127.0.0.1:%u\"],"
		"\"methods\":[{\"name\":\"m\",\"priority\":\"p\","
		"\"idempotent\":true,\"deadline_ms\":2000}]}]}",
		BUDGET, test_port(ENDPOINT_PORT),
		test_port(ENDPOINT_PORT + second));

	g_free(name);
	return path;
}

static void start_entry(fleet_t *fleet, guint entry)
{
	gchar *name = g_strdup_printf("probes_entry_%u.json", entry);
	char *schema = write_schema(entry);
	char *settings = write_build_file(
		name,
		"{\"instance\":\"e%u\",\"data_centre\":"
		"\"k1\",\"caller_address\":"
		"\"127.0.0.1:%u\",\"config_file\":\"%s\","
		"\"entries_max\":%d,"
		"\"report_stale_after_ms\":10}",
		entry, test_port(ENTRY_PORT + entry), schema, ENTRIES);

	fleet->entries[entry] =
		process_start("catkinstalld", "--settings", settings, NULL);
	g_free(settings);
	g_free(schema);
	g_free(name);
}

static void wait_for_entry(guint entry)
{
	guint port = test_port(ENTRY_PORT + entry);

	assert_true(wait_until(daemon_is_ready, GUINT_TO_POINTER(port),
			       START_TIMEOUT_MS));
}

static int set_up(void **state)
{
	gchar *port = g_strdup_printf("%u", test_port(ENDPOINT_PORT));
	fleet_t *fleet = g_new0(fleet_t, 1);
	guint i;

	fleet->started = g_get_monotonic_time();
	fleet->upstream = process_start("fake_upstream", "--port", port,
					"--count", "3", NULL);
	run_loop_for(300);
	for (i = 0; i < ENTRIES; i++)
		start_entry(fleet, i);
	for (i = 0; i < ENTRIES; i++)
		wait_for_entry(i);
	g_free(port);
	*state = fleet;
	return 0;
}

static int tear_down(void **state)
{
	fleet_t *fleet = *state;
	guint i;

	for (i = 0; i < ENTRIES; i++)
		process_free(fleet->entries[i]);
	process_free(fleet->upstream);
	g_free(fleet);
	return 0;
}

/* Reads the counts. time_before selects a time before or after the request. */
static sample_t take_sample(gboolean time_before)
{
	GTimeSpan start = g_get_monotonic_time();
	sample_t sample = { 0 };
	JsonArray *endpoints;
	JsonNode *root;
	reply_t reply;
	guint i;

	http_request(&reply, "POST", test_port(ENDPOINT_PORT), "/stats", NULL,
		     NULL);
	assert_int_equal(reply.status, 200);
	root = json_from_string(reply.body, NULL);
	endpoints = json_object_get_array_member(json_node_get_object(root),
						 "endpoints");
	for (i = 0; i < ENDPOINTS; i++)
		sample.probes[i] = json_object_get_int_member(
			json_array_get_object_element(endpoints, i), "probes");
	sample.at = time_before ? start : g_get_monotonic_time();
	json_node_unref(root);
	reply_clear(&reply);
	return sample;
}

static void assert_within_budget(const sample_t *from, const sample_t *to)
{
	double seconds = (double)(to->at - from->at) / G_TIME_SPAN_SECOND;
	guint i;

	for (i = 0; i < ENDPOINTS; i++)
		assert_true((double)(to->probes[i] - from->probes[i]) <=
			    BUDGET * seconds + ENTRIES);
}

/* Fails if too few probes were sent for the budget to be tested. */
static void assert_probes_arrive(const fleet_t *fleet, const sample_t *sample)
{
	double seconds =
		(double)(sample->at - fleet->started) / G_TIME_SPAN_SECOND;

	assert_true((double)sample->probes[0] > BUDGET * seconds / ENTRIES);
}

static void restart(fleet_t *fleet, guint entry)
{
	process_signal(fleet->entries[entry], SIGKILL);
	process_free(fleet->entries[entry]);
	start_entry(fleet, entry);
	wait_for_entry(entry);
}

/* Fails if restarts or a pause make the fleet exceed its budget. */
static void fleet_stays_within_budget(void **state)
{
	fleet_t *fleet = *state;
	sample_t begin = { .at = fleet->started };
	sample_t resumed, end;
	guint i;

	process_signal(fleet->entries[PAUSED], SIGSTOP);
	for (i = 0; i < RESTARTS; i++) {
		restart(fleet, i % 2);
		run_loop_for(300);
	}
	resumed = take_sample(TRUE);
	process_signal(fleet->entries[PAUSED], SIGCONT);
	run_loop_for(200);
	end = take_sample(FALSE);
	assert_within_budget(&resumed, &end);
	run_loop_for(1500);
	end = take_sample(FALSE);
	assert_within_budget(&resumed, &end);
	assert_within_budget(&begin, &end);
	assert_probes_arrive(fleet, &end);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(fleet_stays_within_budget,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
