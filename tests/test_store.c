/*
 * Tests the client of the metadata store with answers that are cut, or that come
 * from another era of the store: a part of a list or of a watch must not be
 * taken for the whole, which would remove endpoints or lose changes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "lib/common/store_position.h"
#include "net/system_clock.h"
#include "platform/store.h"
#include "tests/support.h"
#include "tests/support_answers.h"

#define STORE_PORT 740
#define SMALL_PIECE_BYTES 7
#define RECONNECT_BOUND (3 * G_TIME_SPAN_SECOND)
#define OBJECTS 2 /* in each answer */

typedef struct {
	answer_server_t *server;
	store_t *store;
	counters_t counters;
	gboolean ended;
	feed_outcome_t outcome; /* of the last call */
	guint objects;
	gboolean more;
	guint64 as_of;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", test_port(STORE_PORT));

	f->server = answer_server_new(test_port(STORE_PORT));
	f->store = store_new(address, RECONNECT_BOUND, &system_clock,
			     &f->counters);
	g_free(address);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	store_free(f->store);
	answer_server_free(f->server);
	g_free(f);
	return 0;
}

static void on_done(void *ctx, const store_result_t *result)
{
	fixture_t *f = ctx;

	f->ended = TRUE;
	f->outcome = result->outcome;
	f->objects = result->objects->len;
	f->more = result->more;
	f->as_of = result->as_of;
}

static void make_step(fixture_t *f, const feed_step_t *step,
		      const raw_answer_t *answer)
{
	gint64 limit = g_get_monotonic_time() + 5 * G_TIME_SPAN_SECOND;

	answer_server_set(f->server, answer);
	f->ended = FALSE;
	store_call(f->store, FEED_ENDPOINTS, step, on_done, f);
	while (!f->ended && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, FALSE);
	assert_true(f->ended);
}

static void call_store(fixture_t *f, feed_step_kind_t kind,
		       const raw_answer_t *answer)
{
	const feed_step_t step = {
		.kind = kind,
		.revision = 1,
		.timeout = 5 * G_TIME_SPAN_SECOND,
	};

	make_step(f, &step, answer);
}

#define ONE "{\"metadata\":{\"name\":\"i-1\",\"revision\":7},\"spec\":{}}"
#define TWO "{\"metadata\":{\"name\":\"i-2\",\"revision\":8},\"spec\":{}}"
#define LIST "{\"items\":[" ONE "," TWO "],\"as_of\":812,\"more\":true}"
#define CHANGES                                           \
	"{\"events\":[{\"deleted\":false,\"object\":" ONE \
	"},{\"deleted\":true,\"object\":" TWO             \
	"}],\"more\":true,\"as_of\":812}"
#define OK "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

typedef enum { WITH_LENGTH, WITH_CHUNKS, WITHOUT_LENGTH, FRAMINGS } framing_t;

static gchar *format_answer(framing_t framing, const char *body)
{
	gsize half = strlen(body) / 2;

	if (framing == WITH_LENGTH)
		return g_strdup_printf(OK "Content-Length: %zu\r\n\r\n%s",
				       strlen(body), body);
	if (framing == WITHOUT_LENGTH)
		return g_strdup_printf(OK "\r\n%s", body);
	return g_strdup_printf(OK "Transfer-Encoding: chunked\r\n\r\n"
				  "%zx\r\n%.*s\r\n%zx\r\n%s\r\n0\r\n\r\n",
			       half, (int)half, body, strlen(body) - half,
			       body + half);
}

static void check_answer(fixture_t *f, feed_step_kind_t kind,
			 const raw_answer_t *answer, gboolean whole)
{
	call_store(f, kind, answer);
	if ((f->outcome == FEED_ANSWERED) != whole)
		fail_msg("outcome %d, end %d, after %zu bytes of: %s",
			 f->outcome, answer->end, answer->size, answer->text);
	assert_int_equal(f->objects, whole ? OBJECTS : 0);
	if (!whole)
		return;
	assert_int_equal(f->as_of, 812);
	assert_true(f->more);
}

static void check_cuts(fixture_t *f, feed_step_kind_t kind, framing_t framing,
		       const char *body)
{
	gchar *text = format_answer(framing, body);
	raw_answer_t answer = { .text = text };

	for (answer.size = 0; answer.size <= strlen(text); answer.size++) {
		gboolean whole = answer.size == strlen(text);

		answer.piece = answer.size % 2 ? SMALL_PIECE_BYTES : 0;
		answer.end = ANSWER_CLOSE;
		check_answer(f, kind, &answer, whole);
		answer.end = ANSWER_RESET;
		check_answer(f, kind, &answer,
			     whole && framing != WITHOUT_LENGTH);
	}
	/* The next call uses the connection of this one. */
	if (framing != WITHOUT_LENGTH) {
		answer.size = strlen(text);
		answer.end = ANSWER_KEEP;
		check_answer(f, kind, &answer, TRUE);
	}
	g_free(text);
}

/* Fails if a cut list counts as a whole one, which removes endpoints. */
static void cut_list_is_no_shorter_list(void **state)
{
	framing_t framing;

	for (framing = WITH_LENGTH; framing < FRAMINGS; framing++)
		check_cuts(*state, FEED_LIST, framing, LIST);
}

/* Fails if a cut answer to a watch loses the changes that are missing. */
static void cut_changes_are_not_the_whole(void **state)
{
	framing_t framing;

	for (framing = WITH_LENGTH; framing < FRAMINGS; framing++)
		check_cuts(*state, FEED_WATCH, framing, CHANGES);
}

/* Makes a step and answers it in an era, -1 for an answer without one. */
static feed_outcome_t step_in_era(fixture_t *f, feed_step_kind_t kind,
				  guint64 revision, const char *after, int era)
{
	const feed_step_t step = {
		.kind = kind,
		.revision = revision,
		.after = after,
		.timeout = 5 * G_TIME_SPAN_SECOND,
	};
	const char *body = kind == FEED_WATCH ? CHANGES : LIST;
	gchar *header = era < 0 ? g_strdup("") :
				  g_strdup_printf("Store-Era: %d\r\n", era);
	gchar *text = g_strdup_printf(OK "%sContent-Length: %zu\r\n\r\n%s",
				      header, strlen(body), body);
	raw_answer_t answer = { .text = text,
				.size = strlen(text),
				.end = ANSWER_KEEP };

	make_step(f, &step, &answer);
	g_free(header);
	g_free(text);
	return f->outcome;
}

/*
 * Fails if a watch continues in a restored store, which may have assigned its
 * revision again to another change.
 */
static void watch_does_not_continue_in_a_new_era(void **state)
{
	fixture_t *f = *state;
	guint64 first;

	assert_int_equal(step_in_era(f, FEED_LIST, 0, NULL, 4), FEED_ANSWERED);
	first = f->as_of;
	assert_int_equal(store_position_revision(first), 812);
	assert_int_equal(step_in_era(f, FEED_WATCH, first, NULL, 4),
			 FEED_ANSWERED);
	assert_int_equal(step_in_era(f, FEED_WATCH, first, NULL, 5),
			 FEED_HISTORY_LOST);
	assert_int_equal(f->objects, 0);
	assert_int_equal(step_in_era(f, FEED_LIST, 0, NULL, 5), FEED_ANSWERED);
	assert_true(f->as_of > first);
}

/* Fails if a list is put together from pages of two eras. */
static void list_does_not_continue_in_a_new_era(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(step_in_era(f, FEED_LIST, 0, NULL, -1), FEED_ANSWERED);
	assert_int_equal(step_in_era(f, FEED_LIST, 0, "i-2", -1),
			 FEED_ANSWERED);
	assert_int_equal(step_in_era(f, FEED_LIST, 0, "i-2", 1),
			 FEED_HISTORY_LOST);
	assert_int_equal(f->objects, 0);
}

/* Fails if a delayed answer brings back the state of an earlier era. */
static void answer_of_an_earlier_era_is_discarded(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(step_in_era(f, FEED_LIST, 0, NULL, 7), FEED_ANSWERED);
	assert_int_equal(step_in_era(f, FEED_LIST, 0, NULL, 6), FEED_FAILED);
	assert_int_equal(f->objects, 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(watch_does_not_continue_in_a_new_era),
		TEST(list_does_not_continue_in_a_new_era),
		TEST(answer_of_an_earlier_era_is_discarded),
		TEST(cut_list_is_no_shorter_list),
		TEST(cut_changes_are_not_the_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
