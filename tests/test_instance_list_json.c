/*
 * Tests the decoding of instance lists of the object API: a malformed instance
 * must neither be used nor hide the others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/instance_list_json.h"

#define INSTANCE(address)         \
	"{\"address\":\"" address \
	"\",\"state\":\"live\",\"data_centre\":\"k1\"}"

static endpoint_info_t *decode(const char *text, gsize *count)
{
	GBytes *document = g_bytes_new_static(text, strlen(text));
	endpoint_info_t *infos = instance_list_from_json(document, count);

	g_bytes_unref(document);
	return infos;
}

/* Fails if an address that cannot be connected to is used, or hides another. */
static void malformed_instances_are_skipped(void **state)
{
	gsize count;
	endpoint_info_t *infos = decode(
		"{\"instances\":[" INSTANCE("127.0.0.1:70000") "," INSTANCE("127.0.0.1") "," INSTANCE(
			"host:80") ","
				   "7,{\"address\":1e400},{\"a\":\"\\ud800\"}," INSTANCE(
					   "127.0.0.1:80") "]}",
		&count);

	(void)state;
	assert_non_null(infos);
	assert_int_equal(count, 1);
	assert_string_equal(infos[0].address, "127.0.0.1:80");
	g_free(infos);
}

/* Fails if a field is lost, or if leaving instances look live. */
static void fields_are_decoded(void **state)
{
	gsize count;
	endpoint_info_t *infos =
		decode("{\"instances\":[{\"address\":\"10.0.0.1:80\","
		       "\"state\":\"leaving\",\"data_centre\":\"k2\"}]}",
		       &count);

	(void)state;
	assert_non_null(infos);
	assert_int_equal(count, 1);
	assert_true(infos[0].leaving);
	assert_string_equal(infos[0].data_centre, "k2");
	g_free(infos);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(malformed_instances_are_skipped),
		cmocka_unit_test(fields_are_decoded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
