/* State of an entry, shared by the files of this folder. */
#ifndef CATK_ENTRY_INTERNAL_H
#define CATK_ENTRY_INTERNAL_H

#include "lib/admission/retry_budget.h"
#include "lib/call/call.h"
#include "lib/entry/entry.h"
#include "lib/membership/fleet_size.h"
#include "lib/route/route_deadline.h"
#include "lib/route/route_split.h"

/* Time between two rounds of expiry and probing. */
#define ENTRY_HOUSEKEEPING_INTERVAL (50 * G_TIME_SPAN_MILLISECOND)

typedef struct entry_peers entry_peers_t;

typedef struct entry_service {
	TAILQ_ENTRY(entry_service) link;
	upstream_t *upstream;
	admission_t *admission;
	gboolean declared; /* in the schema in force */
	retry_budget_t retries;
	TAILQ_HEAD(measuring_list, call) measuring; /* first one ends first */
	GTimeSpan next_refresh; /* of the reports that waiting calls need */
	double work[SCHEMA_PRIORITIES_MAX]; /* usual service time, 0: none */
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
	guint resolve_turn; /* rotates the addresses handed out */
	request_ids_t *ids;
	TAILQ_HEAD(entry_service_list, entry_service) services;

	TAILQ_HEAD(call_list, call) calls; /* earliest deadline first */
	GHashTable *calls_by_sequence; /* request id sequence -> call_t */
	GHashTable *calls_by_attempt; /* attempt id -> call_t */
	GHashTable *calls_by_ref; /* caller_ref -> call_t */
	guint64 next_attempt;
	catalogue_t *catalogue;
	subscription_t *subscription;
	GTimeSpan next_sources; /* of the choice of sources */
	gboolean logged_reading; /* of the store */
	gboolean store_called; /* there is a store of endpoints */
	gboolean store_answers; /* the last call of this instance to the store */
	route_splits_t *splits;
	route_deadlines_t *deadlines;

	fleet_size_t fleet; /* instances */
	fleet_size_t fleet_near; /* instances of this data centre */
	GTimeSpan next_housekeeping;
	gboolean leaving;
	gboolean freeing; /* no action is taken any more */
	GTimeSpan left; /* instant of entry_shutdown() */
};

static inline GTimeSpan entry_now(const entry_t *entry)
{
	return catk_clock_now(entry->clock);
}

/* Sends to the peer at the address, or on a connection; sets the version. */
void entry_send_to_peer(entry_t *entry, const char *address,
			peer_message_t *message);
void entry_reply_to_peer(entry_t *entry, guint64 connection,
			 peer_message_t *message);

void entry_subscription_init(entry_t *entry);
void entry_subscription_free(entry_t *entry);

/* Renews subscriptions and reports changes of endpoints. */
void entry_subscription_tick(entry_t *entry);

/* Messages of subscribers and sources. */
void entry_take_subscribe(entry_t *entry, guint64 connection,
			  const peer_subscribe_t *subscribe);
void entry_take_endpoints(entry_t *entry, const peer_endpoints_t *endpoints);

/* The service of that name, or NULL. */
entry_service_t *entry_find_service(entry_t *entry, const char *name);

/* Starts waiting calls for which an endpoint has room. */
void entry_dispatch(entry_t *entry, entry_service_t *service);

/*
 * Asks endpoints for their load, then queues the call. A call that is not
 * routed is queued at once.
 */
void entry_measure(entry_t *entry, entry_service_t *service, call_t *call);

/*
 * Logs an event about a call: what it is, how long it has taken and, when error
 * is not NULL, how it ended.
 */
void entry_log_call(const entry_t *entry, const char *event, const call_t *call,
		    const catk_error_t *error);

/* Logs the start of the call's last attempt with what decided its place. */
void entry_log_start(const entry_t *entry, const entry_service_t *service,
		     const call_t *call, const endpoint_t *endpoint);

/* Logs the end of an attempt. */
void entry_log_end(const entry_t *entry, const call_t *call,
		   const attempt_t *attempt, const attempt_result_t *result);

/* Logs what an operator needs to know of a new belief. */
void entry_log_config(const entry_t *entry);
void entry_log_endpoints(const entry_t *entry, const entry_service_t *service,
			 const endpoint_info_t *infos, gsize count);

/*
 * TRUE for one of ENTRY_CONFIG_WATCHERS live instances of its data centre that
 * rank first by a hash of their names. NULL stands for this instance.
 */
gboolean entry_is_watcher(const entry_t *entry, const member_t *member);

/*
 * Instances that are live, this one included; those of one data centre unless
 * it is NULL.
 */
guint entry_count_live(const entry_t *entry, const char *data_centre);

/*
 * When the caller of a refused routed call should come back. soon tells that
 * room is not what lacked.
 */
GTimeSpan entry_return_time(entry_t *entry, const entry_service_t *service,
			    const call_t *call, gboolean soon);

/* A report has come, or none will. */
void entry_measure_take(entry_t *entry, entry_service_t *service,
			const char *endpoint);

/* Ends waits for reports that have lasted too long; asks for waiting calls. */
void entry_measure_tick(entry_t *entry, entry_service_t *service);

/* Instant at which entry_measure_tick() has something to do. */
GTimeSpan entry_measure_wakeup(const entry_service_t *service);

/* The call waits for reports no longer. */
void entry_measure_end(entry_service_t *service, call_t *call);

/* What the call needs of an endpoint. */
upstream_criteria_t entry_need_of(const entry_service_t *service,
				  const call_t *call, GTimeSpan now);

/* Learns the usual service time from an answer. */
void entry_learn_work(entry_service_t *service, const call_t *call,
		      const char *endpoint, const attempt_result_t *result,
		      GTimeSpan latency, GTimeSpan now);

/* The rule for repeating calls that is set, or the product's. */
const call_rule_t *entry_call_rule(const entry_t *entry);

/* Outcome of a call that ends now without an answer. */
outcome_t entry_outcome_of(const entry_t *entry, const call_t *call);

/* Counts and sends an error, or the answer of a call that ran. */
void entry_answer_error(entry_t *entry, void *caller_ref,
			const catk_error_t *error);
void entry_answer_success(entry_t *entry, void *caller_ref, guint status,
			  GBytes *body);

/* Links a new call into the list of calls. */
void entry_insert_call(entry_t *entry, call_t *call);

/* Makes a caller wait for the call's answer. */
void entry_add_waiter(entry_t *entry, call_t *call, void *caller_ref);

/*
 * End a call: record the outcome of its id, answer all who wait, free it. For
 * entry_finish_refused() the outcome of error is set by the call's attempts.
 */
void entry_finish_with_error(entry_t *entry, call_t *call,
			     const catk_error_t *error);
void entry_finish_with_answer(entry_t *entry, call_t *call,
			      const attempt_result_t *result);
void entry_finish_refused(entry_t *entry, call_t *call, catk_error_t *error);
void entry_finish_expired(entry_t *entry, call_t *call);

/* Ends the calls whose deadline has passed. */
void entry_expire_calls(entry_t *entry);

/* Frees all calls without an answer. */
void entry_drop_calls(entry_t *entry);

/* Counts an answer that another instance gave and passes it on. */
void entry_pass_answer(entry_t *entry, void *caller_ref,
		       const call_answer_t *answer);

/* Creates the membership and the state of forwarded calls. */
void entry_peers_init(entry_t *entry, const member_t *self);

void entry_peers_free(entry_t *entry);

void entry_peers_tick(entry_t *entry);

/* Gives an answer to the local caller or the instance that waits for it. */
void entry_send_answer(entry_t *entry, void *caller_ref,
		       const call_answer_t *answer);

/*
 * Sends a call to the issuer of its id. FALSE when there is no such instance
 * or the call was forwarded before: the outcome is unknown then. longest bounds
 * the time to the deadline, 0 when the method is not known here.
 */
gboolean entry_forward(entry_t *entry, const call_request_t *request,
		       const request_id_t *id, GTimeSpan longest);

/* FALSE when no forwarded call has this caller. */
gboolean entry_cancel_forward(entry_t *entry, void *caller_ref);

/* TRUE while a local caller waits for another instance. */
gboolean entry_has_forwards(const entry_t *entry);

#endif
