#include "lib/subscription/subscription.h"

#include <string.h>

/*
 * Intervals as fractions of change_bound. A source learns of a change after at
 * most its interval between watches, a third of the bound, and forwards it
 * immediately. If it has failed, its subscribers notice after change_bound /
 * SOURCE_TIMEOUT_DIVISOR. That leaves enough time to list the store, which takes
 * milliseconds.
 */
#define RENEWAL_DIVISOR 3.0
#define RENEWAL_INTERVAL_MIN (100 * G_TIME_SPAN_MILLISECOND)
#define SOURCE_TIMEOUT_DIVISOR 1.7
/*
 * Time allowed for a watch beyond the interval between watches. It covers a
 * store slowed to 0.24 s per answer, as in the users' scenarios. Together with the
 * interval of the other instances and 0.3 s until their message arrives, a
 * stalled watch is replaced within a change_bound of 2 s.
 */
#define STALLED_WATCH_SLACK (300 * G_TIME_SPAN_MILLISECOND)
/*
 * The membership requests the first list of members 1 s after the start; the
 * rest is for the answer.
 */
#define MEMBERS_KNOWN_TIME (1250 * G_TIME_SPAN_MILLISECOND)
/*
 * Time for which a starting instance waits for a source. If others run already,
 * it takes a few round trips. If all start, the sources first have to know that
 * they are, and read the store.
 */
#define START_WAIT (500 * G_TIME_SPAN_MILLISECOND)
#define FIRST_START_WAIT (4 * G_TIME_SPAN_SECOND)
/* A subscriber expires after this many renewal intervals. */
#define EXPIRY_INTERVALS 4
/*
 * While the sources cannot reach the store, each other instance retries it after
 * a random time in this range. When 100 instances retried every 0.4 s, these
 * retries were most of a day's calls.
 */
#define OUTAGE_RETRY_MIN (2 * G_TIME_SPAN_SECOND)
#define OUTAGE_RETRY_MAX (4 * G_TIME_SPAN_SECOND)

typedef struct source {
	TAILQ_ENTRY(source) link;
	char name[MEMBER_NAME_MAX + 1];
	char address[MEMBER_ADDRESS_MAX + 1];
	subscription_position_t position;
	gboolean listed; /* in the list of sources being set */
	gboolean in_contact;
	GTimeSpan last_heard; /* time of its last message, 0 for never */
	GTimeSpan next_renewal;
} source_t;

typedef struct subscriber_item {
	TAILQ_ENTRY(subscriber_item) link;
	subscriber_t subscriber;
	gboolean due; /* a message is scheduled */
	GTimeSpan expiry;
} subscriber_item_t;

struct subscription {
	GRand *random;
	GTimeSpan renewal_interval;
	GTimeSpan source_timeout;
	GTimeSpan started;
	gboolean first_start;
	GTimeSpan next_store_call; /* while sources report an outage of it */
	guint64 read_revision; /* up to which the store was read */
	guint64 watch_revision; /* of the last changes returned by a watch */
	GTimeSpan behind_since; /* others know newer changes; 0 if not */
	guint subscriber_count;
	TAILQ_HEAD(source_list, source) sources;
	TAILQ_HEAD(subscriber_list, subscriber_item) subscribers;
};

subscription_t *subscription_new(GTimeSpan change_bound, gboolean first_start,
				 GRand *random, GTimeSpan now)
{
	subscription_t *subscription = g_new0(subscription_t, 1);

	subscription->random = random;
	subscription->first_start = first_start;
	subscription->renewal_interval =
		MAX((GTimeSpan)((double)change_bound / RENEWAL_DIVISOR),
		    RENEWAL_INTERVAL_MIN);
	subscription->source_timeout =
		(GTimeSpan)((double)change_bound / SOURCE_TIMEOUT_DIVISOR);
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
		source->listed = FALSE;
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
	source->listed = TRUE;
}

void subscription_end_sources(subscription_t *subscription)
{
	source_t *source, *next;

	TAILQ_FOREACH_SAFE (source, &subscription->sources, link, next)
		if (!source->listed)
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
		source->next_renewal = now + subscription->renewal_interval;
		g_strlcpy(renewal->name, source->name, sizeof(renewal->name));
		g_strlcpy(renewal->address, source->address,
			  sizeof(renewal->address));
		renewal->position = source->position;
		return TRUE;
	}
	return FALSE;
}

/*
 * Does not advance the position if an earlier message was lost and changes are
 * missing in between: the next renewal then requests them.
 */
static void advance_position(source_t *source,
			     const subscription_update_t *update)
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
	source->last_heard = now;
	source->in_contact = update->in_contact;
	advance_position(source, update);
}

static gboolean is_responding(const subscription_t *subscription,
			      const source_t *source, GTimeSpan now)
{
	return source->last_heard &&
	       now <= source->last_heard + subscription->source_timeout;
}

gboolean subscription_has_live_source(const subscription_t *subscription,
				      GTimeSpan now)
{
	const source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link)
		if (source->in_contact &&
		    is_responding(subscription, source, now))
			return TRUE;
	return FALSE;
}

GTimeSpan subscription_source_age(const subscription_t *subscription,
				  GTimeSpan now)
{
	GTimeSpan age = CATK_NEVER;
	const source_t *source;

	TAILQ_FOREACH (source, &subscription->sources, link)
		if (source->in_contact && source->last_heard)
			age = MIN(age, now - source->last_heard);
	return age;
}

gboolean subscription_is_starting(const subscription_t *subscription,
				  GTimeSpan now)
{
	return now < subscription->started + MEMBERS_KNOWN_TIME;
}

gboolean subscription_waits_for_sources(const subscription_t *subscription,
					gboolean has_sources, gboolean isolated,
					GTimeSpan now)
{
	GTimeSpan age = now - subscription->started;

	if (subscription->first_start)
		return age <
		       (has_sources ? FIRST_START_WAIT : MEMBERS_KNOWN_TIME);
	return age < START_WAIT && (has_sources || isolated);
}

gboolean subscription_should_read_store(const subscription_t *subscription,
					GTimeSpan now)
{
	const source_t *source;

	if (subscription_has_live_source(subscription, now))
		return FALSE;
	TAILQ_FOREACH (source, &subscription->sources, link)
		if (is_responding(subscription, source, now))
			return now >= subscription->next_store_call;
	return TRUE;
}

void subscription_record_store_call(subscription_t *subscription,
				    gboolean answered, GTimeSpan now)
{
	subscription->next_store_call =
		answered ? 0 :
			   now + (GTimeSpan)g_rand_double_range(
					 subscription->random, OUTAGE_RETRY_MIN,
					 OUTAGE_RETRY_MAX);
}

void subscription_record_store_read(subscription_t *subscription,
				    guint64 revision, gboolean with_changes)
{
	subscription->read_revision =
		MAX(subscription->read_revision, revision);
	if (with_changes)
		subscription->watch_revision =
			MAX(subscription->watch_revision, revision);
	subscription->behind_since = 0;
}

guint64 subscription_watch_revision(const subscription_t *subscription)
{
	return subscription->watch_revision;
}

void subscription_record_peer_revision(subscription_t *subscription,
				       guint64 revision, GTimeSpan now)
{
	if (revision > subscription->read_revision &&
	    !subscription->behind_since)
		subscription->behind_since = now;
}

gboolean subscription_detect_stalled_watch(subscription_t *subscription,
					   GTimeSpan now)
{
	GTimeSpan delay_max =
		subscription->renewal_interval + STALLED_WATCH_SLACK;

	if (!subscription->behind_since ||
	    now < subscription->behind_since + delay_max)
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
	item->expiry = now + EXPIRY_INTERVALS * subscription->renewal_interval;
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
