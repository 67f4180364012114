/*
 * The state machine of one load balancer instance, and the only interface that
 * a front end uses.
 *
 * The front end reports events (calls, results of attempts, configurations,
 * instance lists, timer expiry) and performs the actions that the entry
 * requests through callbacks. The entry does no I/O of its own. All functions
 * must be called from one thread. An action callback must not call back into
 * the entry; its result is reported later as an event.
 */
#ifndef CATK_ENTRY_H
#define CATK_ENTRY_H

#include "lib/admission/admission.h"
#include "lib/catalogue/catalogue.h"
#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/error.h"
#include "lib/common/event_log.h"
#include "lib/config/config.h"
#include "lib/entry/peer_message.h"
#include "lib/evacuation/evacuation.h"
#include "lib/feed/feed.h"
#include "lib/membership/membership.h"
#include "lib/request_id/request_id.h"
#include "lib/upstream/upstream.h"

#define ENTRY_RESOLVE_ADDRESSES_MAX 64

/*
 * Instances per data centre that watch the stored configuration. With two, a
 * change is still noticed at once when one of them is paused or lost.
 */
#define ENTRY_CONFIG_WATCHERS 2

typedef struct entry entry_t;

typedef struct {
	request_ids_limits_t request_ids;
	admission_limits_t admission;
	routing_policy_t routing;
	guint entries_max; /* expected maximum number of instances, >= 1 */
	GTimeSpan report_stale_after; /* age at which a load report is stale */
	guint attempts_max; /* attempts per call, >= 1 */
	guint retry_percent; /* retries per hundred first attempts */
	/* Unused retries that all instances together may accumulate. */
	guint retry_saved;
	GTimeSpan resolve_ttl; /* how long callers may cache addresses */
	guint resolve_addresses; /* 1 to ENTRY_RESOLVE_ADDRESSES_MAX */
	GTimeSpan shutdown_max; /* maximum time of a graceful shutdown */
	/* Maximum delay of a change in the metadata store. */
	GTimeSpan change_bound;
	/* Time after an outage of that store from which change_bound holds. */
	GTimeSpan reconnect_bound;
	/* The whole fleet starts for the first time; else others may run. */
	guint first_start;
	/* Concurrent attempts at a service, 0 for an adaptive limit. */
	guint concurrency_max;
	guint probe_fanout; /* endpoints probed per call, 0 for none */
	/*
	 * Instances of a data centre that prefer the same endpoint there, 0 if
	 * each instance uses all endpoints alike.
	 */
	guint preferred_instances;
	/*
	 * Share of a call's value that a crossing to another data centre costs,
	 * 0 if the fixed rules decide.
	 */
	guint crossing_price_percent;
	/* Rate limits of organisations: see lib/quota. */
	GTimeSpan quota_window; /* over which a limit is judged, 0: no limits */
	double quota_overage; /* fraction by which a limit may be exceeded */
	guint quota_slack; /* requests beyond it per window */
	/* Bound of requests per second to an endpoint that has just started. */
	double warmup_overage; /* factor to the rate that the service declares */
	guint warmup_slack; /* requests beyond it */
	/* Time within which an evacuation must be known, 0 for none. */
	GTimeSpan evacuation_bound;
	/* Decides when a call is retried; NULL for retry_rule_at_most_once. */
	const struct retry_rule *retry_rule;
	/*
	 * Decides which calls are started during a shutdown; NULL for
	 * shutdown_rule_by_deadline.
	 */
	const struct shutdown_rule *shutdown_rule;
} entry_limits_t;

/* A call by service and method. Strings are copied, body is referenced. */
typedef struct {
	const char *service;
	const char *method;
	const char *request_id; /* text form, NULL for none */
	const char *caller; /* name, for fair queueing between callers */
	/* Until the deadline, 0 for the deadline of the method. */
	GTimeSpan remaining;
	guint attempt; /* counted by the caller, 0 or 1 for its first */
	GBytes *body;
	void *caller_ref; /* not NULL; passed back with the answer */
} call_request_t;

/*
 * A request whose service is determined by matching host and path to a route.
 */
typedef struct {
	const char *host;
	const char *path; /* without query */
	const char *name; /* identifies the request in logs, NULL for none */
	GTimeSpan remaining; /* until the caller's deadline, 0 for none */
	const char *credential; /* the caller's key, NULL for none */
	GBytes *body; /* referenced */
	/* Not NULL; passed back with attempts and the answer. */
	void *caller_ref;
} routed_request_t;

/*
 * The answer to a call. If error.kind is CATK_OK, status and body are those of
 * the upstream's answer. error.outcome is always set. The receiver takes its
 * own reference to body if it keeps it.
 */
typedef struct {
	catk_error_t error;
	guint status;
	GBytes *body;
	/* The upstream's message in answer to a routed call, opaque here. */
	const void *message;
	GTimeSpan elapsed; /* since arrival, 0 when the call was not admitted */
} call_answer_t;

/* A request to send to an endpoint. Valid only during the callback. */
typedef struct {
	guint64 attempt_id;
	const char *address;
	const char *endpoint; /* id */
	void *caller_ref; /* of a routed call, NULL otherwise */
	gboolean idempotent;
	const char *service;
	const char *method;
	const char *priority; /* name */
	GTimeSpan remaining; /* until the deadline */
	/*
	 * Delays from the start of the attempt after which, without an answer,
	 * a cancel query is sent on a new connection: a cancellation whose
	 * response tells the state of the attempt. If the endpoint has started
	 * the attempt, it continues; if it has not, the attempt ends as
	 * ATTEMPT_CANCELLED; if it does not know the attempt, as
	 * ATTEMPT_SILENT.
	 */
	GTimeSpan first_cancel_query_after;
	GTimeSpan last_cancel_query_after; /* not less than the first */
	guint attempt; /* number, counting the caller's attempts as well */
	guint connections_max; /* from this instance to the address */
	gboolean needs_new_connection; /* of a routed call; see attempt_t */
	/*
	 * Organisation of the caller, empty for a caller without one, NULL if
	 * the configuration has no organisations.
	 */
	const char *organisation;
	GBytes *body;
} attempt_request_t;

typedef struct {
	/* Answers a call, exactly once unless entry_cancel() was called. */
	void (*answer)(void *ctx, void *caller_ref,
		       const call_answer_t *answer);
	/* Sends a request. Completed by entry_attempt_ended(). */
	void (*start_attempt)(void *ctx, const attempt_request_t *request);
	/* Cancels an attempt whose answer is no longer needed. */
	void (*cancel_attempt)(void *ctx, guint64 attempt_id);
	/*
	 * Requests a load report from an endpoint. Completed by
	 * entry_probe_ended(). See entry_endpoint_address() for the address.
	 */
	void (*send_probe)(void *ctx, const char *service,
			   const char *endpoint);
	/*
	 * Sends on the outbound connection to the address, opening it if
	 * needed. entry_outbound_peer_lost() reports its failure or close.
	 */
	void (*send_to_peer)(void *ctx, const char *address,
			     const peer_message_t *message);
	/* Sends on an inbound connection. */
	void (*reply_to_peer)(void *ctx, guint64 connection,
			      const peer_message_t *message);
	/*
	 * A peer sent a newer configuration, to parse and put in force. Unlike
	 * other actions, this one may call entry_activate_config() before it
	 * returns. Returns TRUE if the configuration is still being read.
	 */
	gboolean (*config_received)(void *ctx, guint64 version,
				    GBytes *document);
	event_log_t log; /* receives the decisions of the entry */
	void *ctx;
} entry_actions_t;

/* How an attempt ended, with the upstream's answer and load report, if any. */
typedef struct {
	guint64 attempt_id;
	attempt_end_t end;
	guint status; /* with ATTEMPT_ANSWERED */
	GBytes *body; /* with ATTEMPT_ANSWERED, not NULL */
	gboolean reused_connection; /* it carried an earlier request */
	const void *message; /* of a routed call, for call_answer_t.message */
	gboolean has_report;
	load_report_t report;
} attempt_result_t;

typedef struct {
	guint address_count;
	char addresses[ENTRY_RESOLVE_ADDRESSES_MAX][MEMBER_ADDRESS_MAX + 1];
	GTimeSpan ttl;
	guint64 config_version;
	/* The fields below are set; FALSE while this instance is leaving. */
	gboolean has_ids;
	char instance[MEMBER_NAME_MAX + 1];
	guint64 incarnation;
	request_id_block_t ids;
} resolve_result_t;

/*
 * Creates an entry without configuration. It refuses every call until
 * entry_activate_config() supplies one. self, limits and actions are copied;
 * clock, random and counters must outlive the entry. Free with entry_free().
 */
entry_t *entry_new(const member_t *self, const entry_limits_t *limits,
		   const entry_actions_t *actions, const catk_clock_t *clock,
		   GRand *random, counters_t *counters);

/*
 * Applies the limits that may change at run time: retry_percent, retry_saved,
 * probe_fanout, resolve_ttl, resolve_addresses and shutdown_max. Others are
 * ignored.
 */
void entry_update_limits(entry_t *entry, const entry_limits_t *limits);

/*
 * Frees the entry. Calls in flight are dropped without an answer, and no action
 * is requested.
 */
void entry_free(entry_t *entry);

/*
 * Puts a valid configuration in force if it is newer than the one in force.
 * Takes ownership of schema, references document, the text that schema was
 * parsed from.
 */
config_activate_result_t entry_activate_config(entry_t *entry, guint64 version,
					       schema_t *schema,
					       GBytes *document);

/*
 * Replaces the endpoints of a service. Returns FALSE if the service is not in
 * the configuration in force.
 */
gboolean entry_set_endpoints(entry_t *entry, const char *service,
			     const endpoint_info_t *infos, gsize count);

/*
 * The endpoints as recorded in the metadata store, called the store below. The
 * reader of the store updates them and then calls entry_endpoints_changed().
 */
catalogue_t *entry_catalogue(entry_t *entry);

/* Propagates changes of the catalogue to services and subscribers. */
void entry_endpoints_changed(entry_t *entry);

/*
 * The data centres that are evacuated. The reader of the store updates them;
 * nothing is sent to their endpoints from then on.
 */
evacuations_t *entry_evacuations(entry_t *entry);

/*
 * TRUE if this instance should read the store. In a large fleet only the
 * sources (see lib/subscription/subscription.h) do, and other instances while
 * no source serves them. An instance that resumes reading must start with a
 * full list.
 */
gboolean entry_should_read_store(const entry_t *entry);

/*
 * The next request to the store for objects of that kind, FEED_WAIT if none is
 * due or other instances read the store for this one. The reader of the store
 * performs the request and records its result in the feed of that kind. Valid
 * until the next call on that feed.
 */
feed_step_t entry_next_store_call(entry_t *entry, feed_kind_t kind);
feed_t *entry_feed(entry_t *entry, feed_kind_t kind);

/*
 * Time since the state of that kind was last known to be current: since the
 * store's last answer, or for endpoints since the last message of a source that
 * is in contact with the store. CATK_NEVER if never.
 */
GTimeSpan entry_known_age(const entry_t *entry, feed_kind_t kind);

/* How a request to the store ended. */
typedef struct {
	feed_outcome_t outcome;
	guint http_status; /* 0 without an answer */
	guint objects; /* in the answer */
	guint64 revision; /* of the store, 0 if unknown */
} entry_store_call_t;

/* Logs and records that the request of a step was sent. */
void entry_store_call_sent(entry_t *entry, feed_kind_t kind,
			   const feed_step_t *step);

/*
 * Logs and records the end of a request. With FEED_ANSWERED the caller then
 * applies the objects and records the answer in the feed.
 */
void entry_store_call_ended(entry_t *entry, feed_kind_t kind,
			    const entry_store_call_t *call);

/*
 * Records the store revision up to which changes of endpoints have been read.
 * with_changes is TRUE if a watch delivered changes.
 */
void entry_record_store_revision(entry_t *entry, guint64 revision,
				 gboolean with_changes);

/*
 * TRUE if other instances know of changes that the watch of this instance
 * should have delivered by now. The watch and its connection must then be
 * closed and the store listed again. Each lag is returned once.
 */
gboolean entry_store_watch_is_behind(entry_t *entry);

/* Records that a stored version of the configuration is invalid. */
void entry_reject_config(entry_t *entry, guint64 version);

/*
 * TRUE if this instance should watch the stored configuration, as do the
 * ENTRY_CONFIG_WATCHERS live instances of each data centre that rank first by
 * rendezvous hashing of their names.
 */
gboolean entry_is_config_watcher(const entry_t *entry);

/*
 * Interval at which this instance should read each instance list, at least
 * shortest, so that all live instances together do not exceed reads_per_second,
 * which must be at least 1.
 */
GTimeSpan entry_instance_list_interval(const entry_t *entry, GTimeSpan shortest,
				       guint reads_per_second);

/* The configuration, for operators. */
const config_t *entry_config(const entry_t *entry);

/* The members, for operators. */
const membership_t *entry_membership(const entry_t *entry);

/*
 * Returns the addresses that a caller should use, how long it may cache them,
 * and a block of request ids. Returns FALSE with CATK_UNAVAILABLE if no
 * instance accepts callers.
 */
gboolean entry_resolve(entry_t *entry, resolve_result_t *result,
		       catk_error_t *err);

/*
 * Like entry_resolve() without request ids, for a caller in a data centre:
 * returns the live instances there, or those of all data centres if there is
 * none or data_centre is NULL.
 */
gboolean entry_resolve_for_data_centre(entry_t *entry, const char *data_centre,
				       resolve_result_t *result,
				       catk_error_t *err);

/*
 * TRUE if a configuration is in force, the evacuations are known, or have been
 * awaited for evacuation_bound, and this instance is not leaving.
 */
gboolean entry_is_ready(const entry_t *entry);

/* Handles a call. actions.answer may be called before this returns. */
void entry_call(entry_t *entry, const call_request_t *request);

/*
 * Handles a request whose service is given by a route of the configuration in
 * force. The identity of the request is part of the caller's message, so no
 * record of it is kept and duplicates are not recognised; a request received
 * once runs at most once. actions.answer may be called before this returns.
 */
void entry_route(entry_t *entry, const routed_request_t *request);

/* Address of an endpoint, NULL if the endpoint is not known. */
const char *entry_endpoint_address(entry_t *entry, const char *service,
				   const char *endpoint);

/*
 * The caller disconnected. Its call is cancelled, unless other callers wait for
 * the answer, or the call must not run twice and may be running.
 */
void entry_cancel(entry_t *entry, void *caller_ref);

/* Results of start_attempt and send_probe. report is NULL if a probe failed. */
void entry_attempt_ended(entry_t *entry, const attempt_result_t *result);
void entry_probe_ended(entry_t *entry, const char *service,
		       const char *endpoint, const load_report_t *report);

/*
 * An answer of the endpoint has a notice. Called as soon as it can be read,
 * before the answer's end is reported; it requests no action.
 */
void entry_endpoint_notice(entry_t *entry, const char *service,
			   const char *endpoint,
			   const endpoint_notice_t *notice);

/* Adds the peer address of an instance to contact for joining the fleet. */
void entry_add_seed(entry_t *entry, const char *peer_address);

/* Handles a message from another instance. connection is for replies to it. */
void entry_receive_peer_message(entry_t *entry, guint64 connection,
				const peer_message_t *message);

/* An inbound connection from another instance has closed. */
void entry_inbound_peer_closed(entry_t *entry, guint64 connection);

/*
 * The outbound connection that send_to_peer uses has closed or could not be
 * established. Calls forwarded to the address end with an unknown outcome.
 */
void entry_outbound_peer_lost(entry_t *entry, const char *address);

/* Runs due timers. To be called at or after entry_next_wakeup(). */
void entry_tick(entry_t *entry);

/* Instant at which entry_tick() must be called next. */
GTimeSpan entry_next_wakeup(const entry_t *entry);

/*
 * Starts a graceful shutdown. Later calls have no effect. reason is for the log,
 * such as "signal".
 */
void entry_shutdown(entry_t *entry, const char *reason);

/* TRUE from the start of a shutdown. */
gboolean entry_is_leaving(const entry_t *entry);

/*
 * TRUE if a graceful shutdown is complete: the addresses and request ids
 * handed out to callers have expired and no call is in flight, or the shutdown
 * deadline has passed. From then on no call is started.
 */
gboolean entry_is_shutdown_complete(entry_t *entry);

/*
 * To be called once, when the process is about to end after a shutdown: logs
 * each call that is cut, and what became of the calls since the start.
 * connections is the number of callers' connections that are still open, unsent
 * that of those with answers that are not sent completely.
 */
void entry_end_shutdown(entry_t *entry, guint connections, guint unsent);

/* Instant at which a shutdown is forced, CATK_NEVER if none has started. */
GTimeSpan entry_shutdown_deadline(const entry_t *entry);

/* Writes the state of the entry for operators. */
void entry_dump(entry_t *entry, const dump_writer_t *writer);

#endif
