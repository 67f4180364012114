#include "tests/soak/soak_proxy.h"

#include <sys/socket.h>

#include "lib/common/intrusive.h"
#include "net/address.h"
#include "net/stream.h"

typedef enum { TO_TARGET, TO_CLIENT, DIRECTIONS } direction_t;

typedef struct side {
	struct connection *connection;
	direction_t direction; /* of the data read from this side */
	stream_t *stream;
	GByteArray *held; /* read, but not forwarded yet */
} side_t;

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	soak_proxy_t *proxy;
	GSocket *client_socket;
	side_t sides[DIRECTIONS];
	gboolean blackholed;
	guint pending_writes; /* timers of PROXY_DELAY */
	gboolean closed;
} connection_t;

typedef struct {
	connection_t *connection;
	direction_t direction;
	GBytes *bytes; /* NULL to close the connection */
} delayed_write_t;

struct soak_proxy {
	GSocket *listener;
	GSource *source;
	gchar *target;
	proxy_mode_t mode;
	guint delay_ms;
	TAILQ_HEAD(connection_list, connection) connections;
};

static const char *const mode_names[PROXY_MODE_COUNT] = {
	"pass", "delay", "reset", "cut_there", "cut_back", "silence",
};

const char *proxy_mode_name(proxy_mode_t mode)
{
	return mode_names[mode];
}

static void connection_free_if_unused(connection_t *connection)
{
	guint i;

	if (connection->pending_writes)
		return;
	for (i = 0; i < DIRECTIONS; i++)
		g_byte_array_unref(connection->sides[i].held);
	g_object_unref(connection->client_socket);
	g_free(connection);
}

static void close_connection(connection_t *connection, gboolean reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (connection->closed)
		return;
	connection->closed = TRUE;
	if (reset)
		setsockopt(g_socket_get_fd(connection->client_socket),
			   SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	TAILQ_REMOVE(&connection->proxy->connections, connection, link);
	stream_free(connection->sides[TO_TARGET].stream);
	stream_free(connection->sides[TO_CLIENT].stream);
	g_socket_close(connection->client_socket, NULL);
	connection_free_if_unused(connection);
}

static void forward(connection_t *connection, direction_t direction,
		    const void *data, gsize size)
{
	/* Data read from one side is written to the other. */
	stream_write(connection->sides[1 - direction].stream, data, size);
}

static gboolean on_delay_passed(gpointer data)
{
	delayed_write_t *delayed = data;
	connection_t *connection = delayed->connection;
	gsize size;
	gconstpointer bytes;

	connection->pending_writes--;
	if (!connection->closed && delayed->bytes) {
		bytes = g_bytes_get_data(delayed->bytes, &size);
		forward(connection, delayed->direction, bytes, size);
	} else if (!connection->closed) {
		close_connection(connection, FALSE);
		connection = NULL;
	}
	if (connection && connection->closed)
		connection_free_if_unused(connection);
	if (delayed->bytes)
		g_bytes_unref(delayed->bytes);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static void forward_later(connection_t *connection, direction_t direction,
			  GBytes *bytes)
{
	delayed_write_t *delayed = g_new0(delayed_write_t, 1);

	delayed->connection = connection;
	delayed->direction = direction;
	delayed->bytes = bytes;
	connection->pending_writes++;
	g_timeout_add(connection->proxy->delay_ms, on_delay_passed, delayed);
}

static gboolean is_held(const connection_t *connection, direction_t direction)
{
	proxy_mode_t mode = connection->proxy->mode;

	return (mode == PROXY_HOLD_TO_TARGET && direction == TO_TARGET) ||
	       (mode == PROXY_HOLD_TO_CLIENT && direction == TO_CLIENT);
}

static void on_received(void *ctx, const char *data, gsize size)
{
	side_t *side = ctx;
	connection_t *connection = side->connection;

	if (connection->blackholed)
		return;
	if (is_held(connection, side->direction) || side->held->len)
		g_byte_array_append(side->held, (const guint8 *)data,
				    (guint)size);
	else if (connection->proxy->mode == PROXY_DELAY)
		forward_later(connection, side->direction,
			      g_bytes_new(data, size));
	else
		forward(connection, side->direction, data, size);
}

/* The end of one side closes both, after delayed data was forwarded. */
static void on_ended(void *ctx, stream_end_t how)
{
	side_t *side = ctx;
	connection_t *connection = side->connection;

	if (connection->blackholed)
		return;
	if (connection->proxy->mode == PROXY_DELAY && how == STREAM_EOF)
		forward_later(connection, side->direction, NULL);
	else
		close_connection(connection, how != STREAM_EOF);
}

static gboolean on_connection(GSocket *listener, GIOCondition condition,
			      gpointer data)
{
	soak_proxy_t *proxy = data;
	GSocket *client_socket = g_socket_accept(listener, NULL, NULL);
	connection_t *connection = g_new0(connection_t, 1);
	guint i;

	(void)condition;
	if (!client_socket) {
		g_free(connection);
		return G_SOURCE_CONTINUE;
	}
	connection->proxy = proxy;
	connection->client_socket = client_socket;
	for (i = 0; i < DIRECTIONS; i++) {
		stream_events_t events = { .received = on_received,
					   .ended = on_ended,
					   .ctx = &connection->sides[i] };

		connection->sides[i].connection = connection;
		connection->sides[i].direction = (direction_t)i;
		connection->sides[i].held = g_byte_array_new();
		connection->sides[i].stream =
			i == TO_TARGET ?
				stream_new_from_socket(client_socket, &events) :
				stream_connect(proxy->target, &events, NULL);
	}
	TAILQ_INSERT_TAIL(&proxy->connections, connection, link);
	if (proxy->mode == PROXY_RESET)
		close_connection(connection, TRUE);
	return G_SOURCE_CONTINUE;
}

soak_proxy_t *soak_proxy_new(guint port, guint target)
{
	soak_proxy_t *proxy = g_new0(soak_proxy_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", port);

	TAILQ_INIT(&proxy->connections);
	proxy->target = g_strdup_printf("127.0.0.1:%u", target);
	proxy->listener = address_listen(address, NULL);
	if (!proxy->listener)
		g_error("cannot listen on %s: free the port or choose another "
			"--port-base",
			address);
	proxy->source = g_socket_create_source(proxy->listener, G_IO_IN, NULL);
	g_source_set_callback(proxy->source, G_SOURCE_FUNC(on_connection),
			      proxy, NULL);
	g_source_attach(proxy->source, NULL);
	g_free(address);
	return proxy;
}

void soak_proxy_free(soak_proxy_t *proxy)
{
	if (!proxy)
		return;
	while (!TAILQ_EMPTY(&proxy->connections))
		close_connection(TAILQ_FIRST(&proxy->connections), TRUE);
	g_source_destroy(proxy->source);
	g_source_unref(proxy->source);
	g_object_unref(proxy->listener);
	g_free(proxy->target);
	g_free(proxy);
}

static void release_held(connection_t *connection)
{
	guint i;

	for (i = 0; i < DIRECTIONS; i++) {
		GByteArray *held = connection->sides[i].held;

		if (held->len && !connection->blackholed)
			forward(connection, (direction_t)i, held->data,
				held->len);
		g_byte_array_set_size(held, 0);
	}
}

void soak_proxy_set(soak_proxy_t *proxy, proxy_mode_t mode, guint delay_ms)
{
	connection_t *connection, *next;

	proxy->mode = mode;
	proxy->delay_ms = delay_ms;
	TAILQ_FOREACH_SAFE (connection, &proxy->connections, link, next) {
		release_held(connection);
		if (mode == PROXY_RESET)
			close_connection(connection, TRUE);
		else if (mode == PROXY_BLACKHOLE)
			connection->blackholed = TRUE;
	}
}

gboolean soak_proxy_is_faulty(const soak_proxy_t *proxy)
{
	return proxy->mode != PROXY_PASS;
}
