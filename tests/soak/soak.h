/*
 * The randomized soak: real programs as processes, faults from outside them, and
 * checks of what callers and endpoints see. One seed gives one plan of faults
 * and one sequence of requests.
 */
#ifndef CATK_SOAK_H
#define CATK_SOAK_H

#include "lib/common/intrusive.h"
#include "net/http_client.h"
#include "tests/soak/soak_proxy.h"
#include "tests/support.h"

/* The users' bounds, as the settings of the instances name them. */
#define BOUND_CHANGE (2 * G_TIME_SPAN_SECOND) /* drain and configuration */
#define BOUND_CONTACT (3 * G_TIME_SPAN_SECOND) /* calm before rules hold */
#define BOUND_STOP_MS 5000
#define PROBES_PER_SECOND 20 /* of an endpoint, by all instances */
#define RETRY_PERCENT 20
#define RETRY_SAVED 56

typedef struct {
	guint64 seed;
	guint seconds; /* of faults */
	guint instances;
	guint endpoints;
	guint requests_per_second;
	guint port_base;
	const char *daemon; /* program of the instances */
	const char *folder; /* for settings and logs */
} soak_options_t;

/* A time in which an instance, or the store, was disturbed. */
typedef struct {
	GTimeSpan from;
	GTimeSpan to;
} disturbance_t;

typedef struct instance {
	TAILQ_ENTRY(instance) link;
	guint index;
	process_t *process; /* NULL while it is down */
	guint life; /* counts the starts */
	gboolean paused;
	GTimeSpan stopping; /* instant of SIGTERM, 0 for none */
	GTimeSpan restart_at; /* while it is down */
	soak_proxy_t *store_path;
	soak_proxy_t *peer_path;
	guint config_seen; /* highest version that this life has shown */
	GTimeSpan config_seen_at;
	GArray *disturbances; /* of disturbance_t; the last may be open */
} instance_t;

typedef struct endpoint {
	TAILQ_ENTRY(endpoint) link;
	guint index; /* of its ports */
	gchar *id;
	gchar *log;
	process_t *process; /* NULL once it has ended */
	gboolean paused;
	soak_proxy_t *path;
	guint sequence;
	GTimeSpan started;
	GTimeSpan ended; /* 0 while it runs */
	GTimeSpan drained; /* instant of the store's acknowledgement, 0: none */
	GTimeSpan end_at; /* instant of the planned end, 0 for none */
} endpoint_t;

/* One attempt of a caller. */
typedef struct {
	gchar *id;
	gchar *expected; /* body of a success */
	gboolean idempotent;
	guint config_version; /* that the path belongs to, 0 for any */
	guint instance;
	guint life;
	GTimeSpan sent;
	GTimeSpan ended; /* 0 while it runs */
	http_client_end_t end;
	guint status;
} soak_request_t;

typedef struct {
	soak_options_t options;
	GRand *plan; /* draws faults only */
	GRand *traffic; /* draws requests only */
	GTimeSpan faults_end;
	process_t *store;
	GArray *store_disturbances;
	TAILQ_HEAD(instance_list, instance) instances;
	TAILQ_HEAD(endpoint_list, endpoint) endpoints;
	guint endpoint_count; /* ever started, names them */
	guint config_version; /* the last one written */
	GArray *config_acked; /* GTimeSpan by version, 0: not yet */
	GHashTable *requests; /* id -> soak_request_t */
	http_client_t *callers;
	http_client_t *operator_client;
	guint64 last_call;
	guint violations;
} soak_t;

GTimeSpan soak_now(void);

/* Reports a broken promise. */
void soak_violation(soak_t *soak, const char *rule, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/* Logs a fault or another step of the plan. */
void soak_note(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* soak_fleet.c: the processes. */
void fleet_start(soak_t *soak);
void fleet_stop(soak_t *soak);
/* Restarts what is due, ends endpoints that have left, checks planned stops. */
void fleet_tick(soak_t *soak);
void fleet_kill(instance_t *instance, GTimeSpan down);
void fleet_terminate(instance_t *instance);
void fleet_pause(instance_t *instance, gboolean paused);
endpoint_t *fleet_add_endpoint(soak_t *soak);
void fleet_drain(soak_t *soak, endpoint_t *endpoint);
void fleet_crash_endpoint(soak_t *soak, endpoint_t *endpoint);
void fleet_put_config(soak_t *soak);
void fleet_store_fault(soak_t *soak, const char *mode);
guint fleet_proxy_port(const soak_t *soak, guint instance);

/* Opens and closes a time in which something is disturbed. */
void disturb_begin(GArray *disturbances);
void disturb_end(GArray *disturbances);
/* TRUE when neither instance nor store were disturbed from contact on. */
gboolean soak_in_touch(const soak_t *soak, const instance_t *instance,
		       GTimeSpan from, GTimeSpan to);

/* soak_faults.c: draws and applies the next fault. */
void faults_start(soak_t *soak);
/* Waits until the last fault has healed by itself. */
void faults_wait(void);

/* soak_traffic.c */
void traffic_start(soak_t *soak);
void traffic_stop(soak_t *soak);

/* soak_checks.c: what is only known at the end. */
void checks_run(soak_t *soak);
instance_t *soak_instance(const soak_t *soak, guint index);

#endif
