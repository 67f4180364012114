/* Connections to upstreams, one pool for each endpoint address. */
#ifndef CATK_UPSTREAM_POOLS_H
#define CATK_UPSTREAM_POOLS_H

#include <libsoup/soup.h>

typedef struct upstream_pools upstream_pools_t;

/* Free with upstream_pools_free(). */
upstream_pools_t *upstream_pools_new(void);

/* Closes all connections. NULL is allowed. */
void upstream_pools_free(upstream_pools_t *pools);

/*
 * The session that holds the connections to address, valid until the next
 * call; reference it for longer use.
 */
SoupSession *upstream_pools_session(upstream_pools_t *pools,
				    const char *address);

/*
 * Gives up the idle connections to address. A connection in use lives until
 * its exchange ends; later requests use new connections.
 */
void upstream_pools_retire(upstream_pools_t *pools, const char *address);

#endif
