/*
 * Interface of admission policies. A policy decides which waiting call is
 * dispatched next and which one is displaced from a full queue, and estimates
 * the wait of a new call.
 */
#ifndef CATK_ADMISSION_POLICY_H
#define CATK_ADMISSION_POLICY_H

#include "lib/admission/lane.h"

/* State of the queue that policies base their decisions on. */
typedef struct {
	admission_lane_t lanes[SCHEMA_PRIORITIES_MAX];
	guint in_flight[SCHEMA_PRIORITIES_MAX]; /* attempts by priority */
	guint in_flight_total;
	guint floor_percent[SCHEMA_PRIORITIES_MAX];
	guint waiting; /* in all lanes */
	guint queue_max; /* upper bound of waiting */
	double limit; /* of attempts in flight */
} admission_state_t;

typedef struct {
	/* Returns the next item to dispatch, NULL if none may start now. */
	admission_item_t *(*next)(void *ctx, const admission_state_t *state);
	/* Records the start of an attempt of this priority. */
	void (*started)(void *ctx, const admission_state_t *state,
			guint priority, GTimeSpan now);
	/* Records that the upstream refused an attempt of this priority. */
	void (*refused)(void *ctx, guint priority);
	/*
	 * Returns the item that a new call of this priority displaces from a
	 * full queue, NULL to refuse the new call.
	 */
	admission_item_t *(*displace)(void *ctx, const admission_state_t *state,
				      guint priority);
	/*
	 * Estimates the seconds until a new call of this priority starts, if
	 * the service completes rate calls per second.
	 */
	double (*expected_wait)(void *ctx, const admission_state_t *state,
				guint priority, double rate, GTimeSpan now);
	void (*free)(void *ctx);
	void *ctx;
} admission_policy_ops_t;

/* First in, first out for all priorities and callers; the baseline. */
admission_policy_ops_t admission_policy_fifo(void);

/* Strict priority with a floor, a minimum share of dispatches, for each. */
admission_policy_ops_t admission_policy_priority(void);

#endif
