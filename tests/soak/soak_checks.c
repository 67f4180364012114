/* Checks of what the endpoints saw, against what callers were told. */
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

/* Probes and repeats that may fall together at the edges of the run. */
#define PROBE_SLACK_SECONDS 3

/* What happened to one request at all endpoints. */
typedef struct {
	guint runs;
	guint arrivals;
} fate_t;

typedef struct {
	soak_t *soak;
	GHashTable *fates; /* id -> fate_t */
	guint arrivals;
} survey_t;

static fate_t *fate_of(survey_t *survey, const char *id)
{
	fate_t *fate = g_hash_table_lookup(survey->fates, id);

	if (!fate) {
		fate = g_new0(fate_t, 1);
		g_hash_table_insert(survey->fates, g_strdup(id), fate);
	}
	return fate;
}

/* An endpoint that leaves gets nothing from instances in touch. */
static void check_drain(survey_t *survey, const endpoint_t *endpoint,
			const soak_request_t *request, GTimeSpan time)
{
	soak_t *soak = survey->soak;

	if (!endpoint->drained || time <= endpoint->drained + BOUND_CHANGE)
		return;
	if (soak_in_touch(soak, soak_instance(soak, request->instance),
			  endpoint->drained, time))
		soak_violation(soak, "DRAIN",
			       "%s reached %s %" G_GINT64_FORMAT
			       " ms after it began to drain",
			       request->id, endpoint->id,
			       (time - endpoint->drained) /
				       G_TIME_SPAN_MILLISECOND);
}

static void take_arrival(survey_t *survey, const endpoint_t *endpoint,
			 GTimeSpan time, const char *id, gboolean ran)
{
	const soak_request_t *request =
		g_hash_table_lookup(survey->soak->requests, id);
	fate_t *fate = fate_of(survey, id);

	fate->arrivals++;
	fate->runs += ran;
	survey->arrivals++;
	if (request)
		check_drain(survey, endpoint, request, time);
	else
		soak_violation(survey->soak, "UNASKED",
			       "%s ran a request that nobody sent: %s",
			       endpoint->id, id);
}

static void check_probes(soak_t *soak, const endpoint_t *endpoint, guint probes)
{
	GTimeSpan end = endpoint->ended ? endpoint->ended : soak_now();
	double seconds =
		(double)(end - endpoint->started) / (double)G_TIME_SPAN_SECOND +
		PROBE_SLACK_SECONDS;

	if (probes > seconds * PROBES_PER_SECOND)
		soak_violation(soak, "PROBES", "%u at %s in %.1f s", probes,
			       endpoint->id, seconds);
}

static void read_log(survey_t *survey, const endpoint_t *endpoint)
{
	guint probes = 0;
	gchar *text;
	gchar **lines;
	guint i;

	if (!g_file_get_contents(endpoint->log, &text, NULL, NULL)) {
		soak_note("%s left no log", endpoint->id);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] && lines[i][0]; i++) {
		gchar **words = g_strsplit(lines[i], " ", 3);

		if (g_strv_length(words) < 3)
			soak_note("%s: half a line in its log", endpoint->id);
		else if (strcmp(words[1], "probe") == 0)
			probes++;
		else
			take_arrival(survey, endpoint,
				     g_ascii_strtoll(words[0], NULL, 10),
				     words[2], strcmp(words[1], "run") == 0);
		g_strfreev(words);
	}
	check_probes(survey->soak, endpoint, probes);
	g_strfreev(lines);
	g_free(text);
}

static gboolean is_promise(const soak_request_t *request)
{
	return request->end == HTTP_CLIENT_COMPLETED &&
	       (request->status == 503 || request->status == 429 ||
		request->status == 408 || request->status == 421);
}

/* The connection ended although the instance had passed the request on. */
static gboolean is_lost(const soak_t *soak, const soak_request_t *request)
{
	const instance_t *instance = soak_instance(soak, request->instance);
	guint i;

	if (request->end != HTTP_CLIENT_DISCONNECTED)
		return FALSE;
	/* A kill or a crash excuses it; SIGTERM and SIGHUP do not. */
	for (i = 0; i < instance->disturbances->len; i++) {
		const disturbance_t *disturbance = &g_array_index(
			instance->disturbances, disturbance_t, i);

		if (disturbance->from <= request->ended &&
		    disturbance->to >= request->sent &&
		    instance->life != request->life)
			return FALSE;
	}
	return TRUE;
}

static void check_request(survey_t *survey, const soak_request_t *request)
{
	const fate_t *fate = g_hash_table_lookup(survey->fates, request->id);
	soak_t *soak = survey->soak;

	if (!fate)
		return;
	if (!request->idempotent && fate->runs > 1)
		soak_violation(soak, "TWICE", "%s ran %u times", request->id,
			       fate->runs);
	if (!request->idempotent && fate->runs && is_promise(request))
		soak_violation(soak, "REFUSED", "%s was told %u and ran",
			       request->id, request->status);
	if (fate->runs && is_lost(soak, request))
		soak_violation(soak, "LOST",
			       "%s ran, and e%u closed without an answer",
			       request->id, request->instance);
}

static void check_repeats(survey_t *survey)
{
	guint requests = g_hash_table_size(survey->soak->requests);
	guint repeats = survey->arrivals - g_hash_table_size(survey->fates);

	soak_note("%u requests, %u arrivals, %u of them repeats", requests,
		  survey->arrivals, repeats);
	if (repeats > requests * RETRY_PERCENT / 100 + RETRY_SAVED)
		soak_violation(survey->soak, "BUDGET", "%u repeats of %u",
			       repeats, requests);
}

/* Instances that are calm know the last version, and callers are served. */
static void check_service(const survey_t *survey)
{
	guint statuses[6] = { 0 };
	const soak_request_t *request;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, survey->soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		statuses[request->end == HTTP_CLIENT_COMPLETED ?
				 MIN(request->status / 100, 5) :
				 0]++;
	soak_note("answers: %u 2xx, %u 4xx, %u 5xx, %u without", statuses[2],
		  statuses[4], statuses[5], statuses[0]);
	if (statuses[2] * 2 < g_hash_table_size(survey->soak->requests))
		soak_violation(survey->soak, "SERVICE",
			       "fewer than half of the requests were served");
}

void checks_run(soak_t *soak)
{
	survey_t survey = { .soak = soak };
	const soak_request_t *request;
	const endpoint_t *endpoint;
	GHashTableIter iter;

	survey.fates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		read_log(&survey, endpoint);
	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		check_request(&survey, request);
	check_repeats(&survey);
	check_service(&survey);
	g_hash_table_unref(survey.fates);
}
