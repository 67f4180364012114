/* Waiting times between attempts at something that fails. */
#ifndef CATK_BACKOFF_H
#define CATK_BACKOFF_H

#include <glib.h>

#define BACKOFF_DOUBLINGS_MAX 10

/*
 * Time to wait after the given number of failures in a row, at least 1. It
 * doubles from first up to max; half of it is random, so that instances that
 * failed together don't try again together.
 */
static inline GTimeSpan backoff_time(guint failures, GTimeSpan first,
				     GTimeSpan max, GRand *random)
{
	guint doublings = MIN(failures - 1, BACKOFF_DOUBLINGS_MAX);
	GTimeSpan time = MIN(first << doublings, max);

	return (GTimeSpan)((double)time * g_rand_double_range(random, 0.5, 1));
}

#endif
