/*
 * Measures the keys of organisations: decoding a configuration that holds them
 * and finding the organisation of a key.
 *
 * bench_organisations [KEYS]...  prints one line per number of keys, default
 * 1000, 10000 and 100000.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/cpu_time.h"
#include "platform/decode.h"

#define KEYS_PER_ORGANISATION 10
#define DECODE_RUNS 5
#define LOOKUPS 2000000
#define KEY_SIZE 48

static const guint default_keys[] = { 1000, 10000, 100000 };

/* Keys of 32 characters, as random ones are. */
static void format_key(guint number, char *key)
{
	g_snprintf(key, KEY_SIZE, "%08x%08x%08x%08x", number * 2654435761u,
		   number, number * 40503u, ~number);
}

static char *format_config(guint keys)
{
	GString *text = g_string_new("{\"version\":\"r1\",\"resources\":[");
	char key[KEY_SIZE];
	guint i;

	for (i = 0; i < keys; i++) {
		if (i % KEYS_PER_ORGANISATION == 0)
			g_string_append_printf(
				text,
				"%s{\"entry_kind\":\"tenants\",\"metadata\":{"
				"\"name\":\"o%u\"},\"spec\":{\"rate_per_s\":5,"
				"\"burst\":5,\"api_keys\":[",
				i ? "]}}," : "", i / KEYS_PER_ORGANISATION);
		format_key(i, key);
		g_string_append_printf(text, "%s\"%s\"",
				       i % KEYS_PER_ORGANISATION ? "," : "",
				       key);
	}
	g_string_append(text, "]}}]}");
	return g_string_free(text, FALSE);
}

static schema_t *decode(const char *text)
{
	const decode_defaults_t defaults = { .probes_per_second = 10 };
	JsonNode *node = json_from_string(text, NULL);
	guint64 version;
	schema_t *schema = decode_config(node, &defaults, &version, NULL);

	g_assert_nonnull(schema);
	json_node_unref(node);
	return schema;
}

/* Mean CPU time of a parse with its checks, in milliseconds. */
static double decode_ms(const char *text)
{
	double start = cpu_time_ns();
	guint i;

	for (i = 0; i < DECODE_RUNS; i++)
		schema_free(decode(text));
	return (cpu_time_ns() - start) / DECODE_RUNS / 1e6;
}

/* CPU time of a look-up in nanoseconds; every second key is unknown. */
static double lookup_ns(const schema_t *schema, guint keys)
{
	char(*texts)[KEY_SIZE] = g_malloc((gsize)keys * KEY_SIZE);
	guint i, found = 0;
	double start;

	for (i = 0; i < keys; i++)
		format_key(i % 2 ? i : i + keys, texts[i]);
	start = cpu_time_ns();
	/* A stride, so that caches do not hold the next key. */
	for (i = 0; i < LOOKUPS; i++)
		found += organisations_find_by_key(
				 schema->organisations,
				 texts[(guint64)i * 7919 % keys]) != NULL;
	start = (cpu_time_ns() - start) / LOOKUPS;
	g_assert_cmpuint(found, >, 0);
	g_assert_cmpuint(found, <, LOOKUPS);
	g_free(texts);
	return start;
}

static void measure(guint keys)
{
	char *text = format_config(keys);
	schema_t *schema = decode(text);

	printf("%7u %9zu %9.1f %9.0f\n", keys, strlen(text), decode_ms(text),
	       lookup_ns(schema, keys));
	schema_free(schema);
	g_free(text);
}

int main(int argc, char **argv)
{
	guint i;

	printf("   keys     bytes decode ms lookup ns\n");
	for (i = 1; i < (guint)argc; i++)
		measure(MAX((guint)strtoul(argv[i], NULL, 10), 2));
	for (i = 0; argc < 2 && i < G_N_ELEMENTS(default_keys); i++)
		measure(default_keys[i]);
	return EXIT_SUCCESS;
}
