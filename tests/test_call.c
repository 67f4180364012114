/*
 * Tests how a call continues after the end of an attempt: a non-idempotent call
 * that may have been executed must not be retried or reported as not run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/call/call.h"

#define DEADLINE 1000
#define NOW 10

static call_t *new_call(gboolean idempotent)
{
	schema_method_t method = { .name = "m", .idempotent = idempotent };
	GBytes *body = g_bytes_new_static("b", 1);
	call_attributes_t attributes = { .service = "s",
					 .method = &method,
					 .caller = "c",
					 .body = body,
					 .deadline = DEADLINE,
					 .caller_attempt = 1 };
	call_t *call = call_new(&attributes);

	g_bytes_unref(body);
	return call;
}

/* The endpoint's id serves as its address, too. */
static attempt_t *start_attempt(call_t *call, guint64 id, const char *endpoint)
{
	return call_start_attempt(call, id, endpoint, endpoint, 0);
}

static call_step_t end_attempt(call_t *call, guint64 id, attempt_end_t end,
			       gboolean retry_allowed, GTimeSpan now)
{
	return call_end_attempt(call, &retry_rule_at_most_once,
				call_find_attempt(call, id), end, retry_allowed,
				now);
}

static call_step_t step_after(attempt_end_t end, gboolean idempotent,
			      gboolean retry_allowed, GTimeSpan now)
{
	call_t *call = new_call(idempotent);
	call_step_t step;

	start_attempt(call, 1, "a");
	step = end_attempt(call, 1, end, retry_allowed, now);
	call_free(call);
	return step;
}

/*
 * Fails if a non-idempotent call is sent again, or reported as not run,
 * although an attempt may have been executed.
 */
static void retry_requires_proof(void **state)
{
	static const attempt_end_t may_have_run[] = { ATTEMPT_BAD_ANSWER,
						      ATTEMPT_SILENT,
						      ATTEMPT_FAILED,
						      ATTEMPT_ABANDONED };
	static const attempt_end_t not_run[] = { ATTEMPT_SHED, ATTEMPT_NOT_SENT,
						 ATTEMPT_CANCELLED };
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(may_have_run); i++) {
		assert_int_equal(step_after(may_have_run[i], FALSE, TRUE, NOW),
				 CALL_UNKNOWN);
		assert_int_equal(step_after(may_have_run[i], TRUE, TRUE, NOW),
				 CALL_RETRY);
		assert_int_equal(step_after(may_have_run[i], TRUE, FALSE, NOW),
				 CALL_UNKNOWN);
	}
	for (i = 0; i < G_N_ELEMENTS(not_run); i++) {
		assert_int_equal(step_after(not_run[i], FALSE, TRUE, NOW),
				 CALL_RETRY);
		assert_int_equal(step_after(not_run[i], FALSE, FALSE, NOW),
				 CALL_NOT_RUN);
		assert_int_equal(step_after(not_run[i], FALSE, TRUE, DEADLINE),
				 CALL_NOT_RUN);
	}
}

/*
 * Fails if the proof for one attempt is taken to cover another one that may
 * have been executed.
 */
static void every_attempt_requires_proof(void **state)
{
	call_t *call = new_call(FALSE);

	(void)state;
	start_attempt(call, 1, "a");
	start_attempt(call, 2, "b");
	assert_int_equal(end_attempt(call, 1, ATTEMPT_FAILED, TRUE, NOW),
			 CALL_WAIT);
	assert_int_equal(end_attempt(call, 2, ATTEMPT_SHED, TRUE, NOW),
			 CALL_UNKNOWN);
	call_free(call);
}

/* Fails if an answer is held back until the other attempts have ended. */
static void first_answer_ends_the_call(void **state)
{
	call_t *call = new_call(TRUE);

	(void)state;
	start_attempt(call, 1, "a");
	start_attempt(call, 2, "b");
	assert_int_equal(end_attempt(call, 2, ATTEMPT_ANSWERED, FALSE, NOW),
			 CALL_RAN);
	call_free(call);
}

/* Fails if two attempts with one request id may share a connection. */
static void repeated_endpoint_needs_a_new_connection(void **state)
{
	call_t *call = new_call(FALSE);

	(void)state;
	assert_false(start_attempt(call, 1, "a")->needs_new_connection);
	assert_true(start_attempt(call, 2, "a")->needs_new_connection);
	call_free(call);
	call = new_call(FALSE);
	start_attempt(call, 1, "a");
	assert_false(start_attempt(call, 2, "b")->needs_new_connection);
	assert_true(start_attempt(call, 3, "a")->needs_new_connection);
	call_free(call);
}

/* Fails if the priority of an organisation does not replace that of the route. */
static void priority_of_the_organisation_goes_first(void **state)
{
	schema_method_t method = { .name = "m", .priority = 2 };
	organisation_t organisation = { .name = (char *)"acme", .priority = 1 };
	GBytes *body = g_bytes_new_static("b", 1);
	call_attributes_t attributes = { .service = "s",
					 .method = &method,
					 .caller = "acme",
					 .organisation = &organisation,
					 .body = body,
					 .deadline = DEADLINE,
					 .caller_attempt = 1 };
	call_t *call = call_new(&attributes);

	(void)state;
	assert_int_equal(call->queue.priority, 1);
	assert_string_equal(call->organisation, "acme");
	call_free(call);
	organisation.priority = ORGANISATION_NO_PRIORITY;
	call = call_new(&attributes);
	assert_int_equal(call->queue.priority, 2);
	call_free(call);
	g_bytes_unref(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(retry_requires_proof),
		cmocka_unit_test(priority_of_the_organisation_goes_first),
		cmocka_unit_test(every_attempt_requires_proof),
		cmocka_unit_test(first_answer_ends_the_call),
		cmocka_unit_test(repeated_endpoint_needs_a_new_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
