/*
 * Finds requests that an instance read and left without the answer of their
 * endpoint. A planned stop excuses none; other faults of the instance or of the
 * connections that the request needed do.
 */
#include "tests/soak/soak.h"

/* From SIGTERM to the kill; a shutdown ends 500 ms before. */
#define GRACE_MS (SHUTDOWN_MAX_MS + 500)
/*
 * Work in the last sixth of the grace, on a request sent in its first half, may
 * be cut.
 */
#define LATE_WORK (GRACE_MS * 5 / 6 * (GTimeSpan)G_TIME_SPAN_MILLISECOND)
#define EARLY_REQUEST (GRACE_MS / 2 * (GTimeSpan)G_TIME_SPAN_MILLISECOND)
#define ROUTE_TIMEOUT (ROUTE_TIMEOUT_MS * (GTimeSpan)G_TIME_SPAN_MILLISECOND)
/*
 * A request that reaches no endpoint may cross the close of its connection. The
 * time that the soak itself held it up does not count.
 */
#define CROSSING_MAX (200 * G_TIME_SPAN_MILLISECOND)
/* An instance may use a connection that a fault has silenced for so long. */
#define SILENCED_MAX (10 * G_TIME_SPAN_SECOND)
/* Between the instance's answer and the end of the run in the endpoint's log. */
#define CUT_LOG_DELAY_MAX (50 * G_TIME_SPAN_MILLISECOND)

static const fault_interval_t *find_fault(const GArray *fault_intervals,
					  guint causes,
					  const soak_request_t *request)
{
	return fault_interval_find(fault_intervals, causes, request->sent_at,
				   request->ended_at);
}

/* A fault or a planned stop during the request was followed by a restart. */
static gboolean is_restart_expected(const instance_t *instance,
				    const soak_request_t *request)
{
	return instance->incarnation != request->incarnation &&
	       find_fault(instance->fault_intervals, ~0u, request);
}

static gboolean is_any_endpoint_cut_off(const soak_t *soak,
					const soak_request_t *request)
{
	const endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		if (fault_interval_find(
			    endpoint->fault_intervals, FAULT_CONNECTION,
			    request->sent_at - SILENCED_MAX, request->ended_at))
			return TRUE;
	return FALSE;
}

static gboolean is_disrupted(const soak_t *soak, const instance_t *instance,
			     const soak_request_t *request,
			     const endpoint_t *endpoint)
{
	if (find_fault(instance->fault_intervals,
		       FAULT_CONNECTION | FAULT_PAUSE | FAULT_DOWN, request) ||
	    find_fault(soak->store_fault_intervals, FAULT_STALL, request))
		return TRUE;
	return endpoint ? find_fault(endpoint->fault_intervals,
				     FAULT_CONNECTION, request) != NULL :
			  is_any_endpoint_cut_off(soak, request);
}

static gboolean may_be_cut(const soak_request_t *request,
			   const deliveries_t *deliveries,
			   const fault_interval_t *stop)
{
	if (request->ended_at - request->sent_at >= ROUTE_TIMEOUT)
		return TRUE;
	if (!deliveries->arrivals)
		return request->ended_at - request->sent_at -
			       request->held_up <=
		       CROSSING_MAX;
	if (deliveries->end == RUN_BROKEN || deliveries->end == RUN_OPEN)
		return TRUE;
	return deliveries->end == RUN_CUT &&
	       deliveries->ended_at >= stop->from + LATE_WORK &&
	       request->sent_at <= stop->from + EARLY_REQUEST;
}

/* The instance answered in place of an endpoint that was still at work. */
static gboolean is_broken_off(const soak_request_t *request,
			      const deliveries_t *deliveries)
{
	return request->end == HTTP_CLIENT_COMPLETED &&
	       !request->endpoint_answered && deliveries->end == RUN_CUT &&
	       deliveries->arrived_at < request->ended_at &&
	       deliveries->ended_at + CUT_LOG_DELAY_MAX >= request->ended_at;
}

static void report_cut(soak_t *soak, const soak_request_t *request,
		       const deliveries_t *deliveries,
		       const fault_interval_t *stop)
{
	const char *how = request->end == HTTP_CLIENT_COMPLETED ?
				  "answered in place of its endpoint" :
				  "disconnected without an answer";

	soak_violation(
		soak, "LOST",
		"%s, %s, reached %s, but was %s by e%u, which stops: "
		"sent %" G_GINT64_FORMAT " ms and ended "
		"%" G_GINT64_FORMAT " ms after the start of the stop",
		request->id, request->idempotent ? "safe" : "unsafe",
		deliveries->endpoint ? deliveries->endpoint->id : "no endpoint",
		how, request->instance,
		(request->sent_at - stop->from) / G_TIME_SPAN_MILLISECOND,
		(request->ended_at - stop->from) / G_TIME_SPAN_MILLISECOND);
}

void lost_check(soak_t *soak, const soak_request_t *request,
		const deliveries_t *deliveries)
{
	const instance_t *instance = soak_instance(soak, request->instance);
	const fault_interval_t *stop =
		find_fault(instance->fault_intervals, FAULT_STOP, request);
	gboolean disconnected = request->end == HTTP_CLIENT_DISCONNECTED;

	if (disconnected && deliveries->runs &&
	    !is_restart_expected(instance, request))
		soak_violation(soak, "LOST",
			       "%s ran, but e%u disconnected without an answer",
			       request->id, request->instance);
	else if (stop && (disconnected || is_broken_off(request, deliveries)) &&
		 !is_disrupted(soak, instance, request, deliveries->endpoint) &&
		 !may_be_cut(request, deliveries, stop))
		report_cut(soak, request, deliveries, stop);
}
