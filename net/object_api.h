/*
 * Asynchronous client of the platform's object API: versioned objects,
 * conditional updates, watches and instance lists. No function blocks. The
 * result of a call is passed to its callback, exactly once unless the call is
 * cancelled or the client is freed. After a call has timed out, calls use new
 * connections until one of them is answered.
 */
#ifndef CATK_OBJECT_API_H
#define CATK_OBJECT_API_H

#include <glib.h>

#include "lib/common/counters.h"

typedef struct object_api object_api_t;

/* A call in flight. Valid until its callback is called or it is cancelled. */
typedef struct object_api_call object_api_call_t;

typedef enum {
	OBJECT_API_OK,
	OBJECT_API_NOT_FOUND, /* no object has this key */
	OBJECT_API_UNCHANGED, /* a watch ended without a newer version */
	OBJECT_API_CONFLICT, /* the version differs from if_version */
	OBJECT_API_RATE_LIMITED, /* rejected without any effect */
	/* No answer or an unexpected one: a write may have taken effect. */
	OBJECT_API_UNAVAILABLE
} object_api_status_t;

typedef struct {
	object_api_status_t status;
	guint64 version; /* with OBJECT_API_OK and OBJECT_API_CONFLICT */
	/* Of a read, with OBJECT_API_OK. Valid only during the callback. */
	GBytes *body;
} object_api_result_t;

typedef void (*object_api_done_fn_t)(void *ctx,
				     const object_api_result_t *result);

/*
 * address is "ip:port". client_name identifies this process in the call
 * counters of the platform. timeout is the time limit of a call, to which a
 * watch adds its wait. counters must outlive the client. Free with
 * object_api_free().
 */
object_api_t *object_api_new(const char *address, const char *client_name,
			     GTimeSpan timeout, counters_t *counters);

/* Drops calls in flight without a callback. NULL is allowed. */
void object_api_free(object_api_t *api);

/* Ends a call without a callback. A write may still take effect. */
void object_api_cancel(object_api_call_t *call);

/* Reads an object. */
object_api_call_t *object_api_get(object_api_t *api, const char *key,
				  object_api_done_fn_t done, void *ctx);

/*
 * Long poll: answered when the version of the object exceeds after, or when wait
 * has passed; with wait 0 at once. A watch without an answer after wait plus the
 * timeout ends with OBJECT_API_UNAVAILABLE; its connection is closed and counted
 * as silent.
 */
object_api_call_t *object_api_watch(object_api_t *api, const char *key,
				    guint64 after, GTimeSpan wait,
				    object_api_done_fn_t done, void *ctx);

/*
 * Replaces the object if its version is if_version; 0 creates the object if it
 * does not exist. value is referenced.
 */
object_api_call_t *object_api_put(object_api_t *api, const char *key,
				  guint64 if_version, GBytes *value,
				  object_api_done_fn_t done, void *ctx);

/* Reads the instance list of a service. The body of the result is JSON. */
object_api_call_t *object_api_get_instances(object_api_t *api,
					    const char *service,
					    object_api_done_fn_t done,
					    void *ctx);

#endif
