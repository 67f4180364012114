/* Exports counters and latency histograms in the Prometheus text format. */
#ifndef CATK_METRICS_H
#define CATK_METRICS_H

#include "lib/common/counters.h"
#include "lib/entry/entry.h"
#include "net/http_service.h"

typedef struct metrics metrics_t;

/*
 * Serves /metrics on service. All arguments must outlive the result. Free with
 * metrics_free().
 */
metrics_t *metrics_new(http_service_t *service, const counters_t *counters,
		       const entry_t *entry);

/* Stops serving /metrics. NULL is allowed. */
void metrics_free(metrics_t *metrics);

/* Adds the latency of an answer to the histogram of its result. */
void metrics_record_answer(metrics_t *metrics, const call_answer_t *answer);

#endif
