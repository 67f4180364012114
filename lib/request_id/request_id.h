/*
 * Request ids and their records, which ensure that a non-idempotent request is
 * executed at most once.
 *
 * An id is issued by one incarnation of one instance, and only that incarnation
 * may dispatch a request under it, at most once. Ids are issued in blocks that
 * expire together. Blocks and records are kept for a retention time after the
 * expiry, so that a late duplicate still gets the true outcome.
 *
 * A sealed id is closed for good: its request was not executed and will not be
 * dispatched.
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
 * CATK_INVALID_ARGUMENT when text has another form.
 */
gboolean request_id_parse(const char *text, request_id_t *id,
			  catk_error_t *err);

typedef struct request_ids request_ids_t;

/* What the issuing instance knows about an id. */
typedef enum {
	REQUEST_ID_NEW, /* first use; now recorded as in progress */
	REQUEST_ID_IN_PROGRESS,
	REQUEST_ID_ANSWERED, /* executed; the answer is available */
	REQUEST_ID_ANSWER_DROPPED, /* executed; the answer was evicted */
	REQUEST_ID_SEALED, /* not executed and never will be */
	REQUEST_ID_OUTCOME_UNKNOWN, /* may have run; never dispatched again */
	REQUEST_ID_EXPIRED, /* expired unused: cannot be dispatched any more */
	REQUEST_ID_PURGED, /* past its retention: the outcome is unknown */
	REQUEST_ID_NOT_ISSUED, /* not issued by this incarnation */
	REQUEST_ID_CONFLICT /* already used for a different request */
} request_id_state_t;

typedef struct {
	guint block_size; /* ids in a block, 1 to 65536 */
	GTimeSpan lifetime; /* from issue to expiry, above 0 */
	GTimeSpan retention; /* from expiry to removal of the records */
	gsize answer_bytes_max; /* of the held answers of all ids */
} request_ids_limits_t;

typedef struct {
	guint64 first;
	guint count;
	GTimeSpan expires_in;
} request_id_block_t;

/* The stored answer to a request, for duplicates of it. */
typedef struct {
	guint status; /* the upstream's HTTP status */
	GBytes *body;
} held_answer_t;

/* Sizes of the tables, for dumps. */
typedef struct {
	guint64 blocks;
	guint64 records;
	guint64 in_progress;
	gsize answer_bytes;
} request_ids_stats_t;

/* Copies limits. Free with request_ids_free(). */
request_ids_t *request_ids_new(const request_ids_limits_t *limits,
			       counters_t *counters);

/* Frees all blocks, records and held answers. NULL is allowed. */
void request_ids_free(request_ids_t *ids);

/* Issues a block of ids that expires at now + limits.lifetime. */
request_id_block_t request_ids_issue(request_ids_t *ids, GTimeSpan now);

/*
 * Registers a request that arrives under an id of this incarnation. fingerprint
 * is a hash of its content: the same id with another fingerprint is
 * REQUEST_ID_CONFLICT. With REQUEST_ID_ANSWERED, *answer is set and stays valid
 * until the next call of a function of this module.
 */
request_id_state_t request_ids_begin(request_ids_t *ids, guint64 sequence,
				     guint64 fingerprint, GTimeSpan now,
				     const held_answer_t **answer);

/* TRUE when there is a record of a request under this id. */
gboolean request_ids_has_record(const request_ids_t *ids, guint64 sequence);

/*
 * Permits a dispatch and marks the id as dispatched. Returns FALSE when the id
 * is not in progress, has expired or is dispatched already: without proof that
 * the last attempt was not executed, there is no further one.
 */
gboolean request_ids_dispatch(request_ids_t *ids, guint64 sequence,
			      GTimeSpan now);

/*
 * Takes back request_ids_dispatch() after proof that the attempt was not
 * executed. The id stays in progress and may be dispatched again.
 */
void request_ids_revoke_dispatch(request_ids_t *ids, guint64 sequence);

/* Ends an id in progress as never executed. It must not be dispatched. */
void request_ids_seal(request_ids_t *ids, guint64 sequence);

/* Ends an id in progress as executed. Takes a reference on body. */
void request_ids_complete(request_ids_t *ids, guint64 sequence, guint status,
			  GBytes *body);

/* Ends an id in progress that may or may not have been executed. */
void request_ids_end_unknown(request_ids_t *ids, guint64 sequence);

/* Removes blocks past their retention time, with their records. */
void request_ids_expire(request_ids_t *ids, GTimeSpan now);

/*
 * Instant at which the last issued id expires, CATK_NEVER when none was issued.
 * A graceful shutdown waits for it.
 */
GTimeSpan request_ids_last_expiry(const request_ids_t *ids);

request_ids_stats_t request_ids_stats(const request_ids_t *ids);

#endif
