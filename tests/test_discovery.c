/*
 * Tests how configurations are put in force that are too large to be read in
 * one step of the main loop. Nothing listens at the address of the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "net/system_clock.h"
#include "platform/config_reader.h"
#include "platform/discovery.h"
#include "tests/support.h"

#define STORE_PORT 780 /* unused */
#define ROUTES 2000
#define ITERATIONS_MAX 100000

static const decode_defaults_t defaults = { .probes_per_second = 10 };

typedef struct {
	entry_t *entry;
	store_t *store;
	discovery_t *discovery;
	GRand *random;
	counters_t counters;
	guint other_events; /* of a source with the priority of sockets */
	guint other_source;
} fixture_t;

static gboolean on_other_event(gpointer data)
{
	fixture_t *f = data;

	f->other_events++;
	return G_SOURCE_CONTINUE;
}

static int set_up(void **state)
{
	static const member_t self = { .name = "e1", .incarnation = 7 };
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = 1,
				 .retention = 1,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 1, .caller_share_percent = 100 },
		.entries_max = 1,
		.attempts_max = 1,
		.resolve_addresses = 1,
		.change_bound = G_TIME_SPAN_SECOND,
		.reconnect_bound = G_TIME_SPAN_SECOND,
	};
	const entry_actions_t actions = { 0 };
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", test_port(STORE_PORT));

	f->random = g_rand_new_with_seed(1);
	f->entry = entry_new(&self, &limits, &actions, &system_clock, f->random,
			     &f->counters);
	f->store = store_new(address, G_TIME_SPAN_SECOND, &system_clock,
			     &f->counters);
	f->discovery =
		discovery_new(f->store, f->entry, &defaults, &system_clock);
	f->other_source =
		g_idle_add_full(G_PRIORITY_DEFAULT, on_other_event, f, NULL);
	g_free(address);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	g_source_remove(f->other_source);
	store_free(f->store);
	discovery_free(f->discovery);
	entry_free(f->entry);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

/* A configuration of many routes; the last of them refers to service. */
static GBytes *new_document(guint version, guint routes, const char *service)
{
	GString *text = g_string_new(NULL);
	guint i;

	g_string_printf(text,
			"{\"version\":\"r%u\",\"resources\":[{\"entry_kind\":"
			"\"services\",\"metadata\":{\"name\":\"s\"},\"spec\":{"
			"\"max_connections\":100}}",
			version);
	for (i = 1; i <= routes; i++)
		g_string_append_printf(
			text,
			",{\"entry_kind\":\"routes\",\"metadata\":{\"name\":"
			"\"r-%u\"},\"spec\":{\"host\":\"a.example\","
			"\"path_prefix\":\"/%u/\",\"route_type\":\"safe\","
			"\"timeout_ms\":2000,\"priority\":1,\"max_attempts\":2,"
			"\"service\":\"%s\"}}",
			i, i, i == routes ? service : "s");
	g_string_append(text, "]}");
	return g_string_free_to_bytes(text);
}

static gboolean offer(fixture_t *f, guint version, guint routes,
		      const char *service)
{
	GBytes *document = new_document(version, routes, service);
	gboolean unfinished = discovery_activate_config(f->discovery, document);

	g_bytes_unref(document);
	return unfinished;
}

static guint64 version_in_force(const fixture_t *f)
{
	return config_version(entry_config(f->entry));
}

/* Runs the main loop until another version is in force. */
static void run_until_changed(const fixture_t *f)
{
	guint64 before = version_in_force(f);
	guint i;

	for (i = 0; i < ITERATIONS_MAX && version_in_force(f) == before; i++)
		g_main_context_iteration(NULL, TRUE);
}

static void run_iterations(guint count)
{
	while (count--)
		g_main_context_iteration(NULL, TRUE);
}

/* Fails if requests wait until a large configuration has been read. */
static void loop_runs_between_slices(void **state)
{
	fixture_t *f = *state;
	GBytes *document = new_document(1, ROUTES, "s");
	gsize slices = g_bytes_get_size(document) / CONFIG_READER_SLICE_BYTES;

	assert_true(discovery_activate_config(f->discovery, document));
	g_bytes_unref(document);
	assert_int_equal(version_in_force(f), 0);
	f->other_events = 0;
	run_until_changed(f);
	assert_int_equal(version_in_force(f), 1);
	assert_true(f->other_events >= slices / 2);
	/* A small one is in force at once. */
	assert_false(offer(f, 2, 1, "s"));
	assert_int_equal(version_in_force(f), 2);
}

/* Fails if an old version delays a newer one, or the other way round. */
static void newer_version_replaces_one_half_read(void **state)
{
	fixture_t *f = *state;

	assert_true(offer(f, 1, ROUTES, "s"));
	run_iterations(3);
	assert_true(offer(f, 2, ROUTES, "s"));
	run_iterations(3);
	/* Neither of them is newer than the one that is being read. */
	assert_true(offer(f, 1, ROUTES, "s"));
	assert_true(offer(f, 2, ROUTES, "s"));
	run_until_changed(f);
	assert_int_equal(version_in_force(f), 2);
	run_iterations(10);
	assert_int_equal(version_in_force(f), 2);
}

/* Fails if an invalid version keeps the valid one before it from use. */
static void version_replaced_by_an_invalid_one_is_used(void **state)
{
	fixture_t *f = *state;

	assert_true(offer(f, 1, ROUTES, "s"));
	assert_true(offer(f, 2, ROUTES, "undeclared"));
	run_until_changed(f);
	assert_int_equal(version_in_force(f), 1);
	assert_int_equal(config_seen_version(entry_config(f->entry)), 2);
}

static void put_endpoint(const fixture_t *f, const char *id)
{
	catalogue_entry_t entry = {
		.service = "s",
		.revision = 1,
		.info = { .address = "127.0.0.1:1", .slots = 1 },
	};

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	catalogue_put(entry_catalogue(f->entry), &entry,
		      catk_clock_now(&system_clock));
	entry_endpoints_changed(f->entry);
}

/* Fails if a service that is declared anew gets endpoints of an older list. */
static void declared_service_gets_its_endpoints(void **state)
{
	static const char without[] = "{\"version\":\"r2\",\"resources\":[]}";
	fixture_t *f = *state;
	GBytes *document = g_bytes_new_static(without, strlen(without));

	put_endpoint(f, "i-1");
	assert_false(offer(f, 1, 1, "s"));
	assert_non_null(entry_endpoint_address(f->entry, "s", "i-1"));
	assert_false(discovery_activate_config(f->discovery, document));
	g_bytes_unref(document);
	assert_int_equal(version_in_force(f), 2);
	put_endpoint(f, "i-2");
	assert_null(entry_endpoint_address(f->entry, "s", "i-2"));
	assert_false(offer(f, 3, 1, "s"));
	assert_non_null(entry_endpoint_address(f->entry, "s", "i-1"));
	assert_non_null(entry_endpoint_address(f->entry, "s", "i-2"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(loop_runs_between_slices,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			newer_version_replaces_one_half_read, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			version_replaced_by_an_invalid_one_is_used, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			declared_service_gets_its_endpoints, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
