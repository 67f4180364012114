/*
 * Tests the status codes and number parsing of the HTTP interfaces: the codes
 * must not change, as callers rely on them, and invalid numbers must be
 * rejected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "net/http_reply.h"

/* Fails if the status code of a kind of error changes: callers rely on it. */
static void error_kinds_map_to_status_codes(void **state)
{
	(void)state;
	assert_int_equal(http_status_for_error(CATK_INVALID_ARGUMENT), 400);
	assert_int_equal(http_status_for_error(CATK_NOT_FOUND), 404);
	assert_int_equal(http_status_for_error(CATK_CONFLICT), 409);
	assert_int_equal(http_status_for_error(CATK_TOO_LARGE), 413);
	assert_int_equal(http_status_for_error(CATK_RATE_LIMITED), 429);
	assert_int_equal(http_status_for_error(CATK_OVERLOADED), 503);
	assert_int_equal(http_status_for_error(CATK_UNAVAILABLE), 503);
	assert_int_equal(http_status_for_error(CATK_DEADLINE_EXCEEDED), 504);
	assert_int_equal(http_status_for_error(CATK_OUTCOME_UNKNOWN), 502);
}

/* Fails if a number out of range or with trailing text is accepted. */
static void numbers_are_checked(void **state)
{
	guint64 value = 0;
	catk_error_t error;

	(void)state;
	assert_true(http_parse_number("n", NULL, 1, 9, 5, &value, &error));
	assert_int_equal(value, 5);
	assert_true(http_parse_number("n", "9", 1, 9, 5, &value, &error));
	assert_int_equal(value, 9);
	assert_false(http_parse_number("n", "10", 1, 9, 5, &value, &error));
	assert_false(http_parse_number("n", "7x", 1, 9, 5, &value, &error));
	assert_int_equal(error.kind, CATK_INVALID_ARGUMENT);
	assert_int_equal(error.outcome, OUTCOME_NOT_RUN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(error_kinds_map_to_status_codes),
		cmocka_unit_test(numbers_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
