/*
 * The endpoint that is expected to answer first, by reports that were asked
 * for just before. Endpoints of this data centre go first while one of them is
 * expected to meet the objective: bytes between data centres are dear.
 *
 * A report of the load loses its worth within about one service time, so what
 * it says of other entries' requests and of the slowdown is corrected towards
 * the usual by its age.
 */
#include <math.h>
#include <string.h>

#include "lib/upstream/upstream_internal.h"

/* Service time when neither the call nor the upstream knows one. */
#define WORK_UNKNOWN (100 * G_TIME_SPAN_MILLISECOND)
/* Slowdowns by neighbours last about this long (docs/decisions/placing.md). */
#define SLOWDOWN_MEMORY (150 * G_TIME_SPAN_MILLISECOND)
/* Usual slowdown before any report, in percent. */
#define SLOWDOWN_USUAL 150.0
/* In percent; noisy neighbours slow work down several times. */
#define SLOWDOWN_ACCEPTABLE 220.0
/* An endpoint's own pace is believed for about this long. */
#define PACE_MEMORY (4 * G_TIME_SPAN_SECOND)
#define PACE_WEIGHT 0.5
#define PACE_MAX 10.0
/* Service times vary; an older request is a sign of a slow endpoint. */
#define LATE_FACTOR 2.0
/* Share of the objective that an expected latency may use. */
#define OBJECTIVE_SHARE 0.85
/* Expected latencies this close are the same: one of them at random. */
#define TIE_FACTOR 1.1
/* An endpoint just started takes about twice as long. */
#define COLD_FACTOR 2.0
/*
 * Slowdown of a full endpoint before any is learnt, and its bound; a trial
 * measured 1.5 for the last of three slots.
 */
#define LAST_SLOT_FACTOR 1.3
#define LAST_SLOT_WEIGHT 0.02
#define LAST_SLOT_MAX 4.0
/* Estimated loads are fractions: 1.8 of 2 slots leave no room. */
#define LOAD_TOLERANCE 0.6
/*
 * Fewest slots of an endpoint whose last one late calls leave to others. With two
 * it is half of the endpoint, and too many calls are refused for good.
 */
#define SLOTS_WITH_RESERVE 3
/* A failed attempt costs about so many expected latencies. */
#define FAILURE_COST 6.0
#define FAILURE_WEIGHT 0.3
#define FAILURE_MEMORY (4 * G_TIME_SPAN_SECOND)
/* A report this young needs no probe. */
#define REPORT_FRESH (10 * G_TIME_SPAN_MILLISECOND)
/* An older one says nothing of a slowdown that lasts 150 ms. */
#define REPORT_USABLE (50 * G_TIME_SPAN_MILLISECOND)
/* An endpoint that leaves this many probes unanswered is probed last. */
#define PROBES_UNANSWERED_MAX 2

static guint slots_of(const upstream_t *upstream, const endpoint_t *endpoint)
{
	if (!endpoint->report.slots && endpoint->info.slots)
		return endpoint->info.slots;
	return endpoint_slots(upstream, endpoint);
}

static double slowdown_of(const upstream_t *upstream,
			  const endpoint_t *endpoint, GTimeSpan now)
{
	double usual = upstream->slowdown ? upstream->slowdown : SLOWDOWN_USUAL;
	double weight;

	if (!endpoint->reported || !endpoint->report.slowdown_percent)
		return usual;
	weight = exp(-(double)(now - endpoint->reported) / SLOWDOWN_MEMORY);
	return usual + weight * (endpoint->report.slowdown_percent - usual);
}

/* The pace learnt from answers; it fades to that of the others. */
static double aged_pace(const endpoint_t *endpoint, GTimeSpan now)
{
	double age = (double)(now - endpoint->pace_at);

	if (endpoint->pace <= 0)
		return 1;
	return 1 + (endpoint->pace - 1) * exp(-age / PACE_MEMORY);
}

/*
 * How much slower than the others the endpoint is beyond what it reports: by
 * its answers, and by the age of the oldest request that it has not answered.
 */
static double pace_of(const endpoint_t *endpoint,
		      const upstream_criteria_t *need, GTimeSpan now)
{
	const flight_t *oldest = TAILQ_FIRST(&endpoint->flights);
	double pace = aged_pace(endpoint, now);

	if (oldest && need->service_time > 0)
		pace = MAX(pace, (double)(now - oldest->started) /
					 (double)need->service_time /
					 LATE_FACTOR);
	return CLAMP(pace, 1, PACE_MAX);
}

static double failure_share(const endpoint_t *endpoint, GTimeSpan now)
{
	double age = (double)(now - endpoint->failure_share_at);

	return endpoint->failure_share * exp(-age / FAILURE_MEMORY);
}

/* How much slower work is at an endpoint that is full, learnt from answers. */
static double last_slot_factor(const upstream_t *upstream)
{
	if (!upstream->pace_full || !upstream->pace_free)
		return LAST_SLOT_FACTOR;
	return CLAMP(upstream->pace_full / upstream->pace_free, 1,
		     LAST_SLOT_MAX);
}

static double expected_latency(const upstream_t *upstream,
			       const endpoint_t *endpoint,
			       const upstream_criteria_t *need, GTimeSpan now)
{
	double load = endpoint_load(upstream, endpoint, now);
	double slots = slots_of(upstream, endpoint);
	double work = need->service_time > 0 ? (double)need->service_time :
					       WORK_UNKNOWN;
	double latency = work * slowdown_of(upstream, endpoint, now) / 100 *
			 pace_of(endpoint, need, now);

	if (now < endpoint->cold_until)
		latency *= COLD_FACTOR;
	if (load + 1 > slots)
		latency *= 1 + (load + 1 - slots) / slots;
	if (load + 1 >= slots)
		latency *= last_slot_factor(upstream);
	return latency;
}

/* Expected latency with the risk of a failure counted as time. */
static double cost_of(const upstream_t *upstream, const endpoint_t *endpoint,
		      const upstream_criteria_t *need, GTimeSpan now)
{
	return expected_latency(upstream, endpoint, need, now) *
	       (1 + FAILURE_COST * failure_share(endpoint, now));
}

static gboolean meets_objective(const upstream_t *upstream,
				const endpoint_t *endpoint,
				const upstream_criteria_t *need, GTimeSpan now)
{
	return need->objective_left > 0 &&
	       cost_of(upstream, endpoint, need, now) <=
		       OBJECTIVE_SHARE * (double)need->objective_left;
}

/*
 * A request runs to its end at the pace that the endpoint has when it starts.
 * One that starts during a slowdown is late and holds its slot several times as
 * long, while the slowdown is over within a fraction of a second: better wait.
 */
static gboolean is_worthwhile(const upstream_t *upstream,
			      const endpoint_t *endpoint,
			      const upstream_criteria_t *need, GTimeSpan now)
{
	if (!need->stale_report_allowed && upstream->slowdown > 0 &&
	    now - endpoint->reported > REPORT_USABLE)
		return FALSE;
	return slowdown_of(upstream, endpoint, now) <= SLOWDOWN_ACCEPTABLE ||
	       meets_objective(upstream, endpoint, need, now);
}

/*
 * Work is slower in the last slot of an endpoint: a call that misses its
 * objective there anyway makes others miss theirs.
 */
static gboolean takes_last_slot(const upstream_t *upstream,
				const endpoint_t *endpoint,
				const upstream_criteria_t *need, GTimeSpan now)
{
	return slots_of(upstream, endpoint) < SLOTS_WITH_RESERVE ||
	       !need->objective_left ||
	       meets_objective(upstream, endpoint, need, now);
}

static gboolean has_room(const upstream_t *upstream, const endpoint_t *endpoint,
			 const upstream_criteria_t *need, GTimeSpan now)
{
	double load = endpoint_load(upstream, endpoint, now) + LOAD_TOLERANCE;
	guint slots = slots_of(upstream, endpoint);

	if (load >= slots)
		return FALSE;
	if (load + 1 >= slots &&
	    !takes_last_slot(upstream, endpoint, need, now))
		return FALSE;
	return is_worthwhile(upstream, endpoint, need, now);
}

/* The cheapest candidate of the scope, random among nearly equal ones. */
static endpoint_t *cheapest(const upstream_t *upstream,
			    const candidates_t *candidates,
			    const upstream_criteria_t *need, gboolean near,
			    GTimeSpan now)
{
	endpoint_t *best = NULL;
	double best_cost = 0;
	guint ties = 0;
	guint i;

	for (i = 0; i < candidates->count; i++) {
		endpoint_t *endpoint = candidates->items[i];
		double cost;

		if (upstream_is_near(upstream, endpoint) != near ||
		    !has_room(upstream, endpoint, need, now))
			continue;
		cost = cost_of(upstream, endpoint, need, now);
		if (!best || cost * TIE_FACTOR < best_cost) {
			best = endpoint;
			best_cost = cost;
			ties = 1;
		} else if (cost < best_cost * TIE_FACTOR &&
			   g_rand_int_range(upstream->random, 0,
					    (gint32)++ties) == 0) {
			best = endpoint;
			best_cost = MIN(cost, best_cost);
		}
	}
	return best;
}

/* TRUE when an endpoint of this data centre takes work at all. */
static gboolean has_near(const upstream_t *upstream)
{
	const endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (upstream_is_near(upstream, endpoint) &&
		    health_takes_work(endpoint))
			return TRUE;
	return FALSE;
}

/*
 * A call that misses its objective anyway leaves the slots of other data
 * centres to their calls in time, unless remote_when_late is set.
 */
static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *need, GTimeSpan now)
{
	const upstream_t *upstream = ctx;
	endpoint_t *near = cheapest(upstream, candidates, need, TRUE, now);
	endpoint_t *far;

	if (near && meets_objective(upstream, near, need, now))
		return near;
	far = cheapest(upstream, candidates, need, FALSE, now);
	if (far && (!has_near(upstream) || (!near && need->remote_when_late) ||
		    meets_objective(upstream, far, need, now)))
		return far;
	return near;
}

gboolean upstream_local_meets_objective(upstream_t *upstream,
					const upstream_criteria_t *need,
					GTimeSpan now)
{
	const endpoint_t *endpoint;

	if (!upstream->routing.trusts_reports)
		return TRUE;
	endpoint = upstream_choose_for(upstream, need, now);
	return endpoint && upstream_is_near(upstream, endpoint) &&
	       meets_objective(upstream, endpoint, need, now);
}

static gboolean wants_probe(const upstream_t *upstream,
			    const endpoint_t *endpoint, upstream_scope_t scope,
			    GTimeSpan now)
{
	return upstream_is_near(upstream, endpoint) == (scope == SCOPE_LOCAL) &&
	       health_takes_work(endpoint) &&
	       !health_is_blocked(endpoint, now) &&
	       now >= endpoint->full_until &&
	       (!endpoint->reported || now - endpoint->reported > REPORT_FRESH);
}

static void shuffle(GPtrArray *items, GRand *random)
{
	guint i;

	for (i = items->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(random, 0, (gint32)i);
		gpointer other = items->pdata[j];

		items->pdata[j] = items->pdata[i - 1];
		items->pdata[i - 1] = other;
	}
}

static guint take_probes(GPtrArray *endpoints, const char **ids, guint max,
			 guint unanswered_max, GTimeSpan now)
{
	guint count = 0;
	guint i;

	for (i = 0; i < endpoints->len && count < max; i++) {
		endpoint_t *endpoint = endpoints->pdata[i];

		if (endpoint->probes_unanswered > unanswered_max ||
		    endpoint->probed == now ||
		    !probe_budget_take(&endpoint->probes, now))
			continue;
		endpoint->probed = now;
		ids[count++] = endpoint_id(endpoint);
	}
	return count;
}

guint upstream_plan_probes(upstream_t *upstream, upstream_scope_t scope,
			   const char **ids, guint max, GTimeSpan now)
{
	GPtrArray *wanted = upstream->open;
	endpoint_t *endpoint;
	guint count;

	if (!upstream->routing.trusts_reports)
		return 0;
	g_ptr_array_set_size(wanted, 0);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (wants_probe(upstream, endpoint, scope, now))
			g_ptr_array_add(wanted, endpoint);
	shuffle(wanted, upstream->random);
	count = take_probes(wanted, ids, max, PROBES_UNANSWERED_MAX, now);
	if (count < max)
		count += take_probes(wanted, ids + count, max - count,
				     G_MAXUINT, now);
	return count;
}

static void learn_failure(endpoint_t *endpoint, double sample, GTimeSpan now)
{
	double share = failure_share(endpoint, now);

	endpoint->failure_share = share + FAILURE_WEIGHT * (sample - share);
	endpoint->failure_share_at = now;
}

static void attempt_ended(void *ctx, endpoint_t *endpoint, attempt_end_t end,
			  GTimeSpan latency, GTimeSpan now)
{
	(void)ctx;
	(void)latency;
	switch (end) {
	case ATTEMPT_ANSWERED:
		learn_failure(endpoint, 0, now);
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_BAD_ANSWER:
	case ATTEMPT_ERROR_ANSWER:
	case ATTEMPT_SILENT:
	case ATTEMPT_NOT_SENT:
		learn_failure(endpoint, 1, now);
		break;
	case ATTEMPT_SHED:
	case ATTEMPT_MISDIRECTED:
	case ATTEMPT_CANCELLED:
	case ATTEMPT_ABANDONED:
		break;
	}
}

/* Room depends on the load there, which choose() looks at. */
static GTimeSpan room_at(void *ctx, const endpoint_t *endpoint)
{
	(void)ctx;
	(void)endpoint;
	return 0;
}

/* Probes follow calls; without calls no report is of use. */
static gboolean needs_report(void *ctx, const endpoint_t *endpoint)
{
	(void)ctx;
	(void)endpoint;
	return FALSE;
}

routing_t routing_expected_latency(upstream_t *upstream)
{
	return (routing_t){ .choose = choose,
			    .room_at = room_at,
			    .attempt_ended = attempt_ended,
			    .needs_report = needs_report,
			    .trusts_reports = TRUE,
			    .ctx = upstream };
}

static void learn_endpoint_pace(endpoint_t *endpoint, double pace,
				GTimeSpan now)
{
	double known = aged_pace(endpoint, now);

	endpoint->pace = known + PACE_WEIGHT * (pace - known);
	endpoint->pace_at = now;
}

void upstream_record_service_time_ratio(upstream_t *upstream, const char *id,
					const load_report_t *report,
					double pace, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);

	/* The request that was answered is no longer in the report. */
	double *mean = report->in_flight + 1 >= report->slots ?
			       &upstream->pace_full :
			       &upstream->pace_free;

	if (!*mean)
		*mean = pace;
	*mean += LAST_SLOT_WEIGHT * (pace - *mean);
	if (endpoint)
		learn_endpoint_pace(endpoint, pace, now);
}

double upstream_expected_slowdown(const upstream_t *upstream,
				  const endpoint_t *endpoint, GTimeSpan now)
{
	return upstream->routing.trusts_reports ?
		       slowdown_of(upstream, endpoint, now) :
		       0;
}
