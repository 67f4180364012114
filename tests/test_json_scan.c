/*
 * Tests the search for values in JSON text: what it finds must be what a parser
 * would read, and what it cannot read must be reported as such.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/json_scan.h"

static json_span_t span(const char *text)
{
	return (json_span_t){ text, strlen(text) };
}

/* Fails if brackets, quotes or escapes inside a value end it too early. */
static void values_are_found(void **state)
{
	json_span_t value;

	(void)state;
	assert_int_equal(json_scan_find(span(" {\"a\" : 1,\"b\":[{\"}\":\"]\\"
					     "\"\"}, 2] , \"c\":null}\n"),
					"b", &value),
			 JSON_SCAN_VALUE);
	assert_memory_equal(value.start, "[{\"}\":\"]\\\"\"}, 2]", value.size);
	assert_int_equal(value.size, strlen("[{\"}\":\"]\\\"\"}, 2]"));
	assert_int_equal(json_scan_find(span("{\"a\":1,\"a\":25}"), "a",
					&value),
			 JSON_SCAN_VALUE);
	assert_memory_equal(value.start, "25", 2);
	assert_int_equal(json_scan_find(span("{}"), "a", &value),
			 JSON_SCAN_END);
}

/* Fails if text that a parser rejects or reads differently is taken as read. */
static void unreadable_text_is_reported(void **state)
{
	static const char *const unreadable[] = {
		"",
		"[]",
		"{",
		"{\"a\":1",
		"{\"a\":}",
		"{\"a\"}",
		"{\"a\":1,}",
		"{\"a\":1}x",
		"{a:1}",
		"{\"a\":[}",
		"{\"a\":\"}",
		"{\"\\u0061\":1}",
		"{\"a\":/* */1}",
	};
	json_span_t value;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unreadable); i++)
		if (json_scan_find(span(unreadable[i]), "a", &value) !=
		    JSON_SCAN_UNREADABLE)
			fail_msg("taken as read: %s", unreadable[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(values_are_found),
		cmocka_unit_test(unreadable_text_is_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
