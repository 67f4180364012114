/*
 * Compares rules for what an instance still starts during a graceful shutdown.
 * Drives an entry with a virtual clock, without a network: callers that keep
 * resolved addresses for some time, and endpoints with slots, a queue and
 * service times with a tail. All rules see the same calls; the output depends
 * on nothing but the code.
 *
 * bench_shutdown [SEEDS]  prints one table per load case, summed over the seeds
 * 1 to SEEDS, 10 by default. Exits with 1 if a call was refused as not run and
 * ran, or if a call that the rule in production had started was cut, and names
 * the seed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/entry/entry.h"
#include "lib/shutdown/shutdown.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SECOND G_TIME_SPAN_SECOND

#define SEEDS 10
#define SEEDS_MAX 1000
#define WARM_UP (4 * SECOND) /* before SIGTERM */
#define START (100 * SECOND)
#define SIGTERM_AT (START + WARM_UP)
/* Time before the kill at which the platform's shutdown ends. */
#define GRACE_RESERVE (500 * MS)

#define CALLERS 200
#define CALLS_PER_SECOND 1.0 /* of one caller */
#define RESOLVE_TTL (2 * SECOND)
/* One caller in five keeps addresses three times as long. */
#define LONG_TTL_ONE_IN 5
#define LONG_TTL_FACTOR 3
/* Time after SIGTERM until the instances that callers ask know of it. */
#define LEAVING_KNOWN_MIN (100 * MS)
#define LEAVING_KNOWN_MAX (1000 * MS)
/* Refusals are early in this time after SIGTERM: few callers know of it. */
#define EARLY_TIME (2 * SECOND)

/* How the entry's refusals because of a shutdown begin. */
#define SHUTDOWN_MESSAGE "this instance is shutting down"

#define SERVICE "s"
#define LONG_SERVICE "l"
#define ENDPOINTS_MAX 80
#define SLOTS 4
#define CONNECTIONS 100 /* to an endpoint */
#define PROBES_PER_SECOND 60 /* to an endpoint */
#define QUEUE_MAX (2 * SLOTS) /* an endpoint refuses what exceeds it */
#define EXCHANGE (1 * MS) /* one request and answer on the network */
#define SERVICE_TIME (150 * MS)
#define LONG_SERVICE_TIME (600 * MS) /* on the route with a long timeout */
#define LONG_OBJECTIVE (3 * SECOND) /* likewise */
#define TAIL_ONE_IN 50 /* requests that take TAIL_FACTOR times as long */
#define TAIL_FACTOR 8
#define FAILS_ONE_IN 50 /* requests whose first attempt gets no answer */

/*
 * The users' bound on planned stops excuses a cut call that was sent within
 * this time after SIGTERM, if its endpoint is at work in the last sixth of the
 * grace.
 */
#define EXCUSED_ARRIVAL (3 * SECOND)
#define LAST_PART 6

typedef struct {
	const char *name;
	guint endpoints;
	guint others_per_second; /* other instances' calls at an endpoint */
	guint slow_factor; /* of the service time, from slow_after on */
	GTimeSpan slow_after; /* relative to SIGTERM */
	/*
	 * Of the route "once", which then has half of the endpoints for itself;
	 * 0 for its usual timeout.
	 */
	GTimeSpan long_timeout;
	GTimeSpan grace;
} load_case_t;

static const load_case_t load_cases[] = {
	{ "calm", 40, 0, 1, 0, 0, 6 * SECOND },
	{ "overload, 185% of what the endpoints can serve", 6, 10, 1, 0, 0,
	  6 * SECOND },
	{ "service time x 5 all along", 80, 0, 5, -WARM_UP, 0, 6 * SECOND },
	{ "service time x 5 from 2 s after SIGTERM", 80, 0, 5, 2 * SECOND, 0,
	  6 * SECOND },
	{ "route timeout of 10 s", 80, 0, 1, 0, 10 * SECOND, 6 * SECOND },
	{ "grace of 2 s", 40, 0, 1, 0, 0, 2 * SECOND },
};

typedef struct {
	const char *name;
	gboolean idempotent;
	GTimeSpan timeout;
	GTimeSpan objective;
	guint percent; /* of the calls */
} route_t;

static const route_t routes[] = {
	{ "read", TRUE, 1500 * MS, 400 * MS, 60 },
	{ "once", FALSE, 2500 * MS, 800 * MS, 25 },
	{ "quick", FALSE, 1200 * MS, 300 * MS, 15 },
};

enum { ROUTE_ONCE = 1 };

/* Something that happens at an instant of the virtual clock. */
typedef struct event {
	TAILQ_ENTRY(event) link; /* linked while scheduled */
	GTimeSpan at;
	gboolean scheduled;
	void (*run)(void *ctx);
	void *ctx;
} event_t;

typedef struct {
	guint calls; /* open at SIGTERM or received until the end */
	guint served;
	guint refused; /* as not run, because of the shutdown */
	guint early; /* of the refused, sent within EARLY_TIME */
	guint refused_else; /* as not run, for lack of capacity or attempts */
	guint failed; /* deadline passed, or the endpoint broke off */
	guint cut;
	guint cut_late; /* of the cut, received after SIGTERM */
	guint cut_once; /* of the cut, not idempotent */
	guint not_excused; /* of the cut; see EXCUSED_ARRIVAL */
	guint false_refusals; /* refused as not run, but ran */
	guint no_connection; /* sent after the end */
	GTimeSpan refusal_wait; /* maximum from receipt to refusal */
	GTimeSpan duration_sum;
	GTimeSpan duration_max;
} tally_t;

typedef struct job job_t;

/* A call of a caller. */
typedef struct request {
	TAILQ_ENTRY(request) link; /* until it is answered */
	struct sim *sim;
	const route_t *route;
	GTimeSpan sent;
	GTimeSpan service_time;
	/* Of its next attempt: answered, failed or shed. */
	attempt_end_t next_end;
	gboolean ran; /* an endpoint began to work on it */
	job_t *job; /* its attempt in flight */
} request_t;

typedef struct endpoint_sim {
	struct sim *sim;
	const char *service;
	char id[UPSTREAM_ID_MAX + 1];
	guint running;
	guint queued;
	TAILQ_HEAD(job_queue, job) queue;
	event_t others; /* next call of another instance */
} endpoint_sim_t;

/* A request at an endpoint: an attempt, or a call of another instance. */
struct job {
	TAILQ_ENTRY(job) link; /* in jobs of the simulation */
	TAILQ_ENTRY(job) queue_link; /* while queued at the endpoint */
	endpoint_sim_t *endpoint;
	event_t end;
	guint64 attempt_id; /* 0 for another instance's */
	request_t *request; /* NULL once it is answered */
	GTimeSpan service_time;
	attempt_end_t result; /* if it is not refused at once */
	gboolean queued;
	gboolean running;
};

typedef struct probe {
	TAILQ_ENTRY(probe) link;
	endpoint_sim_t *endpoint;
	event_t end;
} probe_t;

typedef struct {
	struct sim *sim;
	event_t next_call;
	GTimeSpan until; /* uses another instance from then on */
} caller_t;

typedef struct sim {
	const load_case_t *load;
	GTimeSpan now;
	catk_clock_t clock;
	GRand *load_random; /* draws the same for all rules */
	GRand *others_random; /* likewise */
	GRand *entry_random;
	counters_t counters;
	entry_t *entry; /* NULL once it has ended */
	TAILQ_HEAD(event_list, event) events; /* in order of time */
	TAILQ_HEAD(request_list, request) requests;
	TAILQ_HEAD(job_list, job) jobs;
	TAILQ_HEAD(probe_list, probe) probes;
	endpoint_sim_t endpoints[ENDPOINTS_MAX];
	caller_t callers[CALLERS];
	tally_t *tally;
} sim_t;

/* Most events are ends of probes, which are near the head of the list. */
static void schedule(sim_t *sim, event_t *event, GTimeSpan at)
{
	event_t *after;

	event->at = at;
	event->scheduled = TRUE;
	TAILQ_FOREACH (after, &sim->events, link)
		if (after->at > at) {
			TAILQ_INSERT_BEFORE(after, event, link);
			return;
		}
	TAILQ_INSERT_TAIL(&sim->events, event, link);
}

static void unschedule(sim_t *sim, event_t *event)
{
	if (event->scheduled)
		TAILQ_REMOVE(&sim->events, event, link);
	event->scheduled = FALSE;
}

/* Uniform between half and one and a half times the mean. */
static GTimeSpan spread(GRand *random, GTimeSpan mean)
{
	return (GTimeSpan)((double)mean *
			   g_rand_double_range(random, 0.5, 1.5));
}

static GTimeSpan draw_service_time(GRand *random, GTimeSpan mean)
{
	GTimeSpan time = spread(random, mean);

	return g_rand_int_range(random, 0, TAIL_ONE_IN) == 0 ?
		       time * TAIL_FACTOR :
		       time;
}

/* Endpoints. */

static load_report_t report_load(const endpoint_sim_t *endpoint)
{
	return (load_report_t){ .in_flight =
					endpoint->running + endpoint->queued,
				.slots = SLOTS };
}

static void run_job(job_t *job)
{
	sim_t *sim = job->endpoint->sim;
	GTimeSpan time = job->service_time;

	if (sim->now >= SIGTERM_AT + sim->load->slow_after)
		time *= sim->load->slow_factor;
	if (job->result != ATTEMPT_ANSWERED)
		time /= 2;
	if (job->request && job->result != ATTEMPT_SHED)
		job->request->ran = TRUE;
	job->running = TRUE;
	job->endpoint->running++;
	schedule(sim, &job->end, sim->now + EXCHANGE + time);
}

static void dequeue_job(job_t *job)
{
	TAILQ_REMOVE(&job->endpoint->queue, job, queue_link);
	job->endpoint->queued--;
	job->queued = FALSE;
}

/* Takes the job from its endpoint, which starts the next one. */
static void free_job(job_t *job)
{
	endpoint_sim_t *endpoint = job->endpoint;
	job_t *next = TAILQ_FIRST(&endpoint->queue);

	if (job->request)
		job->request->job = NULL;
	if (job->queued)
		dequeue_job(job);
	unschedule(endpoint->sim, &job->end);
	TAILQ_REMOVE(&endpoint->sim->jobs, job, link);
	if (job->running) {
		endpoint->running--;
		if (next) {
			dequeue_job(next);
			run_job(next);
		}
	}
	g_free(job);
}

static void end_attempt(endpoint_sim_t *endpoint, guint64 id, attempt_end_t end)
{
	static const char message;
	GBytes *body = g_bytes_new_static("x", 1);
	attempt_result_t result = { .attempt_id = id,
				    .end = end,
				    .status = 200,
				    .body = body,
				    .message = &message,
				    .has_report = end != ATTEMPT_FAILED,
				    .report = report_load(endpoint) };

	entry_attempt_ended(endpoint->sim->entry, &result);
	g_bytes_unref(body);
}

static void on_job_end(void *ctx)
{
	job_t *job = ctx;
	endpoint_sim_t *endpoint = job->endpoint;
	guint64 id = job->attempt_id;
	attempt_end_t end = job->running ? job->result : ATTEMPT_SHED;

	free_job(job);
	if (id)
		end_attempt(endpoint, id, end);
}

static void add_job(endpoint_sim_t *endpoint, job_t *job)
{
	sim_t *sim = endpoint->sim;

	job->endpoint = endpoint;
	job->end = (event_t){ .run = on_job_end, .ctx = job };
	TAILQ_INSERT_TAIL(&sim->jobs, job, link);
	if (endpoint->running < SLOTS) {
		run_job(job);
	} else if (endpoint->queued < QUEUE_MAX) {
		TAILQ_INSERT_TAIL(&endpoint->queue, job, queue_link);
		endpoint->queued++;
		job->queued = TRUE;
	} else {
		schedule(sim, &job->end, sim->now + EXCHANGE);
	}
}

static endpoint_sim_t *find_endpoint(sim_t *sim, const char *id)
{
	guint i;

	for (i = 0; i < sim->load->endpoints; i++)
		if (strcmp(sim->endpoints[i].id, id) == 0)
			return &sim->endpoints[i];
	g_assert_not_reached();
}

static void on_others_call(void *ctx)
{
	endpoint_sim_t *endpoint = ctx;
	sim_t *sim = endpoint->sim;
	job_t *job = g_new0(job_t, 1);

	job->service_time = draw_service_time(sim->others_random, SERVICE_TIME);
	add_job(endpoint, job);
	schedule(sim, &endpoint->others,
		 sim->now + spread(sim->others_random,
				   SECOND / sim->load->others_per_second));
}

/* The actions of the entry. */

static void on_start(void *ctx, const attempt_request_t *request)
{
	sim_t *sim = ctx;
	job_t *job = g_new0(job_t, 1);

	job->attempt_id = request->attempt_id;
	job->request = request->caller_ref;
	job->request->job = job;
	job->service_time = job->request->service_time;
	job->result = job->request->next_end;
	job->request->next_end = ATTEMPT_ANSWERED;
	add_job(find_endpoint(sim, request->endpoint), job);
}

static void on_cancel(void *ctx, guint64 attempt_id)
{
	sim_t *sim = ctx;
	job_t *job;

	TAILQ_FOREACH (job, &sim->jobs, link)
		if (job->attempt_id == attempt_id) {
			free_job(job);
			return;
		}
}

static void on_probe_end(void *ctx)
{
	probe_t *probe = ctx;
	endpoint_sim_t *endpoint = probe->endpoint;
	load_report_t report = report_load(endpoint);

	TAILQ_REMOVE(&endpoint->sim->probes, probe, link);
	g_free(probe);
	entry_probe_ended(endpoint->sim->entry, endpoint->service, endpoint->id,
			  &report);
}

static void on_probe(void *ctx, const char *service, const char *endpoint)
{
	sim_t *sim = ctx;
	probe_t *probe = g_new0(probe_t, 1);

	(void)service;
	probe->endpoint = find_endpoint(sim, endpoint);
	probe->end = (event_t){ .run = on_probe_end, .ctx = probe };
	TAILQ_INSERT_TAIL(&sim->probes, probe, link);
	schedule(sim, &probe->end, sim->now + EXCHANGE);
}

static void count_refusal(tally_t *tally, const request_t *request,
			  gboolean for_shutdown, GTimeSpan now)
{
	tally->false_refusals += request->ran;
	if (!for_shutdown) {
		tally->refused_else++;
		return;
	}
	tally->refused++;
	tally->early += request->sent >= SIGTERM_AT &&
			request->sent < SIGTERM_AT + EARLY_TIME;
	if (request->sent >= SIGTERM_AT)
		tally->refusal_wait =
			MAX(tally->refusal_wait, now - request->sent);
}

/* The entry uses the same kind of error when no attempt was accepted. */
static gboolean is_shutdown_refusal(const catk_error_t *error)
{
	return error->kind == CATK_UNAVAILABLE &&
	       g_str_has_prefix(error->message, SHUTDOWN_MESSAGE);
}

static void count_answer(const sim_t *sim, const request_t *request,
			 const catk_error_t *error)
{
	tally_t *tally = sim->tally;

	tally->calls++;
	if (error->kind == CATK_OK)
		tally->served++;
	else if (error->outcome == OUTCOME_NOT_RUN)
		count_refusal(tally, request, is_shutdown_refusal(error),
			      sim->now);
	else
		tally->failed++;
}

static void free_request(sim_t *sim, request_t *request)
{
	if (request->job)
		request->job->request = NULL;
	TAILQ_REMOVE(&sim->requests, request, link);
	g_free(request);
}

static void on_answer(void *ctx, void *caller_ref, const call_answer_t *answer)
{
	sim_t *sim = ctx;

	if (entry_is_leaving(sim->entry))
		count_answer(sim, caller_ref, &answer->error);
	free_request(sim, caller_ref);
}

/* Callers. */

static const route_t *draw_route(GRand *random)
{
	guint percent = (guint)g_rand_int_range(random, 0, 100);
	guint i = 0;

	while (percent >= routes[i].percent)
		percent -= routes[i++].percent;
	return &routes[i];
}

static void send_request(sim_t *sim, request_t *request)
{
	GBytes *body = g_bytes_new_static("", 0);
	gchar *path = g_strdup_printf("/%s/", request->route->name);
	routed_request_t routed = { .host = "a.example",
				    .path = path,
				    .body = body,
				    .caller_ref = request };

	TAILQ_INSERT_TAIL(&sim->requests, request, link);
	entry_route(sim->entry, &routed);
	g_free(path);
	g_bytes_unref(body);
}

/* An endpoint that fails breaks off or refuses, one as often as the other. */
static attempt_end_t draw_end(GRand *random)
{
	if (g_rand_int_range(random, 0, FAILS_ONE_IN) != 0)
		return ATTEMPT_ANSWERED;
	return g_rand_boolean(random) ? ATTEMPT_FAILED : ATTEMPT_SHED;
}

static request_t *draw_request(sim_t *sim)
{
	request_t *request = g_new0(request_t, 1);
	GTimeSpan mean = SERVICE_TIME;

	request->sim = sim;
	request->sent = sim->now;
	request->route = draw_route(sim->load_random);
	if (sim->load->long_timeout && request->route == &routes[ROUTE_ONCE])
		mean = LONG_SERVICE_TIME;
	request->service_time = draw_service_time(sim->load_random, mean);
	request->next_end = draw_end(sim->load_random);
	return request;
}

static void on_caller(void *ctx)
{
	caller_t *caller = ctx;
	sim_t *sim = caller->sim;
	request_t *request;

	if (sim->now >= caller->until)
		return;
	request = draw_request(sim);
	schedule(sim, &caller->next_call,
		 sim->now + spread(sim->load_random,
				   (GTimeSpan)(SECOND / CALLS_PER_SECOND)));
	if (sim->entry) {
		send_request(sim, request);
	} else {
		sim->tally->no_connection++;
		g_free(request);
	}
}

/*
 * A caller resolves at regular intervals. It stays with this instance until it
 * asks one that knows of the shutdown.
 */
static GTimeSpan draw_end_of_use(GRand *random)
{
	gboolean is_long = g_rand_int_range(random, 0, LONG_TTL_ONE_IN) == 0;
	GTimeSpan ttl = is_long ? LONG_TTL_FACTOR * RESOLVE_TTL : RESOLVE_TTL;
	GTimeSpan known =
		g_rand_int_range(random, LEAVING_KNOWN_MIN, LEAVING_KNOWN_MAX);

	return SIGTERM_AT + known + g_rand_int_range(random, 0, (gint32)ttl);
}

static void add_callers(sim_t *sim)
{
	caller_t *caller;
	guint i;

	for (i = 0; i < CALLERS; i++) {
		caller = &sim->callers[i];
		caller->sim = sim;
		caller->until = draw_end_of_use(sim->load_random);
		caller->next_call =
			(event_t){ .run = on_caller, .ctx = caller };
		schedule(sim, &caller->next_call,
			 sim->now +
				 g_rand_int_range(sim->load_random, 0, SECOND));
	}
}

/* Setting up an entry. */

static void add_route(schema_t *schema, const route_t *route,
		      GTimeSpan long_timeout)
{
	gchar *prefix = g_strdup_printf("/%s/", route->name);
	schema_route_t attributes = {
		.method = { .name = (char *)route->name,
			    .idempotent = route->idempotent,
			    .deadline = long_timeout ? long_timeout :
						       route->timeout },
		.host = "a.example",
		.prefix = prefix,
		.objective = long_timeout ? LONG_OBJECTIVE : route->objective,
		.attempts_max = 2,
	};
	schema_route_t *added =
		schema_add_route(schema, &attributes, route->name, NULL);

	schema_add_target(schema, added, long_timeout ? LONG_SERVICE : SERVICE,
			  1, NULL);
	g_free(prefix);
}

static void add_service(schema_t *schema, const char *name)
{
	schema_service_t *service = schema_add_service(
		schema, name, SLOTS, CONNECTIONS, PROBES_PER_SECOND, NULL);

	schema_set_instance_list(service, name, NULL);
}

static schema_t *new_schema(const load_case_t *load)
{
	schema_t *schema = schema_new();
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		schema_add_priority(schema, routes[i].name, 10, NULL);
	add_service(schema, SERVICE);
	add_service(schema, LONG_SERVICE);
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		add_route(schema, &routes[i],
			  i == ROUTE_ONCE ? load->long_timeout : 0);
	return schema;
}

static entry_t *new_entry(sim_t *sim, const shutdown_rule_t *rule)
{
	static const member_t self = { .name = "e1",
				       .data_centre = "here",
				       .caller_address = "127.0.0.1:9",
				       .incarnation = 1 };
	const entry_limits_t limits = {
		.request_ids = { .block_size = 1,
				 .lifetime = 100 * MS,
				 .retention = 100 * MS,
				 .answer_bytes_max = 1 },
		.admission = { .queue_max = 1000, .caller_share_percent = 100 },
		.routing = ROUTING_EXPECTED_LATENCY,
		.entries_max = 4,
		.attempts_max = 2,
		.retry_percent = 20,
		.concurrency_max = 1000,
		.probe_fanout = 3,
		.resolve_ttl = RESOLVE_TTL,
		.resolve_addresses = 8,
		.shutdown_max = sim->load->grace - GRACE_RESERVE,
		.shutdown_rule = rule,
	};
	const entry_actions_t actions = { .answer = on_answer,
					  .start_attempt = on_start,
					  .cancel_attempt = on_cancel,
					  .send_probe = on_probe,
					  .ctx = sim };

	return entry_new(&self, &limits, &actions, &sim->clock,
			 sim->entry_random, &sim->counters);
}

static void add_endpoint(sim_t *sim, const char *service, guint number,
			 endpoint_info_t *info)
{
	endpoint_sim_t *endpoint = &sim->endpoints[number];

	endpoint->sim = sim;
	endpoint->service = service;
	TAILQ_INIT(&endpoint->queue);
	g_snprintf(endpoint->id, sizeof(endpoint->id), "i-%u", number);
	g_strlcpy(info->id, endpoint->id, sizeof(info->id));
	g_snprintf(info->address, sizeof(info->address), "127.0.0.1:%u",
		   number + 1);
	g_strlcpy(info->data_centre, "here", sizeof(info->data_centre));
	info->slots = SLOTS;
	endpoint->others = (event_t){ .run = on_others_call, .ctx = endpoint };
	if (sim->load->others_per_second)
		schedule(sim, &endpoint->others, sim->now);
}

static void add_endpoints(sim_t *sim, const char *service, guint first,
			  guint count)
{
	endpoint_info_t infos[ENDPOINTS_MAX] = { 0 };
	guint i;

	for (i = 0; i < count; i++)
		add_endpoint(sim, service, first + i, &infos[i]);
	entry_set_endpoints(sim->entry, service, infos, count);
}

static GTimeSpan read_clock(void *ctx)
{
	return *(GTimeSpan *)ctx;
}

static sim_t *sim_new(const load_case_t *load, const shutdown_rule_t *rule,
		      guint32 seed, tally_t *tally)
{
	sim_t *sim = g_new0(sim_t, 1);
	GBytes *document = g_bytes_new_static("{}", 2);
	guint usual; /* endpoints */

	sim->load = load;
	sim->tally = tally;
	sim->now = START;
	sim->clock = (catk_clock_t){ .now = read_clock, .ctx = &sim->now };
	sim->load_random = g_rand_new_with_seed(seed);
	sim->others_random = g_rand_new_with_seed(seed);
	sim->entry_random = g_rand_new_with_seed(seed);
	TAILQ_INIT(&sim->events);
	TAILQ_INIT(&sim->requests);
	TAILQ_INIT(&sim->jobs);
	TAILQ_INIT(&sim->probes);
	sim->entry = new_entry(sim, rule);
	entry_activate_config(sim->entry, 1, new_schema(load), document);
	g_bytes_unref(document);
	usual = load->long_timeout ? load->endpoints / 2 : load->endpoints;
	add_endpoints(sim, SERVICE, 0, usual);
	add_endpoints(sim, LONG_SERVICE, usual, load->endpoints - usual);
	add_callers(sim);
	return sim;
}

/* Running it. */

static void run_event(sim_t *sim, event_t *event)
{
	sim->now = MAX(sim->now, event->at);
	unschedule(sim, event);
	event->run(event->ctx);
}

/* Advances to the next event or timer, but not beyond the instant. */
static void advance(sim_t *sim, GTimeSpan until)
{
	event_t *event = TAILQ_FIRST(&sim->events);
	GTimeSpan wakeup = MIN(entry_next_wakeup(sim->entry), until);

	if (event && event->at <= wakeup) {
		run_event(sim, event);
		return;
	}
	sim->now = MAX(sim->now, wakeup);
	entry_tick(sim->entry);
}

static gboolean is_excused(const sim_t *sim, const request_t *request)
{
	return request->sent <= SIGTERM_AT + EXCUSED_ARRIVAL && request->job &&
	       request->job->running &&
	       sim->now >= SIGTERM_AT + sim->load->grace -
				   sim->load->grace / LAST_PART;
}

static void count_cut_calls(sim_t *sim)
{
	tally_t *tally = sim->tally;
	const request_t *request;

	TAILQ_FOREACH (request, &sim->requests, link) {
		tally->calls++;
		tally->cut++;
		tally->cut_late += request->sent >= SIGTERM_AT;
		tally->cut_once += !request->route->idempotent;
		tally->not_excused += !is_excused(sim, request);
	}
}

static guint count_open_requests(const sim_t *sim)
{
	const request_t *request;
	guint count = 0;

	TAILQ_FOREACH (request, &sim->requests, link)
		count++;
	return count;
}

static void end_process(sim_t *sim)
{
	GTimeSpan duration = sim->now - SIGTERM_AT;
	probe_t *probe;

	sim->tally->duration_sum += duration;
	sim->tally->duration_max = MAX(sim->tally->duration_max, duration);
	count_cut_calls(sim);
	entry_end_shutdown(sim->entry, 0, 0);
	g_assert_cmpuint(sim->counters.value[COUNTER_CALLS_CUT_AT_SHUTDOWN], ==,
			 count_open_requests(sim));
	entry_free(sim->entry);
	sim->entry = NULL;
	while (!TAILQ_EMPTY(&sim->requests))
		free_request(sim, TAILQ_FIRST(&sim->requests));
	while ((probe = TAILQ_FIRST(&sim->probes))) {
		unschedule(sim, &probe->end);
		TAILQ_REMOVE(&sim->probes, probe, link);
		g_free(probe);
	}
}

/* Only callers are left, which find nobody at the address. */
static void run_callers_to_the_end(sim_t *sim)
{
	guint i;

	for (i = 0; i < sim->load->endpoints; i++)
		unschedule(sim, &sim->endpoints[i].others);
	while (!TAILQ_EMPTY(&sim->jobs))
		free_job(TAILQ_FIRST(&sim->jobs));
	while (!TAILQ_EMPTY(&sim->events))
		run_event(sim, TAILQ_FIRST(&sim->events));
}

static void sim_free(sim_t *sim)
{
	g_rand_free(sim->load_random);
	g_rand_free(sim->others_random);
	g_rand_free(sim->entry_random);
	g_free(sim);
}

static void simulate(const load_case_t *load, const shutdown_rule_t *rule,
		     guint32 seed, tally_t *tally)
{
	sim_t *sim = sim_new(load, rule, seed, tally);

	while (sim->now < SIGTERM_AT)
		advance(sim, SIGTERM_AT);
	entry_shutdown(sim->entry, "signal");
	while (!entry_is_shutdown_complete(sim->entry))
		advance(sim, entry_shutdown_deadline(sim->entry));
	end_process(sim);
	run_callers_to_the_end(sim);
	sim_free(sim);
}

/* The rules. */

static gboolean always(void *ctx, const shutdown_t *shutdown,
		       const shutdown_call_t *call, GTimeSpan now)
{
	(void)ctx;
	(void)shutdown;
	(void)call;
	(void)now;
	return TRUE;
}

static gboolean in_expected_time(void *ctx, const shutdown_t *shutdown,
				 const shutdown_call_t *call, GTimeSpan now)
{
	const guint *factor = ctx;

	return now + *factor * call->service_time <= shutdown->end;
}

static gboolean in_first_half(void *ctx, const shutdown_t *shutdown,
			      const shutdown_call_t *call, GTimeSpan now)
{
	(void)ctx;
	(void)call;
	return now - shutdown->started < shutdown->end - now;
}

/*
 * By deadline or, in the first half, by the expected time: meant for routes
 * whose timeout exceeds the grace.
 */
static gboolean by_deadline_or_expected_time(void *ctx,
					     const shutdown_t *shutdown,
					     const shutdown_call_t *call,
					     GTimeSpan now)
{
	const shutdown_rule_t *rule = &shutdown_rule_by_deadline;

	return rule->may_start(rule->ctx, shutdown, call, now) ||
	       (in_first_half(NULL, shutdown, call, now) &&
		in_expected_time(ctx, shutdown, call, now));
}

static gboolean never(void *ctx, const shutdown_t *shutdown,
		      const shutdown_call_t *call, GTimeSpan now)
{
	(void)ctx;
	(void)shutdown;
	(void)call;
	(void)now;
	return FALSE;
}

static guint factors[] = { 2, 4 };

static const struct {
	const char *name;
	shutdown_rule_t rule;
} rules[] = {
	{ "everything", { always, NULL } },
	{ "expected time x 2", { in_expected_time, &factors[0] } },
	{ "expected time x 4", { in_expected_time, &factors[1] } },
	{ "until half the time", { in_first_half, NULL } },
	{ "deadline or x 4, half",
	  { by_deadline_or_expected_time, &factors[1] } },
	{ "nothing", { never, NULL } },
};

/* The table. */

static void print_tally(const char *name, const tally_t *tally, guint seeds)
{
	printf("| %s | %u | %u | %u | %u | %u | %u | %u | %u | %u | %u | %.2f "
	       "/ %.2f | %u | %.0f |\n",
	       name, tally->calls, tally->served, tally->refused, tally->early,
	       tally->refused_else, tally->failed, tally->cut, tally->cut_late,
	       tally->cut_once, tally->not_excused,
	       (double)tally->duration_sum / seeds / SECOND,
	       (double)tally->duration_max / SECOND, tally->no_connection,
	       (double)tally->refusal_wait / MS);
}

/* Returns FALSE if a refusal was false, or a call was cut that was started. */
static gboolean measure(const load_case_t *load, const char *name,
			const shutdown_rule_t *rule, guint seeds)
{
	gboolean by_deadline = rule == &shutdown_rule_by_deadline;
	tally_t tally = { 0 };
	gboolean sound = TRUE;
	guint32 seed;

	for (seed = 1; seed <= seeds && sound; seed++) {
		simulate(load, rule, seed, &tally);
		sound = !tally.false_refusals &&
			(!by_deadline || !tally.cut_late);
		if (!sound)
			fprintf(stderr,
				"%s, %s, seed %u: %u false refusals, %u calls "
				"cut that were received after SIGTERM\n",
				load->name, name, seed, tally.false_refusals,
				tally.cut_late);
	}
	print_tally(name, &tally, seeds);
	return sound;
}

static gboolean measure_case(const load_case_t *load, guint seeds)
{
	gboolean sound;
	gsize i;

	printf("\n%s\n\n"
	       "| rule | calls | served | refused | early | refused otherwise "
	       "| failed | cut | late | non-idempotent | not excused | s, mean / max "
	       "| no connection | refusal after, ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
	       "| --- | --- | --- | --- |\n",
	       load->name);
	sound = measure(load, "by deadline", &shutdown_rule_by_deadline, seeds);
	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		sound = measure(load, rules[i].name, &rules[i].rule, seeds) &&
			sound;
	return sound;
}

int main(int argc, char **argv)
{
	guint64 seeds = SEEDS;
	gboolean sound = TRUE;
	gsize i;

	if (argc > 1 && !g_ascii_string_to_unsigned(argv[1], 10, 1, SEEDS_MAX,
						    &seeds, NULL)) {
		fprintf(stderr, "usage: bench_shutdown [SEEDS]\n");
		return EXIT_FAILURE;
	}
	for (i = 0; i < G_N_ELEMENTS(load_cases); i++)
		sound = measure_case(&load_cases[i], (guint)seeds) && sound;
	return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}
