#include "net/proxy.h"

#include <string.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/stream.h"

/* Separates the ids of probes from those of attempts. */
#define FIRST_PROBE_ID (G_GUINT64_CONSTANT(1) << 62)
/* Endpoints respond to probes immediately; a later report would be stale. */
#define PROBE_TIMEOUT (100 * G_TIME_SPAN_MILLISECOND)
/* Connections idle for longer are not reused. */
#define REUSE_IDLE_MAX (60 * G_TIME_SPAN_SECOND)
/*
 * A request that is not idempotent cannot be retried when the endpoint closes
 * the connection meanwhile, which is unlikely for a recently used one.
 */
#define REUSE_IDLE_MAX_NON_IDEMPOTENT (1 * G_TIME_SPAN_SECOND)

/*
 * All incomplete responses together, at most half of what the bodies of requests
 * may take. Their memory grows by an eighth beyond this and is not copied at
 * their end.
 */
#define RESPONSES_BYTES_MAX ((gsize)24 << 20)

/* An attempt or probe in flight to an endpoint. */
typedef struct outgoing_request {
	TAILQ_ENTRY(outgoing_request) link;
	guint64 id;
	gboolean is_probe;
	char *request_id; /* of an attempt, NULL for none */
	char *service;
	char *endpoint;
	GTimeSpan sent_at; /* instant */
} outgoing_request_t;

struct proxy {
	entry_t *entry;
	proxy_codec_t codec;
	const catk_clock_t *clock;
	listener_t *listener;
	http_server_t *server;
	http_client_t *client;
	guint64 next_probe_id;
	TAILQ_HEAD(outgoing_list, outgoing_request) outgoing;
	GHashTable *outgoing_by_id;
	GHashTable *exchanges; /* set of http_exchange_t without a response */
};

static outgoing_request_t *add_outgoing_request(proxy_t *proxy, guint64 id,
						const char *service,
						const char *endpoint)
{
	outgoing_request_t *outgoing = g_new0(outgoing_request_t, 1);

	outgoing->id = id;
	outgoing->service = g_strdup(service);
	outgoing->endpoint = g_strdup(endpoint);
	outgoing->sent_at = catk_clock_now(proxy->clock);
	TAILQ_INSERT_TAIL(&proxy->outgoing, outgoing, link);
	g_hash_table_insert(proxy->outgoing_by_id, &outgoing->id, outgoing);
	return outgoing;
}

static void outgoing_request_free(proxy_t *proxy, outgoing_request_t *outgoing)
{
	g_hash_table_remove(proxy->outgoing_by_id, &outgoing->id);
	TAILQ_REMOVE(&proxy->outgoing, outgoing, link);
	g_free(outgoing->request_id);
	g_free(outgoing->service);
	g_free(outgoing->endpoint);
	g_free(outgoing);
}

static void reply_error(proxy_t *proxy, http_exchange_t *exchange,
			const catk_error_t *error)
{
	GString *headers = g_string_new("Content-Type: text/plain\r\n");
	GBytes *body = g_bytes_new(error->message, strlen(error->message));
	guint status =
		proxy->codec.write_error(proxy->codec.ctx, error, headers);

	http_exchange_reply(exchange, status, headers->str, body);
	g_bytes_unref(body);
	g_string_free(headers, TRUE);
}

static gboolean is_origin_form(const http_message_t *request)
{
	return request->target[0] == '/' &&
	       http_message_header(request, "Host");
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	proxy_t *proxy = ctx;
	const http_message_t *message = http_exchange_request(exchange);
	routed_request_t request = {
		.body = message->body,
		.caller_ref = exchange,
	};
	catk_error_t error;
	gchar *path;

	if (!is_origin_form(message)) {
		catk_error_set(&error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "the request target must be a path, and a Host "
			       "header is required");
		reply_error(proxy, exchange, &error);
		return;
	}
	if (!proxy->codec.read_request(proxy->codec.ctx, message,
				       &request.remaining, &error)) {
		reply_error(proxy, exchange, &error);
		return;
	}
	path = g_strndup(message->target, strcspn(message->target, "?#"));
	request.host = http_message_header(message, "Host");
	request.path = path;
	request.name = proxy->codec.request_id(proxy->codec.ctx, message);
	request.credential = proxy->codec.credential(proxy->codec.ctx, message);
	g_hash_table_add(proxy->exchanges, exchange);
	entry_route(proxy->entry, &request);
	g_free(path);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	proxy_t *proxy = ctx;

	if (g_hash_table_remove(proxy->exchanges, exchange))
		entry_cancel(proxy->entry, exchange);
}

static schema_request_limits_t current_limits(void *ctx)
{
	const proxy_t *proxy = ctx;
	const schema_t *schema = config_schema(entry_config(proxy->entry));
	schema_request_limits_t none = { 0 };

	return schema ? schema->request_limits : none;
}

/* A kept connection would be cut when the process ends. */
static gboolean is_leaving(void *ctx)
{
	const proxy_t *proxy = ctx;

	return entry_is_leaving(proxy->entry);
}

static void on_body_refused(void *ctx, gsize bytes)
{
	const proxy_t *proxy = ctx;

	listener_body_refused(proxy->listener, bytes);
}

static void on_connection_limited(void *ctx, gboolean replaced)
{
	const proxy_t *proxy = ctx;

	listener_connection_limited(proxy->listener, replaced,
				    catk_clock_now(proxy->clock));
}

static attempt_end_t attempt_end_from(http_client_end_t end)
{
	switch (end) {
	case HTTP_CLIENT_COMPLETED:
		return ATTEMPT_ANSWERED;
	case HTTP_CLIENT_NOT_SENT:
		return ATTEMPT_NOT_SENT;
	case HTTP_CLIENT_MALFORMED:
	case HTTP_CLIENT_TOO_LARGE:
		return ATTEMPT_BAD_ANSWER;
	case HTTP_CLIENT_DISCONNECTED:
	case HTTP_CLIENT_TIMED_OUT:
		break;
	}
	return ATTEMPT_FAILED;
}

static void end_attempt(proxy_t *proxy, guint64 id,
			const http_client_result_t *http_result)
{
	attempt_result_t result = {
		.attempt_id = id,
		.end = attempt_end_from(http_result->end),
		.reused_connection = http_result->reused,
	};

	if (http_result->response) {
		result.status = http_result->response->status;
		result.body = http_result->response->body;
		result.message = http_result->response;
		proxy->codec.read_response(proxy->codec.ctx,
					   http_result->response, &result);
	}
	entry_attempt_ended(proxy->entry, &result);
}

static void end_probe(proxy_t *proxy, const outgoing_request_t *probe,
		      const http_client_result_t *http_result)
{
	load_report_t report = { 0 };
	gboolean has_report = http_result->response &&
			      proxy->codec.read_probe_response(
				      proxy->codec.ctx, probe->endpoint,
				      http_result->response, &report);

	entry_probe_ended(proxy->entry, probe->service, probe->endpoint,
			  has_report ? &report : NULL);
}

static void on_request_ended(void *ctx, guint64 id,
			     const http_client_result_t *result)
{
	proxy_t *proxy = ctx;
	outgoing_request_t *outgoing =
		g_hash_table_lookup(proxy->outgoing_by_id, &id);

	if (outgoing->is_probe)
		end_probe(proxy, outgoing, result);
	else
		end_attempt(proxy, id, result);
	outgoing_request_free(proxy, outgoing);
}

static gboolean on_response_matches(void *ctx, guint64 id,
				    const http_message_t *response,
				    gboolean reused)
{
	const proxy_t *proxy = ctx;
	const outgoing_request_t *outgoing =
		g_hash_table_lookup(proxy->outgoing_by_id, &id);

	return proxy->codec.response_matches(
		proxy->codec.ctx, outgoing->request_id, response, reused);
}

static notice_source_t notice_source(const proxy_t *proxy,
				     const outgoing_request_t *outgoing,
				     const http_message_t *response,
				     gboolean reused)
{
	if (!proxy->codec.response_matches(
		    proxy->codec.ctx, outgoing->request_id, response, reused))
		return NOTICE_IN_DISCARDED_ANSWER;
	return outgoing->is_probe ? NOTICE_IN_PROBE_ANSWER : NOTICE_IN_ANSWER;
}

static void on_head_received(void *ctx, guint64 id,
			     const http_message_t *response, gboolean reused)
{
	const proxy_t *proxy = ctx;
	const outgoing_request_t *outgoing =
		g_hash_table_lookup(proxy->outgoing_by_id, &id);
	endpoint_notice_t notice = {
		.source = notice_source(proxy, outgoing, response, reused),
		.requested_at = outgoing->sent_at,
	};

	if (proxy->codec.read_notice(proxy->codec.ctx, outgoing->endpoint,
				     response, &notice))
		entry_endpoint_notice(proxy->entry, outgoing->service,
				      outgoing->endpoint, &notice);
}

proxy_t *proxy_new(const char *address, entry_t *entry,
		   const proxy_codec_t *codec, gsize response_bytes_max,
		   listener_t *listener, const catk_clock_t *clock,
		   catk_error_t *err)
{
	const http_message_limits_t response_limits = {
		.header_bytes_max = HTTP_RESPONSE_HEADER_BYTES_MAX,
		.body_bytes_max = response_bytes_max,
	};
	proxy_t *proxy = g_new0(proxy_t, 1);
	http_server_events_t server_events = {
		.request = on_request,
		.disconnected = on_disconnected,
		.limits = current_limits,
		.closing = is_leaving,
		.body_refused = on_body_refused,
		.connection_limited = on_connection_limited,
		.ctx = proxy,
	};
	http_client_events_t client_events = {
		.ended = on_request_ended,
		.response_matches = on_response_matches,
		.head_received = on_head_received,
		.ctx = proxy,
	};

	proxy->entry = entry;
	proxy->codec = *codec;
	proxy->clock = clock;
	proxy->listener = listener;
	proxy->next_probe_id = FIRST_PROBE_ID;
	TAILQ_INIT(&proxy->outgoing);
	proxy->outgoing_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	proxy->exchanges = g_hash_table_new(NULL, NULL);
	proxy->client =
		http_client_new(&client_events, &response_limits, clock);
	http_client_set_kept_bytes_max(
		proxy->client,
		MAX(MIN(RESPONSES_BYTES_MAX, listener->bodies->max / 2),
		    response_bytes_max));
	proxy->server = http_server_new(address, &server_events, clock, err);
	if (!proxy->server) {
		proxy_free(proxy);
		return NULL;
	}
	http_server_set_body_budget(proxy->server, listener->bodies);
	http_server_set_connections_max(proxy->server,
					listener->connections_max);
	return proxy;
}

void proxy_set_endpoint_idle_timeout(proxy_t *proxy, GTimeSpan timeout)
{
	http_client_set_idle_timeout(proxy->client, timeout);
}

void proxy_free(proxy_t *proxy)
{
	if (!proxy)
		return;
	http_server_free(proxy->server);
	http_client_free(proxy->client);
	while (!TAILQ_EMPTY(&proxy->outgoing))
		outgoing_request_free(proxy, TAILQ_FIRST(&proxy->outgoing));
	g_hash_table_destroy(proxy->outgoing_by_id);
	g_hash_table_destroy(proxy->exchanges);
	g_free(proxy);
}

void proxy_stop(proxy_t *proxy)
{
	http_server_stop(proxy->server);
}

void proxy_close_disconnected(proxy_t *proxy)
{
	http_server_close_disconnected(proxy->server);
}

gboolean proxy_is_idle(const proxy_t *proxy)
{
	return http_server_is_idle(proxy->server);
}

guint proxy_unsent_count(const proxy_t *proxy)
{
	return http_server_unsent_count(proxy->server);
}

guint proxy_connection_count(const proxy_t *proxy)
{
	return http_server_connection_count(proxy->server);
}

gboolean proxy_owns(const proxy_t *proxy, const void *caller_ref)
{
	return g_hash_table_contains(proxy->exchanges, caller_ref);
}

/* The response to HEAD tells the length of the body that GET would return. */
static void append_length_of_get(const http_message_t *request,
				 const http_message_t *response,
				 GString *headers)
{
	const char *length = http_message_header(response, "Content-Length");

	if (length && http_message_is_head_request(request))
		g_string_append_printf(headers, "Content-Length: %s\r\n",
				       length);
}

void proxy_send_response(proxy_t *proxy, void *caller_ref,
			 const call_answer_t *answer)
{
	const http_message_t *message = answer->message;
	GString *headers;

	g_hash_table_remove(proxy->exchanges, caller_ref);
	if (!message) {
		reply_error(proxy, caller_ref, &answer->error);
		return;
	}
	headers = g_string_new(NULL);
	http_message_append_headers(message, headers, NULL);
	append_length_of_get(http_exchange_request(caller_ref), message,
			     headers);
	http_exchange_reply(caller_ref, message->status, headers->str,
			    message->body);
	g_string_free(headers, TRUE);
}

static GTimeSpan reuse_idle_max(const attempt_request_t *attempt)
{
	if (attempt->needs_new_connection)
		return 0;
	return attempt->idempotent ? REUSE_IDLE_MAX :
				     REUSE_IDLE_MAX_NON_IDEMPOTENT;
}

static gboolean is_body_separate(const http_message_t *request)
{
	return g_bytes_get_size(request->body) > STREAM_COPY_BYTES_MAX;
}

/* The body is left out if it is sent separately. */
static GString *write_request(const proxy_t *proxy,
			      const http_message_t *request,
			      const attempt_request_t *attempt)
{
	GString *text = g_string_sized_new(1024);
	gsize size;
	gconstpointer body = g_bytes_get_data(request->body, &size);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\n", request->method,
			       request->target);
	http_message_append_headers(
		request, text,
		proxy->codec.replaced_headers(proxy->codec.ctx, attempt));
	proxy->codec.write_request_headers(proxy->codec.ctx, attempt, text);
	if (size || http_message_header(request, "Content-Length"))
		g_string_append_printf(
			text, "Content-Length: %" G_GSIZE_FORMAT "\r\n", size);
	g_string_append(text, "\r\n");
	if (!is_body_separate(request))
		g_string_append_len(text, body, (gssize)size);
	return text;
}

void proxy_start_attempt(proxy_t *proxy, const attempt_request_t *attempt)
{
	const http_message_t *request =
		http_exchange_request(attempt->caller_ref);
	GString *message = write_request(proxy, request, attempt);
	http_client_request_t client_request = {
		.id = attempt->attempt_id,
		.address = attempt->address,
		.message = message,
		.body = is_body_separate(request) ? request->body : NULL,
		.is_head = http_message_is_head_request(request),
		.idle_max = reuse_idle_max(attempt),
	};
	outgoing_request_t *outgoing =
		add_outgoing_request(proxy, attempt->attempt_id,
				     attempt->service, attempt->endpoint);

	outgoing->request_id =
		g_strdup(proxy->codec.request_id(proxy->codec.ctx, request));
	http_client_send(proxy->client, &client_request);
	g_string_free(message, TRUE);
}

void proxy_cancel_attempt(proxy_t *proxy, guint64 attempt_id)
{
	outgoing_request_t *outgoing =
		g_hash_table_lookup(proxy->outgoing_by_id, &attempt_id);

	if (!outgoing)
		return;
	http_client_cancel(proxy->client, attempt_id);
	outgoing_request_free(proxy, outgoing);
}

static const char *health_path(const proxy_t *proxy, const char *name)
{
	const schema_t *schema = config_schema(entry_config(proxy->entry));
	const schema_service_t *service =
		schema ? schema_find_service(schema, name) : NULL;

	return service && service->health_path ? service->health_path : "/";
}

void proxy_send_probe(proxy_t *proxy, const char *service, const char *endpoint)
{
	const char *address =
		entry_endpoint_address(proxy->entry, service, endpoint);
	outgoing_request_t *outgoing = add_outgoing_request(
		proxy, proxy->next_probe_id++, service, endpoint);
	http_client_request_t client_request = {
		.id = outgoing->id,
		.address = address,
		.message = g_string_new(NULL),
		.timeout = PROBE_TIMEOUT,
		.idle_max = REUSE_IDLE_MAX,
	};

	outgoing->is_probe = TRUE;
	g_string_printf(client_request.message,
			"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			health_path(proxy, service), address);
	http_client_send(proxy->client, &client_request);
	g_string_free(client_request.message, TRUE);
}
