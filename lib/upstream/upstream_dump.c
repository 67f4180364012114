/* Dump of the state of an upstream for operators. */
#include "lib/upstream/upstream_internal.h"

static void dump_health(const endpoint_t *endpoint, const dump_writer_t *w,
			GTimeSpan now)
{
	w->boolean(w->ctx, "draining", endpoint->draining);
	w->boolean(w->ctx, "ejected", now < endpoint->ejected_until);
	w->boolean(w->ctx, "slow", endpoint->slow);
	w->boolean(w->ctx, "preferred", endpoint->preferred);
}

static void dump_endpoint(const endpoint_t *endpoint, const dump_writer_t *w,
			  GTimeSpan now)
{
	w->begin_object(w->ctx, NULL);
	w->string(w->ctx, "address", endpoint->info.address);
	w->string(w->ctx, "data_centre", endpoint->info.data_centre);
	w->boolean(w->ctx, "leaving", endpoint->info.leaving);
	w->boolean(w->ctx, "says_leaving", endpoint->notices.leaving);
	w->boolean(w->ctx, "evacuated", endpoint->evacuated);
	w->integer(w->ctx, "paused_us",
		   MAX(endpoint->notices.paused_until - now, 0));
	w->integer(w->ctx, "cold_us",
		   MAX(endpoint->warmup.cold_until - now, 0));
	w->boolean(w->ctx, "warmup_sender",
		   warmup_limit_is_cold(&endpoint->warmup, now) &&
			   endpoint->warmup.is_sender);
	dump_health(endpoint, w, now);
	w->integer(w->ctx, "in_flight", endpoint->in_flight);
	w->integer(w->ctx, "reported_in_flight", endpoint->report.in_flight);
	w->integer(w->ctx, "report_age_us",
		   endpoint->reported_at ? now - endpoint->reported_at : -1);
	w->integer(w->ctx, "mean_latency_us", (gint64)endpoint->mean_latency);
	w->end_object(w->ctx);
}

void upstream_dump(const upstream_t *upstream, const dump_writer_t *w,
		   GTimeSpan now)
{
	const endpoint_t *endpoint;

	w->begin_object(w->ctx, NULL);
	w->string(w->ctx, "service", upstream->service);
	w->integer(w->ctx, "in_flight", upstream->in_flight);
	w->begin_array(w->ctx, "endpoints");
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		dump_endpoint(endpoint, w, now);
	w->end_array(w->ctx);
	w->end_object(w->ctx);
}
