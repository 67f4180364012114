/*
 * Tests one entry's share of the probe budget of an endpoint: the shares of all
 * entries together must not exceed the budget, also after a pause or a restart.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/probe/probe_budget.h"

#define ENTRIES 18
#define BUDGET 2.0 /* probes per second of the whole fleet */
#define START G_TIME_SPAN_DAY

static guint take_all(probe_budget_t *budget, GTimeSpan from, GTimeSpan to)
{
	GTimeSpan now;
	guint taken = 0;

	for (now = from; now < to; now += 10 * G_TIME_SPAN_MILLISECOND)
		taken += probe_budget_take(budget, now);
	return taken;
}

/* Fails if the shares of all entries add up to more than the budget. */
static void shares_stay_within_budget(void **state)
{
	GTimeSpan duration = G_TIME_SPAN_MINUTE;
	probe_budget_t budget;
	guint taken = 0;
	guint entry;

	(void)state;
	for (entry = 0; entry < ENTRIES; entry++) {
		probe_budget_init(&budget, BUDGET, ENTRIES, START);
		taken += take_all(&budget, START, START + duration);
	}
	assert_in_range(taken, BUDGET * 60 - ENTRIES, BUDGET * 60);
}

/* Fails if probes accumulate during a pause, or if one is allowed at startup. */
static void pause_and_restart_accumulate_nothing(void **state)
{
	probe_budget_t budget;
	guint restart;

	(void)state;
	for (restart = 0; restart < 5; restart++) {
		probe_budget_init(&budget, BUDGET, ENTRIES, START);
		assert_false(probe_budget_take(&budget, START));
	}
	assert_int_equal(
		take_all(&budget, START + G_TIME_SPAN_HOUR,
			 START + G_TIME_SPAN_HOUR + 8 * G_TIME_SPAN_SECOND),
		1);
}

/* Fails if a budget of zero allows probes. */
static void zero_budget_disables_probing(void **state)
{
	probe_budget_t budget;

	(void)state;
	probe_budget_init(&budget, 0, ENTRIES, START);
	assert_int_equal(take_all(&budget, START, START + G_TIME_SPAN_MINUTE),
			 0);
}

/* Fails if a burst raises the bound of an entry by more than its probes. */
static void burst_is_bounded(void **state)
{
	probe_budget_t budget;
	guint count = 0;

	(void)state;
	probe_budget_init(&budget, BUDGET, ENTRIES, START);
	probe_budget_configure(&budget, BUDGET / ENTRIES, 5, START);
	while (probe_budget_take(&budget, START + budget.interval))
		count++;
	assert_in_range(count, 1, 5);
	while (probe_budget_take(&budget, START + 1000 * budget.interval))
		count++;
	assert_in_range(count, 5, 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_is_bounded),
		cmocka_unit_test(shares_stay_within_budget),
		cmocka_unit_test(pause_and_restart_accumulate_nothing),
		cmocka_unit_test(zero_budget_disables_probing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
