/*
 * The waiting calls of one priority: a sub-queue per caller, served round
 * robin, earliest deadline first inside a caller.
 */
#ifndef CATK_ADMISSION_LANE_H
#define CATK_ADMISSION_LANE_H

#include "lib/admission/admission.h"

/* One caller with waiting calls; freed with its last one. */
typedef struct lane_caller {
	TAILQ_ENTRY(lane_caller) link;
	char *name;
	guint length;
	TAILQ_HEAD(caller_items, admission_item) items;
} lane_caller_t;

typedef struct admission_lane {
	TAILQ_HEAD(lane_callers, lane_caller) callers; /* next one first */
	TAILQ_HEAD(lane_arrivals, admission_item) arrivals; /* oldest first */
	GHashTable *by_name; /* name -> lane_caller_t */
	guint length;
} admission_lane_t;

void lane_init(admission_lane_t *lane);

/* Unlinks all items. */
void lane_clear(admission_lane_t *lane);

/* Appends an item: the caller takes its turn after the others. */
void lane_add(admission_lane_t *lane, admission_item_t *item);

/* Puts an item back: its caller has the next turn. */
void lane_put_back(admission_lane_t *lane, admission_item_t *item);

void lane_remove(admission_lane_t *lane, admission_item_t *item);

/* Removes an item that is dispatched: ends the turn of its caller. */
void lane_take(admission_lane_t *lane, admission_item_t *item);

/* The item whose turn it is, NULL when the lane is empty. */
admission_item_t *lane_next(const admission_lane_t *lane);

/* The item that arrived last. The lane must not be empty. */
admission_item_t *lane_newest(const admission_lane_t *lane);

/* Waiting calls of a caller. */
guint lane_caller_length(const admission_lane_t *lane, const char *caller);

/* The last call of the caller with the most calls. NULL when empty. */
admission_item_t *lane_last_of_longest(const admission_lane_t *lane);

#endif
