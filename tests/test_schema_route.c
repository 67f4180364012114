/* Guards the choice of a route and the checks of its declaration. */
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

static schema_route_t *add(schema_t *schema, const char *name, const char *host,
			   const char *prefix)
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

/* Fails when a shorter prefix wins, or a host's port or case decides. */
static void longest_prefix_of_the_host_wins(void **state)
{
	schema_t *schema = new_schema();

	(void)state;
	assert_non_null(add(schema, "all", "a.example", "/"));
	assert_non_null(add(schema, "deep", "a.example", "/x/y/"));
	assert_non_null(add(schema, "mid", "a.example", "/x/"));
	assert_non_null(add(schema, "other", "b.example", "/x/y/z/"));
	assert_string_equal(match(schema, "a.example", "/x/y/z/1"), "deep");
	assert_string_equal(match(schema, "A.Example:8080", "/x/1"), "mid");
	assert_string_equal(match(schema, "a.example", "/x"), "all");
	assert_string_equal(match(schema, "b.example", "/x/y/z/"), "other");
	assert_string_equal(match(schema, "b.example", "/x/y/"), "");
	assert_string_equal(match(schema, "a.example.org", "/x/"), "");
	schema_free(schema);
}

/*
 * Fails when reading a configuration of the largest size, or finding a route of
 * it, takes a time that grows with the square of the routes.
 */
static void many_routes_are_found(void **state)
{
	schema_t *schema = new_schema();
	gint64 started = g_get_monotonic_time();
	guint i;

	(void)state;
	for (i = 0; i < 4000; i++) {
		gchar *name = g_strdup_printf("r-%u", i);
		gchar *prefix = g_strdup_printf("/p%u/", i);

		assert_non_null(add(schema, name, "a.example", prefix));
		g_free(name);
		g_free(prefix);
	}
	for (i = 0; i < 4000; i++)
		assert_string_equal(match(schema, "a.example", "/p3999/x/y"),
				    "r-3999");
	/* A configuration must be in force within 2 s on a fifth of a core. */
	assert_true(g_get_monotonic_time() - started < 400000);
	schema_free(schema);
}

/* Fails when a route that matches nothing, or everything, is accepted. */
static void bad_routes_are_refused(void **state)
{
	schema_t *schema = new_schema();

	(void)state;
	assert_null(add(schema, "a", "", "/x/"));
	assert_null(add(schema, "a", "a.example", "x/"));
	assert_null(add(schema, "a", "a.example", "/x"));
	assert_null(add(schema, "a", "a.example", ""));
	assert_non_null(add(schema, "a", "a.example", "/x/"));
	assert_null(add(schema, "a", "a.example", "/y/"));
	schema_free(schema);
}

/* Fails when a route may send requests to a service that is not declared. */
static void targets_must_be_declared(void **state)
{
	schema_t *schema = new_schema();
	schema_route_t *route = add(schema, "a", "a.example", "/x/");
	catk_error_t error;

	(void)state;
	assert_false(schema_add_target(schema, route, "t", 1, &error));
	assert_int_equal(error.kind, CATK_INVALID_ARGUMENT);
	assert_true(schema_add_target(schema, route, "s", 1, NULL));
	schema_free(schema);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(longest_prefix_of_the_host_wins),
		cmocka_unit_test(many_routes_are_found),
		cmocka_unit_test(bad_routes_are_refused),
		cmocka_unit_test(targets_must_be_declared),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
