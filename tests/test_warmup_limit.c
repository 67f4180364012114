/*
 * Tests the limit of attempts at cold endpoints: the instances of a fleet
 * together must stay within the bound of an endpoint in every second, whatever
 * each of them knows of the others, and an endpoint that joins must get work.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/upstream/upstream.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SECOND G_TIME_SPAN_SECOND
#define INSTANCES 141
#define DATA_CENTRES 3
#define COLD_PER_DATA_CENTRE 20
#define WARM_PER_DATA_CENTRE 11
#define PER_DATA_CENTRE (COLD_PER_DATA_CENTRE + WARM_PER_DATA_CENTRE)
#define ENDPOINTS (DATA_CENTRES * PER_DATA_CENTRE)
#define WARMUP (6 * SECOND)
#define PER_SECOND 5.8
#define OVERAGE 1.5
#define SLACK 8
#define BOUND (PER_SECOND * OVERAGE + SLACK)
/* An endpoint that joins gets a request within this time. */
#define JOIN_MAX (4 * SECOND)
#define SERVICE_TIME (180 * MS)
#define STEP (5 * MS)
#define CALLS_PER_STEP 2 /* 400 calls per second */
#define PROBES 3
#define SLOTS 6

struct fleet;

typedef struct {
	struct fleet *fleet;
	guint index;
	char name[16];
	upstream_t *upstream;
	gboolean paused;
	guint seen_until; /* instances below this index are in its view */
	guint parity; /* 2 for both: only instances of it are in its view */
	gboolean lists; /* knows the current list */
} instance_t;

typedef struct {
	GTimeSpan cold_until, joined_at, first_request_at;
	GQueue arrivals; /* instants while cold, of the last second */
	guint in_flight;
	guint most; /* requests in one second while cold */
} endpoint_state_t;

typedef struct attempt {
	TAILQ_ENTRY(attempt) link;
	guint instance, endpoint;
	GTimeSpan started;
} pending_t;

typedef struct fleet {
	GRand *random;
	counters_t counters;
	GTimeSpan now;
	instance_t instances[INSTANCES];
	endpoint_info_t infos[ENDPOINTS];
	gboolean listed[ENDPOINTS];
	endpoint_state_t states[ENDPOINTS];
	TAILQ_HEAD(pending_list, attempt) pending; /* oldest first */
	guint calls, refused;
} fleet_t;

static const char *const centres[DATA_CENTRES] = { "a", "b", "c" };

static gboolean is_in_view(const instance_t *viewer, guint index)
{
	if (index == viewer->index)
		return TRUE;
	return index < viewer->seen_until &&
	       !viewer->fleet->instances[index].paused &&
	       (viewer->parity == 2 ||
		index / DATA_CENTRES % 2 == viewer->parity);
}

static gboolean next_instance(void *ctx, const void **position,
			      warmup_instance_t *instance)
{
	const instance_t *viewer = ctx;
	instance_t *all = viewer->fleet->instances;
	const instance_t *last = *position;
	guint index = last ? last->index + 1 : 0;

	while (index < INSTANCES && !is_in_view(viewer, index))
		index++;
	if (index == INSTANCES)
		return FALSE;
	*position = &all[index];
	instance->name = all[index].name;
	instance->data_centre = centres[index % DATA_CENTRES];
	return TRUE;
}

static void configure(upstream_t *upstream, GTimeSpan now)
{
	schema_service_t service = { .slots = SLOTS,
				     .connections = 1180,
				     .probes_per_second = 42,
				     .warmup_duration = WARMUP,
				     .warmup_per_second = PER_SECOND };

	upstream_configure(upstream, &service, now);
}

static fleet_t *fleet_new(void)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	guint i;

	fleet->random = g_rand_new_with_seed(7);
	fleet->now = G_TIME_SPAN_HOUR;
	TAILQ_INIT(&fleet->pending);
	for (i = 0; i < INSTANCES; i++) {
		instance_t *instance = &fleet->instances[i];
		upstream_options_t options = {
			.policy = ROUTING_EXPECTED_LATENCY,
			.entries_max = INSTANCES,
			.report_stale_after = SECOND,
			.probe_burst = 20,
			.instance = instance->name,
			.data_centre = centres[i % DATA_CENTRES],
			.warmup_overage = OVERAGE,
			.warmup_slack = SLACK,
			.next_instance = next_instance,
			.next_instance_ctx = instance,
		};

		instance->fleet = fleet;
		instance->index = i;
		instance->seen_until = INSTANCES;
		instance->parity = 2;
		instance->lists = TRUE;
		g_snprintf(instance->name, sizeof(instance->name), "e-%u", i);
		instance->upstream = upstream_new("s", &options, fleet->random,
						  &fleet->counters);
		configure(instance->upstream, fleet->now);
		upstream_set_entry_counts(instance->upstream, INSTANCES,
					  INSTANCES / DATA_CENTRES, fleet->now);
	}
	for (i = 0; i < ENDPOINTS; i++) {
		endpoint_info_t *info = &fleet->infos[i];

		g_snprintf(info->id, sizeof(info->id), "i-%u", i);
		g_snprintf(info->address, sizeof(info->address), "10.0.0.%u:1",
			   i);
		g_strlcpy(info->data_centre, centres[i / PER_DATA_CENTRE],
			  sizeof(info->data_centre));
	}
	return fleet;
}

static void pending_free(fleet_t *fleet, pending_t *pending)
{
	TAILQ_REMOVE(&fleet->pending, pending, link);
	g_free(pending);
}

static void fleet_free(fleet_t *fleet)
{
	guint i;

	while (!TAILQ_EMPTY(&fleet->pending))
		pending_free(fleet, TAILQ_FIRST(&fleet->pending));
	for (i = 0; i < INSTANCES; i++)
		upstream_free(fleet->instances[i].upstream);
	for (i = 0; i < ENDPOINTS; i++)
		g_queue_clear_full(&fleet->states[i].arrivals, g_free);
	g_rand_free(fleet->random);
	g_free(fleet);
}

static void apply_list(instance_t *instance)
{
	fleet_t *fleet = instance->fleet;
	endpoint_info_t infos[ENDPOINTS];
	guint count = 0;
	guint i;

	for (i = 0; i < ENDPOINTS; i++) {
		if (!fleet->listed[i])
			continue;
		infos[count] = fleet->infos[i];
		infos[count++].warmup_remaining =
			MAX(fleet->states[i].cold_until - fleet->now, 0);
	}
	upstream_set_endpoints(instance->upstream, infos, count, fleet->now);
}

/* Lists or unlists endpoints; a listed one starts cold or warm. */
static void set_listed(fleet_t *fleet, guint first, guint count,
		       gboolean listed, gboolean cold)
{
	guint i;

	for (i = first; i < first + count; i++) {
		endpoint_state_t *state = &fleet->states[i];

		fleet->listed[i] = listed;
		if (!listed || !cold)
			continue;
		fleet->infos[i].start_time++;
		state->cold_until = fleet->now + WARMUP;
		state->joined_at = fleet->now;
		state->first_request_at = 0;
	}
	for (i = 0; i < INSTANCES; i++)
		if (fleet->instances[i].lists && !fleet->instances[i].paused)
			apply_list(&fleet->instances[i]);
}

static void record_arrival(fleet_t *fleet, guint index)
{
	endpoint_state_t *state = &fleet->states[index];
	GTimeSpan *instant;

	state->in_flight++;
	if (fleet->now >= state->cold_until)
		return;
	if (!state->first_request_at)
		state->first_request_at = fleet->now;
	instant = g_new(GTimeSpan, 1);
	*instant = fleet->now;
	g_queue_push_tail(&state->arrivals, instant);
	while (*(GTimeSpan *)g_queue_peek_head(&state->arrivals) <=
	       fleet->now - SECOND)
		g_free(g_queue_pop_head(&state->arrivals));
	state->most = MAX(state->most, g_queue_get_length(&state->arrivals));
}

static guint index_of(const char *id)
{
	return (guint)g_ascii_strtoull(id + strlen("i-"), NULL, 10);
}

static load_report_t report_of(const fleet_t *fleet, guint index)
{
	const endpoint_state_t *state = &fleet->states[index];

	return (load_report_t){
		.in_flight = state->in_flight,
		.slots = SLOTS,
		.slowdown_percent = 100,
		.has_warmup = TRUE,
		.warmup_remaining = MAX(state->cold_until - fleet->now, 0),
	};
}

static void probe(fleet_t *fleet, instance_t *instance, upstream_scope_t scope)
{
	const char *ids[PROBES];
	guint count = upstream_plan_probes(instance->upstream, scope, ids,
					   PROBES, fleet->now);
	guint i;

	for (i = 0; i < count; i++) {
		load_report_t report = report_of(fleet, index_of(ids[i]));

		upstream_probe_ended(instance->upstream, ids[i], &report,
				     fleet->now);
	}
}

static void call(fleet_t *fleet, instance_t *instance)
{
	upstream_criteria_t criteria = { .service_time = SERVICE_TIME,
					 .objective_left = 500 * MS,
					 .remote_allowed = TRUE,
					 .remote_when_late = TRUE };
	const endpoint_t *chosen;
	pending_t *pending;

	fleet->calls++;
	probe(fleet, instance, SCOPE_LOCAL);
	chosen = upstream_choose_for(instance->upstream, &criteria, fleet->now);
	if (!chosen) {
		probe(fleet, instance, SCOPE_REMOTE);
		chosen = upstream_choose_for(instance->upstream, &criteria,
					     fleet->now);
	}
	/* As after a wait. */
	criteria.stale_report_allowed = TRUE;
	if (!chosen)
		chosen = upstream_choose_for(instance->upstream, &criteria,
					     fleet->now);
	if (!chosen) {
		fleet->refused++;
		return;
	}
	pending = g_new0(pending_t, 1);
	pending->instance = instance->index;
	pending->endpoint = index_of(endpoint_id(chosen));
	pending->started = fleet->now;
	TAILQ_INSERT_TAIL(&fleet->pending, pending, link);
	record_arrival(fleet, pending->endpoint);
	upstream_attempt_started(instance->upstream, endpoint_id(chosen),
				 fleet->now);
}

static void end_attempts(fleet_t *fleet)
{
	pending_t *pending = TAILQ_FIRST(&fleet->pending);

	while (pending && fleet->now - pending->started >= SERVICE_TIME) {
		fleet->states[pending->endpoint].in_flight--;
		upstream_attempt_ended(
			fleet->instances[pending->instance].upstream,
			fleet->infos[pending->endpoint].id, ATTEMPT_ANSWERED,
			fleet->now - pending->started, NULL, fleet->now);
		pending_free(fleet, pending);
		pending = TAILQ_FIRST(&fleet->pending);
	}
}

static void run(fleet_t *fleet, GTimeSpan duration, guint calls_per_step)
{
	GTimeSpan end = fleet->now + duration;
	instance_t *instance;
	guint i;

	for (; fleet->now < end; fleet->now += STEP) {
		end_attempts(fleet);
		for (i = 0; i < calls_per_step; i++) {
			instance = &fleet->instances[g_rand_int_range(
				fleet->random, 0, INSTANCES)];
			if (!instance->paused)
				call(fleet, instance);
		}
	}
}

/* Runs until the warm endpoints of every data centre are in use. */
static fleet_t *warm_fleet(void)
{
	fleet_t *fleet = fleet_new();
	guint i;

	for (i = 0; i < DATA_CENTRES; i++)
		set_listed(fleet, i * PER_DATA_CENTRE, WARM_PER_DATA_CENTRE,
			   TRUE, FALSE);
	run(fleet, 2 * SECOND, CALLS_PER_STEP);
	return fleet;
}

static void list_cold_endpoints(fleet_t *fleet)
{
	guint i;

	for (i = 0; i < DATA_CENTRES; i++)
		set_listed(fleet, i * PER_DATA_CENTRE + WARM_PER_DATA_CENTRE,
			   COLD_PER_DATA_CENTRE, TRUE, TRUE);
}

static void assert_within_bound(const fleet_t *fleet)
{
	guint i;

	for (i = 0; i < ENDPOINTS; i++)
		assert_true(fleet->states[i].most <= BOUND);
}

static void assert_all_joined(const fleet_t *fleet)
{
	guint i;

	for (i = 0; i < ENDPOINTS; i++) {
		const endpoint_state_t *state = &fleet->states[i];

		if (!state->joined_at)
			continue;
		assert_true(state->first_request_at > 0);
		assert_true(state->first_request_at - state->joined_at <=
			    JOIN_MAX);
	}
}

/* Fails if joining endpoints are flooded, or get nothing. */
static void joining_endpoints_get_a_limited_rate(void **state)
{
	fleet_t *fleet = warm_fleet();

	(void)state;
	list_cold_endpoints(fleet);
	run(fleet, WARMUP + SECOND, CALLS_PER_STEP);
	assert_within_bound(fleet);
	assert_all_joined(fleet);
	assert_int_equal(fleet->refused, 0);
	assert_true(fleet->counters.value[COUNTER_ATTEMPTS_COLD] > 0);
	fleet_free(fleet);
}

/* Fails if two halves that do not see each other exceed the bound together. */
static void two_views_stay_within_the_bound(void **state)
{
	fleet_t *fleet = warm_fleet();
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		fleet->instances[i].parity = i / DATA_CENTRES % 2;
	list_cold_endpoints(fleet);
	run(fleet, WARMUP + SECOND, 3 * CALLS_PER_STEP);
	assert_within_bound(fleet);
	assert_all_joined(fleet);
	fleet_free(fleet);
}

/*
 * Fails if instances that wake from a pause, with an old list and an old view,
 * exceed the bound together with those that took their place.
 */
static void woken_instances_stay_within_the_bound(void **state)
{
	fleet_t *fleet = warm_fleet();
	guint i;

	(void)state;
	list_cold_endpoints(fleet);
	run(fleet, SECOND, CALLS_PER_STEP);
	for (i = 0; i < INSTANCES; i += 5)
		fleet->instances[i].paused = TRUE;
	run(fleet, 2 * SECOND, CALLS_PER_STEP);
	for (i = 0; i < INSTANCES; i += 5)
		fleet->instances[i].paused = FALSE;
	for (i = 0; i < INSTANCES; i++)
		call(fleet, &fleet->instances[i]);
	run(fleet, WARMUP, 3 * CALLS_PER_STEP);
	assert_within_bound(fleet);
	assert_all_joined(fleet);
	fleet_free(fleet);
}

/* Fails if a data centre that returns cold takes its usual load at once. */
static void returning_data_centre_stays_within_the_bound(void **state)
{
	fleet_t *fleet = warm_fleet();

	(void)state;
	set_listed(fleet, 0, PER_DATA_CENTRE, FALSE, FALSE);
	run(fleet, SECOND, CALLS_PER_STEP);
	set_listed(fleet, 0, PER_DATA_CENTRE, TRUE, TRUE);
	run(fleet, WARMUP + SECOND, 3 * CALLS_PER_STEP);
	assert_within_bound(fleet);
	assert_all_joined(fleet);
	fleet_free(fleet);
}

/*
 * Fails if instances that know no others yet each take themselves for a sender
 * of the full rate, or if their calls are sent although no token is left.
 */
static void start_of_everything_stays_within_the_bound(void **state)
{
	fleet_t *fleet = fleet_new();
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i++)
		fleet->instances[i].seen_until = 0;
	set_listed(fleet, 0, ENDPOINTS, TRUE, TRUE);
	run(fleet, 2 * SECOND, 3 * CALLS_PER_STEP);
	for (i = 0; i < INSTANCES; i++)
		fleet->instances[i].seen_until = INSTANCES;
	run(fleet, WARMUP, 3 * CALLS_PER_STEP);
	assert_within_bound(fleet);
	assert_all_joined(fleet);
	assert_true(fleet->refused > 0);
	fleet_free(fleet);
}

/*
 * Fails if an endpoint that says in answer to probes that it is cold, while its
 * registration does not, gets more than the bound.
 */
static void reported_warmup_limits_at_once(void **state)
{
	fleet_t *fleet = fleet_new();
	guint i;

	(void)state;
	set_listed(fleet, 0, ENDPOINTS, TRUE, FALSE);
	run(fleet, 4 * SECOND, CALLS_PER_STEP);
	for (i = 0; i < COLD_PER_DATA_CENTRE / 2; i++)
		fleet->states[i].cold_until = fleet->now + WARMUP;
	run(fleet, WARMUP + SECOND, CALLS_PER_STEP);
	/* As much as two senders send in a second. */
	for (i = 0; i < ENDPOINTS; i++)
		assert_true(fleet->states[i].most <= PER_SECOND + 2);
	fleet_free(fleet);
}

/* One instance with one endpoint, in a service with a limit. */
static upstream_t *single_upstream(GRand *random, counters_t *counters,
				   endpoint_info_t *info, GTimeSpan now)
{
	upstream_options_t options = { .policy = ROUTING_TWO_CHOICES,
				       .entries_max = 1,
				       .instance = "e-0",
				       .data_centre = "a",
				       .warmup_overage = OVERAGE,
				       .warmup_slack = SLACK };
	upstream_t *upstream = upstream_new("s", &options, random, counters);

	configure(upstream, now);
	upstream_set_endpoints(upstream, info, 1, now);
	return upstream;
}

static gboolean is_available(upstream_t *upstream, GTimeSpan now)
{
	return upstream_choose(upstream, NULL, now) != NULL;
}

/*
 * Fails if an attempt that the endpoint did not receive uses up the token, or
 * if another one does not.
 */
static void misdirected_attempt_returns_the_token(void **state)
{
	warmup_rules_t rules = { .per_second = PER_SECOND,
				 .overage = OVERAGE,
				 .slack = SLACK,
				 .instances = 1,
				 .instance = "e-0",
				 .random = g_rand_new_with_seed(1) };
	const warmup_endpoint_t endpoint = { .id = "i", .data_centre = "a" };
	GTimeSpan now = G_TIME_SPAN_HOUR;
	warmup_limit_t limit = { 0 };

	(void)state;
	warmup_limit_listed(&limit, &rules, &endpoint, WARMUP, TRUE, now);
	now += SECOND;
	assert_true(warmup_limit_token_at(&limit, now) <= now);
	warmup_limit_take(&limit, now);
	assert_true(warmup_limit_token_at(&limit, now) > now);
	warmup_limit_give_back(&limit, now, now + 2 * MS);
	assert_true(warmup_limit_token_at(&limit, now + 2 * MS) <=
		    now + 2 * MS);
	warmup_limit_take(&limit, now + 2 * MS);
	/* Started before the endpoint was cold: it had no token. */
	warmup_limit_give_back(&limit, now - 2 * SECOND, now + 3 * MS);
	assert_true(warmup_limit_token_at(&limit, now + 3 * MS) > now + 3 * MS);
	g_rand_free(rules.random);
}

/* Fails if a start that is new to the instance is taken for a warm one. */
static void unknown_start_is_cold(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	GTimeSpan now = G_TIME_SPAN_HOUR;
	counters_t counters = { 0 };
	endpoint_info_t info = { .id = "i",
				 .address = "10.0.0.1:1",
				 .data_centre = "a",
				 .start_time = 1 };
	upstream_t *upstream = single_upstream(random, &counters, &info, now);
	guint kind;

	(void)state;
	assert_true(is_available(upstream, now));
	for (kind = 0; kind < 3; kind++) {
		now += 2 * WARMUP;
		if (kind == 0)
			info.start_time++;
		if (kind == 1)
			g_strlcpy(info.id, "other", sizeof(info.id));
		if (kind == 2)
			upstream_set_endpoints(upstream, NULL, 0, now);
		upstream_set_endpoints(upstream, &info, 1, now);
		assert_false(is_available(upstream, now));
		assert_true(upstream_next_available_at(upstream, now) <=
			    now + SECOND);
		assert_true(is_available(upstream, now + SECOND));
	}
	upstream_free(upstream);
	g_rand_free(random);
}

/*
 * Fails if an older answer revokes a warm-up, a later one does not, or a
 * registration that is repeated restores it.
 */
static void later_answer_ends_the_warmup(void **state)
{
	const load_report_t warm = { .slots = 2, .has_warmup = TRUE };
	const load_report_t unknown = { .slots = 2 };
	GRand *random = g_rand_new_with_seed(1);
	GTimeSpan now = G_TIME_SPAN_HOUR;
	counters_t counters = { 0 };
	endpoint_info_t info = { .id = "i",
				 .address = "10.0.0.1:1",
				 .warmup_remaining = WARMUP };
	upstream_t *upstream = single_upstream(random, &counters, &info, now);

	(void)state;
	assert_false(is_available(upstream, now));
	/* Without a probe, the request counts as sent before the warm-up. */
	upstream_probe_ended(upstream, "i", &warm, now);
	upstream_attempt_started(upstream, "i", now);
	upstream_attempt_ended(upstream, "i", ATTEMPT_ANSWERED, MS, &unknown,
			       now + MS);
	assert_false(is_available(upstream, now + MS));
	upstream_attempt_started(upstream, "i", now + 2 * MS);
	upstream_attempt_ended(upstream, "i", ATTEMPT_ANSWERED, MS, &warm,
			       now + 3 * MS);
	assert_true(is_available(upstream, now + 3 * MS));
	info.warmup_remaining -= 4 * MS;
	upstream_set_endpoints(upstream, &info, 1, now + 4 * MS);
	assert_true(is_available(upstream, now + 4 * MS));
	upstream_free(upstream);
	g_rand_free(random);
}

/* Fails if a service that declares no limit has one. */
static void no_limit_unless_configured(void **state)
{
	schema_service_t service = { .slots = 2, .connections = 100 };
	GRand *random = g_rand_new_with_seed(1);
	GTimeSpan now = G_TIME_SPAN_HOUR;
	counters_t counters = { 0 };
	endpoint_info_t info = { .id = "i",
				 .address = "10.0.0.1:1",
				 .warmup_remaining = WARMUP };
	upstream_t *upstream = single_upstream(random, &counters, &info, now);

	(void)state;
	assert_false(is_available(upstream, now));
	upstream_configure(upstream, &service, now);
	assert_true(is_available(upstream, now));
	configure(upstream, now);
	assert_false(is_available(upstream, now));
	upstream_free(upstream);
	g_rand_free(random);
}

/* Fails if more senders than the bound allows are chosen at a high rate. */
static void rate_leaves_room_for_two_views(void **state)
{
	warmup_rules_t rules = { .overage = 1.2,
				 .slack = 4,
				 .instances = 1,
				 .instance = "e-0",
				 .random = g_rand_new_with_seed(1) };
	const warmup_endpoint_t endpoint = { .id = "i", .data_centre = "a" };
	GTimeSpan now = G_TIME_SPAN_HOUR;

	(void)state;
	for (rules.per_second = 1; rules.per_second < 1000;
	     rules.per_second *= 1.7) {
		double bound = rules.per_second * rules.overage + rules.slack;
		warmup_limit_t limit = { 0 };
		double rate;

		warmup_limit_listed(&limit, &rules, &endpoint, WARMUP, TRUE,
				    now);
		rate = (double)SECOND / (double)limit.interval;
		assert_true(4 * (rate + 1) <= bound * 1.001);
		assert_true(2 * rate >= rules.per_second / 4);
	}
	g_rand_free(rules.random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(joining_endpoints_get_a_limited_rate),
		cmocka_unit_test(two_views_stay_within_the_bound),
		cmocka_unit_test(woken_instances_stay_within_the_bound),
		cmocka_unit_test(returning_data_centre_stays_within_the_bound),
		cmocka_unit_test(start_of_everything_stays_within_the_bound),
		cmocka_unit_test(reported_warmup_limits_at_once),
		cmocka_unit_test(misdirected_attempt_returns_the_token),
		cmocka_unit_test(unknown_start_is_cold),
		cmocka_unit_test(later_answer_ends_the_warmup),
		cmocka_unit_test(no_limit_unless_configured),
		cmocka_unit_test(rate_leaves_room_for_two_views),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
