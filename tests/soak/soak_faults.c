/* The plan of the soak: which fault comes next, where, and for how long. */
#include "net/system_clock.h"
#include "tests/soak/soak.h"

#include <signal.h>

/* Mean of about 2.5 faults a second, each of 0.2 to 3 s: they overlap. */
#define GAP_MIN_MS 50
#define GAP_MAX_MS 750
#define LENGTH_MIN_MS 200
#define LENGTH_MAX_MS 3000
#define DELAY_MAX_MS 400
#define DOWN_MAX_MS 1500 /* of a killed instance */
#define CALM_CHANGE_MS 3500 /* between changes that come in any case */
/* Live endpoints that drains and crashes leave over. */
#define ENDPOINTS_LEFT 3
/* Chance of a time without new faults, in which the rules for calm hold. */
#define REST_PERCENT 4
#define REST_MS 7000

typedef struct {
	soak_t *soak;
	soak_proxy_t *proxy; /* whose fault ends */
	instance_t *instance; /* that runs on, or whose path heals */
	guint life; /* of the instance */
	endpoint_t *endpoint; /* that runs on */
	gboolean store; /* whose fault ends */
} healing_t;

typedef struct {
	const char *name;
	guint weight;
	void (*apply)(soak_t *soak);
} fault_kind_t;

static guint draw(soak_t *soak, guint min, guint max)
{
	return (guint)g_rand_int_range(soak->plan, (gint32)min,
				       (gint32)max + 1);
}

static instance_t *draw_instance(soak_t *soak)
{
	return soak_instance(soak, draw(soak, 0, soak->options.instances - 1));
}

/* A running endpoint that is not leaving, or NULL. */
static endpoint_t *draw_endpoint(soak_t *soak)
{
	endpoint_t *endpoint, *chosen = NULL;
	guint seen = 0;

	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		if (endpoint->process && !endpoint->end_at &&
		    draw(soak, 0, seen++) == 0)
			chosen = endpoint;
	return seen > ENDPOINTS_LEFT ? chosen : NULL;
}

static void heal(healing_t *healing)
{
	if (healing->proxy)
		soak_proxy_set(healing->proxy, PROXY_PASS, 0);
	if (healing->proxy && healing->instance)
		disturb_end(healing->instance->disturbances);
	else if (healing->instance && healing->instance->life == healing->life)
		fleet_pause(healing->instance, FALSE);
	if (healing->endpoint && healing->endpoint->process)
		process_signal(healing->endpoint->process, SIGCONT);
	if (healing->store) {
		fleet_store_fault(healing->soak, "none");
		disturb_end(healing->soak->store_disturbances);
	}
}

static gboolean on_heal(gpointer data)
{
	heal(data);
	g_free(data);
	return G_SOURCE_REMOVE;
}

static healing_t *heal_later(soak_t *soak)
{
	healing_t *healing = g_new0(healing_t, 1);

	healing->soak = soak;
	g_timeout_add(draw(soak, LENGTH_MIN_MS, LENGTH_MAX_MS), on_heal,
		      healing);
	return healing;
}

static void break_path(soak_t *soak, soak_proxy_t *proxy, instance_t *instance,
		       const char *what, guint index)
{
	proxy_mode_t mode =
		(proxy_mode_t)draw(soak, PROXY_DELAY, PROXY_MODE_COUNT - 1);
	healing_t *healing;

	if (soak_proxy_is_faulty(proxy))
		return;
	soak_note("%s %u: %s", what, index, proxy_mode_name(mode));
	soak_proxy_set(proxy, mode, draw(soak, 10, DELAY_MAX_MS));
	if (instance)
		disturb_begin(instance->disturbances);
	healing = heal_later(soak);
	healing->proxy = proxy;
	healing->instance = instance;
}

static void break_store_path(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	break_path(soak, instance->store_path, instance, "path to store of e",
		   instance->index);
}

static void break_peer_path(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	break_path(soak, instance->peer_path, instance, "peer path of e",
		   instance->index);
}

static void break_endpoint_path(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (endpoint)
		break_path(soak, endpoint->path, NULL, "path to i-",
			   endpoint->index);
}

static void pause_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);
	healing_t *healing;

	if (instance->paused || !instance->process)
		return;
	soak_note("pause e%u", instance->index);
	fleet_pause(instance, TRUE);
	healing = heal_later(soak);
	healing->instance = instance;
	healing->life = instance->life;
}

static void pause_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_note("pause %s", endpoint->id);
	process_signal(endpoint->process, SIGSTOP);
	heal_later(soak)->endpoint = endpoint;
}

static void kill_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_note("kill e%u", instance->index);
	fleet_kill(instance,
		   draw(soak, 0, DOWN_MAX_MS) * G_TIME_SPAN_MILLISECOND);
}

static void terminate_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_note("terminate e%u", instance->index);
	fleet_terminate(instance);
}

static void reload_instance(soak_t *soak)
{
	instance_t *instance = draw_instance(soak);

	soak_note("reload e%u", instance->index);
	if (instance->process)
		process_signal(instance->process, SIGHUP);
}

static void crash_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_note("crash %s", endpoint->id);
	fleet_crash_endpoint(soak, endpoint);
}

static void drain_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = draw_endpoint(soak);

	if (!endpoint)
		return;
	soak_note("drain %s", endpoint->id);
	fleet_drain(soak, endpoint);
	fleet_add_endpoint(soak);
}

static void break_store(soak_t *soak)
{
	static const char *const modes[] = { "busy", "refuse", "silent" };
	const char *mode = modes[draw(soak, 0, G_N_ELEMENTS(modes) - 1)];

	soak_note("store: %s", mode);
	fleet_store_fault(soak, mode);
	disturb_begin(soak->store_disturbances);
	heal_later(soak)->store = TRUE;
}

static void compact_store(soak_t *soak)
{
	soak_note("store: compact");
	fleet_store_fault(soak, "compact");
}

static void change_config(soak_t *soak)
{
	soak_note("configuration r%u", soak->config_version + 1);
	fleet_put_config(soak);
}

static const fault_kind_t kinds[] = {
	{ "store path", 10, break_store_path },
	{ "peer path", 8, break_peer_path },
	{ "endpoint path", 14, break_endpoint_path },
	{ "instance pause", 8, pause_instance },
	{ "instance kill", 8, kill_instance },
	{ "instance stop", 10, terminate_instance },
	{ "instance reload", 5, reload_instance },
	{ "endpoint pause", 6, pause_endpoint },
	{ "endpoint crash", 5, crash_endpoint },
	{ "endpoint drain", 8, drain_endpoint },
	{ "store", 4, break_store },
	{ "store history", 4, compact_store },
	{ "configuration", 10, change_config },
};

static const fault_kind_t *draw_kind(soak_t *soak)
{
	guint total = 0, place, i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		total += kinds[i].weight;
	place = draw(soak, 0, total - 1);
	for (i = 0; place >= kinds[i].weight; i++)
		place -= kinds[i].weight;
	return &kinds[i];
}

static gboolean on_next(gpointer data)
{
	soak_t *soak = data;
	guint gap = draw(soak, GAP_MIN_MS, GAP_MAX_MS);

	if (soak_now() >= soak->faults_end)
		return G_SOURCE_REMOVE;
	draw_kind(soak)->apply(soak);
	/* A change within a calm time is judged by the bounds. */
	if (draw(soak, 0, 99) < REST_PERCENT) {
		gap = REST_MS;
		soak_note("rest");
	}
	g_timeout_add(gap, on_next, soak);
	return G_SOURCE_REMOVE;
}

/* Rare faults alone would leave the bounds on drain and configuration untried. */
static gboolean on_regular_change(gpointer data)
{
	soak_t *soak = data;

	if (soak_now() >= soak->faults_end)
		return G_SOURCE_REMOVE;
	change_config(soak);
	drain_endpoint(soak);
	return G_SOURCE_CONTINUE;
}

void faults_start(soak_t *soak)
{
	soak->faults_end = soak_now() + soak->options.seconds *
						(GTimeSpan)G_TIME_SPAN_SECOND;
	g_timeout_add(GAP_MAX_MS, on_next, soak);
	g_timeout_add(CALM_CHANGE_MS, on_regular_change, soak);
}

void faults_wait(void)
{
	run_loop_for(LENGTH_MAX_MS + 100);
}
