/* Routes: which requests go to which services. */
#include <string.h>

#include "lib/schema/schema_internal.h"

#define ATTEMPTS_MAX 100 /* far above any useful number of attempts */
#define WEIGHT_MAX 1000000

static void route_free(schema_t *schema, schema_route_t *route)
{
	schema_target_t *target, *next;

	TAILQ_REMOVE(&schema->routes, route, link);
	TAILQ_FOREACH_SAFE (target, &route->targets, link, next) {
		g_free(target->service);
		g_free(target);
	}
	g_free(route->method.name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

void schema_free_routes(schema_t *schema)
{
	while (!TAILQ_EMPTY(&schema->routes))
		route_free(schema, TAILQ_FIRST(&schema->routes));
}

static gboolean check_match(const schema_route_t *attributes, catk_error_t *err)
{
	const char *prefix = attributes->prefix;

	if (attributes->host[0] && prefix[0] == '/' &&
	    prefix[strlen(prefix) - 1] == '/')
		return TRUE;
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "route \"%s\" needs a host, and a path prefix that "
		       "begins and ends with '/'",
		       attributes->method.name);
	return FALSE;
}

static gboolean check_unique(const schema_t *schema, const char *name,
			     catk_error_t *err)
{
	const schema_route_t *route;

	TAILQ_FOREACH (route, &schema->routes, link)
		if (strcmp(route->method.name, name) == 0) {
			catk_error_set(err, CATK_INVALID_ARGUMENT,
				       OUTCOME_NOT_RUN,
				       "route \"%s\" is declared twice: "
				       "remove one",
				       name);
			return FALSE;
		}
	return TRUE;
}

schema_route_t *schema_add_route(schema_t *schema,
				 const schema_route_t *attributes,
				 const char *priority, catk_error_t *err)
{
	const char *name = attributes->method.name;
	int index = schema_check_priority(schema, priority, err);
	schema_route_t *route;

	if (index < 0 || !schema_check_name("route", name, err) ||
	    !check_unique(schema, name, err) || !check_match(attributes, err) ||
	    !schema_check_deadline(attributes->method.deadline, err) ||
	    !schema_check_range("attempts", attributes->attempts_max, 1,
				ATTEMPTS_MAX, err))
		return NULL;
	route = g_new0(schema_route_t, 1);
	route->method.name = g_strdup(name);
	route->method.priority = (guint)index;
	route->method.idempotent = attributes->method.idempotent;
	route->method.deadline = attributes->method.deadline;
	route->host = g_ascii_strdown(attributes->host, -1);
	route->prefix = g_strdup(attributes->prefix);
	route->objective = attributes->objective;
	route->attempts_max = attributes->attempts_max;
	TAILQ_INIT(&route->targets);
	TAILQ_INSERT_TAIL(&schema->routes, route, link);
	return route;
}

gboolean schema_add_target(const schema_t *schema, schema_route_t *route,
			   const char *service, guint weight, catk_error_t *err)
{
	schema_target_t *target;

	if (!schema_check_range("weight", weight, 0, WEIGHT_MAX, err))
		return FALSE;
	if (!schema_find_service(schema, service)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "route \"%s\" names service \"%.64s\": declare "
			       "it or correct the name",
			       route->method.name, service);
		return FALSE;
	}
	target = g_new0(schema_target_t, 1);
	target->service = g_strdup(service);
	target->weight = weight;
	TAILQ_INSERT_TAIL(&route->targets, target, link);
	return TRUE;
}

const schema_route_t *schema_match_route(const schema_t *schema,
					 const char *host, const char *path)
{
	size_t host_length = strcspn(host, ":");
	const schema_route_t *best = NULL;
	const schema_route_t *route;
	size_t length, longest = 0;

	TAILQ_FOREACH (route, &schema->routes, link) {
		length = strlen(route->prefix);
		if (length > longest && strlen(route->host) == host_length &&
		    g_ascii_strncasecmp(route->host, host, host_length) == 0 &&
		    strncmp(route->prefix, path, length) == 0) {
			best = route;
			longest = length;
		}
	}
	return best;
}
