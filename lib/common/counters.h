/*
 * Event counters of one process. Each X entry has the identifier of a counter,
 * its name in dumps and its unit. docs/OPERATIONS.md describes the counters.
 */
#ifndef CATK_COUNTERS_H
#define CATK_COUNTERS_H

#include <glib.h>

#define COUNTER_LIST(X)                                                      \
	X(CALLS_RECEIVED, "calls_received", "calls")                         \
	X(CALLS_SUCCEEDED, "calls_succeeded", "calls")                       \
	X(CALLS_REFUSED, "calls_refused_not_run", "calls")                   \
	X(CALLS_UNAUTHENTICATED, "calls_without_valid_key", "calls")         \
	X(CALLS_UNKNOWN, "calls_outcome_unknown", "calls")                   \
	X(CALLS_RAN_FAILED, "calls_ran_failed", "calls")                     \
	X(CALLS_CANCELLED, "calls_cancelled_by_caller", "calls")             \
	X(CALLS_DUPLICATE, "calls_duplicate", "calls")                       \
	X(CALLS_FORWARDED, "calls_forwarded_to_issuer", "calls")             \
	X(CALLS_CUT_AT_SHUTDOWN, "calls_cut_at_shutdown", "calls")           \
	X(ATTEMPTS_STARTED, "attempts_started", "attempts")                  \
	X(ATTEMPTS_RETRIED, "attempts_retried", "attempts")                  \
	X(ATTEMPTS_COLD, "attempts_at_cold_endpoints", "attempts")           \
	X(ATTEMPTS_PREFERRED, "attempts_at_preferred_endpoints", "attempts") \
	X(ATTEMPTS_REMOTE, "attempts_in_other_data_centres", "attempts")     \
	X(ATTEMPTS_SHED, "attempts_shed_by_upstream", "attempts")            \
	X(ATTEMPTS_FAILED, "attempts_failed", "attempts")                    \
	X(ANSWERS_DROPPED, "answers_dropped", "answers")                     \
	X(ENDPOINTS_EJECTED, "endpoint_ejections", "ejections")              \
	X(ENDPOINTS_SLOW, "endpoints_found_slow", "endpoints")               \
	X(ENDPOINTS_LEAVING, "endpoints_said_leaving", "endpoints")          \
	X(ENDPOINTS_PAUSED, "endpoint_pauses", "pauses")                     \
	X(PROBES_SENT, "probes_sent", "probes")                              \
	X(PROBES_SUPPRESSED, "probes_suppressed_by_budget", "probes")        \
	X(IDS_ISSUED, "request_ids_minted", "ids")                           \
	X(IDS_SEALED, "request_ids_sealed", "ids")                           \
	X(ANSWERS_EVICTED, "held_answers_evicted", "answers")                \
	X(CONFIG_ACCEPTED, "config_versions_put_in_force", "versions")       \
	X(EVACUATIONS_IGNORED, "evacuations_ignored", "objects")             \
	X(CONFIG_REJECTED, "config_versions_rejected", "versions")           \
	X(OBJECT_API_CALLS, "object_api_calls", "calls")                     \
	X(OBJECT_API_FAILURES, "object_api_failures", "calls")               \
	X(PEER_MESSAGES_SENT, "peer_messages_sent", "messages")              \
	X(PEER_BYTES_SENT, "peer_bytes_sent", "bytes")                       \
	X(PEER_MESSAGES_RECEIVED, "peer_messages_received", "messages")      \
	X(LOG_LINES_DROPPED, "log_lines_dropped", "lines")                   \
	X(CONNECTIONS_SILENT, "connections_closed_as_silent", "connections") \
	X(BODIES_REFUSED, "bodies_refused", "requests")                      \
	X(BODIES_REFUSED_PROXY, "bodies_refused_proxy", "requests")          \
	X(BODIES_REFUSED_CALLERS, "bodies_refused_callers", "requests")      \
	X(BODIES_REFUSED_DIRECTORY, "bodies_refused_directory", "requests")  \
	X(BODIES_REFUSED_READINESS, "bodies_refused_readiness", "requests")  \
	X(BODIES_REFUSED_PEERS, "bodies_refused_peers", "requests")          \
	X(CONNECTIONS_REFUSED_PROXY, "connections_refused_proxy",            \
	  "connections")                                                     \
	X(CONNECTIONS_REFUSED_CALLERS, "connections_refused_callers",        \
	  "connections")                                                     \
	X(CONNECTIONS_REFUSED_DIRECTORY, "connections_refused_directory",    \
	  "connections")                                                     \
	X(CONNECTIONS_REFUSED_READINESS, "connections_refused_readiness",    \
	  "connections")                                                     \
	X(CONNECTIONS_REFUSED_PEERS, "connections_refused_peers",            \
	  "connections")                                                     \
	X(CONNECTIONS_REPLACED_PROXY, "connections_replaced_proxy",          \
	  "connections")                                                     \
	X(CONNECTIONS_REPLACED_CALLERS, "connections_replaced_callers",      \
	  "connections")                                                     \
	X(CONNECTIONS_REPLACED_DIRECTORY, "connections_replaced_directory",  \
	  "connections")                                                     \
	X(CONNECTIONS_REPLACED_READINESS, "connections_replaced_readiness",  \
	  "connections")                                                     \
	X(CONNECTIONS_REPLACED_PEERS, "connections_replaced_peers",          \
	  "connections")                                                     \
	X(QUOTA_REFUSED, "calls_over_rate_limit", "calls")                   \
	X(QUOTA_NO_CONTACT, "calls_without_rate_limit_owner", "calls")       \
	X(QUOTA_GIVEN_BACK, "rate_limit_tokens_given_back", "tokens")        \
	X(QUOTA_MESSAGES, "rate_limit_messages_sent", "messages")            \
	X(QUOTA_TAKEOVERS, "rate_limit_shards_taken_over", "shards")

typedef enum {
#define X(id, name, unit) COUNTER_##id,
	COUNTER_LIST(X)
#undef X
		COUNTER_COUNT
} counter_t;

typedef struct {
	guint64 value[COUNTER_COUNT];
} counters_t;

static inline void counters_add(counters_t *counters, counter_t id, guint64 n)
{
	counters->value[id] += n;
}

/* Name of a counter in dumps. */
const char *counter_name(counter_t id);

/* Unit of a counter in dumps. */
const char *counter_unit(counter_t id);

#endif
