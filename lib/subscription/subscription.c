#include "lib/subscription/subscription.h"

#include <string.h>

/*
 * Parts of the bound on learning a change. A source that hears of a change
 * after its own pause between watches, a third of the bound, tells it at once;
 * one that is gone is missed after SILENT_PART, and a list takes milliseconds.
 */
#define RENEWAL_PART 3.0
#define RENEWAL_MIN (100 * G_TIME_SPAN_MILLISECOND)
#define SILENT_PART 1.7
/*
 * Beyond the pause between watches: the answer of a store that is slowed to
 * 0.24 s, as on the users' days. With the pauses of others and 0.3 s for the news
 * to come, a swallowed watch is replaced within a bound of 2 s.
 */
#define BEHIND_SLACK (300 * G_TIME_SPAN_MILLISECOND)
/* Renewals that may be missed before a subscriber is forgotten. */
#define EXPIRY_RENEWALS 4
/*
 * While the store is away for the sources, each other instance tries it at
 * random once in this time: 100 instances that all tried every 0.4 s made most
 * of a day's calls.
 */
#define AWAY_RETRY_MIN (2 * G_TIME_SPAN_SECOND)
#define AWAY_RETRY_MAX (4 * G_TIME_SPAN_SECOND)

typedef struct source {
	TAILQ_ENTRY(source) link;
	char name[MEMBER_NAME_MAX + 1];
	char address[MEMBER_ADDRESS_MAX + 1];
	subscription_position_t position;
	gboolean named; /* in the list being read */
	gboolean in_contact;
	GTimeSpan heard; /* instant, 0 for never */
	GTimeSpan next_renewal;
} source_t;

typedef struct subscriber_item {
	TAILQ_ENTRY(subscriber_item) link;
	subscriber_t subscriber;
	gboolean due; /* to be told at once */
	GTimeSpan expiry;
} subscriber_item_t;

struct subscription {
	GRand *random;
	GTimeSpan renewal;
	GTimeSpan silent_after;
	GTimeSpan started;
	GTimeSpan next_store_call; /* while sources say that it is away */
	guint64 known; /* revision up to which the store was read */
	guint64 changed; /* of the last changes that were read */
	GTimeSpan behind_since; /* others know more, 0: they do not */
	guint subscriber_count;
	TAILQ_HEAD(source_list, source) sources;
	TAILQ_HEAD(subscriber_list, subscriber_item) subscribers;
};

subscription_t *subscription_new(GTimeSpan change_bound, GRand *random,
				 GTimeSpan now)
{
	subscription_t *subscription = g_new0(subscription_t, 1);

	subscription->random = random;
	subscription->renewal = MAX(
		(GTimeSpan)((double)change_bound / RENEWAL_PART), RENEWAL_MIN);
	subscription->silent_after =
		(GTimeSpan)((double)change_bound / SILENT_PART);
	subscription->started = now;
	TAILQ_INIT(&subscription->sources);
	TAILQ_INIT(&subscription->subscribers);
	return subscription;
}

static void remove_source(subscription_t *subscription, source_t *source)
{
	TAILQ_REMOVE(&subscription->sources, source, link);
	g_free(source);
}

static void remove_subscriber(subscription_t *subscription,
			      subscriber_item_t *item)
{
	subscription->subscriber_count--;
	TAILQ_REMOVE(&subscription->subscribers, item, link);
	g_free(item);
}

void subscription_free(subscription_t *subscription)
{
	if (!subscription)
		return;
	while (!TAILQ_EMPTY(&subscription->sources))
		remove_source(subscription,
			      TAILQ_FIRST(&subscription->sources));
	while (!TAILQ_EMPTY(&subscription->subscribers))
		remove_subscriber(subscription,
				  TAILQ_FIRST(&subscription->subscribers));
	g_free(subscription);
}

static source_t *find_source(const subscription_t *subscription,
			     const char *name)
{
	source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link)
		if (strcmp(source->name, name) == 0)
			return source;
	return NULL;
}

void subscription_begin_sources(subscription_t *subscription)
{
	source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link)
		source->named = FALSE;
}

void subscription_add_source(subscription_t *subscription, const char *name,
			     const char *address)
{
	source_t *source = find_source(subscription, name);

	if (!source) {
		source = g_new0(source_t, 1);
		g_strlcpy(source->name, name, sizeof(source->name));
		TAILQ_INSERT_TAIL(&subscription->sources, source, link);
	}
	g_strlcpy(source->address, address, sizeof(source->address));
	source->named = TRUE;
}

void subscription_end_sources(subscription_t *subscription)
{
	source_t *source, *next;

	TAILQ_FOREACH_SAFE (source, &subscription->sources, link, next)
		if (!source->named)
			remove_source(subscription, source);
}

gboolean subscription_next_renewal(subscription_t *subscription,
				   subscription_renewal_t *renewal,
				   GTimeSpan now)
{
	source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link) {
		if (now < source->next_renewal)
			continue;
		source->next_renewal = now + subscription->renewal;
		g_strlcpy(renewal->name, source->name, sizeof(renewal->name));
		g_strlcpy(renewal->address, source->address,
			  sizeof(renewal->address));
		renewal->position = source->position;
		return TRUE;
	}
	return FALSE;
}

/*
 * A message that leaves out changes, since one before it was lost, does not
 * move the position: the next renewal asks for them.
 */
static void move_position(source_t *source, const subscription_update_t *update)
{
	subscription_position_t *position = &source->position;

	if (position->incarnation == update->incarnation &&
	    update->from > position->change)
		return;
	if (position->incarnation != update->incarnation)
		position->change = 0;
	position->incarnation = update->incarnation;
	position->change = MAX(position->change, update->to);
}

void subscription_update_received(subscription_t *subscription,
				  const subscription_update_t *update,
				  GTimeSpan now)
{
	source_t *source = find_source(subscription, update->name);

	if (!source)
		return;
	source->heard = now;
	source->in_contact = update->in_contact;
	move_position(source, update);
}

static gboolean is_heard(const subscription_t *subscription,
			 const source_t *source, GTimeSpan now)
{
	return source->heard &&
	       now <= source->heard + subscription->silent_after;
}

gboolean subscription_has_live_source(const subscription_t *subscription,
				      GTimeSpan now)
{
	const source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link)
		if (source->in_contact && is_heard(subscription, source, now))
			return TRUE;
	return FALSE;
}

gboolean subscription_is_starting(const subscription_t *subscription,
				  GTimeSpan now)
{
	return now < subscription->started + subscription->silent_after;
}

gboolean subscription_should_read_store(const subscription_t *subscription,
					GTimeSpan now)
{
	const source_t *source;

	if (subscription_has_live_source(subscription, now))
		return FALSE;
	TAILQ_FOREACH (source, &subscription->sources, link)
		if (is_heard(subscription, source, now))
			return now >= subscription->next_store_call;
	return TRUE;
}

void subscription_record_store_call(subscription_t *subscription,
				    gboolean answered, GTimeSpan now)
{
	subscription->next_store_call =
		answered ? 0 :
			   now + (GTimeSpan)g_rand_double_range(
					 subscription->random, AWAY_RETRY_MIN,
					 AWAY_RETRY_MAX);
}

void subscription_record_store_read(subscription_t *subscription,
				    guint64 revision, gboolean with_changes)
{
	subscription->known = MAX(subscription->known, revision);
	if (with_changes)
		subscription->changed = MAX(subscription->changed, revision);
	subscription->behind_since = 0;
}

guint64 subscription_watch_revision(const subscription_t *subscription)
{
	return subscription->changed;
}

void subscription_record_remote_revision(subscription_t *subscription,
					 guint64 revision, GTimeSpan now)
{
	if (revision > subscription->known && !subscription->behind_since)
		subscription->behind_since = now;
}

gboolean subscription_detect_stalled_watch(subscription_t *subscription,
					   GTimeSpan now)
{
	GTimeSpan allowed = subscription->renewal + BEHIND_SLACK;

	if (!subscription->behind_since ||
	    now < subscription->behind_since + allowed)
		return FALSE;
	subscription->behind_since = 0;
	return TRUE;
}

static subscriber_item_t *find_subscriber(const subscription_t *subscription,
					  guint64 connection)
{
	subscriber_item_t *item;

	TAILQ_FOREACH (item, &subscription->subscribers, link)
		if (item->subscriber.connection == connection)
			return item;
	return NULL;
}

subscriber_t *subscription_renew_subscriber(subscription_t *subscription,
					    guint64 connection, guint64 change,
					    gboolean own_only, GTimeSpan now)
{
	subscriber_item_t *item = find_subscriber(subscription, connection);

	if (!item) {
		item = g_new0(subscriber_item_t, 1);
		item->subscriber.connection = connection;
		subscription->subscriber_count++;
		TAILQ_INSERT_TAIL(&subscription->subscribers, item, link);
	}
	item->subscriber.change = change;
	item->subscriber.own_only = own_only;
	item->expiry = now + EXPIRY_RENEWALS * subscription->renewal;
	return &item->subscriber;
}

subscriber_t *subscription_next_to_notify(subscription_t *subscription,
					  guint64 last_change, GTimeSpan now)
{
	subscriber_item_t *item, *next;

	TAILQ_FOREACH_SAFE (item, &subscription->subscribers, link, next) {
		if (now >= item->expiry)
			remove_subscriber(subscription, item);
		else if (item->due || item->subscriber.change < last_change) {
			item->due = FALSE;
			return &item->subscriber;
		}
	}
	return NULL;
}

void subscription_notify_all(subscription_t *subscription)
{
	subscriber_item_t *item;

	TAILQ_FOREACH (item, &subscription->subscribers, link)
		item->due = TRUE;
}

void subscription_remove_connection(subscription_t *subscription,
				    guint64 connection)
{
	subscriber_item_t *item = find_subscriber(subscription, connection);

	if (item)
		remove_subscriber(subscription, item);
}

guint subscription_subscriber_count(const subscription_t *subscription)
{
	return subscription->subscriber_count;
}
