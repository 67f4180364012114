/* Tests that docs/OPERATIONS.md lists all settings and counters. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "codec/settings_json.h"

static char *page;

static void assert_row(char *row)
{
	if (!strstr(page, row))
		fail_msg("docs/OPERATIONS.md lacks the row \"%s\"", row);
	g_free(row);
}

static void assert_setting_row(void *ctx, const char *key, const char *unit,
			       gint64 min, gint64 max, gint64 initial,
			       const char *help)
{
	(void)ctx;
	assert_row(g_strdup_printf("| `%s` | %" G_GINT64_FORMAT
				   " to %" G_GINT64_FORMAT
				   " %s | %" G_GINT64_FORMAT " | %s |",
				   key, min, max, unit, initial, help));
}

/* Fails if a setting, its range, default or unit is missing or outdated. */
static void every_setting_is_listed(void **state)
{
	(void)state;
	settings_describe(assert_setting_row, NULL);
}

/* Fails if a counter or its unit is missing or outdated. */
static void every_counter_is_listed(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < COUNTER_COUNT; i++)
		assert_row(g_strdup_printf("| `%s` | %s | ",
					   counter_name((counter_t)i),
					   counter_unit((counter_t)i)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_setting_is_listed),
		cmocka_unit_test(every_counter_is_listed),
	};

	if (!g_file_get_contents("docs/OPERATIONS.md", &page, NULL, NULL))
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
