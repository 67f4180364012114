#include "net/peer_link.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "codec/peer_codec.h"
#include "net/system_clock.h"

#define PREFIX_SIZE 4 /* bytes of the length */
#define READ_SIZE 16384 /* bytes asked for at once */
#define CONFIG_BYTES_MAX (1 << 20) /* largest value of the object API */
#define FRAME_OVERHEAD 65536 /* names, ids and error text of a message */
#define QUEUE_FRAMES_MAX 4 /* largest messages that may wait for a peer */

#define CHECK_INTERVAL_MS 250
/* An answer to a ping takes milliseconds: the connection is silent after this. */
#define SILENT_AFTER (2 * G_TIME_SPAN_SECOND)
/* A later check than this shows a pause of this process, not of the peers. */
#define CHECK_LATE_AFTER (1 * G_TIME_SPAN_SECOND)
/*
 * An unused connection is closed by its opener after this time. Up to 25
 * members, each is pinged more often and stays connected; at 200, where a member
 * has its turn every 80 s, this keeps about 50 of 400 sockets for the loop to
 * look at in each round.
 */
#define IDLE_MAX (10 * G_TIME_SPAN_SECOND)
/* For the other side, and while an answer is due; above any deadline. */
#define UNUSED_MAX (300 * G_TIME_SPAN_SECOND)

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	peer_link_t *owner; /* NULL once closed */
	guint64 id;
	char address[MEMBER_ADDRESS_MAX + 1]; /* empty when the peer opened it */
	GSocketConnection *socket; /* NULL while connecting */
	GCancellable *connecting;
	guint operations; /* asynchronous calls that have not ended */
	gboolean greeted; /* the peer's hello was read */
	guint8 buffer[READ_SIZE];
	GByteArray *received; /* start of a message that is not complete */
	GByteArray *queued;
	GByteArray *writing; /* NULL when no write is in progress */
	GTimeSpan awaiting_since; /* 0 when no answer to a ping is due */
	guint answers_due; /* to forwarded calls */
	GTimeSpan last_used;
} connection_t;

struct peer_link {
	peer_link_events_t events;
	counters_t *counters;
	gsize frame_max; /* bytes */
	GSocketService *service;
	GSocketClient *client;
	TAILQ_HEAD(connection_list, connection) connections;
	guint64 last_id;
	guint check_timer;
	GTimeSpan last_check;
	GTimeSpan pause; /* that the last check noticed, 0 for none */
};

/* Carries a decoded message to the events. */
typedef struct {
	connection_t *connection;
	gboolean refused;
} delivery_t;

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
 * Takes the connection out of use. Its operations end at the next round of the
 * loop: a read of a socket that is shut down returns. A cancellable would cost
 * a second file descriptor and source for each connection.
 */
static void detach(connection_t *connection)
{
	TAILQ_REMOVE(&connection->owner->connections, connection, link);
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

/* Ends an operation. FALSE when the connection was closed meanwhile. */
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

static void write_queued(connection_t *connection);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	gboolean ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
						       result, NULL, NULL);
	connection_t *connection = data;

	g_clear_pointer(&connection->writing, g_byte_array_unref);
	if (!end_operation(connection))
		return;
	if (ok)
		write_queued(connection);
	else
		close_connection(connection);
}

static void write_queued(connection_t *connection)
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

/*
 * What does not fit in the queue of a peer that reads nothing is dropped, as if
 * the connection had lost it: each request has a time limit of its own.
 */
static void queue_message(connection_t *connection,
			  const peer_message_t *message)
{
	peer_link_t *link = connection->owner;
	GByteArray *bytes = peer_codec_encode(message);
	guint32 prefix = g_htonl(bytes->len);

	if (connection->queued->len + bytes->len <=
	    QUEUE_FRAMES_MAX * link->frame_max) {
		g_byte_array_append(connection->queued, (const guint8 *)&prefix,
				    PREFIX_SIZE);
		g_byte_array_append(connection->queued, bytes->data,
				    bytes->len);
		counters_add(link->counters, COUNTER_PEER_MESSAGES_SENT, 1);
		counters_add(link->counters, COUNTER_PEER_BYTES_SENT,
			     PREFIX_SIZE + bytes->len);
	}
	g_byte_array_unref(bytes);
	write_queued(connection);
}

/* Longest time that a message just read may have waited in the kernel. */
static GTimeSpan recent_pause(const peer_link_t *link)
{
	GTimeSpan gap = catk_clock_now(&system_clock) - link->last_check;

	return gap > CHECK_LATE_AFTER ? gap : link->pause;
}

/*
 * The time to the deadline ran on while this process was paused. A call that
 * arrived just after the pause loses time too, for one check interval.
 */
static void pass_message(const connection_t *connection,
			 const peer_message_t *message)
{
	const peer_link_events_t *events = &connection->owner->events;
	peer_message_t adjusted = *message;

	if (message->kind == PEER_FORWARD_CALL)
		adjusted.u.call.remaining -= recent_pause(connection->owner);
	events->message(events->ctx, connection->id, &adjusted);
}

static void on_message(void *ctx, const peer_message_t *message)
{
	delivery_t *delivery = ctx;
	connection_t *connection = delivery->connection;

	counters_add(connection->owner->counters,
		     COUNTER_PEER_MESSAGES_RECEIVED, 1);
	if (message->kind == PEER_HELLO) {
		connection->greeted = TRUE;
		delivery->refused = message->u.protocol_version !=
				    PEER_PROTOCOL_VERSION;
		return;
	}
	if (message->kind == PEER_FORWARD_ANSWER && connection->answers_due)
		connection->answers_due--;
	if (connection->greeted)
		pass_message(connection, message);
	else
		delivery->refused = TRUE;
}

/* Passes on the complete messages. FALSE when the peer breaks the protocol. */
static gboolean take_messages(connection_t *connection)
{
	GByteArray *received = connection->received;
	delivery_t delivery = { .connection = connection };
	guint offset = 0;
	guint32 size;

	while (received->len - offset >= PREFIX_SIZE) {
		memcpy(&size, received->data + offset, PREFIX_SIZE);
		size = g_ntohl(size);
		if (size > connection->owner->frame_max)
			return FALSE;
		if (received->len - offset - PREFIX_SIZE < size)
			break;
		offset += PREFIX_SIZE;
		if (!peer_codec_decode(received->data + offset, size,
				       on_message, &delivery) ||
		    delivery.refused)
			return FALSE;
		offset += size;
	}
	if (offset)
		g_byte_array_remove_range(received, 0, offset);
	return TRUE;
}

static void read_more(connection_t *connection);

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
	connection->awaiting_since = 0;
	connection->last_used = catk_clock_now(&system_clock);
	g_byte_array_append(connection->received, connection->buffer,
			    (guint)count);
	if (take_messages(connection)) {
		read_more(connection);
		return;
	}
	g_warning("peer connection closed: the peer sent a message of another "
		  "protocol version, of another kind or too long; run the "
		  "same version on all instances");
	close_connection(connection);
}

static void read_more(connection_t *connection)
{
	GIOStream *stream = G_IO_STREAM(connection->socket);

	connection->operations++;
	g_input_stream_read_async(g_io_stream_get_input_stream(stream),
				  connection->buffer, READ_SIZE,
				  G_PRIORITY_DEFAULT, NULL, on_read,
				  connection);
}

static void use_socket(connection_t *connection, GSocketConnection *socket)
{
	connection->socket = socket;
	/* Control messages are small and wait for each other's answers. */
	g_socket_set_option(g_socket_connection_get_socket(socket), IPPROTO_TCP,
			    TCP_NODELAY, 1, NULL);
	read_more(connection);
	write_queued(connection);
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
		use_socket(connection, socket);
	else
		close_connection(connection);
}

/* Parses "ip:port". Returns NULL when text is not of that form. */
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
	connection->greeted = TRUE;
	connection->operations++;
	g_socket_client_connect_async(link->client,
				      G_SOCKET_CONNECTABLE(address),
				      connection->connecting, on_connected,
				      connection);
	g_object_unref(address);
	queue_message(connection, &hello);
	return connection;
}

static connection_t *find_opened(peer_link_t *link, const char *address)
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
	connection_t *connection = find_opened(link, address);

	if (!connection)
		connection = open_connection(link, address);
	if (!connection)
		return;
	connection->last_used = catk_clock_now(&system_clock);
	if (message->kind == PEER_MEMBERSHIP &&
	    message->u.membership.kind == MEMBERSHIP_PING &&
	    !connection->awaiting_since)
		connection->awaiting_since = connection->last_used;
	if (message->kind == PEER_FORWARD_CALL)
		connection->answers_due++;
	queue_message(connection, message);
}

void peer_link_reply(peer_link_t *link, guint64 id,
		     const peer_message_t *message)
{
	connection_t *connection;

	TAILQ_FOREACH (connection, &link->connections, link)
		if (connection->id == id) {
			queue_message(connection, message);
			return;
		}
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *socket,
			    GObject *source, gpointer data)
{
	(void)service;
	(void)source;
	use_socket(connection_new(data, ""), g_object_ref(socket));
	return TRUE;
}

static gboolean is_silent(const connection_t *connection, GTimeSpan now)
{
	return connection->awaiting_since &&
	       now > connection->awaiting_since + SILENT_AFTER;
}

static gboolean is_unused(const connection_t *connection, GTimeSpan now)
{
	gboolean keep = !connection->address[0] || connection->answers_due;

	return now > connection->last_used + (keep ? UNUSED_MAX : IDLE_MAX);
}

static void check_connection(peer_link_t *link, connection_t *connection,
			     gboolean after_pause, GTimeSpan now)
{
	if (after_pause && connection->awaiting_since)
		connection->awaiting_since = now;
	if (is_silent(connection, now) && connection->socket)
		counters_add(link->counters, COUNTER_CONNECTIONS_SILENT, 1);
	if (is_silent(connection, now) || is_unused(connection, now))
		close_connection(connection);
}

static gboolean on_check(gpointer data)
{
	peer_link_t *link = data;
	GTimeSpan now = catk_clock_now(&system_clock);
	gboolean after_pause = now > link->last_check + CHECK_LATE_AFTER;
	connection_t *connection, *next;

	link->pause = after_pause ? now - link->last_check : 0;
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
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "peer_address is \"%s\": write ip:port", text);
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
	link->frame_max =
		MAX(body_bytes_max, CONFIG_BYTES_MAX) + FRAME_OVERHEAD;
	TAILQ_INIT(&link->connections);
	link->service = g_socket_service_new();
	link->client = g_socket_client_new();
	/* A proxy lookup would start a thread. */
	g_socket_client_set_enable_proxy(link->client, FALSE);
	g_signal_connect(link->service, "incoming", G_CALLBACK(on_incoming),
			 link);
	link->last_check = catk_clock_now(&system_clock);
	link->check_timer = g_timeout_add(CHECK_INTERVAL_MS, on_check, link);
	if (!listen_on(link, address, err))
		g_clear_pointer(&link, peer_link_free);
	return link;
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
	g_free(link);
}
