/*
 * Tests calls through an entry with a fake clock and a fake front end: no call
 * runs twice, and the reported outcomes are true.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/entry/entry.h"

#define MS G_TIME_SPAN_MILLISECOND
#define BOOK_DEADLINE (1000 * MS)
#define ID_LIFETIME (2000 * MS)
#define RESOLVE_TTL (500 * MS)
#define SHUTDOWN_MAX (60000 * MS)
#define REFS_MAX 16

typedef struct {
	guint count;
	catk_error_t error;
} answer_record_t;

typedef struct {
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	counters_t counters;
	entry_t *entry;
	resolve_result_t resolved;
	answer_record_t answers[REFS_MAX]; /* by caller_ref */
	guint started; /* attempts */
	guint cancelled; /* attempts */
	attempt_request_t last_request; /* its pointers are dangling */
	guint forwarded; /* calls sent to another instance */
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
	record->error = answer->error;
}

static void on_start(void *ctx, const attempt_request_t *request)
{
	fixture_t *f = ctx;

	f->started++;
	f->last_request = *request;
}

static void on_cancel(void *ctx, guint64 attempt_id)
{
	fixture_t *f = ctx;

	(void)attempt_id;
	f->cancelled++;
}

static void on_probe(void *ctx, const char *service, const char *address)
{
	(void)ctx;
	(void)service;
	(void)address;
}

static void on_send_to_peer(void *ctx, const char *address,
			    const peer_message_t *message)
{
	fixture_t *f = ctx;

	(void)address;
	f->forwarded += message->kind == PEER_FORWARD_CALL;
}

static void on_reply_to_peer(void *ctx, guint64 connection,
			     const peer_message_t *message)
{
	(void)ctx;
	(void)connection;
	(void)message;
}

static schema_t *new_schema(void)
{
	schema_t *schema = schema_new();
	schema_service_t *service;

	assert_true(schema_add_priority(schema, "urgent", 10, NULL));
	service = schema_add_service(schema, "s", 1, 10, 0, NULL);
	assert_true(schema_add_endpoint(service, "127.0.0.1:1", NULL));
	assert_non_null(schema_add_method(schema, service, "book", "urgent",
					  FALSE, BOOK_DEADLINE, NULL));
	assert_non_null(schema_add_method(schema, service, "status", "urgent",
					  TRUE, 2 * BOOK_DEADLINE, NULL));
	return schema;
}

static int set_up(void **state)
{
	static const member_t self = { .name = "e1",
				       .caller_address = "127.0.0.1:2",
				       .incarnation = 7 };
	const entry_limits_t limits = {
		.request_ids = { .block_size = 16,
				 .lifetime = ID_LIFETIME,
				 .retention = ID_LIFETIME,
				 .answer_bytes_max = 1000 },
		.admission = { .queue_max = 3, .caller_share_percent = 100 },
		.entries_max = 1,
		.attempts_max = 2,
		.retry_percent = 100,
		.resolve_ttl = RESOLVE_TTL,
		.resolve_addresses = 1,
		.shutdown_max = SHUTDOWN_MAX,
	};
	fixture_t *f = g_new0(fixture_t, 1);
	entry_actions_t actions = { .answer = on_answer,
				    .start_attempt = on_start,
				    .cancel_attempt = on_cancel,
				    .send_probe = on_probe,
				    .send_to_peer = on_send_to_peer,
				    .reply_to_peer = on_reply_to_peer,
				    .ctx = f };
	GBytes *document = g_bytes_new_static("{}", 2);

	f->now = BOOK_DEADLINE;
	f->clock = (catk_clock_t){ .now = read_clock, .ctx = &f->now };
	f->random = g_rand_new_with_seed(1);
	f->entry = entry_new(&self, &limits, &actions, &f->clock, f->random,
			     &f->counters);
	assert_int_equal(entry_activate_config(f->entry, 1, new_schema(),
					       document),
			 CONFIG_ACTIVATED);
	assert_true(entry_resolve(f->entry, &f->resolved, NULL));
	g_bytes_unref(document);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	entry_free(f->entry);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

static void call_with_id(fixture_t *f, guint ref, const char *method,
			 const char *id, guint attempt)
{
	GBytes *body = g_bytes_new_static("b", 1);
	call_request_t request = { .service = "s",
				   .method = method,
				   .request_id = id,
				   .caller = "c",
				   .attempt = attempt,
				   .body = body,
				   .caller_ref = GUINT_TO_POINTER(ref) };

	entry_call(f->entry, &request);
	g_bytes_unref(body);
}

static void call_method(fixture_t *f, guint ref, const char *method,
			guint sequence, guint attempt)
{
	gchar *id = g_strdup_printf("e1.7.%u", sequence);

	call_with_id(f, ref, method, id, attempt);
	g_free(id);
}

static void call_book(fixture_t *f, guint ref, guint sequence)
{
	call_method(f, ref, "book", sequence, 1);
}

static void end_last_attempt(fixture_t *f, attempt_end_t end)
{
	GBytes *body = g_bytes_new_static("a", 1);
	attempt_result_t result = { .attempt_id = f->last_request.attempt_id,
				    .end = end,
				    .status = 200,
				    .body = body };

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

/* Fails if the queue exceeds its limit, or a refused id is executed later. */
static void admission_refuses_beyond_the_queue(void **state)
{
	fixture_t *f = *state;
	guint i;

	for (i = 1; i <= 5; i++)
		call_book(f, i, i);
	assert_int_equal(f->started, 1);
	assert_answered(f, 5, CATK_OVERLOADED, OUTCOME_NOT_RUN);
	call_book(f, 6, 5);
	assert_answered(f, 6, CATK_CONFLICT, OUTCOME_NOT_RUN);
}

/* Longest backoff after a refusal; see SHED_BACKOFF_MAX in lib/upstream. */
#define REFUSAL_BACKOFF_MAX (100 * G_TIME_SPAN_MILLISECOND)

/*
 * Fails if a call is retried after an end that does not prove it did not run.
 */
static void retry_only_on_proof(void **state)
{
	fixture_t *f = *state;
	guint ref = 1;
	int end;

	for (end = ATTEMPT_SHED; end <= ATTEMPT_FAILED; end++, ref++) {
		f->started = 0;
		call_book(f, ref, ref);
		end_last_attempt(f, (attempt_end_t)end);
		advance(f, REFUSAL_BACKOFF_MAX);
		if (attempt_end_proves_not_run((attempt_end_t)end)) {
			assert_int_equal(f->started, 2);
			assert_int_equal(f->last_request.attempt, 2);
			end_last_attempt(f, ATTEMPT_ANSWERED);
			assert_answered(f, ref, CATK_OK, OUTCOME_RAN);
		} else {
			assert_int_equal(f->started, 1);
			assert_answered(f, ref, CATK_OUTCOME_UNKNOWN,
					OUTCOME_UNKNOWN);
		}
	}
}

/*
 * Fails if a call that cannot be retried is cancelled before its deadline
 * because its endpoint does not respond.
 */
static void early_cancellation_requires_a_retry(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	assert_true(f->last_request.first_cancel_query_after <
		    f->last_request.last_cancel_query_after);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	call_method(f, 2, "status", 1, 2);
	assert_int_equal(f->last_request.first_cancel_query_after,
			 f->last_request.last_cancel_query_after);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	call_book(f, 3, 3);
	assert_int_equal(f->last_request.first_cancel_query_after,
			 f->last_request.last_cancel_query_after);
}

/* Fails if an entry retries a call that is itself a retry of its caller. */
static void repeated_call_is_not_retried_again(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "book", 1, 2);
	assert_int_equal(f->last_request.attempt, 2);
	end_last_attempt(f, ATTEMPT_SHED);
	assert_int_equal(f->started, 1);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
}

/* Fails if an answer after the deadline is passed on, or a duplicate runs. */
static void late_result_is_dropped(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	assert_int_equal(f->last_request.remaining, BOOK_DEADLINE);
	assert_true(f->last_request.last_cancel_query_after < BOOK_DEADLINE);
	advance(f, BOOK_DEADLINE);
	assert_answered(f, 1, CATK_DEADLINE_EXCEEDED, OUTCOME_UNKNOWN);
	assert_int_equal(f->cancelled, 1);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_int_equal(f->answers[1].count, 1);
	assert_int_equal(f->counters.value[COUNTER_ANSWERS_DROPPED], 1);
	call_book(f, 2, 1);
	assert_answered(f, 2, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
	assert_int_equal(f->started, 1);
}

/* Fails if the id of a call that expired in the queue can still be used. */
static void id_is_sealed_at_deadline_in_queue(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	call_book(f, 2, 2);
	advance(f, BOOK_DEADLINE);
	assert_answered(f, 2, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN);
	call_book(f, 3, 2);
	assert_answered(f, 3, CATK_CONFLICT, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 1);
}

/* Fails if capacity freed after a pause starts a call past its deadline. */
static void expired_call_is_not_dispatched_after_a_pause(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	call_book(f, 2, 2);
	f->now += BOOK_DEADLINE;
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_int_equal(f->started, 1);
	assert_answered(f, 2, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN);
}

/* Fails if a call whose request id expired in the queue is dispatched. */
static void id_expired_in_queue_is_not_dispatched(void **state)
{
	fixture_t *f = *state;

	advance(f, ID_LIFETIME - 10 * MS);
	call_method(f, 1, "status", 1, 1);
	call_book(f, 2, 2);
	f->now += 10 * MS;
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_int_equal(f->started, 1);
	assert_answered(f, 2, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN);
}

/* Fails if a duplicate runs, or gets another answer than the original. */
static void duplicate_shares_the_answer(void **state)
{
	fixture_t *f = *state;
	guint ref;

	call_book(f, 1, 1);
	call_book(f, 2, 1);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	call_book(f, 3, 1);
	for (ref = 1; ref <= 3; ref++)
		assert_answered(f, ref, CATK_OK, OUTCOME_RAN);
	assert_int_equal(f->started, 1);
}

/*
 * Fails if the result of a running non-idempotent call is lost when its caller
 * disconnects, if a queued call then still runs, or if a running idempotent one
 * is not cancelled.
 */
static void caller_disconnect_keeps_running_non_idempotent_call(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	call_book(f, 2, 2);
	entry_cancel(f->entry, GUINT_TO_POINTER(1));
	entry_cancel(f->entry, GUINT_TO_POINTER(2));
	assert_int_equal(f->cancelled, 0);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	call_book(f, 3, 1);
	call_book(f, 4, 2);
	assert_answered(f, 3, CATK_OK, OUTCOME_RAN);
	assert_answered(f, 4, CATK_CONFLICT, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 1);
	assert_int_equal(f->answers[1].count + f->answers[2].count, 0);
	call_method(f, 5, "status", 5, 1);
	entry_cancel(f->entry, GUINT_TO_POINTER(5));
	assert_int_equal(f->cancelled, 1);
}

/*
 * Fails if not_run is reported for an id that has not been issued, and so may
 * still be issued and run, or for one whose record has been removed.
 */
static void not_run_is_reported_only_for_known_ids(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 16);
	assert_answered(f, 1, CATK_INVALID_ARGUMENT, OUTCOME_UNKNOWN);
	advance(f, 2 * ID_LIFETIME);
	call_book(f, 2, 1);
	assert_answered(f, 2, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/*
 * Fails if a non-idempotent call starts too late to be cancelled before its
 * deadline, so that its outcome would needlessly be unknown.
 */
static void late_start_is_refused(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	call_book(f, 2, 2);
	advance(f, BOOK_DEADLINE - 10 * MS);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_int_equal(f->started, 1);
	assert_answered(f, 2, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN);
}

typedef enum { BOOK_REMOVED, BOOK_ONCE, BOOK_IDEMPOTENT } book_declaration_t;

static void declare_book(fixture_t *f, guint64 version,
			 book_declaration_t declaration)
{
	GBytes *document = g_bytes_new_static("{}", 2);
	schema_t *schema = schema_new();
	schema_service_t *service;

	assert_true(schema_add_priority(schema, "urgent", 10, NULL));
	service = schema_add_service(schema, "s", 1, 10, 0, NULL);
	assert_true(schema_add_endpoint(service, "127.0.0.1:1", NULL));
	if (declaration != BOOK_REMOVED)
		schema_add_method(schema, service, "book", "urgent",
				  declaration == BOOK_IDEMPOTENT, BOOK_DEADLINE,
				  NULL);
	assert_int_equal(entry_activate_config(f->entry, version, schema,
					       document),
			 CONFIG_ACTIVATED);
	g_bytes_unref(document);
}

/*
 * Fails if a duplicate of a call that ran is answered with not_run, or runs
 * again, because its method was removed or became idempotent meanwhile.
 */
static void changed_schema_keeps_the_outcome(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	declare_book(f, 2, BOOK_REMOVED);
	call_book(f, 2, 1);
	assert_answered(f, 2, CATK_OK, OUTCOME_RAN);
	declare_book(f, 3, BOOK_IDEMPOTENT);
	call_book(f, 3, 1);
	assert_answered(f, 3, CATK_OK, OUTCOME_RAN);
	assert_int_equal(f->started, 1);
}

/*
 * Fails if an id that was refused because its method is unknown can be executed
 * once the method is declared.
 */
static void refusal_outlasts_a_schema_change(void **state)
{
	fixture_t *f = *state;

	declare_book(f, 2, BOOK_REMOVED);
	call_book(f, 1, 1);
	assert_answered(f, 1, CATK_NOT_FOUND, OUTCOME_NOT_RUN);
	declare_book(f, 3, BOOK_ONCE);
	call_book(f, 2, 1);
	assert_answered(f, 2, CATK_CONFLICT, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 0);
}

/*
 * Fails if a shutdown completes while calls are in flight, or before resolved
 * addresses and request ids have expired.
 */
static void shutdown_waits_for_calls(void **state)
{
	fixture_t *f = *state;
	resolve_result_t after;

	call_book(f, 1, 1);
	entry_shutdown(f->entry, "test");
	assert_false(entry_resolve(f->entry, &after, NULL));
	advance(f, RESOLVE_TTL);
	call_book(f, 2, 2);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
	assert_answered(f, 2, CATK_OK, OUTCOME_RAN);
	assert_false(entry_is_shutdown_complete(f->entry));
	advance(f, ID_LIFETIME - 10 * MS);
	call_method(f, 3, "status", 3, 1);
	advance(f, ID_LIFETIME / 2);
	assert_false(entry_is_shutdown_complete(f->entry));
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_answered(f, 3, CATK_OK, OUTCOME_RAN);
	assert_true(entry_is_shutdown_complete(f->entry));
	assert_int_equal(f->counters.value[COUNTER_CALLS_CUT_AT_SHUTDOWN], 0);
}

/*
 * Fails if a call in flight delays a shutdown beyond shutdown_max, or is not
 * counted as cut off by it.
 */
static void shutdown_is_bounded(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	entry_shutdown(f->entry, "test");
	f->now += SHUTDOWN_MAX;
	assert_true(entry_is_shutdown_complete(f->entry));
	entry_end_shutdown(f->entry, 0, 0);
	assert_int_equal(f->counters.value[COUNTER_CALLS_CUT_AT_SHUTDOWN], 1);
}

/* Starts a shutdown that must end within that time. */
static void shut_down_within(fixture_t *f, GTimeSpan max)
{
	const entry_limits_t limits = { .retry_percent = 100,
					.resolve_ttl = RESOLVE_TTL,
					.resolve_addresses = 1,
					.shutdown_max = max };

	entry_update_limits(f->entry, &limits);
	entry_shutdown(f->entry, "test");
}

/* Fails if a call is taken that the end of a shutdown may cut. */
static void late_call_in_a_shutdown_is_refused(void **state)
{
	fixture_t *f = *state;

	shut_down_within(f, 2 * BOOK_DEADLINE);
	advance(f, BOOK_DEADLINE);
	call_book(f, 1, 1);
	assert_int_equal(f->started, 1);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
	advance(f, 1);
	call_book(f, 2, 2);
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	call_book(f, 3, 2);
	assert_answered(f, 3, CATK_CONFLICT, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 1);
}

/* Fails if a call that waits when a shutdown starts is cut or held by it. */
static void queued_call_is_refused_when_a_shutdown_starts(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	call_book(f, 2, 2);
	assert_int_equal(f->started, 1);
	shut_down_within(f, BOOK_DEADLINE / 2);
	assert_answered(f, 2, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
	assert_int_equal(f->started, 1);
}

/* Fails if a call is sent again so late that a shutdown may cut it. */
static void refused_attempt_is_not_repeated_late_in_a_shutdown(void **state)
{
	fixture_t *f = *state;

	call_book(f, 1, 1);
	shut_down_within(f, BOOK_DEADLINE / 2);
	end_last_attempt(f, ATTEMPT_SHED);
	advance(f, REFUSAL_BACKOFF_MAX);
	assert_answered(f, 1, CATK_UNAVAILABLE, OUTCOME_NOT_RUN);
	assert_int_equal(f->started, 1);
}

/* Fails if a call that may have run is started again after the end. */
static void no_call_is_repeated_after_the_end_of_a_shutdown(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	shut_down_within(f, BOOK_DEADLINE / 2);
	advance(f, BOOK_DEADLINE / 2);
	assert_true(entry_is_shutdown_complete(f->entry));
	end_last_attempt(f, ATTEMPT_FAILED);
	advance(f, REFUSAL_BACKOFF_MAX);
	assert_int_equal(f->started, 1);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/* Fails if a call at which no endpoint works is cut by a shutdown. */
static void waiting_call_that_may_have_run_is_answered(void **state)
{
	fixture_t *f = *state;

	call_method(f, 1, "status", 1, 1);
	call_book(f, 2, 2);
	end_last_attempt(f, ATTEMPT_FAILED);
	/* The endpoint works at the second call, the first one waits again. */
	assert_int_equal(f->started, 2);
	shut_down_within(f, BOOK_DEADLINE / 2);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
	assert_int_equal(f->answers[2].count, 0);
}

/* Calls the method with an id of instance e2, which is live. */
static void call_book_of_peer(fixture_t *f, guint ref)
{
	const peer_message_t message = {
		.kind = PEER_MEMBERSHIP,
		.u.membership = { .kind = MEMBERSHIP_PING,
				  .sequence = 1,
				  .sender = { .name = "e2",
					      .caller_address = "127.0.0.1:3",
					      .peer_address = "127.0.0.1:4",
					      .incarnation = 3 } },
	};

	entry_receive_peer_message(f->entry, 1, &message);
	call_with_id(f, ref, "book", "e2.3.1", 1);
}

/* Fails if a call that its issuer may have run is answered as unavailable. */
static void call_that_is_not_forwarded_in_a_shutdown_is_unknown(void **state)
{
	fixture_t *f = *state;

	shut_down_within(f, BOOK_DEADLINE);
	call_book_of_peer(f, 1);
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
	assert_int_equal(f->forwarded, 0);
}

/* Fails if a forwarded call is cut by the end of a shutdown. */
static void forwarded_call_is_answered_at_the_end_of_a_shutdown(void **state)
{
	fixture_t *f = *state;

	call_book_of_peer(f, 1);
	assert_int_equal(f->forwarded, 1);
	shut_down_within(f, BOOK_DEADLINE);
	advance(f, BOOK_DEADLINE - 1);
	assert_false(entry_is_shutdown_complete(f->entry));
	assert_int_equal(f->answers[1].count, 0);
	advance(f, 1);
	assert_true(entry_is_shutdown_complete(f->entry));
	assert_answered(f, 1, CATK_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
}

/* Fails if a reload that shortens a shutdown cuts the calls that it took. */
static void reload_does_not_move_the_end_of_a_shutdown(void **state)
{
	fixture_t *f = *state;

	shut_down_within(f, 4 * BOOK_DEADLINE);
	call_book(f, 1, 1);
	shut_down_within(f, 0);
	assert_false(entry_is_shutdown_complete(f->entry));
	end_last_attempt(f, ATTEMPT_ANSWERED);
	assert_answered(f, 1, CATK_OK, OUTCOME_RAN);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(admission_refuses_beyond_the_queue),
		TEST(retry_only_on_proof),
		TEST(early_cancellation_requires_a_retry),
		TEST(repeated_call_is_not_retried_again),
		TEST(late_result_is_dropped),
		TEST(id_is_sealed_at_deadline_in_queue),
		TEST(expired_call_is_not_dispatched_after_a_pause),
		TEST(id_expired_in_queue_is_not_dispatched),
		TEST(duplicate_shares_the_answer),
		TEST(caller_disconnect_keeps_running_non_idempotent_call),
		TEST(not_run_is_reported_only_for_known_ids),
		TEST(late_start_is_refused),
		TEST(changed_schema_keeps_the_outcome),
		TEST(refusal_outlasts_a_schema_change),
		TEST(shutdown_waits_for_calls),
		TEST(shutdown_is_bounded),
		TEST(late_call_in_a_shutdown_is_refused),
		TEST(queued_call_is_refused_when_a_shutdown_starts),
		TEST(refused_attempt_is_not_repeated_late_in_a_shutdown),
		TEST(no_call_is_repeated_after_the_end_of_a_shutdown),
		TEST(waiting_call_that_may_have_run_is_answered),
		TEST(call_that_is_not_forwarded_in_a_shutdown_is_unknown),
		TEST(forwarded_call_is_answered_at_the_end_of_a_shutdown),
		TEST(reload_does_not_move_the_end_of_a_shutdown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
