/*
 * Measures the processor time of the steps in which an instance takes a
 * configuration of the platform's format into use and passes it on, and of
 * taking a list of endpoints into use. Each step is one call from the main loop
 * or a part of one. Uses no sockets.
 *
 * bench_config  prints milliseconds per step, one column per size.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/cpu_time.h"
#include "codec/deflate.h"
#include "codec/json_untrusted.h"
#include "lib/entry/entry.h"
#include "lib/route/route_deadline.h"
#include "lib/route/route_split.h"
#include "platform/config_reader.h"
#include "platform/spec_text.h"

#define RUNS 10
#define ROUTES_PER_SERVICE 25
#define ENDPOINTS 2000
#define ROUTES_PER_SPLIT 10 /* one route in this many has a split */
#define DOCUMENT_BYTES_MAX ((gsize)16 << 20)

static const guint route_counts[] = { 1600, 10000 };
#define SIZES G_N_ELEMENTS(route_counts)

typedef enum {
	STEP_INFLATE,
	STEP_CUT,
	STEP_BEGIN,
	STEP_LONGEST_SLICE,
	STEP_ALL_SLICES,
	STEP_ACTIVATE_FIRST,
	STEP_ACTIVATE_NEXT,
	STEP_REPORT_ENDPOINTS,
	STEP_ROUTE_STATE,
	STEP_DEFLATE,
	STEP_COUNT
} step_t;

static const char *const step_names[STEP_COUNT] = {
	[STEP_INFLATE] = "inflate",
	[STEP_CUT] = "cut out of the store's answer",
	[STEP_BEGIN] = "begin to read",
	[STEP_LONGEST_SLICE] = "read, longest slice",
	[STEP_ALL_SLICES] = "read, all slices",
	[STEP_ACTIVATE_FIRST] = "activate the first version",
	[STEP_ACTIVATE_NEXT] = "activate the next version",
	[STEP_REPORT_ENDPOINTS] = "tick after the activation",
	[STEP_ROUTE_STATE] = "state of all routes",
	[STEP_DEFLATE] = "deflate",
};

static const decode_defaults_t defaults = { .probes_per_second = 42 };

typedef struct {
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	counters_t counters;
	entry_t *entry;
	double used[STEP_COUNT]; /* nanoseconds, of all runs */
} bench_t;

static GTimeSpan read_clock(void *ctx)
{
	return *(const GTimeSpan *)ctx;
}

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	(void)ctx;
	(void)caller_ref;
	(void)answer;
}

static void on_probe(void *ctx, const char *service, const char *endpoint)
{
	(void)ctx;
	(void)service;
	(void)endpoint;
}

static void on_send(void *ctx, const char *address,
		    const peer_message_t *message)
{
	(void)ctx;
	(void)address;
	(void)message;
}

static void start_entry(bench_t *bench)
{
	static const member_t self = { .name = "e1",
				       .data_centre = "z",
				       .caller_address = "127.0.0.1:2",
				       .incarnation = 7 };
	const entry_limits_t limits = {
		.request_ids = { .block_size = 16,
				 .lifetime = G_TIME_SPAN_MINUTE,
				 .retention = G_TIME_SPAN_MINUTE,
				 .answer_bytes_max = 1000 },
		.admission = { .queue_max = 1000, .caller_share_percent = 100 },
		.routing = ROUTING_EXPECTED_LATENCY,
		.entries_max = 204,
		.report_stale_after = G_TIME_SPAN_SECOND,
		.attempts_max = 2,
		.retry_percent = 20,
		.resolve_ttl = G_TIME_SPAN_SECOND,
		.resolve_addresses = 1,
		.shutdown_max = G_TIME_SPAN_SECOND,
		.preferred_instances = 6,
	};
	const entry_actions_t actions = { .answer = on_answer,
					  .send_probe = on_probe,
					  .send_to_peer = on_send,
					  .ctx = bench };

	bench->entry = entry_new(&self, &limits, &actions, &bench->clock,
				 bench->random, &bench->counters);
}

static void append_service(GString *text, guint number)
{
	g_string_append_printf(
		text,
		"%s{\"entry_kind\":\"services\",\"metadata\":{\"name\":"
		"\"service-%u\"},\"spec\":{\"health_path\":\"/healthz\","
		"\"max_connections\":220,\"warmup_s\":3.5,"
		"\"warmup_per_s\":5.8}}",
		number ? "," : "", number);
}

static void append_route(GString *text, guint number, guint services)
{
	guint service = number % services;

	g_string_append_printf(
		text,
		",{\"entry_kind\":\"routes\",\"metadata\":{\"name\":"
		"\"route-%u\"},\"spec\":{\"host\":\"host-%u.example\","
		"\"path_prefix\":\"/part-%u/\",\"route_type\":\"safe\","
		"\"timeout_ms\":1500,\"target_latency_ms\":250,"
		"\"priority\":%u,\"max_attempts\":2,",
		number, service, number, number % 4);
	if (number % ROUTES_PER_SPLIT)
		g_string_append_printf(text, "\"service\":\"service-%u\"}}",
				       service);
	else
		g_string_append_printf(
			text,
			"\"traffic_split\":[{\"service\":\"service-%u\","
			"\"weight\":90},{\"service\":\"service-%u\","
			"\"weight\":10}]}}",
			service, (service + 1) % services);
}

static GBytes *new_document(guint routes)
{
	GString *text = g_string_new("{\"version\":\"r1\",\"resources\":[");
	guint services = routes / ROUTES_PER_SERVICE;
	guint i;

	for (i = 0; i < services; i++)
		append_service(text, i);
	for (i = 0; i < routes; i++)
		append_route(text, i, services);
	g_string_append(text, "]}");
	return g_string_free_to_bytes(text);
}

static void fill_endpoints(endpoint_info_t *infos)
{
	guint i;

	for (i = 0; i < ENDPOINTS; i++) {
		g_snprintf(infos[i].id, sizeof(infos[i].id), "endpoint-%u", i);
		g_snprintf(infos[i].address, sizeof(infos[i].address),
			   "127.0.0.1:%u", i + 1);
		g_strlcpy(infos[i].data_centre, "z",
			  sizeof(infos[i].data_centre));
		infos[i].slots = 2;
	}
}

/* The endpoints of the store, spread over the services. */
static void fill_catalogue(bench_t *bench, guint services)
{
	catalogue_entry_t *entry = g_new0(catalogue_entry_t, 1);
	endpoint_info_t *infos = g_new0(endpoint_info_t, ENDPOINTS);
	guint i;

	fill_endpoints(infos);
	for (i = 0; i < ENDPOINTS; i++) {
		entry->info = infos[i];
		entry->revision = i + 1;
		g_snprintf(entry->service, sizeof(entry->service), "service-%u",
			   i % services);
		catalogue_put(entry_catalogue(bench->entry), entry, bench->now);
	}
	g_free(infos);
	g_free(entry);
}

static void add_used(bench_t *bench, step_t step, double start)
{
	bench->used[step] += cpu_time_ns() - start;
}

static schema_t *read_schema(bench_t *bench, GBytes *document)
{
	double start = cpu_time_ns();
	config_reader_t *reader = config_reader_new(document, &defaults);
	config_reader_state_t state = CONFIG_READER_UNFINISHED;
	double used, longest = 0;
	schema_t *schema;

	add_used(bench, STEP_BEGIN, start);
	while (state == CONFIG_READER_UNFINISHED) {
		start = cpu_time_ns();
		state = config_reader_step(reader, NULL);
		used = cpu_time_ns() - start;
		bench->used[STEP_ALL_SLICES] += used;
		longest = MAX(longest, used);
	}
	bench->used[STEP_LONGEST_SLICE] += longest;
	g_assert_true(state == CONFIG_READER_DONE);
	schema = config_reader_take_schema(reader);
	config_reader_free(reader);
	return schema;
}

static void measure_activation(bench_t *bench, GBytes *document, guint services)
{
	schema_t *first = read_schema(bench, document);
	schema_t *next = read_schema(bench, document);
	double start;

	start_entry(bench);
	fill_catalogue(bench, services);
	start = cpu_time_ns();
	entry_activate_config(bench->entry, 1, first, document);
	add_used(bench, STEP_ACTIVATE_FIRST, start);
	entry_tick(bench->entry);
	start = cpu_time_ns();
	entry_activate_config(bench->entry, 2, next, document);
	add_used(bench, STEP_ACTIVATE_NEXT, start);
	bench->now += G_TIME_SPAN_SECOND;
	start = cpu_time_ns();
	entry_tick(bench->entry);
	add_used(bench, STEP_REPORT_ENDPOINTS, start);
	entry_free(bench->entry);
}

/* The state of routes that have all been used under the version before. */
static void measure_route_state(bench_t *bench, const schema_t *schema)
{
	route_deadlines_t *deadlines = route_deadlines_new();
	route_splits_t *splits = route_splits_new(bench->random);
	const schema_route_t *route;
	double start;

	TAILQ_FOREACH (route, &schema->routes, link) {
		route_splits_next(splits, route);
		route_deadlines_estimate_elapsed(deadlines, route,
						 G_TIME_SPAN_SECOND);
	}
	start = cpu_time_ns();
	route_splits_configure(splits, schema);
	route_deadlines_configure(deadlines, schema);
	add_used(bench, STEP_ROUTE_STATE, start);
	route_splits_free(splits);
	route_deadlines_free(deadlines);
}

static void measure_cut(bench_t *bench, GBytes *document)
{
	GString *answer =
		g_string_new("{\"items\":[{\"metadata\":{\"name\":\"main\","
			     "\"revision\":7},\"spec\":");
	spec_texts_t texts;
	GBytes *body;
	double start;

	g_string_append_len(answer, g_bytes_get_data(document, NULL),
			    (gssize)g_bytes_get_size(document));
	g_string_append(answer, "}],\"more\":false,\"as_of\":7}");
	body = g_string_free_to_bytes(answer);
	start = cpu_time_ns();
	g_assert_true(spec_texts_cut(&texts, body, "items", FALSE));
	add_used(bench, STEP_CUT, start);
	spec_texts_clear(&texts);
	g_bytes_unref(body);
}

static void measure_compression(bench_t *bench, GBytes *document)
{
	GBytes *deflated, *inflated;
	double start = cpu_time_ns();

	deflated = deflate_bytes(document);
	add_used(bench, STEP_DEFLATE, start);
	start = cpu_time_ns();
	inflated = inflate_bytes(g_bytes_get_data(deflated, NULL),
				 g_bytes_get_size(deflated),
				 DOCUMENT_BYTES_MAX);
	add_used(bench, STEP_INFLATE, start);
	g_bytes_unref(inflated);
	g_bytes_unref(deflated);
}

static void init_bench(bench_t *bench)
{
	*bench = (bench_t){ .now = G_TIME_SPAN_HOUR };
	bench->clock = (catk_clock_t){ .now = read_clock, .ctx = &bench->now };
	bench->random = g_rand_new_with_seed(1);
}

/* Sets ms to the mean of each step. Returns the size of the document. */
static gsize measure_config(guint routes, double *ms)
{
	GBytes *document = new_document(routes);
	gsize size = g_bytes_get_size(document);
	schema_t *schema;
	bench_t bench;
	guint i;

	init_bench(&bench);
	for (i = 0; i < RUNS; i++) {
		measure_activation(&bench, document,
				   routes / ROUTES_PER_SERVICE);
		measure_cut(&bench, document);
		measure_compression(&bench, document);
	}
	schema = read_schema(&bench, document);
	measure_route_state(&bench, schema);
	schema_free(schema);
	for (i = 0; i < STEP_COUNT; i++)
		ms[i] = bench.used[i] / RUNS / 1e6;
	/* Two schemas are read in each run, and one after the last. */
	for (i = STEP_BEGIN; i <= STEP_ALL_SLICES; i++)
		ms[i] *= (double)RUNS / (2 * RUNS + 1);
	ms[STEP_ROUTE_STATE] *= RUNS; /* measured once */
	g_rand_free(bench.random);
	g_bytes_unref(document);
	return size;
}

static double set_endpoints_ms(bench_t *bench, const endpoint_info_t *infos)
{
	double start = cpu_time_ns();

	g_assert_true(entry_set_endpoints(bench->entry, "service-0", infos,
					  ENDPOINTS));
	return (cpu_time_ns() - start) / 1e6;
}

/* An answer of the store that lists all endpoints. */
static GBytes *new_endpoint_list(void)
{
	GString *text = g_string_new("{\"items\":[");
	guint i;

	for (i = 0; i < ENDPOINTS; i++)
		g_string_append_printf(
			text,
			"%s{\"kind\":\"servers\",\"metadata\":{\"name\":"
			"\"endpoint-%u\",\"revision\":%u},\"spec\":{"
			"\"service\":\"service-0\",\"address\":"
			"\"127.0.0.1:%u\",\"zone\":\"z\",\"version\":\"v1\","
			"\"max_concurrency\":2,\"state\":\"ready\","
			"\"warmup_left_ms\":0,\"sequence\":4,\"born\":5}}",
			i ? "," : "", i, i + 1, i + 1);
	g_string_append(text, "],\"more\":false,\"as_of\":7}");
	return g_string_free_to_bytes(text);
}

/* Parses the list and decodes its elements, as one step of the loop does. */
static double read_list_ms(GBytes *list)
{
	catalogue_entry_t *entry = g_new0(catalogue_entry_t, 1);
	gsize size;
	const char *text = g_bytes_get_data(list, &size);
	double start = cpu_time_ns();
	JsonNode *root = json_parse_untrusted(text, size, NULL);
	JsonArray *items = json_object_get_array_member(
		json_node_get_object(root), "items");
	guint i;

	for (i = 0; i < json_array_get_length(items); i++)
		g_assert_true(decode_endpoint(
			"endpoint",
			json_object_get_member(
				json_array_get_object_element(items, i),
				"spec"),
			entry, NULL));
	json_node_unref(root);
	g_free(entry);
	return (cpu_time_ns() - start) / 1e6;
}

static void measure_endpoints(void)
{
	GBytes *document = new_document(ROUTES_PER_SERVICE);
	endpoint_info_t *infos = g_new0(endpoint_info_t, ENDPOINTS);
	GBytes *list = new_endpoint_list();
	double first = 0, next = 0, read = 0;
	bench_t bench;
	guint i;

	init_bench(&bench);
	fill_endpoints(infos);
	for (i = 0; i < RUNS; i++) {
		start_entry(&bench);
		entry_activate_config(bench.entry, 1,
				      read_schema(&bench, document), document);
		first += set_endpoints_ms(&bench, infos);
		next += set_endpoints_ms(&bench, infos);
		read += read_list_ms(list);
		entry_free(bench.entry);
	}
	printf("%-30s %9.3f\n", "set new endpoints, 2,000", first / RUNS);
	printf("%-30s %9.3f\n", "set known endpoints, 2,000", next / RUNS);
	printf("%-30s %9.3f\n", "read a list, 2,000 endpoints", read / RUNS);
	g_bytes_unref(list);
	g_rand_free(bench.random);
	g_free(infos);
	g_bytes_unref(document);
}

int main(void)
{
	double ms[SIZES][STEP_COUNT];
	gsize bytes[SIZES];
	guint i, step;

	for (i = 0; i < SIZES; i++)
		bytes[i] = measure_config(route_counts[i], ms[i]);
	printf("%-30s", "routes");
	for (i = 0; i < SIZES; i++)
		printf(" %9u", route_counts[i]);
	printf("\n%-30s", "bytes");
	for (i = 0; i < SIZES; i++)
		printf(" %9" G_GSIZE_FORMAT, bytes[i]);
	for (step = 0; step < STEP_COUNT; step++) {
		printf("\n%-30s", step_names[step]);
		for (i = 0; i < SIZES; i++)
			printf(" %9.3f", ms[i][step]);
	}
	printf("\n");
	measure_endpoints();
	return EXIT_SUCCESS;
}
