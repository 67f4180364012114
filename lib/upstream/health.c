/*
 * Availability of endpoints: draining, outlier ejection after failures,
 * exclusion of slow endpoints, backoff after refusals, and the gradual increase
 * of the share of new and recovered endpoints.
 */
#include "lib/upstream/upstream_internal.h"

/* Consecutive failures; a single one may be caused by the request itself. */
#define FAILURES_TO_EJECT 3
#define EJECTION_TIME_MIN G_TIME_SPAN_SECOND
#define EJECTION_DOUBLINGS_MAX 6 /* 64 s */
/*
 * No endpoint is ejected above this failure ratio of the whole service: the
 * cause is not a single endpoint then.
 */
#define SERVICE_FAILURE_RATIO 0.5
#define SERVICE_FAILURE_WEIGHT 0.02

/* An attempt is slow above this multiple of the median latency. */
#define SLOW_FACTOR 3.0
/* Smaller differences are timer and scheduling noise. */
#define SLOW_MARGIN (2 * G_TIME_SPAN_MILLISECOND)
/* Consecutive; where service times vary widely, single attempts are slow. */
#define SLOW_ATTEMPTS_TO_EXCLUDE 2
/* A single attempt is enough if it exceeds the bound by this factor. */
#define VERY_SLOW_FACTOR 2
/*
 * Multiplied by the number of entries: together they try a slow endpoint about
 * once a second at first. More frequent trials would be one call in a hundred
 * and raise the 99th percentile of latency.
 */
#define TRIAL_INTERVAL_PER_ENTRY G_TIME_SPAN_SECOND
#define TRIAL_DOUBLINGS_MAX 3

/*
 * An answer within this fraction of the usual latency cannot be the result of
 * the work and counts as a failure.
 */
#define QUICK_FACTOR 0.1
/* Fast answers are accepted below this usual latency: caches explain them. */
#define QUICK_LATENCY_MIN (2 * G_TIME_SPAN_MILLISECOND)

#define RAMP_DURATION (5 * G_TIME_SPAN_SECOND)
#define RAMP_INITIAL_SHARE 0.1 /* of the full share */

#define SHED_BACKOFF_MIN G_TIME_SPAN_MILLISECOND
#define SHED_BACKOFF_MAX (100 * G_TIME_SPAN_MILLISECOND)

static gboolean is_in_service(const endpoint_t *endpoint)
{
	return endpoint->listed && !endpoint->info.leaving &&
	       !endpoint->notices.leaving && !endpoint->draining &&
	       !endpoint->evacuated;
}

GTimeSpan health_accepts_work_at(const endpoint_t *endpoint, GTimeSpan now)
{
	GTimeSpan usable_at = warmup_limit_usable_at(&endpoint->warmup, now);

	if (!is_in_service(endpoint))
		return CATK_NEVER;
	return now < endpoint->notices.paused_until ?
		       MAX(endpoint->notices.paused_until, usable_at) :
		       usable_at;
}

gboolean health_accepts_work(const endpoint_t *endpoint, GTimeSpan now)
{
	return health_accepts_work_at(endpoint, now) == 0;
}

gboolean health_is_blocked(const endpoint_t *endpoint, GTimeSpan now)
{
	return endpoint->slow || now < endpoint->ejected_until;
}

/* TRUE if blocking that many more leaves at least half of them unblocked. */
static gboolean half_remains_unblocked(const upstream_t *upstream,
				       guint additional, GTimeSpan now)
{
	const endpoint_t *endpoint;
	guint blocked = additional;
	guint working = 0;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!health_accepts_work(endpoint, now))
			continue;
		working++;
		blocked += health_is_blocked(endpoint, now);
	}
	return blocked * 2 <= working;
}

gboolean health_may_exclude_blocked(const upstream_t *upstream, GTimeSpan now)
{
	return half_remains_unblocked(upstream, 0, now);
}

/* The bound grows with the queue that the endpoint reports. */
static gboolean is_slow(const upstream_t *upstream, const endpoint_t *endpoint,
			GTimeSpan latency)
{
	double slots = endpoint_slots(upstream, endpoint);
	double queueing = MAX((endpoint->report.in_flight + 1) / slots, 1);

	return upstream->median_latency > 0 &&
	       (double)latency >
		       SLOW_FACTOR * queueing * upstream->median_latency +
			       SLOW_MARGIN;
}

/* The age of a pending attempt shows a slow endpoint before it answers. */
static gboolean has_late_attempt(const upstream_t *upstream,
				 const endpoint_t *endpoint, GTimeSpan now)
{
	const pending_attempt_t *oldest =
		TAILQ_FIRST(&endpoint->pending_attempts);

	return oldest && is_slow(upstream, endpoint, now - oldest->started);
}

void health_start_ramp(endpoint_t *endpoint, GTimeSpan now)
{
	endpoint->ramp_started_at = now;
}

static gboolean is_skipped_by_ramp(const upstream_t *upstream,
				   const endpoint_t *endpoint, GTimeSpan now)
{
	double share;

	if (!endpoint->ramp_started_at ||
	    now >= endpoint->ramp_started_at + RAMP_DURATION)
		return FALSE;
	share = RAMP_INITIAL_SHARE +
		(1 - RAMP_INITIAL_SHARE) *
			(double)(now - endpoint->ramp_started_at) /
			RAMP_DURATION;
	return g_rand_double(upstream->random) >= share;
}

/* A blocked endpoint is tried by one attempt at a time. */
static gboolean may_be_tried(const endpoint_t *endpoint, GTimeSpan now)
{
	if (endpoint->in_flight > 0 || now < endpoint->ejected_until)
		return FALSE;
	return !endpoint->slow || now >= endpoint->next_trial_at;
}

static GTimeSpan available_at(const upstream_t *upstream,
			      const endpoint_t *endpoint)
{
	if (upstream->routing.available_at)
		return upstream->routing.available_at(upstream->routing.ctx,
						      endpoint);
	return endpoint->in_flight < endpoint_slots(upstream, endpoint) ?
		       0 :
		       CATK_NEVER;
}

availability_t health_availability(const upstream_t *upstream,
				   const endpoint_t *endpoint,
				   gboolean exclude_blocked, GTimeSpan now)
{
	if (!health_accepts_work(endpoint, now) ||
	    now < endpoint->backoff_until ||
	    now < available_at(upstream, endpoint) ||
	    now < warmup_limit_token_at(&endpoint->warmup, now))
		return AVAILABLE_NO;
	/* Each attempt occupies a connection. */
	if (endpoint->in_flight >= upstream_connection_share(upstream))
		return AVAILABLE_NO;
	if (exclude_blocked &&
	    (endpoint->slow || endpoint->consecutive_ejections))
		return may_be_tried(endpoint, now) ? AVAILABLE_YES :
						     AVAILABLE_NO;
	if (endpoint->info.doubtful ||
	    (!upstream->routing.probes_before_calls &&
	     has_late_attempt(upstream, endpoint, now)) ||
	    is_skipped_by_ramp(upstream, endpoint, now))
		return AVAILABLE_AS_FALLBACK;
	return AVAILABLE_YES;
}

/* The interval is randomised so that the trials of entries do not coincide. */
static void schedule_trial(const upstream_t *upstream, endpoint_t *endpoint,
			   GTimeSpan now)
{
	guint doublings = MIN(endpoint->trial_count, TRIAL_DOUBLINGS_MAX);
	GTimeSpan mean = (TRIAL_INTERVAL_PER_ENTRY << doublings) *
			 upstream->options.entries_max;

	endpoint->trial_count++;
	endpoint->next_trial_at =
		now +
		(GTimeSpan)(g_rand_double_range(upstream->random, 0.5, 1.5) *
			    (double)mean);
}

void health_attempt_started(const upstream_t *upstream, endpoint_t *endpoint,
			    GTimeSpan now)
{
	if (endpoint->slow)
		schedule_trial(upstream, endpoint, now);
}

static void record_slow_attempt(upstream_t *upstream, endpoint_t *endpoint,
				GTimeSpan latency, GTimeSpan now)
{
	endpoint->consecutive_slow_attempts++;
	if (is_slow(upstream, endpoint, latency / VERY_SLOW_FACTOR))
		endpoint->consecutive_slow_attempts = SLOW_ATTEMPTS_TO_EXCLUDE;
	if (endpoint->slow ||
	    endpoint->consecutive_slow_attempts < SLOW_ATTEMPTS_TO_EXCLUDE ||
	    !half_remains_unblocked(upstream, 1, now))
		return;
	endpoint->slow = TRUE;
	endpoint->trial_count = 0;
	schedule_trial(upstream, endpoint, now);
	counters_add(upstream->counters, COUNTER_ENDPOINTS_SLOW, 1);
}

static void update_slow_state(upstream_t *upstream, endpoint_t *endpoint,
			      GTimeSpan latency, GTimeSpan now)
{
	if (is_slow(upstream, endpoint, latency)) {
		record_slow_attempt(upstream, endpoint, latency, now);
		return;
	}
	endpoint->consecutive_slow_attempts = 0;
	if (!endpoint->slow)
		return;
	endpoint->slow = FALSE;
	health_start_ramp(endpoint, now);
}

/*
 * Compares with the median too: an endpoint that has just stopped being slow is
 * much faster than its own average.
 */
static gboolean is_implausibly_quick(const upstream_t *upstream,
				     const endpoint_t *endpoint,
				     GTimeSpan latency)
{
	double usual = MIN(endpoint->mean_latency, upstream->median_latency);

	return usual >= QUICK_LATENCY_MIN &&
	       (double)latency < QUICK_FACTOR * usual;
}

static void log_health(const upstream_t *upstream, const endpoint_t *endpoint,
		       const char *event, GTimeSpan duration)
{
	if (!upstream->options.log)
		return;
	LOG_EVENT(upstream->options.log, event,
		  LOG_TEXT("service", upstream->service),
		  LOG_TEXT("endpoint", endpoint_id(endpoint)),
		  LOG_NUMBER("failures", endpoint->consecutive_failures),
		  LOG_NUMBER("duration_us", duration));
}

static void eject(upstream_t *upstream, endpoint_t *endpoint, GTimeSpan now)
{
	guint doublings =
		MIN(endpoint->consecutive_ejections, EJECTION_DOUBLINGS_MAX);

	if (upstream->failure_ratio > SERVICE_FAILURE_RATIO ||
	    (!health_is_blocked(endpoint, now) &&
	     !half_remains_unblocked(upstream, 1, now)))
		return;
	endpoint->consecutive_ejections++;
	endpoint->ejected_until = now + (EJECTION_TIME_MIN << doublings);
	counters_add(upstream->counters, COUNTER_ENDPOINTS_EJECTED, 1);
	log_health(upstream, endpoint, "endpoint_ejected",
		   endpoint->ejected_until - now);
}

static void record_failure(upstream_t *upstream, endpoint_t *endpoint,
			   guint weight, GTimeSpan now)
{
	upstream->failure_ratio +=
		SERVICE_FAILURE_WEIGHT * (1 - upstream->failure_ratio);
	endpoint->consecutive_failures += weight;
	if (endpoint->consecutive_ejections ||
	    endpoint->consecutive_failures >= FAILURES_TO_EJECT)
		eject(upstream, endpoint, now);
}

static void record_success(upstream_t *upstream, endpoint_t *endpoint,
			   GTimeSpan now)
{
	upstream->failure_ratio -=
		SERVICE_FAILURE_WEIGHT * upstream->failure_ratio;
	endpoint->consecutive_failures = 0;
	endpoint->ejected_until = 0;
	if (!endpoint->consecutive_ejections)
		return;
	endpoint->consecutive_ejections = 0;
	health_start_ramp(endpoint, now);
}

/* If probes guide the choice, refusals that report a free slot are ignored. */
static void back_off_after_refusal(const upstream_t *upstream,
				   endpoint_t *endpoint, GTimeSpan now)
{
	GTimeSpan pause = (GTimeSpan)upstream->mean_latency;

	if (upstream->routing.probes_before_calls &&
	    endpoint->reported_at == now &&
	    endpoint->report.in_flight < endpoint->report.slots)
		return;
	endpoint->backoff_until =
		now + CLAMP(pause, SHED_BACKOFF_MIN, SHED_BACKOFF_MAX);
}

void health_attempt_ended(upstream_t *upstream, endpoint_t *endpoint,
			  attempt_end_t end, GTimeSpan latency, GTimeSpan now)
{
	switch (end) {
	case ATTEMPT_ANSWERED:
		if (is_implausibly_quick(upstream, endpoint, latency)) {
			record_failure(upstream, endpoint, 1, now);
			return;
		}
		record_success(upstream, endpoint, now);
		if (!upstream->routing.probes_before_calls)
			update_slow_state(upstream, endpoint, latency, now);
		break;
	case ATTEMPT_ERROR_ANSWER:
	case ATTEMPT_BAD_ANSWER:
	case ATTEMPT_FAILED:
		record_failure(upstream, endpoint, 1, now);
		break;
	case ATTEMPT_NOT_SENT:
		/* Certainly a fault of the endpoint: eject at once. */
		record_failure(upstream, endpoint, FAILURES_TO_EJECT, now);
		break;
	case ATTEMPT_MISDIRECTED:
		/* The endpoint was replaced by another at its address. */
		endpoint->draining = TRUE;
		endpoint->drain_seen_at = now;
		log_health(upstream, endpoint, "endpoint_replaced", 0);
		break;
	case ATTEMPT_SHED:
		back_off_after_refusal(upstream, endpoint, now);
		break;
	case ATTEMPT_ABANDONED:
		if (!upstream->routing.probes_before_calls &&
		    is_slow(upstream, endpoint, latency))
			update_slow_state(upstream, endpoint, latency, now);
		break;
	case ATTEMPT_CANCELLED:
	case ATTEMPT_SILENT:
		break;
	}
}

static void lower_to_future_instant(GTimeSpan *earliest, GTimeSpan instant,
				    GTimeSpan now)
{
	if (instant > now)
		*earliest = MIN(*earliest, instant);
}

GTimeSpan health_next_change_at(const upstream_t *upstream,
				const endpoint_t *endpoint, GTimeSpan now)
{
	GTimeSpan earliest = CATK_NEVER;

	if (!health_accepts_work(endpoint, now))
		return health_accepts_work_at(endpoint, now);
	lower_to_future_instant(&earliest, endpoint->backoff_until, now);
	lower_to_future_instant(&earliest, endpoint->ejected_until, now);
	lower_to_future_instant(&earliest, endpoint->next_trial_at, now);
	lower_to_future_instant(&earliest, available_at(upstream, endpoint),
				now);
	lower_to_future_instant(
		&earliest, warmup_limit_token_at(&endpoint->warmup, now), now);
	return earliest;
}
