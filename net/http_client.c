#include "net/http_client.h"

#include <string.h>

#include "net/stream.h"

/*
 * A connection inside a region is established within milliseconds. The kernel
 * retransmits a lost SYN only after 1 s; another endpoint responds sooner.
 */
#define CONNECT_TIMEOUT (300 * G_TIME_SPAN_MILLISECOND)
/* Idle timeout of a persistent connection whose peer announces none. */
#define IDLE_TIMEOUT_DEFAULT (4 * G_TIME_SPAN_SECOND)
/* Limit on the idle timeout that a peer announces. */
#define IDLE_TIMEOUT_MAX_S 3600
/*
 * Subtracted from the idle timeout that the peer announces, so that the peer
 * does not close the connection while a request is on its way.
 */
#define IDLE_TIMEOUT_MARGIN (1 * G_TIME_SPAN_SECOND)
/*
 * An endpoint limits its connections over all instances and resets those above
 * the limit. One or two are enough for most traffic.
 */
#define IDLE_CONNECTIONS_PER_PEER_MAX 2
#define TIMEOUT_CHECK_INTERVAL_MS 20
/*
 * Interim responses, and those to earlier requests, before the one that is waited
 * for. A faulty server may send them without end.
 */
#define DISCARDED_RESPONSES_MAX 16

typedef struct peer peer_t;

typedef struct client_connection {
	TAILQ_ENTRY(client_connection) link; /* in peer->idle or peer->busy */
	peer_t *peer;
	stream_t *stream;
	http_message_parser_t *parser;
	guint64 id; /* of the request in flight, 0 for none */
	GTimeSpan sent_at; /* when that request was started */
	GTimeSpan timeout; /* of that request, 0 for none */
	GTimeSpan idle_since;
	GTimeSpan idle_timeout; /* close when idle for this long */
	guint64 sent_offset; /* bytes sent before that request */
	guint requests; /* sent so far on this connection */
	gsize kept_bytes; /* of the response being received */
	guint discarded; /* responses since that request was started */
	gboolean head_reported; /* of the response being received */
} client_connection_t;

struct peer {
	TAILQ_ENTRY(peer) link;
	http_client_t *client;
	char *address;
	TAILQ_HEAD(idle_list, client_connection) idle; /* most recent first */
	TAILQ_HEAD(busy_list, client_connection) busy;
};

struct http_client {
	http_client_events_t events;
	http_message_limits_t limits; /* of a response */
	const catk_clock_t *clock;
	GHashTable *peers_by_address;
	GHashTable *connections_by_id; /* request id -> client_connection_t */
	TAILQ_HEAD(peer_list, peer) peers;
	gsize kept_bytes; /* of all responses being received */
	gsize kept_bytes_max; /* 0 for no limit */
	guint timeout_source; /* 0 without connections */
	GTimeSpan idle_timeout; /* where the peer announces none */
	GTimeSpan silence_timeout; /* 0: that of every stream */
};

static GTimeSpan client_now(const http_client_t *client)
{
	return catk_clock_now(client->clock);
}

static void set_kept_bytes(client_connection_t *connection, gsize bytes)
{
	http_client_t *client = connection->peer->client;

	client->kept_bytes -= connection->kept_bytes;
	client->kept_bytes += bytes;
	connection->kept_bytes = bytes;
}

static void connection_free(client_connection_t *connection)
{
	peer_t *peer = connection->peer;

	set_kept_bytes(connection, 0);
	if (connection->id) {
		g_hash_table_remove(peer->client->connections_by_id,
				    &connection->id);
		TAILQ_REMOVE(&peer->busy, connection, link);
	} else {
		TAILQ_REMOVE(&peer->idle, connection, link);
	}
	stream_free(connection->stream);
	http_message_parser_free(connection->parser);
	g_free(connection);
}

static void end_request(client_connection_t *connection, http_client_end_t end)
{
	http_client_t *client = connection->peer->client;
	http_client_result_t result = { .end = end,
					.reused = connection->requests > 1 };
	guint64 id = connection->id;

	connection_free(connection);
	client->events.ended(client->events.ctx, id, &result);
}

static gboolean is_not_sent(const client_connection_t *connection)
{
	return !connection->stream ||
	       stream_bytes_sent(connection->stream) == connection->sent_offset;
}

static GTimeSpan peer_idle_timeout(const http_client_t *client,
				   const http_message_t *response)
{
	const char *text = http_message_header(response, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	guint64 seconds;
	GTimeSpan time;

	if (!timeout)
		return client->idle_timeout;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	time = (GTimeSpan)MIN(seconds, IDLE_TIMEOUT_MAX_S) * G_TIME_SPAN_SECOND;
	return MAX(time - IDLE_TIMEOUT_MARGIN, time / 2);
}

static void return_to_pool(client_connection_t *connection,
			   const http_message_t *response)
{
	peer_t *peer = connection->peer;
	client_connection_t *other;
	guint count = 0;

	g_hash_table_remove(peer->client->connections_by_id, &connection->id);
	TAILQ_REMOVE(&peer->busy, connection, link);
	connection->id = 0;
	connection->idle_since = client_now(peer->client);
	connection->idle_timeout = peer_idle_timeout(peer->client, response);
	TAILQ_INSERT_HEAD(&peer->idle, connection, link);
	TAILQ_FOREACH (other, &peer->idle, link)
		count++;
	if (count > IDLE_CONNECTIONS_PER_PEER_MAX)
		connection_free(TAILQ_LAST(&peer->idle, idle_list));
}

/* Pools or closes the connection, then reports the response. */
static void complete_request(client_connection_t *connection, gboolean reusable)
{
	http_client_t *client = connection->peer->client;
	http_message_t *response = http_message_parser_take(connection->parser);
	http_client_result_t result = { .end = HTTP_CLIENT_COMPLETED,
					.response = response,
					.reused = connection->requests > 1 };
	guint64 id = connection->id;

	set_kept_bytes(connection, 0);
	/* A connection with a partly sent request cannot be reused. */
	if (reusable && response->keep_alive &&
	    !stream_bytes_buffered(connection->stream))
		return_to_pool(connection, response);
	else
		connection_free(connection);
	client->events.ended(client->events.ctx, id, &result);
	http_message_free(response);
}

/* Interim responses are not reported. */
static void report_head(client_connection_t *connection)
{
	const http_client_events_t *events = &connection->peer->client->events;
	const http_message_t *head =
		http_message_parser_head(connection->parser);

	if (!events->head_received || connection->head_reported || !head ||
	    head->status < 200)
		return;
	connection->head_reported = TRUE;
	events->head_received(events->ctx, connection->id, head,
			      connection->requests > 1);
}

/* Returns TRUE after it discarded an interim or mismatched response. */
static gboolean discard_mismatched(client_connection_t *connection)
{
	const http_client_events_t *events = &connection->peer->client->events;
	const http_message_t *response =
		http_message_parser_peek(connection->parser);

	if (response->status >= 200 &&
	    (!events->response_matches ||
	     events->response_matches(events->ctx, connection->id, response,
				      connection->requests > 1)))
		return FALSE;
	http_message_free(http_message_parser_take(connection->parser));
	connection->discarded++;
	connection->head_reported = FALSE;
	return TRUE;
}

static http_parse_result_t
result_after_discard(const client_connection_t *connection)
{
	return connection->discarded > DISCARDED_RESPONSES_MAX ?
		       HTTP_PARSE_MALFORMED :
		       HTTP_PARSE_INCOMPLETE;
}

/*
 * Endpoints that send without end would otherwise fill the memory together, each
 * below the limit of a response.
 */
static void end_largest_response(http_client_t *client)
{
	client_connection_t *connection, *largest = NULL;
	peer_t *peer;

	TAILQ_FOREACH (peer, &client->peers, link)
		TAILQ_FOREACH (connection, &peer->busy, link)
			if (!largest ||
			    connection->kept_bytes > largest->kept_bytes)
				largest = connection;
	g_assert(largest);
	end_request(largest, HTTP_CLIENT_TOO_LARGE);
}

static void update_kept_bytes(client_connection_t *connection)
{
	http_client_t *client = connection->peer->client;

	set_kept_bytes(connection,
		       http_message_parser_kept_bytes(connection->parser));
	if (client->kept_bytes_max &&
	    client->kept_bytes > client->kept_bytes_max)
		end_largest_response(client);
}

static void on_received(void *ctx, const char *data, gsize size)
{
	client_connection_t *connection = ctx;
	http_parse_result_t result = HTTP_PARSE_INCOMPLETE;
	gsize consumed = 0;
	gsize used;

	/* Data that no request asked for: the connection is unusable. */
	if (!connection->id) {
		connection_free(connection);
		return;
	}
	while (consumed < size && result == HTTP_PARSE_INCOMPLETE) {
		result = http_message_parser_feed(connection->parser,
						  data + consumed,
						  size - consumed, &used);
		consumed += used;
		report_head(connection);
		if (result == HTTP_PARSE_COMPLETE &&
		    discard_mismatched(connection))
			result = result_after_discard(connection);
	}
	if (result == HTTP_PARSE_COMPLETE)
		complete_request(connection, consumed == size);
	else if (result == HTTP_PARSE_MALFORMED)
		end_request(connection, HTTP_CLIENT_MALFORMED);
	else if (result != HTTP_PARSE_INCOMPLETE)
		end_request(connection, HTTP_CLIENT_TOO_LARGE);
	else
		update_kept_bytes(connection);
}

static void on_ended(void *ctx, stream_end_t end)
{
	client_connection_t *connection = ctx;

	if (!connection->id)
		connection_free(connection);
	else if (is_not_sent(connection))
		end_request(connection, HTTP_CLIENT_NOT_SENT);
	else if (end == STREAM_EOF &&
		 http_message_parser_eof(connection->parser) ==
			 HTTP_PARSE_COMPLETE &&
		 !discard_mismatched(connection))
		complete_request(connection, FALSE);
	else
		end_request(connection, HTTP_CLIENT_DISCONNECTED);
}

static peer_t *find_or_add_peer(http_client_t *client, const char *address)
{
	peer_t *peer = g_hash_table_lookup(client->peers_by_address, address);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->client = client;
	peer->address = g_strdup(address);
	TAILQ_INIT(&peer->idle);
	TAILQ_INIT(&peer->busy);
	TAILQ_INSERT_TAIL(&client->peers, peer, link);
	g_hash_table_insert(client->peers_by_address, peer->address, peer);
	return peer;
}

static void close_idle(peer_t *peer)
{
	while (!TAILQ_EMPTY(&peer->idle))
		connection_free(TAILQ_FIRST(&peer->idle));
}

static void peer_free(peer_t *peer)
{
	close_idle(peer);
	while (!TAILQ_EMPTY(&peer->busy))
		connection_free(TAILQ_FIRST(&peer->busy));
	g_hash_table_remove(peer->client->peers_by_address, peer->address);
	TAILQ_REMOVE(&peer->client->peers, peer, link);
	g_free(peer->address);
	g_free(peer);
}

static client_connection_t *open_connection(peer_t *peer)
{
	client_connection_t *connection = g_new0(client_connection_t, 1);
	stream_events_t events = {
		.received = on_received,
		.ended = on_ended,
		.ctx = connection,
	};

	/* When this fails, the next timeout check ends the request as unsent. */
	connection->stream = stream_connect(peer->address, &events, NULL);
	if (connection->stream && peer->client->silence_timeout)
		stream_detect_silence(connection->stream,
				      peer->client->silence_timeout);
	connection->peer = peer;
	connection->parser = http_message_parser_new(FALSE);
	http_message_parser_set_limits(connection->parser,
				       &peer->client->limits);
	return connection;
}

/* Takes the most recently used connection, so that the others can expire. */
static client_connection_t *take_idle_connection(peer_t *peer,
						 GTimeSpan idle_max)
{
	client_connection_t *connection = TAILQ_FIRST(&peer->idle);
	GTimeSpan age;

	if (!connection)
		return NULL;
	age = client_now(peer->client) - connection->idle_since;
	if (age >= idle_max || age >= connection->idle_timeout)
		return NULL;
	TAILQ_REMOVE(&peer->idle, connection, link);
	return connection;
}

void http_client_close_idle(http_client_t *client)
{
	peer_t *peer;

	TAILQ_FOREACH (peer, &client->peers, link)
		close_idle(peer);
}

void http_client_cancel(http_client_t *client, guint64 id)
{
	client_connection_t *connection =
		g_hash_table_lookup(client->connections_by_id, &id);

	if (connection)
		connection_free(connection);
}

static gboolean is_timed_out(const client_connection_t *connection,
			     GTimeSpan now)
{
	GTimeSpan age = now - connection->sent_at;

	return !connection->stream ||
	       (connection->timeout && age >= connection->timeout) ||
	       (connection->requests == 1 && age >= CONNECT_TIMEOUT &&
		is_not_sent(connection));
}

static void expire_connections(peer_t *peer, GTimeSpan now)
{
	client_connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &peer->idle, link, next)
		if (now - connection->idle_since >= connection->idle_timeout)
			connection_free(connection);
	TAILQ_FOREACH_SAFE (connection, &peer->busy, link, next)
		if (is_timed_out(connection, now)) {
			/*
			 * The callback may change the list, so the rest waits
			 * for the next check.
			 */
			end_request(connection, is_not_sent(connection) ?
							HTTP_CLIENT_NOT_SENT :
							HTTP_CLIENT_TIMED_OUT);
			return;
		}
}

static gboolean on_timeout_check(gpointer data)
{
	http_client_t *client = data;
	GTimeSpan now = client_now(client);
	peer_t *peer, *next;

	TAILQ_FOREACH_SAFE (peer, &client->peers, link, next) {
		expire_connections(peer, now);
		if (TAILQ_EMPTY(&peer->idle) && TAILQ_EMPTY(&peer->busy))
			peer_free(peer);
	}
	if (!TAILQ_EMPTY(&client->peers))
		return G_SOURCE_CONTINUE;
	client->timeout_source = 0;
	return G_SOURCE_REMOVE;
}

/* Most instances of a large fleet call no store: an idle client runs no timer. */
static void start_timeout_checks(http_client_t *client)
{
	if (!client->timeout_source)
		client->timeout_source = g_timeout_add(
			TIMEOUT_CHECK_INTERVAL_MS, on_timeout_check, client);
}

void http_client_send(http_client_t *client,
		      const http_client_request_t *request)
{
	peer_t *peer = find_or_add_peer(client, request->address);
	client_connection_t *connection =
		take_idle_connection(peer, request->idle_max);

	g_assert(request->id);
	start_timeout_checks(client);
	if (!connection)
		connection = open_connection(peer);
	TAILQ_INSERT_TAIL(&peer->busy, connection, link);
	connection->id = request->id;
	connection->sent_at = client_now(client);
	connection->timeout = request->timeout;
	connection->requests++;
	connection->discarded = 0;
	connection->head_reported = FALSE;
	http_message_parser_set_bodiless(connection->parser, request->is_head);
	g_hash_table_insert(client->connections_by_id, &connection->id,
			    connection);
	if (!connection->stream)
		return;
	connection->sent_offset = stream_bytes_sent(connection->stream);
	stream_write(connection->stream, request->message->str,
		     request->message->len);
	if (request->body)
		stream_write_bytes(connection->stream, request->body);
}

http_client_t *http_client_new(const http_client_events_t *events,
			       const http_message_limits_t *limits,
			       const catk_clock_t *clock)
{
	http_client_t *client = g_new0(http_client_t, 1);

	client->events = *events;
	client->limits = *limits;
	client->clock = clock;
	client->idle_timeout = IDLE_TIMEOUT_DEFAULT;
	client->peers_by_address = g_hash_table_new(g_str_hash, g_str_equal);
	client->connections_by_id =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&client->peers);
	return client;
}

void http_client_set_idle_timeout(http_client_t *client, GTimeSpan timeout)
{
	client->idle_timeout = timeout;
}

void http_client_detect_silence(http_client_t *client, GTimeSpan timeout)
{
	client->silence_timeout = timeout;
}

void http_client_set_kept_bytes_max(http_client_t *client, gsize max)
{
	client->kept_bytes_max = max;
}

void http_client_free(http_client_t *client)
{
	if (!client)
		return;
	if (client->timeout_source)
		g_source_remove(client->timeout_source);
	while (!TAILQ_EMPTY(&client->peers))
		peer_free(TAILQ_FIRST(&client->peers));
	g_hash_table_destroy(client->peers_by_address);
	g_hash_table_destroy(client->connections_by_id);
	g_free(client);
}
