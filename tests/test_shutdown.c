/* Tests the phases of a shutdown, and the rule for the calls that it starts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/shutdown/shutdown.h"

#define START (100 * G_TIME_SPAN_SECOND)
#define DURATION (5 * G_TIME_SPAN_SECOND)

static gboolean may_start(const shutdown_t *shutdown, GTimeSpan deadline,
			  GTimeSpan now)
{
	const shutdown_call_t call = { .deadline = deadline };

	return shutdown_may_start(shutdown, &shutdown_rule_by_deadline, &call,
				  now);
}

/* Fails if an instance that runs normally refuses a call. */
static void every_call_is_started_before_a_shutdown(void **state)
{
	shutdown_t shutdown = { 0 };

	(void)state;
	assert_true(may_start(&shutdown, START + 1000 * DURATION, START));
	assert_int_equal(shutdown_elapsed(&shutdown, START), -1);
}

/* Fails if a call is started whose endpoint may work beyond the end. */
static void call_is_started_if_its_deadline_is_not_behind_the_end(void **state)
{
	shutdown_t shutdown = { 0 };

	(void)state;
	assert_true(shutdown_start(&shutdown, DURATION, START));
	assert_true(may_start(&shutdown, START + DURATION, START));
	assert_true(
		may_start(&shutdown, START + DURATION, START + DURATION - 1));
	assert_false(may_start(&shutdown, START + DURATION + 1, START));
	assert_int_equal(shutdown_elapsed(&shutdown, START + 7), 7);
}

/* Fails if calls were started for an end that a second signal moves. */
static void second_start_does_not_move_the_end(void **state)
{
	shutdown_t shutdown = { 0 };

	(void)state;
	assert_true(shutdown_start(&shutdown, DURATION, START));
	assert_false(shutdown_start(&shutdown, DURATION / 2, START + 1));
	assert_int_equal(shutdown.started, START);
	assert_int_equal(shutdown.end, START + DURATION);
}

/* Fails if a call is started while the last answers are written. */
static void no_call_is_started_once_complete(void **state)
{
	shutdown_t shutdown = { 0 };

	(void)state;
	assert_false(shutdown_complete(&shutdown, START + 1));
	assert_true(shutdown_start(&shutdown, DURATION, START));
	assert_true(shutdown_complete(&shutdown, START + 1));
	assert_false(shutdown_complete(&shutdown, START + 1));
	assert_false(may_start(&shutdown, START, START));
	assert_false(shutdown_start(&shutdown, DURATION, START + 1));
	assert_false(shutdown.forced);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_call_is_started_before_a_shutdown),
		cmocka_unit_test(
			call_is_started_if_its_deadline_is_not_behind_the_end),
		cmocka_unit_test(second_start_does_not_move_the_end),
		cmocka_unit_test(no_call_is_started_once_complete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
