#include "tests/soak/soak_proxy.h"

#include <sys/socket.h>

#include "lib/common/intrusive.h"
#include "net/address.h"
#include "net/stream.h"

typedef enum { THERE, BACK, DIRECTIONS } direction_t;

typedef struct pipe_end {
	struct link *link;
	direction_t direction; /* in which it reads */
	stream_t *stream;
	GByteArray *held;
} pipe_end_t;

typedef struct link {
	TAILQ_ENTRY(link) link;
	soak_proxy_t *proxy;
	GSocket *front;
	pipe_end_t ends[DIRECTIONS];
	gboolean silent;
	guint users; /* timers of delayed pieces */
	gboolean closed;
} link_t;

typedef struct {
	link_t *link;
	direction_t direction;
	GBytes *bytes; /* NULL for the end */
} piece_t;

struct soak_proxy {
	GSocket *listener;
	GSource *source;
	gchar *target;
	proxy_mode_t mode;
	guint delay_ms;
	TAILQ_HEAD(link_list, link) links;
};

static const char *const mode_names[PROXY_MODE_COUNT] = {
	"pass", "delay", "reset", "cut_there", "cut_back", "silence",
};

const char *proxy_mode_name(proxy_mode_t mode)
{
	return mode_names[mode];
}

static void link_unref(link_t *link)
{
	guint i;

	if (link->users)
		return;
	for (i = 0; i < DIRECTIONS; i++)
		g_byte_array_unref(link->ends[i].held);
	g_object_unref(link->front);
	g_free(link);
}

static void close_link(link_t *link, gboolean reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (link->closed)
		return;
	link->closed = TRUE;
	if (reset)
		setsockopt(g_socket_get_fd(link->front), SOL_SOCKET, SO_LINGER,
			   &now, sizeof(now));
	TAILQ_REMOVE(&link->proxy->links, link, link);
	stream_free(link->ends[THERE].stream);
	stream_free(link->ends[BACK].stream);
	g_socket_close(link->front, NULL);
	link_unref(link);
}

static void pass_on(link_t *link, direction_t direction, const void *data,
		    gsize size)
{
	/* What is read in one direction is written at the other end. */
	stream_write(link->ends[1 - direction].stream, data, size);
}

static gboolean on_later(gpointer data)
{
	piece_t *piece = data;
	link_t *link = piece->link;
	gsize size;
	gconstpointer bytes;

	link->users--;
	if (!link->closed && piece->bytes) {
		bytes = g_bytes_get_data(piece->bytes, &size);
		pass_on(link, piece->direction, bytes, size);
	} else if (!link->closed) {
		close_link(link, FALSE);
		link = NULL;
	}
	if (link && link->closed)
		link_unref(link);
	if (piece->bytes)
		g_bytes_unref(piece->bytes);
	g_free(piece);
	return G_SOURCE_REMOVE;
}

static void pass_later(link_t *link, direction_t direction, GBytes *bytes)
{
	piece_t *piece = g_new0(piece_t, 1);

	piece->link = link;
	piece->direction = direction;
	piece->bytes = bytes;
	link->users++;
	g_timeout_add(link->proxy->delay_ms, on_later, piece);
}

static gboolean is_held(const link_t *link, direction_t direction)
{
	proxy_mode_t mode = link->proxy->mode;

	return (mode == PROXY_CUT_THERE && direction == THERE) ||
	       (mode == PROXY_CUT_BACK && direction == BACK);
}

static void on_received(void *ctx, const char *data, gsize size)
{
	pipe_end_t *end = ctx;
	link_t *link = end->link;

	if (link->silent)
		return;
	if (is_held(link, end->direction) || end->held->len)
		g_byte_array_append(end->held, (const guint8 *)data,
				    (guint)size);
	else if (link->proxy->mode == PROXY_DELAY)
		pass_later(link, end->direction, g_bytes_new(data, size));
	else
		pass_on(link, end->direction, data, size);
}

/* The end of one side ends both, after what is under way. */
static void on_ended(void *ctx, stream_end_t how)
{
	pipe_end_t *end = ctx;
	link_t *link = end->link;

	if (link->silent)
		return;
	if (link->proxy->mode == PROXY_DELAY && how == STREAM_EOF)
		pass_later(link, end->direction, NULL);
	else
		close_link(link, how != STREAM_EOF);
}

static gboolean on_connection(GSocket *listener, GIOCondition condition,
			      gpointer data)
{
	soak_proxy_t *proxy = data;
	GSocket *front = g_socket_accept(listener, NULL, NULL);
	link_t *link = g_new0(link_t, 1);
	guint i;

	(void)condition;
	if (!front) {
		g_free(link);
		return G_SOURCE_CONTINUE;
	}
	link->proxy = proxy;
	link->front = front;
	for (i = 0; i < DIRECTIONS; i++) {
		stream_events_t events = { .received = on_received,
					   .ended = on_ended,
					   .ctx = &link->ends[i] };

		link->ends[i].link = link;
		link->ends[i].direction = (direction_t)i;
		link->ends[i].held = g_byte_array_new();
		link->ends[i].stream =
			i == THERE ?
				stream_new_from_socket(front, &events) :
				stream_connect(proxy->target, &events, NULL);
	}
	TAILQ_INSERT_TAIL(&proxy->links, link, link);
	if (proxy->mode == PROXY_RESET)
		close_link(link, TRUE);
	return G_SOURCE_CONTINUE;
}

soak_proxy_t *soak_proxy_new(guint port, guint target)
{
	soak_proxy_t *proxy = g_new0(soak_proxy_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", port);

	TAILQ_INIT(&proxy->links);
	proxy->target = g_strdup_printf("127.0.0.1:%u", target);
	proxy->listener = address_listen(address, NULL);
	if (!proxy->listener)
		g_error("cannot listen on %s: free the port or choose another "
			"base",
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
	while (!TAILQ_EMPTY(&proxy->links))
		close_link(TAILQ_FIRST(&proxy->links), TRUE);
	g_source_destroy(proxy->source);
	g_source_unref(proxy->source);
	g_object_unref(proxy->listener);
	g_free(proxy->target);
	g_free(proxy);
}

static void release_held(link_t *link)
{
	guint i;

	for (i = 0; i < DIRECTIONS; i++) {
		GByteArray *held = link->ends[i].held;

		if (held->len && !link->silent)
			pass_on(link, (direction_t)i, held->data, held->len);
		g_byte_array_set_size(held, 0);
	}
}

void soak_proxy_set(soak_proxy_t *proxy, proxy_mode_t mode, guint delay_ms)
{
	link_t *link, *next;

	proxy->mode = mode;
	proxy->delay_ms = delay_ms;
	TAILQ_FOREACH_SAFE (link, &proxy->links, link, next) {
		release_held(link);
		if (mode == PROXY_RESET)
			close_link(link, TRUE);
		else if (mode == PROXY_SILENCE)
			link->silent = TRUE;
	}
}

gboolean soak_proxy_is_faulty(const soak_proxy_t *proxy)
{
	return proxy->mode != PROXY_PASS;
}
