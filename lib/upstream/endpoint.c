/* Load reports and attempts in flight of one endpoint. */
#include "lib/upstream/upstream_internal.h"

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

static double mean_of_others(const upstream_t *upstream)
{
	const endpoint_t *endpoint;
	double sum = 0;
	guint count = 0;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!endpoint->reported)
			continue;
		sum += reported_by_others(endpoint);
		count++;
	}
	return count ? sum / count : 0;
}

/*
 * The load of an endpoint changes completely within about one service time,
 * so a report that is older than that says little more than the mean.
 */
double endpoint_load(const upstream_t *upstream, const endpoint_t *endpoint,
		     GTimeSpan now)
{
	double age = (double)(now - endpoint->reported);
	double weight = 0;

	if (endpoint->reported && upstream->latency > 0)
		weight = upstream->latency / (upstream->latency + age);
	return endpoint->in_flight + weight * reported_by_others(endpoint) +
	       (1 - weight) * mean_of_others(upstream);
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

void endpoint_take_report(endpoint_t *endpoint, const load_report_t *report,
			  GTimeSpan asked, GTimeSpan now)
{
	endpoint->report = *report;
	endpoint->reported = now;
	endpoint->own_at_report = endpoint->in_flight;
	if (report->in_flight < report->slots)
		endpoint->full_until = 0;
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
