/* Guards the status codes that callers act on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "net/http_reply.h"

/* Fails when a kind of error gets a status that callers take for another. */
static void each_kind_has_its_status(void **state)
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

/* Fails when a number out of range or with other text is taken. */
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
		cmocka_unit_test(each_kind_has_its_status),
		cmocka_unit_test(numbers_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
