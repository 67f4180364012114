/* Guards the choice of endpoints: stale reports, faults of endpoints, drain. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/upstream/upstream.h"

#define MS G_TIME_SPAN_MILLISECOND
#define ENDPOINTS 10
#define SERVICE_TIME (10 * MS)

typedef struct {
	counters_t counters;
	GRand *random;
	upstream_t *upstream;
	endpoint_info_t infos[ENDPOINTS];
	const char *data_centre; /* of the entry, NULL for none */
	GTimeSpan now;
	guint chosen[ENDPOINTS];
} fixture_t;

static const load_report_t idle = { .in_flight = 0, .slots = 2 };

static void use_policy(fixture_t *f, routing_policy_t policy, guint entries)
{
	upstream_options_t limits = { .policy = policy,
				      .entries_max = entries,
				      .report_stale_after = 100 * MS,
				      .probe_burst = 20,
				      .data_centre = f->data_centre,
				      .instance = "entry-1" };
	schema_service_t service = { .slots = 2,
				     .connections = 200,
				     .probes_per_second = 10 };

	upstream_free(f->upstream);
	f->upstream = upstream_new("s", &limits, f->random, &f->counters);
	upstream_configure(f->upstream, &service, f->now);
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	guint i;

	f->random = g_rand_new_with_seed(1);
	f->now = G_TIME_SPAN_HOUR;
	for (i = 0; i < ENDPOINTS; i++)
		g_snprintf(f->infos[i].address, sizeof(f->infos[i].address),
			   "10.0.0.%u:1", i);
	use_policy(f, ROUTING_TWO_CHOICES, 1);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	upstream_free(f->upstream);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

static void end_attempt(fixture_t *f, guint index, attempt_end_t end,
			GTimeSpan latency, const load_report_t *report)
{
	const char *address = f->infos[index].address;

	upstream_attempt_started(f->upstream, address, f->now - latency);
	upstream_attempt_ended(f->upstream, address, end, latency, report,
			       f->now);
}

/* Each endpoint has a history of answers of the service time. */
static void warm_up(fixture_t *f)
{
	guint i;

	for (i = 0; i < ENDPOINTS * 3; i++) {
		f->now += 30 * MS;
		end_attempt(f, i % ENDPOINTS, ATTEMPT_ANSWERED, SERVICE_TIME,
			    &idle);
	}
}

static guint choose(fixture_t *f, const char *avoid)
{
	const endpoint_t *endpoint =
		upstream_choose(f->upstream, avoid, f->now);
	guint i;

	for (i = 0; endpoint && i < ENDPOINTS; i++)
		if (strcmp(f->infos[i].address, endpoint_address(endpoint)) ==
		    0)
			return i;
	return ENDPOINTS;
}

/* Chooses many times without attempts; the part that one endpoint got. */
static double share(fixture_t *f, guint index)
{
	guint i, hits = 0;

	for (i = 0; i < 1000; i++)
		hits += choose(f, NULL) == index;
	return hits / 1000.0;
}

/* Fails when a report older than the load it describes still decides. */
static void old_report_counts_little(void **state)
{
	const load_report_t busy = { .in_flight = 4, .slots = 2 };
	fixture_t *f = *state;

	warm_up(f);
	end_attempt(f, 0, ATTEMPT_ANSWERED, SERVICE_TIME, &busy);
	assert_true(share(f, 0) < 0.03);
	f->now += 10 * G_TIME_SPAN_SECOND;
	upstream_attempt_started(f->upstream, f->infos[1].address, f->now);
	assert_true(share(f, 0) > share(f, 1));
}

/* Fails when an endpoint is given more than its slots by one entry. */
static void slots_bound_attempts(void **state)
{
	fixture_t *f = *state;
	guint i, index;

	for (i = 0; i < 2 * ENDPOINTS; i++) {
		index = choose(f, NULL);
		assert_true(index < ENDPOINTS && f->chosen[index]++ < 2);
		upstream_attempt_started(f->upstream, f->infos[index].address,
					 f->now);
	}
	assert_int_equal(choose(f, NULL), ENDPOINTS);
}

/*
 * Fails when all entries together may open more connections to an endpoint
 * than it takes, whatever the policy.
 */
static void connections_bound_attempts(void **state)
{
	const schema_service_t service = { .slots = 2, .connections = 3 };
	fixture_t *f = *state;
	int policy;
	guint i;

	for (policy = 0; policy < ROUTING_POLICY_COUNT; policy++) {
		use_policy(f, (routing_policy_t)policy, 2);
		upstream_configure(f->upstream, &service, f->now);
		for (i = 0; i < ENDPOINTS; i++)
			upstream_attempt_started(f->upstream,
						 f->infos[i].address, f->now);
		assert_int_equal(choose(f, NULL), ENDPOINTS);
	}
}

/* Fails when a straggler is noticed only once its first attempt has ended. */
static void late_attempt_turns_calls_away(void **state)
{
	fixture_t *f = *state;

	warm_up(f);
	upstream_attempt_started(f->upstream, f->infos[0].address, f->now);
	f->now += 4 * SERVICE_TIME;
	assert_true(share(f, 0) == 0);
}

/* Fails when a straggler keeps its share, or never gets another trial. */
static void straggler_is_tried_slowly(void **state)
{
	fixture_t *f = *state;

	warm_up(f);
	end_attempt(f, 0, ATTEMPT_ANSWERED, 10 * SERVICE_TIME, &idle);
	end_attempt(f, 0, ATTEMPT_ANSWERED, 10 * SERVICE_TIME, &idle);
	assert_true(share(f, 0) == 0);
	f->now += 2 * G_TIME_SPAN_SECOND;
	assert_true(share(f, 0) > 0);
	end_attempt(f, 0, ATTEMPT_ANSWERED, 10 * SERVICE_TIME, &idle);
	assert_true(share(f, 0) == 0);
	f->now += 3 * G_TIME_SPAN_SECOND;
	end_attempt(f, 0, ATTEMPT_ANSWERED, SERVICE_TIME, &idle);
	assert_true(share(f, 0) > 0 && share(f, 0) < 0.05);
	f->now += 6 * G_TIME_SPAN_SECOND;
	assert_true(share(f, 0) > 0.05);
}

/* Fails when quick failures attract calls; each kind must eject for longer. */
static void fast_failure_is_ejected(void **state)
{
	static const attempt_end_t ends[] = { ATTEMPT_ERROR_ANSWER,
					      ATTEMPT_BAD_ANSWER,
					      ATTEMPT_ANSWERED };
	fixture_t *f = *state;
	gsize kind;
	guint i;

	for (kind = 0; kind < G_N_ELEMENTS(ends); kind++) {
		use_policy(f, ROUTING_TWO_CHOICES, 1);
		warm_up(f);
		for (i = 0; i < 3; i++)
			end_attempt(f, 0, ends[kind], SERVICE_TIME / 50, &idle);
		assert_true(share(f, 0) == 0);
		f->now += 1100 * MS;
		assert_true(share(f, 0) > 0);
		end_attempt(f, 0, ends[kind], SERVICE_TIME / 50, &idle);
		f->now += 1100 * MS;
		assert_true(share(f, 0) == 0);
	}
}

/* Fails when a refused connection is tried again, or silence is blamed. */
static void refused_connection_ejects_and_silence_does_not(void **state)
{
	fixture_t *f = *state;
	guint i;

	warm_up(f);
	end_attempt(f, 0, ATTEMPT_NOT_SENT, 0, NULL);
	assert_true(share(f, 0) == 0);
	for (i = 0; i < 5; i++)
		end_attempt(f, 1, ATTEMPT_SILENT, 100 * MS, NULL);
	assert_true(share(f, 1) > 0);
}

/* Fails when a fault of the whole service leaves too few endpoints. */
static void half_of_the_endpoints_stays(void **state)
{
	fixture_t *f = *state;
	guint i, open = 0;

	warm_up(f);
	for (i = 0; i < ENDPOINTS; i++)
		end_attempt(f, i, ATTEMPT_NOT_SENT, 0, NULL);
	for (i = 0; i < ENDPOINTS; i++)
		open += share(f, i) > 0;
	assert_true(open >= ENDPOINTS / 2);
}

/* Fails when a sign of draining from any source is missed, or never ends. */
static void drain_is_learnt_and_revoked(void **state)
{
	const load_report_t draining = { .slots = 2, .draining = TRUE };
	fixture_t *f = *state;

	warm_up(f);
	end_attempt(f, 0, ATTEMPT_SHED, MS, &draining);
	end_attempt(f, 1, ATTEMPT_ANSWERED, SERVICE_TIME, &draining);
	upstream_probe_ended(f->upstream, f->infos[2].address, &draining,
			     f->now);
	f->infos[3].leaving = TRUE;
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	/* An answer that was on its way does not revoke the drain. */
	end_attempt(f, 1, ATTEMPT_ANSWERED, SERVICE_TIME, &idle);
	assert_true(share(f, 0) + share(f, 1) + share(f, 2) + share(f, 3) == 0);
	f->now += G_TIME_SPAN_SECOND;
	while (upstream_next_probe(f->upstream, f->now))
		;
	upstream_probe_ended(f->upstream, f->infos[0].address, &idle, f->now);
	f->infos[3].leaving = FALSE;
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	f->now += 5 * G_TIME_SPAN_SECOND;
	assert_true(share(f, 0) > 0 && share(f, 1) == 0 && share(f, 3) > 0);
}

/* Fails when a report of a drain without a load replaces the known slots. */
static void drain_without_load_keeps_the_known_load(void **state)
{
	const load_report_t large = { .slots = 3 };
	const load_report_t draining = { .draining = TRUE };
	fixture_t *f = *state;
	guint i;

	end_attempt(f, 0, ATTEMPT_ANSWERED, SERVICE_TIME, &large);
	upstream_probe_ended(f->upstream, f->infos[0].address, &draining,
			     f->now);
	assert_true(share(f, 0) == 0);
	f->infos[0].leaving = TRUE;
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	f->infos[0].leaving = FALSE;
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	for (i = 0; i < 2 * ENDPOINTS; i++)
		upstream_attempt_started(f->upstream, f->infos[i / 2].address,
					 f->now);
	assert_int_equal(choose(f, NULL), 0);
}

/* Fails when a new endpoint gets a full share at once, or stays below it. */
static void cold_start_ramps_up(void **state)
{
	fixture_t *f = *state;

	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS - 1, f->now);
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	assert_true(share(f, ENDPOINTS - 1) < 0.03);
	f->now += 6 * G_TIME_SPAN_SECOND;
	assert_true(share(f, ENDPOINTS - 1) > 0.05);
}

/* Fails when a refusing endpoint is asked again at once, or calls get stuck. */
static void refusal_pauses(void **state)
{
	fixture_t *f = *state;
	guint i;

	warm_up(f);
	for (i = 0; i < ENDPOINTS; i++)
		end_attempt(f, i, ATTEMPT_SHED, MS, NULL);
	assert_int_equal(choose(f, NULL), ENDPOINTS);
	f->now = upstream_next_available_at(f->upstream, f->now);
	assert_true(choose(f, NULL) < ENDPOINTS);
	assert_true(upstream_next_available_at(f->upstream, f->now) > f->now);
}

/* Fails when the subset is not kept to, or its refusal does not spill. */
static void subset_is_preferred_and_spills(void **state)
{
	guint preferred = 0, i;
	fixture_t *f = *state;

	use_policy(f, ROUTING_SUBSET, 10);
	warm_up(f);
	for (i = 0; i < ENDPOINTS; i++) {
		f->chosen[i] = share(f, i) > 0;
		preferred += f->chosen[i];
	}
	assert_int_equal(preferred, 2);
	for (i = 0; i < ENDPOINTS; i++)
		if (f->chosen[i])
			end_attempt(f, i, ATTEMPT_SHED, MS, NULL);
	i = choose(f, NULL);
	assert_true(i < ENDPOINTS && !f->chosen[i]);
}

/* Fails when an entry whose subset has a fault is left with a smaller one. */
static void subset_replaces_a_blocked_endpoint(void **state)
{
	fixture_t *f = *state;
	guint others = 0, i, faulty;

	use_policy(f, ROUTING_SUBSET, 10);
	warm_up(f);
	faulty = choose(f, NULL);
	end_attempt(f, faulty, ATTEMPT_NOT_SENT, 0, NULL);
	for (i = 0; i < ENDPOINTS; i++)
		others += i != faulty && share(f, i) > 0;
	assert_int_equal(others, 2);
}

/* Fails when refusals do not lower the limit, or answers do not restore it. */
static void limit_is_learnt(void **state)
{
	fixture_t *f = *state;
	guint i;

	use_policy(f, ROUTING_LEARNT_LIMIT, 10);
	warm_up(f);
	for (i = 0; i < 6; i++)
		end_attempt(f, 0, ATTEMPT_SHED, MS, NULL);
	f->now += 15 * MS;
	assert_true(share(f, 0) == 0);
	for (i = 0; i < 60; i++) {
		f->now += 100 * MS;
		end_attempt(f, 0, ATTEMPT_ANSWERED, SERVICE_TIME, &idle);
	}
	assert_true(share(f, 0) > 0.05);
}

/* Fails when a probe goes to an endpoint whose report is fresh or of no use. */
static void probe_goes_only_where_it_is_of_use(void **state)
{
	fixture_t *f = *state;
	guint count = 0;

	use_policy(f, ROUTING_SUBSET, 10);
	f->now += 2 * G_TIME_SPAN_SECOND;
	upstream_probe_ended(f->upstream, f->infos[choose(f, NULL)].address,
			     &idle, f->now);
	while (upstream_next_probe(f->upstream, f->now))
		count++;
	assert_int_equal(count, 1);
}

/* Probes that one of the entries of a fleet sends when it asks all the time. */
static guint probes_in(fixture_t *f, guint entries, guint near_entries,
		       GTimeSpan time)
{
	const GTimeSpan step = 20 * MS;
	const GTimeSpan end = f->now + time;
	const char *ids[ENDPOINTS];
	guint count = 0;

	use_policy(f, ROUTING_EXPECTED_LATENCY, 20);
	upstream_set_entry_counts(f->upstream, entries, near_entries, f->now);
	for (; f->now < end; f->now += step) {
		count += upstream_plan_probes(f->upstream, SCOPE_LOCAL, ids,
					      ENDPOINTS, f->now);
		count += upstream_plan_probes(f->upstream, SCOPE_REMOTE, ids,
					      ENDPOINTS, f->now);
	}
	return count;
}

/*
 * Fails when more instances than the setting names send more probes than the
 * budget: 94 instances that all ask for reports sent 110 probes a second to an
 * endpoint whose budget was 42.
 */
static void probes_of_a_large_fleet_stay_within_budget(void **state)
{
	const guint entries = 94, near_entries = 24, seconds = 40;
	const guint budget = 10 * seconds; /* of use_policy(), an endpoint */
	fixture_t *f = *state;
	guint near, far, i;

	for (i = 0; i < ENDPOINTS; i++)
		g_strlcpy(f->infos[i].data_centre, "east",
			  sizeof(f->infos[i].data_centre));
	f->data_centre = "east";
	near = probes_in(f, entries, near_entries,
			 seconds * G_TIME_SPAN_SECOND);
	f->data_centre = "west";
	far = probes_in(f, entries, near_entries, seconds * G_TIME_SPAN_SECOND);
	assert_in_range(near * near_entries + far * (entries - near_entries),
			ENDPOINTS * budget / 2, ENDPOINTS * budget);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(old_report_counts_little),
		TEST(slots_bound_attempts),
		TEST(connections_bound_attempts),
		TEST(late_attempt_turns_calls_away),
		TEST(straggler_is_tried_slowly),
		TEST(fast_failure_is_ejected),
		TEST(refused_connection_ejects_and_silence_does_not),
		TEST(half_of_the_endpoints_stays),
		TEST(drain_is_learnt_and_revoked),
		TEST(drain_without_load_keeps_the_known_load),
		TEST(cold_start_ramps_up),
		TEST(refusal_pauses),
		TEST(subset_is_preferred_and_spills),
		TEST(subset_replaces_a_blocked_endpoint),
		TEST(limit_is_learnt),
		TEST(probe_goes_only_where_it_is_of_use),
		TEST(probes_of_a_large_fleet_stay_within_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
