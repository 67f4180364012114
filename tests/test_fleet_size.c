/*
 * Tests the number of instances by which fleet-wide limits are divided: a
 * partition must not make the fleet exceed a limit, and instances removed
 * permanently must not keep their share.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/membership/fleet_size.h"

#define START G_TIME_SPAN_DAY

/*
 * Fails if unreachable instances are no longer counted. Both sides of a
 * partition would then use the whole limit.
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

/* Fails if instances that were removed permanently keep their share. */
static void size_decreases_after_window(void **state)
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
		cmocka_unit_test(size_decreases_after_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
