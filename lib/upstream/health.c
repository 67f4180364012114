/*
 * Which endpoints may be chosen: draining, ejection after failures,
 * stragglers, refusals and the ramp of a cold start.
 */
#include "lib/upstream/upstream_internal.h"

/* Failures in a row that eject; one may be the request's own fault. */
#define FAILURES_TO_EJECT 3
#define EJECTION_MIN G_TIME_SPAN_SECOND
#define EJECTION_DOUBLINGS_MAX 6 /* 64 s */
/* With more failures than this in the whole service no endpoint is to blame. */
#define SERVICE_FAILURE_RATIO 0.5
#define SERVICE_FAILURE_WEIGHT 0.02

/* An attempt is slow at this multiple of the median latency. */
#define SLOW_FACTOR 3.0
/* Differences below this are noise of timers and scheduling. */
#define SLOW_MARGIN (2 * G_TIME_SPAN_MILLISECOND)
/* In a row; a service whose times vary widely has single slow attempts. */
#define SLOW_ATTEMPTS 2
/* One attempt this many times beyond the bound is enough. */
#define VERY_SLOW_FACTOR 2
/*
 * The whole fleet tries a straggler about once a second at first: more trials
 * would be one in a hundred calls and show in the 99th percentile.
 */
#define TRIAL_INTERVAL_PER_ENTRY G_TIME_SPAN_SECOND
#define TRIAL_DOUBLINGS_MAX 3

/* An answer below this part of the usual latency cannot be the work's result. */
#define QUICK_FACTOR 0.1
/* Shorter latencies are not judged: a cache may explain them. */
#define QUICK_LATENCY_MIN (2 * G_TIME_SPAN_MILLISECOND)

#define RAMP_TIME (5 * G_TIME_SPAN_SECOND)
#define RAMP_START 0.1 /* share at the start */

#define FULL_PAUSE_MIN G_TIME_SPAN_MILLISECOND
#define FULL_PAUSE_MAX (100 * G_TIME_SPAN_MILLISECOND)

gboolean health_takes_work(const endpoint_t *endpoint)
{
	return endpoint->listed && !endpoint->info.leaving &&
	       !endpoint->draining;
}

gboolean health_is_blocked(const endpoint_t *endpoint, GTimeSpan now)
{
	return endpoint->slow || now < endpoint->ejected_until;
}

static gboolean half_stays(const upstream_t *upstream, guint more,
			   GTimeSpan now)
{
	const endpoint_t *endpoint;
	guint blocked = more;
	guint working = 0;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!health_takes_work(endpoint))
			continue;
		working++;
		blocked += health_is_blocked(endpoint, now);
	}
	return blocked * 2 <= working;
}

gboolean health_keeps_half(const upstream_t *upstream, GTimeSpan now)
{
	return half_stays(upstream, 0, now);
}

/* Waiting behind the requests that an endpoint reports is not slowness. */
static gboolean is_slow(const upstream_t *upstream, const endpoint_t *endpoint,
			GTimeSpan latency)
{
	double slots = endpoint_slots(upstream, endpoint);
	double queueing = MAX((endpoint->report.in_flight + 1) / slots, 1);

	return upstream->median > 0 &&
	       (double)latency >
		       SLOW_FACTOR * queueing * upstream->median + SLOW_MARGIN;
}

/* The age of an attempt in flight is the earliest sign of a straggler. */
static gboolean is_late(const upstream_t *upstream, const endpoint_t *endpoint,
			GTimeSpan now)
{
	const flight_t *oldest = TAILQ_FIRST(&endpoint->flights);

	return oldest && is_slow(upstream, endpoint, now - oldest->started);
}

void health_start_ramp(endpoint_t *endpoint, GTimeSpan now)
{
	endpoint->warm_from = now;
}

static gboolean is_held_back(const upstream_t *upstream,
			     const endpoint_t *endpoint, GTimeSpan now)
{
	double share;

	if (!endpoint->warm_from || now >= endpoint->warm_from + RAMP_TIME)
		return FALSE;
	share = RAMP_START + (1 - RAMP_START) *
				     (double)(now - endpoint->warm_from) /
				     RAMP_TIME;
	return g_rand_double(upstream->random) >= share;
}

/* One attempt at a time decides whether a blocked endpoint comes back. */
static gboolean is_on_trial(const endpoint_t *endpoint, GTimeSpan now)
{
	if (endpoint->in_flight > 0 || now < endpoint->ejected_until)
		return FALSE;
	return !endpoint->slow || now >= endpoint->next_trial;
}

static GTimeSpan room_at(const upstream_t *upstream, const endpoint_t *endpoint)
{
	if (upstream->routing.room_at)
		return upstream->routing.room_at(upstream->routing.ctx,
						 endpoint);
	return endpoint->in_flight < endpoint_slots(upstream, endpoint) ?
		       0 :
		       CATK_NEVER;
}

availability_t health_availability(const upstream_t *upstream,
				   const endpoint_t *endpoint,
				   gboolean keep_blocked, GTimeSpan now)
{
	if (!health_takes_work(endpoint) || now < endpoint->full_until ||
	    now < room_at(upstream, endpoint))
		return AVAILABLE_NO;
	/* An attempt takes one connection. */
	if (endpoint->in_flight >= upstream_connection_share(upstream))
		return AVAILABLE_NO;
	if (keep_blocked && (endpoint->slow || endpoint->ejections))
		return is_on_trial(endpoint, now) ? AVAILABLE_YES :
						    AVAILABLE_NO;
	if (endpoint->info.doubtful ||
	    (!upstream->routing.trusts_reports &&
	     is_late(upstream, endpoint, now)) ||
	    is_held_back(upstream, endpoint, now))
		return AVAILABLE_RESERVE;
	return AVAILABLE_YES;
}

/* Random, so that the entries' trials do not coincide. */
static void plan_trial(const upstream_t *upstream, endpoint_t *endpoint,
		       GTimeSpan now)
{
	guint doublings = MIN(endpoint->trials, TRIAL_DOUBLINGS_MAX);
	GTimeSpan mean = (TRIAL_INTERVAL_PER_ENTRY << doublings) *
			 upstream->limits.entries_max;

	endpoint->trials++;
	endpoint->next_trial =
		now +
		(GTimeSpan)(g_rand_double_range(upstream->random, 0.5, 1.5) *
			    (double)mean);
}

void health_attempt_started(const upstream_t *upstream, endpoint_t *endpoint,
			    GTimeSpan now)
{
	if (endpoint->slow)
		plan_trial(upstream, endpoint, now);
}

static void count_slow(upstream_t *upstream, endpoint_t *endpoint,
		       GTimeSpan latency, GTimeSpan now)
{
	endpoint->slow_attempts++;
	if (is_slow(upstream, endpoint, latency / VERY_SLOW_FACTOR))
		endpoint->slow_attempts = SLOW_ATTEMPTS;
	if (endpoint->slow || endpoint->slow_attempts < SLOW_ATTEMPTS ||
	    !half_stays(upstream, 1, now))
		return;
	endpoint->slow = TRUE;
	endpoint->trials = 0;
	plan_trial(upstream, endpoint, now);
	counters_add(upstream->counters, COUNTER_ENDPOINTS_SLOW, 1);
}

static void judge_latency(upstream_t *upstream, endpoint_t *endpoint,
			  GTimeSpan latency, GTimeSpan now)
{
	if (is_slow(upstream, endpoint, latency)) {
		count_slow(upstream, endpoint, latency, now);
		return;
	}
	endpoint->slow_attempts = 0;
	if (!endpoint->slow)
		return;
	endpoint->slow = FALSE;
	health_start_ramp(endpoint, now);
}

/*
 * Measured against the median as well: an endpoint that is no longer slow is
 * quick only against its own history.
 */
static gboolean is_implausibly_quick(const upstream_t *upstream,
				     const endpoint_t *endpoint,
				     GTimeSpan latency)
{
	double usual = MIN(endpoint->latency, upstream->median);

	return usual >= QUICK_LATENCY_MIN &&
	       (double)latency < QUICK_FACTOR * usual;
}

static void log_health(const upstream_t *upstream, const endpoint_t *endpoint,
		       const char *event, GTimeSpan duration)
{
	if (!upstream->limits.log)
		return;
	LOG_EVENT(upstream->limits.log, event,
		  LOG_TEXT("service", upstream->service),
		  LOG_TEXT("endpoint", endpoint_id(endpoint)),
		  LOG_NUMBER("failures", endpoint->failures),
		  LOG_NUMBER("duration_us", duration));
}

static void eject(upstream_t *upstream, endpoint_t *endpoint, GTimeSpan now)
{
	guint doublings = MIN(endpoint->ejections, EJECTION_DOUBLINGS_MAX);

	if (upstream->failure_ratio > SERVICE_FAILURE_RATIO ||
	    (!health_is_blocked(endpoint, now) &&
	     !half_stays(upstream, 1, now)))
		return;
	endpoint->ejections++;
	endpoint->ejected_until = now + (EJECTION_MIN << doublings);
	counters_add(upstream->counters, COUNTER_ENDPOINTS_EJECTED, 1);
	log_health(upstream, endpoint, "endpoint_ejected",
		   endpoint->ejected_until - now);
}

static void count_failure(upstream_t *upstream, endpoint_t *endpoint,
			  guint weight, GTimeSpan now)
{
	upstream->failure_ratio +=
		SERVICE_FAILURE_WEIGHT * (1 - upstream->failure_ratio);
	endpoint->failures += weight;
	if (endpoint->ejections || endpoint->failures >= FAILURES_TO_EJECT)
		eject(upstream, endpoint, now);
}

static void count_success(upstream_t *upstream, endpoint_t *endpoint,
			  GTimeSpan now)
{
	upstream->failure_ratio -=
		SERVICE_FAILURE_WEIGHT * upstream->failure_ratio;
	endpoint->failures = 0;
	endpoint->ejected_until = 0;
	if (!endpoint->ejections)
		return;
	endpoint->ejections = 0;
	health_start_ramp(endpoint, now);
}

/* An endpoint that reports a free slot with its refusal is not full. */
static void pause_after_refusal(const upstream_t *upstream,
				endpoint_t *endpoint, GTimeSpan now)
{
	GTimeSpan pause = (GTimeSpan)upstream->latency;

	if (upstream->routing.trusts_reports && endpoint->reported == now &&
	    endpoint->report.in_flight < endpoint->report.slots)
		return;
	endpoint->full_until =
		now + CLAMP(pause, FULL_PAUSE_MIN, FULL_PAUSE_MAX);
}

void health_attempt_ended(upstream_t *upstream, endpoint_t *endpoint,
			  attempt_end_t end, GTimeSpan latency, GTimeSpan now)
{
	switch (end) {
	case ATTEMPT_ANSWERED:
		if (is_implausibly_quick(upstream, endpoint, latency)) {
			count_failure(upstream, endpoint, 1, now);
			return;
		}
		count_success(upstream, endpoint, now);
		if (!upstream->routing.trusts_reports)
			judge_latency(upstream, endpoint, latency, now);
		break;
	case ATTEMPT_ERROR_ANSWER:
	case ATTEMPT_BAD_ANSWER:
	case ATTEMPT_FAILED:
		count_failure(upstream, endpoint, 1, now);
		break;
	case ATTEMPT_NOT_SENT:
		/* A refused connection leaves no doubt. */
		count_failure(upstream, endpoint, FAILURES_TO_EJECT, now);
		break;
	case ATTEMPT_MISDIRECTED:
		/* This start of the endpoint has ended. */
		endpoint->draining = TRUE;
		endpoint->drain_seen = now;
		log_health(upstream, endpoint, "endpoint_replaced", 0);
		break;
	case ATTEMPT_SHED:
		pause_after_refusal(upstream, endpoint, now);
		break;
	case ATTEMPT_ABANDONED:
		if (!upstream->routing.trusts_reports &&
		    is_slow(upstream, endpoint, latency))
			judge_latency(upstream, endpoint, latency, now);
		break;
	case ATTEMPT_CANCELLED:
	case ATTEMPT_SILENT:
		break;
	}
}

static void take_earlier(GTimeSpan *earliest, GTimeSpan instant, GTimeSpan now)
{
	if (instant > now)
		*earliest = MIN(*earliest, instant);
}

GTimeSpan health_next_change(const upstream_t *upstream,
			     const endpoint_t *endpoint, GTimeSpan now)
{
	GTimeSpan earliest = CATK_NEVER;

	if (!health_takes_work(endpoint))
		return earliest;
	take_earlier(&earliest, endpoint->full_until, now);
	take_earlier(&earliest, endpoint->ejected_until, now);
	take_earlier(&earliest, endpoint->next_trial, now);
	take_earlier(&earliest, room_at(upstream, endpoint), now);
	return earliest;
}
