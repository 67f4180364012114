/*
 * Life cycle of an entry, its services, address resolution and periodic work.
 */
#include "lib/entry/entry_internal.h"

#include <string.h>

/* Maximum burst of probes to one endpoint: calls arrive in bursts, too. */
#define PROBE_BURST 20

/* Time for the other instances to learn that this one is leaving. */
#define LEAVE_PROPAGATION_TIME (2 * G_TIME_SPAN_SECOND)

entry_t *entry_new(const member_t *self, const entry_limits_t *limits,
		   const entry_actions_t *actions, const catk_clock_t *clock,
		   GRand *random, counters_t *counters)
{
	entry_t *entry = g_new0(entry_t, 1);

	g_assert(limits->attempts_max >= 1 && limits->entries_max >= 1);
	g_assert(limits->resolve_addresses >= 1 &&
		 limits->resolve_addresses <= ENTRY_RESOLVE_ADDRESSES_MAX);
	entry->limits = *limits;
	entry->actions = *actions;
	entry->clock = clock;
	entry->random = random;
	entry->counters = counters;
	entry->config = config_new(counters);
	entry_peers_init(entry, self);
	entry_subscription_init(entry);
	entry->ids = request_ids_new(&limits->request_ids, counters);
	TAILQ_INIT(&entry->services);
	entry->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&entry->calls);
	entry->calls_by_sequence =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->calls_by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->calls_by_ref = g_hash_table_new(NULL, NULL);
	entry->splits = route_splits_new(random);
	entry->deadlines = route_deadlines_new();
	entry_quota_init(entry);
	entry->next_attempt = 1;
	startup_queue_init(&entry->startup_queue, entry_now(entry));
	entry->next_housekeeping = entry_now(entry);
	return entry;
}

void entry_update_limits(entry_t *entry, const entry_limits_t *limits)
{
	entry_service_t *service;

	entry->limits.retry_percent = limits->retry_percent;
	entry->limits.retry_saved = limits->retry_saved;
	entry->limits.probe_fanout = limits->probe_fanout;
	entry->limits.resolve_ttl = limits->resolve_ttl;
	entry->limits.resolve_addresses = limits->resolve_addresses;
	entry->limits.shutdown_max = limits->shutdown_max;
	TAILQ_FOREACH (service, &entry->services, link)
		retry_budget_set_percent(&service->retry_budget,
					 limits->retry_percent);
}

static void service_free(entry_t *entry, entry_service_t *service)
{
	g_hash_table_remove(entry->services_by_name,
			    upstream_service(service->upstream));
	TAILQ_REMOVE(&entry->services, service, link);
	admission_free(service->admission);
	spillover_free(service->spillover);
	upstream_free(service->upstream);
	g_free(service);
}

void entry_free(entry_t *entry)
{
	if (!entry)
		return;
	entry_free_calls(entry);
	startup_queue_clear(&entry->startup_queue);
	while (!TAILQ_EMPTY(&entry->services))
		service_free(entry, TAILQ_FIRST(&entry->services));
	g_hash_table_destroy(entry->services_by_name);
	g_hash_table_destroy(entry->calls_by_sequence);
	g_hash_table_destroy(entry->calls_by_attempt);
	g_hash_table_destroy(entry->calls_by_ref);
	quota_free(entry->quota);
	route_splits_free(entry->splits);
	route_deadlines_free(entry->deadlines);
	request_ids_free(entry->ids);
	entry_peers_free(entry);
	entry_subscription_free(entry);
	config_free(entry->config);
	g_free(entry);
}

entry_service_t *entry_find_service(entry_t *entry, const char *name)
{
	return g_hash_table_lookup(entry->services_by_name, name);
}

static gboolean is_evacuated(void *ctx, const char *data_centre)
{
	const entry_t *entry = ctx;

	return evacuations_contains(entry->evacuations, data_centre);
}

/* Suspects may be live; without them the senders would change too often. */
static gboolean next_instance(void *ctx, const void **position,
			      warmup_instance_t *instance)
{
	const entry_t *entry = ctx;
	const member_t *member = *position;

	do
		member = member ? membership_next(member) :
				  membership_first(entry->membership);
	while (member && member->state != MEMBER_LIVE &&
	       member->state != MEMBER_SUSPECT);
	*position = member;
	if (!member)
		return FALSE;
	instance->name = member->name;
	instance->data_centre = member->data_centre;
	return TRUE;
}

/* Suspects mostly refute, so that preferences do not change for them. */
static guint list_local_instances(void *ctx, const char **names, guint max)
{
	const entry_t *entry = ctx;
	const member_t *self = membership_self(entry->membership);
	const member_t *member;
	guint count = 0;

	for (member = membership_first(entry->membership);
	     member && count < max; member = membership_next(member))
		if ((member->state == MEMBER_LIVE ||
		     member->state == MEMBER_SUSPECT) &&
		    strcmp(member->data_centre, self->data_centre) == 0)
			names[count++] = member->name;
	return count;
}

static entry_service_t *add_service(entry_t *entry, const char *name)
{
	entry_service_t *service = g_new0(entry_service_t, 1);
	spillover_options_t spillover = {
		.price_percent = entry->limits.crossing_price_percent,
		.log = &entry->actions.log,
		.random = entry->random,
	};
	upstream_options_t options = {
		.policy = entry->limits.routing,
		.entries_max = entry->limits.entries_max,
		.report_stale_after = entry->limits.report_stale_after,
		.instance = membership_self(entry->membership)->name,
		.data_centre = membership_self(entry->membership)->data_centre,
		.log = &entry->actions.log,
		.probe_burst = entry->limits.probe_fanout ? PROBE_BURST : 1,
		.is_evacuated = is_evacuated,
		.evacuated_ctx = entry,
		.warmup_overage = entry->limits.warmup_overage,
		.warmup_slack = entry->limits.warmup_slack,
		.next_instance = next_instance,
		.next_instance_ctx = entry,
		.preferred_instances = entry->limits.preferred_instances,
		.list_instances = list_local_instances,
		.instances_ctx = entry,
	};

	service->upstream =
		upstream_new(name, &options, entry->random, entry->counters);
	spillover.service = upstream_service(service->upstream);
	if (spillover.price_percent)
		service->spillover =
			spillover_new(&spillover, entry_now(entry));
	service->admission =
		admission_new(&entry->limits.admission, entry->counters);
	if (entry->limits.concurrency_max)
		admission_set_fixed_limit(service->admission,
					  entry->limits.concurrency_max);
	retry_budget_init(&service->retry_budget, entry->limits.retry_percent);
	TAILQ_INIT(&service->awaiting_probes);
	TAILQ_INSERT_TAIL(&entry->services, service, link);
	g_hash_table_insert(entry->services_by_name,
			    (gpointer)upstream_service(service->upstream),
			    service);
	return service;
}

static void set_configured_endpoints(entry_t *entry, entry_service_t *service,
				     const schema_service_t *declared)
{
	const schema_endpoint_t *endpoint;
	endpoint_info_t *infos;
	gsize count = 0;

	TAILQ_FOREACH (endpoint, &declared->endpoints, link)
		count++;
	infos = g_new0(endpoint_info_t, count);
	count = 0;
	TAILQ_FOREACH (endpoint, &declared->endpoints, link)
		g_strlcpy(infos[count++].address, endpoint->address,
			  sizeof(infos->address));
	upstream_set_endpoints(service->upstream, infos, count,
			       entry_now(entry));
	g_free(infos);
}

/* A service that is no longer declared is kept for its calls in flight. */
static void configure_services(entry_t *entry)
{
	const schema_t *schema = config_schema(entry->config);
	const schema_service_t *declared;
	entry_service_t *service;
	gboolean was_known;

	TAILQ_FOREACH (service, &entry->services, link)
		service->declared = FALSE;
	TAILQ_FOREACH (declared, &schema->services, link) {
		service = entry_find_service(entry, declared->name);
		if (!service)
			service = add_service(entry, declared->name);
		service->declared = TRUE;
		upstream_configure(service->upstream, declared,
				   entry_now(entry));
		admission_configure(service->admission, schema);
		was_known = service->from_catalogue;
		service->from_catalogue = declared->instance_list != NULL;
		if (!service->from_catalogue)
			set_configured_endpoints(entry, service, declared);
		else if (!was_known)
			catalogue_report(entry->catalogue, declared->name);
	}
	TAILQ_FOREACH (service, &entry->services, link)
		service->from_catalogue &= service->declared;
	route_splits_configure(entry->splits, schema);
	route_deadlines_configure(entry->deadlines, schema);
}

static void configure_limits(entry_t *entry)
{
	const schema_t *schema = config_schema(entry->config);
	const organisation_t *organisation;
	GTimeSpan now = entry_now(entry);

	if (!entry->quota)
		return;
	quota_begin_limits(entry->quota);
	TAILQ_FOREACH (organisation, &schema->organisations->list, link)
		quota_set_limit(entry->quota, organisation->name,
				organisation->rate, organisation->burst, now);
	quota_end_limits(entry->quota, now);
}

config_activate_result_t entry_activate_config(entry_t *entry, guint64 version,
					       schema_t *schema,
					       GBytes *document)
{
	gboolean is_first = !config_version(entry->config);
	config_activate_result_t result =
		config_activate(entry->config, version, schema, document);

	if (result == CONFIG_ACTIVATED) {
		if (is_first)
			entry->evacuations_awaited_until =
				entry_now(entry) +
				entry->limits.evacuation_bound;
		configure_services(entry);
		configure_limits(entry);
		entry_log_config(entry);
		subscription_notify_all(entry->subscription);
		entry_endpoints_changed(entry);
		entry_route_startup_requests(entry);
	}
	return result;
}

gboolean entry_set_endpoints(entry_t *entry, const char *name,
			     const endpoint_info_t *infos, gsize count)
{
	entry_service_t *service = entry_find_service(entry, name);

	if (!service || !service->declared)
		return FALSE;
	upstream_set_endpoints(service->upstream, infos, count,
			       entry_now(entry));
	entry_log_endpoints(entry, service, infos, count);
	entry_dispatch(entry, service);
	return TRUE;
}

const config_t *entry_config(const entry_t *entry)
{
	return entry->config;
}

const membership_t *entry_membership(const entry_t *entry)
{
	return entry->membership;
}

static void add_address(resolve_result_t *result, const member_t *member)
{
	g_strlcpy(result->addresses[result->address_count],
		  member->caller_address,
		  sizeof(result->addresses[result->address_count]));
	result->address_count++;
}

static gboolean is_other_member(const entry_t *entry, const member_t *member,
				member_state_t state, gboolean same_data_centre)
{
	const member_t *self = membership_self(entry->membership);

	return member != self && member->state == state &&
	       member->caller_address[0] &&
	       same_data_centre ==
		       (strcmp(member->data_centre, self->data_centre) == 0);
}

/* Adds the other members in that state, starting at a rotating offset. */
static void add_other_members(entry_t *entry, resolve_result_t *result,
			      member_state_t state, gboolean same_data_centre)
{
	const member_t *first = membership_first(entry->membership);
	const member_t *member;
	guint count = 0, position = 0, start;

	for (member = first; member; member = membership_next(member))
		count +=
			is_other_member(entry, member, state, same_data_centre);
	if (!count)
		return;
	start = entry->resolve_offset % count;
	for (member = first; position < start + count;
	     member = membership_next(member)) {
		if (!member)
			member = first;
		if (!is_other_member(entry, member, state, same_data_centre))
			continue;
		if (result->address_count == entry->limits.resolve_addresses)
			return;
		if (position++ >= start)
			add_address(result, member);
	}
}

/*
 * Puts this instance first: it issues the request ids, so calls under them
 * need no forwarding. Suspects are used only if no instance is live, leaving
 * instances never.
 */
static void fill_addresses(entry_t *entry, resolve_result_t *result)
{
	const member_t *self = membership_self(entry->membership);

	if (self->state == MEMBER_LIVE)
		add_address(result, self);
	add_other_members(entry, result, MEMBER_LIVE, TRUE);
	add_other_members(entry, result, MEMBER_LIVE, FALSE);
	if (result->address_count == 0) {
		add_other_members(entry, result, MEMBER_SUSPECT, TRUE);
		add_other_members(entry, result, MEMBER_SUSPECT, FALSE);
	}
	entry->resolve_offset++;
}

static gboolean fail_no_instance(catk_error_t *err)
{
	catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
		       "no live instance is known: ask another instance or "
		       "retry later");
	return FALSE;
}

gboolean entry_resolve(entry_t *entry, resolve_result_t *result,
		       catk_error_t *err)
{
	const member_t *self = membership_self(entry->membership);

	memset(result, 0, sizeof(*result));
	fill_addresses(entry, result);
	if (result->address_count == 0)
		return fail_no_instance(err);
	result->ttl = entry->limits.resolve_ttl;
	result->config_version = config_version(entry->config);
	result->has_ids = !entry_is_leaving(entry);
	if (!result->has_ids)
		return TRUE;
	g_strlcpy(result->instance, self->name, sizeof(result->instance));
	result->incarnation = self->incarnation;
	result->ids = request_ids_issue(entry->ids, entry_now(entry));
	return TRUE;
}

static gboolean is_candidate(const member_t *member, const char *data_centre,
			     member_state_t state)
{
	return member->state == state && member->caller_address[0] &&
	       (!data_centre || strcmp(member->data_centre, data_centre) == 0);
}

/*
 * Adds the members of a data centre, or of all if it is NULL. If they exceed
 * the size of a result, each result starts where the last one ended, so that
 * all members get callers.
 */
static void add_members(entry_t *entry, resolve_result_t *result,
			const char *data_centre, member_state_t state)
{
	const member_t *first = membership_first(entry->membership);
	guint max = entry->limits.resolve_addresses;
	const member_t *member;
	guint count = 0, start = 0, position = 0;

	for (member = first; member; member = membership_next(member))
		count += is_candidate(member, data_centre, state);
	if (count > max) {
		start = entry->resolve_offset % count;
		entry->resolve_offset += max;
	}
	for (member = first; position < start + count;
	     member = membership_next(member)) {
		if (!member)
			member = first;
		if (!is_candidate(member, data_centre, state))
			continue;
		if (result->address_count == max)
			return;
		if (position++ >= start)
			add_address(result, member);
	}
}

gboolean entry_resolve_for_data_centre(entry_t *entry, const char *data_centre,
				       resolve_result_t *result,
				       catk_error_t *err)
{
	memset(result, 0, sizeof(*result));
	add_members(entry, result, data_centre, MEMBER_LIVE);
	if (!result->address_count)
		add_members(entry, result, NULL, MEMBER_LIVE);
	if (!result->address_count)
		add_members(entry, result, NULL, MEMBER_SUSPECT);
	if (!result->address_count)
		return fail_no_instance(err);
	result->ttl = entry->limits.resolve_ttl;
	result->config_version = config_version(entry->config);
	return TRUE;
}

/* If nobody tells in time, serving is better than none. */
static gboolean awaits_evacuations(const entry_t *entry)
{
	return entry->limits.evacuation_bound &&
	       !evacuations_position(entry->evacuations) &&
	       entry_now(entry) < entry->evacuations_awaited_until;
}

gboolean entry_is_ready(const entry_t *entry)
{
	return !entry_is_leaving(entry) && config_version(entry->config) > 0 &&
	       !awaits_evacuations(entry);
}

static void send_probes(entry_t *entry, entry_service_t *service)
{
	const char *endpoint;

	while ((endpoint = upstream_next_probe(service->upstream,
					       entry_now(entry)))) {
		counters_add(entry->counters, COUNTER_PROBES_SENT, 1);
		entry->actions.send_probe(entry->actions.ctx,
					  upstream_service(service->upstream),
					  endpoint);
	}
}

/* instances is the number that may exist, see distribute_fleet_limits(). */
static void update_quota_members(entry_t *entry, guint instances)
{
	static const quota_member_state_t states[] = {
		[MEMBER_LIVE] = QUOTA_MEMBER_LIVE,
		[MEMBER_SUSPECT] = QUOTA_MEMBER_SUSPECT,
		[MEMBER_LEAVING] = QUOTA_MEMBER_LEAVING,
	};
	const member_t *member;

	if (!entry->quota)
		return;
	quota_begin_members(entry->quota);
	for (member = membership_first(entry->membership); member;
	     member = membership_next(member))
		if (member->state != MEMBER_GONE)
			quota_add_member(entry->quota, member->name,
					 member->peer_address,
					 states[member->state]);
	quota_end_members(entry->quota, instances, entry_now(entry));
}

/*
 * Divides the limits of the whole fleet among its instances: connections per
 * endpoint, probes, and accumulated retries. The divisor is entries_max, or the
 * number of instances if that is higher. Instances of this data centre are
 * scaled up in proportion, so one that knows no others counts as entries_max.
 */
static void distribute_fleet_limits(entry_t *entry)
{
	const member_t *self = membership_self(entry->membership);
	GTimeSpan now = entry_now(entry);
	guint live = fleet_size_update(
		&entry->fleet, entry_count_live_instances(entry, NULL), now);
	guint local = fleet_size_update(
		&entry->fleet_local,
		entry_count_live_instances(entry, self->data_centre), now);
	guint instances = MAX(live, entry->limits.entries_max);
	entry_service_t *service;

	local = (local * instances + live - 1) / MAX(live, 1);
	TAILQ_FOREACH (service, &entry->services, link) {
		upstream_set_entry_counts(service->upstream, instances,
					  MAX(local, 1), now);
		upstream_update_instances(service->upstream, now);
		if (entry->limits.retry_saved)
			retry_budget_set_capacity(&service->retry_budget,
						  entry->limits.retry_saved *
							  100 / instances);
	}
	update_quota_members(entry, instances);
}

static void housekeeping(entry_t *entry)
{
	entry_service_t *service;

	entry->next_housekeeping =
		entry_now(entry) + ENTRY_HOUSEKEEPING_INTERVAL;
	request_ids_expire(entry->ids, entry_now(entry));
	config_free_replaced(entry->config);
	distribute_fleet_limits(entry);
	entry_subscription_tick(entry);
	TAILQ_FOREACH (service, &entry->services, link) {
		if (service->declared)
			send_probes(entry, service);
		if (service->spillover)
			spillover_tick(service->spillover, entry_now(entry));
	}
}

void entry_tick(entry_t *entry)
{
	entry_service_t *service;

	entry_expire_calls(entry);
	entry_refuse_startup_requests(entry, FALSE);
	entry_peers_tick(entry);
	if (entry_now(entry) >= entry->next_housekeeping)
		housekeeping(entry);
	if (entry->quota)
		quota_tick(entry->quota, entry_now(entry));
	TAILQ_FOREACH (service, &entry->services, link) {
		entry_probe_wait_tick(entry, service);
		entry_dispatch(entry, service);
	}
}

const char *entry_endpoint_address(entry_t *entry, const char *name,
				   const char *endpoint)
{
	const entry_service_t *service = entry_find_service(entry, name);

	return service ? upstream_address_of(service->upstream, endpoint) :
			 NULL;
}

GTimeSpan entry_next_wakeup(const entry_t *entry)
{
	GTimeSpan wakeup = MIN(entry->next_housekeeping,
			       membership_next_wakeup(entry->membership));
	const entry_service_t *service;

	if (entry->quota)
		wakeup = MIN(wakeup, quota_next_wakeup(entry->quota));
	if (!TAILQ_EMPTY(&entry->calls))
		wakeup = MIN(wakeup, TAILQ_FIRST(&entry->calls)->deadline);
	/*
	 * The main loop calls this about 20 times per call, so capacity of
	 * endpoints is looked up only for services with queued calls.
	 */
	TAILQ_FOREACH (service, &entry->services, link) {
		wakeup = MIN(wakeup, entry_probe_wait_wakeup(service));
		if (admission_waiting(service->admission))
			wakeup = MIN(wakeup, upstream_next_available_at(
						     service->upstream,
						     entry_now(entry)));
	}
	return wakeup;
}

void entry_shutdown(entry_t *entry, const char *reason)
{
	if (!shutdown_start(&entry->shutdown, entry->limits.shutdown_max,
			    entry_now(entry)))
		return;
	entry->shutdown.calls.open_at_start =
		g_hash_table_size(entry->calls_by_ref);
	entry_log_shutdown_started(entry, reason);
	membership_leave(entry->membership);
	entry_refuse_startup_requests(entry, TRUE);
	entry_refuse_unstarted_calls(entry);
}

gboolean entry_is_leaving(const entry_t *entry)
{
	return entry->shutdown.phase != SHUTDOWN_NONE;
}

static gboolean is_drained(const entry_t *entry, GTimeSpan now)
{
	GTimeSpan last_expiry = request_ids_last_expiry(entry->ids);

	if (now < entry->shutdown.started + entry->limits.resolve_ttl +
			  LEAVE_PROPAGATION_TIME)
		return FALSE;
	if (last_expiry != CATK_NEVER && now < last_expiry)
		return FALSE;
	return TAILQ_EMPTY(&entry->calls) && !entry_has_forwarded_calls(entry);
}

GTimeSpan entry_shutdown_deadline(const entry_t *entry)
{
	return entry_is_leaving(entry) ? entry->shutdown.end : CATK_NEVER;
}

gboolean entry_is_shutdown_complete(entry_t *entry)
{
	GTimeSpan now = entry_now(entry);

	if (!entry_is_leaving(entry))
		return FALSE;
	if (!is_drained(entry, now) && now < entry_shutdown_deadline(entry))
		return FALSE;
	if (shutdown_complete(&entry->shutdown, now))
		entry_end_forwarded_calls(entry);
	return TRUE;
}

void entry_end_shutdown(entry_t *entry, guint connections, guint unsent)
{
	if (!entry_is_leaving(entry))
		return;
	entry_record_cut_calls(entry);
	entry_log_shutdown_ended(entry, connections, unsent);
}
