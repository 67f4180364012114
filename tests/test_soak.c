/*
 * Short runs of the randomized soak test: a fixed seed, seeds that found faults
 * before, and catkinstalld_naive, whose violations the soak must detect.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/support.h"

#define PORT_OFFSET 4000 /* above the ports of the other tests */
#define FAULT_SECONDS "6" /* unless a seed needs longer to show its fault */

/*
 * Runs the faults of a seed with or without the outages of the store between
 * changes. Returns the exit status: 0 without violations, 1 otherwise.
 */
static int run_soak(const char *seed, const char *seconds, const char *daemon,
		    gboolean outage_series)
{
	gchar *port = g_strdup_printf("%u", test_port(0) + PORT_OFFSET);
	process_t *process = process_start(
		"soak", "--seed", seed, "--seconds", seconds, "--port-base",
		port, "--daemon", daemon,
		outage_series ? NULL : "--no-outage-series", NULL);
	int status = process_wait(process);

	process_free(process);
	g_free(port);
	return status;
}

/* Fails if the faults of one fixed seed lead to a violation. */
static void guarantees_hold_under_faults(void **state)
{
	(void)state;
	assert_int_equal(run_soak("1", FAULT_SECONDS, "catkinstalld", FALSE),
			 0);
}

/*
 * Seed 34: an instance shuts down while a request whose caller has disconnected
 * still runs. Freeing the entry cancelled it at an HTTP client already freed.
 */
static void shutdown_with_abandoned_request(void **state)
{
	(void)state;
	assert_int_equal(run_soak("34", FAULT_SECONDS, "catkinstalld", FALSE),
			 0);
}

/*
 * Seed 140: the connection of an instance's pending watch to the store loses
 * all data, while new connections work. The watch would not end for up to 21 s,
 * and the instance would send requests to an endpoint that drains meanwhile.
 */
static void silent_store_watch_is_replaced(void **state)
{
	(void)state;
	assert_int_equal(run_soak("140", "12", "catkinstalld", FALSE), 0);
}

/* Fails if changes around outages are hidden, or a malformed entry is fatal. */
static void changes_around_outages_are_learnt(void **state)
{
	(void)state;
	assert_int_equal(run_soak("9101", "18", "catkinstalld", TRUE), 0);
}

/* Fails if the soak misses retries of requests that may have run. */
static void retry_without_proof_is_detected(void **state)
{
	(void)state;
	assert_int_equal(
		run_soak("7", FAULT_SECONDS, "catkinstalld_naive", FALSE), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(guarantees_hold_under_faults),
		cmocka_unit_test(shutdown_with_abandoned_request),
		cmocka_unit_test(silent_store_watch_is_replaced),
		cmocka_unit_test(changes_around_outages_are_learnt),
		cmocka_unit_test(retry_without_proof_is_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
