/*
 * Checks, with faults between real processes, that a request runs at most once
 * and that a request answered "not_run" never runs. Most scenarios also run
 * against catkinstalld_naive, which retries after any failure and answers
 * "not_run" without proof. There the same check must find a violation, which
 * shows that it can fail.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <libsoup/soup.h>
#include <signal.h>

#include "tests/support.h"

#define START_TIMEOUT_MS 5000
#define BOOK_DEADLINE_MS 400
#define PAUSE_MS (BOOK_DEADLINE_MS + 200)
#define SLOW_FACTOR 200 /* makes a call run longer than its deadline */
#define LOAD_CALLS 50

typedef enum { VARIANT_SAFE, VARIANT_NAIVE, VARIANT_COUNT } variant_t;

static const char *const programs[VARIANT_COUNT] = { "catkinstalld",
						     "catkinstalld_naive" };

typedef struct {
	guint upstream_port, fault_proxy_port, control_port;
	process_t *upstream, *fault_proxy;
	guint instance_port[VARIANT_COUNT];
	process_t *instance[VARIANT_COUNT];
	char *settings[VARIANT_COUNT];
	guint bodies_made; /* number of request bodies made so far */
} fixture_t;

static const char schema_format[] =
	"{\"priorities\":[{\"name\":\"urgent\",\"floor_percent\":10}],"
	"\"services\":[{\"name\":\"booking\",\"slots\":3,\"connections\":200,"
	"\"probes_per_second\":0,\"endpoints\":[\"127.0.0.1:%u\"],"
	"\"methods\":["
	"{\"name\":\"book\",\"priority\":\"urgent\",\"idempotent\":false,"
	"\"deadline_ms\":%d},"
	"{\"name\":\"order\",\"priority\":\"urgent\",\"idempotent\":false,"
	"\"deadline_ms\":2000},"
	"{\"name\":\"status\",\"priority\":\"urgent\",\"idempotent\":true,"
	"\"deadline_ms\":2000}]}]}";

static void send_control(guint port, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void send_control(guint port, const char *format, ...)
{
	va_list arguments;
	gchar *path;
	reply_t reply;

	va_start(arguments, format);
	path = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	http_request(&reply, "POST", port, path, NULL, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	g_free(path);
}

static void set_slow(const fixture_t *fixture, guint factor)
{
	send_control(fixture->upstream_port, "/control?slow=%u", factor);
}

static void set_fault(const fixture_t *fixture, const char *kind,
		      const char *how, guint count)
{
	send_control(fixture->control_port,
		     "/fault?kind=%s&how=%s&count=%u&delay_ms=%d", kind, how,
		     count, PAUSE_MS);
}

static gboolean call_succeeds(void *port)
{
	reply_t reply;
	gboolean ok;

	http_request(&reply, "POST", GPOINTER_TO_UINT(port),
		     "/v1/call/booking/status", "warm", NULL);
	ok = reply.status == 200;
	reply_clear(&reply);
	return ok;
}

/* Waits until calls of earlier tests have ended and a connection is idle. */
static void restore_idle_state(const fixture_t *fixture, variant_t variant)
{
	set_fault(fixture, "none", "fin", 0);
	set_slow(fixture, 1);
	assert_true(
		wait_until(call_succeeds,
			   GUINT_TO_POINTER(fixture->instance_port[variant]),
			   START_TIMEOUT_MS));
}

static void start_instance(fixture_t *fixture, variant_t variant)
{
	fixture->instance[variant] =
		process_start(programs[variant], "--settings",
			      fixture->settings[variant], NULL);
	assert_true(
		wait_until(daemon_is_ready,
			   GUINT_TO_POINTER(fixture->instance_port[variant]),
			   START_TIMEOUT_MS));
}

static char *write_settings(const fixture_t *fixture, variant_t variant,
			    const char *schema_path)
{
	gchar *name = g_strdup_printf("once_%d.json", variant);
	char *path = write_build_file(
		name,
		"{\"instance\":\"e%d\",\"data_centre\":\"k1\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"config_file\":\"%s\",\"retry_percent\":100,"
		"\"request_id_lifetime_ms\":2000,"
		"\"resolve_ttl_ms\":500}",
		variant, fixture->instance_port[variant], schema_path);

	g_free(name);
	return path;
}

static process_t *start_fake(const char *program, const char *first_option,
			     guint port, guint first_value,
			     const char *second_option, guint second_value)
{
	gchar *values[] = { g_strdup_printf("%u", port),
			    g_strdup_printf("%u", first_value),
			    g_strdup_printf("%u", second_value) };
	process_t *process = process_start(program, "--port", values[0],
					   first_option, values[1],
					   second_option, values[2], NULL);
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(values); i++)
		g_free(values[i]);
	return process;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char *schema;
	int variant;

	fixture->upstream_port = test_port(101);
	fixture->fault_proxy_port = test_port(102);
	fixture->control_port = test_port(103);
	fixture->upstream = start_fake("fake_upstream", "--slots",
				       fixture->upstream_port, 2, "--queue", 4);
	fixture->fault_proxy = start_fake("fault_proxy", "--target",
					  fixture->fault_proxy_port,
					  fixture->upstream_port, "--control",
					  fixture->control_port);
	schema = write_build_file("once_schema.json", schema_format,
				  fixture->fault_proxy_port, BOOK_DEADLINE_MS);
	run_loop_for(100);
	for (variant = 0; variant < VARIANT_COUNT; variant++) {
		fixture->instance_port[variant] =
			test_port(104 + (guint)variant);
		fixture->settings[variant] =
			write_settings(fixture, (variant_t)variant, schema);
		start_instance(fixture, (variant_t)variant);
	}
	g_free(schema);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;
	int variant;

	for (variant = 0; variant < VARIANT_COUNT; variant++) {
		process_free(fixture->instance[variant]);
		g_free(fixture->settings[variant]);
	}
	process_free(fixture->fault_proxy);
	process_free(fixture->upstream);
	g_free(fixture);
	return 0;
}

/* A request that is sent again under the same id unless it succeeds. */
typedef struct {
	char *body;
	char *id;
	async_request_t *sent;
	reply_t first;
	reply_t retry;
} request_t;

static async_request_t *start_call(const fixture_t *fixture, variant_t variant,
				   const request_t *request, const char *method)
{
	gchar *path = g_strdup_printf("/v1/call/booking/%s", method);
	async_request_t *sent = http_start(
		"POST", fixture->instance_port[variant], path, request->body,
		"Catkinstall-Request-Id", request->id, NULL);

	g_free(path);
	return sent;
}

static void send_request(fixture_t *fixture, variant_t variant,
			 request_t *request)
{
	*request = (request_t){ 0 };
	request->body = g_strdup_printf("r%u", fixture->bodies_made++);
	request->id = fetch_request_id(fixture->instance_port[variant]);
	request->sent = start_call(fixture, variant, request, "book");
}

static void join_request(request_t *request)
{
	http_join(request->sent, &request->first);
}

static guint runs_of(const fixture_t *fixture, const request_t *request)
{
	gchar *path = g_strdup_printf("/runs?body=%s", request->body);
	reply_t reply;
	guint runs;

	http_request(&reply, "POST", fixture->upstream_port, path, NULL, NULL);
	assert_int_equal(reply.status, 200);
	runs = (guint)g_ascii_strtoull(reply.body, NULL, 10);
	reply_clear(&reply);
	g_free(path);
	return runs;
}

static gboolean reply_violates(const request_t *request, const reply_t *reply,
			       guint runs)
{
	if (g_strcmp0(reply->outcome, "not_run") == 0)
		return runs > 0;
	if (reply->status == 200)
		return runs != 1 || g_strcmp0(reply->body, request->body) != 0;
	return FALSE;
}

/*
 * Sends the request again unless it succeeded, and frees it. TRUE when it ran
 * more than once, or when an answer is wrong.
 */
static gboolean retry_and_check(fixture_t *fixture, variant_t variant,
				request_t *request)
{
	gboolean violated;
	guint runs;

	if (request->first.status != 200)
		http_join(start_call(fixture, variant, request, "book"),
			  &request->retry);
	runs = runs_of(fixture, request);
	violated = runs > 1 || reply_violates(request, &request->first, runs) ||
		   reply_violates(request, &request->retry, runs);
	if (violated && variant == VARIANT_SAFE)
		print_message("%s: %u runs, outcomes %s, %s\n", request->body,
			      runs, request->first.outcome,
			      request->retry.outcome);
	reply_clear(&request->first);
	reply_clear(&request->retry);
	g_free(request->body);
	g_free(request->id);
	return violated;
}

typedef struct {
	const char *kind;
	const char *how;
	guint count;
	gboolean naive_violates;
} connection_fault_t;

/*
 * Faults before the upstream gets the request last for all attempts of a call,
 * so that the naive variant answers "not_run" and then runs the retry. Once the
 * complete answer has arrived, nothing is retried and no variant can fail.
 */
static const connection_fault_t connection_faults[] = {
	{ "before_write", "fin", 3, TRUE },
	{ "before_write", "rst", 3, TRUE },
	{ "partial_request", "fin", 3, TRUE },
	{ "partial_request", "rst", 3, TRUE },
	{ "after_request", "fin", 1, TRUE },
	{ "after_request", "rst", 1, TRUE },
	{ "before_answer", "fin", 1, TRUE },
	{ "before_answer", "rst", 1, TRUE },
	{ "in_answer", "fin", 1, TRUE },
	{ "in_answer", "rst", 1, TRUE },
	{ "after_answer", "fin", 1, FALSE },
	{ "delay", "fin", 1, TRUE },
	{ "freeze", "fin", 3, TRUE },
	{ "freeze_answer", "fin", 1, TRUE },
	{ "stale", "fin", 1, TRUE },
	{ "double", "fin", 1, FALSE },
};

static gboolean violates_under_fault(fixture_t *fixture, variant_t variant,
				     const connection_fault_t *fault)
{
	request_t request;

	restore_idle_state(fixture, variant);
	set_fault(fixture, fault->kind, fault->how, fault->count);
	send_request(fixture, variant, &request);
	join_request(&request);
	set_fault(fixture, "none", "fin", 0);
	return retry_and_check(fixture, variant, &request);
}

/* Fails if a connection fault leads to a second run or a wrong answer. */
static void connection_faults_keep_at_most_once(void **state)
{
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(connection_faults); i++) {
		const connection_fault_t *fault = &connection_faults[i];

		print_message("%s %s\n", fault->kind, fault->how);
		assert_false(violates_under_fault(*state, VARIANT_SAFE, fault));
		assert_int_equal(violates_under_fault(*state, VARIANT_NAIVE,
						      fault),
				 fault->naive_violates);
	}
}

static guint count_violations(fixture_t *fixture, variant_t variant,
			      request_t *requests, guint count)
{
	guint i, violated = 0;

	for (i = 0; i < count; i++)
		violated += retry_and_check(fixture, variant, &requests[i]);
	return violated;
}

static guint crossed_violations(fixture_t *fixture, variant_t variant)
{
	request_t requests[2];
	guint i;

	restore_idle_state(fixture, variant);
	set_fault(fixture, "cross", "fin", 2);
	for (i = 0; i < 2; i++)
		send_request(fixture, variant, &requests[i]);
	for (i = 0; i < 2; i++)
		join_request(&requests[i]);
	set_fault(fixture, "none", "fin", 0);
	return count_violations(fixture, variant, requests, 2);
}

/* Fails if a caller gets the answer to another request. */
static void crossed_answers(void **state)
{
	assert_int_equal(crossed_violations(*state, VARIANT_SAFE), 0);
	assert_true(crossed_violations(*state, VARIANT_NAIVE) > 0);
}

static gboolean shedding_violates(fixture_t *fixture, variant_t variant)
{
	request_t request;

	restore_idle_state(fixture, variant);
	send_control(fixture->upstream_port, "/control?shed=1");
	send_request(fixture, variant, &request);
	join_request(&request);
	send_control(fixture->upstream_port, "/control?shed=0");
	assert_string_equal(request.first.outcome, "not_run");
	return retry_and_check(fixture, variant, &request);
}

/* Fails if a request that was answered "not_run" runs later. */
static void shedding_upstream(void **state)
{
	assert_false(shedding_violates(*state, VARIANT_SAFE));
	assert_true(shedding_violates(*state, VARIANT_NAIVE));
}

/*
 * Two calls run at the upstream past their deadline, the third waits in its
 * queue and the fourth in the instance, which is paused with SIGSTOP meanwhile.
 */
static guint paused_violations(fixture_t *fixture, variant_t variant)
{
	request_t requests[4];
	guint i;

	restore_idle_state(fixture, variant);
	set_slow(fixture, SLOW_FACTOR);
	for (i = 0; i < 4; i++) {
		send_request(fixture, variant, &requests[i]);
		run_loop_for(20);
	}
	process_signal(fixture->instance[variant], SIGSTOP);
	run_loop_for(PAUSE_MS);
	process_signal(fixture->instance[variant], SIGCONT);
	for (i = 0; i < 4; i++)
		join_request(&requests[i]);
	assert_string_equal(requests[3].first.outcome, "not_run");
	set_slow(fixture, 1);
	return count_violations(fixture, variant, requests, 4);
}

/*
 * Fails if a resumed instance dispatches a call or answers "not_run" by a
 * time that it read before the pause.
 */
static void paused_instance(void **state)
{
	assert_int_equal(paused_violations(*state, VARIANT_SAFE), 0);
	assert_true(paused_violations(*state, VARIANT_NAIVE) > 0);
}

static gboolean kill_violates(fixture_t *fixture, variant_t variant)
{
	request_t request;

	restore_idle_state(fixture, variant);
	set_slow(fixture, SLOW_FACTOR);
	send_request(fixture, variant, &request);
	run_loop_for(100);
	process_signal(fixture->instance[variant], SIGKILL);
	join_request(&request);
	process_free(fixture->instance[variant]);
	set_slow(fixture, 1);
	start_instance(fixture, variant);
	return retry_and_check(fixture, variant, &request);
}

/* Fails if an instance runs a request id issued before its restart. */
static void killed_instance(void **state)
{
	assert_false(kill_violates(*state, VARIANT_SAFE));
	assert_true(kill_violates(*state, VARIANT_NAIVE));
}

static guint runs_with_duplicates(fixture_t *fixture, variant_t variant)
{
	async_request_t *concurrent;
	request_t request;
	reply_t reply;
	guint runs;

	restore_idle_state(fixture, variant);
	set_slow(fixture, 20);
	send_request(fixture, variant, &request);
	concurrent = start_call(fixture, variant, &request, "book");
	join_request(&request);
	http_join(concurrent, &reply);
	assert_string_equal(reply.body, request.body);
	reply_clear(&reply);
	http_join(start_call(fixture, variant, &request, "book"), &reply);
	assert_string_equal(reply.body, request.body);
	reply_clear(&reply);
	runs = runs_of(fixture, &request);
	retry_and_check(fixture, variant, &request);
	return runs;
}

/* Fails if a duplicate, during or after the run, runs or gets no answer. */
static void duplicates_run_once(void **state)
{
	assert_int_equal(runs_with_duplicates(*state, VARIANT_SAFE), 1);
	assert_true(runs_with_duplicates(*state, VARIANT_NAIVE) > 1);
}

/* Fails if a call that the upstream never started has an unknown outcome. */
static void cancelled_before_start_is_not_run(void **state)
{
	fixture_t *fixture = *state;
	request_t requests[3];
	guint i;

	restore_idle_state(fixture, VARIANT_SAFE);
	set_slow(fixture, SLOW_FACTOR);
	for (i = 0; i < 3; i++) {
		send_request(fixture, VARIANT_SAFE, &requests[i]);
		run_loop_for(20);
	}
	for (i = 0; i < 3; i++)
		join_request(&requests[i]);
	assert_string_equal(requests[0].first.outcome, "unknown");
	assert_string_equal(requests[2].first.outcome, "not_run");
	set_slow(fixture, 1);
	assert_int_equal(count_violations(fixture, VARIANT_SAFE, requests,
					  G_N_ELEMENTS(requests)),
			 0);
}

static gint64 closed_silent_connections(const fixture_t *fixture)
{
	reply_t reply;
	gint64 count;

	http_request(&reply, "GET", fixture->instance_port[VARIANT_SAFE],
		     "/v1/operator/dump", NULL, NULL);
	count = json_integer_at(reply.body,
				"counters.connections_closed_as_silent");
	reply_clear(&reply);
	return count;
}

/* Fails if a call is lost on a silent connection and a new one would work. */
static void silent_connection_is_replaced(void **state)
{
	fixture_t *fixture = *state;
	gint64 before;
	reply_t reply;

	restore_idle_state(fixture, VARIANT_SAFE);
	before = closed_silent_connections(fixture);
	set_fault(fixture, "freeze", "fin", 1);
	http_request(&reply, "POST", fixture->instance_port[VARIANT_SAFE],
		     "/v1/call/booking/status", "silent", NULL);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.body, "silent");
	reply_clear(&reply);
	assert_int_equal(closed_silent_connections(fixture), before + 1);
}

/* Fails if a queued call runs although its caller has disconnected. */
static void disconnected_caller_cancels_queued_call(void **state)
{
	fixture_t *fixture = *state;
	request_t requests[4];
	guint i;

	restore_idle_state(fixture, VARIANT_SAFE);
	set_slow(fixture, SLOW_FACTOR);
	for (i = 0; i < 4; i++) {
		send_request(fixture, VARIANT_SAFE, &requests[i]);
		run_loop_for(20);
	}
	http_abort(requests[3].sent);
	for (i = 0; i < 3; i++)
		join_request(&requests[i]);
	set_slow(fixture, 1);
	http_join(start_call(fixture, VARIANT_SAFE, &requests[3], "book"),
		  &requests[3].first);
	assert_string_equal(requests[3].first.outcome, "not_run");
	assert_int_equal(count_violations(fixture, VARIANT_SAFE, requests, 4),
			 0);
}

/* TRUE when a response asks the caller to close its connection. */
static gboolean closes_connection(guint port)
{
	SoupSession *session = soup_session_new();
	gchar *uri = g_strdup_printf(
		"http://127.0.0.1:%u/v1/call/booking/status", port);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *body = soup_session_send_and_read(session, message, NULL, NULL);
	gboolean closes = !soup_message_is_keepalive(message);

	g_bytes_unref(body);
	g_object_unref(message);
	g_object_unref(session);
	g_free(uri);
	return closes;
}

static void start_load(const fixture_t *fixture, async_request_t **sent)
{
	guint i;

	for (i = 0; i < LOAD_CALLS; i++)
		sent[i] = http_start("POST",
				     fixture->instance_port[VARIANT_SAFE],
				     "/v1/call/booking/status", "load", NULL);
	run_loop_for(30);
}

/* TRUE if admission refused the call, as it would without a shutdown. */
static gboolean is_refused_for_overload(const reply_t *reply)
{
	return reply->status == 503 &&
	       strstr(reply->body, "\"kind\" : \"overloaded\"");
}

/*
 * Calls until end as a caller that still uses the resolved address and ids.
 * Returns the number of calls that were served.
 */
static guint call_until_expiry(fixture_t *fixture, const char *first_id,
			       gint64 end)
{
	const char *sequence = strrchr(first_id, '.') + 1;
	guint64 next = g_ascii_strtoull(sequence, NULL, 10);
	request_t request = { 0 };
	guint calls = 0, served = 0;

	while (g_get_monotonic_time() < end && calls < 60) {
		request.id = g_strdup_printf("%.*s%" G_GUINT64_FORMAT,
					     (int)(sequence - first_id),
					     first_id, next + calls);
		request.body = g_strdup_printf("late%u", calls);
		http_join(start_call(fixture, VARIANT_SAFE, &request, "order"),
			  &request.first);
		if (request.first.status != 200 &&
		    !is_refused_for_overload(&request.first))
			fail_msg("call %u got status %u: %s", calls,
				 request.first.status, request.first.body);
		assert_int_equal(runs_of(fixture, &request),
				 request.first.status == 200);
		served += request.first.status == 200;
		reply_clear(&request.first);
		g_free(request.id);
		g_free(request.body);
		calls++;
	}
	return served;
}

/* Fails if a shutdown drops a call or refuses one to an unexpired address. */
static void shutdown_under_load(void **state)
{
	async_request_t *sent[LOAD_CALLS];
	fixture_t *fixture = *state;
	reply_t reply;
	gint64 end;
	char *id;
	guint i;

	restore_idle_state(fixture, VARIANT_SAFE);
	set_slow(fixture, 2);
	assert_false(closes_connection(fixture->instance_port[VARIANT_SAFE]));
	id = fetch_request_id(fixture->instance_port[VARIANT_SAFE]);
	end = g_get_monotonic_time() + 450 * G_TIME_SPAN_MILLISECOND;
	start_load(fixture, sent);
	process_signal(fixture->instance[VARIANT_SAFE], SIGTERM);
	assert_true(call_until_expiry(fixture, id, end) > 0);
	assert_true(closes_connection(fixture->instance_port[VARIANT_SAFE]));
	for (i = 0; i < LOAD_CALLS; i++) {
		http_join(sent[i], &reply);
		assert_int_equal(reply.status, 200);
		assert_string_equal(reply.body, "load");
		reply_clear(&reply);
	}
	assert_int_equal(process_wait(fixture->instance[VARIANT_SAFE]), 0);
	g_free(id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(connection_faults_keep_at_most_once),
		cmocka_unit_test(crossed_answers),
		cmocka_unit_test(shedding_upstream),
		cmocka_unit_test(paused_instance),
		cmocka_unit_test(killed_instance),
		cmocka_unit_test(duplicates_run_once),
		cmocka_unit_test(cancelled_before_start_is_not_run),
		cmocka_unit_test(silent_connection_is_replaced),
		cmocka_unit_test(disconnected_caller_cancels_queued_call),
		cmocka_unit_test(shutdown_under_load),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
