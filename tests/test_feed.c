/*
 * Tests the order of lists and watches, and the retries after failures: no
 * change in the store may be missed, and an outage must not delay changes for
 * long after its end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/feed/feed.h"

#define NOW (100 * G_TIME_SPAN_SECOND)
#define PAUSE (700 * G_TIME_SPAN_MILLISECOND)

typedef struct {
	GRand *random;
	feed_t *feed;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->random = g_rand_new_with_seed(1);
	f->feed = feed_new(PAUSE, f->random);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	feed_free(f->feed);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

/*
 * Fails if a watch starts at the revision of the last page, which misses
 * changes of objects on earlier pages.
 */
static void watch_starts_at_the_first_page(void **state)
{
	fixture_t *f = *state;
	feed_step_t step = feed_next(f->feed, NOW);

	assert_int_equal(step.kind, FEED_LIST);
	assert_null(step.after);
	feed_page_read(f->feed, 500, "m", TRUE, NOW);
	step = feed_next(f->feed, NOW);
	assert_int_equal(step.kind, FEED_LIST);
	assert_string_equal(step.after, "m");
	feed_page_read(f->feed, 510, "z", FALSE, NOW);
	step = feed_next(f->feed, NOW);
	assert_int_equal(step.kind, FEED_WATCH);
	assert_int_equal(step.revision, 500);
}

/* Fails if an answer with a lower revision moves the watch back. */
static void revision_never_decreases(void **state)
{
	fixture_t *f = *state;

	feed_page_read(f->feed, 500, NULL, FALSE, NOW);
	feed_changes_read(f->feed, 520, 0, NOW);
	feed_changes_read(f->feed, 510, 0, NOW);
	assert_int_equal(feed_next(f->feed, NOW).revision, 520);
}

/*
 * Fails if a watch continues although the store no longer has the changes
 * since its revision, so that they are missed.
 */
static void lost_history_restarts_the_list(void **state)
{
	fixture_t *f = *state;

	feed_page_read(f->feed, 500, "a", FALSE, NOW);
	feed_history_lost(f->feed);
	assert_int_equal(feed_next(f->feed, NOW).kind, FEED_LIST);
	feed_page_read(f->feed, 900, "a", FALSE, NOW);
	assert_int_equal(feed_next(f->feed, NOW).revision, 900);
}

/* Fails if a list that failed continues after pages that may be outdated. */
static void failed_list_restarts(void **state)
{
	fixture_t *f = *state;

	feed_page_read(f->feed, 500, "m", TRUE, NOW);
	feed_failed(f->feed, NOW);
	assert_null(feed_next(f->feed, NOW + G_TIME_SPAN_SECOND).after);
}

/*
 * Fails if the backoff after a long outage reaches 1 s. Entries that may have
 * expired are kept for another 2 s after the store was reached. Both times must
 * end within 3 s of the outage, when the instance counts as connected.
 */
static void backoff_stays_below_a_second(void **state)
{
	fixture_t *f = *state;
	feed_step_t step;
	guint i;

	for (i = 0; i < 100; i++) {
		feed_failed(f->feed, NOW);
		step = feed_next(f->feed, NOW);
		assert_int_equal(step.kind, FEED_WAIT);
		assert_true(step.until - NOW < G_TIME_SPAN_SECOND);
	}
}

/*
 * Fails if a watch that is sent during an outage, and may never be answered,
 * blocks the feed for longer than the 3 s until the instance counts as
 * connected.
 */
static void watch_during_an_outage_has_a_short_timeout(void **state)
{
	fixture_t *f = *state;
	feed_step_t step;

	feed_page_read(f->feed, 500, NULL, FALSE, NOW);
	feed_failed(f->feed, NOW);
	step = feed_next(f->feed, NOW + G_TIME_SPAN_SECOND);
	assert_int_equal(step.kind, FEED_WATCH);
	assert_true(step.watch_timeout <= G_TIME_SPAN_SECOND);
	feed_changes_read(f->feed, 500, 0, NOW);
	step = feed_next(f->feed, NOW + G_TIME_SPAN_SECOND);
	assert_true(step.watch_timeout > G_TIME_SPAN_SECOND);
}

/* Fails if each of many changes in quick succession costs a request. */
static void changes_are_batched(void **state)
{
	fixture_t *f = *state;
	feed_step_t step;

	feed_page_read(f->feed, 500, NULL, FALSE, NOW);
	feed_changes_read(f->feed, 501, 1, NOW);
	step = feed_next(f->feed, NOW);
	assert_int_equal(step.kind, FEED_WAIT);
	assert_int_equal(step.until - NOW, PAUSE);
	assert_int_equal(feed_next(f->feed, step.until).kind, FEED_WATCH);
	feed_changes_read(f->feed, 502, 0, step.until);
	assert_int_equal(feed_next(f->feed, step.until).kind, FEED_WATCH);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(watch_starts_at_the_first_page),
		TEST(revision_never_decreases),
		TEST(lost_history_restarts_the_list),
		TEST(failed_list_restarts),
		TEST(backoff_stays_below_a_second),
		TEST(watch_during_an_outage_has_a_short_timeout),
		TEST(changes_are_batched),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
