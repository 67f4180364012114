/* Selects the less loaded of two random endpoints. */
#include "lib/upstream/upstream_internal.h"

endpoint_t *candidates_pick_of_two(const upstream_t *upstream,
				   const candidates_t *candidates,
				   GTimeSpan now)
{
	endpoint_t *first =
		candidates_pick_random(candidates, upstream->random);
	endpoint_t *second =
		candidates_pick_random(candidates, upstream->random);

	return endpoint_load(upstream, second, now) <
			       endpoint_load(upstream, first, now) ?
		       second :
		       first;
}

static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *criteria, GTimeSpan now)
{
	(void)criteria;
	return candidates_pick_of_two(ctx, candidates, now);
}

routing_t routing_two_choices(upstream_t *upstream)
{
	return (routing_t){ .choose = choose, .ctx = upstream };
}
