#include "net/proxy.h"

#include <string.h>

#include "net/http_client.h"
#include "net/http_server.h"

/* Ids of probes, apart from those of attempts. */
#define PROBE_ID_FIRST (G_GUINT64_CONSTANT(1) << 62)
/* An endpoint answers a probe at once; a later report would be stale. */
#define PROBE_TIMEOUT (100 * G_TIME_SPAN_MILLISECOND)
/* Bound of the idle time of a connection, besides what the endpoint states. */
#define IDLE_MAX (60 * G_TIME_SPAN_SECOND)
/*
 * For requests that cannot be sent again: on a connection used moments ago the
 * endpoint is not about to close it.
 */
#define IDLE_MAX_NON_IDEMPOTENT (1 * G_TIME_SPAN_SECOND)

/* A request or probe at an endpoint. */
typedef struct sending {
	TAILQ_ENTRY(sending) link;
	guint64 id;
	char *identity; /* of a request, NULL for none */
	char *service; /* of a probe, NULL for a request */
	char *endpoint; /* of a probe */
} sending_t;

struct proxy {
	entry_t *entry;
	proxy_codec_t codec;
	http_server_t *server;
	http_client_t *client;
	guint64 next_probe;
	TAILQ_HEAD(sending_list, sending) sendings;
	GHashTable *sendings_by_id;
	GHashTable *exchanges; /* keys only: caller_refs that wait */
};

static sending_t *add_sending(proxy_t *proxy, guint64 id)
{
	sending_t *sending = g_new0(sending_t, 1);

	sending->id = id;
	TAILQ_INSERT_TAIL(&proxy->sendings, sending, link);
	g_hash_table_insert(proxy->sendings_by_id, &sending->id, sending);
	return sending;
}

static void sending_free(proxy_t *proxy, sending_t *sending)
{
	g_hash_table_remove(proxy->sendings_by_id, &sending->id);
	TAILQ_REMOVE(&proxy->sendings, sending, link);
	g_free(sending->identity);
	g_free(sending->service);
	g_free(sending->endpoint);
	g_free(sending);
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
			       "send a path and one Host header");
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
	g_hash_table_add(proxy->exchanges, exchange);
	entry_route(proxy->entry, &request);
	g_free(path);
}

static void on_gone(void *ctx, http_exchange_t *exchange)
{
	proxy_t *proxy = ctx;

	if (g_hash_table_remove(proxy->exchanges, exchange))
		entry_cancel(proxy->entry, exchange);
}

static schema_request_limits_t limits_in_force(void *ctx)
{
	const proxy_t *proxy = ctx;
	const schema_t *schema = config_schema(entry_config(proxy->entry));
	schema_request_limits_t none = { 0 };

	return schema ? schema->request_limits : none;
}

static attempt_end_t end_of(http_client_end_t end)
{
	switch (end) {
	case HTTP_CLIENT_COMPLETED:
		return ATTEMPT_ANSWERED;
	case HTTP_CLIENT_NOT_SENT:
		return ATTEMPT_NOT_SENT;
	case HTTP_CLIENT_MALFORMED:
		return ATTEMPT_BAD_ANSWER;
	case HTTP_CLIENT_DISCONNECTED:
	case HTTP_CLIENT_TIMED_OUT:
		break;
	}
	return ATTEMPT_FAILED;
}

static void end_attempt(proxy_t *proxy, guint64 id,
			const http_client_result_t *sent)
{
	attempt_result_t result = { .attempt_id = id,
				    .end = end_of(sent->end) };

	if (sent->response) {
		result.status = sent->response->status;
		result.body = sent->response->body;
		result.message = sent->response;
		proxy->codec.read_response(proxy->codec.ctx, sent->response,
					   &result);
	}
	entry_attempt_ended(proxy->entry, &result);
}

static void end_probe(proxy_t *proxy, const sending_t *probe,
		      const http_client_result_t *sent)
{
	load_report_t report = { 0 };
	gboolean has_report = sent->response &&
			      proxy->codec.read_probe_response(proxy->codec.ctx,
							       probe->endpoint,
							       sent->response,
							       &report);

	entry_probe_ended(proxy->entry, probe->service, probe->endpoint,
			  has_report ? &report : NULL);
}

static void on_sent(void *ctx, guint64 id, const http_client_result_t *result)
{
	proxy_t *proxy = ctx;
	sending_t *sending = g_hash_table_lookup(proxy->sendings_by_id, &id);

	if (sending->service)
		end_probe(proxy, sending, result);
	else
		end_attempt(proxy, id, result);
	sending_free(proxy, sending);
}

static gboolean on_belongs(void *ctx, guint64 id, const http_message_t *answer)
{
	const proxy_t *proxy = ctx;
	const sending_t *sending =
		g_hash_table_lookup(proxy->sendings_by_id, &id);

	return proxy->codec.response_matches(proxy->codec.ctx,
					     sending->identity, answer);
}

proxy_t *proxy_new(const char *address, entry_t *entry,
		   const proxy_codec_t *codec, const catk_clock_t *clock,
		   catk_error_t *err)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	http_server_events_t server_events = {
		.request = on_request,
		.disconnected = on_gone,
		.limits = limits_in_force,
		.ctx = proxy,
	};
	http_client_events_t client_events = {
		.ended = on_sent,
		.response_matches = on_belongs,
		.ctx = proxy,
	};

	proxy->entry = entry;
	proxy->codec = *codec;
	proxy->next_probe = PROBE_ID_FIRST;
	TAILQ_INIT(&proxy->sendings);
	proxy->sendings_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	proxy->exchanges = g_hash_table_new(NULL, NULL);
	proxy->client = http_client_new(&client_events, clock);
	proxy->server = http_server_new(address, &server_events, clock, err);
	if (!proxy->server)
		g_clear_pointer(&proxy, proxy_free);
	return proxy;
}

void proxy_free(proxy_t *proxy)
{
	if (!proxy)
		return;
	http_server_free(proxy->server);
	http_client_free(proxy->client);
	while (!TAILQ_EMPTY(&proxy->sendings))
		sending_free(proxy, TAILQ_FIRST(&proxy->sendings));
	g_hash_table_destroy(proxy->sendings_by_id);
	g_hash_table_destroy(proxy->exchanges);
	g_free(proxy);
}

void proxy_drain(proxy_t *proxy)
{
	http_server_drain(proxy->server);
}

gboolean proxy_is_idle(const proxy_t *proxy)
{
	return http_server_pending_requests(proxy->server) == 0;
}

gboolean proxy_owns(const proxy_t *proxy, const void *caller_ref)
{
	return g_hash_table_contains(proxy->exchanges, caller_ref);
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
	http_exchange_reply(caller_ref, message->status, headers->str,
			    message->body);
	g_string_free(headers, TRUE);
}

static GString *write_request(const proxy_t *proxy,
			      const http_message_t *request,
			      const attempt_request_t *attempt)
{
	GString *text = g_string_sized_new(1024);
	gsize size;
	gconstpointer body = g_bytes_get_data(request->body, &size);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\n", request->method,
			       request->target);
	http_message_append_headers(request, text,
				    proxy->codec.replaced_headers);
	proxy->codec.write_request_headers(proxy->codec.ctx, attempt, text);
	if (size || http_message_header(request, "Content-Length"))
		g_string_append_printf(
			text, "Content-Length: %" G_GSIZE_FORMAT "\r\n", size);
	g_string_append(text, "\r\n");
	g_string_append_len(text, body, (gssize)size);
	return text;
}

void proxy_start_attempt(proxy_t *proxy, const attempt_request_t *attempt)
{
	const http_message_t *request =
		http_exchange_request(attempt->caller_ref);
	GString *message = write_request(proxy, request, attempt);
	http_client_request_t sent = {
		.id = attempt->attempt_id,
		.address = attempt->address,
		.message = message,
		.idle_max = attempt->idempotent ? IDLE_MAX :
						  IDLE_MAX_NON_IDEMPOTENT,
	};
	sending_t *sending = add_sending(proxy, attempt->attempt_id);

	sending->identity =
		g_strdup(proxy->codec.request_id(proxy->codec.ctx, request));
	http_client_send(proxy->client, &sent);
	g_string_free(message, TRUE);
}

void proxy_cancel_attempt(proxy_t *proxy, guint64 attempt_id)
{
	sending_t *sending =
		g_hash_table_lookup(proxy->sendings_by_id, &attempt_id);

	if (!sending)
		return;
	http_client_cancel(proxy->client, attempt_id);
	sending_free(proxy, sending);
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
	sending_t *sending = add_sending(proxy, proxy->next_probe++);
	http_client_request_t sent = {
		.id = sending->id,
		.address = address,
		.message = g_string_new(NULL),
		.timeout = PROBE_TIMEOUT,
		.idle_max = IDLE_MAX,
	};

	sending->service = g_strdup(service);
	sending->endpoint = g_strdup(endpoint);
	g_string_printf(sent.message, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			health_path(proxy, service), address);
	http_client_send(proxy->client, &sent);
	g_string_free(sent.message, TRUE);
}
