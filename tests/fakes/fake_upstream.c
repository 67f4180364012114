/*
 * Fake upstream endpoints for tests and benchmarks. One process serves a range
 * of ports, one endpoint per port, each with slots for concurrent requests, a
 * short queue, load reports, load shedding, draining and cancellation.
 *
 * POST /control?slow=F&fail=0|1&shed=0|1&drain=0|1&sign=0|1|2 changes the
 * endpoint of the port that it is sent to:
 *   slow   factor of the service time
 *   fail   responds at once with status 200 and an empty body
 *   shed   refuses requests
 *   drain  refuses requests and announces that the endpoint is draining
 *   sign   only announces draining, in responses to requests (1) or to probes
 *          (2), and omits the load report
 *
 * POST /stats returns the counters of all endpoints, POST /runs?body=TEXT the
 * number of requests with this body that all endpoints together executed.
 */
#include <argp.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>

#include "codec/dump_json.h"
#include "lib/common/intrusive.h"
#include "tests/fakes/soup_reply.h"

typedef struct endpoint endpoint_t;

/* Where draining is announced while requests are still accepted. */
typedef enum {
	DRAIN_NOTICE_NONE,
	DRAIN_NOTICE_IN_RESPONSES,
	DRAIN_NOTICE_IN_PROBES
} drain_notice_t;

/* A request in the queue or in a slot. */
typedef struct job {
	TAILQ_ENTRY(job) link; /* in the endpoint's queue or running list */
	endpoint_t *endpoint;
	SoupServerMessage *message;
	char *attempt_id;
	gboolean running;
	guint timer;
} job_t;

struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	guint port;
	SoupServer *server;
	guint busy; /* slots in use */
	guint queued;
	double slow; /* factor of the service time */
	gboolean fail, shed, drain;
	drain_notice_t drain_notice;
	guint64 started, finished, shed_count, probes, cancelled;
	TAILQ_HEAD(job_list, job) queue;
	TAILQ_HEAD(running_list, job) running;
};

static struct {
	guint first_port, count, slots, queue_max;
	double service_ms, probe_ms;
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
	GHashTable *runs; /* body text -> count */
	GRand *random;
} fake = { .first_port = 9000,
	   .count = 1,
	   .slots = 3,
	   .queue_max = 3,
	   .service_ms = 5,
	   .probe_ms = 0 };

static gboolean announces_drain(const endpoint_t *endpoint,
				SoupServerMessage *message)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	drain_notice_t kind = g_str_equal(path, "/load") ?
				      DRAIN_NOTICE_IN_PROBES :
				      DRAIN_NOTICE_IN_RESPONSES;

	return endpoint->drain || endpoint->drain_notice == kind;
}

static void set_headers(endpoint_t *endpoint, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	const char *id = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), "Attempt-Id");
	gchar *load = g_strdup_printf(
		"%u/%u", endpoint->busy + endpoint->queued, fake.slots);

	if (!endpoint->drain_notice)
		soup_message_headers_replace(headers, "Load", load);
	if (id)
		soup_message_headers_replace(headers, "Attempt-Id", id);
	if (announces_drain(endpoint, message))
		soup_message_headers_replace(headers, "Draining", "1");
	g_free(load);
}

static void reply(endpoint_t *endpoint, SoupServerMessage *message,
		  guint status, GBytes *body)
{
	set_headers(endpoint, message);
	soup_reply_bytes(message, status, "application/octet-stream", body);
}

static void job_free(job_t *job)
{
	if (job->timer)
		g_source_remove(job->timer);
	g_object_unref(job->message);
	g_free(job->attempt_id);
	g_free(job);
}

static void start_jobs(endpoint_t *endpoint);

static void finish_job(job_t *job)
{
	endpoint_t *endpoint = job->endpoint;
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(job->message));

	if (g_bytes_get_size(body) == 0) {
		g_bytes_unref(body);
		body = g_bytes_new_static("done", 4);
	}
	TAILQ_REMOVE(&endpoint->running, job, link);
	endpoint->busy--;
	endpoint->finished++;
	reply(endpoint, job->message, SOUP_STATUS_OK, body);
	soup_server_message_unpause(job->message);
	g_bytes_unref(body);
	job_free(job);
	start_jobs(endpoint);
}

static gboolean on_job_done(gpointer data)
{
	job_t *job = data;

	job->timer = 0;
	finish_job(job);
	return G_SOURCE_REMOVE;
}

static void count_run(SoupServerMessage *message)
{
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	gsize size;
	const char *data = g_bytes_get_data(body, &size);
	gchar *key = g_strndup(data, size);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(fake.runs, key));

	g_hash_table_insert(fake.runs, key, GUINT_TO_POINTER(count + 1));
	g_bytes_unref(body);
}

/* Starts queued jobs while there are free slots. */
static void start_jobs(endpoint_t *endpoint)
{
	while (endpoint->busy < fake.slots && !TAILQ_EMPTY(&endpoint->queue)) {
		job_t *job = TAILQ_FIRST(&endpoint->queue);
		double ms = fake.service_ms * endpoint->slow *
			    g_rand_double_range(fake.random, 0.5, 1.5);

		TAILQ_REMOVE(&endpoint->queue, job, link);
		TAILQ_INSERT_TAIL(&endpoint->running, job, link);
		endpoint->queued--;
		endpoint->busy++;
		endpoint->started++;
		job->running = TRUE;
		count_run(job->message);
		job->timer = g_timeout_add((guint)(ms + 0.5), on_job_done, job);
	}
}

/* Refuses a request as not started. */
static void refuse(endpoint_t *endpoint, SoupServerMessage *message)
{
	GBytes *body = g_bytes_new_static("shed", 4);

	endpoint->shed_count++;
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Not-Started", "1");
	reply(endpoint, message, SOUP_STATUS_SERVICE_UNAVAILABLE, body);
	g_bytes_unref(body);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	endpoint_t *endpoint = data;
	GBytes *empty;
	job_t *job;

	(void)server;
	(void)path;
	(void)query;
	if (endpoint->shed || endpoint->drain ||
	    endpoint->queued + endpoint->busy >= fake.slots + fake.queue_max) {
		refuse(endpoint, message);
		return;
	}
	if (endpoint->fail) {
		empty = g_bytes_new_static("", 0);
		endpoint->started++;
		reply(endpoint, message, SOUP_STATUS_OK, empty);
		g_bytes_unref(empty);
		return;
	}
	job = g_new0(job_t, 1);
	job->endpoint = endpoint;
	job->message = g_object_ref(message);
	job->attempt_id = g_strdup(soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Attempt-Id"));
	soup_server_message_pause(message);
	TAILQ_INSERT_TAIL(&endpoint->queue, job, link);
	endpoint->queued++;
	start_jobs(endpoint);
}

/* Removes a job from the queue. Returns the state to report. */
static const char *cancel_job(endpoint_t *endpoint, const char *attempt_id)
{
	job_t *job;

	TAILQ_FOREACH (job, &endpoint->running, link)
		if (g_strcmp0(job->attempt_id, attempt_id) == 0)
			return "started";
	TAILQ_FOREACH (job, &endpoint->queue, link)
		if (g_strcmp0(job->attempt_id, attempt_id) == 0) {
			TAILQ_REMOVE(&endpoint->queue, job, link);
			endpoint->queued--;
			endpoint->cancelled++;
			refuse(endpoint, job->message);
			soup_server_message_unpause(job->message);
			job_free(job);
			return "not_started";
		}
	return "unknown";
}

static void on_cancel(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	endpoint_t *endpoint = data;
	const char *state = cancel_job(endpoint, path + strlen("/cancel/"));
	gchar *text = g_strdup_printf("{\"state\":\"%s\"}", state);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	(void)server;
	(void)query;
	reply(endpoint, message, SOUP_STATUS_OK, body);
	g_bytes_unref(body);
}

/* A load probe that is being answered. */
typedef struct {
	endpoint_t *endpoint;
	SoupServerMessage *message;
} probe_t;

static gboolean on_probe_done(gpointer data)
{
	probe_t *probe = data;
	GBytes *body = g_bytes_new_static("", 0);

	reply(probe->endpoint, probe->message, SOUP_STATUS_OK, body);
	soup_server_message_unpause(probe->message);
	g_object_unref(probe->message);
	g_bytes_unref(body);
	g_free(probe);
	return G_SOURCE_REMOVE;
}

static void on_probe(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	probe_t *probe = g_new0(probe_t, 1);

	(void)server;
	(void)path;
	(void)query;
	probe->endpoint = data;
	probe->endpoint->probes++;
	probe->message = g_object_ref(message);
	soup_server_message_pause(message);
	g_timeout_add((guint)fake.probe_ms, on_probe_done, probe);
}

static double query_number(GHashTable *query, const char *name, double current)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? g_ascii_strtod(text, NULL) : current;
}

static void on_control(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	endpoint_t *endpoint = data;

	(void)server;
	(void)path;
	endpoint->slow = query_number(query, "slow", endpoint->slow);
	endpoint->fail = query_number(query, "fail", endpoint->fail) != 0;
	endpoint->shed = query_number(query, "shed", endpoint->shed) != 0;
	endpoint->drain = query_number(query, "drain", endpoint->drain) != 0;
	endpoint->drain_notice = (drain_notice_t)query_number(
		query, "sign", endpoint->drain_notice);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
}

static void on_stats(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	JsonBuilder *builder = json_builder_new();
	dump_writer_t w = dump_json_writer(builder);
	endpoint_t *endpoint;

	(void)server;
	(void)path;
	(void)query;
	(void)data;
	w.begin_object(w.ctx, NULL);
	w.begin_array(w.ctx, "endpoints");
	TAILQ_FOREACH (endpoint, &fake.endpoints, link) {
		w.begin_object(w.ctx, NULL);
		w.integer(w.ctx, "port", endpoint->port);
		w.integer(w.ctx, "started", (gint64)endpoint->started);
		w.integer(w.ctx, "finished", (gint64)endpoint->finished);
		w.integer(w.ctx, "shed", (gint64)endpoint->shed_count);
		w.integer(w.ctx, "probes", (gint64)endpoint->probes);
		w.integer(w.ctx, "cancelled", (gint64)endpoint->cancelled);
		w.end_object(w.ctx);
	}
	w.end_array(w.ctx);
	w.end_object(w.ctx);
	soup_reply_json(message, builder);
	g_object_unref(builder);
}

static void on_runs(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	const char *key = query ? g_hash_table_lookup(query, "body") : "";
	gchar *text = g_strdup_printf(
		"%u", GPOINTER_TO_UINT(g_hash_table_lookup(fake.runs, key)));
	GBytes *body = g_bytes_new_take(text, strlen(text));

	(void)server;
	(void)path;
	(void)data;
	soup_reply_bytes(message, SOUP_STATUS_OK, "text/plain", body);
	g_bytes_unref(body);
}

static gboolean add_endpoint(guint port)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", port);
	catk_error_t error;
	gboolean ok;

	endpoint->port = port;
	endpoint->slow = 1;
	TAILQ_INIT(&endpoint->queue);
	TAILQ_INIT(&endpoint->running);
	TAILQ_INSERT_TAIL(&fake.endpoints, endpoint, link);
	endpoint->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(endpoint->server, NULL, on_request, endpoint,
				NULL);
	soup_server_add_handler(endpoint->server, "/cancel", on_cancel,
				endpoint, NULL);
	soup_server_add_handler(endpoint->server, "/load", on_probe, endpoint,
				NULL);
	soup_server_add_handler(endpoint->server, "/control", on_control,
				endpoint, NULL);
	soup_server_add_handler(endpoint->server, "/stats", on_stats, endpoint,
				NULL);
	soup_server_add_handler(endpoint->server, "/runs", on_runs, endpoint,
				NULL);
	ok = soup_listen(endpoint->server, address, &error);
	if (!ok)
		fprintf(stderr, "%s\n", error.message);
	g_free(address);
	return ok;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'p':
		fake.first_port = (guint)atoi(argument);
		return 0;
	case 'n':
		fake.count = (guint)atoi(argument);
		return 0;
	case 's':
		fake.slots = (guint)atoi(argument);
		return 0;
	case 'q':
		fake.queue_max = (guint)atoi(argument);
		return 0;
	case 'm':
		fake.service_ms = g_ascii_strtod(argument, NULL);
		return 0;
	case 'b':
		fake.probe_ms = g_ascii_strtod(argument, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "First port", 0 },
		{ "count", 'n', "N", 0, "Number of endpoints", 0 },
		{ "slots", 's', "N", 0, "Concurrent requests per endpoint", 0 },
		{ "queue", 'q', "N", 0, "Queued requests per endpoint", 0 },
		{ "service-ms", 'm', "MS", 0, "Mean service time of a request",
		  0 },
		{ "probe-ms", 'b', "MS", 0, "Response time of a probe", 0 },
		{ 0 }
	};
	const struct argp argp = { .options = options, .parser = parse_option };
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	guint i;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	TAILQ_INIT(&fake.endpoints);
	fake.random = g_rand_new_with_seed(1);
	fake.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < fake.count; i++)
		if (!add_endpoint(fake.first_port + i))
			return EXIT_FAILURE;
	g_main_loop_run(loop);
	return EXIT_SUCCESS;
}
