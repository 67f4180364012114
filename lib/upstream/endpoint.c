/* Load reports and attempts in flight of one endpoint. */
#include "lib/upstream/upstream_internal.h"

/* Weight of a new report in the usual load from other entries. */
#define OTHERS_WEIGHT 0.1
/* Weight of a new report in the usual slowdown of the endpoints. */
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

/* What the other entries had there when the endpoint last reported. */
static double reported_by_others(const endpoint_t *endpoint)
{
	if (endpoint->report.in_flight <= endpoint->own_at_report)
		return 0;
	return endpoint->report.in_flight - endpoint->own_at_report;
}

/* The usual load from others; the mean of all until the endpoint reports. */
static double usual_of_others(const upstream_t *upstream,
			      const endpoint_t *endpoint)
{
	return endpoint->reported ? endpoint->others : upstream->others;
}

/*
 * The load of an endpoint changes completely within about one service time,
 * so a report that is older than that says little more than the usual load.
 */
double endpoint_load(const upstream_t *upstream, const endpoint_t *endpoint,
		     GTimeSpan now)
{
	double age = (double)(now - endpoint->reported);
	double weight = 0;

	/* Before the first answer nothing tells how fast a report ages. */
	if (endpoint->reported)
		weight = upstream->latency > 0 ?
				 upstream->latency / (upstream->latency + age) :
				 1;
	return endpoint->in_flight + weight * reported_by_others(endpoint) +
	       (1 - weight) * usual_of_others(upstream, endpoint);
}

static void take_draining(endpoint_t *endpoint, gboolean draining,
			  GTimeSpan asked, GTimeSpan now)
{
	if (draining) {
		endpoint->draining = TRUE;
		endpoint->drain_seen = now;
		return;
	}
	/* An answer that was on its way does not revoke a later sign. */
	if (!endpoint->draining || asked <= endpoint->drain_seen)
		return;
	endpoint->draining = FALSE;
	health_start_ramp(endpoint, now);
}

static void learn_usual_load(upstream_t *upstream, endpoint_t *endpoint)
{
	double others = reported_by_others(endpoint);

	endpoint->others += OTHERS_WEIGHT * (others - endpoint->others);
	upstream->others += OTHERS_WEIGHT * (others - upstream->others);
}

static void learn_slowdown(upstream_t *upstream, const load_report_t *report)
{
	double sample = report->slowdown_percent;

	if (!report->slowdown_percent)
		return;
	if (!upstream->slowdown)
		upstream->slowdown = sample;
	upstream->slowdown += SLOWDOWN_WEIGHT * (sample - upstream->slowdown);
}

static void take_load(upstream_t *upstream, endpoint_t *endpoint,
		      const load_report_t *report, GTimeSpan now)
{
	if (!endpoint->reported)
		endpoint->others = upstream->others;
	endpoint->report = *report;
	endpoint->reported = now;
	endpoint->own_at_report = endpoint->in_flight;
	learn_usual_load(upstream, endpoint);
	learn_slowdown(upstream, report);
	if (report->in_flight < report->slots)
		endpoint->full_until = 0;
}

void endpoint_take_report(upstream_t *upstream, endpoint_t *endpoint,
			  const load_report_t *report, GTimeSpan asked,
			  GTimeSpan now)
{
	if (report->slots)
		take_load(upstream, endpoint, report, now);
	take_draining(endpoint, report->draining, asked, now);
}

void endpoint_add_flight(endpoint_t *endpoint, GTimeSpan now)
{
	flight_t *flight = g_new0(flight_t, 1);

	flight->started = now;
	TAILQ_INSERT_TAIL(&endpoint->flights, flight, link);
	endpoint->in_flight++;
}

void endpoint_remove_flight(endpoint_t *endpoint, GTimeSpan started)
{
	flight_t *flight = TAILQ_FIRST(&endpoint->flights);

	g_assert(flight);
	while (flight->started < started && TAILQ_NEXT(flight, link))
		flight = TAILQ_NEXT(flight, link);
	TAILQ_REMOVE(&endpoint->flights, flight, link);
	g_free(flight);
	endpoint->in_flight--;
}

endpoint_estimate_t upstream_estimate(const upstream_t *upstream,
				      const endpoint_t *endpoint, GTimeSpan now)
{
	return (endpoint_estimate_t){
		.report_age = endpoint->reported ? now - endpoint->reported :
						   -1,
		.load_percent =
			(gint64)(100 * endpoint_load(upstream, endpoint, now) /
				 endpoint_slots(upstream, endpoint)),
		.slowdown_percent = endpoint->report.slowdown_percent,
		.local = upstream_is_near(upstream, endpoint),
	};
}
