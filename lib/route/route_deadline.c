#include "lib/route/route_deadline.h"

#include <string.h>

/* Callers of one route differ in their patience by about this part. */
#define SPREAD 0.15
/* First attempts are the usual of what is stated, but for a few callers. */
#define QUANTILE 0.9
#define QUANTILE_STEP 0.01 /* of the estimate, per request */

typedef struct usual {
	TAILQ_ENTRY(usual) link;
	char *route;
	double stated; /* estimate of the quantile in microseconds */
	gboolean declared;
} usual_t;

struct route_deadlines {
	TAILQ_HEAD(usual_list, usual) routes;
};

route_deadlines_t *route_deadlines_new(void)
{
	route_deadlines_t *deadlines = g_new0(route_deadlines_t, 1);

	TAILQ_INIT(&deadlines->routes);
	return deadlines;
}

static void usual_free(route_deadlines_t *deadlines, usual_t *usual)
{
	TAILQ_REMOVE(&deadlines->routes, usual, link);
	g_free(usual->route);
	g_free(usual);
}

void route_deadlines_free(route_deadlines_t *deadlines)
{
	if (!deadlines)
		return;
	while (!TAILQ_EMPTY(&deadlines->routes))
		usual_free(deadlines, TAILQ_FIRST(&deadlines->routes));
	g_free(deadlines);
}

static usual_t *find(const route_deadlines_t *deadlines, const char *route)
{
	usual_t *usual;

	TAILQ_FOREACH (usual, &deadlines->routes, link)
		if (strcmp(usual->route, route) == 0)
			return usual;
	return NULL;
}

static usual_t *find_or_add(route_deadlines_t *deadlines, const char *route)
{
	usual_t *usual = find(deadlines, route);

	if (usual)
		return usual;
	usual = g_new0(usual_t, 1);
	usual->route = g_strdup(route);
	TAILQ_INSERT_TAIL(&deadlines->routes, usual, link);
	return usual;
}

static void learn(usual_t *usual, double stated)
{
	if (!usual->stated)
		usual->stated = stated;
	if (stated > usual->stated)
		usual->stated *= 1 + QUANTILE_STEP * QUANTILE;
	else
		usual->stated *= 1 - QUANTILE_STEP * (1 - QUANTILE);
}

GTimeSpan route_deadlines_elapsed(route_deadlines_t *deadlines,
				  const schema_route_t *route,
				  GTimeSpan remaining)
{
	usual_t *usual = find_or_add(deadlines, route->method.name);
	double stated = (double)remaining;

	learn(usual, stated);
	if (stated >= usual->stated * (1 - SPREAD))
		return 0;
	return (GTimeSpan)(usual->stated * (1 - SPREAD / 2) - stated);
}

void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema)
{
	const schema_route_t *route;
	usual_t *usual, *next;

	TAILQ_FOREACH (usual, &deadlines->routes, link)
		usual->declared = FALSE;
	TAILQ_FOREACH (route, &schema->routes, link) {
		usual = find(deadlines, route->method.name);
		if (usual)
			usual->declared = TRUE;
	}
	TAILQ_FOREACH_SAFE (usual, &deadlines->routes, link, next)
		if (!usual->declared)
			usual_free(deadlines, usual);
}
