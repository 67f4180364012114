/*
 * Which instances read the store, and which live on what others pass on.
 *
 * Each call to the store is priced, and its rates grow more slowly than the
 * fleet. In a large fleet a few instances of each data centre are sources: they
 * read the store, and the others subscribe to them. A subscriber renews its
 * subscriptions all the time; a source answers each renewal and tells of
 * changes at once. A subscriber that hears no source reads the store itself.
 */
#ifndef CATK_SUBSCRIPTION_H
#define CATK_SUBSCRIPTION_H

#include "lib/common/clock.h"
#include "lib/common/intrusive.h"
#include "lib/membership/membership.h"

/*
 * Up to this size every instance reads the store: two sources in each of four
 * data centres would be most of the fleet.
 */
#define SUBSCRIPTION_FLEET_MIN 25

typedef struct subscription subscription_t;

/* What a subscriber knows of a source's changes. */
typedef struct {
	guint64 incarnation; /* of the source, 0 for nothing known */
	guint64 change;
} subscription_position_t;

/* A source that is due for a renewal. */
typedef struct {
	char name[MEMBER_NAME_MAX + 1];
	char address[MEMBER_ADDRESS_MAX + 1];
	subscription_position_t position;
} subscription_renewal_t;

/* A subscriber of this instance that is to be told of changes. */
typedef struct {
	guint64 connection;
	guint64 change; /* up to which it was told */
	gboolean own_only; /* a source itself: it hears the others, too */
} subscriber_t;

/* What a source says of itself with each message. */
typedef struct {
	const char *name;
	guint64 incarnation;
	guint64 from; /* the changes told are those behind this one */
	guint64 to;
	gboolean in_contact; /* it knows what the store says now */
} subscription_update_t;

/*
 * change_bound is the time in which a change of the store must be known here.
 * random must outlive the subscription. Free with subscription_free().
 */
subscription_t *subscription_new(GTimeSpan change_bound, GRand *random,
				 GTimeSpan now);

/* NULL is allowed. */
void subscription_free(subscription_t *subscription);

/*
 * Replaces the sources to subscribe to: begin, one call for each, end. What is
 * known of a source that is named again stays.
 */
void subscription_begin_sources(subscription_t *subscription);
void subscription_add_source(subscription_t *subscription, const char *name,
			     const char *address);
void subscription_end_sources(subscription_t *subscription);

/* The next source to renew at. FALSE when none is due. */
gboolean subscription_next_renewal(subscription_t *subscription,
				   subscription_renewal_t *renewal,
				   GTimeSpan now);

/* A source answered. A name that is not a source's is ignored. */
void subscription_update_received(subscription_t *subscription,
				  const subscription_update_t *update,
				  GTimeSpan now);

/* TRUE when a source that is in contact with the store was heard lately. */
gboolean subscription_has_live_source(const subscription_t *subscription,
				      GTimeSpan now);

/* TRUE while the sources may not be known yet. */
gboolean subscription_is_starting(const subscription_t *subscription,
				  GTimeSpan now);

/*
 * TRUE when this instance should read the store although it is no source:
 * nobody serves it. While sources say that the store is away, it tries rarely.
 */
gboolean subscription_should_read_store(const subscription_t *subscription,
					GTimeSpan now);

/* A call of this instance to the store was answered or failed. */
void subscription_record_store_call(subscription_t *subscription,
				    gboolean answered, GTimeSpan now);

/*
 * This instance has read the store up to the revision; with_changes tells that a
 * watch brought changes.
 */
void subscription_record_store_read(subscription_t *subscription,
				    guint64 revision, gboolean with_changes);

/* Revision of the last changes that a watch of this instance brought. */
guint64 subscription_watch_revision(const subscription_t *subscription);

/* Another instance has read changes up to the revision. */
void subscription_record_remote_revision(subscription_t *subscription,
					 guint64 revision, GTimeSpan now);

/*
 * TRUE when others have known changes for longer than a watch of this instance
 * may take to bring them: its connection swallowed them. The question is
 * answered once; what follows is a new list.
 */
gboolean subscription_detect_stalled_watch(subscription_t *subscription,
					   GTimeSpan now);

/*
 * At a source: a subscriber renews. first_change is where one starts that knows
 * nothing of this incarnation. Returns the subscriber, valid until the next
 * call.
 */
subscriber_t *subscription_renew_subscriber(subscription_t *subscription,
					    guint64 connection, guint64 change,
					    gboolean own_only, GTimeSpan now);

/* At a source: all subscribers are to be told at once, of whatever it is. */
void subscription_notify_all(subscription_t *subscription);

/*
 * At a source: a subscriber that is to be told or was told less than up to
 * last_change, or NULL.
 */
subscriber_t *subscription_next_to_notify(subscription_t *subscription,
					  guint64 last_change, GTimeSpan now);

/* The connection of a subscriber has closed. */
void subscription_remove_connection(subscription_t *subscription,
				    guint64 connection);

/* Number of subscribers, for the state dump. */
guint subscription_subscriber_count(const subscription_t *subscription);

#endif
