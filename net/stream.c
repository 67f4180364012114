#include "net/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "lib/common/intrusive.h"
#include "net/address.h"

#define READ_BUFFER_BYTES 16384
/*
 * Data that stays unacknowledged for this long ends the connection. A machine
 * that lost power sends no reset, and the kernel's default is to retransmit for
 * minutes.
 */
#define USER_TIMEOUT_MS 4000

/*
 * Linux ends a connection by TCP_USER_TIMEOUT instead of by the number of probes
 * that were not answered, but checks it only when a probe is due (tcp(7)).
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1

/* Data that the kernel has not accepted completely yet. */
typedef struct output {
	TAILQ_ENTRY(output) link;
	GBytes *bytes;
	gsize offset; /* of the first byte to send */
} output_t;

struct stream {
	GSource *source;
	gpointer fd_tag; /* watch of the socket, NULL once the stream ended */
	GSocket *socket;
	stream_events_t events;
	TAILQ_HEAD(output_list, output) outputs; /* oldest first */
	gsize bytes_buffered; /* of the outputs, not yet sent */
	guint64 bytes_sent;
	gboolean connecting;
	gboolean reading;
	gboolean shutdown_pending; /* shut down writing after a flush */
	gboolean write_failed; /* reported by the next dispatch */
	gboolean write_was_reset; /* a read no longer reports the reset */
	gboolean ended;
	gboolean dispatching;
	gboolean free_pending; /* freed at the end of the dispatch */
};

/* Main loop source of a stream. */
typedef struct {
	GSource source;
	stream_t *stream;
} stream_source_t;

static int socket_fd(const stream_t *stream)
{
	return g_socket_get_fd(stream->socket);
}

static void update_watch(stream_t *stream)
{
	GIOCondition condition;

	if (!stream->fd_tag)
		return;
	if (stream->connecting || stream->write_failed)
		condition = G_IO_OUT;
	else
		condition = (stream->reading ? G_IO_IN : 0) |
			    (stream->bytes_buffered ? G_IO_OUT : 0);
	g_source_modify_unix_fd(stream->source, stream->fd_tag, condition);
}

static void end_stream(stream_t *stream, stream_end_t end)
{
	if (stream->ended)
		return;
	stream->ended = TRUE;
	/* The loop would report a closed connection in every iteration. */
	g_source_remove_unix_fd(stream->source, stream->fd_tag);
	stream->fd_tag = NULL;
	stream->events.ended(stream->events.ctx, end);
}

static void shutdown_if_flushed(stream_t *stream)
{
	if (stream->shutdown_pending && !stream->bytes_buffered &&
	    !stream->connecting)
		shutdown(socket_fd(stream), SHUT_WR);
}

static gboolean can_send(const stream_t *stream)
{
	return !stream->connecting && !stream->write_failed;
}

/* Returns the number of bytes that the kernel accepted. */
static gsize send_data(stream_t *stream, const guint8 *data, gsize size)
{
	ssize_t sent = send(socket_fd(stream), data, size, MSG_NOSIGNAL);

	if (sent >= 0) {
		stream->bytes_sent += (guint64)sent;
		return (gsize)sent;
	}
	if (errno != EAGAIN && errno != EINTR) {
		/* Reported from the loop: a write must not call back. */
		stream->write_failed = TRUE;
		/* EPIPE: the peer had closed its sending side before. */
		stream->write_was_reset = errno != EPIPE;
	}
	return 0;
}

static void add_output(stream_t *stream, GBytes *bytes)
{
	output_t *output = g_new0(output_t, 1);

	output->bytes = g_bytes_ref(bytes);
	stream->bytes_buffered += g_bytes_get_size(bytes);
	TAILQ_INSERT_TAIL(&stream->outputs, output, link);
}

static void output_free(stream_t *stream, output_t *output)
{
	TAILQ_REMOVE(&stream->outputs, output, link);
	g_bytes_unref(output->bytes);
	g_free(output);
}

/* Returns FALSE if the kernel did not accept the whole output. */
static gboolean send_output(stream_t *stream, output_t *output)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(output->bytes, &size);
	gsize sent =
		send_data(stream, data + output->offset, size - output->offset);

	output->offset += sent;
	stream->bytes_buffered -= sent;
	if (output->offset < size)
		return FALSE;
	output_free(stream, output);
	return TRUE;
}

/* Passes as much buffered data to the kernel as it accepts. */
static void flush(stream_t *stream)
{
	if (!can_send(stream) || !stream->bytes_buffered)
		return;
	while (!TAILQ_EMPTY(&stream->outputs) &&
	       send_output(stream, TAILQ_FIRST(&stream->outputs)))
		;
	shutdown_if_flushed(stream);
}

static void finish_connecting(stream_t *stream)
{
	if (!g_socket_check_connect_result(stream->socket, NULL)) {
		end_stream(stream, STREAM_NOT_CONNECTED);
		return;
	}
	stream->connecting = FALSE;
	flush(stream);
}

static void flush_and_notify(stream_t *stream)
{
	flush(stream);
	if (!stream->bytes_buffered && stream->events.flushed)
		stream->events.flushed(stream->events.ctx);
}

static void read_data(stream_t *stream)
{
	char data[READ_BUFFER_BYTES];
	ssize_t size = recv(socket_fd(stream), data, sizeof(data), 0);

	if (size > 0)
		stream->events.received(stream->events.ctx, data, (gsize)size);
	else if (size == 0)
		end_stream(stream,
			   stream->write_was_reset ? STREAM_RESET : STREAM_EOF);
	else if (errno != EAGAIN && errno != EINTR)
		end_stream(stream, STREAM_RESET);
}

static void handle_events(stream_t *stream, GIOCondition condition)
{
	if (stream->connecting) {
		finish_connecting(stream);
		return;
	}
	/* Data that arrived before a reset is read first. */
	if ((condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)) && stream->reading)
		read_data(stream);
	else if (stream->write_failed || (condition & (G_IO_ERR | G_IO_HUP)))
		end_stream(stream, STREAM_RESET);
	if (!stream->free_pending && !stream->ended && (condition & G_IO_OUT))
		flush_and_notify(stream);
}

static void stream_destroy(stream_t *stream)
{
	g_source_destroy(stream->source);
	g_source_unref(stream->source);
	g_socket_close(stream->socket, NULL);
	g_object_unref(stream->socket);
	while (!TAILQ_EMPTY(&stream->outputs))
		output_free(stream, TAILQ_FIRST(&stream->outputs));
	g_free(stream);
}

static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	stream_t *stream = ((stream_source_t *)source)->stream;
	GIOCondition condition =
		stream->fd_tag ?
			g_source_query_unix_fd(source, stream->fd_tag) :
			0;

	(void)callback;
	(void)data;
	stream->dispatching = TRUE;
	if (condition)
		handle_events(stream, condition);
	stream->dispatching = FALSE;
	if (stream->free_pending)
		stream_destroy(stream);
	else
		update_watch(stream);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs stream_source_funcs = { .dispatch = dispatch };

static void set_socket_options(const stream_t *stream)
{
	g_socket_set_option(stream->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(stream->socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    USER_TIMEOUT_MS, NULL);
}

static stream_t *stream_create(GSocket *socket, const stream_events_t *events)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->socket = g_object_ref(socket);
	stream->events = *events;
	TAILQ_INIT(&stream->outputs);
	stream->reading = TRUE;
	g_socket_set_blocking(socket, FALSE);
	set_socket_options(stream);
	stream->source =
		g_source_new(&stream_source_funcs, sizeof(stream_source_t));
	((stream_source_t *)stream->source)->stream = stream;
	stream->fd_tag = g_source_add_unix_fd(stream->source, socket_fd(stream),
					      G_IO_IN);
	g_source_attach(stream->source, NULL);
	return stream;
}

stream_t *stream_new_from_socket(GSocket *socket, const stream_events_t *events)
{
	return stream_create(socket, events);
}

stream_t *stream_connect(const char *address, const stream_events_t *events,
			 catk_error_t *err)
{
	GSocketAddress *socket_address = address_parse(address, err);
	stream_t *stream = NULL;
	GError *error = NULL;
	GSocket *socket;

	if (!socket_address)
		return NULL;
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, &error);
	if (!socket)
		goto out;
	g_socket_set_blocking(socket, FALSE);
	if (!g_socket_connect(socket, socket_address, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
		goto out;
	stream = stream_create(socket, events);
	stream->connecting = TRUE;
	update_watch(stream);
out:
	if (!stream)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot connect to %s: %s", address,
			       error->message);
	g_clear_error(&error);
	g_clear_object(&socket);
	g_object_unref(socket_address);
	return stream;
}

void stream_free(stream_t *stream)
{
	if (!stream)
		return;
	stream->ended = TRUE;
	if (stream->dispatching)
		stream->free_pending = TRUE;
	else
		stream_destroy(stream);
}

void stream_write(stream_t *stream, const void *data, gsize size)
{
	gsize sent = 0;
	GBytes *rest;

	if (can_send(stream) && !stream->bytes_buffered)
		sent = send_data(stream, data, size);
	if (sent < size) {
		rest = g_bytes_new((const guint8 *)data + sent, size - sent);
		add_output(stream, rest);
		g_bytes_unref(rest);
	}
	update_watch(stream);
}

void stream_write_bytes(stream_t *stream, GBytes *bytes)
{
	if (!g_bytes_get_size(bytes))
		return;
	add_output(stream, bytes);
	flush(stream);
	update_watch(stream);
}

void stream_shutdown_write(stream_t *stream)
{
	stream->shutdown_pending = TRUE;
	shutdown_if_flushed(stream);
}

gboolean stream_has_input(const stream_t *stream)
{
	return !stream->ended &&
	       g_socket_condition_check(stream->socket, G_IO_IN) != 0;
}

gboolean stream_peer_has_closed(const stream_t *stream)
{
	struct pollfd socket = { .fd = socket_fd(stream), .events = POLLRDHUP };

	if (stream->ended)
		return TRUE;
	return poll(&socket, 1, 0) > 0 &&
	       (socket.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

guint64 stream_bytes_sent(const stream_t *stream)
{
	return stream->bytes_sent;
}

gsize stream_bytes_buffered(const stream_t *stream)
{
	return stream->bytes_buffered;
}

void stream_detect_silence(stream_t *stream, GTimeSpan timeout)
{
	GSocket *socket = stream->socket;

	g_socket_set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    KEEPALIVE_INTERVAL_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    (gint)(timeout / G_TIME_SPAN_MILLISECOND), NULL);
}

void stream_set_reading(stream_t *stream, gboolean reading)
{
	if (stream->reading == reading)
		return;
	stream->reading = reading;
	update_watch(stream);
}
