#include "lib/feed/feed.h"

/*
 * An instance counts as connected again 3 s after an outage, and keeps entries
 * that may have expired for 2 s of them. The store must therefore be called
 * again less than 1 s after its return.
 */
#define BACKOFF_MIN (50 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX (400 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_DOUBLINGS 3

/* Time for the store's answer to arrive after the wait of a watch. */
#define ANSWER_GRACE (1 * G_TIME_SPAN_SECOND)
/*
 * Wait of a watch during an outage. Together with the grace and the longest
 * backoff it is less than reconnect_bound.
 */
#define WATCH_WAIT_MIN (1 * G_TIME_SPAN_SECOND)
/* A list that is not answered within this time is requested again. */
#define LIST_TIMEOUT (1500 * G_TIME_SPAN_MILLISECOND)

struct feed {
	feed_limits_t limits;
	GRand *random;
	gboolean listing;
	gboolean has_listed;
	char *after; /* last object of the pages so far, NULL for none */
	guint64 list_revision; /* of the first page, 0 before it */
	guint64 revision; /* at which the watch starts */
	guint failures; /* consecutive */
	GTimeSpan retry_at;
	feed_step_kind_t call; /* in flight, FEED_WAIT for none */
	GTimeSpan call_sent_at;
	GTimeSpan answered_at; /* instant of the last answer, 0 for none */
	/*
	 * When the last request failed, or when it was sent if the store did
	 * not answer it.
	 */
	GTimeSpan unavailable_at;
};

const char *feed_kind_name(feed_kind_t kind)
{
	static const char *const names[FEED_KIND_COUNT] = {
		[FEED_CONFIGURATION] = "configuration",
		[FEED_ENDPOINTS] = "endpoints",
		[FEED_EVACUATIONS] = "evacuations",
	};

	return names[kind];
}

const char *feed_step_name(feed_step_kind_t kind)
{
	static const char *const names[] = {
		[FEED_WAIT] = "none",
		[FEED_LIST] = "list",
		[FEED_WATCH] = "watch",
	};

	return names[kind];
}

const char *feed_outcome_name(feed_outcome_t outcome)
{
	static const char *const names[] = {
		[FEED_ANSWERED] = "answered",
		[FEED_HISTORY_LOST] = "history_lost",
		[FEED_REFUSED] = "refused",
		[FEED_FAILED] = "failed",
		[FEED_UNANSWERED] = "no_answer",
	};

	return names[outcome];
}

feed_t *feed_new(const feed_limits_t *limits, GRand *random)
{
	feed_t *feed = g_new0(feed_t, 1);

	feed->limits = *limits;
	feed->random = random;
	feed->listing = TRUE;
	return feed;
}

void feed_free(feed_t *feed)
{
	if (!feed)
		return;
	g_free(feed->after);
	g_free(feed);
}

/*
 * Time after which a watch must be replaced. One that the store never answers
 * looks like one without changes: its connection stays open. A change made
 * reconnect_bound after the outage must be known within change_bound.
 */
static GTimeSpan recovery_time(const feed_t *feed)
{
	return feed->limits.reconnect_bound + feed->limits.change_bound -
	       feed->limits.spread_time;
}

static GTimeSpan watch_wait(const feed_t *feed)
{
	return feed->failures ?
		       WATCH_WAIT_MIN :
		       MAX(recovery_time(feed) - ANSWER_GRACE, WATCH_WAIT_MIN);
}

feed_step_t feed_next(const feed_t *feed, GTimeSpan now)
{
	feed_step_t step = { .kind = feed->listing ? FEED_LIST : FEED_WATCH,
			     .after = feed->after,
			     .revision = feed->revision,
			     .watch_wait = watch_wait(feed),
			     .timeout = LIST_TIMEOUT };

	if (step.kind == FEED_WATCH)
		step.timeout = step.watch_wait + ANSWER_GRACE;
	if (now < feed->retry_at) {
		step.kind = FEED_WAIT;
		step.until = feed->retry_at;
	}
	return step;
}

gboolean feed_is_listing(const feed_t *feed)
{
	return feed->listing;
}

gboolean feed_has_listed(const feed_t *feed)
{
	return feed->has_listed;
}

void feed_call_sent(feed_t *feed, const feed_step_t *step, GTimeSpan now)
{
	feed->call = step->kind;
	feed->call_sent_at = now;
}

feed_status_t feed_status(const feed_t *feed, GTimeSpan now)
{
	return (feed_status_t){
		.known_age = feed->answered_at ? now - feed->answered_at :
						 CATK_NEVER,
		.call = feed->call,
		.call_age = feed->call == FEED_WAIT ? 0 :
						      now - feed->call_sent_at,
		.revision = feed->revision,
		.failures = feed->failures,
	};
}

static void record_answer(feed_t *feed, GTimeSpan now)
{
	feed->call = FEED_WAIT;
	feed->answered_at = now;
	feed->failures = 0;
}

static void start_list(feed_t *feed)
{
	feed->listing = TRUE;
	feed->list_revision = 0;
	g_clear_pointer(&feed->after, g_free);
}

void feed_page_read(feed_t *feed, guint64 revision, const char *last,
		    gboolean more, GTimeSpan now)
{
	record_answer(feed, now);
	if (!feed->list_revision)
		feed->list_revision = revision;
	if (more && last) {
		g_free(feed->after);
		feed->after = g_strdup(last);
		return;
	}
	feed->listing = FALSE;
	feed->has_listed = TRUE;
	feed->revision = feed->list_revision;
	g_clear_pointer(&feed->after, g_free);
}

void feed_changes_read(feed_t *feed, guint64 revision, guint changes,
		       GTimeSpan now)
{
	record_answer(feed, now);
	if (changes)
		feed->retry_at = now + feed->limits.changes_pause;
	feed->revision = MAX(feed->revision, revision);
}

void feed_history_lost(feed_t *feed)
{
	feed->call = FEED_WAIT;
	feed->failures = 0;
	start_list(feed);
}

void feed_restart(feed_t *feed)
{
	feed->call = FEED_WAIT;
	start_list(feed);
}

guint64 feed_revision(const feed_t *feed)
{
	return feed->revision;
}

GTimeSpan feed_change_due(const feed_t *feed)
{
	return feed->unavailable_at + recovery_time(feed);
}

void feed_failed(feed_t *feed, feed_outcome_t outcome, GTimeSpan now)
{
	guint doublings = MIN(feed->failures, BACKOFF_DOUBLINGS);
	GTimeSpan pause = MIN(BACKOFF_MIN << doublings, BACKOFF_MAX);

	feed->unavailable_at = outcome == FEED_UNANSWERED ? feed->call_sent_at :
							    now;
	feed->call = FEED_WAIT;
	feed->failures++;
	/* Jitter, so that the instances do not all return at the same time. */
	feed->retry_at =
		now + (GTimeSpan)((double)pause *
				  g_rand_double_range(feed->random, 0.5, 1.5));
	/* Pages read before the failure may be outdated. */
	if (feed->listing)
		start_list(feed);
}
