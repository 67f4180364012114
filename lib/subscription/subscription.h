/*
 * Decides whether this instance reads the metadata store itself or receives
 * changes from other instances.
 *
 * Each call to the store costs money, so the total call rate must grow more
 * slowly than the fleet. In a large fleet a few instances per data centre are
 * sources: they read the store, and the others subscribe to them. A subscriber
 * renews its subscriptions periodically. A source answers each renewal and
 * sends changes immediately. A subscriber that receives nothing from any source
 * reads the store itself.
 */
#ifndef CATK_SUBSCRIPTION_H
#define CATK_SUBSCRIPTION_H

#include "lib/common/clock.h"
#include "lib/common/intrusive.h"
#include "lib/membership/membership.h"

/*
 * Smallest fleet that has sources. In a smaller one, two sources in each of four
 * data centres would be a large part of the fleet, so every instance reads the
 * store.
 */
#define SUBSCRIPTION_FLEET_MIN 25

typedef struct subscription subscription_t;

/* Position of a subscriber in a source's sequence of changes. */
typedef struct {
	guint64 incarnation; /* of the source, 0 if nothing is known */
	guint64 change; /* last change received */
} subscription_position_t;

/* A renewal to be sent to a source. */
typedef struct {
	char name[MEMBER_NAME_MAX + 1];
	char address[MEMBER_ADDRESS_MAX + 1];
	subscription_position_t position;
} subscription_renewal_t;

/* A subscriber of this instance. */
typedef struct {
	guint64 connection;
	guint64 change; /* last change sent to it */
	/* It is a source: it gets only what this instance read from the store. */
	gboolean own_only;
	gboolean wants_all; /* it has no list of endpoints yet */
} subscriber_t;

/* State of a source, sent with each of its messages. */
typedef struct {
	const char *name;
	guint64 incarnation;
	guint64 from; /* the message contains the changes after this one */
	guint64 to; /* last change in the message */
	gboolean in_contact; /* it knows the current state of the store */
	gboolean complete; /* the message contains all endpoints */
} subscription_update_t;

/*
 * change_bound is the time within which a change of the store must be known
 * here. first_start is TRUE if all instances start now, for the first time.
 * random must outlive the subscription. Free with subscription_free().
 */
subscription_t *subscription_new(GTimeSpan change_bound, gboolean first_start,
				 GRand *random, GTimeSpan now);

/* Frees the subscription. NULL is allowed. */
void subscription_free(subscription_t *subscription);

/*
 * Replaces the list of sources to subscribe to: call begin, add for each source,
 * then end. The state of a source that is added again is kept.
 */
void subscription_begin_sources(subscription_t *subscription);
void subscription_add_source(subscription_t *subscription, const char *name,
			     const char *address);
void subscription_end_sources(subscription_t *subscription);

/* Sets renewal to the next renewal due. Returns FALSE if none is due. */
gboolean subscription_next_renewal(subscription_t *subscription,
				   subscription_renewal_t *renewal,
				   GTimeSpan now);

/* Processes a message from a source. Ignores those of other instances. */
void subscription_update_received(subscription_t *subscription,
				  const subscription_update_t *update,
				  GTimeSpan now);

/*
 * Returns TRUE if a source that is in contact with the store sent a message
 * recently.
 */
gboolean subscription_has_live_source(const subscription_t *subscription,
				      GTimeSpan now);

/*
 * Returns the time since the last message of a source that is in contact with
 * the store, CATK_NEVER without one.
 */
GTimeSpan subscription_source_age(const subscription_t *subscription,
				  GTimeSpan now);

/*
 * Returns TRUE during startup, while members may still be unknown: this instance
 * is not a source yet, because it may not be one by the complete list.
 */
gboolean subscription_is_starting(const subscription_t *subscription,
				  GTimeSpan now);

/*
 * Returns TRUE during startup, while this instance waits for the contents of the
 * store from a source before it reads them itself. has_sources is TRUE if the
 * fleet is known to be large, isolated if no other instance is known.
 */
gboolean subscription_waits_for_sources(const subscription_t *subscription,
					gboolean has_sources, gboolean isolated,
					GTimeSpan now);

/*
 * Returns TRUE if this instance should read the store although it is not a
 * source, because no source in contact with the store sends it changes. While
 * sources report that the store is unavailable, it retries at a low rate.
 */
gboolean subscription_should_read_store(const subscription_t *subscription,
					GTimeSpan now);

/* Records whether the store answered a call of this instance. */
void subscription_record_store_call(subscription_t *subscription,
				    gboolean answered, GTimeSpan now);

/*
 * Records that this instance has read the store up to revision. with_changes is
 * TRUE if a watch returned changes.
 */
void subscription_record_store_read(subscription_t *subscription,
				    guint64 revision, gboolean with_changes);

/* Returns the revision of the last changes from this instance's own watch. */
guint64 subscription_watch_revision(const subscription_t *subscription);

/* Records that another instance has read changes up to revision. */
void subscription_record_peer_revision(subscription_t *subscription,
				       guint64 revision, GTimeSpan now);

/*
 * Returns TRUE if other instances have known newer changes for longer than this
 * instance's watch may take to deliver them. Its connection has then lost them
 * silently. The state is reset: the caller must list the store again.
 */
gboolean subscription_detect_stalled_watch(subscription_t *subscription,
					   GTimeSpan now);

/*
 * On a source: adds a subscriber or renews its subscription. Changes after
 * change are to be sent to it. Returns the subscriber, valid until the next
 * call.
 */
subscriber_t *subscription_renew_subscriber(subscription_t *subscription,
					    guint64 connection, guint64 change,
					    gboolean own_only, GTimeSpan now);

/* On a source: schedules a message to all subscribers, even without changes. */
void subscription_notify_all(subscription_t *subscription);

/*
 * On a source: returns a subscriber that must be sent a message, because it was
 * scheduled or has not been sent last_change yet, or NULL. Removes expired
 * subscribers.
 */
subscriber_t *subscription_next_to_notify(subscription_t *subscription,
					  guint64 last_change, GTimeSpan now);

/* Removes the subscriber of a closed connection, if there is one. */
void subscription_remove_connection(subscription_t *subscription,
				    guint64 connection);

/* Returns the number of subscribers, for the state dump. */
guint subscription_subscriber_count(const subscription_t *subscription);

#endif
