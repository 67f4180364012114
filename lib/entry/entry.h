/*
 * One entry instance: composes the aggregates and is the only interface that
 * a front end uses.
 *
 * A front end passes events in (calls, ends of attempts, configurations,
 * instance lists, time) and carries out the actions that come out through
 * callbacks. The entry does no input or output of its own. All functions run
 * on one thread. An action must not call back into the entry before it
 * returns: its result is a later event.
 */
#ifndef CATK_ENTRY_H
#define CATK_ENTRY_H

#include "lib/admission/admission.h"
#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/error.h"
#include "lib/config/config.h"
#include "lib/membership/membership.h"
#include "lib/request_id/request_id.h"
#include "lib/upstream/upstream.h"

#define ENTRY_RESOLVE_ADDRESSES_MAX 8

typedef struct entry entry_t;

typedef struct {
	request_ids_limits_t request_ids;
	admission_limits_t admission;
	routing_policy_t routing;
	guint entries_max; /* largest number of entries ever, at least 1 */
	GTimeSpan report_stale_after;
	guint attempts_max; /* attempts of one call, at least 1 */
	guint retry_percent; /* retries per hundred first attempts */
	GTimeSpan resolve_ttl; /* how long a caller keeps addresses */
	guint resolve_addresses; /* 1 to ENTRY_RESOLVE_ADDRESSES_MAX */
	GTimeSpan shutdown_max; /* bound of a graceful shutdown */
} entry_limits_t;

/* A caller's request. Strings and body are copied or referenced. */
typedef struct {
	const char *service;
	const char *method;
	const char *request_id; /* text form, NULL for none */
	const char *caller; /* name for fair sharing */
	GTimeSpan remaining; /* until the deadline, 0 for the method's own */
	guint attempt; /* of the caller, from 1; 0 when not given */
	GBytes *body;
	void *caller_ref; /* not NULL; identifies the answer */
} call_request_t;

/*
 * The answer to a call. error.kind is CATK_OK when an upstream's answer is
 * passed on, then status and body are the upstream's. error.outcome is always
 * set. The body is the callee's to reference.
 */
typedef struct {
	catk_error_t error;
	guint status;
	GBytes *body;
} call_answer_t;

/* A request to send to an endpoint. Valid during the callback. */
typedef struct {
	guint64 attempt_id;
	const char *address;
	const char *service;
	const char *method;
	const char *priority; /* name */
	GTimeSpan remaining; /* until the deadline */
	guint connections_max; /* this entry may hold to the address */
	GBytes *body;
} attempt_request_t;

typedef struct {
	/* Answers a call; each caller_ref is answered exactly once. */
	void (*answer)(void *ctx, void *caller_ref,
		       const call_answer_t *answer);
	/* Sends a request; ends with entry_attempt_ended(). */
	void (*start_attempt)(void *ctx, const attempt_request_t *request);
	/* Cancels an attempt whose answer nobody waits for. */
	void (*cancel_attempt)(void *ctx, guint64 attempt_id);
	/* Asks an endpoint for its load; ends with entry_probe_ended(). */
	void (*send_probe)(void *ctx, const char *service, const char *address);
	void *ctx;
} entry_actions_t;

/* How an attempt ended, with what the upstream said. */
typedef struct {
	guint64 attempt_id;
	attempt_end_t end;
	guint status; /* with ATTEMPT_ANSWERED */
	GBytes *body; /* with ATTEMPT_ANSWERED, not NULL */
	gboolean has_report;
	load_report_t report;
} attempt_result_t;

typedef struct {
	guint address_count;
	char addresses[ENTRY_RESOLVE_ADDRESSES_MAX][MEMBER_ADDRESS_MAX + 1];
	GTimeSpan ttl;
	guint64 config_version;
	gboolean has_ids; /* FALSE while this instance is leaving */
	char instance[MEMBER_NAME_MAX + 1];
	guint64 incarnation;
	request_id_block_t ids;
} resolve_result_t;

/*
 * An entry without configuration: it refuses every call until
 * entry_offer_config() brings one. self, limits and actions are copied; clock,
 * random and counters must outlive it. Free with entry_free().
 */
entry_t *entry_new(const member_t *self, const entry_limits_t *limits,
		   const entry_actions_t *actions, const catk_clock_t *clock,
		   GRand *random, counters_t *counters);

/* Frees the entry. Calls in flight are dropped without an answer. */
void entry_free(entry_t *entry);

/*
 * Offers an accepted configuration from any source. Takes ownership of
 * schema, references document.
 */
config_offer_t entry_offer_config(entry_t *entry, guint64 version,
				  schema_t *schema, GBytes *document);

/*
 * Replaces the endpoints of a service. FALSE when the service is not in the
 * configuration in force.
 */
gboolean entry_set_endpoints(entry_t *entry, const char *service,
			     const endpoint_info_t *infos, gsize count);

/* The configuration, for operators. */
const config_t *entry_config(const entry_t *entry);

/* The members, for operators. */
const membership_t *entry_membership(const entry_t *entry);

/*
 * Which addresses a caller should use, for how long, and a block of request
 * ids. FALSE with CATK_UNAVAILABLE when no instance takes callers.
 */
gboolean entry_resolve(entry_t *entry, resolve_result_t *result,
		       catk_error_t *err);

/* Takes a call. The answer comes through actions.answer, possibly at once. */
void entry_call(entry_t *entry, const call_request_t *request);

/* The caller left: the call is cancelled unless others wait for it. */
void entry_cancel(entry_t *entry, void *caller_ref);

/* Results of earlier actions. */
void entry_attempt_ended(entry_t *entry, const attempt_result_t *result);
void entry_probe_ended(entry_t *entry, const char *service, const char *address,
		       const load_report_t *report);

/* Does what is due. To be called at or after entry_next_wakeup(). */
void entry_tick(entry_t *entry);

/* Instant at which entry_tick() has something to do. */
GTimeSpan entry_next_wakeup(const entry_t *entry);

/* Starts a graceful shutdown. A second call does nothing. */
void entry_shutdown(entry_t *entry);

/*
 * TRUE when a graceful shutdown is complete: what was handed out to callers
 * has expired and no call is in flight, or the bound has passed.
 */
gboolean entry_is_stopped(entry_t *entry);

void entry_dump(entry_t *entry, const dump_writer_t *writer);

#endif
