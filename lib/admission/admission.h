/*
 * The queue of one service in one entry: which waiting call is dispatched
 * next, and which is refused. The queue links calls; it does not own them.
 */
#ifndef CATK_ADMISSION_H
#define CATK_ADMISSION_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/error.h"
#include "lib/common/intrusive.h"
#include "lib/schema/schema.h"

/* Embedded in a call. The caller of this module fills the first group. */
typedef struct admission_item {
	guint priority; /* 0 is the most urgent */
	GTimeSpan deadline; /* instant */
	const char *caller; /* name; must outlive the queueing */
	GTimeSpan latest_start; /* instant, 0 for as late as the deadline lets */

	TAILQ_ENTRY(admission_item) link; /* in the caller's sub-queue */
	TAILQ_ENTRY(admission_item) by_arrival;
	guint64 arrival; /* order of arrival at this queue */
	struct lane_caller *owner; /* NULL while not queued */
	struct admission_lane *lane; /* NULL while not queued */
} admission_item_t;

typedef enum {
	ADMISSION_PRIORITY, /* strict priority with floors */
	ADMISSION_FIFO /* baseline: first come, first served, one queue */
} admission_policy_t;

typedef struct {
	admission_policy_t policy;
	guint queue_max; /* waiting calls over all priorities, at least 1 */
	guint caller_share_percent; /* of queue_max one caller may fill */
} admission_limits_t;

typedef struct admission admission_t;

/* limits is copied. Free with admission_free(). */
admission_t *admission_new(const admission_limits_t *limits,
			   counters_t *counters);

/* Frees the queue; the items are only unlinked. NULL is allowed. */
void admission_free(admission_t *admission);

/*
 * Bounds the attempts in flight by a fixed number, at least 1, in place of a
 * limit that is learnt from the upstream's reports.
 */
void admission_set_fixed_limit(admission_t *admission, guint attempts);

/* Takes the number of priorities and their floors from a schema. */
void admission_configure(admission_t *admission, const schema_t *schema);

/*
 * Queues an item. Returns FALSE, and leaves the item unqueued, with
 * CATK_OVERLOADED (queue full, or the call cannot start before its latest start
 * or finish before its deadline),
 * CATK_RATE_LIMITED (the caller fills its share) or CATK_DEADLINE_EXCEEDED.
 * All are OUTCOME_NOT_RUN; retry_after is an estimate from the drain rate.
 *
 * When the item takes the place of another in a full queue, returns TRUE, sets
 * *displaced to the other, which is no longer queued, and err to the error to
 * end it with. Otherwise *displaced is NULL.
 */
gboolean admission_offer(admission_t *admission, admission_item_t *item,
			 GTimeSpan now, admission_item_t **displaced,
			 catk_error_t *err);

/*
 * Unlinks and returns the item to dispatch next, NULL when none waits or the
 * limit of attempts in flight is reached. It may be too late to start it: see
 * admission_can_finish(). A dispatch is reported with admission_attempt_started().
 */
admission_item_t *admission_next(admission_t *admission, GTimeSpan now);

/*
 * FALSE with CATK_OVERLOADED, OUTCOME_NOT_RUN when a call that starts now would
 * not finish before its deadline, at the latency of recent answers. With
 * no attempt in flight it is TRUE, so that the latency is measured again.
 */
gboolean admission_can_finish(const admission_t *admission,
			      const admission_item_t *item, GTimeSpan now,
			      catk_error_t *err);

/* How an attempt ended, as far as it matters to admission. */
typedef enum {
	ADMISSION_ANSWERED,
	ADMISSION_REFUSED, /* by the upstream, before start */
	ADMISSION_NO_ANSWER /* failed or abandoned */
} admission_end_t;

/* An attempt of the item starts. */
void admission_attempt_started(admission_t *admission,
			       const admission_item_t *item, GTimeSpan now);

/*
 * An attempt of the item ended after the given time. load is what the endpoint
 * reported, requests over slots, 0 when it reported nothing.
 */
void admission_attempt_ended(admission_t *admission,
			     const admission_item_t *item, admission_end_t end,
			     double load, GTimeSpan latency, GTimeSpan now);

/* Queues an item again after an attempt that did not run, ahead of others. */
void admission_requeue(admission_t *admission, admission_item_t *item);

/* Unlinks an item. Does nothing when it is not queued. */
void admission_remove(admission_t *admission, admission_item_t *item);

/* Waiting items of all priorities. */
guint admission_waiting(const admission_t *admission);

/* Waiting items of one priority. */
guint admission_waiting_of_priority(const admission_t *admission,
				    guint priority);

/* Attempts that may be in flight, learnt from the upstream's reports. */
double admission_limit(const admission_t *admission);

/* Calls per second that the service completes or could complete. */
double admission_drain_rate(const admission_t *admission, GTimeSpan now);

#endif
