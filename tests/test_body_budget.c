/*
 * Tests the budget for bodies of requests: neither may the bodies exceed it
 * together, nor may large ones exclude small ones or each other for good.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/admission/body_budget.h"

#define MAX_BYTES 10000000
#define SMALL ((gsize)BODY_SMALL_BYTES_MAX)

/* Fails if large bodies take what is kept for small ones. */
static void large_bodies_leave_room_for_small_ones(void **state)
{
	gsize first = 0, second = 0, small = 0;
	body_budget_t budget;

	(void)state;
	body_budget_init(&budget, MAX_BYTES);
	assert_true(body_budget_resize(&budget, &first, 4000000));
	assert_false(body_budget_resize(&budget, &second, 4000000));
	assert_int_equal(second, 0);
	assert_true(body_budget_resize(&budget, &second, 3500000));
	assert_true(body_budget_resize(&budget, &small, SMALL));
	assert_int_equal(body_budget_used(&budget), 7500000 + SMALL);
}

/* Fails if a body that the limits allow can never be received. */
static void one_large_body_has_room(void **state)
{
	gsize large = 0, small = 0, other = 0;
	body_budget_t budget;

	(void)state;
	body_budget_init(&budget, MAX_BYTES);
	assert_true(body_budget_resize(&budget, &small, SMALL));
	assert_true(body_budget_resize(&budget, &large, MAX_BYTES));
	assert_true(body_budget_resize(&budget, &other, SMALL));
	assert_true(body_budget_resize(&budget, &large, 0));
	assert_false(body_budget_resize(&budget, &large, MAX_BYTES + 1));
}

/* Fails if small bodies exceed the budget together. */
static void small_bodies_are_bounded(void **state)
{
	gsize held[MAX_BYTES / SMALL + 1] = { 0 };
	body_budget_t budget;
	gsize count = 0;

	(void)state;
	body_budget_init(&budget, MAX_BYTES);
	while (body_budget_resize(&budget, &held[count], SMALL))
		count++;
	assert_int_equal(count, MAX_BYTES / SMALL);
	assert_true(body_budget_resize(&budget, &held[0], 0));
	assert_true(body_budget_resize(&budget, &held[count], SMALL));
}

/* Fails if a growing body that is refused loses or keeps the wrong amount. */
static void growth_is_all_or_nothing(void **state)
{
	gsize growing = 0, other = 0;
	body_budget_t budget;

	(void)state;
	body_budget_init(&budget, MAX_BYTES);
	assert_true(body_budget_resize(&budget, &other, 7000000));
	assert_true(body_budget_resize(&budget, &growing, SMALL));
	assert_true(body_budget_resize(&budget, &growing, 2 * SMALL));
	assert_false(body_budget_resize(&budget, &growing, 1000000));
	assert_int_equal(growing, 2 * SMALL);
	assert_true(body_budget_resize(&budget, &other, 0));
	assert_true(body_budget_resize(&budget, &growing, 1000000));
	assert_true(body_budget_resize(&budget, &growing, 0));
	assert_int_equal(body_budget_used(&budget), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_bodies_leave_room_for_small_ones),
		cmocka_unit_test(one_large_body_has_room),
		cmocka_unit_test(small_bodies_are_bounded),
		cmocka_unit_test(growth_is_all_or_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
