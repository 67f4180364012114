/*
 * One entry's share of the probe budget of one endpoint.
 *
 * The share is the budget divided by the configured maximum number of entries.
 * Over any time T the fleet sends at most budget * T + entries probes, also
 * while instance lists disagree. A bucket starts empty and holds one probe,
 * so that neither a restart nor a pause saves up probes; a burst of more than
 * one adds that many to the bound of each entry.
 */
#ifndef CATK_PROBE_BUDGET_H
#define CATK_PROBE_BUDGET_H

#include "lib/common/clock.h"

typedef struct {
	GTimeSpan interval; /* CATK_NEVER when probing is off */
	GTimeSpan next; /* instant from which one probe is allowed */
	guint burst; /* probes that unused budget may add up to */
} probe_budget_t;

/*
 * probes_per_second is the fleet's budget, 0 turns probing off; entries_max is
 * at least 1. The first probe is allowed one interval after now.
 */
void probe_budget_init(probe_budget_t *budget, double probes_per_second,
		       guint entries_max, GTimeSpan now);

/* Lets unused budget add up to burst probes, at least 1. */
void probe_budget_set_burst(probe_budget_t *budget, guint burst);

/* Takes the allowed probe. FALSE when none is allowed yet. */
gboolean probe_budget_take(probe_budget_t *budget, GTimeSpan now);

#endif
