#include "lib/shutdown/shutdown.h"

const char *shutdown_phase_name(shutdown_phase_t phase)
{
	static const char *const names[] = {
		[SHUTDOWN_NONE] = "none",
		[SHUTDOWN_LEAVING] = "leaving",
		[SHUTDOWN_COMPLETE] = "complete",
	};

	g_assert(phase <= SHUTDOWN_COMPLETE);
	return names[phase];
}

gboolean shutdown_start(shutdown_t *shutdown, GTimeSpan max, GTimeSpan now)
{
	if (shutdown->phase != SHUTDOWN_NONE)
		return FALSE;
	shutdown->phase = SHUTDOWN_LEAVING;
	shutdown->started = now;
	shutdown->end = now + max;
	return TRUE;
}

gboolean shutdown_complete(shutdown_t *shutdown, GTimeSpan now)
{
	if (shutdown->phase != SHUTDOWN_LEAVING)
		return FALSE;
	shutdown->phase = SHUTDOWN_COMPLETE;
	shutdown->forced = now >= shutdown->end;
	return TRUE;
}

static gboolean ends_in_time(void *ctx, const shutdown_t *shutdown,
			     const shutdown_call_t *call, GTimeSpan now)
{
	(void)ctx;
	(void)now;
	return call->deadline <= shutdown->end;
}

const shutdown_rule_t shutdown_rule_by_deadline = { .may_start = ends_in_time };

gboolean shutdown_may_start(const shutdown_t *shutdown,
			    const shutdown_rule_t *rule,
			    const shutdown_call_t *call, GTimeSpan now)
{
	if (shutdown->phase == SHUTDOWN_NONE)
		return TRUE;
	return shutdown->phase == SHUTDOWN_LEAVING &&
	       rule->may_start(rule->ctx, shutdown, call, now);
}

GTimeSpan shutdown_elapsed(const shutdown_t *shutdown, GTimeSpan now)
{
	return shutdown->phase == SHUTDOWN_NONE ? -1 : now - shutdown->started;
}
