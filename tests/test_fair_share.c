/*
 * Tests fairness between organisations in a shortage, on a simulated fleet with
 * a manual clock: 141 instances with an admission_t each, 86 organisations and
 * endpoints that serve 70% of what is offered. An instance holds at most a
 * request or two, so that the order of its queue alone protects nobody.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>

#include "lib/admission/admission.h"

#define MS G_TIME_SPAN_MILLISECOND
#define INSTANCES 141
#define ORGANISATIONS 86
/* Requests/s of all organisations, for one service or for one of four. */
#define ONE_SERVICE 922.0
#define ONE_OF_FOUR 230.0
#define HOT_FACTOR 7.5
#define CAPACITY_PART 0.7 /* of the offered load */
#define RATE_TO_USUAL 1.6 /* configured rate over the usual one */
#define FLOOR_OF_OTHERS 0.95 /* of what they had */
#define FLOOR_OF_ALL 0.25 /* of the share that all requests have served */
#define USED_MIN 0.95 /* of the capacity */
#define SERVED_TOLERANCE 50 /* requests that wait at the end */
#define STEP (5 * MS)
#define WARM_UP (100 * G_TIME_SPAN_SECOND)
#define MEASURED (120 * G_TIME_SPAN_SECOND)
#define SERVICE_TIME (300 * MS)
#define DEADLINE (3000 * MS)
#define PATIENCE (200 * MS) /* until the latest start */
/* Too few requests for their share to be judged. */
#define REQUESTS_MIN 100
#define NONE G_MAXUINT

typedef struct sim_call {
	TAILQ_ENTRY(sim_call) link; /* in the waiting or the running ones */
	admission_item_t item;
	guint organisation;
	GTimeSpan started, end;
} sim_call_t;

typedef TAILQ_HEAD(sim_calls, sim_call) sim_calls_t;

typedef struct {
	admission_t *admission;
	sim_calls_t waiting, running;
} sim_instance_t;

typedef struct {
	char name[8];
	double usual, rate;
	guint offered, served; /* while measured */
} sim_organisation_t;

typedef struct {
	double usual_rate; /* requests/s of all organisations */
	guint hot; /* index, NONE for none */
	guint entrances; /* instances that the hot one's clients use */
	double capacity; /* requests/s */
	guint queue_max;
} scenario_t;

typedef struct {
	sim_instance_t instances[INSTANCES];
	sim_organisation_t organisations[ORGANISATIONS];
	GRand *random;
	counters_t counters;
	GTimeSpan now;
	guint slots_free;
	const scenario_t *scenario;
} sim_t;

/* A few large organisations, the largest with 171 requests/s, many small. */
static void init_organisations(sim_t *sim)
{
	double sum = 0;
	guint i;

	for (i = 0; i < ORGANISATIONS; i++) {
		sim->organisations[i].usual = pow(i + 1, -0.98);
		sum += sim->organisations[i].usual;
	}
	for (i = 0; i < ORGANISATIONS; i++) {
		sim_organisation_t *organisation = &sim->organisations[i];

		g_snprintf(organisation->name, sizeof(organisation->name),
			   "o%u", i);
		organisation->usual *= sim->scenario->usual_rate / sum;
		organisation->rate = organisation->usual;
		if (i == sim->scenario->hot)
			organisation->rate *= HOT_FACTOR;
	}
}

static void sim_init(sim_t *sim, const scenario_t *scenario)
{
	const admission_limits_t limits = { ADMISSION_PRIORITY,
					    scenario->queue_max, 50 };
	schema_t *schema = schema_new();
	guint i;

	*sim = (sim_t){ .now = G_TIME_SPAN_SECOND, .scenario = scenario };
	sim->random = g_rand_new_with_seed(1);
	sim->slots_free =
		(guint)(scenario->capacity * SERVICE_TIME / G_TIME_SPAN_SECOND);
	init_organisations(sim);
	assert_true(schema_add_priority(schema, "p", 10, NULL));
	for (i = 0; i < INSTANCES; i++) {
		sim_instance_t *instance = &sim->instances[i];

		TAILQ_INIT(&instance->waiting);
		TAILQ_INIT(&instance->running);
		instance->admission = admission_new(&limits, &sim->counters);
		admission_set_fixed_limit(instance->admission, 100);
		admission_configure(instance->admission, schema);
	}
	schema_free(schema);
}

static void free_calls(sim_calls_t *calls)
{
	sim_call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, calls, link, next)
		g_free(call);
}

static void sim_clear(sim_t *sim)
{
	guint i;

	for (i = 0; i < INSTANCES; i++) {
		admission_free(sim->instances[i].admission);
		free_calls(&sim->instances[i].waiting);
		free_calls(&sim->instances[i].running);
	}
	g_rand_free(sim->random);
}

static gboolean is_measured(const sim_t *sim)
{
	return sim->now >= WARM_UP;
}

static void start_one(sim_t *sim, sim_instance_t *instance)
{
	admission_item_t *item =
		sim->slots_free ?
			admission_next(instance->admission, sim->now) :
			NULL;
	sim_call_t *call;

	if (!item)
		return;
	call = container_of(item, sim_call_t, item);
	admission_attempt_started(instance->admission, item, sim->now);
	sim->organisations[call->organisation].served += is_measured(sim);
	call->started = sim->now;
	call->end = sim->now + SERVICE_TIME / 2 +
		    g_rand_int_range(sim->random, 0, SERVICE_TIME);
	TAILQ_REMOVE(&instance->waiting, call, link);
	TAILQ_INSERT_TAIL(&instance->running, call, link);
	sim->slots_free--;
}

static void offer(sim_t *sim, sim_instance_t *instance, guint index)
{
	sim_organisation_t *organisation = &sim->organisations[index];
	sim_call_t *call = g_new0(sim_call_t, 1);
	admission_item_t *displaced;
	sim_call_t *other;

	organisation->offered += is_measured(sim);
	call->organisation = index;
	call->item.caller = organisation->name;
	call->item.deadline = sim->now + DEADLINE;
	call->item.latest_start = sim->now + PATIENCE;
	call->item.has_share = TRUE;
	call->item.share_weight = organisation->usual * RATE_TO_USUAL;
	if (!admission_offer(instance->admission, &call->item, sim->now,
			     &displaced, NULL)) {
		g_free(call);
		return;
	}
	TAILQ_INSERT_TAIL(&instance->waiting, call, link);
	if (displaced) {
		other = container_of(displaced, sim_call_t, item);
		TAILQ_REMOVE(&instance->waiting, other, link);
		g_free(other);
	}
	start_one(sim, instance);
}

static guint poisson(sim_t *sim, double mean)
{
	double limit = exp(-mean), product = g_rand_double(sim->random);
	guint count = 0;

	while (product > limit) {
		product *= g_rand_double(sim->random);
		count++;
	}
	return count;
}

static void offer_all(sim_t *sim)
{
	guint first = (guint)g_rand_int_range(sim->random, 0, ORGANISATIONS);
	guint i, n, count, entrances;

	for (n = 0; n < ORGANISATIONS; n++) {
		i = (first + n) % ORGANISATIONS;
		entrances = i == sim->scenario->hot ? sim->scenario->entrances :
						      INSTANCES;
		count = poisson(sim, sim->organisations[i].rate * STEP /
					     G_TIME_SPAN_SECOND);
		while (count--)
			offer(sim,
			      &sim->instances[g_rand_int_range(
				      sim->random, 0, (gint32)entrances)],
			      i);
	}
}

static void end_calls(sim_t *sim, sim_instance_t *instance)
{
	sim_call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &instance->running, link, next) {
		if (sim->now < call->end)
			continue;
		admission_attempt_ended(instance->admission, &call->item,
					ADMISSION_ANSWERED, 1,
					sim->now - call->started, sim->now);
		TAILQ_REMOVE(&instance->running, call, link);
		sim->slots_free++;
		g_free(call);
	}
}

/* As refuse_overdue_calls() in lib/entry. */
static void refuse_overdue(sim_t *sim, sim_instance_t *instance)
{
	sim_call_t *call, *next;

	TAILQ_FOREACH_SAFE (call, &instance->waiting, link, next) {
		if (sim->now < call->item.latest_start)
			continue;
		admission_no_capacity(instance->admission, &call->item,
				      sim->now);
		admission_remove(instance->admission, &call->item);
		TAILQ_REMOVE(&instance->waiting, call, link);
		g_free(call);
	}
}

static void run(sim_t *sim, const scenario_t *scenario)
{
	guint i, first;

	sim_init(sim, scenario);
	for (; sim->now < WARM_UP + MEASURED; sim->now += STEP) {
		for (i = 0; i < INSTANCES; i++)
			end_calls(sim, &sim->instances[i]);
		/* Free capacity goes to the instance that happens to ask. */
		first = (guint)g_rand_int_range(sim->random, 0, INSTANCES);
		for (i = 0; i < INSTANCES; i++)
			start_one(sim,
				  &sim->instances[(first + i) % INSTANCES]);
		offer_all(sim);
		for (i = 0; i < INSTANCES; i++)
			refuse_overdue(sim, &sim->instances[i]);
	}
}

static double share(guint served, guint offered)
{
	return offered ? (double)served / offered : 0;
}

/* Requests of the organisations other than the hot one. */
static guint served_others(const sim_t *sim, guint hot)
{
	guint i, sum = 0;

	for (i = 0; i < ORGANISATIONS; i++)
		if (i != hot)
			sum += sim->organisations[i].served;
	return sum;
}

static double lowest_share(const sim_t *sim)
{
	double lowest = 1;
	guint i;

	for (i = 0; i < ORGANISATIONS; i++)
		if (sim->organisations[i].offered >= REQUESTS_MIN)
			lowest = MIN(lowest,
				     share(sim->organisations[i].served,
					   sim->organisations[i].offered));
	return lowest;
}

static void sum_up(const sim_t *sim, guint *offered, guint *served)
{
	guint i;

	*offered = *served = 0;
	for (i = 0; i < ORGANISATIONS; i++) {
		*offered += sim->organisations[i].offered;
		*served += sim->organisations[i].served;
	}
}

/*
 * One organisation at 7.5 times its usual rate, through a number of instances,
 * compared with the same capacity without it being hot.
 */
static void check_hot(double usual_rate, guint hot, guint entrances,
		      guint queue_max)
{
	scenario_t scenario = { usual_rate, hot, entrances, 0, queue_max };
	sim_t before = { 0 }, during = { 0 };
	guint offered, served;
	double hot_share, others, all;
	double capacity = usual_rate;

	during.scenario = &scenario;
	init_organisations(&during);
	capacity += during.organisations[hot].usual * (HOT_FACTOR - 1);
	scenario.capacity = capacity * CAPACITY_PART;
	run(&during, &scenario);
	scenario.hot = NONE;
	run(&before, &scenario);
	sum_up(&during, &offered, &served);
	all = share(served, offered);
	hot_share = share(during.organisations[hot].served,
			  during.organisations[hot].offered);
	others =
		share(served_others(&during, hot), served_others(&before, hot));
	print_message(
		"%.0f/s, o%u hot by %u instances, queue %u: others keep %.3f, "
		"hot %.3f, lowest %.3f, all %.3f, used %.3f\n",
		usual_rate, hot, entrances, queue_max, others, hot_share,
		lowest_share(&during), all,
		served / (scenario.capacity * MEASURED / G_TIME_SPAN_SECOND));
	assert_true(others >= FLOOR_OF_OTHERS);
	assert_true(lowest_share(&during) >= FLOOR_OF_ALL * all);
	assert_true(lowest_share(&before) >= FLOOR_OF_ALL * all);
	assert_true(served >= USED_MIN * scenario.capacity * MEASURED /
				      G_TIME_SPAN_SECOND);
	sim_clear(&before);
	sim_clear(&during);
}

/* Without shares in advance, the others keep 0.69. */
static void largest_is_hot(void **state)
{
	(void)state;
	check_hot(ONE_SERVICE, 0, INSTANCES, 64);
	check_hot(ONE_OF_FOUR, 0, INSTANCES, 64);
}

/* Fails if an instance that serves few others takes capacity for the hot one. */
static void hot_clients_use_few_instances(void **state)
{
	(void)state;
	check_hot(ONE_SERVICE, 0, 5, 64);
	check_hot(ONE_SERVICE, 5, 5, 64);
}

static void medium_one_is_hot(void **state)
{
	(void)state;
	check_hot(ONE_SERVICE, 5, INSTANCES, 64);
	check_hot(ONE_OF_FOUR, 5, INSTANCES, 64);
	check_hot(ONE_SERVICE, 40, INSTANCES, 64);
}

/* Fails if a full queue, which shows no order, hides the shortage. */
static void queue_of_one(void **state)
{
	(void)state;
	check_hot(ONE_SERVICE, 5, INSTANCES, 1);
}

/* Fails if shares refuse anything while there is capacity for all. */
static void no_refusal_without_shortage(void **state)
{
	const scenario_t scenario = { ONE_SERVICE, 5, INSTANCES,
				      2 * ONE_SERVICE, 64 };
	sim_t sim;
	guint offered, served;

	(void)state;
	run(&sim, &scenario);
	sum_up(&sim, &offered, &served);
	assert_true(served + SERVED_TOLERANCE >= offered);
	sim_clear(&sim);
}

/* Fails if the largest pays for all when nobody is hot: 30% too little. */
static void general_shortage_spares_each(void **state)
{
	const scenario_t scenario = { ONE_SERVICE, NONE, INSTANCES,
				      ONE_SERVICE * CAPACITY_PART, 64 };
	sim_t sim;
	guint offered, served;

	(void)state;
	run(&sim, &scenario);
	sum_up(&sim, &offered, &served);
	assert_true(lowest_share(&sim) >= FLOOR_OF_ALL * served / offered);
	sim_clear(&sim);
}

/* Fails if refusals outlast the shortage, or names accumulate. */
static void shortage_is_forgotten(void **state)
{
	fair_share_t *shares = fair_share_new();
	GTimeSpan now = G_TIME_SPAN_SECOND;
	guint i, refused = 0;

	(void)state;
	for (i = 0; i < 2000; i++, now += 10 * MS) {
		if (!fair_share_admit(shares, "hot", 1, now))
			refused++;
		else if (i % 2)
			fair_share_started(shares, now);
		else
			fair_share_no_capacity(shares, now);
		if (i % 20 == 0 && fair_share_admit(shares, "calm", 1, now))
			fair_share_started(shares, now);
	}
	assert_true(refused > 100);
	assert_true(fair_share_served(shares) < 1);
	for (i = 0; i < 12000; i++, now += 10 * MS)
		if (fair_share_admit(shares, "calm", 1, now))
			fair_share_started(shares, now);
	assert_true(fair_share_served(shares) == 1);
	assert_int_equal(fair_share_organisations(shares), 1);
	fair_share_free(shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(largest_is_hot),
		cmocka_unit_test(hot_clients_use_few_instances),
		cmocka_unit_test(medium_one_is_hot),
		cmocka_unit_test(queue_of_one),
		cmocka_unit_test(no_refusal_without_shortage),
		cmocka_unit_test(general_shortage_spares_each),
		cmocka_unit_test(shortage_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
