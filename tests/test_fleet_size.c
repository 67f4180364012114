/* Guards the number of instances by which common limits are divided. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/membership/fleet_size.h"

#define START G_TIME_SPAN_DAY

/*
 * Fails when instances that are out of reach are no longer counted: both sides
 * of a partition would then use the whole of a limit.
 */
static void partition_does_not_lower_the_size(void **state)
{
	fleet_size_t size = { 0 };

	(void)state;
	assert_int_equal(fleet_size_update(&size, 18, START), 18);
	assert_int_equal(fleet_size_update(&size, 9, START + FLEET_SIZE_WINDOW),
			 18);
	assert_int_equal(
		fleet_size_update(&size, 20, START + FLEET_SIZE_WINDOW), 20);
}

/* Fails when instances that were removed for good keep their part. */
static void size_follows_in_time(void **state)
{
	fleet_size_t size = { 0 };

	(void)state;
	fleet_size_update(&size, 18, START);
	assert_int_equal(
		fleet_size_update(&size, 9, START + FLEET_SIZE_WINDOW + 1), 9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(partition_does_not_lower_the_size),
		cmocka_unit_test(size_follows_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
