/*
 * Tests admission under overload with a simulated service and clock: no flood
 * of calls may starve another priority or caller, and no capacity may stay
 * unused. The service has 10 slots and takes 20 ms per call: its capacity is
 * 500 calls/s.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/admission/admission.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SLOTS 10
#define SERVICE_TIME (20 * MS)
#define FLOOD 10 /* calls per step of 2 ms: 10 times the capacity */

typedef struct sim_call {
	TAILQ_ENTRY(sim_call) running;
	admission_item_t item;
	GTimeSpan arrived, started, end;
} sim_call_t;

typedef struct {
	admission_t *admission;
	counters_t counters;
	GTimeSpan now;
	GTimeSpan slot_free[SLOTS];
	TAILQ_HEAD(sim_calls, sim_call) running;
	guint in_flight, waiting;
	guint offered[3], started[3], refused[3];
	guint started_of_caller[2]; /* callers "a" and "b" */
	GTimeSpan longest_wait[3];
	const admission_item_t *watched; /* reset to NULL when it starts */
	GTimeSpan latest_start; /* of new calls, after their arrival; 0: none */
	catk_error_t error; /* of the last refusal */
} sim_t;

static void sim_init(sim_t *sim, guint queue_max, guint caller_share)
{
	const admission_limits_t limits = { ADMISSION_PRIORITY, queue_max,
					    caller_share };
	schema_t *schema = schema_new();

	*sim = (sim_t){ .now = G_TIME_SPAN_SECOND };
	TAILQ_INIT(&sim->running);
	sim->admission = admission_new(&limits, &sim->counters);
	assert_true(schema_add_priority(schema, "urgent", 20, NULL));
	assert_true(schema_add_priority(schema, "normal", 20, NULL));
	assert_true(schema_add_priority(schema, "background", 10, NULL));
	admission_configure(sim->admission, schema);
	schema_free(schema);
}

static void sim_refuse(sim_t *sim, sim_call_t *call)
{
	assert_int_equal(sim->error.outcome, OUTCOME_NOT_RUN);
	sim->refused[call->item.priority]++;
	if (sim->watched == &call->item)
		sim->watched = NULL;
	g_free(call);
}

static sim_call_t *sim_offer(sim_t *sim, guint priority, GTimeSpan deadline,
			     const char *caller)
{
	sim_call_t *call = g_new0(sim_call_t, 1);
	admission_item_t *displaced;

	call->item.priority = priority;
	call->item.deadline = sim->now + deadline;
	if (sim->latest_start)
		call->item.latest_start = sim->now + sim->latest_start;
	call->item.caller = caller;
	call->arrived = sim->now;
	sim->offered[priority]++;
	if (!admission_offer(sim->admission, &call->item, sim->now, &displaced,
			     &sim->error)) {
		sim_refuse(sim, call);
		return NULL;
	}
	sim->waiting++;
	if (displaced) {
		sim->waiting--;
		sim_refuse(sim, container_of(displaced, sim_call_t, item));
	}
	return call;
}

static void sim_start(sim_t *sim, sim_call_t *call)
{
	guint priority = call->item.priority;
	GTimeSpan *slot = &sim->slot_free[0];
	guint i;

	for (i = 1; i < SLOTS; i++)
		if (sim->slot_free[i] < *slot)
			slot = &sim->slot_free[i];
	*slot = MAX(*slot, sim->now) + SERVICE_TIME;
	call->end = *slot;
	call->started = sim->now;
	TAILQ_INSERT_TAIL(&sim->running, call, running);
	admission_attempt_started(sim->admission, &call->item, sim->now);
	sim->in_flight++;
	sim->started[priority]++;
	sim->started_of_caller[call->item.caller[0] == 'b']++;
	sim->longest_wait[priority] =
		MAX(sim->longest_wait[priority], sim->now - call->arrived);
	if (sim->watched == &call->item)
		sim->watched = NULL;
}

static void sim_dispatch(sim_t *sim)
{
	admission_item_t *item;

	while ((item = admission_next(sim->admission, sim->now))) {
		sim_call_t *call = container_of(item, sim_call_t, item);

		sim->waiting--;
		if (admission_can_finish(sim->admission, item, sim->now,
					 &sim->error))
			sim_start(sim, call);
		else
			sim_refuse(sim, call);
	}
}

static void sim_end_calls(sim_t *sim)
{
	sim_call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &sim->running, running, next) {
		if (call->end > sim->now)
			continue;
		sim->in_flight--;
		admission_attempt_ended(sim->admission, &call->item,
					ADMISSION_ANSWERED,
					(double)sim->in_flight / SLOTS,
					sim->now - call->started, sim->now);
		TAILQ_REMOVE(&sim->running, call, running);
		g_free(call);
	}
}

static void sim_step(sim_t *sim)
{
	sim->now += 2 * MS;
	sim_end_calls(sim);
	sim_dispatch(sim);
	/* Work conservation: no call waits while the limit is not reached. */
	assert_true(!sim->waiting ||
		    sim->in_flight + 1 > admission_limit(sim->admission));
}

/* Runs for a time; offers per_100 calls of each priority in 100 steps. */
static void sim_run(sim_t *sim, GTimeSpan time, const guint per_100[3])
{
	GTimeSpan end = sim->now + time;
	guint due[3] = { 0 };
	guint i;

	while (sim->now < end) {
		sim_step(sim);
		for (i = 0; i < 3; i++)
			for (due[i] += per_100[i]; due[i] >= 100; due[i] -= 100)
				sim_offer(sim, i, 500 * MS, "a");
		sim_dispatch(sim);
	}
}

static void sim_clear(sim_t *sim)
{
	while (sim->in_flight || sim->waiting)
		sim_step(sim);
	admission_free(sim->admission);
}

/* Percentage of the offered calls that have started or are waiting. */
static guint served_percent(const sim_t *sim, guint priority)
{
	return (sim->started[priority] +
		admission_waiting_of_priority(sim->admission, priority)) *
	       100 / sim->offered[priority];
}

/* Fails if a flood of the most urgent priority uses the floors of others. */
static void floors_hold_under_an_urgent_flood(void **state)
{
	const guint load[3] = { FLOOD * 100, 19, 9 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 10 * G_TIME_SPAN_SECOND, load);
	assert_true(served_percent(&sim, 1) >= 99);
	assert_true(served_percent(&sim, 2) >= 99);
	assert_true(sim.refused[0] > 0);
	sim_clear(&sim);
}

/* Fails if a flood of the least urgent priority delays the others. */
static void urgent_calls_overtake_a_less_urgent_flood(void **state)
{
	const guint load[3] = { 40, 30, FLOOD * 100 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 10 * G_TIME_SPAN_SECOND, load);
	assert_int_equal(sim.refused[0] + sim.refused[1], 0);
	assert_true(sim.longest_wait[0] <= SERVICE_TIME);
	/* The floor of the flooded priority: 10% of 500 calls/s for 10 s. */
	assert_true(sim.started[2] >= 500);
	sim_clear(&sim);
}

/* Fails if capacity remains unused while only one priority has calls. */
static void single_flood_gets_the_full_capacity(void **state)
{
	const guint load[3] = { 0, 0, FLOOD * 100 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 10 * G_TIME_SPAN_SECOND, load);
	assert_true(sim.started[2] >= 4500);
	sim_clear(&sim);
}

/* Fails if an idle priority accumulates credit and then blocks others. */
static void idle_priority_accumulates_no_credit(void **state)
{
	const guint flood[3] = { FLOOD * 100, 0, 0 };
	guint before, i;
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 5 * G_TIME_SPAN_SECOND, flood);
	for (i = 0; i < 20; i++)
		sim_offer(&sim, 1, G_TIME_SPAN_SECOND, "a");
	before = sim.started[0];
	sim_run(&sim, 100 * MS, flood);
	assert_true(sim.started[1] <=
		    2 + (sim.started[0] - before + sim.started[1]) / 5);
	sim_clear(&sim);
}

/* Fails if a caller that floods its priority starves another caller. */
static void caller_cannot_starve_another(void **state)
{
	guint step, i;
	sim_t sim;

	(void)state;
	sim_init(&sim, 40, 50);
	for (step = 0; step < 2000; step++) {
		sim_step(&sim);
		for (i = 0; i < FLOOD; i++)
			sim_offer(&sim, 1, 500 * MS, "a");
		if (step % 10 == 0)
			assert_non_null(sim_offer(&sim, 1, 500 * MS, "b"));
		sim_dispatch(&sim);
	}
	sim_offer(&sim, 1, 500 * MS, "b");
	assert_null(sim_offer(&sim, 1, 500 * MS, "a"));
	assert_int_equal(sim.error.kind, CATK_RATE_LIMITED);
	assert_true(sim.started_of_caller[1] >= 199);
	sim_clear(&sim);
}

/* Fails if calls of a caller are not served earliest deadline first. */
static void earliest_deadline_of_a_caller_is_first(void **state)
{
	static const guint deadlines[] = { 300, 100, 200 };
	guint i, last = 0;
	sim_t sim;

	(void)state;
	sim_init(&sim, 40, 100);
	for (i = 0; i < G_N_ELEMENTS(deadlines); i++)
		sim_offer(&sim, 1, deadlines[i] * MS, "a");
	for (i = 0; i < G_N_ELEMENTS(deadlines); i++) {
		admission_item_t *item = admission_next(sim.admission, sim.now);
		guint deadline = (guint)((item->deadline - sim.now) / MS);

		assert_true(deadline > last);
		last = deadline;
		g_free(container_of(item, sim_call_t, item));
	}
	admission_free(sim.admission);
}

/*
 * Fails if a full queue refuses an urgent call while a less urgent priority
 * exceeds its floor, or if that priority loses places below its floor.
 */
static void urgent_arrival_displaces_the_newest_background_call(void **state)
{
	guint i;
	sim_t sim;

	(void)state;
	sim_init(&sim, 20, 100);
	for (i = 0; i < 20; i++)
		sim_offer(&sim, 2, (GTimeSpan)(500 + i) * MS, "a");
	assert_null(sim_offer(&sim, 2, 500 * MS, "a"));
	assert_int_equal(sim.refused[2], 1);
	for (i = 0; i < 18; i++)
		assert_non_null(sim_offer(&sim, 0, 500 * MS, "a"));
	assert_int_equal(sim.error.kind, CATK_OVERLOADED);
	assert_int_equal(admission_waiting_of_priority(sim.admission, 2), 2);
	assert_null(sim_offer(&sim, 0, 500 * MS, "a"));
	/* A priority below its floor displaces calls of any other. */
	assert_non_null(sim_offer(&sim, 1, 500 * MS, "a"));
	assert_int_equal(admission_waiting_of_priority(sim.admission, 0), 17);
	sim_clear(&sim);
}

/* Time until a call of the priority that is queued now has started. */
static GTimeSpan time_to_drain(sim_t *sim, guint priority, const guint load[3])
{
	sim_call_t *newest = NULL;
	GTimeSpan begin = sim->now;

	while (!newest) {
		sim_run(sim, 2 * MS, load);
		begin = sim->now;
		newest = sim_offer(sim, priority, 500 * MS, "a");
	}
	sim->watched = &newest->item;
	while (sim->watched)
		sim_run(sim, 2 * MS, load);
	return sim->now - begin;
}

static void assert_retry_after_is_accurate(const guint load[3], guint priority)
{
	GTimeSpan estimated, actual;
	sim_t sim;

	sim_init(&sim, 1000, 100);
	sim_run(&sim, 3 * G_TIME_SPAN_SECOND, load);
	assert_null(sim_offer(&sim, priority, 25 * MS, "a"));
	estimated = sim.error.retry_after;
	actual = time_to_drain(&sim, priority, load);
	assert_true(estimated >= actual / 2);
	assert_true(estimated <= actual * 2);
	sim_clear(&sim);
}

/* Fails if retry_after is off by more than a factor of two. */
static void retry_after_is_accurate(void **state)
{
	static const guint alone[3] = { 0, 0, FLOOD * 100 };
	static const guint below_others[3] = { 40, 20, FLOOD * 100 };
	static const guint above_others[3] = { FLOOD * 100, 15, 9 };

	(void)state;
	assert_retry_after_is_accurate(alone, 2);
	assert_retry_after_is_accurate(below_others, 2);
	assert_retry_after_is_accurate(above_others, 0);
}

/* Fails if a call is queued that cannot finish by its deadline. */
static void call_that_cannot_finish_is_refused(void **state)
{
	const guint load[3] = { 0, FLOOD * 100, 0 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, G_TIME_SPAN_SECOND, load);
	assert_null(sim_offer(&sim, 1, 30 * MS, "a"));
	assert_int_equal(sim.error.kind, CATK_OVERLOADED);
	assert_true(sim.error.retry_after > 0);
	sim_clear(&sim);
}

/* Fails if a high measured latency makes an idle service refuse all calls. */
static void idle_service_accepts_a_call_with_short_deadline(void **state)
{
	const guint load[3] = { 0, 50, 0 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, G_TIME_SPAN_SECOND, load);
	while (sim.in_flight)
		sim_step(&sim);
	assert_non_null(sim_offer(&sim, 1, 10 * MS, "a"));
	sim_dispatch(&sim);
	assert_int_equal(sim.in_flight, 1);
	sim_clear(&sim);
}

/* Fails if the few calls that an idle service completed limit the next ones. */
static void idle_service_is_not_limited_by_its_completions(void **state)
{
	const guint load[3] = { 0, 1, 0 }; /* 5 calls/s */
	sim_t sim;
	guint i;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, G_TIME_SPAN_SECOND, load);
	while (sim.in_flight || sim.waiting)
		sim_step(&sim);
	sim.latest_start = 100 * MS;
	for (i = 0; i < 3; i++)
		assert_non_null(sim_offer(&sim, 1, 500 * MS, "a"));
	sim_dispatch(&sim);
	assert_int_equal(sim.in_flight, 3);
	sim_clear(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(floors_hold_under_an_urgent_flood),
		cmocka_unit_test(urgent_calls_overtake_a_less_urgent_flood),
		cmocka_unit_test(single_flood_gets_the_full_capacity),
		cmocka_unit_test(idle_priority_accumulates_no_credit),
		cmocka_unit_test(caller_cannot_starve_another),
		cmocka_unit_test(earliest_deadline_of_a_caller_is_first),
		cmocka_unit_test(
			urgent_arrival_displaces_the_newest_background_call),
		cmocka_unit_test(retry_after_is_accurate),
		cmocka_unit_test(call_that_cannot_finish_is_refused),
		cmocka_unit_test(
			idle_service_accepts_a_call_with_short_deadline),
		cmocka_unit_test(
			idle_service_is_not_limited_by_its_completions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
