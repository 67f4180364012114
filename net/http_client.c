#include "net/http_client.h"

#include <stdlib.h>
#include <string.h>

#include "net/stream.h"

/* An exchange inside a region takes milliseconds; a lost SYN is sent again
 * after one second, when another endpoint has long answered. */
#define CONNECT_TIMEOUT (300 * G_TIME_SPAN_MILLISECOND)
/* Idle time of a kept connection when the peer states none. */
#define IDLE_DEFAULT (4 * G_TIME_SPAN_SECOND)
/* Taken off the time that the peer states: it closes while a request travels. */
#define IDLE_MARGIN (1 * G_TIME_SPAN_SECOND)
/*
 * Idle connections kept to one peer. An endpoint resets connections beyond a
 * bound for all instances together, and mostly one or two are in use.
 */
#define IDLE_CONNECTIONS_MAX 2
#define TICK_INTERVAL_MS 20

typedef struct peer peer_t;

typedef struct client_connection {
	TAILQ_ENTRY(client_connection) link; /* in idle or busy of the peer */
	peer_t *peer;
	stream_t *stream;
	http_message_parser_t *parse;
	guint64 id; /* of the request in flight, 0 for none */
	GTimeSpan started; /* instant of that request */
	GTimeSpan timeout; /* of that request, 0 for none */
	GTimeSpan idle_since;
	GTimeSpan idle_max; /* as the peer states it */
	guint64 sent_before; /* bytes, when the request started */
	guint uses;
} client_connection_t;

struct peer {
	TAILQ_ENTRY(peer) link;
	http_client_t *client;
	char *address;
	TAILQ_HEAD(idle_list, client_connection) idle; /* last used first */
	TAILQ_HEAD(busy_list, client_connection) busy;
};

struct http_client {
	http_client_events_t events;
	const catk_clock_t *clock;
	GHashTable *peers_by_address;
	GHashTable *by_id; /* request id -> client_connection_t */
	TAILQ_HEAD(peer_list, peer) peers;
	guint tick;
	gboolean keeps_alive;
};

static GTimeSpan client_now(const http_client_t *client)
{
	return catk_clock_now(client->clock);
}

static void connection_free(client_connection_t *connection)
{
	peer_t *peer = connection->peer;

	if (connection->id) {
		g_hash_table_remove(peer->client->by_id, &connection->id);
		TAILQ_REMOVE(&peer->busy, connection, link);
	} else {
		TAILQ_REMOVE(&peer->idle, connection, link);
	}
	stream_free(connection->stream);
	http_message_parser_free(connection->parse);
	g_free(connection);
}

static void end_request(client_connection_t *connection, http_client_end_t end)
{
	http_client_t *client = connection->peer->client;
	http_client_result_t result = { .end = end,
					.reused = connection->uses > 1 };
	guint64 id = connection->id;

	connection_free(connection);
	client->events.ended(client->events.ctx, id, &result);
}

static gboolean is_unsent(const client_connection_t *connection)
{
	return !connection->stream ||
	       stream_bytes_sent(connection->stream) == connection->sent_before;
}

static GTimeSpan stated_idle_time(const http_message_t *answer)
{
	const char *text = http_message_header(answer, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	GTimeSpan time;

	if (!timeout)
		return IDLE_DEFAULT;
	time = strtol(timeout + strlen("timeout="), NULL, 10) *
	       G_TIME_SPAN_SECOND;
	return MAX(time - IDLE_MARGIN, time / 2);
}

static void keep_idle(client_connection_t *connection,
		      const http_message_t *answer)
{
	peer_t *peer = connection->peer;
	client_connection_t *oldest;
	guint count = 0;

	g_hash_table_remove(peer->client->by_id, &connection->id);
	TAILQ_REMOVE(&peer->busy, connection, link);
	connection->id = 0;
	connection->idle_since = client_now(peer->client);
	connection->idle_max = stated_idle_time(answer);
	TAILQ_INSERT_HEAD(&peer->idle, connection, link);
	TAILQ_FOREACH (oldest, &peer->idle, link)
		count++;
	if (count > IDLE_CONNECTIONS_MAX)
		connection_free(TAILQ_LAST(&peer->idle, idle_list));
}

/* Keeps or closes the connection, then hands the answer over. */
static void finish(client_connection_t *connection, gboolean clean)
{
	http_client_t *client = connection->peer->client;
	http_message_t *answer = http_message_parser_take(connection->parse);
	http_client_result_t result = { .end = HTTP_CLIENT_COMPLETED,
					.response = answer,
					.reused = connection->uses > 1 };
	guint64 id = connection->id;

	/* A request that is still being written is due at the endpoint. */
	if (clean && answer->keep_alive &&
	    !stream_bytes_buffered(connection->stream))
		keep_idle(connection, answer);
	else
		connection_free(connection);
	client->events.ended(client->events.ctx, id, &result);
	http_message_free(answer);
}

/* TRUE when an answer of an earlier request was dropped. */
static gboolean drop_foreign(client_connection_t *connection)
{
	const http_client_events_t *events = &connection->peer->client->events;
	const http_message_t *answer =
		http_message_parser_peek(connection->parse);

	if (answer->status >= 200 &&
	    (!events->response_matches ||
	     events->response_matches(events->ctx, connection->id, answer)))
		return FALSE;
	http_message_free(http_message_parser_take(connection->parse));
	return TRUE;
}

static void on_received(void *ctx, const char *data, gsize size)
{
	client_connection_t *connection = ctx;
	http_parse_result_t result = HTTP_PARSE_INCOMPLETE;
	gsize done = 0;
	gsize used;

	/* Bytes that nobody asked for: what follows cannot be trusted. */
	if (!connection->id) {
		connection_free(connection);
		return;
	}
	while (done < size && result == HTTP_PARSE_INCOMPLETE) {
		result = http_message_parser_feed(
			connection->parse, data + done, size - done, &used);
		done += used;
		if (result == HTTP_PARSE_COMPLETE && drop_foreign(connection))
			result = HTTP_PARSE_INCOMPLETE;
	}
	if (result == HTTP_PARSE_COMPLETE)
		finish(connection, done == size);
	else if (result != HTTP_PARSE_INCOMPLETE)
		end_request(connection, HTTP_CLIENT_MALFORMED);
}

static void on_ended(void *ctx, stream_end_t end)
{
	client_connection_t *connection = ctx;

	if (!connection->id)
		connection_free(connection);
	else if (is_unsent(connection))
		end_request(connection, HTTP_CLIENT_NOT_SENT);
	else if (end == STREAM_EOF &&
		 http_message_parser_eof(connection->parse) ==
			 HTTP_PARSE_COMPLETE &&
		 !drop_foreign(connection))
		finish(connection, FALSE);
	else
		end_request(connection, HTTP_CLIENT_DISCONNECTED);
}

static peer_t *peer_of(http_client_t *client, const char *address)
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

static void peer_free(peer_t *peer)
{
	while (!TAILQ_EMPTY(&peer->idle))
		connection_free(TAILQ_FIRST(&peer->idle));
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

	/* Without a stream, the next tick ends the request as not sent. */
	connection->stream = stream_connect(peer->address, &events, NULL);
	if (connection->stream && peer->client->keeps_alive)
		stream_enable_tcp_keepalive(connection->stream);
	connection->peer = peer;
	connection->parse = http_message_parser_new(FALSE);
	return connection;
}

/* The connection that was used last: the others may go unused and close. */
static client_connection_t *take_idle(peer_t *peer, GTimeSpan idle_max)
{
	client_connection_t *connection = TAILQ_FIRST(&peer->idle);
	GTimeSpan age;

	if (!connection)
		return NULL;
	age = client_now(peer->client) - connection->idle_since;
	if (age >= idle_max || age >= connection->idle_max)
		return NULL;
	TAILQ_REMOVE(&peer->idle, connection, link);
	return connection;
}

void http_client_send(http_client_t *client,
		      const http_client_request_t *request)
{
	peer_t *peer = peer_of(client, request->address);
	client_connection_t *connection = take_idle(peer, request->idle_max);

	g_assert(request->id);
	if (!connection)
		connection = open_connection(peer);
	TAILQ_INSERT_TAIL(&peer->busy, connection, link);
	connection->id = request->id;
	connection->started = client_now(client);
	connection->timeout = request->timeout;
	connection->uses++;
	g_hash_table_insert(client->by_id, &connection->id, connection);
	if (!connection->stream)
		return;
	connection->sent_before = stream_bytes_sent(connection->stream);
	stream_write(connection->stream, request->message->str,
		     request->message->len);
}

void http_client_cancel(http_client_t *client, guint64 id)
{
	client_connection_t *connection =
		g_hash_table_lookup(client->by_id, &id);

	if (connection)
		connection_free(connection);
}

static gboolean is_timed_out(const client_connection_t *connection,
			     GTimeSpan now)
{
	GTimeSpan age = now - connection->started;

	return !connection->stream ||
	       (connection->timeout && age >= connection->timeout) ||
	       (connection->uses == 1 && age >= CONNECT_TIMEOUT &&
		is_unsent(connection));
}

static void tick_peer(peer_t *peer, GTimeSpan now)
{
	client_connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &peer->idle, link, next)
		if (now - connection->idle_since >= connection->idle_max)
			connection_free(connection);
	TAILQ_FOREACH_SAFE (connection, &peer->busy, link, next)
		if (is_timed_out(connection, now)) {
			/* The events may change the list: go on next time. */
			end_request(connection, is_unsent(connection) ?
							HTTP_CLIENT_NOT_SENT :
							HTTP_CLIENT_TIMED_OUT);
			return;
		}
}

static gboolean on_tick(gpointer data)
{
	http_client_t *client = data;
	GTimeSpan now = client_now(client);
	peer_t *peer, *next;

	TAILQ_FOREACH_SAFE (peer, &client->peers, link, next) {
		tick_peer(peer, now);
		if (TAILQ_EMPTY(&peer->idle) && TAILQ_EMPTY(&peer->busy))
			peer_free(peer);
	}
	return G_SOURCE_CONTINUE;
}

http_client_t *http_client_new(const http_client_events_t *events,
			       const catk_clock_t *clock)
{
	http_client_t *client = g_new0(http_client_t, 1);

	client->events = *events;
	client->clock = clock;
	client->peers_by_address = g_hash_table_new(g_str_hash, g_str_equal);
	client->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&client->peers);
	client->tick = g_timeout_add(TICK_INTERVAL_MS, on_tick, client);
	return client;
}

void http_client_enable_tcp_keepalive(http_client_t *client)
{
	client->keeps_alive = TRUE;
}

void http_client_free(http_client_t *client)
{
	if (!client)
		return;
	g_source_remove(client->tick);
	while (!TAILQ_EMPTY(&client->peers))
		peer_free(TAILQ_FIRST(&client->peers));
	g_hash_table_destroy(client->peers_by_address);
	g_hash_table_destroy(client->by_id);
	g_free(client);
}
