/* Pings, and the failure detection based on them. */
#include "lib/membership/membership_internal.h"

#include <string.h>

#define INDIRECT_PINGS 2 /* members asked to ping one that did not answer */
#define ANNOUNCEMENT_PINGS 2 /* members pinged at once after a change */

/*
 * One ping in this many goes to another data centre, where traffic is expensive.
 * A data centre that fails as a whole is found by these alone.
 */
#define REMOTE_PING_INTERVAL 4

/*
 * Short relative to MEMBERSHIP_SUSPECT_TIMEOUT. It is not shorter because each
 * run visits all members.
 */
#define EXPIRY_INTERVAL (100 * G_TIME_SPAN_MILLISECOND)

/*
 * After startup and after a partition, full member lists are requested at
 * increasing intervals. If 200 instances start at the same time, dissemination
 * with MEMBERSHIP_UPDATES_MAX updates per message would take minutes.
 */
#define FULL_LIST_INTERVAL_MIN (1 * G_TIME_SPAN_SECOND)
#define FULL_LIST_INTERVAL_MAX (16 * G_TIME_SPAN_SECOND)
/* Members of each data centre in a list for a receiver in another one. */
#define REMOTE_LISTED_MAX 8
/* Longer than an instance that has joined requests full lists. */
#define LEFT_LISTED_TIME (1 * G_TIME_SPAN_MINUTE)
/* A partition is assumed if at least one in this many members is gone. */
#define PARTITION_GONE_DIVISOR 4

static gboolean is_isolated(const membership_t *membership)
{
	return TAILQ_EMPTY(&membership->ping_queue);
}

/*
 * Sets the sender and the updates for the receiver. If subject, the receiver or
 * target of the message, is suspect or gone, its update comes first so that it
 * can refute.
 */
static void fill_message(membership_t *membership,
			 membership_message_t *message, const node_t *receiver,
			 const node_t *subject, member_t *updates)
{
	membership_copy(membership, node_of(membership->self),
			&message->sender);
	message->updates = updates;
	if (subject && (subject->info.state == MEMBER_SUSPECT ||
			subject->info.state == MEMBER_GONE))
		membership_copy(membership, subject,
				&updates[message->update_count++]);
	message->update_count = membership_take_updates(
		membership, receiver, updates, message->update_count);
}

/* receiver is NULL if it is unknown. Returns the sequence number. */
static guint64 send_ping_with(membership_t *membership, const char *address,
			      const node_t *receiver, gboolean want_members)
{
	member_t updates[MEMBERSHIP_UPDATES_BURST + MEMBERSHIP_UPDATES_BACKLOG];
	membership_message_t message = {
		.kind = MEMBERSHIP_PING,
		.sequence = ++membership->last_sequence,
		.want_members = want_members,
	};

	fill_message(membership, &message, receiver, receiver, updates);
	membership->actions.send(membership->actions.ctx, address, &message);
	return message.sequence;
}

static guint64 send_ping(membership_t *membership, const char *address,
			 const node_t *receiver)
{
	return send_ping_with(membership, address, receiver,
			      is_isolated(membership));
}

guint64 membership_send_ping(membership_t *membership, const node_t *receiver)
{
	return send_ping(membership, receiver->info.peer_address, receiver);
}

static node_t *random_node(const membership_t *membership)
{
	node_t *node = TAILQ_FIRST(&membership->ping_queue);
	gint32 skip = g_rand_int_range(membership->random, 0,
				       (gint32)membership->count);

	while (node && skip-- > 0) {
		node = TAILQ_NEXT(node, ping_link);
		if (!node)
			node = TAILQ_FIRST(&membership->ping_queue);
	}
	return node;
}

void membership_ping_now(membership_t *membership, const char *name,
			 GTimeSpan now)
{
	node_t *node = membership_find_node(membership, name);

	if (!node || &node->info == membership->self || now < node->next_ping)
		return;
	node->next_ping = now + MEMBERSHIP_PERIOD;
	send_ping(membership, node->info.peer_address, node);
}

static void announce(membership_t *membership)
{
	const node_t *node;
	int i;

	if (is_isolated(membership))
		return;
	for (i = 0; i < ANNOUNCEMENT_PINGS; i++) {
		node = random_node(membership);
		send_ping(membership, node->info.peer_address, node);
	}
}

void membership_set_config_version(membership_t *membership, guint64 version)
{
	membership->self->config_version = version;
	announce(membership);
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

/*
 * A member that left is listed for some time, for an instance that has joined
 * meanwhile and got its first list from one that did not know. Members that were
 * gone without a word are not: they may be alive beyond a partition.
 */
static gboolean is_listed(const membership_t *membership, const node_t *node)
{
	if (&node->info == membership->self)
		return FALSE;
	return node->info.state != MEMBER_GONE ||
	       (node->leaving_since &&
		membership->now < node->state_since + LEFT_LISTED_TIME);
}

/*
 * Counts the member in its data centre. Returns FALSE for one of a data centre
 * that is not the receiver's and has been listed often enough.
 */
static gboolean is_wanted(const member_t *member, const node_t *receiver,
			  GHashTable *listed)
{
	gpointer data_centre = (gpointer)member->data_centre;
	guint count =
		GPOINTER_TO_UINT(g_hash_table_lookup(listed, data_centre));

	g_hash_table_insert(listed, data_centre, GUINT_TO_POINTER(count + 1));
	return count < REMOTE_LISTED_MAX ||
	       strcmp(receiver->info.data_centre, member->data_centre) == 0;
}

/*
 * A receiver in another data centre gets all members there, of whom it then asks
 * for the rest.
 */
static guint copy_members(const membership_t *membership,
			  const node_t *receiver, member_t *updates)
{
	gboolean all = !receiver || membership_is_local(membership, receiver);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	const member_t *member;
	guint count = 0;

	TAILQ_FOREACH (member, &membership->members, link)
		if (is_listed(membership, node_of(member)) &&
		    (all || is_wanted(member, receiver, listed)))
			membership_copy(membership, node_of(member),
					&updates[count++]);
	g_hash_table_destroy(listed);
	return count;
}

static void send_ack(membership_t *membership, guint64 connection,
		     guint64 sequence, const node_t *receiver,
		     gboolean all_members)
{
	member_t *updates = g_new(member_t, MEMBERSHIP_UPDATES_BURST +
						    MEMBERSHIP_UPDATES_BACKLOG +
						    membership->count);
	membership_message_t message = {
		.kind = MEMBERSHIP_ACK,
		.sequence = sequence,
	};

	fill_message(membership, &message, receiver, receiver, updates);
	if (all_members)
		message.update_count += copy_members(
			membership, receiver, updates + message.update_count);
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

static void handle_ping_request(membership_t *membership, guint64 connection,
				const membership_message_t *request,
				GTimeSpan now)
{
	node_t *target = membership_find_node(membership, request->target);
	relay_t *relay;

	if (!target || &target->info == membership->self)
		return;
	relay = g_new0(relay_t, 1);
	relay->connection = connection;
	relay->sequence = request->sequence;
	relay->expiry = now + MEMBERSHIP_PERIOD;
	relay->target_sequence =
		send_ping(membership, target->info.peer_address, target);
	TAILQ_INSERT_TAIL(&membership->relays, relay, link);
}

static void handle_ack(membership_t *membership, guint64 sequence)
{
	relay_t *relay, *next;

	if (sequence == membership->pinged_sequence)
		membership->pinged_sequence = 0;
	TAILQ_FOREACH_SAFE (relay, &membership->relays, link, next)
		if (relay->target_sequence == sequence) {
			send_ack(membership, relay->connection, relay->sequence,
				 NULL, FALSE);
			relay_free(membership, relay);
		}
}

void membership_receive(membership_t *membership, guint64 connection,
			const membership_message_t *message, GTimeSpan now)
{
	const char *from = message->sender.name;
	node_t *sender;
	guint i;

	membership->now = now;
	membership_merge(membership, &message->sender, from, now);
	sender = membership_find_node(membership, from);
	if (sender)
		sender->heard_at = now;
	for (i = 0; i < message->update_count; i++)
		membership_merge(membership, &message->updates[i], from, now);
	switch (message->kind) {
	case MEMBERSHIP_PING:
		send_ack(membership, connection, message->sequence,
			 membership_find_node(membership, message->sender.name),
			 message->want_members);
		break;
	case MEMBERSHIP_PING_REQUEST:
		handle_ping_request(membership, connection, message, now);
		break;
	case MEMBERSHIP_ACK:
		if (sender)
			membership_acknowledge_leaving(membership, sender,
						       message->sequence);
		handle_ack(membership, message->sequence);
		break;
	}
}

/*
 * Asks INDIRECT_PINGS live members to ping the member that did not answer. Their
 * acks carry the sequence number of the original ping.
 */
static void request_indirect_pings(membership_t *membership)
{
	const node_t *target =
		membership_find_node(membership, membership->pinged);
	member_t updates[MEMBERSHIP_UPDATES_BURST + MEMBERSHIP_UPDATES_BACKLOG];
	const node_t *helper;
	guint asked = 0;

	membership->indirect_requested = TRUE;
	TAILQ_FOREACH (helper, &membership->ping_queue, ping_link) {
		membership_message_t message = {
			.kind = MEMBERSHIP_PING_REQUEST,
			.sequence = membership->pinged_sequence,
		};

		if (helper == target || helper->info.state != MEMBER_LIVE)
			continue;
		if (asked++ == INDIRECT_PINGS)
			return;
		g_strlcpy(message.target, membership->pinged,
			  sizeof(message.target));
		fill_message(membership, &message, helper, target, updates);
		membership->actions.send(membership->actions.ctx,
					 helper->info.peer_address, &message);
	}
}

/*
 * Updates the state of a member that did not answer. A leaving member skips the
 * suspect state because it is expected to stop.
 */
static void evaluate_ping(membership_t *membership, GTimeSpan now)
{
	node_t *node = membership_find_node(membership, membership->pinged);

	if (!membership->pinged_sequence || !node)
		return;
	if (node->info.state == MEMBER_LIVE)
		membership_set_state(membership, node, MEMBER_SUSPECT,
				     LEARNT_FROM_PING, now);
	else if (node->info.state == MEMBER_LEAVING)
		membership_set_state(membership, node, MEMBER_GONE,
				     LEARNT_FROM_PING, now);
}

/* The member that was not pinged for longest among those of a kind, or NULL. */
static node_t *next_in_queue(const membership_t *membership, gboolean local)
{
	node_t *node;

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link)
		if (membership_is_local(membership, node) == local)
			return node;
	return NULL;
}

/*
 * Most pings stay in the data centre. As the instances of all data centres do
 * so, a member is pinged as often as without the preference.
 */
static node_t *next_to_ping(const membership_t *membership)
{
	gboolean local = g_rand_int_range(membership->random, 0,
					  REMOTE_PING_INTERVAL) != 0;
	node_t *node = next_in_queue(membership, local);

	return node ? node : next_in_queue(membership, !local);
}

static void start_period(membership_t *membership, GTimeSpan now)
{
	node_t *node = next_to_ping(membership);

	membership->next_period = now + MEMBERSHIP_PERIOD;
	membership->pinged_sequence = 0;
	if (!node)
		return;
	TAILQ_REMOVE(&membership->ping_queue, node, ping_link);
	TAILQ_INSERT_TAIL(&membership->ping_queue, node, ping_link);
	g_strlcpy(membership->pinged, node->info.name,
		  sizeof(membership->pinged));
	membership->indirect_requested = FALSE;
	membership->indirect_at = now + MEMBERSHIP_PING_TIMEOUT;
	membership->pinged_sequence =
		send_ping(membership, node->info.peer_address, node);
}

static void expire_suspects(membership_t *membership, GTimeSpan now)
{
	node_t *node, *next;

	TAILQ_FOREACH_SAFE (node, &membership->ping_queue, ping_link, next)
		if (node->info.state == MEMBER_SUSPECT &&
		    now >= node->state_since + MEMBERSHIP_SUSPECT_TIMEOUT)
			membership_set_state(membership, node, MEMBER_GONE,
					     LEARNT_FROM_PING, now);
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

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link)
		if (strcmp(node->info.peer_address, address) == 0)
			return TRUE;
	return FALSE;
}

/*
 * Reservoir sampling: replaces *choice with probability 1 / *seen, so that all
 * unreachable addresses are equally likely.
 */
static void sample_unreachable(const membership_t *membership,
			       const char *address, const char **choice,
			       guint *seen)
{
	if (is_reachable(membership, address))
		return;
	(*seen)++;
	if (g_rand_int_range(membership->random, 0, (gint32)*seen) == 0)
		*choice = address;
}

/* Pings one unreachable seed or gone member, to end a partition. */
static void try_rejoin(membership_t *membership, GTimeSpan now)
{
	const char *choice = NULL;
	const member_t *member;
	const node_t *receiver = NULL;
	const seed_t *seed;
	guint seen = 0;

	membership->next_rejoin = now + (is_isolated(membership) ?
						 MEMBERSHIP_PERIOD :
						 MEMBERSHIP_REJOIN_INTERVAL);
	TAILQ_FOREACH (seed, &membership->seeds, link)
		sample_unreachable(membership, seed->address, &choice, &seen);
	TAILQ_FOREACH (member, &membership->members, link)
		if (member->state == MEMBER_GONE)
			sample_unreachable(membership, member->peer_address,
					   &choice, &seen);
	if (!choice)
		return;
	TAILQ_FOREACH (member, &membership->members, link)
		if (strcmp(member->peer_address, choice) == 0)
			receiver = node_of(member);
	send_ping(membership, choice, receiver);
}

/* Prefers members of this data centre. Returns NULL if there are no others. */
static const node_t *random_local_node(const membership_t *membership)
{
	const node_t *chosen = NULL;
	const node_t *node;
	gint32 seen = 0;

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link)
		if (strcmp(node->info.data_centre,
			   membership->self->data_centre) == 0 &&
		    g_rand_int_range(membership->random, 0, ++seen) == 0)
			chosen = node;
	return chosen ? chosen : random_node(membership);
}

/*
 * Requests a full member list. The first request goes to a seed because seeds
 * learn of all instances first. Later ones go to the same data centre because
 * lists are long and traffic between data centres is expensive.
 */
static void request_full_list(membership_t *membership, GTimeSpan now)
{
	const seed_t *seed = TAILQ_FIRST(&membership->seeds);
	const node_t *node = random_local_node(membership);
	gboolean first = membership->full_list_wait == FULL_LIST_INTERVAL_MIN;

	if (seed && (first || !node))
		send_ping_with(membership, seed->address, NULL, TRUE);
	else if (node)
		send_ping_with(membership, node->info.peer_address, node, TRUE);
	membership->next_full_list = now + membership->full_list_wait;
	membership->full_list_wait *= 2;
	if (membership->full_list_wait > FULL_LIST_INTERVAL_MAX)
		membership->next_full_list = CATK_NEVER;
}

static void schedule_full_lists(membership_t *membership, GTimeSpan now)
{
	membership->next_full_list = now + FULL_LIST_INTERVAL_MIN;
	membership->full_list_wait = FULL_LIST_INTERVAL_MIN;
}

/*
 * After a partition each side considers the other gone. This instance refutes
 * that immediately so that the lists of the others already contain it.
 */
void membership_detect_partition_end(membership_t *membership, GTimeSpan now)
{
	const node_t *node;
	guint gone = membership->count - 1;

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link)
		gone--;
	if (gone * PARTITION_GONE_DIVISOR < membership->count ||
	    membership->next_full_list != CATK_NEVER)
		return;
	membership->self->refutation++;
	schedule_full_lists(membership, now);
}

/*
 * After a pause of this process, missing answers are more likely caused by the
 * pause than by the other members. This instance refutes a suspicion that may
 * have arisen in the meantime, restarts the timeout of its suspects and pings
 * them.
 */
static void recover_from_pause(membership_t *membership, GTimeSpan now)
{
	node_t *node;

	membership->self->refutation++;
	membership->pinged_sequence = 0;
	membership->next_period = now;
	TAILQ_FOREACH (node, &membership->ping_queue, ping_link)
		if (node->info.state == MEMBER_SUSPECT) {
			node->state_since = now;
			send_ping(membership, node->info.peer_address, node);
		}
}

void membership_tick(membership_t *membership, GTimeSpan now)
{
	membership->now = now;
	if (!membership->self->peer_address[0])
		return;
	if (!membership->last_tick)
		schedule_full_lists(membership, now);
	else if (now > membership->last_tick + MEMBERSHIP_PAUSE_THRESHOLD)
		recover_from_pause(membership, now);
	membership->last_tick = now;
	if (now >= membership->next_expiry) {
		membership->next_expiry = now + EXPIRY_INTERVAL;
		expire_suspects(membership, now);
		expire_relays(membership, now);
	}
	if (membership->pinged_sequence && !membership->indirect_requested &&
	    now >= membership->indirect_at)
		request_indirect_pings(membership);
	if (now >= membership->next_period) {
		evaluate_ping(membership, now);
		membership_remove_expired(membership, now);
		start_period(membership, now);
	}
	if (now >= membership->next_rejoin)
		try_rejoin(membership, now);
	if (now >= membership->next_full_list)
		request_full_list(membership, now);
	if (now >= membership->next_leave_batch)
		membership_announce_leaving(membership, now);
}

GTimeSpan membership_next_wakeup(const membership_t *membership)
{
	GTimeSpan wakeup =
		MIN(membership->next_period, membership->next_rejoin);

	if (!membership->self->peer_address[0])
		return CATK_NEVER;
	wakeup = MIN(wakeup, membership->next_full_list);
	wakeup = MIN(wakeup, membership->next_leave_batch);
	if (membership->pinged_sequence && !membership->indirect_requested)
		wakeup = MIN(wakeup, membership->indirect_at);
	return wakeup;
}
