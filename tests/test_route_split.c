/*
 * Tests the distribution of a route's requests over its targets: each target
 * must get its share, also with few requests per instance and after a new
 * configuration.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/route/route_split.h"

#define INSTANCES 13

static schema_t *new_schema(guint weight_of_a, guint weight_of_b)
{
	schema_t *schema = schema_new();
	schema_route_t attributes = {
		.method = { .name = "r", .deadline = G_TIME_SPAN_SECOND },
		.host = "a.example",
		.prefix = "/",
		.attempts_max = 1,
	};
	schema_route_t *route;

	assert_true(schema_add_priority(schema, "urgent", 0, NULL));
	assert_non_null(schema_add_service(schema, "a", 1, 10, 0, NULL));
	assert_non_null(schema_add_service(schema, "b", 1, 10, 0, NULL));
	route = schema_add_route(schema, &attributes, "urgent", NULL);
	assert_true(schema_add_target(schema, route, "a", weight_of_a, NULL));
	assert_true(schema_add_target(schema, route, "b", weight_of_b, NULL));
	return schema;
}

static guint count_b(route_splits_t *splits, const schema_t *schema,
		     guint requests)
{
	guint count = 0;
	guint i;

	for (i = 0; i < requests; i++)
		count += strcmp(route_splits_next(splits,
						  TAILQ_FIRST(&schema->routes)),
				"b") == 0;
	return count;
}

/* Fails if a full cycle does not give each target exactly its weight. */
static void shares_are_exact_over_a_cycle(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	route_splits_t *splits = route_splits_new(random);
	schema_t *schema = new_schema(90, 10);

	(void)state;
	count_b(splits, schema, 7);
	assert_int_equal(count_b(splits, schema, 100), 10);
	assert_int_equal(count_b(splits, schema, 1000), 100);
	schema_free(schema);
	route_splits_free(splits);
	g_rand_free(random);
}

/*
 * Fails if instances that start together all begin with the target of highest
 * weight: with few requests each, the other target would get none.
 */
static void shares_hold_with_few_requests_per_instance(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	schema_t *schema = new_schema(90, 10);
	guint count = 0;
	guint i;

	(void)state;
	for (i = 0; i < 40 * INSTANCES; i++) {
		route_splits_t *splits = route_splits_new(random);

		count += count_b(splits, schema, 3);
		route_splits_free(splits);
	}
	/*
	 * The expected 156 of 1,560 requests, with the required tolerance of a
	 * tenth of all requests.
	 */
	assert_in_range(count, 1, 156 + 156);
	schema_free(schema);
	g_rand_free(random);
}

/* Fails if a new configuration with the same route restarts the cycle. */
static void configuration_keeps_the_position(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	route_splits_t *splits = route_splits_new(random);
	schema_t *first = new_schema(3, 1);
	schema_t *second = new_schema(3, 1);
	guint count = 0;
	guint i;

	(void)state;
	for (i = 0; i < 50; i++) {
		count += count_b(splits, first, 1);
		route_splits_configure(splits, second);
		count += count_b(splits, second, 1);
	}
	assert_int_equal(count, 25);
	schema_free(first);
	schema_free(second);
	route_splits_free(splits);
	g_rand_free(random);
}

/* Fails if a target of weight 0 gets a request. */
static void weight_zero_gets_nothing(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	route_splits_t *splits = route_splits_new(random);
	schema_t *schema = new_schema(1, 0);

	(void)state;
	assert_int_equal(count_b(splits, schema, 100), 0);
	schema_free(schema);
	route_splits_free(splits);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shares_are_exact_over_a_cycle),
		cmocka_unit_test(shares_hold_with_few_requests_per_instance),
		cmocka_unit_test(configuration_keeps_the_position),
		cmocka_unit_test(weight_zero_gets_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
