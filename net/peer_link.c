#include "net/peer_link.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "codec/deflate.h"
#include "codec/peer_codec.h"
#include "net/system_clock.h"

#define LENGTH_BYTES 4 /* size of the length in front of a message */
#define READ_BYTES_MAX 16384 /* per read */
#define MESSAGE_OVERHEAD 65536 /* bytes for names, ids and error texts */
#define QUEUE_MESSAGES_MAX 4 /* size of a send queue, in largest messages */

#define CHECK_INTERVAL_MS 250
/* Peers answer a ping within milliseconds unless the connection is dead. */
#define PING_TIMEOUT (2 * G_TIME_SPAN_SECOND)
/* A check that is later than this shows that this process, not a peer, paused. */
#define PAUSE_MIN (1 * G_TIME_SPAN_SECOND)
/*
 * Idle time after which the side that opened a connection closes it. With up to
 * 25 members, each is pinged more often than this and stays connected. With 200
 * members, each is pinged every 80 s, and the timeout leaves about 50 of 400
 * sockets open for the main loop to poll.
 */
#define IDLE_TIMEOUT (10 * G_TIME_SPAN_SECOND)
/*
 * For the side that accepted the connection, and for a connection on which
 * answers are pending; longer than any deadline.
 */
#define LONG_IDLE_TIMEOUT (300 * G_TIME_SPAN_SECOND)

/* The first message of a connection that a peer opened, in bytes. */
#define HELLO_BYTES_MAX 256
/* Messages up to this size, a configuration, have a budget of their own. */
#define CONTROL_BYTES_MAX (PEER_CONFIG_BYTES_MAX + MESSAGE_OVERHEAD)
/*
 * An accepted connection without progress for this long may be closed for
 * another that needs its place or its memory.
 */
#define REPLACE_IDLE_MIN (1 * G_TIME_SPAN_SECOND)
/* Slowest transfer of a message after a grace period; links have 10 Mbit/s. */
#define MESSAGE_BYTES_PER_S_MIN 16384
#define MESSAGE_GRACE (30 * G_TIME_SPAN_SECOND)
/* A peer that does not read for this long loses its connection. */
#define USER_TIMEOUT_MS 4000

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	peer_link_t *owner; /* NULL once closed */
	guint64 id;
	char address[MEMBER_ADDRESS_MAX + 1]; /* empty if the peer opened it */
	GSocketConnection *socket; /* NULL while connecting */
	GCancellable *connecting; /* cancels the connection attempt */
	guint operations; /* asynchronous operations in progress */
	/* The hello was received, or sent if this side opened the connection. */
	gboolean hello_done;
	guint8 buffer[READ_BYTES_MAX]; /* of the read in progress */
	GByteArray *received; /* start of an incomplete message */
	/* Budget of the incomplete message, NULL if it is a small one. */
	body_budget_t *held_in;
	gsize held;
	GTimeSpan held_since; /* instant */
	gboolean refused; /* no room for its message */
	gsize send_held; /* of the budget for messages to send */
	GByteArray *queued; /* to send after the write in progress */
	GByteArray *writing; /* NULL if no write is in progress */
	GTimeSpan ping_pending_since; /* 0 if no ping is unanswered */
	guint pending_answers; /* to forwarded calls */
	guint running_calls; /* forwarded by the peer, not answered yet */
	GTimeSpan last_used;
} connection_t;

struct peer_link {
	peer_link_events_t events;
	counters_t *counters;
	gsize message_bytes_max; /* without the length */
	listener_t *listener; /* NULL for no limits */
	body_budget_t control; /* for received messages up to CONTROL_BYTES_MAX */
	body_budget_t sending; /* for messages that peers have not read yet */
	GSocketService *service;
	GSocketClient *client;
	TAILQ_HEAD(connection_list, connection) connections;
	deflate_cache_t config; /* sent to many peers after each change */
	guint64 last_id;
	guint check_timer;
	GTimeSpan last_check;
	GTimeSpan last_pause; /* detected by the last check, 0 if none */
};

/* Body of a forwarded call, counted in a budget. */
typedef struct {
	body_budget_t *budget;
	gsize held;
	GBytes *bytes;
} held_body_t;

/* Context of on_message(). */
typedef struct {
	connection_t *connection;
	gboolean protocol_error;
} delivery_t;

/* Returns FALSE if the connection held no room for a message. */
static gboolean release_message(connection_t *connection)
{
	if (!connection->held_in)
		return FALSE;
	body_budget_resize(connection->held_in, &connection->held, 0);
	connection->held_in = NULL;
	return TRUE;
}

/* Gives the memory of a large message back; a GByteArray would keep it. */
static void shrink_received(connection_t *connection)
{
	GByteArray *rest = g_byte_array_new();

	g_byte_array_append(rest, connection->received->data,
			    connection->received->len);
	g_byte_array_unref(connection->received);
	connection->received = rest;
}

/* Returns FALSE if there is no room for so many bytes to send. */
static gboolean hold_sending(connection_t *connection, gsize bytes)
{
	peer_link_t *link = connection->owner;

	return !link->listener ||
	       body_budget_resize(&link->sending, &connection->send_held,
				  bytes);
}

static void connection_free(connection_t *connection)
{
	g_clear_object(&connection->socket);
	g_object_unref(connection->connecting);
	g_byte_array_unref(connection->received);
	g_byte_array_unref(connection->queued);
	g_clear_pointer(&connection->writing, g_byte_array_unref);
	g_free(connection);
}

/*
 * Shuts the connection down and frees it when its operations have ended. A read
 * ends when its socket is shut down; a cancellable instead would cost a second
 * file descriptor and source per connection.
 */
static void detach(connection_t *connection)
{
	TAILQ_REMOVE(&connection->owner->connections, connection, link);
	release_message(connection);
	body_budget_resize(&connection->owner->sending, &connection->send_held,
			   0);
	connection->owner = NULL;
	g_cancellable_cancel(connection->connecting);
	if (connection->socket)
		g_socket_shutdown(
			g_socket_connection_get_socket(connection->socket),
			TRUE, TRUE, NULL);
	if (!connection->operations)
		connection_free(connection);
}

static void close_connection(connection_t *connection)
{
	const peer_link_events_t events = connection->owner->events;
	gchar *address = g_strdup(connection->address);
	guint64 id = connection->id;

	detach(connection);
	events.closed(events.ctx, id);
	if (address[0])
		events.outbound_lost(events.ctx, address);
	g_free(address);
}

/*
 * Records that an operation has ended. Returns FALSE if the connection has been
 * closed; it is then freed with its last operation.
 */
static gboolean end_operation(connection_t *connection)
{
	connection->operations--;
	if (connection->owner)
		return TRUE;
	if (!connection->operations)
		connection_free(connection);
	return FALSE;
}

static connection_t *connection_new(peer_link_t *link, const char *address)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->owner = link;
	connection->id = ++link->last_id;
	g_strlcpy(connection->address, address, sizeof(connection->address));
	connection->connecting = g_cancellable_new();
	connection->received = g_byte_array_new();
	connection->queued = g_byte_array_new();
	connection->last_used = catk_clock_now(&system_clock);
	TAILQ_INSERT_TAIL(&link->connections, connection, link);
	return connection;
}

static void start_write(connection_t *connection);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	gboolean ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
						       result, NULL, NULL);
	connection_t *connection = data;

	g_clear_pointer(&connection->writing, g_byte_array_unref);
	if (!end_operation(connection))
		return;
	hold_sending(connection, connection->queued->len);
	if (ok)
		start_write(connection);
	else
		close_connection(connection);
}

static void start_write(connection_t *connection)
{
	GIOStream *stream = G_IO_STREAM(connection->socket);

	if (!stream || connection->writing || !connection->queued->len)
		return;
	connection->writing = connection->queued;
	connection->queued = g_byte_array_new();
	connection->operations++;
	g_output_stream_write_all_async(g_io_stream_get_output_stream(stream),
					connection->writing->data,
					connection->writing->len,
					G_PRIORITY_DEFAULT, NULL, on_written,
					connection);
}

static GByteArray *encode(peer_link_t *link, const peer_message_t *message)
{
	peer_message_t compressed = *message;

	if (message->kind != PEER_CONFIG_DOCUMENT ||
	    !message->u.config.may_deflate)
		return peer_codec_encode(message);
	compressed.u.config.deflated =
		deflate_cache_get(&link->config, message->u.config.document);
	return peer_codec_encode(&compressed);
}

/* Bytes that the peer has not read yet, as far as this process keeps them. */
static gsize unsent_bytes(const connection_t *connection)
{
	return connection->queued->len +
	       (connection->writing ? connection->writing->len : 0);
}

/*
 * Drops the message if the send queue is full because the peer does not read, or
 * if there is no room for it beside what other peers have not read. To the
 * sender this is a lost message: each request has a timeout.
 */
static void queue_message(connection_t *connection,
			  const peer_message_t *message)
{
	peer_link_t *link = connection->owner;
	GByteArray *bytes = encode(link, message);
	guint32 length = g_htonl(bytes->len);

	if (connection->queued->len + bytes->len <=
		    QUEUE_MESSAGES_MAX * link->message_bytes_max &&
	    hold_sending(connection, unsent_bytes(connection) + LENGTH_BYTES +
					     bytes->len)) {
		g_byte_array_append(connection->queued, (const guint8 *)&length,
				    LENGTH_BYTES);
		g_byte_array_append(connection->queued, bytes->data,
				    bytes->len);
		counters_add(link->counters, COUNTER_PEER_MESSAGES_SENT, 1);
		counters_add(link->counters, COUNTER_PEER_BYTES_SENT,
			     LENGTH_BYTES + bytes->len);
	}
	g_byte_array_unref(bytes);
	start_write(connection);
}

/*
 * Upper bound of the time for which a message that was just read waited in the
 * kernel while this process was paused.
 */
static GTimeSpan recent_pause(const peer_link_t *link)
{
	GTimeSpan gap = catk_clock_now(&system_clock) - link->last_check;

	return gap > PAUSE_MIN ? gap : link->last_pause;
}

static void held_body_free(gpointer data)
{
	held_body_t *body = data;

	body_budget_resize(body->budget, &body->held, 0);
	g_bytes_unref(body->bytes);
	g_free(body);
}

/*
 * Returns the body of a forwarded call, which is part of the budget until its
 * last reference is gone. Returns NULL if there is no room.
 */
static GBytes *hold_body(connection_t *connection, GBytes *bytes)
{
	listener_t *listener = connection->owner->listener;
	gsize size;
	gconstpointer data = g_bytes_get_data(bytes, &size);
	held_body_t *body;

	if (!listener || !size)
		return g_bytes_ref(bytes);
	body = g_new0(held_body_t, 1);
	body->budget = listener->bodies;
	if (!body_budget_resize(body->budget, &body->held, size)) {
		listener_body_refused(listener, size);
		connection->refused = TRUE;
		g_free(body);
		return NULL;
	}
	body->bytes = g_bytes_ref(bytes);
	return g_bytes_new_with_free_func(data, size, held_body_free, body);
}

/*
 * A forwarded call carries the time remaining until its deadline, from which a
 * pause of this process is subtracted. For one check interval after a pause,
 * calls that have not waited lose this time too.
 */
static void deliver_message(connection_t *connection,
			    const peer_message_t *message)
{
	const peer_link_events_t *events = &connection->owner->events;
	peer_message_t adjusted = *message;

	if (message->kind != PEER_FORWARD_CALL) {
		events->message(events->ctx, connection->id, message);
		return;
	}
	adjusted.u.call.remaining -= recent_pause(connection->owner);
	adjusted.u.call.body = hold_body(connection, message->u.call.body);
	if (!adjusted.u.call.body)
		return;
	events->message(events->ctx, connection->id, &adjusted);
	g_bytes_unref(adjusted.u.call.body);
}

static void on_message(void *ctx, const peer_message_t *message)
{
	delivery_t *delivery = ctx;
	connection_t *connection = delivery->connection;

	counters_add(connection->owner->counters,
		     COUNTER_PEER_MESSAGES_RECEIVED, 1);
	if (message->kind == PEER_HELLO) {
		connection->hello_done = TRUE;
		delivery->protocol_error = message->u.protocol_version !=
					   PEER_PROTOCOL_VERSION;
		return;
	}
	if (message->kind == PEER_FORWARD_ANSWER && connection->pending_answers)
		connection->pending_answers--;
	if (message->kind == PEER_FORWARD_CALL)
		connection->running_calls++;
	if (message->kind == PEER_FORWARD_CANCEL && connection->running_calls)
		connection->running_calls--;
	if (connection->hello_done)
		deliver_message(connection, message);
	else
		delivery->protocol_error = TRUE;
}

static gboolean is_replaceable(const connection_t *connection, GTimeSpan now)
{
	return !connection->address[0] && !connection->running_calls &&
	       now - connection->last_used >= REPLACE_IDLE_MIN;
}

/*
 * Closes the accepted connection that holds a part of the budget and has been
 * without progress for longest. Returns FALSE if there is none.
 */
static gboolean end_stalled_message(peer_link_t *link,
				    const body_budget_t *budget,
				    const connection_t *except)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	connection_t *connection, *found = NULL;

	TAILQ_FOREACH (connection, &link->connections, link)
		if (connection != except && connection->held_in == budget &&
		    is_replaceable(connection, now) &&
		    (!found || connection->last_used < found->last_used))
			found = connection;
	if (found)
		close_connection(found);
	return found != NULL;
}

/*
 * Takes room for the message whose length was received. Returns FALSE if there
 * is none.
 */
static gboolean hold_message(connection_t *connection, gsize bytes)
{
	peer_link_t *link = connection->owner;
	body_budget_t *budget = &link->control;

	if (!link->listener || bytes <= READ_BYTES_MAX || connection->held_in)
		return TRUE;
	if (bytes > CONTROL_BYTES_MAX)
		budget = link->listener->bodies;
	while (!body_budget_resize(budget, &connection->held, bytes))
		if (!end_stalled_message(link, budget, connection)) {
			listener_body_refused(link->listener, bytes);
			connection->refused = TRUE;
			return FALSE;
		}
	connection->held_in = budget;
	connection->held_since = catk_clock_now(&system_clock);
	return TRUE;
}

/*
 * Delivers all complete messages. Returns FALSE on a protocol error, or if there
 * is no room for the next message.
 */
static gboolean process_received(connection_t *connection)
{
	GByteArray *received = connection->received;
	delivery_t delivery = { .connection = connection };
	gboolean was_large = FALSE;
	guint offset = 0;
	guint32 size;

	while (received->len - offset >= LENGTH_BYTES) {
		memcpy(&size, received->data + offset, LENGTH_BYTES);
		size = g_ntohl(size);
		if (size > connection->owner->message_bytes_max ||
		    (!connection->hello_done && size > HELLO_BYTES_MAX))
			return FALSE;
		if (received->len - offset - LENGTH_BYTES < size) {
			if (!hold_message(connection, size))
				return FALSE;
			break;
		}
		offset += LENGTH_BYTES;
		/* Its room goes to the body that is decoded from it. */
		was_large |= release_message(connection);
		if (!peer_codec_decode(received->data + offset, size,
				       on_message, &delivery) ||
		    delivery.protocol_error || connection->refused)
			return FALSE;
		offset += size;
	}
	if (offset)
		g_byte_array_remove_range(received, 0, offset);
	if (was_large)
		shrink_received(connection);
	return TRUE;
}

static void start_read(connection_t *connection);

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source),
						  result, NULL);
	connection_t *connection = data;

	if (!end_operation(connection))
		return;
	if (count <= 0) {
		close_connection(connection);
		return;
	}
	connection->ping_pending_since = 0;
	connection->last_used = catk_clock_now(&system_clock);
	g_byte_array_append(connection->received, connection->buffer,
			    (guint)count);
	if (process_received(connection)) {
		start_read(connection);
		return;
	}
	if (!connection->refused)
		g_warning("peer connection closed: the peer sent an invalid or "
			  "oversized message or uses another protocol version; "
			  "run the same version on all instances");
	close_connection(connection);
}

static void start_read(connection_t *connection)
{
	GIOStream *stream = G_IO_STREAM(connection->socket);

	connection->operations++;
	g_input_stream_read_async(g_io_stream_get_input_stream(stream),
				  connection->buffer, READ_BYTES_MAX,
				  G_PRIORITY_DEFAULT, NULL, on_read,
				  connection);
}

static void start_io(connection_t *connection, GSocketConnection *socket)
{
	connection->socket = socket;
	/* Nagle's algorithm would delay small requests and answers. */
	g_socket_set_option(g_socket_connection_get_socket(socket), IPPROTO_TCP,
			    TCP_NODELAY, 1, NULL);
	g_socket_set_option(g_socket_connection_get_socket(socket), IPPROTO_TCP,
			    TCP_USER_TIMEOUT, USER_TIMEOUT_MS, NULL);
	start_read(connection);
	start_write(connection);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	GSocketConnection *socket = g_socket_client_connect_finish(
		G_SOCKET_CLIENT(source), result, NULL);
	connection_t *connection = data;

	if (!end_operation(connection)) {
		g_clear_object(&socket);
		return;
	}
	if (socket)
		start_io(connection, socket);
	else
		close_connection(connection);
}

/* Parses "ip:port". Returns NULL if text does not have this form. */
static GSocketAddress *parse_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	GSocketAddress *address;
	guint64 port;
	gchar *ip;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16,
						  &port, NULL))
		return NULL;
	ip = g_strndup(text, (gsize)(colon - text));
	address = g_inet_socket_address_new_from_string(ip, (guint)port);
	g_free(ip);
	return address;
}

static connection_t *open_connection(peer_link_t *link, const char *text)
{
	peer_message_t hello = {
		.kind = PEER_HELLO,
		.u.protocol_version = PEER_PROTOCOL_VERSION,
	};
	GSocketAddress *address = parse_address(text);
	connection_t *connection;

	if (!address)
		return NULL;
	connection = connection_new(link, text);
	connection->hello_done = TRUE;
	connection->operations++;
	g_socket_client_connect_async(link->client,
				      G_SOCKET_CONNECTABLE(address),
				      connection->connecting, on_connected,
				      connection);
	g_object_unref(address);
	queue_message(connection, &hello);
	return connection;
}

static connection_t *find_outbound(peer_link_t *link, const char *address)
{
	connection_t *connection;

	TAILQ_FOREACH (connection, &link->connections, link)
		if (strcmp(connection->address, address) == 0)
			return connection;
	return NULL;
}

void peer_link_send(peer_link_t *link, const char *address,
		    const peer_message_t *message)
{
	connection_t *connection = find_outbound(link, address);

	if (!connection)
		connection = open_connection(link, address);
	if (!connection)
		return;
	connection->last_used = catk_clock_now(&system_clock);
	if (message->kind == PEER_MEMBERSHIP &&
	    message->u.membership.kind == MEMBERSHIP_PING &&
	    !connection->ping_pending_since)
		connection->ping_pending_since = connection->last_used;
	if (message->kind == PEER_FORWARD_CALL)
		connection->pending_answers++;
	queue_message(connection, message);
}

void peer_link_reply(peer_link_t *link, guint64 id,
		     const peer_message_t *message)
{
	connection_t *connection;

	TAILQ_FOREACH (connection, &link->connections, link)
		if (connection->id == id) {
			if (message->kind == PEER_FORWARD_ANSWER &&
			    connection->running_calls)
				connection->running_calls--;
			queue_message(connection, message);
			return;
		}
}

/*
 * The accepted connection that has been idle for longest, one without a hello
 * first, or NULL.
 */
static connection_t *find_replaceable(const peer_link_t *link)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	connection_t *connection, *found = NULL;

	TAILQ_FOREACH (connection, &link->connections, link)
		if (is_replaceable(connection, now) &&
		    (!found || connection->hello_done < found->hello_done ||
		     (connection->hello_done == found->hello_done &&
		      connection->last_used < found->last_used)))
			found = connection;
	return found;
}

static guint accepted_count(const peer_link_t *link)
{
	const connection_t *connection;
	guint count = 0;

	TAILQ_FOREACH (connection, &link->connections, link)
		count += !connection->address[0];
	return count;
}

/* Returns FALSE if there is no room for one more accepted connection. */
static gboolean make_room(peer_link_t *link)
{
	connection_t *replaceable;

	if (!link->listener ||
	    accepted_count(link) < link->listener->connections_max)
		return TRUE;
	replaceable = find_replaceable(link);
	if (replaceable)
		close_connection(replaceable);
	listener_connection_limited(link->listener, replaceable != NULL,
				    catk_clock_now(&system_clock));
	return replaceable != NULL;
}

static gboolean on_accepted(GSocketService *service, GSocketConnection *socket,
			    GObject *source, gpointer data)
{
	(void)service;
	(void)source;
	if (!make_room(data))
		return TRUE;
	start_io(connection_new(data, ""), g_object_ref(socket));
	return TRUE;
}

static gboolean is_silent(const connection_t *connection, GTimeSpan now)
{
	return connection->ping_pending_since &&
	       now > connection->ping_pending_since + PING_TIMEOUT;
}

static gboolean is_idle(const connection_t *connection, GTimeSpan now)
{
	gboolean keep = !connection->address[0] || connection->pending_answers;

	return now > connection->last_used +
			     (keep ? LONG_IDLE_TIMEOUT : IDLE_TIMEOUT);
}

static gboolean is_message_slow(const connection_t *connection, GTimeSpan now)
{
	GTimeSpan elapsed = now - connection->held_since;

	return connection->held_in && elapsed > MESSAGE_GRACE &&
	       connection->received->len <
		       (gsize)(elapsed / G_TIME_SPAN_SECOND) *
			       MESSAGE_BYTES_PER_S_MIN;
}

static void check_connection(peer_link_t *link, connection_t *connection,
			     gboolean after_pause, GTimeSpan now)
{
	if (after_pause && connection->ping_pending_since)
		connection->ping_pending_since = now;
	if (is_silent(connection, now) && connection->socket)
		counters_add(link->counters, COUNTER_CONNECTIONS_SILENT, 1);
	if (is_silent(connection, now) || is_idle(connection, now) ||
	    is_message_slow(connection, now))
		close_connection(connection);
}

static gboolean on_check(gpointer data)
{
	peer_link_t *link = data;
	GTimeSpan now = catk_clock_now(&system_clock);
	gboolean after_pause = now > link->last_check + PAUSE_MIN;
	connection_t *connection, *next;

	link->last_pause = after_pause ? now - link->last_check : 0;
	link->last_check = now;
	TAILQ_FOREACH_SAFE (connection, &link->connections, link, next)
		check_connection(link, connection, after_pause, now);
	return G_SOURCE_CONTINUE;
}

static gboolean listen_on(peer_link_t *link, const char *text,
			  catk_error_t *err)
{
	GSocketAddress *address = parse_address(text);
	GError *error = NULL;
	gboolean ok = FALSE;

	if (!address) {
		catk_error_set(
			err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			"peer_address \"%s\" is not valid: write ip:port",
			text);
		return FALSE;
	}
	ok = g_socket_listener_add_address(G_SOCKET_LISTENER(link->service),
					   address, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &error);
	if (!ok)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot listen on peer_address %s: %s; free the "
			       "port or choose another",
			       text, error->message);
	g_clear_error(&error);
	g_object_unref(address);
	return ok;
}

peer_link_t *peer_link_new(const char *address, gsize body_bytes_max,
			   const peer_link_events_t *events,
			   counters_t *counters, catk_error_t *err)
{
	peer_link_t *link = g_new0(peer_link_t, 1);

	link->events = *events;
	link->counters = counters;
	link->message_bytes_max =
		MAX(body_bytes_max, PEER_CONFIG_BYTES_MAX) + MESSAGE_OVERHEAD;
	TAILQ_INIT(&link->connections);
	link->service = g_socket_service_new();
	link->client = g_socket_client_new();
	/* Looking up a proxy would start a thread. */
	g_socket_client_set_enable_proxy(link->client, FALSE);
	g_signal_connect(link->service, "incoming", G_CALLBACK(on_accepted),
			 link);
	link->last_check = catk_clock_now(&system_clock);
	link->check_timer = g_timeout_add(CHECK_INTERVAL_MS, on_check, link);
	if (!listen_on(link, address, err))
		g_clear_pointer(&link, peer_link_free);
	return link;
}

void peer_link_set_limits(peer_link_t *link, listener_t *listener,
			  gsize control_bytes, gsize send_bytes)
{
	link->listener = listener;
	body_budget_init(&link->control, MAX(control_bytes, CONTROL_BYTES_MAX));
	body_budget_init(&link->sending,
			 MAX(send_bytes, link->message_bytes_max));
}

void peer_link_free(peer_link_t *link)
{
	if (!link)
		return;
	g_source_remove(link->check_timer);
	g_socket_service_stop(link->service);
	g_socket_listener_close(G_SOCKET_LISTENER(link->service));
	g_signal_handlers_disconnect_by_data(link->service, link);
	while (!TAILQ_EMPTY(&link->connections))
		detach(TAILQ_FIRST(&link->connections));
	g_object_unref(link->service);
	g_object_unref(link->client);
	deflate_cache_clear(&link->config);
	g_free(link);
}
