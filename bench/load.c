/*
 * Load generator for a range of entries (load balancer instances). Each stream
 * of calls is open loop, with Poisson arrivals at a rate, or closed loop, with
 * a fixed concurrency. Prints a JSON report with counts and latency quantiles
 * of each stream.
 *
 * A stream is SERVICE/METHOD:RATE:DEADLINE_MS[:id]. RATE 0 means closed loop;
 * ":id" sends a request id with each call. With --direct, calls go to fake
 * upstreams instead of entries.
 */
#include <argp.h>
#include <gsl/gsl_histogram.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "codec/dump_json.h"
#include "lib/common/intrusive.h"

#define LATENCY_BINS 2000
#define LATENCY_MIN_MS 0.01
#define LATENCY_MAX_MS 100000.0
#define TICK_MS 1
#define IN_FLIGHT_MAX 20000 /* calls beyond it are counted as not sent */
#define ID_LOW_WATERMARK 16 /* ids left when the next block is requested */
/* Ids are replaced this long before they expire. */
#define ID_EXPIRY_MARGIN (500 * G_TIME_SPAN_MILLISECOND)
#define CONNECTIONS_MAX 20000

/* The current block of request ids for calls to one entry. */
typedef struct {
	guint port;
	gboolean resolve_in_flight;
	char *prefix;
	gint64 next;
	gint64 end;
	GTimeSpan expiry;
} entry_ids_t;

/* Calls of one method with their results. */
typedef struct stream {
	TAILQ_ENTRY(stream) link;
	char *path;
	char *label;
	double rate;
	guint deadline_ms;
	gboolean with_id;
	double next; /* instant of the next arrival, in microseconds */
	guint in_flight;
	guint64 sent, not_sent, ok, late, refused, unknown, failed;
	guint64 measured; /* latencies in the histogram */
	gsl_histogram *latencies;
} stream_t;

typedef struct {
	stream_t *stream;
	SoupMessage *message;
	GTimeSpan started;
} request_t;

static struct {
	guint port, count, concurrency, seed, connections, resolve_shift;
	double seconds, warmup;
	gboolean direct;
	char *caller;
	TAILQ_HEAD(stream_list, stream) streams;
	entry_ids_t *ids;
	GRand *random;
	SoupSession *session;
	GTimeSpan begin, end;
	guint64 attempt;
	guint round_robin;
	GMainLoop *loop;
} load = { .port = 8100,
	   .count = 1,
	   .concurrency = 1,
	   .seed = 1,
	   .connections = CONNECTIONS_MAX,
	   .seconds = 5,
	   .warmup = 1,
	   .caller = "load" };

static GTimeSpan now_us(void)
{
	return g_get_monotonic_time();
}

static void start_call(stream_t *stream);

static void count_answer(stream_t *stream, const SoupMessage *message,
			 GBytes *body, double ms)
{
	SoupMessage *answer = (SoupMessage *)message;
	const char *outcome;

	if (!body) {
		stream->failed++;
		return;
	}
	if (soup_message_get_status(answer) == SOUP_STATUS_OK) {
		if (ms > stream->deadline_ms)
			stream->late++;
		else
			stream->ok++;
		stream->measured++;
		gsl_histogram_increment(stream->latencies,
					CLAMP(ms, LATENCY_MIN_MS,
					      LATENCY_MAX_MS * 0.99));
		return;
	}
	outcome = soup_message_headers_get_one(
		soup_message_get_response_headers(answer),
		"Catkinstall-Outcome");
	if (g_strcmp0(outcome, "not_run") == 0)
		stream->refused++;
	else
		stream->unknown++;
}

static void quit_when_idle(void)
{
	stream_t *stream;

	if (now_us() < load.end)
		return;
	TAILQ_FOREACH (stream, &load.streams, link)
		if (stream->in_flight)
			return;
	g_main_loop_quit(load.loop);
}

static void on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	request_t *request = data;
	stream_t *stream = request->stream;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	double ms =
		(double)(now_us() - request->started) / G_TIME_SPAN_MILLISECOND;

	stream->in_flight--;
	if (request->started >= load.begin)
		count_answer(stream, request->message, body, ms);
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(request->message);
	g_free(request);
	if (stream->rate == 0 && now_us() < load.end)
		start_call(stream);
	quit_when_idle();
}

static void on_resolved(GObject *source, GAsyncResult *result, gpointer data)
{
	entry_ids_t *ids = data;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	JsonNode *root = NULL;
	JsonObject *block;
	gchar *text;
	gsize size;

	ids->resolve_in_flight = FALSE;
	if (!body)
		return;
	text = g_strndup(g_bytes_get_data(body, &size), g_bytes_get_size(body));
	root = json_from_string(text, NULL);
	if (root &&
	    json_object_has_member(json_node_get_object(root), "request_ids")) {
		block = json_object_get_object_member(
			json_node_get_object(root), "request_ids");
		g_free(ids->prefix);
		ids->prefix = g_strdup(
			json_object_get_string_member(block, "prefix"));
		ids->next = json_object_get_int_member(block, "first");
		ids->end =
			ids->next + json_object_get_int_member(block, "count");
		ids->expiry = now_us() + json_object_get_int_member(
						 block, "expires_in_ms") *
						 G_TIME_SPAN_MILLISECOND;
	}
	g_clear_pointer(&root, json_node_unref);
	g_free(text);
	g_bytes_unref(body);
}

static void resolve(entry_ids_t *ids)
{
	guint index = (guint)(ids - load.ids) + load.resolve_shift;
	gchar *uri = g_strdup_printf("http://127.0.0.1:%u/v1/resolve",
				     load.ids[index % load.count].port);
	SoupMessage *message = soup_message_new(SOUP_METHOD_GET, uri);

	ids->resolve_in_flight = TRUE;
	soup_session_send_and_read_async(load.session, message,
					 G_PRIORITY_DEFAULT, NULL, on_resolved,
					 ids);
	g_object_unref(message);
	g_free(uri);
}

/* Returns the next request id for the entry, or NULL if there is none. */
static gchar *take_id(entry_ids_t *ids)
{
	if (!ids->resolve_in_flight &&
	    (ids->end - ids->next <= ID_LOW_WATERMARK ||
	     now_us() > ids->expiry - ID_EXPIRY_MARGIN))
		resolve(ids);
	if (ids->next >= ids->end ||
	    now_us() > ids->expiry - ID_EXPIRY_MARGIN / 2)
		return NULL;
	return g_strdup_printf("%s.%" G_GINT64_FORMAT, ids->prefix,
			       ids->next++);
}

/* Returns FALSE if there is no request id to send. */
static gboolean set_headers(stream_t *stream, SoupMessage *message,
			    entry_ids_t *ids)
{
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	gchar *text = g_strdup_printf("%u", stream->deadline_ms);
	gchar *id;

	soup_message_headers_append(headers, "Catkinstall-Deadline-Ms", text);
	soup_message_headers_append(headers, "Catkinstall-Caller", load.caller);
	g_free(text);
	if (load.direct) {
		text = g_strdup_printf("load-%" G_GUINT64_FORMAT,
				       ++load.attempt);
		soup_message_headers_append(headers, "Attempt-Id", text);
		g_free(text);
	}
	if (!stream->with_id || load.direct)
		return TRUE;
	id = take_id(ids);
	if (!id)
		return FALSE;
	soup_message_headers_append(headers, "Catkinstall-Request-Id", id);
	g_free(id);
	return TRUE;
}

static void start_call(stream_t *stream)
{
	entry_ids_t *ids = &load.ids[load.round_robin++ % load.count];
	gchar *uri = g_strdup_printf("http://127.0.0.1:%u%s%s", ids->port,
				     load.direct ? "" : "/v1/call",
				     stream->path);
	SoupMessage *message = soup_message_new(SOUP_METHOD_POST, uri);
	GBytes *body = g_bytes_new_static("measured call", 13);
	gboolean measured = now_us() >= load.begin;
	request_t *request;

	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_set_request_body_from_bytes(
		message, "application/octet-stream", body);
	if (stream->in_flight >= IN_FLIGHT_MAX ||
	    !set_headers(stream, message, ids)) {
		stream->not_sent += measured;
		g_object_unref(message);
		goto out;
	}
	stream->sent += measured;
	stream->in_flight++;
	request = g_new0(request_t, 1);
	request->stream = stream;
	request->message = message;
	request->started = now_us();
	soup_session_send_and_read_async(load.session, message,
					 G_PRIORITY_DEFAULT, NULL, on_answer,
					 request);
out:
	g_bytes_unref(body);
	g_free(uri);
}

static gboolean on_tick(gpointer data)
{
	GTimeSpan now = now_us();
	stream_t *stream;

	(void)data;
	TAILQ_FOREACH (stream, &load.streams, link)
		while (stream->rate > 0 && now < load.end &&
		       stream->next <= (double)now) {
			start_call(stream);
			stream->next -= log(1 - g_rand_double(load.random)) /
					stream->rate * G_TIME_SPAN_SECOND;
		}
	quit_when_idle();
	return G_SOURCE_CONTINUE;
}

/* Upper bound of the bin with the quantile, in milliseconds. */
static double quantile(const stream_t *stream, double q)
{
	double sum = 0, lower, upper = 0;
	size_t i;

	for (i = 0; i < LATENCY_BINS; i++) {
		sum += gsl_histogram_get(stream->latencies, i);
		gsl_histogram_get_range(stream->latencies, i, &lower, &upper);
		if (sum >= q * (double)stream->measured)
			break;
	}
	return upper;
}

static void report(void)
{
	JsonBuilder *builder = json_builder_new();
	dump_writer_t w = dump_json_writer(builder);
	double seconds = (double)(load.end - load.begin) / G_TIME_SPAN_SECOND;
	stream_t *stream;
	gchar *text;

	w.begin_object(w.ctx, NULL);
	TAILQ_FOREACH (stream, &load.streams, link) {
		w.begin_object(w.ctx, stream->label);
		w.integer(w.ctx, "sent", (gint64)stream->sent);
		w.integer(w.ctx, "not_sent", (gint64)stream->not_sent);
		w.integer(w.ctx, "ok_in_deadline", (gint64)stream->ok);
		w.integer(w.ctx, "ok_late", (gint64)stream->late);
		w.integer(w.ctx, "refused_not_run", (gint64)stream->refused);
		w.integer(w.ctx, "unknown", (gint64)stream->unknown);
		w.integer(w.ctx, "no_answer", (gint64)stream->failed);
		w.number(w.ctx, "ok_per_second", (double)stream->ok / seconds);
		w.number(w.ctx, "p50_ms", quantile(stream, 0.5));
		w.number(w.ctx, "p95_ms", quantile(stream, 0.95));
		w.number(w.ctx, "p99_ms", quantile(stream, 0.99));
		w.number(w.ctx, "p999_ms", quantile(stream, 0.999));
		w.end_object(w.ctx);
	}
	w.end_object(w.ctx);
	text = json_builder_to_text(builder);
	printf("%s\n", text);
	g_free(text);
	g_object_unref(builder);
}

static void add_stream(const char *text, struct argp_state *state)
{
	gchar **parts = g_strsplit(text, ":", 4);
	stream_t *stream = g_new0(stream_t, 1);
	double edges[LATENCY_BINS + 1];
	guint i;

	if (g_strv_length(parts) < 3)
		argp_error(state,
			   "a stream is SERVICE/METHOD:RATE:DEADLINE_MS[:id]");
	stream->path = g_strdup_printf("/%s", parts[0]);
	stream->label = g_strdup(parts[0]);
	stream->rate = g_ascii_strtod(parts[1], NULL);
	stream->deadline_ms = (guint)atoi(parts[2]);
	stream->with_id = parts[3] != NULL;
	for (i = 0; i <= LATENCY_BINS; i++)
		edges[i] = LATENCY_MIN_MS * pow(LATENCY_MAX_MS / LATENCY_MIN_MS,
						(double)i / LATENCY_BINS);
	stream->latencies = gsl_histogram_alloc(LATENCY_BINS);
	gsl_histogram_set_ranges(stream->latencies, edges, LATENCY_BINS + 1);
	TAILQ_INSERT_TAIL(&load.streams, stream, link);
	g_strfreev(parts);
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	switch (key) {
	case 'p':
		load.port = (guint)atoi(argument);
		break;
	case 'n':
		load.count = (guint)atoi(argument);
		break;
	case 'c':
		load.concurrency = (guint)atoi(argument);
		break;
	case 't':
		load.seconds = g_ascii_strtod(argument, NULL);
		break;
	case 'w':
		load.warmup = g_ascii_strtod(argument, NULL);
		break;
	case 'd':
		load.direct = TRUE;
		break;
	case 'r':
		load.seed = (guint)atoi(argument);
		break;
	case 'a':
		load.caller = argument;
		break;
	case 'x':
		load.connections = (guint)atoi(argument);
		break;
	case 'i':
		load.resolve_shift = (guint)atoi(argument);
		break;
	case 's':
		add_stream(argument, state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void begin(void)
{
	stream_t *stream;
	guint i;

	load.random = g_rand_new_with_seed(load.seed);
	load.session = soup_session_new_with_options(
		"max-conns", load.connections, "max-conns-per-host",
		load.connections, "proxy-resolver", NULL, NULL);
	load.ids = g_new0(entry_ids_t, load.count);
	for (i = 0; i < load.count; i++)
		load.ids[i].port = load.port + i;
	load.begin = now_us() + (GTimeSpan)(load.warmup * G_TIME_SPAN_SECOND);
	load.end = load.begin + (GTimeSpan)(load.seconds * G_TIME_SPAN_SECOND);
	TAILQ_FOREACH (stream, &load.streams, link) {
		stream->next = (double)now_us();
		for (i = 0; stream->rate == 0 && i < load.concurrency; i++)
			start_call(stream);
	}
	g_timeout_add(TICK_MS, on_tick, NULL);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "First port", 0 },
		{ "count", 'n', "N", 0, "Number of ports, used in turn", 0 },
		{ "concurrency", 'c', "N", 0,
		  "Concurrent calls of a closed loop", 0 },
		{ "seconds", 't', "S", 0, "Duration of the measurement", 0 },
		{ "warmup", 'w', "S", 0, "Warm-up before the measurement", 0 },
		{ "direct", 'd', NULL, 0, "Call fake upstreams directly", 0 },
		{ "seed", 'r', "N", 0, "Seed of the arrivals", 0 },
		{ "caller", 'a', "NAME", 0, "Name of the caller", 0 },
		{ "connections", 'x', "N", 0, "Maximum number of connections",
		  0 },
		{ "resolve-shift", 'i', "N", 0,
		  "Take ids from the Nth next port, so that calls are forwarded",
		  0 },
		{ "stream", 's', "STREAM", 0,
		  "SERVICE/METHOD:RATE:DEADLINE_MS[:id]; repeatable", 0 },
		{ 0 }
	};
	const struct argp argp = { .options = options, .parser = parse_option };

	TAILQ_INIT(&load.streams);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	load.loop = g_main_loop_new(NULL, FALSE);
	begin();
	g_main_loop_run(load.loop);
	report();
	return EXIT_SUCCESS;
}
