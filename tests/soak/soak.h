/*
 * Randomized soak test. Runs the store, the endpoints and the instances as
 * separate processes, injects faults from outside and checks what callers and
 * endpoints observe. The seed determines the sequence of faults and requests.
 */
#ifndef CATK_SOAK_H
#define CATK_SOAK_H

#include "lib/common/intrusive.h"
#include "net/http_client.h"
#include "tests/soak/soak_proxy.h"
#include "tests/support.h"

/* Guaranteed limits; all but RECONNECT_MAX are in the instances' settings. */
#define CHANGE_PROPAGATION_MAX (2 * G_TIME_SPAN_SECOND) /* drain, config */
#define RECONNECT_MAX (3 * G_TIME_SPAN_SECOND) /* after the last fault */
#define EVACUATION_MAX (5 * G_TIME_SPAN_SECOND)
/* Requests sent this long after a version was served must find it, too. */
#define DOWNGRADE_GRACE (250 * G_TIME_SPAN_MILLISECOND)
#define SHUTDOWN_MAX_MS 5000
#define ROUTE_TIMEOUT_MS 2000 /* shorter than the callers' deadline */
#define PROBES_PER_SECOND 20 /* to one endpoint, from all instances */
#define RETRY_PERCENT 20
#define RETRY_SAVED 56
#define ZONES 2 /* k0 and k1, by the index of instances and endpoints */

typedef struct {
	guint64 seed;
	guint seconds; /* how long faults are injected */
	guint instances;
	guint endpoints;
	guint requests_per_second;
	guint port_base;
	gboolean outage_series; /* see soak_outages.c */
	gboolean stop_series; /* see soak_stops.c */
	gboolean rule_series; /* see soak_rules.c */
	const char *daemon; /* program that the instances run */
	const char *directory; /* of settings and logs */
} soak_options_t;

typedef enum {
	FAULT_CONNECTION = 1 << 0,
	FAULT_PAUSE = 1 << 1,
	FAULT_DOWN = 1 << 2, /* killed or crashed, until the next start */
	FAULT_STOP = 1 << 3, /* planned, from its request to the next start */
	FAULT_STORE = 1 << 4,
	FAULT_STALL = 1 << 5, /* see soak_record_stall() */
	FAULT_RESTORE = 1 << 6 /* until what the store lost is written again */
} fault_cause_t;

/* The period of one fault at an instance, an endpoint or the store. */
typedef struct {
	fault_cause_t cause;
	GTimeSpan from;
	GTimeSpan to; /* CATK_NEVER while the fault lasts */
} fault_interval_t;

typedef struct instance {
	TAILQ_ENTRY(instance) link;
	guint index;
	process_t *process; /* NULL while down */
	gboolean ending; /* killed, and not gone yet */
	guint incarnation; /* number of starts so far */
	gboolean paused;
	GTimeSpan sigterm_at; /* or the operator's drain; 0 for none */
	GTimeSpan restart_at; /* while down */
	soak_proxy_t *store_proxy;
	soak_proxy_t *peer_proxy;
	guint config_version_seen; /* highest one served since the start */
	GTimeSpan config_version_seen_at;
	GArray *fault_intervals; /* of fault_interval_t */
} instance_t;

typedef struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	guint index; /* selects its ports */
	gchar *id;
	gchar *log;
	process_t *process; /* NULL after it ended */
	gboolean paused;
	soak_proxy_t *proxy;
	GArray *fault_intervals; /* of fault_interval_t, connections only */
	guint sequence; /* of its last entry in the store */
	GTimeSpan started_at;
	gboolean ending; /* killed, and not gone yet */
	GTimeSpan ended_at; /* 0 while it runs */
	GTimeSpan drain_acked_at; /* the store confirmed the drain; 0: no */
	GTimeSpan stop_at; /* planned end after a drain, 0 for none */
} endpoint_t;

/* A key of an organisation. */
typedef struct {
	char text[16];
	char organisation[8];
	guint added; /* first version that has it */
	guint withdrawn; /* first version without it, 0: still valid */
} soak_key_t;

/* An evacuation of a data centre. */
typedef struct {
	guint zone;
	GTimeSpan acked_at; /* 0: the store did not confirm it */
	GTimeSpan lifted_at; /* CATK_NEVER while it lasts */
} soak_evacuation_t;

/* What a request is to be, before it is sent. */
typedef struct {
	guint instance; /* index */
	gboolean idempotent;
	const char *method;
	const char *behaviour; /* word for fake_endpoint */
	guint config_version; /* first one with the route, 0: any */
	gboolean new_connection; /* does not use a kept connection */
} soak_request_plan_t;

/* A request of a caller. Callers do not retry. */
typedef struct {
	gchar *id;
	gchar *expected_body; /* body of a 2xx response */
	gboolean idempotent;
	guint config_version; /* first one with the route, 0: any */
	const soak_key_t *key; /* NULL for none or an unknown one */
	guint version_known; /* served by the process before, 0: none */
	guint instance; /* index */
	guint incarnation; /* of the instance when the request was sent */
	GTimeSpan sent_at;
	GTimeSpan ended_at; /* 0 while in flight */
	GTimeSpan busy_before; /* soak_busy_time() when it was sent */
	/* Time for which the soak's main loop was busy during the request. */
	GTimeSpan held_up;
	http_client_end_t end;
	guint status; /* of the HTTP response, 0 without one */
	gboolean endpoint_answered; /* the response has a signature */
} soak_request_t;

typedef enum {
	RUN_NONE, /* the endpoint refused it */
	RUN_OPEN, /* the endpoint was killed */
	RUN_ANSWERED,
	RUN_BROKEN, /* the endpoint sent no complete response */
	RUN_CUT /* the instance closed the connection */
} run_end_t;

/* What all endpoints together logged about one request. */
typedef struct {
	guint runs;
	guint arrivals;
	/* Of the last arrival: */
	const endpoint_t *endpoint; /* NULL without one */
	GTimeSpan arrived_at;
	GTimeSpan ended_at; /* 0 with RUN_NONE and RUN_OPEN */
	run_end_t end;
} deliveries_t;

typedef struct {
	soak_options_t options;
	GRand *fault_random; /* used for faults only */
	GRand *traffic_random; /* used for requests only */
	GRand *outage_random; /* used for soak_outages.c only */
	GRand *stop_random; /* used for soak_stops.c only */
	GRand *rule_random; /* used for soak_rules.c only */
	GTimeSpan faults_end_at;
	GTimeSpan quiet_until; /* no other faults before */
	process_t *store;
	GArray *store_fault_intervals;
	TAILQ_HEAD(instance_list, instance) instances;
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
	guint endpoints_started; /* in total; index of the next one */
	guint config_version; /* last one written */
	GArray *config_acked_at; /* GTimeSpan by version, 0 if not */
	GPtrArray *keys; /* of soak_key_t; empty without organisations */
	GPtrArray *evacuations; /* of soak_evacuation_t */
	GHashTable *requests; /* id -> soak_request_t */
	http_client_t *client; /* of the callers */
	http_client_t *operator_client;
	guint64 last_request_id;
	GTimeSpan loop_ran_at; /* see soak_record_stall() */
	guint stalls; /* recorded so far */
	guint violations; /* reported so far */
} soak_t;

GTimeSpan soak_now(void);

/* Time since the start in which the main loop ran and did not wait for events. */
GTimeSpan soak_busy_time(void);

/* Reports and counts a violation; kind is a short name such as "TWICE". */
void soak_violation(soak_t *soak, const char *kind, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/*
 * Records a fault of all instances if the main loop has not run for a while: the
 * connections to the store and the endpoints pass through this process, so what
 * they carry was held. To be called before a check, and periodically.
 */
void soak_record_stall(soak_t *soak);

/* Logs an injected fault or another event when --verbose is set. */
void soak_log(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* soak_fleet.c: starts, stops and watches the processes. */
void fleet_start(soak_t *soak);
void fleet_stop(soak_t *soak);
/*
 * Restarts instances that are down, stops drained endpoints, and checks that
 * instances exit only when told to and in time. To be called periodically.
 */
void fleet_tick(soak_t *soak);
/* Kills the instance; it is restarted after downtime. */
void fleet_kill(instance_t *instance, GTimeSpan downtime);
/* Sends SIGTERM; the instance is restarted when it has exited. */
void fleet_terminate(instance_t *instance);
/* Stops the instance like fleet_terminate(), through the operator API. */
void fleet_drain_instance(soak_t *soak, instance_t *instance);
/* Sends SIGSTOP or SIGCONT. */
void fleet_pause(instance_t *instance, gboolean paused);
/* Starts an endpoint and registers it in the store. */
endpoint_t *fleet_add_endpoint(soak_t *soak);
/* Marks the endpoint as draining in the store and stops it later. */
void fleet_drain(soak_t *soak, endpoint_t *endpoint);
/* Removes the entry of an endpoint that does not drain, and stops it later. */
void fleet_remove(soak_t *soak, endpoint_t *endpoint);
/* Writes the entry of the endpoint anew, unchanged but for its sequence. */
void fleet_rewrite(soak_t *soak, endpoint_t *endpoint);
/* Writes an entry that names no endpoint, with that content. */
void fleet_put_malformed_entry(soak_t *soak, const char *spec);
/* Kills the endpoint, starts another, and removes its entry later. */
void fleet_crash_endpoint(soak_t *soak, endpoint_t *endpoint);
/* Writes the next version of the configuration. */
void fleet_put_config(soak_t *soak);
/* Writes or deletes the object of the evacuation, as its lifted_at says. */
void fleet_write_evacuation(soak_t *soak, soak_evacuation_t *evacuation);
/* Writes all objects anew, in their present state. */
void fleet_rewrite_all(soak_t *soak);
/* Makes the store misbehave; mode is one of fake_store, "none" to end. */
void fleet_store_fault(soak_t *soak, const char *mode);
/* The port on which the instance accepts the callers' requests. */
guint fleet_proxy_port(const soak_t *soak, guint instance);

/* Records the start of a fault, and the end of the oldest with that cause. */
void fault_interval_begin(GArray *fault_intervals, fault_cause_t cause);
void fault_interval_end(GArray *fault_intervals, fault_cause_t cause);
/*
 * The first fault with one of the causes between from and to, or NULL. causes
 * is a set of fault_cause_t.
 */
const fault_interval_t *fault_interval_find(const GArray *fault_intervals,
					    guint causes, GTimeSpan from,
					    GTimeSpan to);
/*
 * TRUE when neither the instance nor the store had a fault between to and
 * RECONNECT_MAX before from.
 */
gboolean soak_is_fault_free(const soak_t *soak, const instance_t *instance,
			    GTimeSpan from, GTimeSpan to);

/* soak_faults.c: injects random faults for the time in the options. */
void faults_start(soak_t *soak);
/* Waits until the last fault has cleared. */
void faults_wait_cleared(void);
/* TRUE once the time for faults has passed. */
gboolean faults_are_over(const soak_t *soak);
/* A number from min to max. */
guint faults_draw(GRand *random, guint min, guint max);
/* A running endpoint that does not drain; NULL when too few are left. */
endpoint_t *faults_draw_endpoint(const soak_t *soak, GRand *random);

/* soak_outages.c: outages of the store between changes, for that time. */
void outages_start(soak_t *soak);

/* soak_stops.c: planned stops in series, for that time. */
void stops_start(soak_t *soak);

/* soak_rules.c: keys, evacuations and copies of the store, for that time. */
void rules_init(soak_t *soak);
void rules_start(soak_t *soak);
void rules_append_organisations(const soak_t *soak, GString *text);
/* Chooses the key of a request and appends the headers with it. */
void rules_choose_key(soak_t *soak, soak_request_t *request, GString *headers);
void rules_check_response(soak_t *soak, const soak_request_t *request,
			  const instance_t *instance,
			  const http_message_t *response);
void rules_check_arrival(soak_t *soak, const endpoint_t *endpoint,
			 const soak_request_t *request, GTimeSpan time);

/* soak_traffic.c: sends requests and checks each response. */
void traffic_start(soak_t *soak);
void traffic_send(soak_t *soak, const soak_request_plan_t *plan);
void traffic_stop(soak_t *soak);

/* soak_checks.c: checks the endpoints' logs after the run. */
void checks_run(soak_t *soak);
/* soak_lost.c: reports a request that ended without its endpoint's answer. */
void lost_check(soak_t *soak, const soak_request_t *request,
		const deliveries_t *deliveries);
/* The instance with an index, or NULL. */
instance_t *soak_instance(const soak_t *soak, guint index);

#endif
