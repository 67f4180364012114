/*
 * Rate limits of organisations that hold for all instances together. Each limit
 * is divided into shards, and each shard has an owner among the instances, which
 * keeps a token bucket. A request needs one token of a shard. An instance
 * without tokens asks the owner, and what it is given is a short lease. See
 * docs/design/rate-limits.md for the bound that results.
 */
#ifndef CATK_QUOTA_H
#define CATK_QUOTA_H

#include "lib/common/clock.h"
#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"
#include "lib/common/intrusive.h"

#define QUOTA_NAME_MAX 64 /* bytes of the name of an organisation */
#define QUOTA_ADDRESS_MAX 64 /* bytes of the peer address of an instance */
/*
 * Requests per second that a shard serves at most. An owner answers about one
 * message per request, so this bounds its load on a tenth of a core.
 */
#define QUOTA_SHARD_RATE 50.0
#define QUOTA_SHARDS_MAX 64
/* Validity of a token from the instant at which the holder asked for it. */
#define QUOTA_LEASE (200 * G_TIME_SPAN_MILLISECOND)
/* Time for which a request waits for a token. */
#define QUOTA_WAIT_MAX (150 * G_TIME_SPAN_MILLISECOND)
#define QUOTA_ITEMS_MAX 256 /* per message */

typedef struct quota quota_t;
typedef struct quota_limit quota_limit_t;

/* The credit of one request, embedded in it. Initialise with zeroes. */
typedef struct quota_item {
	TAILQ_ENTRY(quota_item) link; /* while it waits */
	quota_limit_t *limit; /* NULL: neither waits nor has a token */
	gboolean waiting;
	GTimeSpan wait_until;
	GTimeSpan valid_until; /* of its token: must be sent before */
} quota_item_t;

typedef enum {
	QUOTA_ADMITTED, /* has a token, or its organisation has no limit */
	QUOTA_WAITING, /* events.decided follows */
	QUOTA_REFUSED, /* over the limit */
	QUOTA_NO_CONTACT /* whether it is over the limit is not known */
} quota_result_t;

/* A request of a holder for tokens of a shard, to its owner. */
typedef struct {
	const char *name; /* of the organisation */
	guint shard;
	guint wanted;
	guint returned; /* tokens that lapsed unused at the holder */
	/* The sender is the owner now: asks for the level of the bucket. */
	gboolean claim;
} quota_request_t;

typedef struct {
	guint64 sent; /* the holder's clock in microseconds, echoed */
	guint count; /* at most QUOTA_ITEMS_MAX */
	const quota_request_t *requests;
} quota_ask_t;

typedef enum {
	QUOTA_GRANT_TOKENS,
	QUOTA_GRANT_NOT_OWNER, /* the receiver of the request is not the owner */
	QUOTA_GRANT_RELEASED, /* answers a claim with the level of the bucket */
	QUOTA_GRANT_KIND_COUNT
} quota_grant_kind_t;

typedef struct {
	const char *name;
	guint shard;
	quota_grant_kind_t kind;
	guint granted;
	GTimeSpan retry_after; /* when a client should send again */
	GTimeSpan ask_after; /* when the holder may ask again */
	double level; /* of a released bucket */
} quota_grant_t;

typedef struct {
	guint64 sent; /* of the request */
	guint count; /* at most QUOTA_ITEMS_MAX */
	const quota_grant_t *grants;
} quota_answer_t;

typedef struct {
	/* Sends to the instance at the peer address. Valid during the call. */
	void (*send_ask)(void *ctx, const char *address,
			 const quota_ask_t *ask);
	/* Answers on the connection of a request. Valid during the call. */
	void (*send_answer)(void *ctx, guint64 connection,
			    const quota_answer_t *answer);
	/*
	 * A waiting item was decided. result is not QUOTA_WAITING. May call
	 * any function of the quota except quota_free().
	 */
	void (*decided)(void *ctx, quota_item_t *item, quota_result_t result,
			GTimeSpan retry_after);
	const event_log_t *log; /* NULL for none */
	void *ctx;
} quota_actions_t;

typedef struct {
	GTimeSpan window; /* over which a limit is judged, above 0 */
	double overage; /* fraction by which a limit may be exceeded */
	double slack; /* requests per window beyond that */
	gboolean first_start; /* the whole fleet starts: buckets are full */
} quota_options_t;

/*
 * Creates a quota without limits for the instance of that name. options and
 * actions are copied, counters must outlive it. Free with quota_free().
 */
quota_t *quota_new(const char *self, const quota_options_t *options,
		   const quota_actions_t *actions, counters_t *counters,
		   GTimeSpan now);

/* Requests no actions. No item may wait or hold a token. NULL is allowed. */
void quota_free(quota_t *quota);

/*
 * Apply the limits of a configuration: those not set between the two calls end,
 * and what waits for them is admitted. rate is in requests per second over all
 * instances, 0 for no limit; burst is the number of requests beyond it.
 */
void quota_begin_limits(quota_t *quota);
void quota_set_limit(quota_t *quota, const char *name, double rate,
		     double burst, GTimeSpan now);
void quota_end_limits(quota_t *quota, GTimeSpan now);

typedef enum {
	QUOTA_MEMBER_LIVE,
	QUOTA_MEMBER_SUSPECT, /* may own, but is not in contact */
	QUOTA_MEMBER_LEAVING /* no longer owns */
} quota_member_state_t;

/*
 * Replace the known instances, this one included. worst is the number of
 * instances that may exist, at least 1, also if they are out of contact.
 */
void quota_begin_members(quota_t *quota);
void quota_add_member(quota_t *quota, const char *name, const char *address,
		      quota_member_state_t state);
void quota_end_members(quota_t *quota, guint worst, GTimeSpan now);

/* A periodic message of another instance was received. */
void quota_record_contact(quota_t *quota, GTimeSpan now);

/*
 * Requests a token of the organisation for the item. One that it has is kept
 * while it is valid and of this organisation. With QUOTA_REFUSED and
 * QUOTA_NO_CONTACT *retry_after is set.
 */
quota_result_t quota_take(quota_t *quota, quota_item_t *item, const char *name,
			  GTimeSpan now, GTimeSpan *retry_after);

/* The request ran or may have run: its token is used up. */
void quota_spend(quota_t *quota, quota_item_t *item);

/* The request ended without having run: ends its wait, returns its token. */
void quota_give_back(quota_t *quota, quota_item_t *item, GTimeSpan now);

void quota_receive_ask(quota_t *quota, guint64 connection,
		       const quota_ask_t *ask, GTimeSpan now);
void quota_receive_answer(quota_t *quota, const quota_answer_t *answer,
			  GTimeSpan now);

/* The connection to that address has closed: requests to it are not answered. */
void quota_peer_lost(quota_t *quota, const char *address, GTimeSpan now);

/* Sends due requests and ends overdue waits. */
void quota_tick(quota_t *quota, GTimeSpan now);

/* Instant at which quota_tick() must be called next. */
GTimeSpan quota_next_wakeup(const quota_t *quota);

/* Writes the limits and the buckets that this instance owns. */
void quota_dump(quota_t *quota, const dump_writer_t *writer, GTimeSpan now);

#endif
