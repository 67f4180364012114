/*
 * Randomized soak test of the whole system.
 *   soak --seed N [--seconds N] [--instances N] [--endpoints N] [--rate N]
 *        [--daemon PROGRAM] [--port-base PORT] [--no-outage-series]
 *        [--no-stop-series] [--no-rule-series] [--verbose]
 * The exit status is 0 without violations and 1 otherwise. After a violation
 * the settings and logs are kept in the build directory, in soak-SEED-PORT.
 */
#include <argp.h>
#include <glib/gstdio.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

#define FLEET_TICK_MS 50
/* Longer than the delays of a faulty proxy. */
#define STALL_MIN (500 * G_TIME_SPAN_MILLISECOND)
/* After the last fault: covers RECONNECT_MAX and CHANGE_PROPAGATION_MAX. */
#define SETTLE_MS 5500

static gboolean verbose;
static GTimeSpan start_time;

static void print_line(const char *prefix, const char *format, va_list list)
{
	gchar *text = g_strdup_vprintf(format, list);

	printf("%8.3f %s%s\n",
	       (double)(soak_now() - start_time) / (double)G_TIME_SPAN_SECOND,
	       prefix, text);
	fflush(stdout);
	g_free(text);
}

void soak_violation(soak_t *soak, const char *kind, const char *format, ...)
{
	gchar *prefix = g_strdup_printf("VIOLATION %s: ", kind);
	va_list list;

	soak->violations++;
	va_start(list, format);
	print_line(prefix, format, list);
	va_end(list);
	g_free(prefix);
}

void soak_log(const char *format, ...)
{
	va_list list;

	if (!verbose)
		return;
	va_start(list, format);
	print_line("", format, list);
	va_end(list);
}

void soak_record_stall(soak_t *soak)
{
	fault_interval_t stall = { .cause = FAULT_STALL,
				   .from = soak->loop_ran_at,
				   .to = soak_now() };

	soak->loop_ran_at = stall.to;
	if (stall.to - stall.from < STALL_MIN)
		return;
	soak->stalls++;
	g_array_append_val(soak->store_fault_intervals, stall);
	soak_log("the soak was stalled for %" G_GINT64_FORMAT " ms",
		 (stall.to - stall.from) / G_TIME_SPAN_MILLISECOND);
}

/* The time that the main loop spends outside of poll(). */
static GTimeSpan busy_time;
static GTimeSpan busy_since;

static gint poll_and_measure(GPollFD *fds, guint count, gint timeout)
{
	gint ready;

	busy_time += soak_now() - busy_since;
	ready = g_poll(fds, count, timeout);
	busy_since = soak_now();
	return ready;
}

GTimeSpan soak_busy_time(void)
{
	return busy_time + soak_now() - busy_since;
}

static gboolean on_fleet_tick(gpointer data)
{
	soak_record_stall(data);
	fleet_tick(data);
	return G_SOURCE_CONTINUE;
}

static void run(soak_t *soak)
{
	guint tick;

	fleet_start(soak);
	run_loop_for(2000);
	soak->loop_ran_at = soak_now();
	tick = g_timeout_add(FLEET_TICK_MS, on_fleet_tick, soak);
	traffic_start(soak);
	faults_start(soak);
	run_loop_for(soak->options.seconds * 1000);
	faults_wait_cleared();
	run_loop_for(SETTLE_MS);
	traffic_stop(soak);
	g_source_remove(tick);
	checks_run(soak);
	fleet_stop(soak);
}

static void remove_directory(const char *directory)
{
	GDir *dir = g_dir_open(directory, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		gchar *path = g_build_filename(directory, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(directory);
}

static const struct argp_option argp_options[] = {
	{ "seed", 's', "N", 0, "Seed of the faults and the requests", 0 },
	{ "seconds", 't', "N", 0, "Duration of fault injection, default 20",
	  0 },
	{ "instances", 'n', "N", 0, "Number of instances, default 5", 0 },
	{ "endpoints", 'e', "N", 0, "Number of endpoints, default 6", 0 },
	{ "rate", 'r', "N", 0, "Requests per second, default 100", 0 },
	{ "daemon", 'd', "PROGRAM", 0,
	  "Program of the instances, default catkinstalld", 0 },
	{ "port-base", 'p', "PORT", 0, "First port to use, default 24000", 0 },
	{ "no-outage-series", 'o', NULL, 0,
	  "Leave out the outages of the store between changes", 0 },
	{ "no-stop-series", 'S', NULL, 0,
	  "Leave out the planned stops in series", 0 },
	{ "no-rule-series", 'R', NULL, 0,
	  "Leave out keys, evacuations and copies of the store", 0 },
	{ "verbose", 'v', NULL, 0, "Log faults and statistics", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	soak_options_t *options = state->input;

	if (key == 's')
		options->seed = g_ascii_strtoull(argument, NULL, 10);
	else if (key == 't')
		options->seconds = (guint)atoi(argument);
	else if (key == 'n')
		options->instances = (guint)atoi(argument);
	else if (key == 'e')
		options->endpoints = (guint)atoi(argument);
	else if (key == 'r')
		options->requests_per_second = (guint)atoi(argument);
	else if (key == 'd')
		options->daemon = argument;
	else if (key == 'p')
		options->port_base = (guint)atoi(argument);
	else if (key == 'o')
		options->outage_series = FALSE;
	else if (key == 'S')
		options->stop_series = FALSE;
	else if (key == 'R')
		options->rule_series = FALSE;
	else if (key == 'v')
		verbose = TRUE;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp argp = { .options = argp_options,
				   .parser = parse_option };
	const char *build = g_getenv("TEST_BUILD");
	soak_t soak = { .options = { .seed = 1,
				     .seconds = 20,
				     .instances = 5,
				     .endpoints = 6,
				     .requests_per_second = 100,
				     .port_base = 24000,
				     .outage_series = TRUE,
				     .stop_series = TRUE,
				     .rule_series = TRUE,
				     .daemon = "catkinstalld" } };
	gchar *directory;

	argp_parse(&argp, argc, argv, 0, NULL, &soak.options);
	g_assert_cmpuint(soak.options.instances, >=, 2);
	directory = g_strdup_printf("%s/soak-%" G_GUINT64_FORMAT "-%u",
				    build ? build : "build", soak.options.seed,
				    soak.options.port_base);
	remove_directory(directory);
	g_mkdir_with_parents(directory, 0700);
	soak.options.directory = directory;
	soak.fault_random = g_rand_new_with_seed((guint32)soak.options.seed);
	soak.traffic_random =
		g_rand_new_with_seed((guint32)soak.options.seed + 1);
	soak.outage_random =
		g_rand_new_with_seed((guint32)soak.options.seed + 2);
	soak.stop_random = g_rand_new_with_seed((guint32)soak.options.seed + 3);
	soak.rule_random = g_rand_new_with_seed((guint32)soak.options.seed + 4);
	soak.store_fault_intervals =
		g_array_new(FALSE, FALSE, sizeof(fault_interval_t));
	soak.config_acked_at = g_array_new(FALSE, TRUE, sizeof(GTimeSpan));
	TAILQ_INIT(&soak.instances);
	TAILQ_INIT(&soak.endpoints);
	rules_init(&soak);
	start_time = soak_now();
	busy_since = start_time;
	g_main_context_set_poll_func(NULL, poll_and_measure);
	run(&soak);
	printf("seed %" G_GUINT64_FORMAT ": %u violations, %u stalls\n",
	       soak.options.seed, soak.violations, soak.stalls);
	if (!soak.violations)
		remove_directory(directory);
	g_hash_table_unref(soak.requests);
	g_array_unref(soak.store_fault_intervals);
	g_array_unref(soak.config_acked_at);
	g_rand_free(soak.fault_random);
	g_rand_free(soak.traffic_random);
	g_rand_free(soak.outage_random);
	g_rand_free(soak.stop_random);
	g_rand_free(soak.rule_random);
	g_ptr_array_unref(soak.keys);
	g_ptr_array_unref(soak.evacuations);
	g_free(directory);
	return soak.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
