/* Guards the estimate of how long a caller has been trying. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/route/route_deadline.h"

#define DEADLINE (3 * G_TIME_SPAN_SECOND)

static const schema_route_t route = { .method = { .name = "r" } };

/*
 * Fails when the patience of callers, which differs by 15%, or the few that
 * state far more, make first attempts look like returns: their objective would
 * be taken for lost.
 */
static void patience_is_not_a_return(void **state)
{
	route_deadlines_t *deadlines = route_deadlines_new();
	GRand *random = g_rand_new_with_seed(1);
	guint returns = 0;
	guint i;

	(void)state;
	for (i = 0; i < 2000; i++) {
		double part = g_rand_double_range(random, 0.85, 1);

		if (i % 25 == 0)
			part = 3;
		if (route_deadlines_estimate_elapsed(
			    deadlines, &route, (GTimeSpan)(part * DEADLINE)) >
			    0 &&
		    i >= 1000)
			returns++;
	}
	/* The estimate of the quantile is not exact: one in twenty may err. */
	assert_in_range(returns, 0, 50);
	g_rand_free(random);
	route_deadlines_free(deadlines);
}

/* Fails when a caller that has used half of its time looks like a new one. */
static void return_is_seen(void **state)
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
		cmocka_unit_test(patience_is_not_a_return),
		cmocka_unit_test(return_is_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
