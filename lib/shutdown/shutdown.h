/*
 * The graceful shutdown of one instance: when it must end, and what became of
 * the calls that the instance had or received after its start.
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
	guint64 cut; /* had a caller and no answer when the process ended */
} shutdown_calls_t;

typedef struct {
	shutdown_phase_t phase;
	GTimeSpan started; /* instant, valid unless SHUTDOWN_NONE */
	GTimeSpan end; /* instant at which the shutdown is forced */
	shutdown_calls_t calls;
} shutdown_t;

/* "none", "leaving" or "complete". */
const char *shutdown_phase_name(shutdown_phase_t phase);

/*
 * Starts the shutdown, which lasts at most max. Returns FALSE if it has started
 * before; its end does not change then.
 */
gboolean shutdown_start(shutdown_t *shutdown, GTimeSpan max, GTimeSpan now);

/* Time since the start, -1 if the shutdown has not started. */
GTimeSpan shutdown_elapsed(const shutdown_t *shutdown, GTimeSpan now);

#endif
