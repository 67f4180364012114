/* State of an entry, shared by the files of this folder. */
#ifndef CATK_ENTRY_INTERNAL_H
#define CATK_ENTRY_INTERNAL_H

#include "lib/admission/retry_budget.h"
#include "lib/call/call.h"
#include "lib/entry/entry.h"

/* Time between two rounds of expiry and probing. */
#define ENTRY_HOUSEKEEPING_INTERVAL (50 * G_TIME_SPAN_MILLISECOND)

typedef struct entry_service {
	TAILQ_ENTRY(entry_service) link;
	upstream_t *upstream;
	admission_t *admission;
	gboolean declared; /* in the schema in force */
} entry_service_t;

struct entry {
	entry_limits_t limits;
	entry_actions_t actions;
	const catk_clock_t *clock;
	GRand *random;
	counters_t *counters;

	config_t *config;
	membership_t *membership;
	request_ids_t *ids;
	TAILQ_HEAD(entry_service_list, entry_service) services;

	TAILQ_HEAD(call_list, call) calls; /* earliest deadline first */
	GHashTable *calls_by_sequence; /* request id sequence -> call_t */
	GHashTable *calls_by_attempt; /* attempt id -> call_t */
	GHashTable *calls_by_ref; /* caller_ref -> call_t */
	guint64 next_attempt;
	retry_budget_t retries;

	GTimeSpan next_housekeeping;
	gboolean leaving;
	GTimeSpan left; /* instant of entry_shutdown() */
};

static inline GTimeSpan entry_now(const entry_t *entry)
{
	return catk_clock_now(entry->clock);
}

/* The service of that name, or NULL. */
entry_service_t *entry_find_service(entry_t *entry, const char *name);

/* Starts waiting calls for which an endpoint has room. */
void entry_dispatch(entry_t *entry, entry_service_t *service);

/* Ends the calls whose deadline has passed. */
void entry_expire_calls(entry_t *entry);

/* Frees all calls without an answer. */
void entry_drop_calls(entry_t *entry);

#endif
