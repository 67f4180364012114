#include "lib/upstream/upstream.h"

#include <string.h>

/* Weight of a new latency in the moving average. */
#define LATENCY_WEIGHT 0.2

struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	endpoint_info_t info;
	gboolean listed;
	gboolean draining;
	guint in_flight; /* attempts from this entry */
	load_report_t report;
	GTimeSpan reported; /* instant of the report, 0 for none */
	guint since_report; /* attempts started since the report */
	double latency; /* moving average in microseconds, 0 for none */
	probe_budget_t probes;
};

struct upstream {
	char *service;
	upstream_limits_t limits;
	GRand *random;
	counters_t *counters;
	guint slots;
	guint connections;
	double probes_per_second;
	guint endpoint_count;
	guint in_flight;
	double latency;
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
};

static const char *const policy_names[ROUTING_POLICY_COUNT] = {
	[ROUTING_RANDOM] = "random",
	[ROUTING_TWO_CHOICES] = "two_choices",
	[ROUTING_SUBSET] = "subset",
	[ROUTING_LEARNT_LIMIT] = "learnt_limit",
};

const char *routing_policy_name(routing_policy_t policy)
{
	g_assert(policy < ROUTING_POLICY_COUNT);
	return policy_names[policy];
}

gboolean attempt_end_is_not_run(attempt_end_t end)
{
	return end == ATTEMPT_SHED || end == ATTEMPT_NOT_SENT ||
	       end == ATTEMPT_CANCELLED;
}

upstream_t *upstream_new(const char *service, const upstream_limits_t *limits,
			 GRand *random, counters_t *counters)
{
	upstream_t *upstream = g_new0(upstream_t, 1);

	g_assert(limits->entries_max >= 1);
	upstream->service = g_strdup(service);
	upstream->limits = *limits;
	upstream->random = random;
	upstream->counters = counters;
	upstream->slots = 1;
	upstream->connections = 1;
	TAILQ_INIT(&upstream->endpoints);
	return upstream;
}

static void endpoint_free(upstream_t *upstream, endpoint_t *endpoint)
{
	TAILQ_REMOVE(&upstream->endpoints, endpoint, link);
	upstream->endpoint_count--;
	g_free(endpoint);
}

void upstream_free(upstream_t *upstream)
{
	if (!upstream)
		return;
	while (!TAILQ_EMPTY(&upstream->endpoints))
		endpoint_free(upstream, TAILQ_FIRST(&upstream->endpoints));
	g_free(upstream->service);
	g_free(upstream);
}

const char *upstream_service(const upstream_t *upstream)
{
	return upstream->service;
}

void upstream_configure(upstream_t *upstream, const schema_service_t *service,
			GTimeSpan now)
{
	endpoint_t *endpoint;

	upstream->slots = service->slots;
	upstream->connections = service->connections;
	if (upstream->probes_per_second == service->probes_per_second)
		return;
	upstream->probes_per_second = service->probes_per_second;
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		probe_budget_init(&endpoint->probes,
				  upstream->probes_per_second,
				  upstream->limits.entries_max, now);
}

static endpoint_t *find_endpoint(const upstream_t *upstream,
				 const char *address)
{
	endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (strcmp(endpoint->info.address, address) == 0)
			return endpoint;
	return NULL;
}

static endpoint_t *add_endpoint(upstream_t *upstream,
				const endpoint_info_t *info, GTimeSpan now)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);

	endpoint->info = *info;
	endpoint->report.slots = upstream->slots;
	probe_budget_init(&endpoint->probes, upstream->probes_per_second,
			  upstream->limits.entries_max, now);
	TAILQ_INSERT_TAIL(&upstream->endpoints, endpoint, link);
	upstream->endpoint_count++;
	return endpoint;
}

static void free_unlisted(upstream_t *upstream)
{
	endpoint_t *endpoint, *next;

	TAILQ_FOREACH_SAFE (endpoint, &upstream->endpoints, link, next)
		if (!endpoint->listed && endpoint->in_flight == 0)
			endpoint_free(upstream, endpoint);
}

void upstream_set_endpoints(upstream_t *upstream, const endpoint_info_t *infos,
			    gsize count, GTimeSpan now)
{
	endpoint_t *endpoint;
	gsize i;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		endpoint->listed = FALSE;
	for (i = 0; i < count; i++) {
		endpoint = find_endpoint(upstream, infos[i].address);
		if (!endpoint)
			endpoint = add_endpoint(upstream, &infos[i], now);
		endpoint->info = infos[i];
		endpoint->listed = TRUE;
	}
	free_unlisted(upstream);
}

static gboolean takes_work(const endpoint_t *endpoint)
{
	return endpoint->listed && !endpoint->info.leaving &&
	       !endpoint->draining;
}

static guint estimated_load(const endpoint_t *endpoint)
{
	return MAX(endpoint->in_flight,
		   endpoint->report.in_flight + endpoint->since_report);
}

static const endpoint_t *pick_random(upstream_t *upstream, const char *avoid)
{
	const endpoint_t *endpoint, *chosen = NULL;
	gint32 seen = 0;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!takes_work(endpoint) ||
		    endpoint->in_flight >= upstream->slots)
			continue;
		if (avoid && strcmp(endpoint->info.address, avoid) == 0)
			continue;
		if (g_rand_int_range(upstream->random, 0, ++seen) == 0)
			chosen = endpoint;
	}
	return chosen;
}

const endpoint_t *upstream_choose(upstream_t *upstream, const char *avoid,
				  GTimeSpan now)
{
	const endpoint_t *first = pick_random(upstream, avoid);
	const endpoint_t *second;

	(void)now;
	if (!first && avoid)
		first = pick_random(upstream, NULL);
	if (!first || upstream->limits.policy == ROUTING_RANDOM)
		return first;
	second = pick_random(upstream, avoid);
	if (second && estimated_load(second) < estimated_load(first))
		return second;
	return first;
}

GTimeSpan upstream_next_room(const upstream_t *upstream, GTimeSpan now)
{
	(void)upstream;
	(void)now;
	return CATK_NEVER;
}

const char *endpoint_address(const endpoint_t *endpoint)
{
	return endpoint->info.address;
}

guint upstream_connection_share(const upstream_t *upstream)
{
	return MAX(upstream->connections / upstream->limits.entries_max, 1);
}

void upstream_attempt_started(upstream_t *upstream, const char *address,
			      GTimeSpan now)
{
	endpoint_t *endpoint = find_endpoint(upstream, address);

	(void)now;
	if (!endpoint)
		return;
	endpoint->in_flight++;
	endpoint->since_report++;
	upstream->in_flight++;
}

static void take_report(endpoint_t *endpoint, const load_report_t *report,
			GTimeSpan now)
{
	endpoint->report = *report;
	endpoint->reported = now;
	endpoint->since_report = 0;
	endpoint->draining = report->draining;
}

static void average(double *mean, GTimeSpan sample)
{
	if (*mean == 0)
		*mean = (double)sample;
	else
		*mean += LATENCY_WEIGHT * ((double)sample - *mean);
}

void upstream_attempt_ended(upstream_t *upstream, const char *address,
			    attempt_end_t end, GTimeSpan latency,
			    const load_report_t *report, GTimeSpan now)
{
	endpoint_t *endpoint = find_endpoint(upstream, address);

	if (!endpoint)
		return;
	g_assert(endpoint->in_flight > 0);
	endpoint->in_flight--;
	upstream->in_flight--;
	if (report)
		take_report(endpoint, report, now);
	if (end == ATTEMPT_ANSWERED) {
		average(&endpoint->latency, latency);
		average(&upstream->latency, latency);
	}
	free_unlisted(upstream);
}

void upstream_probe_ended(upstream_t *upstream, const char *address,
			  const load_report_t *report, GTimeSpan now)
{
	endpoint_t *endpoint = find_endpoint(upstream, address);

	if (endpoint && report)
		take_report(endpoint, report, now);
}

const char *upstream_next_probe(upstream_t *upstream, GTimeSpan now)
{
	endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (now - endpoint->reported <
		    upstream->limits.report_stale_after)
			continue;
		if (probe_budget_take(&endpoint->probes, now))
			return endpoint->info.address;
	}
	return NULL;
}

GTimeSpan upstream_mean_latency(const upstream_t *upstream)
{
	return (GTimeSpan)upstream->latency;
}

guint upstream_in_flight(const upstream_t *upstream)
{
	return upstream->in_flight;
}

static void dump_endpoint(const endpoint_t *endpoint, const dump_writer_t *w,
			  GTimeSpan now)
{
	w->begin_object(w->ctx, NULL);
	w->string(w->ctx, "address", endpoint->info.address);
	w->string(w->ctx, "data_centre", endpoint->info.data_centre);
	w->boolean(w->ctx, "leaving", endpoint->info.leaving);
	w->boolean(w->ctx, "draining", endpoint->draining);
	w->integer(w->ctx, "in_flight", endpoint->in_flight);
	w->integer(w->ctx, "reported_in_flight", endpoint->report.in_flight);
	w->integer(w->ctx, "report_age_us",
		   endpoint->reported ? now - endpoint->reported : -1);
	w->integer(w->ctx, "mean_latency_us", (gint64)endpoint->latency);
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
