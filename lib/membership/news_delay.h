/*
 * Histogram of the time between a change of another member's state and the
 * moment at which this instance learnt of it.
 */
#ifndef CATK_NEWS_DELAY_H
#define CATK_NEWS_DELAY_H

#include "lib/common/clock.h"

#define NEWS_DELAY_BUCKETS 8

typedef struct {
	guint64 buckets[NEWS_DELAY_BUCKETS]; /* delays up to each bound */
	guint64 count;
	GTimeSpan sum;
	GTimeSpan max;
} news_delay_t;

/* Upper bound of a bucket. */
GTimeSpan news_delay_bound(guint bucket);

void news_delay_record(news_delay_t *news, GTimeSpan delay);

#endif
