/* Draws random faults with their target and duration, and applies them. */
#include "net/system_clock.h"
#include "tests/soak/soak.h"

#include <signal.h>

/* About 2.5 faults per second of 0.2 to 3 s each, so that they overlap. */
#define INTERVAL_MIN_MS 50 /* between two faults */
#define INTERVAL_MAX_MS 750
#define DURATION_MIN_MS 200
#define DURATION_MAX_MS 3000
#define DELAY_MAX_MS 400
#define RESTART_DELAY_MAX_MS 1500 /* after a kill */
#define REGULAR_CHANGE_MS 3500 /* period of on_regular_change() */
/* Endpoints get faults only while more than this many run without draining. */
#define ENDPOINTS_MIN 3
/* Chance of a time without new faults; some guarantees hold only then. */
#define QUIET_PERCENT 4
#define QUIET_MS 7000

/* What ends one fault; pointers that do not apply are NULL. */
typedef struct {
	soak_t *soak;
	soak_proxy_t *proxy; /* to set to PROXY_PASS */
	GArray *fault_intervals; /* of the proxy */
	instance_t *instance; /* to resume */
	guint incarnation; /* of the paused instance */
	endpoint_t *endpoint; /* to resume */
	gboolean store; /* to set to "none" */
} recovery_t;

typedef struct {
	const char *name;
	guint weight;
	void (*apply)(soak_t *soak);
} fault_kind_t;

gboolean faults_are_over(const soak_t *soak)
{
	return soak_now() >= soak->faults_end_at;
}

guint faults_draw(GRand *random, guint min, guint max)
{
	return (guint)g_rand_int_range(random, (gint32)min, (gint32)max + 1);
}

static guint draw(soak_t *soak, guint min, guint max)
{
	return faults_draw(soak->fault_random, min, max);
}

static instance_t *draw_instance(soak_t *soak)
{
	return soak_instance(soak, draw(soak, 0, soak->options.instances - 1));
}

endpoint_t *faults_draw_endpoint(const soak_t *soak, GRand *random)
{
	endpoint_t *endpoint, *chosen = NULL;
	guint seen = 0;

	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		if (endpoint->process && !endpoint->stop_at &&
		    faults_draw(random, 0, seen++) == 0)
			chosen = endpoint;
	return seen > ENDPOINTS_MIN ? chosen : NULL;
}

static endpoint_t *draw_endpoint(soak_t *soak)
{
	return faults_draw_endpoint(soak, soak->fault_random);
}

static void recover(recovery_t *recovery)
{
	if (recovery->proxy) {
		soak_proxy_set(recovery->proxy, PROXY_PASS, 0);
		fault_interval_end(recovery->fault_intervals, FAULT_CONNECTION);
	}
	if (recovery->instance &&
	    recovery->instance->incarnation == recovery->incarnation)
		fleet_pause(recovery->instance, FALSE);
	if (recovery->endpoint && recovery->endpoint->process)
		process_signal(recovery->endpoint->process, SIGCONT);
	if (recovery->store) {
		fleet_store_fault(recovery->soak, "none");
		fault_interval_end(recovery->soak->store_fault_intervals,
				   FAULT_STORE);
	}
}

static gboolean on_recovery_due(gpointer data)
{
	recover(data);
	g_free(data);
	return G_SOURCE_REMOVE;
}

static recovery_t *schedule_recovery(soak_t *soak)
{
	recovery_t *recovery = g_new0(recovery_t, 1);

	recovery->soak = soak;
	g_timeout_add(draw(soak, DURATION_MIN_MS, DURATION_MAX_MS),
		      on_recovery_due, recovery);
	return recovery;
}

static void disturb_proxy(soak_t *soak, soak_proxy_t *proxy,
			  GArray *fault_intervals, const char *label,
			  guint index)
{
	proxy_mode_t mode =
		(proxy_mode_t)draw(soak, PROXY_DELAY, PROXY_MODE_COUNT - 1);
	recovery_t *recovery;

	if (soak_proxy_is_faulty(proxy))
		return;
	soak_log("%s %u: %s", label, index, proxy_mode_name(mode));
	soak_proxy_set(proxy, mode, draw(soak, 10, DELAY_MAX_MS));
	fault_interval_begin(fault_intervals, FAULT_CONNECTION);
	recovery = schedule_recovery(soak);
	recovery->proxy = proxy;
	recovery->fault_intervals = fault_intervals;
}

static void disturb_store_connection(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	disturb_proxy(soak, instance->store_proxy, instance->fault_intervals,
		      "store connection of e", instance->index);
}

static void disturb_peer_connections(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	disturb_proxy(soak, instance->peer_proxy, instance->fault_intervals,
		      "peer connections of e", instance->index);
}

static void disturb_endpoint_connections(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (endpoint)
		disturb_proxy(soak, endpoint->proxy, endpoint->fault_intervals,
			      "connections to i-", endpoint->index);
}

static void pause_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);
	recovery_t *recovery;

	if (instance->paused || !instance->process)
		return;
	soak_log("pause e%u", instance->index);
	fleet_pause(instance, TRUE);
	recovery = schedule_recovery(soak);
	recovery->instance = instance;
	recovery->incarnation = instance->incarnation;
}

static void pause_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_log("pause %s", endpoint->id);
	process_signal(endpoint->process, SIGSTOP);
	schedule_recovery(soak)->endpoint = endpoint;
}

static void kill_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_log("kill e%u", instance->index);
	fleet_kill(instance, draw(soak, 0, RESTART_DELAY_MAX_MS) *
				     G_TIME_SPAN_MILLISECOND);
}

static void terminate_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_log("terminate e%u", instance->index);
	fleet_terminate(instance);
}

static void reload_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_log("reload e%u", instance->index);
	if (instance->process)
		process_signal(instance->process, SIGHUP);
}

static void crash_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_log("crash %s", endpoint->id);
	fleet_crash_endpoint(soak, endpoint);
}

static void drain_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_log("drain %s", endpoint->id);
	fleet_drain(soak, endpoint);
	fleet_add_endpoint(soak);
}

static void disturb_store(soak_t *soak)
{
	static const char *const modes[] = { "busy", "refuse", "silent" };
	const char *mode = modes[draw(soak, 0, G_N_ELEMENTS(modes) - 1)];

	soak_log("store: %s", mode);
	fleet_store_fault(soak, mode);
	fault_interval_begin(soak->store_fault_intervals, FAULT_STORE);
	schedule_recovery(soak)->store = TRUE;
}

static void compact_store(soak_t *soak)
{
	soak_log("store: compact");
	fleet_store_fault(soak, "compact");
}

static const fault_kind_t kinds[] = {
	{ "store connection", 10, disturb_store_connection },
	{ "peer connections", 8, disturb_peer_connections },
	{ "endpoint connections", 14, disturb_endpoint_connections },
	{ "instance pause", 8, pause_instance },
	{ "instance kill", 8, kill_instance },
	{ "instance stop", 10, terminate_instance },
	{ "instance reload", 5, reload_instance },
	{ "endpoint pause", 6, pause_endpoint },
	{ "endpoint crash", 5, crash_endpoint },
	{ "endpoint drain", 8, drain_endpoint },
	{ "store", 4, disturb_store },
	{ "store compaction", 4, compact_store },
	{ "configuration", 10, fleet_put_config },
};

static const fault_kind_t *draw_kind(soak_t *soak)
{
	guint total = 0, position, i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		total += kinds[i].weight;
	position = draw(soak, 0, total - 1);
	for (i = 0; position >= kinds[i].weight; i++)
		position -= kinds[i].weight;
	return &kinds[i];
}

static gboolean on_next_fault(gpointer data)
{
	soak_t *soak = data;
	guint interval_ms = draw(soak, INTERVAL_MIN_MS, INTERVAL_MAX_MS);

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	if (soak_now() >= soak->quiet_until)
		draw_kind(soak)->apply(soak);
	/* Without faults, changes must meet CHANGE_PROPAGATION_MAX. */
	if (draw(soak, 0, 99) < QUIET_PERCENT) {
		interval_ms = QUIET_MS;
		soak_log("rest");
	}
	g_timeout_add(interval_ms, on_next_fault, soak);
	return G_SOURCE_REMOVE;
}

/* Random faults alone change configuration and drain endpoints too rarely. */
static gboolean on_regular_change(gpointer data)
{
	soak_t *soak = data;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	if (soak_now() < soak->quiet_until)
		return G_SOURCE_CONTINUE;
	fleet_put_config(soak);
	drain_endpoint(soak);
	return G_SOURCE_CONTINUE;
}

void faults_start(soak_t *soak)
{
	soak->faults_end_at =
		soak_now() +
		soak->options.seconds * (GTimeSpan)G_TIME_SPAN_SECOND;
	g_timeout_add(INTERVAL_MAX_MS, on_next_fault, soak);
	g_timeout_add(REGULAR_CHANGE_MS, on_regular_change, soak);
	if (soak->options.outage_series)
		outages_start(soak);
	if (soak->options.stop_series)
		stops_start(soak);
	if (soak->options.rule_series)
		rules_start(soak);
}

void faults_wait_cleared(void)
{
	run_loop_for(DURATION_MAX_MS + 100);
}
