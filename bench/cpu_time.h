/*
 * CPU time of the process. Other processes affect it less than wall-clock time.
 */
#ifndef CATK_BENCH_CPU_TIME_H
#define CATK_BENCH_CPU_TIME_H

#include <time.h>

/* CPU time used by this process in nanoseconds. */
static inline double cpu_time_ns(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec * 1e9 + (double)used.tv_nsec;
}

#endif
