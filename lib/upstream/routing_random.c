/* Selects a random available endpoint; the baseline for comparisons. */
#include "lib/upstream/upstream_internal.h"

endpoint_t *candidates_pick_random(const candidates_t *candidates,
				   GRand *random)
{
	return candidates
		->items[g_rand_int_range(random, 0, (gint32)candidates->count)];
}

static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *criteria, GTimeSpan now)
{
	upstream_t *upstream = ctx;

	(void)criteria;
	(void)now;
	return candidates_pick_random(candidates, upstream->random);
}

routing_t routing_random(upstream_t *upstream)
{
	return (routing_t){ .choose = choose, .ctx = upstream };
}
