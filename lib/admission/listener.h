/*
 * Limits of a listener of one instance against clients that respect none, and
 * the record of what it refused. Each listener may use a part of the descriptors
 * of the process; the rest is for endpoints, the store and connections to peers.
 */
#ifndef CATK_LISTENER_H
#define CATK_LISTENER_H

#include "lib/admission/body_budget.h"
#include "lib/common/counters.h"
#include "lib/common/event_log.h"

/* Percentage of the process's memory for the bodies of requests. */
#define LISTENER_BODIES_PERCENT 40
/*
 * Percentage of it for messages of peers up to the size of a configuration.
 * Clients cannot take this part.
 */
#define LISTENER_PEERS_PERCENT 5
/* Percentage of it for messages that peers have not read yet. */
#define LISTENER_PEERS_SEND_PERCENT 12

typedef enum {
	LISTENER_PROXY, /* users' requests */
	LISTENER_CALLERS, /* caller interface, operators and metrics */
	LISTENER_DIRECTORY,
	LISTENER_READINESS,
	LISTENER_PEERS,
	LISTENER_COUNT
} listener_id_t;

typedef struct {
	listener_id_t id;
	guint connections_max;
	body_budget_t *bodies; /* shared by all listeners */
	counters_t *counters;
	const event_log_t *log;
	GTimeSpan next_log; /* instant of the next log event on connections */
	guint refused; /* connections since the last log event */
	guint replaced;
} listener_t;

/* Name in log events. */
const char *listener_name(listener_id_t id);

/* Connections of a listener, of a process with so many descriptors. */
guint listener_connections_max(listener_id_t id, guint64 descriptors);

/* Initialises a listener; the pointers must outlive it. */
void listener_init(listener_t *listener, listener_id_t id, guint64 descriptors,
		   body_budget_t *bodies, counters_t *counters,
		   const event_log_t *log);

/* Records that a body of at least bytes was refused for want of room. */
void listener_body_refused(const listener_t *listener, gsize bytes);

/*
 * Records that a new connection met the limit and was refused, or replaced
 * another. Logs at most once a second.
 */
void listener_connection_limited(listener_t *listener, gboolean replaced,
				 GTimeSpan now);

#endif
