/*
 * Admission control of one service in one entry: a bounded queue of calls that
 * decides which waiting call is dispatched next and which calls are refused.
 * The queue links calls but does not own them.
 */
#ifndef CATK_ADMISSION_H
#define CATK_ADMISSION_H

#include "lib/admission/fair_share.h"
#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/error.h"
#include "lib/common/intrusive.h"
#include "lib/schema/schema.h"

/* Embedded in a call. Users of this module set the first group of fields. */
typedef struct admission_item {
	guint priority; /* 0 is the most urgent */
	GTimeSpan deadline; /* instant */
	const char *caller; /* name; must remain valid while queued */
	GTimeSpan latest_start; /* instant, 0 if only the deadline limits it */
	/* TRUE if the caller is an organisation: it gets a share of capacity. */
	gboolean has_share;
	double share_weight; /* see fair_share_admit() */
	gboolean share_counted; /* private: its start was recorded */

	TAILQ_ENTRY(admission_item) link; /* in the queue of its caller */
	TAILQ_ENTRY(admission_item) by_arrival;
	guint64 arrival; /* sequence number of its arrival */
	struct lane_caller *lane_caller; /* NULL while not queued */
	struct admission_lane *lane; /* NULL while not queued */
} admission_item_t;

typedef enum {
	ADMISSION_PRIORITY, /* strict priority with a minimum share for each */
	ADMISSION_FIFO /* one queue in order of arrival; baseline */
} admission_policy_t;

typedef struct {
	admission_policy_t policy;
	guint queue_max; /* waiting calls of all priorities, at least 1 */
	guint caller_share_percent; /* part of queue_max for one caller */
} admission_limits_t;

typedef struct admission admission_t;

/* Creates an empty queue. limits is copied. Free with admission_free(). */
admission_t *admission_new(const admission_limits_t *limits,
			   counters_t *counters);

/* Unlinks all items and frees the queue. NULL is allowed. */
void admission_free(admission_t *admission);

/*
 * Sets a fixed limit of attempts in flight, at least 1, instead of the adaptive
 * limit that follows the load reports of the upstream.
 */
void admission_set_fixed_limit(admission_t *admission, guint attempts);

/* Applies the priorities of a schema and their floors. */
void admission_configure(admission_t *admission, const schema_t *schema);

/*
 * Queues an item. Returns FALSE without queueing it on one of these errors:
 * CATK_OVERLOADED if the queue is full, or if the call is not expected to start
 * by its latest start or to finish by its deadline; CATK_RATE_LIMITED if the
 * caller has used up its share of the queue, or of a capacity that is short;
 * CATK_DEADLINE_EXCEEDED. All are
 * OUTCOME_NOT_RUN, with a retry_after estimated from the drain rate.
 *
 * If the item displaces another one from a full queue, returns TRUE, sets
 * *displaced to the other item, which is no longer queued, and err to the error
 * to end it with. Otherwise *displaced is NULL.
 */
gboolean admission_offer(admission_t *admission, admission_item_t *item,
			 GTimeSpan now, admission_item_t **displaced,
			 catk_error_t *err);

/*
 * Unlinks and returns the item to dispatch next, NULL if none is waiting or the
 * limit of attempts in flight is reached. It may be too late to start it, see
 * admission_can_finish(). Call admission_attempt_started() on dispatch.
 */
admission_item_t *admission_next(admission_t *admission, GTimeSpan now);

/*
 * Returns FALSE with CATK_OVERLOADED, OUTCOME_NOT_RUN if a call that starts now
 * is not expected to finish by its deadline, given the latency of recent
 * answers. Returns TRUE while no attempt is in flight, so that the latency
 * can be measured again.
 */
gboolean admission_can_finish(const admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err);

/* How an attempt ended, as far as admission is concerned. */
typedef enum {
	ADMISSION_ANSWERED,
	ADMISSION_REFUSED, /* by the upstream, before execution */
	ADMISSION_NO_ANSWER /* failed or abandoned */
} admission_end_t;

/* Records the start of an attempt of the item. */
void admission_attempt_started(admission_t *admission, admission_item_t *item,
			       GTimeSpan now);

/*
 * Records the end of an attempt of the item. load is the reported load of the
 * endpoint in requests per slot, 0 if there is no report; latency is the
 * duration of the attempt.
 */
void admission_attempt_ended(admission_t *admission,
			     const admission_item_t *item, admission_end_t end,
			     double load, GTimeSpan latency, GTimeSpan now);

/* Records that the item was refused because no endpoint had capacity. */
void admission_no_capacity(admission_t *admission, const admission_item_t *item,
			   GTimeSpan now);

/* Queues an item again, ahead of others, after an attempt that did not run. */
void admission_requeue(admission_t *admission, admission_item_t *item);

/* Unlinks an item. Does nothing if it is not queued. */
void admission_remove(admission_t *admission, admission_item_t *item);

/* Waiting items of all priorities. */
guint admission_waiting(const admission_t *admission);

/* Waiting items of one priority. */
guint admission_waiting_of_priority(const admission_t *admission,
				    guint priority);

/* Shares of the organisations in a shortage, for dumps. */
const fair_share_t *admission_fair_share(const admission_t *admission);

/* Limit of attempts in flight, adaptive or fixed. */
double admission_limit(const admission_t *admission);

/* Calls per second that the service completes, or could if more were queued. */
double admission_drain_rate(const admission_t *admission, GTimeSpan now);

#endif
