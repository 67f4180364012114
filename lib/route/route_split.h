/*
 * Which target of a route takes the next request, in proportion to the weights.
 *
 * The order is deterministic (smooth weighted round robin), so the shares are
 * exact over a full turn. It starts at a random place: instances that start
 * together would otherwise all begin with the heaviest target.
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
 * The service for the next request of the route, NULL when it has no target
 * with a weight. The turn survives a new configuration that leaves the route's
 * targets and weights as they are.
 */
const char *route_splits_next(route_splits_t *splits,
			      const schema_route_t *route);

/* Forgets routes that the schema no longer has. */
void route_splits_configure(route_splits_t *splits, const schema_t *schema);

#endif
