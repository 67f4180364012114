/*
 * State of one request from admission to its answer: the connections that wait
 * for the answer, the attempts at endpoints, and the decision that follows the
 * end of an attempt.
 */
#ifndef CATK_CALL_H
#define CATK_CALL_H

#include "lib/admission/admission.h"
#include "lib/quota/quota.h"
#include "lib/upstream/upstream.h"

/* One transmission of the request to one endpoint. */
typedef struct attempt {
	TAILQ_ENTRY(attempt) link; /* of the call's attempts */
	guint64 id;
	char endpoint[UPSTREAM_ID_MAX + 1]; /* id */
	char address[UPSTREAM_ADDRESS_MAX + 1];
	GTimeSpan started; /* instant */
	/*
	 * An earlier attempt of the call went to the same address. If the
	 * server there sends its earlier answer again, on the connection of the
	 * earlier attempt, the request id cannot tell it from the answer to
	 * this one. Two endpoint ids have one address when an endpoint was
	 * started again under a new id.
	 */
	gboolean needs_new_connection;
} attempt_t;

TAILQ_HEAD(attempt_list, attempt);

/* One client connection or peer instance that waits for the answer. */
typedef struct call_waiter {
	TAILQ_ENTRY(call_waiter) link;
	void *caller_ref; /* opaque; passed back with the answer */
} call_waiter_t;

/* Endpoints that are probed for their load before one call is dispatched. */
#define CALL_PROBES_MAX 8

/* The load reports that a call waits for before an endpoint is chosen. */
typedef struct {
	TAILQ_ENTRY(call) link; /* linked while active */
	gboolean active;
	upstream_scope_t scope;
	GTimeSpan until; /* instant at which the wait ends */
	char pending[CALL_PROBES_MAX][UPSTREAM_ID_MAX + 1]; /* endpoint ids */
	guint pending_count;
} call_load_probes_t;

/*
 * Attributes are copied at admission, so that a change of the configuration
 * does not affect calls that are already admitted.
 */
typedef struct call {
	TAILQ_ENTRY(call) by_deadline;
	admission_item_t queue;
	/* Credit of the rate limit of its organisation. */
	quota_item_t quota;
	char *service;
	char *method;
	char *caller;
	/*
	 * The key that the caller sent, NULL for none. It is a secret: kept to
	 * be checked again before each attempt, never logged or dumped.
	 */
	char *credential;
	gboolean needs_key; /* its route is not public */
	/* Of the key when it was last checked, NULL for none. */
	char *organisation;
	GBytes *body;
	GTimeSpan admitted; /* instant */
	GTimeSpan deadline; /* instant */
	gboolean idempotent;
	gboolean has_id;
	guint64 sequence; /* of the request id, when has_id */
	guint attempts_started; /* including those that were not sent */
	/*
	 * Of these, could not be sent and do not count towards attempts_max:
	 * no endpoint saw them.
	 */
	guint attempts_uncounted;
	guint caller_attempt; /* as counted by the caller, from 1 */
	gboolean may_have_run; /* an attempt ended without proof of not_run */
	char last_endpoint[UPSTREAM_ID_MAX + 1]; /* id */
	char *log_name; /* identifies the request in logs */
	gboolean offered; /* to the queue of its service, which has counted it */
	gboolean routed; /* matched a route: forwarded without translation */
	GTimeSpan objective; /* instant, 0 for none */
	GTimeSpan ready; /* instant at which its first placing began */
	/* Instant from which endpoints in other data centres are allowed. */
	GTimeSpan remote_allowed_at;
	/* Instant from which an outdated load report is sufficient. */
	GTimeSpan stale_report_allowed_at;
	/* Of the endpoint at the start of the last attempt; 0: unknown. */
	double start_slowdown_percent;
	gboolean caller_retried; /* the caller was refused before */
	guint attempts_max; /* at endpoints; 0 for the entry's own limit */
	call_load_probes_t load_probes;
	struct attempt_list attempts; /* in flight */
	struct attempt_list ended_attempts;
	TAILQ_HEAD(call_waiter_list, call_waiter) waiters;
} call_t;

typedef struct {
	const char *service;
	const schema_method_t *method;
	const char *caller;
	GBytes *body; /* referenced */
	GTimeSpan admitted; /* instant */
	GTimeSpan deadline; /* instant */
	guint caller_attempt; /* at least 1 */
	const schema_route_t *route; /* NULL for a call by service and method */
	GTimeSpan elapsed; /* since the caller's first attempt */
	const char *log_name; /* identifies the request in logs; may be NULL */
	const char *credential; /* the caller's key, NULL for none */
	const organisation_t *organisation; /* of the key, NULL for none */
} call_attributes_t;

/*
 * A retry rule: decides whether a call without an answer and without an attempt
 * in flight is retried, and which outcome it has if it ends.
 */
typedef struct retry_rule {
	/* TRUE when the call may be retried. */
	gboolean (*may_retry)(void *ctx, const call_t *call);
	/* The outcome to report when the call ends without an answer. */
	outcome_t (*outcome)(void *ctx, const call_t *call);
	/* TRUE when request ids are checked, recorded and sealed. */
	gboolean records_request_ids;
	void *ctx;
} retry_rule_t;

/*
 * At-most-once execution of non-idempotent calls, the retry rule in production.
 * Such a call is retried only with proof that no earlier attempt was executed;
 * a timeout, a reset or a closed connection is no proof. The outcome is
 * OUTCOME_NOT_RUN only with that proof.
 */
extern const retry_rule_t retry_rule_at_most_once;

/* Copies attributes. Free with call_free(). */
call_t *call_new(const call_attributes_t *attributes);

/* Sets the organisation of the call's key, NULL for none. */
void call_set_organisation(call_t *call, const char *name);

/* Frees the call with its waiters and attempts. It must not be queued. */
void call_free(call_t *call);

void call_add_waiter(call_t *call, void *caller_ref);

/* Removes a waiter. Returns FALSE when caller_ref is not a waiter. */
gboolean call_remove_waiter(call_t *call, const void *caller_ref);

/*
 * Records the start of an attempt at the endpoint with this id and address. The
 * call owns the result.
 */
attempt_t *call_start_attempt(call_t *call, guint64 id, const char *endpoint,
			      const char *address, GTimeSpan now);

/* The attempt in flight with this id, or NULL. */
attempt_t *call_find_attempt(const call_t *call, guint64 id);

/* Attempts that may have reached an endpoint, for attempts_max. */
guint call_attempts_counted(const call_t *call);

/* How a call continues after the end of an attempt. */
typedef enum {
	CALL_WAIT, /* another attempt is in flight */
	CALL_RETRY, /* queue the call again */
	CALL_RAN, /* return the upstream's answer to the caller */
	CALL_NOT_RUN, /* refuse the call: no attempt was executed */
	CALL_UNKNOWN /* an attempt may have been executed */
} call_step_t;

/*
 * Ends an attempt and decides how the call continues. retry_allowed is FALSE
 * when the entry forbids a retry; when it is TRUE, rule decides. The call keeps
 * the attempt until call_free(), but call_find_attempt() no longer returns it.
 */
call_step_t call_end_attempt(call_t *call, const retry_rule_t *rule,
			     attempt_t *attempt, attempt_end_t end,
			     gboolean retry_allowed, GTimeSpan now);

#endif
