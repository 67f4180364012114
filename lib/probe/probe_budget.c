#include "lib/probe/probe_budget.h"

static void set_rate(probe_budget_t *budget, double probes_per_second)
{
	budget->interval = CATK_NEVER;
	if (probes_per_second > 0)
		budget->interval =
			(GTimeSpan)(G_TIME_SPAN_SECOND / probes_per_second);
}

static void refill(probe_budget_t *budget, GTimeSpan now)
{
	GTimeSpan elapsed = MAX(now - budget->refilled_at, 0);

	budget->refilled_at = MAX(now, budget->refilled_at);
	if (budget->interval == CATK_NEVER)
		return;
	budget->tokens += (double)elapsed / (double)budget->interval;
	budget->tokens = MIN(budget->tokens, budget->burst);
}

void probe_budget_init(probe_budget_t *budget, double probes_per_second,
		       guint entries_max, GTimeSpan now)
{
	g_assert(entries_max >= 1);
	budget->burst = 1;
	budget->tokens = 0;
	budget->refilled_at = now;
	set_rate(budget, probes_per_second / entries_max);
}

gboolean probe_budget_take(probe_budget_t *budget, GTimeSpan now)
{
	refill(budget, now);
	if (budget->interval == CATK_NEVER || budget->tokens < 1)
		return FALSE;
	budget->tokens -= 1;
	return TRUE;
}

void probe_budget_configure(probe_budget_t *budget, double probes_per_second,
			    guint burst, GTimeSpan now)
{
	g_assert(burst >= 1);
	refill(budget, now);
	budget->burst = burst;
	budget->tokens = MIN(budget->tokens, burst);
	set_rate(budget, probes_per_second);
}
