/*
 * Tests the parser for JSON that other programs have written: one malformed
 * value must neither end the process nor hide the rest of the document.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/json_untrusted.h"

/* Returns the document as json-glib writes it, NULL if it is not JSON. */
static char *parse_and_write(const char *text)
{
	JsonNode *node = json_parse_untrusted(text, strlen(text), NULL);
	char *written = node ? json_to_string(node, FALSE) : NULL;

	g_clear_pointer(&node, json_node_unref);
	return written;
}

static void check(const char *text, const char *expected)
{
	char *written = parse_and_write(text);

	assert_non_null(written);
	assert_string_equal(written, expected);
	g_free(written);
}

/* {"a":DEPTH arrays,"b":1} */
static char *nested_document(guint depth)
{
	GString *text = g_string_new("{\"a\":");
	guint i;

	for (i = 0; i < depth; i++)
		g_string_append_c(text, '[');
	g_string_append(text, "\"]}\\\"\"");
	for (i = 0; i < depth; i++)
		g_string_append_c(text, ']');
	g_string_append(text, ",\"b\":1}");
	return g_string_free(text, FALSE);
}

/* Fails if deep nesting ends the process or hides the member after it. */
static void deep_nesting_is_replaced(void **state)
{
	/* The object is the first level. */
	static const guint depths[] = { JSON_DEPTH_MAX, 60000, 250000, 500000 };
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *text = nested_document(depths[i]);
		char *written = parse_and_write(text);

		assert_non_null(written);
		assert_non_null(strstr(written, "[null]"));
		assert_non_null(strstr(written, "\"b\":1"));
		g_free(written);
		g_free(text);
	}
}

/* Fails if nesting within the limit is lost. */
static void allowed_nesting_is_kept(void **state)
{
	char *text = nested_document(JSON_DEPTH_MAX - 1);

	(void)state;
	check(text, text);
	g_free(text);
}

/* Fails if a number out of range reads as another number. */
static void numbers_out_of_range_are_replaced(void **state)
{
	(void)state;
	check("[12345678901234567890123456,1]", "[null,1]");
	check("[9223372036854775808,-9223372036854775809]", "[null,null]");
	check("[9223372036854775807,-9223372036854775808]",
	      "[9223372036854775807,-9223372036854775808]");
	check("[1e400,-1e400,1e1000000000000]", "[null,null,null]");
	check("{\"a\":-1e400}", "{\"a\":null}");
	check("[0,-1,\"1e400\"]", "[0,-1,\"1e400\"]");
}

/* Fails if a character that json-glib rejects hides the whole document. */
static void unreadable_characters_are_replaced(void **state)
{
	(void)state;
	check("[\"\\ud800\",1]", "[\"\xef\xbf\xbd\",1]");
	check("[\"\\udc00x\",1]", "[\"\xef\xbf\xbdx\",1]");
	check("[\"\\ud800\\ud83d\\ude00\"]",
	      "[\"\xef\xbf\xbd\xf0\x9f\x98\x80\"]");
	check("[\"a\\u0000b\"]", "[\"a\xef\xbf\xbd"
				 "b\"]");
	check("[\"\xff\",1]", "[\"\xef\xbf\xbd\",1]");
	check("[\"\\\\ud800\\\"\"]", "[\"\\\\ud800\\\"\"]");
}

/* Fails if a document that is not JSON is accepted, or ends the process. */
static void malformed_documents_are_rejected(void **state)
{
	static const char *const malformed[] = {
		"[",	 "[\"", "[\"\\", "[\"\\u12", "{\"a\":", "[1,]",
		"[tru]", "]",	"\"",	 "[-]",	     "{]",
	};
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(malformed); i++)
		if (json_parse_untrusted(malformed[i], strlen(malformed[i]),
					 NULL))
			fail_msg("accepted: %s", malformed[i]);
}

/* Fails if a random change of a document ends the process. */
static void changed_documents_end_no_process(void **state)
{
	static const char document[] =
		"{\"items\":[{\"metadata\":{\"name\":\"i-1\",\"revision\":7},"
		"\"spec\":{\"a\":[1,-2.5e3,true,null,\"\\ud83d\\ude00\"]}}]}";
	static const char bytes[] = "[]{}\",:\\u0d9e-+.8\xff\0";
	const guint rounds = 20000;
	GRand *random = g_rand_new_with_seed(19);
	char text[sizeof(document)];
	guint i, changes;

	(void)state;
	for (i = 0; i < rounds; i++) {
		JsonNode *node;

		memcpy(text, document, sizeof(text));
		for (changes = 0; changes < 4; changes++)
			text[g_rand_int_range(random, 0, sizeof(text) - 1)] =
				bytes[g_rand_int_range(random, 0,
						       sizeof(bytes) - 1)];
		node = json_parse_untrusted(text, sizeof(text) - 1, NULL);
		g_clear_pointer(&node, json_node_unref);
	}
	g_rand_free(random);
}

/* Fails if a message quotes the document, which may hold keys. */
static void errors_quote_nothing(void **state)
{
	static const char *const documents[] = { "{\"k\":[\"a\" \"hush\"]}",
						 "{\"k\":[\"hush\" \"a\"]}",
						 "{\"k\":hush}",
						 "{\"hush\" 5}" };
	GError *error = NULL;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		assert_null(json_parse_untrusted(documents[i],
						 strlen(documents[i]), &error));
		assert_null(strstr(error->message, "hush"));
		assert_non_null(strstr(error->message, ":1:"));
		g_clear_error(&error);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(deep_nesting_is_replaced),
		cmocka_unit_test(allowed_nesting_is_kept),
		cmocka_unit_test(numbers_out_of_range_are_replaced),
		cmocka_unit_test(unreadable_characters_are_replaced),
		cmocka_unit_test(malformed_documents_are_rejected),
		cmocka_unit_test(changed_documents_end_no_process),
		cmocka_unit_test(errors_quote_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
