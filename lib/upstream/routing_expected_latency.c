/*
 * Selects the endpoint with the lowest expected latency, based on load reports
 * that are requested before a call is sent. Endpoints in this entry's data
 * centre take precedence while one of them is expected to meet the objective,
 * because traffic between data centres is expensive.
 *
 * A load report becomes outdated within about one service time. The reported
 * requests of other entries and the reported slowdown therefore decay to their
 * long-term averages as the report ages.
 */
#include <math.h>
#include <string.h>

#include "lib/upstream/upstream_internal.h"

/* Assumed while the service time of such calls is unknown. */
#define SERVICE_TIME_DEFAULT (100 * G_TIME_SPAN_MILLISECOND)
/*
 * Slowdowns caused by other work on the same machine last about this long
 * (docs/decisions/placing.md).
 */
#define SLOWDOWN_DECAY_TIME (150 * G_TIME_SPAN_MILLISECOND)
/* Average slowdown assumed before the first report. */
#define SLOWDOWN_DEFAULT_PERCENT 150.0
/*
 * A slower endpoint is used only if the call meets its objective there. Noisy
 * neighbours make requests several times slower.
 */
#define SLOWDOWN_ACCEPTABLE_PERCENT 220.0
/* Time constant with which the ratio of an endpoint decays to 1. */
#define SERVICE_TIME_RATIO_DECAY_TIME (4 * G_TIME_SPAN_SECOND)
#define SERVICE_TIME_RATIO_WEIGHT 0.5
#define SERVICE_TIME_RATIO_MAX 10.0
/*
 * A request older than this multiple of its usual service time is overdue.
 * Below it, the age may be the usual variation of service times.
 */
#define OVERDUE_FACTOR 2.0
/* Part of the time to the objective that the expected latency may take. */
#define OBJECTIVE_SHARE 0.85
/* Endpoints whose costs differ by less than this factor are equivalent. */
#define TIE_FACTOR 1.1
/* Slowdown of a newly started endpoint. */
#define WARMUP_FACTOR 2.0
/*
 * Slowdown of requests in the last free slot: the initial value, the weight of
 * new samples and the upper bound. It is about 1.5 at three slots.
 */
#define LAST_SLOT_FACTOR 1.3
#define LAST_SLOT_FACTOR_WEIGHT 0.02
#define LAST_SLOT_FACTOR_MAX 4.0
/*
 * Estimated loads are fractional. An endpoint is full if its load is within
 * this distance of its slots, such as 1.8 of 2.
 */
#define LOAD_TOLERANCE 0.6
/*
 * Fewest slots at which the last one is reserved for calls that can meet their
 * objective. At two slots the reserve would be half of the endpoint, and too
 * many calls would be refused.
 */
#define RESERVING_SLOTS_MIN 3
/*
 * A preferred endpoint that meets the objective is left for another one only if
 * its cost is higher by this factor, about that of a full endpoint.
 */
#define PREFERENCE_FACTOR 1.5
/* Cost of a failed attempt, in expected latencies. */
#define FAILURE_COST 6.0
#define FAILURE_WEIGHT 0.3
#define FAILURE_DECAY_TIME (4 * G_TIME_SPAN_SECOND)
/* An endpoint is not probed if its report is not older than this. */
#define REPORT_FRESH_AGE_MAX (10 * G_TIME_SPAN_MILLISECOND)
/* Older reports do not show the current slowdown: see SLOWDOWN_DECAY_TIME. */
#define REPORT_USABLE_AGE_MAX (50 * G_TIME_SPAN_MILLISECOND)
/* An endpoint with more unanswered probes in a row is probed last. */
#define UNANSWERED_PROBES_MAX 2

gboolean load_report_shows_capacity(const load_report_t *report)
{
	return !report->draining && report->in_flight < report->slots &&
	       report->slowdown_percent <= SLOWDOWN_ACCEPTABLE_PERCENT;
}

static guint known_slots(const upstream_t *upstream, const endpoint_t *endpoint)
{
	if (!endpoint->report.slots && endpoint->info.slots)
		return endpoint->info.slots;
	return endpoint_slots(upstream, endpoint);
}

static double expected_slowdown(const upstream_t *upstream,
				const endpoint_t *endpoint, GTimeSpan now)
{
	double usual = upstream->mean_slowdown ? upstream->mean_slowdown :
						 SLOWDOWN_DEFAULT_PERCENT;
	double weight;

	if (!endpoint->reported_at || !endpoint->report.slowdown_percent)
		return usual;
	weight = exp(-(double)(now - endpoint->reported_at) /
		     SLOWDOWN_DECAY_TIME);
	return usual + weight * (endpoint->report.slowdown_percent - usual);
}

/* The measured ratio, which decays to 1, the ratio of the other endpoints. */
static double decayed_time_ratio(const endpoint_t *endpoint, GTimeSpan now)
{
	double age = (double)(now - endpoint->service_time_ratio_at);

	if (endpoint->service_time_ratio <= 0)
		return 1;
	return 1 + (endpoint->service_time_ratio - 1) *
			   exp(-age / SERVICE_TIME_RATIO_DECAY_TIME);
}

/*
 * How much slower than the others the endpoint is, beyond the slowdown that it
 * reports: from the latency of its answers and the age of its oldest pending
 * attempt.
 */
static double expected_time_ratio(const endpoint_t *endpoint,
				  const upstream_criteria_t *criteria,
				  GTimeSpan now)
{
	const pending_attempt_t *oldest =
		TAILQ_FIRST(&endpoint->pending_attempts);
	double ratio = decayed_time_ratio(endpoint, now);

	if (oldest && criteria->service_time > 0)
		ratio = MAX(ratio, (double)(now - oldest->started) /
					   (double)criteria->service_time /
					   OVERDUE_FACTOR);
	return CLAMP(ratio, 1, SERVICE_TIME_RATIO_MAX);
}

static double decayed_failure_rate(const endpoint_t *endpoint, GTimeSpan now)
{
	double age = (double)(now - endpoint->failure_rate_at);

	return endpoint->failure_rate * exp(-age / FAILURE_DECAY_TIME);
}

/* How much longer requests take at full endpoints than at others. */
static double last_slot_factor(const upstream_t *upstream)
{
	if (!upstream->service_time_ratio_full ||
	    !upstream->service_time_ratio_free)
		return LAST_SLOT_FACTOR;
	return CLAMP(upstream->service_time_ratio_full /
			     upstream->service_time_ratio_free,
		     1, LAST_SLOT_FACTOR_MAX);
}

static double expected_latency(const upstream_t *upstream,
			       const endpoint_t *endpoint,
			       const upstream_criteria_t *criteria,
			       GTimeSpan now)
{
	double load = endpoint_load(upstream, endpoint, now);
	double slots = known_slots(upstream, endpoint);
	double service_time = criteria->service_time > 0 ?
				      (double)criteria->service_time :
				      SERVICE_TIME_DEFAULT;
	double latency = service_time *
			 expected_slowdown(upstream, endpoint, now) / 100 *
			 expected_time_ratio(endpoint, criteria, now);

	if (now < endpoint->warmup_until)
		latency *= WARMUP_FACTOR;
	if (load + 1 > slots)
		latency *= 1 + (load + 1 - slots) / slots;
	if (load + 1 >= slots)
		latency *= last_slot_factor(upstream);
	return latency;
}

/* Expected latency, plus the expected cost of a failure. */
static double expected_cost(const upstream_t *upstream,
			    const endpoint_t *endpoint,
			    const upstream_criteria_t *criteria, GTimeSpan now)
{
	return expected_latency(upstream, endpoint, criteria, now) *
	       (1 + FAILURE_COST * decayed_failure_rate(endpoint, now));
}

static gboolean meets_objective(const upstream_t *upstream,
				const endpoint_t *endpoint,
				const upstream_criteria_t *criteria,
				GTimeSpan now)
{
	return criteria->objective_left > 0 &&
	       expected_cost(upstream, endpoint, criteria, now) <=
		       OBJECTIVE_SHARE * (double)criteria->objective_left;
}

/*
 * A request keeps until its end the speed that the endpoint had when it
 * started. One that starts during a slowdown misses its objective and occupies
 * its slot several times as long. As a slowdown ends within a fraction of a
 * second, it is better to wait.
 */
static gboolean is_worthwhile(const upstream_t *upstream,
			      const endpoint_t *endpoint,
			      const upstream_criteria_t *criteria,
			      GTimeSpan now)
{
	if (!criteria->stale_report_allowed && upstream->mean_slowdown > 0 &&
	    now - endpoint->reported_at > REPORT_USABLE_AGE_MAX)
		return FALSE;
	if (criteria->remote_without_report &&
	    !upstream_is_local(upstream, endpoint) &&
	    now - endpoint->reported_at > REPORT_USABLE_AGE_MAX)
		return TRUE;
	return expected_slowdown(upstream, endpoint, now) <=
		       SLOWDOWN_ACCEPTABLE_PERCENT ||
	       meets_objective(upstream, endpoint, criteria, now);
}

/*
 * Requests are slower while the last slot of an endpoint is in use, so a call
 * that misses its objective anyway must not make others miss theirs.
 */
static gboolean may_take_last_slot(const upstream_t *upstream,
				   const endpoint_t *endpoint,
				   const upstream_criteria_t *criteria,
				   GTimeSpan now)
{
	return known_slots(upstream, endpoint) < RESERVING_SLOTS_MIN ||
	       !criteria->objective_left ||
	       meets_objective(upstream, endpoint, criteria, now);
}

static gboolean has_free_capacity(const upstream_t *upstream,
				  const endpoint_t *endpoint,
				  const upstream_criteria_t *criteria,
				  GTimeSpan now)
{
	double load = endpoint_load(upstream, endpoint, now) + LOAD_TOLERANCE;
	guint slots = known_slots(upstream, endpoint);

	if (load >= slots)
		return FALSE;
	if (load + 1 >= slots &&
	    !may_take_last_slot(upstream, endpoint, criteria, now))
		return FALSE;
	return is_worthwhile(upstream, endpoint, criteria, now);
}

/*
 * The candidate with the lowest cost; equivalent ones are equally likely. Only
 * preferred ones if preferred_only is set.
 */
static endpoint_t *cheapest(const upstream_t *upstream,
			    const candidates_t *candidates,
			    const upstream_criteria_t *criteria, gboolean local,
			    gboolean preferred_only, GTimeSpan now)
{
	endpoint_t *best = NULL;
	double best_cost = 0;
	guint ties = 0;
	guint i;

	for (i = 0; i < candidates->count; i++) {
		endpoint_t *endpoint = candidates->items[i];
		double cost;

		if (upstream_is_local(upstream, endpoint) != local ||
		    (preferred_only && !endpoint->preferred) ||
		    !has_free_capacity(upstream, endpoint, criteria, now))
			continue;
		cost = expected_cost(upstream, endpoint, criteria, now);
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

/* The cheapest candidate, or a preferred one that is nearly as good. */
static endpoint_t *best_of_scope(const upstream_t *upstream,
				 const candidates_t *candidates,
				 const upstream_criteria_t *criteria,
				 gboolean local, GTimeSpan now)
{
	endpoint_t *best =
		cheapest(upstream, candidates, criteria, local, FALSE, now);
	endpoint_t *preferred;
	double factor = TIE_FACTOR;

	if (!best || best->preferred || !upstream_prefers_endpoints(upstream))
		return best;
	preferred = cheapest(upstream, candidates, criteria, local, TRUE, now);
	if (!preferred)
		return best;
	if (meets_objective(upstream, preferred, criteria, now))
		factor = PREFERENCE_FACTOR;
	return expected_cost(upstream, preferred, criteria, now) <
			       factor * expected_cost(upstream, best, criteria,
						      now) ?
		       preferred :
		       best;
}

gboolean upstream_accepts_local_work(const upstream_t *upstream, GTimeSpan now)
{
	const endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (upstream_is_local(upstream, endpoint) &&
		    health_accepts_work(endpoint, now))
			return TRUE;
	return FALSE;
}

/*
 * A call that would miss its objective in another data centre too leaves the
 * slots there to calls that meet theirs. Exceptions: no local endpoint accepts
 * work, or remote_when_late is set and no local candidate has capacity.
 */
static endpoint_t *choose(void *ctx, const candidates_t *candidates,
			  const upstream_criteria_t *criteria, GTimeSpan now)
{
	const upstream_t *upstream = ctx;
	endpoint_t *local =
		best_of_scope(upstream, candidates, criteria, TRUE, now);
	endpoint_t *remote;

	if (local && meets_objective(upstream, local, criteria, now))
		return local;
	remote = best_of_scope(upstream, candidates, criteria, FALSE, now);
	if (remote && (!upstream_accepts_local_work(upstream, now) ||
		       (!local && (criteria->remote_when_late ||
				   criteria->remote_without_report)) ||
		       meets_objective(upstream, remote, criteria, now)))
		return remote;
	return local;
}

gboolean upstream_local_meets_objective(upstream_t *upstream,
					const upstream_criteria_t *criteria,
					GTimeSpan now)
{
	const endpoint_t *endpoint;

	if (!upstream->routing.probes_before_calls)
		return TRUE;
	endpoint = upstream_choose_for(upstream, criteria, now);
	return endpoint && upstream_is_local(upstream, endpoint) &&
	       meets_objective(upstream, endpoint, criteria, now);
}

static gboolean is_probe_allowed(const upstream_t *upstream,
				 const endpoint_t *endpoint,
				 upstream_scope_t scope, GTimeSpan now)
{
	return upstream_is_local(upstream, endpoint) ==
		       (scope == SCOPE_LOCAL) &&
	       health_accepts_work(endpoint, now) &&
	       !health_is_blocked(endpoint, now) &&
	       now >= endpoint->backoff_until;
}

static gboolean is_report_fresh(const endpoint_t *endpoint, GTimeSpan now)
{
	return endpoint->reported_at &&
	       now - endpoint->reported_at <= REPORT_FRESH_AGE_MAX;
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

/*
 * Moves a cold endpoint that should get the next attempt to the front, as it is
 * selected only with a recent report.
 */
static void put_due_cold_first(GPtrArray *endpoints, GTimeSpan now)
{
	guint i;

	for (i = 0; i < endpoints->len; i++) {
		endpoint_t *endpoint = endpoints->pdata[i];

		if (!warmup_limit_is_due(&endpoint->warmup, now))
			continue;
		endpoints->pdata[i] = endpoints->pdata[0];
		endpoints->pdata[0] = endpoint;
		return;
	}
}

static guint take_probes(GPtrArray *endpoints, const char **ids, guint max,
			 guint unanswered_max, GTimeSpan now)
{
	guint count = 0;
	guint i;

	for (i = 0; i < endpoints->len && count < max; i++) {
		endpoint_t *endpoint = endpoints->pdata[i];

		if (endpoint->unanswered_probes > unanswered_max ||
		    endpoint->probed_at == now ||
		    !probe_budget_take(&endpoint->probes, now))
			continue;
		endpoint->probed_at = now;
		ids[count++] = endpoint_id(endpoint);
	}
	return count;
}

/* Probes of the endpoints, last of those that do not answer probes. */
static guint probe_from(upstream_t *upstream, GPtrArray *endpoints,
			const char **ids, guint max, GTimeSpan now)
{
	guint count;

	shuffle(endpoints, upstream->random);
	put_due_cold_first(endpoints, now);
	count = take_probes(endpoints, ids, max, UNANSWERED_PROBES_MAX, now);
	if (count < max)
		count += take_probes(endpoints, ids + count, max - count,
				     G_MAXUINT, now);
	return count;
}

/* The report shows that a request would have to wait or would be slow. */
static gboolean is_known_busy(const upstream_t *upstream,
			      const endpoint_t *endpoint, GTimeSpan now)
{
	return endpoint->reported_at &&
	       now - endpoint->reported_at <= REPORT_USABLE_AGE_MAX &&
	       (endpoint_load(upstream, endpoint, now) + LOAD_TOLERANCE >=
			known_slots(upstream, endpoint) ||
		expected_slowdown(upstream, endpoint, now) >
			SLOWDOWN_ACCEPTABLE_PERCENT);
}

/*
 * Probes the preferred endpoints, and sets how many probes are left for others:
 * those for which no preferred one is usable or has probe budget, or nearly all
 * if none of the preferred ones has capacity.
 */
static guint probe_preferred(upstream_t *upstream, upstream_scope_t scope,
			     const char **ids, guint max, guint *others,
			     GTimeSpan now)
{
	GPtrArray *wanted = upstream->eligible;
	endpoint_t *endpoint;
	guint usable = 0, busy = 0;
	guint count;

	g_ptr_array_set_size(wanted, 0);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!(endpoint->preferred ||
		      warmup_limit_is_due(&endpoint->warmup, now)) ||
		    !is_probe_allowed(upstream, endpoint, scope, now))
			continue;
		usable++;
		busy += is_known_busy(upstream, endpoint, now);
		if (!is_report_fresh(endpoint, now))
			g_ptr_array_add(wanted, endpoint);
	}
	if (busy == usable) {
		count = probe_from(upstream, wanted, ids, MIN(max, 1), now);
		*others = max - count;
		return count;
	}
	count = probe_from(upstream, wanted, ids, max, now);
	*others = max - MIN(max, count + usable - wanted->len);
	/* All preferred ones were just probed, and the call needs another. */
	if (!wanted->len)
		*others = max;
	return count;
}

guint upstream_plan_probes(upstream_t *upstream, upstream_scope_t scope,
			   const char **ids, guint max, GTimeSpan now)
{
	GPtrArray *wanted = upstream->eligible;
	guint others = max;
	endpoint_t *endpoint;
	guint count = 0;

	if (!upstream->routing.probes_before_calls)
		return 0;
	if (upstream_prefers_endpoints(upstream))
		count = probe_preferred(upstream, scope, ids, max, &others,
					now);
	g_ptr_array_set_size(wanted, 0);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (is_probe_allowed(upstream, endpoint, scope, now) &&
		    !is_report_fresh(endpoint, now) &&
		    !(endpoint->preferred &&
		      upstream_prefers_endpoints(upstream)))
			g_ptr_array_add(wanted, endpoint);
	return count + probe_from(upstream, wanted, ids + count, others, now);
}

static void record_failure_sample(endpoint_t *endpoint, double sample,
				  GTimeSpan now)
{
	double share = decayed_failure_rate(endpoint, now);

	endpoint->failure_rate = share + FAILURE_WEIGHT * (sample - share);
	endpoint->failure_rate_at = now;
}

static void attempt_ended(void *ctx, endpoint_t *endpoint, attempt_end_t end,
			  GTimeSpan latency, GTimeSpan now)
{
	(void)ctx;
	(void)latency;
	switch (end) {
	case ATTEMPT_ANSWERED:
		record_failure_sample(endpoint, 0, now);
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_BAD_ANSWER:
	case ATTEMPT_ERROR_ANSWER:
	case ATTEMPT_SILENT:
	case ATTEMPT_NOT_SENT:
		record_failure_sample(endpoint, 1, now);
		break;
	case ATTEMPT_SHED:
	case ATTEMPT_MISDIRECTED:
	case ATTEMPT_CANCELLED:
	case ATTEMPT_ABANDONED:
		break;
	}
}

/* Never limits attempts itself, because choose() checks the load. */
static GTimeSpan available_at(void *ctx, const endpoint_t *endpoint)
{
	(void)ctx;
	(void)endpoint;
	return 0;
}

/* Probes are sent only for calls, see upstream_plan_probes(). */
static gboolean needs_report(void *ctx, const endpoint_t *endpoint)
{
	(void)ctx;
	(void)endpoint;
	return FALSE;
}

routing_t routing_expected_latency(upstream_t *upstream)
{
	return (routing_t){ .choose = choose,
			    .available_at = available_at,
			    .attempt_ended = attempt_ended,
			    .needs_report = needs_report,
			    .probes_before_calls = TRUE,
			    .ctx = upstream };
}

static void record_endpoint_time_ratio(endpoint_t *endpoint, double ratio,
				       GTimeSpan now)
{
	double known = decayed_time_ratio(endpoint, now);

	endpoint->service_time_ratio =
		known + SERVICE_TIME_RATIO_WEIGHT * (ratio - known);
	endpoint->service_time_ratio_at = now;
}

void upstream_record_service_time_ratio(upstream_t *upstream, const char *id,
					const load_report_t *report,
					double ratio, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);

	/* The report no longer includes the completed request. */
	double *mean = report->in_flight + 1 >= report->slots ?
			       &upstream->service_time_ratio_full :
			       &upstream->service_time_ratio_free;

	if (!*mean)
		*mean = ratio;
	*mean += LAST_SLOT_FACTOR_WEIGHT * (ratio - *mean);
	if (endpoint)
		record_endpoint_time_ratio(endpoint, ratio, now);
}

double upstream_expected_slowdown(const upstream_t *upstream,
				  const endpoint_t *endpoint, GTimeSpan now)
{
	return upstream->routing.probes_before_calls ?
		       expected_slowdown(upstream, endpoint, now) :
		       0;
}
