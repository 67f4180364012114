/* Counters and latency histograms in the text format of Prometheus. */
#ifndef CATK_METRICS_H
#define CATK_METRICS_H

#include <libsoup/soup.h>

#include "lib/common/counters.h"
#include "lib/entry/entry.h"

typedef struct metrics metrics_t;

/*
 * Serves /metrics. All arguments must outlive the result. Free with
 * metrics_free().
 */
metrics_t *metrics_new(SoupServer *server, const counters_t *counters,
		       const entry_t *entry);

/* NULL is allowed. */
void metrics_free(metrics_t *metrics);

/* Records the latency of an answer. */
void metrics_record_answer(metrics_t *metrics, const call_answer_t *answer);

#endif
