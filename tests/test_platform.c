/*
 * Guards the whole path on the users' platform with real processes: a store, two
 * endpoints and an instance.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "tests/support.h"

#define ENDPOINTS 2
#define SHUTDOWN_MAX_MS 4000
#define START_TIMEOUT_MS 10000
/* In force within 2 s of the store's answer, the users' bound. */
#define CONFIG_BOUND_MS 2000
/* The users' time after an outage from which on the bounds hold. */
#define CONTACT_MS 3000
/* An instance that has just started waits for sources before it watches. */
#define WATCHING_AFTER_MS 2000
#define READ_TIMEOUT_S 10

enum {
	STORE_PORT = 700,
	ENDPOINT_PORT = 701,
	CALLER_PORT = 705,
	PROXY_PORT,
	DIRECTORY_PORT,
	READY_PORT,
	PEER_PORT
};

typedef struct {
	process_t *store;
	process_t *endpoints[ENDPOINTS];
	process_t *daemon;
	guint requests; /* for new ids */
} fixture_t;

static void put(const char *path, const char *method, const char *body)
{
	reply_t reply;

	http_request(&reply, method, test_port(STORE_PORT), path, body, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
}

static void set_fault(const char *mode)
{
	gchar *path = g_strdup_printf("/fault/%s", mode);

	put(path, "POST", "");
	g_free(path);
}

static void put_endpoint(guint index, const char *state, guint sequence)
{
	gchar *path = g_strdup_printf("/-/objects/servers/i-%u", index);
	gchar *body = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"k1\",\"version\":\"v1\",\"max_concurrency\":3,"
		"\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":%u,"
		"\"born\":1}",
		test_port(ENDPOINT_PORT + index), state, sequence);

	put(path, "PUT", body);
	g_free(body);
	g_free(path);
}

#define ROUTE(name, prefix, type)                                        \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" name      \
	"\"},\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"" prefix \
	"\",\"route_type\":\"" type "\",\"timeout_ms\":2000,"            \
	"\"target_latency_ms\":1000,\"priority\":1,\"max_attempts\":2,"  \
	"\"service\":\"s\"}},"

static void put_config(guint version, const char *more)
{
	gchar *body = g_strdup_printf(
		"{\"version\":\"r%u\",\"resources\":[" ROUTE("safe", "/safe/",
							     "safe")
			ROUTE("once", "/once/",
			      "unsafe") "%s{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"},"
					"\"spec\":{\"health_path\":\"/healthz\","
					"\"max_connections\":100}},{\"entry_kind\":\"limits\","
					"\"metadata\":{},\"spec\":{\"max_header_bytes\":4000,"
					"\"max_body_bytes\":10000,\"header_timeout_ms\":500,"
					"\"idle_timeout_ms\":15000}}]}",
		version, more);

	put("/-/objects/config/main", "PUT", body);
	g_free(body);
}

static void start_daemon(fixture_t *f)
{
	char *settings = write_build_file(
		"platform.json",
		"{\"instance\":\"p1\",\"data_centre\":\"k1\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\","
		"\"proxy_address\":\"127.0.0.1:%u\","
		"\"directory_address\":\"127.0.0.1:%u\","
		"\"ready_address\":\"127.0.0.1:%u\","
		"\"metadata_store\":\"127.0.0.1:%u\","
		"\"routing\":\"expected_latency\",\"probe_fanout\":2,"
		"\"probes_per_second\":60,\"concurrency_max\":100,"
		"\"entries_max\":1,\"retry_percent\":20,\"retry_saved\":10,"
		"\"resolve_ttl_ms\":500,\"resolve_addresses\":8,"
		"\"request_id_lifetime_ms\":100,\"shutdown_max_ms\":%d}",
		test_port(CALLER_PORT), test_port(PEER_PORT),
		test_port(PROXY_PORT), test_port(DIRECTORY_PORT),
		test_port(READY_PORT), test_port(STORE_PORT), SHUTDOWN_MAX_MS);

	f->daemon = process_start("catkinstalld", "--settings", settings, NULL);
	g_free(settings);
}

/* NULL when nothing listens at the port. */
static GSocketConnection *try_connection(guint port)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)port, NULL, NULL);

	g_object_unref(client);
	return connection;
}

/* Sends bytes on a new connection; reads until it is closed or is idle. */
static GSocketConnection *open_connection(guint port)
{
	GSocketConnection *connection = try_connection(port);

	assert_non_null(connection);
	g_socket_set_timeout(g_socket_connection_get_socket(connection),
			     READ_TIMEOUT_S);
	return connection;
}

static void send_bytes(GSocketConnection *connection, const char *text)
{
	assert_true(g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL));
}

/* Reads until the text has so many answers, or the connection ends. */
static char *read_answers(GSocketConnection *connection, guint count)
{
	GInputStream *input =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	GString *text = g_string_new(NULL);
	gchar **parts;
	char data[4096];
	gboolean done = FALSE;
	gssize size;

	while (!done) {
		size = g_input_stream_read(input, data, sizeof(data), NULL,
					   NULL);
		if (size <= 0)
			break;
		g_string_append_len(text, data, size);
		/* Every body of the stand-ins ends with ".". */
		parts = g_strsplit(text->str, "HTTP/1.1 ", -1);
		done = g_strv_length(parts) == count + 1 &&
		       strstr(parts[count], "\r\n\r\n") &&
		       !g_str_has_suffix(text->str, "\r\n\r\n");
		g_strfreev(parts);
	}
	return g_string_free(text, FALSE);
}

static char *request_text(fixture_t *f, const char *method, const char *path,
			  const char *extra)
{
	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: a.example\r\n"
			       "X-Request-Id: q-%u\r\nX-Deadline-Ms: 3000\r\n"
			       "%s\r\n",
			       method, path, ++f->requests, extra);
}

/* One request on a connection of its own; the whole answer as text. */
static char *ask(fixture_t *f, const char *method, const char *path)
{
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	char *request = request_text(f, method, path, "");
	char *answer;

	send_bytes(connection, request);
	answer = read_answers(connection, 1);
	g_object_unref(connection);
	g_free(request);
	return answer;
}

static guint status_of(const char *answer)
{
	return strlen(answer) > 12 ?
		       (guint)g_ascii_strtoull(answer + 9, NULL, 10) :
		       0;
}

static guint ask_status(fixture_t *f, const char *method, const char *path)
{
	char *answer = ask(f, method, path);
	guint status = status_of(answer);

	g_free(answer);
	return status;
}

/* Runs of the last request at both endpoints; abandoned ones when asked. */
static guint runs(const fixture_t *f, gboolean abandoned)
{
	gchar *path = abandoned ? g_strdup("abandoned") :
				  g_strdup_printf("runs.q-%u", f->requests);
	guint total = 0;
	reply_t reply;
	guint i;

	for (i = 0; i < ENDPOINTS; i++) {
		http_request(&reply, "POST", test_port(ENDPOINT_PORT + i),
			     "/stats", NULL, NULL);
		assert_int_equal(reply.status, 200);
		if (abandoned || strstr(reply.body, path + strlen("runs.")))
			total += (guint)json_integer_at(reply.body, path);
		reply_clear(&reply);
	}
	g_free(path);
	return total;
}

static guint get_status(guint port, const char *path)
{
	reply_t reply;
	guint status;

	http_request(&reply, "GET", test_port(port), path, NULL, NULL);
	status = reply.status;
	reply_clear(&reply);
	return status;
}

static gboolean is_ready(void *ctx)
{
	(void)ctx;
	return get_status(READY_PORT, "/-/readyz") == 200;
}

static gboolean is_served(void *ctx)
{
	return ask_status(ctx, "GET", "/safe/1") == 200;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *port = g_strdup_printf("%u", test_port(STORE_PORT));
	guint i;

	f->store = process_start("fake_store", "--port", port, "--page", "1",
				 NULL);
	g_free(port);
	for (i = 0; i < ENDPOINTS; i++) {
		gchar *id = g_strdup_printf("i-%u", i);

		port = g_strdup_printf("%u", test_port(ENDPOINT_PORT + i));
		f->endpoints[i] = process_start("fake_endpoint", "--port", port,
						"--id", id, NULL);
		g_free(port);
		g_free(id);
	}
	run_loop_for(300);
	for (i = 0; i < ENDPOINTS; i++)
		put_endpoint(i, "ready", 1);
	put("/-/objects/servers/forged", "PUT", "{\"service\":5}");
	put_config(7, "");
	start_daemon(f);
	assert_true(wait_until(is_ready, NULL, START_TIMEOUT_MS));
	assert_true(wait_until(is_served, f, START_TIMEOUT_MS));
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;
	guint i;

	process_free(f->daemon);
	for (i = 0; i < ENDPOINTS; i++)
		process_free(f->endpoints[i]);
	process_free(f->store);
	g_free(f);
	return 0;
}

/* Fails when method, path, id or body of a request or its answer change. */
static void request_and_answer_pass_unchanged(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	char *request = request_text(f, "PUT", "/once/a?b=c",
				     "Transfer-Encoding: chunked\r\n");
	char *answer;

	send_bytes(connection, request);
	send_bytes(connection, "3\r\nabc\r\n0\r\n\r\n");
	answer = read_answers(connection, 1);
	assert_int_equal(status_of(answer), 200);
	assert_non_null(strstr(answer, "X-Response-Signature: s\r\n"));
	assert_non_null(strstr(answer, "PUT /once/a?b=c q-"));
	assert_true(g_str_has_suffix(answer, " abc"));
	assert_int_equal(runs(f, FALSE), 1);
	g_object_unref(connection);
	g_free(request);
	g_free(answer);
}

/*
 * Fails when a request that must not run twice is sent again after its
 * connection was reset, on a new connection or a kept one.
 */
static void reset_runs_once(void **state)
{
	fixture_t *f = *state;
	guint i;

	for (i = 0; i < 4; i++) {
		assert_int_equal(ask_status(f, "PUT", "/once/warm"), 200);
		assert_int_equal(ask_status(f, "PUT", "/once/reset"), 502);
		assert_int_equal(runs(f, FALSE), 1);
	}
}

/* Fails when a refusal says "not run" and the request ran. */
static void shed_is_told_as_not_run(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(ask_status(f, "PUT", "/once/shed"), 503);
	assert_int_equal(runs(f, FALSE), 0);
}

/* Fails when a truncated answer looks like a success. */
static void truncated_answer_is_no_success(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(ask_status(f, "PUT", "/once/early"), 502);
}

/* Fails when an answer of another request is passed on. */
static void foreign_answers_are_dropped(void **state)
{
	fixture_t *f = *state;
	char *answer;
	guint i;

	for (i = 0; i < 4; i++) {
		answer = ask(f, "GET", "/safe/foreign");
		assert_int_equal(status_of(answer), 200);
		assert_null(strstr(answer, "foreign\""));
		assert_non_null(strstr(answer, "GET /safe/foreign q-"));
		g_free(answer);
		assert_int_equal(ask_status(f, "GET", "/safe/extra"), 200);
		answer = ask(f, "GET", "/safe/after");
		assert_non_null(strstr(answer, "GET /safe/after q-"));
		g_free(answer);
	}
}

/* Fails when pipelined requests run one after the other, or change places. */
static void pipelined_requests_run_side_by_side(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	gint64 started = g_get_monotonic_time();
	char *answers, *first, *second;
	guint i;

	for (i = 0; i < 3; i++) {
		char *request = request_text(
			f, "GET", i < 2 ? "/safe/slow" : "/safe/z", "");

		send_bytes(connection, request);
		g_free(request);
	}
	answers = read_answers(connection, 3);
	/* Two of 400 ms, one after the other, would take 800 ms. */
	assert_true(g_get_monotonic_time() - started < 750000);
	first = strstr(answers, "GET /safe/slow");
	second = strstr(answers, "GET /safe/z");
	assert_non_null(first);
	assert_non_null(second);
	assert_true(first < second);
	g_object_unref(connection);
	g_free(answers);
}

static gboolean has_abandoned(void *ctx)
{
	return runs(ctx, TRUE) > 0;
}

/* Fails when an endpoint works on for a caller that has left. */
static void work_ends_with_its_caller(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	char *request = request_text(f, "GET", "/safe/slow", "");

	send_bytes(connection, request);
	run_loop_for(100);
	g_object_unref(connection);
	/* The users allow half a second; the work itself takes 400 ms. */
	assert_true(wait_until(has_abandoned, f, 500));
	g_free(request);
}

/* Fails when a smuggled or malformed request reaches an endpoint. */
static void malformed_requests_reach_no_endpoint(void **state)
{
	static const char *const bad[] = {
		"PUT /once/x HTTP/1.1\r\nHost: a.example\r\n"
		"X-Request-Id: bad\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"PUT /once/x HTTP/1.1\r\nHost: a.example\r\n"
		"X-Request-Id: bad\r\nContent-Length: 1\r\n"
		"Content-Length: 2\r\n\r\nab",
		"PUT /once/x HTTP/1.1\r\nX-Request-Id: bad\r\n\r\n",
		"PUT /once/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
	};
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		GSocketConnection *connection =
			open_connection(test_port(PROXY_PORT));
		char *answer;

		send_bytes(connection, bad[i]);
		answer = read_answers(connection, 1);
		assert_int_equal(status_of(answer), 400);
		g_free(answer);
		g_object_unref(connection);
	}
}

/* Fails when a sender that stalls holds its connection without an answer. */
static void slow_sender_is_told(void **state)
{
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	char *answer;

	(void)state;
	send_bytes(connection, "GET /safe/x HTTP/1.1\r\nHost: a.exa");
	answer = read_answers(connection, 1);
	assert_int_equal(status_of(answer), 408);
	g_free(answer);
	g_object_unref(connection);
}

static gboolean new_route_is_served(void *ctx)
{
	return ask_status(ctx, "GET", "/new/1") == 200;
}

/* Fails when a version is not in force in time, or a later one reverts it. */
static void config_comes_into_force_and_stays(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(ask_status(f, "GET", "/new/1"), 404);
	put_config(12, ROUTE("new", "/new/", "safe"));
	assert_true(wait_until(new_route_is_served, f, CONFIG_BOUND_MS));
	put_config(9, "");
	run_loop_for(1000);
	assert_int_equal(ask_status(f, "GET", "/new/1"), 200);
}

/* Fails when an outage of the store or lost history stops the service. */
static void store_outage_changes_nothing(void **state)
{
	static const char *const modes[] = { "busy", "refuse", "silent" };
	fixture_t *f = *state;
	guint version = 20;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		set_fault(modes[i]);
		put_config(version++, "");
		run_loop_for(1500);
		assert_int_equal(ask_status(f, "GET", "/safe/1"), 200);
		set_fault("none");
		put_config(version++, ROUTE("new", "/new/", "safe"));
		assert_true(wait_until(new_route_is_served, f,
				       CONFIG_BOUND_MS + 3000));
	}
	set_fault("compact");
	put_config(version++, "");
	run_loop_for(CONFIG_BOUND_MS);
	assert_int_equal(ask_status(f, "GET", "/new/1"), 404);
}

/*
 * Fails when a watch that is asked for during an outage, and that the store
 * never answers, hides a version for longer than the bound after the outage.
 */
static void watch_swallowed_in_an_outage_is_replaced(void **state)
{
	fixture_t *f = *state;

	run_loop_for(WATCHING_AFTER_MS);
	set_fault("swallow");
	run_loop_for(1500);
	set_fault("none");
	run_loop_for(CONTACT_MS);
	put_config(30, ROUTE("new", "/new/", "safe"));
	assert_true(wait_until(new_route_is_served, f, CONFIG_BOUND_MS));
}

/* Fails when an endpoint that drains or is gone gets new work. */
static void leaving_endpoint_gets_no_new_work(void **state)
{
	fixture_t *f = *state;
	char *answer;
	guint i;

	put_endpoint(0, "draining", 2);
	run_loop_for(2000);
	for (i = 0; i < 10; i++) {
		answer = ask(f, "GET", "/safe/where");
		assert_non_null(strstr(answer, "X-Instance-Id: i-1\r\n"));
		g_free(answer);
	}
	put("/-/objects/servers/i-1", "DELETE", "");
	run_loop_for(2000);
	assert_int_equal(ask_status(f, "GET", "/safe/none"), 503);
}

/* Fails when the directory does not name this instance for its data centre. */
static void directory_names_the_instance(void **state)
{
	gchar *address = g_strdup_printf("127.0.0.1:%u", test_port(PROXY_PORT));
	reply_t reply;

	(void)state;
	http_request(&reply, "GET", test_port(DIRECTORY_PORT),
		     "/-/resolve?name=a.example&region=r&zone=k1", NULL, NULL);
	assert_int_equal(reply.status, 200);
	assert_non_null(strstr(reply.body, address));
	assert_non_null(strstr(reply.body, "\"ttl_s\" : 0.5"));
	reply_clear(&reply);
	g_free(address);
}

/* Fails when a planned stop cuts a request, or the instance seems ready. */
static void planned_stop_cuts_nothing(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *connection = open_connection(test_port(PROXY_PORT));
	char *request = request_text(f, "PUT", "/once/slow", "");
	char *answer;

	send_bytes(connection, request);
	run_loop_for(100);
	process_signal(f->daemon, SIGTERM);
	run_loop_for(50);
	assert_int_equal(get_status(READY_PORT, "/-/readyz"), 503);
	answer = read_answers(connection, 1);
	assert_int_equal(status_of(answer), 200);
	assert_non_null(strstr(answer, "Connection: close\r\n"));
	g_free(answer);
	/* Callers that still have the address are served. */
	assert_int_equal(ask_status(f, "GET", "/safe/1"), 200);
	assert_int_equal(process_wait(f->daemon), 0);
	g_object_unref(connection);
	g_free(request);
}

/*
 * Fails when callers that keep the address of a stopping instance hold it beyond
 * its bound: the platform kills it then, with the requests it runs.
 */
static void stop_under_traffic_keeps_its_bound(void **state)
{
	const guint slack_ms = 500; /* between shutdown_max_ms and the kill */
	GSocketConnection *connections[60], *connection;
	fixture_t *f = *state;
	GTimeSpan end = g_get_monotonic_time() +
			(SHUTDOWN_MAX_MS + slack_ms) * G_TIME_SPAN_MILLISECOND;
	guint sent = 0;

	process_signal(f->daemon, SIGTERM);
	while ((connection = try_connection(test_port(PROXY_PORT)))) {
		char *request = request_text(f, "PUT", "/once/slow", "");

		assert_true(g_get_monotonic_time() < end);
		assert_true(sent < G_N_ELEMENTS(connections));
		connections[sent++] = connection;
		/* The process may end before it is written. */
		g_output_stream_write_all(
			g_io_stream_get_output_stream(G_IO_STREAM(connection)),
			request, strlen(request), NULL, NULL, NULL);
		g_free(request);
		run_loop_for(100);
	}
	assert_int_equal(process_wait(f->daemon), 0);
	while (sent)
		g_object_unref(connections[--sent]);
}

/* Fails when a killed instance does not serve again soon after its start. */
static void restarted_instance_serves(void **state)
{
	const guint recovery_ms = 2000; /* of the 15 s that the users allow */
	fixture_t *f = *state;

	process_free(f->daemon);
	start_daemon(f);
	assert_true(wait_until(is_ready, NULL, recovery_ms));
	assert_true(wait_until(is_served, f, recovery_ms));
}

/* Fails when SIGHUP ends the process, or invalid settings do. */
static void settings_are_read_again(void **state)
{
	fixture_t *f = *state;

	process_signal(f->daemon, SIGHUP);
	run_loop_for(200);
	assert_int_equal(ask_status(f, "GET", "/safe/1"), 200);
	g_free(write_build_file("platform.json", "{\"instance\":5}"));
	process_signal(f->daemon, SIGHUP);
	run_loop_for(200);
	assert_int_equal(ask_status(f, "GET", "/safe/1"), 200);
}

/* Fails when the metrics lack a counter or the latency histogram. */
static void metrics_are_served(void **state)
{
	fixture_t *f = *state;
	reply_t reply;

	assert_int_equal(ask_status(f, "GET", "/safe/1"), 200);
	http_request(&reply, "GET", test_port(CALLER_PORT), "/metrics", NULL,
		     NULL);
	assert_int_equal(reply.status, 200);
	assert_non_null(strstr(reply.body, "catkinstall_calls_received_total"));
	assert_non_null(strstr(reply.body,
			       "catkinstall_request_seconds_bucket{result="
			       "\"answered\",le=\"+Inf\"}"));
	reply_clear(&reply);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(request_and_answer_pass_unchanged),
		TEST(reset_runs_once),
		TEST(shed_is_told_as_not_run),
		TEST(truncated_answer_is_no_success),
		TEST(foreign_answers_are_dropped),
		TEST(pipelined_requests_run_side_by_side),
		TEST(work_ends_with_its_caller),
		TEST(malformed_requests_reach_no_endpoint),
		TEST(slow_sender_is_told),
		TEST(config_comes_into_force_and_stays),
		TEST(store_outage_changes_nothing),
		TEST(watch_swallowed_in_an_outage_is_replaced),
		TEST(leaving_endpoint_gets_no_new_work),
		TEST(directory_names_the_instance),
		TEST(planned_stop_cuts_nothing),
		TEST(stop_under_traffic_keeps_its_bound),
		TEST(restarted_instance_serves),
		TEST(settings_are_read_again),
		TEST(metrics_are_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
