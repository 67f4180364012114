/*
 * How many attempts one entry keeps in flight at a service. The entries share
 * the endpoints without talking to each other; each learns its part from load
 * reports and refusals, so that calls wait in the entry, where priorities
 * apply, and not in the queue of an endpoint, where they don't.
 */
#ifndef CATK_CONCURRENCY_LIMIT_H
#define CATK_CONCURRENCY_LIMIT_H

#include <glib.h>

typedef struct {
	double limit; /* attempts, at least 1 */
	double load; /* moving average of the reported loads */
	gboolean learning; /* no sign of a full service was seen yet */
} concurrency_limit_t;

void concurrency_limit_init(concurrency_limit_t *limit);

/*
 * An endpoint answered and reported a load, requests over slots. in_flight is
 * the number of attempts from here, the one that ended included.
 */
void concurrency_limit_answered(concurrency_limit_t *limit, double load,
				guint in_flight);

/* An endpoint refused an attempt before start. */
void concurrency_limit_refused(concurrency_limit_t *limit);

#endif
