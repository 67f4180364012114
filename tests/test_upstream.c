/*
 * Tests the selection of endpoints: slow, faulty and draining endpoints must
 * not attract calls, recovered ones must be used again, and attempts and probes
 * must stay within their limits.
 */
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

/* Gives each endpoint a history of responses within the service time. */
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

/* Selects many times without attempts; returns the share of one endpoint. */
static double share(fixture_t *f, guint index)
{
	guint i, hits = 0;

	for (i = 0; i < 1000; i++)
		hits += choose(f, NULL) == index;
	return hits / 1000.0;
}

/* Fails if a report counts fully although the load has changed since. */
static void outdated_report_counts_little(void **state)
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

/* Fails if one entry sends more attempts to an endpoint than it has slots. */
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
 * Fails if, under any policy, the entries together open more connections to an
 * endpoint than it accepts.
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

/* Fails if a slow endpoint is detected only when an attempt ends. */
static void overdue_attempt_excludes_endpoint(void **state)
{
	fixture_t *f = *state;

	warm_up(f);
	upstream_attempt_started(f->upstream, f->infos[0].address, f->now);
	f->now += 4 * SERVICE_TIME;
	assert_true(share(f, 0) == 0);
}

/* Fails if a slow endpoint keeps its share or is never tried again. */
static void slow_endpoint_is_tried_rarely(void **state)
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

/*
 * Fails if endpoints that fail fast attract calls. Every kind of failure must
 * eject the endpoint, and a repeated one for longer.
 */
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

/*
 * Fails if an endpoint that refuses a connection is not ejected, or if one that
 * does not respond is.
 */
static void refused_connection_ejects_but_silence_does_not(void **state)
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

/* Fails if a fault of the whole service excludes most of its endpoints. */
static void half_of_the_endpoints_remains_available(void **state)
{
	fixture_t *f = *state;
	guint i, available = 0;

	warm_up(f);
	for (i = 0; i < ENDPOINTS; i++)
		end_attempt(f, i, ATTEMPT_NOT_SENT, 0, NULL);
	for (i = 0; i < ENDPOINTS; i++)
		available += share(f, i) > 0;
	assert_true(available >= ENDPOINTS / 2);
}

/* Fails if draining reported by any source is ignored or never revoked. */
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
	/* A response to an older request does not revoke the drain. */
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

/* Fails if a drain report without a load overwrites the known slots. */
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

/* Lists the first endpoint under an id, with the time of its start. */
static void list_with_id(fixture_t *f, const char *id, gint64 start_time)
{
	f->infos[0].start_time = start_time;
	g_strlcpy(f->infos[0].id, id, sizeof(f->infos[0].id));
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
}

/* Lists all endpoints except the first one for that time. */
static void omit_first_endpoint(fixture_t *f, GTimeSpan time)
{
	upstream_set_endpoints(f->upstream, f->infos + 1, ENDPOINTS - 1,
			       f->now);
	f->now += time;
}

static void say_leaving(fixture_t *f, const char *id, GTimeSpan requested_at)
{
	const endpoint_notice_t notice = { .requested_at = requested_at,
					   .leaving = TRUE };

	upstream_notice_received(f->upstream, id, &notice, f->now);
}

/* Fails if reports or lists without the notice revoke it. */
static void leaving_notice_is_not_revoked(void **state)
{
	/* None of these is a new start: the same, an older, an unknown one. */
	static const gint64 start_times[] = { 5, 3, 0 };
	fixture_t *f = *state;
	gsize i;

	list_with_id(f, "i-0", 5);
	say_leaving(f, "i-0", f->now);
	for (i = 0; i < G_N_ELEMENTS(start_times); i++) {
		f->now += G_TIME_SPAN_SECOND;
		upstream_attempt_started(f->upstream, "i-0", f->now);
		upstream_attempt_ended(f->upstream, "i-0", ATTEMPT_ANSWERED, 0,
				       &idle, f->now);
		upstream_probe_ended(f->upstream, "i-0", &idle, f->now);
		assert_true(share(f, 0) == 0);
		omit_first_endpoint(f, 20 * G_TIME_SPAN_SECOND);
		list_with_id(f, "i-0", start_times[i]);
		f->now += G_TIME_SPAN_SECOND;
		assert_true(share(f, 0) == 0);
		list_with_id(f, "i-0", 5);
		assert_true(share(f, 0) == 0);
	}
}

/* Fails if an endpoint that has said that it leaves is probed. */
static void leaving_endpoint_is_not_probed(void **state)
{
	fixture_t *f = *state;
	const char *id;

	list_with_id(f, "i-0", 5);
	say_leaving(f, "i-0", f->now);
	f->now += 5 * G_TIME_SPAN_SECOND;
	while ((id = upstream_next_probe(f->upstream, f->now)))
		assert_string_not_equal(id, "i-0");
}

/* Fails if a new start stays excluded for what the start before it said. */
static void new_start_revokes_the_leaving_notice(void **state)
{
	fixture_t *f = *state;
	GTimeSpan before = f->now;

	list_with_id(f, "i-0", 5);
	say_leaving(f, "i-0", f->now);
	f->now += G_TIME_SPAN_SECOND;
	list_with_id(f, "i-0", 6);
	assert_true(share(f, 0) > 0);
	say_leaving(f, "i-0", before);
	assert_true(share(f, 0) > 0);
	say_leaving(f, "i-0", f->now);
	omit_first_endpoint(f, G_TIME_SPAN_SECOND);
	list_with_id(f, "i-0", 7);
	assert_true(share(f, 0) > 0);
}

/* Fails if another endpoint at the address of a leaving one is excluded. */
static void notice_does_not_apply_to_the_next_endpoint(void **state)
{
	fixture_t *f = *state;

	list_with_id(f, "i-0", 5);
	say_leaving(f, "i-0", f->now);
	list_with_id(f, "i-1", 5);
	f->now += G_TIME_SPAN_SECOND;
	say_leaving(f, "i-0", f->now);
	assert_true(share(f, 0) > 0);
	/* The address identifies an endpoint without an id of its own. */
	list_with_id(f, "", 0);
	say_leaving(f, f->infos[0].address, f->now);
	assert_true(share(f, 0) == 0);
	omit_first_endpoint(f, G_TIME_SPAN_SECOND);
	list_with_id(f, "", 0);
	assert_true(share(f, 0) > 0);
}

static void ask_for_pause(fixture_t *f, const char *id, GTimeSpan pause)
{
	const endpoint_notice_t notice = { .source = NOTICE_IN_REFUSAL,
					   .requested_at = f->now,
					   .pause = pause };

	upstream_notice_received(f->upstream, id, &notice, f->now);
}

/* Fails if a report, a shorter pause or an absence ends a pause. */
static void pause_lasts_until_its_end(void **state)
{
	fixture_t *f = *state;
	GTimeSpan end;

	list_with_id(f, "i-0", 5);
	end = f->now + 3 * G_TIME_SPAN_SECOND;
	upstream_attempt_started(f->upstream, "i-0", f->now);
	ask_for_pause(f, "i-0", 3 * G_TIME_SPAN_SECOND);
	upstream_attempt_ended(f->upstream, "i-0", ATTEMPT_SHED, 0, &idle,
			       f->now);
	f->now += G_TIME_SPAN_SECOND;
	ask_for_pause(f, "i-0", 100 * MS);
	upstream_probe_ended(f->upstream, "i-0", &idle, f->now);
	assert_true(share(f, 0) == 0);
	omit_first_endpoint(f, G_TIME_SPAN_SECOND);
	list_with_id(f, "i-0", 5);
	assert_true(share(f, 0) == 0);
	f->now = end - 1;
	assert_true(share(f, 0) == 0);
	f->now = end;
	assert_true(share(f, 0) > 0);
}

/* Fails if an endpoint is probed during its pause. */
static void paused_endpoint_is_not_probed(void **state)
{
	fixture_t *f = *state;
	const char *ids[ENDPOINTS];
	const char *id;
	guint i, count;

	list_with_id(f, "i-0", 5);
	ask_for_pause(f, "i-0", 10 * G_TIME_SPAN_SECOND);
	f->now += 5 * G_TIME_SPAN_SECOND;
	while ((id = upstream_next_probe(f->upstream, f->now)))
		assert_string_not_equal(id, "i-0");
	use_policy(f, ROUTING_EXPECTED_LATENCY, 1);
	ask_for_pause(f, "i-0", 10 * G_TIME_SPAN_SECOND);
	f->now += 5 * G_TIME_SPAN_SECOND;
	count = upstream_plan_probes(f->upstream, SCOPE_LOCAL, ids, ENDPOINTS,
				     f->now);
	count += upstream_plan_probes(f->upstream, SCOPE_REMOTE, ids + count,
				      ENDPOINTS - count, f->now);
	assert_int_equal(count, ENDPOINTS - 1);
	for (i = 0; i < count; i++)
		assert_string_not_equal(ids[i], "i-0");
}

/* Fails if a pause excludes another endpoint at the same address. */
static void pause_does_not_apply_to_the_next_endpoint(void **state)
{
	fixture_t *f = *state;

	list_with_id(f, "i-0", 5);
	ask_for_pause(f, "i-0", 10 * G_TIME_SPAN_SECOND);
	list_with_id(f, "i-1", 5);
	f->now += G_TIME_SPAN_SECOND;
	assert_true(share(f, 0) > 0);
}

/* Fails if an absurd pause excludes an endpoint for good. */
static void pause_is_bounded(void **state)
{
	fixture_t *f = *state;

	list_with_id(f, "i-0", 5);
	ask_for_pause(f, "i-0", G_MAXINT64);
	assert_true(share(f, 0) == 0);
	f->now += 10 * G_TIME_SPAN_MINUTE;
	assert_true(share(f, 0) > 0);
}

/* Fails if paused endpoints count when others are ejected, or are not woken. */
static void paused_endpoints_do_not_count_as_available(void **state)
{
	fixture_t *f = *state;
	GTimeSpan end = f->now + 2 * G_TIME_SPAN_SECOND;
	guint i;

	warm_up(f);
	for (i = 1; i < ENDPOINTS; i++)
		ask_for_pause(f, f->infos[i].address, end - f->now);
	end_attempt(f, 0, ATTEMPT_NOT_SENT, 0, NULL);
	assert_int_equal(choose(f, NULL), 0);
	ask_for_pause(f, f->infos[0].address, 10 * G_TIME_SPAN_SECOND);
	assert_int_equal(choose(f, NULL), ENDPOINTS);
	assert_int_equal(upstream_next_available_at(f->upstream, f->now), end);
}

/* Fails if a new endpoint gets a full share at once, or never gets it. */
static void cold_start_ramps_up(void **state)
{
	fixture_t *f = *state;

	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS - 1, f->now);
	upstream_set_endpoints(f->upstream, f->infos, ENDPOINTS, f->now);
	assert_true(share(f, ENDPOINTS - 1) < 0.03);
	f->now += 6 * G_TIME_SPAN_SECOND;
	assert_true(share(f, ENDPOINTS - 1) > 0.05);
}

/* Fails if an endpoint is retried at once after a refusal, or never. */
static void refusal_causes_backoff(void **state)
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

/* Fails if calls leave the subset without need, or stay when it refuses. */
static void subset_is_preferred_and_overflows(void **state)
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

/* Fails if a faulty endpoint of a subset is not replaced by another. */
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

/* Fails if refusals do not lower the limit, or responses do not raise it. */
static void limit_adapts(void **state)
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

/* Fails if an endpoint is probed although its report is fresh or unused. */
static void only_useful_probes_are_sent(void **state)
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

/* Probes that one of many entries sends in this time if it always wants one. */
static guint count_probes(fixture_t *f, guint entries, guint local_entries,
			  GTimeSpan time)
{
	const GTimeSpan step = 20 * MS;
	const GTimeSpan end = f->now + time;
	const char *ids[ENDPOINTS];
	guint count = 0;

	use_policy(f, ROUTING_EXPECTED_LATENCY, 20);
	upstream_set_entry_counts(f->upstream, entries, local_entries, f->now);
	for (; f->now < end; f->now += step) {
		count += upstream_plan_probes(f->upstream, SCOPE_LOCAL, ids,
					      ENDPOINTS, f->now);
		count += upstream_plan_probes(f->upstream, SCOPE_REMOTE, ids,
					      ENDPOINTS, f->now);
	}
	return count;
}

/*
 * Fails if entries exceed the probe budget when there are more of them than the
 * setting entries_max says: 94 instances sent 110 probes per second to an
 * endpoint with a budget of 42.
 */
static void probes_of_a_large_fleet_stay_within_budget(void **state)
{
	const guint entries = 94, local_entries = 24, seconds = 40;
	const guint budget = 10 * seconds; /* per endpoint, see use_policy() */
	fixture_t *f = *state;
	guint local, remote, i;

	for (i = 0; i < ENDPOINTS; i++)
		g_strlcpy(f->infos[i].data_centre, "east",
			  sizeof(f->infos[i].data_centre));
	f->data_centre = "east";
	local = count_probes(f, entries, local_entries,
			     seconds * G_TIME_SPAN_SECOND);
	f->data_centre = "west";
	remote = count_probes(f, entries, local_entries,
			      seconds * G_TIME_SPAN_SECOND);
	assert_in_range(local * local_entries +
				remote * (entries - local_entries),
			ENDPOINTS * budget / 2, ENDPOINTS * budget);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(outdated_report_counts_little),
		TEST(slots_bound_attempts),
		TEST(connections_bound_attempts),
		TEST(overdue_attempt_excludes_endpoint),
		TEST(slow_endpoint_is_tried_rarely),
		TEST(fast_failure_is_ejected),
		TEST(refused_connection_ejects_but_silence_does_not),
		TEST(half_of_the_endpoints_remains_available),
		TEST(drain_is_learnt_and_revoked),
		TEST(drain_without_load_keeps_the_known_load),
		TEST(leaving_notice_is_not_revoked),
		TEST(leaving_endpoint_is_not_probed),
		TEST(new_start_revokes_the_leaving_notice),
		TEST(notice_does_not_apply_to_the_next_endpoint),
		TEST(pause_lasts_until_its_end),
		TEST(paused_endpoint_is_not_probed),
		TEST(pause_does_not_apply_to_the_next_endpoint),
		TEST(pause_is_bounded),
		TEST(paused_endpoints_do_not_count_as_available),
		TEST(cold_start_ramps_up),
		TEST(refusal_causes_backoff),
		TEST(subset_is_preferred_and_overflows),
		TEST(subset_replaces_a_blocked_endpoint),
		TEST(limit_adapts),
		TEST(only_useful_probes_are_sent),
		TEST(probes_of_a_large_fleet_stay_within_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
