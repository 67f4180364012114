/* Compares the requests in the endpoints' logs with the callers' responses. */
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

/* Added to the measured time, for bursts when an endpoint starts or ends. */
#define PROBE_SLACK_S 3

/* How often one request arrived, and ran, at all endpoints together. */
typedef struct {
	guint runs;
	guint arrivals;
} deliveries_t;

typedef struct {
	soak_t *soak;
	GHashTable *deliveries_by_id; /* request id -> deliveries_t */
	guint arrivals;
} checker_t;

static deliveries_t *get_deliveries(checker_t *checker, const char *id)
{
	deliveries_t *deliveries =
		g_hash_table_lookup(checker->deliveries_by_id, id);

	if (!deliveries) {
		deliveries = g_new0(deliveries_t, 1);
		g_hash_table_insert(checker->deliveries_by_id, g_strdup(id),
				    deliveries);
	}
	return deliveries;
}

/*
 * An instance without faults must not send to an endpoint later than
 * CHANGE_PROPAGATION_MAX after its drain was stored.
 */
static void check_drain(checker_t *checker, const endpoint_t *endpoint,
			const soak_request_t *request, GTimeSpan time)
{
	soak_t *soak = checker->soak;

	if (!endpoint->drain_acked_at ||
	    time <= endpoint->drain_acked_at + CHANGE_PROPAGATION_MAX)
		return;
	if (soak_is_fault_free(soak, soak_instance(soak, request->instance),
			       endpoint->drain_acked_at, time))
		soak_violation(soak, "DRAIN",
			       "%s reached %s %" G_GINT64_FORMAT
			       " ms after its drain was stored",
			       request->id, endpoint->id,
			       (time - endpoint->drain_acked_at) /
				       G_TIME_SPAN_MILLISECOND);
}

static void record_arrival(checker_t *checker, const endpoint_t *endpoint,
			   GTimeSpan time, const char *id, gboolean ran)
{
	const soak_request_t *request =
		g_hash_table_lookup(checker->soak->requests, id);
	deliveries_t *deliveries = get_deliveries(checker, id);

	deliveries->arrivals++;
	deliveries->runs += ran;
	checker->arrivals++;
	if (request)
		check_drain(checker, endpoint, request, time);
	else
		soak_violation(checker->soak, "UNASKED",
			       "%s got a request that no caller sent: %s",
			       endpoint->id, id);
}

static void check_probes(soak_t *soak, const endpoint_t *endpoint, guint probes)
{
	GTimeSpan end = endpoint->ended_at ? endpoint->ended_at : soak_now();
	double seconds = (double)(end - endpoint->started_at) /
				 (double)G_TIME_SPAN_SECOND +
			 PROBE_SLACK_S;

	if (probes > seconds * PROBES_PER_SECOND)
		soak_violation(soak, "PROBES", "%u probes at %s in %.1f s",
			       probes, endpoint->id, seconds);
}

static void read_log(checker_t *checker, const endpoint_t *endpoint)
{
	guint probes = 0;
	gchar *text;
	gchar **lines;
	guint i;

	if (!g_file_get_contents(endpoint->log, &text, NULL, NULL)) {
		soak_log("%s has no log", endpoint->id);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] && lines[i][0]; i++) {
		gchar **fields = g_strsplit(lines[i], " ", 3);

		if (g_strv_length(fields) < 3)
			soak_log("%s: incomplete line in its log",
				 endpoint->id);
		else if (strcmp(fields[1], "probe") == 0)
			probes++;
		else
			record_arrival(checker, endpoint,
				       g_ascii_strtoll(fields[0], NULL, 10),
				       fields[2],
				       strcmp(fields[1], "run") == 0);
		g_strfreev(fields);
	}
	check_probes(checker->soak, endpoint, probes);
	g_strfreev(lines);
	g_free(text);
}

/* The status tells the caller that the request did not run. */
static gboolean claims_not_run(const soak_request_t *request)
{
	return request->end == HTTP_CLIENT_COMPLETED &&
	       (request->status == 503 || request->status == 429 ||
		request->status == 408 || request->status == 421);
}

/* The connection was closed without a response, and no restart explains it. */
static gboolean is_unexplained_disconnect(const soak_t *soak,
					  const soak_request_t *request)
{
	const instance_t *instance = soak_instance(soak, request->instance);
	guint i;

	if (request->end != HTTP_CLIENT_DISCONNECTED)
		return FALSE;
	/*
	 * A fault during the request explains it when the instance has been
	 * restarted since. SIGHUP is not recorded as a fault.
	 */
	for (i = 0; i < instance->fault_intervals->len; i++) {
		const fault_interval_t *interval = &g_array_index(
			instance->fault_intervals, fault_interval_t, i);

		if (interval->from <= request->ended_at &&
		    interval->to >= request->sent_at &&
		    instance->incarnation != request->incarnation)
			return FALSE;
	}
	return TRUE;
}

static void check_request(checker_t *checker, const soak_request_t *request)
{
	const deliveries_t *deliveries =
		g_hash_table_lookup(checker->deliveries_by_id, request->id);
	soak_t *soak = checker->soak;

	if (!deliveries)
		return;
	if (!request->idempotent && deliveries->runs > 1)
		soak_violation(soak, "TWICE", "%s ran %u times", request->id,
			       deliveries->runs);
	if (!request->idempotent && deliveries->runs && claims_not_run(request))
		soak_violation(soak, "REFUSED",
			       "%s ran, but was answered %u (not run)",
			       request->id, request->status);
	if (deliveries->runs && is_unexplained_disconnect(soak, request))
		soak_violation(soak, "LOST",
			       "%s ran, but e%u disconnected without an answer",
			       request->id, request->instance);
}

static void check_retry_budget(checker_t *checker)
{
	guint requests = g_hash_table_size(checker->soak->requests);
	guint retries = checker->arrivals -
			g_hash_table_size(checker->deliveries_by_id);

	soak_log("%u requests, %u arrivals, %u of them retries", requests,
		 checker->arrivals, retries);
	if (retries > requests * RETRY_PERCENT / 100 + RETRY_SAVED)
		soak_violation(checker->soak, "BUDGET",
			       "%u retries for %u requests", retries, requests);
}

/* Guards against a system that keeps all guarantees by refusing requests. */
static void check_success_rate(const checker_t *checker)
{
	guint statuses[6] = { 0 };
	const soak_request_t *request;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, checker->soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		statuses[request->end == HTTP_CLIENT_COMPLETED ?
				 MIN(request->status / 100, 5) :
				 0]++;
	soak_log("answers: %u 2xx, %u 4xx, %u 5xx, %u requests without",
		 statuses[2], statuses[4], statuses[5], statuses[0]);
	if (statuses[2] * 2 < g_hash_table_size(checker->soak->requests))
		soak_violation(checker->soak, "SERVICE",
			       "fewer than half of the requests succeeded");
}

void checks_run(soak_t *soak)
{
	checker_t checker = { .soak = soak };
	const soak_request_t *request;
	const endpoint_t *endpoint;
	GHashTableIter iter;

	checker.deliveries_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		read_log(&checker, endpoint);
	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		check_request(&checker, request);
	check_retry_budget(&checker);
	check_success_rate(&checker);
	g_hash_table_unref(checker.deliveries_by_id);
}
