/* Guards one entry's share of the probe budget of an endpoint. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/probe/probe_budget.h"

#define ENTRIES 18
#define BUDGET 2.0 /* probes a second of the fleet */
#define START G_TIME_SPAN_DAY

static guint take_all(probe_budget_t *budget, GTimeSpan from, GTimeSpan to)
{
	GTimeSpan now;
	guint taken = 0;

	for (now = from; now < to; now += 10 * G_TIME_SPAN_MILLISECOND)
		taken += probe_budget_take(budget, now);
	return taken;
}

/* Fails when the shares of all entries add up to more than the budget. */
static void shares_stay_within_budget(void **state)
{
	GTimeSpan time = G_TIME_SPAN_MINUTE;
	probe_budget_t budget;
	guint taken = 0;
	guint entry;

	(void)state;
	for (entry = 0; entry < ENTRIES; entry++) {
		probe_budget_init(&budget, BUDGET, ENTRIES, START);
		taken += take_all(&budget, START, START + time);
	}
	assert_in_range(taken, BUDGET * 60 - ENTRIES, BUDGET * 60);
}

/* Fails when a pause saves up probes or a restart is given one at once. */
static void pause_and_restart_save_nothing(void **state)
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

/* Fails when a budget of zero still lets probes through. */
static void zero_turns_probing_off(void **state)
{
	probe_budget_t budget;

	(void)state;
	probe_budget_init(&budget, 0, ENTRIES, START);
	assert_int_equal(take_all(&budget, START, START + G_TIME_SPAN_MINUTE),
			 0);
}

/* Fails when a burst adds more than its probes to the bound of an entry. */
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
		cmocka_unit_test(pause_and_restart_save_nothing),
		cmocka_unit_test(zero_turns_probing_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
