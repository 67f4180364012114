/* Guards what is believed of endpoints while the store is away. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/catalogue/catalogue.h"

#define NOW (100 * G_TIME_SPAN_SECOND)
#define AS_OF 1000 /* revision of the store, after all entries */

typedef struct {
	catalogue_t *catalogue;
	endpoint_info_t infos[8]; /* as last reported of service "s" */
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

	f->catalogue = catalogue_new(on_changed, f);
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

static void put(fixture_t *f, const char *id, gint64 born, guint64 sequence,
		gboolean leaving)
{
	catalogue_entry_t entry = { .service = "s",
				    .start_time = born,
				    .sequence = sequence };

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	g_strlcpy(entry.info.address, "127.0.0.1:1",
		  sizeof(entry.info.address));
	entry.info.leaving = leaving;
	catalogue_put(f->catalogue, &entry, NOW);
}

/* Fails when a late statement revives an endpoint that leaves. */
static void older_statement_changes_nothing(void **state)
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

/* Fails when a restart under the same id is taken for an old statement. */
static void restart_counts_anew(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 700, TRUE);
	put(f, "i-1", 11, 1, FALSE);
	catalogue_tick(f->catalogue, NOW);
	assert_false(f->infos[0].leaving);
}

/* Fails when an endpoint that left is kept although the store was there. */
static void removal_counts_at_once(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	catalogue_remove(f->catalogue, "i-1", NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 0);
}

/*
 * Fails when an endpoint that is missing after an outage goes on like the
 * others (fjordfiber-reg scale-2, seed 415767134561: a request reached one 12 s
 * after it had left), or when all lapsed endpoints are lost at once.
 */
static void lapse_is_doubtful_then_gone(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	put(f, "i-2", 10, 1, FALSE);
	catalogue_contact_lost(f->catalogue);
	catalogue_contact_regained(f->catalogue, NOW);
	catalogue_begin_list(f->catalogue);
	put(f, "i-2", 10, 2, FALSE);
	catalogue_end_list(f->catalogue, AS_OF, NOW);
	catalogue_tick(f->catalogue, NOW);
	assert_int_equal(f->count, 2);
	assert_true(f->infos[0].doubtful);
	assert_false(f->infos[1].doubtful);
	assert_int_equal(catalogue_next_wakeup(f->catalogue),
			 NOW + CATALOGUE_RETURN_TIME);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_RETURN_TIME);
	assert_int_equal(f->count, 1);
	assert_string_equal(f->infos[0].id, "i-2");
}

/* Fails when an entry that comes back after the outage stays doubtful. */
static void returned_entry_is_trusted(void **state)
{
	fixture_t *f = *state;

	put(f, "i-1", 10, 1, FALSE);
	catalogue_contact_lost(f->catalogue);
	catalogue_contact_regained(f->catalogue, NOW);
	catalogue_remove(f->catalogue, "i-1", NOW);
	put(f, "i-1", 10, 2, FALSE);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_RETURN_TIME);
	assert_int_equal(f->count, 1);
	assert_false(f->infos[0].doubtful);
}

/* Fails when an endpoint that changed its service stays with the first one. */
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

/* A statement about an endpoint of service "s". */
static gboolean merge(fixture_t *f, const char *id, catalogue_state_t state,
		      guint64 revision)
{
	catalogue_change_t statement = { .state = state,
					 .entry = { .service = "s",
						    .start_time = 10,
						    .revision = revision } };

	g_strlcpy(statement.entry.info.id, id, sizeof(statement.entry.info.id));
	return catalogue_merge(f->catalogue, &statement, NOW);
}

static void put_revision(fixture_t *f, const char *id, guint64 revision)
{
	catalogue_entry_t entry = { .service = "s",
				    .start_time = 10,
				    .revision = revision };

	g_strlcpy(entry.info.id, id, sizeof(entry.info.id));
	catalogue_put(f->catalogue, &entry, NOW);
}

static gsize known(fixture_t *f)
{
	catalogue_tick(f->catalogue, NOW);
	return f->count;
}

/* Fails when a source that lags revives an endpoint that is gone. */
static void late_statement_does_not_revive(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 5);
	assert_true(merge(f, "i-1", CATALOGUE_REMOVED, 6));
	assert_int_equal(known(f), 0);
	assert_false(merge(f, "i-1", CATALOGUE_PRESENT, 5));
	assert_int_equal(known(f), 0);
	assert_true(merge(f, "i-1", CATALOGUE_PRESENT, 8));
	assert_int_equal(known(f), 1);
}

/*
 * Fails when a removal is ignored because the receiver read the same entry with
 * a later sequence: the sequence rises without a change in the store.
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
	assert_int_equal(known(f), 0);
}

/* Fails when a removal of an earlier registration takes out a newer one. */
static void older_removal_changes_nothing(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 9);
	assert_false(merge(f, "i-1", CATALOGUE_REMOVED, 6));
	assert_int_equal(known(f), 1);
}

/* Fails when a list removes what others told of after the list began. */
static void list_keeps_what_is_newer(void **state)
{
	fixture_t *f = *state;

	catalogue_begin_list(f->catalogue);
	merge(f, "i-2", CATALOGUE_PRESENT, 60);
	merge(f, "i-3", CATALOGUE_PRESENT, 40);
	catalogue_end_list(f->catalogue, 50, NOW);
	assert_int_equal(known(f), 1);
	assert_string_equal(f->infos[0].id, "i-2");
}

/* Fails when a doubtful endpoint of a source is used like the others. */
static void doubt_is_passed_on(void **state)
{
	fixture_t *f = *state;

	put_revision(f, "i-1", 5);
	assert_true(merge(f, "i-1", CATALOGUE_DOUBTFUL, 5));
	assert_int_equal(known(f), 1);
	assert_true(f->infos[0].doubtful);
	catalogue_tick(f->catalogue, NOW + CATALOGUE_RETURN_TIME);
	assert_int_equal(f->count, 0);
}

static guint changes(const fixture_t *f, guint64 since, gboolean own_only)
{
	GArray *statements =
		catalogue_changes_since(f->catalogue, since, own_only, NOW);
	guint count = statements->len;

	g_array_unref(statements);
	return count;
}

/*
 * Fails when a subscriber is told of what its own list has, misses a change, or
 * when sources tell each other what they heard from each other.
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
	assert_int_equal(changes(f, 0, FALSE), 3);
	assert_int_equal(changes(f, first, FALSE), 2);
	assert_int_equal(changes(f, first, TRUE), 1);
	put_revision(f, "i-3", 4);
	assert_int_equal(changes(f, 0, FALSE), 3);
	assert_int_equal(catalogue_history_start(f->catalogue, NOW), 0);
	assert_int_equal(catalogue_history_start(f->catalogue,
						 NOW + CATALOGUE_RECENT + 1),
			 catalogue_last_change(f->catalogue));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(older_statement_changes_nothing),
		TEST(restart_counts_anew),
		TEST(removal_counts_at_once),
		TEST(lapse_is_doubtful_then_gone),
		TEST(returned_entry_is_trusted),
		TEST(service_may_change),
		TEST(late_statement_does_not_revive),
		TEST(removal_is_ordered_by_revision),
		TEST(older_removal_changes_nothing),
		TEST(list_keeps_what_is_newer),
		TEST(doubt_is_passed_on),
		TEST(changes_are_numbered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
