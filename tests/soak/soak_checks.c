/* Compares the requests in the endpoints' logs with the callers' responses. */
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

/* Added to the measured time, for bursts when an endpoint starts or ends. */
#define PROBE_SLACK_S 3

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
	if (time >= deliveries->arrived_at) {
		deliveries->endpoint = endpoint;
		deliveries->arrived_at = time;
		deliveries->ended_at = 0;
		deliveries->end = ran ? RUN_OPEN : RUN_NONE;
	}
	checker->arrivals++;
	if (request) {
		check_drain(checker, endpoint, request, time);
		rules_check_arrival(checker->soak, endpoint, request, time);
	} else {
		soak_violation(checker->soak, "UNASKED",
			       "%s got a request that no caller sent: %s",
			       endpoint->id, id);
	}
}

static run_end_t run_end_from_event(const char *event)
{
	if (strcmp(event, "answered") == 0)
		return RUN_ANSWERED;
	if (strcmp(event, "broken") == 0)
		return RUN_BROKEN;
	return strcmp(event, "cut") == 0 ? RUN_CUT : RUN_NONE;
}

static void record_run_end(checker_t *checker, const endpoint_t *endpoint,
			   GTimeSpan time, const char *id, run_end_t end)
{
	deliveries_t *deliveries = get_deliveries(checker, id);

	if (deliveries->endpoint != endpoint)
		return;
	deliveries->ended_at = time;
	deliveries->end = end;
}

static void record_event(checker_t *checker, const endpoint_t *endpoint,
			 gchar **fields)
{
	GTimeSpan time = g_ascii_strtoll(fields[0], NULL, 10);
	run_end_t end = run_end_from_event(fields[1]);

	if (end != RUN_NONE)
		record_run_end(checker, endpoint, time, fields[2], end);
	else
		record_arrival(checker, endpoint, time, fields[2],
			       strcmp(fields[1], "run") == 0);
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
			record_event(checker, endpoint, fields);
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
		request->status == 408 || request->status == 421 ||
		request->status == 401);
}

static void check_request(checker_t *checker, const soak_request_t *request)
{
	const deliveries_t *deliveries =
		g_hash_table_lookup(checker->deliveries_by_id, request->id);
	const deliveries_t none = { 0 };
	soak_t *soak = checker->soak;

	lost_check(soak, request, deliveries ? deliveries : &none);
	if (!deliveries)
		return;
	if (!request->idempotent && deliveries->runs > 1)
		soak_violation(soak, "TWICE", "%s ran %u times", request->id,
			       deliveries->runs);
	if (!request->idempotent && deliveries->runs && claims_not_run(request))
		soak_violation(soak, "REFUSED",
			       "%s ran, but was answered %u (not run)",
			       request->id, request->status);
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
