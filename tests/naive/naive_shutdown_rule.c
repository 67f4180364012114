/*
 * A shutdown rule that loses answers on purpose: calls are started until the
 * process ends, which cuts those that still run. The failure tests must detect
 * these violations.
 */
#include "lib/shutdown/shutdown.h"

extern const shutdown_rule_t shutdown_rule_take_all;

static gboolean may_always_start(void *ctx, const shutdown_t *shutdown,
				 const shutdown_call_t *call, GTimeSpan now)
{
	(void)ctx;
	(void)shutdown;
	(void)call;
	(void)now;
	return TRUE;
}

const shutdown_rule_t shutdown_rule_take_all = { .may_start =
							 may_always_start };
