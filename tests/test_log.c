/* Tests the event log: one JSON object per line, and a limit of the rate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <stdio.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "net/log.h"

/* More lines than the rate limit and the burst allow during the test. */
#define FLOOD_LINES 20000

static counters_t counters;

/* Returns the lines that function writes to standard output. */
static gchar **capture_lines(void (*function)(const event_log_t *log))
{
	gchar *path = g_strdup_printf(
		"%s/log.txt",
		g_getenv("TEST_BUILD") ? g_getenv("TEST_BUILD") : "build");
	int output = dup(STDOUT_FILENO);
	event_log_t log;
	gchar **lines;
	gchar *text;

	fflush(stdout);
	assert_non_null(freopen(path, "w", stdout));
	log = log_start_events(&counters);
	function(&log);
	log_stop_events();
	fflush(stdout);
	dup2(output, STDOUT_FILENO);
	close(output);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(g_strchomp(text), "\n", -1);
	g_free(text);
	g_free(path);
	return lines;
}

static void write_special_characters(const event_log_t *log)
{
	LOG_EVENT(log, "attempt_ended", LOG_TEXT("request", "a\"b\\\n\x01"),
		  LOG_NUMBER("status", -5));
	g_message("said \"so\"");
}

/* Fails if a value with special characters makes its line invalid JSON. */
static void values_are_escaped(void **state)
{
	gchar **lines = capture_lines(write_special_characters);
	JsonNode *node = json_from_string(lines[0], NULL);
	JsonObject *object;

	(void)state;
	assert_int_equal(g_strv_length(lines), 2);
	assert_non_null(node);
	object = json_node_get_object(node);
	assert_string_equal(json_object_get_string_member(object, "request"),
			    "a\"b\\\n\x01");
	assert_int_equal(json_object_get_int_member(object, "status"), -5);
	json_node_unref(node);
	node = json_from_string(lines[1], NULL);
	assert_non_null(node);
	assert_string_equal(json_object_get_string_member(
				    json_node_get_object(node), "message"),
			    "said \"so\"");
	json_node_unref(node);
	g_strfreev(lines);
}

static void write_flood(const event_log_t *log)
{
	guint i;

	for (i = 0; i < FLOOD_LINES; i++)
		LOG_EVENT(log, "request_ended", LOG_NUMBER("number", i));
}

/* Fails if lines above the rate limit are written, or dropped uncounted. */
static void flood_is_bounded_and_counted(void **state)
{
	guint64 before = counters.value[COUNTER_LOG_LINES_DROPPED];
	gchar **lines = capture_lines(write_flood);
	guint64 dropped = counters.value[COUNTER_LOG_LINES_DROPPED] - before;

	(void)state;
	assert_true(dropped > 0);
	assert_true(g_strv_length(lines) < FLOOD_LINES / 2);
	assert_true(g_strv_length(lines) + dropped >= FLOOD_LINES);
	g_strfreev(lines);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(values_are_escaped),
		cmocka_unit_test(flood_is_bounded_and_counted),
	};

	log_init("test_log");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
