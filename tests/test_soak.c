/*
 * Short runs of the randomized soak: fixed seeds, each seed that ever failed, and
 * a build with a wrong rule, which the soak must find.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/support.h"

#define PORT_OFFSET 4000 /* from the first port of the run, above the others */
#define SECONDS "6" /* of faults, where a short run shows the fault */

/* Exit status of the soak: 0 when no promise was broken. */
static int soak(const char *seed, const char *seconds, const char *daemon)
{
	gchar *port = g_strdup_printf("%u", test_port(0) + PORT_OFFSET);
	process_t *process = process_start("soak", "--seed", seed, "--seconds",
					   seconds, "--port-base", port,
					   "--daemon", daemon, NULL);
	int status = process_wait(process);

	process_free(process);
	g_free(port);
	return status;
}

/* Fails when a promise is broken under the faults of a fixed plan. */
static void promises_hold_under_faults(void **state)
{
	(void)state;
	assert_int_equal(soak("1", SECONDS, "catkinstalld"), 0);
}

/*
 * Seed 34: an instance was stopped while a request of a caller that had left
 * still ran; freeing the entry cancelled it at a client that was freed already.
 */
static void failed_seeds_pass(void **state)
{
	(void)state;
	assert_int_equal(soak("34", SECONDS, "catkinstalld"), 0);
}

/*
 * Seed 140: the path from an instance to the store goes silent while its watch
 * waits, and works again for new connections. Nothing ends the watch for up to
 * 21 s, and the instance sends requests to an endpoint that drains meanwhile.
 */
static void swallowed_watch_is_replaced(void **state)
{
	(void)state;
	assert_int_equal(soak("140", "12", "catkinstalld"), 0);
}

/* Fails when the soak does not notice a rule that repeats without proof. */
static void wrong_rule_is_found(void **state)
{
	(void)state;
	assert_int_equal(soak("7", SECONDS, "catkinstalld_naive"), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(promises_hold_under_faults),
		cmocka_unit_test(failed_seeds_pass),
		cmocka_unit_test(swallowed_watch_is_replaced),
		cmocka_unit_test(wrong_rule_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
