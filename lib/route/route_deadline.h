/*
 * Estimates from the deadline of a routed request for how long its caller has
 * been trying. A caller that retries sends the time that remains, so a request
 * with far less than the route's usual deadline is a retry, and the difference
 * is about the time since the first attempt.
 */
#ifndef CATK_ROUTE_DEADLINE_H
#define CATK_ROUTE_DEADLINE_H

#include "lib/common/intrusive.h"
#include "lib/schema/schema.h"

typedef struct route_deadlines route_deadlines_t;

/* Free with route_deadlines_free(). */
route_deadlines_t *route_deadlines_new(void);

/* NULL is allowed. */
void route_deadlines_free(route_deadlines_t *deadlines);

/*
 * Records a request with the time remaining to its deadline. Returns the
 * estimated time since the caller's first attempt, 0 when this may be the first
 * attempt.
 */
GTimeSpan route_deadlines_estimate_elapsed(route_deadlines_t *deadlines,
					   const schema_route_t *route,
					   GTimeSpan remaining);

/* Removes the state of routes that are no longer in the schema. */
void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema);

#endif
