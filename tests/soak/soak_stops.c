/*
 * Planned stops in series that overlap: a part of the fleet is stopped at once,
 * several times, by SIGTERM or by an operator, with further signals and changes
 * of the configuration during the stops. Callers send long requests to a
 * stopping instance until it is gone. The stops draw from a random stream of
 * their own, so that a seed has the same other faults with and without them.
 */
#include <signal.h>

#include "tests/soak/soak.h"

#define FIRST_MIN_MS 300
#define FIRST_MAX_MS 1500
#define ROUNDS_MIN 2
#define ROUNDS_MAX 4
#define ROUND_INTERVAL_MIN_MS 200
#define ROUND_INTERVAL_MAX_MS 2500
#define PAUSE_MIN_MS 500 /* between two series */
#define PAUSE_MAX_MS 4000
/* Chance that other faults pause, since they excuse what a stop would not. */
#define QUIET_PERCENT 60
#define FLEET_SHARE 4 /* one instance in so many stops in a round */
#define STOPS_PER_ROUND_MIN 2
#define DRAIN_PERCENT 30 /* the other stops begin with SIGTERM */
#define EVENTS_PER_STOP_MAX 3
/* A signal that is due after the end of the process is left out. */
#define EVENT_DELAY_MAX_MS (SHUTDOWN_MAX_MS + 500)
#define REQUEST_INTERVAL_MIN_MS 50
#define REQUEST_INTERVAL_MAX_MS 250

typedef enum { EVENT_SIGTERM, EVENT_SIGHUP, EVENT_CONFIG, EVENT_KINDS } event_t;

/* The stop of one incarnation, for a timer that frees it. */
typedef struct {
	soak_t *soak;
	instance_t *instance;
	guint incarnation;
	event_t event; /* not used for requests */
} stop_t;

typedef struct {
	soak_t *soak;
	guint rounds; /* still to come */
} series_t;

static guint draw(const soak_t *soak, guint min, guint max)
{
	return faults_draw(soak->stop_random, min, max);
}

static gboolean is_gone(const stop_t *stop)
{
	return !stop->instance->process ||
	       stop->instance->incarnation != stop->incarnation;
}

static stop_t *stop_copy(const stop_t *stop)
{
	return g_memdup2(stop, sizeof(*stop));
}

static gboolean on_request_due(gpointer data)
{
	static const char *const behaviours[] = { "slow", "slow", "long",
						  "plain" };
	stop_t *stop = data;
	soak_t *soak = stop->soak;
	GRand *random = soak->traffic_random;
	soak_request_plan_t plan = { .instance = stop->instance->index };

	if (is_gone(stop)) {
		g_free(stop);
		return G_SOURCE_REMOVE;
	}
	plan.idempotent = faults_draw(random, 0, 1);
	plan.method = plan.idempotent ? "GET" : "POST";
	plan.behaviour =
		behaviours[faults_draw(random, 0, G_N_ELEMENTS(behaviours) - 1)];
	plan.new_connection = faults_draw(random, 0, 1);
	traffic_send(soak, &plan);
	g_timeout_add(faults_draw(random, REQUEST_INTERVAL_MIN_MS,
				  REQUEST_INTERVAL_MAX_MS),
		      on_request_due, stop);
	return G_SOURCE_REMOVE;
}

static gboolean on_event_due(gpointer data)
{
	stop_t *stop = data;
	int signal = stop->event == EVENT_SIGTERM ? SIGTERM : SIGHUP;

	if (stop->event == EVENT_CONFIG) {
		fleet_put_config(stop->soak);
	} else if (!is_gone(stop)) {
		soak_log("signal %d to e%u during its stop", signal,
			 stop->instance->index);
		process_signal(stop->instance->process, signal);
	}
	g_free(stop);
	return G_SOURCE_REMOVE;
}

static void stop_instance(soak_t *soak, instance_t *instance)
{
	stop_t stop = { .soak = soak,
			.instance = instance,
			.incarnation = instance->incarnation };
	gboolean drains = draw(soak, 0, 99) < DRAIN_PERCENT;
	guint events = draw(soak, 0, EVENTS_PER_STOP_MAX);

	if (!instance->process || instance->sigterm_at)
		return;
	soak_log("stop e%u, %s", instance->index,
		 drains ? "by the operator" : "SIGTERM");
	if (drains)
		fleet_drain_instance(soak, instance);
	else
		fleet_terminate(instance);
	while (events--) {
		stop.event = (event_t)draw(soak, 0, EVENT_KINDS - 1);
		g_timeout_add(draw(soak, 0, EVENT_DELAY_MAX_MS), on_event_due,
			      stop_copy(&stop));
	}
	on_request_due(stop_copy(&stop));
}

static void stop_some(soak_t *soak)
{
	guint count =
		MAX(STOPS_PER_ROUND_MIN, soak->options.instances / FLEET_SHARE);
	guint first = draw(soak, 0, soak->options.instances - 1);

	while (count--)
		stop_instance(soak,
			      soak_instance(soak,
					    (first + count) %
						    soak->options.instances));
}

static gboolean on_series_due(gpointer data);

static gboolean on_round_due(gpointer data)
{
	series_t *series = data;
	soak_t *soak = series->soak;

	if (faults_are_over(soak)) {
		g_free(series);
		return G_SOURCE_REMOVE;
	}
	stop_some(soak);
	if (--series->rounds) {
		g_timeout_add(draw(soak, ROUND_INTERVAL_MIN_MS,
				   ROUND_INTERVAL_MAX_MS),
			      on_round_due, series);
		return G_SOURCE_REMOVE;
	}
	g_free(series);
	g_timeout_add(SHUTDOWN_MAX_MS + draw(soak, PAUSE_MIN_MS, PAUSE_MAX_MS),
		      on_series_due, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_series_due(gpointer data)
{
	soak_t *soak = data;
	series_t *series = g_new0(series_t, 1);

	series->soak = soak;
	series->rounds = draw(soak, ROUNDS_MIN, ROUNDS_MAX);
	if (draw(soak, 0, 99) < QUIET_PERCENT)
		soak->quiet_until =
			MAX(soak->quiet_until,
			    soak_now() +
				    (series->rounds * ROUND_INTERVAL_MAX_MS +
				     SHUTDOWN_MAX_MS) *
					    (GTimeSpan)G_TIME_SPAN_MILLISECOND);
	on_round_due(series);
	return G_SOURCE_REMOVE;
}

void stops_start(soak_t *soak)
{
	g_timeout_add(draw(soak, FIRST_MIN_MS, FIRST_MAX_MS), on_series_due,
		      soak);
}
