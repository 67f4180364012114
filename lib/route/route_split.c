#include "lib/route/route_split.h"

#include <string.h>

/* Several cycles, as weights usually add up to 100 or less. */
#define START_STEPS_MAX 1000

typedef struct share {
	TAILQ_ENTRY(share) link;
	char *service;
	guint weight;
	gint64 credit; /* current weight in smooth weighted round robin */
} share_t;

typedef struct split {
	TAILQ_ENTRY(split) link;
	char *route;
	TAILQ_HEAD(share_list, share) shares;
} split_t;

struct route_splits {
	GRand *random;
	TAILQ_HEAD(split_list, split) splits;
	GHashTable *by_route; /* name -> split_t */
};

route_splits_t *route_splits_new(GRand *random)
{
	route_splits_t *splits = g_new0(route_splits_t, 1);

	splits->random = random;
	TAILQ_INIT(&splits->splits);
	splits->by_route = g_hash_table_new(g_str_hash, g_str_equal);
	return splits;
}

static void shares_free(split_t *split)
{
	share_t *share, *next;

	TAILQ_FOREACH_SAFE (share, &split->shares, link, next) {
		g_free(share->service);
		g_free(share);
	}
	TAILQ_INIT(&split->shares);
}

static void split_free(route_splits_t *splits, split_t *split)
{
	g_hash_table_remove(splits->by_route, split->route);
	TAILQ_REMOVE(&splits->splits, split, link);
	shares_free(split);
	g_free(split->route);
	g_free(split);
}

void route_splits_free(route_splits_t *splits)
{
	if (!splits)
		return;
	while (!TAILQ_EMPTY(&splits->splits))
		split_free(splits, TAILQ_FIRST(&splits->splits));
	g_hash_table_destroy(splits->by_route);
	g_free(splits);
}

static gboolean has_same_shares(const split_t *split,
				const schema_route_t *route)
{
	const schema_target_t *target = TAILQ_FIRST(&route->targets);
	const share_t *share;

	TAILQ_FOREACH (share, &split->shares, link) {
		if (!target || share->weight != target->weight ||
		    strcmp(share->service, target->service) != 0)
			return FALSE;
		target = TAILQ_NEXT(target, link);
	}
	return !target;
}

static split_t *find_split(const route_splits_t *splits, const char *route)
{
	return g_hash_table_lookup(splits->by_route, route);
}

/* One step of the cycle; NULL when no share has a weight above 0. */
static share_t *next_share(split_t *split)
{
	share_t *chosen = NULL;
	gint64 total = 0;
	share_t *share;

	TAILQ_FOREACH (share, &split->shares, link) {
		if (!share->weight)
			continue;
		total += share->weight;
		share->credit += share->weight;
		if (!chosen || share->credit > chosen->credit)
			chosen = share;
	}
	if (chosen)
		chosen->credit -= total;
	return chosen;
}

static void randomize_position(const route_splits_t *splits, split_t *split)
{
	gint32 steps = g_rand_int_range(splits->random, 0, START_STEPS_MAX);

	for (; steps > 0; steps--)
		next_share(split);
}

static void replace_shares(const route_splits_t *splits, split_t *split,
			   const schema_route_t *route)
{
	const schema_target_t *target;
	share_t *share;

	shares_free(split);
	TAILQ_FOREACH (target, &route->targets, link) {
		share = g_new0(share_t, 1);
		share->service = g_strdup(target->service);
		share->weight = target->weight;
		TAILQ_INSERT_TAIL(&split->shares, share, link);
	}
	randomize_position(splits, split);
}

static split_t *get_split(route_splits_t *splits, const schema_route_t *route)
{
	split_t *split = find_split(splits, route->method.name);

	if (!split) {
		split = g_new0(split_t, 1);
		split->route = g_strdup(route->method.name);
		TAILQ_INIT(&split->shares);
		TAILQ_INSERT_TAIL(&splits->splits, split, link);
		g_hash_table_insert(splits->by_route, split->route, split);
	}
	if (!has_same_shares(split, route))
		replace_shares(splits, split, route);
	return split;
}

const char *route_splits_next(route_splits_t *splits,
			      const schema_route_t *route)
{
	const schema_target_t *only = TAILQ_FIRST(&route->targets);
	const share_t *chosen;

	if (only && !TAILQ_NEXT(only, link))
		return only->service;
	chosen = next_share(get_split(splits, route));
	return chosen ? chosen->service : NULL;
}

void route_splits_configure(route_splits_t *splits, const schema_t *schema)
{
	split_t *split, *next;

	TAILQ_FOREACH_SAFE (split, &splits->splits, link, next)
		if (!g_hash_table_contains(schema->routes_by_name,
					   split->route))
			split_free(splits, split);
}
