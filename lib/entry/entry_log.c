/* Log events of an entry, each with the inputs of the decision. */
#include "lib/entry/entry_internal.h"

/* Time since the start of the shutdown in microseconds, -1 without one. */
static log_field_t shutdown_field(const entry_t *entry)
{
	return LOG_NUMBER("shutdown_us",
			  shutdown_elapsed(&entry->shutdown, entry_now(entry)));
}

void entry_log_call(const entry_t *entry, const char *event, const call_t *call,
		    const catk_error_t *error)
{
	LOG_EVENT(&entry->actions.log, event,
		  LOG_TEXT("request", call->log_name),
		  LOG_TEXT("service", call->service),
		  LOG_TEXT("method", call->method),
		  LOG_TEXT("organisation",
			   call->organisation ? call->organisation : ""),
		  LOG_NUMBER("priority", call->queue.priority),
		  LOG_NUMBER("elapsed_us", entry_now(entry) - call->admitted),
		  LOG_NUMBER("remaining_us", call->deadline - entry_now(entry)),
		  LOG_NUMBER("attempts", call->attempts_started),
		  LOG_TEXT("kind",
			   error ? catk_error_kind_name(error->kind) : "ok"),
		  LOG_TEXT("outcome",
			   error ? outcome_name(error->outcome) : "ran"),
		  LOG_NUMBER("retry_after_us", error ? error->retry_after : 0),
		  shutdown_field(entry),
		  LOG_TEXT("message", error ? error->message : ""));
}

void entry_log_attempt_started(const entry_t *entry,
			       const entry_service_t *service,
			       const call_t *call, const attempt_t *attempt,
			       const endpoint_t *endpoint)
{
	endpoint_estimate_t estimate = upstream_estimate(
		service->upstream, endpoint, entry_now(entry));

	LOG_EVENT(&entry->actions.log, "attempt_started",
		  LOG_TEXT("request", call->log_name),
		  LOG_TEXT("service", call->service),
		  LOG_TEXT("endpoint", endpoint_id(endpoint)),
		  LOG_TEXT("address", endpoint_address(endpoint)),
		  LOG_NUMBER("attempt", call->attempts_started),
		  LOG_NUMBER("needs_new_connection",
			     attempt->needs_new_connection),
		  LOG_NUMBER("waited_us", entry_now(entry) - call->admitted),
		  LOG_NUMBER("objective_left_us",
			     call->objective ?
				     call->objective - entry_now(entry) :
				     0),
		  LOG_NUMBER("remaining_us", call->deadline - entry_now(entry)),
		  LOG_NUMBER("report_age_us", estimate.report_age),
		  LOG_NUMBER("load_percent", estimate.load_percent),
		  LOG_NUMBER("slowdown_percent", estimate.slowdown_percent),
		  LOG_NUMBER("near", estimate.local), shutdown_field(entry),
		  LOG_NUMBER("config_version",
			     (gint64)config_version(entry->config)));
}

void entry_log_attempt_ended(const entry_t *entry, const call_t *call,
			     const attempt_t *attempt,
			     const attempt_result_t *result)
{
	LOG_EVENT(&entry->actions.log, "attempt_ended",
		  LOG_TEXT("request", call->log_name),
		  LOG_TEXT("service", call->service),
		  LOG_TEXT("endpoint", attempt->endpoint),
		  LOG_TEXT("end", attempt_end_name(result->end)),
		  LOG_NUMBER("status", result->status),
		  LOG_NUMBER("reused_connection", result->reused_connection),
		  LOG_NUMBER("latency_us",
			     entry_now(entry) - attempt->started));
}

/* Age of the state in microseconds, -1 if it was never known. */
static log_field_t known_age_field(const entry_t *entry, feed_kind_t kind)
{
	GTimeSpan age = entry_known_age(entry, kind);

	return LOG_NUMBER("known_age_us", age == CATK_NEVER ? -1 : age);
}

static const char *leaving_name(catalogue_state_t state)
{
	static const char *const names[] = {
		[CATALOGUE_PRESENT] = "draining",
		[CATALOGUE_DOUBTFUL] = "doubtful",
		[CATALOGUE_REMOVED] = "removed",
	};

	return names[state];
}

/*
 * The age of the knowledge limits how long ago the endpoint started to leave:
 * the store does not tell when an entry changed.
 */
void entry_log_leaving(const entry_t *entry, const catalogue_entry_t *endpoint,
		       catalogue_state_t state, const char *source)
{
	LOG_EVENT(&entry->actions.log, "endpoint_leaving",
		  LOG_TEXT("endpoint", endpoint->info.id),
		  LOG_TEXT("service", endpoint->service),
		  LOG_TEXT("state", leaving_name(state)),
		  LOG_TEXT("learnt_from", source ? source : "store"),
		  LOG_NUMBER("revision", (gint64)endpoint->revision),
		  known_age_field(entry, FEED_ENDPOINTS));
}

void entry_log_store_call_sent(const entry_t *entry, feed_kind_t kind,
			       const feed_step_t *step)
{
	LOG_EVENT(&entry->actions.log, "store_call_sent",
		  LOG_TEXT("kind", feed_kind_name(kind)),
		  LOG_TEXT("call", feed_step_name(step->kind)),
		  LOG_NUMBER("revision", (gint64)step->revision),
		  LOG_NUMBER("wait_us",
			     step->kind == FEED_WATCH ? step->watch_wait : 0),
		  known_age_field(entry, kind));
}

void entry_log_store_call_ended(const entry_t *entry, feed_kind_t kind,
				const entry_store_call_t *call)
{
	feed_status_t status =
		feed_status(entry->feeds[kind], entry_now(entry));

	LOG_EVENT(&entry->actions.log, "store_call_ended",
		  LOG_TEXT("kind", feed_kind_name(kind)),
		  LOG_TEXT("call", feed_step_name(status.call)),
		  LOG_TEXT("outcome", feed_outcome_name(call->outcome)),
		  LOG_NUMBER("status", call->http_status),
		  LOG_NUMBER("age_us", status.call_age),
		  LOG_NUMBER("objects", call->objects),
		  LOG_NUMBER("revision", (gint64)call->revision),
		  known_age_field(entry, kind));
}

void entry_log_shutdown_started(const entry_t *entry, const char *reason)
{
	LOG_EVENT(&entry->actions.log, "shutdown_started",
		  LOG_TEXT("reason", reason),
		  LOG_NUMBER("max_us",
			     entry->shutdown.end - entry->shutdown.started),
		  LOG_NUMBER("open_calls",
			     (gint64)entry->shutdown.calls.open_at_start),
		  LOG_NUMBER("config_version",
			     (gint64)config_version(entry->config)));
}

void entry_log_shutdown_ended(const entry_t *entry, guint connections,
			      guint unsent)
{
	const shutdown_calls_t *calls = &entry->shutdown.calls;

	LOG_EVENT(&entry->actions.log, "shutdown_ended", shutdown_field(entry),
		  LOG_TEXT("cause",
			   entry->shutdown.forced ? "deadline" : "drained"),
		  LOG_NUMBER("open_at_start", (gint64)calls->open_at_start),
		  LOG_NUMBER("received", (gint64)calls->received),
		  LOG_NUMBER("refused", (gint64)calls->refused),
		  LOG_NUMBER("answered", (gint64)calls->answered),
		  LOG_NUMBER("cancelled", (gint64)calls->cancelled),
		  LOG_NUMBER("cut", (gint64)calls->cut),
		  LOG_NUMBER("connections", connections),
		  LOG_NUMBER("unsent", unsent));
}

/*
 * received_us is the time from the start of the shutdown to the receipt of the
 * call, negative if it was received before.
 */
void entry_log_cut_call(const entry_t *entry, const call_t *call)
{
	const attempt_t *attempt = TAILQ_FIRST(&call->attempts);

	LOG_EVENT(&entry->actions.log, "call_cut",
		  LOG_TEXT("request", call->log_name),
		  LOG_NUMBER("sequence",
			     call->has_id ? (gint64)call->sequence : -1),
		  LOG_TEXT("service", call->service),
		  LOG_TEXT("method", call->method), shutdown_field(entry),
		  LOG_NUMBER("received_us",
			     call->admitted - entry->shutdown.started),
		  LOG_NUMBER("remaining_us", call->deadline - entry_now(entry)),
		  LOG_NUMBER("attempts", call->attempts_started),
		  LOG_TEXT("endpoint", attempt ? attempt->endpoint : ""),
		  LOG_NUMBER("attempt_age_us",
			     attempt ? entry_now(entry) - attempt->started : 0),
		  LOG_TEXT("outcome",
			   outcome_name(entry_call_outcome(entry, call))));
}

void entry_log_config(const entry_t *entry)
{
	LOG_EVENT(&entry->actions.log, "config_in_force",
		  LOG_NUMBER("config_version",
			     (gint64)config_version(entry->config)));
}

void entry_log_endpoints(const entry_t *entry, const entry_service_t *service,
			 const endpoint_info_t *infos, gsize count)
{
	gint64 leaving = 0;
	gint64 doubtful = 0;
	gsize i;

	for (i = 0; i < count; i++) {
		leaving += infos[i].leaving;
		doubtful += infos[i].doubtful;
	}
	LOG_EVENT(&entry->actions.log, "endpoints_changed",
		  LOG_TEXT("service", upstream_service(service->upstream)),
		  LOG_NUMBER("listed", (gint64)count),
		  LOG_NUMBER("leaving", leaving),
		  LOG_NUMBER("doubtful", doubtful));
}
