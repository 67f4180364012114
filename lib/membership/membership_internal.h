/* Internal state of the membership, shared by its source files. */
#ifndef CATK_MEMBERSHIP_INTERNAL_H
#define CATK_MEMBERSHIP_INTERNAL_H

#include "lib/membership/membership.h"

typedef struct node {
	member_t info;
	TAILQ_ENTRY(node) ping_link; /* linked unless gone or this instance */
	TAILQ_ENTRY(node) gossip_link; /* linked while is_queued */
	gboolean is_queued;
	guint transmissions_left;
	guint crossings_left; /* of them, to other data centres */
	GTimeSpan leaving_since; /* 0 if this incarnation has not left */
	GTimeSpan state_since; /* when this instance learnt of the state */
	/* When the member entered the state, CATK_NEVER if unknown. */
	GTimeSpan state_entered;
	GTimeSpan heard_at; /* last message from it, CATK_NEVER if none */
	GTimeSpan next_ping; /* earliest ping by membership_ping_now() */
	gboolean knows_leaving; /* has acknowledged that this instance leaves */
	GTimeSpan next_leave_ping; /* earliest repeated announcement */
} node_t;

typedef struct seed {
	TAILQ_ENTRY(seed) link;
	char address[MEMBER_ADDRESS_MAX + 1];
} seed_t;

/* An indirect ping that another instance requested. */
typedef struct relay {
	TAILQ_ENTRY(relay) link;
	guint64 target_sequence; /* of the ping to the target */
	guint64 connection; /* of the requesting instance */
	guint64 sequence; /* of its request */
	GTimeSpan expiry;
} relay_t;

struct membership {
	counters_t *counters;
	GRand *random;
	membership_actions_t actions;
	event_log_t log;
	member_t *self; /* first of members */
	guint count; /* length of members */
	guint local_count; /* members of this data centre */
	guint data_centres; /* that members belong to */
	TAILQ_HEAD(member_list, member) members;
	GHashTable *by_name; /* name -> node_t */
	TAILQ_HEAD(ping_queue_head, node) ping_queue; /* first is pinged next */
	TAILQ_HEAD(gossip_queue_head, node)
	gossip_queue; /* first is sent next */
	TAILQ_HEAD(seed_list, seed) seeds;
	TAILQ_HEAD(relay_list, relay) relays;

	guint64 last_sequence;
	guint64 pinged_sequence; /* 0 if the pinged member has answered */
	char pinged[MEMBER_NAME_MAX + 1]; /* name of this period's member */
	gboolean indirect_requested;
	GTimeSpan indirect_at; /* time to request indirect pings */
	GTimeSpan next_period;
	GTimeSpan next_expiry; /* of suspects and relays */
	GTimeSpan next_rejoin;
	GTimeSpan next_full_list; /* CATK_NEVER if none is scheduled */
	GTimeSpan full_list_wait; /* interval after the next request */
	guint64 leave_sequence; /* last ping sent before leaving */
	GTimeSpan next_leave_batch; /* CATK_NEVER unless leaving */
	GTimeSpan last_tick;
	GTimeSpan now; /* of the last message or tick */

	news_delay_t leaving_delay;
	news_delay_t gone_delay;
};

static inline node_t *node_of(const member_t *member)
{
	return container_of(member, node_t, info);
}

/* Returns the node with that name, or NULL. */
node_t *membership_find_node(const membership_t *membership, const char *name);

/* Copies a node to a message. */
void membership_copy(const membership_t *membership, const node_t *node,
		     member_t *copy);

/* This instance found out itself, because a ping was not answered. */
#define LEARNT_FROM_PING "ping"

/*
 * Changes the state and queues the node for dissemination. learnt_from is the
 * sender of the message with the news, or LEARNT_FROM_PING.
 */
void membership_set_state(membership_t *membership, node_t *node,
			  member_state_t state, const char *learnt_from,
			  GTimeSpan now);

/*
 * Merges an update about a member from a message of learnt_from. One about this
 * instance may be refuted.
 */
void membership_merge(membership_t *membership, const member_t *update,
		      const char *learnt_from, GTimeSpan now);

/* NULL, an unknown member, counts as one of another data centre. */
gboolean membership_is_local(const membership_t *membership,
			     const node_t *node);

/*
 * Adds queued updates for a receiver, NULL if it is unknown, to the first count
 * ones, up to MEMBERSHIP_UPDATES_BURST and MEMBERSHIP_UPDATES_BACKLOG more.
 * Returns the new number of updates.
 */
guint membership_take_updates(membership_t *membership, const node_t *receiver,
			      member_t *updates, guint count);

/* Pings a member. Returns the sequence number. */
guint64 membership_send_ping(membership_t *membership, const node_t *receiver);

/* Pings the next members that do not know that this instance is leaving. */
void membership_announce_leaving(membership_t *membership, GTimeSpan now);

/* Records an ack: it shows that its sender has read the ping before it. */
void membership_acknowledge_leaving(const membership_t *membership,
				    node_t *sender, guint64 sequence);

/* Returns whether more members are live than leaving. */
gboolean membership_is_mostly_live(const membership_t *membership);

/* Handles a gone member that is reachable again with the same incarnation. */
void membership_detect_partition_end(membership_t *membership, GTimeSpan now);

/* Removes members that were gone for MEMBERSHIP_GONE_RETENTION. */
void membership_remove_expired(membership_t *membership, GTimeSpan now);

#endif
