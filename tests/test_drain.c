/* Tests that a draining endpoint gets no new calls and that no call fails. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/support.h"

#define ENTRIES 3
#define ENDPOINTS 3 /* the first of them drains */
#define OBJECT_PORT 700
#define ENTRY_PORT 701
#define ENDPOINT_PORT 710
#define START_MS 5000
#define RETRY_BUDGET_FILL_MS 1000 /* the budget is empty at the start */
#define ROUND_INTERVAL_MS 15 /* about 200 calls/s */
#define DRAIN_BOUND_MS 3000 /* a draining endpoint gets no new calls after it */
#define RETURN_BOUND_MS 4000 /* 2 s until the list is read, then a ramp-up */

/* How a drain of the first endpoint starts and ends. */
typedef struct {
	gboolean (*set)(const char *value);
	const char *on, *off; /* arguments of set */
} drain_method_t;

static GPtrArray *running; /* processes */

static const char schema_text[] =
	"{\"priorities\":[{\"name\":\"p\",\"floor_percent\":10}],"
	"\"services\":[{\"name\":\"s\",\"slots\":3,\"connections\":200,"
	"\"probes_per_second\":6,\"instance_list\":\"s\",\"methods\":["
	"{\"name\":\"m\",\"priority\":\"p\",\"idempotent\":true,"
	"\"deadline_ms\":2000}]}]}";

static gboolean post(guint port, const char *path, const char *body)
{
	reply_t reply;
	gboolean ok;

	http_request(&reply, "POST", test_port(port), path, body, NULL);
	ok = reply.status == 200;
	reply_clear(&reply);
	return ok;
}

static gboolean send_control(const char *path)
{
	return post(ENDPOINT_PORT, path, NULL);
}

#define INSTANCE                                        \
	"{\"name\":\"s\",\"address\":\"127.0.0.1:%u\"," \
	"\"data_centre\":\"k1\",\"state\":\"%s\"}"

static gboolean set_instance_list(const char *state_of_first)
{
	guint port = test_port(ENDPOINT_PORT);
	gchar *list = g_strdup_printf("{\"instances\":[" INSTANCE "," INSTANCE
				      "," INSTANCE "]}",
				      port, state_of_first, port + 1, "live",
				      port + 2, "live");
	gboolean ok = post(OBJECT_PORT, "/instances/s", list);

	g_free(list);
	return ok;
}

static gboolean put_configuration(void *ctx)
{
	(void)ctx;
	return set_instance_list("live") &&
	       post(OBJECT_PORT, "/v1/put/config/schema?if_version=0",
		    schema_text);
}

static void start_fake(const char *program, guint port)
{
	gchar *text = g_strdup_printf("%u", test_port(port));

	g_ptr_array_add(running, process_start(program, "--port", text, NULL));
	g_free(text);
}

static void start_entry(guint port)
{
	char *path = write_build_file(
		"drain_entry.json",
		"{\"instance\":\"e%u\",\"data_centre\":\"k1\",\"entries_max\":"
		"%d,\"routing\":\"two_choices\",\"caller_address\":"
		"\"127.0.0.1:%u\",\"object_api\":\"127.0.0.1:%u\"}",
		port, ENTRIES, port, test_port(OBJECT_PORT));

	g_ptr_array_add(running, process_start("catkinstalld", "--settings",
					       path, NULL));
	g_free(path);
	assert_true(
		wait_until(daemon_is_ready, GUINT_TO_POINTER(port), START_MS));
}

static int set_up(void **state)
{
	guint i;

	(void)state;
	running = g_ptr_array_new_with_free_func((GDestroyNotify)process_free);
	start_fake("fake_object_api", OBJECT_PORT);
	for (i = 0; i < ENDPOINTS; i++)
		start_fake("fake_upstream", ENDPOINT_PORT + i);
	assert_true(wait_until(put_configuration, NULL, START_MS));
	for (i = 0; i < ENTRIES; i++)
		start_entry(test_port(ENTRY_PORT + i));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	g_ptr_array_free(running, TRUE);
	return 0;
}

/* Number of requests that the process of the first endpoint has started. */
static gint64 count_started_requests(void)
{
	gint64 started;
	reply_t reply;

	http_request(&reply, "POST", test_port(ENDPOINT_PORT), "/runs?body=x",
		     NULL, NULL);
	assert_int_equal(reply.status, 200);
	started = g_ascii_strtoll(reply.body, NULL, 10);
	reply_clear(&reply);
	return started;
}

/* Sends one call through each entry; all must succeed. */
static void run_round(void)
{
	async_request_t *calls[ENTRIES];
	reply_t reply;
	guint i;

	for (i = 0; i < ENTRIES; i++)
		calls[i] = http_start("POST", test_port(ENTRY_PORT + i),
				      "/v1/call/s/m", "x", NULL);
	run_loop_for(ROUND_INTERVAL_MS);
	for (i = 0; i < ENTRIES; i++) {
		http_join(calls[i], &reply);
		assert_int_equal(reply.status, 200);
		reply_clear(&reply);
	}
}

/* Returns the number of calls that the first endpoint started in that time. */
static gint64 run_calls_for(guint ms)
{
	gint64 end = g_get_monotonic_time() + ms * G_TIME_SPAN_MILLISECOND;
	gint64 before = count_started_requests();

	while (g_get_monotonic_time() < end)
		run_round();
	return count_started_requests() - before;
}

/*
 * DRAIN_BOUND_MS is measured from the request to drain, before any entry can
 * know of it.
 */
static void check_drain(void **state)
{
	const drain_method_t *drain = *state;

	assert_true(run_calls_for(RETRY_BUDGET_FILL_MS) > 0);
	assert_true(drain->set(drain->on));
	run_calls_for(DRAIN_BOUND_MS);
	assert_int_equal(run_calls_for(1500), 0);
	assert_true(drain->set(drain->off));
	assert_true(run_calls_for(RETURN_BOUND_MS) > 0);
}

int main(void)
{
	static drain_method_t refusals = { send_control, "/control?drain=1",
					   "/control?drain=0" };
	static drain_method_t answers = { send_control, "/control?sign=1",
					  "/control?sign=0" };
	static drain_method_t probes = { send_control, "/control?sign=2",
					 "/control?sign=0" };
	static drain_method_t list = { set_instance_list, "leaving", "live" };
	const struct CMUnitTest tests[] = {
		/* Fails if a caller gets the refusal of a draining endpoint. */
		{ "refusals_are_hidden", check_drain, set_up, tear_down,
		  &refusals },
		/* Fails if a drain announced only by answers is ignored. */
		{ "answers_show_drain", check_drain, set_up, tear_down,
		  &answers },
		/* Fails if a drain announced only by probes is ignored. */
		{ "probes_show_drain", check_drain, set_up, tear_down,
		  &probes },
		/* Fails if a drain announced only by the list is ignored. */
		{ "list_shows_drain", check_drain, set_up, tear_down, &list },
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
