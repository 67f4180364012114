#include "lib/route/route_deadline.h"

#include <stdlib.h>
#include <string.h>

/* Fraction by which the deadlines of a route's first attempts may differ. */
#define DEADLINE_SPREAD 0.15
/*
 * The usual deadline of first attempts is the quantile that one in this many
 * requests exceeds: first attempts have the longest deadlines, except for a few
 * callers with much longer ones.
 */
#define LONGER_ONE_IN 10
#define SAMPLES_MAX 64 /* a few seconds of a route's requests */

typedef struct history {
	TAILQ_ENTRY(history) link;
	char *route;
	GTimeSpan samples[SAMPLES_MAX]; /* ring buffer of deadlines */
	guint count; /* of samples */
	guint next; /* index of the next sample */
} history_t;

struct route_deadlines {
	TAILQ_HEAD(history_list, history) histories;
	GHashTable *by_route; /* name -> history_t */
};

route_deadlines_t *route_deadlines_new(void)
{
	route_deadlines_t *deadlines = g_new0(route_deadlines_t, 1);

	TAILQ_INIT(&deadlines->histories);
	deadlines->by_route = g_hash_table_new(g_str_hash, g_str_equal);
	return deadlines;
}

static void history_free(route_deadlines_t *deadlines, history_t *history)
{
	g_hash_table_remove(deadlines->by_route, history->route);
	TAILQ_REMOVE(&deadlines->histories, history, link);
	g_free(history->route);
	g_free(history);
}

void route_deadlines_free(route_deadlines_t *deadlines)
{
	if (!deadlines)
		return;
	while (!TAILQ_EMPTY(&deadlines->histories))
		history_free(deadlines, TAILQ_FIRST(&deadlines->histories));
	g_hash_table_destroy(deadlines->by_route);
	g_free(deadlines);
}

static history_t *get_history(route_deadlines_t *deadlines, const char *route)
{
	history_t *history = g_hash_table_lookup(deadlines->by_route, route);

	if (history)
		return history;
	history = g_new0(history_t, 1);
	history->route = g_strdup(route);
	TAILQ_INSERT_TAIL(&deadlines->histories, history, link);
	g_hash_table_insert(deadlines->by_route, history->route, history);
	return history;
}

static void add_sample(history_t *history, GTimeSpan sample)
{
	history->samples[history->next] = sample;
	history->next = (history->next + 1) % SAMPLES_MAX;
	history->count = MAX(history->count,
			     history->next ? history->next : SAMPLES_MAX);
}

static int compare_descending(const void *a, const void *b)
{
	GTimeSpan x = *(const GTimeSpan *)a;
	GTimeSpan y = *(const GTimeSpan *)b;

	return (y > x) - (y < x);
}

static double usual_deadline(const history_t *history)
{
	GTimeSpan sorted[SAMPLES_MAX];
	guint rank;

	memcpy(sorted, history->samples, history->count * sizeof(*sorted));
	qsort(sorted, history->count, sizeof(*sorted), compare_descending);
	rank = history->count / LONGER_ONE_IN;
	return (double)sorted[rank];
}

GTimeSpan route_deadlines_estimate_elapsed(route_deadlines_t *deadlines,
					   const schema_route_t *route,
					   GTimeSpan remaining)
{
	history_t *history = get_history(deadlines, route->method.name);
	double left = (double)remaining;
	double deadline;

	add_sample(history, remaining);
	deadline = usual_deadline(history);
	if (left >= deadline * (1 - DEADLINE_SPREAD))
		return 0;
	return (GTimeSpan)(deadline * (1 - DEADLINE_SPREAD / 2) - left);
}

void route_deadlines_configure(route_deadlines_t *deadlines,
			       const schema_t *schema)
{
	history_t *history, *next;

	TAILQ_FOREACH_SAFE (history, &deadlines->histories, link, next)
		if (!g_hash_table_contains(schema->routes_by_name,
					   history->route))
			history_free(deadlines, history);
}
