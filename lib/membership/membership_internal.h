/* State of the membership, shared by the files of this folder. */
#ifndef CATK_MEMBERSHIP_INTERNAL_H
#define CATK_MEMBERSHIP_INTERNAL_H

#include "lib/membership/membership.h"

typedef struct node {
	member_t info;
	TAILQ_ENTRY(node) by_turn; /* linked unless gone or this instance */
	TAILQ_ENTRY(node) to_spread; /* linked while transmissions_left > 0 */
	guint transmissions_left;
	GTimeSpan since; /* last change of state */
	GTimeSpan next_check; /* instant from which membership_ping_now() pings */
} node_t;

typedef struct seed {
	TAILQ_ENTRY(seed) link;
	char address[MEMBER_ADDRESS_MAX + 1];
} seed_t;

/* A ping sent for another instance. */
typedef struct relay {
	TAILQ_ENTRY(relay) link;
	guint64 own_sequence;
	guint64 connection; /* of the instance that asked */
	guint64 sequence; /* of its request */
	GTimeSpan expiry;
} relay_t;

struct membership {
	counters_t *counters;
	GRand *random;
	membership_actions_t actions;
	event_log_t log;
	member_t *self; /* first of members */
	guint count; /* of members */
	TAILQ_HEAD(member_list, member) members;
	GHashTable *by_name; /* name -> node_t */
	TAILQ_HEAD(turn_list, node) turns; /* next to ping first */
	TAILQ_HEAD(spread_list, node) spread; /* next to send first */
	TAILQ_HEAD(seed_list, seed) seeds;
	TAILQ_HEAD(relay_list, relay) relays;

	guint64 last_sequence;
	guint64 pinged_sequence; /* 0 when the member of this period answered */
	char pinged[MEMBER_NAME_MAX + 1];
	gboolean asked_others;
	GTimeSpan ask_others_at;
	GTimeSpan next_period;
	GTimeSpan next_expiry; /* of suspects and relays */
	GTimeSpan next_rejoin;
	GTimeSpan next_full_list; /* CATK_NEVER when none is due */
	GTimeSpan full_list_wait; /* to the one after the next */
	GTimeSpan last_tick;
};

static inline node_t *node_of(const member_t *member)
{
	return container_of(member, node_t, info);
}

/* The node of that name, or NULL. */
node_t *membership_find_node(const membership_t *membership, const char *name);

/* Changes the state and tells others. */
void membership_set_state(membership_t *membership, node_t *node,
			  member_state_t state, GTimeSpan now);

/* Takes news about a member, or about this instance, which refutes it. */
void membership_merge(membership_t *membership, const member_t *update,
		      GTimeSpan now);

/* Copies the next news to updates; returns how many, at most max. */
guint membership_take_updates(membership_t *membership, member_t *updates,
			      guint max);

/* A gone member was only out of reach. */
void membership_contact_returned(membership_t *membership, GTimeSpan now);

/* Removes members that have been gone for long. */
void membership_forget_gone(membership_t *membership, GTimeSpan now);

#endif
