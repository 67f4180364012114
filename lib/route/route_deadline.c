#include "lib/route/route_deadline.h"

#include <string.h>

typedef struct longest {
	TAILQ_ENTRY(longest) link;
	char *route;
	GTimeSpan stated;
	gboolean declared;
} longest_t;

struct route_deadlines {
	TAILQ_HEAD(longest_list, longest) routes;
};

route_deadlines_t *route_deadlines_new(void)
{
	route_deadlines_t *deadlines = g_new0(route_deadlines_t, 1);

	TAILQ_INIT(&deadlines->routes);
	return deadlines;
}

static void longest_free(route_deadlines_t *deadlines, longest_t *longest)
{
	TAILQ_REMOVE(&deadlines->routes, longest, link);
	g_free(longest->route);
	g_free(longest);
}

void route_deadlines_free(route_deadlines_t *deadlines)
{
	if (!deadlines)
		return;
	while (!TAILQ_EMPTY(&deadlines->routes))
		longest_free(deadlines, TAILQ_FIRST(&deadlines->routes));
	g_free(deadlines);
}

static longest_t *find(const route_deadlines_t *deadlines, const char *route)
{
	longest_t *longest;

	TAILQ_FOREACH (longest, &deadlines->routes, link)
		if (strcmp(longest->route, route) == 0)
			return longest;
	return NULL;
}

GTimeSpan route_deadlines_elapsed(route_deadlines_t *deadlines,
				  const schema_route_t *route,
				  GTimeSpan remaining)
{
	longest_t *longest = find(deadlines, route->method.name);

	if (!longest) {
		longest = g_new0(longest_t, 1);
		longest->route = g_strdup(route->method.name);
		TAILQ_INSERT_TAIL(&deadlines->routes, longest, link);
	}
	longest->stated = MAX(longest->stated, remaining);
	return longest->stated - remaining;
}

void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema)
{
	const schema_route_t *route;
	longest_t *longest, *next;

	TAILQ_FOREACH (longest, &deadlines->routes, link)
		longest->declared = FALSE;
	TAILQ_FOREACH (route, &schema->routes, link) {
		longest = find(deadlines, route->method.name);
		if (longest)
			longest->declared = TRUE;
	}
	TAILQ_FOREACH_SAFE (longest, &deadlines->routes, link, next)
		if (!longest->declared)
			longest_free(deadlines, longest);
}
