/*
 * Adaptive limit of the attempts that one entry keeps in flight at a service.
 * The entries share the endpoints without coordination: each adapts its limit
 * to load reports and refusals. Excess calls then wait in the entry, where
 * priorities apply, and not in the queues of endpoints, where they do not.
 */
#ifndef CATK_CONCURRENCY_LIMIT_H
#define CATK_CONCURRENCY_LIMIT_H

#include <glib.h>

typedef struct {
	double limit; /* attempts, at least 1 */
	double load; /* moving average of the reported loads */
	gboolean slow_start; /* the service has not been at capacity yet */
} concurrency_limit_t;

void concurrency_limit_init(concurrency_limit_t *limit);

/*
 * Adjusts the limit after an answer with a reported load, in requests per
 * slot. in_flight counts the attempts of this entry, including the one that
 * ended.
 */
void concurrency_limit_answered(concurrency_limit_t *limit, double load,
				guint in_flight);

/* Lowers the limit after an endpoint refused an attempt. */
void concurrency_limit_refused(concurrency_limit_t *limit);

#endif
