/*
 * Client of the platform's object API: versioned objects, conditional
 * updates, watches and instance lists. All functions return at once; the
 * result comes through a callback, exactly once unless the call is cancelled or
 * the client is freed. After a call that timed out, calls use new connections
 * until one is answered.
 */
#ifndef CATK_OBJECT_API_H
#define CATK_OBJECT_API_H

#include <glib.h>

#include "lib/common/counters.h"

typedef struct object_api object_api_t;

/* A call in flight; valid until its callback is called or it is cancelled. */
typedef struct object_api_call object_api_call_t;

typedef enum {
	OBJECT_API_OK,
	OBJECT_API_NOT_FOUND, /* no object has this key */
	OBJECT_API_UNCHANGED, /* a watch ended without a newer version */
	OBJECT_API_CONFLICT, /* a conditional update lost */
	OBJECT_API_RATE_LIMITED,
	OBJECT_API_UNAVAILABLE /* no answer: a write may have taken effect */
} object_api_status_t;

typedef struct {
	object_api_status_t status;
	guint64 version; /* with OK and CONFLICT */
	GBytes *body; /* of a read, with OK; the callee references it */
} object_api_result_t;

typedef void (*object_api_done_fn_t)(void *ctx,
				     const object_api_result_t *result);

/*
 * address is "ip:port"; client names this process for the platform's call
 * counters; timeout bounds a call that does not wait. Free with
 * object_api_free().
 */
object_api_t *object_api_new(const char *address, const char *client,
			     GTimeSpan timeout, counters_t *counters);

/* Drops calls in flight without a callback. NULL is allowed. */
void object_api_free(object_api_t *api);

/* Ends a call without a callback; a write may still take effect. */
void object_api_cancel(object_api_call_t *call);

/* Reads an object. */
object_api_call_t *object_api_get(object_api_t *api, const char *key,
				  object_api_done_fn_t done, void *ctx);

/*
 * Waits until the object's version exceeds after, at most wait long; 0 asks
 * without waiting. A watch without an answer at wait plus the timeout is
 * closed with its connection, counted as silent and ends as unavailable.
 */
object_api_call_t *object_api_watch(object_api_t *api, const char *key,
				    guint64 after, GTimeSpan wait,
				    object_api_done_fn_t done, void *ctx);

/*
 * Replaces the object when its version is if_version; 0 creates it. value is
 * referenced.
 */
object_api_call_t *object_api_put(object_api_t *api, const char *key,
				  guint64 if_version, GBytes *value,
				  object_api_done_fn_t done, void *ctx);

/* Reads the instance list of a service. The body is the JSON answer. */
object_api_call_t *object_api_get_instances(object_api_t *api,
					    const char *service,
					    object_api_done_fn_t done,
					    void *ctx);

#endif
