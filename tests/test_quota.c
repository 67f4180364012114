/*
 * Tests the rules of rate limits with a manual clock and messages that the test
 * delivers, loses or delays.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/quota/quota.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SECOND G_TIME_SPAN_SECOND
#define STEP (10 * MS)
#define RATE 10.0
#define BURST 5.0
#define ITEMS_MAX 4000

typedef struct {
	quota_t *quota; /* of the instance under test, "a" */
	GTimeSpan now;
	counters_t counters;
	const char *name; /* of the organisation */
	guint worst; /* instances that may exist */
	gboolean with_peer; /* an instance "b" is live */
	gboolean contact; /* other instances are heard */
	quota_item_t items[ITEMS_MAX];
	guint item_count;
	guint admitted;
	guint refused;
	guint no_contact;
	GTimeSpan retry_after; /* of the last refusal */
	guint ask_count;
	quota_request_t request; /* the first of the last ask */
	guint64 sent; /* of the last ask */
	guint answer_count;
	quota_grant_t grant; /* the first of the last answer */
} fixture_t;

static void on_ask(void *ctx, const char *address, const quota_ask_t *ask)
{
	fixture_t *f = ctx;

	assert_string_equal(address, "b:1");
	f->ask_count++;
	f->request = ask->requests[0];
	f->request.name = f->name;
	f->sent = ask->sent;
}

static void on_answer(void *ctx, guint64 connection,
		      const quota_answer_t *answer)
{
	fixture_t *f = ctx;

	assert_int_equal(connection, 7);
	f->answer_count++;
	f->grant = answer->grants[0];
}

static void record(fixture_t *f, quota_result_t result, GTimeSpan retry_after)
{
	f->admitted += result == QUOTA_ADMITTED;
	f->refused += result == QUOTA_REFUSED;
	f->no_contact += result == QUOTA_NO_CONTACT;
	if (result == QUOTA_REFUSED || result == QUOTA_NO_CONTACT) {
		assert_true(retry_after > 0);
		f->retry_after = retry_after;
	}
}

static void on_decided(void *ctx, quota_item_t *item, quota_result_t result,
		       GTimeSpan retry_after)
{
	assert_false(item->waiting);
	record(ctx, result, retry_after);
}

static void set_limit(fixture_t *f, double rate, double burst)
{
	quota_begin_limits(f->quota);
	quota_set_limit(f->quota, f->name, rate, burst, f->now);
	quota_end_limits(f->quota, f->now);
}

static void update_members(fixture_t *f)
{
	quota_begin_members(f->quota);
	quota_add_member(f->quota, "a", "a:1", QUOTA_MEMBER_LIVE);
	if (f->with_peer)
		quota_add_member(f->quota, "b", "b:1", QUOTA_MEMBER_LIVE);
	quota_end_members(f->quota, f->worst, f->now);
}

static void step(fixture_t *f)
{
	f->now += STEP;
	if (f->contact)
		quota_record_contact(f->quota, f->now);
	update_members(f);
	quota_tick(f->quota, f->now);
}

static void run_for(fixture_t *f, GTimeSpan time)
{
	GTimeSpan end = f->now + time;

	while (f->now < end)
		step(f);
}

static quota_item_t *new_item(fixture_t *f)
{
	assert_true(f->item_count < ITEMS_MAX);
	return &f->items[f->item_count++];
}

static quota_result_t take(fixture_t *f, quota_item_t *item)
{
	GTimeSpan retry_after;
	quota_result_t result =
		quota_take(f->quota, item, f->name, f->now, &retry_after);

	record(f, result, retry_after);
	return result;
}

/* Sends count requests per step, each of which runs at once. */
static void send_load(fixture_t *f, GTimeSpan time, guint count)
{
	GTimeSpan end = f->now + time;
	guint i;

	while (f->now < end) {
		for (i = 0; i < count; i++)
			take(f, new_item(f));
		step(f);
		for (i = 0; i < f->item_count; i++)
			if (f->items[i].limit && !f->items[i].waiting)
				quota_spend(f->quota, &f->items[i]);
	}
}

static void start(fixture_t *f, gboolean first_start)
{
	const quota_options_t options = { .window = 5 * SECOND,
					  .overage = 0.1,
					  .slack = 20,
					  .first_start = first_start };
	const quota_actions_t actions = { .send_ask = on_ask,
					  .send_answer = on_answer,
					  .decided = on_decided,
					  .ctx = f };

	f->quota = quota_new("a", &options, &actions, &f->counters, f->now);
	update_members(f);
	set_limit(f, RATE, BURST);
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->now = 100 * SECOND;
	f->name = "org";
	f->worst = 1;
	f->contact = TRUE;
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;
	guint i;

	for (i = 0; i < f->item_count; i++)
		quota_give_back(f->quota, &f->items[i], f->now);
	quota_free(f->quota);
	g_free(f);
	return 0;
}

/* An instance that owns the limit in a fleet of two. */
static void start_as_owner(fixture_t *f)
{
	f->worst = 2;
	f->with_peer = TRUE;
	start(f, TRUE);
	run_for(f, 3 * SECOND);
	assert_true(f->request.claim);
}

/* The owner of the limit is "b", by the hash of its name. */
static void start_as_holder(fixture_t *f)
{
	f->name = "tree";
	f->worst = 2;
	f->with_peer = TRUE;
	start(f, FALSE);
	run_for(f, 100 * MS);
	f->ask_count = 0;
}

static void receive_ask(fixture_t *f, guint wanted, gboolean claim)
{
	const quota_request_t request = { .name = f->name,
					  .wanted = wanted,
					  .claim = claim };
	const quota_ask_t ask = { .sent = 1, .count = 1, .requests = &request };

	quota_receive_ask(f->quota, 7, &ask, f->now);
}

static void receive_grant(fixture_t *f, guint granted)
{
	const quota_grant_t grant = { .name = f->name, .granted = granted };
	const quota_answer_t answer = { .sent = f->sent,
					.count = 1,
					.grants = &grant };

	quota_receive_answer(f->quota, &answer, f->now);
}

/* Fails if the burst or the rate are not kept, or much less is admitted. */
static void burst_and_rate_are_kept(void **state)
{
	fixture_t *f = *state;

	start(f, TRUE);
	send_load(f, 5 * SECOND, 2);
	assert_in_range(f->admitted, 5 * RATE + BURST - 3, 5 * RATE + BURST);
	assert_true(f->refused > 0);
	assert_int_equal(f->no_contact, 0);
	assert_true(f->retry_after <= 5 * SECOND);
}

/* Fails if a credit is returned twice, or lost when its request did not run. */
static void credit_is_given_back_once(void **state)
{
	fixture_t *f = *state;
	quota_item_t *item = new_item(f);
	guint i;

	start(f, TRUE);
	set_limit(f, 0.001, 1);
	take(f, item);
	step(f);
	assert_int_equal(f->admitted, 1);
	for (i = 0; i < 3; i++)
		quota_give_back(f->quota, item, f->now);
	assert_int_equal(take(f, new_item(f)), QUOTA_ADMITTED);
	assert_int_equal(take(f, new_item(f)), QUOTA_WAITING);
	run_for(f, QUOTA_WAIT_MAX);
	assert_int_equal(f->admitted, 2);
	assert_int_equal(f->refused, 1);
}

/* Fails if a request starts with a lease that has ended, or a pause hides it. */
static void ended_lease_is_not_used(void **state)
{
	fixture_t *f = *state;
	quota_item_t *item = new_item(f);

	start(f, TRUE);
	set_limit(f, 0.001, 1);
	take(f, item);
	step(f);
	assert_int_equal(take(f, item), QUOTA_ADMITTED);
	f->now += QUOTA_LEASE;
	assert_int_equal(take(f, item), QUOTA_WAITING);
}

/* Fails if the holder uses tokens that its owner counts as lapsed. */
static void late_and_repeated_answers_are_ignored(void **state)
{
	fixture_t *f = *state;

	start_as_holder(f);
	take(f, new_item(f));
	step(f);
	assert_int_equal(f->ask_count, 1);
	assert_int_equal(f->request.wanted, 1);
	receive_grant(f, 3);
	assert_int_equal(f->admitted, 1);
	receive_grant(f, 3);
	assert_int_equal(take(f, new_item(f)), QUOTA_ADMITTED);
	assert_int_equal(take(f, new_item(f)), QUOTA_ADMITTED);
	assert_int_equal(take(f, new_item(f)), QUOTA_WAITING);
	step(f);
	f->now += QUOTA_LEASE;
	receive_grant(f, 3);
	assert_int_equal(f->admitted, 3);
}

/*
 * Fails if a request waits without end for an owner, or a holder without contact
 * uses more than its part of the rate.
 */
static void silent_owner_leaves_a_share(void **state)
{
	fixture_t *f = *state;

	start_as_holder(f);
	send_load(f, 2500 * MS, 1);
	assert_int_equal(f->admitted, 0);
	assert_true(f->no_contact > 200);
	assert_true(f->ask_count < 20);
	send_load(f, 10 * SECOND, 1);
	assert_in_range(f->admitted, 9 * RATE / 2, 10 * RATE / 2);
}

/* Fails if a closed connection leaves requests waiting. */
static void closed_connection_repeats_the_request(void **state)
{
	fixture_t *f = *state;

	start_as_holder(f);
	take(f, new_item(f));
	step(f);
	quota_peer_lost(f->quota, "b:1", f->now);
	run_for(f, 3 * STEP);
	assert_int_equal(f->ask_count, 2);
	receive_grant(f, 1);
	assert_int_equal(f->admitted, 1);
}

/* Fails if a restarted owner grants the burst again, or at once. */
static void new_owner_starts_empty(void **state)
{
	fixture_t *f = *state;

	f->worst = 2;
	start(f, FALSE);
	send_load(f, 2900 * MS, 1);
	assert_int_equal(f->admitted, 0);
	/* It knows half of the fleet, so it fills by half. */
	send_load(f, 5 * SECOND, 1);
	assert_in_range(f->admitted, 4 * RATE / 2, 5 * RATE / 2 + 1);
}

/* Fails if an owner that hears nobody grants what another one may grant. */
static void isolated_owner_stops(void **state)
{
	fixture_t *f = *state;

	start_as_owner(f);
	f->contact = FALSE;
	run_for(f, 4 * SECOND);
	send_load(f, 2 * SECOND, 1);
	f->admitted = 0;
	send_load(f, 5 * SECOND, 1);
	assert_int_equal(f->admitted, 0);
}

/* Fails if an owner uses what its bucket gained in a pause. */
static void paused_owner_starts_empty(void **state)
{
	fixture_t *f = *state;

	start_as_owner(f);
	f->now += 2 * SECOND;
	receive_ask(f, 5, FALSE);
	assert_int_equal(f->grant.kind, QUOTA_GRANT_TOKENS);
	assert_int_equal(f->grant.granted, 0);
	assert_true(f->grant.retry_after > 0);
}

/* Fails if an answer from before a pause, or unasked, restores a bucket. */
static void late_level_does_not_restore_a_bucket(void **state)
{
	quota_grant_t released = { .kind = QUOTA_GRANT_RELEASED,
				   .level = BURST };
	const quota_answer_t answer = { .sent = 1,
					.count = 1,
					.grants = &released };
	fixture_t *f = *state;

	start_as_owner(f);
	released.name = f->name;
	f->now += 2 * SECOND;
	receive_ask(f, 5, FALSE);
	assert_int_equal(f->grant.granted, 0);
	quota_receive_answer(f->quota, &answer, f->now);
	receive_ask(f, 5, FALSE);
	assert_int_equal(f->grant.granted, 0);
}

/* Fails if two instances own a limit after a handover. */
static void claimed_bucket_is_handed_over(void **state)
{
	fixture_t *f = *state;

	start_as_owner(f);
	receive_ask(f, 2, FALSE);
	assert_int_equal(f->grant.granted, 2);
	receive_ask(f, 0, TRUE);
	assert_int_equal(f->grant.kind, QUOTA_GRANT_RELEASED);
	assert_true(f->grant.level >= BURST - 2 && f->grant.level < BURST);
	receive_ask(f, 1, FALSE);
	assert_int_equal(f->grant.kind, QUOTA_GRANT_NOT_OWNER);
	run_for(f, 2 * SECOND);
	receive_ask(f, 1, FALSE);
	assert_int_equal(f->grant.kind, QUOTA_GRANT_NOT_OWNER);
	receive_ask(f, 0, TRUE);
	assert_int_equal(f->grant.kind, QUOTA_GRANT_NOT_OWNER);
}

/* Fails if tokens of a higher limit remain after it was lowered. */
static void lowered_limit_is_binding(void **state)
{
	fixture_t *f = *state;

	start(f, TRUE);
	set_limit(f, 1000, 1000);
	send_load(f, 2 * SECOND, 5);
	set_limit(f, 1, 1);
	run_for(f, QUOTA_LEASE);
	f->admitted = 0;
	send_load(f, 5 * SECOND, 1);
	assert_in_range(f->admitted, 4, 6);
}

/* Fails if requests wait for a limit that no longer exists. */
static void removed_limit_admits(void **state)
{
	fixture_t *f = *state;

	start_as_holder(f);
	assert_int_equal(take(f, new_item(f)), QUOTA_WAITING);
	set_limit(f, 0, 0);
	assert_int_equal(f->admitted, 1);
	assert_int_equal(take(f, new_item(f)), QUOTA_ADMITTED);
}

/*
 * Fails if an owner that was cut off grants tokens from before: others have
 * taken over and granted theirs.
 */
static void returning_owner_starts_empty(void **state)
{
	fixture_t *f = *state;

	start_as_owner(f);
	f->contact = FALSE;
	run_for(f, 4 * SECOND);
	receive_ask(f, 5, FALSE);
	assert_in_range(f->grant.granted, 0, 1);
	f->contact = TRUE;
	run_for(f, SECOND);
	receive_ask(f, 5, FALSE);
	assert_int_equal(f->grant.granted, 0);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(burst_and_rate_are_kept),
		TEST(credit_is_given_back_once),
		TEST(ended_lease_is_not_used),
		TEST(late_and_repeated_answers_are_ignored),
		TEST(silent_owner_leaves_a_share),
		TEST(closed_connection_repeats_the_request),
		TEST(new_owner_starts_empty),
		TEST(isolated_owner_stops),
		TEST(returning_owner_starts_empty),
		TEST(paused_owner_starts_empty),
		TEST(late_level_does_not_restore_a_bucket),
		TEST(claimed_bucket_is_handed_over),
		TEST(lowered_limit_is_binding),
		TEST(removed_limit_admits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
