/*
 * One entry's share of the probe budget of one endpoint.
 *
 * The share is the budget divided by the number of entries. Over any time T the
 * fleet sends at most budget * T + entries probes while no entry takes the
 * number for lower than it is. A bucket starts empty and holds one probe, so
 * that neither a restart nor a pause saves up probes; a burst of more than one
 * adds that many to the bound of each entry.
 */
#ifndef CATK_PROBE_BUDGET_H
#define CATK_PROBE_BUDGET_H

#include "lib/common/clock.h"

typedef struct {
	GTimeSpan interval; /* of one probe; CATK_NEVER when probing is off */
	GTimeSpan refilled; /* instant up to which saved counts */
	double saved; /* probes allowed now */
	guint burst; /* probes that unused budget may add up to */
} probe_budget_t;

/*
 * probes_per_second is the fleet's budget, 0 turns probing off; entries_max is
 * at least 1. The first probe is allowed one interval after now.
 */
void probe_budget_init(probe_budget_t *budget, double probes_per_second,
		       guint entries_max, GTimeSpan now);

/*
 * Changes this entry's share to that many probes a second, and lets unused
 * budget add up to burst probes, at least 1.
 */
void probe_budget_configure(probe_budget_t *budget, double probes_per_second,
			    guint burst, GTimeSpan now);

/* Takes the allowed probe. FALSE when none is allowed yet. */
gboolean probe_budget_take(probe_budget_t *budget, GTimeSpan now);

#endif
