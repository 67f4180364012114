/*
 * Chooses the target of a route for each request, in proportion to the weights.
 *
 * The order is deterministic (smooth weighted round robin), so the shares are
 * exact over a full cycle. It starts at a random position: otherwise all
 * instances that start together would begin with the target of highest weight.
 */
#ifndef CATK_ROUTE_SPLIT_H
#define CATK_ROUTE_SPLIT_H

#include "lib/schema/schema.h"

typedef struct route_splits route_splits_t;

/* random must outlive the result. Free with route_splits_free(). */
route_splits_t *route_splits_new(GRand *random);

/* NULL is allowed. */
void route_splits_free(route_splits_t *splits);

/*
 * The service for the next request of the route, NULL when no target has a
 * weight above 0. The position in the cycle is kept across configurations as
 * long as the route's targets and weights are the same.
 */
const char *route_splits_next(route_splits_t *splits,
			      const schema_route_t *route);

/* Removes the state of routes that are no longer in the schema. */
void route_splits_configure(route_splits_t *splits, const schema_t *schema);

#endif
