/*
 * Internal state and functions of an entry, shared by the files of lib/entry.
 */
#ifndef CATK_ENTRY_INTERNAL_H
#define CATK_ENTRY_INTERNAL_H

#include "lib/admission/retry_budget.h"
#include "lib/admission/startup_queue.h"
#include "lib/call/call.h"
#include "lib/entry/entry.h"
#include "lib/evacuation/evacuation.h"
#include "lib/membership/fleet_size.h"
#include "lib/quota/quota.h"
#include "lib/route/route_deadline.h"
#include "lib/route/route_split.h"
#include "lib/shutdown/shutdown.h"
#include "lib/spillover/spillover.h"

/*
 * Interval between rounds of request id expiry, distribution of fleet limits
 * and probing.
 */
#define ENTRY_HOUSEKEEPING_INTERVAL (50 * G_TIME_SPAN_MILLISECOND)

typedef struct entry_peers entry_peers_t;

typedef struct entry_service {
	TAILQ_ENTRY(entry_service) link;
	upstream_t *upstream;
	admission_t *admission;
	gboolean declared; /* in the schema in force, otherwise draining */
	gboolean from_catalogue; /* declared, with endpoints from there */
	retry_budget_t retry_budget;
	/* Calls that wait for probes, ordered by the end of the wait. */
	TAILQ_HEAD(probe_wait_list, call) awaiting_probes;
	GTimeSpan next_refresh; /* of load reports while calls are queued */
	spillover_t *spillover; /* NULL if fixed rules decide */
	/* Moving average in microseconds by priority, 0 without a sample. */
	double service_time[SCHEMA_PRIORITIES_MAX];
} entry_service_t;

struct entry {
	entry_limits_t limits;
	entry_actions_t actions;
	const catk_clock_t *clock;
	GRand *random;
	counters_t *counters;

	config_t *config;
	membership_t *membership;
	entry_peers_t *peers;
	guint resolve_offset; /* rotates the resolved addresses */
	request_ids_t *ids;
	TAILQ_HEAD(entry_service_list, entry_service) services;
	GHashTable *services_by_name; /* name -> entry_service_t */

	startup_queue_t startup_queue; /* until the first configuration */
	TAILQ_HEAD(call_list, call) calls; /* earliest deadline first */
	GHashTable *calls_by_sequence; /* request id sequence -> call_t */
	GHashTable *calls_by_attempt; /* attempt id -> call_t */
	GHashTable *calls_by_ref; /* caller_ref -> call_t */
	guint64 next_attempt;
	catalogue_t *catalogue;
	evacuations_t *evacuations;
	/* Until then the entry waits for the first set before it is ready. */
	GTimeSpan evacuations_awaited_until;
	quota_t *quota; /* NULL without rate limits */
	subscription_t *subscription;
	feed_t *feeds[FEED_KIND_COUNT];
	/* Other instances read the objects of that kind for this one. */
	gboolean feed_paused[FEED_KIND_COUNT];
	GTimeSpan next_source_selection;
	gboolean is_watcher; /* by the last selection of sources */
	gboolean logged_reads_store; /* entry_should_read_store() as logged */
	gboolean has_called_store; /* an endpoint store is in use */
	gboolean endpoints_call_answered; /* the last one to the store */
	route_splits_t *splits;
	route_deadlines_t *deadlines;

	fleet_size_t fleet; /* all instances */
	fleet_size_t fleet_local; /* instances in this data centre */
	GTimeSpan next_housekeeping;
	shutdown_t shutdown;
	gboolean freeing; /* no further actions are requested */
};

static inline GTimeSpan entry_now(const entry_t *entry)
{
	return catk_clock_now(entry->clock);
}

/*
 * Send to the peer at the address or on an inbound connection. They set the
 * configuration version and store revision of the message.
 */
void entry_send_to_peer(entry_t *entry, const char *address,
			peer_message_t *message);
void entry_reply_to_peer(entry_t *entry, guint64 connection,
			 peer_message_t *message);

void entry_subscription_init(entry_t *entry);
void entry_subscription_free(entry_t *entry);

/* Renews subscriptions and reports changes of endpoints. */
void entry_subscription_tick(entry_t *entry);

/* Handle messages of subscribers and sources. */
void entry_receive_subscribe(entry_t *entry, guint64 connection,
			     const peer_subscribe_t *subscribe);
void entry_receive_endpoints(entry_t *entry, const peer_endpoints_t *endpoints);

/* The service of that name, or NULL. */
entry_service_t *entry_find_service(entry_t *entry, const char *name);

/*
 * Looks up the organisation of a caller's key in the configuration in force,
 * which must exist; sets *organisation to NULL if there is none. Returns FALSE
 * with CATK_UNAUTHENTICATED, and counts it, if a valid key is needed.
 */
gboolean entry_check_key(const entry_t *entry, const char *credential,
			 gboolean needs_key,
			 const organisation_t **organisation,
			 catk_error_t *error);

/* Route the requests that waited for the first configuration. */
void entry_route_startup_requests(entry_t *entry);

/* Refuses requests that must wait no longer for it, all of them if asked to. */
void entry_refuse_startup_requests(entry_t *entry, gboolean all);
/*
 * Takes credit of the rate limit of the call's organisation. Returns FALSE if the
 * call waits for it, or was refused and freed.
 */
gboolean entry_take_credit(entry_t *entry, call_t *call);

/* Creates the rate limits if the settings call for them. */
void entry_quota_init(entry_t *entry);

/* Starts queued calls while an endpoint has capacity. */
void entry_dispatch(entry_t *entry, entry_service_t *service);

/*
 * Probes endpoints for their load if needed, then queues the call, new or to be
 * retried. A call that is not routed is queued at once.
 */
void entry_probe_then_queue(entry_t *entry, entry_service_t *service,
			    call_t *call);

/*
 * Logs an event of a call with its attributes, elapsed time and result. error
 * is NULL for a call without an error.
 */
void entry_log_call(const entry_t *entry, const char *event, const call_t *call,
		    const catk_error_t *error);

/*
 * Logs the start of the call's last attempt with the endpoint's estimated load
 * and age of report, on which the choice was based.
 */
void entry_log_attempt_started(const entry_t *entry,
			       const entry_service_t *service,
			       const call_t *call, const attempt_t *attempt,
			       const endpoint_t *endpoint);

/* Logs the end of an attempt. */
void entry_log_attempt_ended(const entry_t *entry, const call_t *call,
			     const attempt_t *attempt,
			     const attempt_result_t *result);

/* Logs that an endpoint leaves; see catalogue_events_t. */
void entry_log_leaving(const entry_t *entry, const catalogue_entry_t *endpoint,
		       catalogue_state_t state, const char *source);

/* Log the start and the end of a request to the store. */
void entry_log_store_call_sent(const entry_t *entry, feed_kind_t kind,
			       const feed_step_t *step);
void entry_log_store_call_ended(const entry_t *entry, feed_kind_t kind,
				const entry_store_call_t *call);

/* Log the start and the end of a shutdown, and a call that the end cuts. */
void entry_log_shutdown_started(const entry_t *entry, const char *reason);
void entry_log_shutdown_ended(const entry_t *entry, guint connections,
			      guint unsent);
void entry_log_cut_call(const entry_t *entry, const call_t *call);

/* Logs that a configuration came into force. */
void entry_log_config(const entry_t *entry);

/* Logs a new list of endpoints of a service. */
void entry_log_endpoints(const entry_t *entry, const entry_service_t *service,
			 const endpoint_info_t *infos, gsize count);

/*
 * TRUE if the member is one of the ENTRY_CONFIG_WATCHERS live instances of its
 * data centre that rank first by a hash of their names. They watch the stored
 * configuration; in a large fleet they are also the sources of endpoint
 * changes. NULL stands for this instance.
 */
gboolean entry_member_is_watcher(const entry_t *entry, const member_t *member);

/* The watchers of a data centre, highest rank first; NULL: there are fewer. */
typedef struct {
	const char *data_centre;
	const member_t *members[ENTRY_CONFIG_WATCHERS];
} entry_watchers_t;

/*
 * Returns an array of entry_watchers_t, one for each data centre with live
 * instances. Free with g_array_unref(); valid until the members change.
 */
GArray *entry_find_watchers(const entry_t *entry);

/*
 * Number of live instances, including this one, in a data centre, or in all if
 * data_centre is NULL.
 */
guint entry_count_live_instances(const entry_t *entry, const char *data_centre);

/*
 * Delay after which the caller of a refused routed call should retry.
 * has_capacity is TRUE if the call was not refused for lack of capacity.
 */
GTimeSpan entry_retry_after(entry_t *entry, const entry_service_t *service,
			    const call_t *call, gboolean has_capacity);

/*
 * FALSE for a routed call that can find no endpoint in time: all of them are
 * leaving, or paused beyond its latest start.
 */
gboolean entry_can_start_in_time(const entry_service_t *service,
				 const call_t *call, GTimeSpan now);

/* Resumes the calls that waited only for this probe, answered or failed. */
void entry_probe_wait_report(entry_t *entry, entry_service_t *service,
			     const char *endpoint);

/*
 * Ends overdue waits for probes, refuses queued calls whose latest start has
 * passed, and sends probes on behalf of the others.
 */
void entry_probe_wait_tick(entry_t *entry, entry_service_t *service);

/*
 * FALSE if the call must not be started, for the first time or again, because of
 * a shutdown.
 */
gboolean entry_may_start(const entry_t *entry, const entry_service_t *service,
			 const call_t *call);

/*
 * Ends a call for which entry_may_start() returned FALSE: as refused, or with an
 * unknown outcome if it may have run.
 */
void entry_refuse_for_shutdown(entry_t *entry, call_t *call);

/* Ends such calls among those without an attempt in flight. */
void entry_refuse_unstarted_calls(entry_t *entry);

/*
 * TRUE if the wait for an answer that comes by that instant is over before the
 * process ends.
 */
gboolean entry_may_wait_until(const entry_t *entry, GTimeSpan instant);

/* Instant at which entry_probe_wait_tick() must be called next. */
GTimeSpan entry_probe_wait_wakeup(const entry_service_t *service);

/* Removes the call from the calls that wait for probes, if it is one. */
void entry_probe_wait_end(entry_service_t *service, call_t *call);

/*
 * Record what spillover to other data centres depends on, if it is in use: a
 * call that is sent to the endpoint, or refused if that is NULL; the answer to a
 * probe, NULL if it failed; the end of an attempt.
 */
void entry_record_spillover_call(entry_service_t *service, const call_t *call,
				 const endpoint_t *endpoint, GTimeSpan now);
void entry_record_spillover_probe(entry_service_t *service,
				  const char *endpoint,
				  const load_report_t *report, GTimeSpan now);
void entry_record_spillover_end(entry_service_t *service, const char *endpoint,
				attempt_end_t end, GTimeSpan now);

/* The criteria of a call for the selection of its endpoint. */
upstream_criteria_t entry_call_criteria(const entry_service_t *service,
					const call_t *call, GTimeSpan now);

/*
 * Updates the average service time, and the service time ratio of the endpoint,
 * from an answer.
 */
void entry_learn_service_time(entry_service_t *service, const call_t *call,
			      const char *endpoint,
			      const attempt_result_t *result, GTimeSpan latency,
			      GTimeSpan now);

/* The retry rule in the limits, or retry_rule_at_most_once. */
const retry_rule_t *entry_retry_rule(const entry_t *entry);

/* Outcome to report if the call ends now without an answer. */
outcome_t entry_call_outcome(const entry_t *entry, const call_t *call);

/* Count and send an error, or the answer of a call that ran. */
void entry_answer_error(entry_t *entry, void *caller_ref,
			const catk_error_t *error);
void entry_answer_success(entry_t *entry, void *caller_ref, guint status,
			  GBytes *body);

/* Inserts a new call into the list of calls in order of deadlines. */
void entry_insert_call(entry_t *entry, call_t *call);

/* Adds a caller to be sent the call's answer. */
void entry_add_waiter(entry_t *entry, call_t *call, void *caller_ref);

/*
 * End a call: record the outcome under its request id, answer its waiters,
 * free it. entry_finish_refused() sets the outcome in error from the call's
 * attempts.
 */
void entry_finish_with_error(entry_t *entry, call_t *call,
			     const catk_error_t *error);
void entry_finish_with_answer(entry_t *entry, call_t *call,
			      const attempt_result_t *result);
void entry_finish_refused(entry_t *entry, call_t *call, catk_error_t *error);
void entry_finish_expired(entry_t *entry, call_t *call);

/* Ends the calls whose deadline has passed. */
void entry_expire_calls(entry_t *entry);

/* Logs and counts the calls that have a caller and no answer. */
void entry_record_cut_calls(entry_t *entry);

/* Frees all calls without answering them or requesting actions. */
void entry_free_calls(entry_t *entry);

/* Counts the answer of another instance and relays it to the caller. */
void entry_relay_answer(entry_t *entry, void *caller_ref,
			const call_answer_t *answer);

/* Creates the membership and the state of forwarded calls. */
void entry_peers_init(entry_t *entry, const member_t *self);

void entry_peers_free(entry_t *entry);

void entry_peers_tick(entry_t *entry);

/* Sends an answer to the caller or to the instance that forwarded the call. */
void entry_send_answer(entry_t *entry, void *caller_ref,
		       const call_answer_t *answer);

/*
 * Forwards a call to the issuer of its request id. Returns FALSE if the issuer
 * is not a member or the call was itself forwarded; its outcome is then
 * unknown. max_remaining limits the time to the deadline, 0 if the method is
 * not known here.
 */
gboolean entry_forward_call(entry_t *entry, const call_request_t *request,
			    const request_id_t *id, GTimeSpan max_remaining);

/* Cancels a call forwarded for this caller. Returns FALSE if there is none. */
gboolean entry_cancel_forwarded_call(entry_t *entry, void *caller_ref);

/* Ends all forwarded calls with an unknown outcome. */
void entry_end_forwarded_calls(entry_t *entry);

/* TRUE while a call that this instance has forwarded has no answer. */
gboolean entry_has_forwarded_calls(const entry_t *entry);

#endif
