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
#include "lib/catalogue/catalogue.h"
#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/error.h"
#include "lib/common/event_log.h"
#include "lib/config/config.h"
#include "lib/entry/peer_message.h"
#include "lib/membership/membership.h"
#include "lib/request_id/request_id.h"
#include "lib/upstream/upstream.h"

#define ENTRY_RESOLVE_ADDRESSES_MAX 64

/* Of a data centre: a change is seen at once while one is paused or lost. */
#define ENTRY_CONFIG_WATCHERS 2

typedef struct entry entry_t;

typedef struct {
	request_ids_limits_t request_ids;
	admission_limits_t admission;
	routing_policy_t routing;
	guint entries_max; /* largest number of entries ever, at least 1 */
	GTimeSpan report_stale_after;
	guint attempts_max; /* attempts of one call, at least 1 */
	guint retry_percent; /* retries per hundred first attempts */
	guint retry_saved; /* beyond that, by all instances together */
	GTimeSpan resolve_ttl; /* how long a caller keeps addresses */
	guint resolve_addresses; /* 1 to ENTRY_RESOLVE_ADDRESSES_MAX */
	GTimeSpan shutdown_max; /* bound of a graceful shutdown */
	GTimeSpan change_bound; /* on learning a change of the store */
	guint concurrency_max; /* attempts at a service, 0 to learn it */
	guint probe_fanout; /* endpoints probed per call, 0 for none */
	/* What follows a failed attempt; NULL for call_rule_by_proof. */
	const struct call_rule *call_rule;
} entry_limits_t;

/* A caller's request. Strings and body are copied or referenced. */
typedef struct {
	const char *service;
	const char *method;
	const char *request_id; /* text form, NULL for none */
	const char *caller; /* name for fair sharing */
	GTimeSpan remaining; /* until the deadline, 0 for the method's own */
	guint attempt; /* the caller's own count, 0 or 1 for its first */
	GBytes *body;
	void *caller_ref; /* not NULL; identifies the answer */
} call_request_t;

/* A caller's request that a route names the service of. */
typedef struct {
	const char *host;
	const char *path; /* without query */
	const char *name; /* of the request in logs, NULL for none */
	GTimeSpan remaining; /* until the caller's deadline, 0 for none */
	GBytes *body; /* referenced */
	void *caller_ref; /* not NULL; identifies request and answer */
} routed_request_t;

/*
 * The answer to a call. error.kind is CATK_OK when an upstream's answer is
 * passed on, then status and body are the upstream's. error.outcome is always
 * set. The body is the callee's to reference.
 */
typedef struct {
	catk_error_t error;
	guint status;
	GBytes *body;
	/* The upstream's message to a routed call, for the front end. */
	const void *message;
	GTimeSpan elapsed; /* since the call came, 0 when it was not taken */
} call_answer_t;

/* A request to send to an endpoint. Valid during the callback. */
typedef struct {
	guint64 attempt_id;
	const char *address;
	const char *endpoint; /* id */
	void *caller_ref; /* of a routed call, NULL for others */
	gboolean idempotent;
	const char *service;
	const char *method;
	const char *priority; /* name */
	GTimeSpan remaining; /* until the deadline */
	/*
	 * Times after which an attempt without an answer is cancelled on a new
	 * connection. An attempt that the endpoint has started goes on; one
	 * that it has not started ends as ATTEMPT_CANCELLED; one that it does
	 * not know ends as ATTEMPT_SILENT.
	 */
	GTimeSpan inquire_after;
	GTimeSpan cancel_after; /* not before inquire_after */
	guint attempt; /* over the caller's attempts and this entry's */
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
	/*
	 * Asks an endpoint for its load; ends with entry_probe_ended(). For
	 * its address see entry_endpoint_address().
	 */
	void (*send_probe)(void *ctx, const char *service,
			   const char *endpoint);
	/*
	 * Sends on the connection that this instance opens to the address. When
	 * it fails or closes, entry_outbound_peer_lost() follows.
	 */
	void (*send_to_peer)(void *ctx, const char *address,
			     const peer_message_t *message);
	/* Sends on a connection that a message came from. */
	void (*reply_to_peer)(void *ctx, guint64 connection,
			      const peer_message_t *message);
	/*
	 * A peer has a newer configuration, to be read and offered; unlike
	 * other actions, this one may call entry_offer_config() at once.
	 */
	void (*config_received)(void *ctx, guint64 version, GBytes *document);
	event_log_t log; /* of decisions */
	void *ctx;
} entry_actions_t;

/* How an attempt ended, with what the upstream said. */
typedef struct {
	guint64 attempt_id;
	attempt_end_t end;
	guint status; /* with ATTEMPT_ANSWERED */
	GBytes *body; /* with ATTEMPT_ANSWERED, not NULL */
	const void *message; /* of a routed call, passed on to its answer */
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

/*
 * Takes the limits that may change while the entry runs: retries, probe_fanout,
 * resolve_ttl, resolve_addresses and shutdown_max.
 */
void entry_update_limits(entry_t *entry, const entry_limits_t *limits);

/*
 * Frees the entry. Calls in flight are dropped without an answer, and no action
 * is taken.
 */
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

/*
 * The endpoints as the store tells of them, for the reader of the store. After
 * changes, call entry_endpoints_changed().
 */
catalogue_t *entry_catalogue(entry_t *entry);

/* Reports changes of the catalogue to services and subscribers. */
void entry_endpoints_changed(entry_t *entry);

/*
 * TRUE when this instance should read the store. In a large fleet the sources
 * read it, and the others only while no source serves them. Whoever begins
 * again to read starts with a list.
 */
gboolean entry_should_read_store(const entry_t *entry);

/* A call of this instance to the store was answered or failed. */
void entry_record_store_call(entry_t *entry, gboolean answered);

/*
 * Changes of endpoints were read up to the revision of the store; with_changes
 * tells that a watch brought some.
 */
void entry_record_store_revision(entry_t *entry, guint64 revision,
				 gboolean with_changes);

/*
 * TRUE when other instances know changes that a watch of this one should have
 * brought: it is to be dropped with its connection, and the store listed again.
 */
gboolean entry_store_watch_is_behind(entry_t *entry);

/* Notes that a stored version of the configuration is not valid. */
void entry_reject_config(entry_t *entry, guint64 version);

/*
 * TRUE when this instance should hold a watch on the stored configuration: it
 * is one of ENTRY_CONFIG_WATCHERS live instances of its data centre that rank
 * first by rendezvous hashing of their names.
 */
gboolean entry_is_config_watcher(const entry_t *entry);

/*
 * Time between two reads of one instance list here, at least shortest, so that
 * all live instances together stay below reads_per_second, which is at least 1.
 */
GTimeSpan entry_instance_list_interval(const entry_t *entry, GTimeSpan shortest,
				       guint reads_per_second);

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

/*
 * Like entry_resolve() without request ids, for a caller of a data centre: the
 * live instances there, or of all data centres where there is none or
 * data_centre is NULL.
 */
gboolean entry_resolve_for_data_centre(entry_t *entry, const char *data_centre,
				       resolve_result_t *result,
				       catk_error_t *err);

/* TRUE when a configuration is in force and this instance is not leaving. */
gboolean entry_is_ready(const entry_t *entry);

/* Takes a call. The answer comes through actions.answer, possibly at once. */
void entry_call(entry_t *entry, const call_request_t *request);

/*
 * Takes a request that a route of the configuration in force names the service
 * of. Its identity lies in the caller's message: a request that comes once runs
 * at most once, and no record of it is kept. The answer comes through
 * actions.answer, possibly at once.
 */
void entry_route(entry_t *entry, const routed_request_t *request);

/* Address of an endpoint, NULL when it is not known. */
const char *entry_endpoint_address(entry_t *entry, const char *service,
				   const char *endpoint);

/* The caller left: the call is cancelled unless others wait for it. */
void entry_cancel(entry_t *entry, void *caller_ref);

/* Results of earlier actions. */
void entry_attempt_ended(entry_t *entry, const attempt_result_t *result);
void entry_probe_ended(entry_t *entry, const char *service,
		       const char *endpoint, const load_report_t *report);

/* Adds the peer address of an instance to join through. */
void entry_add_seed(entry_t *entry, const char *peer_address);

/* A message of another instance. connection names where it came from. */
void entry_receive_peer_message(entry_t *entry, guint64 connection,
				const peer_message_t *message);

/* A connection that messages came from has closed. */
void entry_inbound_peer_closed(entry_t *entry, guint64 connection);

/*
 * The connection opened for send_to_peer has closed or could not be established:
 * what was forwarded to the address has an unknown outcome.
 */
void entry_outbound_peer_lost(entry_t *entry, const char *address);

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
gboolean entry_is_shutdown_complete(entry_t *entry);

/* Instant at which that bound passes, CATK_NEVER without a shutdown. */
GTimeSpan entry_shutdown_deadline(const entry_t *entry);

void entry_dump(entry_t *entry, const dump_writer_t *writer);

#endif
