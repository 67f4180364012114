/* Event rate over a sliding time window, approximated by two fixed windows. */
#ifndef CATK_MOVING_RATE_H
#define CATK_MOVING_RATE_H

#include <glib.h>

/* Short enough to follow sudden floods, long enough for some tens of calls. */
#define MOVING_RATE_WINDOW (500 * G_TIME_SPAN_MILLISECOND)

/* Zero-initialise it before use. */
typedef struct {
	GTimeSpan window_start;
	guint current; /* events since window_start */
	guint previous; /* events in the window before that */
} moving_rate_t;

/* Records an event. */
void moving_rate_add(moving_rate_t *rate, GTimeSpan now);

/* Returns the events per second. */
double moving_rate_per_second(const moving_rate_t *rate, GTimeSpan now);

#endif
