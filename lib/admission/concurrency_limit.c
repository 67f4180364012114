#include "lib/admission/concurrency_limit.h"

/* Limits, in attempts. */
#define LIMIT_INITIAL 10.0
#define LIMIT_MIN 1.0
#define LIMIT_MAX 100000.0

/*
 * Target of the mean reported load, in requests per slot. An answer does not
 * count its own request: from an endpoint with three slots, all in use, it
 * reports 2/3. The target is higher because entries select endpoints
 * independently: some endpoints have a queue while others have free slots, so
 * using all slots requires a higher mean. A single report of a queue is not
 * significant: at 60% load a quarter of random selections meets one.
 */
#define LOAD_TARGET 0.9
/*
 * Added to the target after division by the limit. Entries with a small limit
 * raise it at a load at which others lower theirs, so the limits converge.
 */
#define LOAD_TARGET_SPREAD 0.3
#define LOAD_WEIGHT 0.1
#define LOAD_MAX 2.0 /* bounds the effect of a single long queue */

/* Change of the limit per answer and unit of load. */
#define LIMIT_STEP 0.1
#define LIMIT_STEP_REFUSED 0.5

void concurrency_limit_init(concurrency_limit_t *limit)
{
	limit->limit = LIMIT_INITIAL;
	limit->load = 0;
	limit->slow_start = TRUE;
}

void concurrency_limit_answered(concurrency_limit_t *limit, double load,
				guint in_flight)
{
	double target = LOAD_TARGET + LOAD_TARGET_SPREAD / limit->limit;
	double step;

	load = MIN(load, LOAD_MAX);
	limit->load += LOAD_WEIGHT * (load - limit->load);
	if (limit->load > target)
		limit->slow_start = FALSE;
	step = limit->slow_start ? 1 : LIMIT_STEP * (target - load);
	/* Reports do not confirm a limit that is not reached: keep it. */
	if (step > 0 && in_flight + 1 <= limit->limit)
		return;
	limit->limit = CLAMP(limit->limit + step, LIMIT_MIN, LIMIT_MAX);
}

void concurrency_limit_refused(concurrency_limit_t *limit)
{
	limit->slow_start = FALSE;
	limit->limit = MAX(limit->limit - LIMIT_STEP_REFUSED, LIMIT_MIN);
}
