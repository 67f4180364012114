/*
 * Selects the least loaded endpoint of a subset that differs between entries
 * (rendezvous hashing). Fewer entries compete for the same endpoint, and each
 * entry sends its calls to few endpoints, so that their reports are recent.
 * Calls overflow to the other endpoints when the subset is full or refuses.
 */
#include "lib/upstream/upstream_internal.h"

#include <string.h>
#include <xxhash.h>

/* Size of the subset as a multiple of the entry's fair share of endpoints. */
#define SUBSET_SHARE 2
#define SUBSET_MIN 2

static guint64 hash_endpoint(const upstream_t *upstream,
			     const endpoint_t *endpoint)
{
	const char *instance = upstream->options.instance;
	guint64 seed = XXH3_64bits(instance, strlen(instance));

	return XXH3_64bits_withSeed(endpoint->info.address,
				    strlen(endpoint->info.address), seed);
}

static guint subset_size(const upstream_t *upstream)
{
	guint entries = upstream->options.entries_max;
	guint size = (SUBSET_SHARE * upstream->endpoint_count + entries - 1) /
		     entries;

	return MAX(size, SUBSET_MIN);
}

static guint rank_of(const upstream_t *upstream, const endpoint_t *endpoint)
{
	const endpoint_t *other;
	guint rank = 0;

	TAILQ_FOREACH (other, &upstream->endpoints, link)
		if (other->usable && other->hash_weight > endpoint->hash_weight)
			rank++;
	return rank;
}

static void endpoints_changed(void *ctx)
{
	upstream_t *upstream = ctx;
	endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		endpoint->hash_weight = hash_endpoint(upstream, endpoint);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		endpoint->preferred = rank_of(upstream, endpoint) <
				      subset_size(upstream);
}

/* The least loaded candidate that is, or is not, in the subset. */
static endpoint_t *least_loaded(const upstream_t *upstream,
				const candidates_t *candidates,
				gboolean preferred, GTimeSpan now)
{
	endpoint_t *chosen = NULL;
	double lowest = 0;
	gint32 equal = 0;
	double load;
	guint i;

	for (i = 0; i < candidates->count; i++) {
		endpoint_t *endpoint = candidates->items[i];

		if (endpoint->preferred != preferred)
			continue;
		load = endpoint_load(upstream, endpoint, now);
		if (chosen && load > lowest)
			continue;
		equal = chosen && load == lowest ? equal + 1 : 1;
		lowest = load;
		if (g_rand_int_range(upstream->random, 0, equal) == 0)
			chosen = endpoint;
	}
	return chosen;
}

static gboolean is_full(const upstream_t *upstream, const endpoint_t *endpoint,
			GTimeSpan now)
{
	return endpoint_load(upstream, endpoint, now) >=
	       endpoint_slots(upstream, endpoint);
}

static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *criteria, GTimeSpan now)
{
	endpoint_t *preferred = least_loaded(ctx, candidates, TRUE, now);
	endpoint_t *rest;

	(void)criteria;
	if (preferred && !is_full(ctx, preferred, now))
		return preferred;
	rest = least_loaded(ctx, candidates, FALSE, now);
	if (!preferred)
		return rest;
	return rest && endpoint_load(ctx, rest, now) <
				       endpoint_load(ctx, preferred, now) ?
		       rest :
		       preferred;
}

static gboolean needs_report(void *ctx, const endpoint_t *endpoint)
{
	(void)ctx;
	return endpoint->preferred;
}

routing_t routing_subset(upstream_t *upstream)
{
	return (routing_t){ .choose = choose,
			    .endpoints_changed = endpoints_changed,
			    .needs_report = needs_report,
			    .ctx = upstream };
}
