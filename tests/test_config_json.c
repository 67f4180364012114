/*
 * Tests the stored form of the configuration and the rules for changing it: no
 * field may be lost, a change must be reported with its true outcome, and an
 * older version must never replace a newer one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/config_json.h"
#include "lib/config/config.h"
#include "lib/config/config_apply.h"

static void collect(void *ctx, const char *place, const char *message)
{
	g_string_append_printf(ctx, "%s: %s\n", place, message);
}

static config_record_t *record_of(const char *text, guint64 version,
				  GString *issues)
{
	GBytes *document = g_bytes_new_static(text, strlen(text));
	config_record_t *record = config_record_from_json(
		document, version, issues ? collect : NULL, issues);

	g_bytes_unref(document);
	return record;
}

/* Returns the record after changes "c1", "c2" and so on, the first ones. */
static config_record_t *record_after_changes(guint count)
{
	GBytes *schema = g_bytes_new_static("{\"a\":1}", strlen("{\"a\":1}"));
	config_record_t *record = NULL, *next;
	guint i;

	for (i = 1; i <= count; i++) {
		config_change_t change = { .version = i, .time = i };

		g_snprintf(change.change_id, sizeof(change.change_id), "c%u",
			   i);
		next = config_record_new_with_change(record, i - 1, &change,
						     schema);
		config_record_free(record);
		record = next;
	}
	g_bytes_unref(schema);
	return record;
}

/* Fails if a member is lost between writing and reading. */
static void record_survives_round_trip(void **state)
{
	config_record_t *written = record_after_changes(3);
	GBytes *document = config_record_to_json(written);
	config_record_t *read =
		config_record_from_json(document, 3, NULL, NULL);
	GBytes *again;

	(void)state;
	assert_non_null(read);
	assert_string_equal(read->current.change_id, "c3");
	assert_int_equal(config_record_find(read, "c1")->version, 1);
	assert_int_equal(config_record_find(read, "c2")->time, 2);
	again = config_record_to_json(read);
	assert_true(g_bytes_equal(document, again));
	g_bytes_unref(again);
	g_bytes_unref(document);
	config_record_free(read);
	config_record_free(written);
}

/* Fails if the history is unbounded or drops the newest changes. */
static void history_is_bounded(void **state)
{
	config_record_t *record = record_after_changes(CONFIG_HISTORY_MAX + 5);

	(void)state;
	assert_int_equal(record->history_count, CONFIG_HISTORY_MAX);
	assert_null(config_record_find(record, "c4"));
	assert_non_null(config_record_find(record, "c5"));
	assert_true(config_record_has_all_since(record, 5));
	assert_false(config_record_has_all_since(record, 4));
	config_record_free(record);
}

/*
 * Fails if a schema that was stored by hand, without a record of its change, is
 * rejected, or if one error hides others.
 */
static void schema_without_record_is_accepted(void **state)
{
	GString *issues = g_string_new(NULL);
	config_record_t *record = record_of("{\"services\":[]}", 7, issues);

	(void)state;
	assert_non_null(record);
	assert_string_equal(record->current.change_id, "");
	assert_int_equal(record->current.version, 7);
	assert_false(config_record_has_all_since(record, 6));
	config_record_free(record);
	assert_null(record_of("{\"change_id\":1,\"author\":\"a\",\"time\":-1,"
			      "\"x\":0,\"schema\":{},\"history\":[{\"version\":"
			      "0,\"change_id\":\"c\",\"author\":\"\"}]}",
			      1, issues));
	assert_non_null(strstr(issues->str, "$: \"change_id\""));
	assert_non_null(strstr(issues->str, "$: \"time\""));
	assert_non_null(strstr(issues->str, "$: key \"x\""));
	assert_non_null(strstr(issues->str, "$.history[0]: \"version\""));
	assert_non_null(strstr(issues->str, "$.history[0]: \"time\""));
	g_string_free(issues, TRUE);
}

static config_apply_step_t read_step(const char *id, guint64 base, guint count,
				     guint64 *version)
{
	config_record_t *record = record_after_changes(count);
	config_apply_t apply = { .change_id = id, .base = base };
	config_apply_step_t step = config_apply_on_read(&apply, count, record);

	*version = apply.version;
	config_record_free(record);
	return step;
}

/* Fails if a lost response or a conflict is reported as another outcome. */
static void change_is_identified_by_its_id(void **state)
{
	guint64 version;

	(void)state;
	assert_int_equal(read_step("c3", 2, 3, &version),
			 CONFIG_APPLY_ACCEPTED);
	assert_int_equal(version, 3);
	/* The configuration has changed again since. */
	assert_int_equal(read_step("c3", 2, 9, &version),
			 CONFIG_APPLY_ACCEPTED);
	assert_int_equal(version, 3);
	assert_int_equal(read_step("new", 3, 3, &version), CONFIG_APPLY_WRITE);
	assert_int_equal(read_step("new", 2, 3, &version),
			 CONFIG_APPLY_CONFLICT);
	assert_int_equal(version, 3);
	assert_int_equal(read_step("new", 0, 3, &version),
			 CONFIG_APPLY_CONFLICT);
	/* The history no longer goes back far enough. */
	assert_int_equal(read_step("new", 1, 99, &version),
			 CONFIG_APPLY_UNKNOWN);
}

/* Fails if a change that may be stored is reported as not written. */
static void lost_write_stays_in_doubt(void **state)
{
	config_apply_t apply = { .change_id = "c" };

	(void)state;
	assert_int_equal(config_apply_on_timeout(&apply),
			 CONFIG_APPLY_NOT_WRITTEN);
	assert_int_equal(config_apply_on_write(&apply, CONFIG_WRITE_IN_DOUBT,
					       0),
			 CONFIG_APPLY_READ);
	assert_int_equal(config_apply_on_write(&apply, CONFIG_WRITE_REFUSED, 0),
			 CONFIG_APPLY_READ);
	assert_int_equal(config_apply_on_timeout(&apply), CONFIG_APPLY_UNKNOWN);
}

static config_activate_result_t activate(config_t *config, guint64 version)
{
	GBytes *document = g_bytes_new_static("{}", 2);
	config_activate_result_t result =
		config_activate(config, version, schema_new(), document);

	g_bytes_unref(document);
	return result;
}

/* Fails if an older or rejected version becomes active. */
static void version_never_decreases(void **state)
{
	counters_t counters = { 0 };
	config_t *config = config_new(&counters);

	(void)state;
	assert_int_equal(activate(config, 5), CONFIG_ACTIVATED);
	assert_int_equal(activate(config, 4), CONFIG_STALE);
	assert_int_equal(activate(config, 5), CONFIG_STALE);
	config_reject(config, 3);
	config_reject(config, 7);
	config_reject(config, 7);
	assert_int_equal(counters.value[COUNTER_CONFIG_REJECTED], 1);
	assert_int_equal(config_seen_version(config), 7);
	assert_int_equal(config_version(config), 5);
	assert_int_equal(activate(config, 6), CONFIG_ACTIVATED);
	config_free(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(record_survives_round_trip),
		cmocka_unit_test(history_is_bounded),
		cmocka_unit_test(schema_without_record_is_accepted),
		cmocka_unit_test(change_is_identified_by_its_id),
		cmocka_unit_test(version_never_decreases),
		cmocka_unit_test(lost_write_stays_in_doubt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
