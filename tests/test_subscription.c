/* Guards which instances read the store, and who is told of changes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/subscription/subscription.h"

#define NOW (100 * G_TIME_SPAN_SECOND)
#define BOUND (2 * G_TIME_SPAN_SECOND)

typedef struct {
	subscription_t *subscription;
	GRand *random;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->random = g_rand_new_with_seed(1);
	f->subscription = subscription_new(BOUND, f->random, NOW - BOUND);
	subscription_begin_sources(f->subscription);
	subscription_add_source(f->subscription, "s-1", "10.0.0.1:1");
	subscription_add_source(f->subscription, "s-2", "10.0.0.2:1");
	subscription_end_sources(f->subscription);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	subscription_free(f->subscription);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

static void hear(fixture_t *f, const char *name, gboolean in_contact,
		 GTimeSpan now)
{
	subscription_update_t update = { .name = name,
					 .incarnation = 1,
					 .in_contact = in_contact };

	subscription_update_received(f->subscription, &update, now);
}

/* Fails when one source that is gone sends an instance to the store. */
static void one_source_suffices(void **state)
{
	fixture_t *f = *state;

	hear(f, "s-1", TRUE, NOW);
	hear(f, "s-2", TRUE, NOW);
	hear(f, "s-2", TRUE, NOW + BOUND);
	assert_false(
		subscription_should_read_store(f->subscription, NOW + BOUND));
}

/*
 * Fails when an instance that hears no source does not read the store in time
 * to keep the bound on learning a change.
 */
static void silent_sources_are_missed_in_time(void **state)
{
	const GTimeSpan list = 100 * G_TIME_SPAN_MILLISECOND;
	fixture_t *f = *state;

	hear(f, "s-1", TRUE, NOW);
	hear(f, "s-2", TRUE, NOW);
	assert_false(subscription_should_read_store(f->subscription,
						    NOW + BOUND / 2));
	assert_true(subscription_should_read_store(f->subscription,
						   NOW + BOUND - list));
}

/*
 * Fails when a fleet whose sources find the store away asks it as often as the
 * sources do, or never.
 */
static void store_that_is_away_is_tried_rarely(void **state)
{
	const GTimeSpan outage = 10 * G_TIME_SPAN_SECOND;
	fixture_t *f = *state;
	GTimeSpan now;
	guint calls = 0;

	for (now = NOW; now < NOW + outage;
	     now += 100 * G_TIME_SPAN_MILLISECOND) {
		hear(f, "s-1", FALSE, now);
		if (!subscription_should_read_store(f->subscription, now))
			continue;
		calls++;
		subscription_record_store_call(f->subscription, FALSE, now);
	}
	assert_in_range(calls, 2, 6);
	hear(f, "s-2", TRUE, now);
	assert_false(subscription_should_read_store(f->subscription, now));
}

/* Fails when a source is not asked again, or asked without a pause. */
static void renewals_are_paced(void **state)
{
	fixture_t *f = *state;
	subscription_renewal_t renewal;
	guint count = 0;
	GTimeSpan now;

	for (now = NOW; now < NOW + BOUND; now += G_TIME_SPAN_MILLISECOND)
		while (subscription_next_renewal(f->subscription, &renewal,
						 now))
			count++;
	assert_in_range(count, 4, 8);
}

static guint64 asked_from(fixture_t *f, GTimeSpan now)
{
	subscription_renewal_t renewal;
	guint64 change = 0;

	while (subscription_next_renewal(f->subscription, &renewal, now))
		if (strcmp(renewal.name, "s-1") == 0)
			change = renewal.position.change;
	return change;
}

/* Fails when changes in a lost message are never asked for again. */
static void lost_message_is_asked_for_again(void **state)
{
	fixture_t *f = *state;
	subscription_update_t update = { .name = "s-1",
					 .incarnation = 1,
					 .from = 0,
					 .to = 4,
					 .in_contact = TRUE };

	subscription_update_received(f->subscription, &update, NOW);
	update.from = 6;
	update.to = 9;
	subscription_update_received(f->subscription, &update, NOW);
	assert_int_equal(asked_from(f, NOW), 4);
	update.incarnation = 2;
	update.from = 1;
	update.to = 2;
	subscription_update_received(f->subscription, &update, NOW);
	assert_int_equal(asked_from(f, NOW + BOUND), 2);
}

/* Fails when a subscriber misses a change, or is told when there is none. */
static void subscribers_are_told_of_changes(void **state)
{
	fixture_t *f = *state;
	subscriber_t *subscriber;

	subscription_renew_subscriber(f->subscription, 7, 3, FALSE, NOW);
	assert_null(subscription_next_to_notify(f->subscription, 3, NOW));
	subscriber = subscription_next_to_notify(f->subscription, 4, NOW);
	assert_int_equal(subscriber->connection, 7);
	subscriber->change = 4;
	assert_null(subscription_next_to_notify(f->subscription, 4, NOW));
	subscription_notify_all(f->subscription);
	assert_non_null(subscription_next_to_notify(f->subscription, 4, NOW));
	assert_null(subscription_next_to_notify(f->subscription, 4, NOW));
}

/* Fails when a source goes on telling an instance that is gone. */
static void subscribers_expire(void **state)
{
	fixture_t *f = *state;

	subscription_renew_subscriber(f->subscription, 7, 3, FALSE, NOW);
	subscription_renew_subscriber(f->subscription, 8, 3, FALSE, NOW);
	subscription_remove_connection(f->subscription, 8);
	assert_int_equal(subscription_subscriber_count(f->subscription), 1);
	assert_null(subscription_next_to_notify(f->subscription, 9,
						NOW + 10 * BOUND));
	assert_int_equal(subscription_subscriber_count(f->subscription), 0);
}

/*
 * Fails when an instance whose watch was swallowed does not notice in time that
 * others know more (soak seed 140), or when one that is in its pause between two
 * watches is taken for such a one.
 */
static void swallowed_watch_is_noticed(void **state)
{
	const GTimeSpan pause = BOUND / 3;
	fixture_t *f = *state;

	subscription_record_store_read(f->subscription, 100, TRUE);
	subscription_record_remote_revision(f->subscription, 100, NOW);
	assert_false(subscription_detect_stalled_watch(f->subscription,
						       NOW + BOUND));
	subscription_record_remote_revision(f->subscription, 104, NOW);
	assert_false(subscription_detect_stalled_watch(f->subscription,
						       NOW + pause));
	assert_true(subscription_detect_stalled_watch(f->subscription,
						      NOW + BOUND - pause));
	assert_false(subscription_detect_stalled_watch(f->subscription,
						       NOW + BOUND));
}

/* Fails when a watch that has caught up is dropped. */
static void watch_that_caught_up_stays(void **state)
{
	fixture_t *f = *state;

	subscription_record_store_read(f->subscription, 100, TRUE);
	subscription_record_remote_revision(f->subscription, 104, NOW);
	subscription_record_store_read(f->subscription, 105, TRUE);
	assert_false(subscription_detect_stalled_watch(f->subscription,
						       NOW + BOUND));
	assert_int_equal(subscription_watch_revision(f->subscription), 105);
	/* A list is no news: others must not believe that they miss changes. */
	subscription_record_store_read(f->subscription, 200, FALSE);
	assert_int_equal(subscription_watch_revision(f->subscription), 105);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(one_source_suffices),
		TEST(silent_sources_are_missed_in_time),
		TEST(store_that_is_away_is_tried_rarely),
		TEST(renewals_are_paced),
		TEST(lost_message_is_asked_for_again),
		TEST(subscribers_are_told_of_changes),
		TEST(subscribers_expire),
		TEST(swallowed_watch_is_noticed),
		TEST(watch_that_caught_up_stays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
