/* Declaration and lookup of routes. */
#include <string.h>

#include "lib/schema/schema_internal.h"

#define ATTEMPTS_MAX 100 /* far above any useful number */
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

void schema_init_routes(schema_t *schema)
{
	schema->routes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	schema->routes_by_match =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

gboolean schema_free_some_routes(schema_t *schema, guint max)
{
	for (; max > 0 && !TAILQ_EMPTY(&schema->routes); max--)
		route_free(schema, TAILQ_FIRST(&schema->routes));
	return !TAILQ_EMPTY(&schema->routes);
}

void schema_free_routes(schema_t *schema)
{
	g_hash_table_destroy(schema->routes_by_name);
	g_hash_table_destroy(schema->routes_by_match);
	while (!TAILQ_EMPTY(&schema->routes))
		route_free(schema, TAILQ_FIRST(&schema->routes));
}

/* Unambiguous, because a host has no '/' and a prefix begins with it. */
static gchar *match_key(const char *host, size_t host_length,
			const char *prefix, size_t prefix_length)
{
	gchar *lower = g_ascii_strdown(host, (gssize)host_length);
	gchar *key =
		g_strdup_printf("%s%.*s", lower, (int)prefix_length, prefix);

	g_free(lower);
	return key;
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
	if (!g_hash_table_contains(schema->routes_by_name, name))
		return TRUE;
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "route \"%s\" is declared twice: remove one", name);
	return FALSE;
}

/* Of two routes with the same host and prefix, the first one is used. */
static void index_route(schema_t *schema, schema_route_t *route)
{
	gchar *key = match_key(route->host, strlen(route->host), route->prefix,
			       strlen(route->prefix));

	g_hash_table_insert(schema->routes_by_name, route->method.name, route);
	if (g_hash_table_contains(schema->routes_by_match, key))
		g_free(key);
	else
		g_hash_table_insert(schema->routes_by_match, key, route);
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
	route->is_public = attributes->is_public;
	TAILQ_INIT(&route->targets);
	TAILQ_INSERT_TAIL(&schema->routes, route, link);
	index_route(schema, route);
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
			       "route \"%s\" has the undeclared target "
			       "\"%.64s\": declare the service or correct the "
			       "name",
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
	const schema_route_t *route = NULL;
	size_t length = strlen(path);
	gchar *key;

	/* Looks up each prefix that ends with '/', the longest first. */
	for (; length > 0 && !route; length--) {
		if (path[length - 1] != '/')
			continue;
		key = match_key(host, host_length, path, length);
		route = g_hash_table_lookup(schema->routes_by_match, key);
		g_free(key);
	}
	return route;
}
