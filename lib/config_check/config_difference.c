/* The difference between two configurations. */
#include "lib/config_check/config_check_internal.h"

/* Numbers of keys that an organisation gains and loses. */
typedef struct {
	guint added, withdrawn;
} key_changes_t;

static void report_number(const config_reporter_t *reporter,
			  config_subject_t subject, const char *name,
			  config_field_t field, double from, double to)
{
	if (from != to)
		config_check_report(reporter, CONFIG_CHANGED, subject, name,
				    field, "%.15g -> %.15g", from, to);
}

static void report_time(const config_reporter_t *reporter,
			config_subject_t subject, const char *name,
			config_field_t field, GTimeSpan from, GTimeSpan to)
{
	if (from != to)
		config_check_report(
			reporter, CONFIG_CHANGED, subject, name, field,
			"%.15g ms -> %.15g ms",
			(double)from / (double)G_TIME_SPAN_MILLISECOND,
			(double)to / (double)G_TIME_SPAN_MILLISECOND);
}

static void report_text(const config_reporter_t *reporter,
			config_subject_t subject, const char *name,
			config_field_t field, const char *from, const char *to)
{
	if (g_strcmp0(from, to) != 0)
		config_check_report(reporter, CONFIG_CHANGED, subject, name,
				    field, "%.100s -> %.100s",
				    from ? from : "none", to ? to : "none");
}

static gchar *format_targets(const schema_route_t *route)
{
	GString *text = g_string_new(NULL);
	const schema_target_t *target;

	TAILQ_FOREACH (target, &route->targets, link)
		g_string_append_printf(text, "%s%s:%u", text->len ? "," : "",
				       target->service, target->weight);
	return g_string_free(text, FALSE);
}

static void compare_routes(const config_reporter_t *reporter,
			   const schema_route_t *from, const schema_route_t *to)
{
	const char *name = to->method.name;
	gchar *targets_from = format_targets(from);
	gchar *targets_to = format_targets(to);

	report_text(reporter, CONFIG_ROUTE, name, CONFIG_HOST, from->host,
		    to->host);
	report_text(reporter, CONFIG_ROUTE, name, CONFIG_PREFIX, from->prefix,
		    to->prefix);
	report_text(reporter, CONFIG_ROUTE, name, CONFIG_TARGETS, targets_from,
		    targets_to);
	report_time(reporter, CONFIG_ROUTE, name, CONFIG_DEADLINE,
		    from->method.deadline, to->method.deadline);
	report_time(reporter, CONFIG_ROUTE, name, CONFIG_OBJECTIVE,
		    from->objective, to->objective);
	report_number(reporter, CONFIG_ROUTE, name, CONFIG_ATTEMPTS,
		      from->attempts_max, to->attempts_max);
	report_number(reporter, CONFIG_ROUTE, name, CONFIG_PRIORITY,
		      from->method.priority, to->method.priority);
	report_number(reporter, CONFIG_ROUTE, name, CONFIG_IDEMPOTENT,
		      from->method.idempotent, to->method.idempotent);
	report_number(reporter, CONFIG_ROUTE, name, CONFIG_PUBLIC,
		      from->is_public, to->is_public);
	g_free(targets_from);
	g_free(targets_to);
}

static void compare_services(const config_reporter_t *reporter,
			     const schema_service_t *from,
			     const schema_service_t *to)
{
	const char *name = to->name;

	report_number(reporter, CONFIG_SERVICE, name, CONFIG_CONNECTIONS,
		      from->connections, to->connections);
	report_text(reporter, CONFIG_SERVICE, name, CONFIG_HEALTH_PATH,
		    from->health_path, to->health_path);
	report_time(reporter, CONFIG_SERVICE, name, CONFIG_WARMUP_DURATION,
		    from->warmup_duration, to->warmup_duration);
	report_number(reporter, CONFIG_SERVICE, name, CONFIG_WARMUP_RATE,
		      from->warmup_per_second, to->warmup_per_second);
}

static void compare_organisations(const config_reporter_t *reporter,
				  const organisation_t *from,
				  const organisation_t *to)
{
	report_number(reporter, CONFIG_ORGANISATION, to->name, CONFIG_PRIORITY,
		      from->priority, to->priority);
	report_number(reporter, CONFIG_ORGANISATION, to->name, CONFIG_RATE,
		      from->rate, to->rate);
	report_number(reporter, CONFIG_ORGANISATION, to->name, CONFIG_BURST,
		      from->burst, to->burst);
}

static void report_entry(const config_reporter_t *reporter,
			 config_finding_kind_t kind, config_subject_t subject,
			 const char *name)
{
	config_check_report(reporter, kind, subject, name, CONFIG_ENTRY, "%s",
			    config_finding_kind_name(kind));
}

static void compare_all_routes(const config_reporter_t *reporter,
			       const schema_t *from, const schema_t *to)
{
	const schema_route_t *route, *other;

	TAILQ_FOREACH (route, &from->routes, link)
		if (!g_hash_table_contains(to->routes_by_name,
					   route->method.name))
			report_entry(reporter, CONFIG_REMOVED, CONFIG_ROUTE,
				     route->method.name);
	TAILQ_FOREACH (route, &to->routes, link) {
		other = g_hash_table_lookup(from->routes_by_name,
					    route->method.name);
		if (other)
			compare_routes(reporter, other, route);
		else
			report_entry(reporter, CONFIG_ADDED, CONFIG_ROUTE,
				     route->method.name);
	}
}

static void compare_all_services(const config_reporter_t *reporter,
				 const schema_t *from, const schema_t *to)
{
	const schema_service_t *service, *other;

	TAILQ_FOREACH (service, &from->services, link)
		if (!schema_find_service(to, service->name))
			report_entry(reporter, CONFIG_REMOVED, CONFIG_SERVICE,
				     service->name);
	TAILQ_FOREACH (service, &to->services, link) {
		other = schema_find_service(from, service->name);
		if (other)
			compare_services(reporter, other, service);
		else
			report_entry(reporter, CONFIG_ADDED, CONFIG_SERVICE,
				     service->name);
	}
}

static key_changes_t *changes_of(GHashTable *changes, const char *name)
{
	key_changes_t *found = g_hash_table_lookup(changes, name);

	if (!found) {
		found = g_new0(key_changes_t, 1);
		g_hash_table_insert(changes, (gpointer)name, found);
	}
	return found;
}

/* Counts the keys of one set that the other gives to nobody or to another. */
static void count_keys(GHashTable *changes, const organisations_t *set,
		       const organisations_t *other, gboolean added)
{
	const organisation_t *holder, *other_holder;
	key_changes_t *found;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, set->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		holder = value;
		other_holder = organisations_find_by_key(other, key);
		if (other_holder &&
		    g_str_equal(other_holder->name, holder->name))
			continue;
		found = changes_of(changes, holder->name);
		found->added += added;
		found->withdrawn += !added;
	}
}

static void compare_all_organisations(const config_reporter_t *reporter,
				      const organisations_t *from,
				      const organisations_t *to)
{
	GHashTable *changes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const organisation_t *organisation, *other;
	const key_changes_t *keys;

	count_keys(changes, from, to, FALSE);
	count_keys(changes, to, from, TRUE);
	TAILQ_FOREACH (organisation, &from->list, link)
		if (!organisations_find(to, organisation->name))
			report_entry(reporter, CONFIG_REMOVED,
				     CONFIG_ORGANISATION, organisation->name);
	TAILQ_FOREACH (organisation, &to->list, link) {
		other = organisations_find(from, organisation->name);
		if (other)
			compare_organisations(reporter, other, organisation);
		else
			report_entry(reporter, CONFIG_ADDED,
				     CONFIG_ORGANISATION, organisation->name);
		keys = g_hash_table_lookup(changes, organisation->name);
		if (keys)
			config_check_report(reporter, CONFIG_CHANGED,
					    CONFIG_ORGANISATION,
					    organisation->name, CONFIG_KEYS,
					    "%u added, %u withdrawn",
					    keys->added, keys->withdrawn);
	}
	g_hash_table_destroy(changes);
}

void config_check_difference(const schema_t *from, const schema_t *to,
			     config_finding_fn_t on_finding, void *ctx)
{
	const config_reporter_t reporter = { on_finding, ctx };
	const schema_request_limits_t *a = &from->request_limits;
	const schema_request_limits_t *b = &to->request_limits;

	compare_all_services(&reporter, from, to);
	compare_all_routes(&reporter, from, to);
	compare_all_organisations(&reporter, from->organisations,
				  to->organisations);
	report_number(&reporter, CONFIG_LIMITS, "", CONFIG_HEADER_BYTES,
		      (double)a->header_bytes_max, (double)b->header_bytes_max);
	report_number(&reporter, CONFIG_LIMITS, "", CONFIG_BODY_BYTES,
		      (double)a->body_bytes_max, (double)b->body_bytes_max);
	report_time(&reporter, CONFIG_LIMITS, "", CONFIG_HEADER_TIMEOUT,
		    a->header_timeout, b->header_timeout);
	report_time(&reporter, CONFIG_LIMITS, "", CONFIG_IDLE_TIMEOUT,
		    a->idle_timeout, b->idle_timeout);
}
