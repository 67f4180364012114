/*
 * Measures memory and CPU time of request id records, without sockets and with
 * a manual clock. All answers share one body, so that the results exclude
 * the memory of bodies.
 *
 * bench_records COUNT...  prints one line per number of records.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/cpu_time.h"
#include "lib/request_id/request_id.h"

#define BLOCK_SIZE 64 /* default of request_id_block */
#define RECORDS_MAX 1000000
#define FINGERPRINT 7
#define STATUS_OK 200

typedef struct {
	request_ids_t *ids;
	GBytes *body;
	guint64 count; /* records */
	GTimeSpan now;
} bench_t;

typedef void (*step_t)(bench_t *bench, guint64 sequence);

/* Allocated bytes, including those of mapped blocks. */
static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

static void begin_record(bench_t *bench, guint64 sequence)
{
	const held_answer_t *answer = NULL;
	request_id_state_t state = request_ids_begin(
		bench->ids, sequence, FINGERPRINT, bench->now, &answer);

	g_assert_true(state == REQUEST_ID_NEW);
}

static void dispatch_record(bench_t *bench, guint64 sequence)
{
	g_assert_true(request_ids_dispatch(bench->ids, sequence, bench->now));
}

static void complete_record(bench_t *bench, guint64 sequence)
{
	request_ids_complete(bench->ids, sequence, STATUS_OK, bench->body);
}

/* Mean CPU time of a step in nanoseconds, 0 without records. */
static double time_step(bench_t *bench, step_t step)
{
	double start = cpu_time_ns();
	guint64 i;

	for (i = 0; i < bench->count; i++)
		step(bench, i);
	return bench->count ? (cpu_time_ns() - start) / (double)bench->count :
			      0;
}

static void issue_blocks(bench_t *bench, guint64 blocks)
{
	guint64 i;

	for (i = 0; i < blocks; i++)
		request_ids_issue(bench->ids, bench->now);
}

/* Mean, 0 for a count of 0. */
static double mean(double total, guint64 count)
{
	return count ? total / (double)count : 0;
}

static void measure(guint64 count)
{
	static const request_ids_limits_t limits = {
		.block_size = BLOCK_SIZE,
		.lifetime = G_TIME_SPAN_SECOND,
		.retention = G_TIME_SPAN_SECOND,
		.answer_bytes_max = G_MAXUINT32
	};
	guint64 blocks = (count + BLOCK_SIZE - 1) / BLOCK_SIZE;
	counters_t counters = { 0 };
	bench_t bench = { .count = count };
	double empty, issued, held, begin_ns, dispatch_ns, complete_ns;

	bench.body = g_bytes_new_static("", 0);
	bench.ids = request_ids_new(&limits, &counters);
	empty = heap_bytes();
	issue_blocks(&bench, blocks);
	issued = heap_bytes();
	begin_ns = time_step(&bench, begin_record);
	dispatch_ns = time_step(&bench, dispatch_record);
	complete_ns = time_step(&bench, complete_record);
	held = heap_bytes();
	printf("%7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
	       " %11.0f %9.1f %9.1f %8.0f %11.0f %11.0f\n",
	       count, blocks, held - empty, mean(issued - empty, blocks),
	       mean(held - issued, count), begin_ns, dispatch_ns, complete_ns);
	request_ids_free(bench.ids);
	g_bytes_unref(bench.body);
}

int main(int argc, char **argv)
{
	guint64 count;
	int i;

	printf("records  blocks  bytes held   B/block  B/record begin ns "
	       "dispatch ns complete ns\n");
	for (i = 1; i < argc; i++) {
		if (!g_ascii_string_to_unsigned(argv[i], 10, 0, RECORDS_MAX,
						&count, NULL))
			return EXIT_FAILURE;
		measure(count);
	}
	return EXIT_SUCCESS;
}
