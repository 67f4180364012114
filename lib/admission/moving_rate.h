/* Rate of events over a sliding window of time. */
#ifndef CATK_MOVING_RATE_H
#define CATK_MOVING_RATE_H

#include <glib.h>

/* Short enough to follow a flood, long enough for some tens of calls. */
#define MOVING_RATE_WINDOW (500 * G_TIME_SPAN_MILLISECOND)

/* Zero-initialised: no event yet. */
typedef struct {
	GTimeSpan window_start;
	guint current; /* events since window_start */
	guint previous; /* events of the window before */
} moving_rate_t;

void moving_rate_add(moving_rate_t *rate, GTimeSpan now);

/* Events per second. */
double moving_rate_per_second(const moving_rate_t *rate, GTimeSpan now);

#endif
