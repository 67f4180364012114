/*
 * Measures the cost of the peer protocol per instance as a function of the
 * number of instances. Starts that many daemons on loopback, without callers,
 * and reads bytes and messages from their counters and CPU time from the
 * kernel.
 *
 * bench_peers COUNT...  prints one line per number of instances, then the
 * slopes of a linear fit.
 */
#include <gsl/gsl_fit.h>
#include <stdio.h>
#include <stdlib.h>

#include "tests/support.h"

#define COUNT_MAX 100
#define RUNS_MAX 10
#define CALLER_PORT_OFFSET 300
#define PEER_PORT_OFFSET 500
#define START_TIMEOUT_MS 20000
#define SETTLE_MS 20000 /* for the membership updates of the start */
#define MEASURE_MS 10000
#define CONFIG_FILE "examples/schema-local.json"
#define BYTES_PATH "counters.peer_bytes_sent"
#define MESSAGES_PATH "counters.peer_messages_sent"

/* Per second and instance. */
typedef struct {
	double bytes;
	double messages;
	double cpu_ms;
} cost_t;

static void start_daemon(process_t **process, guint index)
{
	char *settings = write_build_file(
		"bench_peers.json",
		"{\"instance\":\"entry-%u\",\"data_centre\":\"k%u\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\",\"config_file\":\"%s\","
		"\"seeds\":[\"127.0.0.1:%u\"]}",
		index, index % 4, test_port(CALLER_PORT_OFFSET + index),
		test_port(PEER_PORT_OFFSET + index), CONFIG_FILE,
		test_port(PEER_PORT_OFFSET));

	*process = process_start("catkinstalld", "--settings", settings, NULL);
	/* The file is overwritten for the next daemon. */
	g_assert_true(wait_until(
		daemon_is_ready,
		GUINT_TO_POINTER(test_port(CALLER_PORT_OFFSET + index)),
		START_TIMEOUT_MS));
	g_free(settings);
}

/* CPU time of a process in milliseconds. */
static double cpu_ms(const process_t *process)
{
	gchar *path = g_strdup_printf("/proc/%d/schedstat", process->pid);
	gchar *text;
	double ms = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		ms = (double)g_ascii_strtoull(text, NULL, 10) / 1e6;
		g_free(text);
	}
	g_free(path);
	return ms;
}

/* Adds the counters of a daemon, multiplied by sign. */
static void add_counters(guint index, double sign, cost_t *cost)
{
	reply_t reply;

	http_request(&reply, "GET", test_port(CALLER_PORT_OFFSET + index),
		     "/v1/operator/dump", NULL, NULL);
	cost->bytes += sign * (double)json_integer_at(reply.body, BYTES_PATH);
	cost->messages +=
		sign * (double)json_integer_at(reply.body, MESSAGES_PATH);
	reply_clear(&reply);
}

/* Reads the counters outside the interval in which CPU time is measured. */
static cost_t measure(process_t *const *processes, guint count)
{
	cost_t cost = { 0 };
	double seconds;
	gint64 start;
	guint i;

	for (i = 0; i < count; i++)
		add_counters(i, -1, &cost);
	start = g_get_monotonic_time();
	for (i = 0; i < count; i++)
		cost.cpu_ms -= cpu_ms(processes[i]);
	run_loop_for(MEASURE_MS);
	for (i = 0; i < count; i++)
		cost.cpu_ms += cpu_ms(processes[i]);
	seconds = (double)(g_get_monotonic_time() - start) / 1e6;
	for (i = 0; i < count; i++)
		add_counters(i, 1, &cost);
	cost.bytes /= seconds * count;
	cost.messages /= seconds * count;
	cost.cpu_ms /= seconds * count;
	return cost;
}

static cost_t measure_fleet(guint count)
{
	process_t *processes[COUNT_MAX] = { 0 };
	cost_t cost;
	guint i;

	for (i = 0; i < count; i++)
		start_daemon(&processes[i], i);
	run_loop_for(SETTLE_MS);
	cost = measure(processes, count);
	for (i = 0; i < count; i++)
		process_free(processes[i]);
	return cost;
}

/* Slope of a least-squares fit. */
static double slope(const double *x, const double *y, size_t count)
{
	double c0, c1, cov00, cov01, cov11, sumsq;

	gsl_fit_linear(x, 1, y, 1, count, &c0, &c1, &cov00, &cov01, &cov11,
		       &sumsq);
	return c1;
}

int main(int argc, char **argv)
{
	double counts[RUNS_MAX], bytes[RUNS_MAX], cpu[RUNS_MAX];
	size_t runs = 0;

	printf("instances  bytes/s  messages/s  cpu ms/s (each instance)\n");
	while (runs < RUNS_MAX && (int)runs + 1 < argc) {
		guint count = (guint)atoi(argv[runs + 1]);
		cost_t cost;

		if (count < 1 || count > COUNT_MAX)
			return EXIT_FAILURE;
		cost = measure_fleet(count);
		printf("%9u  %7.0f  %10.1f  %8.2f\n", count, cost.bytes,
		       cost.messages, cost.cpu_ms);
		counts[runs] = count;
		bytes[runs] = cost.bytes;
		cpu[runs++] = cost.cpu_ms;
	}
	if (runs > 1)
		printf("slope per instance: %.2f bytes/s, %.4f cpu ms/s\n",
		       slope(counts, bytes, runs), slope(counts, cpu, runs));
	return EXIT_SUCCESS;
}
