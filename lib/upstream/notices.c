/*
 * Notices: what endpoints say about themselves in answers, beyond their load. A
 * notice belongs to an id and survives the endpoint's absence from the list, so
 * an endpoint that is listed again keeps it and another one at the same address
 * does not get it.
 */
#include "lib/upstream/upstream_internal.h"

#include <string.h>

/*
 * A longer pause is cut to this, so that a faulty endpoint does not exclude
 * itself for good.
 */
#define PAUSE_MAX (5 * G_TIME_SPAN_MINUTE)
/*
 * Time after which an endpoint that was missing from the list is not expected
 * to return under the same id. A leaving endpoint ends within seconds.
 */
#define RETENTION_TIME (10 * G_TIME_SPAN_MINUTE)

static const char *const source_names[] = {
	[NOTICE_IN_ANSWER] = "answer",
	[NOTICE_IN_REFUSAL] = "refusal",
	[NOTICE_IN_PROBE_ANSWER] = "probe",
	[NOTICE_IN_DISCARDED_ANSWER] = "discarded",
};

static void record_leaving(const upstream_t *upstream, endpoint_t *endpoint,
			   const endpoint_notice_t *notice)
{
	if (endpoint->notices.leaving)
		return;
	endpoint->notices.leaving = TRUE;
	counters_add(upstream->counters, COUNTER_ENDPOINTS_LEAVING, 1);
	if (upstream->options.log)
		LOG_EVENT(upstream->options.log, "endpoint_says_leaving",
			  LOG_TEXT("endpoint", endpoint_id(endpoint)),
			  LOG_TEXT("service", upstream->service),
			  LOG_TEXT("answer", source_names[notice->source]));
}

/* A shorter pause does not revoke a longer one. */
static void record_pause(const upstream_t *upstream, endpoint_t *endpoint,
			 const endpoint_notice_t *notice, GTimeSpan now)
{
	notices_t *notices = &endpoint->notices;
	GTimeSpan pause = MIN(notice->pause, PAUSE_MAX);
	gboolean is_paused = now < notices->paused_until;

	notices->paused_until = MAX(notices->paused_until, now + pause);
	/* Requests in flight are refused, too, and extend the pause. */
	if (is_paused)
		return;
	counters_add(upstream->counters, COUNTER_ENDPOINTS_PAUSED, 1);
	if (upstream->options.log)
		LOG_EVENT(upstream->options.log, "endpoint_paused",
			  LOG_TEXT("endpoint", endpoint_id(endpoint)),
			  LOG_TEXT("service", upstream->service),
			  LOG_TEXT("answer", source_names[notice->source]),
			  LOG_NUMBER("duration_us", pause));
}

void upstream_notice_received(upstream_t *upstream, const char *id,
			      const endpoint_notice_t *notice, GTimeSpan now)
{
	endpoint_t *endpoint = upstream_find(upstream, id);

	/* An earlier start under the same id may have sent the answer. */
	if (!endpoint ||
	    notice->requested_at < endpoint->notices.start_known_at)
		return;
	if (notice->leaving)
		record_leaving(upstream, endpoint, notice);
	if (notice->pause > 0)
		record_pause(upstream, endpoint, notice, now);
}

gboolean notices_update_start(endpoint_t *endpoint, gint64 start_time,
			      GTimeSpan now)
{
	notices_t *notices = &endpoint->notices;
	gboolean started_again = notices->start_time &&
				 start_time > notices->start_time;

	notices->start_time = MAX(notices->start_time, start_time);
	if (started_again) {
		notices->leaving = FALSE;
		notices->start_known_at = now;
	}
	return started_again;
}

static retained_notices_t *find_retained(const upstream_t *upstream,
					 const char *id)
{
	retained_notices_t *retained;

	TAILQ_FOREACH (retained, &upstream->retained, link)
		if (strcmp(retained->id, id) == 0)
			return retained;
	return NULL;
}

static void retained_free(upstream_t *upstream, retained_notices_t *retained)
{
	TAILQ_REMOVE(&upstream->retained, retained, link);
	g_free(retained);
}

void notices_restore(upstream_t *upstream, endpoint_t *endpoint, GTimeSpan now)
{
	retained_notices_t *retained =
		find_retained(upstream, endpoint_id(endpoint));

	endpoint->notices.start_known_at = now;
	if (retained) {
		endpoint->notices = retained->notices;
		retained_free(upstream, retained);
	}
	notices_update_start(endpoint, endpoint->info.start_time, now);
}

/* Without an id of its own, another endpoint may be listed under the address. */
void notices_retain(upstream_t *upstream, const endpoint_t *endpoint,
		    GTimeSpan now)
{
	retained_notices_t *retained;

	if (!endpoint->info.id[0] || (!endpoint->notices.leaving &&
				      now >= endpoint->notices.paused_until))
		return;
	retained = g_new0(retained_notices_t, 1);
	g_strlcpy(retained->id, endpoint->info.id, sizeof(retained->id));
	retained->notices = endpoint->notices;
	retained->expiry = now + RETENTION_TIME;
	TAILQ_INSERT_TAIL(&upstream->retained, retained, link);
}

void notices_expire(upstream_t *upstream, GTimeSpan now)
{
	retained_notices_t *retained = TAILQ_FIRST(&upstream->retained);

	while (retained && now >= retained->expiry) {
		retained_free(upstream, retained);
		retained = TAILQ_FIRST(&upstream->retained);
	}
}
