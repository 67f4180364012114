/*
 * Preferred endpoints: each endpoint is preferred by a few instances of this
 * entry's data centre (rendezvous hashing), so that each instance sends most of
 * its requests on connections that it already has.
 */
#ifndef CATK_PREFERRED_ENDPOINTS_H
#define CATK_PREFERRED_ENDPOINTS_H

#include <glib.h>

/*
 * Fewest endpoints of an upstream that an instance prefers. Choosing the best
 * of five is nearly as good as choosing the best of all.
 */
#define PREFERRED_ENDPOINTS_MIN 5

/* An endpoint in this instance's data centre, and who prefers it. */
typedef struct {
	const char *id;
	gboolean preferred; /* result: by this instance */
	guint instance_count; /* result: number of instances that prefer it */
} preferred_endpoint_t;

/*
 * Sets the results of the endpoints. Each one is preferred by the per_endpoint
 * instances (at least 1) that rank highest by the hash of both names. An
 * instance that has fewer than PREFERRED_ENDPOINTS_MIN endpoints by this adds
 * those where its own hash is highest. The order of both lists is irrelevant.
 * self is the index of this instance; names must differ.
 */
void preferred_endpoints_assign(preferred_endpoint_t *endpoints, guint count,
				const char *const *instances,
				guint instance_count, guint self,
				guint per_endpoint);

/*
 * Sets preferred for the PREFERRED_ENDPOINTS_MIN endpoints where the hash of
 * the instance is highest, and clears it for the others. Used for endpoints in
 * other data centres, whose other callers this instance need not know.
 */
void preferred_endpoints_assign_own(preferred_endpoint_t *endpoints,
				    guint count, const char *instance);

#endif
