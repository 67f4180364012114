/* The exchange of pings, and what a missing answer leads to. */
#include "lib/membership/membership_internal.h"

#include <string.h>

#define HELPERS 2 /* members asked to ping one that did not answer */
#define TELL_AT_ONCE 2 /* members that hear of a change without delay */

/* Small against the time of a suspect; each round looks at all members. */
#define EXPIRY_INTERVAL (100 * G_TIME_SPAN_MILLISECOND)

/*
 * After a start, and after a partition, whole lists are asked for at growing
 * intervals: when 200 instances start together, their news would take minutes
 * with MEMBERSHIP_UPDATES_MAX in a message.
 */
#define FULL_LIST_FIRST (1 * G_TIME_SPAN_SECOND)
#define FULL_LIST_LAST (16 * G_TIME_SPAN_SECOND)
/* One part in this many is gone: a partition, not single failures. */
#define PARTITION_PART 4

static gboolean is_alone(const membership_t *membership)
{
	return TAILQ_EMPTY(&membership->turns);
}

/*
 * Fills in the sender and the news. A doubted receiver or target comes first,
 * so that it can refute.
 */
static void fill_message(membership_t *membership,
			 membership_message_t *message, const node_t *about,
			 member_t *updates)
{
	message->sender = *membership->self;
	message->updates = updates;
	if (about && (about->info.state == MEMBER_SUSPECT ||
		      about->info.state == MEMBER_GONE))
		updates[message->update_count++] = about->info;
	message->update_count += membership_take_updates(
		membership, updates + message->update_count,
		MEMBERSHIP_UPDATES_MAX - message->update_count);
}

/* about is the receiver when it is known, or NULL. Returns the sequence. */
static guint64 send_ping_for(membership_t *membership, const char *address,
			     const node_t *about, gboolean want_members)
{
	member_t updates[MEMBERSHIP_UPDATES_MAX];
	membership_message_t message = {
		.kind = MEMBERSHIP_PING,
		.sequence = ++membership->last_sequence,
		.want_members = want_members,
	};

	fill_message(membership, &message, about, updates);
	membership->actions.send(membership->actions.ctx, address, &message);
	return message.sequence;
}

static guint64 send_ping(membership_t *membership, const char *address,
			 const node_t *about)
{
	return send_ping_for(membership, address, about, is_alone(membership));
}

static node_t *random_node(const membership_t *membership)
{
	node_t *node = TAILQ_FIRST(&membership->turns);
	gint32 skip = g_rand_int_range(membership->random, 0,
				       (gint32)membership->count);

	while (node && skip-- > 0) {
		node = TAILQ_NEXT(node, by_turn);
		if (!node)
			node = TAILQ_FIRST(&membership->turns);
	}
	return node;
}

void membership_ping_now(membership_t *membership, const char *name,
			 GTimeSpan now)
{
	node_t *node = membership_find_node(membership, name);

	if (!node || &node->info == membership->self || now < node->next_check)
		return;
	node->next_check = now + MEMBERSHIP_PERIOD;
	send_ping(membership, node->info.peer_address, node);
}

static void tell_at_once(membership_t *membership)
{
	const node_t *node;
	int i;

	if (is_alone(membership))
		return;
	for (i = 0; i < TELL_AT_ONCE; i++) {
		node = random_node(membership);
		send_ping(membership, node->info.peer_address, node);
	}
}

void membership_leave(membership_t *membership)
{
	membership->self->state = MEMBER_LEAVING;
	tell_at_once(membership);
}

void membership_set_config_version(membership_t *membership, guint64 version)
{
	membership->self->config_version = version;
	tell_at_once(membership);
}

void membership_add_seed(membership_t *membership, const char *peer_address)
{
	seed_t *seed;

	if (strcmp(peer_address, membership->self->peer_address) == 0)
		return;
	TAILQ_FOREACH (seed, &membership->seeds, link)
		if (strcmp(seed->address, peer_address) == 0)
			return;
	seed = g_new0(seed_t, 1);
	g_strlcpy(seed->address, peer_address, sizeof(seed->address));
	TAILQ_INSERT_TAIL(&membership->seeds, seed, link);
}

static guint copy_members(const membership_t *membership, member_t *updates)
{
	const member_t *member;
	guint count = 0;

	TAILQ_FOREACH (member, &membership->members, link)
		if (member != membership->self && member->state != MEMBER_GONE)
			updates[count++] = *member;
	return count;
}

static void acknowledge(membership_t *membership, guint64 connection,
			guint64 sequence, const node_t *about,
			gboolean all_members)
{
	member_t *updates =
		g_new(member_t, MEMBERSHIP_UPDATES_MAX + membership->count);
	membership_message_t message = {
		.kind = MEMBERSHIP_ACK,
		.sequence = sequence,
	};

	fill_message(membership, &message, about, updates);
	if (all_members)
		message.update_count += copy_members(
			membership, updates + message.update_count);
	message.update_count =
		MIN(message.update_count, MEMBERSHIP_MEMBERS_MAX);
	membership->actions.reply(membership->actions.ctx, connection,
				  &message);
	g_free(updates);
}

static void relay_free(membership_t *membership, relay_t *relay)
{
	TAILQ_REMOVE(&membership->relays, relay, link);
	g_free(relay);
}

static void ping_for_other(membership_t *membership, guint64 connection,
			   const membership_message_t *request, GTimeSpan now)
{
	node_t *target = membership_find_node(membership, request->target);
	relay_t *relay;

	if (!target || &target->info == membership->self)
		return;
	relay = g_new0(relay_t, 1);
	relay->connection = connection;
	relay->sequence = request->sequence;
	relay->expiry = now + MEMBERSHIP_PERIOD;
	relay->own_sequence =
		send_ping(membership, target->info.peer_address, target);
	TAILQ_INSERT_TAIL(&membership->relays, relay, link);
}

static void take_ack(membership_t *membership, guint64 sequence)
{
	relay_t *relay, *next;

	if (sequence == membership->pinged_sequence)
		membership->pinged_sequence = 0;
	TAILQ_FOREACH_SAFE (relay, &membership->relays, link, next)
		if (relay->own_sequence == sequence) {
			acknowledge(membership, relay->connection,
				    relay->sequence, NULL, FALSE);
			relay_free(membership, relay);
		}
}

void membership_receive(membership_t *membership, guint64 connection,
			const membership_message_t *message, GTimeSpan now)
{
	guint i;

	membership_merge(membership, &message->sender, now);
	for (i = 0; i < message->update_count; i++)
		membership_merge(membership, &message->updates[i], now);
	switch (message->kind) {
	case MEMBERSHIP_PING:
		acknowledge(membership, connection, message->sequence,
			    membership_find_node(membership,
						 message->sender.name),
			    message->want_members);
		break;
	case MEMBERSHIP_PING_REQUEST:
		ping_for_other(membership, connection, message, now);
		break;
	case MEMBERSHIP_ACK:
		take_ack(membership, message->sequence);
		break;
	}
}

/* Sent to HELPERS members, which answer with the sequence of the ping. */
static void ask_others(membership_t *membership)
{
	const node_t *target =
		membership_find_node(membership, membership->pinged);
	member_t updates[MEMBERSHIP_UPDATES_MAX];
	const node_t *helper;
	guint asked = 0;

	membership->asked_others = TRUE;
	TAILQ_FOREACH (helper, &membership->turns, by_turn) {
		membership_message_t message = {
			.kind = MEMBERSHIP_PING_REQUEST,
			.sequence = membership->pinged_sequence,
		};

		if (helper == target || helper->info.state != MEMBER_LIVE)
			continue;
		if (asked++ == HELPERS)
			return;
		g_strlcpy(message.target, membership->pinged,
			  sizeof(message.target));
		fill_message(membership, &message, target, updates);
		membership->actions.send(membership->actions.ctx,
					 helper->info.peer_address, &message);
	}
}

/* A leaving member that is silent has left. */
static void judge_pinged(membership_t *membership, GTimeSpan now)
{
	node_t *node = membership_find_node(membership, membership->pinged);

	if (!membership->pinged_sequence || !node)
		return;
	if (node->info.state == MEMBER_LIVE)
		membership_set_state(membership, node, MEMBER_SUSPECT, now);
	else if (node->info.state == MEMBER_LEAVING)
		membership_set_state(membership, node, MEMBER_GONE, now);
}

static void start_period(membership_t *membership, GTimeSpan now)
{
	node_t *node = TAILQ_FIRST(&membership->turns);

	membership->next_period = now + MEMBERSHIP_PERIOD;
	membership->pinged_sequence = 0;
	if (!node)
		return;
	TAILQ_REMOVE(&membership->turns, node, by_turn);
	TAILQ_INSERT_TAIL(&membership->turns, node, by_turn);
	g_strlcpy(membership->pinged, node->info.name,
		  sizeof(membership->pinged));
	membership->asked_others = FALSE;
	membership->ask_others_at = now + MEMBERSHIP_PING_TIMEOUT;
	membership->pinged_sequence =
		send_ping(membership, node->info.peer_address, node);
}

static void expire_suspects(membership_t *membership, GTimeSpan now)
{
	node_t *node, *next;

	TAILQ_FOREACH_SAFE (node, &membership->turns, by_turn, next)
		if (node->info.state == MEMBER_SUSPECT &&
		    now >= node->since + MEMBERSHIP_SUSPECT_TIMEOUT)
			membership_set_state(membership, node, MEMBER_GONE,
					     now);
}

static void expire_relays(membership_t *membership, GTimeSpan now)
{
	relay_t *relay, *next;

	TAILQ_FOREACH_SAFE (relay, &membership->relays, link, next)
		if (now >= relay->expiry)
			relay_free(membership, relay);
}

static gboolean is_reachable(const membership_t *membership,
			     const char *address)
{
	const node_t *node;

	TAILQ_FOREACH (node, &membership->turns, by_turn)
		if (strcmp(node->info.peer_address, address) == 0)
			return TRUE;
	return FALSE;
}

/* Makes address the choice with the chance 1 / *seen: all equally likely. */
static void consider(const membership_t *membership, const char *address,
		     const char **choice, guint *seen)
{
	if (is_reachable(membership, address))
		return;
	(*seen)++;
	if (g_rand_int_range(membership->random, 0, (gint32)*seen) == 0)
		*choice = address;
}

/* Pings one seed or member without contact, which ends a partition. */
static void rejoin(membership_t *membership, GTimeSpan now)
{
	const char *choice = NULL;
	const member_t *member;
	const node_t *about = NULL;
	const seed_t *seed;
	guint seen = 0;

	membership->next_rejoin = now + (is_alone(membership) ?
						 MEMBERSHIP_PERIOD :
						 MEMBERSHIP_REJOIN_INTERVAL);
	TAILQ_FOREACH (seed, &membership->seeds, link)
		consider(membership, seed->address, &choice, &seen);
	TAILQ_FOREACH (member, &membership->members, link)
		if (member->state == MEMBER_GONE)
			consider(membership, member->peer_address, &choice,
				 &seen);
	if (!choice)
		return;
	TAILQ_FOREACH (member, &membership->members, link)
		if (strcmp(member->peer_address, choice) == 0)
			about = node_of(member);
	send_ping(membership, choice, about);
}

/* A member of this data centre, or any one where there is none. */
static const node_t *random_near_node(const membership_t *membership)
{
	const node_t *chosen = NULL;
	const node_t *node;
	gint32 seen = 0;

	TAILQ_FOREACH (node, &membership->turns, by_turn)
		if (strcmp(node->info.data_centre,
			   membership->self->data_centre) == 0 &&
		    g_rand_int_range(membership->random, 0, ++seen) == 0)
			chosen = node;
	return chosen ? chosen : random_node(membership);
}

/*
 * The seeds learn of all instances first, so the first list is theirs. Later
 * ones come from near: a list is long, and bytes between data centres are dear.
 */
static void ask_for_all(membership_t *membership, GTimeSpan now)
{
	const seed_t *seed = TAILQ_FIRST(&membership->seeds);
	const node_t *node = random_near_node(membership);
	gboolean first = membership->full_list_wait == FULL_LIST_FIRST;

	if (seed && (first || !node))
		send_ping_for(membership, seed->address, NULL, TRUE);
	else if (node)
		send_ping_for(membership, node->info.peer_address, node, TRUE);
	membership->next_full_list = now + membership->full_list_wait;
	membership->full_list_wait *= 2;
	if (membership->full_list_wait > FULL_LIST_LAST)
		membership->next_full_list = CATK_NEVER;
}

static void start_full_lists(membership_t *membership, GTimeSpan now)
{
	membership->next_full_list = now + FULL_LIST_FIRST;
	membership->full_list_wait = FULL_LIST_FIRST;
}

/*
 * After a partition each side takes the other for gone. This instance refutes
 * that for itself at once, so that the lists of others already contain it.
 */
void membership_contact_returned(membership_t *membership, GTimeSpan now)
{
	const node_t *node;
	guint gone = membership->count - 1;

	TAILQ_FOREACH (node, &membership->turns, by_turn)
		gone--;
	if (gone * PARTITION_PART < membership->count ||
	    membership->next_full_list != CATK_NEVER)
		return;
	membership->self->refutation++;
	start_full_lists(membership, now);
}

/*
 * After a pause, silence is more likely the own fault than that of others:
 * this instance refutes what others may think of it, and pings the suspects
 * before their time runs on.
 */
static void resume(membership_t *membership, GTimeSpan now)
{
	node_t *node;

	membership->self->refutation++;
	membership->pinged_sequence = 0;
	membership->next_period = now;
	TAILQ_FOREACH (node, &membership->turns, by_turn)
		if (node->info.state == MEMBER_SUSPECT) {
			node->since = now;
			send_ping(membership, node->info.peer_address, node);
		}
}

void membership_tick(membership_t *membership, GTimeSpan now)
{
	if (!membership->self->peer_address[0])
		return;
	if (!membership->last_tick)
		start_full_lists(membership, now);
	else if (now > membership->last_tick + MEMBERSHIP_PAUSE_THRESHOLD)
		resume(membership, now);
	membership->last_tick = now;
	if (now >= membership->next_expiry) {
		membership->next_expiry = now + EXPIRY_INTERVAL;
		expire_suspects(membership, now);
		expire_relays(membership, now);
	}
	if (membership->pinged_sequence && !membership->asked_others &&
	    now >= membership->ask_others_at)
		ask_others(membership);
	if (now >= membership->next_period) {
		judge_pinged(membership, now);
		membership_forget_gone(membership, now);
		start_period(membership, now);
	}
	if (now >= membership->next_rejoin)
		rejoin(membership, now);
	if (now >= membership->next_full_list)
		ask_for_all(membership, now);
}

GTimeSpan membership_next_wakeup(const membership_t *membership)
{
	GTimeSpan wakeup =
		MIN(membership->next_period, membership->next_rejoin);

	if (!membership->self->peer_address[0])
		return CATK_NEVER;
	wakeup = MIN(wakeup, membership->next_full_list);
	if (membership->pinged_sequence && !membership->asked_others)
		wakeup = MIN(wakeup, membership->ask_others_at);
	return wakeup;
}
