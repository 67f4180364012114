/*
 * Tests the client of the object API and config_store under injected faults: a
 * change must be reported with its true outcome, and a watch on a dead
 * connection must be replaced.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <sys/resource.h>

#include "net/config_store.h"
#include "tests/support.h"
#include "tests/support_answers.h"

#define CALL_TIMEOUT (300 * G_TIME_SPAN_MILLISECOND)
#define STEP_TIMEOUT_MS 8000
#define ANSWER_PORT 31
#define SMALL_PIECE_BYTES 7

typedef struct {
	guint port;
	process_t *process;
	object_api_t *api;
	config_store_t *store;
	counters_t counters;
	gboolean ended; /* the call or change in progress */
	object_api_status_t status; /* of the last call */
	guint64 version; /* that it returned */
	gsize body_size; /* of its answer */
	config_store_result_t applied; /* result of the last change */
} fixture_t;

static void control(fixture_t *fixture, const char *query)
{
	gchar *path = g_strdup_printf("/control?%s", query);
	reply_t reply;

	http_request(&reply, "POST", fixture->port, path, NULL, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	g_free(path);
}

static gboolean server_answers(void *ctx)
{
	reply_t reply;
	gboolean ok;

	http_request(&reply, "POST", ((fixture_t *)ctx)->port, "/stats", NULL,
		     NULL);
	ok = reply.status == 200;
	reply_clear(&reply);
	return ok;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	gchar *port, *address;

	fixture->port = test_port(30);
	port = g_strdup_printf("%u", fixture->port);
	address = g_strdup_printf("127.0.0.1:%u", fixture->port);
	fixture->process =
		process_start("fake_object_api", "--port", port, NULL);
	assert_true(wait_until(server_answers, fixture, STEP_TIMEOUT_MS));
	fixture->api =
		object_api_new(address, "t", CALL_TIMEOUT, &fixture->counters);
	fixture->store = config_store_new(fixture->api);
	g_free(port);
	g_free(address);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	config_store_free(fixture->store);
	object_api_free(fixture->api);
	process_free(fixture->process);
	g_free(fixture);
	return 0;
}

static void on_call_ended(void *ctx, const object_api_result_t *result)
{
	fixture_t *fixture = ctx;

	fixture->status = result->status;
	fixture->version = result->version;
	fixture->body_size = result->body ? g_bytes_get_size(result->body) : 0;
	fixture->ended = TRUE;
}

static void on_applied(void *ctx, const config_store_result_t *result)
{
	fixture_t *fixture = ctx;

	fixture->applied = *result;
	fixture->ended = TRUE;
}

static gboolean has_ended(void *ctx)
{
	return ((fixture_t *)ctx)->ended;
}

static void wait_for_end(fixture_t *fixture)
{
	assert_true(wait_until(has_ended, fixture, STEP_TIMEOUT_MS));
	fixture->ended = FALSE;
}

static object_api_status_t put(fixture_t *fixture, guint64 if_version)
{
	GBytes *value = g_bytes_new_static("{}", 2);

	object_api_put(fixture->api, CONFIG_OBJECT_KEY, if_version, value,
		       on_call_ended, fixture);
	wait_for_end(fixture);
	g_bytes_unref(value);
	return fixture->status;
}

static config_apply_step_t apply(fixture_t *fixture, const char *change_id,
				 guint64 base)
{
	GBytes *schema = g_bytes_new_static("{}", 2);
	config_change_t change = { 0 };

	g_strlcpy(change.change_id, change_id, sizeof(change.change_id));
	config_store_apply(fixture->store, &change, base, schema, on_applied,
			   fixture);
	wait_for_end(fixture);
	g_bytes_unref(schema);
	return fixture->applied.step;
}

/*
 * Fails if a write that took effect but whose answer was lost is reported as a
 * failed change. A rule that equates a failed write with a failed change does
 * so.
 */
static void lost_answer_is_resolved(void **state)
{
	fixture_t *fixture = *state;

	control(fixture, "lose_answers=1");
	assert_int_equal(put(fixture, 0), OBJECT_API_UNAVAILABLE);
	assert_int_equal(put(fixture, 0), OBJECT_API_CONFLICT);
	control(fixture, "lose_answers=1");
	assert_int_equal(apply(fixture, "c2", 1), CONFIG_APPLY_ACCEPTED);
	assert_int_equal(fixture->applied.version, 2);
	assert_int_equal(apply(fixture, "c3", 2), CONFIG_APPLY_ACCEPTED);
	/* Repeating a change is harmless, even after another change. */
	assert_int_equal(apply(fixture, "c2", 1), CONFIG_APPLY_ACCEPTED);
	assert_int_equal(fixture->applied.version, 2);
	assert_int_equal(apply(fixture, "c4", 2), CONFIG_APPLY_CONFLICT);
	assert_int_equal(fixture->applied.version, 3);
}

/* Fails if a rate limit is treated as an outage or ends a change. */
static void rate_limited_change_is_retried(void **state)
{
	fixture_t *fixture = *state;
	guint i;

	control(fixture, "writes_per_second=1");
	for (i = 0; i < 3; i++)
		put(fixture, 0);
	assert_int_equal(fixture->status, OBJECT_API_RATE_LIMITED);
	assert_int_equal(apply(fixture, "r4", 3), CONFIG_APPLY_ACCEPTED);
	control(fixture, "writes_per_second=0");
}

/* Fails if a change that was never sent is reported as unknown, or not at all. */
static void outage_is_reported_as_not_written(void **state)
{
	fixture_t *fixture = *state;

	control(fixture, "outage=1");
	assert_int_equal(apply(fixture, "o5", 4), CONFIG_APPLY_NOT_WRITTEN);
	control(fixture, "outage=0");
}

static void watch(fixture_t *fixture)
{
	object_api_watch(fixture->api, CONFIG_OBJECT_KEY, 4, CALL_TIMEOUT,
			 on_call_ended, fixture);
}

/*
 * Fails if a watch on a dead connection never ends, or if the next watch is sent
 * on an idle connection that is dead as well.
 */
static void silent_watch_is_replaced(void **state)
{
	fixture_t *fixture = *state;
	guint64 *silent = &fixture->counters.value[COUNTER_CONNECTIONS_SILENT];

	watch(fixture);
	assert_int_equal(put(fixture, 0), OBJECT_API_CONFLICT);
	control(fixture, "silence=1");
	wait_for_end(fixture);
	assert_int_equal(fixture->status, OBJECT_API_UNAVAILABLE);
	assert_int_equal(*silent, 1);
	watch(fixture);
	wait_for_end(fixture);
	assert_int_equal(fixture->status, OBJECT_API_UNCHANGED);
	assert_int_equal(*silent, 1);
}

/* Peak of the resident memory of this process in bytes. */
static gsize peak_memory(void)
{
	struct rusage usage;

	assert_int_equal(getrusage(RUSAGE_SELF, &usage), 0);
	return (gsize)usage.ru_maxrss * 1024;
}

/* Fails if an answer without end fills the memory or is taken for an object. */
static void endless_answer_is_bounded(void **state)
{
	const gsize growth_max = 16 << 20; /* the limit and its copies */
	fixture_t *fixture = *state;
	gsize before = peak_memory();

	control(fixture, "endless=1");
	object_api_get(fixture->api, CONFIG_OBJECT_KEY, on_call_ended, fixture);
	wait_for_end(fixture);
	control(fixture, "endless=0");
	assert_int_equal(fixture->status, OBJECT_API_UNAVAILABLE);
	if (peak_memory() > before + growth_max)
		fail_msg("memory grew by %zu bytes", peak_memory() - before);
}

typedef struct {
	const char *text;
	object_api_status_t status; /* of the whole answer */
	gsize body_size;
} answer_case_t;

#define VERSION "Object-Version: 12\r\n"

static const answer_case_t answers[] = {
	{ "HTTP/1.1 200 OK\r\n" VERSION "Content-Length: 15\r\n\r\n"
	  "0123456789abcde",
	  OBJECT_API_OK, 15 },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n" VERSION "\r\n"
	  "0123456789abcde",
	  OBJECT_API_OK, 15 },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" VERSION "\r\n"
	  "5\r\n01234\r\na\r\n56789abcde\r\n0\r\n\r\n",
	  OBJECT_API_OK, 15 },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" VERSION "\r\n",
	  OBJECT_API_OK, 0 },
	{ "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
	  OBJECT_API_NOT_FOUND, 2 },
	{ "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n" VERSION "\r\n",
	  OBJECT_API_CONFLICT, 0 },
	{ "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n",
	  OBJECT_API_RATE_LIMITED, 0 },
};

static void check_answer(fixture_t *fixture, object_api_t *api,
			 const answer_case_t *expected,
			 const raw_answer_t *answer)
{
	gboolean whole = answer->size == strlen(answer->text);

	object_api_get(api, "k", on_call_ended, fixture);
	while (!fixture->ended)
		g_main_context_iteration(NULL, TRUE);
	fixture->ended = FALSE;
	if (fixture->status !=
	    (whole ? expected->status : OBJECT_API_UNAVAILABLE))
		fail_msg("status %d, end %d, after %zu bytes of: %s",
			 fixture->status, answer->end, answer->size,
			 answer->text);
	if (!whole)
		return;
	assert_int_equal(fixture->body_size, expected->body_size);
	assert_int_equal(fixture->version,
			 strstr(answer->text, VERSION) ? 12 : 0);
}

static void check_cuts(fixture_t *fixture, const answer_case_t *expected)
{
	static const answer_end_t ends[] = { ANSWER_CLOSE, ANSWER_RESET };
	gchar *address =
		g_strdup_printf("127.0.0.1:%u", test_port(ANSWER_PORT));
	answer_server_t *server = answer_server_new(test_port(ANSWER_PORT));
	object_api_t *api =
		object_api_new(address, "t", CALL_TIMEOUT, &fixture->counters);
	raw_answer_t answer = { .text = expected->text };
	gsize i;

	for (i = 0; i < 2 * (strlen(answer.text) + 1); i++) {
		answer.size = i / 2;
		answer.piece = answer.size % 2 ? SMALL_PIECE_BYTES : 0;
		/* libsoup may notice a reset before the answer. */
		answer.end = answer.size < strlen(answer.text) ? ends[i % 2] :
								 ANSWER_KEEP;
		answer_server_set(server, &answer);
		check_answer(fixture, api, expected, &answer);
	}
	object_api_free(api);
	answer_server_free(server);
	g_free(address);
}

/* Fails if an answer that is cut at any byte counts as an answer. */
static void cut_answer_is_no_answer(void **state)
{
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++)
		check_cuts(*state, &answers[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_answer_is_resolved),
		cmocka_unit_test(rate_limited_change_is_retried),
		cmocka_unit_test(outage_is_reported_as_not_written),
		cmocka_unit_test(endless_answer_is_bounded),
		cmocka_unit_test(silent_watch_is_replaced),
		cmocka_unit_test(cut_answer_is_no_answer),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
