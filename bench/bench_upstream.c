/*
 * Measures the CPU time of the routing decision of one call as a function of
 * the number of endpoints of the service: the choice of an endpoint and the
 * accounting of the start and end of the attempt. Uses no sockets, and a manual
 * clock that advances as at 4,000 calls/s. One attempt at a time is in flight.
 *
 * bench_upstream ENDPOINTS...  prints nanoseconds per call, one line per number
 * of endpoints and one column per routing policy.
 */
#include <stdio.h>
#include <stdlib.h>

#include "bench/cpu_time.h"
#include "lib/upstream/upstream.h"

#define CALL_INTERVAL 250 /* microseconds: 4,000 calls/s */
#define LATENCY (10 * G_TIME_SPAN_MILLISECOND)
#define WARM_UP_CALLS 10000
#define CALLS 100000
#define ENTRIES_MAX 18
#define ENDPOINTS_MAX 2000

typedef struct {
	upstream_t *upstream;
	GTimeSpan now;
} bench_t;

static void set_endpoints(bench_t *bench, guint count)
{
	endpoint_info_t *infos = g_new0(endpoint_info_t, count);
	guint i;

	for (i = 0; i < count; i++)
		g_snprintf(infos[i].address, sizeof(infos[i].address),
			   "127.0.0.1:%u", i + 1);
	upstream_set_endpoints(bench->upstream, infos, count, bench->now);
	g_free(infos);
}

static void run_calls(bench_t *bench, guint count)
{
	static const load_report_t report = { .in_flight = 1, .slots = 2 };
	const endpoint_t *endpoint;
	const char *address;
	guint i;

	for (i = 0; i < count; i++) {
		bench->now += CALL_INTERVAL;
		endpoint = upstream_choose(bench->upstream, NULL, bench->now);
		g_assert_nonnull(endpoint);
		address = endpoint_address(endpoint);
		upstream_attempt_started(bench->upstream, address, bench->now);
		upstream_attempt_ended(bench->upstream, address,
				       ATTEMPT_ANSWERED, LATENCY, &report,
				       bench->now);
	}
}

static void measure_policy(routing_policy_t policy, guint endpoints)
{
	upstream_options_t limits = { .policy = policy,
				      .entries_max = ENTRIES_MAX,
				      .report_stale_after = G_TIME_SPAN_SECOND,
				      .instance = "entry-1" };
	schema_service_t service = { .slots = 2, .connections = 250 };
	bench_t bench = { .now = G_TIME_SPAN_HOUR };
	counters_t counters = { 0 };
	GRand *random = g_rand_new_with_seed(1);
	double start;

	bench.upstream = upstream_new("s", &limits, random, &counters);
	upstream_configure(bench.upstream, &service, bench.now);
	set_endpoints(&bench, endpoints);
	run_calls(&bench, WARM_UP_CALLS);
	start = cpu_time_ns();
	run_calls(&bench, CALLS);
	printf(" %12.0f", (cpu_time_ns() - start) / CALLS);
	upstream_free(bench.upstream);
	g_rand_free(random);
}

/* Prints one line: the number of endpoints and the time of each policy. */
static void measure_policies(guint endpoints)
{
	int policy;

	printf("%9u", endpoints);
	for (policy = 0; policy < ROUTING_POLICY_COUNT; policy++)
		measure_policy((routing_policy_t)policy, endpoints);
	printf("\n");
}

int main(int argc, char **argv)
{
	guint64 count;
	int i;

	printf("endpoints");
	for (i = 0; i < ROUTING_POLICY_COUNT; i++)
		printf(" %12s", routing_policy_name((routing_policy_t)i));
	printf("\n");
	for (i = 1; i < argc; i++) {
		if (!g_ascii_string_to_unsigned(argv[i], 10, 1, ENDPOINTS_MAX,
						&count, NULL))
			return EXIT_FAILURE;
		measure_policies((guint)count);
	}
	return EXIT_SUCCESS;
}
