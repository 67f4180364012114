/*
 * Admission policy: which waiting call is next, which one gives up its place
 * in a full queue, and how long an arrival would wait. One file a policy.
 */
#ifndef CATK_ADMISSION_POLICY_H
#define CATK_ADMISSION_POLICY_H

#include "lib/admission/lane.h"

/* What a policy sees of the queue. */
typedef struct {
	admission_lane_t lanes[SCHEMA_PRIORITIES_MAX];
	guint in_flight[SCHEMA_PRIORITIES_MAX]; /* attempts by priority */
	guint in_flight_total;
	guint floor_percent[SCHEMA_PRIORITIES_MAX];
	guint waiting; /* over all lanes */
	guint queue_max; /* bound of waiting */
	double limit; /* attempts to keep in flight */
} admission_view_t;

typedef struct {
	/* The next item to start, NULL when none may start now. */
	admission_item_t *(*next)(void *ctx, const admission_view_t *view);
	/* An attempt of the priority started. */
	void (*started)(void *ctx, const admission_view_t *view, guint priority,
			GTimeSpan now);
	/* The upstream refused an attempt of the priority before start. */
	void (*refused)(void *ctx, guint priority);
	/* The item that an arrival displaces from a full queue, or NULL. */
	admission_item_t *(*displace)(void *ctx, const admission_view_t *view,
				      guint priority);
	/* Seconds until an arrival starts, at a rate in calls per second. */
	double (*wait)(void *ctx, const admission_view_t *view, guint priority,
		       double rate, GTimeSpan now);
	void (*free)(void *ctx);
	void *ctx;
} admission_policy_ops_t;

/* First come, first served over all priorities; the baseline. */
admission_policy_ops_t admission_policy_fifo(void);

/* Strict priority with a floor for each priority. */
admission_policy_ops_t admission_policy_priority(void);

#endif
