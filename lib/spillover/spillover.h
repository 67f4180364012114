/*
 * Spillover of one upstream to other data centres, decided by one entry: which
 * calls may leave this entry's data centre, and after which wait for an
 * endpoint in it. A call may leave if the probability that it misses its
 * latency objective at home exceeds that elsewhere by more than the price of a
 * crossing, as a share of the value of its answer.
 *
 * A call that finds no local endpoint may leave when its own wait makes a
 * crossing worth its price, a share of these calls after half of that wait.
 * Endpoints in this data centre are always preferred by the routing.
 */
#ifndef CATK_SPILLOVER_H
#define CATK_SPILLOVER_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"

typedef struct spillover spillover_t;

typedef struct {
	const char *service; /* name of the upstream, for logs; outlives it */
	guint price_percent; /* of the value of an answer, 1 to 100 */
	const event_log_t *log; /* receives changes of the share, or NULL */
	GRand *random; /* must outlive it */
} spillover_options_t;

/* The state of an endpoint as it answered a probe. */
typedef struct {
	gboolean remote; /* in another data centre */
	gboolean has_capacity; /* a free slot, and not slowed down */
	GTimeSpan round_trip; /* of the probe */
} spillover_probe_t;

/* A call that was sent to an endpoint, or refused as none had capacity. */
typedef struct {
	GTimeSpan wait; /* since it was ready to be sent */
	GTimeSpan wait_max; /* with which it can meet its objective */
	gboolean remote; /* sent to another data centre */
	gboolean refused; /* not sent */
} spillover_call_t;

/* Creates it with a share of 0. Free with spillover_free(). */
spillover_t *spillover_new(const spillover_options_t *options, GTimeSpan now);

/* NULL is allowed. */
void spillover_free(spillover_t *spillover);

/*
 * Time for which a call waits for a local endpoint before it may be sent to
 * another data centre, CATK_NEVER if it may not leave. wait_max is as in spillover_call_t.
 */
GTimeSpan spillover_wait(spillover_t *spillover, GTimeSpan wait_max,
			 GTimeSpan now);

/*
 * Record what the decisions depend on. Calls count only while an endpoint in
 * this data centre accepts work.
 */
void spillover_record_call(spillover_t *spillover, const spillover_call_t *call,
			   GTimeSpan now);
void spillover_record_probe(spillover_t *spillover,
			    const spillover_probe_t *probe, GTimeSpan now);

/* Records that an endpoint in another data centre refused or lost a call. */
void spillover_record_remote_refusal(spillover_t *spillover, GTimeSpan now);

/* Adapts the share when a decision is due. Call it about every 50 ms. */
void spillover_tick(spillover_t *spillover, GTimeSpan now);

/* Share of the calls that may leave after half of the wait, 0 to 1. */
double spillover_share(const spillover_t *spillover);

/* Probability that a call that waits at home misses its objective, 0 to 1. */
double spillover_home_miss(const spillover_t *spillover, GTimeSpan now);

/* The same for a call that leaves, without the additional latency. */
double spillover_remote_miss(const spillover_t *spillover, GTimeSpan now);

/* Writes the state as the member "spillover" of an object. */
void spillover_dump(const spillover_t *spillover, const dump_writer_t *writer,
		    GTimeSpan now);

#endif
