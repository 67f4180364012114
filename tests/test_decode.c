/*
 * Tests the decoding of objects in the platform's store: no field may be lost
 * or mixed up, and invalid objects must be rejected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "platform/decode.h"

static const decode_defaults_t defaults = { .probes_per_second = 10 };

static gboolean decode_endpoint_text(const char *text, catalogue_entry_t *entry)
{
	JsonNode *node = json_from_string(text, NULL);
	gboolean ok = decode_endpoint("i-1", node, entry, NULL);

	g_clear_pointer(&node, json_node_unref);
	return ok;
}

/* Fails if a field of a registration is lost or decoded as another one. */
static void endpoint_fields_are_decoded(void **state)
{
	catalogue_entry_t entry;

	(void)state;
	assert_true(decode_endpoint_text(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		"\"zone\":\"z\",\"version\":\"v1\","
		"\"max_concurrency\":3,\"state\":\"draining\","
		"\"warmup_left_ms\":1500,\"sequence\":4,"
		"\"born\":1771668811040}",
		&entry));
	assert_string_equal(entry.service, "s");
	assert_string_equal(entry.info.id, "i-1");
	assert_string_equal(entry.info.address, "10.0.0.1:80");
	assert_string_equal(entry.info.data_centre, "z");
	assert_true(entry.info.leaving);
	assert_int_equal(entry.info.slots, 3);
	assert_int_equal(entry.info.warmup_remaining,
			 1500 * G_TIME_SPAN_MILLISECOND);
	assert_int_equal(entry.sequence, 4);
	assert_int_equal(entry.start_time, 1771668811040);
}

/* Fails if an invalid registration is accepted as an endpoint. */
static void invalid_endpoints_are_rejected(void **state)
{
	static const char *const invalid[] = {
		"null",
		"[]",
		"{}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"resting\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":\"3\",\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":-4}",
	};
	catalogue_entry_t entry;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		if (decode_endpoint_text(invalid[i], &entry))
			fail_msg("accepted as an endpoint: %s", invalid[i]);
}

/* Fails if a number out of range is taken for another number. */
static void endpoint_numbers_out_of_range_are_rejected(void **state)
{
	static const struct {
		const char *member;
		const char *value;
	} invalid[] = {
		{ "max_concurrency", "0" },
		{ "max_concurrency", "2.5" },
		{ "max_concurrency", "4294967299" },
		{ "max_concurrency", "1e300" },
		{ "sequence", "-1" },
		{ "sequence", "1.5" },
		{ "sequence", "1e300" },
		{ "warmup_left_ms", "-1" },
		{ "warmup_left_ms", "9223372036854775807" },
		{ "warmup_left_ms", "1e17" },
		{ "born", "1e300" },
		{ "born", "1.5" },
		{ "born", "\"1\"" },
		{ "born", "null" },
		{ "address", "\"10.0.0.1:70000\"" },
		{ "address", "\"10.0.0.1:0\"" },
		{ "address", "\"10.0.0.1:-1\"" },
		{ "address", "\"10.0.0.1:99999999999999999999\"" },
	};
	catalogue_entry_t entry;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		/* The last of two equal members counts. */
		gchar *text = g_strdup_printf(
			"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
			"\"zone\":\"z\",\"max_concurrency\":3,"
			"\"state\":\"ready\",\"warmup_left_ms\":0,"
			"\"sequence\":4,\"born\":5,\"%s\":%s}",
			invalid[i].member, invalid[i].value);

		if (decode_endpoint_text(text, &entry))
			fail_msg("accepted as an endpoint: %s", text);
		g_free(text);
	}
}

#define SERVICE(name)                                                     \
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" name     \
	"\"},\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":" \
	"220}}"
#define ROUTE(extra)                                                         \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},"        \
	"\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\","          \
	"\"route_type\":\"safe\",\"timeout_ms\":1500,"                       \
	"\"target_latency_ms\":400,\"priority\":1,\"max_attempts\":2," extra \
	"}}"
#define TRAFFIC_SPLIT                                           \
	"\"traffic_split\":[{\"service\":\"s\",\"weight\":90}," \
	"{\"service\":\"t\",\"weight\":10}]"
#define LIMITS                                                  \
	"{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":{" \
	"\"max_header_bytes\":100,\"max_body_bytes\":200,"      \
	"\"header_timeout_ms\":300,\"idle_timeout_ms\":400}}"
/* The last of two equal members counts. */
#define SPLIT_CONFIG_WITH(member, value)              \
	ROUTE(TRAFFIC_SPLIT ",\"" member "\":" value) \
	"," SERVICE("s") "," SERVICE("t") "," LIMITS
#define SPLIT_CONFIG \
	ROUTE(TRAFFIC_SPLIT) "," SERVICE("s") "," SERVICE("t") "," LIMITS

static schema_t *decode_config_text(const char *resources, guint64 *version)
{
	gchar *text = g_strdup_printf("{\"version\":\"r7\",\"resources\":[%s]}",
				      resources);
	JsonNode *node = json_from_string(text, NULL);
	schema_t *schema;

	assert_non_null(node);
	schema = decode_config(node, &defaults, version, NULL);
	json_node_unref(node);
	g_free(text);
	return schema;
}

/* Fails if a field of a route, a split or a limit is lost or mixed up. */
static void config_fields_are_decoded(void **state)
{
	const schema_route_t *route;
	const schema_target_t *target;
	guint64 version;
	schema_t *schema = decode_config_text(SPLIT_CONFIG, &version);

	(void)state;
	assert_non_null(schema);
	assert_int_equal(version, 7);
	route = schema_match_route(schema, "a.example", "/x/1");
	assert_non_null(route);
	assert_true(route->method.idempotent);
	assert_int_equal(route->method.priority, 1);
	assert_int_equal(route->method.deadline,
			 1500 * G_TIME_SPAN_MILLISECOND);
	assert_int_equal(route->objective, 400 * G_TIME_SPAN_MILLISECOND);
	assert_int_equal(route->attempts_max, 2);
	target = TAILQ_LAST(&route->targets, schema_target_list);
	assert_string_equal(target->service, "t");
	assert_int_equal(target->weight, 10);
	assert_int_equal(schema->request_limits.header_bytes_max, 100);
	assert_int_equal(schema->request_limits.idle_timeout,
			 400 * G_TIME_SPAN_MILLISECOND);
	schema_free(schema);
}

/* Fails if an invalid configuration is accepted. */
static void invalid_config_is_rejected(void **state)
{
	static const char *const invalid[] = {
		ROUTE("\"service\":\"missing\"") "," SERVICE("s"),
		ROUTE("\"service\":5") "," SERVICE("s"),
		"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r\"},"
		"\"spec\":{}}",
		"7",
		SPLIT_CONFIG_WITH("timeout_ms", "1e300"),
		SPLIT_CONFIG_WITH("timeout_ms", "18446744073709552"),
		SPLIT_CONFIG_WITH("max_attempts", "4294967298"),
		SPLIT_CONFIG_WITH("priority", "1e300"),
		SPLIT_CONFIG_WITH("target_latency_ms", "1e300"),
		SPLIT_CONFIG_WITH("target_latency_ms", "18446744073709552"),
		ROUTE("\"traffic_split\":[{\"service\":\"s\",\"weight\":"
		      "4294967297}]") "," SERVICE("s"),
		ROUTE("\"traffic_split\":[{\"service\":\"s\",\"weight\":"
		      "0.5}]") "," SERVICE("s"),
	};
	guint64 version;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		if (decode_config_text(invalid[i], &version))
			fail_msg("accepted as a configuration: %s", invalid[i]);
}

#define ORGANISATION(name, spec)                                     \
	"{\"entry_kind\":\"tenants\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":{" spec "}}"

/* Fails if a field of an organisation is lost, or a key finds another one. */
static void organisations_are_decoded(void **state)
{
	const organisation_t *organisation;
	guint64 version;
	schema_t *schema = decode_config_text(
		SPLIT_CONFIG_WITH("public", "true") "," ORGANISATION(
			"acme", "\"api_keys\":[\"k1\",\"k2\"],"
				"\"priority\":1,\"rate_per_s\":27.5,"
				"\"burst\":30") "," ORGANISATION("bare", ""),
		&version);

	(void)state;
	assert_non_null(schema);
	assert_true(TAILQ_FIRST(&schema->routes)->is_public);
	organisation = organisations_find_by_key(schema->organisations, "k2");
	assert_non_null(organisation);
	assert_string_equal(organisation->name, "acme");
	assert_int_equal(organisation->priority, 1);
	assert_true(organisation->rate == 27.5);
	assert_true(organisation->burst == 30);
	organisation = organisations_find(schema->organisations, "bare");
	assert_non_null(organisation);
	assert_int_equal(organisation->priority, ORGANISATION_NO_PRIORITY);
	assert_true(organisation->rate == 0);
	assert_null(organisations_find_by_key(schema->organisations, NULL));
	assert_null(organisations_find_by_key(schema->organisations, "k3"));
	schema_free(schema);
}

/* Fails if a key may stand for two organisations, or for none. */
static void invalid_organisations_are_rejected(void **state)
{
	static const char *const invalid[] = {
		ORGANISATION("a", "\"api_keys\":[\"k\"]") "," ORGANISATION(
			"b", "\"api_keys\":[\"k\"]"),
		ORGANISATION("a", "\"api_keys\":[\"k\",\"k\"]"),
		ORGANISATION("a", "\"api_keys\":[\"\"]"),
		ORGANISATION("a", "\"api_keys\":[\"two words\"]"),
		ORGANISATION("a", "\"api_keys\":[7]"),
		ORGANISATION("a", "\"api_keys\":\"k\""),
		ORGANISATION("a", "") "," ORGANISATION("a", ""),
		ORGANISATION("a\\r\\nX: y", ""),
		ORGANISATION("a", "\"rate_per_s\":-1"),
		ORGANISATION("a", "\"rate_per_s\":\"5\""),
		ORGANISATION("a", "\"burst\":-0.5"),
		ORGANISATION("a", "\"priority\":1.5"),
		SPLIT_CONFIG_WITH("public", "1"),
	};
	guint64 version;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		if (decode_config_text(invalid[i], &version))
			fail_msg("accepted as a configuration: %s", invalid[i]);
}

/* Fails if an operator must search a version for the field that is wrong. */
static void errors_name_the_path_and_the_remedy(void **state)
{
	static const struct {
		const char *resources, *path, *remedy;
	} cases[] = {
		{ SERVICE("s") "," ORGANISATION(
			  "a", "\"api_keys\":[\"k1\",\"k2\",\"k1\"]"),
		  "resources[1].spec.api_keys[2]: ", "own key" },
		{ ORGANISATION("a", "\"api_keys\":[\"k\"]") "," ORGANISATION(
			  "b", "\"api_keys\":[\"k\"]"),
		  "resources[1].spec.api_keys[0]: ", "own key" },
		{ ORGANISATION("a", "\"api_keys\":[\"\"]"),
		  "resources[0].spec.api_keys[0]: ", "visible ASCII" },
		{ ORGANISATION("a", "\"api_keys\":[7]"),
		  "resources[0].spec.api_keys[0]: ", "in quotes" },
		{ ORGANISATION("a", "\"rate_per_s\":-1"),
		  "resources[0].spec.rate_per_s: ", "between 0 and" },
		{ ORGANISATION("a", "\"burst\":-1"),
		  "resources[0].spec.burst: ", "between 0 and" },
		{ ORGANISATION("a", "\"burst\":\"5\""),
		  "resources[0].spec.burst of ", "correct it" },
		{ ORGANISATION("a", "") "," ORGANISATION("a", ""),
		  "resources[1].metadata.name: ", "remove one" },
		{ ROUTE("\"service\":\"missing\"") "," SERVICE("s"),
		  "resources[0].spec.service: ", "" },
		{ ROUTE("\"traffic_split\":[{\"service\":\"s\",\"weight\":"
			"-1}]") "," SERVICE("s"),
		  "resources[0].spec.traffic_split[0]: weight of ",
		  "correct it" },
		{ "7", "resources[0] of ", "correct it" },
	};
	catk_error_t error;
	guint64 version;
	gchar *text;
	JsonNode *node;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strdup_printf(
			"{\"version\":\"r7\",\"resources\":[%s]}",
			cases[i].resources);
		node = json_from_string(text, NULL);
		g_free(text);
		assert_null(decode_config(node, &defaults, &version, &error));
		json_node_unref(node);
		if (!g_str_has_prefix(error.message, cases[i].path) ||
		    !strstr(error.message, cases[i].remedy))
			fail_msg("not \"%s\" but \"%s\"", cases[i].path,
				 error.message);
	}
}

/* Fails if the limit for endpoints that have just started is lost. */
static void warmup_of_services_is_decoded(void **state)
{
	const schema_service_t *service;
	guint64 version;
	schema_t *schema = decode_config_text(
		"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"},"
		"\"spec\":{\"max_connections\":220,\"warmup_s\":3.5,"
		"\"warmup_per_s\":5.8}}",
		&version);

	(void)state;
	assert_non_null(schema);
	service = schema_find_service(schema, "s");
	assert_int_equal(service->warmup_duration,
			 3500 * G_TIME_SPAN_MILLISECOND);
	assert_true(service->warmup_per_second == 5.8);
	schema_free(schema);
	assert_null(decode_config_text(
		"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"},"
		"\"spec\":{\"max_connections\":220,\"warmup_s\":-1}}",
		&version));
}

/* Fails if large answers, which may be requested again, run at most once. */
static void downloads_are_idempotent(void **state)
{
	guint64 version;
	schema_t *schema = decode_config_text(
		"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r\"},"
		"\"spec\":{\"host\":\"a\",\"path_prefix\":\"/\","
		"\"route_type\":\"download\",\"timeout_ms\":10,"
		"\"priority\":0,\"max_attempts\":1,\"service\":\"s\"}}"
		"," SERVICE("s"),
		&version);

	(void)state;
	assert_non_null(schema);
	assert_true(TAILQ_FIRST(&schema->routes)->method.idempotent);
	schema_free(schema);
}

/* Fails if requests of an unknown route type may be repeated. */
static void unknown_route_type_is_not_idempotent(void **state)
{
	guint64 version;
	schema_t *schema = decode_config_text(
		"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r\"},"
		"\"spec\":{\"host\":\"a\",\"path_prefix\":\"/\","
		"\"route_type\":\"novel\",\"timeout_ms\":10,\"priority\":0,"
		"\"max_attempts\":1,\"service\":\"s\"}}," SERVICE("s"),
		&version);

	(void)state;
	assert_non_null(schema);
	assert_false(TAILQ_FIRST(&schema->routes)->method.idempotent);
	schema_free(schema);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoint_fields_are_decoded),
		cmocka_unit_test(invalid_endpoints_are_rejected),
		cmocka_unit_test(endpoint_numbers_out_of_range_are_rejected),
		cmocka_unit_test(config_fields_are_decoded),
		cmocka_unit_test(invalid_config_is_rejected),
		cmocka_unit_test(organisations_are_decoded),
		cmocka_unit_test(invalid_organisations_are_rejected),
		cmocka_unit_test(errors_name_the_path_and_the_remedy),
		cmocka_unit_test(warmup_of_services_is_decoded),
		cmocka_unit_test(downloads_are_idempotent),
		cmocka_unit_test(unknown_route_type_is_not_idempotent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
