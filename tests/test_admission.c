/*
 * Guards admission under floods, against a model service on a manual clock:
 * 10 slots of 20 ms, so 500 calls/s.
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
#define FLOOD 10 /* calls per 2 ms: 10 times the capacity */

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
	const admission_item_t *watched; /* set to NULL when it starts */
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
	/* Work conservation: no call waits while the limit leaves room. */
	assert_true(!sim->waiting ||
		    sim->in_flight + 1 > admission_limit(sim->admission));
}

/* Offers calls per hundred steps of 2 ms for a time. */
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

/* Calls that have started or wait, in percent of those offered. */
static guint served_percent(const sim_t *sim, guint priority)
{
	return (sim->started[priority] +
		admission_waiting_of_priority(sim->admission, priority)) *
	       100 / sim->offered[priority];
}

/* Fails when a flood of the most urgent priority takes others' floors. */
static void floors_hold_under_flood_from_above(void **state)
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

/* Fails when a flood of the least urgent priority delays the others. */
static void urgent_calls_pass_a_flood_from_below(void **state)
{
	const guint load[3] = { 40, 30, FLOOD * 100 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 10 * G_TIME_SPAN_SECOND, load);
	assert_int_equal(sim.refused[0] + sim.refused[1], 0);
	assert_true(sim.longest_wait[0] <= SERVICE_TIME);
	/* The flood's own floor: 10% of 500 calls/s for 10 s. */
	assert_true(sim.started[2] >= 500);
	sim_clear(&sim);
}

/* Fails when capacity that no other priority uses is left idle. */
static void flood_alone_gets_the_capacity(void **state)
{
	const guint load[3] = { 0, 0, FLOOD * 100 };
	sim_t sim;

	(void)state;
	sim_init(&sim, 100, 100);
	sim_run(&sim, 10 * G_TIME_SPAN_SECOND, load);
	assert_true(sim.started[2] >= 4500);
	sim_clear(&sim);
}

/* Fails when an idle priority saves up dispatches and then blocks others. */
static void idleness_saves_no_credit(void **state)
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

/* Fails when a caller that floods its priority shuts out another caller. */
static void caller_cannot_fill_a_priority(void **state)
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

/* Fails when a caller's later deadline is served before an earlier one. */
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
 * Fails when a full queue refuses urgent work while it holds less urgent work
 * above its floor, or takes the places of the floor.
 */
static void urgent_arrival_displaces_the_newest_background(void **state)
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
	/* A priority without its floor of places takes them from any other. */
	assert_non_null(sim_offer(&sim, 1, 500 * MS, "a"));
	assert_int_equal(admission_waiting_of_priority(sim.admission, 0), 17);
	sim_clear(&sim);
}

/* The time until the newest waiting call of the priority has started. */
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

static void assert_honest(const guint load[3], guint priority)
{
	GTimeSpan promised, actual;
	sim_t sim;

	sim_init(&sim, 1000, 100);
	sim_run(&sim, 3 * G_TIME_SPAN_SECOND, load);
	assert_null(sim_offer(&sim, priority, 25 * MS, "a"));
	promised = sim.error.retry_after;
	actual = time_to_drain(&sim, priority, load);
	assert_true(promised >= actual / 2);
	assert_true(promised <= actual * 2);
	sim_clear(&sim);
}

/* Fails when callers are told to come back far too early or too late. */
static void retry_after_is_honest(void **state)
{
	static const guint alone[3] = { 0, 0, FLOOD * 100 };
	static const guint below_others[3] = { 40, 20, FLOOD * 100 };
	static const guint above_others[3] = { FLOOD * 100, 15, 9 };

	(void)state;
	assert_honest(alone, 2);
	assert_honest(below_others, 2);
	assert_honest(above_others, 0);
}

/* Fails when a call is queued or started that cannot finish in time. */
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

/* Fails when a high measured latency locks out all calls for ever. */
static void idle_service_takes_a_call_of_short_deadline(void **state)
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(floors_hold_under_flood_from_above),
		cmocka_unit_test(urgent_calls_pass_a_flood_from_below),
		cmocka_unit_test(flood_alone_gets_the_capacity),
		cmocka_unit_test(idleness_saves_no_credit),
		cmocka_unit_test(caller_cannot_fill_a_priority),
		cmocka_unit_test(earliest_deadline_of_a_caller_is_first),
		cmocka_unit_test(
			urgent_arrival_displaces_the_newest_background),
		cmocka_unit_test(retry_after_is_honest),
		cmocka_unit_test(call_that_cannot_finish_is_refused),
		cmocka_unit_test(idle_service_takes_a_call_of_short_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
