/* Connection pools for upstreams, one per endpoint address. */
#ifndef CATK_UPSTREAM_POOLS_H
#define CATK_UPSTREAM_POOLS_H

#include <libsoup/soup.h>

typedef struct upstream_pools upstream_pools_t;

/* Free with upstream_pools_free(). */
upstream_pools_t *upstream_pools_new(void);

/* Closes all connections. NULL is allowed. */
void upstream_pools_free(upstream_pools_t *pools);

/*
 * Returns the session that holds the connections to address, created if needed.
 * It is valid until the next call; take a reference to keep it longer.
 */
SoupSession *upstream_pools_session(upstream_pools_t *pools,
				    const char *address);

/*
 * Drops the pool of address, closing its idle connections. Connections in use
 * close when their exchange ends; later requests open new ones.
 */
void upstream_pools_drop(upstream_pools_t *pools, const char *address);

#endif
