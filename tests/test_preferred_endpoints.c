/*
 * Tests the assignment of preferred endpoints: requests must concentrate on few
 * endpoints for each instance without leaving an endpoint unused, and a change
 * of the members must not close many connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "lib/upstream/preferred_endpoints.h"
#include "lib/upstream/upstream.h"
#include "tests/support_placing.h"

#define MS G_TIME_SPAN_MILLISECOND
#define INSTANCES 47
#define ENDPOINTS_MAX 92
#define PER_ENDPOINT 6
#define FANOUT 3

static const guint endpoint_counts[] = { 20, 25, 13, 92 };

typedef struct {
	char instance_names[INSTANCES][16];
	const char *instances[INSTANCES];
	char ids[ENDPOINTS_MAX][16];
	/* Whether each instance prefers each endpoint. */
	gboolean prefers[INSTANCES][ENDPOINTS_MAX];
	guint per_instance[INSTANCES];
	guint per_endpoint[ENDPOINTS_MAX];
} assignment_t;

static void set_up_names(assignment_t *a)
{
	guint i;

	for (i = 0; i < INSTANCES; i++) {
		g_snprintf(a->instance_names[i], sizeof(a->instance_names[i]),
			   "edge-%u", i);
		a->instances[i] = a->instance_names[i];
	}
	for (i = 0; i < ENDPOINTS_MAX; i++)
		g_snprintf(a->ids[i], sizeof(a->ids[i]), "form-%u", i);
}

/* Assigns the endpoints as each of the first instances does. */
static void assign(assignment_t *a, guint instances, guint endpoints)
{
	preferred_endpoint_t assigned[ENDPOINTS_MAX] = { 0 };
	guint i, e;

	memset(a->per_endpoint, 0, sizeof(a->per_endpoint));
	memset(a->per_instance, 0, sizeof(a->per_instance));
	for (e = 0; e < endpoints; e++)
		assigned[e].id = a->ids[e];
	for (i = 0; i < instances; i++) {
		preferred_endpoints_assign(assigned, endpoints, a->instances,
					   instances, i, PER_ENDPOINT);
		for (e = 0; e < endpoints; e++) {
			a->prefers[i][e] = assigned[e].preferred;
			a->per_instance[i] += assigned[e].preferred ? 1 : 0;
			a->per_endpoint[e] += assigned[e].preferred ? 1 : 0;
		}
	}
	for (e = 0; e < endpoints; e++)
		assert_int_equal(assigned[e].instance_count,
				 a->per_endpoint[e]);
}

/*
 * Fails if an instance has too few endpoints to choose from, if an endpoint is
 * preferred by too few instances, or if one attracts several times its share.
 */
static void preferences_are_even(void **state)
{
	assignment_t *a = g_new0(assignment_t, 1);
	double mean;
	gsize n;
	guint i;

	(void)state;
	set_up_names(a);
	for (n = 0; n < G_N_ELEMENTS(endpoint_counts); n++) {
		assign(a, INSTANCES, endpoint_counts[n]);
		for (i = 0, mean = 0; i < INSTANCES; i++) {
			assert_true(a->per_instance[i] >=
				    PREFERRED_ENDPOINTS_MIN);
			mean += (double)a->per_instance[i] / INSTANCES;
		}
		for (i = 0; i < INSTANCES; i++)
			assert_true(a->per_instance[i] <= 2.5 * mean);
		mean = mean * INSTANCES / endpoint_counts[n];
		for (i = 0; i < endpoint_counts[n]; i++) {
			assert_true(a->per_endpoint[i] >= PER_ENDPOINT);
			assert_true(a->per_endpoint[i] <= 2 * mean);
		}
	}
	g_free(a);
}

/*
 * Fails if the loss of an instance moves preferences of the others beyond those
 * that replace its own.
 */
static void departure_moves_little(void **state)
{
	assignment_t *before = g_new0(assignment_t, 1);
	assignment_t *after = g_new0(assignment_t, 1);
	guint i, e, moved;
	gsize n;

	(void)state;
	set_up_names(before);
	set_up_names(after);
	for (n = 0; n < G_N_ELEMENTS(endpoint_counts); n++) {
		assign(before, INSTANCES, endpoint_counts[n]);
		assign(after, INSTANCES - 1, endpoint_counts[n]);
		moved = 0;
		for (i = 0; i < INSTANCES - 1; i++)
			for (e = 0; e < endpoint_counts[n]; e++)
				moved += before->prefers[i][e] !=
					 after->prefers[i][e];
		assert_true(moved <= 2 * before->per_instance[INSTANCES - 1]);
	}
	g_free(before);
	g_free(after);
}

typedef struct {
	counters_t counters;
	GRand *random;
	assignment_t names;
	upstream_t *upstream;
	GTimeSpan now;
	guint instances;
} fixture_t;

static guint list_instances(void *ctx, const char **names, guint max)
{
	const fixture_t *f = ctx;
	guint count = MIN(f->instances, max);

	memcpy(names, f->names.instances, count * sizeof(*names));
	return count;
}

static void set_up_upstream(fixture_t *f, guint preferred_instances)
{
	upstream_options_t options = {
		.policy = ROUTING_EXPECTED_LATENCY,
		.entries_max = INSTANCES,
		.report_stale_after = G_TIME_SPAN_SECOND,
		.probe_burst = 20,
		.data_centre = "",
		.instance = "edge-0",
		.preferred_instances = preferred_instances,
		.list_instances = list_instances,
		.instances_ctx = f,
	};
	const schema_service_t service = { .slots = 2,
					   .connections = 500,
					   .probes_per_second = 42 };
	endpoint_info_t infos[25] = { 0 };
	guint i;

	set_up_names(&f->names);
	f->instances = INSTANCES;
	f->random = g_rand_new_with_seed(1);
	f->now = G_TIME_SPAN_HOUR;
	f->upstream = upstream_new("s", &options, f->random, &f->counters);
	upstream_configure(f->upstream, &service, f->now);
	for (i = 0; i < G_N_ELEMENTS(infos); i++)
		g_strlcpy(infos[i].id, f->names.ids[i], sizeof(infos[i].id));
	upstream_set_endpoints(f->upstream, infos, G_N_ELEMENTS(infos), f->now);
	f->now += G_TIME_SPAN_MINUTE;
}

static void tear_down_upstream(fixture_t *f)
{
	upstream_free(f->upstream);
	g_rand_free(f->random);
	g_free(f);
}

/*
 * Plans the probes of calls that come every second and answers them with the
 * load. Returns the number of different endpoints that were probed.
 */
static guint count_probed(fixture_t *f, guint in_flight)
{
	const load_report_t report = { .in_flight = in_flight, .slots = 2 };
	GHashTable *probed = g_hash_table_new(g_str_hash, g_str_equal);
	const char *ids[FANOUT];
	guint count, i, call, refresh;

	for (call = 0; call < 60; call++) {
		count = upstream_plan_probes(f->upstream, SCOPE_LOCAL, ids,
					     FANOUT, f->now);
		for (i = 0; i < count; i++) {
			g_hash_table_add(probed, (gpointer)ids[i]);
			upstream_probe_ended(f->upstream, ids[i], &report,
					     f->now);
		}
		/* Refreshes for a queued call, while reports are recent. */
		for (refresh = 0; refresh < 2; refresh++) {
			f->now += 20 * MS;
			count = upstream_plan_probes(f->upstream, SCOPE_LOCAL,
						     ids, FANOUT, f->now);
			for (i = 0; i < count; i++) {
				g_hash_table_add(probed, (gpointer)ids[i]);
				upstream_probe_ended(f->upstream, ids[i],
						     &report, f->now);
			}
		}
		f->now += 960 * MS;
	}
	count = g_hash_table_size(probed);
	g_hash_table_destroy(probed);
	return count;
}

/* Fails if calls open connections to others while preferred ones are free. */
static void probes_stay_with_preferred_endpoints(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	(void)state;
	set_up_upstream(f, PER_ENDPOINT);
	assert_in_range(count_probed(f, 0), PREFERRED_ENDPOINTS_MIN, 8);
	tear_down_upstream(f);
}

/* Fails if calls wait for full preferred endpoints while others are free. */
static void probes_reach_others_when_preferred_are_full(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	(void)state;
	set_up_upstream(f, PER_ENDPOINT);
	assert_true(count_probed(f, 2) >= 20);
	tear_down_upstream(f);
}

/* Fails if deployments without the setting are affected. */
static void all_endpoints_are_alike_without_the_setting(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	(void)state;
	set_up_upstream(f, 0);
	assert_int_equal(count_probed(f, 0), 25);
	tear_down_upstream(f);
}

/* Returns the probes that the budgets allow within the time. */
static guint count_allowed_probes(fixture_t *f, guint seconds)
{
	const char *ids[64];
	guint step, count = 0;

	for (step = 0; step < seconds * 20; step++) {
		f->now += 50 * MS;
		upstream_update_instances(f->upstream, f->now);
		count += upstream_plan_probes(f->upstream, SCOPE_LOCAL, ids,
					      G_N_ELEMENTS(ids), f->now);
	}
	return count;
}

/*
 * Fails if instances that do not see each other together exceed the probe
 * budget: each takes itself for the only one that prefers an endpoint.
 */
static void isolated_instance_keeps_its_share_of_probes(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	(void)state;
	set_up_upstream(f, PER_ENDPOINT);
	f->instances = 1;
	count_allowed_probes(f, 10);
	/* 25 endpoints, 42 probes a second each, for 47 instances. */
	assert_true(count_allowed_probes(f, 10) <=
		    10 * 25 * 42 / INSTANCES + 25);
	tear_down_upstream(f);
}

static double waves(guint data_centre, GTimeSpan since_start)
{
	double period = 13.0 * G_TIME_SPAN_SECOND;

	return 1 +
	       0.55 * sin(2 * G_PI *
			  ((double)since_start / period + data_centre / 2.0));
}

/* Two data centres of nilehaven-forms-grown. */
static placing_result_t simulate(guint preferred_instances)
{
	const placing_options_t options = {
		.data_centres = 2,
		.instances = 102,
		.service_count = 3,
		.services = { { 50, 236, TRUE, 76 * MS, 250 * MS, 1500 * MS,
				0 },
			      { 22, 80, FALSE, 100 * MS, 300 * MS, 2000 * MS,
				0 },
			      { 44, 84, TRUE, 190 * MS, 600 * MS, 2500 * MS,
				1 } },
		.slots = 2,
		.queue = 4,
		.caller_retries = 1,
		.slowdown_factor = 5,
		.load = waves,
		.preferred_instances = preferred_instances,
		.seed = 1,
	};
	placing_result_t result;

	placing_start(&options);
	placing_run_for(7 * G_TIME_SPAN_SECOND);
	placing_reset();
	placing_run_for(13 * G_TIME_SPAN_SECOND);
	result = placing_result();
	placing_print(preferred_instances ? "preferred" : "all");
	placing_stop();
	return result;
}

/*
 * Fails if preferences save no connections, or if they make requests late or
 * meet full endpoints.
 */
static void simulated_fleet_reuses_connections(void **state)
{
	placing_result_t all = simulate(0);
	placing_result_t few = simulate(PER_ENDPOINT);

	(void)state;
	assert_true(few.endpoints_per_instance <
		    0.75 * all.endpoints_per_instance);
	assert_true((double)few.connections / few.requests <
		    0.5 * all.connections / all.requests);
	assert_true(few.full <= all.full);
	assert_true((double)few.in_time / few.requests >=
		    (double)all.in_time / all.requests);
	assert_true(few.probes <= 1.1 * all.probes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(preferences_are_even),
		cmocka_unit_test(departure_moves_little),
		cmocka_unit_test(probes_stay_with_preferred_endpoints),
		cmocka_unit_test(probes_reach_others_when_preferred_are_full),
		cmocka_unit_test(all_endpoints_are_alike_without_the_setting),
		cmocka_unit_test(isolated_instance_keeps_its_share_of_probes),
		cmocka_unit_test(simulated_fleet_reuses_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
