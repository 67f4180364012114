/* Load estimation of one endpoint from reports and attempts in flight. */
#include "lib/upstream/upstream_internal.h"

/* Weight of a new report in the moving averages of other entries' load. */
#define OTHERS_WEIGHT 0.1
/* Weight of a new report in the moving average of the slowdown. */
#define SLOWDOWN_WEIGHT 0.05

const char *endpoint_address(const endpoint_t *endpoint)
{
	return endpoint->info.address;
}

guint endpoint_slots(const upstream_t *upstream, const endpoint_t *endpoint)
{
	return endpoint->report.slots ? endpoint->report.slots :
					upstream->slots;
}

/* Requests of other entries at the endpoint according to its last report. */
static double reported_others_load(const endpoint_t *endpoint)
{
	if (endpoint->report.in_flight <= endpoint->own_in_flight_at_report)
		return 0;
	return endpoint->report.in_flight - endpoint->own_in_flight_at_report;
}

/* Average load from others; that of all endpoints until this one reports. */
static double usual_others_load(const upstream_t *upstream,
				const endpoint_t *endpoint)
{
	return endpoint->reported_at ? endpoint->others_load :
				       upstream->others_load;
}

/*
 * The load of an endpoint changes completely within about one service time,
 * so an older report predicts it little better than the average does.
 */
double endpoint_load(const upstream_t *upstream, const endpoint_t *endpoint,
		     GTimeSpan now)
{
	double age = (double)(now - endpoint->reported_at);
	double weight = 0;

	/* Without a known latency the report is taken as current. */
	if (endpoint->reported_at)
		weight = upstream->mean_latency > 0 ?
				 upstream->mean_latency /
					 (upstream->mean_latency + age) :
				 1;
	return endpoint->in_flight + weight * reported_others_load(endpoint) +
	       (1 - weight) * usual_others_load(upstream, endpoint);
}

static void apply_draining(endpoint_t *endpoint, gboolean draining,
			   GTimeSpan requested_at, GTimeSpan now)
{
	if (draining) {
		endpoint->draining = TRUE;
		endpoint->drain_seen_at = now;
		return;
	}
	/* An answer to an older request does not revoke newer information. */
	if (!endpoint->draining || requested_at <= endpoint->drain_seen_at)
		return;
	endpoint->draining = FALSE;
	health_start_ramp(endpoint, now);
}

static void update_others_load(upstream_t *upstream, endpoint_t *endpoint)
{
	double others = reported_others_load(endpoint);

	endpoint->others_load +=
		OTHERS_WEIGHT * (others - endpoint->others_load);
	upstream->others_load +=
		OTHERS_WEIGHT * (others - upstream->others_load);
}

static void update_mean_slowdown(upstream_t *upstream,
				 const load_report_t *report)
{
	double sample = report->slowdown_percent;

	if (!report->slowdown_percent)
		return;
	if (!upstream->mean_slowdown)
		upstream->mean_slowdown = sample;
	upstream->mean_slowdown +=
		SLOWDOWN_WEIGHT * (sample - upstream->mean_slowdown);
}

static void apply_load(upstream_t *upstream, endpoint_t *endpoint,
		       const load_report_t *report, GTimeSpan now)
{
	if (!endpoint->reported_at)
		endpoint->others_load = upstream->others_load;
	endpoint->report = *report;
	endpoint->reported_at = now;
	endpoint->own_in_flight_at_report = endpoint->in_flight;
	update_others_load(upstream, endpoint);
	update_mean_slowdown(upstream, report);
	if (report->in_flight < report->slots)
		endpoint->backoff_until = 0;
}

static void apply_reported_warmup(const upstream_t *upstream,
				  endpoint_t *endpoint,
				  const load_report_t *report,
				  GTimeSpan requested_at, GTimeSpan now)
{
	gboolean was_cold = warmup_limit_is_cold(&endpoint->warmup, now);
	warmup_rules_t rules = upstream_warmup_rules(upstream);
	warmup_endpoint_t key = endpoint_for_warmup(endpoint);

	warmup_limit_reported(&endpoint->warmup, &rules, &key,
			      report->warmup_remaining, requested_at, now);
	if (was_cold || !warmup_limit_is_cold(&endpoint->warmup, now) ||
	    !upstream->options.log)
		return;
	LOG_EVENT(upstream->options.log, "endpoint_cold",
		  LOG_TEXT("service", upstream->service),
		  LOG_TEXT("endpoint", endpoint_id(endpoint)),
		  LOG_NUMBER("duration_us", report->warmup_remaining),
		  LOG_NUMBER("is_sender", endpoint->warmup.is_sender));
}

void endpoint_apply_report(upstream_t *upstream, endpoint_t *endpoint,
			   const load_report_t *report, GTimeSpan requested_at,
			   GTimeSpan now)
{
	if (report->slots)
		apply_load(upstream, endpoint, report, now);
	if (report->has_warmup)
		apply_reported_warmup(upstream, endpoint, report, requested_at,
				      now);
	apply_draining(endpoint, report->draining, requested_at, now);
}

void endpoint_add_attempt(endpoint_t *endpoint, GTimeSpan now)
{
	pending_attempt_t *attempt = g_new0(pending_attempt_t, 1);

	attempt->started = now;
	TAILQ_INSERT_TAIL(&endpoint->pending_attempts, attempt, link);
	endpoint->in_flight++;
}

void endpoint_remove_attempt(endpoint_t *endpoint, GTimeSpan started)
{
	pending_attempt_t *attempt = TAILQ_FIRST(&endpoint->pending_attempts);

	g_assert(attempt);
	while (attempt->started < started && TAILQ_NEXT(attempt, link))
		attempt = TAILQ_NEXT(attempt, link);
	TAILQ_REMOVE(&endpoint->pending_attempts, attempt, link);
	g_free(attempt);
	endpoint->in_flight--;
}

endpoint_estimate_t upstream_estimate(const upstream_t *upstream,
				      const endpoint_t *endpoint, GTimeSpan now)
{
	return (endpoint_estimate_t){
		.report_age = endpoint->reported_at ?
				      now - endpoint->reported_at :
				      -1,
		.load_percent =
			(gint64)(100 * endpoint_load(upstream, endpoint, now) /
				 endpoint_slots(upstream, endpoint)),
		.slowdown_percent = endpoint->report.slowdown_percent,
		.local = upstream_is_local(upstream, endpoint),
	};
}
