/* The member list: merging of updates and their dissemination. */
#include "lib/membership/membership_internal.h"

#include <string.h>

/*
 * Each instance sends an update this many times log2 of the number of members.
 * It then reaches all members with high probability (SWIM, section 4.1).
 */
#define GOSSIP_FACTOR 3
/*
 * The same for news that most members get in another way. It then misses one in
 * e^6 = 400 of the others.
 */
#define BACKUP_TRANSMISSIONS 6
/*
 * Transmissions of an update to each other data centre, summed over the members
 * of a data centre: it misses one in e^6 = 400 of them. Within a data centre the
 * update then spreads on its own. Traffic between data centres is expensive.
 */
#define CROSSINGS_PER_DATA_CENTRE 6
/* After this time a leaving member has told all others several times. */
#define LEAVE_TIME (3 * G_TIME_SPAN_SECOND)

const char *member_state_name(member_state_t state)
{
	static const char *const names[] = {
		[MEMBER_LIVE] = "live",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_GONE] = "gone",
	};

	g_assert(state <= MEMBER_GONE);
	return names[state];
}

gboolean membership_is_local(const membership_t *membership, const node_t *node)
{
	return node && membership->self &&
	       strcmp(node->info.data_centre, membership->self->data_centre) ==
		       0;
}

/*
 * This instance's share of CROSSINGS_PER_DATA_CENTRE. Only the members of its
 * own data centre pass on what is new about a member, and those that have found
 * a member silent: the others would repeat it to all data centres.
 */
static guint crossings(const membership_t *membership, const node_t *node,
		       gboolean found_here)
{
	if (!found_here && !membership_is_local(membership, node))
		return 0;
	return CROSSINGS_PER_DATA_CENTRE * (membership->data_centres - 1) /
		       membership->local_count +
	       1;
}

/* Whether there is a member left to which the update may be sent. */
static gboolean may_be_sent(const membership_t *membership, const node_t *node)
{
	return node->transmissions_left &&
	       (membership->local_count > 1 || node->crossings_left);
}

static void stop_gossip(membership_t *membership, node_t *node)
{
	if (node->is_queued)
		TAILQ_REMOVE(&membership->gossip_queue, node, gossip_link);
	node->is_queued = FALSE;
	node->transmissions_left = 0;
	node->crossings_left = 0;
}

/* Does not shorten the dissemination of earlier news about the member. */
static void enqueue_gossip(membership_t *membership, node_t *node,
			   gboolean backup_only, gboolean found_here)
{
	guint count = backup_only ?
			      BACKUP_TRANSMISSIONS :
			      GOSSIP_FACTOR * g_bit_storage(membership->count);

	if (!node->is_queued)
		TAILQ_INSERT_HEAD(&membership->gossip_queue, node, gossip_link);
	node->is_queued = TRUE;
	node->transmissions_left = MAX(node->transmissions_left, count);
	node->crossings_left = MAX(node->crossings_left,
				   crossings(membership, node, found_here));
	if (!may_be_sent(membership, node))
		stop_gossip(membership, node);
}

/* Inserts at a random position so that instances ping in different orders. */
static void insert_into_ping_queue(membership_t *membership, node_t *node)
{
	gint32 skip = g_rand_int_range(membership->random, 0,
				       (gint32)membership->count);
	node_t *place = TAILQ_FIRST(&membership->ping_queue);

	while (place && skip-- > 0)
		place = TAILQ_NEXT(place, ping_link);
	if (place)
		TAILQ_INSERT_BEFORE(place, node, ping_link);
	else
		TAILQ_INSERT_TAIL(&membership->ping_queue, node, ping_link);
}

/* Whether an earlier member belongs to the same data centre. */
static gboolean is_repeated(const membership_t *membership,
			    const member_t *member)
{
	const member_t *other;

	TAILQ_FOREACH (other, &membership->members, link) {
		if (other == member)
			return FALSE;
		if (strcmp(other->data_centre, member->data_centre) == 0)
			return TRUE;
	}
	return FALSE;
}

static void count_data_centres(membership_t *membership)
{
	const member_t *member;

	membership->data_centres = 0;
	TAILQ_FOREACH (member, &membership->members, link)
		membership->data_centres += !is_repeated(membership, member);
}

static node_t *add_node(membership_t *membership, const member_t *source)
{
	node_t *node = g_new0(node_t, 1);

	node->info = *source;
	node->state_entered = CATK_NEVER;
	node->heard_at = CATK_NEVER;
	TAILQ_INSERT_TAIL(&membership->members, &node->info, link);
	g_hash_table_insert(membership->by_name, node->info.name, node);
	membership->count++;
	membership->local_count += membership_is_local(membership, node);
	membership->data_centres += !is_repeated(membership, &node->info);
	return node;
}

membership_t *membership_new(const member_t *self,
			     const membership_actions_t *actions, GRand *random,
			     counters_t *counters)
{
	membership_t *membership = g_new0(membership_t, 1);

	membership->counters = counters;
	membership->random = random;
	membership->next_leave_batch = CATK_NEVER;
	membership->actions = *actions;
	TAILQ_INIT(&membership->members);
	membership->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&membership->ping_queue);
	TAILQ_INIT(&membership->gossip_queue);
	TAILQ_INIT(&membership->seeds);
	TAILQ_INIT(&membership->relays);
	membership->self = &add_node(membership, self)->info;
	membership->local_count = 1;
	membership->self->state = MEMBER_LIVE;
	return membership;
}

static void node_free(membership_t *membership, node_t *node)
{
	stop_gossip(membership, node);
	if (node->info.state != MEMBER_GONE && &node->info != membership->self)
		TAILQ_REMOVE(&membership->ping_queue, node, ping_link);
	TAILQ_REMOVE(&membership->members, &node->info, link);
	g_hash_table_remove(membership->by_name, node->info.name);
	membership->count--;
	membership->local_count -= membership_is_local(membership, node);
	if (&node->info == membership->self)
		membership->self = NULL;
	count_data_centres(membership);
	g_free(node);
}

void membership_free(membership_t *membership)
{
	relay_t *relay, *next_relay;
	seed_t *seed, *next_seed;

	if (!membership)
		return;
	TAILQ_FOREACH_SAFE (relay, &membership->relays, link, next_relay)
		g_free(relay);
	TAILQ_FOREACH_SAFE (seed, &membership->seeds, link, next_seed)
		g_free(seed);
	while (!TAILQ_EMPTY(&membership->members))
		node_free(membership,
			  node_of(TAILQ_FIRST(&membership->members)));
	g_hash_table_destroy(membership->by_name);
	g_free(membership);
}

node_t *membership_find_node(const membership_t *membership, const char *name)
{
	return g_hash_table_lookup(membership->by_name, name);
}

static gboolean has_state_age(member_state_t state)
{
	return state == MEMBER_LEAVING || state == MEMBER_GONE;
}

/* Returns CATK_NEVER if the time is not known. */
static GTimeSpan time_since(GTimeSpan time, GTimeSpan now)
{
	return time == CATK_NEVER ? CATK_NEVER : now - time;
}

void membership_copy(const membership_t *membership, const node_t *node,
		     member_t *copy)
{
	GTimeSpan age = time_since(node->state_entered, membership->now);

	*copy = node->info;
	copy->state_age = 0;
	if (has_state_age(copy->state) && age != CATK_NEVER)
		copy->state_age = MAX(age, 1);
}

static void record_delay(membership_t *membership, const node_t *node,
			 GTimeSpan now)
{
	if (node->state_entered == CATK_NEVER)
		return;
	if (node->info.state == MEMBER_LEAVING)
		news_delay_record(&membership->leaving_delay,
				  now - node->state_entered);
	else if (node->info.state == MEMBER_GONE)
		news_delay_record(&membership->gone_delay,
				  now - node->state_entered);
}

static gint64 age_for_output(GTimeSpan time, GTimeSpan now)
{
	return time == CATK_NEVER ? -1 : now - time;
}

static void log_state(const membership_t *membership, const node_t *node,
		      const char *learnt_from, GTimeSpan now)
{
	LOG_EVENT(&membership->log, "member_state",
		  LOG_TEXT("member", node->info.name),
		  LOG_TEXT("state", member_state_name(node->info.state)),
		  LOG_NUMBER("incarnation", (gint64)node->info.incarnation),
		  LOG_NUMBER("refutation", node->info.refutation),
		  LOG_TEXT("learnt_from", learnt_from),
		  LOG_NUMBER("state_age_us",
			     age_for_output(node->state_entered, now)),
		  LOG_NUMBER("heard_age_us",
			     age_for_output(node->heard_at, now)));
}

/*
 * Whether most members learn of a new state from the leaving member itself, as
 * it lived long enough to tell them.
 */
static gboolean is_known_otherwise(const node_t *node, member_state_t old_state)
{
	if (node->info.state == MEMBER_GONE && old_state == MEMBER_LEAVING)
		return node->state_entered >= node->leaving_since + LEAVE_TIME;
	return node->info.state == MEMBER_LEAVING;
}

/* The caller has set node->state_entered. */
static void enter_state(membership_t *membership, node_t *node,
			member_state_t state, const char *learnt_from,
			GTimeSpan now)
{
	member_state_t old_state = node->info.state;

	if (state == MEMBER_GONE && node->info.state != MEMBER_GONE)
		TAILQ_REMOVE(&membership->ping_queue, node, ping_link);
	if (state != MEMBER_GONE && node->info.state == MEMBER_GONE)
		insert_into_ping_queue(membership, node);
	node->info.state = state;
	node->state_since = now;
	if (state == MEMBER_LEAVING)
		node->leaving_since = MIN(node->state_entered, now);
	else if (state != MEMBER_GONE)
		node->leaving_since = 0;
	log_state(membership, node, learnt_from, now);
	record_delay(membership, node, now);
	enqueue_gossip(membership, node, is_known_otherwise(node, old_state),
		       state == MEMBER_SUSPECT &&
			       strcmp(learnt_from, LEARNT_FROM_PING) == 0);
}

void membership_set_state(membership_t *membership, node_t *node,
			  member_state_t state, const char *learnt_from,
			  GTimeSpan now)
{
	node->state_entered = now;
	enter_state(membership, node, state, learnt_from, now);
}

/* Compares by incarnation, then refutation, then severity of the state. */
static gboolean is_newer(const member_t *update, const member_t *known)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	if (update->refutation != known->refutation)
		return update->refutation > known->refutation;
	return update->state > known->state;
}

static void refute_if_suspected(member_t *self, const member_t *update)
{
	if (update->incarnation != self->incarnation ||
	    update->refutation < self->refutation)
		return;
	if (update->state == MEMBER_SUSPECT || update->state == MEMBER_GONE)
		self->refutation = update->refutation + 1;
}

static GTimeSpan state_entered(const member_t *update, GTimeSpan now)
{
	return update->state_age ? now - update->state_age : CATK_NEVER;
}

static void apply_update(membership_t *membership, node_t *node,
			 const member_t *update, const char *learnt_from,
			 GTimeSpan now)
{
	member_state_t old_state = node->info.state;
	member_t *previous = TAILQ_PREV(&node->info, member_list, link);

	if (old_state == MEMBER_GONE && update->state != MEMBER_GONE &&
	    update->incarnation == node->info.incarnation)
		membership_detect_partition_end(membership, now);
	if (update->incarnation != node->info.incarnation) {
		node->knows_leaving = FALSE;
		node->next_leave_ping = 0;
	}
	TAILQ_REMOVE(&membership->members, &node->info, link);
	node->info = *update;
	node->info.state = old_state;
	TAILQ_INSERT_AFTER(&membership->members, previous, &node->info, link);
	node->state_entered = state_entered(update, now);
	enter_state(membership, node, update->state, learnt_from, now);
}

/*
 * Remembers an unknown member that is gone, so that older news from an instance
 * that has not heard cannot add it as live. The news is not spread further.
 */
static void add_gone_node(membership_t *membership, const member_t *update,
			  GTimeSpan now)
{
	node_t *node = add_node(membership, update);

	node->state_since = now;
	node->state_entered = state_entered(update, now);
}

void membership_merge(membership_t *membership, const member_t *update,
		      const char *learnt_from, GTimeSpan now)
{
	node_t *node = membership_find_node(membership, update->name);

	if (node && &node->info == membership->self) {
		refute_if_suspected(membership->self, update);
		return;
	}
	if (!node && membership->count >= MEMBERSHIP_MEMBERS_MAX)
		return;
	if (!node && update->state == MEMBER_GONE) {
		add_gone_node(membership, update, now);
	} else if (!node) {
		node = add_node(membership, update);
		insert_into_ping_queue(membership, node);
		node->state_entered = state_entered(update, now);
		enter_state(membership, node, update->state, learnt_from, now);
	} else if (is_newer(update, &node->info)) {
		apply_update(membership, node, update, learnt_from, now);
	} else if (update->incarnation == node->info.incarnation) {
		node->info.config_version =
			MAX(node->info.config_version, update->config_version);
	}
}

/* News that comes from the member itself. */
static gboolean is_urgent(const node_t *node)
{
	return node->leaving_since != 0;
}

/*
 * Counts a transmission of the update. Returns FALSE if it must not be sent to
 * the receiver.
 */
static gboolean use_transmission(node_t *node, gboolean is_local)
{
	if (!is_local && !node->crossings_left)
		return FALSE;
	if (!is_local)
		node->crossings_left--;
	node->transmissions_left--;
	return TRUE;
}

/* Copies queued updates of that urgency; returns the new number of updates. */
static guint take_updates(membership_t *membership, gboolean urgent,
			  gboolean is_local, member_t *updates, guint count,
			  guint max)
{
	node_t *last = TAILQ_LAST(&membership->gossip_queue, gossip_queue_head);
	node_t *node = TAILQ_FIRST(&membership->gossip_queue), *next;

	for (; node && count < max; node = node == last ? NULL : next) {
		next = TAILQ_NEXT(node, gossip_link);
		if (is_urgent(node) != urgent ||
		    !use_transmission(node, is_local))
			continue;
		membership_copy(membership, node, &updates[count++]);
		TAILQ_REMOVE(&membership->gossip_queue, node, gossip_link);
		TAILQ_INSERT_TAIL(&membership->gossip_queue, node, gossip_link);
		if (!may_be_sent(membership, node))
			stop_gossip(membership, node);
	}
	return count;
}

static gboolean has_backlog(const membership_t *membership)
{
	const node_t *node;
	guint waiting = 0;

	TAILQ_FOREACH (node, &membership->gossip_queue, gossip_link)
		if (++waiting > MEMBERSHIP_UPDATES_BACKLOG)
			return TRUE;
	return FALSE;
}

guint membership_take_updates(membership_t *membership, const node_t *receiver,
			      member_t *updates, guint count)
{
	gboolean is_local = membership_is_local(membership, receiver);
	guint max = has_backlog(membership) ? MEMBERSHIP_UPDATES_BACKLOG :
					      MEMBERSHIP_UPDATES_MAX;

	count = take_updates(membership, TRUE, is_local, updates, count,
			     MEMBERSHIP_UPDATES_BURST);
	return take_updates(membership, FALSE, is_local, updates, count,
			    count + max);
}

void membership_remove_expired(membership_t *membership, GTimeSpan now)
{
	member_t *member, *next;

	TAILQ_FOREACH_SAFE (member, &membership->members, link, next)
		if (member->state == MEMBER_GONE &&
		    now >= node_of(member)->state_since +
				    MEMBERSHIP_GONE_RETENTION)
			node_free(membership, node_of(member));
}

const news_delay_t *membership_news_delay(const membership_t *membership,
					  member_state_t state)
{
	g_assert(has_state_age(state));
	return state == MEMBER_LEAVING ? &membership->leaving_delay :
					 &membership->gone_delay;
}

void membership_set_log(membership_t *membership, const event_log_t *log)
{
	membership->log = *log;
}

const member_t *membership_self(const membership_t *membership)
{
	return membership->self;
}

gboolean membership_is_mostly_live(const membership_t *membership)
{
	const node_t *node;
	guint live = 0, leaving = 0;

	TAILQ_FOREACH (node, &membership->ping_queue, ping_link) {
		live += node->info.state == MEMBER_LIVE;
		leaving += node->info.state == MEMBER_LEAVING;
	}
	return live > leaving;
}

const member_t *membership_find(const membership_t *membership,
				const char *name)
{
	const node_t *node = membership_find_node(membership, name);

	return node ? &node->info : NULL;
}

const member_t *membership_first(const membership_t *membership)
{
	return TAILQ_FIRST(&membership->members);
}

const member_t *membership_next(const member_t *member)
{
	return TAILQ_NEXT(member, link);
}

void membership_dump(const membership_t *membership, const dump_writer_t *w)
{
	const member_t *member;

	w->begin_array(w->ctx, "members");
	TAILQ_FOREACH (member, &membership->members, link) {
		w->begin_object(w->ctx, NULL);
		w->string(w->ctx, "name", member->name);
		w->string(w->ctx, "data_centre", member->data_centre);
		w->string(w->ctx, "caller_address", member->caller_address);
		w->string(w->ctx, "peer_address", member->peer_address);
		w->string(w->ctx, "state", member_state_name(member->state));
		w->integer(w->ctx, "incarnation", (gint64)member->incarnation);
		w->integer(w->ctx, "refutation", member->refutation);
		w->integer(w->ctx, "config_version",
			   (gint64)member->config_version);
		w->integer(w->ctx, "state_age_us",
			   age_for_output(node_of(member)->state_entered,
					  membership->now));
		w->integer(w->ctx, "heard_age_us",
			   age_for_output(node_of(member)->heard_at,
					  membership->now));
		w->end_object(w->ctx);
	}
	w->end_array(w->ctx);
}
