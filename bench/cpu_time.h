/* CPU time of the process, less disturbed by other processes than real time. */
#ifndef CATK_BENCH_CPU_TIME_H
#define CATK_BENCH_CPU_TIME_H

#include <time.h>

/* Nanoseconds of CPU time that this process has used. */
static inline double cpu_time_ns(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec * 1e9 + (double)used.tv_nsec;
}

#endif
