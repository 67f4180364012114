#include "lib/config_check/config_check.h"

#include <string.h>

#include "lib/config_check/config_check_internal.h"

/* Upper limit of the setting attempts_max; each attempt costs retry budget. */
#define ATTEMPTS_USEFUL_MAX 10

static const char *const kind_names[] = {
	[CONFIG_NEVER_MATCHES] = "never_matches",
	[CONFIG_UNUSED] = "unused",
	[CONFIG_CONTRADICTION] = "contradiction",
	[CONFIG_ADDED] = "added",
	[CONFIG_REMOVED] = "removed",
	[CONFIG_CHANGED] = "changed",
};

static const char *const subject_names[] = {
	[CONFIG_ROUTE] = "route",
	[CONFIG_SERVICE] = "service",
	[CONFIG_ORGANISATION] = "organisation",
	[CONFIG_LIMITS] = "limits",
};

static const char *const field_names[] = {
	[CONFIG_ENTRY] = "",
	[CONFIG_HOST] = "host",
	[CONFIG_PREFIX] = "prefix",
	[CONFIG_TARGETS] = "targets",
	[CONFIG_DEADLINE] = "deadline",
	[CONFIG_OBJECTIVE] = "objective",
	[CONFIG_ATTEMPTS] = "attempts",
	[CONFIG_PRIORITY] = "priority",
	[CONFIG_IDEMPOTENT] = "idempotent",
	[CONFIG_PUBLIC] = "public",
	[CONFIG_CONNECTIONS] = "connections",
	[CONFIG_HEALTH_PATH] = "health_path",
	[CONFIG_WARMUP_DURATION] = "warmup_duration",
	[CONFIG_WARMUP_RATE] = "warmup_per_second",
	[CONFIG_KEYS] = "keys",
	[CONFIG_RATE] = "rate",
	[CONFIG_BURST] = "burst",
	[CONFIG_HEADER_BYTES] = "header_bytes",
	[CONFIG_BODY_BYTES] = "body_bytes",
	[CONFIG_HEADER_TIMEOUT] = "header_timeout",
	[CONFIG_IDLE_TIMEOUT] = "idle_timeout",
};

G_STATIC_ASSERT(G_N_ELEMENTS(kind_names) == CONFIG_FINDING_KIND_COUNT);
G_STATIC_ASSERT(G_N_ELEMENTS(subject_names) == CONFIG_SUBJECT_COUNT);
G_STATIC_ASSERT(G_N_ELEMENTS(field_names) == CONFIG_FIELD_COUNT);

const char *config_finding_kind_name(config_finding_kind_t kind)
{
	g_assert(kind < CONFIG_FINDING_KIND_COUNT);
	return kind_names[kind];
}

const char *config_subject_name(config_subject_t subject)
{
	g_assert(subject < CONFIG_SUBJECT_COUNT);
	return subject_names[subject];
}

const char *config_field_name(config_field_t field)
{
	g_assert(field < CONFIG_FIELD_COUNT);
	return field_names[field];
}

void config_check_report(const config_reporter_t *reporter,
			 config_finding_kind_t kind, config_subject_t subject,
			 const char *name, config_field_t field,
			 const char *format, ...)
{
	char message[CONFIG_CHECK_MESSAGE_SIZE];
	const config_finding_t finding = { kind, subject, name, field,
					   message };
	va_list args;

	va_start(args, format);
	g_vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	reporter->on_finding(reporter->ctx, &finding);
}

/* The host of a request is compared without its port. */
static void check_match(const schema_t *schema, const schema_route_t *route,
			const config_reporter_t *reporter)
{
	const char *name = route->method.name;
	const schema_route_t *found;

	if (strchr(route->host, ':')) {
		config_check_report(reporter, CONFIG_NEVER_MATCHES,
				    CONFIG_ROUTE, name, CONFIG_HOST,
				    "requests are matched without a port: "
				    "remove the port of \"%.64s\"",
				    route->host);
		return;
	}
	found = schema_match_route(schema, route->host, route->prefix);
	if (found && found != route)
		config_check_report(reporter, CONFIG_NEVER_MATCHES,
				    CONFIG_ROUTE, name, CONFIG_PREFIX,
				    "route \"%s\" comes first with the same "
				    "host and prefix: remove one",
				    found->method.name);
}

static const schema_target_t *find_target(const schema_route_t *route,
					  const char *service,
					  const schema_target_t *before)
{
	const schema_target_t *target;

	TAILQ_FOREACH (target, &route->targets, link) {
		if (target == before)
			return NULL;
		if (strcmp(target->service, service) == 0)
			return target;
	}
	return NULL;
}

static void check_targets(const schema_route_t *route,
			  const config_reporter_t *reporter)
{
	const char *name = route->method.name;
	const schema_target_t *target;
	guint64 weights = 0;

	TAILQ_FOREACH (target, &route->targets, link) {
		weights += target->weight;
		if (find_target(route, target->service, target))
			config_check_report(reporter, CONFIG_CONTRADICTION,
					    CONFIG_ROUTE, name, CONFIG_TARGETS,
					    "service \"%s\" is listed twice: "
					    "add up its weights",
					    target->service);
		if (!target->weight)
			config_check_report(reporter, CONFIG_NEVER_MATCHES,
					    CONFIG_ROUTE, name, CONFIG_TARGETS,
					    "service \"%s\" has weight 0 and "
					    "gets no requests: remove it or "
					    "raise its weight",
					    target->service);
	}
	if (!weights)
		config_check_report(reporter, CONFIG_CONTRADICTION,
				    CONFIG_ROUTE, name, CONFIG_TARGETS,
				    "no service has a weight, so that every "
				    "request is answered 404: give one a "
				    "weight");
}

static void check_route(const schema_t *schema, const schema_route_t *route,
			const config_reporter_t *reporter)
{
	const char *name = route->method.name;

	check_match(schema, route, reporter);
	check_targets(route, reporter);
	if (route->objective > route->method.deadline)
		config_check_report(
			reporter, CONFIG_CONTRADICTION, CONFIG_ROUTE, name,
			CONFIG_OBJECTIVE,
			"the objective of %" G_GINT64_FORMAT
			" ms is above the deadline of %" G_GINT64_FORMAT
			" ms: lower it or raise the deadline",
			route->objective / G_TIME_SPAN_MILLISECOND,
			route->method.deadline / G_TIME_SPAN_MILLISECOND);
	if (route->attempts_max > ATTEMPTS_USEFUL_MAX)
		config_check_report(
			reporter, CONFIG_CONTRADICTION, CONFIG_ROUTE, name,
			CONFIG_ATTEMPTS,
			"%u attempts are more than the retry budget allows: "
			"set at most %d",
			route->attempts_max, ATTEMPTS_USEFUL_MAX);
	if (route->is_public && organisations_is_empty(schema->organisations))
		config_check_report(reporter, CONFIG_UNUSED, CONFIG_ROUTE, name,
				    CONFIG_PUBLIC,
				    "every route is public without "
				    "organisations: remove it or declare one");
}

static void check_service(const schema_service_t *service, GHashTable *used,
			  const config_reporter_t *reporter)
{
	const char *name = service->name;

	if (TAILQ_EMPTY(&service->methods) &&
	    !g_hash_table_contains(used, name))
		config_check_report(reporter, CONFIG_UNUSED, CONFIG_SERVICE,
				    name, CONFIG_ENTRY,
				    "no route refers to the service: remove it "
				    "or add a route");
	if (service->warmup_duration > 0 && service->warmup_per_second <= 0)
		config_check_report(
			reporter, CONFIG_CONTRADICTION, CONFIG_SERVICE, name,
			CONFIG_WARMUP_RATE,
			"a warm-up time without a rate limits nothing: set "
			"the rate or remove the time");
	if (service->warmup_duration <= 0 && service->warmup_per_second > 0)
		config_check_report(
			reporter, CONFIG_CONTRADICTION, CONFIG_SERVICE, name,
			CONFIG_WARMUP_DURATION,
			"a warm-up rate without a time never applies: set the "
			"time or remove the rate");
}

static void check_organisation(const organisation_t *organisation,
			       GHashTable *with_keys,
			       const config_reporter_t *reporter)
{
	if (!g_hash_table_contains(with_keys, organisation))
		config_check_report(reporter, CONFIG_UNUSED,
				    CONFIG_ORGANISATION, organisation->name,
				    CONFIG_KEYS,
				    "the organisation has no key, so that no "
				    "request is its own: add one or remove it");
	if (organisation->rate <= 0 && organisation->burst > 0)
		config_check_report(reporter, CONFIG_CONTRADICTION,
				    CONFIG_ORGANISATION, organisation->name,
				    CONFIG_BURST,
				    "a burst without a rate limits nothing, as "
				    "rate 0 is no limit: set the rate or "
				    "remove the burst");
}

static void check_limits(const schema_request_limits_t *limits,
			 const config_reporter_t *reporter)
{
	if (limits->idle_timeout > 0 &&
	    limits->header_timeout > limits->idle_timeout)
		config_check_report(
			reporter, CONFIG_CONTRADICTION, CONFIG_LIMITS, "",
			CONFIG_HEADER_TIMEOUT,
			"the time for headers, %" G_GINT64_FORMAT
			" ms, is above that for an idle connection, "
			"%" G_GINT64_FORMAT " ms: lower it or raise the other",
			limits->header_timeout / G_TIME_SPAN_MILLISECOND,
			limits->idle_timeout / G_TIME_SPAN_MILLISECOND);
}

/* Names of the services that routes refer to. */
static GHashTable *collect_used(const schema_t *schema)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	const schema_route_t *route;
	const schema_target_t *target;

	TAILQ_FOREACH (route, &schema->routes, link)
		TAILQ_FOREACH (target, &route->targets, link)
			g_hash_table_add(used, target->service);
	return used;
}

static GHashTable *collect_with_keys(const organisations_t *organisations)
{
	GHashTable *with_keys = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer organisation;

	g_hash_table_iter_init(&iter, organisations->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &organisation))
		g_hash_table_add(with_keys, organisation);
	return with_keys;
}

void config_check(const schema_t *schema, config_finding_fn_t on_finding,
		  void *ctx)
{
	const config_reporter_t reporter = { on_finding, ctx };
	GHashTable *used = collect_used(schema);
	GHashTable *with_keys = collect_with_keys(schema->organisations);
	const schema_route_t *route;
	const schema_service_t *service;
	const organisation_t *organisation;

	TAILQ_FOREACH (route, &schema->routes, link)
		check_route(schema, route, &reporter);
	TAILQ_FOREACH (service, &schema->services, link)
		check_service(service, used, &reporter);
	TAILQ_FOREACH (organisation, &schema->organisations->list, link)
		check_organisation(organisation, with_keys, &reporter);
	check_limits(&schema->request_limits, &reporter);
	g_hash_table_destroy(with_keys);
	g_hash_table_destroy(used);
}
