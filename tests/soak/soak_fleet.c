/* Starts, stops and watches the store, the endpoints and the instances. */
#include <signal.h>
#include <string.h>

#include "net/system_clock.h"
#include "tests/soak/soak.h"

#define STORE_START_MS 3000
#define PORTS_PER_INSTANCE 7
/* A draining endpoint runs this much longer than CHANGE_PROPAGATION_MAX. */
#define DRAIN_EXTRA (3 * G_TIME_SPAN_SECOND)
/* The store entry of a crashed endpoint expires after three heartbeats. */
#define ENTRY_EXPIRY_MS 1500
/* For a killed process to be gone, on a busy machine. */
#define PROCESS_END_MS 60000
#define OPERATOR_TIMEOUT (5 * G_TIME_SPAN_SECOND)
/* Beyond SHUTDOWN_MAX_MS: last responses, checks every 50 ms, a busy CPU. */
#define SHUTDOWN_SLACK_MS 3000

enum {
	CALLER_PORT,
	PEER_PORT,
	PEER_PROXY_PORT,
	HTTP_PROXY_PORT,
	DIRECTORY_PORT,
	READY_PORT,
	STORE_PROXY_PORT
};

static guint instance_port(const soak_t *soak, guint instance, guint which)
{
	return soak->options.port_base + 10 + instance * PORTS_PER_INSTANCE +
	       which;
}

guint fleet_proxy_port(const soak_t *soak, guint instance)
{
	return instance_port(soak, instance, HTTP_PROXY_PORT);
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

void fault_interval_begin(GArray *fault_intervals, fault_cause_t cause)
{
	fault_interval_t interval = { .cause = cause,
				      .from = soak_now(),
				      .to = CATK_NEVER };

	g_array_append_val(fault_intervals, interval);
}

/* Faults may overlap; this ends the oldest one that is still open. */
void fault_interval_end(GArray *fault_intervals, fault_cause_t cause)
{
	guint i;

	for (i = 0; i < fault_intervals->len; i++) {
		fault_interval_t *interval =
			&g_array_index(fault_intervals, fault_interval_t, i);

		if (interval->to != CATK_NEVER || interval->cause != cause)
			continue;
		interval->to = soak_now();
		return;
	}
}

const fault_interval_t *fault_interval_find(const GArray *fault_intervals,
					    guint causes, GTimeSpan from,
					    GTimeSpan to)
{
	guint i;

	for (i = 0; i < fault_intervals->len; i++) {
		const fault_interval_t *interval =
			&g_array_index(fault_intervals, fault_interval_t, i);

		if ((interval->cause & causes) && interval->from <= to &&
		    interval->to >= from)
			return interval;
	}
	return NULL;
}

static gboolean is_fault_free(const GArray *fault_intervals, GTimeSpan from,
			      GTimeSpan to)
{
	return !fault_interval_find(fault_intervals, ~0u, from - RECONNECT_MAX,
				    to);
}

gboolean soak_is_fault_free(const soak_t *soak, const instance_t *instance,
			    GTimeSpan from, GTimeSpan to)
{
	return is_fault_free(instance->fault_intervals, from, to) &&
	       is_fault_free(soak->store_fault_intervals, from, to);
}

instance_t *soak_instance(const soak_t *soak, guint index)
{
	instance_t *instance;

	TAILQ_FOREACH (instance, &soak->instances, link)
		if (instance->index == index)
			return instance;
	return NULL;
}

/* A pending request of the operator; on_operation_ended() records its success. */
typedef struct {
	soak_t *soak;
	guint64 request_id;
	instance_t *drained; /* which the request stops, NULL for none */
	guint incarnation; /* of the instance */
	endpoint_t *endpoint; /* whose drain is stored, NULL for none */
	guint version; /* of the configuration stored, 0 for none */
	soak_evacuation_t *evacuation; /* which is stored, NULL for none */
} operation_t;

static GHashTable *pending_operations; /* request id -> operation_t */

/* An instance that did not confirm its drain gets SIGTERM instead. */
static void on_operation_failed(const operation_t *operation)
{
	instance_t *instance = operation->drained;

	if (!instance) {
		soak_log("the store did not confirm a write");
		return;
	}
	soak_log("e%u did not confirm its drain", instance->index);
	if (!instance->process ||
	    instance->incarnation != operation->incarnation)
		return;
	instance->sigterm_at = soak_now();
	process_signal(instance->process, SIGTERM);
}

static void on_operation_ended(void *ctx, guint64 id,
			       const http_client_result_t *result)
{
	soak_t *soak = ctx;
	operation_t *operation = g_hash_table_lookup(pending_operations, &id);

	if (result->end != HTTP_CLIENT_COMPLETED ||
	    result->response->status != 200)
		on_operation_failed(operation);
	else if (operation->endpoint)
		operation->endpoint->drain_acked_at = soak_now();
	else if (operation->evacuation)
		operation->evacuation->acked_at = soak_now();
	else if (operation->version)
		g_array_index(soak->config_acked_at, GTimeSpan,
			      operation->version) = soak_now();
	g_hash_table_remove(pending_operations, &id);
}

static operation_t *send_operator_request(soak_t *soak, guint port,
					  const char *method, const char *path,
					  const char *body)
{
	operation_t *operation = g_new0(operation_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", port);
	http_client_request_t request = {
		.id = ++soak->last_request_id,
		.address = address,
		.message = g_string_new(NULL),
		.timeout = OPERATOR_TIMEOUT,
		.idle_max = G_TIME_SPAN_SECOND,
	};

	operation->soak = soak;
	operation->request_id = request.id;
	g_hash_table_insert(pending_operations, &operation->request_id,
			    operation);
	g_string_printf(request.message,
			"%s %s HTTP/1.1\r\nHost: %s\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, address, strlen(body), body);
	http_client_send(soak->operator_client, &request);
	g_string_free(request.message, TRUE);
	g_free(address);
	return operation;
}

static operation_t *write_store(soak_t *soak, const char *method,
				const char *path, const char *body)
{
	return send_operator_request(soak, store_port(soak), method, path,
				     body);
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
		"\"route_type\":\"%s\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":1000,\"priority\":1,"
		"\"max_attempts\":2,\"service\":\"s\"}},",
		name, prefix, type, ROUTE_TIMEOUT_MS);
}

/* Version N adds the route /vN/, which shows callers that it is in force. */
void fleet_put_config(soak_t *soak)
{
	guint version = ++soak->config_version;
	GString *text = g_string_new(NULL);
	GTimeSpan none = 0;
	guint i;

	soak_log("configuration r%u", version);
	while (soak->config_acked_at->len <= version)
		g_array_append_val(soak->config_acked_at, none);
	g_string_printf(text, "{\"version\":\"r%u\",\"resources\":[", version);
	rules_append_organisations(soak, text);
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

static operation_t *put_endpoint(soak_t *soak, endpoint_t *endpoint,
				 const char *state)
{
	gchar *path = g_strdup_printf("/-/objects/servers/%s", endpoint->id);
	gchar *body = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"k%u\",\"version\":\"v1\",\"max_concurrency\":3,"
		"\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":%u,"
		"\"born\":%u}",
		endpoint_port(soak, endpoint->index, TRUE),
		endpoint->index % ZONES, state, ++endpoint->sequence,
		endpoint->index + 1);
	operation_t *operation = write_store(soak, "PUT", path, body);

	g_free(body);
	g_free(path);
	return operation;
}

static operation_t *remove_entry(soak_t *soak, const endpoint_t *endpoint)
{
	gchar *path = g_strdup_printf("/-/objects/servers/%s", endpoint->id);
	operation_t *operation = write_store(soak, "DELETE", path, "");

	g_free(path);
	return operation;
}

endpoint_t *fleet_add_endpoint(soak_t *soak)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);
	gchar *port;

	endpoint->index = soak->endpoints_started++;
	endpoint->id = g_strdup_printf("i-%u", endpoint->index);
	endpoint->log = g_strdup_printf("%s/%s.log", soak->options.directory,
					endpoint->id);
	port = g_strdup_printf("%u",
			       endpoint_port(soak, endpoint->index, FALSE));
	endpoint->started_at = soak_now();
	endpoint->process = process_start("fake_endpoint", "--port", port,
					  "--id", endpoint->id, "--log",
					  endpoint->log, NULL);
	endpoint->proxy =
		soak_proxy_new(endpoint_port(soak, endpoint->index, TRUE),
			       endpoint_port(soak, endpoint->index, FALSE));
	endpoint->fault_intervals =
		g_array_new(FALSE, FALSE, sizeof(fault_interval_t));
	TAILQ_INSERT_TAIL(&soak->endpoints, endpoint, link);
	put_endpoint(soak, endpoint, "ready");
	g_free(port);
	return endpoint;
}

void fleet_drain(soak_t *soak, endpoint_t *endpoint)
{
	put_endpoint(soak, endpoint, "draining")->endpoint = endpoint;
	endpoint->stop_at = soak_now() + CHANGE_PROPAGATION_MAX + DRAIN_EXTRA;
}

void fleet_remove(soak_t *soak, endpoint_t *endpoint)
{
	remove_entry(soak, endpoint)->endpoint = endpoint;
	endpoint->stop_at = soak_now() + CHANGE_PROPAGATION_MAX + DRAIN_EXTRA;
}

void fleet_rewrite(soak_t *soak, endpoint_t *endpoint)
{
	put_endpoint(soak, endpoint, "ready");
}

void fleet_put_malformed_entry(soak_t *soak, const char *spec)
{
	write_store(soak, "PUT", "/-/objects/servers/a-malformed", spec);
}

void fleet_write_evacuation(soak_t *soak, soak_evacuation_t *evacuation)
{
	gchar *path =
		g_strdup_printf("/-/objects/evacuations/k%u", evacuation->zone);

	if (evacuation->lifted_at != CATK_NEVER)
		write_store(soak, "DELETE", path, "");
	else if (evacuation->acked_at)
		write_store(soak, "PUT", path, "{}");
	else
		write_store(soak, "PUT", path, "{}")->evacuation = evacuation;
	g_free(path);
}

static gboolean is_last_of_zone(const soak_t *soak, guint index)
{
	const soak_evacuation_t *evacuation =
		g_ptr_array_index(soak->evacuations, index);
	const soak_evacuation_t *later;

	while (++index < soak->evacuations->len) {
		later = g_ptr_array_index(soak->evacuations, index);
		if (later->zone == evacuation->zone)
			return FALSE;
	}
	return TRUE;
}

void fleet_rewrite_all(soak_t *soak)
{
	endpoint_t *endpoint;
	guint i;

	fleet_put_config(soak);
	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		if (endpoint->process)
			put_endpoint(soak, endpoint,
				     endpoint->stop_at ? "draining" : "ready");
		else
			remove_entry(soak, endpoint);
	/* Evacuations follow each other: only the last of a zone counts. */
	for (i = 0; i < soak->evacuations->len; i++)
		if (is_last_of_zone(soak, i))
			fleet_write_evacuation(
				soak, g_ptr_array_index(soak->evacuations, i));
}

static void on_endpoint_gone(void *ctx)
{
	endpoint_t *endpoint = ctx;

	endpoint->ending = FALSE;
	endpoint->ended_at = soak_now();
}

static void stop_endpoint(endpoint_t *endpoint)
{
	process_t *process = g_steal_pointer(&endpoint->process);

	endpoint->stop_at = 0;
	endpoint->ending = TRUE;
	process_free_async(process, on_endpoint_gone, endpoint);
}

static gboolean on_entry_expired(gpointer data)
{
	const operation_t *expiry = data;

	remove_entry(expiry->soak, expiry->endpoint);
	g_free(data);
	return G_SOURCE_REMOVE;
}

void fleet_crash_endpoint(soak_t *soak, endpoint_t *endpoint)
{
	operation_t *expiry = g_new0(operation_t, 1);

	expiry->soak = soak;
	expiry->endpoint = endpoint;
	stop_endpoint(endpoint);
	g_timeout_add(ENTRY_EXPIRY_MS, on_entry_expired, expiry);
	fleet_add_endpoint(soak);
}

static void start_instance(soak_t *soak, instance_t *instance)
{
	guint i = instance->index;
	gchar *path =
		g_strdup_printf("%s/e%u.json", soak->options.directory, i);
	gchar *log = g_strdup_printf("%s/e%u.log", soak->options.directory, i);
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
		"\"shutdown_max_ms\":%u,\"evacuation_bound_ms\":%u}",
		i, i % ZONES, instance_port(soak, i, CALLER_PORT),
		instance_port(soak, i, PEER_PROXY_PORT),
		instance_port(soak, i, PEER_PORT),
		instance_port(soak, 0, PEER_PROXY_PORT),
		instance_port(soak, 1, PEER_PROXY_PORT),
		instance_port(soak, i, HTTP_PROXY_PORT),
		instance_port(soak, i, DIRECTORY_PORT),
		instance_port(soak, i, READY_PORT),
		instance_port(soak, i, STORE_PROXY_PORT), PROBES_PER_SECOND,
		soak->options.instances, RETRY_PERCENT, RETRY_SAVED,
		(guint)(CHANGE_PROPAGATION_MAX / G_TIME_SPAN_MILLISECOND),
		SHUTDOWN_MAX_MS,
		soak->options.rule_series ?
			(guint)(EVACUATION_MAX / G_TIME_SPAN_MILLISECOND) :
			0);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	instance->incarnation++;
	instance->config_version_seen = 0;
	instance->sigterm_at = 0;
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
	instance->fault_intervals =
		g_array_new(FALSE, FALSE, sizeof(fault_interval_t));
	instance->store_proxy = soak_proxy_new(
		instance_port(soak, index, STORE_PROXY_PORT), store_port(soak));
	instance->peer_proxy =
		soak_proxy_new(instance_port(soak, index, PEER_PROXY_PORT),
			       instance_port(soak, index, PEER_PORT));
	TAILQ_INSERT_TAIL(&soak->instances, instance, link);
	start_instance(soak, instance);
}

static gboolean is_stored(void *ctx)
{
	const soak_t *soak = ctx;

	return g_array_index(soak->config_acked_at, GTimeSpan, 1) != 0;
}

void fleet_start(soak_t *soak)
{
	http_client_events_t events = { .ended = on_operation_ended,
					.ctx = soak };
	const http_message_limits_t limits = { 0 };
	gchar *port = g_strdup_printf("%u", store_port(soak));
	guint i;

	pending_operations = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	soak->operator_client =
		http_client_new(&events, &limits, &system_clock);
	soak->store = process_start("fake_store", "--port", port, NULL);
	g_free(port);
	run_loop_for(500);
	for (i = 0; i < soak->options.endpoints; i++)
		fleet_add_endpoint(soak);
	fleet_put_config(soak);
	if (!wait_until(is_stored, soak, STORE_START_MS))
		g_error("the store on port %u does not accept writes: free the "
			"port or choose another --port-base",
			store_port(soak));
	for (i = 0; i < soak->options.instances; i++)
		add_instance(soak, i);
}

static void on_instance_gone(void *ctx)
{
	instance_t *instance = ctx;

	instance->ending = FALSE;
}

/* The fault intervals of the process last until the next start. */
static void mark_down(instance_t *instance, GTimeSpan downtime)
{
	process_t *process = g_steal_pointer(&instance->process);

	instance->ending = TRUE;
	process_free_async(process, on_instance_gone, instance);
	instance->paused = FALSE;
	instance->sigterm_at = 0;
	instance->restart_at = soak_now() + downtime;
}

void fleet_kill(instance_t *instance, GTimeSpan downtime)
{
	if (!instance->process)
		return;
	fault_interval_begin(instance->fault_intervals, FAULT_DOWN);
	mark_down(instance, downtime);
}

static gboolean begin_stop(instance_t *instance)
{
	if (!instance->process || instance->sigterm_at)
		return FALSE;
	fault_interval_begin(instance->fault_intervals, FAULT_STOP);
	instance->sigterm_at = soak_now();
	return TRUE;
}

void fleet_terminate(instance_t *instance)
{
	if (begin_stop(instance))
		process_signal(instance->process, SIGTERM);
}

void fleet_drain_instance(soak_t *soak, instance_t *instance)
{
	guint port = instance_port(soak, instance->index, CALLER_PORT);
	operation_t *operation;

	if (!begin_stop(instance))
		return;
	operation = send_operator_request(soak, port, "POST",
					  "/v1/operator/drain", "");
	operation->drained = instance;
	operation->incarnation = instance->incarnation;
}

void fleet_pause(instance_t *instance, gboolean paused)
{
	if (!instance->process || instance->paused == paused)
		return;
	if (paused)
		fault_interval_begin(instance->fault_intervals, FAULT_PAUSE);
	else
		fault_interval_end(instance->fault_intervals, FAULT_PAUSE);
	instance->paused = paused;
	process_signal(instance->process, paused ? SIGSTOP : SIGCONT);
}

/* A pause after SIGTERM extends the time for the shutdown. */
static gboolean exceeds_shutdown_bound(const instance_t *instance)
{
	const GTimeSpan bound = (SHUTDOWN_MAX_MS + SHUTDOWN_SLACK_MS) *
				(GTimeSpan)G_TIME_SPAN_MILLISECOND;
	const fault_interval_t *last =
		&g_array_index(instance->fault_intervals, fault_interval_t,
			       instance->fault_intervals->len - 1);

	return instance->sigterm_at && !instance->paused &&
	       soak_now() > MAX(instance->sigterm_at, last->from) + bound;
}

static void handle_exit(soak_t *soak, instance_t *instance)
{
	gboolean planned = instance->sigterm_at != 0;
	int status = process_wait(instance->process);

	if (!planned)
		soak_violation(soak, "CRASH",
			       "e%u exited unexpectedly with status %d",
			       instance->index, status);
	else if (status != 0)
		soak_violation(soak, "STOP",
			       "e%u exited with status %d after SIGTERM",
			       instance->index, status);
	if (!planned)
		fault_interval_begin(instance->fault_intervals, FAULT_DOWN);
	mark_down(instance, 0);
}

static void check_instance(soak_t *soak, instance_t *instance)
{
	if (instance->process &&
	    !g_subprocess_get_identifier(instance->process->process))
		handle_exit(soak, instance);
	if (instance->process && exceeds_shutdown_bound(instance)) {
		soak_violation(soak, "STOP",
			       "e%u did not exit in time after SIGTERM",
			       instance->index);
		mark_down(instance, 0);
	}
	if (!instance->process && !instance->ending &&
	    soak_now() >= instance->restart_at) {
		start_instance(soak, instance);
		fault_interval_end(instance->fault_intervals, FAULT_PAUSE);
		fault_interval_end(instance->fault_intervals, FAULT_DOWN);
		fault_interval_end(instance->fault_intervals, FAULT_STOP);
	}
}

void fleet_tick(soak_t *soak)
{
	instance_t *instance;
	endpoint_t *endpoint;

	TAILQ_FOREACH (instance, &soak->instances, link)
		check_instance(soak, instance);
	TAILQ_FOREACH (endpoint, &soak->endpoints, link) {
		if (!endpoint->stop_at || soak_now() < endpoint->stop_at)
			continue;
		remove_entry(soak, endpoint);
		stop_endpoint(endpoint);
	}
}

static void instance_free(soak_t *soak, instance_t *instance)
{
	TAILQ_REMOVE(&soak->instances, instance, link);
	process_free(instance->process);
	soak_proxy_free(instance->store_proxy);
	soak_proxy_free(instance->peer_proxy);
	g_array_unref(instance->fault_intervals);
	g_free(instance);
}

static void endpoint_free(soak_t *soak, endpoint_t *endpoint)
{
	TAILQ_REMOVE(&soak->endpoints, endpoint, link);
	process_free(endpoint->process);
	soak_proxy_free(endpoint->proxy);
	g_array_unref(endpoint->fault_intervals);
	g_free(endpoint->id);
	g_free(endpoint->log);
	g_free(endpoint);
}

static gboolean all_killed_are_gone(void *ctx)
{
	const soak_t *soak = ctx;
	const instance_t *instance;
	const endpoint_t *endpoint;

	TAILQ_FOREACH (instance, &soak->instances, link)
		if (instance->ending)
			return FALSE;
	TAILQ_FOREACH (endpoint, &soak->endpoints, link)
		if (endpoint->ending)
			return FALSE;
	return TRUE;
}

void fleet_stop(soak_t *soak)
{
	if (!wait_until(all_killed_are_gone, soak, PROCESS_END_MS))
		g_error("a killed process has not ended after %d ms",
			PROCESS_END_MS);
	while (!TAILQ_EMPTY(&soak->instances))
		instance_free(soak, TAILQ_FIRST(&soak->instances));
	while (!TAILQ_EMPTY(&soak->endpoints))
		endpoint_free(soak, TAILQ_FIRST(&soak->endpoints));
	process_free(soak->store);
	http_client_free(soak->operator_client);
	g_hash_table_unref(pending_operations);
}
