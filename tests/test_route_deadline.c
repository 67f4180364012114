/*
 * Tests the estimate of the time since a caller's first attempt: first attempts
 * and retries must not be mistaken for each other.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/route/route_deadline.h"

#define DEADLINE (3 * G_TIME_SPAN_SECOND)

static const schema_route_t route = { .method = { .name = "r" } };

/*
 * Fails if first attempts are taken for retries because deadlines differ by
 * up to 15%, or because a few callers send far longer ones. Their objective
 * would count as missed.
 */
static void first_attempts_are_recognized(void **state)
{
	route_deadlines_t *deadlines = route_deadlines_new();
	GRand *random = g_rand_new_with_seed(1);
	guint retries = 0;
	guint i;

	(void)state;
	for (i = 0; i < 2000; i++) {
		double factor = g_rand_double_range(random, 0.85, 1);

		if (i % 25 == 0)
			factor = 3;
		if (route_deadlines_estimate_elapsed(
			    deadlines, &route, (GTimeSpan)(factor * DEADLINE)) >
			    0 &&
		    i >= 1000)
			retries++;
	}
	/* The estimated quantile is not exact: one in twenty may be wrong. */
	assert_in_range(retries, 0, 50);
	g_rand_free(random);
	route_deadlines_free(deadlines);
}

/*
 * Fails if a caller that has used half of its deadline is taken for a new
 * one.
 */
static void retries_are_recognized(void **state)
{
	route_deadlines_t *deadlines = route_deadlines_new();
	GTimeSpan elapsed;
	guint i;

	(void)state;
	for (i = 0; i < 100; i++)
		route_deadlines_estimate_elapsed(deadlines, &route, DEADLINE);
	elapsed = route_deadlines_estimate_elapsed(deadlines, &route,
						   DEADLINE / 2);
	assert_in_range(elapsed, DEADLINE / 4, DEADLINE / 2);
	route_deadlines_free(deadlines);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(first_attempts_are_recognized),
		cmocka_unit_test(retries_are_recognized),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
