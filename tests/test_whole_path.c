/*
 * Tests calls through one entry to an upstream, with real processes: a repeated
 * call must run once, invalid input must not reach the upstream, and a shutdown
 * must not abort calls.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "tests/support.h"

#define START_TIMEOUT_MS 5000
#define BODY_BYTES_MAX 1024
#define SHUTDOWN_MAX_MS 4000
#define STOP_CALLS_MAX 64

static const char schema_text[] =
	"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":10}],"
	"\"services\":[{\"name\":\"booking\",\"slots\":3,\"connections\":200,"
	"\"probes_per_second\":0,\"instance_list\":\"booking\",\"methods\":["
	"{\"name\":\"book\",\"priority\":\"urgent\",\"idempotent\":false,"
	"\"deadline_ms\":2000},{\"name\":\"status\",\"priority\":\"urgent\","
	"\"idempotent\":true,\"deadline_ms\":2000}]}]}";

typedef struct {
	guint entry_port;
	guint upstream_port;
	guint object_port;
	process_t *object_api;
	process_t *upstream;
	process_t *entry;
} fixture_t;

static process_t *start_on_port(const char *program, guint port)
{
	gchar *text = g_strdup_printf("%u", port);
	process_t *process = process_start(program, "--port", text, NULL);

	g_free(text);
	return process;
}

static gboolean put_configuration(void *ctx)
{
	fixture_t *fixture = ctx;
	gchar *list = g_strdup_printf(
		"{\"instances\":[{\"name\":\"b1\",\"address\":\"127.0.0.1:%u\""
		",\"data_centre\":\"k1\",\"state\":\"live\"}]}",
		fixture->upstream_port);
	gboolean ok;
	reply_t reply;

	http_request(&reply, "POST", fixture->object_port, "/instances/booking",
		     list, NULL);
	ok = reply.status == 200;
	reply_clear(&reply);
	if (ok) {
		http_request(&reply, "POST", fixture->object_port,
			     "/v1/put/config/schema?if_version=0", schema_text,
			     NULL);
		ok = reply.status == 200;
		reply_clear(&reply);
	}
	g_free(list);
	return ok;
}

static gboolean call_succeeds(void *ctx)
{
	fixture_t *fixture = ctx;
	reply_t reply;
	gboolean ok;

	http_request(&reply, "POST", fixture->entry_port,
		     "/v1/call/booking/status", "x", NULL);
	ok = reply.status == 200;
	reply_clear(&reply);
	return ok;
}

static void start_entry(fixture_t *fixture)
{
	char *settings = write_build_file(
		"whole_path.json",
		"{\"instance\":\"e1\",\"data_centre\":\"k1\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"object_api\":\"127.0.0.1:%u\","
		"\"instance_list_poll_ms\":100,"
		"\"body_bytes_max\":%d,"
		"\"request_id_lifetime_ms\":1000,"
		"\"resolve_ttl_ms\":500,\"shutdown_max_ms\":%d}",
		fixture->entry_port, fixture->object_port, BODY_BYTES_MAX,
		SHUTDOWN_MAX_MS);

	fixture->entry =
		process_start("catkinstalld", "--settings", settings, NULL);
	g_free(settings);
	assert_true(wait_until(daemon_is_ready,
			       GUINT_TO_POINTER(fixture->entry_port),
			       START_TIMEOUT_MS));
	assert_true(wait_until(call_succeeds, fixture, START_TIMEOUT_MS));
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->entry_port = test_port(0);
	fixture->upstream_port = test_port(1);
	fixture->object_port = test_port(2);
	fixture->object_api =
		start_on_port("fake_object_api", fixture->object_port);
	fixture->upstream =
		start_on_port("fake_upstream", fixture->upstream_port);
	assert_true(wait_until(put_configuration, fixture, START_TIMEOUT_MS));
	start_entry(fixture);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	process_free(fixture->entry);
	process_free(fixture->upstream);
	process_free(fixture->object_api);
	g_free(fixture);
	return 0;
}

static void assert_run_count(const fixture_t *fixture, const char *body,
			     const char *runs)
{
	gchar *path = g_strdup_printf("/runs?body=%s", body);
	reply_t reply;

	http_request(&reply, "POST", fixture->upstream_port, path, NULL, NULL);
	assert_string_equal(reply.body, runs);
	reply_clear(&reply);
	g_free(path);
}

/*
 * Fails if a call does not reach the upstream, its answer is changed, or a
 * repetition with the same request id runs again.
 */
static void repeated_call_runs_once(void **state)
{
	fixture_t *fixture = *state;
	char *id = fetch_request_id(fixture->entry_port);
	reply_t reply;
	int i;

	for (i = 0; i < 2; i++) {
		http_request(&reply, "POST", fixture->entry_port,
			     "/v1/call/booking/book", "pole7",
			     "Catkinstall-Request-Id", id, NULL);
		assert_int_equal(reply.status, 200);
		assert_string_equal(reply.body, "pole7");
		assert_string_equal(reply.outcome, "ran");
		reply_clear(&reply);
	}
	assert_run_count(fixture, "pole7", "1");
	g_free(id);
}

static void assert_rejected_as_not_run(const fixture_t *fixture,
				       const char *method, const char *path,
				       const char *header, const char *value,
				       guint status)
{
	reply_t reply;

	http_request(&reply, method, fixture->entry_port, path, "refused",
		     header, value, NULL);
	assert_int_equal(reply.status, status);
	assert_string_equal(reply.outcome, "not_run");
	reply_clear(&reply);
}

/* Fails if invalid input gets another status or reaches the upstream. */
static void invalid_input_is_rejected_as_not_run(void **state)
{
	const fixture_t *fixture = *state;
	const char *book = "/v1/call/booking/book";
	const char *id = "Catkinstall-Request-Id";

	assert_rejected_as_not_run(fixture, "POST", book, "X", "y", 400);
	assert_rejected_as_not_run(fixture, "POST", book, id, "nonsense", 400);
	assert_rejected_as_not_run(fixture, "POST", "/v1/call/booking/x", "X",
				   "y", 404);
	assert_rejected_as_not_run(fixture, "POST", "/v1/call/booking", "X",
				   "y", 404);
	assert_rejected_as_not_run(fixture, "PUT", book, "X", "y", 400);
	assert_rejected_as_not_run(fixture, "POST", "/v1/call/booking/status",
				   "Catkinstall-Deadline-Ms", "0", 400);
	assert_run_count(fixture, "refused", "0");
}

/*
 * Sends the first size bytes of a request and, unless keep is TRUE, ends the
 * sending side of the connection; reads the answer.
 */
static void send_cut(const fixture_t *fixture, const char *text, gsize size,
		     gboolean keep)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)fixture->entry_port, NULL, NULL);
	GSocket *socket = g_socket_connection_get_socket(connection);
	char answer[4096];

	g_socket_send(socket, text, size, NULL, NULL);
	if (!keep)
		g_socket_shutdown(socket, FALSE, TRUE, NULL);
	g_socket_receive(socket, answer, sizeof(answer), NULL, NULL);
	g_object_unref(connection);
	g_object_unref(client);
}

/* Fails if a call runs with the part of a body that arrived before a close. */
static void cut_call_does_not_run(void **state)
{
	static const char text[] =
		"POST /v1/call/booking/status HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"5\r\npart1\r\n5\r\npart2\r\n0\r\n\r\n";
	const fixture_t *fixture = *state;
	gsize size;

	for (size = 1; size < strlen(text); size++)
		send_cut(fixture, text, size, FALSE);
	assert_run_count(fixture, "", "0");
	assert_run_count(fixture, "part1", "0");
	assert_run_count(fixture, "part1part2", "0");
	send_cut(fixture, text, strlen(text), TRUE);
	assert_run_count(fixture, "part1part2", "1");
}

/* Fails if a body above body_bytes_max is held in memory and forwarded. */
static void oversized_body_is_rejected(void **state)
{
	const fixture_t *fixture = *state;
	gchar *body = g_strnfill(BODY_BYTES_MAX + 1, 'x');
	reply_t reply;

	http_request(&reply, "POST", fixture->entry_port,
		     "/v1/call/booking/status", body, NULL);
	assert_int_equal(reply.status, 413);
	assert_string_equal(reply.outcome, "not_run");
	reply_clear(&reply);
	g_free(body);
}

/*
 * Fails if SIGTERM aborts a call in flight, or makes the entry refuse a
 * caller that still uses the address from an earlier resolve.
 */
static void shutdown_completes_calls(void **state)
{
	fixture_t *fixture = *state;
	async_request_t *running;
	reply_t reply;
	char *id = fetch_request_id(fixture->entry_port);

	running = http_start("POST", fixture->entry_port,
			     "/v1/call/booking/status", "running", NULL);
	run_loop_for(2);
	process_signal(fixture->entry, SIGTERM);
	run_loop_for(100);
	http_request(&reply, "POST", fixture->entry_port,
		     "/v1/call/booking/book", "late", "Catkinstall-Request-Id",
		     id, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	http_join(running, &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	assert_int_equal(process_wait(fixture->entry), 0);
	g_free(id);
}

static gboolean accepts_connections(const fixture_t *fixture)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)fixture->entry_port, NULL, NULL);
	gboolean accepted = connection != NULL;

	g_clear_object(&connection);
	g_object_unref(client);
	return accepted;
}

/* Returns the status: 200 if the call ran, 503 if not, 0 without an answer. */
static guint check_stop_call(const fixture_t *fixture, async_request_t *call,
			     guint index)
{
	gchar *body = g_strdup_printf("stop%u-", index);
	reply_t reply;
	guint status;

	http_join(call, &reply);
	status = reply.status;
	assert_true(status == 200 || status == 503 || !status);
	if (status == 503)
		assert_string_equal(reply.outcome, "not_run");
	assert_run_count(fixture, body, status == 200 ? "1" : "0");
	reply_clear(&reply);
	g_free(body);
	return status;
}

/* Fails if a call that is received during a shutdown is cut by its end. */
static void every_call_during_a_shutdown_is_answered(void **state)
{
	const guint interval_ms = 100;
	fixture_t *fixture = *state;
	async_request_t *calls[STOP_CALLS_MAX];
	guint sent = 0, served = 0, refused = 0, status, i;
	reply_t reply;

	start_entry(fixture);
	http_request(&reply, "POST", fixture->upstream_port, "/control?slow=60",
		     NULL, NULL);
	reply_clear(&reply);
	process_signal(fixture->entry, SIGTERM);
	while (accepts_connections(fixture)) {
		gchar *body = g_strdup_printf("stop%u-", sent);

		assert_true(sent < STOP_CALLS_MAX);
		calls[sent++] = http_start("POST", fixture->entry_port,
					   "/v1/call/booking/status", body,
					   NULL);
		g_free(body);
		run_loop_for(interval_ms);
	}
	assert_int_equal(process_wait(fixture->entry), 0);
	for (i = 0; i < sent; i++) {
		status = check_stop_call(fixture, calls[i], i);
		served += status == 200;
		refused += status == 503;
		/* The last one may have met the end of the process. */
		assert_true(status || i + 1 == sent);
	}
	assert_true(served && refused);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(repeated_call_runs_once),
		cmocka_unit_test(invalid_input_is_rejected_as_not_run),
		cmocka_unit_test(cut_call_does_not_run),
		cmocka_unit_test(oversized_body_is_rejected),
		cmocka_unit_test(shutdown_completes_calls),
		cmocka_unit_test(every_call_during_a_shutdown_is_answered),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
