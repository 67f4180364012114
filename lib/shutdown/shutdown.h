/*
 * The graceful shutdown of one instance: when it must end, which calls may still
 * be started until then, and what became of the calls that the instance had or
 * received after its start.
 */
#ifndef CATK_SHUTDOWN_H
#define CATK_SHUTDOWN_H

#include "lib/common/clock.h"

typedef enum {
	SHUTDOWN_NONE, /* none has started */
	SHUTDOWN_LEAVING, /* callers are told to use other instances */
	SHUTDOWN_COMPLETE /* only answers are left to be written */
} shutdown_phase_t;

/* Calls since the start of the shutdown. */
typedef struct {
	guint64 open_at_start; /* had no answer when it started */
	guint64 received;
	guint64 refused; /* answered as not run */
	guint64 answered; /* with any other answer */
	guint64 cancelled; /* by their callers */
	guint64 cut; /* had a caller and no answer when the process ended */
} shutdown_calls_t;

typedef struct {
	shutdown_phase_t phase;
	GTimeSpan started; /* instant, valid unless SHUTDOWN_NONE */
	GTimeSpan end; /* instant at which the shutdown is forced */
	gboolean forced; /* it was complete only at its end */
	shutdown_calls_t calls;
} shutdown_t;

/* A call about which a rule decides. */
typedef struct {
	GTimeSpan deadline; /* instant by which it is answered in any case */
	GTimeSpan service_time; /* usual duration of an attempt, 0 if unknown */
} shutdown_call_t;

/*
 * A shutdown rule: decides during SHUTDOWN_LEAVING whether a call that has not
 * run is started or queued, for the first time or again, or refused.
 */
typedef struct shutdown_rule {
	gboolean (*may_start)(void *ctx, const shutdown_t *shutdown,
			      const shutdown_call_t *call, GTimeSpan now);
	void *ctx;
} shutdown_rule_t;

/*
 * The rule in production: a call is started only if its deadline does not lie
 * behind the end of the shutdown. Each call that is started then has its answer
 * before the process ends, however long its endpoint takes.
 */
extern const shutdown_rule_t shutdown_rule_by_deadline;

/* "none", "leaving" or "complete". */
const char *shutdown_phase_name(shutdown_phase_t phase);

/*
 * Starts the shutdown, which lasts at most max. Returns FALSE if it has started
 * before; its end does not change then.
 */
gboolean shutdown_start(shutdown_t *shutdown, GTimeSpan max, GTimeSpan now);

/*
 * Ends the phase in which calls are started. Returns FALSE if the shutdown is
 * not in that phase.
 */
gboolean shutdown_complete(shutdown_t *shutdown, GTimeSpan now);

/*
 * TRUE if a call may be started or queued. Before a shutdown every call may, and
 * none once it is complete.
 */
gboolean shutdown_may_start(const shutdown_t *shutdown,
			    const shutdown_rule_t *rule,
			    const shutdown_call_t *call, GTimeSpan now);

/* Time since the start, -1 if the shutdown has not started. */
GTimeSpan shutdown_elapsed(const shutdown_t *shutdown, GTimeSpan now);

#endif
