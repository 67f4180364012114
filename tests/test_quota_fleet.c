/*
 * Tests rate limits in a simulated fleet of 141 entries with the load of
 * organisations of many sizes: in no window do more requests start than
 * allowed, whatever happens to the fleet, and few requests below the limit are
 * refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "tests/support_fleet.h"

#define SECOND G_TIME_SPAN_SECOND
#define INSTANCES 141
#define ORGANISATIONS 86
#define WINDOW (5 * SECOND)
#define WINDOW_STEPS ((guint)(WINDOW / FLEET_STEP))
#define OVERAGE 0.1
#define SLACK 20
#define USUAL_SHARE 0.625 /* of the rate */
#define STARTS_MAX 100000

typedef struct {
	char name[16];
	double rate; /* and burst */
	double demand; /* requests per second */
	guint instances; /* to which its clients connect, 0 for all */
	double ideal; /* level of one exact token bucket for the fleet */
	guint64 ideal_admitted;
	guint64 started;
	guint64 sent;
	guint window[WINDOW_STEPS]; /* starts by step */
	guint window_sum;
	guint over; /* windows over the bound */
	double worst; /* highest part of the bound that was used */
} load_t;

typedef struct {
	guint instance;
	guint64 attempt;
} start_t;

static load_t loads[ORGANISATIONS];
static start_t starts[STARTS_MAX]; /* attempts to be answered */
static guint start_count;
static guint steps;
static guint64 refused_by_limit, refused_without_contact, refused_otherwise;
static guint64 refs;
static GRand *arrivals;
static gboolean paused[INSTANCES];

/* Demands as at Kingston: a few large organisations, many below 5 per second. */
static void init_loads(void)
{
	guint i;

	memset(loads, 0, sizeof(loads));
	start_count = 0;
	steps = 0;
	refused_by_limit = 0;
	refused_without_contact = 0;
	refused_otherwise = 0;
	for (i = 0; i < ORGANISATIONS; i++) {
		double usual = i == 0 ? 274 : 290 / (1 + 1.8 * i);

		g_snprintf(loads[i].name, sizeof(loads[i].name), "org-%u", i);
		loads[i].rate = usual / USUAL_SHARE;
		loads[i].demand = usual;
		loads[i].ideal = loads[i].rate;
	}
}

static schema_t *new_schema(void)
{
	schema_t *schema = schema_new();
	schema_service_t *service;
	schema_route_t attributes = {
		.method = { .name = "read",
			    .idempotent = TRUE,
			    .deadline = 3 * SECOND },
		.host = "a.example",
		.prefix = "/read/",
		.attempts_max = 2,
	};
	schema_route_t *route;
	guint i;

	assert_true(schema_add_priority(schema, "normal", 10, NULL));
	service = schema_add_service(schema, "s", 1000, 1000, 0, NULL);
	assert_non_null(service);
	assert_true(schema_add_endpoint(service, "127.0.0.1:1", NULL));
	route = schema_add_route(schema, &attributes, "normal", NULL);
	assert_non_null(route);
	assert_true(schema_add_target(schema, route, "s", 1, NULL));
	for (i = 0; i < ORGANISATIONS; i++) {
		const organisation_t organisation = {
			.name = loads[i].name,
			.priority = ORGANISATION_NO_PRIORITY,
			.rate = loads[i].rate,
			.burst = loads[i].rate,
		};
		organisation_t *added = organisations_add(schema->organisations,
							  &organisation, NULL);

		assert_non_null(added);
		assert_true(organisations_add_key(schema->organisations, added,
						  loads[i].name, NULL));
	}
	return schema;
}

static void on_start(guint instance, const attempt_request_t *request)
{
	load_t *load = &loads[atoi(request->organisation + strlen("org-"))];

	load->window[steps % WINDOW_STEPS]++;
	load->window_sum++;
	load->started++;
	assert_true(start_count < STARTS_MAX);
	starts[start_count++] = (start_t){ instance, request->attempt_id };
}

static void on_answer(guint instance, const call_answer_t *answer)
{
	(void)instance;
	if (answer->error.kind == CATK_OK)
		return;
	assert_int_equal(answer->error.outcome, OUTCOME_NOT_RUN);
	if (answer->error.kind == CATK_RATE_LIMITED) {
		assert_true(answer->error.retry_after > 0);
		refused_by_limit++;
	} else if (answer->error.kind == CATK_UNAVAILABLE) {
		refused_without_contact++;
	} else {
		refused_otherwise++;
	}
}

static void answer_attempts(void)
{
	static const char message;
	GBytes *body = g_bytes_new_static("x", 1);
	guint count = start_count, i;
	start_t *pending = g_memdup2(starts, count * sizeof(*starts));

	start_count = 0;
	for (i = 0; i < count; i++) {
		const attempt_result_t result = { .attempt_id =
							  pending[i].attempt,
						  .end = ATTEMPT_ANSWERED,
						  .status = 200,
						  .body = body,
						  .message = &message };

		if (fleet_entry(pending[i].instance))
			entry_attempt_ended(fleet_entry(pending[i].instance),
					    &result);
	}
	g_free(pending);
	g_bytes_unref(body);
}

/* Clients find an instance that runs. */
static guint random_instance(const load_t *load)
{
	gint end = (gint)(load->instances ? load->instances : INSTANCES);
	guint index;

	do
		index = (guint)g_rand_int_range(arrivals, 0, end);
	while (!fleet_entry(index) || paused[index]);
	return index;
}

static void send_request(load_t *load)
{
	GBytes *body = g_bytes_new_static("", 0);
	const routed_request_t request = {
		.host = "a.example",
		.path = "/read/x",
		.credential = load->name,
		.body = body,
		.caller_ref = GSIZE_TO_POINTER(++refs),
	};

	load->sent++;
	if (load->ideal >= 1) {
		load->ideal -= 1;
		load->ideal_admitted++;
	}
	entry_route(fleet_entry(random_instance(load)), &request);
	g_bytes_unref(body);
}

static void send_requests(load_t *load)
{
	double expected = load->demand * FLEET_STEP / SECOND;

	load->ideal =
		MIN(load->ideal + load->rate * FLEET_STEP / SECOND, load->rate);
	/* Exponential intervals give a Poisson process. */
	while ((expected += log(1 - g_rand_double(arrivals))) > 0)
		send_request(load);
}

static void check_window(load_t *load)
{
	double bound =
		(load->rate * WINDOW / SECOND + load->rate) * (1 + OVERAGE) +
		SLACK;

	load->over += load->window_sum > bound;
	load->worst = MAX(load->worst, load->window_sum / bound);
}

static void run_load(GTimeSpan time)
{
	GTimeSpan end = fleet_now() + time;
	guint i;

	while (fleet_now() < end) {
		steps++;
		for (i = 0; i < ORGANISATIONS; i++) {
			guint *slot = &loads[i].window[steps % WINDOW_STEPS];

			loads[i].window_sum -= *slot;
			*slot = 0;
		}
		for (i = 0; i < ORGANISATIONS; i++)
			send_requests(&loads[i]);
		fleet_run_for(FLEET_STEP);
		for (i = 0; i < ORGANISATIONS; i++)
			check_window(&loads[i]);
		answer_attempts();
	}
}

static void reset_counts(void)
{
	guint i;

	for (i = 0; i < ORGANISATIONS; i++) {
		loads[i].started = 0;
		loads[i].sent = 0;
		loads[i].ideal_admitted = 0;
	}
	refused_by_limit = 0;
	refused_without_contact = 0;
	refused_otherwise = 0;
	fleet_reset_counts();
}

/* Part of the requests within the limits that did not start, in percent. */
static double percent_lost(guint first, guint end)
{
	double ideal = 0, started = 0;
	guint i;

	for (i = first; i < end; i++) {
		ideal += loads[i].ideal_admitted;
		started += MIN(loads[i].started, loads[i].ideal_admitted);
	}
	return 100 * (ideal - started) / ideal;
}

static void report(const char *name, GTimeSpan time)
{
	double instance_seconds = (double)time / SECOND * INSTANCES;
	double worst = 0;
	guint i;

	for (i = 0; i < ORGANISATIONS; i++)
		worst = MAX(worst, loads[i].worst);
	print_message("%s: lost %.2f%% of all, %.2f%% of the first; at most "
		      "%.0f%% of the bound; refused %u by limit, %u without "
		      "contact, %u otherwise; messages per second and "
		      "instance %.1f asked, %.1f answered\n",
		      name, percent_lost(0, ORGANISATIONS), percent_lost(0, 1),
		      100 * worst, (guint)refused_by_limit,
		      (guint)refused_without_contact, (guint)refused_otherwise,
		      fleet_traffic(PEER_QUOTA_ASK).messages / instance_seconds,
		      fleet_traffic(PEER_QUOTA_ANSWER).messages /
			      instance_seconds);
}

static void assert_bound_held(void)
{
	guint i;

	for (i = 0; i < ORGANISATIONS; i++)
		assert_int_equal(loads[i].over, 0);
}

static int set_up(void **state)
{
	const fleet_options_t options = {
		.instances = INSTANCES,
		.data_centres = 3,
		.seeds = 12,
		.link_bytes_per_s = 1250000,
		.parsed_bytes_per_s = 10000000,
		.change_bound = 3 * SECOND,
		.reconnect_bound = 6 * SECOND,
		.first_start = TRUE,
		.random_seed = 5,
		.new_schema = new_schema,
		.on_start = on_start,
		.on_answer = on_answer,
		.quota_window = WINDOW,
		.quota_overage = OVERAGE,
		.quota_slack = SLACK,
	};

	(void)state;
	init_loads();
	arrivals = g_rand_new_with_seed(7);
	fleet_start(&options);
	fleet_publish_config(1, 5000);
	fleet_run_for(6 * SECOND);
	assert_int_equal(fleet_count_version(1), INSTANCES);
	fleet_reset_counts();
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_stop();
	g_rand_free(arrivals);
	return 0;
}

/* Fails if requests below the limits are refused under usual load. */
static void usual_load_is_served(void **state)
{
	(void)state;
	run_load(5 * SECOND);
	reset_counts();
	run_load(20 * SECOND);
	report("usual load", 20 * SECOND);
	assert_bound_held();
	assert_true(percent_lost(0, ORGANISATIONS) < 1);
}

/*
 * Fails if an organisation far over its limit gets more than that, much less, or
 * takes from the others.
 */
static void hot_organisation_gets_its_limit(void **state)
{
	guint hot[] = { 0, 5, 60 };
	guint i;

	(void)state;
	run_load(5 * SECOND);
	for (i = 0; i < G_N_ELEMENTS(hot); i++) {
		load_t *load = &loads[hot[i]];

		reset_counts();
		load->demand *= 7.5;
		run_load(12 * SECOND);
		load->demand /= 7.5;
		report(load->name, 12 * SECOND);
		assert_true(percent_lost(hot[i], hot[i] + 1) < 5);
		assert_true(percent_lost(0, ORGANISATIONS) < 5);
	}
	assert_bound_held();
}

/* Fails if an organisation is refused because its clients use few instances. */
static void few_instances_get_the_limit(void **state)
{
	guint counts[] = { 1, 4, 47 };
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		loads[1].instances = counts[i];
		loads[5].instances = counts[i];
		run_load(5 * SECOND);
		reset_counts();
		run_load(10 * SECOND);
		report("few instances", 10 * SECOND);
		print_message("lost of those %.2f%%, %.2f%%\n",
			      percent_lost(1, 2), percent_lost(5, 6));
		assert_true(percent_lost(1, 2) < 1);
		assert_true(percent_lost(5, 6) < 1);
		loads[1].demand *= 7.5;
		run_load(SECOND);
		reset_counts();
		run_load(10 * SECOND);
		report("few instances, hot", 10 * SECOND);
		print_message("lost of the hot one %.2f%%\n",
			      percent_lost(1, 2));
		assert_true(percent_lost(1, 2) < 5);
		loads[1].demand /= 7.5;
	}
	assert_bound_held();
}

static void overload_all(void)
{
	guint i;

	for (i = 0; i < ORGANISATIONS; i++)
		loads[i].demand *= 3;
}

/*
 * Fails if the sides of a partition together run more than the limits, during it
 * or when it ends: 1 instance reached 105% and 70 reached 104% of the bound.
 */
static void check_partition(guint cut_off)
{
	guint i;

	overload_all();
	for (i = 0; i < 6; i++)
		loads[i].demand *= 4;
	run_load(5 * SECOND);
	for (i = 0; i < cut_off; i++)
		fleet_set_side(i, 1);
	reset_counts();
	run_load(15 * SECOND);
	report("partition", 15 * SECOND);
	for (i = 0; i < cut_off; i++)
		fleet_set_side(i, 0);
	reset_counts();
	run_load(10 * SECOND);
	report("after the partition", 10 * SECOND);
	assert_bound_held();
}

static void cut_off_instance_keeps_the_bound(void **state)
{
	(void)state;
	check_partition(1);
}

static void partition_of_a_third_keeps_the_bound(void **state)
{
	(void)state;
	check_partition(INSTANCES / 3);
}

static void partition_of_half_keeps_the_bound(void **state)
{
	(void)state;
	check_partition(INSTANCES / 2);
}

/* Fails if an owner that takes over grants what its predecessor granted. */
static void killed_owners_keep_the_bound(void **state)
{
	guint i;

	(void)state;
	overload_all();
	run_load(5 * SECOND);
	reset_counts();
	for (i = 0; i < 12; i++) {
		fleet_kill(i * 11);
		run_load(SECOND);
	}
	for (i = 0; i < 12; i++) {
		fleet_restart(i * 11);
		run_load(SECOND);
	}
	report("kills", 24 * SECOND);
	assert_bound_held();
}

/* Fails if an instance uses leases or buckets from before a pause. */
static void pauses_keep_the_bound(void **state)
{
	guint i, round;

	(void)state;
	overload_all();
	run_load(5 * SECOND);
	reset_counts();
	for (round = 0; round < 6; round++) {
		for (i = round; i < INSTANCES; i += 4)
			fleet_pause(i, paused[i] = TRUE);
		run_load((round + 1) * SECOND);
		for (i = round; i < INSTANCES; i += 4)
			fleet_pause(i, paused[i] = FALSE);
		run_load(2 * SECOND);
	}
	report("pauses", 33 * SECOND);
	assert_bound_held();
}

/* Fails if a restart of the whole fleet grants the bursts again. */
static void restart_of_all_keeps_the_bound(void **state)
{
	guint i;

	(void)state;
	overload_all();
	run_load(5 * SECOND);
	for (i = 0; i < INSTANCES; i++)
		fleet_kill(i);
	for (i = 0; i < INSTANCES; i++)
		fleet_restart(i);
	reset_counts();
	run_load(15 * SECOND);
	report("restart of all", 15 * SECOND);
	assert_bound_held();
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(usual_load_is_served),
		TEST(hot_organisation_gets_its_limit),
		TEST(few_instances_get_the_limit),
		TEST(cut_off_instance_keeps_the_bound),
		TEST(partition_of_a_third_keeps_the_bound),
		TEST(partition_of_half_keeps_the_bound),
		TEST(killed_owners_keep_the_bound),
		TEST(pauses_keep_the_bound),
		TEST(restart_of_all_keeps_the_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
