/*
 * One upstream service: its endpoints, what is known of the load of each, and
 * the choice of the endpoint for the next attempt.
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

#define UPSTREAM_ADDRESS_MAX 64 /* bytes of "ip:port" */
#define UPSTREAM_DATA_CENTRE_MAX 64 /* bytes */
#define UPSTREAM_ID_MAX 64 /* bytes of an endpoint id */

typedef struct upstream upstream_t;
typedef struct endpoint endpoint_t;

/* One line of the platform's instance list. */
typedef struct {
	/*
	 * Names one start of an endpoint; empty where the platform names none,
	 * then the address does.
	 */
	char id[UPSTREAM_ID_MAX + 1];
	char address[UPSTREAM_ADDRESS_MAX + 1];
	char data_centre[UPSTREAM_DATA_CENTRE_MAX + 1];
	gboolean leaving;
	/* The platform no longer lists it, but that may be a lapse. */
	gboolean doubtful;
	guint slots; /* concurrent requests, 0 for the service's own figure */
	GTimeSpan warmup_remaining; /* how much longer it is slow after its start */
} endpoint_info_t;

/* What an endpoint says of itself, on an answer or to a probe. */
typedef struct {
	guint in_flight; /* requests executing or queued there */
	guint slots; /* 0 when the load is unknown */
	gboolean draining;
	/* Time that work takes now, in percent of the usual; 0 for unknown. */
	guint slowdown_percent;
} load_report_t;

/* How an attempt at an endpoint ended. */
typedef enum {
	ATTEMPT_ANSWERED, /* a whole answer that belongs to the attempt */
	ATTEMPT_SHED, /* refused before start */
	ATTEMPT_NOT_SENT, /* no connection, or no byte was written */
	ATTEMPT_CANCELLED, /* cancelled before start, confirmed by upstream */
	ATTEMPT_BAD_ANSWER, /* malformed, short or somebody else's answer */
	ATTEMPT_SILENT, /* no byte came while other connections work */
	ATTEMPT_FAILED, /* timeout, reset or close: it may have run */
	ATTEMPT_ABANDONED, /* the deadline passed or the caller left */
	ATTEMPT_ERROR_ANSWER, /* a whole answer that is empty or a 5xx */
	ATTEMPT_MISDIRECTED /* another endpoint has the address; not run */
} attempt_end_t;

/* "answered", "shed", "failed" and so on. */
const char *attempt_end_name(attempt_end_t end);

/* TRUE for the ends that prove that the attempt did not run. */
gboolean attempt_end_proves_not_run(attempt_end_t end);

typedef enum {
	ROUTING_RANDOM, /* baseline */
	ROUTING_TWO_CHOICES,
	ROUTING_SUBSET,
	ROUTING_LEARNT_LIMIT,
	ROUTING_EXPECTED_LATENCY, /* by reports asked for just before */
	ROUTING_POLICY_COUNT
} routing_policy_t;

/* Name in settings: "random", "two_choices", "subset", "learnt_limit",
 * "expected_latency". */
const char *routing_policy_name(routing_policy_t policy);

typedef struct {
	routing_policy_t policy;
	guint entries_max; /* configured maximum number of entries, >= 1 */
	GTimeSpan report_stale_after;
	const char *instance; /* name of this entry; outlives the upstream */
	const char *data_centre; /* of this entry; outlives the upstream */
	const event_log_t *log; /* of ejections, NULL for none */
	guint probe_burst; /* probes of one endpoint at once, at least 1 */
} upstream_options_t;

/* What the call that is to be placed needs. */
typedef struct {
	const char *avoid; /* id to use only when there is no other, or NULL */
	GTimeSpan service_time; /* usual service time, 0 for unknown */
	GTimeSpan objective_left; /* time left to the objective, 0 for none */
	gboolean remote_allowed; /* other data centres may be asked for reports */
	gboolean remote_when_late; /* they will do when the objective is missed */
	gboolean stale_report_allowed; /* to an endpoint without a recent report */
} upstream_criteria_t;

/* Where to look for endpoints. */
typedef enum { SCOPE_LOCAL, SCOPE_REMOTE } upstream_scope_t;

/*
 * An upstream without endpoints. limits is copied; random and counters must
 * outlive it. Free with upstream_free().
 */
upstream_t *upstream_new(const char *service, const upstream_options_t *limits,
			 GRand *random, counters_t *counters);

/* Frees the upstream and its endpoints. NULL is allowed. */
void upstream_free(upstream_t *upstream);

const char *upstream_service(const upstream_t *upstream);

/* Takes slots, connections and probe budget from a schema. */
void upstream_configure(upstream_t *upstream, const schema_service_t *service,
			GTimeSpan now);

/*
 * Replaces the list of endpoints. An endpoint that is no longer listed gets no
 * new work and is freed when its last attempt has ended.
 */
void upstream_set_endpoints(upstream_t *upstream, const endpoint_info_t *infos,
			    gsize count, GTimeSpan now);

/*
 * The endpoint for the next attempt, NULL when none has room. avoid is the
 * id of an endpoint to use only when there is no other, or NULL.
 */
const endpoint_t *upstream_choose(upstream_t *upstream, const char *avoid,
				  GTimeSpan now);

/* Like upstream_choose(), for a call with the given needs. */
const endpoint_t *upstream_choose_for(upstream_t *upstream,
				      const upstream_criteria_t *need,
				      GTimeSpan now);

/*
 * Writes to ids up to max endpoints of the scope whose reports would help to
 * place a call now, and takes the probes from the budget. Returns how many.
 */
guint upstream_plan_probes(upstream_t *upstream, upstream_scope_t scope,
			   const char **ids, guint max, GTimeSpan now);

/*
 * Learns from an answer of the endpoint of that id how fast it works, and how
 * much a full endpoint slows work down. pace is the service time, less the
 * slowdown at its start, over the call's usual one.
 */
void upstream_record_service_time_ratio(upstream_t *upstream, const char *id,
					const load_report_t *report,
					double pace, GTimeSpan now);

/* TRUE when an endpoint of this data centre is expected to meet the need. */
gboolean upstream_local_meets_objective(upstream_t *upstream,
					const upstream_criteria_t *need,
					GTimeSpan now);

/*
 * Instant at which upstream_choose() may succeed without an attempt ending
 * first, CATK_NEVER when only the end of an attempt can change that.
 */
GTimeSpan upstream_next_available_at(const upstream_t *upstream, GTimeSpan now);

const char *endpoint_address(const endpoint_t *endpoint);

/* The key of the endpoint in the functions below. */
const char *endpoint_id(const endpoint_t *endpoint);

/* What is believed of an endpoint, for logs. */
typedef struct {
	GTimeSpan report_age; /* -1 without a report */
	gint64 load_percent; /* estimated requests over slots */
	gint64 slowdown_percent; /* 0 for unknown */
	gboolean local; /* in this entry's data centre */
} endpoint_estimate_t;

endpoint_estimate_t upstream_estimate(const upstream_t *upstream,
				      const endpoint_t *endpoint,
				      GTimeSpan now);

/* Slowdown that a request has which starts now, in percent; 0 for unknown. */
double upstream_expected_slowdown(const upstream_t *upstream,
				  const endpoint_t *endpoint, GTimeSpan now);

/* The address of an endpoint, NULL when the id is not known. */
const char *upstream_address_of(const upstream_t *upstream, const char *id);

/*
 * Divides the connections and the probes of an endpoint by this number of
 * entries, at least 1, in place of entries_max. near_entries of them, at least
 * 1, are in this entry's data centre. Neither may be lower than the truth.
 */
void upstream_set_entry_counts(upstream_t *upstream, guint entries,
			       guint near_entries, GTimeSpan now);

/* Connections that this entry may hold to one endpoint, at least 1. */
guint upstream_connection_share(const upstream_t *upstream);

/* An attempt at the endpoint starts. Unknown ids are ignored. */
void upstream_attempt_started(upstream_t *upstream, const char *id,
			      GTimeSpan now);

/*
 * An attempt ended after the given time. report is NULL when the end carried
 * none.
 */
void upstream_attempt_ended(upstream_t *upstream, const char *id,
			    attempt_end_t end, GTimeSpan latency,
			    const load_report_t *report, GTimeSpan now);

/* The answer to a probe; report is NULL when the probe failed. */
void upstream_probe_ended(upstream_t *upstream, const char *id,
			  const load_report_t *report, GTimeSpan now);

/*
 * The id of the endpoint to probe now, within the budget, NULL for none. Takes
 * the probe from the budget.
 */
const char *upstream_next_probe(upstream_t *upstream, GTimeSpan now);

/* Mean latency of recent answers, 0 when none is known. */
GTimeSpan upstream_mean_latency(const upstream_t *upstream);

void upstream_dump(const upstream_t *upstream, const dump_writer_t *writer,
		   GTimeSpan now);

#endif
