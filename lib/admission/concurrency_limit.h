/*
 * How many attempts one entry keeps in flight at a service. The entries share
 * the endpoints without talking to each other; each learns its part from load
 * reports and refusals, so that calls wait in the entry, where priorities
 * apply, and not in the queue of an endpoint, where they don't.
 */
#ifndef CATK_CONCURRENCY_LIMIT_H
#define CATK_CONCURRENCY_LIMIT_H

#include <glib.h>

/* What the end of an attempt says about the load of the endpoint. */
typedef enum {
	CONCURRENCY_ROOM, /* answered, nothing was queued there */
	CONCURRENCY_QUEUED, /* answered, other calls were queued there */
	CONCURRENCY_REFUSED /* refused before start */
} concurrency_signal_t;

typedef struct {
	double limit; /* attempts, at least 1 */
	gboolean learning; /* no sign of a full endpoint was seen yet */
} concurrency_limit_t;

void concurrency_limit_init(concurrency_limit_t *limit);

/* in_flight includes the attempt that ended. */
void concurrency_limit_update(concurrency_limit_t *limit,
			      concurrency_signal_t signal, guint in_flight);

#endif
