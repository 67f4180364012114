#include "net/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/address.h"

#define READ_SIZE 16384
/*
 * A peer that takes no byte for this long is gone: a machine without power
 * answers nothing, and without this the kernel tries for minutes.
 */
#define UNACKNOWLEDGED_MAX_MS 4000

/* A silent connection is found within 3 s. */
#define KEEP_ALIVE_IDLE_S 1
#define KEEP_ALIVE_INTERVAL_S 1
#define KEEP_ALIVE_COUNT 2

struct stream {
	GSource *source;
	gpointer tag; /* of the descriptor in the source */
	GSocket *socket;
	stream_events_t events;
	GByteArray *waiting; /* written, not sent */
	guint64 sent;
	gboolean connecting;
	gboolean reading;
	gboolean finishing; /* close the sending side when all is sent */
	gboolean broken; /* a write failed */
	gboolean ended;
	gboolean dispatching;
	gboolean doomed; /* free at the end of the dispatch */
};

/* The loop's view of a stream. */
typedef struct {
	GSource source;
	stream_t *stream;
} stream_source_t;

static int descriptor(const stream_t *stream)
{
	return g_socket_get_fd(stream->socket);
}

static void watch(stream_t *stream)
{
	GIOCondition condition;

	if (!stream->tag)
		return;
	if (stream->connecting || stream->broken)
		condition = G_IO_OUT;
	else
		condition = (stream->reading ? G_IO_IN : 0) |
			    (stream->waiting->len ? G_IO_OUT : 0);
	g_source_modify_unix_fd(stream->source, stream->tag, condition);
}

static void end_stream(stream_t *stream, stream_end_t end)
{
	if (stream->ended)
		return;
	stream->ended = TRUE;
	/* The loop would report a closed descriptor again and again. */
	g_source_remove_unix_fd(stream->source, stream->tag);
	stream->tag = NULL;
	stream->events.ended(stream->events.ctx, end);
}

static void close_sending_side(stream_t *stream)
{
	if (stream->finishing && !stream->waiting->len && !stream->connecting)
		shutdown(descriptor(stream), SHUT_WR);
}

/* Hands as much as possible to the kernel. */
static void flush(stream_t *stream)
{
	ssize_t size;

	if (stream->connecting || stream->broken || !stream->waiting->len)
		return;
	size = send(descriptor(stream), stream->waiting->data,
		    stream->waiting->len, MSG_NOSIGNAL);
	if (size < 0 && errno != EAGAIN && errno != EINTR) {
		/* The loop reports the end: no callback from a write. */
		stream->broken = TRUE;
	} else if (size > 0) {
		stream->sent += (guint64)size;
		g_byte_array_remove_range(stream->waiting, 0, (guint)size);
	}
	close_sending_side(stream);
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

static void drain(stream_t *stream)
{
	flush(stream);
	if (!stream->waiting->len && stream->events.drained)
		stream->events.drained(stream->events.ctx);
}

static void receive(stream_t *stream)
{
	char data[READ_SIZE];
	ssize_t size = recv(descriptor(stream), data, sizeof(data), 0);

	if (size > 0)
		stream->events.received(stream->events.ctx, data, (gsize)size);
	else if (size == 0)
		end_stream(stream, STREAM_EOF);
	else if (errno != EAGAIN && errno != EINTR)
		end_stream(stream, STREAM_RESET);
}

static void handle(stream_t *stream, GIOCondition condition)
{
	if (stream->connecting) {
		finish_connecting(stream);
		return;
	}
	/* What arrived before a reset is still to be read. */
	if ((condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)) && stream->reading)
		receive(stream);
	else if (stream->broken || (condition & (G_IO_ERR | G_IO_HUP)))
		end_stream(stream, STREAM_RESET);
	if (!stream->doomed && !stream->ended && (condition & G_IO_OUT))
		drain(stream);
}

static void destroy(stream_t *stream)
{
	g_source_destroy(stream->source);
	g_source_unref(stream->source);
	g_socket_close(stream->socket, NULL);
	g_object_unref(stream->socket);
	g_byte_array_unref(stream->waiting);
	g_free(stream);
}

static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	stream_t *stream = ((stream_source_t *)source)->stream;
	GIOCondition condition =
		stream->tag ? g_source_query_unix_fd(source, stream->tag) : 0;

	(void)callback;
	(void)data;
	stream->dispatching = TRUE;
	if (condition)
		handle(stream, condition);
	stream->dispatching = FALSE;
	if (stream->doomed)
		destroy(stream);
	else
		watch(stream);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs stream_source_funcs = { .dispatch = dispatch };

static void set_options(const stream_t *stream)
{
	g_socket_set_option(stream->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(stream->socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    UNACKNOWLEDGED_MAX_MS, NULL);
}

static stream_t *stream_new(GSocket *socket, const stream_events_t *events)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->socket = g_object_ref(socket);
	stream->events = *events;
	stream->waiting = g_byte_array_new();
	stream->reading = TRUE;
	g_socket_set_blocking(socket, FALSE);
	set_options(stream);
	stream->source =
		g_source_new(&stream_source_funcs, sizeof(stream_source_t));
	((stream_source_t *)stream->source)->stream = stream;
	stream->tag = g_source_add_unix_fd(stream->source, descriptor(stream),
					   G_IO_IN);
	g_source_attach(stream->source, NULL);
	return stream;
}

stream_t *stream_new_from_socket(GSocket *socket, const stream_events_t *events)
{
	return stream_new(socket, events);
}

stream_t *stream_connect(const char *text, const stream_events_t *events,
			 catk_error_t *err)
{
	GSocketAddress *address = address_parse(text, err);
	stream_t *stream = NULL;
	GError *error = NULL;
	GSocket *socket;

	if (!address)
		return NULL;
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, &error);
	if (!socket)
		goto out;
	g_socket_set_blocking(socket, FALSE);
	if (!g_socket_connect(socket, address, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
		goto out;
	stream = stream_new(socket, events);
	stream->connecting = TRUE;
	watch(stream);
out:
	if (!stream)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot connect to %s: %s", text,
			       error->message);
	g_clear_error(&error);
	g_clear_object(&socket);
	g_object_unref(address);
	return stream;
}

void stream_free(stream_t *stream)
{
	if (!stream)
		return;
	stream->ended = TRUE;
	if (stream->dispatching)
		stream->doomed = TRUE;
	else
		destroy(stream);
}

void stream_write(stream_t *stream, const void *data, gsize size)
{
	g_byte_array_append(stream->waiting, data, (guint)size);
	flush(stream);
	watch(stream);
}

void stream_shutdown_write(stream_t *stream)
{
	stream->finishing = TRUE;
	close_sending_side(stream);
}

guint64 stream_bytes_sent(const stream_t *stream)
{
	return stream->sent;
}

gsize stream_bytes_buffered(const stream_t *stream)
{
	return stream->waiting->len;
}

void stream_enable_tcp_keepalive(stream_t *stream)
{
	GSocket *socket = stream->socket;

	g_socket_set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE,
			    KEEP_ALIVE_IDLE_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    KEEP_ALIVE_INTERVAL_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, KEEP_ALIVE_COUNT,
			    NULL);
}

void stream_set_reading(stream_t *stream, gboolean reading)
{
	if (stream->reading == reading)
		return;
	stream->reading = reading;
	watch(stream);
}
