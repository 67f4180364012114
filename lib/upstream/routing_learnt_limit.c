/*
 * Limits the concurrent attempts per endpoint by additive increase and
 * multiplicative decrease (AIMD); refusals and high latency indicate overload.
 * The fair share of an entry may be a fraction of a slot: limits below 1 are
 * enforced by a pause after each attempt.
 */
#include "lib/upstream/upstream_internal.h"

#define LIMIT_INITIAL 1.0
#define LIMIT_MIN 0.1
#define LIMIT_INCREASE 0.1 /* after as many answers as the limit */
#define LIMIT_DECREASE 0.7
/* Latency above this multiple of the median indicates queueing. */
#define QUEUEING_FACTOR 2.0

static double current_limit(const endpoint_t *endpoint)
{
	return endpoint->concurrency_limit > 0 ? endpoint->concurrency_limit :
						 LIMIT_INITIAL;
}

static GTimeSpan available_at(void *ctx, const endpoint_t *endpoint)
{
	const upstream_t *upstream = ctx;
	double limit = MIN(current_limit(endpoint),
			   (double)endpoint_slots(upstream, endpoint));

	if (endpoint->in_flight >= MAX((guint)limit, 1))
		return CATK_NEVER;
	return endpoint->pacing_until;
}

static void raise_limit(const upstream_t *upstream, endpoint_t *endpoint)
{
	double limit = current_limit(endpoint);

	endpoint->concurrency_limit =
		MIN(limit + LIMIT_INCREASE / MAX(limit, 1),
		    (double)endpoint_slots(upstream, endpoint));
}

static void lower_limit(endpoint_t *endpoint)
{
	endpoint->concurrency_limit =
		MAX(current_limit(endpoint) * LIMIT_DECREASE, LIMIT_MIN);
}

static void attempt_ended(void *ctx, endpoint_t *endpoint, attempt_end_t end,
			  GTimeSpan latency, GTimeSpan now)
{
	const upstream_t *upstream = ctx;
	gboolean queueing = (double)latency >
			    QUEUEING_FACTOR * upstream->median_latency;

	if (end == ATTEMPT_SHED || (end == ATTEMPT_ANSWERED &&
				    upstream->median_latency > 0 && queueing))
		lower_limit(endpoint);
	else if (end == ATTEMPT_ANSWERED)
		raise_limit(upstream, endpoint);
	endpoint->pacing_until = 0;
	if (endpoint->concurrency_limit < 1)
		endpoint->pacing_until =
			now + (GTimeSpan)(upstream->mean_latency *
					  (1 / current_limit(endpoint) - 1));
}

static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *criteria, GTimeSpan now)
{
	(void)criteria;
	return candidates_pick_of_two(ctx, candidates, now);
}

routing_t routing_learnt_limit(upstream_t *upstream)
{
	return (routing_t){ .choose = choose,
			    .available_at = available_at,
			    .attempt_ended = attempt_ended,
			    .ctx = upstream };
}
