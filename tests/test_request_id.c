/* Tests that an id is dispatched at most once, and never after it is sealed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/request_id/request_id.h"

#define LIFETIME 1000
#define RETENTION 500

typedef struct {
	counters_t counters;
	request_ids_t *ids;
	guint64 first;
} fixture_t;

static int set_up(void **state)
{
	static const request_ids_limits_t limits = { .block_size = 4,
						     .lifetime = LIFETIME,
						     .retention = RETENTION,
						     .answer_bytes_max = 10 };
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->ids = request_ids_new(&limits, &fixture->counters);
	fixture->first = request_ids_issue(fixture->ids, 0).first;
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	request_ids_free(fixture->ids);
	g_free(fixture);
	return 0;
}

static request_id_state_t begin(fixture_t *fixture, guint64 sequence,
				GTimeSpan now)
{
	const held_answer_t *answer = NULL;

	return request_ids_begin(fixture->ids, sequence, 7, now, &answer);
}

/* Fails if a duplicate of a request can be dispatched. */
static void id_is_dispatched_once(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(begin(f, f->first, 1), REQUEST_ID_NEW);
	assert_int_equal(begin(f, f->first, 2), REQUEST_ID_IN_PROGRESS);
	assert_true(request_ids_dispatch(f->ids, f->first, 3));
	assert_false(request_ids_dispatch(f->ids, f->first, 4));
}

/* Fails if a request that was reported as not run can still be dispatched. */
static void seal_is_final(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(begin(f, f->first, 1), REQUEST_ID_NEW);
	request_ids_seal(f->ids, f->first);
	assert_int_equal(begin(f, f->first, 2), REQUEST_ID_SEALED);
	assert_false(request_ids_dispatch(f->ids, f->first, 2));
}

/*
 * Fails if an id is dispatched after its expiry, for example after a pause of
 * the process.
 */
static void expired_id_is_not_dispatched(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(begin(f, f->first, 1), REQUEST_ID_NEW);
	assert_false(request_ids_dispatch(f->ids, f->first, LIFETIME));
	assert_int_equal(begin(f, f->first + 1, LIFETIME), REQUEST_ID_EXPIRED);
}

/* Fails if an id whose record is purged is reported as not run. */
static void purged_id_is_not_reported_not_run(void **state)
{
	fixture_t *f = *state;

	request_ids_expire(f->ids, LIFETIME + RETENTION);
	assert_int_equal(begin(f, f->first, LIFETIME + RETENTION),
			 REQUEST_ID_PURGED);
	assert_int_equal(begin(f, f->first + 4, 1), REQUEST_ID_NOT_ISSUED);
}

/*
 * Fails if the size of held answers is not limited, or when a duplicate does
 * not get the held answer.
 */
static void held_answers_are_limited(void **state)
{
	GBytes *body = g_bytes_new_static("123456", 6);
	const held_answer_t *answer = NULL;
	fixture_t *f = *state;
	guint64 i;

	for (i = 0; i < 2; i++) {
		assert_int_equal(begin(f, f->first + i, 1), REQUEST_ID_NEW);
		request_ids_complete(f->ids, f->first + i, 200, body);
	}
	assert_int_equal(begin(f, f->first, 2), REQUEST_ID_ANSWER_DROPPED);
	assert_int_equal(request_ids_begin(f->ids, f->first + 1, 7, 2, &answer),
			 REQUEST_ID_ANSWERED);
	assert_int_equal(g_bytes_get_size(answer->body), 6);
	assert_int_equal(request_ids_begin(f->ids, f->first + 1, 8, 2, &answer),
			 REQUEST_ID_CONFLICT);
	g_bytes_unref(body);
}

/* Fails if a malformed id is accepted. */
static void malformed_ids_are_refused(void **state)
{
	static const char *const texts[] = { "",     "a",     "a.b",   "a.1",
					     ".1.2", "a.1.x", "a.-1.2" };
	catk_error_t error;
	request_id_t id;
	gsize i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_false(request_id_parse(texts[i], &id, &error));
	assert_true(request_id_parse("entry-1.12.3", &id, &error));
	assert_string_equal(id.instance, "entry-1");
	assert_int_equal(id.incarnation, 12);
	assert_int_equal(id.sequence, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(id_is_dispatched_once, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(seal_is_final, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(expired_id_is_not_dispatched,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			purged_id_is_not_reported_not_run, set_up, tear_down),
		cmocka_unit_test_setup_teardown(held_answers_are_limited,
						set_up, tear_down),
		cmocka_unit_test(malformed_ids_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
