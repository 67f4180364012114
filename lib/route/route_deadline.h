/*
 * The deadlines that callers of a route state. A caller that was refused comes
 * back with what is left of its deadline, so one that states far less than is
 * usual has already waited for about the difference.
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
 * Learns from a request that states remaining, and estimates the time since the
 * caller's first attempt: 0 for a request that may be a first attempt.
 */
GTimeSpan route_deadlines_estimate_elapsed(route_deadlines_t *deadlines,
					   const schema_route_t *route,
					   GTimeSpan remaining);

/* Forgets routes that the schema no longer has. */
void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema);

#endif
