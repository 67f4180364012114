/*
 * Tests the check of a configuration before it is sent: what has no effect or
 * contradicts itself must be found, a sound one must pass, and no key may be
 * printed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "tests/support.h"

#define KEY_MARK "hush"

#define ROUTE(name, host, spec)                                           \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" name       \
	"\"},\"spec\":{\"host\":\"" host "\",\"path_prefix\":\"/" name    \
	"/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"priority\":1," \
	"\"max_attempts\":2," spec "}}"
#define SERVICE(name, more)                                           \
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":{\"max_connections\":100" more "}}"
#define TENANT(name, spec)                                           \
	"{\"entry_kind\":\"tenants\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":{" spec "}}"
#define KEYS(keys) "\"api_keys\":[" keys "]"
#define SOUND                                                \
	ROUTE("r", "a.example", "\"service\":\"s\"")         \
	"," SERVICE("s", "") "," TENANT(                     \
		"o", KEYS("\"hush-1\"") ",\"rate_per_s\":5," \
					"\"burst\":5")

typedef struct {
	int status;
	char *output;
} result_t;

static char *write_config(const char *name, guint version,
			  const char *resources)
{
	return write_build_file(name,
				"{\"version\":\"r%u\",\"resources\":[%s]}",
				version, resources);
}

/* Runs config check; against and json may be NULL. */
static result_t run(const char *file, const char *against, const char *json)
{
	char *log = write_build_file("config-check.log", "%s", "");
	result_t result = { 0 };
	process_t *process;

	if (against)
		process = process_start_logged(log, "catkinctl", "config",
					       "check", file, "--against",
					       against, json, NULL);
	else
		process = process_start_logged(log, "catkinctl", "config",
					       "check", file, json, NULL);
	result.status = process_wait(process);
	process_free(process);
	assert_true(g_file_get_contents(log, &result.output, NULL, NULL));
	assert_null(strstr(result.output, KEY_MARK));
	g_free(log);
	return result;
}

/* Fails unless the check finds exactly this line. */
static void assert_finds(const char *resources, const char *line)
{
	char *file = write_config("check.json", 7, resources);
	result_t result = run(file, NULL, NULL);

	if (result.status != 1 || !strstr(result.output, line) ||
	    strchr(result.output, '\n') != strrchr(result.output, '\n'))
		fail_msg("not \"%s\", but status %d and:\n%s", line,
			 result.status, result.output);
	g_free(result.output);
	g_free(file);
}

/* Fails if a configuration without faults is blamed. */
static void sound_config_is_clean(void **state)
{
	char *file = write_config("check.json", 7, SOUND);
	result_t result = run(file, NULL, NULL);

	(void)state;
	assert_string_equal(result.output, "");
	assert_int_equal(result.status, 0);
	g_free(result.output);
	g_free(file);
}

/* Fails if a declaration that no request can reach is not found. */
static void unreachable_declarations_are_found(void **state)
{
	(void)state;
	assert_finds(
		ROUTE("r", "a.example",
		      "\"service\":\"s\"") ","
					   "{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"q\"},"
					   "\"spec\":{\"host\":\"A.Example\",\"path_prefix\":\"/r/\","
					   "\"route_type\":\"safe\",\"timeout_ms\":2000,"
					   "\"priority\":1,\"max_attempts\":2,\"service\":\"s\"}}," SERVICE(
						   "s", ""),
		"never_matches: resources[1].spec.path_prefix: route "
		"\"r\" comes first");
	assert_finds(ROUTE("r", "a.example:80",
			   "\"service\":\"s\"") "," SERVICE("s", ""),
		     "never_matches: resources[0].spec.host: ");
	assert_finds(
		ROUTE("r", "a.example",
		      "\"traffic_split\":[{\"service\":\"s\",\"weight\":"
		      "1},{\"service\":\"t\",\"weight\":0}]") "," SERVICE("s",
									  "") "," SERVICE("t",
											  ""),
		"never_matches: resources[0].spec.traffic_split: service "
		"\"t\" has weight 0");
	assert_finds(ROUTE("r", "a.example", "\"service\":\"s\"") "," SERVICE(
			     "s", "") "," SERVICE("t", ""),
		     "unused: resources[2]: no route refers");
	assert_finds(SOUND "," TENANT("idle", ""),
		     "unused: resources[3].spec.api_keys: ");
	assert_finds(ROUTE("r", "a.example",
			   "\"public\":true,\"service\":\"s\"") "," SERVICE("s",
									    ""),
		     "unused: resources[0].spec.public: ");
}

/* Fails if values that contradict each other are not found. */
static void contradictions_are_found(void **state)
{
	(void)state;
	assert_finds(
		ROUTE("r", "a.example",
		      "\"target_latency_ms\":2001,\"service\":\"s\"") "," SERVICE("s",
										  ""),
		"contradiction: resources[0].spec.target_latency_ms: the "
		"objective of 2001 ms is above the deadline of 2000 ms");
	assert_finds(
		ROUTE("r", "a.example",
		      "\"traffic_split\":[{\"service\":\"s\",\"weight\":"
		      "1},{\"service\":\"s\",\"weight\":2}]") "," SERVICE("s",
									  ""),
		"contradiction: resources[0].spec.traffic_split: ");
	assert_finds(ROUTE("r", "a.example", "\"service\":\"s\"") "," SERVICE(
			     "s", ",\"warmup_s\":3"),
		     "contradiction: resources[1].spec.warmup_per_s: ");
	assert_finds(ROUTE("r", "a.example", "\"service\":\"s\"") "," SERVICE(
			     "s", ",\"warmup_per_s\":3"),
		     "contradiction: resources[1].spec.warmup_s: ");
	assert_finds(SOUND "," TENANT("p", KEYS("\"hush-2\"") ",\"burst\":5"),
		     "contradiction: resources[3].spec.burst: ");
	assert_finds(SOUND ",{\"entry_kind\":\"limits\",\"metadata\":{},"
			   "\"spec\":{\"header_timeout_ms\":500,"
			   "\"idle_timeout_ms\":300}}",
		     "contradiction: resources[3].spec.header_timeout_ms: ");
	assert_finds(
		"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"q\"},"
		"\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/\","
		"\"route_type\":\"safe\",\"timeout_ms\":2000,"
		"\"priority\":1,\"max_attempts\":11,\"service\":\"s\"}}," SERVICE(
			"s", ""),
		"contradiction: resources[0].spec.max_attempts: ");
}

/* Fails if only the first error is named, or a follow-up error is added. */
static void all_errors_are_listed(void **state)
{
	char *file = write_config(
		"check.json", 7,
		ROUTE("r", "a.example",
		      "\"service\":\"s\"") ","
					   "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"},"
					   "\"spec\":{}}," TENANT(
						   "o",
						   KEYS("\"hush-1\",\"hush-1\"")));
	result_t result = run(file, NULL, "--json");

	(void)state;
	assert_int_equal(result.status, 1);
	assert_non_null(
		strstr(result.output, "\"resources[1].spec.max_connections\""));
	assert_non_null(
		strstr(result.output, "\"resources[2].spec.api_keys[1]\""));
	assert_null(strstr(result.output, "resources[0]"));
	g_free(result.output);
	g_free(file);
}

/* Fails if a change is missed, or a key is printed. */
static void differences_are_listed(void **state)
{
	char *before =
		write_config("before.json", 7, SOUND "," SERVICE("gone", ""));
	char *after = write_config(
		"after.json", 7,
		ROUTE("r", "a.example", "\"target_latency_ms\":100,\"service\":\"s\"") "," SERVICE(
			"s",
			"") "," SERVICE("new",
					"") "," TENANT("o",
						       KEYS("\"hush-2\",\"hush-3\"") ",\"rate_per_s\":6,\"burst\":5"));
	result_t result = run(after, before, NULL);

	(void)state;
	assert_int_equal(result.status, 1);
	assert_non_null(strstr(result.output, "version: r7 is not above r7"));
	assert_non_null(strstr(result.output,
			       "difference: removed: services \"gone\""));
	assert_non_null(
		strstr(result.output, "difference: added: resources[2]: "));
	assert_non_null(strstr(result.output,
			       "resources[0].spec.target_latency_ms: 0 ms -> "
			       "100 ms"));
	assert_non_null(
		strstr(result.output, "resources[3].spec.rate_per_s: 5 -> 6"));
	assert_non_null(strstr(result.output, "resources[3].spec.api_keys: 2 "
					      "added, 1 withdrawn"));
	g_free(result.output);
	g_free(before);
	g_free(after);
}

/* Fails if what cannot be read passes as clean, or as a finding. */
static void unreadable_input_is_told_apart(void **state)
{
	char *file = write_build_file("check.json", "%s",
				      "{\"api_keys\":[\"hush-1\" \"hush-2\"]}");
	char *sound = write_config("sound.json", 8, SOUND);
	result_t result = run(file, NULL, NULL);

	(void)state;
	assert_int_equal(result.status, 2);
	g_free(result.output);
	result = run("no-such-file", NULL, NULL);
	assert_int_equal(result.status, 2);
	g_free(result.output);
	result = run(sound, file, NULL);
	assert_int_equal(result.status, 2);
	g_free(result.output);
	g_free(sound);
	g_free(file);
}

/* Fails if a schema file is not checked, or its errors have no place. */
static void schema_files_are_checked(void **state)
{
	char *file = write_build_file("check.json", "%s", "{\"services\":5}");
	result_t result = run("examples/schema-local.json", NULL, NULL);

	(void)state;
	assert_string_equal(result.output, "");
	assert_int_equal(result.status, 0);
	g_free(result.output);
	result = run(file, NULL, NULL);
	assert_int_equal(result.status, 1);
	assert_non_null(strstr(result.output, "error: $"));
	g_free(result.output);
	g_free(file);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sound_config_is_clean),
		cmocka_unit_test(unreachable_declarations_are_found),
		cmocka_unit_test(contradictions_are_found),
		cmocka_unit_test(all_errors_are_listed),
		cmocka_unit_test(differences_are_listed),
		cmocka_unit_test(unreadable_input_is_told_apart),
		cmocka_unit_test(schema_files_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
