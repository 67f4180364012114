#include "lib/admission/concurrency_limit.h"

/* Attempts before anything is known of the service. */
#define INITIAL_LIMIT 10.0
#define LIMIT_MIN 1.0
#define LIMIT_MAX 100000.0

/*
 * Mean load that answers should report. A request that ends leaves two of
 * three slots busy at an endpoint that is just full; entries choose endpoints
 * independently of each other, so that some have a queue while others have
 * room, and the mean must be higher to use the slots. A single report of a
 * queue says nothing: at 60% load a quarter of random choices meets one.
 */
#define LOAD_TARGET 0.9
/*
 * Added to the target, divided by the limit: entries with a small limit raise
 * it at a load at which others lower theirs, so the limits become equal.
 */
#define LOAD_TARGET_SPREAD 0.3
#define LOAD_WEIGHT 0.1
#define LOAD_MAX 2.0 /* one very long queue should not count for all */

/* Change of the limit per answer and unit of load. */
#define STEP 0.1
#define STEP_REFUSED 0.5

void concurrency_limit_init(concurrency_limit_t *limit)
{
	limit->limit = INITIAL_LIMIT;
	limit->load = 0;
	limit->learning = TRUE;
}

void concurrency_limit_answered(concurrency_limit_t *limit, double load,
				guint in_flight)
{
	double target = LOAD_TARGET + LOAD_TARGET_SPREAD / limit->limit;
	double step;

	load = MIN(load, LOAD_MAX);
	limit->load += LOAD_WEIGHT * (load - limit->load);
	if (limit->load > target)
		limit->learning = FALSE;
	step = limit->learning ? 1 : STEP * (target - load);
	/* A limit that is not reached must not rise: nothing tests it. */
	if (step > 0 && in_flight + 1 <= limit->limit)
		return;
	limit->limit = CLAMP(limit->limit + step, LIMIT_MIN, LIMIT_MAX);
}

void concurrency_limit_refused(concurrency_limit_t *limit)
{
	limit->learning = FALSE;
	limit->limit = MAX(limit->limit - STEP_REFUSED, LIMIT_MIN);
}
