/*
 * Tests the connections between instances with messages that are cut: a part of
 * a message must not be delivered.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <sys/socket.h>

#include "codec/peer_codec.h"
#include "net/address.h"
#include "net/peer_link.h"
#include "tests/support.h"

#define LINK_PORT 741
#define BODY "0123456789abcde"
#define BODY_BYTES_MAX 1000
#define STALL_MS 1200 /* after which a connection may give way */
#define WAIT_US (5 * G_TIME_SPAN_SECOND)

typedef struct {
	peer_link_t *link;
	counters_t counters;
	GSocketAddress *address;
	GByteArray *bytes; /* hello, call and answer, each with its length */
	guint ends[3]; /* of these messages */
	guint delivered; /* without the hello */
	gboolean closed;
	body_budget_t bodies;
	listener_t listener; /* in use after limit_peers() */
	GBytes *kept; /* body of the last call, with these limits */
} fixture_t;

static void on_message(void *ctx, guint64 connection,
		       const peer_message_t *message)
{
	fixture_t *f = ctx;
	GBytes *body = message->kind == PEER_FORWARD_CALL ?
			       message->u.call.body :
			       message->u.answer.body;

	(void)connection;
	assert_int_equal(g_bytes_get_size(body), strlen(BODY));
	f->delivered++;
	if (message->kind == PEER_FORWARD_CALL && f->listener.bodies) {
		g_clear_pointer(&f->kept, g_bytes_unref);
		f->kept = g_bytes_ref(body);
	}
}

static void on_closed(void *ctx, guint64 connection)
{
	(void)connection;
	((fixture_t *)ctx)->closed = TRUE;
}

static void on_outbound_lost(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static void append_message(fixture_t *f, const peer_message_t *message,
			   guint index)
{
	GByteArray *bytes = peer_codec_encode(message);
	guint32 length = g_htonl(bytes->len);

	g_byte_array_append(f->bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(f->bytes, bytes->data, bytes->len);
	f->ends[index] = f->bytes->len;
	g_byte_array_unref(bytes);
}

static void append_messages(fixture_t *f)
{
	GBytes *body = g_bytes_new_static(BODY, strlen(BODY));
	peer_message_t hello = { .kind = PEER_HELLO };
	peer_message_t call = { .kind = PEER_FORWARD_CALL };
	peer_message_t answer = { .kind = PEER_FORWARD_ANSWER };

	hello.u.protocol_version = PEER_PROTOCOL_VERSION;
	call.u.call = (peer_forward_call_t){ 1,	  "booking", "book", "e1.2.3",
					     "c", 500,	     body };
	answer.u.answer = (peer_forward_answer_t){ .number = 1,
						   .status = 200,
						   .body = body };
	append_message(f, &hello, 0);
	append_message(f, &call, 1);
	append_message(f, &answer, 2);
	g_bytes_unref(body);
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *text = g_strdup_printf("127.0.0.1:%u", test_port(LINK_PORT));
	peer_link_events_t events = { .message = on_message,
				      .closed = on_closed,
				      .outbound_lost = on_outbound_lost,
				      .ctx = f };

	f->link = peer_link_new(text, BODY_BYTES_MAX, &events, &f->counters,
				NULL);
	assert_non_null(f->link);
	f->address = address_parse(text, NULL);
	f->bytes = g_byte_array_new();
	append_messages(f);
	g_free(text);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	peer_link_free(f->link);
	g_object_unref(f->address);
	g_byte_array_unref(f->bytes);
	g_free(f);
	return 0;
}

/* Sends the first size bytes in two parts and ends the connection. */
static void send_cut(fixture_t *f, gsize size, gsize first, gboolean reset)
{
	const struct linger linger = { .l_onoff = reset };
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	gint64 limit = g_get_monotonic_time() + WAIT_US;
	const gchar *data = (const gchar *)f->bytes->data;

	f->delivered = 0;
	f->closed = FALSE;
	assert_true(g_socket_connect(socket, f->address, NULL, NULL));
	g_socket_send(socket, data, first, NULL, NULL);
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_socket_send(socket, data + first, size - first, NULL, NULL);
	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	g_socket_close(socket, NULL);
	g_object_unref(socket);
	while (!f->closed && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, FALSE);
	assert_true(f->closed);
}

static void limit_peers(fixture_t *f)
{
	static const event_log_t log;

	body_budget_init(&f->bodies, 4 << 20);
	listener_init(&f->listener, LISTENER_PEERS, 20, &f->bodies,
		      &f->counters, &log);
	peer_link_set_limits(f->link, &f->listener, 0, 0);
}

/* Sends a hello and the length of a message, of which nothing follows. */
static GSocket *announce_message(fixture_t *f, guint32 bytes)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	guint32 length = g_htonl(bytes);

	f->closed = FALSE;
	assert_true(g_socket_connect(socket, f->address, NULL, NULL));
	g_socket_send(socket, (const gchar *)f->bytes->data, f->ends[0], NULL,
		      NULL);
	g_socket_send(socket, (const gchar *)&length, sizeof(length), NULL,
		      NULL);
	g_socket_set_blocking(socket, FALSE);
	run_loop_for(50);
	return socket;
}

static gboolean is_closed(GSocket *socket)
{
	char byte;

	return g_socket_receive(socket, &byte, 1, NULL, NULL) == 0;
}

/* Fails if stalled messages of peers exclude others for good. */
static void stalled_message_gives_way(void **state)
{
	fixture_t *f = *state;
	GSocket *first, *second, *third;

	limit_peers(f);
	first = announce_message(f, PEER_CONFIG_BYTES_MAX);
	assert_false(f->closed);
	second = announce_message(f, PEER_CONFIG_BYTES_MAX);
	assert_true(f->closed);
	assert_true(is_closed(second));
	assert_int_equal(f->counters.value[COUNTER_BODIES_REFUSED_PEERS], 1);
	run_loop_for(STALL_MS);
	third = announce_message(f, PEER_CONFIG_BYTES_MAX);
	assert_true(is_closed(first));
	assert_false(is_closed(third));
	g_object_unref(first);
	g_object_unref(second);
	g_object_unref(third);
}

/* Fails if connections of peers exceed their limit, or the limit holds for good. */
static void idle_connection_gives_way(void **state)
{
	GSocket *sockets[9]; /* one more than the least limit */
	fixture_t *f = *state;
	guint i;

	limit_peers(f);
	for (i = 0; i < G_N_ELEMENTS(sockets) - 1; i++)
		sockets[i] = announce_message(f, 1);
	assert_false(f->closed);
	run_loop_for(STALL_MS);
	sockets[i] = announce_message(f, 1);
	assert_true(is_closed(sockets[0]));
	assert_false(is_closed(sockets[i]));
	assert_int_equal(f->counters.value[COUNTER_CONNECTIONS_REPLACED_PEERS],
			 1);
	for (i = 0; i < G_N_ELEMENTS(sockets); i++)
		g_object_unref(sockets[i]);
}

/* Fails if the body of a call is not counted until the call has ended. */
static void body_of_a_call_is_held(void **state)
{
	fixture_t *f = *state;

	limit_peers(f);
	send_cut(f, f->bytes->len, f->bytes->len / 2, FALSE);
	assert_int_equal(f->delivered, 2);
	assert_int_equal(body_budget_used(&f->bodies), strlen(BODY));
	assert_memory_equal(g_bytes_get_data(f->kept, NULL), BODY,
			    strlen(BODY));
	g_clear_pointer(&f->kept, g_bytes_unref);
	assert_int_equal(body_budget_used(&f->bodies), 0);
	/* Without room the call is not delivered, nor what follows it. */
	f->bodies.max = strlen(BODY) - 1;
	send_cut(f, f->bytes->len, f->bytes->len / 2, FALSE);
	assert_int_equal(f->delivered, 0);
}

/* Fails if a peer can send much before it says which protocol it speaks. */
static void first_message_is_small(void **state)
{
	fixture_t *f = *state;
	GSocket *socket;

	f->ends[0] = 0;
	socket = announce_message(f, 512);
	assert_true(is_closed(socket));
	g_object_unref(socket);
}

/* Fails if a call or an answer is delivered that was cut at any byte. */
static void cut_message_is_not_delivered(void **state)
{
	fixture_t *f = *state;
	gsize size;

	for (size = 1; size <= f->bytes->len; size++) {
		guint whole = (size >= f->ends[1]) + (size >= f->ends[2]);

		send_cut(f, size, size / 2 + 1, FALSE);
		assert_int_equal(f->delivered, whole);
		/* A reset may drop what was not read. */
		send_cut(f, size, size / 2 + 1, TRUE);
		assert_true(f->delivered <= whole);
	}
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(cut_message_is_not_delivered),
		TEST(stalled_message_gives_way),
		TEST(idle_connection_gives_way),
		TEST(first_message_is_small),
		TEST(body_of_a_call_is_held),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
