/* The processes of the soak: store, endpoints and instances. */
#include <signal.h>
#include <string.h>

#include "net/system_clock.h"
#include "tests/soak/soak.h"

#define START_MS 3000
#define PORTS_PER_INSTANCE 7
/* An endpoint that drains serves on for the bound and a little longer. */
#define DRAIN_TIME (3 * G_TIME_SPAN_SECOND)
/* The entry of an endpoint that crashed lapses after three heartbeats. */
#define LAPSE_MS 1500
#define OPERATOR_TIMEOUT (5 * G_TIME_SPAN_SECOND)
/* Beyond the setting: the last answers, the checks every 50 ms, a busy CPU. */
#define STOP_SLACK_MS 3000

enum { CALLER, PEER, PEER_PROXY, PROXY, DIRECTORY, READY, STORE_PROXY };

static guint instance_port(const soak_t *soak, guint instance, guint which)
{
	return soak->options.port_base + 10 + instance * PORTS_PER_INSTANCE +
	       which;
}

guint fleet_proxy_port(const soak_t *soak, guint instance)
{
	return instance_port(soak, instance, PROXY);
}

static guint endpoint_port(const soak_t *soak, guint index, gboolean proxy)
{
	return instance_port(soak, soak->options.instances, 0) + 2 * index +
	       proxy;
}

static guint store_port(const soak_t *soak)
{
	return soak->options.port_base;
}

GTimeSpan soak_now(void)
{
	return catk_clock_now(&system_clock);
}

void disturb_begin(GArray *disturbances)
{
	disturbance_t disturbance = { .from = soak_now(), .to = CATK_NEVER };

	g_array_append_val(disturbances, disturbance);
}

/* Disturbances of one thing may overlap: the first open one ends. */
void disturb_end(GArray *disturbances)
{
	guint i;

	for (i = 0; i < disturbances->len; i++) {
		disturbance_t *disturbance =
			&g_array_index(disturbances, disturbance_t, i);

		if (disturbance->to != CATK_NEVER)
			continue;
		disturbance->to = soak_now();
		return;
	}
}

static gboolean was_calm(const GArray *disturbances, GTimeSpan from,
			 GTimeSpan to)
{
	guint i;

	for (i = 0; i < disturbances->len; i++) {
		const disturbance_t *disturbance =
			&g_array_index(disturbances, disturbance_t, i);

		if (disturbance->from <= to &&
		    disturbance->to >= from - BOUND_CONTACT)
			return FALSE;
	}
	return TRUE;
}

gboolean soak_in_touch(const soak_t *soak, const instance_t *instance,
		       GTimeSpan from, GTimeSpan to)
{
	return was_calm(instance->disturbances, from, to) &&
	       was_calm(soak->store_disturbances, from, to);
}

instance_t *soak_instance(const soak_t *soak, guint index)
{
	instance_t *instance;

	TAILQ_FOREACH (instance, &soak->instances, link)
		if (instance->index == index)
			return instance;
	return NULL;
}

/* An operator's write. what is told to on_written(). */
typedef struct {
	soak_t *soak;
	guint64 call;
	endpoint_t *drains; /* NULL for none */
	guint version; /* of a configuration, 0 for none */
} write_t;

static GHashTable *writes; /* call -> write_t */

static void on_written(void *ctx, guint64 id,
		       const http_client_result_t *result)
{
	soak_t *soak = ctx;
	write_t *write = g_hash_table_lookup(writes, &id);

	if (result->end != HTTP_CLIENT_COMPLETED ||
	    result->response->status != 200)
		soak_note("a write to the store was not acknowledged");
	else if (write->drains)
		write->drains->drained = soak_now();
	else if (write->version)
		g_array_index(soak->config_acked, GTimeSpan, write->version) =
			soak_now();
	g_hash_table_remove(writes, &id);
}

static write_t *write_store(soak_t *soak, const char *method, const char *path,
			    const char *body)
{
	write_t *write = g_new0(write_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", store_port(soak));
	http_client_request_t request = {
		.id = ++soak->last_call,
		.address = address,
		.message = g_string_new(NULL),
		.timeout = OPERATOR_TIMEOUT,
		.idle_max = G_TIME_SPAN_SECOND,
	};

	write->soak = soak;
	write->call = request.id;
	g_hash_table_insert(writes, &write->call, write);
	g_string_printf(request.message,
			"%s %s HTTP/1.1\r\nHost: %s\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, address, strlen(body), body);
	http_client_send(soak->operator_client, &request);
	g_string_free(request.message, TRUE);
	g_free(address);
	return write;
}

void fleet_store_fault(soak_t *soak, const char *mode)
{
	gchar *path = g_strdup_printf("/fault/%s", mode);

	write_store(soak, "POST", path, "");
	g_free(path);
}

static void append_route(GString *text, const char *name, const char *prefix,
			 const char *type)
{
	g_string_append_printf(
		text,
		"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"%s\"},"
		"\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"%s\","
		"\"route_type\":\"%s\",\"timeout_ms\":2000,"
		"\"target_latency_ms\":1000,\"priority\":1,"
		"\"max_attempts\":2,\"service\":\"s\"}},",
		name, prefix, type);
}

/* Each version adds a route, by which callers see it. */
void fleet_put_config(soak_t *soak)
{
	guint version = ++soak->config_version;
	GString *text = g_string_new(NULL);
	GTimeSpan none = 0;
	guint i;

	while (soak->config_acked->len <= version)
		g_array_append_val(soak->config_acked, none);
	g_string_printf(text, "{\"version\":\"r%u\",\"resources\":[", version);
	append_route(text, "safe", "/safe/", "safe");
	append_route(text, "once", "/once/", "unsafe");
	for (i = 1; i <= version; i++) {
		gchar *name = g_strdup_printf("v%u", i);
		gchar *prefix = g_strdup_printf("/%s/", name);

		append_route(text, name, prefix, "safe");
		g_free(prefix);
		g_free(name);
	}
	g_string_append(text,
			"{\"entry_kind\":\"services\",\"metadata\":{\"name\":"
			"\"s\"},\"spec\":{\"health_path\":\"/healthz\","
			"\"max_connections\":200}},{\"entry_kind\":\"limits\","
			"\"metadata\":{},\"spec\":{\"max_header_bytes\":4000,"
			"\"max_body_bytes\":10000,\"header_timeout_ms\":500,"
			"\"idle_timeout_ms\":15000}}]}");
	write_store(soak, "PUT", "/-/objects/config/main", text->str)->version =
		version;
	g_string_free(text, TRUE);
}

static write_t *put_endpoint(soak_t *soak, endpoint_t *endpoint,
			     const char *state)
{
	gchar *path = g_strdup_printf("/-/objects/servers/%s", endpoint->id);
	gchar *body = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"k%u\",\"version\":\"v1\",\"max_concurrency\":3,"
		"\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":%u,"
		"\"born\":%u}",
		endpoint_port(soak, endpoint->index, TRUE), endpoint->index % 2,
		state, ++endpoint->sequence, endpoint->index + 1);
	write_t *write = write_store(soak, "PUT", path, body);

	g_free(body);
	g_free(path);
	return write;
}

static void remove_entry(soak_t *soak, const endpoint_t *endpoint)
{
	gchar *path = g_strdup_printf("/-/objects/servers/%s", endpoint->id);

	write_store(soak, "DELETE", path, "");
	g_free(path);
}

endpoint_t *fleet_add_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);
	gchar *port;

	endpoint->index = soak->endpoint_count++;
	endpoint->id = g_strdup_printf("i-%u", endpoint->index);
	endpoint->log = g_strdup_printf("%s/%s.log", soak->options.folder,
					endpoint->id);
	port = g_strdup_printf("%u",
			       endpoint_port(soak, endpoint->index, FALSE));
	endpoint->started = soak_now();
	endpoint->process = process_start("fake_endpoint", "--port", port,
					  "--id", endpoint->id, "--log",
					  endpoint->log, NULL);
	endpoint->path =
		soak_proxy_new(endpoint_port(soak, endpoint->index, TRUE),
			       endpoint_port(soak, endpoint->index, FALSE));
	TAILQ_INSERT_TAIL(&soak->endpoints, endpoint, link);
	put_endpoint(soak, endpoint, "ready");
	g_free(port);
	return endpoint;
}

void fleet_drain(soak_t *soak, endpoint_t *endpoint)
{
	put_endpoint(soak, endpoint, "draining")->drains = endpoint;
	endpoint->end_at = soak_now() + BOUND_CHANGE + DRAIN_TIME;
}

static void end_endpoint(endpoint_t *endpoint)
{
	g_clear_pointer(&endpoint->process, process_free);
	endpoint->ended = soak_now();
	endpoint->end_at = 0;
}

static gboolean on_lapsed(gpointer data)
{
	const write_t *lapse = data;

	remove_entry(lapse->soak, lapse->drains);
	g_free(data);
	return G_SOURCE_REMOVE;
}

void fleet_crash_endpoint(soak_t *soak, endpoint_t *endpoint)
{
	write_t *lapse = g_new0(write_t, 1);

	lapse->soak = soak;
	lapse->drains = endpoint;
	end_endpoint(endpoint);
	g_timeout_add(LAPSE_MS, on_lapsed, lapse);
	fleet_add_endpoint(soak);
}

static void start_instance(soak_t *soak, instance_t *instance)
{
	guint i = instance->index;
	gchar *path = g_strdup_printf("%s/e%u.json", soak->options.folder, i);
	gchar *log = g_strdup_printf("%s/e%u.log", soak->options.folder, i);
	gchar *text = g_strdup_printf(
		"{\"instance\":\"e%u\",\"data_centre\":\"k%u\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\","
		"\"peer_listen\":\"127.0.0.1:%u\","
		"\"seeds\":[\"127.0.0.1:%u\",\"127.0.0.1:%u\"],"
		"\"proxy_address\":\"127.0.0.1:%u\","
		"\"directory_address\":\"127.0.0.1:%u\","
		"\"ready_address\":\"127.0.0.1:%u\","
		"\"metadata_store\":\"127.0.0.1:%u\","
		"\"routing\":\"expected_latency\",\"probe_fanout\":3,"
		"\"probes_per_second\":%u,\"concurrency_max\":100,"
		"\"entries_max\":%u,\"retry_percent\":%u,\"retry_saved\":%u,"
		"\"change_bound_ms\":%u,\"resolve_ttl_ms\":500,"
		"\"resolve_addresses\":8,\"request_id_lifetime_ms\":100,"
		"\"shutdown_max_ms\":%u}",
		i, i % 2, instance_port(soak, i, CALLER),
		instance_port(soak, i, PEER_PROXY),
		instance_port(soak, i, PEER),
		instance_port(soak, 0, PEER_PROXY),
		instance_port(soak, 1, PEER_PROXY),
		instance_port(soak, i, PROXY),
		instance_port(soak, i, DIRECTORY),
		instance_port(soak, i, READY),
		instance_port(soak, i, STORE_PROXY), PROBES_PER_SECOND,
		soak->options.instances, RETRY_PERCENT, RETRY_SAVED,
		(guint)(BOUND_CHANGE / G_TIME_SPAN_MILLISECOND), BOUND_STOP_MS);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	instance->life++;
	instance->config_seen = 0;
	instance->stopping = 0;
	instance->process = process_start_logged(log, soak->options.daemon,
						 "--settings", path, NULL);
	g_free(log);
	g_free(text);
	g_free(path);
}

static void add_instance(soak_t *soak, guint index)
{
	instance_t *instance = g_new0(instance_t, 1);

	instance->index = index;
	instance->disturbances =
		g_array_new(FALSE, FALSE, sizeof(disturbance_t));
	instance->store_path = soak_proxy_new(
		instance_port(soak, index, STORE_PROXY), store_port(soak));
	instance->peer_path =
		soak_proxy_new(instance_port(soak, index, PEER_PROXY),
			       instance_port(soak, index, PEER));
	TAILQ_INSERT_TAIL(&soak->instances, instance, link);
	start_instance(soak, instance);
}

static gboolean is_stored(void *ctx)
{
	const soak_t *soak = ctx;

	return g_array_index(soak->config_acked, GTimeSpan, 1) != 0;
}

void fleet_start(soak_t *soak)
{
	http_client_events_t events = { .ended = on_written, .ctx = soak };
	gchar *port = g_strdup_printf("%u", store_port(soak));
	guint i;

	writes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				       g_free);
	soak->operator_client = http_client_new(&events, &system_clock);
	soak->store = process_start("fake_store", "--port", port, NULL);
	g_free(port);
	run_loop_for(500);
	for (i = 0; i < soak->options.endpoints; i++)
		fleet_add_endpoint(soak);
	fleet_put_config(soak);
	if (!wait_until(is_stored, soak, START_MS))
		g_error("the store on port %u does not take writes: free the "
			"port or choose another base",
			store_port(soak));
	for (i = 0; i < soak->options.instances; i++)
		add_instance(soak, i);
}

/* A process that is down, or was killed, is disturbed until it runs again. */
static void take_down(instance_t *instance, GTimeSpan down)
{
	g_clear_pointer(&instance->process, process_free);
	instance->paused = FALSE;
	instance->stopping = 0;
	instance->restart_at = soak_now() + down;
}

void fleet_kill(instance_t *instance, GTimeSpan down)
{
	if (!instance->process)
		return;
	disturb_begin(instance->disturbances);
	take_down(instance, down);
}

void fleet_terminate(instance_t *instance)
{
	if (!instance->process || instance->stopping)
		return;
	disturb_begin(instance->disturbances);
	instance->stopping = soak_now();
	process_signal(instance->process, SIGTERM);
}

void fleet_pause(instance_t *instance, gboolean paused)
{
	if (!instance->process || instance->paused == paused)
		return;
	if (paused)
		disturb_begin(instance->disturbances);
	else
		disturb_end(instance->disturbances);
	instance->paused = paused;
	process_signal(instance->process, paused ? SIGSTOP : SIGCONT);
}

/* A pause after SIGTERM delays the stop. */
static gboolean is_overdue(const instance_t *instance)
{
	const GTimeSpan bound = (BOUND_STOP_MS + STOP_SLACK_MS) *
				(GTimeSpan)G_TIME_SPAN_MILLISECOND;
	const disturbance_t *last =
		&g_array_index(instance->disturbances, disturbance_t,
			       instance->disturbances->len - 1);

	return instance->stopping && !instance->paused &&
	       soak_now() > MAX(instance->stopping, last->from) + bound;
}

static void take_end(soak_t *soak, instance_t *instance)
{
	gboolean planned = instance->stopping != 0;
	int status = process_wait(instance->process);

	if (!planned)
		soak_violation(soak, "CRASH", "e%u ended by itself, status %d",
			       instance->index, status);
	else if (status != 0)
		soak_violation(soak, "STOP", "e%u ended with status %d",
			       instance->index, status);
	if (!planned)
		disturb_begin(instance->disturbances);
	take_down(instance, 0);
}

static void tick_instance(soak_t *soak, instance_t *instance)
{
	if (instance->process &&
	    !g_subprocess_get_identifier(instance->process->process))
		take_end(soak, instance);
	if (instance->process && is_overdue(instance)) {
		soak_violation(soak, "STOP", "e%u runs on after its bound",
			       instance->index);
		take_down(instance, 0);
	}
	if (!instance->process && soak_now() >= instance->restart_at) {
		start_instance(soak, instance);
		disturb_end(instance->disturbances);
	}
}

void fleet_tick(soak_t *soak)
{
	instance_t *instance;
	endpoint_t *endpoint;

	TAILQ_FOREACH (instance, &soak->instances, link)
		tick_instance(soak, instance);
	TAILQ_FOREACH (endpoint, &soak->endpoints, link) {
		if (!endpoint->end_at || soak_now() < endpoint->end_at)
			continue;
		remove_entry(soak, endpoint);
		end_endpoint(endpoint);
	}
}

static void instance_free(soak_t *soak, instance_t *instance)
{
	TAILQ_REMOVE(&soak->instances, instance, link);
	process_free(instance->process);
	soak_proxy_free(instance->store_path);
	soak_proxy_free(instance->peer_path);
	g_array_unref(instance->disturbances);
	g_free(instance);
}

static void endpoint_free(soak_t *soak, endpoint_t *endpoint)
{
	TAILQ_REMOVE(&soak->endpoints, endpoint, link);
	process_free(endpoint->process);
	soak_proxy_free(endpoint->path);
	g_free(endpoint->id);
	g_free(endpoint->log);
	g_free(endpoint);
}

void fleet_stop(soak_t *soak)
{
	while (!TAILQ_EMPTY(&soak->instances))
		instance_free(soak, TAILQ_FIRST(&soak->instances));
	while (!TAILQ_EMPTY(&soak->endpoints))
		endpoint_free(soak, TAILQ_FIRST(&soak->endpoints));
	process_free(soak->store);
	http_client_free(soak->operator_client);
	g_hash_table_unref(writes);
}
