/*
 * Tests the reading of configurations in slices: the result must be that of
 * reading the document at once, in no slice longer than its bound.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "platform/config_reader.h"

#define ROUTES 1000
#define ROUTE_BYTES_MIN 150

static const decode_defaults_t defaults = { .probes_per_second = 10 };

#define SERVICE                                                       \
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"}," \
	"\"spec\":{\"max_connections\":100}}"
#define ROUTE(name)                                                    \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" name    \
	"\"},\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\"" \
	",\"route_type\":\"safe\",\"timeout_ms\":2000,\"priority\":1," \
	"\"max_attempts\":2,\"service\":\"s\"}}"
#define CONFIG(version, resources) \
	"{\"version\":" version ",\"resources\":[" resources "]}"

/* Returns NULL if the document is invalid. */
static schema_t *read_document(GBytes *document, guint64 *version,
			       guint *slices)
{
	config_reader_t *reader = config_reader_new(document, &defaults);
	config_reader_state_t state = CONFIG_READER_UNFINISHED;
	schema_t *schema = NULL;
	catk_error_t error = { 0 };

	for (*slices = 0; state == CONFIG_READER_UNFINISHED; (*slices)++)
		state = config_reader_step(reader, &error);
	if (state == CONFIG_READER_DONE)
		schema = config_reader_take_schema(reader);
	else
		assert_int_equal(error.kind, CATK_INVALID_ARGUMENT);
	*version = config_reader_version(reader);
	config_reader_free(reader);
	return schema;
}

static schema_t *read_text(const char *text, guint64 *version)
{
	GBytes *document = g_bytes_new_static(text, strlen(text));
	guint slices;
	schema_t *schema = read_document(document, version, &slices);

	g_bytes_unref(document);
	return schema;
}

/* Fails if routes are lost, or a slice reads much more than its bound. */
static void large_configuration_is_read_in_slices(void **state)
{
	GString *text = g_string_new("{\"resources\":[");
	guint64 version;
	GBytes *document;
	schema_t *schema;
	guint i, slices;

	(void)state;
	for (i = 0; i < ROUTES; i++)
		g_string_append_printf(text, ROUTE("r-%u") ",", i);
	g_string_append(text, SERVICE "],\"version\":\"r9\"}");
	document = g_string_free_to_bytes(text);
	schema = read_document(document, &version, &slices);
	g_bytes_unref(document);
	assert_non_null(schema);
	assert_int_equal(version, 9);
	assert_int_equal(g_hash_table_size(schema->routes_by_name), ROUTES);
	assert_true(slices >=
		    ROUTES * ROUTE_BYTES_MIN / CONFIG_READER_SLICE_BYTES);
	schema_free(schema);
}

/* Fails if a document is read other than by a parser of the whole. */
static void unusual_documents_are_read(void **state)
{
	static const char *const documents[] = {
		CONFIG("\"r9\"", ROUTE("a") "," SERVICE),
		" { \"version\" : \"r9\" , \"resources\" : [ " SERVICE
		" , " ROUTE("a") " ] , \"more\" : {} } ",
		CONFIG("\"\\u0072\\u0039\"", ROUTE("a") "," SERVICE),
		CONFIG("\"r9\"", "{\"\\u0065ntry_kind\":\"x\",\"spec\":{}}"
				 "," ROUTE("a") "," SERVICE),
		CONFIG("\"r8\"", "") "//",
		"{\"version\":\"r8\",\"version\":\"r9\",\"resources\":[],"
		"\"resources\":[" ROUTE("a") "," SERVICE "]}",
	};
	guint64 version;
	schema_t *schema;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		schema = read_text(documents[i], &version);
		if (!schema)
			fail_msg("rejected: %s", documents[i]);
		if (version == 9)
			assert_non_null(
				schema_match_route(schema, "a.example", "/x/"));
		schema_free(schema);
	}
}

/* Fails if an invalid document is taken as a configuration. */
static void invalid_documents_are_rejected(void **state)
{
	static const char *const invalid[] = {
		"",
		"null",
		"{\"version\":\"r9\"}",
		"{\"resources\":[]}",
		CONFIG("9", ""),
		CONFIG("\"r0\"", SERVICE),
		CONFIG("\"r9\"", ROUTE("a")),
		CONFIG("\"r9\"", "7"),
		CONFIG("\"r9\"", SERVICE ",{\"entry_kind\":}"),
		CONFIG("\"r9\"", SERVICE "," ROUTE("a") "," ROUTE("a")),
		"{\"version\":\"r9\",\"resources\":[" SERVICE,
		"{\"resources\":[" SERVICE "],\"version\":9}",
	};
	guint64 version;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		if (read_text(invalid[i], &version))
			fail_msg("accepted: %s", invalid[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_configuration_is_read_in_slices),
		cmocka_unit_test(unusual_documents_are_read),
		cmocka_unit_test(invalid_documents_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
