/*
 * Outages of the store between changes: an endpoint leaves or the configuration
 * changes, the store loses the requests that follow, and further changes come
 * when the bounds apply again. They draw from a random stream of their own, so
 * that a seed has the same other faults with and without them.
 */
#include "tests/soak/soak.h"

#define FIRST_MIN_MS 500
#define FIRST_MAX_MS 3000
/* From a change to the outage; the next watch is sent 667 ms after a change. */
#define ONSET_MIN_MS 20
#define ONSET_MAX_MS 650
#define OUTAGE_MIN_MS 100
#define OUTAGE_MAX_MS 4500
/* Chance that other faults pause, so that the bounds apply to the changes. */
#define QUIET_PERCENT 60
/* From the end of the outage: no machine may still count as disturbed. */
#define LATER_CHANGE_MS (RECONNECT_MAX / G_TIME_SPAN_MILLISECOND + 50)
#define OBSERVATION_MS (CHANGE_PROPAGATION_MAX / G_TIME_SPAN_MILLISECOND + 1500)
#define DEEP_LEVELS 200000

static guint draw(const soak_t *soak, guint min, guint max)
{
	return faults_draw(soak->outage_random, min, max);
}

static void put_malformed_entry(soak_t *soak)
{
	static const char *const specs[] = {
		"{\"service\":\"s\",\"address\":\"127.0.0.1:70000\"}",
		"{\"sequence\":12345678901234567890123456}",
		"{\"max_concurrency\":1e400}",
		"{\"zone\":\"\\ud800\"}",
	};
	guint index = draw(soak, 0, G_N_ELEMENTS(specs));
	GString *deep;

	soak_log("malformed entry %u", index);
	if (index < G_N_ELEMENTS(specs)) {
		fleet_put_malformed_entry(soak, specs[index]);
		return;
	}
	deep = g_string_new(NULL);
	for (index = 0; index < DEEP_LEVELS; index++)
		g_string_append_c(deep, '[');
	for (index = 0; index < DEEP_LEVELS; index++)
		g_string_append_c(deep, ']');
	fleet_put_malformed_entry(soak, deep->str);
	g_string_free(deep, TRUE);
}

static void change_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = faults_draw_endpoint(soak, soak->outage_random);
	gboolean drains = draw(soak, 0, 1);

	if (!endpoint)
		return;
	soak_log("%s leaves, %s", endpoint->id, drains ? "drains" : "removed");
	if (drains)
		fleet_drain(soak, endpoint);
	else
		fleet_remove(soak, endpoint);
	fleet_add_endpoint(soak);
}

static gboolean on_series_due(gpointer data);

static gboolean on_observed(gpointer data)
{
	soak_t *soak = data;

	if (!faults_are_over(soak))
		g_timeout_add(draw(soak, FIRST_MIN_MS, FIRST_MAX_MS),
			      on_series_due, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_later_change(gpointer data)
{
	soak_t *soak = data;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	change_endpoint(soak);
	fleet_put_config(soak);
	g_timeout_add(OBSERVATION_MS, on_observed, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_outage_end(gpointer data)
{
	soak_t *soak = data;

	soak_log("the store is back");
	fleet_store_fault(soak, "none");
	fault_interval_end(soak->store_fault_intervals, FAULT_STORE);
	g_timeout_add(LATER_CHANGE_MS, on_later_change, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_outage(gpointer data)
{
	static const char *const modes[] = { "lose", "lose", "lose", "silent",
					     "busy" };
	const char *mode;
	soak_t *soak = data;
	endpoint_t *endpoint;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	mode = modes[draw(soak, 0, G_N_ELEMENTS(modes) - 1)];
	endpoint = faults_draw_endpoint(soak, soak->outage_random);
	soak_log("store after a change: %s", mode);
	fault_interval_begin(soak->store_fault_intervals, FAULT_STORE);
	fleet_store_fault(soak, mode);
	if (endpoint)
		fleet_rewrite(soak, endpoint);
	put_malformed_entry(soak);
	g_timeout_add(draw(soak, OUTAGE_MIN_MS, OUTAGE_MAX_MS), on_outage_end,
		      soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_series_due(gpointer data)
{
	soak_t *soak = data;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	if (draw(soak, 0, 99) < QUIET_PERCENT)
		soak->quiet_until =
			soak_now() + (ONSET_MAX_MS + OUTAGE_MAX_MS +
				      LATER_CHANGE_MS + OBSERVATION_MS) *
					     G_TIME_SPAN_MILLISECOND;
	change_endpoint(soak);
	fleet_put_config(soak);
	g_timeout_add(draw(soak, ONSET_MIN_MS, ONSET_MAX_MS), on_outage, soak);
	return G_SOURCE_REMOVE;
}

void outages_start(soak_t *soak)
{
	g_timeout_add(draw(soak, FIRST_MIN_MS, FIRST_MAX_MS), on_series_due,
		      soak);
}
