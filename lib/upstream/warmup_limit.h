/*
 * The limit of attempts at an endpoint that has just started (is cold), as
 * applied by one instance. Two instances, the senders, may use a cold endpoint:
 * those of its data centre, or of all if it has none there, that rank first by
 * rendezvous hashing. Each has a token bucket with a burst of one.
 *
 * Instances with different views of the membership choose different senders. A
 * sender's rate is therefore low enough for two such views, and falls in
 * proportion to its view where that has less than half of the instances.
 */
#ifndef CATK_WARMUP_LIMIT_H
#define CATK_WARMUP_LIMIT_H

#include "lib/common/clock.h"

/* An instance that is not known to be leaving or gone. */
typedef struct {
	const char *name;
	const char *data_centre;
} warmup_instance_t;

/*
 * Iterates over the live instances, this one included. *position is NULL at the
 * start and opaque afterwards. Returns FALSE at the end.
 */
typedef gboolean (*warmup_next_instance_t)(void *ctx, const void **position,
					   warmup_instance_t *instance);

/* Rules that are common to the endpoints of a service. */
typedef struct {
	double per_second; /* requests to a cold endpoint, 0 for no limit */
	GTimeSpan duration; /* assumed for an endpoint of unknown warmth */
	/*
	 * The instances together send at most per_second x overage + slack a
	 * second, which should be at least 4.
	 */
	double overage;
	guint slack;
	guint instances; /* in the fleet, at least those in view */
	const char *instance; /* name of this instance */
	/* NULL if there is no other instance. */
	warmup_next_instance_t next_instance;
	void *next_instance_ctx;
	GRand *random;
} warmup_rules_t;

/* What one instance knows of one endpoint; all zero for a warm one. */
typedef struct {
	GTimeSpan cold_since; /* instant */
	GTimeSpan cold_until; /* instant, 0 if it is not known to be cold */
	GTimeSpan listed_until; /* instant, according to its registration */
	gboolean is_sender;
	GTimeSpan checked_at; /* instant at which is_sender was determined */
	GTimeSpan interval; /* between tokens */
	GTimeSpan token_at; /* instant of the next token */
	GTimeSpan used_at; /* instant of the last attempt while cold */
} warmup_limit_t;

/* An endpoint as the rules identify it. Both strings are not NULL. */
typedef struct {
	const char *id;
	const char *data_centre;
} warmup_endpoint_t;

/*
 * Applies the registration of an endpoint. remaining is the time for which it
 * stays cold; is_new is TRUE if its start was not known before, so that it is
 * cold although the registration does not say so.
 */
void warmup_limit_listed(warmup_limit_t *limit, const warmup_rules_t *rules,
			 const warmup_endpoint_t *endpoint, GTimeSpan remaining,
			 gboolean is_new, GTimeSpan now);

/*
 * Applies what the endpoint says in answer to a request sent at requested_at;
 * remaining is 0 if it is warm.
 */
void warmup_limit_reported(warmup_limit_t *limit, const warmup_rules_t *rules,
			   const warmup_endpoint_t *endpoint,
			   GTimeSpan remaining, GTimeSpan requested_at,
			   GTimeSpan now);

/* Determines anew, if it is time, whether this instance is a sender. */
void warmup_limit_refresh(warmup_limit_t *limit, const warmup_rules_t *rules,
			  const warmup_endpoint_t *endpoint, GTimeSpan now);

gboolean warmup_limit_is_cold(const warmup_limit_t *limit, GTimeSpan now);

/*
 * Instant from which this instance may use the endpoint at all: 0 if it may
 * now, else the end of the warm-up.
 */
GTimeSpan warmup_limit_usable_at(const warmup_limit_t *limit, GTimeSpan now);

/* Instant from which there is a token, 0 if none is needed. */
GTimeSpan warmup_limit_token_at(const warmup_limit_t *limit, GTimeSpan now);

/*
 * TRUE if this instance should send its next request to the endpoint, so that
 * it gets some while others are preferred.
 */
gboolean warmup_limit_is_due(const warmup_limit_t *limit, GTimeSpan now);

/* Takes the token for an attempt that starts now. */
void warmup_limit_take(warmup_limit_t *limit, GTimeSpan now);

/* Returns the token of an attempt that did not reach the endpoint. */
void warmup_limit_give_back(warmup_limit_t *limit, GTimeSpan started,
			    GTimeSpan now);

#endif
