/*
 * A limit of concurrent attempts per endpoint, learnt from refusals and
 * latency: additive increase, multiplicative decrease. An entry's fair share
 * may be a fraction of a slot; a limit below 1 is kept by a rest after each
 * attempt.
 */
#include "lib/upstream/upstream_internal.h"

#define LIMIT_INITIAL 1.0
#define LIMIT_MIN 0.1
#define LIMIT_INCREASE 0.1 /* for one attempt's worth of answers */
#define LIMIT_DECREASE 0.7
/* Latency above this multiple of the median means queueing at the endpoint. */
#define QUEUEING_FACTOR 2.0

static double limit_of(const endpoint_t *endpoint)
{
	return endpoint->limit > 0 ? endpoint->limit : LIMIT_INITIAL;
}

static GTimeSpan room_at(void *ctx, const endpoint_t *endpoint)
{
	const upstream_t *upstream = ctx;
	double limit = MIN(limit_of(endpoint),
			   (double)endpoint_slots(upstream, endpoint));

	if (endpoint->in_flight >= MAX((guint)limit, 1))
		return CATK_NEVER;
	return endpoint->rest_until;
}

static void increase(const upstream_t *upstream, endpoint_t *endpoint)
{
	double limit = limit_of(endpoint);

	endpoint->limit = MIN(limit + LIMIT_INCREASE / MAX(limit, 1),
			      (double)endpoint_slots(upstream, endpoint));
}

static void decrease(endpoint_t *endpoint)
{
	endpoint->limit = MAX(limit_of(endpoint) * LIMIT_DECREASE, LIMIT_MIN);
}

static void attempt_ended(void *ctx, endpoint_t *endpoint, attempt_end_t end,
			  GTimeSpan latency, GTimeSpan now)
{
	const upstream_t *upstream = ctx;
	gboolean queueing = (double)latency >
			    QUEUEING_FACTOR * upstream->median;

	if (end == ATTEMPT_SHED ||
	    (end == ATTEMPT_ANSWERED && upstream->median > 0 && queueing))
		decrease(endpoint);
	else if (end == ATTEMPT_ANSWERED)
		increase(upstream, endpoint);
	endpoint->rest_until = 0;
	if (endpoint->limit < 1)
		endpoint->rest_until =
			now + (GTimeSpan)(upstream->latency *
					  (1 / limit_of(endpoint) - 1));
}

static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *need, GTimeSpan now)
{
	(void)need;
	return candidates_pick_of_two(ctx, candidates, now);
}

routing_t routing_learnt_limit(upstream_t *upstream)
{
	return (routing_t){ .choose = choose,
			    .room_at = room_at,
			    .attempt_ended = attempt_ended,
			    .ctx = upstream };
}
