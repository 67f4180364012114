/*
 * The deadline that callers of a route state with their first attempt. A caller
 * that was refused comes back with what is left of it, so the difference is the
 * time that its request has already taken.
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
 * Time since the caller's first attempt of a request that states remaining, by
 * the longest that was stated on the route so far.
 */
GTimeSpan route_deadlines_elapsed(route_deadlines_t *deadlines,
				  const schema_route_t *route,
				  GTimeSpan remaining);

/* Forgets routes that the schema no longer has. */
void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema);

#endif
