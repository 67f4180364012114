/*
 * Tests the set of evacuated data centres: it must follow the store and other
 * instances, and an older set must never replace a newer one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/evacuation/evacuation.h"

typedef struct {
	evacuations_t *evacuations;
	counters_t counters;
	guint changes;
} fixture_t;

static void on_changed(void *ctx)
{
	fixture_t *f = ctx;

	f->changes++;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	const evacuations_events_t events = { .changed = on_changed,
					      .counters = &f->counters,
					      .ctx = f };

	f->evacuations = evacuations_new(&events);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	evacuations_free(f->evacuations);
	g_free(f);
	return 0;
}

/* Fails if an evacuation that a list does not contain goes on. */
static void list_replaces_the_set(void **state)
{
	fixture_t *f = *state;

	evacuations_begin_list(f->evacuations);
	evacuations_put(f->evacuations, "a");
	evacuations_put(f->evacuations, "b");
	evacuations_end_list(f->evacuations, 10);
	assert_true(evacuations_contains(f->evacuations, "a"));
	assert_int_equal(f->changes, 1);
	evacuations_begin_list(f->evacuations);
	evacuations_put(f->evacuations, "b");
	evacuations_end_list(f->evacuations, 20);
	assert_false(evacuations_contains(f->evacuations, "a"));
	assert_true(evacuations_contains(f->evacuations, "b"));
	assert_int_equal(evacuations_position(f->evacuations), 20);
	assert_int_equal(f->changes, 2);
}

/*
 * Fails if an instance that reads no change announces a new position: all others
 * would ask for a set that they have.
 */
static void position_changes_only_with_the_set(void **state)
{
	fixture_t *f = *state;

	evacuations_begin_list(f->evacuations);
	evacuations_end_list(f->evacuations, 10);
	assert_int_equal(evacuations_position(f->evacuations), 10);
	evacuations_changes_read(f->evacuations, 20);
	assert_int_equal(evacuations_position(f->evacuations), 10);
	evacuations_put(f->evacuations, "a");
	evacuations_changes_read(f->evacuations, 30);
	assert_int_equal(evacuations_position(f->evacuations), 30);
	evacuations_remove(f->evacuations, "a");
	evacuations_changes_read(f->evacuations, 40);
	assert_int_equal(evacuations_position(f->evacuations), 40);
	assert_false(evacuations_contains(f->evacuations, "a"));
}

/* Fails if a delayed message of another instance ends or starts an evacuation. */
static void older_set_does_not_replace_a_newer_one(void **state)
{
	static const char *const names[] = { "a" };
	fixture_t *f = *state;

	assert_true(evacuations_replace(f->evacuations, names, 1, 10, "e2"));
	assert_true(evacuations_contains(f->evacuations, "a"));
	assert_false(evacuations_replace(f->evacuations, NULL, 0, 9, "e3"));
	assert_true(evacuations_contains(f->evacuations, "a"));
	assert_true(evacuations_replace(f->evacuations, NULL, 0, 11, "e3"));
	assert_false(evacuations_contains(f->evacuations, "a"));
	assert_false(evacuations_replace(f->evacuations, names, 1, 10, "e2"));
	assert_false(evacuations_contains(f->evacuations, "a"));
}

/* Fails if a name that cannot be one of a data centre is kept or ends others. */
static void invalid_names_are_ignored(void **state)
{
	char name[EVACUATION_NAME_MAX + 2];
	fixture_t *f = *state;

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	evacuations_begin_list(f->evacuations);
	evacuations_put(f->evacuations, name);
	evacuations_put(f->evacuations, "");
	evacuations_put(f->evacuations, "a");
	evacuations_end_list(f->evacuations, 10);
	assert_int_equal(evacuations_count(f->evacuations), 1);
	assert_true(evacuations_contains(f->evacuations, "a"));
	assert_int_equal(f->counters.value[COUNTER_EVACUATIONS_IGNORED], 2);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(list_replaces_the_set),
		TEST(position_changes_only_with_the_set),
		TEST(older_set_does_not_replace_a_newer_one),
		TEST(invalid_names_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
