/*
 * A number of instances that others must not be more than: the highest count of
 * the last FLEET_SIZE_WINDOW. What all instances together may do is divided by
 * it, and instances that are out of reach go on doing their part.
 */
#ifndef CATK_FLEET_SIZE_H
#define CATK_FLEET_SIZE_H

#include "lib/common/clock.h"

/* Regions part for minutes; a count that stays lower is believed then. */
#define FLEET_SIZE_WINDOW (5 * G_TIME_SPAN_MINUTE)

typedef struct {
	guint highest;
	GTimeSpan seen; /* instant of the last count that was as high */
} fleet_size_t;

/* Takes the present count; returns the number to divide by. */
guint fleet_size_update(fleet_size_t *size, guint count, GTimeSpan now);

#endif
