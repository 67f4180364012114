/*
 * Tests when calls leave their data centre: a crossing must gain more than its
 * price, and decisions of different instances must not oscillate.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "lib/spillover/spillover.h"
#include "tests/support_placing.h"

#define MS G_TIME_SPAN_MILLISECOND
#define TICK (50 * MS)
#define PRICE_PERCENT 30
#define WAIT_MAX (150 * MS)

typedef struct {
	GRand *random;
	spillover_t *spillover;
	GTimeSpan now;
	event_log_t log;
	guint logged;
} fixture_t;

static void count_event(void *ctx, const char *event, const log_field_t *fields,
			guint count)
{
	fixture_t *f = ctx;

	(void)fields;
	assert_string_equal(event, "spillover_changed");
	assert_int_equal(count, 6);
	f->logged++;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	spillover_options_t options = { .service = "s",
					.price_percent = PRICE_PERCENT,
					.log = &f->log };

	f->log = (event_log_t){ .write = count_event, .ctx = f };
	f->random = options.random = g_rand_new_with_seed(1);
	f->now = G_TIME_SPAN_HOUR;
	f->spillover = spillover_new(&options, f->now);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	spillover_free(f->spillover);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

/*
 * Calls wait at home for that part of their time, and remote probes find
 * capacity or not.
 */
static void run(fixture_t *f, GTimeSpan time, double waited, gboolean capacity)
{
	const GTimeSpan end = f->now + time;
	const spillover_call_t call = { .wait = (GTimeSpan)(waited * WAIT_MAX),
					.wait_max = WAIT_MAX };
	const spillover_probe_t probe = { .remote = TRUE,
					  .has_capacity = capacity,
					  .round_trip = 2 * MS };

	for (; f->now < end; f->now += TICK) {
		spillover_record_call(f->spillover, &call, f->now);
		spillover_record_probe(f->spillover, &probe, f->now);
		spillover_tick(f->spillover, f->now);
	}
}

/* Fails if the share changes faster than its bound, or not at all. */
static void share_rises_and_falls_within_bounds(void **state)
{
	fixture_t *f = *state;
	double before;

	run(f, 500 * MS, 1, TRUE);
	assert_true(spillover_share(f->spillover) > 0);
	assert_true(spillover_share(f->spillover) <= 0.3);
	run(f, 10 * G_TIME_SPAN_SECOND, 1, TRUE);
	before = spillover_share(f->spillover);
	assert_true(before > 0.8 && before < 1);
	run(f, 2 * G_TIME_SPAN_SECOND, 0.05, TRUE);
	assert_true(spillover_share(f->spillover) < before);
	assert_true(spillover_share(f->spillover) >= before - 0.6);
	run(f, 10 * G_TIME_SPAN_SECOND, 0.05, TRUE);
	assert_true(spillover_share(f->spillover) == 0);
	/* One event a second at most. */
	assert_in_range(f->logged, 4, 21);
}

/* Fails if calls leave for a gain below the price. */
static void share_stays_at_zero_below_the_price(void **state)
{
	fixture_t *f = *state;

	run(f, G_TIME_SPAN_MINUTE, 0.25, TRUE);
	assert_true(spillover_share(f->spillover) == 0);
	assert_int_equal(f->logged, 0);
}

/* Fails if the share moves up and down with a gain near the price. */
static void share_holds_between_the_thresholds(void **state)
{
	fixture_t *f = *state;
	double before;

	run(f, G_TIME_SPAN_SECOND, 1, TRUE);
	run(f, G_TIME_SPAN_SECOND, 0.22, TRUE);
	before = spillover_share(f->spillover);
	assert_true(before > 0);
	run(f, G_TIME_SPAN_MINUTE, 0.22, TRUE);
	assert_true(spillover_share(f->spillover) == before);
}

/* Fails if calls leave for data centres that are as short of capacity. */
static void share_stays_low_without_remote_capacity(void **state)
{
	fixture_t *f = *state;

	run(f, 2 * G_TIME_SPAN_SECOND, 0, FALSE);
	run(f, G_TIME_SPAN_MINUTE, 1, FALSE);
	assert_true(spillover_share(f->spillover) == 0);
}

/* Fails if calls keep leaving at the same rate while remote endpoints refuse. */
static void share_drops_at_once_when_remote_endpoints_refuse(void **state)
{
	fixture_t *f = *state;
	double before;

	run(f, 5 * G_TIME_SPAN_SECOND, 1, TRUE);
	before = spillover_share(f->spillover);
	spillover_record_remote_refusal(f->spillover, f->now);
	assert_true(spillover_share(f->spillover) <= 0.5 * before);
	spillover_record_remote_refusal(f->spillover, f->now);
	assert_true(spillover_share(f->spillover) <= 0.25 * before);
}

/* Part of 1000 calls that may leave after half of the wait. */
static double part_that_leaves(fixture_t *f)
{
	guint i, count = 0;

	for (i = 0; i < 1000; i++)
		count += spillover_wait(f->spillover, WAIT_MAX, f->now) <=
			 WAIT_MAX * PRICE_PERCENT / 200 + MS;
	return count / 1000.0;
}

/* Fails if calls are not drawn by the share, or all decide alike. */
static void calls_leave_by_the_share(void **state)
{
	fixture_t *f = *state;

	assert_true(part_that_leaves(f) == 0);
	run(f, 1500 * MS, 1, TRUE);
	assert_float_equal(part_that_leaves(f), spillover_share(f->spillover),
			   0.06);
}

/*
 * Fails if a call that will miss its objective cannot leave while the share is
 * 0, or leaves before that is worth the price and the added latency, or leaves
 * for data centres without capacity.
 */
static void single_call_leaves_after_the_wait_worth_the_price(void **state)
{
	const spillover_probe_t local = { .has_capacity = TRUE,
					  .round_trip = 1 * MS };
	const spillover_probe_t remote = { .remote = TRUE,
					   .has_capacity = TRUE,
					   .round_trip = 3 * MS };
	fixture_t *f = *state;

	assert_int_equal(spillover_wait(f->spillover, WAIT_MAX, f->now),
			 WAIT_MAX * PRICE_PERCENT / 100);
	spillover_record_probe(f->spillover, &local, f->now);
	spillover_record_probe(f->spillover, &remote, f->now);
	assert_int_equal(spillover_wait(f->spillover, WAIT_MAX, f->now),
			 WAIT_MAX * PRICE_PERCENT / 100 + 2 * MS);
	run(f, 5 * G_TIME_SPAN_SECOND, 0, FALSE);
	assert_true(spillover_wait(f->spillover, WAIT_MAX, f->now) ==
		    CATK_NEVER);
}

/* Fails if refusals or an earlier shortage are remembered without calls. */
static void estimates_decay_without_calls(void **state)
{
	fixture_t *f = *state;

	run(f, 5 * G_TIME_SPAN_SECOND, 1, FALSE);
	assert_true(spillover_home_miss(f->spillover, f->now) > 0.9);
	f->now += 20 * G_TIME_SPAN_SECOND;
	assert_true(spillover_home_miss(f->spillover, f->now) < 0.05);
	assert_true(spillover_remote_miss(f->spillover, f->now) < 0.05);
}

#define CENTRES 2
#define INSTANCES 20 /* of each data centre */
#define CALLS 4 /* of an instance in a tick */

typedef struct {
	spillover_t *instances[CENTRES][INSTANCES];
	double demand[CENTRES]; /* relative to the capacity */
	double load[CENTRES]; /* in the last tick */
	double share[CENTRES]; /* mean */
} centres_t;

/* Of the demand above the capacity, the share crosses to the other one. */
static void step_centre(fixture_t *f, centres_t *c, guint centre)
{
	const double overflow = MAX(c->load[centre] - 1, 0) / c->load[centre];
	const gboolean remote_capacity = c->load[1 - centre] < 1;
	guint i, call;

	c->share[centre] = 0;
	for (i = 0; i < INSTANCES; i++) {
		spillover_t *spillover = c->instances[centre][i];
		const spillover_probe_t probe = {
			.remote = TRUE,
			.has_capacity = remote_capacity,
			.round_trip = 2 * MS,
		};

		for (call = 0; call < CALLS; call++) {
			spillover_call_t record = { .wait_max = WAIT_MAX };

			if (g_rand_double(f->random) < overflow) {
				record.remote =
					spillover_wait(spillover, WAIT_MAX,
						       f->now) <=
					WAIT_MAX * PRICE_PERCENT / 200 + MS;
				record.wait = WAIT_MAX;
				spillover_record_probe(spillover, &probe,
						       f->now);
			}
			spillover_record_call(spillover, &record, f->now);
		}
		spillover_tick(spillover, f->now);
		c->share[centre] += spillover_share(spillover) / INSTANCES;
	}
}

/* Both centres decide by the loads of the tick before. */
static void step_centres(fixture_t *f, centres_t *c)
{
	double crossing[CENTRES];
	guint i;

	for (i = 0; i < CENTRES; i++)
		step_centre(f, c, i);
	for (i = 0; i < CENTRES; i++)
		crossing[i] = c->share[i] * MAX(c->demand[i] - 1, 0);
	for (i = 0; i < CENTRES; i++)
		c->load[i] = c->demand[i] - crossing[i] + crossing[1 - i];
	f->now += TICK;
}

/* Largest difference of the mean shares of a centre within 20 s. */
static double swing_of_shares(fixture_t *f, centres_t *c)
{
	double low[CENTRES] = { 1, 1 }, high[CENTRES] = { 0 };
	guint i, step;

	for (step = 0; step < 600; step++) {
		step_centres(f, c);
		for (i = 0; i < CENTRES && step >= 200; i++) {
			low[i] = MIN(low[i], c->share[i]);
			high[i] = MAX(high[i], c->share[i]);
		}
	}
	return MAX(high[0] - low[0], high[1] - low[1]);
}

static void create_centres(const fixture_t *f, centres_t *c)
{
	const spillover_options_t options = { .service = "s",
					      .price_percent = PRICE_PERCENT,
					      .random = f->random };
	guint i, centre;

	for (centre = 0; centre < CENTRES; centre++)
		for (i = 0; i < INSTANCES; i++)
			c->instances[centre][i] =
				spillover_new(&options, f->now);
}

static void free_centres(centres_t *c)
{
	guint i, centre;

	for (centre = 0; centre < CENTRES; centre++)
		for (i = 0; i < INSTANCES; i++)
			spillover_free(c->instances[centre][i]);
}

/*
 * Fails if the shares of two data centres that send each other their overflow
 * swing: both just above their capacity, both far above it, one of them.
 */
static void two_data_centres_do_not_oscillate(void **state)
{
	static const double demands[][CENTRES] = {
		{ 1.05, 1.05 }, { 1.5, 1.5 }, { 1.4, 0.7 }, { 1.3, 0.9 }
	};
	fixture_t *f = *state;
	centres_t c;
	double swing;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(demands); i++) {
		memset(&c, 0, sizeof(c));
		create_centres(f, &c);
		memcpy(c.demand, demands[i], sizeof(c.demand));
		memcpy(c.load, demands[i], sizeof(c.load));
		swing = swing_of_shares(f, &c);
		print_message("%.2f, %.2f: shares %.2f and %.2f, swing %.2f\n",
			      c.demand[0], c.demand[1], c.share[0], c.share[1],
			      swing);
		assert_true(swing < 0.2);
		assert_true((c.share[0] > 0.2) == (c.demand[1] < 1));
		free_centres(&c);
	}
}

/* Remote endpoints may be probed only some time after the start. */
#define START (12 * G_TIME_SPAN_SECOND)
#define CALM (3 * G_TIME_SPAN_SECOND)
#define TROUBLE (13 * G_TIME_SPAN_SECOND)

typedef double (*load_t)(guint data_centre, GTimeSpan since_start);

static double waves(guint data_centre, GTimeSpan since_start)
{
	double period = 13.0 * G_TIME_SPAN_SECOND;

	return 1 +
	       0.55 * sin(2 * G_PI *
			  ((double)since_start / period + data_centre / 4.0));
}

/* Half the callers go to one data centre. */
static double shift(guint data_centre, GTimeSpan since_start)
{
	if (since_start < START + CALM)
		return 1;
	return data_centre == 0 ? 2.5 : 0.5;
}

typedef struct {
	const char *title;
	load_t load;
	double rate; /* relative to the usual one */
	gboolean loses_data_centre;
	gboolean evacuates_data_centre;
} scenario_t;

/* A quarter of nilehaven-forms-grown, in 4 data centres. */
static placing_result_t simulate(const scenario_t *scenario,
				 guint price_percent)
{
	const double rate = scenario->rate / 4;
	const placing_options_t options = {
		.data_centres = 4,
		.instances = 52,
		.service_count = 3,
		.services = { { 24, 473 * rate, TRUE, 76 * MS, 250 * MS,
				1500 * MS, 0 },
			      { 12, 160 * rate, FALSE, 100 * MS, 300 * MS,
				2000 * MS, 0 },
			      { 20, 168 * rate, TRUE, 190 * MS, 600 * MS,
				2500 * MS, 1 } },
		.slots = 2,
		.queue = 4,
		.caller_retries = 1,
		.slowdown_factor = 5,
		.load = scenario->load,
		.preferred_instances = 6,
		.crossing_price_percent = price_percent,
		.seed = 1,
	};
	placing_result_t result;

	placing_start(&options);
	placing_run_for(START);
	placing_reset();
	placing_run_for(CALM);
	if (scenario->loses_data_centre)
		placing_kill_data_centre(3);
	if (scenario->evacuates_data_centre)
		placing_set_evacuated(3, TRUE);
	placing_run_for(TROUBLE);
	if (scenario->evacuates_data_centre)
		placing_set_evacuated(3, FALSE);
	placing_run_for(CALM);
	result = placing_result();
	print_message("%s, price %u: ", scenario->title, price_percent);
	placing_print(scenario->title);
	placing_stop();
	return result;
}

static double in_time(const placing_result_t *result)
{
	return (double)result->in_time / result->requests;
}

/* Part of calls in time that the simulation gives or takes by chance. */
#define NOISE 0.01

/*
 * Fails if calls cross without need, or if those that stay at home are late: the
 * endpoints of each data centre suffice.
 */
static void calm_fleet_crosses_no_more(void **state)
{
	const scenario_t calm = { .title = "calm", .rate = 1 };
	placing_result_t fixed = simulate(&calm, 0);
	placing_result_t priced = simulate(&calm, PRICE_PERCENT);

	(void)state;
	assert_true(priced.crossings <= fixed.crossings);
	assert_true(in_time(&priced) >= in_time(&fixed) - NOISE);
}

/*
 * Fails if waits at home make calls late while the capacity is elsewhere: waves
 * out of phase, half the callers in one data centre.
 */
static void uneven_load_is_served_in_time(void **state)
{
	const scenario_t scenarios[] = {
		{ .title = "waves", .load = waves, .rate = 1.3 },
		{ .title = "shift", .load = shift, .rate = 1 },
	};
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		placing_result_t fixed = simulate(&scenarios[i], 0);
		placing_result_t priced =
			simulate(&scenarios[i], PRICE_PERCENT);

		assert_true(in_time(&priced) >= in_time(&fixed));
	}
}

/* Fails if the loss or the evacuation of a data centre makes calls wait. */
static void lost_data_centre_is_replaced(void **state)
{
	const scenario_t scenarios[] = {
		{ .title = "loss", .rate = 1, .loses_data_centre = TRUE },
		{ .title = "evacuation",
		  .rate = 1,
		  .evacuates_data_centre = TRUE },
	};
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		placing_result_t fixed = simulate(&scenarios[i], 0);
		placing_result_t priced =
			simulate(&scenarios[i], PRICE_PERCENT);

		assert_true(in_time(&priced) >= in_time(&fixed) - NOISE);
		assert_int_equal(priced.evacuated_attempts, 0);
	}
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(share_rises_and_falls_within_bounds),
		TEST(share_stays_at_zero_below_the_price),
		TEST(share_holds_between_the_thresholds),
		TEST(share_stays_low_without_remote_capacity),
		TEST(share_drops_at_once_when_remote_endpoints_refuse),
		TEST(calls_leave_by_the_share),
		TEST(single_call_leaves_after_the_wait_worth_the_price),
		TEST(estimates_decay_without_calls),
		TEST(two_data_centres_do_not_oscillate),
		cmocka_unit_test(calm_fleet_crosses_no_more),
		cmocka_unit_test(uneven_load_is_served_in_time),
		cmocka_unit_test(lost_data_centre_is_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
