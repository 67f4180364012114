/*
 * Measures the parse time of schema documents.
 *
 * bench_schema FILE...  prints one line per file: endpoints, size and time.
 */
#include <stdio.h>
#include <stdlib.h>

#include "bench/cpu_time.h"
#include "codec/schema_json.h"

#define PARSE_RUNS 20

static guint count_endpoints(const schema_t *schema)
{
	const schema_service_t *service;
	const schema_endpoint_t *endpoint;
	guint count = 0;

	TAILQ_FOREACH (service, &schema->services, link)
		TAILQ_FOREACH (endpoint, &service->endpoints, link)
			count++;
	return count;
}

/* Mean CPU time of a parse in milliseconds. Sets the number of endpoints. */
static double parse_ms(GBytes *document, guint *endpoints)
{
	double start = cpu_time_ns();
	schema_t *schema;
	guint i;

	for (i = 0; i < PARSE_RUNS; i++) {
		schema = schema_from_json(document, NULL, NULL);
		g_assert_nonnull(schema);
		*endpoints = count_endpoints(schema);
		schema_free(schema);
	}
	return (cpu_time_ns() - start) / PARSE_RUNS / 1e6;
}

int main(int argc, char **argv)
{
	GBytes *document;
	gchar *text;
	gsize length;
	guint endpoints;
	double ms;
	int i;

	printf("endpoints   bytes  parse ms\n");
	for (i = 1; i < argc; i++) {
		if (!g_file_get_contents(argv[i], &text, &length, NULL)) {
			fprintf(stderr, "cannot read schema file %s\n",
				argv[i]);
			return EXIT_FAILURE;
		}
		document = g_bytes_new_take(text, length);
		ms = parse_ms(document, &endpoints);
		printf("%9u %7" G_GSIZE_FORMAT " %9.3f\n", endpoints, length,
		       ms);
		g_bytes_unref(document);
	}
	return EXIT_SUCCESS;
}
