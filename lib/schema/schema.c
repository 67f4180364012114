#include <string.h>

#include "lib/schema/schema_internal.h"

schema_t *schema_new(void)
{
	schema_t *schema = g_new0(schema_t, 1);

	TAILQ_INIT(&schema->services);
	schema->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&schema->routes);
	schema_init_routes(schema);
	schema->organisations = organisations_new();
	return schema;
}

static void endpoints_free(schema_service_t *service)
{
	schema_endpoint_t *endpoint, *next;

	TAILQ_FOREACH_SAFE (endpoint, &service->endpoints, link, next) {
		g_free(endpoint->address);
		g_free(endpoint);
	}
}

static void service_free(schema_service_t *service)
{
	schema_method_t *method, *next;

	endpoints_free(service);
	g_free(service->instance_list);
	g_free(service->health_path);

	TAILQ_FOREACH_SAFE (method, &service->methods, link, next) {
		g_free(method->name);
		g_free(method);
	}
	g_free(service->name);
	g_free(service);
}

void schema_free(schema_t *schema)
{
	schema_service_t *service, *next;
	guint i;

	if (!schema)
		return;
	g_hash_table_destroy(schema->services_by_name);
	TAILQ_FOREACH_SAFE (service, &schema->services, link, next)
		service_free(service);
	schema_free_routes(schema);
	organisations_free(schema->organisations);
	for (i = 0; i < schema->priority_count; i++)
		g_free(schema->priorities[i].name);
	g_free(schema);
}

/* Names are part of URL paths and request ids, so the alphabet is limited. */
gboolean schema_check_name(const char *kind, const char *name,
			   catk_error_t *err)
{
	const char *allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_";
	size_t length = strlen(name);

	if (length == 0 || length > SCHEMA_NAME_MAX ||
	    strspn(name, allowed) != length) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "%s name \"%s\" is not valid: use 1 to %d of "
			       "a-z, 0-9, '-' and '_'",
			       kind, name, SCHEMA_NAME_MAX);
		return FALSE;
	}
	return TRUE;
}

gboolean schema_check_range(const char *field, double value, double min,
			    double max, catk_error_t *err)
{
	if (!(value >= min && value <= max)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "%s is %g: set it between %g and %g", field,
			       value, min, max);
		return FALSE;
	}
	return TRUE;
}

int schema_find_priority(const schema_t *schema, const char *name)
{
	guint i;

	for (i = 0; i < schema->priority_count; i++)
		if (strcmp(schema->priorities[i].name, name) == 0)
			return (int)i;
	return -1;
}

gboolean schema_add_priority(schema_t *schema, const char *name,
			     guint floor_percent, catk_error_t *err)
{
	guint total = floor_percent;
	guint i;

	if (!schema_check_name("priority", name, err) ||
	    !schema_check_range("floor_percent", floor_percent, 0, 100, err))
		return FALSE;
	if (schema_find_priority(schema, name) >= 0) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "priority \"%s\" is declared twice: remove one",
			       name);
		return FALSE;
	}
	if (schema->priority_count == SCHEMA_PRIORITIES_MAX) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "more than %d priorities: merge some",
			       SCHEMA_PRIORITIES_MAX);
		return FALSE;
	}
	for (i = 0; i < schema->priority_count; i++)
		total += schema->priorities[i].floor_percent;
	if (total > 100) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "floors add up to %u percent with \"%s\": lower "
			       "them to 100 or less",
			       total, name);
		return FALSE;
	}
	schema->priorities[schema->priority_count].name = g_strdup(name);
	schema->priorities[schema->priority_count].floor_percent =
		floor_percent;
	schema->priority_count++;
	return TRUE;
}

schema_service_t *schema_add_service(schema_t *schema, const char *name,
				     guint slots, guint connections,
				     double probes_per_second,
				     catk_error_t *err)
{
	schema_service_t *service;

	if (!schema_check_name("service", name, err) ||
	    !schema_check_range("slots", slots, 1, SCHEMA_SLOTS_MAX, err) ||
	    !schema_check_range("connections", connections, 1,
				SCHEMA_CONNECTIONS_MAX, err) ||
	    !schema_check_range("probes_per_second", probes_per_second, 0,
				SCHEMA_PROBES_PER_SECOND_MAX, err))
		return NULL;
	if (schema_find_service(schema, name)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "service \"%s\" is declared twice: remove one",
			       name);
		return NULL;
	}
	service = g_new0(schema_service_t, 1);
	service->name = g_strdup(name);
	service->slots = slots;
	service->connections = connections;
	service->probes_per_second = probes_per_second;
	TAILQ_INIT(&service->endpoints);
	TAILQ_INIT(&service->methods);
	TAILQ_INSERT_TAIL(&schema->services, service, link);
	g_hash_table_insert(schema->services_by_name, service->name, service);
	return service;
}

gboolean schema_set_instance_list(schema_service_t *service, const char *name,
				  catk_error_t *err)
{
	if (!schema_check_name("instance list", name, err))
		return FALSE;
	g_free(service->instance_list);
	service->instance_list = g_strdup(name);
	return TRUE;
}

gboolean schema_set_warmup(schema_service_t *service, GTimeSpan duration,
			   double per_second, catk_error_t *err)
{
	if (!schema_check_range(
		    "warm-up in s", (double)duration / G_TIME_SPAN_SECOND, 0,
		    (double)SCHEMA_DEADLINE_MAX / G_TIME_SPAN_SECOND, err) ||
	    !schema_check_range("requests per second during the warm-up",
				per_second, 0, SCHEMA_WARMUP_PER_SECOND_MAX,
				err))
		return FALSE;
	service->warmup_duration = duration;
	service->warmup_per_second = per_second;
	return TRUE;
}

gboolean schema_address_is_valid(const char *address)
{
	const char *colon = strrchr(address, ':');
	gchar *host;
	gboolean ok;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, NULL, NULL))
		return FALSE;
	host = g_strndup(address, (gsize)(colon - address));
	ok = g_hostname_is_ip_address(host);
	g_free(host);
	return ok;
}

gboolean schema_add_endpoint(schema_service_t *service, const char *address,
			     catk_error_t *err)
{
	schema_endpoint_t *endpoint;

	if (!schema_address_is_valid(address)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "endpoint \"%s\" is not valid: use ip:port "
			       "with a port from 1 to 65535",
			       address);
		return FALSE;
	}
	TAILQ_FOREACH (endpoint, &service->endpoints, link)
		if (strcmp(endpoint->address, address) == 0) {
			catk_error_set(err, CATK_INVALID_ARGUMENT,
				       OUTCOME_NOT_RUN,
				       "endpoint \"%s\" is declared twice: "
				       "remove one",
				       address);
			return FALSE;
		}
	endpoint = g_new0(schema_endpoint_t, 1);
	endpoint->address = g_strdup(address);
	TAILQ_INSERT_TAIL(&service->endpoints, endpoint, link);
	return TRUE;
}

gboolean schema_check_deadline(GTimeSpan deadline, catk_error_t *err)
{
	return schema_check_range(
		"deadline in ms", (double)deadline / G_TIME_SPAN_MILLISECOND,
		(double)SCHEMA_DEADLINE_MIN / G_TIME_SPAN_MILLISECOND,
		(double)SCHEMA_DEADLINE_MAX / G_TIME_SPAN_MILLISECOND, err);
}

int schema_check_priority(const schema_t *schema, const char *name,
			  catk_error_t *err)
{
	int index = schema_find_priority(schema, name);

	if (index < 0)
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "priority \"%s\" is not declared: add it to "
			       "\"priorities\" or use one of them",
			       name);
	return index;
}

schema_method_t *schema_add_method(schema_t *schema, schema_service_t *service,
				   const char *name, const char *priority,
				   gboolean idempotent, GTimeSpan deadline,
				   catk_error_t *err)
{
	schema_method_t *method;
	int index;

	if (!schema_check_name("method", name, err) ||
	    !schema_check_deadline(deadline, err))
		return NULL;
	index = schema_check_priority(schema, priority, err);
	if (index < 0)
		return NULL;
	if (schema_find_method(service, name)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "method \"%s\" is declared twice in service "
			       "\"%s\": remove one",
			       name, service->name);
		return NULL;
	}
	method = g_new0(schema_method_t, 1);
	method->name = g_strdup(name);
	method->priority = (guint)index;
	method->idempotent = idempotent;
	method->deadline = deadline;
	TAILQ_INSERT_TAIL(&service->methods, method, link);
	return method;
}

const schema_service_t *schema_find_service(const schema_t *schema,
					    const char *name)
{
	return g_hash_table_lookup(schema->services_by_name, name);
}

const schema_method_t *schema_find_method(const schema_service_t *service,
					  const char *name)
{
	const schema_method_t *method;

	TAILQ_FOREACH (method, &service->methods, link)
		if (strcmp(method->name, name) == 0)
			return method;
	return NULL;
}
