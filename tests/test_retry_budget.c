/*
 * Tests the limits of retries: the percentage, the accumulated credit, and that
 * either the caller or the entry retries a call, not both.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/admission/retry_budget.h"
#include "lib/entry/entry.h"

#define ADDRESS "127.0.0.1:1"

static guint spend_all(retry_budget_t *budget)
{
	guint retries = 0;

	for (; retry_budget_has_tokens(budget); retries++)
		retry_budget_take(budget);
	return retries;
}

/* Fails if retries exceed the percentage of first attempts. */
static void retries_stay_within_percentage(void **state)
{
	guint i, retries = 0;
	retry_budget_t budget;

	(void)state;
	retry_budget_init(&budget, 7);
	assert_false(retry_budget_has_tokens(&budget));
	for (i = 0; i < 1000; i++) {
		retry_budget_fill(&budget);
		retries += spend_all(&budget);
	}
	assert_int_equal(retries, 70);
}

/* Fails if credit from a long time without failures allows a retry storm. */
static void accumulated_credit_is_bounded(void **state)
{
	retry_budget_t budget;
	guint i;

	(void)state;
	retry_budget_init(&budget, 100);
	for (i = 0; i < 100000; i++)
		retry_budget_fill(&budget);
	assert_int_equal(spend_all(&budget), RETRY_BUDGET_CAPACITY_DEFAULT);
}

/* Fails if retries of less urgent calls leave none for the most urgent ones. */
static void urgent_retries_go_first(void **state)
{
	retry_budget_t budget;
	guint i, urgent = 0, other = 0;

	(void)state;
	retry_budget_init(&budget, 20);
	retry_budget_set_capacity(&budget, 168);
	/* Every call needs a retry; one in ten is urgent. */
	for (i = 0; i < 1000; i++) {
		retry_budget_fill(&budget);
		if (i % 10 == 0 && retry_budget_has_tokens(&budget)) {
			retry_budget_take(&budget);
			urgent++;
		} else if (i % 10 &&
			   retry_budget_has_unreserved_tokens(&budget)) {
			retry_budget_take(&budget);
			other++;
		}
	}
	assert_true(urgent >= 95);
	assert_in_range(urgent + other, 190, 200);
	/* With a capacity of one retry there is no reserve. */
	retry_budget_set_capacity(&budget, 100);
	for (i = 0; i < 5; i++)
		retry_budget_fill(&budget);
	assert_true(retry_budget_has_unreserved_tokens(&budget));
}

/*
 * Fails if all instances together retry more than the percentage plus the
 * credit that they may accumulate together, with requests in random order.
 */
static void fleet_stays_within_the_budget(void **state)
{
	const guint instances = 94, shared_capacity = 158, percent = 20,
		    requests = 9400;
	GRand *random = g_rand_new_with_seed(3);
	retry_budget_t budgets[94];
	guint i, retries = 0;

	(void)state;
	for (i = 0; i < instances; i++) {
		retry_budget_init(&budgets[i], percent);
		retry_budget_set_capacity(&budgets[i],
					  shared_capacity * 100 / instances);
	}
	for (i = 0; i < requests; i++) {
		retry_budget_t *budget =
			&budgets[g_rand_int_range(random, 0, (gint32)instances)];

		retry_budget_fill(budget);
		/* Failures come in bursts: every other thousand requests. */
		if (i / 1000 % 2)
			retries += spend_all(budget);
	}
	assert_in_range(retries, requests * percent / 100 / 4,
			requests * percent / 100 + shared_capacity);
	g_rand_free(random);
}

/* Longest backoff after a refusal; see SHED_BACKOFF_MAX in lib/upstream. */
#define REFUSAL_BACKOFF_MAX (100 * G_TIME_SPAN_MILLISECOND)

typedef struct {
	guint attempts, answers;
	guint64 in_flight; /* id of the attempt, 0 for none */
	GTimeSpan now;
	outcome_t outcome;
} recorder_t;

static void on_answer(void *ctx, void *ref, const call_answer_t *answer)
{
	recorder_t *recorder = ctx;

	(void)ref;
	recorder->answers++;
	recorder->outcome = answer->error.outcome;
}

static void on_start(void *ctx, const attempt_request_t *request)
{
	recorder_t *recorder = ctx;

	recorder->attempts++;
	recorder->in_flight = request->attempt_id;
}

static GTimeSpan read_now(void *ctx)
{
	const recorder_t *recorder = ctx;

	return recorder->now;
}

static schema_t *schema_with_endpoint(void)
{
	schema_t *schema = schema_new();
	schema_service_t *service;

	assert_true(schema_add_priority(schema, "p", 0, NULL));
	service = schema_add_service(schema, "s", 1, 1, 0, NULL);
	assert_true(schema_add_endpoint(service, ADDRESS, NULL));
	schema_add_method(schema, service, "m", "p", TRUE, G_TIME_SPAN_SECOND,
			  NULL);
	return schema;
}

static void refuse_every_attempt(entry_t *entry, recorder_t *recorder)
{
	attempt_result_t result = { .end = ATTEMPT_SHED };

	while (recorder->in_flight) {
		result.attempt_id = recorder->in_flight;
		recorder->in_flight = 0;
		entry_attempt_ended(entry, &result);
		recorder->now += REFUSAL_BACKOFF_MAX;
		entry_tick(entry);
	}
}

/* Number of attempts of a call that the endpoint refuses each time. */
static guint attempts_of_refused_call(guint caller_attempt)
{
	const entry_limits_t limits = {
		.request_ids = { 1, 1, 1, 1 },
		.admission = { ADMISSION_PRIORITY, 10, 100 },
		.entries_max = 1,
		.attempts_max = 10,
		.retry_percent = 100,
		.resolve_addresses = 1,
	};
	const member_t self = { .name = "e", .incarnation = 1 };
	GBytes *body = g_bytes_new_static("x", 1);
	call_request_t request = { .service = "s",
				   .method = "m",
				   .caller = "",
				   .attempt = caller_attempt,
				   .body = body,
				   .caller_ref = body };
	recorder_t recorder = { 0 };
	const catk_clock_t clock = { .now = read_now, .ctx = &recorder };
	const entry_actions_t actions = { .answer = on_answer,
					  .start_attempt = on_start,
					  .ctx = &recorder };
	GRand *random = g_rand_new_with_seed(1);
	counters_t counters = { 0 };
	entry_t *entry =
		entry_new(&self, &limits, &actions, &clock, random, &counters);

	entry_activate_config(entry, 1, schema_with_endpoint(), body);
	entry_call(entry, &request);
	refuse_every_attempt(entry, &recorder);
	assert_int_equal(recorder.answers, 1);
	assert_int_equal(recorder.outcome, OUTCOME_NOT_RUN);
	entry_free(entry);
	g_rand_free(random);
	g_bytes_unref(body);
	return recorder.attempts;
}

/* Fails if the entry retries a call that is already a retry of the caller. */
static void retry_of_the_caller_is_not_retried(void **state)
{
	(void)state;
	assert_int_equal(attempts_of_refused_call(1), 2);
	assert_int_equal(attempts_of_refused_call(2), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(retries_stay_within_percentage),
		cmocka_unit_test(accumulated_credit_is_bounded),
		cmocka_unit_test(urgent_retries_go_first),
		cmocka_unit_test(fleet_stays_within_the_budget),
		cmocka_unit_test(retry_of_the_caller_is_not_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
