/* Exponential backoff with jitter between retries. */
#ifndef CATK_BACKOFF_H
#define CATK_BACKOFF_H

#include <glib.h>

/* Keeps the shift in backoff_delay() from overflowing. */
#define BACKOFF_DOUBLINGS_MAX 10

/*
 * Returns the delay before the next attempt after a number of consecutive
 * failures, which is at least 1. The delay doubles with each failure, from
 * initial up to max, and is then scaled by a random factor between 0.5 and 1,
 * so that instances that failed together do not retry together.
 */
static inline GTimeSpan backoff_delay(guint failures, GTimeSpan initial,
				      GTimeSpan max, GRand *random)
{
	guint doublings = MIN(failures - 1, BACKOFF_DOUBLINGS_MAX);
	GTimeSpan delay = MIN(initial << doublings, max);

	return (GTimeSpan)((double)delay * g_rand_double_range(random, 0.5, 1));
}

#endif
