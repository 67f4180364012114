/*
 * Short runs of the randomized soak test: a fixed seed, seeds that found faults
 * before, and daemons with a faulty rule, whose violations the soak must detect.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/support.h"

#define PORT_OFFSET 4000 /* above the ports of the other tests */
#define FAULT_SECONDS "6" /* unless a seed needs longer to show its fault */
#define STOP_SECONDS "8" /* some stops end before the faults do */

/*
 * What a run has beside its random faults, see soak_outages.c, soak_stops.c,
 * soak_rules.c.
 */
enum { OUTAGE_SERIES = 1 << 0, STOP_SERIES = 1 << 1, RULE_SERIES = 1 << 2 };

/*
 * Runs the faults of a seed with a set of series. Returns the exit status: 0
 * without violations, 1 otherwise.
 */
static int run_soak(const char *seed, const char *seconds, const char *daemon,
		    guint series)
{
	const char *left_out[] = { NULL, NULL, NULL };
	guint count = 0;
	gchar *port = g_strdup_printf("%u", test_port(0) + PORT_OFFSET);
	process_t *process;
	int status;

	if (!(series & OUTAGE_SERIES))
		left_out[count++] = "--no-outage-series";
	if (!(series & STOP_SERIES))
		left_out[count++] = "--no-stop-series";
	if (!(series & RULE_SERIES))
		left_out[count] = "--no-rule-series";
	process = process_start("soak", "--seed", seed, "--seconds", seconds,
				"--port-base", port, "--daemon", daemon,
				left_out[0], left_out[1], left_out[2], NULL);
	status = process_wait(process);
	process_free(process);
	g_free(port);
	return status;
}

/* Fails if the faults of one fixed seed lead to a violation. */
static void guarantees_hold_under_faults(void **state)
{
	(void)state;
	assert_int_equal(run_soak("1", FAULT_SECONDS, "catkinstalld", 0), 0);
}

/*
 * Seed 34: an instance shuts down while a request whose caller has disconnected
 * still runs. Freeing the entry cancelled it at an HTTP client already freed.
 */
static void shutdown_with_abandoned_request(void **state)
{
	(void)state;
	assert_int_equal(run_soak("34", FAULT_SECONDS, "catkinstalld", 0), 0);
}

/*
 * Seed 140: the connection of an instance's pending watch to the store loses
 * all data, while new connections work. The watch would not end for up to 21 s,
 * and the instance would send requests to an endpoint that drains meanwhile.
 */
static void silent_store_watch_is_replaced(void **state)
{
	(void)state;
	assert_int_equal(run_soak("140", "12", "catkinstalld", 0), 0);
}

/* Fails if changes around outages are hidden, or a malformed entry is fatal. */
static void changes_around_outages_are_learnt(void **state)
{
	(void)state;
	assert_int_equal(run_soak("9101", "18", "catkinstalld", OUTAGE_SERIES),
			 0);
}

/* Fails if overlapping planned stops cut requests that reached an endpoint. */
static void planned_stops_lose_no_request(void **state)
{
	(void)state;
	assert_int_equal(
		run_soak("4", STOP_SECONDS, "catkinstalld", STOP_SERIES), 0);
}

/* Fails if a withdrawn key, an evacuation or a restored store is not respected. */
static void rules_hold_under_faults(void **state)
{
	(void)state;
	assert_int_equal(run_soak("1", "18", "catkinstalld", RULE_SERIES), 0);
}

/* Fails if the soak misses requests that a planned stop cuts. */
static void requests_cut_by_a_stop_are_detected(void **state)
{
	(void)state;
	assert_int_equal(run_soak("4", STOP_SECONDS,
				  "catkinstalld_naive_shutdown", STOP_SERIES),
			 1);
}

/* Fails if the soak misses retries of requests that may have run. */
static void retry_without_proof_is_detected(void **state)
{
	(void)state;
	assert_int_equal(run_soak("7", FAULT_SECONDS, "catkinstalld_naive", 0),
			 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(guarantees_hold_under_faults),
		cmocka_unit_test(shutdown_with_abandoned_request),
		cmocka_unit_test(silent_store_watch_is_replaced),
		cmocka_unit_test(changes_around_outages_are_learnt),
		cmocka_unit_test(planned_stops_lose_no_request),
		cmocka_unit_test(rules_hold_under_faults),
		cmocka_unit_test(retry_without_proof_is_detected),
		cmocka_unit_test(requests_cut_by_a_stop_are_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
