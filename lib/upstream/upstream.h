/*
 * One upstream service as seen by one entry, an instance of the load balancer:
 * the endpoints of the service, the estimated load of each, and the selection
 * of an endpoint for the next attempt.
 */
#ifndef CATK_UPSTREAM_H
#define CATK_UPSTREAM_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"
#include "lib/common/intrusive.h"
#include "lib/probe/probe_budget.h"
#include "lib/schema/schema.h"
#include "lib/upstream/warmup_limit.h"

#define UPSTREAM_ADDRESS_MAX 64 /* bytes, of "ip:port" */
#define UPSTREAM_DATA_CENTRE_MAX 64 /* bytes */
#define UPSTREAM_ID_MAX 64 /* bytes, of an endpoint id */

typedef struct upstream upstream_t;
typedef struct endpoint endpoint_t;

/* An endpoint as the platform lists it. */
typedef struct {
	/*
	 * Changes each time the endpoint restarts. Empty if the platform
	 * assigns no id; the address identifies the endpoint then.
	 */
	char id[UPSTREAM_ID_MAX + 1];
	char address[UPSTREAM_ADDRESS_MAX + 1];
	char data_centre[UPSTREAM_DATA_CENTRE_MAX + 1];
	gboolean leaving; /* is shutting down */
	/* Missing from the platform's list, possibly by mistake. */
	gboolean doubtful;
	guint slots; /* concurrent requests, 0 for the service's default */
	/* Orders successive starts under the same id, 0 for unknown. */
	gint64 start_time;
	GTimeSpan warmup_remaining; /* time until it reaches its full speed */
} endpoint_info_t;

/* State that an endpoint reports with an answer or in answer to a probe. */
typedef struct {
	guint in_flight; /* requests executing or queued at the endpoint */
	guint slots; /* 0 if the load is unknown */
	gboolean draining;
	/* Current service time in percent of the usual one, 0 for unknown. */
	guint slowdown_percent;
	/* Time until it reaches its full speed, 0 if it has reached it. */
	GTimeSpan warmup_remaining;
	gboolean has_warmup; /* FALSE: warmup_remaining is unknown */
} load_report_t;

/* The answer with which a notice came. */
typedef enum {
	NOTICE_IN_ANSWER, /* to an attempt */
	NOTICE_IN_REFUSAL, /* of an attempt, before execution */
	NOTICE_IN_PROBE_ANSWER,
	/* It answers no request in flight, but comes from the endpoint. */
	NOTICE_IN_DISCARDED_ANSWER
} notice_source_t;

/*
 * What an endpoint says about itself beyond its load. Unlike a load report, a
 * notice stays valid when a later answer does not repeat it.
 */
typedef struct {
	notice_source_t source;
	GTimeSpan requested_at; /* instant at which the request was sent */
	gboolean leaving; /* no further requests until it starts again */
	GTimeSpan pause; /* no requests and no probes for so long, 0 for none */
} endpoint_notice_t;

/* How an attempt at an endpoint ended. */
typedef enum {
	ATTEMPT_ANSWERED, /* complete answer to this attempt */
	ATTEMPT_SHED, /* refused by the endpoint before execution */
	ATTEMPT_NOT_SENT, /* not connected, or no byte was written */
	ATTEMPT_CANCELLED, /* confirmed as cancelled before execution */
	ATTEMPT_BAD_ANSWER, /* malformed, truncated or unrelated answer */
	ATTEMPT_SILENT, /* no byte received while other connections work */
	ATTEMPT_FAILED, /* timeout, reset or close: it may have run */
	ATTEMPT_ABANDONED, /* deadline passed or caller disconnected */
	ATTEMPT_ERROR_ANSWER, /* complete answer, but empty or a 5xx */
	ATTEMPT_MISDIRECTED /* another endpoint has the address; not run */
} attempt_end_t;

/* Name for logs and dumps, such as "answered" or "shed". */
const char *attempt_end_name(attempt_end_t end);

/* Returns TRUE if this end proves that the attempt was not executed. */
gboolean attempt_end_proves_not_run(attempt_end_t end);

typedef enum {
	ROUTING_RANDOM, /* uniform among endpoints with a free slot; baseline */
	ROUTING_TWO_CHOICES, /* less loaded of two random endpoints */
	ROUTING_SUBSET, /* least loaded of a subset of its own per entry */
	ROUTING_LEARNT_LIMIT, /* two choices with an adaptive limit (AIMD) */
	ROUTING_EXPECTED_LATENCY, /* lowest expected latency, by probes */
	ROUTING_POLICY_COUNT
} routing_policy_t;

/* Name of the policy in the settings, such as "two_choices". */
const char *routing_policy_name(routing_policy_t policy);

typedef struct {
	routing_policy_t policy;
	guint entries_max; /* configured maximum of entries, at least 1 */
	GTimeSpan report_stale_after;
	const char *instance; /* name of this entry; outlives the upstream */
	const char *data_centre; /* of this entry; outlives the upstream */
	const event_log_t *log; /* receives changes of health, NULL for none */
	guint probe_burst; /* probe tokens per endpoint, at least 1 */
	/*
	 * TRUE if the data centre is evacuated: its endpoints then receive no
	 * requests and no probes. NULL if none ever is. Call
	 * upstream_update_evacuated() when the result changes.
	 */
	gboolean (*is_evacuated)(void *ctx, const char *data_centre);
	void *evacuated_ctx;
	/* Bound of requests to endpoints that are cold: see warmup_rules_t. */
	double warmup_overage;
	guint warmup_slack;
	/* The live instances, NULL if this is the only one. */
	warmup_next_instance_t next_instance;
	void *next_instance_ctx;
	/*
	 * Instances of this data centre that prefer each of its endpoints, 0
	 * for none. Only with ROUTING_EXPECTED_LATENCY.
	 */
	guint preferred_instances;
	/*
	 * Writes the names of up to max live instances of this data centre to
	 * names and returns their number. The names are not kept. NULL if
	 * preferred_instances is 0.
	 */
	guint (*list_instances)(void *ctx, const char **names, guint max);
	void *instances_ctx;
} upstream_options_t;

/* Selection criteria of one call. */
typedef struct {
	const char *avoid; /* id to select only as a last resort, or NULL */
	GTimeSpan service_time; /* usual service time, 0 for unknown */
	GTimeSpan objective_left; /* time left to the objective, 0 for none */
	/* Endpoints in other data centres may be probed. */
	gboolean remote_allowed;
	/* They may be selected even if they miss the objective. */
	gboolean remote_when_late;
	/* Endpoints without a recent report may be selected. */
	gboolean stale_report_allowed;
	/*
	 * In other data centres even if they may be slowed down, as no local
	 * one will meet the objective.
	 */
	gboolean remote_without_report;
} upstream_criteria_t;

/* Endpoints in this entry's data centre, or in the others. */
typedef enum { SCOPE_LOCAL, SCOPE_REMOTE } upstream_scope_t;

/*
 * Creates an upstream without endpoints. options is copied; random and counters
 * must outlive the upstream. Free with upstream_free().
 */
upstream_t *upstream_new(const char *service, const upstream_options_t *options,
			 GRand *random, counters_t *counters);

/* Frees the upstream and its endpoints. NULL is allowed. */
void upstream_free(upstream_t *upstream);

const char *upstream_service(const upstream_t *upstream);

/* Applies the slots, connections and probe budget of a schema. */
void upstream_configure(upstream_t *upstream, const schema_service_t *service,
			GTimeSpan now);

/*
 * Replaces the list of endpoints. An endpoint that is no longer listed receives
 * no new attempts and is freed once its last attempt has ended.
 */
void upstream_set_endpoints(upstream_t *upstream, const endpoint_info_t *infos,
			    gsize count, GTimeSpan now);

/*
 * Assigns the preferred endpoints again if the live instances of this data
 * centre have changed. Call it about every 50 ms.
 */
void upstream_update_instances(upstream_t *upstream, GTimeSpan now);

/* Applies a change of the data centres that are evacuated. */
void upstream_update_evacuated(upstream_t *upstream, GTimeSpan now);

/*
 * Selects the endpoint for the next attempt. Returns NULL if none can take one.
 * avoid is the id of an endpoint to select only as a last resort, or NULL.
 */
const endpoint_t *upstream_choose(upstream_t *upstream, const char *avoid,
				  GTimeSpan now);

/* Like upstream_choose(), with all criteria of a call. */
const endpoint_t *upstream_choose_for(upstream_t *upstream,
				      const upstream_criteria_t *criteria,
				      GTimeSpan now);

/*
 * Selects up to max endpoints of the scope to probe before a call is sent, and
 * charges the probes to their budgets. Writes the ids of the endpoints to ids
 * and returns their number.
 */
guint upstream_plan_probes(upstream_t *upstream, upstream_scope_t scope,
			   const char **ids, guint max, GTimeSpan now);

/*
 * Records how long an answer took: updates the estimated speed of the endpoint
 * and the estimated effect of full endpoints on the service time. ratio is the
 * service time, divided by the slowdown at its start, over the usual service
 * time of such calls.
 */
void upstream_record_service_time_ratio(upstream_t *upstream, const char *id,
					const load_report_t *report,
					double ratio, GTimeSpan now);

/*
 * Returns TRUE if an endpoint in this entry's data centre is expected to meet
 * the latency objective.
 */
gboolean upstream_local_meets_objective(upstream_t *upstream,
					const upstream_criteria_t *criteria,
					GTimeSpan now);

/*
 * Earliest instant at which upstream_choose() may succeed although no attempt
 * has ended, CATK_NEVER if only the end of an attempt can free an endpoint.
 */
GTimeSpan upstream_next_available_at(const upstream_t *upstream, GTimeSpan now);

/*
 * Instant from which an endpoint accepts work: 0 if one does now or none is
 * listed yet, the earliest end of a pause if all others are leaving, CATK_NEVER
 * if all are leaving.
 */
GTimeSpan upstream_accepts_work_at(const upstream_t *upstream, GTimeSpan now);

/* TRUE if an endpoint in this entry's data centre accepts work. */
gboolean upstream_accepts_local_work(const upstream_t *upstream, GTimeSpan now);

const char *endpoint_address(const endpoint_t *endpoint);

/* Identifies the endpoint in the functions below. */
const char *endpoint_id(const endpoint_t *endpoint);

/* Estimated state of an endpoint, for logs. */
typedef struct {
	GTimeSpan report_age; /* -1 if there is no report */
	gint64 load_percent; /* estimated requests per slot */
	gint64 slowdown_percent; /* 0 for unknown */
	gboolean local; /* in this entry's data centre */
} endpoint_estimate_t;

endpoint_estimate_t upstream_estimate(const upstream_t *upstream,
				      const endpoint_t *endpoint,
				      GTimeSpan now);

/*
 * Expected service time of a request that starts now, in percent of the usual
 * one; 0 for unknown.
 */
double upstream_expected_slowdown(const upstream_t *upstream,
				  const endpoint_t *endpoint, GTimeSpan now);

/* TRUE if the endpoint is known to be in another data centre. */
gboolean upstream_is_remote(const upstream_t *upstream, const char *id);

/* Time since the last probe of the endpoint was sent, -1 if there was none. */
GTimeSpan upstream_probe_age(const upstream_t *upstream, const char *id,
			     GTimeSpan now);

/* TRUE if the report shows a free slot and no slowdown. */
gboolean load_report_shows_capacity(const load_report_t *report);

/* Address of the endpoint, NULL if the id is unknown. */
const char *upstream_address_of(const upstream_t *upstream, const char *id);

/*
 * Sets the number of entries that share the connections and the probe budget of
 * each endpoint, initially entries_max. local_entries of them are in this
 * entry's data centre. Both are at least 1. If they are below the actual
 * numbers, the entries together may exceed the limits of an endpoint.
 */
void upstream_set_entry_counts(upstream_t *upstream, guint entries,
			       guint local_entries, GTimeSpan now);

/* Connections that this entry may open to one endpoint, at least 1. */
guint upstream_connection_share(const upstream_t *upstream);

/* Records the start of an attempt. Unknown ids are ignored. */
void upstream_attempt_started(upstream_t *upstream, const char *id,
			      GTimeSpan now);

/*
 * Records the end of an attempt. latency is its duration; report is NULL if the
 * endpoint sent none.
 */
void upstream_attempt_ended(upstream_t *upstream, const char *id,
			    attempt_end_t end, GTimeSpan latency,
			    const load_report_t *report, GTimeSpan now);

/* Records the answer to a probe; report is NULL if the probe failed. */
void upstream_probe_ended(upstream_t *upstream, const char *id,
			  const load_report_t *report, GTimeSpan now);

/*
 * Applies a notice of the endpoint. It is kept while the endpoint is missing
 * from the list. Unknown ids are ignored.
 */
void upstream_notice_received(upstream_t *upstream, const char *id,
			      const endpoint_notice_t *notice, GTimeSpan now);

/*
 * Returns the id of an endpoint to probe now, NULL for none, and charges the
 * probe to its budget.
 */
const char *upstream_next_probe(upstream_t *upstream, GTimeSpan now);

/* Moving average of the latency of answers, 0 if there were none. */
GTimeSpan upstream_mean_latency(const upstream_t *upstream);

void upstream_dump(const upstream_t *upstream, const dump_writer_t *writer,
		   GTimeSpan now);

#endif
