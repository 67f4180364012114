/*
 * Queue of the waiting calls of one priority: one sub-queue per caller. Callers
 * are served round robin, the calls of a caller earliest deadline first.
 */
#ifndef CATK_ADMISSION_LANE_H
#define CATK_ADMISSION_LANE_H

#include "lib/admission/admission.h"

/* A caller with waiting calls; freed when the last of them is removed. */
typedef struct lane_caller {
	TAILQ_ENTRY(lane_caller) link;
	char *name;
	guint length;
	TAILQ_HEAD(caller_items, admission_item) items;
} lane_caller_t;

typedef struct admission_lane {
	TAILQ_HEAD(lane_callers, lane_caller) callers; /* next to serve first */
	TAILQ_HEAD(lane_arrivals, admission_item) arrivals; /* oldest first */
	GHashTable *by_name; /* name -> lane_caller_t */
	guint length;
} admission_lane_t;

void lane_init(admission_lane_t *lane);

/* Unlinks all items and frees the memory of the lane. */
void lane_clear(admission_lane_t *lane);

/* Adds an item. A caller without waiting calls is served after all others. */
void lane_add(admission_lane_t *lane, admission_item_t *item);

/* Adds an item that was dispatched before, and serves its caller next. */
void lane_requeue(admission_lane_t *lane, admission_item_t *item);

void lane_remove(admission_lane_t *lane, admission_item_t *item);

/* Removes an item to dispatch it; its caller is served after all others. */
void lane_dequeue(admission_lane_t *lane, admission_item_t *item);

/* The next item to dispatch, NULL if the lane is empty. */
admission_item_t *lane_next(const admission_lane_t *lane);

/* The item that arrived last. The lane must not be empty. */
admission_item_t *lane_newest(const admission_lane_t *lane);

/* Number of waiting calls of a caller. */
guint lane_caller_length(const admission_lane_t *lane, const char *caller);

/*
 * The call with the latest deadline of the caller that has the most waiting
 * calls. NULL if the lane is empty.
 */
admission_item_t *lane_last_of_longest_caller(const admission_lane_t *lane);

#endif
