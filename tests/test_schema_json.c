/* Tests the validation of schemas: all errors in one run, each with its path. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/schema_json.h"

static void collect(void *ctx, const char *place, const char *message)
{
	g_string_append_printf(ctx, "%s: %s\n", place, message);
}

static schema_t *read_text(const char *text, GString *issues)
{
	GBytes *document = g_bytes_new_static(text, strlen(text));
	schema_t *schema = schema_from_json(document, collect, issues);

	g_bytes_unref(document);
	return schema;
}

/* Fails if validation stops at the first error or accepts unknown keys. */
static void every_error_is_reported(void **state)
{
	GString *issues = g_string_new(NULL);

	(void)state;
	assert_null(read_text("{\"priorities\":[{\"name\":\"a\","
			      "\"floor_percent\":101}],\"services\":[{\"name\":"
			      "\"s\",\"slots\":1,\"connections\":1,"
			      "\"probes_per_second\":0,\"endpoints\":[\"x\"],"
			      "\"methods\":[{\"name\":\"m\",\"priority\":\"b\","
			      "\"idempotent\":1,\"deadline_ms\":5}]}],\"x\":1}",
			      issues));
	assert_non_null(strstr(issues->str, "$.priorities[0]: "));
	assert_non_null(strstr(issues->str, "$.services[0].endpoints[0]: "));
	assert_non_null(strstr(issues->str, "$.services[0].methods[0]: "));
	assert_non_null(strstr(issues->str, "$: key \"x\" is not known"));
	g_string_free(issues, TRUE);
}

/* Fails if the declared idempotency or deadline of a method is lost. */
static void declarations_are_read(void **state)
{
	GString *issues = g_string_new(NULL);
	const schema_method_t *method;
	schema_t *schema;

	(void)state;
	schema = read_text(
		"{\"priorities\":[{\"name\":\"a\",\"floor_percent\":9}],"
		"\"services\":[{\"name\":\"s\",\"slots\":3,"
		"\"connections\":1,\"probes_per_second\":0.5,"
		"\"instance_list\":\"s\",\"methods\":[{\"name\":\"m\","
		"\"priority\":\"a\",\"idempotent\":false,"
		"\"deadline_ms\":5}]}]}",
		issues);
	assert_string_equal(issues->str, "");
	assert_non_null(schema);
	method = schema_find_method(schema_find_service(schema, "s"), "m");
	assert_false(method->idempotent);
	assert_int_equal(method->deadline, 5 * G_TIME_SPAN_MILLISECOND);
	schema_free(schema);
	g_string_free(issues, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_error_is_reported),
		cmocka_unit_test(declarations_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
