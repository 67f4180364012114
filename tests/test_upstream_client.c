/*
 * Tests the upstream client: it must send an attempt at most once and report
 * correctly how it ended.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>

#include "lib/common/intrusive.h"
#include "net/upstream_client.h"
#include "tests/support.h"

#define RESPONSE_BYTES_MAX 1000
#define LARGE_BODY_BYTES (8 << 20)
#define WAIT_TIMEOUT_MS 5000

typedef enum {
	SERVER_RESPONDS,
	SERVER_RESPONDS_AND_CLOSES,
	SERVER_RESPONDS_AND_RESETS,
	SERVER_CLOSES_UNREAD, /* once a request arrives, without reading it */
	SERVER_CLOSES_HALFWAY, /* after reading the first bytes */
	SERVER_CLOSES_AFTER_READ, /* with FIN */
	SERVER_RESETS_AFTER_READ,
	SERVER_IS_SILENT
} behaviour_t;

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	struct fixture *fixture;
	GSocket *socket;
	GSource *source;
	GString *request;
} connection_t;

typedef struct fixture {
	GSocket *listener;
	GSource *accept;
	char address[32];
	behaviour_t behaviour;
	const char *response_format; /* raw, with %s for the attempt id */
	gsize response_bytes; /* send at most that many of the response */
	const char *attempt_state; /* in the response to a cancellation */
	guint connection_count; /* connections accepted */
	char *last_request; /* the last request that got a response */
	guint request_count; /* requests received, without cancellations */
	TAILQ_HEAD(connection_list, connection) connections;
	upstream_client_t *client;
	gboolean ended;
	attempt_end_t end;
	gboolean has_report;
	load_report_t report;
} fixture_t;

static const char good_response[] = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
				    "Content-Length: 4\r\n\r\ngood";

static void connection_free(connection_t *connection, gboolean reset)
{
	const struct linger linger = { .l_onoff = 1 };

	if (reset)
		setsockopt(g_socket_get_fd(connection->socket), SOL_SOCKET,
			   SO_LINGER, &linger, sizeof(linger));
	TAILQ_REMOVE(&connection->fixture->connections, connection, link);
	g_source_destroy(connection->source);
	g_source_unref(connection->source);
	g_object_unref(connection->socket);
	g_string_free(connection->request, TRUE);
	g_free(connection);
}

static gboolean is_complete(const GString *request)
{
	const char *body = strstr(request->str, "\r\n\r\n");
	const char *length = strstr(request->str, "Content-Length: ");
	gsize size = length ? strtoul(length + strlen("Content-Length: "), NULL,
				      10) :
			      0;

	return body && request->len >= (gsize)(body - request->str) + 4 + size;
}

static void send_response(connection_t *connection, const char *format)
{
	const fixture_t *fixture = connection->fixture;
	/* Probes have none. */
	const char *id = strstr(connection->request->str, "Attempt-Id: ");
	gchar **parts =
		g_strsplit_set(id ? id + strlen("Attempt-Id: ") : "", "\r", 2);
	GString *text = g_string_new(format);

	g_string_replace(text, "%s", parts[0] ? parts[0] : "", 0);
	g_string_truncate(text, MIN(text->len, fixture->response_bytes));
	if (text->len)
		g_socket_send(connection->socket, text->str, text->len, NULL,
			      NULL);
	g_string_free(text, TRUE);
	g_strfreev(parts);
}

static void respond_to_cancel(connection_t *connection)
{
	gchar *body = g_strdup_printf("{\"state\":\"%s\"}",
				      connection->fixture->attempt_state);
	gchar *text = g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %%s\r\n"
				      "Content-Length: %zu\r\n\r\n%s",
				      strlen(body), body);

	connection->fixture->request_count--;
	send_response(connection, text);
	g_free(text);
	g_free(body);
}

/* Returns FALSE after it freed the connection. */
static gboolean handle_request(connection_t *connection)
{
	fixture_t *fixture = connection->fixture;

	if (g_str_has_prefix(connection->request->str, "POST /cancel")) {
		respond_to_cancel(connection);
	} else if (fixture->behaviour == SERVER_CLOSES_AFTER_READ ||
		   fixture->behaviour == SERVER_RESETS_AFTER_READ) {
		connection_free(connection,
				fixture->behaviour == SERVER_RESETS_AFTER_READ);
		return FALSE;
	} else if (fixture->behaviour != SERVER_IS_SILENT) {
		g_free(fixture->last_request);
		fixture->last_request = g_strdup(connection->request->str);
		send_response(connection, fixture->response_format);
	}
	if (fixture->behaviour == SERVER_RESPONDS_AND_CLOSES ||
	    fixture->behaviour == SERVER_RESPONDS_AND_RESETS) {
		connection_free(connection, fixture->behaviour ==
						    SERVER_RESPONDS_AND_RESETS);
		return FALSE;
	}
	g_string_truncate(connection->request, 0);
	return TRUE;
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	connection_t *connection = data;
	fixture_t *fixture = connection->fixture;
	gchar buffer[65536];
	gssize size;

	(void)condition;
	if (connection->request->len == 0 &&
	    g_socket_get_available_bytes(socket) > 0)
		fixture->request_count++;
	if (fixture->behaviour == SERVER_CLOSES_UNREAD) {
		connection_free(connection, FALSE);
		return G_SOURCE_REMOVE;
	}
	size = g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
	if (size <= 0 || fixture->behaviour == SERVER_CLOSES_HALFWAY) {
		connection_free(connection, FALSE);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(connection->request, buffer, size);
	return !is_complete(connection->request) || handle_request(connection);
}

static gboolean on_accept(GSocket *listener, GIOCondition condition,
			  gpointer data)
{
	connection_t *connection = g_new0(connection_t, 1);
	fixture_t *fixture = data;

	(void)condition;
	fixture->connection_count++;
	connection->fixture = fixture;
	connection->request = g_string_new(NULL);
	connection->socket = g_socket_accept(listener, NULL, NULL);
	connection->source =
		watch_socket(connection->socket, on_readable, connection);
	TAILQ_INSERT_TAIL(&fixture->connections, connection, link);
	return G_SOURCE_CONTINUE;
}

static void on_attempt_ended(void *ctx, const attempt_result_t *result)
{
	fixture_t *fixture = ctx;

	assert_false(fixture->ended);
	fixture->ended = TRUE;
	fixture->end = result->end;
	fixture->has_report = result->has_report;
	fixture->report = result->report;
}

static void on_probe_ended(void *ctx, const char *service, const char *endpoint,
			   const load_report_t *report)
{
	fixture_t *fixture = ctx;

	(void)service;
	(void)endpoint;
	fixture->ended = TRUE;
	fixture->has_report = report != NULL;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	upstream_client_events_t events = { .attempt_ended = on_attempt_ended,
					    .probe_ended = on_probe_ended,
					    .ctx = fixture };
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"0.0.0.0", test_port(120));

	TAILQ_INIT(&fixture->connections);
	fixture->listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
					 G_SOCKET_TYPE_STREAM,
					 G_SOCKET_PROTOCOL_TCP, NULL);
	assert_true(g_socket_bind(fixture->listener, address, TRUE, NULL));
	assert_true(g_socket_listen(fixture->listener, NULL));
	fixture->accept = watch_socket(fixture->listener, on_accept, fixture);
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
		   test_port(120));
	fixture->response_format = good_response;
	fixture->response_bytes = G_MAXSIZE;
	fixture->attempt_state = "started";
	fixture->client =
		upstream_client_new(&events, "e1", RESPONSE_BYTES_MAX);
	g_object_unref(address);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	upstream_client_free(fixture->client);
	while (!TAILQ_EMPTY(&fixture->connections))
		connection_free(TAILQ_FIRST(&fixture->connections), FALSE);
	g_source_destroy(fixture->accept);
	g_source_unref(fixture->accept);
	g_object_unref(fixture->listener);
	run_loop_for(20);
	g_free(fixture->last_request);
	g_free(fixture);
	return 0;
}

static void start_attempt(fixture_t *fixture, gsize body_bytes,
			  GTimeSpan first_cancel_query_after)
{
	static guint64 next_attempt = 1;
	gchar *text = g_strnfill(body_bytes, 'x');
	GBytes *body = g_bytes_new_take(text, body_bytes);
	attempt_request_t request = {
		.attempt_id = next_attempt++,
		.address = fixture->address,
		.service = "s",
		.method = "m",
		.priority = "urgent",
		.remaining = 10 * G_TIME_SPAN_SECOND,
		.first_cancel_query_after = first_cancel_query_after,
		.last_cancel_query_after = 9 * G_TIME_SPAN_SECOND,
		.attempt = 1,
		.body = body,
	};

	fixture->ended = FALSE;
	fixture->request_count = 0;
	upstream_client_start_attempt(fixture->client, &request);
	g_bytes_unref(body);
}

static gboolean has_ended(void *ctx)
{
	return ((fixture_t *)ctx)->ended;
}

static attempt_end_t run_attempt(fixture_t *fixture, behaviour_t behaviour,
				 gsize body_bytes)
{
	fixture->behaviour = behaviour;
	start_attempt(fixture, body_bytes, 9 * G_TIME_SPAN_SECOND);
	assert_true(wait_until(has_ended, fixture, WAIT_TIMEOUT_MS));
	/* Leaves time for a request that is wrongly sent again. */
	run_loop_for(50);
	return fixture->end;
}

static void assert_sent_once(behaviour_t behaviour, gsize body_bytes,
			     gboolean reused)
{
	fixture_t *fixture;
	void *state;

	set_up(&state);
	fixture = state;
	if (reused)
		assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
				 ATTEMPT_ANSWERED);
	assert_false(attempt_end_proves_not_run(
		run_attempt(fixture, behaviour, body_bytes)));
	assert_int_equal(fixture->request_count, 1);
	assert_int_equal(fixture->connection_count, 1);
	tear_down(&state);
}

/* Fails if libsoup silently sends a request a second time. */
static void request_is_sent_once(void **state)
{
	static const behaviour_t behaviours[] = { SERVER_CLOSES_UNREAD,
						  SERVER_CLOSES_AFTER_READ,
						  SERVER_RESETS_AFTER_READ };
	gsize i;

	(void)state;
	for (i = 0; i < 2 * G_N_ELEMENTS(behaviours); i++)
		assert_sent_once(behaviours[i / 2], 10, i % 2);
	for (i = 0; i < 2; i++)
		assert_sent_once(SERVER_CLOSES_HALFWAY, LARGE_BODY_BYTES,
				 i % 2);
}

/* Fails if a refused connection is not reported as not sent, or retried. */
static void refused_connection_is_not_sent(void **state)
{
	fixture_t *fixture = *state;

	g_strlcpy(fixture->address, "127.0.0.1:1", sizeof(fixture->address));
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_NOT_SENT);
}

/* Fails if an attempt does not carry its deadline, priority and number. */
static void attempt_headers_are_sent(void **state)
{
	fixture_t *fixture = *state;

	run_attempt(fixture, SERVER_RESPONDS, 1);
	assert_non_null(
		strstr(fixture->last_request, "\r\nDeadline-Ms: 10000\r\n"));
	assert_non_null(
		strstr(fixture->last_request, "\r\nPriority: urgent\r\n"));
	assert_non_null(strstr(fixture->last_request, "\r\nAttempt: 1\r\n"));
}

/* Fails if consecutive requests open a connection each. */
static void connection_is_reused(void **state)
{
	fixture_t *fixture = *state;
	int i;

	for (i = 0; i < 3; i++)
		assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
				 ATTEMPT_ANSWERED);
	assert_int_equal(fixture->connection_count, 1);
}

/* Fails if a bad response is accepted, or its connection is reused. */
static void bad_responses_are_rejected(void **state)
{
#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNK "100\r\n" /* followed by 256 bytes */
	static const char *const responses[] = {
		HEAD "Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx",
		HEAD "Content-Length: 1\r\n\r\nx",
		HEAD "Attempt-Id: %s\r\nContent-Length: 1001\r\n\r\nx",
		HEAD "Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
	};
	fixture_t *fixture = *state;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(responses); i++) {
		fixture->response_format = responses[i];
		assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
				 ATTEMPT_BAD_ANSWER);
	}
	/* Only the empty response, which is complete, allows reuse. */
	assert_int_equal(fixture->connection_count, G_N_ELEMENTS(responses));
}

/* Fails if a response that may be truncated is accepted. */
static void response_needs_a_length(void **state)
{
	fixture_t *fixture = *state;

	fixture->response_format = HEAD "Attempt-Id: %s\r\n\r\nx";
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS_AND_CLOSES, 1),
			 ATTEMPT_BAD_ANSWER);
	fixture->response_format = HEAD
		"Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nx";
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS_AND_CLOSES, 1),
			 ATTEMPT_BAD_ANSWER);
}

static void run_until_ended(const fixture_t *fixture)
{
	gint64 limit = g_get_monotonic_time() +
		       WAIT_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;

	while (!fixture->ended && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, FALSE);
	assert_true(fixture->ended);
}

static void run_cut_attempt(fixture_t *fixture, behaviour_t behaviour,
			    gsize size)
{
	fixture->behaviour = behaviour;
	fixture->response_bytes = size;
	start_attempt(fixture, 1, 9 * G_TIME_SPAN_SECOND);
	run_until_ended(fixture);
}

/* Size of the response to the last attempt. */
static gsize response_size(const fixture_t *fixture)
{
	gchar **parts =
		g_strsplit_set(strstr(fixture->last_request, "Attempt-Id: ") +
				       strlen("Attempt-Id: "),
			       "\r", 2);
	gsize size = strlen(fixture->response_format) - strlen("%s") +
		     strlen(parts[0]);

	g_strfreev(parts);
	return size;
}

#define LOAD "Attempt-Id: %s\r\nLoad: 1/20\r\n"

static const char *const cut_responses[] = {
	HEAD LOAD "Content-Length: 15\r\n\r\n0123456789abcde",
	HEAD "Content-Length: 15\r\n" LOAD "\r\n0123456789abcde",
	HEAD LOAD "Transfer-Encoding: chunked\r\n\r\n"
		  "5\r\n01234\r\na\r\n56789abcde\r\n0\r\n\r\n",
	"HTTP/1.1 201 Created\r\n" LOAD "Content-Length: 5\r\n\r\n01234",
	"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n" LOAD
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Error\r\n" LOAD "\r\n",
	"HTTP/1.1 204 No Content\r\n" LOAD "\r\n",
};

static const char *const cut_empty_responses[] = {
	"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Started: 1\r\n" LOAD
	"\r\n",
	"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n" LOAD "\r\n",
};

static void check_cuts(fixture_t *fixture, const char *const *formats,
		       gsize count)
{
	static const behaviour_t behaviours[] = { SERVER_RESPONDS_AND_CLOSES,
						  SERVER_RESPONDS_AND_RESETS };
	gsize i, size;

	for (i = 0; i < 2 * count; i++) {
		fixture->response_format = formats[i / 2];
		size = 0;
		do {
			run_cut_attempt(fixture, behaviours[i % 2], size);
			if (size < response_size(fixture) &&
			    (fixture->has_report ||
			     (fixture->end != ATTEMPT_FAILED &&
			      fixture->end != ATTEMPT_BAD_ANSWER)))
				fail_msg("end %d, report %d, behaviour %zu, "
					 "after %zu bytes of: %s",
					 fixture->end, fixture->has_report,
					 i % 2, size, formats[i / 2]);
		} while (size++ < response_size(fixture));
	}
}

/* Fails if a response with a body that is cut at any byte is used. */
static void cut_response_is_rejected(void **state)
{
	check_cuts(*state, cut_responses, G_N_ELEMENTS(cut_responses));
}

/* Fails if headers are used behind which the head of a response was cut. */
static void cut_empty_response_is_rejected(void **state)
{
	check_cuts(*state, cut_empty_responses,
		   G_N_ELEMENTS(cut_empty_responses));
}

/* Fails if a whole response on a connection that is kept is taken for a cut. */
static void whole_response_is_used(void **state)
{
	static const struct {
		const char *format;
		attempt_end_t end;
	} whole[] = {
		{ HEAD LOAD "Content-Length: 1\r\n\r\nx", ATTEMPT_ANSWERED },
		{ HEAD LOAD "Transfer-Encoding: chunked\r\n\r\n"
			    "1\r\nx\r\n0\r\n\r\n",
		  ATTEMPT_ANSWERED },
		{ "HTTP/1.1 500 Error\r\n" LOAD "Content-Length: 0\r\n\r\n",
		  ATTEMPT_ANSWERED },
		{ "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n" LOAD
		  "Content-Length: 0\r\n\r\n",
		  ATTEMPT_SHED },
	};
	fixture_t *fixture = *state;
	gsize i;

	for (i = 0; i < 3 * G_N_ELEMENTS(whole); i++) {
		fixture->response_format = whole[i / 3].format;
		assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
				 whole[i / 3].end);
		assert_true(fixture->has_report);
	}
	assert_int_equal(fixture->connection_count, 1);
}

/* Fails if a load is read from a response to a probe that is cut. */
static void cut_probe_response_is_no_report(void **state)
{
	fixture_t *fixture = *state;
	gsize size;

	fixture->response_format = HEAD
		"Content-Length: 0\r\nLoad: 1/20\r\n\r\n";
	for (size = 0; size <= strlen(fixture->response_format); size++) {
		fixture->behaviour = size < strlen(fixture->response_format) ?
					     SERVER_RESPONDS_AND_CLOSES :
					     SERVER_RESPONDS;
		fixture->response_bytes = size;
		fixture->ended = FALSE;
		upstream_client_send_probe(fixture->client, "s",
					   fixture->address);
		run_until_ended(fixture);
		if (fixture->has_report !=
		    (size == strlen(fixture->response_format)))
			fail_msg("report %d after %zu bytes",
				 fixture->has_report, size);
	}
}

/* Fails if a response of unknown length is read without a limit. */
static void chunked_response_is_limited(void **state)
{
	GString *response = g_string_new(
		HEAD "Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n");
	gchar *data = g_strnfill(256, 'x');
	fixture_t *fixture = *state;
	int i;

	for (i = 0; i < 4; i++)
		g_string_append_printf(response, CHUNK "%s\r\n", data);
	fixture->response_format = response->str;
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_BAD_ANSWER);
	fixture->response_format = good_response;
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	assert_int_equal(fixture->connection_count, 2);
	g_free(data);
	g_string_free(response, TRUE);
}

/* Fails if the Draining header is ignored in a response without a load. */
static void draining_is_read_without_load(void **state)
{
	fixture_t *fixture = *state;

	run_attempt(fixture, SERVER_RESPONDS, 1);
	assert_false(fixture->has_report);
	fixture->response_format = HEAD "Attempt-Id: %s\r\nDraining: 1\r\n"
					"Content-Length: 1\r\n\r\nx";
	run_attempt(fixture, SERVER_RESPONDS, 1);
	assert_true(fixture->has_report);
	assert_true(fixture->report.draining);
	assert_int_equal(fixture->report.slots, 0);
}

static attempt_end_t run_cancel_query(fixture_t *fixture, const char *state)
{
	fixture->behaviour = SERVER_IS_SILENT;
	fixture->attempt_state = state;
	start_attempt(fixture, 1, 50 * G_TIME_SPAN_MILLISECOND);
	assert_true(wait_until(has_ended, fixture, WAIT_TIMEOUT_MS));
	return fixture->end;
}

/* Fails if any state but not_started counts as proof that nothing ran. */
static void cancel_query_ends_unresponsive_attempt(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(run_cancel_query(fixture, "not_started"),
			 ATTEMPT_CANCELLED);
	assert_int_equal(run_cancel_query(fixture, "unknown"), ATTEMPT_SILENT);
	fixture->behaviour = SERVER_IS_SILENT;
	fixture->attempt_state = "started";
	start_attempt(fixture, 1, 50 * G_TIME_SPAN_MILLISECOND);
	run_loop_for(300);
	assert_false(fixture->ended);
}

/* Fails if idle connections to an unresponsive endpoint are reused. */
static void silent_endpoint_loses_idle_connections(void **state)
{
	fixture_t *fixture = *state;
	guint before;

	fixture->behaviour = SERVER_IS_SILENT;
	fixture->attempt_state = "unknown";
	start_attempt(fixture, 1, 300 * G_TIME_SPAN_MILLISECOND);
	run_loop_for(20);
	/* The second attempt leaves an idle connection. */
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	fixture->ended = FALSE;
	assert_true(wait_until(has_ended, fixture, WAIT_TIMEOUT_MS));
	assert_int_equal(fixture->end, ATTEMPT_SILENT);
	before = fixture->connection_count;
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	assert_int_equal(fixture->connection_count, before + 1);
}

static void use_address(fixture_t *fixture, const char *ip)
{
	g_snprintf(fixture->address, sizeof(fixture->address), "%s:%u", ip,
		   test_port(120));
}

#define CHUNKED_HEAD                            \
	"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"

/* Fails if the open connection of another endpoint hides a cut. */
static void cut_response_of_a_second_endpoint_is_rejected(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	use_address(fixture, "127.0.0.2");
	fixture->response_format = CHUNKED_HEAD "5\r\n01234\r\n";
	assert_int_not_equal(run_attempt(fixture, SERVER_RESPONDS_AND_CLOSES,
					 1),
			     ATTEMPT_ANSWERED);
}

/* Fails if the end of another endpoint's connection counts as a cut. */
static void whole_response_of_a_second_endpoint_is_used(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	use_address(fixture, "127.0.0.2");
	fixture->response_format = CHUNKED_HEAD "5\r\n01234\r\n0\r\n\r\n";
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
	/* The first connection ends. */
	connection_free(TAILQ_FIRST(&fixture->connections), FALSE);
	run_loop_for(100);
	use_address(fixture, "127.0.0.1");
	run_attempt(fixture, SERVER_RESPONDS, 1);
	connection_free(TAILQ_LAST(&fixture->connections, connection_list),
			FALSE);
	run_loop_for(100);
	use_address(fixture, "127.0.0.2");
	assert_int_equal(run_attempt(fixture, SERVER_RESPONDS, 1),
			 ATTEMPT_ANSWERED);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_is_sent_once),
		TEST(refused_connection_is_not_sent),
		TEST(attempt_headers_are_sent),
		TEST(connection_is_reused),
		TEST(bad_responses_are_rejected),
		TEST(response_needs_a_length),
		TEST(cut_response_of_a_second_endpoint_is_rejected),
		TEST(whole_response_of_a_second_endpoint_is_used),
		TEST(cut_response_is_rejected),
		TEST(cut_empty_response_is_rejected),
		TEST(whole_response_is_used),
		TEST(cut_probe_response_is_no_report),
		TEST(chunked_response_is_limited),
		TEST(draining_is_read_without_load),
		TEST(cancel_query_ends_unresponsive_attempt),
		TEST(silent_endpoint_loses_idle_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
