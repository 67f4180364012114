#include "lib/upstream/preferred_endpoints.h"

#include <string.h>
#include <xxhash.h>

#include "lib/upstream/upstream_internal.h"

/* More instances of one data centre are not considered. */
#define LOCAL_INSTANCES_MAX 1000
/*
 * Part of the probe budget of an endpoint, within that of its data centre, for
 * the instances that prefer it. All instances share the rest.
 */
#define PREFERRED_PROBES_SHARE 0.9

typedef struct {
	preferred_endpoint_t *endpoints;
	guint endpoint_count;
	guint64 *seeds; /* hash of each instance */
	guint instance_count;
	/* For each instance, whether it prefers each endpoint. */
	gboolean *prefers;
} assignment_t;

static guint64 instance_seed(const char *instance)
{
	return XXH3_64bits(instance, strlen(instance));
}

static guint64 rendezvous_weight(const preferred_endpoint_t *endpoint,
				 guint64 seed)
{
	return XXH3_64bits_withSeed(endpoint->id, strlen(endpoint->id), seed);
}

static gboolean *preference(const assignment_t *assignment, guint instance,
			    guint endpoint)
{
	return &assignment->prefers[instance * assignment->endpoint_count +
				    endpoint];
}

static void set_preference(const assignment_t *assignment, guint instance,
			   guint endpoint)
{
	*preference(assignment, instance, endpoint) = TRUE;
	assignment->endpoints[endpoint].instance_count++;
}

/* Lets the instances with the highest weights prefer the endpoint. */
static void assign_endpoint(const assignment_t *assignment, guint endpoint,
			    const guint64 *weights, guint per_endpoint)
{
	guint n, i, best;

	for (n = 0; n < MIN(per_endpoint, assignment->instance_count); n++) {
		best = G_MAXUINT;
		for (i = 0; i < assignment->instance_count; i++)
			if (!*preference(assignment, i, endpoint) &&
			    (best == G_MAXUINT || weights[i] > weights[best]))
				best = i;
		set_preference(assignment, best, endpoint);
	}
}

/* Adds the endpoints where the weight of the instance is highest. */
static void fill_up_instance(const assignment_t *assignment, guint instance)
{
	guint wanted = MIN(PREFERRED_ENDPOINTS_MIN, assignment->endpoint_count);
	guint count = 0;
	guint e, best;
	guint64 weight, best_weight;

	for (e = 0; e < assignment->endpoint_count; e++)
		count += *preference(assignment, instance, e) ? 1 : 0;
	for (; count < wanted; count++) {
		best = G_MAXUINT;
		best_weight = 0;
		for (e = 0; e < assignment->endpoint_count; e++) {
			if (*preference(assignment, instance, e))
				continue;
			weight = rendezvous_weight(&assignment->endpoints[e],
						   assignment->seeds[instance]);
			if (best == G_MAXUINT || weight > best_weight) {
				best = e;
				best_weight = weight;
			}
		}
		set_preference(assignment, instance, best);
	}
}

static void assign(const assignment_t *assignment, guint self,
		   guint per_endpoint)
{
	guint64 *weights = g_new(guint64, assignment->instance_count);
	guint e, i;

	for (e = 0; e < assignment->endpoint_count; e++) {
		assignment->endpoints[e].instance_count = 0;
		for (i = 0; i < assignment->instance_count; i++)
			weights[i] =
				rendezvous_weight(&assignment->endpoints[e],
						  assignment->seeds[i]);
		assign_endpoint(assignment, e, weights, per_endpoint);
	}
	for (i = 0; i < assignment->instance_count; i++)
		fill_up_instance(assignment, i);
	for (e = 0; e < assignment->endpoint_count; e++)
		assignment->endpoints[e].preferred =
			*preference(assignment, self, e);
	g_free(weights);
}

void preferred_endpoints_assign(preferred_endpoint_t *endpoints, guint count,
				const char *const *instances,
				guint instance_count, guint self,
				guint per_endpoint)
{
	assignment_t assignment = {
		.endpoints = endpoints,
		.endpoint_count = count,
		.instance_count = instance_count,
		.seeds = g_new(guint64, instance_count),
		.prefers = g_new0(gboolean, (gsize)instance_count * count),
	};
	guint i;

	g_assert(self < instance_count && per_endpoint >= 1);
	for (i = 0; i < instance_count; i++)
		assignment.seeds[i] = instance_seed(instances[i]);
	assign(&assignment, self, per_endpoint);
	g_free(assignment.prefers);
	g_free(assignment.seeds);
}

void preferred_endpoints_assign_own(preferred_endpoint_t *endpoints,
				    guint count, const char *instance)
{
	guint64 seed = instance_seed(instance);
	assignment_t assignment = {
		.endpoints = endpoints,
		.endpoint_count = count,
		.instance_count = 1,
		.seeds = &seed,
		.prefers = g_new0(gboolean, count),
	};
	guint e;

	for (e = 0; e < count; e++)
		endpoints[e].instance_count = 0;
	fill_up_instance(&assignment, 0);
	for (e = 0; e < count; e++)
		endpoints[e].preferred = assignment.prefers[e];
	g_free(assignment.prefers);
}

static gboolean is_assigned(const endpoint_t *endpoint)
{
	return endpoint->listed && !endpoint->info.leaving &&
	       !endpoint->notices.leaving;
}

/* Lists the assigned endpoints of the scope; returns their number. */
static guint list_endpoints(upstream_t *upstream, gboolean local,
			    endpoint_t **endpoints,
			    preferred_endpoint_t *assigned)
{
	endpoint_t *endpoint;
	guint count = 0;

	TAILQ_FOREACH (endpoint, &upstream->endpoints, link) {
		if (upstream_is_local(upstream, endpoint) != local)
			continue;
		if (!is_assigned(endpoint)) {
			endpoint->preferred = FALSE;
			endpoint->preferring_instances = 0;
			continue;
		}
		endpoints[count] = endpoint;
		assigned[count++].id = endpoint_id(endpoint);
	}
	return count;
}

/* Returns TRUE if this instance prefers other endpoints than before. */
static gboolean apply(endpoint_t **endpoints,
		      const preferred_endpoint_t *assigned, guint count)
{
	gboolean changed = FALSE;
	guint i;

	for (i = 0; i < count; i++) {
		changed |= endpoints[i]->preferred != assigned[i].preferred;
		endpoints[i]->preferred = assigned[i].preferred;
		endpoints[i]->preferring_instances = assigned[i].instance_count;
	}
	return changed;
}

static void log_preferred(const upstream_t *upstream,
			  const preferred_endpoint_t *assigned, guint count)
{
	guint preferred = 0;
	guint i;

	if (!upstream->options.log)
		return;
	for (i = 0; i < count; i++)
		preferred += assigned[i].preferred ? 1 : 0;
	LOG_EVENT(upstream->options.log, "preferred_endpoints",
		  LOG_TEXT("service", upstream->service),
		  LOG_NUMBER("preferred", preferred),
		  LOG_NUMBER("endpoints", count),
		  LOG_NUMBER("instances", upstream->assigned_instances));
}

/*
 * Lists the live instances of this data centre, this one first, whether or not
 * the membership lists it.
 */
static guint list_instances(const upstream_t *upstream, const char **names)
{
	const upstream_options_t *options = &upstream->options;
	guint listed = options->list_instances(
		options->instances_ctx, names + 1, LOCAL_INSTANCES_MAX - 1);
	guint count = 1;
	guint i;

	names[0] = options->instance;
	for (i = 1; i <= listed; i++)
		if (strcmp(names[i], options->instance) != 0)
			names[count++] = names[i];
	return count;
}

/* Does not depend on the order of the names. */
static guint64 hash_instances(const char *const *names, guint count)
{
	guint64 hash = count;
	guint i;

	for (i = 0; i < count; i++)
		hash += instance_seed(names[i]);
	return hash;
}

gboolean upstream_prefers_endpoints(const upstream_t *upstream)
{
	return upstream->routing.probes_before_calls &&
	       upstream->options.preferred_instances > 0 &&
	       upstream->options.list_instances;
}

static void assign_all(upstream_t *upstream, const char *const *names,
		       guint instance_count)
{
	const upstream_options_t *options = &upstream->options;
	guint max = upstream->endpoint_count;
	preferred_endpoint_t *assigned = g_new0(preferred_endpoint_t, max);
	endpoint_t **endpoints = g_new0(endpoint_t *, max);
	guint count;

	count = list_endpoints(upstream, TRUE, endpoints, assigned);
	preferred_endpoints_assign(assigned, count, names, instance_count, 0,
				   options->preferred_instances);
	upstream->assigned_instances = instance_count;
	if (apply(endpoints, assigned, count))
		log_preferred(upstream, assigned, count);
	count = list_endpoints(upstream, FALSE, endpoints, assigned);
	preferred_endpoints_assign_own(assigned, count, options->instance);
	apply(endpoints, assigned, count);
	g_free(endpoints);
	g_free(assigned);
}

gboolean upstream_assign_preferred(upstream_t *upstream, gboolean always)
{
	const char **names;
	guint64 hash;
	guint count;
	gboolean changed;

	if (!upstream_prefers_endpoints(upstream))
		return FALSE;
	names = g_new0(const char *, LOCAL_INSTANCES_MAX);
	count = list_instances(upstream, names);
	hash = hash_instances(names, count);
	changed = always || hash != upstream->instances_hash;
	upstream->instances_hash = hash;
	if (changed)
		assign_all(upstream, names, count);
	g_free(names);
	return changed;
}

/*
 * The preferring instances are counted among those that this instance knows.
 * While it knows few, it takes the number to grow in proportion.
 */
double upstream_preferred_probes(const upstream_t *upstream,
				 const endpoint_t *endpoint, double budget)
{
	double known = MAX(upstream->assigned_instances, 1);
	double unknown_factor = MAX(upstream->local_entries / known, 1);
	double share =
		budget * (1 - PREFERRED_PROBES_SHARE) / upstream->local_entries;

	if (endpoint->preferred)
		share += budget * PREFERRED_PROBES_SHARE /
			 (MAX(endpoint->preferring_instances, 1) *
			  unknown_factor);
	return share;
}
