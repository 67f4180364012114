/* State of an upstream and its endpoints, shared by the files of this folder. */
#ifndef CATK_UPSTREAM_INTERNAL_H
#define CATK_UPSTREAM_INTERNAL_H

#include "lib/upstream/upstream.h"

/* An attempt in flight, for the age of the oldest one. */
typedef struct flight {
	TAILQ_ENTRY(flight) link;
	GTimeSpan started;
} flight_t;

struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	endpoint_info_t info;
	gboolean listed;
	gboolean unlisted; /* in the list before */

	TAILQ_HEAD(flight_list, flight) flights; /* oldest first */
	guint in_flight; /* attempts from this entry */
	double latency; /* moving average in microseconds, 0 for none */

	load_report_t report;
	GTimeSpan reported; /* instant of the report, 0 for none */
	guint own_at_report; /* attempts from this entry at that instant */
	double others; /* moving average of the other entries' load */
	probe_budget_t probes;
	GTimeSpan probed; /* instant of the last probe */

	gboolean draining;
	GTimeSpan drain_seen; /* instant of the last sign of draining */
	guint failures; /* in a row */
	guint ejections; /* without a success since */
	GTimeSpan ejected_until; /* 0 when not ejected */
	guint slow_attempts; /* in a row */
	gboolean slow; /* a straggler */
	guint trials; /* of a straggler so far */
	GTimeSpan next_trial;
	GTimeSpan full_until; /* pause after a refusal */
	GTimeSpan warm_from; /* start of a ramp, 0 for none */

	guint64 weight; /* rendezvous hash with this entry */
	gboolean preferred; /* in this entry's subset */
	gboolean usable; /* takes work and is not blocked */
	double limit; /* learnt limit of concurrent attempts */
	GTimeSpan rest_until; /* pause of a limit below 1 */
	GTimeSpan cold_until; /* slow after its start, 0 for no longer */
	double failure_share; /* of recent attempts, moving average */
	GTimeSpan failure_share_at; /* instant of failure_share */
	guint probes_unanswered; /* in a row */
	double pace; /* service time over the usual, 0 for unknown */
	GTimeSpan pace_at;
};

/* The endpoints among which a policy chooses; count is at least 1. */
typedef struct {
	endpoint_t **items;
	guint count;
} candidates_t;

/* A routing policy. All callbacks but choose may be NULL. */
typedef struct {
	endpoint_t *(*choose)(void *ctx, const candidates_t *candidates,
			      const upstream_criteria_t *need, GTimeSpan now);
	/* Instant from which one more attempt is allowed, or CATK_NEVER. */
	GTimeSpan (*room_at)(void *ctx, const endpoint_t *endpoint);
	/* The endpoints, or which of them are usable, have changed. */
	void (*list_changed)(void *ctx);
	void (*attempt_ended)(void *ctx, endpoint_t *endpoint,
			      attempt_end_t end, GTimeSpan latency,
			      GTimeSpan now);
	/* TRUE when fresh reports of the endpoint are of use. */
	gboolean (*needs_report)(void *ctx, const endpoint_t *endpoint);
	/* Reports tell how slow an endpoint is: latencies are not judged. */
	gboolean trusts_reports;
	void *ctx;
} routing_t;

struct upstream {
	char *service;
	upstream_options_t limits;
	routing_t routing;
	GRand *random;
	counters_t *counters;
	guint slots;
	guint connections;
	guint sharing; /* entries that share them */
	guint near_sharing; /* of these, in this entry's data centre */
	double probes_per_second;
	guint endpoint_count;
	guint in_flight;
	double latency; /* moving average in microseconds, 0 for none */
	double median; /* of the endpoints' latencies, 0 for none */
	GTimeSpan median_at;
	double others; /* moving average of the other entries' load */
	/*
	 * Service time over the usual one of its call, of requests that ran
	 * at a full endpoint and at one with a free slot; 0 for none.
	 */
	double pace_full;
	double pace_free;
	double slowdown; /* moving average in percent, 0 for none */
	double failure_ratio; /* moving average over all endpoints */
	GPtrArray *open; /* scratch of upstream_choose() */
	GPtrArray *reserve;
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
};

/* The policies; ctx is the upstream. */
routing_t routing_random(upstream_t *upstream);
routing_t routing_two_choices(upstream_t *upstream);
routing_t routing_subset(upstream_t *upstream);
routing_t routing_learnt_limit(upstream_t *upstream);
routing_t routing_expected_latency(upstream_t *upstream);

/* The endpoint of that id, or NULL. */
endpoint_t *upstream_find(const upstream_t *upstream, const char *id);

/* TRUE when the endpoint is in this entry's data centre. */
gboolean upstream_is_near(const upstream_t *upstream,
			  const endpoint_t *endpoint);

/* A random candidate. */
endpoint_t *candidates_pick(const candidates_t *candidates, GRand *random);

/* The candidate with the lower load of two random ones. */
endpoint_t *candidates_pick_of_two(const upstream_t *upstream,
				   const candidates_t *candidates,
				   GTimeSpan now);

/* Slots of the endpoint, from its report when there is one. */
guint endpoint_slots(const upstream_t *upstream, const endpoint_t *endpoint);

/*
 * Estimated requests at the endpoint: this entry's own, which are exact, plus
 * the others' from the last report, corrected towards their usual load by its
 * age.
 */
double endpoint_load(const upstream_t *upstream, const endpoint_t *endpoint,
		     GTimeSpan now);

/* Takes a report to a question that was sent at the instant asked. */
void endpoint_take_report(upstream_t *upstream, endpoint_t *endpoint,
			  const load_report_t *report, GTimeSpan asked,
			  GTimeSpan now);

/* Records an attempt in flight, and its end. */
void endpoint_add_flight(endpoint_t *endpoint, GTimeSpan now);
void endpoint_remove_flight(endpoint_t *endpoint, GTimeSpan started);

typedef enum {
	AVAILABLE_NO,
	AVAILABLE_RESERVE, /* only when no other has room */
	AVAILABLE_YES
} availability_t;

/*
 * Whether the endpoint may be chosen. With keep_blocked FALSE ejection and
 * slowness are ignored.
 */
availability_t health_availability(const upstream_t *upstream,
				   const endpoint_t *endpoint,
				   gboolean keep_blocked, GTimeSpan now);

/* TRUE while listed and neither leaving nor draining. */
gboolean health_takes_work(const endpoint_t *endpoint);

/* TRUE for a straggler and while ejected. */
gboolean health_is_blocked(const endpoint_t *endpoint, GTimeSpan now);

/* FALSE when more than half of the endpoints are ejected or slow. */
gboolean health_keeps_half(const upstream_t *upstream, GTimeSpan now);

/* An endpoint's share grows from a tenth from now on. */
void health_start_ramp(endpoint_t *endpoint, GTimeSpan now);

/* Judges the end of an attempt. */
void health_attempt_ended(upstream_t *upstream, endpoint_t *endpoint,
			  attempt_end_t end, GTimeSpan latency, GTimeSpan now);

/* An attempt starts; it is the trial of an endpoint that is a straggler. */
void health_attempt_started(const upstream_t *upstream, endpoint_t *endpoint,
			    GTimeSpan now);

/* Next instant after now at which a pause of the endpoint ends. */
GTimeSpan health_next_change(const upstream_t *upstream,
			     const endpoint_t *endpoint, GTimeSpan now);

#endif
