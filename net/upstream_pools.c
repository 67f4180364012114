#include "net/upstream_pools.h"

#include "lib/common/intrusive.h"
#include "net/system_clock.h"

#define CONNECTIONS_PER_POOL_MAX 4096
#define IDLE_TIMEOUT_S 60 /* of a connection and of a pool */

typedef struct pool {
	TAILQ_ENTRY(pool) link;
	char *address;
	SoupSession *session;
	GTimeSpan last_request_at;
} pool_t;

struct upstream_pools {
	TAILQ_HEAD(pool_list, pool) pools;
	GHashTable *pools_by_address; /* address -> pool_t */
};

upstream_pools_t *upstream_pools_new(void)
{
	upstream_pools_t *pools = g_new0(upstream_pools_t, 1);

	TAILQ_INIT(&pools->pools);
	pools->pools_by_address = g_hash_table_new(g_str_hash, g_str_equal);
	return pools;
}

/* The session closes its connections once its last exchange has ended. */
static void pool_free(upstream_pools_t *pools, pool_t *pool)
{
	TAILQ_REMOVE(&pools->pools, pool, link);
	g_hash_table_remove(pools->pools_by_address, pool->address);
	g_object_unref(pool->session);
	g_free(pool->address);
	g_free(pool);
}

void upstream_pools_free(upstream_pools_t *pools)
{
	pool_t *pool;

	if (!pools)
		return;
	while ((pool = TAILQ_FIRST(&pools->pools))) {
		soup_session_abort(pool->session);
		pool_free(pools, pool);
	}
	g_hash_table_destroy(pools->pools_by_address);
	g_free(pools);
}

/* Frees the pools of endpoints that no longer receive requests. */
static void free_idle_pools(upstream_pools_t *pools, GTimeSpan now)
{
	pool_t *pool, *next;

	TAILQ_FOREACH_SAFE (pool, &pools->pools, link, next)
		if (now - pool->last_request_at >
		    IDLE_TIMEOUT_S * G_TIME_SPAN_SECOND)
			pool_free(pools, pool);
}

/* Disables the default proxy resolver, which looks up proxies in a thread. */
static pool_t *add_pool(upstream_pools_t *pools, const char *address)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->address = g_strdup(address);
	pool->session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_PER_POOL_MAX, "max-conns-per-host",
		CONNECTIONS_PER_POOL_MAX, "idle-timeout", IDLE_TIMEOUT_S,
		"proxy-resolver", NULL, NULL);
	TAILQ_INSERT_TAIL(&pools->pools, pool, link);
	g_hash_table_insert(pools->pools_by_address, pool->address, pool);
	return pool;
}

SoupSession *upstream_pools_session(upstream_pools_t *pools,
				    const char *address)
{
	pool_t *pool = g_hash_table_lookup(pools->pools_by_address, address);
	GTimeSpan now = catk_clock_now(&system_clock);

	if (!pool) {
		free_idle_pools(pools, now);
		pool = add_pool(pools, address);
	}
	pool->last_request_at = now;
	return pool->session;
}

void upstream_pools_drop(upstream_pools_t *pools, const char *address)
{
	pool_t *pool = g_hash_table_lookup(pools->pools_by_address, address);

	if (pool)
		pool_free(pools, pool);
}
