/* Endpoint list, endpoint selection and probe scheduling of an upstream. */
#include "lib/upstream/upstream_internal.h"

#include <stdlib.h>
#include <string.h>

/* Weight of a new latency in the moving average. */
#define LATENCY_WEIGHT 0.2
/* Age at which the median of the endpoints' latencies is recomputed. */
#define MEDIAN_AGE_MAX (20 * G_TIME_SPAN_MILLISECOND)

static const char *const policy_names[ROUTING_POLICY_COUNT] = {
	[ROUTING_RANDOM] = "random",
	[ROUTING_TWO_CHOICES] = "two_choices",
	[ROUTING_SUBSET] = "subset",
	[ROUTING_LEARNT_LIMIT] = "learnt_limit",
	[ROUTING_EXPECTED_LATENCY] = "expected_latency",
};

const char *routing_policy_name(routing_policy_t policy)
{
	g_assert(policy < ROUTING_POLICY_COUNT);
	return policy_names[policy];
}

static const char *const end_names[] = {
	[ATTEMPT_ANSWERED] = "answered",
	[ATTEMPT_SHED] = "shed",
	[ATTEMPT_NOT_SENT] = "not_sent",
	[ATTEMPT_CANCELLED] = "cancelled",
	[ATTEMPT_BAD_ANSWER] = "bad_answer",
	[ATTEMPT_SILENT] = "silent",
	[ATTEMPT_FAILED] = "failed",
	[ATTEMPT_ABANDONED] = "abandoned",
	[ATTEMPT_ERROR_ANSWER] = "error_answer",
	[ATTEMPT_MISDIRECTED] = "misdirected",
};

const char *attempt_end_name(attempt_end_t end)
{
	g_assert(end < G_N_ELEMENTS(end_names));
	return end_names[end];
}

gboolean attempt_end_proves_not_run(attempt_end_t end)
{
	return end == ATTEMPT_SHED || end == ATTEMPT_MISDIRECTED ||
	       end == ATTEMPT_NOT_SENT || end == ATTEMPT_CANCELLED;
}

static routing_t new_routing(upstream_t *upstream)
{
	switch (upstream->options.policy) {
	case ROUTING_RANDOM:
		return routing_random(upstream);
	case ROUTING_SUBSET:
		return routing_subset(upstream);
	case ROUTING_LEARNT_LIMIT:
		return routing_learnt_limit(upstream);
	case ROUTING_EXPECTED_LATENCY:
		return routing_expected_latency(upstream);
	case ROUTING_TWO_CHOICES:
	case ROUTING_POLICY_COUNT:
		break;
	}
	return routing_two_choices(upstream);
}

upstream_t *upstream_new(const char *service, const upstream_options_t *options,
			 GRand *random, counters_t *counters)
{
	upstream_t *upstream = g_new0(upstream_t, 1);

	g_assert(options->entries_max >= 1);
	upstream->service = g_strdup(service);
	upstream->options = *options;
	upstream->random = random;
	upstream->counters = counters;
	upstream->slots = 1;
	upstream->connections = 1;
	upstream->entries = options->entries_max;
	upstream->local_entries = options->entries_max;
	upstream->routing = new_routing(upstream);
	upstream->eligible = g_ptr_array_new();
	upstream->fallback = g_ptr_array_new();
	TAILQ_INIT(&upstream->endpoints);
	upstream->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&upstream->retained);
	return upstream;
}

static void endpoint_free(upstream_t *upstream, endpoint_t *endpoint)
{
	TAILQ_REMOVE(&upstream->endpoints, endpoint, link);
	g_hash_table_remove(upstream->by_id, endpoint_id(endpoint));
	upstream->endpoint_count--;
	while (!TAILQ_EMPTY(&endpoint->pending_attempts))
		endpoint_remove_attempt(endpoint, G_MAXINT64);
	g_free(endpoint);
}

void upstream_free(upstream_t *upstream)
{
	if (!upstream)
		return;
	while (!TAILQ_EMPTY(&upstream->endpoints))
		endpoint_free(upstream, TAILQ_FIRST(&upstream->endpoints));
	notices_expire(upstream, G_MAXINT64);
	g_hash_table_destroy(upstream->by_id);
	g_ptr_array_free(upstream->eligible, TRUE);
	g_ptr_array_free(upstream->fallback, TRUE);
	g_free(upstream->service);
	g_free(upstream);
}

const char *upstream_service(const upstream_t *upstream)
{
	return upstream->service;
}

static const char *id_of(const endpoint_info_t *info)
{
	return info->id[0] ? info->id : info->address;
}

const char *endpoint_id(const endpoint_t *endpoint)
{
	return id_of(&endpoint->info);
}

endpoint_t *upstream_find(const upstream_t *upstream, const char *id)
{
	return g_hash_table_lookup(upstream->by_id, id);
}

gboolean upstream_is_remote(const upstream_t *upstream, const char *id)
{
	const endpoint_t *endpoint = upstream_find(upstream, id);

	return endpoint && !upstream_is_local(upstream, endpoint);
}

GTimeSpan upstream_probe_age(const upstream_t *upstream, const char *id,
			     GTimeSpan now)
{
	const endpoint_t *endpoint = upstream_find(upstream, id);

	return endpoint && endpoint->probed_at ? now - endpoint->probed_at : -1;
}

const char *upstream_address_of(const upstream_t *upstream, const char *id)
{
	const endpoint_t *endpoint = upstream_find(upstream, id);

	return endpoint ? endpoint->info.address : NULL;
}

/*
 * Share of an endpoint's probe budget for the entries in its own data centre,
 * which probe it first. All entries of the other data centres share the rest:
 * their probes cost traffic between data centres.
 */
#define LOCAL_PROBES_SHARE 0.8
/* Unused probe budget accumulates for this long, as calls come in bursts. */
#define PROBE_BURST_TIME (2 * G_TIME_SPAN_SECOND)

gboolean upstream_is_local(const upstream_t *upstream,
			   const endpoint_t *endpoint)
{
	return g_strcmp0(endpoint->info.data_centre,
			 upstream->options.data_centre) == 0;
}

/* Probes per second that this entry may send to the endpoint. */
static double probe_share(const upstream_t *upstream,
			  const endpoint_t *endpoint)
{
	double budget = upstream->probes_per_second;

	if (!upstream->routing.probes_before_calls)
		return budget / upstream->entries;
	if (upstream_is_local(upstream, endpoint))
		return upstream_prefers_endpoints(upstream) ?
			       upstream_preferred_probes(
				       upstream, endpoint,
				       budget * LOCAL_PROBES_SHARE) :
			       budget * LOCAL_PROBES_SHARE /
				       upstream->local_entries;
	return budget * (1 - LOCAL_PROBES_SHARE) / upstream->entries;
}

static guint probe_burst(const upstream_t *upstream, double share)
{
	guint burst =
		(guint)(share * PROBE_BURST_TIME / (double)G_TIME_SPAN_SECOND);

	return CLAMP(burst, 1, MAX(upstream->options.probe_burst, 1));
}

/*
 * The first probe is due after one to two intervals, at random, so that entries
 * that start together do not probe together.
 */
static void start_probe_budget(const upstream_t *upstream, endpoint_t *endpoint,
			       GTimeSpan now)
{
	double share = probe_share(upstream, endpoint);
	GTimeSpan delay = 0;

	if (share > 0)
		delay = (GTimeSpan)(g_rand_double(upstream->random) *
				    G_TIME_SPAN_SECOND / share);
	probe_budget_init(&endpoint->probes, share, 1, now + delay);
	probe_budget_configure(&endpoint->probes, share,
			       probe_burst(upstream, share), now + delay);
	endpoint->probe_share = share;
}

/*
 * A share that grows by more than this factor is that of an endpoint that has
 * become preferred. The wait for its next token, which the small share set, may
 * be longer than a minute.
 */
#define PROBE_SHARE_JUMP 4

/* Applies a change of this entry's share of the probe budgets. */
static void share_probes(upstream_t *upstream, GTimeSpan now)
{
	endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		double share = probe_share(upstream, endpoint);

		if (upstream_prefers_endpoints(upstream) &&
		    share > PROBE_SHARE_JUMP * endpoint->probe_share)
			start_probe_budget(upstream, endpoint, now);
		else
			probe_budget_configure(&endpoint->probes, share,
					       probe_burst(upstream, share),
					       now);
		endpoint->probe_share = share;
	}
}

warmup_rules_t upstream_warmup_rules(const upstream_t *upstream)
{
	const upstream_options_t *options = &upstream->options;

	return (warmup_rules_t){
		.per_second = upstream->warmup_per_second,
		.duration = upstream->warmup_duration,
		.overage = options->warmup_overage,
		.slack = options->warmup_slack,
		.instances = upstream->entries,
		.instance = options->instance ? options->instance : "",
		.next_instance = options->next_instance,
		.next_instance_ctx = options->next_instance_ctx,
		.random = upstream->random,
	};
}

warmup_endpoint_t endpoint_for_warmup(const endpoint_t *endpoint)
{
	return (warmup_endpoint_t){ .id = endpoint_id(endpoint),
				    .data_centre = endpoint->info.data_centre };
}

static void apply_listed_warmup(const upstream_t *upstream,
				endpoint_t *endpoint, gboolean is_new,
				GTimeSpan now)
{
	warmup_rules_t rules = upstream_warmup_rules(upstream);
	warmup_endpoint_t key = endpoint_for_warmup(endpoint);

	warmup_limit_listed(&endpoint->warmup, &rules, &key,
			    endpoint->warmup_until - now, is_new, now);
}

static void configure_warmup(upstream_t *upstream,
			     const schema_service_t *service, GTimeSpan now)
{
	gboolean changed = upstream->warmup_per_second !=
			   service->warmup_per_second;
	endpoint_t *endpoint;

	upstream->warmup_per_second = service->warmup_per_second;
	upstream->warmup_duration = service->warmup_duration;
	if (!changed)
		return;
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		endpoint->warmup.listed_until = 0;
		apply_listed_warmup(upstream, endpoint, FALSE, now);
	}
}

void upstream_configure(upstream_t *upstream, const schema_service_t *service,
			GTimeSpan now)
{
	endpoint_t *endpoint;

	upstream->slots = service->slots;
	upstream->connections = service->connections;
	configure_warmup(upstream, service, now);
	if (upstream->probes_per_second == service->probes_per_second)
		return;
	upstream->probes_per_second = service->probes_per_second;
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		start_probe_budget(upstream, endpoint, now);
}

static endpoint_t *add_endpoint(upstream_t *upstream,
				const endpoint_info_t *info, GTimeSpan now)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);

	endpoint->info = *info;
	notices_restore(upstream, endpoint, now);
	TAILQ_INIT(&endpoint->pending_attempts);
	start_probe_budget(upstream, endpoint, now);
	TAILQ_INSERT_TAIL(&upstream->endpoints, endpoint, link);
	g_hash_table_insert(upstream->by_id, (gpointer)endpoint_id(endpoint),
			    endpoint);
	upstream->endpoint_count++;
	return endpoint;
}

static void free_unlisted(upstream_t *upstream, GTimeSpan now)
{
	endpoint_t *endpoint, *next;

	TAILQ_FOREACH_SAFE (endpoint, &upstream->endpoints, link, next)
		if (!endpoint->listed && endpoint->in_flight == 0) {
			notices_retain(upstream, endpoint, now);
			endpoint_free(upstream, endpoint);
		}
}

/* An endpoint that returns may have been replaced, so its state is reset. */
static void reset_returned_endpoint(endpoint_t *endpoint, GTimeSpan now)
{
	endpoint->draining = FALSE;
	endpoint->consecutive_failures = 0;
	health_start_ramp(endpoint, now);
}

static gboolean is_evacuated(const upstream_t *upstream,
			     const endpoint_t *endpoint)
{
	const upstream_options_t *options = &upstream->options;

	return options->is_evacuated &&
	       options->is_evacuated(options->evacuated_ctx,
				     endpoint->info.data_centre);
}

static void apply_info(upstream_t *upstream, const endpoint_info_t *info,
		       gboolean first_list, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id_of(info));
	gboolean started_again =
		endpoint &&
		notices_update_start(endpoint, info->start_time, now);
	gboolean is_new = endpoint ? started_again || endpoint->was_unlisted :
				     upstream->was_listed;

	if (!endpoint) {
		endpoint = add_endpoint(upstream, info, now);
		if (!first_list)
			health_start_ramp(endpoint, now);
	} else if (!info->leaving &&
		   (endpoint->info.leaving || endpoint->was_unlisted ||
		    started_again)) {
		reset_returned_endpoint(endpoint, now);
	}
	endpoint->warmup_until =
		info->warmup_remaining > 0 ? now + info->warmup_remaining : 0;
	/* The index refers to the id in info, which may move to another field. */
	g_hash_table_remove(upstream->by_id, endpoint_id(endpoint));
	endpoint->info = *info;
	g_hash_table_insert(upstream->by_id, (gpointer)endpoint_id(endpoint),
			    endpoint);
	apply_listed_warmup(upstream, endpoint, is_new, now);
	endpoint->evacuated = is_evacuated(upstream, endpoint);
	endpoint->listed = TRUE;
	endpoint->was_unlisted = FALSE;
}

/* Returns TRUE if the usability of any endpoint has changed. */
static gboolean update_usable(upstream_t *upstream, GTimeSpan now)
{
	warmup_rules_t rules = upstream_warmup_rules(upstream);
	gboolean changed = FALSE;
	warmup_endpoint_t key;
	endpoint_t *endpoint;
	gboolean usable;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		key = endpoint_for_warmup(endpoint);
		warmup_limit_refresh(&endpoint->warmup, &rules, &key, now);
		usable = health_accepts_work(endpoint, now) &&
			 !health_is_blocked(endpoint, now);
		changed |= usable != endpoint->usable;
		endpoint->usable = usable;
	}
	return changed;
}

void upstream_set_endpoints(upstream_t *upstream, const endpoint_info_t *infos,
			    gsize count, GTimeSpan now)
{
	gboolean first_list = TAILQ_EMPTY(&upstream->endpoints);
	endpoint_t *endpoint;
	gsize i;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		endpoint->was_unlisted = !endpoint->listed;
		endpoint->listed = FALSE;
	}
	for (i = 0; i < count; i++)
		apply_info(upstream, &infos[i], first_list, now);
	upstream->was_listed |= count > 0;
	free_unlisted(upstream, now);
	notices_expire(upstream, now);
	if (upstream_assign_preferred(upstream, TRUE))
		share_probes(upstream, now);
	update_usable(upstream, now);
	if (upstream->routing.endpoints_changed)
		upstream->routing.endpoints_changed(upstream->routing.ctx);
}

void upstream_update_evacuated(upstream_t *upstream, GTimeSpan now)
{
	endpoint_t *endpoint;
	gboolean returns;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		returns = endpoint->evacuated;
		endpoint->evacuated = is_evacuated(upstream, endpoint);
		returns &= !endpoint->evacuated;
		/* It has rested and was not probed meanwhile. */
		if (returns)
			apply_listed_warmup(upstream, endpoint, TRUE, now);
	}
	if (update_usable(upstream, now) && upstream->routing.endpoints_changed)
		upstream->routing.endpoints_changed(upstream->routing.ctx);
}

static gint compare_latency(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void refresh_median(upstream_t *upstream, GTimeSpan now)
{
	const endpoint_t *endpoint;
	double *latencies;
	guint count = 0;

	if (upstream->median_latency > 0 &&
	    now < upstream->median_latency_at + MEDIAN_AGE_MAX)
		return;
	latencies = g_new(double, upstream->endpoint_count);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		if (endpoint->mean_latency > 0)
			latencies[count++] = endpoint->mean_latency;
	if (count > 0) {
		qsort(latencies, count, sizeof(*latencies), compare_latency);
		upstream->median_latency = latencies[(count - 1) / 2];
		upstream->median_latency_at = now;
	}
	g_free(latencies);
}

static void collect_candidates(upstream_t *upstream, const char *avoid,
			       GTimeSpan now)
{
	gboolean exclude_blocked = health_may_exclude_blocked(upstream, now);
	availability_t availability;
	endpoint_t *endpoint;

	g_ptr_array_set_size(upstream->eligible, 0);
	g_ptr_array_set_size(upstream->fallback, 0);
	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		availability = health_availability(upstream, endpoint,
						   exclude_blocked, now);
		if (availability == AVAILABLE_NO)
			continue;
		if (availability == AVAILABLE_AS_FALLBACK ||
		    g_strcmp0(endpoint_id(endpoint), avoid) == 0)
			g_ptr_array_add(upstream->fallback, endpoint);
		else
			g_ptr_array_add(upstream->eligible, endpoint);
	}
}

/* A cold endpoint that should get the next attempt, NULL if none is due. */
static endpoint_t *due_cold_endpoint(const GPtrArray *endpoints,
				     const char *avoid, GTimeSpan now)
{
	endpoint_t *endpoint;
	guint i;

	for (i = 0; i < endpoints->len; i++) {
		endpoint = endpoints->pdata[i];
		if (warmup_limit_is_due(&endpoint->warmup, now) &&
		    !endpoint->info.doubtful &&
		    g_strcmp0(endpoint_id(endpoint), avoid) != 0)
			return endpoint;
	}
	return NULL;
}

static endpoint_t *choose_cold(upstream_t *upstream,
			       const upstream_criteria_t *criteria,
			       GTimeSpan now)
{
	endpoint_t *due =
		due_cold_endpoint(upstream->eligible, criteria->avoid, now);
	candidates_t candidates = { .items = &due, .count = 1 };

	/* New endpoints are among the fallback while their share ramps up. */
	if (!due)
		due = due_cold_endpoint(upstream->fallback, criteria->avoid,
					now);
	return due ? upstream->routing.choose(upstream->routing.ctx,
					      &candidates, criteria, now) :
		     NULL;
}

const endpoint_t *upstream_choose(upstream_t *upstream, const char *avoid,
				  GTimeSpan now)
{
	upstream_criteria_t criteria = { .avoid = avoid };

	return upstream_choose_for(upstream, &criteria, now);
}

const endpoint_t *upstream_choose_for(upstream_t *upstream,
				      const upstream_criteria_t *criteria,
				      GTimeSpan now)
{
	candidates_t candidates;
	endpoint_t *cold = NULL;
	GPtrArray *source;

	if (update_usable(upstream, now) && upstream->routing.endpoints_changed)
		upstream->routing.endpoints_changed(upstream->routing.ctx);
	refresh_median(upstream, now);
	collect_candidates(upstream, criteria->avoid, now);
	if (upstream->warmup_per_second > 0)
		cold = choose_cold(upstream, criteria, now);
	if (cold)
		return cold;
	source = upstream->eligible->len ? upstream->eligible :
					   upstream->fallback;
	if (source->len == 0)
		return NULL;
	candidates.items = (endpoint_t **)source->pdata;
	candidates.count = source->len;
	return upstream->routing.choose(upstream->routing.ctx, &candidates,
					criteria, now);
}

GTimeSpan upstream_next_available_at(const upstream_t *upstream, GTimeSpan now)
{
	GTimeSpan earliest = CATK_NEVER;
	const endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link)
		earliest = MIN(earliest,
			       health_next_change_at(upstream, endpoint, now));
	return earliest;
}

GTimeSpan upstream_accepts_work_at(const upstream_t *upstream, GTimeSpan now)
{
	GTimeSpan earliest = CATK_NEVER;
	gboolean any_listed = FALSE;
	const endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (health_accepts_work(endpoint, now))
			return 0;
		any_listed |= endpoint->listed;
		earliest = MIN(earliest, health_accepts_work_at(endpoint, now));
	}
	return any_listed ? earliest : 0;
}

void upstream_set_entry_counts(upstream_t *upstream, guint entries,
			       guint local_entries, GTimeSpan now)
{
	g_assert(entries >= 1 && local_entries >= 1);
	if (upstream->entries == entries &&
	    upstream->local_entries == local_entries)
		return;
	upstream->entries = entries;
	upstream->local_entries = local_entries;
	share_probes(upstream, now);
}

void upstream_update_instances(upstream_t *upstream, GTimeSpan now)
{
	if (upstream_assign_preferred(upstream, FALSE))
		share_probes(upstream, now);
}

guint upstream_connection_share(const upstream_t *upstream)
{
	return MAX(upstream->connections / upstream->entries, 1);
}

void upstream_attempt_started(upstream_t *upstream, const char *id,
			      GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);

	if (!endpoint)
		return;
	endpoint_add_attempt(endpoint, now);
	if (warmup_limit_is_cold(&endpoint->warmup, now))
		counters_add(upstream->counters, COUNTER_ATTEMPTS_COLD, 1);
	warmup_limit_take(&endpoint->warmup, now);
	upstream->in_flight++;
	if (endpoint->preferred && upstream_prefers_endpoints(upstream))
		counters_add(upstream->counters, COUNTER_ATTEMPTS_PREFERRED, 1);
	health_attempt_started(upstream, endpoint, now);
}

static void update_mean_latency(double *mean, GTimeSpan sample)
{
	if (*mean == 0)
		*mean = (double)sample;
	else
		*mean += LATENCY_WEIGHT * ((double)sample - *mean);
}

/* Not while the endpoint fails: fast failures must not attract load. */
static void record_latency(upstream_t *upstream, endpoint_t *endpoint,
			   GTimeSpan latency)
{
	if (endpoint->consecutive_failures > 0)
		return;
	update_mean_latency(&endpoint->mean_latency, latency);
	if (!endpoint->slow)
		update_mean_latency(&upstream->mean_latency, latency);
}

void upstream_attempt_ended(upstream_t *upstream, const char *id,
			    attempt_end_t end, GTimeSpan latency,
			    const load_report_t *report, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);
	const routing_t *routing = &upstream->routing;

	if (!endpoint || endpoint->in_flight == 0)
		return;
	endpoint_remove_attempt(endpoint, now - latency);
	upstream->in_flight--;
	refresh_median(upstream, now);
	if (report)
		endpoint_apply_report(upstream, endpoint, report, now - latency,
				      now);
	if (end == ATTEMPT_MISDIRECTED)
		warmup_limit_give_back(&endpoint->warmup, now - latency, now);
	health_attempt_ended(upstream, endpoint, end, latency, now);
	if (routing->attempt_ended)
		routing->attempt_ended(routing->ctx, endpoint, end, latency,
				       now);
	if (end == ATTEMPT_ANSWERED)
		record_latency(upstream, endpoint, latency);
	free_unlisted(upstream, now);
}

void upstream_probe_ended(upstream_t *upstream, const char *id,
			  const load_report_t *report, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);

	if (!endpoint)
		return;
	endpoint->unanswered_probes = report ? 0 :
					       endpoint->unanswered_probes + 1;
	if (report)
		endpoint_apply_report(upstream, endpoint, report,
				      endpoint->probed_at, now);
}

/* Draining endpoints are probed to detect that they accept work again. */
static gboolean needs_probe(const upstream_t *upstream,
			    const endpoint_t *endpoint, GTimeSpan now)
{
	const routing_t *routing = &upstream->routing;

	if (!endpoint->listed || endpoint->info.leaving ||
	    endpoint->evacuated || endpoint->notices.leaving ||
	    now < endpoint->notices.paused_until ||
	    now < endpoint->ejected_until)
		return FALSE;
	if (endpoint->reported_at &&
	    now - endpoint->reported_at < upstream->options.report_stale_after)
		return FALSE;
	return endpoint->draining || !routing->needs_report ||
	       routing->needs_report(routing->ctx, endpoint);
}

const char *upstream_next_probe(upstream_t *upstream, GTimeSpan now)
{
	endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (!needs_probe(upstream, endpoint, now))
			continue;
		if (probe_budget_take(&endpoint->probes, now)) {
			endpoint->probed_at = now;
			return endpoint_id(endpoint);
		}
		counters_add(upstream->counters, COUNTER_PROBES_SUPPRESSED, 1);
	}
	return NULL;
}

GTimeSpan upstream_mean_latency(const upstream_t *upstream)
{
	return (GTimeSpan)upstream->mean_latency;
}
