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
	char address[UPSTREAM_ADDRESS_MAX + 1];
	GTimeSpan started;
} attempt_t;

/* One connection or peer that waits for the answer. */
typedef struct call_waiter {
	TAILQ_ENTRY(call_waiter) link;
	void *caller_ref; /* given back with the answer */
} call_waiter_t;

/* Attributes are copied at admission; a new configuration leaves them. */
typedef struct call {
	TAILQ_ENTRY(call) by_deadline;
	admission_item_t queue;
	char *service;
	char *method;
	char *caller;
	GBytes *body;
	GTimeSpan deadline;
	gboolean idempotent;
	gboolean is_retry; /* the caller retries: no further retry here */
	gboolean has_id;
	guint64 sequence; /* of the request id, when has_id */
	guint attempts_made;
	gboolean may_have_run; /* an attempt ended without proof */
	char last_address[UPSTREAM_ADDRESS_MAX + 1];
	TAILQ_HEAD(attempt_list, attempt) attempts; /* in flight */
	TAILQ_HEAD(call_waiter_list, call_waiter) waiters;
} call_t;

typedef struct {
	const char *service;
	const schema_method_t *method;
	const char *caller;
	GBytes *body; /* referenced */
	GTimeSpan deadline; /* instant */
	gboolean is_retry; /* an attempt above the caller's first */
} call_attributes_t;

/* Copies the attributes. Free with call_free(). */
call_t *call_new(const call_attributes_t *attributes);

/* Frees the call with its waiters and attempts. It must not be queued. */
void call_free(call_t *call);

void call_add_waiter(call_t *call, void *caller_ref);

/* Removes a waiter. FALSE when caller_ref does not wait for this call. */
gboolean call_remove_waiter(call_t *call, const void *caller_ref);

/* Records the start of an attempt; the call owns the result. */
attempt_t *call_start_attempt(call_t *call, guint64 id, const char *address,
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
 * whether the retry limits leave room. A non-idempotent call is retried only
 * when every attempt was proved not to have run: a timeout, reset or close
 * proves nothing.
 */
call_step_t call_end_attempt(call_t *call, attempt_t *attempt,
			     attempt_end_t end, gboolean retry_allowed,
			     GTimeSpan now);

#endif
