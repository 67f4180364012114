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

GTimeSpan shutdown_elapsed(const shutdown_t *shutdown, GTimeSpan now)
{
	return shutdown->phase == SHUTDOWN_NONE ? -1 : now - shutdown->started;
}
