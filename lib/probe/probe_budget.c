#include "lib/probe/probe_budget.h"

void probe_budget_init(probe_budget_t *budget, double probes_per_second,
		       guint entries_max, GTimeSpan now)
{
	g_assert(entries_max >= 1);
	budget->burst = 1;
	if (probes_per_second <= 0) {
		budget->interval = CATK_NEVER;
		budget->next = CATK_NEVER;
		return;
	}
	budget->interval = (GTimeSpan)(G_TIME_SPAN_SECOND * entries_max /
				       probes_per_second);
	budget->next = now + budget->interval;
}

gboolean probe_budget_take(probe_budget_t *budget, GTimeSpan now)
{
	GTimeSpan saved;

	if (budget->next == CATK_NEVER)
		return FALSE;
	saved = budget->interval * (budget->burst - 1);
	if (now < budget->next - saved)
		return FALSE;
	budget->next = MAX(budget->next, now) + budget->interval;
	return TRUE;
}

void probe_budget_set_burst(probe_budget_t *budget, guint burst)
{
	g_assert(burst >= 1);
	budget->burst = burst;
}
