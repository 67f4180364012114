/* Sends random requests and checks each response. */
#include <string.h>

#include "net/system_clock.h"
#include "tests/soak/soak.h"

#define TICK_MS 10
#define DEADLINE_MS 3000
/* Longer than ROUTE_TIMEOUT_MS, for a busy CPU. */
#define CALLER_TIMEOUT (6 * G_TIME_SPAN_SECOND)
#define IDLE_MAX (10 * G_TIME_SPAN_SECOND)

static guint timer;
static double due_requests; /* may be fractional */

static void request_free(gpointer data)
{
	soak_request_t *request = data;

	g_free(request->id);
	g_free(request->expected_body);
	g_free(request);
}

static void check_success(soak_t *soak, const soak_request_t *request,
			  const http_message_t *response)
{
	gsize size;
	const char *body = g_bytes_get_data(response->body, &size);

	if (!http_message_header(response, "X-Response-Signature"))
		soak_violation(soak, "MIXED",
			       "%s: response %u without signature", request->id,
			       response->status);
	else if (size != strlen(request->expected_body) ||
		 memcmp(body, request->expected_body, size) != 0)
		soak_violation(soak, "MIXED",
			       "%s: body \"%.*s\" instead of \"%s\"",
			       request->id, (int)size, body,
			       request->expected_body);
}

static void check_config(soak_t *soak, const soak_request_t *request,
			 instance_t *instance)
{
	GTimeSpan acked = g_array_index(soak->config_acked_at, GTimeSpan,
					request->config_version);
	GTimeSpan now = soak_now();

	if (request->status != 404) {
		if (request->status == 200 &&
		    instance->incarnation == request->incarnation &&
		    instance->config_version_seen < request->config_version) {
			instance->config_version_seen = request->config_version;
			instance->config_version_seen_at = now;
		}
		return;
	}
	if (acked && request->sent_at > acked + CHANGE_PROPAGATION_MAX &&
	    soak_is_fault_free(soak, instance, acked, now))
		soak_violation(soak, "CONFIG", "%s: e%u does not serve r%u",
			       request->id, instance->index,
			       request->config_version);
	if (instance->incarnation == request->incarnation &&
	    instance->config_version_seen >= request->config_version &&
	    request->sent_at >
		    instance->config_version_seen_at + DOWNGRADE_GRACE)
		soak_violation(soak, "REVERT", "%s: e%u no longer serves r%u",
			       request->id, instance->index,
			       request->config_version);
}

static void on_ended(void *ctx, guint64 id, const http_client_result_t *result)
{
	soak_t *soak = ctx;
	gchar *name = g_strdup_printf("q%" G_GUINT64_FORMAT, id);
	soak_request_t *request = g_hash_table_lookup(soak->requests, name);
	instance_t *instance = soak_instance(soak, request->instance);

	soak_record_stall(soak);
	g_free(name);
	request->ended_at = soak_now();
	request->held_up = soak_busy_time() - request->busy_before;
	request->end = result->end;
	if (result->end == HTTP_CLIENT_MALFORMED)
		soak_violation(soak, "MIXED", "%s: malformed response",
			       request->id);
	if (result->end == HTTP_CLIENT_TIMED_OUT &&
	    instance->incarnation == request->incarnation &&
	    soak_is_fault_free(soak, instance, request->sent_at,
			       request->ended_at))
		soak_violation(soak, "LATE", "%s: no response from e%u",
			       request->id, instance->index);
	if (result->end != HTTP_CLIENT_COMPLETED)
		return;
	request->status = result->response->status;
	request->endpoint_answered =
		http_message_header(result->response, "X-Response-Signature") !=
		NULL;
	if (request->status / 100 == 2)
		check_success(soak, request, result->response);
	rules_check_response(soak, request, instance, result->response);
	if (request->config_version)
		check_config(soak, request, instance);
}

/* The path component that tells fake_endpoint how to answer. */
static const char *draw_endpoint_behaviour(GRand *random)
{
	static const char *const rare[] = { "reset",   "shed",	"early",
					    "foreign", "extra", "error" };

	if (g_rand_int_range(random, 0, 100) < 10)
		return rare[g_rand_int_range(random, 0, G_N_ELEMENTS(rare))];
	return g_rand_int_range(random, 0, 100) < 20 ? "slow" : "plain";
}

static void draw_plan(const soak_t *soak, soak_request_plan_t *plan)
{
	GRand *random = soak->traffic_random;

	plan->instance = (guint)g_rand_int_range(
		random, 0, (gint32)soak->options.instances);
	plan->idempotent = g_rand_int_range(random, 0, 100) < 60;
	plan->method = "GET";
	if (plan->idempotent && g_rand_int_range(random, 0, 100) < 20)
		plan->config_version = (guint)g_rand_int_range(
			random, (gint32)MAX(soak->config_version, 3) - 2,
			(gint32)soak->config_version + 1);
	if (!plan->idempotent)
		plan->method = g_rand_boolean(random) ? "PUT" : "POST";
	if (!plan->config_version)
		plan->behaviour = draw_endpoint_behaviour(random);
}

static soak_request_t *request_new(soak_t *soak,
				   const soak_request_plan_t *plan)
{
	soak_request_t *request = g_new0(soak_request_t, 1);

	request->id =
		g_strdup_printf("q%" G_GUINT64_FORMAT, ++soak->last_request_id);
	request->instance = plan->instance;
	request->incarnation = soak_instance(soak, plan->instance)->incarnation;
	request->sent_at = soak_now();
	request->busy_before = soak_busy_time();
	request->idempotent = plan->idempotent;
	request->config_version = plan->config_version;
	g_hash_table_insert(soak->requests, request->id, request);
	return request;
}

static gchar *format_target(const soak_request_plan_t *plan, guint64 number)
{
	if (plan->config_version)
		return g_strdup_printf("/v%u/plain", plan->config_version);
	return g_strdup_printf("/%s/%s?n=%" G_GUINT64_FORMAT,
			       plan->idempotent ? "safe" : "once",
			       plan->behaviour, number);
}

void traffic_send(soak_t *soak, const soak_request_plan_t *plan)
{
	soak_request_t *request = request_new(soak, plan);
	guint64 number = soak->last_request_id;
	gchar *target = format_target(plan, number);
	GString *headers = g_string_new(NULL);
	gchar *body = plan->idempotent ?
			      g_strdup("") :
			      g_strdup_printf("b%" G_GUINT64_FORMAT, number);
	gchar *address = g_strdup_printf(
		"127.0.0.1:%u", fleet_proxy_port(soak, plan->instance));
	http_client_request_t sent = {
		.id = number,
		.address = address,
		.message = g_string_new(NULL),
		.timeout = CALLER_TIMEOUT,
		.idle_max = plan->new_connection ? 0 : IDLE_MAX,
	};

	rules_choose_key(soak, request, headers);
	request->expected_body = g_strdup_printf("%s %s %s %s", plan->method,
						 target, request->id, body);
	g_string_printf(sent.message,
			"%s %s HTTP/1.1\r\nHost: a.example\r\n"
			"X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			"%sContent-Length: %zu\r\n\r\n%s",
			plan->method, target, request->id, DEADLINE_MS,
			headers->str, strlen(body), body);
	http_client_send(soak->client, &sent);
	g_string_free(headers, TRUE);
	g_string_free(sent.message, TRUE);
	g_free(address);
	g_free(target);
	g_free(body);
}

static gboolean on_tick(gpointer data)
{
	soak_t *soak = data;

	due_requests += soak->options.requests_per_second * TICK_MS / 1000.0;
	for (; due_requests >= 1; due_requests -= 1) {
		soak_request_plan_t plan = { 0 };

		draw_plan(soak, &plan);
		traffic_send(soak, &plan);
	}
	return G_SOURCE_CONTINUE;
}

void traffic_start(soak_t *soak)
{
	http_client_events_t events = { .ended = on_ended, .ctx = soak };
	const http_message_limits_t limits = { 0 };

	soak->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       request_free);
	soak->client = http_client_new(&events, &limits, &system_clock);
	timer = g_timeout_add(TICK_MS, on_tick, soak);
}

/* The client ends each request in time, so one without an end is lost here. */
static void report_unended(soak_t *soak)
{
	const soak_request_t *request;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		if (!request->ended_at)
			soak_violation(soak, "LATE",
				       "%s to e%u has not ended, answers were "
				       "not checked",
				       request->id, request->instance);
}

static gboolean all_ended(void *ctx)
{
	const soak_t *soak = ctx;
	const soak_request_t *request;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, soak->requests);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&request))
		if (!request->ended_at)
			return FALSE;
	return TRUE;
}

void traffic_stop(soak_t *soak)
{
	const guint slack_ms = 500;

	g_source_remove(timer);
	if (!wait_until(all_ended, soak,
			(guint)(CALLER_TIMEOUT / G_TIME_SPAN_MILLISECOND) +
				slack_ms))
		report_unended(soak);
	http_client_free(soak->client);
	soak->client = NULL;
}
