/* Internal state of an upstream and its endpoints. */
#ifndef CATK_UPSTREAM_INTERNAL_H
#define CATK_UPSTREAM_INTERNAL_H

#include "lib/upstream/upstream.h"

/* An attempt in flight; the list of them yields the age of the oldest one. */
typedef struct pending_attempt {
	TAILQ_ENTRY(pending_attempt) link;
	GTimeSpan started;
} pending_attempt_t;

/* The notices of an endpoint, kept by id while it is not listed. */
typedef struct {
	gint64 start_time; /* latest known, 0 for unknown */
	GTimeSpan start_known_at; /* answers to older requests do not count */
	gboolean leaving; /* until a later start */
	GTimeSpan paused_until; /* instant */
} notices_t;

/* The notices of an endpoint that is not listed. */
typedef struct retained_notices {
	TAILQ_ENTRY(retained_notices) link;
	char id[UPSTREAM_ID_MAX + 1];
	notices_t notices;
	GTimeSpan expiry; /* instant */
} retained_notices_t;

struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	endpoint_info_t info;
	notices_t notices;
	gboolean listed;
	gboolean was_unlisted; /* missing from the previous list */
	gboolean evacuated; /* its data centre is */

	/* Oldest first. */
	TAILQ_HEAD(pending_attempt_list, pending_attempt) pending_attempts;
	guint in_flight; /* attempts from this entry */
	double mean_latency; /* moving average in microseconds, 0 for none */

	load_report_t report;
	GTimeSpan reported_at; /* instant of the report, 0 for none */
	guint own_in_flight_at_report; /* in_flight at that instant */
	double others_load; /* moving average of other entries' requests */
	probe_budget_t probes;
	double probe_share; /* this entry's probes per second to it */
	GTimeSpan probed_at; /* instant of the last probe */

	gboolean draining;
	GTimeSpan drain_seen_at; /* last instant at which it was draining */
	guint consecutive_failures;
	guint consecutive_ejections; /* without a success in between */
	GTimeSpan ejected_until; /* 0 if not ejected */
	guint consecutive_slow_attempts;
	gboolean slow; /* high latency: excluded except for trials */
	guint trial_count; /* trials scheduled since then */
	GTimeSpan next_trial_at;
	GTimeSpan backoff_until; /* after a refusal */
	GTimeSpan ramp_started_at; /* 0 if its share was never ramped up */

	guint64 hash_weight; /* rendezvous hash with this entry */
	gboolean preferred; /* in this entry's subset */
	/* Instances of this data centre that prefer it, 0 for unknown. */
	guint preferring_instances;
	gboolean usable; /* accepts work and is not blocked */
	double concurrency_limit; /* adaptive, 0 before the first attempt */
	GTimeSpan pacing_until; /* pause that enforces a limit below 1 */
	GTimeSpan warmup_until; /* slow after its start until then, or 0 */
	warmup_limit_t warmup;
	double failure_rate; /* moving average, at failure_rate_at */
	GTimeSpan failure_rate_at;
	guint unanswered_probes; /* consecutive */
	/* Service time over the usual one, 0 for unknown. */
	double service_time_ratio;
	GTimeSpan service_time_ratio_at;
};

/* The endpoints from which a policy selects; count is at least 1. */
typedef struct {
	endpoint_t **items;
	guint count;
} candidates_t;

/* A routing policy. Every callback except choose may be NULL. */
typedef struct {
	endpoint_t *(*choose)(void *ctx, const candidates_t *candidates,
			      const upstream_criteria_t *criteria,
			      GTimeSpan now);
	/*
	 * Instant from which one more attempt is allowed, CATK_NEVER if an
	 * attempt must end first. NULL: while a slot is free.
	 */
	GTimeSpan (*available_at)(void *ctx, const endpoint_t *endpoint);
	/* The list of endpoints changed, or which of them are usable. */
	void (*endpoints_changed)(void *ctx);
	void (*attempt_ended)(void *ctx, endpoint_t *endpoint,
			      attempt_end_t end, GTimeSpan latency,
			      GTimeSpan now);
	/* Returns TRUE if periodic probes of the endpoint are of use. */
	gboolean (*needs_report)(void *ctx, const endpoint_t *endpoint);
	/*
	 * Endpoints are probed before a call is sent. Slow endpoints are
	 * recognised by these reports and not by the latency of attempts.
	 */
	gboolean probes_before_calls;
	void *ctx;
} routing_t;

struct upstream {
	char *service;
	upstream_options_t options;
	routing_t routing;
	GRand *random;
	counters_t *counters;
	guint slots;
	guint connections;
	guint entries; /* that share the connections and probe budgets */
	guint local_entries; /* of them, in this entry's data centre */
	double probes_per_second;
	double warmup_per_second; /* requests to a cold endpoint, 0: no limit */
	GTimeSpan warmup_duration;
	gboolean was_listed; /* endpoints have been listed before */
	guint endpoint_count;
	guint in_flight;
	double mean_latency; /* moving average in microseconds, 0 for none */
	double median_latency; /* of the endpoints' latencies, 0 for none */
	GTimeSpan median_latency_at;
	double others_load; /* moving average over the endpoints' reports */
	/*
	 * Moving averages of service time over the usual one, of requests at
	 * full endpoints and at endpoints with a free slot; 0 for none.
	 */
	double service_time_ratio_full;
	double service_time_ratio_free;
	double mean_slowdown; /* moving average in percent, 0 for none */
	double failure_ratio; /* moving average over all endpoints */
	guint64 instances_hash; /* of the last assignment of preferences */
	guint assigned_instances; /* number of instances in it */
	/* Buffers of upstream_choose_for() and upstream_plan_probes(). */
	GPtrArray *eligible;
	GPtrArray *fallback; /* selected only if eligible is empty */
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
	GHashTable *by_id; /* id -> endpoint_t */
	/* Earliest expiry first. */
	TAILQ_HEAD(retained_list, retained_notices) retained;
};

/* The routing policies. */
routing_t routing_random(upstream_t *upstream);
routing_t routing_two_choices(upstream_t *upstream);
routing_t routing_subset(upstream_t *upstream);
routing_t routing_learnt_limit(upstream_t *upstream);
routing_t routing_expected_latency(upstream_t *upstream);

/* Returns the endpoint with this id, or NULL. */
endpoint_t *upstream_find(const upstream_t *upstream, const char *id);

/* Returns TRUE if the endpoint is in this entry's data centre. */
gboolean upstream_is_local(const upstream_t *upstream,
			   const endpoint_t *endpoint);

/* Returns TRUE if this entry sends its requests to few endpoints. */
gboolean upstream_prefers_endpoints(const upstream_t *upstream);

/*
 * Assigns the preferred endpoints, always or only if the live instances have
 * changed. Returns TRUE if it did.
 */
gboolean upstream_assign_preferred(upstream_t *upstream, gboolean always);

/*
 * Part of the endpoint's probes per second for its data centre, budget, that
 * this entry may use.
 */
double upstream_preferred_probes(const upstream_t *upstream,
				 const endpoint_t *endpoint, double budget);

/* Returns a random candidate. */
endpoint_t *candidates_pick_random(const candidates_t *candidates,
				   GRand *random);

/* Returns the less loaded of two random candidates. */
endpoint_t *candidates_pick_of_two(const upstream_t *upstream,
				   const candidates_t *candidates,
				   GTimeSpan now);

/*
 * Rules of the limit for cold endpoints, and an endpoint as these identify it.
 * Both are valid while the upstream and the endpoint are.
 */
warmup_rules_t upstream_warmup_rules(const upstream_t *upstream);
warmup_endpoint_t endpoint_for_warmup(const endpoint_t *endpoint);

/* Slots that the endpoint reported, else the default of the service. */
guint endpoint_slots(const upstream_t *upstream, const endpoint_t *endpoint);

/*
 * Estimates the requests at the endpoint: this entry's own, which are exact,
 * plus those of the other entries. The latter are an average of the last report
 * and the long-term mean, in which the weight of the report falls with its age.
 */
double endpoint_load(const upstream_t *upstream, const endpoint_t *endpoint,
		     GTimeSpan now);

/* Applies a report that answers a request sent at requested_at. */
void endpoint_apply_report(upstream_t *upstream, endpoint_t *endpoint,
			   const load_report_t *report, GTimeSpan requested_at,
			   GTimeSpan now);

/* Records the start and the end of an attempt. */
void endpoint_add_attempt(endpoint_t *endpoint, GTimeSpan now);
void endpoint_remove_attempt(endpoint_t *endpoint, GTimeSpan started);

typedef enum {
	AVAILABLE_NO,
	AVAILABLE_AS_FALLBACK, /* only if no other endpoint is available */
	AVAILABLE_YES
} availability_t;

/*
 * Returns whether the endpoint may be selected. Ejected and slow endpoints may
 * be selected unless exclude_blocked is set.
 */
availability_t health_availability(const upstream_t *upstream,
				   const endpoint_t *endpoint,
				   gboolean exclude_blocked, GTimeSpan now);

/*
 * Restores the notices that were retained under the id of a new endpoint, if it
 * has not started again since.
 */
void notices_restore(upstream_t *upstream, endpoint_t *endpoint, GTimeSpan now);

/* Retains the notices of an endpoint that is about to be freed. */
void notices_retain(upstream_t *upstream, const endpoint_t *endpoint,
		    GTimeSpan now);

/* Frees retained notices whose expiry has passed; G_MAXINT64 frees all. */
void notices_expire(upstream_t *upstream, GTimeSpan now);

/*
 * Records the start time of a listed endpoint. Returns TRUE if the endpoint has
 * started again, which revokes that it is leaving.
 */
gboolean notices_update_start(endpoint_t *endpoint, gint64 start_time,
			      GTimeSpan now);

/*
 * Returns TRUE if the endpoint is listed and neither leaving, draining nor
 * paused, nor cold and left to other instances.
 */
gboolean health_accepts_work(const endpoint_t *endpoint, GTimeSpan now);

/*
 * Instant from which the endpoint accepts work: 0 if it does now, the end of
 * its pause or warm-up, or CATK_NEVER.
 */
GTimeSpan health_accepts_work_at(const endpoint_t *endpoint, GTimeSpan now);

/* Returns TRUE if the endpoint is excluded as slow or ejected. */
gboolean health_is_blocked(const endpoint_t *endpoint, GTimeSpan now);

/* Returns FALSE if more than half of the endpoints are ejected or slow. */
gboolean health_may_exclude_blocked(const upstream_t *upstream, GTimeSpan now);

/* Starts to raise the endpoint's share of attempts from a tenth to the full. */
void health_start_ramp(endpoint_t *endpoint, GTimeSpan now);

/* Updates the health of the endpoint after an attempt. */
void health_attempt_ended(upstream_t *upstream, endpoint_t *endpoint,
			  attempt_end_t end, GTimeSpan latency, GTimeSpan now);

/* Schedules the next trial if the attempt is a trial of a slow endpoint. */
void health_attempt_started(const upstream_t *upstream, endpoint_t *endpoint,
			    GTimeSpan now);

/* Next instant after now at which the endpoint may become available. */
GTimeSpan health_next_change_at(const upstream_t *upstream,
				const endpoint_t *endpoint, GTimeSpan now);

#endif
