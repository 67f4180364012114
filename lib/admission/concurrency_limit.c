#include "lib/admission/concurrency_limit.h"

/* Attempts before anything is known of the service. */
#define INITIAL_LIMIT 10.0
#define LIMIT_MIN 1.0
#define LIMIT_MAX 100000.0

/*
 * Added per limit attempts, so about once per round trip, and taken off per
 * answer with a queue behind it. The limit settles where a share
 * STEP_UP / (STEP_UP + STEP_DOWN * limit) of answers reports a queue: about
 * one in eight with the 3 attempts that each of 18 entries has at 20 endpoints
 * of 3 slots. The step up is additive and the step down per answer is
 * multiplicative per round trip, which makes the entries' parts equal.
 */
#define STEP_UP 0.25
#define STEP_DOWN 0.5
#define STEP_REFUSED 1.0

void concurrency_limit_init(concurrency_limit_t *limit)
{
	limit->limit = INITIAL_LIMIT;
	limit->learning = TRUE;
}

static void lower_limit(concurrency_limit_t *limit, double step)
{
	limit->learning = FALSE;
	limit->limit = MAX(limit->limit - step, LIMIT_MIN);
}

/* A limit that is not reached says nothing and stays as it is. */
static void raise_limit(concurrency_limit_t *limit, guint in_flight)
{
	double step = limit->learning ? 1 : STEP_UP / limit->limit;

	if (in_flight + 1 <= limit->limit)
		return;
	limit->limit = MIN(limit->limit + step, LIMIT_MAX);
}

void concurrency_limit_update(concurrency_limit_t *limit,
			      concurrency_signal_t signal, guint in_flight)
{
	switch (signal) {
	case CONCURRENCY_ROOM:
		raise_limit(limit, in_flight);
		break;
	case CONCURRENCY_QUEUED:
		lower_limit(limit, STEP_DOWN);
		break;
	case CONCURRENCY_REFUSED:
		lower_limit(limit, STEP_REFUSED);
		break;
	}
}
