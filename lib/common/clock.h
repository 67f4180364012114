/*
 * Interface of a monotonic clock. Instants and durations are GTimeSpan, GLib's
 * type for microseconds. Code under lib/ reads the time only through this
 * interface.
 */
#ifndef CATK_CLOCK_H
#define CATK_CLOCK_H

#include <glib.h>

/* The instant of a timer that is not set. */
#define CATK_NEVER G_MAXINT64

typedef struct {
	/* Microseconds since an arbitrary origin; never decreases. */
	GTimeSpan (*now)(void *ctx);
	void *ctx;
} catk_clock_t;

static inline GTimeSpan catk_clock_now(const catk_clock_t *clock)
{
	return clock->now(clock->ctx);
}

#endif
