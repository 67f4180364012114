/* Tests the times of an instance that the deployment's settings limit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "codec/settings_json.h"

#define MS G_TIME_SPAN_MILLISECOND

static settings_t *read_settings(const char *times)
{
	gchar *text =
		g_strdup_printf("{\"instance\":\"e1\",\"data_centre\":\"k1\","
				"\"caller_address\":\"127.0.0.1:1\","
				"\"config_file\":\"schema.json\"%s}",
				times);
	settings_t *settings = settings_from_json(text, -1, NULL, NULL);

	g_free(text);
	return settings;
}

static void assert_shutdown_max(const char *times, GTimeSpan expected)
{
	settings_t *settings = read_settings(times);

	assert_non_null(settings);
	assert_int_equal(settings->entry.shutdown_max, expected);
	settings_free(settings);
}

/* Fails if a shutdown lasts until the process is killed. */
static void shutdown_ends_before_the_grace(void **state)
{
	(void)state;
	assert_shutdown_max("", 60000 * MS);
	assert_shutdown_max(",\"termination_grace_s\":6", 5500 * MS);
	assert_shutdown_max(",\"termination_grace_s\":4.5", 4000 * MS);
	assert_shutdown_max(",\"termination_grace_s\":1.5", 1250 * MS);
	assert_shutdown_max(",\"termination_grace_s\":0.3", 250 * MS);
	assert_shutdown_max(
		",\"termination_grace_s\":6,\"shutdown_max_ms\":3000",
		3000 * MS);
	assert_null(read_settings(",\"termination_grace_s\":-1"));
	assert_null(read_settings(",\"termination_grace_s\":\"6\""));
}

/* Fails if the last answers are written until the process is killed. */
static void final_writes_end_before_the_grace(void **state)
{
	settings_t *settings = read_settings(",\"termination_grace_s\":1.5");

	(void)state;
	assert_non_null(settings);
	assert_int_equal(settings->final_writes_max, 100 * MS);
	settings_free(settings);
}

/* Fails if callers are told to keep addresses longer than they do. */
static void addresses_are_kept_as_long_as_callers_do(void **state)
{
	settings_t *settings = read_settings(
		",\"resolve_ttl_ms\":2000,\"resolve_ttl_max_s\":1.5");

	(void)state;
	assert_non_null(settings);
	assert_int_equal(settings->entry.resolve_ttl, 1500 * MS);
	settings_free(settings);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shutdown_ends_before_the_grace),
		cmocka_unit_test(final_writes_end_before_the_grace),
		cmocka_unit_test(addresses_are_kept_as_long_as_callers_do),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
