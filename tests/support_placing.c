#include "tests/support_placing.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS G_TIME_SPAN_MILLISECOND
#define START_TIME (100 * G_TIME_SPAN_SECOND)
#define LATENCY_NEAR 100 /* us, one way */
#define LATENCY_FAR 900 /* us, one way */
#define CONNECTION_TIME (1 * MS)
/* As net/http_client.c and net/proxy.c have them. */
#define IDLE_MAX (8 * G_TIME_SPAN_SECOND)
#define IDLE_MAX_NON_IDEMPOTENT (1 * G_TIME_SPAN_SECOND)
#define IDLE_CONNECTIONS_MAX 2
#define SLOWED_TIME (150 * MS)
/* Service is slower once four fifths of the slots are in use. */
#define BUSY_FACTOR 1.7
#define BUSY_SHARE 0.8

typedef enum {
	EVENT_ARRIVAL, /* next request of a service and data centre */
	EVENT_CALLER_RETRY,
	EVENT_TICK,
	EVENT_ATTEMPT, /* reaches its endpoint */
	EVENT_SERVED,
	EVENT_ANSWER, /* reaches its instance */
	EVENT_PROBE,
	EVENT_PROBE_ANSWER,
	EVENT_ACK /* of a ping between instances */
} event_kind_t;

typedef struct {
	GTimeSpan at;
	guint64 order;
	event_kind_t kind;
	guint a, b;
	void *object;
	load_report_t report;
	guint64 sequence;
} event_t;

typedef struct {
	guint service;
	guint data_centre;
	GTimeSpan since;
	guint retries;
	GTimeSpan remaining_at; /* instant of the deadline */
} request_t;

typedef struct {
	guint64 id;
	guint instance;
	guint endpoint;
	gboolean cancelled;
	gboolean running;
	gboolean idempotent;
} sim_attempt_t;

typedef struct {
	char id[16];
	guint service;
	guint data_centre;
	gboolean dead;
	guint running;
	GQueue waiting; /* of sim_attempt_t */
	GTimeSpan period, phase; /* of slowdowns */
} sim_endpoint_t;

typedef struct {
	entry_t *entry; /* NULL once it is dead */
	member_t self;
	counters_t counters;
	GTimeSpan tick_at;
	GHashTable *attempts; /* id -> sim_attempt_t */
	gboolean *used; /* endpoints, since the last reset */
} sim_instance_t;

typedef struct {
	guint idle_count;
	GTimeSpan idle_since[IDLE_CONNECTIONS_MAX]; /* oldest first */
} pool_t;

static struct {
	placing_options_t options;
	GTimeSpan now;
	catk_clock_t clock;
	GRand *random;
	guint64 next_order;
	GArray *heap; /* of event_t */
	sim_instance_t *instances;
	sim_endpoint_t *endpoints;
	guint endpoint_count;
	pool_t *pools; /* by instance and endpoint */
	gboolean dead[PLACING_DATA_CENTRES_MAX];
	gboolean evacuated[PLACING_DATA_CENTRES_MAX];
	guint64 evacuation_position;
	guint crossings[PLACING_DATA_CENTRES_MAX];
	placing_result_t result;
	guint probes_before;
} sim;

static GTimeSpan read_clock(void *ctx)
{
	(void)ctx;
	return sim.now;
}

static gboolean is_earlier(const event_t *a, const event_t *b)
{
	return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static event_t *heap_at(guint i)
{
	return &g_array_index(sim.heap, event_t, i);
}

static void swap_events(guint i, guint j)
{
	event_t saved = *heap_at(i);

	*heap_at(i) = *heap_at(j);
	*heap_at(j) = saved;
}

static void push(event_t event)
{
	guint i = sim.heap->len;

	event.order = sim.next_order++;
	g_array_append_val(sim.heap, event);
	for (; i && is_earlier(heap_at(i), heap_at((i - 1) / 2));
	     i = (i - 1) / 2)
		swap_events(i, (i - 1) / 2);
}

static event_t pop(void)
{
	event_t first = *heap_at(0);
	guint i = 0, child;

	*heap_at(0) = *heap_at(sim.heap->len - 1);
	g_array_set_size(sim.heap, sim.heap->len - 1);
	while ((child = 2 * i + 1) < sim.heap->len) {
		if (child + 1 < sim.heap->len &&
		    is_earlier(heap_at(child + 1), heap_at(child)))
			child++;
		if (!is_earlier(heap_at(child), heap_at(i)))
			break;
		swap_events(i, child);
		i = child;
	}
	return first;
}

static guint data_centre_of(guint instance)
{
	return instance % sim.options.data_centres;
}

static void schedule_tick(guint index)
{
	sim_instance_t *instance = &sim.instances[index];
	GTimeSpan wakeup;

	if (!instance->entry)
		return;
	wakeup = MAX(entry_next_wakeup(instance->entry), sim.now + 50);
	if (instance->tick_at > sim.now && instance->tick_at <= wakeup)
		return;
	instance->tick_at = wakeup;
	push((event_t){ .at = wakeup, .kind = EVENT_TICK, .a = index });
}

static gboolean is_slowed(const sim_endpoint_t *endpoint)
{
	return sim.options.slowdown_factor > 1 &&
	       (sim.now + endpoint->phase) % endpoint->period < SLOWED_TIME;
}

static load_report_t report_of(const sim_endpoint_t *endpoint)
{
	return (load_report_t){
		.in_flight = endpoint->running +
			     g_queue_get_length((GQueue *)&endpoint->waiting),
		.slots = sim.options.slots,
		.slowdown_percent = is_slowed(endpoint) ?
					    100 * sim.options.slowdown_factor :
					    100,
	};
}

static GTimeSpan latency(guint instance, guint endpoint)
{
	return data_centre_of(instance) == sim.endpoints[endpoint].data_centre ?
		       LATENCY_NEAR :
		       LATENCY_FAR;
}

/* Returns the time until the request reaches the endpoint. */
static GTimeSpan connect_to(guint instance, guint endpoint, GTimeSpan idle_max)
{
	pool_t *pool = &sim.pools[instance * sim.endpoint_count + endpoint];
	GTimeSpan time = latency(instance, endpoint);

	if (pool->idle_count &&
	    sim.now - pool->idle_since[pool->idle_count - 1] < idle_max) {
		pool->idle_count--;
		return time;
	}
	sim.result.connections++;
	return time * 3 + CONNECTION_TIME;
}

static void release_connection(guint instance, guint endpoint)
{
	pool_t *pool = &sim.pools[instance * sim.endpoint_count + endpoint];

	if (pool->idle_count == IDLE_CONNECTIONS_MAX)
		memmove(pool->idle_since, pool->idle_since + 1,
			sizeof(*pool->idle_since) * --pool->idle_count);
	pool->idle_since[pool->idle_count++] = sim.now;
}

static guint find_endpoint(const char *id)
{
	return (guint)atoi(id + 2);
}

static void on_start(void *ctx, const attempt_request_t *request)
{
	sim_instance_t *instance = ctx;
	guint index = (guint)(instance - sim.instances);
	sim_attempt_t *attempt = g_new0(sim_attempt_t, 1);
	guint e = find_endpoint(request->endpoint);

	attempt->id = request->attempt_id;
	attempt->instance = index;
	attempt->endpoint = e;
	attempt->idempotent = request->idempotent;
	g_hash_table_insert(instance->attempts, &attempt->id, attempt);
	instance->used[e] = TRUE;
	sim.result.attempts++;
	if (sim.endpoints[e].data_centre != data_centre_of(index)) {
		sim.result.crossings++;
		sim.crossings[data_centre_of(index)]++;
	}
	sim.result.evacuated_attempts +=
		sim.evacuated[sim.endpoints[e].data_centre] ? 1 : 0;
	push((event_t){ .at = sim.now +
			      connect_to(index, e,
					 request->idempotent ?
						 IDLE_MAX :
						 IDLE_MAX_NON_IDEMPOTENT),
			.kind = EVENT_ATTEMPT,
			.object = attempt });
}

/* A request that waits at its endpoint is dropped with its connection. */
static void on_cancel(void *ctx, guint64 attempt_id)
{
	sim_instance_t *instance = ctx;
	sim_attempt_t *attempt =
		g_hash_table_lookup(instance->attempts, &attempt_id);

	if (!attempt)
		return;
	attempt->cancelled = TRUE;
	g_hash_table_remove(instance->attempts, &attempt_id);
	if (g_queue_remove(&sim.endpoints[attempt->endpoint].waiting, attempt))
		g_free(attempt);
}

static void on_probe(void *ctx, const char *service, const char *endpoint)
{
	guint index = (guint)((sim_instance_t *)ctx - sim.instances);
	guint e = find_endpoint(endpoint);

	(void)service;
	sim.result.probes++;
	push((event_t){ .at = sim.now + connect_to(index, e, IDLE_MAX),
			.kind = EVENT_PROBE,
			.a = index,
			.b = e });
}

static void on_send(void *ctx, const char *address,
		    const peer_message_t *message)
{
	guint index = (guint)((sim_instance_t *)ctx - sim.instances);

	if (message->kind == PEER_MEMBERSHIP &&
	    message->u.membership.kind == MEMBERSHIP_PING)
		push((event_t){ .at = sim.now + MS,
				.kind = EVENT_ACK,
				.a = index,
				.b = (guint)atoi(address),
				.sequence = message->u.membership.sequence });
}

static void on_reply(void *ctx, guint64 connection,
		     const peer_message_t *message)
{
	(void)ctx;
	(void)connection;
	(void)message;
}

static gboolean try_again(request_t *request, const call_answer_t *answer)
{
	GTimeSpan at = sim.now + MAX(answer->error.retry_after, MS);

	if (request->retries >= sim.options.caller_retries ||
	    at >= request->remaining_at)
		return FALSE;
	request->retries++;
	push((event_t){
		.at = at, .kind = EVENT_CALLER_RETRY, .object = request });
	return TRUE;
}

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	request_t *request = caller_ref;
	const placing_service_t *service =
		&sim.options.services[request->service];

	(void)ctx;
	if (answer->error.kind == CATK_OK) {
		sim.result.work +=
			(double)service->service_time / G_TIME_SPAN_SECOND;
		if (sim.now - request->since <= service->objective)
			sim.result.in_time++;
		else
			sim.result.late++;
	} else if (answer->error.outcome != OUTCOME_NOT_RUN) {
		sim.result.lost++;
	} else if (try_again(request, answer)) {
		return;
	} else {
		sim.result.refused++;
	}
	g_free(request);
}

static schema_t *new_schema(void)
{
	schema_t *schema = schema_new();
	guint i;

	schema_add_priority(schema, "urgent", 10, NULL);
	schema_add_priority(schema, "normal", 10, NULL);
	for (i = 0; i < sim.options.service_count; i++) {
		const placing_service_t *service = &sim.options.services[i];
		gchar *name = g_strdup_printf("s%u", i);
		gchar *prefix = g_strdup_printf("/%u/", i);
		schema_route_t attributes = {
			.method = { .name = name,
				    .idempotent = service->idempotent,
				    .deadline = service->deadline },
			.host = "a.example",
			.prefix = prefix,
			.objective = service->objective,
			.attempts_max = 2,
		};

		schema_set_instance_list(schema_add_service(schema, name,
							    sim.options.slots,
							    1721, 42, NULL),
					 name, NULL);
		schema_add_target(
			schema,
			schema_add_route(
				schema, &attributes,
				service->priority ? "normal" : "urgent", NULL),
			name, 1, NULL);
		g_free(prefix);
		g_free(name);
	}
	return schema;
}

/* Lists the endpoints of each service. */
static void list_endpoints(entry_t *entry)
{
	endpoint_info_t *infos = g_new0(endpoint_info_t, sim.endpoint_count);
	guint service, e, count;
	char name[8];

	for (service = 0; service < sim.options.service_count; service++) {
		count = 0;
		for (e = 0; e < sim.endpoint_count; e++) {
			const sim_endpoint_t *endpoint = &sim.endpoints[e];
			endpoint_info_t *info = &infos[count];

			if (endpoint->service != service || endpoint->dead)
				continue;
			memset(info, 0, sizeof(*info));
			g_strlcpy(info->id, endpoint->id, sizeof(info->id));
			g_snprintf(info->address, sizeof(info->address),
				   "10.0.0.1:%u", e + 1);
			g_snprintf(info->data_centre, sizeof(info->data_centre),
				   "dc-%u", endpoint->data_centre);
			info->slots = sim.options.slots;
			count++;
		}
		g_snprintf(name, sizeof(name), "s%u", service);
		entry_set_endpoints(entry, name, infos, count);
	}
	g_free(infos);
}

static void introduce_members(entry_t *entry)
{
	peer_message_t message = { .kind = PEER_MEMBERSHIP };
	membership_message_t *ping = &message.u.membership;
	guint i;

	ping->kind = MEMBERSHIP_PING;
	ping->sender = sim.instances[0].self;
	ping->updates = g_new0(member_t, sim.options.instances);
	for (i = 0; i < sim.options.instances; i++)
		ping->updates[ping->update_count++] = sim.instances[i].self;
	entry_receive_peer_message(entry, 1, &message);
	g_free(ping->updates);
}

static void start_instance(guint index)
{
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = MS,
				 .retention = MS,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 200, .caller_share_percent = 100 },
		.routing = ROUTING_EXPECTED_LATENCY,
		.entries_max = sim.options.instances,
		.report_stale_after = G_TIME_SPAN_SECOND,
		.attempts_max = 2,
		.retry_percent = 20,
		.retry_saved = 319,
		.concurrency_max = 1000,
		.probe_fanout = 3,
		.resolve_ttl = G_TIME_SPAN_SECOND,
		.resolve_addresses = 8,
		.shutdown_max = G_TIME_SPAN_SECOND,
		.change_bound = 2 * G_TIME_SPAN_SECOND,
		.reconnect_bound = 3 * G_TIME_SPAN_SECOND,
		.evacuation_bound = 5 * G_TIME_SPAN_SECOND,
		.preferred_instances = sim.options.preferred_instances,
		.crossing_price_percent = sim.options.crossing_price_percent,
	};
	sim_instance_t *instance = &sim.instances[index];
	const entry_actions_t actions = { .answer = on_answer,
					  .start_attempt = on_start,
					  .cancel_attempt = on_cancel,
					  .send_probe = on_probe,
					  .send_to_peer = on_send,
					  .reply_to_peer = on_reply,
					  .ctx = instance };
	GBytes *document = g_bytes_new_static("{}", 2);

	instance->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	instance->used = g_new0(gboolean, sim.endpoint_count);
	instance->entry = entry_new(&instance->self, &limits, &actions,
				    &sim.clock, sim.random,
				    &instance->counters);
	introduce_members(instance->entry);
	entry_activate_config(instance->entry, 1, new_schema(), document);
	list_endpoints(instance->entry);
	g_bytes_unref(document);
}

static void create_endpoints(void)
{
	guint service, i, e = 0;

	for (service = 0; service < sim.options.service_count; service++)
		sim.endpoint_count += sim.options.services[service].endpoints;
	sim.endpoints = g_new0(sim_endpoint_t, sim.endpoint_count);
	for (service = 0; service < sim.options.service_count; service++)
		for (i = 0; i < sim.options.services[service].endpoints;
		     i++, e++) {
			sim_endpoint_t *endpoint = &sim.endpoints[e];

			g_snprintf(endpoint->id, sizeof(endpoint->id), "i-%u",
				   e);
			endpoint->service = service;
			endpoint->data_centre = i % sim.options.data_centres;
			endpoint->period = g_rand_int_range(sim.random,
							    400 * MS, 500 * MS);
			endpoint->phase =
				g_rand_int_range(sim.random, 0, 500 * MS);
			g_queue_init(&endpoint->waiting);
		}
}

/* Arrivals by thinning, as the rate varies with time. */
#define LOAD_MAX 3.0

static void schedule_arrival(guint service, guint data_centre)
{
	double rate = LOAD_MAX * sim.options.services[service].rate /
		      sim.options.data_centres;
	double wait = -log(1 - g_rand_double(sim.random)) / rate;

	push((event_t){ .at = sim.now + (GTimeSpan)(wait * G_TIME_SPAN_SECOND) +
			      1,
			.kind = EVENT_ARRIVAL,
			.a = service,
			.b = data_centre });
}

void placing_start(const placing_options_t *options)
{
	guint i, d;

	memset(&sim, 0, sizeof(sim));
	sim.options = *options;
	sim.now = START_TIME;
	sim.clock = (catk_clock_t){ .now = read_clock };
	sim.random = g_rand_new_with_seed(options->seed);
	sim.heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	create_endpoints();
	sim.instances = g_new0(sim_instance_t, options->instances);
	sim.pools =
		g_new0(pool_t, (gsize)options->instances * sim.endpoint_count);
	for (i = 0; i < options->instances; i++) {
		member_t *self = &sim.instances[i].self;

		g_snprintf(self->name, sizeof(self->name), "edge-%u", i);
		g_snprintf(self->data_centre, sizeof(self->data_centre),
			   "dc-%u", data_centre_of(i));
		g_snprintf(self->peer_address, sizeof(self->peer_address), "%u",
			   i);
		g_snprintf(self->caller_address, sizeof(self->caller_address),
			   "10.1.0.1:%u", i + 1);
		self->incarnation = 1;
	}
	for (i = 0; i < options->instances; i++) {
		start_instance(i);
		schedule_tick(i);
	}
	for (i = 0; i < options->service_count; i++)
		for (d = 0; d < options->data_centres; d++)
			schedule_arrival(i, d);
}

static void free_attempt(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	g_free(value);
}

static void stop_instance(sim_instance_t *instance)
{
	entry_free(instance->entry);
	instance->entry = NULL;
}

/* What is in flight at the end leaks; the test program ends soon after. */
void placing_stop(void)
{
	guint i;

	for (i = 0; i < sim.options.instances; i++) {
		if (sim.instances[i].entry)
			stop_instance(&sim.instances[i]);
		g_hash_table_foreach(sim.instances[i].attempts, free_attempt,
				     NULL);
		g_hash_table_destroy(sim.instances[i].attempts);
		g_free(sim.instances[i].used);
	}
	for (i = 0; i < sim.endpoint_count; i++)
		g_queue_clear(&sim.endpoints[i].waiting);
	g_array_free(sim.heap, TRUE);
	g_free(sim.pools);
	g_free(sim.instances);
	g_free(sim.endpoints);
	g_rand_free(sim.random);
}

/* The request of a caller reaches a random live instance of a data centre. */
static void send_request(request_t *request)
{
	GBytes *body = g_bytes_new_static("", 0);
	char path[8];
	routed_request_t routed = {
		.host = "a.example",
		.path = path,
		.remaining = request->remaining_at - sim.now,
		.body = body,
		.caller_ref = request,
	};
	guint data_centre = request->data_centre;
	guint instance;
	guint per_centre = sim.options.instances / sim.options.data_centres;

	while (sim.dead[data_centre])
		data_centre = (guint)g_rand_int_range(
			sim.random, 0, (gint32)sim.options.data_centres);
	instance = data_centre +
		   sim.options.data_centres *
			   (guint)g_rand_int_range(sim.random, 0,
						   (gint32)per_centre);
	g_snprintf(path, sizeof(path), "/%u/", request->service);
	entry_route(sim.instances[instance].entry, &routed);
	schedule_tick(instance);
	g_bytes_unref(body);
}

static void handle_arrival(guint service, guint data_centre)
{
	double load =
		sim.options.load ?
			sim.options.load(data_centre, sim.now - START_TIME) :
			1;
	request_t *request;

	schedule_arrival(service, data_centre);
	if (g_rand_double(sim.random) * LOAD_MAX >= load)
		return;
	request = g_new0(request_t, 1);
	request->service = service;
	request->data_centre = data_centre;
	request->since = sim.now;
	request->remaining_at =
		sim.now + sim.options.services[service].deadline;
	sim.result.requests++;
	send_request(request);
}

static void serve(sim_attempt_t *attempt)
{
	sim_endpoint_t *endpoint = &sim.endpoints[attempt->endpoint];
	double time =
		(double)sim.options.services[endpoint->service].service_time;

	attempt->running = TRUE;
	endpoint->running++;
	time *= g_rand_double_range(sim.random, 0.8, 1.2);
	if (is_slowed(endpoint))
		time *= sim.options.slowdown_factor;
	if (endpoint->running >= BUSY_SHARE * sim.options.slots)
		time *= BUSY_FACTOR;
	push((event_t){ .at = sim.now + (GTimeSpan)time,
			.kind = EVENT_SERVED,
			.object = attempt });
}

static gboolean is_other_free(const sim_endpoint_t *than)
{
	guint e;

	for (e = 0; e < sim.endpoint_count; e++)
		if (sim.endpoints[e].service == than->service &&
		    sim.endpoints[e].data_centre == than->data_centre &&
		    !sim.endpoints[e].running && !is_slowed(&sim.endpoints[e]))
			return TRUE;
	return FALSE;
}

static void handle_attempt(sim_attempt_t *attempt)
{
	sim_endpoint_t *endpoint = &sim.endpoints[attempt->endpoint];

	if (attempt->cancelled) {
		g_free(attempt);
		return;
	}
	if (endpoint->dead)
		return;
	if (endpoint->running < sim.options.slots) {
		serve(attempt);
		return;
	}
	sim.result.queued_needlessly += is_other_free(endpoint) ? 1 : 0;
	if (g_queue_get_length(&endpoint->waiting) < sim.options.queue)
		g_queue_push_tail(&endpoint->waiting, attempt);
	else
		sim.result.full++;
}

static void handle_served(sim_attempt_t *attempt)
{
	sim_endpoint_t *endpoint = &sim.endpoints[attempt->endpoint];

	endpoint->running--;
	if (!g_queue_is_empty(&endpoint->waiting))
		serve(g_queue_pop_head(&endpoint->waiting));
	if (attempt->cancelled || endpoint->dead) {
		if (attempt->cancelled)
			g_free(attempt);
		return;
	}
	push((event_t){ .at = sim.now +
			      latency(attempt->instance, attempt->endpoint),
			.kind = EVENT_ANSWER,
			.object = attempt,
			.report = report_of(endpoint) });
}

static void handle_answer(sim_attempt_t *attempt, const load_report_t *report)
{
	static const char message;
	sim_instance_t *instance = &sim.instances[attempt->instance];
	guint index = attempt->instance;
	GBytes *body = g_bytes_new_static("x", 1);
	attempt_result_t result = { .attempt_id = attempt->id,
				    .end = ATTEMPT_ANSWERED,
				    .status = 200,
				    .body = body,
				    .message = &message,
				    .has_report = TRUE,
				    .report = *report };

	if (!attempt->cancelled) {
		release_connection(attempt->instance, attempt->endpoint);
		g_hash_table_remove(instance->attempts, &attempt->id);
	}
	if (!attempt->cancelled && instance->entry) {
		entry_attempt_ended(instance->entry, &result);
		schedule_tick(index);
	}
	g_free(attempt);
	g_bytes_unref(body);
}

static void handle_probe(const event_t *event)
{
	const sim_endpoint_t *endpoint = &sim.endpoints[event->b];

	if (endpoint->dead)
		return;
	push((event_t){ .at = sim.now + latency(event->a, event->b),
			.kind = EVENT_PROBE_ANSWER,
			.a = event->a,
			.b = event->b,
			.report = report_of(endpoint) });
}

static void handle_probe_answer(const event_t *event)
{
	char name[8];

	release_connection(event->a, event->b);
	if (!sim.instances[event->a].entry)
		return;
	g_snprintf(name, sizeof(name), "s%u", sim.endpoints[event->b].service);
	entry_probe_ended(sim.instances[event->a].entry, name,
			  sim.endpoints[event->b].id, &event->report);
	schedule_tick(event->a);
}

static void handle_ack(const event_t *event)
{
	peer_message_t message = { .kind = PEER_MEMBERSHIP };

	if (!sim.instances[event->a].entry || !sim.instances[event->b].entry)
		return;
	message.u.membership.kind = MEMBERSHIP_ACK;
	message.u.membership.sequence = event->sequence;
	message.u.membership.sender = sim.instances[event->b].self;
	entry_receive_peer_message(sim.instances[event->a].entry, event->b + 1,
				   &message);
	schedule_tick(event->a);
}

static void handle_tick(guint index)
{
	sim_instance_t *instance = &sim.instances[index];

	if (!instance->entry || instance->tick_at != sim.now)
		return;
	instance->tick_at = 0;
	entry_tick(instance->entry);
	schedule_tick(index);
}

static void handle(const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		handle_arrival(event->a, event->b);
		break;
	case EVENT_CALLER_RETRY:
		send_request(event->object);
		break;
	case EVENT_TICK:
		handle_tick(event->a);
		break;
	case EVENT_ATTEMPT:
		handle_attempt(event->object);
		break;
	case EVENT_SERVED:
		handle_served(event->object);
		break;
	case EVENT_ANSWER:
		handle_answer(event->object, &event->report);
		break;
	case EVENT_PROBE:
		handle_probe(event);
		break;
	case EVENT_PROBE_ANSWER:
		handle_probe_answer(event);
		break;
	case EVENT_ACK:
		handle_ack(event);
		break;
	}
}

void placing_run_for(GTimeSpan time)
{
	GTimeSpan end = sim.now + time;
	event_t event;

	while (sim.heap->len && heap_at(0)->at <= end) {
		event = pop();
		sim.now = MAX(sim.now, event.at);
		handle(&event);
	}
	sim.now = end;
}

void placing_kill_data_centre(guint data_centre)
{
	guint i;

	sim.dead[data_centre] = TRUE;
	for (i = 0; i < sim.endpoint_count; i++)
		if (sim.endpoints[i].data_centre == data_centre)
			sim.endpoints[i].dead = TRUE;
	for (i = 0; i < sim.options.instances; i++)
		if (data_centre_of(i) == data_centre)
			stop_instance(&sim.instances[i]);
		else
			list_endpoints(sim.instances[i].entry);
}

void placing_set_evacuated(guint data_centre, gboolean evacuated)
{
	const char *names[PLACING_DATA_CENTRES_MAX];
	char buffers[PLACING_DATA_CENTRES_MAX][8];
	guint i, count = 0;

	sim.evacuated[data_centre] = evacuated;
	for (i = 0; i < sim.options.data_centres; i++) {
		if (!sim.evacuated[i])
			continue;
		g_snprintf(buffers[count], sizeof(buffers[0]), "dc-%u", i);
		names[count] = buffers[count];
		count++;
	}
	sim.evacuation_position++;
	for (i = 0; i < sim.options.instances; i++)
		if (sim.instances[i].entry)
			evacuations_replace(
				entry_evacuations(sim.instances[i].entry),
				names, count, sim.evacuation_position, "test");
}

void placing_reset(void)
{
	guint i;

	memset(&sim.result, 0, sizeof(sim.result));
	memset(sim.crossings, 0, sizeof(sim.crossings));
	for (i = 0; i < sim.options.instances; i++)
		memset(sim.instances[i].used, 0,
		       sim.endpoint_count * sizeof(gboolean));
}

placing_result_t placing_result(void)
{
	placing_result_t result = sim.result;
	guint i, e, used = 0;

	for (i = 0; i < sim.options.instances; i++)
		for (e = 0; e < sim.endpoint_count; e++)
			used += sim.instances[i].used[e] ? 1 : 0;
	result.endpoints_per_instance = (double)used / sim.options.instances;
	return result;
}

guint placing_crossings_from(guint data_centre)
{
	return sim.crossings[data_centre];
}

void placing_print(const char *title)
{
	placing_result_t r = placing_result();
	double n = MAX(r.requests, 1) / 100.0;

	printf("%s: %u requests, in time %.1f%%, late %.1f%%, refused %.1f%%, "
	       "lost %.2f%%; %u attempts, full %.2f%%, queued needlessly "
	       "%.2f%%, crossings %.1f%%; connections per request %.3f, "
	       "probes %.1f; endpoints per instance %.1f; work %.1f s\n",
	       title, r.requests, r.in_time / n, r.late / n, r.refused / n,
	       r.lost / n, r.attempts, 100.0 * r.full / MAX(r.attempts, 1),
	       100.0 * r.queued_needlessly / MAX(r.attempts, 1),
	       100.0 * r.crossings / MAX(r.attempts, 1),
	       r.connections / (n * 100), r.probes / (n * 100),
	       r.endpoints_per_instance, r.work);
}
