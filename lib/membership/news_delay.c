#include "lib/membership/news_delay.h"

GTimeSpan news_delay_bound(guint bucket)
{
	static const GTimeSpan bounds_ms[NEWS_DELAY_BUCKETS] = {
		100, 250, 500, 1000, 2000, 4000, 8000, 16000
	};

	g_assert(bucket < NEWS_DELAY_BUCKETS);
	return bounds_ms[bucket] * G_TIME_SPAN_MILLISECOND;
}

void news_delay_record(news_delay_t *news, GTimeSpan delay)
{
	guint i;

	for (i = 0; i < NEWS_DELAY_BUCKETS; i++)
		news->buckets[i] += delay <= news_delay_bound(i);
	news->count++;
	news->sum += delay;
	news->max = MAX(news->max, delay);
}
