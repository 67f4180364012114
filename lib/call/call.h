/*
 * One request of a caller on its way through an entry: who waits for the
 * answer, the attempts at upstreams, and what the end of an attempt means.
 */
#ifndef CATK_CALL_H
#define CATK_CALL_H

#include "lib/admission/admission.h"
#include "lib/upstream/upstream.h"

/* One sending of the request to one endpoint. */
typedef struct attempt {
	TAILQ_ENTRY(attempt) link;
	guint64 id;
	char endpoint[UPSTREAM_ID_MAX + 1]; /* id */
	GTimeSpan started;
} attempt_t;

/* One connection or peer that waits for the answer. */
typedef struct call_waiter {
	TAILQ_ENTRY(call_waiter) link;
	void *caller_ref; /* given back with the answer */
} call_waiter_t;

/* Endpoints asked for their load before one call is placed. */
#define CALL_PROBES_MAX 8

/* The reports that a call waits for before it is placed. */
typedef struct {
	TAILQ_ENTRY(call) link; /* linked while active */
	gboolean active;
	upstream_scope_t scope;
	GTimeSpan until; /* instant */
	char pending[CALL_PROBES_MAX][UPSTREAM_ID_MAX + 1];
	guint pending_count;
} call_load_probes_t;

/* Attributes are copied at admission; a new configuration leaves them. */
typedef struct call {
	TAILQ_ENTRY(call) by_deadline;
	admission_item_t queue;
	char *service;
	char *method;
	char *caller;
	GBytes *body;
	GTimeSpan admitted; /* instant */
	GTimeSpan deadline;
	gboolean idempotent;
	gboolean has_id;
	guint64 sequence; /* of the request id, when has_id */
	guint attempts_made;
	guint caller_attempt; /* the caller's own count, 1 for its first */
	gboolean may_have_run; /* an attempt ended without proof */
	char last_endpoint[UPSTREAM_ID_MAX + 1]; /* id */
	char *log_name; /* request id in log lines */
	gboolean routed; /* came over a route: sent as the caller wrote it */
	GTimeSpan objective; /* instant, 0 for none */
	GTimeSpan remote_allowed_at; /* instant from which any data centre will do */
	GTimeSpan stale_load_allowed_at; /* from which an old report will do */
	double start_slowdown_percent; /* of the last attempt, in percent; 0: unknown */
	gboolean caller_retried; /* the caller was refused before */
	guint attempts_max; /* 0 for the entry's own limit */
	guint unsent_attempts; /* attempts that could not be sent */
	call_load_probes_t load_probes;
	TAILQ_HEAD(attempt_list, attempt) attempts; /* in flight */
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
	const schema_route_t *route; /* NULL for a call by its method */
	GTimeSpan elapsed; /* since the caller's first attempt */
	const char *log_name; /* request id in log lines, NULL for none */
} call_attributes_t;

/* What may follow when a call has no answer and no attempt in flight. */
typedef struct call_rule {
	/* TRUE when the call may be sent again. */
	gboolean (*may_retry)(void *ctx, const call_t *call);
	/* The outcome to report when the call ends without an answer. */
	outcome_t (*outcome)(void *ctx, const call_t *call);
	gboolean records_request_ids; /* request ids are recorded and sealed */
	void *ctx;
} call_rule_t;

/*
 * The rule of the product. A non-idempotent call is sent again only when every
 * attempt was proved not to have run: a timeout, reset or close proves nothing.
 * The outcome is OUTCOME_NOT_RUN only with that proof.
 */
extern const call_rule_t call_rule_at_most_once;

/* Copies the attributes. Free with call_free(). */
call_t *call_new(const call_attributes_t *attributes);

/* Frees the call with its waiters and attempts. It must not be queued. */
void call_free(call_t *call);

void call_add_waiter(call_t *call, void *caller_ref);

/* Removes a waiter. FALSE when caller_ref does not wait for this call. */
gboolean call_remove_waiter(call_t *call, const void *caller_ref);

/* Records the start of an attempt; the call owns the result. */
attempt_t *call_start_attempt(call_t *call, guint64 id, const char *endpoint,
			      GTimeSpan now);

/* The attempt in flight with this id, or NULL. */
attempt_t *call_find_attempt(const call_t *call, guint64 id);

/* What follows the end of an attempt. */
typedef enum {
	CALL_WAIT, /* another attempt is in flight */
	CALL_RETRY, /* queue the call again */
	CALL_RAN, /* answer with the upstream's answer */
	CALL_NOT_RUN, /* refuse: no attempt ran */
	CALL_UNKNOWN /* an attempt may have run */
} call_step_t;

/*
 * Ends an attempt, frees it and decides what follows. retry_allowed tells
 * whether the retry limits leave room; rule has the last word.
 */
call_step_t call_end_attempt(call_t *call, const call_rule_t *rule,
			     attempt_t *attempt, attempt_end_t end,
			     gboolean retry_allowed, GTimeSpan now);

#endif
