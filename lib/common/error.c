#include "lib/common/error.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const kind_names[CATK_ERROR_KIND_COUNT] = {
	[CATK_OK] = "ok",
	[CATK_INVALID_ARGUMENT] = "invalid_argument",
	[CATK_NOT_FOUND] = "not_found",
	[CATK_UNAUTHENTICATED] = "unauthenticated",
	[CATK_CONFLICT] = "conflict",
	[CATK_TOO_LARGE] = "too_large",
	[CATK_RATE_LIMITED] = "rate_limited",
	[CATK_OVERLOADED] = "overloaded",
	[CATK_UNAVAILABLE] = "unavailable",
	[CATK_DEADLINE_EXCEEDED] = "deadline_exceeded",
	[CATK_CANCELLED] = "cancelled",
	[CATK_UPSTREAM_FAILED] = "upstream_failed",
	[CATK_OUTCOME_UNKNOWN] = "outcome_unknown",
	[CATK_INTERNAL] = "internal",
};

static const char *const outcome_names[] = {
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_RAN] = "ran",
	[OUTCOME_UNKNOWN] = "unknown",
};

void catk_error_set(catk_error_t *err, catk_error_kind_t kind,
		    outcome_t outcome, const char *format, ...)
{
	va_list args;

	if (!err)
		return;
	err->kind = kind;
	err->outcome = outcome;
	err->retry_after = 0;
	va_start(args, format);
	g_vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
}

const char *catk_error_kind_name(catk_error_kind_t kind)
{
	g_assert(kind < CATK_ERROR_KIND_COUNT);
	return kind_names[kind];
}

catk_error_kind_t catk_error_kind_from_name(const char *name)
{
	int kind;

	for (kind = 0; kind < CATK_ERROR_KIND_COUNT; kind++)
		if (g_strcmp0(kind_names[kind], name) == 0)
			return (catk_error_kind_t)kind;
	return CATK_INTERNAL;
}

const char *outcome_name(outcome_t outcome)
{
	g_assert(outcome <= OUTCOME_UNKNOWN);
	return outcome_names[outcome];
}

outcome_t outcome_from_name(const char *name)
{
	if (g_strcmp0(name, outcome_names[OUTCOME_NOT_RUN]) == 0)
		return OUTCOME_NOT_RUN;
	if (g_strcmp0(name, outcome_names[OUTCOME_RAN]) == 0)
		return OUTCOME_RAN;
	return OUTCOME_UNKNOWN;
}
