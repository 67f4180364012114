/*
 * Tests how a fleet of entries learns which data centres are evacuated: few
 * read the store, and every one that is in contact must know the start and the
 * end of an evacuation in time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/support_fleet.h"

#define INSTANCES 141
#define DATA_CENTRES 3
#define SEEDS 6
/* As the users require it of instances in contact. */
#define EVACUATION_BOUND (5 * G_TIME_SPAN_SECOND)
#define JOIN_TIME (30 * G_TIME_SPAN_SECOND)
#define LINK_BYTES_PER_S 1250000 /* 10 Mbit/s */
#define MESSAGES_LOST_MAX 4

/* Longest time until all instances knew a change. */
static GTimeSpan slowest;

static int set_up(void **state)
{
	const fleet_options_t options = {
		.instances = INSTANCES,
		.data_centres = DATA_CENTRES,
		.seeds = SEEDS,
		.endpoints = 10,
		.link_bytes_per_s = LINK_BYTES_PER_S,
		.parsed_bytes_per_s = LINK_BYTES_PER_S,
		.change_bound = 2 * G_TIME_SPAN_SECOND,
		.reconnect_bound = 3 * G_TIME_SPAN_SECOND,
		.evacuation_bound = EVACUATION_BOUND,
		.entries_max = INSTANCES,
		.first_start = TRUE,
		.random_seed = 3,
	};

	(void)state;
	slowest = 0;
	fleet_start(&options);
	fleet_publish_config(1, 1000);
	fleet_run_for(JOIN_TIME);
	assert_int_equal(fleet_count_evacuations(), INSTANCES);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	print_message("a change was known everywhere after %ld ms\n",
		      (long)(slowest / G_TIME_SPAN_MILLISECOND));
	fleet_stop();
	return 0;
}

/* Runs until all know the change, and checks that they know it in time. */
static void assert_known_in_time(guint instances)
{
	guint steps = 0;

	assert_int_equal(fleet_count_connected(), instances);
	while (fleet_count_evacuations() < instances &&
	       steps * FLEET_STEP < EVACUATION_BOUND) {
		fleet_run_for(FLEET_STEP);
		steps++;
	}
	assert_int_equal(fleet_count_evacuations(), instances);
	slowest = MAX(slowest, steps * FLEET_STEP);
}

/* Fails if an instance learns the start or the end too late. */
static void start_and_end_are_known_in_time(void **state)
{
	(void)state;
	fleet_set_evacuated(1, TRUE);
	assert_known_in_time(INSTANCES);
	fleet_set_evacuated(2, TRUE);
	assert_known_in_time(INSTANCES);
	fleet_set_evacuated(1, FALSE);
	assert_known_in_time(INSTANCES);
}

/* Fails if the knowledge of an instance depends on a single message. */
static void any_one_message_may_be_lost(void **state)
{
	const peer_message_kind_t kinds[] = { PEER_MEMBERSHIP,
					      PEER_EVACUATION_PULL,
					      PEER_EVACUATIONS };
	gboolean evacuated = FALSE;
	guint kind, number;

	(void)state;
	for (kind = 0; kind < G_N_ELEMENTS(kinds); kind++)
		for (number = 1; number <= MESSAGES_LOST_MAX; number++) {
			evacuated = !evacuated;
			fleet_lose_message(kinds[kind], number);
			fleet_set_evacuated(number % DATA_CENTRES, evacuated);
			assert_known_in_time(INSTANCES);
		}
}

/*
 * Fails if instances that do not reach the store, among them sources, do not
 * learn from the others what these read.
 */
static void third_without_store_learns_from_others(void **state)
{
	guint i;

	(void)state;
	for (i = 0; i < INSTANCES; i += 3)
		fleet_cut_from_store(i, TRUE);
	fleet_run_for(10 * G_TIME_SPAN_SECOND);
	fleet_set_evacuated(1, TRUE);
	assert_known_in_time(INSTANCES);
	fleet_set_evacuated(1, FALSE);
	assert_known_in_time(INSTANCES);
	for (i = 0; i < INSTANCES; i += 3)
		fleet_cut_from_store(i, FALSE);
	fleet_run_for(10 * G_TIME_SPAN_SECOND);
	fleet_set_evacuated(2, TRUE);
	assert_known_in_time(INSTANCES);
}

static guint next_source(guint after)
{
	guint i;

	for (i = after; i < INSTANCES; i++)
		if (fleet_entry(i) && fleet_reads_store(i, FEED_EVACUATIONS))
			return i;
	return INSTANCES;
}

/*
 * Fails if a change is lost that a source read but did not pass on, or that
 * nobody read as the source had died.
 */
static void source_may_die_at_the_change(void **state)
{
	guint killed = 0, source = next_source(0);

	(void)state;
	for (; source < INSTANCES; source = next_source(source + 1)) {
		fleet_set_evacuated(killed % DATA_CENTRES, TRUE);
		/* Sources read the change in one step and pass it on later. */
		if (killed % 2)
			fleet_run_for(FLEET_STEP);
		fleet_kill(source);
		killed++;
		assert_known_in_time(INSTANCES - killed);
		fleet_set_evacuated(killed % DATA_CENTRES, FALSE);
		assert_known_in_time(INSTANCES - killed);
		if (killed == 4)
			break;
	}
	assert_int_equal(killed, 4);
}

/*
 * Fails if an instance that starts anew takes an older set for the current one,
 * or brings it back to the others.
 */
static void older_set_does_not_return(void **state)
{
	guint i;

	(void)state;
	fleet_set_evacuated(1, TRUE);
	fleet_run_for(EVACUATION_BOUND);
	fleet_silence(7, TRUE); /* keeps the older set */
	fleet_set_evacuated(1, FALSE);
	fleet_run_for(EVACUATION_BOUND);
	fleet_restart(8);
	fleet_silence(7, FALSE);
	for (i = 0; i < 50; i++) {
		fleet_run_for(5 * FLEET_STEP);
		/* All but the two that come back know the end. */
		assert_true(fleet_count_evacuations() + 1 >= INSTANCES);
	}
	assert_known_in_time(INSTANCES);
}

/* Fails if an instance serves after a start before it knows the evacuations. */
static void evacuations_are_known_before_serving(void **state)
{
	guint served = 0, i, step;

	(void)state;
	fleet_set_evacuated(1, TRUE);
	fleet_run_for(EVACUATION_BOUND);
	for (i = 0; i < INSTANCES; i++)
		fleet_restart(i);
	for (step = 0; step < 500 && served < INSTANCES; step++) {
		fleet_run_for(FLEET_STEP);
		served = 0;
		for (i = 0; i < INSTANCES; i++) {
			if (!entry_is_ready(fleet_entry(i)))
				continue;
			served++;
			assert_true(fleet_knows_evacuations(i));
		}
	}
	assert_int_equal(served, INSTANCES);
}

/*
 * Fails if an instance that starts during an evacuation uses the data centre
 * once it has a configuration, or if an outage of the store ends one.
 */
static void evacuation_lasts_through_restart_and_outage(void **state)
{
	guint i;

	(void)state;
	fleet_set_evacuated(1, TRUE);
	fleet_run_for(EVACUATION_BOUND);
	fleet_set_store_down(TRUE);
	fleet_lose_message(PEER_EVACUATIONS, 1);
	fleet_restart(3);
	fleet_restart(4);
	for (i = 0; i < 500; i++) {
		fleet_run_for(FLEET_STEP);
		if (entry_is_ready(fleet_entry(3)))
			assert_true(fleet_knows_evacuations(3));
		if (entry_is_ready(fleet_entry(4)))
			assert_true(fleet_knows_evacuations(4));
	}
	assert_true(entry_is_ready(fleet_entry(3)));
	assert_int_equal(fleet_count_evacuations(), INSTANCES);
}

/*
 * Fails if an instance never serves because nobody can tell it the evacuations:
 * the store answers only calls for the configuration.
 */
static void instance_serves_without_an_answer_on_evacuations(void **state)
{
	guint i;

	(void)state;
	fleet_lose_store_calls(FEED_EVACUATIONS);
	for (i = 0; i < INSTANCES; i++)
		fleet_restart(i);
	fleet_run_for(JOIN_TIME);
	for (i = 0; i < INSTANCES; i++)
		assert_true(entry_is_ready(fleet_entry(i)));
}

/* Fails if instances other than the sources call the store for evacuations. */
static void few_instances_read_the_store(void **state)
{
	const guint sources = DATA_CENTRES * ENTRY_CONFIG_WATCHERS;
	guint reading = 0, i;

	(void)state;
	fleet_reset_counts();
	fleet_run_for(G_TIME_SPAN_MINUTE);
	for (i = 0; i < INSTANCES; i++)
		reading += fleet_reads_store(i, FEED_EVACUATIONS);
	print_message("%u calls a minute by %u sources\n",
		      fleet_store_calls_of(FEED_EVACUATIONS), reading);
	assert_true(reading > 0 && reading <= sources);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(start_and_end_are_known_in_time),
		TEST(any_one_message_may_be_lost),
		TEST(third_without_store_learns_from_others),
		TEST(source_may_die_at_the_change),
		TEST(older_set_does_not_return),
		TEST(evacuations_are_known_before_serving),
		TEST(evacuation_lasts_through_restart_and_outage),
		TEST(instance_serves_without_an_answer_on_evacuations),
		TEST(few_instances_read_the_store),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
