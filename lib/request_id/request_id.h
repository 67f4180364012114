/*
 * Request ids and the record of each: the rule that a non-idempotent request
 * runs at most once.
 *
 * One incarnation of one instance issues an id, and only that incarnation may
 * dispatch it, at most once. Ids are issued in blocks that expire together.
 * Records and blocks are kept for a retention time after the expiry, so
 * that a late copy of a request still gets the true outcome.
 */
#ifndef CATK_REQUEST_ID_H
#define CATK_REQUEST_ID_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/error.h"

#define REQUEST_ID_INSTANCE_MAX 64 /* bytes of an instance name */
#define REQUEST_ID_TEXT_MAX 128 /* bytes of an id in text form */

typedef struct {
	char instance[REQUEST_ID_INSTANCE_MAX + 1];
	guint64 incarnation;
	guint64 sequence;
} request_id_t;

/*
 * Parses "<instance>.<incarnation>.<sequence>". Returns FALSE with
 * CATK_INVALID_ARGUMENT when text is not of that form.
 */
gboolean request_id_parse(const char *text, request_id_t *id,
			  catk_error_t *err);

typedef struct request_ids request_ids_t;

/* What the issuer knows about an id. */
typedef enum {
	REQUEST_ID_NEW, /* not seen before; now recorded as in progress */
	REQUEST_ID_IN_PROGRESS,
	REQUEST_ID_ANSWERED, /* ran; the answer is held */
	REQUEST_ID_ANSWER_DROPPED, /* ran; the answer is no longer held */
	REQUEST_ID_SEALED, /* did not run and never will */
	REQUEST_ID_OUTCOME_UNKNOWN, /* may have run; never dispatched again */
	REQUEST_ID_EXPIRED, /* never dispatched, now expired: sealed */
	REQUEST_ID_PURGED, /* past its retention: nothing is known */
	REQUEST_ID_NOT_ISSUED, /* this incarnation never issued it */
	REQUEST_ID_CONFLICT /* id was used for a different request */
} request_id_state_t;

typedef struct {
	guint block_size; /* ids in a block, 1 to 65536 */
	GTimeSpan lifetime; /* from issue to expiry, above 0 */
	GTimeSpan retention; /* from expiry to removal of records */
	gsize answer_bytes_max; /* bytes of answers held, all ids together */
} request_ids_limits_t;

typedef struct {
	guint64 first;
	guint count;
	GTimeSpan expires_in;
} request_id_block_t;

/* The answer of a request that ran. */
typedef struct {
	guint status; /* the upstream's HTTP status */
	GBytes *body;
} held_answer_t;

/* Number of ids in each state, for dumps. */
typedef struct {
	guint64 blocks;
	guint64 records;
	guint64 in_progress;
	gsize answer_bytes;
} request_ids_stats_t;

/* limits is copied. Free with request_ids_free(). */
request_ids_t *request_ids_new(const request_ids_limits_t *limits,
			       counters_t *counters);

/* Frees all blocks, records and held answers. NULL is allowed. */
void request_ids_free(request_ids_t *ids);

/* Issues a block of ids that expires limits.lifetime after now. */
request_id_block_t request_ids_issue(request_ids_t *ids, GTimeSpan now);

/*
 * Registers the arrival of a request under an id of this incarnation.
 * fingerprint identifies the request's content: another content under the same
 * id is REQUEST_ID_CONFLICT. With REQUEST_ID_ANSWERED, *answer is set and
 * stays valid until the next call of a function of this module.
 */
request_id_state_t request_ids_begin(request_ids_t *ids, guint64 sequence,
				     guint64 fingerprint, GTimeSpan now,
				     const held_answer_t **answer);

/* TRUE when a request under this id was registered and is still recorded. */
gboolean request_ids_has_record(const request_ids_t *ids, guint64 sequence);

/*
 * The permission to dispatch, given at most once for each attempt that was
 * not proved unexecuted. TRUE when the id is in progress, not expired and has
 * no attempt that may have run. Marks the id as dispatched.
 */
gboolean request_ids_dispatch(request_ids_t *ids, guint64 sequence,
			      GTimeSpan now);

/*
 * Withdraws the mark of request_ids_dispatch() after proof that the attempt
 * did not run. The id stays in progress and may be dispatched again.
 */
void request_ids_revoke_dispatch(request_ids_t *ids, guint64 sequence);

/* Ends an id in progress as not run, for good. It must not be dispatched. */
void request_ids_seal(request_ids_t *ids, guint64 sequence);

/* Ends an id in progress as run with this answer, which is referenced. */
void request_ids_complete(request_ids_t *ids, guint64 sequence, guint status,
			  GBytes *body);

/* Ends an id in progress whose execution cannot be proved or excluded. */
void request_ids_end_unknown(request_ids_t *ids, guint64 sequence);

/* Removes blocks past their retention, with their records. */
void request_ids_expire(request_ids_t *ids, GTimeSpan now);

/*
 * Instant from which all issued ids are expired, CATK_NEVER when none was
 * issued. A graceful shutdown waits for it.
 */
GTimeSpan request_ids_last_expiry(const request_ids_t *ids);

request_ids_stats_t request_ids_stats(const request_ids_t *ids);

#endif
