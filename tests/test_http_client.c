/*
 * Tests the HTTP client: it must report correctly whether a request was
 * sent, and must never send one twice.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/system_clock.h"
#include "tests/support.h"

enum { SERVER_PORT = 720, CLOSED_PORT = 721 };

#define REQUESTS_MAX 8
#define HEADER_BYTES_MAX 1000
#define BODY_BYTES_MAX 5000

typedef struct {
	http_server_t *server;
	http_client_t *client;
	guint served;
	gboolean silent; /* the server does not respond */
	const char *headers; /* of the response, NULL for none */
	gsize body_size; /* of the response */
	http_exchange_t *exchanges[REQUESTS_MAX];
	guint disconnected;
	guint ended;
	http_client_end_t ends[REQUESTS_MAX]; /* by request id */
	gboolean reused[REQUESTS_MAX];
} fixture_t;

static void reply(const fixture_t *f, http_exchange_t *exchange)
{
	GBytes *body =
		g_bytes_new_take(g_malloc0(f->body_size + 1), f->body_size);

	http_exchange_reply(exchange, 200, f->headers ? f->headers : "", body);
	g_bytes_unref(body);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	fixture_t *f = ctx;

	f->exchanges[f->served++] = exchange;
	if (!f->silent)
		reply(f, exchange);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	fixture_t *f = ctx;

	(void)exchange;
	f->disconnected++;
}

static schema_request_limits_t no_limits(void *ctx)
{
	(void)ctx;
	return (schema_request_limits_t){ 0 };
}

static gboolean never_closing(void *ctx)
{
	(void)ctx;
	return FALSE;
}

static void on_ended(void *ctx, guint64 id, const http_client_result_t *result)
{
	fixture_t *f = ctx;

	f->ended++;
	f->ends[id] = result->end;
	f->reused[id] = result->reused;
}

static gboolean on_response_matches(void *ctx, guint64 id,
				    const http_message_t *response,
				    gboolean reused)
{
	(void)ctx;
	(void)id;
	(void)response;
	(void)reused;
	return TRUE;
}

static gchar *address_of(guint offset)
{
	return g_strdup_printf("127.0.0.1:%u", test_port(offset));
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	http_server_events_t server_events = { .request = on_request,
					       .disconnected = on_disconnected,
					       .limits = no_limits,
					       .closing = never_closing,
					       .ctx = f };
	http_client_events_t client_events = { .ended = on_ended,
					       .response_matches =
						       on_response_matches,
					       .ctx = f };
	const http_message_limits_t limits = {
		.header_bytes_max = HEADER_BYTES_MAX,
		.body_bytes_max = BODY_BYTES_MAX,
	};
	gchar *address = address_of(SERVER_PORT);

	f->server =
		http_server_new(address, &server_events, &system_clock, NULL);
	assert_non_null(f->server);
	f->client = http_client_new(&client_events, &limits, &system_clock);
	g_free(address);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	http_client_free(f->client);
	http_server_free(f->server);
	g_free(f);
	return 0;
}

static void send_request(fixture_t *f, guint64 id, guint port,
			 GTimeSpan timeout, GTimeSpan idle_max)
{
	gchar *address = address_of(port);
	http_client_request_t request = {
		.id = id,
		.address = address,
		.message = g_string_new("PUT /x HTTP/1.1\r\nHost: a\r\n\r\n"),
		.timeout = timeout,
		.idle_max = idle_max,
	};

	http_client_send(f->client, &request);
	g_string_free(request.message, TRUE);
	g_free(address);
}

static void run_until_ended(const fixture_t *f, guint count)
{
	gint64 limit = g_get_monotonic_time() + 5 * G_TIME_SPAN_SECOND;

	while (f->ended < count && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, FALSE);
	assert_int_equal(f->ended, count);
}

/* Fails if a refused connection is reported as a request that was sent. */
static void refused_connection_is_not_sent(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, CLOSED_PORT, 0, 0);
	run_until_ended(f, 1);
	assert_int_equal(f->ends[1], HTTP_CLIENT_NOT_SENT);
}

/* Fails if a connection is reused although idle_max is 0, or never reused. */
static void idle_connection_is_reused_when_allowed(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 1);
	send_request(f, 2, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 2);
	send_request(f, 3, SERVER_PORT, 0, 0);
	run_until_ended(f, 3);
	assert_false(f->reused[1]);
	assert_true(f->reused[2]);
	assert_false(f->reused[3]);
}

/* Fails if a connection is reused after the idle ones were closed. */
static void closed_idle_connection_is_not_reused(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 1);
	http_client_close_idle(f->client);
	send_request(f, 2, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 2);
	assert_false(f->reused[2]);
}

/*
 * Fails if a request is sent again, or reported as not sent, after the server
 * closed the connection.
 */
static void closed_connection_fails_once(void **state)
{
	fixture_t *f = *state;

	f->silent = TRUE;
	send_request(f, 1, SERVER_PORT, 0, 0);
	while (!f->served)
		g_main_context_iteration(NULL, FALSE);
	http_server_free(f->server);
	f->server = NULL;
	run_until_ended(f, 1);
	assert_int_equal(f->ends[1], HTTP_CLIENT_DISCONNECTED);
	assert_int_equal(f->served, 1);
}

/* Fails if a request to a server that never responds does not time out. */
static void silent_server_times_out(void **state)
{
	fixture_t *f = *state;

	f->silent = TRUE;
	send_request(f, 1, SERVER_PORT, 100 * G_TIME_SPAN_MILLISECOND, 0);
	run_until_ended(f, 1);
	assert_int_equal(f->ends[1], HTTP_CLIENT_TIMED_OUT);
	run_loop_for(100);
	assert_int_equal(f->disconnected, 1);
}

/* Fails if a response beyond the limits is accepted, or one within rejected. */
static void large_response_is_rejected(void **state)
{
	fixture_t *f = *state;
	gchar *value = g_strnfill(HEADER_BYTES_MAX, 'x');
	gchar *headers = g_strdup_printf("Large: %s\r\n", value);

	f->body_size = BODY_BYTES_MAX;
	send_request(f, 1, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 1);
	assert_int_equal(f->ends[1], HTTP_CLIENT_COMPLETED);
	f->body_size = BODY_BYTES_MAX + 1;
	send_request(f, 2, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 2);
	assert_int_equal(f->ends[2], HTTP_CLIENT_TOO_LARGE);
	f->body_size = 0;
	f->headers = headers;
	send_request(f, 3, SERVER_PORT, 0, G_TIME_SPAN_SECOND);
	run_until_ended(f, 3);
	assert_int_equal(f->ends[3], HTTP_CLIENT_TOO_LARGE);
	g_free(headers);
	g_free(value);
}

/* Fails if cancelling a request leaves its connection open. */
static void cancelled_request_closes_its_connection(void **state)
{
	fixture_t *f = *state;

	f->silent = TRUE;
	send_request(f, 1, SERVER_PORT, 0, 0);
	while (!f->served)
		g_main_context_iteration(NULL, FALSE);
	http_client_cancel(f->client, 1);
	run_loop_for(100);
	assert_int_equal(f->disconnected, 1);
	assert_int_equal(f->ended, 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(refused_connection_is_not_sent),
		TEST(idle_connection_is_reused_when_allowed),
		TEST(closed_idle_connection_is_not_reused),
		TEST(closed_connection_fails_once),
		TEST(silent_server_times_out),
		TEST(large_response_is_rejected),
		TEST(cancelled_request_closes_its_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
