#include "lib/route/route_deadline.h"

#include <stdlib.h>
#include <string.h>

/* Callers of one route differ in their patience by about this part. */
#define SPREAD 0.15
/* First attempts are the longest of what is stated, but for a few callers. */
#define LONGER_PART 10 /* one in so many may state more */
#define STATED_KEPT 64 /* the last ones; some seconds of a route's requests */

typedef struct usual {
	TAILQ_ENTRY(usual) link;
	char *route;
	GTimeSpan stated[STATED_KEPT];
	guint count; /* of stated */
	guint next; /* place of the next one */
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

static void learn(usual_t *usual, GTimeSpan stated)
{
	usual->stated[usual->next] = stated;
	usual->next = (usual->next + 1) % STATED_KEPT;
	usual->count =
		MAX(usual->count, usual->next ? usual->next : STATED_KEPT);
}

static int compare_descending(const void *a, const void *b)
{
	GTimeSpan x = *(const GTimeSpan *)a;
	GTimeSpan y = *(const GTimeSpan *)b;

	return (y > x) - (y < x);
}

static double usual_deadline(const usual_t *usual)
{
	GTimeSpan sorted[STATED_KEPT];
	guint rank;

	memcpy(sorted, usual->stated, usual->count * sizeof(*sorted));
	qsort(sorted, usual->count, sizeof(*sorted), compare_descending);
	rank = usual->count / LONGER_PART;
	return (double)sorted[rank];
}

GTimeSpan route_deadlines_estimate_elapsed(route_deadlines_t *deadlines,
					   const schema_route_t *route,
					   GTimeSpan remaining)
{
	usual_t *usual = find_or_add(deadlines, route->method.name);
	double stated = (double)remaining;
	double deadline;

	learn(usual, remaining);
	deadline = usual_deadline(usual);
	if (stated >= deadline * (1 - SPREAD))
		return 0;
	return (GTimeSpan)(deadline * (1 - SPREAD / 2) - stated);
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
