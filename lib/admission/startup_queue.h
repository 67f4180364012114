/*
 * Requests that arrive before the first configuration of an instance. When all
 * instances of a fleet start together, their callers arrive at once, while the
 * configuration is known within a fraction of a second. Refused callers would
 * use up their retries in that time.
 *
 * Load that it answers: a whole fleet that returns from a loss of power, with
 * all callers of the outage waiting (docs/design/fleet-start.md).
 */
#ifndef CATK_STARTUP_QUEUE_H
#define CATK_STARTUP_QUEUE_H

#include <glib.h>

#include "lib/common/intrusive.h"

/* Requests that wait at once; their bodies are limited by the front end. */
#define STARTUP_QUEUE_MAX 1000
/*
 * Time after its start within which an instance usually gets a configuration. A
 * request waits until then at most; later ones are refused at once.
 */
#define STARTUP_WAIT_MAX (1 * G_TIME_SPAN_SECOND)

/* A waiting request. Strings are copied, body is referenced. */
typedef struct startup_request {
	TAILQ_ENTRY(startup_request) link;
	char *host;
	char *path;
	char *name; /* NULL for none */
	char *credential; /* a secret, NULL for none */
	GBytes *body;
	GTimeSpan deadline; /* instant, 0 for none */
	void *caller_ref;
} startup_request_t;

typedef struct {
	GTimeSpan end; /* instant from which requests are refused */
	guint count;
	TAILQ_HEAD(startup_request_list, startup_request) requests;
} startup_queue_t;

/* Initialises an empty queue at the start of the instance. */
void startup_queue_init(startup_queue_t *queue, GTimeSpan now);

/* Frees the requests that wait. */
void startup_queue_clear(startup_queue_t *queue);

/*
 * Adds a request; attributes is copied. Returns FALSE if it must be refused at
 * once, because the queue is full or the time to wait is over.
 */
gboolean startup_queue_add(startup_queue_t *queue,
			   const startup_request_t *attributes, GTimeSpan now);

/* Unlinks and returns the oldest request, NULL if there is none. */
startup_request_t *startup_queue_take(startup_queue_t *queue);

/*
 * Like startup_queue_take(), for a request that must not wait any longer: its
 * deadline has passed, or the time to wait is over.
 */
startup_request_t *startup_queue_take_expired(startup_queue_t *queue,
					      GTimeSpan now);

/* Removes the request of a caller. Returns FALSE if there is none. */
gboolean startup_queue_remove(startup_queue_t *queue, const void *caller_ref);

/* Frees a request that was taken. */
void startup_request_free(startup_request_t *request);

#endif
