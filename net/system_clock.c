#include "net/system_clock.h"

#include <time.h>

#define NANOSECONDS_PER_MICROSECOND 1000

static GTimeSpan read_boottime(void *ctx)
{
	struct timespec time;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &time);
	return time.tv_sec * G_TIME_SPAN_SECOND +
	       time.tv_nsec / NANOSECONDS_PER_MICROSECOND;
}

const catk_clock_t system_clock = { .now = read_boottime };
