/* Internal state of a quota, shared by the files of lib/quota. */
#ifndef CATK_QUOTA_INTERNAL_H
#define CATK_QUOTA_INTERNAL_H

#include "lib/quota/quota.h"

/* Time without a call after which this process is taken to have been paused. */
#define QUOTA_PAUSE_THRESHOLD (1 * G_TIME_SPAN_SECOND)
/* Longest time that a holder which was refused does not ask. */
#define QUOTA_ASK_PAUSE_MAX (250 * G_TIME_SPAN_MILLISECOND)
#define QUOTA_ASK_PAUSE_MIN (20 * G_TIME_SPAN_MILLISECOND)

/* Granted tokens of the recent past, by the time of the grant. */
#define QUOTA_SLOTS 12
#define QUOTA_SLOT_TIME (20 * G_TIME_SPAN_MILLISECOND)

/* The token bucket of a shard that this instance owns. */
typedef struct {
	double level; /* tokens */
	GTimeSpan filled_at;
	/* A bucket that takes over is filled from this instant on. */
	GTimeSpan start_at;
	gboolean claimed; /* the previous owner was asked for its level */
	double outstanding[QUOTA_SLOTS];
	gint64 slot; /* number of the latest */
	double refunds; /* tokens that holders may still return */
	double backlog; /* refused requests that will be sent again */
	double asks; /* requests of holders in about the last second */
	GTimeSpan asked_at;
	guint64 granted;
	guint64 refused;
} quota_bucket_t;

typedef struct {
	gboolean owned; /* by this instance, in its own view */
	quota_bucket_t *bucket; /* set while owned, and shortly afterwards */
	GTimeSpan lost_at;
	/* Handed over: not owned again before this instant. */
	GTimeSpan released_until;
} quota_shard_t;

/* Tokens with the same end of their lease. */
typedef struct {
	GTimeSpan valid_until;
	guint count;
} quota_lease_t;

#define QUOTA_LEASES_MAX 8

struct quota_limit {
	TAILQ_ENTRY(quota_limit) link;
	char *name;
	gboolean declared; /* in the configuration in force */
	double rate; /* requests per second, 0: no limit */
	double burst;
	guint items; /* that refer to this limit */
	guint64 refused; /* requests here */

	/* As owner. */
	guint shard_count;
	quota_shard_t *shards;

	/* As holder. */
	TAILQ_HEAD(quota_items, quota_item) waiting; /* oldest first */
	TAILQ_ENTRY(quota_limit) busy; /* while items wait */
	guint waiting_count;
	quota_lease_t leases[QUOTA_LEASES_MAX];
	guint returned; /* lapsed tokens of requests that did not run */
	guint shard; /* to ask next */
	double demand; /* requests in about the last second */
	GTimeSpan demand_at;
	gboolean ask_due; /* in quota->asking */
	TAILQ_ENTRY(quota_limit) asking;
	GTimeSpan asked_at; /* of the request without an answer, 0 for none */
	guint asked_shard;
	char asked_address[QUOTA_ADDRESS_MAX + 1];
	GTimeSpan next_ask;
	guint tries; /* shards asked for the requests that wait */
	GTimeSpan retry_at; /* when a refused client should send again */
	gboolean limited; /* the last answer refused some */
	GTimeSpan next_log; /* of a reached limit */
	/* Start of a series of requests without an answer, 0 for none. */
	GTimeSpan unanswered_since;
	GTimeSpan last_asked;
	double fallback; /* tokens of this instance's own share */
	GTimeSpan fallback_at;
};

typedef struct {
	guint64 hash; /* of the name */
	char address[QUOTA_ADDRESS_MAX + 1];
	quota_member_state_t state;
	gboolean self;
} quota_member_t;

/* Messages of other instances are counted over 3 s, shares kept for 2 s. */
#define QUOTA_CONTACT_SLOTS 6
#define QUOTA_SHARE_SLOTS 4
#define QUOTA_CONTACT_SLOT_TIME (500 * G_TIME_SPAN_MILLISECOND)

struct quota {
	quota_options_t options;
	quota_actions_t actions;
	counters_t *counters;
	guint64 self;
	TAILQ_HEAD(quota_limits, quota_limit) limits;
	GHashTable *by_name;
	TAILQ_HEAD(quota_asking, quota_limit) asking;
	TAILQ_HEAD(quota_busy, quota_limit) busy; /* items wait */
	GArray *members; /* quota_member_t */
	guint live;
	guint worst;
	/* Lowest share of the fleet that was in contact, by half second. */
	double shares[QUOTA_SHARE_SLOTS];
	gint64 share_slot;
	double share; /* by which buckets are filled */
	gboolean out_of_contact; /* with most of the fleet */
	gboolean filled_first; /* the buckets of a first start */
	guint64 members_hash; /* changes with the owners */
	guint contacts[QUOTA_CONTACT_SLOTS];
	gint64 contact_slot;
	GTimeSpan last_call; /* to notice a pause */
	GTimeSpan started;
	GTimeSpan next_update; /* of the owners */
};

/* Requests per window by which all instances together may exceed a limit. */
double quota_allowance(const quota_t *quota, const quota_limit_t *limit);

/*
 * The owner of a shard, NULL if there is none. With others the best instance
 * other than this one, of those that leave as well.
 */
const quota_member_t *quota_owner(const quota_t *quota,
				  const quota_limit_t *limit, guint shard,
				  gboolean others);

/* Adjusts the buckets to the limit. */
void quota_owner_set_limit(quota_t *quota, quota_limit_t *limit, double rate,
			   double burst, GTimeSpan now);

/* Creates and frees buckets after a change of the members or limits. */
void quota_owner_update(quota_t *quota, GTimeSpan now);

/* Fills all buckets by the share that held until now. */
void quota_owner_fill(quota_t *quota, GTimeSpan now);

/* Empties all buckets after a pause of this process. */
void quota_owner_reset(quota_t *quota, GTimeSpan now);

/* Answers one request for tokens or a claim. */
quota_grant_t quota_owner_answer(quota_t *quota, const quota_request_t *request,
				 GTimeSpan now);

/* A previous owner released the bucket at that level. */
void quota_owner_claimed(quota_t *quota, quota_limit_t *limit, guint shard,
			 double level, GTimeSpan now);

void quota_owner_free(quota_limit_t *limit);

/* Empties the buckets if this process was paused. */
void quota_check_pause(quota_t *quota, GTimeSpan now);

/* Admits those that wait as far as there are tokens, or all without a limit. */
void quota_holder_decide(quota_t *quota, quota_limit_t *limit, GTimeSpan now);

/* Ends the waits that are overdue. */
void quota_holder_expire(quota_t *quota, quota_limit_t *limit, GTimeSpan now);

/* Sends the requests that are due. */
void quota_holder_send(quota_t *quota, GTimeSpan now);

#endif
