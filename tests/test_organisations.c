/*
 * Tests the keys of organisations with real processes: a metadata store, two
 * endpoints and an instance. No request may run with a key that was withdrawn
 * or never given, no endpoint may see a key or a false organisation, and no key
 * may appear in what the instance prints.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "tests/support.h"

#define ENDPOINTS 2
#define SLOTS 3 /* of each endpoint */
#define START_TIMEOUT_MS 10000
#define CONFIG_BOUND_MS 2500 /* config_apply_ms */
#define READ_TIMEOUT_S 10
#define OUTAGE_MS 1000
/* Part of every key below, and of no other text. */
#define KEY_MARK "hush"
#define KEY_ACME "hush-acme"
#define KEY_ACME_2 "hush-acme-second"
#define KEY_BETA "hush-beta"
#define KEY_UNKNOWN "hush-unknown"
#define OVERSIZED_KEY_BYTES 1000 /* within the limit of headers */

enum {
	STORE_PORT = 770,
	ENDPOINT_PORT = 771,
	CALLER_PORT = 775,
	PROXY_PORT,
	DIRECTORY_PORT,
	READY_PORT,
	PEER_PORT
};

typedef struct {
	process_t *store, *endpoints[ENDPOINTS], *daemon;
	char *log; /* path of the daemon's output */
	guint requests; /* sent so far, for unique ids */
	guint version; /* of the configuration that was written last */
} fixture_t;

static void send_to_store(const char *path, const char *method,
			  const char *body)
{
	reply_t reply;

	http_request(&reply, method, test_port(STORE_PORT), path, body, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
}

#define ROUTE(name, prefix, more)                                        \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" name      \
	"\"},\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"" prefix \
	"\",\"route_type\":\"safe\",\"timeout_ms\":6000,"                \
	"\"target_latency_ms\":4000,\"priority\":1,\"max_attempts\":2,"  \
	"\"service\":\"s\"" more "}},"
#define TENANT(name, spec)                                           \
	"{\"entry_kind\":\"tenants\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":{" spec "}},"
#define KEYS(keys) "\"api_keys\":[" keys "]"
#define QUOTED(key) "\"" key "\""

/* Writes the next version with these organisations. */
static void put_config(fixture_t *f, const char *tenants)
{
	gchar *body = g_strdup_printf(
		"{\"version\":\"r%u\",\"resources\":["
		"%s" ROUTE("private", "/private/", "") ROUTE(
			"open", "/open/",
			",\"public\":true") "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"},"
					    "\"spec\":{\"health_path\":\"/healthz\","
					    "\"max_connections\":100}},"
					    "{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":{"
					    "\"max_header_bytes\":4000,\"max_body_bytes\":10000,"
					    "\"header_timeout_ms\":500,\"idle_timeout_ms\":15000}}]}",
		++f->version, tenants);

	send_to_store("/-/objects/config/main", "PUT", body);
	g_free(body);
}

static void put_endpoint(guint index)
{
	gchar *path = g_strdup_printf("/-/objects/servers/i-%u", index);
	gchar *body = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"k1\",\"version\":\"v1\",\"max_concurrency\":%d,"
		"\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}",
		test_port(ENDPOINT_PORT + index), SLOTS);

	send_to_store(path, "PUT", body);
	g_free(body);
	g_free(path);
}

static void start_daemon(fixture_t *f)
{
	char *settings = write_build_file(
		"organisations.json",
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
		"\"request_id_lifetime_ms\":100,\"shutdown_max_ms\":4000}",
		test_port(CALLER_PORT), test_port(PEER_PORT),
		test_port(PROXY_PORT), test_port(DIRECTORY_PORT),
		test_port(READY_PORT), test_port(STORE_PORT));

	f->daemon = process_start_logged(f->log, "catkinstalld", "--settings",
					 settings, NULL);
	g_free(settings);
}

static GSocketConnection *open_connection(void)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)test_port(PROXY_PORT), NULL,
		NULL);

	g_object_unref(client);
	assert_non_null(connection);
	g_socket_set_timeout(g_socket_connection_get_socket(connection),
			     READ_TIMEOUT_S);
	return connection;
}

/* Sends a request with these header lines, each with its line end. */
static void send_on(fixture_t *f, GSocketConnection *connection,
		    const char *path, const char *lines)
{
	gchar *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: a.example\r\n"
				      "X-Request-Id: q-%u\r\n"
				      "X-Deadline-Ms: 6000\r\n%s\r\n",
				      path, ++f->requests, lines);

	assert_true(g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL));
	g_free(text);
}

/* Reads one answer, whose body arrives with its head or right after it. */
static char *read_answer(GSocketConnection *connection)
{
	GInputStream *input =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	GString *text = g_string_new(NULL);
	char data[4096];
	gssize size = 1;

	while (size > 0 && (!strstr(text->str, "\r\n\r\n") ||
			    g_str_has_suffix(text->str, "\r\n\r\n"))) {
		size = g_input_stream_read(input, data, sizeof(data), NULL,
					   NULL);
		if (size > 0)
			g_string_append_len(text, data, size);
	}
	return g_string_free(text, FALSE);
}

static guint status_of(const char *answer)
{
	return strlen(answer) > 12 ?
		       (guint)g_ascii_strtoull(answer + 9, NULL, 10) :
		       0;
}

static char *request(fixture_t *f, const char *path, const char *lines)
{
	GSocketConnection *connection = open_connection();
	char *answer;

	send_on(f, connection, path, lines);
	answer = read_answer(connection);
	g_object_unref(connection);
	return answer;
}

static guint status(fixture_t *f, const char *path, const char *lines)
{
	char *answer = request(f, path, lines);
	guint found = status_of(answer);

	g_free(answer);
	return found;
}

#define CREDENTIAL(key) "X-Credential: " key "\r\n"

/* Fails unless the request runs in the name of the organisation, or of none. */
static void assert_runs_for(fixture_t *f, const char *path, const char *lines,
			    const char *organisation)
{
	char *answer = request(f, path, lines);
	gchar *line = g_strdup_printf("X-Got-Tenant: %s\r\n",
				      organisation ? organisation : "");

	if (status_of(answer) != 200)
		fail_msg("not answered: %s", answer);
	if (organisation)
		assert_non_null(strstr(answer, line));
	else
		assert_null(strstr(answer, "X-Got-Tenant"));
	assert_null(strstr(answer, "X-Got-Credential"));
	assert_null(strstr(answer, KEY_MARK));
	g_free(line);
	g_free(answer);
}

/* Executions of a request at both endpoints. */
static guint count_runs(guint number)
{
	gchar *path = g_strdup_printf("runs.q-%u", number);
	guint total = 0;
	reply_t reply;
	gint64 count;
	guint i;

	for (i = 0; i < ENDPOINTS; i++) {
		http_request(&reply, "POST", test_port(ENDPOINT_PORT + i),
			     "/stats", NULL, NULL);
		count = json_integer_at(reply.body, path);
		total += (guint)MAX(count, 0);
		reply_clear(&reply);
	}
	g_free(path);
	return total;
}

static guint readiness(void)
{
	reply_t reply;
	guint found;

	http_request(&reply, "GET", test_port(READY_PORT), "/-/readyz", NULL,
		     NULL);
	found = reply.status;
	reply_clear(&reply);
	return found;
}

static gboolean is_ready(void *ctx)
{
	(void)ctx;
	return readiness() == 200;
}

static gboolean is_listening(void *ctx)
{
	(void)ctx;
	return readiness() != 0;
}

static gboolean is_acme_served(void *ctx)
{
	return status(ctx, "/private/1", CREDENTIAL(KEY_ACME)) == 200;
}

static gboolean is_acme_refused(void *ctx)
{
	return status(ctx, "/private/1", CREDENTIAL(KEY_ACME)) == 401;
}

static gboolean is_beta_served(void *ctx)
{
	return status(ctx, "/private/1", CREDENTIAL(KEY_BETA)) == 200;
}

#define ACME_AND_BETA                          \
	TENANT("acme", KEYS(QUOTED(KEY_ACME))) \
	TENANT("beta", KEYS(QUOTED(KEY_BETA)) ",\"rate_per_s\":50,\"burst\":50")
#define ONLY_BETA TENANT("beta", KEYS(QUOTED(KEY_BETA)))

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *port = g_strdup_printf("%u", test_port(STORE_PORT));
	guint i;

	f->log = write_build_file("organisations.log", "%s", "");
	f->store = process_start("fake_store", "--port", port, NULL);
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
		put_endpoint(i);
	put_config(f, ACME_AND_BETA);
	start_daemon(f);
	assert_true(wait_until(is_ready, NULL, START_TIMEOUT_MS));
	assert_true(wait_until(is_acme_served, f, START_TIMEOUT_MS));
	*state = f;
	return 0;
}

static void assert_has_no_key(const char *text, const char *where)
{
	if (text && strstr(text, KEY_MARK))
		fail_msg("a key appears in %s", where);
}

static void assert_page_has_no_key(const char *path)
{
	reply_t reply;

	http_request(&reply, "GET", test_port(CALLER_PORT), path, NULL, NULL);
	assert_has_no_key(reply.body, path);
	reply_clear(&reply);
}

/* Fails if a key appears in what the instance prints or shows. */
static void assert_keys_are_secret(const fixture_t *f)
{
	gchar *text = NULL;

	assert_page_has_no_key("/v1/operator/dump");
	assert_page_has_no_key("/v1/operator/config");
	assert_page_has_no_key("/v1/operator/config/history");
	assert_page_has_no_key("/metrics");
	assert_true(g_file_get_contents(f->log, &text, NULL, NULL));
	assert_true(strlen(text) > 0);
	assert_has_no_key(text, "the log");
	g_free(text);
}

static int tear_down(void **state)
{
	fixture_t *f = *state;
	guint i;

	assert_keys_are_secret(f);
	process_free(f->daemon);
	for (i = 0; i < ENDPOINTS; i++)
		process_free(f->endpoints[i]);
	process_free(f->store);
	g_free(f->log);
	g_free(f);
	return 0;
}

/* Fails if a request runs without a valid key, or under a false name. */
static void private_route_needs_a_key(void **state)
{
	fixture_t *f = *state;
	char *answer = request(f, "/private/1", "");

	assert_int_equal(status_of(answer), 401);
	assert_null(strstr(answer, "X-Got-"));
	g_free(answer);
	assert_int_equal(count_runs(f->requests), 0);
	assert_int_equal(status(f, "/private/1", CREDENTIAL(KEY_UNKNOWN)), 401);
	assert_int_equal(count_runs(f->requests), 0);
	assert_int_equal(
		status(f, "/private/1", CREDENTIAL("Bearer " KEY_ACME)), 401);
	assert_int_equal(status(f, "/private/1", CREDENTIAL("")), 401);
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME), "acme");
	assert_runs_for(f, "/private/1",
			"X-Tenant-Id: beta\r\nx-credential: " KEY_ACME
			"\r\nx-tenant-id: gamma\r\n",
			"acme");
	/* An unknown path stays one, whether or not there is a key. */
	assert_int_equal(status(f, "/nowhere", CREDENTIAL(KEY_ACME)), 404);
}

/* Fails if a public route needs a key, or passes on what a client claims. */
static void public_route_needs_none(void **state)
{
	fixture_t *f = *state;

	assert_runs_for(f, "/open/1", "", NULL);
	assert_runs_for(f, "/open/1", "X-Tenant-Id: acme\r\n", NULL);
	assert_runs_for(f, "/open/1",
			"X-Tenant-Id: acme\r\n" CREDENTIAL(KEY_UNKNOWN), NULL);
	assert_runs_for(f, "/open/1", CREDENTIAL(KEY_BETA), "beta");
}

/* Fails if one of two keys is picked, or if a long key disturbs the instance. */
static void ambiguous_and_oversized_keys_are_refused(void **state)
{
	fixture_t *f = *state;
	gchar *filler = g_strnfill(OVERSIZED_KEY_BYTES, 'k');
	gchar *lines =
		g_strdup_printf("X-Credential: %s%s\r\n", KEY_ACME, filler);

	assert_int_equal(status(f, "/private/1",
				CREDENTIAL(KEY_ACME) CREDENTIAL(KEY_BETA)),
			 401);
	assert_int_equal(status(f, "/private/1",
				CREDENTIAL(KEY_ACME) CREDENTIAL(KEY_ACME)),
			 401);
	assert_int_equal(status(f, "/private/1", lines), 401);
	g_free(lines);
	lines = g_strdup_printf("X-Credential: %s%s%s%s%s\r\n", filler, filler,
				filler, filler, filler);
	assert_int_equal(status(f, "/private/1", lines), 431);
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME), "acme");
	g_free(lines);
	g_free(filler);
}

/* Fails if an invalid version takes effect, or hides the next valid one. */
static void invalid_version_changes_nothing(void **state)
{
	static const char *const invalid[] = {
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2)))
			TENANT("beta", KEYS(QUOTED(KEY_ACME_2))),
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2) "," QUOTED(KEY_ACME_2))),
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2) ",\"\"")),
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2)) ",\"rate_per_s\":-1"),
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2)) ",\"burst\":\"x\""),
		TENANT("acme", KEYS(QUOTED(KEY_ACME_2))) TENANT("acme", ""),
	};
	fixture_t *f = *state;
	gchar *log = NULL;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		put_config(f, invalid[i]);
		run_loop_for(300);
	}
	run_loop_for(CONFIG_BOUND_MS);
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME), "acme");
	assert_int_equal(status(f, "/private/1", CREDENTIAL(KEY_ACME_2)), 401);
	assert_true(g_file_get_contents(f->log, &log, NULL, NULL));
	assert_non_null(strstr(log, "resources[0].spec.rate_per_s"));
	g_free(log);
	put_config(f, TENANT("acme", KEYS(QUOTED(KEY_ACME_2))));
	assert_true(wait_until(is_acme_refused, f, CONFIG_BOUND_MS));
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME_2), "acme");
}

/* Fails if a key keeps its old organisation after it has moved. */
static void moved_key_carries_the_new_name(void **state)
{
	fixture_t *f = *state;

	put_config(f, TENANT("acme", KEYS(QUOTED(KEY_ACME_2)))
			      TENANT("beta", KEYS(QUOTED(KEY_ACME))));
	run_loop_for(CONFIG_BOUND_MS);
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME), "beta");
	assert_runs_for(f, "/private/1", CREDENTIAL(KEY_ACME_2), "acme");
	assert_int_equal(status(f, "/private/1", CREDENTIAL(KEY_BETA)), 401);
}

/* Fails if the check of a key is kept with the connection. */
static void withdrawn_key_ends_a_kept_connection(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *connection = open_connection();
	char *answer;

	send_on(f, connection, "/private/1", CREDENTIAL(KEY_ACME));
	answer = read_answer(connection);
	assert_int_equal(status_of(answer), 200);
	g_free(answer);
	put_config(f, ONLY_BETA);
	run_loop_for(CONFIG_BOUND_MS);
	send_on(f, connection, "/private/1", CREDENTIAL(KEY_ACME));
	answer = read_answer(connection);
	assert_int_equal(status_of(answer), 401);
	assert_int_equal(count_runs(f->requests), 0);
	g_free(answer);
	g_object_unref(connection);
}

/* Fails if a request that waits in the queue is sent with a withdrawn key. */
static void withdrawn_key_ends_a_queued_request(void **state)
{
	fixture_t *f = *state;
	GSocketConnection *busy[ENDPOINTS * SLOTS], *queued;
	char *answer;
	guint number;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(busy); i++) {
		busy[i] = open_connection();
		send_on(f, busy[i], "/private/long", CREDENTIAL(KEY_BETA));
		run_loop_for(30);
	}
	queued = open_connection();
	send_on(f, queued, "/private/1", CREDENTIAL(KEY_ACME));
	number = f->requests;
	run_loop_for(100);
	assert_int_equal(count_runs(number), 0);
	put_config(f, ONLY_BETA);
	answer = read_answer(queued);
	assert_int_equal(status_of(answer), 401);
	g_free(answer);
	for (i = 0; i < G_N_ELEMENTS(busy); i++) {
		answer = read_answer(busy[i]);
		assert_int_equal(status_of(answer), 200);
		g_free(answer);
		g_object_unref(busy[i]);
	}
	assert_int_equal(count_runs(number), 0);
	g_object_unref(queued);
}

/* Fails if anything brings a withdrawn key back. */
static void withdrawn_key_does_not_return(void **state)
{
	fixture_t *f = *state;
	guint i, found;

	send_to_store("/fault/copy", "POST", "");
	put_config(f, ONLY_BETA);
	assert_true(wait_until(is_acme_refused, f, CONFIG_BOUND_MS));
	send_to_store("/fault/busy", "POST", "");
	for (i = 0; i < 5; i++) {
		run_loop_for(OUTAGE_MS / 5);
		assert_true(is_acme_refused(f));
		assert_true(is_beta_served(f));
	}
	/* Without any configuration nothing is said about keys. */
	process_free(f->daemon);
	start_daemon(f);
	assert_true(wait_until(is_listening, NULL, START_TIMEOUT_MS));
	assert_int_equal(status(f, "/private/1", CREDENTIAL(KEY_ACME)), 503);
	assert_int_equal(status(f, "/private/1", ""), 503);
	send_to_store("/fault/none", "POST", "");
	for (i = 0; i < 50 && !is_beta_served(f); i++) {
		found = status(f, "/private/1", CREDENTIAL(KEY_ACME));
		assert_true(found == 401 || found == 503);
		run_loop_for(100);
	}
	assert_true(is_acme_refused(f));
	/* The store loses the version that withdrew the key. */
	send_to_store("/fault/restore", "POST", "");
	for (i = 0; i < 20; i++) {
		run_loop_for(200);
		assert_true(is_acme_refused(f));
	}
	assert_true(is_beta_served(f));
}

/* Exit status of a check of a file against the configuration in force. */
static int check_against_live(const char *file)
{
	gchar *entry = g_strdup_printf("127.0.0.1:%u", test_port(CALLER_PORT));
	process_t *process = process_start("catkinctl", "config", "check", file,
					   "--against", "live", "--entry",
					   entry, NULL);
	int found = process_wait(process);

	process_free(process);
	g_free(entry);
	return found;
}

static gboolean needs_no_key(void *ctx)
{
	return status(ctx, "/private/1", "") == 200;
}

/* Fails if the live configuration is shown with keys, or never compared. */
static void live_configuration_is_compared_without_keys(void **state)
{
	fixture_t *f = *state;
	char *file = write_build_file(
		"live.json", "{\"version\":\"r%u\",\"resources\":[]}", 100u);

	assert_int_equal(check_against_live(file), 2);
	put_config(f, "");
	assert_true(wait_until(needs_no_key, f, CONFIG_BOUND_MS));
	assert_int_equal(check_against_live(file), 0);
	g_free(file);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(private_route_needs_a_key),
		TEST(public_route_needs_none),
		TEST(ambiguous_and_oversized_keys_are_refused),
		TEST(invalid_version_changes_nothing),
		TEST(moved_key_carries_the_new_name),
		TEST(withdrawn_key_ends_a_kept_connection),
		TEST(withdrawn_key_ends_a_queued_request),
		TEST(withdrawn_key_does_not_return),
		TEST(live_configuration_is_compared_without_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
