/*
 * Estimates the number of instances by which fleet-wide limits are divided: the
 * highest count within FLEET_SIZE_WINDOW. The highest count is used because
 * instances that became unreachable continue to use their share of a limit.
 */
#ifndef CATK_FLEET_SIZE_H
#define CATK_FLEET_SIZE_H

#include "lib/common/clock.h"

/*
 * Regions can be partitioned for minutes. A count that stays lower for longer
 * is taken as the new size.
 */
#define FLEET_SIZE_WINDOW (5 * G_TIME_SPAN_MINUTE)

typedef struct {
	guint highest;
	GTimeSpan highest_seen_at; /* last time that the count reached it */
} fleet_size_t;

/* Records the current count and returns the number to divide by. */
guint fleet_size_update(fleet_size_t *size, guint count, GTimeSpan now);

#endif
