/*
 * Tests the checks of route declarations and the lookup of routes: a request
 * must match the longest prefix of its host, and invalid declarations must be
 * rejected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/schema/schema.h"

static schema_t *new_schema(void)
{
	schema_t *schema = schema_new();

	assert_true(schema_add_priority(schema, "urgent", 0, NULL));
	assert_non_null(schema_add_service(schema, "s", 1, 10, 0, NULL));
	return schema;
}

static schema_route_t *add_route(schema_t *schema, const char *name,
				 const char *host, const char *prefix)
{
	schema_route_t attributes = {
		.method = { .name = (char *)name,
			    .deadline = G_TIME_SPAN_SECOND },
		.host = (char *)host,
		.prefix = (char *)prefix,
		.attempts_max = 2,
	};

	return schema_add_route(schema, &attributes, "urgent", NULL);
}

static const char *match(const schema_t *schema, const char *host,
			 const char *path)
{
	const schema_route_t *route = schema_match_route(schema, host, path);

	return route ? route->method.name : "";
}

/*
 * Fails if a shorter prefix is preferred, or when the port or the case of the
 * host makes a difference.
 */
static void longest_prefix_of_the_host_is_matched(void **state)
{
	schema_t *schema = new_schema();

	(void)state;
	assert_non_null(add_route(schema, "all", "a.example", "/"));
	assert_non_null(add_route(schema, "deep", "a.example", "/x/y/"));
	assert_non_null(add_route(schema, "mid", "a.example", "/x/"));
	assert_non_null(add_route(schema, "other", "b.example", "/x/y/z/"));
	assert_string_equal(match(schema, "a.example", "/x/y/z/1"), "deep");
	assert_string_equal(match(schema, "A.Example:8080", "/x/1"), "mid");
	assert_string_equal(match(schema, "a.example", "/x"), "all");
	assert_string_equal(match(schema, "b.example", "/x/y/z/"), "other");
	assert_string_equal(match(schema, "b.example", "/x/y/"), "");
	assert_string_equal(match(schema, "a.example.org", "/x/"), "");
	schema_free(schema);
}

/*
 * Fails if adding the routes of a configuration of the largest size, or
 * looking one up for each, takes time quadratic in the number of routes.
 */
static void lookup_scales_to_many_routes(void **state)
{
	schema_t *schema = new_schema();
	gint64 started = g_get_monotonic_time();
	guint i;

	(void)state;
	for (i = 0; i < 4000; i++) {
		gchar *name = g_strdup_printf("r-%u", i);
		gchar *prefix = g_strdup_printf("/p%u/", i);

		assert_non_null(add_route(schema, name, "a.example", prefix));
		g_free(name);
		g_free(prefix);
	}
	for (i = 0; i < 4000; i++)
		assert_string_equal(match(schema, "a.example", "/p3999/x/y"),
				    "r-3999");
	/* A configuration must come into force in 2 s on a fifth of a core. */
	assert_true(g_get_monotonic_time() - started < 400000);
	schema_free(schema);
}

/* Fails if an invalid or repeated route is accepted. */
static void invalid_routes_are_refused(void **state)
{
	schema_t *schema = new_schema();

	(void)state;
	assert_null(add_route(schema, "a", "", "/x/"));
	assert_null(add_route(schema, "a", "a.example", "x/"));
	assert_null(add_route(schema, "a", "a.example", "/x"));
	assert_null(add_route(schema, "a", "a.example", ""));
	assert_non_null(add_route(schema, "a", "a.example", "/x/"));
	assert_null(add_route(schema, "a", "a.example", "/y/"));
	schema_free(schema);
}

/* Fails if a route accepts a target that is not a declared service. */
static void targets_must_be_declared(void **state)
{
	schema_t *schema = new_schema();
	schema_route_t *route = add_route(schema, "a", "a.example", "/x/");
	catk_error_t error;

	(void)state;
	assert_false(schema_add_target(schema, route, "t", 1, &error));
	assert_int_equal(error.kind, CATK_INVALID_ARGUMENT);
	assert_true(schema_add_target(schema, route, "s", 1, NULL));
	schema_free(schema);
}

/* Fails if a schema of which a part is freed cannot be freed. */
static void routes_are_freed_in_parts(void **state)
{
	schema_t *schema = new_schema();

	(void)state;
	assert_non_null(add_route(schema, "a", "a.example", "/x/"));
	assert_non_null(add_route(schema, "b", "a.example", "/y/"));
	assert_non_null(add_route(schema, "c", "a.example", "/z/"));
	assert_true(schema_free_some_routes(schema, 2));
	assert_false(schema_free_some_routes(schema, 2));
	schema_free(schema);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(longest_prefix_of_the_host_is_matched),
		cmocka_unit_test(lookup_scales_to_many_routes),
		cmocka_unit_test(invalid_routes_are_refused),
		cmocka_unit_test(targets_must_be_declared),
		cmocka_unit_test(routes_are_freed_in_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
