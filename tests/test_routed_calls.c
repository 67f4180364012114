/*
 * Tests choice of endpoints, refusals and retries of routed calls, with a fake
 * clock and a fake front end: no request may be refused or late while a
 * suitable endpoint is free, or be retried if it may have run and is not
 * idempotent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/admission/startup_queue.h"
#include "lib/entry/entry.h"

#define MS G_TIME_SPAN_MILLISECOND
#define OBJECTIVE (400 * MS)
#define DEADLINE (1500 * MS)
#define CALLER_DEADLINE (3000 * MS)
#define REFS_MAX 64
#define PROBES_MAX 64

typedef struct {
	guint count;
	guint status;
	catk_error_t error;
} answer_record_t;

typedef struct {
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	counters_t counters;
	entry_t *entry;
	answer_record_t answers[REFS_MAX]; /* by caller_ref */
	guint started; /* attempts */
	guint cancelled; /* attempts */
	guint64 attempt_id; /* of the last attempt */
	GTimeSpan remaining; /* of the last attempt */
	char endpoint[UPSTREAM_ID_MAX + 1]; /* of the last attempt */
	char *organisation; /* of the last attempt */
	gboolean needs_new_connection; /* of the last attempt */
	char probes[PROBES_MAX][UPSTREAM_ID_MAX + 1]; /* unanswered */
	guint probe_count;
	double rate; /* limit of organisations, 0 for none; the burst is 1 */
} fixture_t;

static GTimeSpan read_clock(void *ctx)
{
	return *(GTimeSpan *)ctx;
}

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	fixture_t *f = ctx;
	answer_record_t *record = &f->answers[GPOINTER_TO_UINT(caller_ref)];

	record->count++;
	record->status = answer->status;
	record->error = answer->error;
}

static void on_start(void *ctx, const attempt_request_t *request)
{
	fixture_t *f = ctx;

	f->started++;
	f->attempt_id = request->attempt_id;
	f->remaining = request->remaining;
	f->needs_new_connection = request->needs_new_connection;
	g_strlcpy(f->endpoint, request->endpoint, sizeof(f->endpoint));
	g_free(f->organisation);
	f->organisation = g_strdup(request->organisation);
}

static void on_cancel(void *ctx, guint64 attempt_id)
{
	fixture_t *f = ctx;

	(void)attempt_id;
	f->cancelled++;
}

static void on_probe(void *ctx, const char *service, const char *endpoint)
{
	fixture_t *f = ctx;

	(void)service;
	assert_true(f->probe_count < PROBES_MAX);
	g_strlcpy(f->probes[f->probe_count++], endpoint, sizeof(f->probes[0]));
}

static void add_service(schema_t *schema, const char *name)
{
	schema_service_t *service =
		schema_add_service(schema, name, 1, 100, 60, NULL);

	assert_true(schema_set_instance_list(service, name, NULL));
}

/*
 * Two routes of the most urgent priority, two of the priority below it. The
 * last one has a service of its own.
 */
static schema_t *new_schema(void)
{
	static const char *const names[] = { "safe", "once", "later", "apart" };
	schema_t *schema = schema_new();
	gsize i;

	assert_true(schema_add_priority(schema, "urgent", 10, NULL));
	assert_true(schema_add_priority(schema, "normal", 10, NULL));
	add_service(schema, "s");
	add_service(schema, "t");
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		gchar *prefix = g_strdup_printf("/%s/", names[i]);
		schema_route_t attributes = {
			.method = { .name = (char *)names[i],
				    .idempotent = i == 0,
				    .deadline = DEADLINE },
			.host = "a.example",
			.prefix = prefix,
			.objective = OBJECTIVE,
			.attempts_max = 2,
		};
		schema_route_t *route = schema_add_route(
			schema, &attributes, i < 2 ? "urgent" : "normal", NULL);

		assert_true(schema_add_target(schema, route, i < 3 ? "s" : "t",
					      1, NULL));
		g_free(prefix);
	}
	return schema;
}

/*
 * Lists local endpoints, in the data centre of the entry, as i-0, i-1 and so
 * on, and one remote endpoint, in another data centre, as i-remote. Each has 3
 * slots.
 */
static void list_endpoints(fixture_t *f, guint local)
{
	endpoint_info_t infos[8] = { 0 };
	guint i;

	for (i = 0; i <= local; i++) {
		if (i < local)
			g_snprintf(infos[i].id, sizeof(infos[i].id), "i-%u", i);
		else
			g_strlcpy(infos[i].id, "i-remote", sizeof(infos[i].id));
		g_snprintf(infos[i].address, sizeof(infos[i].address),
			   "127.0.0.1:%u", i + 1);
		g_strlcpy(infos[i].data_centre, i < local ? "here" : "there",
			  sizeof(infos[i].data_centre));
		infos[i].slots = 3;
	}
	assert_true(entry_set_endpoints(f->entry, "s", infos, local + 1));
}

/* An entry without configuration. */
static entry_t *new_entry(fixture_t *f)
{
	static const member_t self = { .name = "e1",
				       .data_centre = "here",
				       .caller_address = "127.0.0.1:9",
				       .incarnation = 7 };
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = MS,
				 .retention = MS,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 50, .caller_share_percent = 100 },
		.routing = ROUTING_EXPECTED_LATENCY,
		.entries_max = 1,
		.attempts_max = 2,
		.retry_percent = 100,
		.concurrency_max = 100,
		.probe_fanout = 3,
		.resolve_ttl = G_TIME_SPAN_SECOND,
		.resolve_addresses = 8,
		.shutdown_max = G_TIME_SPAN_SECOND,
		.first_start = TRUE,
		.quota_window = f->rate > 0 ? 5 * G_TIME_SPAN_SECOND : 0,
		.quota_slack = 20,
	};
	entry_actions_t actions = { .answer = on_answer,
				    .start_attempt = on_start,
				    .cancel_attempt = on_cancel,
				    .send_probe = on_probe,
				    .ctx = f };

	return entry_new(&self, &limits, &actions, &f->clock, f->random,
			 &f->counters);
}

static int set_up_with_rate(void **state, double rate)
{
	fixture_t *f = g_new0(fixture_t, 1);
	GBytes *document = g_bytes_new_static("{}", 2);

	f->rate = rate;
	f->now = 100 * G_TIME_SPAN_SECOND;
	f->clock = (catk_clock_t){ .now = read_clock, .ctx = &f->now };
	f->random = g_rand_new_with_seed(1);
	f->entry = new_entry(f);
	entry_activate_config(f->entry, 1, new_schema(), document);
	list_endpoints(f, 2);
	/* Let the probe budget fill up, as it starts empty. */
	f->now += 10 * G_TIME_SPAN_SECOND;
	/* Time without a tick is a pause, after which no tokens are left. */
	if (rate > 0)
		entry_tick(f->entry);
	f->probe_count = 0;
	g_bytes_unref(document);
	*state = f;
	return 0;
}

static int set_up(void **state)
{
	return set_up_with_rate(state, 0);
}

/* An organisation may send one request, the next one after 1,000 s. */
static int set_up_limited(void **state)
{
	return set_up_with_rate(state, 0.001);
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	entry_free(f->entry);
	g_rand_free(f->random);
	g_free(f->organisation);
	g_free(f);
	return 0;
}

static void send_request_within(fixture_t *f, guint ref, const char *path,
				GTimeSpan remaining)
{
	GBytes *body = g_bytes_new_static("", 0);
	routed_request_t request = {
		.host = "a.example",
		.path = path,
		.remaining = remaining,
		.body = body,
		.caller_ref = GUINT_TO_POINTER(ref),
	};

	entry_route(f->entry, &request);
	g_bytes_unref(body);
}

static void send_request(fixture_t *f, guint ref, const char *path)
{
	send_request_within(f, ref, path, CALLER_DEADLINE);
}

static void answer_probe(fixture_t *f, const char *endpoint, guint in_flight,
			 guint slowdown)
{
	const load_report_t report = { .in_flight = in_flight,
				       .slots = 3,
				       .slowdown_percent = slowdown };

	entry_probe_ended(f->entry, "s", endpoint, &report);
}

/* Removes the last probe. It is copied, as answering it may add others. */
static gboolean pop_probe(fixture_t *f, char id[UPSTREAM_ID_MAX + 1])
{
	if (!f->probe_count)
		return FALSE;
	strcpy(id, f->probes[--f->probe_count]);
	return TRUE;
}

/* Answers all probes, those of one endpoint with the given load. */
static void answer_probes(fixture_t *f, const char *endpoint, guint in_flight,
			  guint slowdown, guint other_slowdown)
{
	char id[UPSTREAM_ID_MAX + 1];

	while (pop_probe(f, id))
		if (strcmp(id, endpoint) == 0)
			answer_probe(f, id, in_flight, slowdown);
		else
			answer_probe(f, id, 0, other_slowdown);
}

static void end_attempt(fixture_t *f, attempt_end_t end, guint status)
{
	static const char message;
	GBytes *body = g_bytes_new_static("x", 1);
	attempt_result_t result = { .attempt_id = f->attempt_id,
				    .end = end,
				    .status = status,
				    .body = body,
				    .message = &message };

	entry_attempt_ended(f->entry, &result);
	g_bytes_unref(body);
}

static void advance(fixture_t *f, GTimeSpan time)
{
	f->now += time;
	entry_tick(f->entry);
}

static void assert_answered(const fixture_t *f, guint ref,
			    catk_error_kind_t kind, outcome_t outcome)
{
	assert_int_equal(f->answers[ref].count, 1);
	assert_int_equal(f->answers[ref].error.kind, kind);
	assert_int_equal(f->answers[ref].error.outcome, outcome);
}

/* Fails if a request starts at a slowed endpoint while another is free. */
static void slowed_endpoint_is_avoided(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	assert_int_equal(f->probe_count, 2);
	answer_probes(f, "i-1", 0, 100, 500);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->endpoint, "i-1");
}

/*
 * Fails if a request starts while all endpoints are slowed: its whole execution
 * would be slow, also after the slowdown (site himal-mist scale-1, seed
 * 567999122611: score 0.004).
 */
static void request_waits_for_the_end_of_a_slowdown(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 500);
	advance(f, 10 * MS);
	answer_probes(f, "", 0, 0, 500);
	assert_int_equal(f->started, 0);
	advance(f, 50 * MS);
	assert_true(f->probe_count > 0);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
}

/* Fails if a request crosses data centres while a local endpoint is free. */
static void local_endpoint_goes_first(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "i-0", 2, 100, 100);
	assert_int_equal(f->started, 1);
	assert_string_not_equal(f->endpoint, "i-remote");
}

/* Answers all probes with free slots only in the other data centre. */
static void report_only_remote_capacity(fixture_t *f)
{
	char id[UPSTREAM_ID_MAX + 1];

	while (pop_probe(f, id))
		answer_probe(f, id, strcmp(id, "i-remote") ? 3 : 0, 100);
}

/* Fails if a request is refused although another data centre has capacity. */
static void remote_endpoint_is_used_without_local_capacity(void **state)
{
	fixture_t *f = *state;
	guint i;

	send_request(f, 1, "/safe/");
	for (i = 0; i < 12 && !f->started; i++) {
		report_only_remote_capacity(f);
		advance(f, 20 * MS);
	}
	assert_string_equal(f->endpoint, "i-remote");
}

/*
 * Time until a request starts at the remote endpoint while the local ones are
 * full.
 */
static GTimeSpan time_to_remote_attempt(fixture_t *f, guint ref,
					const char *path, GTimeSpan remaining)
{
	GTimeSpan arrival = f->now;
	guint before = f->started;

	send_request_within(f, ref, path, remaining);
	while (f->started == before && f->now - arrival < OBJECTIVE) {
		report_only_remote_capacity(f);
		if (f->started == before)
			advance(f, 5 * MS);
	}
	assert_string_equal(f->endpoint, "i-remote");
	return f->now - arrival;
}

/*
 * Fails if requests of the most urgent priority wait for full endpoints in
 * their own data centre while another has capacity, or if others cross without
 * a wait (site himal-mist-grown scale-1, seed 904799927514: 978 of 4,254
 * bookings late).
 */
static void urgent_request_uses_remote_endpoint_at_once(void **state)
{
	fixture_t *f = *state;

	assert_in_range(time_to_remote_attempt(f, 1, "/once/", CALLER_DEADLINE),
			0, 10 * MS);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	assert_in_range(time_to_remote_attempt(f, 2, "/later/",
					       CALLER_DEADLINE),
			60 * MS, OBJECTIVE / 2);
}

/*
 * Fails if a caller that retries after a refusal, too late for its objective,
 * is refused again while another data centre has capacity (site fjordfiber-reg
 * scale-2, seed 213846327705: data centre sone-b finally refuses 1,047 of
 * 6,727 requests, the other two 74 of 6,436 and 42 of 3,911).
 */
static void retry_after_refusal_uses_remote_endpoint(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/later/");
	answer_probes(f, "", 0, 0, 100);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	assert_in_range(time_to_remote_attempt(f, 2, "/later/",
					       CALLER_DEADLINE / 2),
			0, OBJECTIVE / 4);
}

/*
 * Fails if a retried request of the most urgent priority that will miss its
 * objective takes a slot in another data centre from one that can still meet
 * it. At site himal-mist-grown scale-2, where bookings exceed the slots of
 * their service, this lowers the score from 0.552 to 0.515.
 */
static void late_urgent_request_stays_local(void **state)
{
	fixture_t *f = *state;
	GTimeSpan arrival;

	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	arrival = f->now;
	send_request_within(f, 2, "/once/", CALLER_DEADLINE / 2);
	while (f->now - arrival < OBJECTIVE / 4) {
		report_only_remote_capacity(f);
		advance(f, 5 * MS);
	}
	assert_int_equal(f->started, 1);
}

/* Answers all probes with one free slot of a number of slots. */
static void report_one_free_slot(fixture_t *f, guint slots)
{
	const load_report_t report = { .in_flight = slots - 1,
				       .slots = slots,
				       .slowdown_percent = 100 };

	char id[UPSTREAM_ID_MAX + 1];

	while (pop_probe(f, id))
		entry_probe_ended(f->entry, "s", id, &report);
}

/* Number of attempts of a request while every endpoint has one free slot. */
static guint attempts_with_one_free_slot(fixture_t *f, guint ref, guint slots,
					 GTimeSpan remaining)
{
	guint before = f->started;
	guint i;

	advance(f, 10 * G_TIME_SPAN_SECOND);
	send_request_within(f, ref, "/once/", remaining);
	for (i = 0; i < 20 && f->started == before && !f->answers[ref].count;
	     i++) {
		report_one_free_slot(f, slots);
		advance(f, 10 * MS);
	}
	return f->started - before;
}

/*
 * Fails if a request that will miss its objective takes the last of three
 * slots, where work is slow, from one that can still meet it, or if it is
 * refused the last of two (site himal-mist scale-1, seed 51: 1,391 of 4,365
 * status reads late).
 */
static void late_request_leaves_the_last_slot(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(attempts_with_one_free_slot(f, 1, 3, CALLER_DEADLINE),
			 1);
	/* A report counts as fresh for a fraction of the latency. */
	advance(f, 100 * MS);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	assert_int_equal(
		attempts_with_one_free_slot(f, 2, 3, CALLER_DEADLINE / 2), 0);
	assert_answered(f, 2, CATK_OVERLOADED, OUTCOME_NOT_RUN);
	assert_int_equal(
		attempts_with_one_free_slot(f, 3, 2, CALLER_DEADLINE / 2), 1);
}

/*
 * Fails if an endpoint that refuses a request while it reports a free slot gets
 * a backoff like a full one (site himal-mist-grown scale-1, seed 904799927514:
 * all endpoints refuse half of their requests for 8.5 s).
 */
static void refusal_with_a_free_slot_causes_no_backoff(void **state)
{
	const load_report_t free_slot = { .in_flight = 0,
					  .slots = 3,
					  .slowdown_percent = 100 };
	fixture_t *f = *state;
	GBytes *body = g_bytes_new_static("", 0);
	attempt_result_t result = { .end = ATTEMPT_SHED,
				    .body = body,
				    .has_report = TRUE,
				    .report = free_slot };

	list_endpoints(f, 1);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	/* Sets the measured latency, on which the backoff depends. */
	send_request(f, 3, "/once/");
	answer_probes(f, "", 0, 0, 100);
	advance(f, 100 * MS);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
	assert_string_equal(f->endpoint, "i-0");
	result.attempt_id = f->attempt_id;
	entry_attempt_ended(f->entry, &result);
	advance(f, MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 3); /* retry at the other endpoint */
	send_request(f, 2, "/later/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 4);
	assert_string_equal(f->endpoint, "i-0");
	g_bytes_unref(body);
}

/*
 * Fails if a request before the first configuration is refused as if no route
 * matched, or waits longer than a configuration usually takes.
 */
static void missing_configuration_is_reported_as_unavailable(void **state)
{
	fixture_t *f = *state;

	entry_free(f->entry);
	f->entry = new_entry(f);
	send_request(f, 1, "/once/");
	advance(f, STARTUP_WAIT_MAX - MS);
	assert_int_equal(f->answers[1].count, 0);
	advance(f, MS);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_true(f->answers[1].error.retry_after > 0);
	send_request(f, 2, "/once/");
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
}

/*
 * Fails if the callers that return to a fleet which has just started use up
 * their retries before the configuration is known.
 */
static void request_waits_for_the_first_configuration(void **state)
{
	GBytes *document = g_bytes_new_static("{}", 2);
	fixture_t *f = *state;

	entry_free(f->entry);
	f->entry = new_entry(f);
	send_request(f, 1, "/safe/");
	send_request(f, 2, "/nowhere/");
	send_request(f, 3, "/safe/");
	send_request_within(f, 4, "/safe/", 50 * MS);
	entry_cancel(f->entry, GUINT_TO_POINTER(3));
	advance(f, 60 * MS);
	assert_answered(f, 4, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	entry_activate_config(f->entry, 1, new_schema(), document);
	assert_answered(f, 2, CATK_NOT_FOUND, OUTCOME_NOT_RUN);
	list_endpoints(f, 2);
	advance(f, 100 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_true(f->remaining <= CALLER_DEADLINE - 160 * MS);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
	assert_int_equal(f->answers[3].count, 0);
	g_bytes_unref(document);
}

/* Fails if a stop leaves a request without an answer that waits for it. */
static void stop_refuses_requests_without_configuration(void **state)
{
	fixture_t *f = *state;

	entry_free(f->entry);
	f->entry = new_entry(f);
	send_request(f, 1, "/once/");
	entry_shutdown(f->entry, "test");
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	send_request(f, 2, "/once/");
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
}

/* Fails if an attempt is given more time than its call has left. */
static void attempt_gets_the_remaining_time(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->remaining, DEADLINE);
	advance(f, 600 * MS);
	end_attempt(f, ATTEMPT_FAILED, 0);
	answer_probes(f, "", 0, 0, 100);
	advance(f, 20 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
	assert_in_range(f->remaining, 1, DEADLINE - 600 * MS);
}

/*
 * Fails if freeing an entry cancels attempts, as the front end's clients are
 * already freed then (soak seed 34: an instance crashed when it stopped while a
 * request ran whose caller had disconnected).
 */
static void freed_entry_requests_no_action(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	g_clear_pointer(&f->entry, entry_free);
	assert_int_equal(f->cancelled, 0);
	assert_int_equal(f->answers[1].count, 0);
}

/*
 * Fails if a request that finds no capacity waits for its deadline, is not
 * answered with not_run, or gets no time after which to retry.
 */
static void request_without_capacity_is_refused_early(void **state)
{
	fixture_t *f = *state;
	GTimeSpan arrival = f->now;

	send_request(f, 1, "/once/");
	while (!f->answers[1].count && f->now - arrival < DEADLINE) {
		while (f->probe_count)
			answer_probe(f, f->probes[--f->probe_count], 3, 100);
		advance(f, 20 * MS);
	}
	assert_answered(f, 1, CATK_OVERLOADED, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 0);
	/* Refused when its objective is missed, long before its deadline. */
	assert_true(f->now - arrival <= OBJECTIVE + 40 * MS);
	assert_true(f->answers[1].error.retry_after > 0);
	assert_true(f->answers[1].error.retry_after <= CALLER_DEADLINE / 3);
}

/*
 * Fails if a request that must not run twice is retried after an end that does
 * not prove that it did not run, or is not retried after one that does.
 */
static void non_idempotent_retry_requires_proof(void **state)
{
	static const struct {
		attempt_end_t end;
		gboolean is_proof;
	} ends[] = {
		{ ATTEMPT_SHED, TRUE },	    { ATTEMPT_MISDIRECTED, TRUE },
		{ ATTEMPT_NOT_SENT, TRUE }, { ATTEMPT_FAILED, FALSE },
		{ ATTEMPT_SILENT, FALSE },  { ATTEMPT_BAD_ANSWER, FALSE },
	};
	fixture_t *f = *state;
	guint ref;

	for (ref = 1; ref <= G_N_ELEMENTS(ends); ref++) {
		list_endpoints(f, 2);
		f->started = 0;
		advance(f, 10 * G_TIME_SPAN_SECOND);
		send_request(f, ref, "/once/");
		answer_probes(f, "", 0, 0, 100);
		assert_int_equal(f->started, 1);
		end_attempt(f, ends[ref - 1].end, 0);
		answer_probes(f, "", 0, 0, 100);
		advance(f, 100 * MS);
		answer_probes(f, "", 0, 0, 100);
		if (!ends[ref - 1].is_proof) {
			assert_int_equal(f->started, 1);
			assert_answered(f, ref, CATK_OUTCOME_UNKNOWN,
					OUTCOME_UNKNOWN);
			continue;
		}
		assert_int_equal(f->started, 2);
		end_attempt(f, ATTEMPT_ANSWERED, 200);
		assert_answered(f, ref, CATK_OK, OUTCOME_RAN);
	}
}

/* Answers probes with free slots until that many attempts have started. */
static void wait_for_attempts(fixture_t *f, guint count)
{
	guint i;

	for (i = 0; i < 100 && f->started < count; i++) {
		answer_probes(f, "", 0, 0, 100);
		advance(f, 5 * MS);
	}
	assert_int_equal(f->started, count);
}

/* Fails if a copy of a refusal can answer a later attempt at its endpoint. */
static void refusal_is_not_repeated_after_an_unsent_attempt(void **state)
{
	char refused_by[UPSTREAM_ID_MAX + 1];
	fixture_t *f = *state;

	list_endpoints(f, 1);
	send_request(f, 1, "/once/");
	wait_for_attempts(f, 1);
	strcpy(refused_by, f->endpoint);
	end_attempt(f, ATTEMPT_SHED, 503);
	wait_for_attempts(f, 2);
	assert_string_not_equal(f->endpoint, refused_by);
	assert_false(f->needs_new_connection);
	end_attempt(f, ATTEMPT_NOT_SENT, 0);
	wait_for_attempts(f, 3);
	assert_string_equal(f->endpoint, refused_by);
	assert_true(f->needs_new_connection);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
}

/* Fails if one request pays for a retry by attempts that are not sent. */
static void unsent_attempts_do_not_fill_the_retry_budget(void **state)
{
	const entry_limits_t limits = { .retry_percent = 25,
					.probe_fanout = 3,
					.resolve_ttl = G_TIME_SPAN_SECOND,
					.resolve_addresses = 8,
					.shutdown_max = G_TIME_SPAN_SECOND };
	fixture_t *f = *state;
	guint i;

	entry_update_limits(f->entry, &limits);
	send_request(f, 1, "/once/");
	for (i = 1; i <= 4; i++) {
		wait_for_attempts(f, i);
		end_attempt(f, i < 4 ? ATTEMPT_NOT_SENT : ATTEMPT_SHED, 0);
	}
	advance(f, 100 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 4);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
}

/* Fails if a copy of a 421 answers an attempt at a new endpoint's address. */
static void reused_address_needs_a_new_connection(void **state)
{
	char misdirected[UPSTREAM_ID_MAX + 1];
	endpoint_info_t infos[2] = { 0 };
	fixture_t *f = *state;
	guint i;

	for (i = 0; i < 2; i++) {
		g_snprintf(infos[i].id, sizeof(infos[i].id), "i-start-%u", i);
		strcpy(infos[i].address, "127.0.0.1:1");
		strcpy(infos[i].data_centre, "here");
		infos[i].slots = 3;
	}
	assert_true(entry_set_endpoints(f->entry, "s", infos, 2));
	send_request(f, 1, "/once/");
	wait_for_attempts(f, 1);
	strcpy(misdirected, f->endpoint);
	end_attempt(f, ATTEMPT_MISDIRECTED, 421);
	wait_for_attempts(f, 2);
	assert_string_not_equal(f->endpoint, misdirected);
	assert_true(f->needs_new_connection);
}

/* Fails if a request has more attempts than its route allows. */
static void attempts_are_bounded_by_the_route(void **state)
{
	fixture_t *f = *state;
	guint i;

	send_request(f, 1, "/safe/");
	for (i = 0; i < 5; i++) {
		answer_probes(f, "", 0, 0, 100);
		if (!f->answers[1].count && f->started > i)
			end_attempt(f, ATTEMPT_FAILED, 0);
	}
	assert_int_equal(f->started, 2);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/* Fails if an idempotent request continues after its caller disconnected. */
static void idempotent_call_ends_with_its_caller(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 100);
	entry_cancel(f->entry, GUINT_TO_POINTER(1));
	assert_int_equal(f->cancelled, 1);
	assert_int_equal(f->answers[1].count, 0);
}

/*
 * Fails if a request that must not run twice is cancelled, or retried, after
 * its caller disconnected.
 */
static void non_idempotent_call_outlives_its_caller(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	entry_cancel(f->entry, GUINT_TO_POINTER(1));
	assert_int_equal(f->cancelled, 0);
	end_attempt(f, ATTEMPT_SHED, 503);
	answer_probes(f, "", 0, 0, 100);
	advance(f, 100 * MS);
	assert_int_equal(f->started, 1);
}

/* Fails if a call lasts longer than the timeout of its route. */
static void route_timeout_ends_a_call(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	advance(f, DEADLINE);
	assert_answered(f, 1, CATK_DEADLINE_EXCEEDED, OUTCOME_UNKNOWN);
}

/* Fails if an unknown path is not answered with "not found". */
static void unknown_path_has_no_route(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/other/");
	assert_answered(f, 1, CATK_NOT_FOUND, OUTCOME_NOT_RUN);
}

/* Fails if a doubtful endpoint is used while another is free. */
static void doubtful_endpoint_is_the_last_choice(void **state)
{
	endpoint_info_t infos[2] = {
		{ .id = "i-0",
		  .address = "127.0.0.1:1",
		  .data_centre = "here",
		  .slots = 3,
		  .doubtful = TRUE },
		{ .id = "i-1",
		  .address = "127.0.0.1:2",
		  .data_centre = "here",
		  .slots = 3 },
	};
	fixture_t *f = *state;
	guint i;

	assert_true(entry_set_endpoints(f->entry, "s", infos, 2));
	for (i = 1; i <= 3; i++) {
		send_request(f, i, "/safe/");
		answer_probes(f, "", 0, 0, 100);
		assert_string_equal(f->endpoint, "i-1");
		end_attempt(f, ATTEMPT_ANSWERED, 200);
		advance(f, 100 * MS);
	}
}

/* A notice in an answer to a request that was sent just now. */
static void give_notice(fixture_t *f, const char *endpoint, gboolean leaving,
			GTimeSpan pause)
{
	const endpoint_notice_t notice = { .source = NOTICE_IN_REFUSAL,
					   .requested_at = f->now,
					   .leaving = leaving,
					   .pause = pause };

	entry_endpoint_notice(f->entry, "s", endpoint, &notice);
}

/* The end of the pause, and later by the spread of returning callers. */
static void assert_named_end_of_pause(const fixture_t *f, guint ref,
				      GTimeSpan pause)
{
	assert_in_range(f->answers[ref].error.retry_after, pause,
			pause + pause / 5);
}

/* Fails if a request waits though no endpoint takes it in time. */
static void request_is_refused_at_once_in_a_pause_of_all(void **state)
{
	fixture_t *f = *state;

	give_notice(f, "i-0", FALSE, 3 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-1", FALSE, 2 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-remote", TRUE, 0);
	send_request(f, 1, "/once/");
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_named_end_of_pause(f, 1, 2 * G_TIME_SPAN_SECOND);
	send_request(f, 2, "/later/");
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_int_equal(f->started + f->probe_count, 0);
	advance(f, 2 * G_TIME_SPAN_SECOND);
	send_request(f, 3, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->endpoint, "i-1");
}

/* Fails if a request waits for endpoints that have all said that they leave. */
static void request_is_refused_at_once_if_all_endpoints_leave(void **state)
{
	fixture_t *f = *state;

	give_notice(f, "i-0", TRUE, 0);
	give_notice(f, "i-1", TRUE, 0);
	give_notice(f, "i-remote", TRUE, 0);
	send_request(f, 1, "/once/");
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_in_range(f->answers[1].error.retry_after, 1,
			CALLER_DEADLINE / 3);
}

/* Fails if requests that are queued or wait for probes are held in a pause. */
static void waiting_requests_are_refused_in_a_pause_of_all(void **state)
{
	static const char *const ids[] = { "i-0", "i-1", "i-remote" };
	fixture_t *f = *state;
	gsize i;

	send_request(f, 1, "/once/");
	while (f->probe_count)
		answer_probe(f, f->probes[--f->probe_count], 3, 100);
	advance(f, 10 * MS);
	send_request(f, 2, "/once/");
	assert_int_equal(f->answers[1].count + f->answers[2].count, 0);
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		give_notice(f, ids[i], FALSE, 2 * G_TIME_SPAN_SECOND);
	advance(f, 20 * MS);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_named_end_of_pause(f, 1, 2 * G_TIME_SPAN_SECOND - 20 * MS);
	assert_int_equal(f->started, 0);
}

/* Fails if a request is refused that can start in time after a short pause. */
static void request_waits_for_the_end_of_a_short_pause(void **state)
{
	static const char *const ids[] = { "i-0", "i-1", "i-remote" };
	fixture_t *f = *state;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		give_notice(f, ids[i], FALSE, OBJECTIVE / 4);
	send_request(f, 1, "/once/");
	advance(f, OBJECTIVE / 4 - MS);
	assert_int_equal(f->started + f->answers[1].count, 0);
	advance(f, MS);
	advance(f, 20 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
}

/* Fails if a request waits for local endpoints, none of which takes it. */
static void remote_endpoint_is_used_at_once_in_a_local_pause(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/later/");
	answer_probes(f, "", 0, 0, 100);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	advance(f, 10 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-0", TRUE, 0);
	give_notice(f, "i-1", FALSE, 3 * G_TIME_SPAN_SECOND);
	send_request(f, 2, "/later/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
	assert_string_equal(f->endpoint, "i-remote");
}

/* Fails if a refused request is sent to a leaving or paused endpoint. */
static void refused_request_is_not_retried_in_a_pause(void **state)
{
	fixture_t *f = *state;

	give_notice(f, "i-remote", TRUE, 0);
	give_notice(f, "i-1", TRUE, 0);
	send_request(f, 1, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_string_equal(f->endpoint, "i-0");
	give_notice(f, "i-0", FALSE, 2 * G_TIME_SPAN_SECOND);
	end_attempt(f, ATTEMPT_SHED, 503);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_named_end_of_pause(f, 1, 2 * G_TIME_SPAN_SECOND);
	assert_int_equal(f->started, 1);
}

/* Fails if the refusal in a pause denies a run that may have happened. */
static void request_that_may_have_run_is_not_refused_in_a_pause(void **state)
{
	fixture_t *f = *state;

	give_notice(f, "i-remote", TRUE, 0);
	give_notice(f, "i-1", TRUE, 0);
	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	give_notice(f, "i-0", FALSE, 2 * G_TIME_SPAN_SECOND);
	end_attempt(f, ATTEMPT_FAILED, 0);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/* Fails if requests to another service are refused, too. */
static void pause_of_one_service_does_not_affect_another(void **state)
{
	endpoint_info_t info = { .id = "t-0",
				 .address = "127.0.0.1:20",
				 .data_centre = "here",
				 .slots = 3 };
	const load_report_t idle = { .slots = 3, .slowdown_percent = 100 };
	fixture_t *f = *state;

	assert_true(entry_set_endpoints(f->entry, "t", &info, 1));
	advance(f, 10 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-0", FALSE, 3 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-1", FALSE, 3 * G_TIME_SPAN_SECOND);
	give_notice(f, "i-remote", FALSE, 3 * G_TIME_SPAN_SECOND);
	send_request(f, 1, "/once/");
	assert_int_equal(f->answers[1].count, 1);
	send_request(f, 2, "/apart/");
	assert_int_equal(f->probe_count, 1);
	entry_probe_ended(f->entry, "t", "t-0", &idle);
	assert_string_equal(f->endpoint, "t-0");
}

/* Fails if an answer is discarded for a retry that a shutdown cuts. */
static void late_answer_in_a_shutdown_is_passed_on(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	/* The end is after 1 s, the deadline after 1.5 s. */
	entry_shutdown(f->entry, "test");
	advance(f, G_TIME_SPAN_SECOND - MS);
	end_attempt(f, ATTEMPT_ANSWERED, 500);
	answer_probes(f, "", 0, 0, 100);
	advance(f, MS);
	assert_true(entry_is_shutdown_complete(f->entry));
	assert_int_equal(f->answers[1].count, 1);
}

/* Puts a configuration in force in which acme holds the key, if not NULL. */
static void activate_key(fixture_t *f, guint64 version, const char *name,
			 const char *key)
{
	const organisation_t attributes = {
		.name = (char *)name,
		.priority = ORGANISATION_NO_PRIORITY,
		.rate = f->rate,
		.burst = 1,
	};
	schema_t *schema = new_schema();
	GBytes *document = g_bytes_new_static("{}", 2);
	organisation_t *organisation =
		organisations_add(schema->organisations, &attributes, NULL);

	assert_non_null(organisation);
	TAILQ_LAST(&schema->routes, schema_route_list)->is_public = TRUE;
	if (key)
		assert_true(organisations_add_key(schema->organisations,
						  organisation, key, NULL));
	entry_activate_config(f->entry, version, schema, document);
	g_bytes_unref(document);
}

static void send_request_with_key(fixture_t *f, guint ref, const char *path,
				  const char *key)
{
	GBytes *body = g_bytes_new_static("", 0);
	routed_request_t request = {
		.host = "a.example",
		.path = path,
		.remaining = CALLER_DEADLINE,
		.credential = key,
		.body = body,
		.caller_ref = GUINT_TO_POINTER(ref),
	};

	entry_route(f->entry, &request);
	g_bytes_unref(body);
}

/* Fails if a request without the key of an organisation runs. */
static void request_needs_a_key(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", NULL);
	assert_answered(f, 1, CATK_UNAUTHENTICATED, OUTCOME_NOT_RUN);
	send_request_with_key(f, 2, "/safe/", "k2");
	assert_answered(f, 2, CATK_UNAUTHENTICATED, OUTCOME_NOT_RUN);
	assert_int_equal(f->probe_count, 0);
	send_request_with_key(f, 3, "/safe/", "k1");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->organisation, "acme");
}

/*
 * Fails if a request on a public route is refused for its key, or passes on the
 * name of an organisation that its caller does not belong to.
 */
static void public_route_needs_no_key(void **state)
{
	endpoint_info_t info = { .id = "t-0",
				 .address = "127.0.0.1:20",
				 .data_centre = "here",
				 .slots = 3 };
	const load_report_t idle = { .slots = 3, .slowdown_percent = 100 };
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	assert_true(entry_set_endpoints(f->entry, "t", &info, 1));
	advance(f, 10 * G_TIME_SPAN_SECOND);
	send_request_with_key(f, 1, "/apart/", "k2");
	entry_probe_ended(f->entry, "t", "t-0", &idle);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->organisation, "");
}

/* Fails if a queued request is sent although its key was withdrawn. */
static void withdrawn_key_ends_a_queued_request(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	answer_probes(f, "", 0, 0, 500);
	assert_int_equal(f->started, 0);
	activate_key(f, 3, "acme", NULL);
	advance(f, 60 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 0);
	assert_answered(f, 1, CATK_UNAUTHENTICATED, OUTCOME_NOT_RUN);
}

/*
 * Fails if a second attempt is made with a withdrawn key, or if the caller is
 * told that a request whose first attempt may have run has not run.
 */
static void withdrawn_key_ends_retries(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	activate_key(f, 3, "acme", NULL);
	end_attempt(f, ATTEMPT_FAILED, 0);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_answered(f, 1, CATK_UNAUTHENTICATED, OUTCOME_UNKNOWN);
}

/* Fails if an attempt carries the name of the former holder of a key. */
static void moved_key_carries_its_new_organisation(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	answer_probes(f, "", 0, 0, 500);
	activate_key(f, 3, "other", "k1");
	advance(f, 60 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->organisation, "other");
}

/* Fails if a request is counted more than once, also one that waited at first. */
static void request_is_counted_once(void **state)
{
	GBytes *document = g_bytes_new_static("{}", 2);
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	assert_int_equal(f->counters.value[COUNTER_CALLS_RECEIVED], 1);
	entry_free(f->entry);
	f->entry = new_entry(f);
	send_request(f, 2, "/safe/");
	entry_activate_config(f->entry, 1, new_schema(), document);
	assert_int_equal(f->counters.value[COUNTER_CALLS_RECEIVED], 2);
	g_bytes_unref(document);
}

/* Fails if headers of organisations are changed where there are none. */
static void no_key_is_needed_without_organisations(void **state)
{
	fixture_t *f = *state;

	send_request_with_key(f, 1, "/safe/", "k1");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_null(f->organisation);
}

/* Fails if requests over the limit run, or are refused without a delay. */
static void request_over_the_limit_is_refused(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	send_request_with_key(f, 2, "/safe/", "k1");
	advance(f, MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_answered(f, 2, CATK_RATE_LIMITED, OUTCOME_NOT_RUN);
	assert_true(f->answers[2].error.retry_after > 0);
	end_attempt(f, ATTEMPT_ANSWERED, 200);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
	advance(f, 300 * MS);
	send_request_with_key(f, 3, "/safe/", "k1");
	advance(f, MS);
	assert_answered(f, 3, CATK_RATE_LIMITED, OUTCOME_NOT_RUN);
}

/* Fails if a request that did not run uses up the limit. */
static void request_that_did_not_run_returns_its_credit(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	advance(f, MS);
	answer_probes(f, "", 0, 0, 500);
	assert_int_equal(f->started, 0);
	entry_cancel(f->entry, GUINT_TO_POINTER(1));
	send_request_with_key(f, 2, "/safe/", "k1");
	advance(f, 60 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	send_request_with_key(f, 3, "/safe/", "k1");
	advance(f, MS);
	assert_answered(f, 3, CATK_RATE_LIMITED, OUTCOME_NOT_RUN);
}

/* Fails if an attempt that an endpoint refused costs a second credit. */
static void refused_attempt_keeps_its_credit(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/once/", "k1");
	advance(f, MS);
	answer_probes(f, "", 0, 0, 100);
	end_attempt(f, ATTEMPT_SHED, 0);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
}

/*
 * Fails if a request runs twice on one credit, or is reported as not run when
 * its second attempt has none.
 */
static void second_run_needs_a_second_credit(void **state)
{
	fixture_t *f = *state;

	activate_key(f, 2, "acme", "k1");
	send_request_with_key(f, 1, "/safe/", "k1");
	advance(f, MS);
	answer_probes(f, "", 0, 0, 100);
	end_attempt(f, ATTEMPT_FAILED, 0);
	answer_probes(f, "", 0, 0, 100);
	advance(f, MS);
	assert_int_equal(f->started, 1);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/* Puts a configuration in force in which hot and calm have a key each. */
static void activate_two_organisations(fixture_t *f)
{
	static const char *const names[] = { "hot", "calm" };
	schema_t *schema = new_schema();
	GBytes *document = g_bytes_new_static("{}", 2);
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const organisation_t attributes = {
			.name = (char *)names[i],
			.priority = ORGANISATION_NO_PRIORITY,
			.rate = 5
		};
		organisation_t *organisation = organisations_add(
			schema->organisations, &attributes, NULL);

		assert_true(organisations_add_key(
			schema->organisations, organisation, names[i], NULL));
	}
	entry_activate_config(f->entry, 2, schema, document);
	g_bytes_unref(document);
}

/* Sends a request and waits until it has started or is refused. */
static catk_error_kind_t send_and_wait(fixture_t *f, const char *key,
				       gboolean is_short)
{
	guint started = f->started;

	memset(&f->answers[1], 0, sizeof(f->answers[1]));
	send_request_with_key(f, 1, "/safe/", key);
	while (f->started == started && !f->answers[1].count) {
		answer_probes(f, "", 0, 0, is_short ? 500 : 100);
		advance(f, 20 * MS);
	}
	if (f->started > started)
		end_attempt(f, ATTEMPT_ANSWERED, 200);
	return f->answers[1].error.kind;
}

/*
 * Fails if requests refused for lack of capacity, which never stand in a long
 * queue, do not count as a shortage: one organisation then takes all.
 */
static void shortage_limits_the_hot_organisation(void **state)
{
	fixture_t *f = *state;
	guint limited_hot = 0, limited_calm = 0, i;

	activate_two_organisations(f);
	for (i = 0; i < 120; i++) {
		limited_hot += send_and_wait(f, "hot", i % 2 == 0) ==
			       CATK_RATE_LIMITED;
		if (i % 12 == 0)
			limited_calm += send_and_wait(f, "calm", FALSE) ==
					CATK_RATE_LIMITED;
	}
	assert_true(limited_hot > 0);
	assert_int_equal(limited_calm, 0);
}

static void evacuate(fixture_t *f, const char *data_centre, guint64 position)
{
	const char *names[] = { data_centre };

	evacuations_replace(entry_evacuations(f->entry), names,
			    data_centre ? 1 : 0, position, "e2");
}

/*
 * Fails if a request goes to an evacuated data centre, at once or from the
 * queue, or if it does not return there afterwards.
 */
static void evacuated_data_centre_gets_no_request(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 500);
	assert_int_equal(f->started, 0);
	evacuate(f, "here", 10);
	advance(f, 60 * MS);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 1);
	assert_string_equal(f->endpoint, "i-remote");
	send_request(f, 2, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
	assert_string_equal(f->endpoint, "i-remote");
	evacuate(f, NULL, 11);
	advance(f, G_TIME_SPAN_SECOND);
	send_request(f, 3, "/once/");
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 3);
	assert_string_not_equal(f->endpoint, "i-remote");
}

/* Fails if a second attempt goes to a data centre that was evacuated since. */
static void retry_leaves_an_evacuated_data_centre(void **state)
{
	fixture_t *f = *state;

	send_request(f, 1, "/safe/");
	answer_probes(f, "", 0, 0, 100);
	assert_string_not_equal(f->endpoint, "i-remote");
	evacuate(f, "here", 10);
	end_attempt(f, ATTEMPT_FAILED, 0);
	answer_probes(f, "", 0, 0, 100);
	assert_int_equal(f->started, 2);
	assert_string_equal(f->endpoint, "i-remote");
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
#define TEST_LIMITED(name) \
	cmocka_unit_test_setup_teardown(name, set_up_limited, tear_down)

/* Sends a request and answers probes until it has started or is answered. */
static void run_request(fixture_t *f, guint ref)
{
	guint before = f->started;
	guint i;

	send_request(f, ref, "/safe/");
	for (i = 0; i < 60 && f->started == before && !f->answers[ref].count;
	     i++) {
		answer_probes(f, "", 0, 0, 100);
		advance(f, 10 * MS);
	}
}

/*
 * Fails if a request is sent to a cold endpoint beyond the limit of its
 * service, or is refused without the promise that it does not run.
 */
static void requests_beyond_the_warmup_limit_are_refused(void **state)
{
	fixture_t *f = *state;
	GBytes *document = g_bytes_new_static("{}", 2);
	endpoint_info_t info = { .id = "i-0",
				 .address = "127.0.0.1:1",
				 .data_centre = "here",
				 .slots = 3,
				 .warmup_remaining = 20 * G_TIME_SPAN_SECOND };
	schema_t *schema = new_schema();

	assert_true(schema_set_warmup(TAILQ_FIRST(&schema->services),
				      20 * G_TIME_SPAN_SECOND, 1, NULL));
	entry_activate_config(f->entry, 2, schema, document);
	assert_true(entry_set_endpoints(f->entry, "s", &info, 1));
	advance(f, 10 * G_TIME_SPAN_SECOND);
	run_request(f, 1);
	assert_int_equal(f->started, 1);
	run_request(f, 2);
	assert_int_equal(f->started, 1);
	assert_answered(f, 2, CATK_OVERLOADED, OUTCOME_NOT_RUN);
	assert_true(f->answers[2].error.retry_after > 0);
	g_bytes_unref(document);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(evacuated_data_centre_gets_no_request),
		TEST(retry_leaves_an_evacuated_data_centre),
		TEST(request_is_counted_once),
		TEST(request_needs_a_key),
		TEST(public_route_needs_no_key),
		TEST(withdrawn_key_ends_a_queued_request),
		TEST(withdrawn_key_ends_retries),
		TEST(moved_key_carries_its_new_organisation),
		TEST(no_key_is_needed_without_organisations),
		TEST_LIMITED(request_over_the_limit_is_refused),
		TEST_LIMITED(request_that_did_not_run_returns_its_credit),
		TEST_LIMITED(refused_attempt_keeps_its_credit),
		TEST_LIMITED(second_run_needs_a_second_credit),
		TEST(shortage_limits_the_hot_organisation),
		TEST(late_answer_in_a_shutdown_is_passed_on),
		TEST(slowed_endpoint_is_avoided),
		TEST(request_waits_for_the_end_of_a_slowdown),
		TEST(local_endpoint_goes_first),
		TEST(remote_endpoint_is_used_without_local_capacity),
		TEST(urgent_request_uses_remote_endpoint_at_once),
		TEST(retry_after_refusal_uses_remote_endpoint),
		TEST(late_urgent_request_stays_local),
		TEST(late_request_leaves_the_last_slot),
		TEST(refusal_with_a_free_slot_causes_no_backoff),
		TEST(missing_configuration_is_reported_as_unavailable),
		TEST(request_waits_for_the_first_configuration),
		TEST(stop_refuses_requests_without_configuration),
		TEST(attempt_gets_the_remaining_time),
		TEST(freed_entry_requests_no_action),
		TEST(request_without_capacity_is_refused_early),
		TEST(non_idempotent_retry_requires_proof),
		TEST(refusal_is_not_repeated_after_an_unsent_attempt),
		TEST(unsent_attempts_do_not_fill_the_retry_budget),
		TEST(reused_address_needs_a_new_connection),
		TEST(attempts_are_bounded_by_the_route),
		TEST(idempotent_call_ends_with_its_caller),
		TEST(non_idempotent_call_outlives_its_caller),
		TEST(route_timeout_ends_a_call),
		TEST(unknown_path_has_no_route),
		TEST(doubtful_endpoint_is_the_last_choice),
		TEST(request_is_refused_at_once_in_a_pause_of_all),
		TEST(request_is_refused_at_once_if_all_endpoints_leave),
		TEST(waiting_requests_are_refused_in_a_pause_of_all),
		TEST(request_waits_for_the_end_of_a_short_pause),
		TEST(remote_endpoint_is_used_at_once_in_a_local_pause),
		TEST(refused_request_is_not_retried_in_a_pause),
		TEST(request_that_may_have_run_is_not_refused_in_a_pause),
		TEST(pause_of_one_service_does_not_affect_another),
		TEST(requests_beyond_the_warmup_limit_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
