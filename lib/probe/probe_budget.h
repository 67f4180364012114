/*
 * Token bucket for one entry's share of the probe budget of one endpoint.
 *
 * The share is the budget divided by the number of entries. Over any time T the
 * fleet sends at most budget * T + entries probes, as long as no entry
 * underestimates the number of entries. The bucket starts empty and by default
 * holds one token, so that neither a restart nor a pause accumulates probes. A
 * burst greater than one raises the bound of each entry by that many probes.
 */
#ifndef CATK_PROBE_BUDGET_H
#define CATK_PROBE_BUDGET_H

#include "lib/common/clock.h"

typedef struct {
	GTimeSpan interval; /* per token; CATK_NEVER if probing is disabled */
	GTimeSpan refilled_at; /* time of the last refill */
	double tokens; /* probes allowed now */
	guint burst; /* capacity of the bucket */
} probe_budget_t;

/*
 * probes_per_second is the budget of the whole fleet; 0 disables probing.
 * entries_max must be at least 1. The first probe is allowed one interval after
 * now.
 */
void probe_budget_init(probe_budget_t *budget, double probes_per_second,
		       guint entries_max, GTimeSpan now);

/*
 * Sets this entry's share to probes_per_second and the capacity of the bucket
 * to burst, which must be at least 1.
 */
void probe_budget_configure(probe_budget_t *budget, double probes_per_second,
			    guint burst, GTimeSpan now);

/* Takes one token. Returns FALSE if no probe is allowed yet. */
gboolean probe_budget_take(probe_budget_t *budget, GTimeSpan now);

#endif
