/*
 * What to ask a versioned store next, so that this instance follows the objects
 * of one kind: a list of all pages, then a watch from the revision of the list.
 * A watch that has lost its place starts with a list again.
 */
#ifndef CATK_FEED_H
#define CATK_FEED_H

#include "lib/common/clock.h"

typedef enum {
	FEED_WAIT, /* ask again at the instant until */
	FEED_LIST, /* ask for a page; after names the last object, or NULL */
	FEED_WATCH /* ask for changes since revision, for the time wait */
} feed_step_kind_t;

typedef struct {
	feed_step_kind_t kind;
	GTimeSpan until;
	const char *after;
	guint64 revision;
	GTimeSpan watch_timeout; /* longest time to the answer of a watch */
} feed_step_t;

typedef struct feed feed_t;

/*
 * changes_pause is the time between an answer with changes and the next watch.
 * random must outlive the feed. Free with feed_free().
 */
feed_t *feed_new(GTimeSpan changes_pause, GRand *random);

/* NULL is allowed. */
void feed_free(feed_t *feed);

/* What to do now. Valid until the next call. */
feed_step_t feed_next(const feed_t *feed, GTimeSpan now);

/* TRUE while the pages of a list are read. */
gboolean feed_is_listing(const feed_t *feed);

/*
 * A page was read. last names its last object, NULL for an empty page; more
 * tells whether another page follows. as_of is the store's revision. The
 * revision of the first page counts: later pages may miss earlier changes.
 */
void feed_page_read(feed_t *feed, guint64 as_of, const char *last,
		    gboolean more);

/*
 * A watch was answered with so many changes; an answer of an earlier revision
 * changes nothing. The next watch waits a little, so that changes in quick
 * succession come with one call: each call is priced.
 */
void feed_changes_read(feed_t *feed, guint64 as_of, guint changes,
		       GTimeSpan now);

/* The store no longer has the history since the revision. */
void feed_history_lost(feed_t *feed);

/* The changes since the last answer were not followed: starts with a list. */
void feed_restart(feed_t *feed);

/* Revision from which the next watch starts. */
guint64 feed_revision(const feed_t *feed);

/* A call failed: the next one waits, longer after each failure in a row. */
void feed_failed(feed_t *feed, GTimeSpan now);

/* Failures in a row. */
guint feed_failures(const feed_t *feed);

#endif
