/*
 * Tests how the HTTP server ends its connections: no request that was sent and
 * no response that was written may be lost by it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <gio/gio.h>
#include <string.h>

#include "lib/admission/body_budget.h"
#include "net/http_server.h"
#include "net/system_clock.h"
#include "tests/support.h"

enum { SERVER_PORT = 730 };

#define IDLE_TIMEOUT_MS 300
#define TIMEOUT_CHECK_MS 300 /* a little above the server's interval */
#define FIRST_REQUEST_MS 150 /* above the server's wait for it */
#define REQUESTS_MAX 4
#define LARGE_BODY_BYTES (16 << 20) /* more than the kernel's buffers hold */
#define REQUEST "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

typedef struct {
	http_server_t *server;
	GSocket *client;
	/* Without a response, in the order of arrival. */
	http_exchange_t *exchanges[REQUESTS_MAX];
	guint requests;
	gboolean closing;
	body_budget_t budget; /* in use after set_body_budget() */
	guint bodies_refused;
	guint replaced, refused; /* connections */
	GTimeSpan idle_timeout;
	GTimeSpan clock_offset; /* ahead of the system's clock */
	catk_clock_t clock;
} fixture_t;

static void on_request(void *ctx, http_exchange_t *exchange)
{
	fixture_t *f = ctx;

	f->exchanges[f->requests++] = exchange;
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

static schema_request_limits_t idle_limit(void *ctx)
{
	const fixture_t *f = ctx;

	return (schema_request_limits_t){ .idle_timeout = f->idle_timeout };
}

static gboolean is_closing(void *ctx)
{
	const fixture_t *f = ctx;

	return f->closing;
}

static void on_body_refused(void *ctx, gsize bytes)
{
	fixture_t *f = ctx;

	(void)bytes;
	f->bodies_refused++;
}

static void set_body_budget(fixture_t *f, gsize bytes)
{
	body_budget_init(&f->budget, bytes);
	http_server_set_body_budget(f->server, &f->budget);
}

static void on_connection_limited(void *ctx, gboolean replaced)
{
	fixture_t *f = ctx;

	if (replaced)
		f->replaced++;
	else
		f->refused++;
}

static GTimeSpan offset_now(void *ctx)
{
	const fixture_t *f = ctx;

	return catk_clock_now(&system_clock) + f->clock_offset;
}

static GSocket *connect_client(void)
{
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"127.0.0.1", test_port(SERVER_PORT));
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);

	assert_true(g_socket_connect(socket, address, NULL, NULL));
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(address);
	return socket;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	http_server_events_t events = { .request = on_request,
					.disconnected = on_disconnected,
					.limits = idle_limit,
					.closing = is_closing,
					.body_refused = on_body_refused,
					.connection_limited =
						on_connection_limited,
					.sends_continue = TRUE,
					.refusal_headers = "X-Refusal: 1\r\n",
					.ctx = f };
	gchar *address =
		g_strdup_printf("127.0.0.1:%u", test_port(SERVER_PORT));

	f->idle_timeout = IDLE_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;
	f->clock = (catk_clock_t){ .now = offset_now, .ctx = f };
	f->server = http_server_new(address, &events, &f->clock, NULL);
	assert_non_null(f->server);
	g_free(address);
	f->client = connect_client();
	run_loop_for(50);
	assert_int_equal(http_server_connection_count(f->server), 1);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	http_server_free(f->server);
	g_object_unref(f->client);
	g_free(f);
	return 0;
}

static void send_text(const fixture_t *f, const char *text)
{
	assert_int_equal(g_socket_send(f->client, text, strlen(text), NULL,
				       NULL),
			 strlen(text));
}

static void reply_with(fixture_t *f, guint index, gsize size)
{
	GBytes *body = g_bytes_new_take(g_malloc0(size), size);

	http_exchange_reply(f->exchanges[index], 200, "", body);
	g_bytes_unref(body);
}

/* Returns the bytes that arrive until the server closes the connection. */
static gsize read_to_end(const fixture_t *f)
{
	static char data[1 << 20];
	gsize total = 0;
	gssize size;

	do {
		size = g_socket_receive(f->client, data, sizeof(data), NULL,
					NULL);
		total += size > 0 ? (gsize)size : 0;
		run_loop_for(1);
	} while (size != 0);
	return total;
}

/* Fails if an idle timeout discards a request that has just arrived. */
static void request_that_meets_the_idle_timeout_is_read(void **state)
{
	fixture_t *f = *state;

	/* The loop does not run meanwhile, so both are due in one iteration. */
	g_usleep((gulong)(IDLE_TIMEOUT_MS + TIMEOUT_CHECK_MS) * 1000);
	send_text(f, REQUEST);
	run_loop_for(100);
	assert_int_equal(f->requests, 1);
	reply_with(f, 0, 1);
}

/* Fails if a stop discards a request that has just arrived. */
static void request_that_meets_a_stop_is_read(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	send_text(f, REQUEST);
	http_server_stop(f->server);
	run_loop_for(100);
	assert_int_equal(f->requests, 1);
	assert_false(http_server_is_idle(f->server));
	reply_with(f, 0, 1);
	assert_true(read_to_end(f) > 0);
}

/* Fails if a stop discards a request on a connection not accepted yet. */
static void connection_that_meets_a_stop_is_accepted(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	g_object_unref(f->client);
	f->client = connect_client();
	send_text(f, REQUEST);
	http_server_stop(f->server);
	run_loop_for(100);
	assert_int_equal(f->requests, 1);
	reply_with(f, 0, 1);
	assert_true(read_to_end(f) > 0);
}

/* Fails if a stop closes a new connection whose first request is under way. */
static void first_request_that_meets_a_stop_is_read(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	g_object_unref(f->client);
	f->client = connect_client();
	run_loop_for(10);
	http_server_stop(f->server);
	assert_false(http_server_is_idle(f->server));
	run_loop_for(10);
	send_text(f, REQUEST);
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
	reply_with(f, 0, 1);
	assert_true(read_to_end(f) > 0);
}

/* Fails if idle connections outlast a stop, or new ones are accepted. */
static void stop_closes_idle_connections(void **state)
{
	fixture_t *f = *state;
	GSocketClient *client = g_socket_client_new();

	run_loop_for(FIRST_REQUEST_MS);
	http_server_stop(f->server);
	assert_int_equal(http_server_connection_count(f->server), 0);
	assert_true(http_server_is_idle(f->server));
	assert_null(g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)test_port(SERVER_PORT), NULL,
		NULL));
	g_object_unref(client);
}

/* Fails if a stop counts as finished before the last response is read. */
static void stop_waits_until_the_last_response_is_read(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	send_text(f, REQUEST);
	run_loop_for(50);
	http_server_stop(f->server);
	reply_with(f, 0, LARGE_BODY_BYTES);
	run_loop_for(50);
	assert_false(http_server_is_idle(f->server));
	assert_true(read_to_end(f) > LARGE_BODY_BYTES);
	g_socket_close(f->client, NULL);
	run_loop_for(50);
	assert_true(http_server_is_idle(f->server));
}

/* Fails if a client that reads slowly loses the end of its last response. */
static void slow_reader_gets_the_whole_last_response(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	send_text(f, REQUEST);
	run_loop_for(50);
	reply_with(f, 0, LARGE_BODY_BYTES);
	/* Longer than the server waits for a client that has read it all. */
	run_loop_for(2000);
	assert_true(read_to_end(f) > LARGE_BODY_BYTES);
}

/* Fails if a close after one response drops the requests behind it. */
static void requests_in_progress_are_answered_before_a_close(void **state)
{
	fixture_t *f = *state;

	send_text(f, REQUEST REQUEST REQUEST);
	run_loop_for(50);
	assert_int_equal(f->requests, 3);
	f->closing = TRUE;
	reply_with(f, 0, 1000);
	reply_with(f, 2, 1000);
	run_loop_for(50);
	send_text(f, REQUEST);
	run_loop_for(50);
	assert_int_equal(f->requests, 3);
	reply_with(f, 1, 1000);
	assert_true(read_to_end(f) > 3000);
}

/* Fails if a stop counts as finished while a request waits to be read. */
static void stop_is_not_finished_while_a_request_waits(void **state)
{
	fixture_t *f = *state;

	send_text(f, REQUEST);
	run_loop_for(50);
	reply_with(f, 0, 1);
	run_loop_for(50);
	f->closing = TRUE;
	send_text(f, REQUEST);
	g_usleep(10000);
	http_server_stop(f->server);
	assert_int_equal(http_server_connection_count(f->server), 1);
	assert_false(http_server_is_idle(f->server));
}

/* Fails if a stop counts as finished in the middle of a request. */
static void stop_is_not_finished_within_a_request(void **state)
{
	fixture_t *f = *state;

	f->closing = TRUE;
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx");
	run_loop_for(50);
	http_server_stop(f->server);
	assert_int_equal(http_server_connection_count(f->server), 1);
	assert_false(http_server_is_idle(f->server));
}

/* Reads what has arrived; it must begin with the status line. */
static void assert_status(GSocket *client, const char *status_line)
{
	char data[1024];
	gssize size;

	run_loop_for(50);
	size = g_socket_receive(client, data, sizeof(data) - 1, NULL, NULL);
	assert_true(size > 0);
	data[size] = '\0';
	assert_true(g_str_has_prefix(data, status_line));
}

/* Fails if a body without room is read, or its request is handled. */
static void body_without_room_is_refused_at_its_head(void **state)
{
	const char *head = "PUT / HTTP/1.1\r\nHost: a\r\n"
			   "Content-Length: 100000\r\n\r\n";
	fixture_t *f = *state;
	GSocket *second = connect_client();

	set_body_budget(f, 1000000);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\n"
		     "Content-Length: 700000\r\n\r\n");
	run_loop_for(50);
	assert_int_equal(body_budget_used(&f->budget), 700000);
	g_socket_send(second, head, strlen(head), NULL, NULL);
	assert_status(second, "HTTP/1.1 503 Service Unavailable\r\n"
			      "Retry-After: 1\r\n");
	assert_int_equal(f->bodies_refused, 1);
	assert_int_equal(f->requests, 0);
	/* The room returns when the client gives up. */
	g_socket_close(f->client, NULL);
	run_loop_for(50);
	assert_int_equal(body_budget_used(&f->budget), 0);
	g_object_unref(second);
}

/* Fails if a body of unknown length exceeds the budget, or keeps its share. */
static void chunked_body_is_held_as_it_grows(void **state)
{
	char *chunk = g_strnfill(100000, 'x');
	fixture_t *f = *state;
	guint i;

	set_body_budget(f, 1000000);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < 5; i++) {
		send_text(f, "186a0\r\n");
		send_text(f, chunk);
		send_text(f, "\r\n");
		run_loop_for(50);
	}
	/* The memory that the body has so far, which grows by an eighth. */
	assert_in_range(body_budget_used(&f->budget), 500000, 562500);
	send_text(f, "0\r\n\r\n");
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
	assert_int_equal(body_budget_used(&f->budget), 500000);
	reply_with(f, 0, 1);
	assert_int_equal(body_budget_used(&f->budget), 0);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\n"
		     "Content-Length: 1000001\r\n\r\n");
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
	g_free(chunk);
}

/* Fails if a client that stops within a body keeps its room for good. */
static void body_without_progress_times_out(void **state)
{
	fixture_t *f = *state;

	set_body_budget(f, 1000000);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\n"
		     "Content-Length: 700000\r\n\r\nx");
	run_loop_for(50);
	assert_int_equal(body_budget_used(&f->budget), 700000);
	run_loop_for(IDLE_TIMEOUT_MS + TIMEOUT_CHECK_MS);
	assert_status(f->client, "HTTP/1.1 408 ");
	assert_int_equal(f->requests, 0);
	g_socket_close(f->client, NULL);
	run_loop_for(50);
	assert_int_equal(body_budget_used(&f->budget), 0);
}

/*
 * Fails if connections exceed their limit, or if one with a request in progress
 * gives way.
 */
static void connection_at_the_limit_replaces_an_idle_one(void **state)
{
	fixture_t *f = *state;
	GSocket *idle = connect_client();
	GSocket *third, *fourth;

	f->idle_timeout = 0;
	http_server_set_connections_max(f->server, 2);
	send_text(f, REQUEST);
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
	/* Both have made progress just now. */
	third = connect_client();
	run_loop_for(50);
	assert_int_equal(f->refused, 1);
	assert_int_equal(http_server_connection_count(f->server), 2);
	f->clock_offset = 2 * G_TIME_SPAN_SECOND;
	fourth = connect_client();
	run_loop_for(50);
	assert_int_equal(f->replaced, 1);
	assert_int_equal(http_server_connection_count(f->server), 2);
	reply_with(f, 0, 1);
	assert_status(f->client, "HTTP/1.1 200 ");
	g_object_unref(idle);
	g_object_unref(third);
	g_object_unref(fourth);
}

/*
 * Fails if requests of a client that reads no responses are served on: unread
 * responses would fill the memory.
 */
static void unread_responses_delay_further_requests(void **state)
{
	static char data[1 << 20];
	guint turns = 0;
	fixture_t *f = *state;

	f->idle_timeout = 0;
	send_text(f, REQUEST);
	run_loop_for(50);
	reply_with(f, 0, LARGE_BODY_BYTES);
	send_text(f, REQUEST);
	run_loop_for(100);
	assert_int_equal(f->requests, 1);
	while (f->requests < 2 && turns++ < 10000) {
		g_socket_receive(f->client, data, sizeof(data), NULL, NULL);
		run_loop_for(1);
	}
	assert_int_equal(f->requests, 2);
	reply_with(f, 1, 1);
}

/* Fails if line ends between requests keep a connection from giving way. */
static void line_ends_are_no_progress(void **state)
{
	fixture_t *f = *state;
	GSocket *second;

	f->idle_timeout = 0;
	http_server_set_connections_max(f->server, 1);
	run_loop_for(50);
	f->clock_offset = 2 * G_TIME_SPAN_SECOND;
	send_text(f, "\r\n");
	run_loop_for(50);
	second = connect_client();
	run_loop_for(50);
	assert_int_equal(f->replaced, 1);
	g_object_unref(second);
}

/* Fails if a client that sends single bytes holds its room for good. */
static void body_below_the_least_rate_ends(void **state)
{
	fixture_t *f = *state;

	f->idle_timeout = 0;
	set_body_budget(f, 1000000);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\n"
		     "Content-Length: 700000\r\n\r\nx");
	run_loop_for(50);
	f->clock_offset = 29 * G_TIME_SPAN_SECOND;
	send_text(f, "x");
	run_loop_for(TIMEOUT_CHECK_MS);
	assert_int_equal(body_budget_used(&f->budget), 700000);
	f->clock_offset = 31 * G_TIME_SPAN_SECOND;
	send_text(f, "x");
	run_loop_for(TIMEOUT_CHECK_MS);
	assert_status(f->client, "HTTP/1.1 408 Request Timeout\r\n"
				 "X-Refusal: 1\r\n");
	assert_int_equal(f->requests, 0);
}

/* Fails if headers that a crowd sends are not part of the budget. */
static void headers_of_unusual_size_are_held(void **state)
{
	char *value = g_strnfill(20000, 'x');
	fixture_t *f = *state;

	set_body_budget(f, 1000000);
	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\nA: ");
	send_text(f, value);
	send_text(f, "\r\n");
	run_loop_for(50);
	assert_in_range(body_budget_used(&f->budget), 15904, 20000);
	send_text(f, "\r\n");
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
	reply_with(f, 0, 1);
	assert_int_equal(body_budget_used(&f->budget), 0);
	g_free(value);
}

/* Fails if a client that waits for leave to send its body waits for good. */
static void expectation_to_continue_is_answered(void **state)
{
	fixture_t *f = *state;

	send_text(f, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
		     "Expect: 100-continue\r\n\r\n");
	run_loop_for(50);
	assert_status(f->client, "HTTP/1.1 100 Continue\r\n\r\n");
	send_text(f, "x");
	run_loop_for(50);
	assert_int_equal(f->requests, 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(request_that_meets_the_idle_timeout_is_read),
		TEST(request_that_meets_a_stop_is_read),
		TEST(connection_that_meets_a_stop_is_accepted),
		TEST(first_request_that_meets_a_stop_is_read),
		TEST(stop_is_not_finished_while_a_request_waits),
		TEST(stop_is_not_finished_within_a_request),
		TEST(stop_closes_idle_connections),
		TEST(stop_waits_until_the_last_response_is_read),
		TEST(slow_reader_gets_the_whole_last_response),
		TEST(requests_in_progress_are_answered_before_a_close),
		TEST(body_without_room_is_refused_at_its_head),
		TEST(connection_at_the_limit_replaces_an_idle_one),
		TEST(unread_responses_delay_further_requests),
		TEST(line_ends_are_no_progress),
		TEST(body_below_the_least_rate_ends),
		TEST(headers_of_unusual_size_are_held),
		TEST(expectation_to_continue_is_answered),
		TEST(chunked_body_is_held_as_it_grows),
		TEST(body_without_progress_times_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
