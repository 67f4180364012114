/*
 * Guards at most once and truthful refusal under faults between real
 * processes. Each scenario also runs against catkinstalld_naive, which repeats
 * a call after any failure and refuses without proof; there the same check
 * must find a violation, so that the check is known to be able to fail.
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
#define SLOW 200 /* factor that makes a run longer than the deadline */
#define LOAD_CALLS 50

typedef enum { RULE_PROOF, RULE_NAIVE, RULE_COUNT } rule_t;

static const char *const programs[RULE_COUNT] = { "catkinstalld",
						  "catkinstalld_naive" };

typedef struct {
	guint upstream_port, proxy_port, control_port;
	process_t *upstream, *proxy;
	guint entry_port[RULE_COUNT];
	process_t *entry[RULE_COUNT];
	char *settings[RULE_COUNT];
	guint bodies; /* made so far; each names one request */
} system_t;

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

static void control(guint port, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void control(guint port, const char *format, ...)
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

static void set_slow(const system_t *system, guint factor)
{
	control(system->upstream_port, "/control?slow=%u", factor);
}

static void arm(const system_t *system, const char *kind, const char *how,
		guint count)
{
	control(system->control_port,
		"/fault?kind=%s&how=%s&count=%u&delay_ms=%d", kind, how, count,
		PAUSE_MS);
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

/* Runs of earlier scenarios have ended, and an idle connection is there. */
static void settle(const system_t *system, rule_t rule)
{
	arm(system, "none", "fin", 0);
	set_slow(system, 1);
	assert_true(wait_until(call_succeeds,
			       GUINT_TO_POINTER(system->entry_port[rule]),
			       START_TIMEOUT_MS));
}

static void start_entry(system_t *system, rule_t rule)
{
	system->entry[rule] = process_start(programs[rule], "--settings",
					    system->settings[rule], NULL);
	assert_true(wait_until(daemon_is_ready,
			       GUINT_TO_POINTER(system->entry_port[rule]),
			       START_TIMEOUT_MS));
}

static char *write_settings(const system_t *system, rule_t rule,
			    const char *schema_path)
{
	gchar *name = g_strdup_printf("once_%d.json", rule);
	char *path =
		write_build_file(name,
				 "{\"instance\":\"e%d\",\"data_centre\":\"k1\","
				 "\"caller_address\":\"127.0.0.1:%u\","
				 "\"config_file\":\"%s\",\"retry_percent\":100,"
				 "\"request_id_lifetime_ms\":2000,"
				 "\"resolve_ttl_ms\":500}",
				 rule, system->entry_port[rule], schema_path);

	g_free(name);
	return path;
}

static process_t *start_with_ports(const char *program, const char *second,
				   guint port, guint second_value,
				   const char *third, guint third_value)
{
	gchar *values[] = { g_strdup_printf("%u", port),
			    g_strdup_printf("%u", second_value),
			    g_strdup_printf("%u", third_value) };
	process_t *process = process_start(program, "--port", values[0], second,
					   values[1], third, values[2], NULL);
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(values); i++)
		g_free(values[i]);
	return process;
}

static int set_up(void **state)
{
	system_t *system = g_new0(system_t, 1);
	char *schema;
	int rule;

	system->upstream_port = test_port(101);
	system->proxy_port = test_port(102);
	system->control_port = test_port(103);
	system->upstream = start_with_ports("fake_upstream", "--slots",
					    system->upstream_port, 2, "--queue",
					    4);
	system->proxy = start_with_ports("fault_proxy", "--target",
					 system->proxy_port,
					 system->upstream_port, "--control",
					 system->control_port);
	schema = write_build_file("once_schema.json", schema_format,
				  system->proxy_port, BOOK_DEADLINE_MS);
	run_loop_for(100);
	for (rule = 0; rule < RULE_COUNT; rule++) {
		system->entry_port[rule] = test_port(104 + (guint)rule);
		system->settings[rule] =
			write_settings(system, (rule_t)rule, schema);
		start_entry(system, (rule_t)rule);
	}
	g_free(schema);
	*state = system;
	return 0;
}

static int tear_down(void **state)
{
	system_t *system = *state;
	int rule;

	for (rule = 0; rule < RULE_COUNT; rule++) {
		process_free(system->entry[rule]);
		g_free(system->settings[rule]);
	}
	process_free(system->proxy);
	process_free(system->upstream);
	g_free(system);
	return 0;
}

/* One request under one id, sent again when it has no success. */
typedef struct {
	char *body;
	char *id;
	async_request_t *sent;
	reply_t first;
	reply_t copy;
} request_t;

static async_request_t *send_copy(const system_t *system, rule_t rule,
				  const request_t *request, const char *method)
{
	gchar *path = g_strdup_printf("/v1/call/booking/%s", method);
	async_request_t *sent = http_start("POST", system->entry_port[rule],
					   path, request->body,
					   "Catkinstall-Request-Id",
					   request->id, NULL);

	g_free(path);
	return sent;
}

static void send_request(system_t *system, rule_t rule, request_t *request)
{
	*request = (request_t){ 0 };
	request->body = g_strdup_printf("r%u", system->bodies++);
	request->id = fetch_request_id(system->entry_port[rule]);
	request->sent = send_copy(system, rule, request, "book");
}

static void join_request(request_t *request)
{
	http_join(request->sent, &request->first);
}

static guint runs_of(const system_t *system, const request_t *request)
{
	gchar *path = g_strdup_printf("/runs?body=%s", request->body);
	reply_t reply;
	guint runs;

	http_request(&reply, "POST", system->upstream_port, path, NULL, NULL);
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

/* Sends the copy, counts the runs, frees the request. */
static gboolean violates(system_t *system, rule_t rule, request_t *request)
{
	gboolean found;
	guint runs;

	if (request->first.status != 200)
		http_join(send_copy(system, rule, request, "book"),
			  &request->copy);
	runs = runs_of(system, request);
	found = runs > 1 || reply_violates(request, &request->first, runs) ||
		reply_violates(request, &request->copy, runs);
	if (found && rule == RULE_PROOF)
		print_message("%s: %u runs, outcomes %s, %s\n", request->body,
			      runs, request->first.outcome,
			      request->copy.outcome);
	reply_clear(&request->first);
	reply_clear(&request->copy);
	g_free(request->body);
	g_free(request->id);
	return found;
}

typedef struct {
	const char *kind;
	const char *how;
	guint count;
	gboolean naive_violates;
} fault_case_t;

/*
 * Where the request never reaches the upstream, the fault lasts for all
 * attempts of a call, so that the naive rule refuses and then runs the copy.
 * After the whole answer there is nothing left to repeat.
 */
static const fault_case_t fault_cases[] = {
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

static gboolean fault_violates(system_t *system, rule_t rule,
			       const fault_case_t *fault)
{
	request_t request;

	settle(system, rule);
	arm(system, fault->kind, fault->how, fault->count);
	send_request(system, rule, &request);
	join_request(&request);
	arm(system, "none", "fin", 0);
	return violates(system, rule, &request);
}

/* Fails when a broken connection makes a request run twice or a lie. */
static void faults_of_a_connection(void **state)
{
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const fault_case_t *fault = &fault_cases[i];

		print_message("%s %s\n", fault->kind, fault->how);
		assert_false(fault_violates(*state, RULE_PROOF, fault));
		assert_int_equal(fault_violates(*state, RULE_NAIVE, fault),
				 fault->naive_violates);
	}
}

static guint count_violations(system_t *system, rule_t rule,
			      request_t *requests, guint count)
{
	guint i, found = 0;

	for (i = 0; i < count; i++)
		found += violates(system, rule, &requests[i]);
	return found;
}

static guint crossed_violations(system_t *system, rule_t rule)
{
	request_t requests[2];
	guint i;

	settle(system, rule);
	arm(system, "cross", "fin", 2);
	for (i = 0; i < 2; i++)
		send_request(system, rule, &requests[i]);
	for (i = 0; i < 2; i++)
		join_request(&requests[i]);
	arm(system, "none", "fin", 0);
	return count_violations(system, rule, requests, 2);
}

/* Fails when a caller gets the answer to somebody else's request. */
static void crossed_answers(void **state)
{
	assert_int_equal(crossed_violations(*state, RULE_PROOF), 0);
	assert_true(crossed_violations(*state, RULE_NAIVE) > 0);
}

static gboolean shedding_violates(system_t *system, rule_t rule)
{
	request_t request;

	settle(system, rule);
	control(system->upstream_port, "/control?shed=1");
	send_request(system, rule, &request);
	join_request(&request);
	control(system->upstream_port, "/control?shed=0");
	assert_string_equal(request.first.outcome, "not_run");
	return violates(system, rule, &request);
}

/* Fails when a request refused as not run runs later under the same id. */
static void shedding_upstream(void **state)
{
	assert_false(shedding_violates(*state, RULE_PROOF));
	assert_true(shedding_violates(*state, RULE_NAIVE));
}

/*
 * Two calls run at the upstream past their deadline, one waits in its queue,
 * and the last one waits in the entry. The entry is stopped meanwhile.
 */
static guint paused_violations(system_t *system, rule_t rule)
{
	request_t requests[4];
	guint i;

	settle(system, rule);
	set_slow(system, SLOW);
	for (i = 0; i < 4; i++) {
		send_request(system, rule, &requests[i]);
		run_loop_for(20);
	}
	process_signal(system->entry[rule], SIGSTOP);
	run_loop_for(PAUSE_MS);
	process_signal(system->entry[rule], SIGCONT);
	for (i = 0; i < 4; i++)
		join_request(&requests[i]);
	assert_string_equal(requests[3].first.outcome, "not_run");
	set_slow(system, 1);
	return count_violations(system, rule, requests, 4);
}

/* Fails when an entry dispatches or promises by a clock that it slept over. */
static void paused_entry(void **state)
{
	assert_int_equal(paused_violations(*state, RULE_PROOF), 0);
	assert_true(paused_violations(*state, RULE_NAIVE) > 0);
}

static gboolean kill_violates(system_t *system, rule_t rule)
{
	request_t request;

	settle(system, rule);
	set_slow(system, SLOW);
	send_request(system, rule, &request);
	run_loop_for(100);
	process_signal(system->entry[rule], SIGKILL);
	join_request(&request);
	process_free(system->entry[rule]);
	set_slow(system, 1);
	start_entry(system, rule);
	return violates(system, rule, &request);
}

/* Fails when a restarted entry runs an id of its earlier incarnation. */
static void killed_entry(void **state)
{
	assert_false(kill_violates(*state, RULE_PROOF));
	assert_true(kill_violates(*state, RULE_NAIVE));
}

static guint runs_with_duplicates(system_t *system, rule_t rule)
{
	async_request_t *during;
	request_t request;
	reply_t reply;
	guint runs;

	settle(system, rule);
	set_slow(system, 20);
	send_request(system, rule, &request);
	during = send_copy(system, rule, &request, "book");
	join_request(&request);
	http_join(during, &reply);
	assert_string_equal(reply.body, request.body);
	reply_clear(&reply);
	http_join(send_copy(system, rule, &request, "book"), &reply);
	assert_string_equal(reply.body, request.body);
	reply_clear(&reply);
	runs = runs_of(system, &request);
	violates(system, rule, &request);
	return runs;
}

/* Fails when a copy during or after the run is run again or gets no answer. */
static void duplicates(void **state)
{
	assert_int_equal(runs_with_duplicates(*state, RULE_PROOF), 1);
	assert_true(runs_with_duplicates(*state, RULE_NAIVE) > 1);
}

/* Fails when a call that the upstream never started ends as unknown. */
static void cancelled_before_start_is_not_run(void **state)
{
	system_t *system = *state;
	request_t requests[3];
	guint i;

	settle(system, RULE_PROOF);
	set_slow(system, SLOW);
	for (i = 0; i < 3; i++) {
		send_request(system, RULE_PROOF, &requests[i]);
		run_loop_for(20);
	}
	for (i = 0; i < 3; i++)
		join_request(&requests[i]);
	assert_string_equal(requests[0].first.outcome, "unknown");
	assert_string_equal(requests[2].first.outcome, "not_run");
	set_slow(system, 1);
	assert_int_equal(count_violations(system, RULE_PROOF, requests,
					  G_N_ELEMENTS(requests)),
			 0);
}

static gint64 silent_connections(const system_t *system)
{
	reply_t reply;
	gint64 count;

	http_request(&reply, "GET", system->entry_port[RULE_PROOF],
		     "/v1/operator/dump", NULL, NULL);
	count = json_integer_at(reply.body,
				"counters.connections_closed_as_silent");
	reply_clear(&reply);
	return count;
}

/* Fails when a silent connection takes a call that a new one would serve. */
static void silent_connection_is_replaced(void **state)
{
	system_t *system = *state;
	gint64 before;
	reply_t reply;

	settle(system, RULE_PROOF);
	before = silent_connections(system);
	arm(system, "freeze", "fin", 1);
	http_request(&reply, "POST", system->entry_port[RULE_PROOF],
		     "/v1/call/booking/status", "silent", NULL);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.body, "silent");
	reply_clear(&reply);
	assert_int_equal(silent_connections(system), before + 1);
}

/* Fails when a queued call runs although its caller left. */
static void caller_that_leaves_cancels(void **state)
{
	system_t *system = *state;
	request_t requests[4];
	guint i;

	settle(system, RULE_PROOF);
	set_slow(system, SLOW);
	for (i = 0; i < 4; i++) {
		send_request(system, RULE_PROOF, &requests[i]);
		run_loop_for(20);
	}
	http_abort(requests[3].sent);
	for (i = 0; i < 3; i++)
		join_request(&requests[i]);
	set_slow(system, 1);
	http_join(send_copy(system, RULE_PROOF, &requests[3], "book"),
		  &requests[3].first);
	assert_string_equal(requests[3].first.outcome, "not_run");
	assert_int_equal(count_violations(system, RULE_PROOF, requests, 4), 0);
}

/* TRUE when the answer to a request on a connection asks to close it. */
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

static void start_load(const system_t *system, async_request_t **sent)
{
	guint i;

	for (i = 0; i < LOAD_CALLS; i++)
		sent[i] = http_start("POST", system->entry_port[RULE_PROOF],
				     "/v1/call/booking/status", "load", NULL);
	run_loop_for(30);
}

/* Calls of a caller that keeps the address and the ids until they expire. */
static guint call_until_ttl(system_t *system, const char *first_id, gint64 end)
{
	const char *sequence = strrchr(first_id, '.') + 1;
	guint64 next = g_ascii_strtoull(sequence, NULL, 10);
	request_t request = { 0 };
	guint calls = 0;

	while (g_get_monotonic_time() < end && calls < 60) {
		request.id = g_strdup_printf("%.*s%" G_GUINT64_FORMAT,
					     (int)(sequence - first_id),
					     first_id, next + calls);
		request.body = g_strdup_printf("late%u", calls);
		http_join(send_copy(system, RULE_PROOF, &request, "order"),
			  &request.first);
		assert_int_equal(request.first.status, 200);
		assert_int_equal(runs_of(system, &request), 1);
		reply_clear(&request.first);
		g_free(request.id);
		g_free(request.body);
		calls++;
	}
	return calls;
}

/* Fails when a planned stop cuts a call or refuses one with a valid address. */
static void shutdown_under_load(void **state)
{
	async_request_t *sent[LOAD_CALLS];
	system_t *system = *state;
	reply_t reply;
	gint64 end;
	char *id;
	guint i;

	settle(system, RULE_PROOF);
	set_slow(system, 2);
	assert_false(closes_connection(system->entry_port[RULE_PROOF]));
	id = fetch_request_id(system->entry_port[RULE_PROOF]);
	end = g_get_monotonic_time() + 450 * G_TIME_SPAN_MILLISECOND;
	start_load(system, sent);
	process_signal(system->entry[RULE_PROOF], SIGTERM);
	assert_true(call_until_ttl(system, id, end) > 0);
	assert_true(closes_connection(system->entry_port[RULE_PROOF]));
	for (i = 0; i < LOAD_CALLS; i++) {
		http_join(sent[i], &reply);
		assert_int_equal(reply.status, 200);
		assert_string_equal(reply.body, "load");
		reply_clear(&reply);
	}
	assert_int_equal(process_wait(system->entry[RULE_PROOF]), 0);
	g_free(id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(faults_of_a_connection),
		cmocka_unit_test(crossed_answers),
		cmocka_unit_test(shedding_upstream),
		cmocka_unit_test(paused_entry),
		cmocka_unit_test(killed_entry),
		cmocka_unit_test(duplicates),
		cmocka_unit_test(cancelled_before_start_is_not_run),
		cmocka_unit_test(silent_connection_is_replaced),
		cmocka_unit_test(caller_that_leaves_cancels),
		cmocka_unit_test(shutdown_under_load),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
