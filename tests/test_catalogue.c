/*
 * Tests the catalogue of endpoints, above all during outages of the store:
 * outdated entries must not hide newer ones, and none may be lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/catalogue/catalogue.h"
#include "lib/common/store_position.h"

#define NOW (100 * G_TIME_SPAN_SECOND)
#define LIST_REVISION 1000 /* above the revisions of all entries */

typedef struct {
	catalogue_t *catalogue;
	endpoint_info_t infos[8]; /* as last reported for service "s" */
	gsize count;
	guint reports;
} fixture_t;

static void on_changed(void *ctx, const char *service,
		       const endpoint_info_t *infos, gsize count)
{
	fixture_t *f = ctx;

	if (strcmp(service, "s") != 0)
		return;
	memcpy(f->infos, infos, count * sizeof(*infos));
	f->count = count;
	f->reports++;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	catalogue_events_t events = { .changed = on_changed, .ctx = f };

	f->catalogue = catalogue_new(&events);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	catalogue_free(f->catalogue);
	g_free(f);
	return 0;
}

static void put(fixture_t *f, const char *id, gint64 start_time,
		guint64 sequence, gboolean leaving)
{
	catalogue_entry_t entry = { .service = "s",
				    .start_time = start_time,
				    .sequence = sequence };

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	g_strlcpy(entry.info.address, "127.0.0.1:1",
		  sizeof(entry.info.address));
	entry.info.leaving = leaving;
	catalogue_put(f->catalogue, &entry, NOW);
}

/* Fails if a delayed older entry makes a leaving endpoint available again. */
static void older_entry_is_ignored(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 7, TRUE);
	put(f, "i-1", 10, 6, FALSE);
	catalogue_tick(f->catalogue, NOW);
	assert_true(f->infos[0].leaving);
	put(f, "i-1", 9, 100, FALSE);
	catalogue_tick(f->catalogue, NOW);
	assert_true(f->infos[0].leaving);
}

/*
 * Fails if the entry of a restarted endpoint is ignored as outdated because
 * its sequence starts again.
 */
static void restart_resets_the_sequence(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 700, TRUE);
	put(f, "i-1", 11, 1, FALSE);
	catalogue_tick(f->catalogue, NOW);
	assert_false(f->infos[0].leaving);
}

static void put_in_era(fixture_t *f, const char *id, guint64 sequence,
		       guint64 era)
{
	catalogue_entry_t entry = { .service = "s",
				    .start_time = 10,
				    .sequence = sequence,
				    .revision = store_position(era, 5) };

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	g_strlcpy(entry.info.address, "127.0.0.1:1",
		  sizeof(entry.info.address));
	catalogue_put(f->catalogue, &entry, NOW);
}

/*
 * Fails if a store that was restored from an older copy brings back an endpoint
 * that has left, or if one that registers there again is ignored.
 */
static void removed_endpoint_is_not_restored(void **state)
{
	fixture_t *f = *state;

	put_in_era(f, "i-1", 7, 0);
	put_in_era(f, "i-2", 7, 0);
	catalogue_remove(f->catalogue, "i-1", NOW);
	catalogue_begin_list(f->catalogue);
	put_in_era(f, "i-1", 6, 1);
	put_in_era(f, "i-2", 6, 1);
	catalogue_end_list(f->catalogue, store_position(1, 5), NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 1);
	assert_string_equal(f->infos[0].id, "i-2");
	put_in_era(f, "i-1", 8, 1);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 2);
}

/* Fails if a removal is delayed although there was no outage of the store. */
static void removal_is_immediate(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	catalogue_remove(f->catalogue, "i-1", NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 0);
}

/*
 * Fails if an endpoint that is missing after an outage of the store is used
 * like the others, so that a request reaches one that has left (seen 12 s after
 * it had left: site fjordfiber-reg scale-2, seed 415767134561), or if the
 * entries that expired during the outage are all removed at once.
 */
static void missing_entry_is_doubtful_then_removed(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	put(f, "i-2", 10, 1, FALSE);
	catalogue_contact_lost(f->catalogue);
	catalogue_contact_regained(f->catalogue, CATK_NEVER, NOW);
	catalogue_begin_list(f->catalogue);
	put(f, "i-2", 10, 2, FALSE);
	catalogue_end_list(f->catalogue, LIST_REVISION, NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 2);
	assert_true(f->infos[0].doubtful);
	assert_false(f->infos[1].doubtful);
	assert_int_equal(catalogue_next_wakeup(f->catalogue),
			 NOW + CATALOGUE_REREGISTRATION_TIME);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_REREGISTRATION_TIME);
	assert_int_equal(f->count, 1);
	assert_string_equal(f->infos[0].id, "i-2");
}

/* Fails if a removal is delayed beyond the instant at which it is due. */
static void late_removal_is_not_delayed_further(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	put(f, "i-2", 10, 1, FALSE);
	catalogue_contact_lost(f->catalogue);
	catalogue_contact_regained(f->catalogue, NOW + 10, NOW);
	catalogue_remove(f->catalogue, "i-1", NOW);
	assert_int_equal(catalogue_next_wakeup(f->catalogue), NOW + 10);
	catalogue_remove(f->catalogue, "i-2", NOW + 10);
	catalogue_tick(f->catalogue, NOW + 10);
	assert_int_equal(f->count, 0);
}

/* Fails if an endpoint stays doubtful after it has registered again. */
static void reregistered_entry_is_not_doubtful(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	catalogue_contact_lost(f->catalogue);
	catalogue_contact_regained(f->catalogue, CATK_NEVER, NOW);
	catalogue_remove(f->catalogue, "i-1", NOW);
	put(f, "i-1", 10, 2, FALSE);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_REREGISTRATION_TIME);
	assert_int_equal(f->count, 1);
	assert_false(f->infos[0].doubtful);
}

/* Fails if an endpoint that changes its service stays with the first one. */
static void service_may_change(void **state)
{
	fixture_t *f = *state;
	catalogue_entry_t entry = { .service = "t", .start_time = 11 };

	put(f, "i-1", 10, 1, FALSE);
	catalogue_tick(f->catalogue, NOW);
	g_strlcpy(entry.info.id, "i-1", sizeof(entry.info.id));
	catalogue_put(f->catalogue, &entry, NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 0);
}

/* Merges a change of an endpoint of service "s". */
static gboolean merge(fixture_t *f, const char *id, catalogue_state_t state,
		      guint64 revision)
{
	catalogue_change_t change = { .state = state,
				      .entry = { .service = "s",
						 .start_time = 10,
						 .revision = revision } };

	g_strlcpy(change.entry.info.id, id, sizeof(change.entry.info.id));
	return catalogue_merge(f->catalogue, &change, "e1", NOW);
}

static void put_revision(fixture_t *f, const char *id, guint64 revision)
{
	catalogue_entry_t entry = { .service = "s",
				    .start_time = 10,
				    .revision = revision };

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	catalogue_put(f->catalogue, &entry, NOW);
}

static gsize count_endpoints(fixture_t *f)
{
	catalogue_tick(f->catalogue, NOW);
	return f->count;
}

/*
 * Fails if an outdated change from another instance adds a removed endpoint
 * again.
 */
static void outdated_change_does_not_undo_removal(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 5);
	assert_true(merge(f, "i-1", CATALOGUE_REMOVED, 6));
	assert_int_equal(count_endpoints(f), 0);
	assert_false(merge(f, "i-1", CATALOGUE_PRESENT, 5));
	assert_int_equal(count_endpoints(f), 0);
	assert_true(merge(f, "i-1", CATALOGUE_PRESENT, 8));
	assert_int_equal(count_endpoints(f), 1);
}

/*
 * Fails if a removal is ignored because the receiver knows the entry with a
 * higher sequence: the sequence rises without a new revision in the store.
 */
static void removal_is_ordered_by_revision(void **state)
{
	fixture_t *f = *state;
	catalogue_entry_t entry = {
		.service = "s", .start_time = 10, .sequence = 900, .revision = 5
	};

	g_strlcpy(entry.info.id, "i-1", sizeof(entry.info.id));
	catalogue_put(f->catalogue, &entry, NOW);
	assert_true(merge(f, "i-1", CATALOGUE_REMOVED, 6));
	assert_int_equal(count_endpoints(f), 0);
}

/* Fails if the removal of an earlier registration removes a newer one. */
static void older_removal_is_ignored(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 9);
	assert_false(merge(f, "i-1", CATALOGUE_REMOVED, 6));
	assert_int_equal(count_endpoints(f), 1);
}

/*
 * Fails if the end of a list removes endpoints that were added after the
 * list had started.
 */
static void list_keeps_newer_entries(void **state)
{
	fixture_t *f = *state;

	catalogue_begin_list(f->catalogue);
	merge(f, "i-2", CATALOGUE_PRESENT, 60);
	merge(f, "i-3", CATALOGUE_PRESENT, 40);
	catalogue_end_list(f->catalogue, 50, NOW);
	assert_int_equal(count_endpoints(f), 1);
	assert_string_equal(f->infos[0].id, "i-2");
}

/*
 * Fails if an endpoint that another instance reports as doubtful is used like
 * the others.
 */
static void doubtful_state_is_merged(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 5);
	assert_true(merge(f, "i-1", CATALOGUE_DOUBTFUL, 5));
	assert_int_equal(count_endpoints(f), 1);
	assert_true(f->infos[0].doubtful);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_REREGISTRATION_TIME);
	assert_int_equal(f->count, 0);
}

static guint count_changes(const fixture_t *f, guint64 since, gboolean own_only)
{
	GArray *changes =
		catalogue_changes_since(f->catalogue, since, own_only, NOW);
	guint count = changes->len;

	g_array_unref(changes);
	return count;
}

/*
 * Fails if entries of the first list are sent as changes, when a subscriber
 * misses a change, or when instances send each other the changes that they
 * received from each other.
 */
static void changes_are_numbered(void **state)
{
	fixture_t *f = *state;
	guint64 first;

	catalogue_begin_list(f->catalogue);
	put_revision(f, "i-1", 1);
	put_revision(f, "i-2", 2);
	catalogue_end_list(f->catalogue, 3, NOW);
	assert_int_equal(catalogue_last_change(f->catalogue), 0);
	put_revision(f, "i-3", 4);
	first = catalogue_last_change(f->catalogue);
	catalogue_remove(f->catalogue, "i-1", NOW);
	merge(f, "i-4", CATALOGUE_PRESENT, 7);
	assert_int_equal(count_changes(f, 0, FALSE), 3);
	assert_int_equal(count_changes(f, first, FALSE), 2);
	assert_int_equal(count_changes(f, first, TRUE), 1);
	put_revision(f, "i-3", 4);
	assert_int_equal(count_changes(f, 0, FALSE), 3);
	assert_int_equal(catalogue_history_start(f->catalogue, NOW), 0);
	assert_int_equal(
		catalogue_history_start(f->catalogue,
					NOW + CATALOGUE_HISTORY_TIME + 1),
		catalogue_last_change(f->catalogue));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(removed_endpoint_is_not_restored),
		TEST(older_entry_is_ignored),
		TEST(restart_resets_the_sequence),
		TEST(removal_is_immediate),
		TEST(missing_entry_is_doubtful_then_removed),
		TEST(late_removal_is_not_delayed_further),
		TEST(reregistered_entry_is_not_doubtful),
		TEST(service_may_change),
		TEST(outdated_change_does_not_undo_removal),
		TEST(removal_is_ordered_by_revision),
		TEST(older_removal_is_ignored),
		TEST(list_keeps_newer_entries),
		TEST(doubtful_state_is_merged),
		TEST(changes_are_numbered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
