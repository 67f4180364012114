#include "lib/feed/feed.h"

/*
 * An instance that was cut off counts as in touch 3 s after its return, and an
 * entry that may have lapsed is kept for 2 s of them: the store must be found
 * again within less than 1 s.
 */
#define BACKOFF_MIN (50 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX (400 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_DOUBLINGS 3

/*
 * A watch is a priced call and is answered at once when something changes, so
 * it waits long. Keep-alive probes find a connection that has gone silent.
 */
#define WATCH_WAIT (20 * G_TIME_SPAN_SECOND)
/*
 * A watch that is asked for during an outage may never be answered, while its
 * connection lives. It is missed within the 3 s in which an instance is not yet
 * in touch after the outage: its wait, 1 s of slack and the longest backoff.
 */
#define WATCH_WAIT_IN_OUTAGE (1 * G_TIME_SPAN_SECOND)

struct feed {
	GTimeSpan changes_pause;
	GRand *random;
	gboolean listing;
	char *after; /* last object of the pages so far, NULL for none */
	guint64 listed_from; /* revision of the first page, 0 before it */
	guint64 revision; /* to watch from */
	guint failures;
	GTimeSpan retry_at;
};

feed_t *feed_new(GTimeSpan changes_pause, GRand *random)
{
	feed_t *feed = g_new0(feed_t, 1);

	feed->changes_pause = changes_pause;
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

feed_step_t feed_next(const feed_t *feed, GTimeSpan now)
{
	feed_step_t step = { .kind = feed->listing ? FEED_LIST : FEED_WATCH,
			     .after = feed->after,
			     .revision = feed->revision,
			     .watch_timeout = feed->failures ?
						      WATCH_WAIT_IN_OUTAGE :
						      WATCH_WAIT };

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

static void start_list(feed_t *feed)
{
	feed->listing = TRUE;
	feed->listed_from = 0;
	g_clear_pointer(&feed->after, g_free);
}

void feed_page_read(feed_t *feed, guint64 as_of, const char *last,
		    gboolean more)
{
	feed->failures = 0;
	if (!feed->listed_from)
		feed->listed_from = as_of;
	if (more && last) {
		g_free(feed->after);
		feed->after = g_strdup(last);
		return;
	}
	feed->listing = FALSE;
	feed->revision = feed->listed_from;
	g_clear_pointer(&feed->after, g_free);
}

void feed_changes_read(feed_t *feed, guint64 as_of, guint changes,
		       GTimeSpan now)
{
	feed->failures = 0;
	if (changes)
		feed->retry_at = now + feed->changes_pause;
	feed->revision = MAX(feed->revision, as_of);
}

void feed_history_lost(feed_t *feed)
{
	feed->failures = 0;
	start_list(feed);
}

void feed_restart(feed_t *feed)
{
	start_list(feed);
}

guint64 feed_revision(const feed_t *feed)
{
	return feed->revision;
}

void feed_failed(feed_t *feed, GTimeSpan now)
{
	guint doublings = MIN(feed->failures, BACKOFF_DOUBLINGS);
	GTimeSpan pause = MIN(BACKOFF_MIN << doublings, BACKOFF_MAX);

	feed->failures++;
	/* Spread, so that a fleet does not return in one moment. */
	feed->retry_at =
		now + (GTimeSpan)((double)pause *
				  g_rand_double_range(feed->random, 0.5, 1.5));
	/* Pages before an outage may be out of date. */
	if (feed->listing)
		start_list(feed);
}

guint feed_failures(const feed_t *feed)
{
	return feed->failures;
}
