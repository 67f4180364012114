/*
 * Endpoints in the store: read by this instance or received from the source
 * instances, and sent on to subscribers.
 */
#include "lib/entry/entry_internal.h"

#include <string.h>

/* Short compared to the time after which a source counts as silent. */
#define SOURCE_SELECTION_INTERVAL (250 * G_TIME_SPAN_MILLISECOND)
/*
 * Pause between an answer of the store with changes and the next watch. Changes
 * of endpoints that follow each other within a part of change_bound are read in
 * one call.
 */
#define ENDPOINTS_PAUSE_DIVISOR 3
/*
 * Versions of the configuration are rare, and the time that they wait here is
 * missing when they spread through the fleet.
 */
#define CONFIGURATION_PAUSE (50 * G_TIME_SPAN_MILLISECOND)
/* Time for a change of endpoints to be read and sent to the subscribers. */
#define ENDPOINTS_SPREAD_TIME (400 * G_TIME_SPAN_MILLISECOND)
/*
 * The same for a version: a reader and a subscriber each parse it, which takes
 * 0.27 s for 1,200 routes on a tenth of a core.
 */
#define CONFIGURATION_SPREAD_TIME (1 * G_TIME_SPAN_SECOND)

/*
 * The same for evacuations: each instance hears of the new set by a ping and
 * asks for it, as it does for a version of the configuration.
 */
#define EVACUATIONS_SPREAD_TIME (2 * G_TIME_SPAN_SECOND)

static void on_endpoints_changed(void *ctx, const char *service,
				 const endpoint_info_t *infos, gsize count)
{
	/* Ignored until a configuration declares the service. */
	entry_set_endpoints(ctx, service, infos, count);
}

static void on_endpoint_leaving(void *ctx, const catalogue_entry_t *endpoint,
				catalogue_state_t state, const char *source)
{
	entry_log_leaving(ctx, endpoint, state, source);
}

/* Waiting calls may have to use other endpoints, or may use these again. */
static void on_evacuations_changed(void *ctx)
{
	entry_t *entry = ctx;
	entry_service_t *service;

	TAILQ_FOREACH (service, &entry->services, link) {
		upstream_update_evacuated(service->upstream, entry_now(entry));
		entry_dispatch(entry, service);
	}
}

void entry_subscription_init(entry_t *entry)
{
	const evacuations_events_t evacuations_events = {
		.changed = on_evacuations_changed,
		.counters = entry->counters,
		.log = &entry->actions.log,
		.ctx = entry,
	};
	catalogue_events_t events = { .changed = on_endpoints_changed,
				      .leaving = on_endpoint_leaving,
				      .ctx = entry };
	feed_limits_t feed_limits = {
		.change_bound = entry->limits.change_bound,
		.reconnect_bound = entry->limits.reconnect_bound,
	};

	entry->catalogue = catalogue_new(&events);
	feed_limits.changes_pause = CONFIGURATION_PAUSE;
	feed_limits.spread_time = CONFIGURATION_SPREAD_TIME;
	entry->feeds[FEED_CONFIGURATION] =
		feed_new(&feed_limits, entry->random);
	feed_limits.spread_time = ENDPOINTS_SPREAD_TIME;
	feed_limits.changes_pause =
		entry->limits.change_bound / ENDPOINTS_PAUSE_DIVISOR;
	entry->feeds[FEED_ENDPOINTS] = feed_new(&feed_limits, entry->random);
	feed_limits.change_bound = entry->limits.evacuation_bound;
	feed_limits.spread_time = EVACUATIONS_SPREAD_TIME;
	feed_limits.changes_pause = CONFIGURATION_PAUSE;
	entry->feeds[FEED_EVACUATIONS] = feed_new(&feed_limits, entry->random);
	entry->evacuations = evacuations_new(&evacuations_events);
	entry->subscription = subscription_new(entry->limits.change_bound,
					       entry->limits.first_start,
					       entry->random, entry_now(entry));
}

void entry_subscription_free(entry_t *entry)
{
	guint i;

	for (i = 0; i < FEED_KIND_COUNT; i++)
		feed_free(entry->feeds[i]);
	subscription_free(entry->subscription);
	evacuations_free(entry->evacuations);
	catalogue_free(entry->catalogue);
}

catalogue_t *entry_catalogue(entry_t *entry)
{
	return entry->catalogue;
}

evacuations_t *entry_evacuations(entry_t *entry)
{
	return entry->evacuations;
}

feed_t *entry_feed(entry_t *entry, feed_kind_t kind)
{
	return entry->feeds[kind];
}

GTimeSpan entry_known_age(const entry_t *entry, feed_kind_t kind)
{
	GTimeSpan now = entry_now(entry);
	GTimeSpan age = feed_status(entry->feeds[kind], now).known_age;

	if (kind == FEED_ENDPOINTS)
		age = MIN(age,
			  subscription_source_age(entry->subscription, now));
	return age;
}

static gboolean has_sources(const entry_t *entry)
{
	return entry->fleet.highest >= SUBSCRIPTION_FLEET_MIN;
}

static gboolean is_source(const entry_t *entry)
{
	return has_sources(entry) && entry->is_watcher &&
	       !subscription_is_starting(entry->subscription, entry_now(entry));
}

static gboolean waits_for_sources(const entry_t *entry)
{
	return subscription_waits_for_sources(entry->subscription,
					      has_sources(entry),
					      entry->fleet.highest <= 1,
					      entry_now(entry));
}

gboolean entry_should_read_store(const entry_t *entry)
{
	if (is_source(entry))
		return TRUE;
	/*
	 * One that has read the list already, when it knew few others, keeps
	 * its watch until a source serves it: a new list would cost more.
	 */
	if (waits_for_sources(entry) &&
	    !catalogue_is_complete(entry->catalogue))
		return FALSE;
	return !has_sources(entry) ||
	       subscription_should_read_store(entry->subscription,
					      entry_now(entry));
}

/*
 * Evacuations are rare and known late in their bound, so only sources read them.
 * Other instances are told by messages.
 */
static gboolean should_read_evacuations(const entry_t *entry)
{
	if (!entry->limits.evacuation_bound)
		return FALSE;
	return has_sources(entry) ?
		       is_source(entry) :
		       !subscription_is_starting(entry->subscription,
						 entry_now(entry));
}

/* Whether this instance has what a first list of the store would tell it. */
static gboolean has_contents(const entry_t *entry, feed_kind_t kind)
{
	if (kind == FEED_CONFIGURATION)
		return config_version(entry->config) > 0;
	return catalogue_is_complete(entry->catalogue);
}

/*
 * An instance that has got no contents from a source in time reads the first
 * list itself. After a pause the list is read again.
 */
feed_step_t entry_next_store_call(entry_t *entry, feed_kind_t kind)
{
	feed_t *feed = entry->feeds[kind];
	feed_step_t wait = { .kind = FEED_WAIT, .until = CATK_NEVER };

	if (kind == FEED_EVACUATIONS) {
		if (!should_read_evacuations(entry)) {
			entry->feed_paused[kind] = TRUE;
			return wait;
		}
	} else if (!has_contents(entry, kind)) {
		if (waits_for_sources(entry) && !is_source(entry))
			return wait;
	} else if (!entry_should_read_store(entry)) {
		entry->feed_paused[kind] = TRUE;
		return wait;
	}
	if (entry->feed_paused[kind])
		feed_restart(feed);
	entry->feed_paused[kind] = FALSE;
	return feed_next(feed, entry_now(entry));
}

void entry_store_call_sent(entry_t *entry, feed_kind_t kind,
			   const feed_step_t *step)
{
	feed_call_sent(entry->feeds[kind], step, entry_now(entry));
	entry_log_store_call_sent(entry, kind, step);
}

static void record_contact(entry_t *entry, feed_kind_t kind)
{
	const feed_t *feed = entry->feeds[kind];

	if (!feed_status(feed, entry_now(entry)).failures)
		return;
	g_message("the metadata store is reachable again");
	if (kind == FEED_ENDPOINTS)
		catalogue_contact_regained(entry->catalogue,
					   feed_change_due(feed),
					   entry_now(entry));
}

static void record_failure(entry_t *entry, feed_kind_t kind,
			   const entry_store_call_t *call)
{
	feed_t *feed = entry->feeds[kind];

	if (!feed_status(feed, entry_now(entry)).failures)
		g_warning("request to the metadata store failed (HTTP status "
			  "%u): the last known state stays in use",
			  call->http_status);
	feed_failed(feed, call->outcome, entry_now(entry));
	if (kind == FEED_ENDPOINTS)
		catalogue_contact_lost(entry->catalogue);
}

void entry_store_call_ended(entry_t *entry, feed_kind_t kind,
			    const entry_store_call_t *call)
{
	gboolean answered = call->outcome == FEED_ANSWERED ||
			    call->outcome == FEED_HISTORY_LOST;

	entry_log_store_call_ended(entry, kind, call);
	entry->has_called_store = TRUE;
	/* An answer about the configuration says nothing about endpoints. */
	if (kind == FEED_ENDPOINTS)
		entry->endpoints_call_answered = answered;
	subscription_record_store_call(entry->subscription, answered,
				       entry_now(entry));
	if (answered)
		record_contact(entry, kind);
	else
		record_failure(entry, kind, call);
	if (call->outcome == FEED_HISTORY_LOST)
		feed_history_lost(entry->feeds[kind]);
}

void entry_record_store_revision(entry_t *entry, guint64 revision,
				 gboolean with_changes)
{
	subscription_record_store_read(entry->subscription, revision,
				       with_changes);
}

gboolean entry_store_watch_is_behind(entry_t *entry)
{
	gboolean behind = subscription_detect_stalled_watch(entry->subscription,
							    entry_now(entry));

	if (behind)
		LOG_EVENT(&entry->actions.log, "store_watch_behind",
			  LOG_NUMBER("read_revision",
				     (gint64)subscription_watch_revision(
					     entry->subscription)));
	return behind;
}

static void add_sources(entry_t *entry, const entry_watchers_t *watchers)
{
	const member_t *self = membership_self(entry->membership);
	guint i;

	for (i = 0; i < ENTRY_CONFIG_WATCHERS; i++) {
		const member_t *member = watchers->members[i];

		if (member == self)
			entry->is_watcher = TRUE;
		else if (member && has_sources(entry))
			subscription_add_source(entry->subscription,
						member->name,
						member->peer_address);
	}
}

/*
 * A source subscribes to all other sources, any other instance to those of its
 * data centre.
 */
static void select_sources(entry_t *entry)
{
	const member_t *self = membership_self(entry->membership);
	gboolean all_data_centres = is_source(entry);
	GArray *watchers = entry_find_watchers(entry);
	guint i;

	entry->is_watcher = FALSE;
	subscription_begin_sources(entry->subscription);
	for (i = 0; i < watchers->len; i++) {
		const entry_watchers_t *found =
			&g_array_index(watchers, entry_watchers_t, i);

		if (all_data_centres ||
		    strcmp(found->data_centre, self->data_centre) == 0)
			add_sources(entry, found);
	}
	subscription_end_sources(entry->subscription);
	g_array_unref(watchers);
}

static void renew_subscriptions(entry_t *entry)
{
	peer_message_t message = { .kind = PEER_SUBSCRIBE };
	subscription_renewal_t renewal;

	message.u.subscribe.own_only = is_source(entry);
	/* A source reads the list itself: it subscribes to all data centres. */
	message.u.subscribe.want_all = !is_source(entry) &&
				       !catalogue_is_complete(entry->catalogue);
	while (subscription_next_renewal(entry->subscription, &renewal,
					 entry_now(entry))) {
		message.u.subscribe.position = renewal.position;
		entry_send_to_peer(entry, renewal.address, &message);
	}
}

static void send_changes(entry_t *entry, subscriber_t *subscriber)
{
	const member_t *self = membership_self(entry->membership);
	GTimeSpan now = entry_now(entry);
	gboolean all = subscriber->wants_all &&
		       catalogue_is_complete(entry->catalogue);
	GArray *changes = all ? catalogue_all(entry->catalogue, now) :
				catalogue_changes_since(entry->catalogue,
							subscriber->change,
							subscriber->own_only,
							now);
	peer_message_t message = { .kind = PEER_ENDPOINTS };
	peer_endpoints_t *endpoints = &message.u.endpoints;

	endpoints->update.name = self->name;
	endpoints->update.incarnation = self->incarnation;
	endpoints->update.from = subscriber->change;
	endpoints->update.to = catalogue_last_change(entry->catalogue);
	/*
	 * Between sources, only own contact with the store counts. Otherwise
	 * two sources without it could each report the contact of the other.
	 */
	endpoints->update.in_contact =
		entry->endpoints_call_answered ||
		(!subscriber->own_only &&
		 subscription_has_live_source(entry->subscription, now));
	endpoints->update.complete = all;
	endpoints->changes = (const catalogue_change_t *)changes->data;
	endpoints->count = changes->len;
	subscriber->change = endpoints->update.to;
	subscriber->wants_all &= !all;
	entry_reply_to_peer(entry, subscriber->connection, &message);
	g_array_unref(changes);
}

static void send_pending_changes(entry_t *entry)
{
	subscriber_t *subscriber;

	while ((subscriber = subscription_next_to_notify(
			entry->subscription,
			catalogue_last_change(entry->catalogue),
			entry_now(entry))))
		send_changes(entry, subscriber);
}

void entry_endpoints_changed(entry_t *entry)
{
	catalogue_tick(entry->catalogue, entry_now(entry));
	send_pending_changes(entry);
}

void entry_receive_subscribe(entry_t *entry, guint64 connection,
			     const peer_subscribe_t *subscribe)
{
	const subscription_position_t *position = &subscribe->position;
	guint64 incarnation = membership_self(entry->membership)->incarnation;
	GTimeSpan now = entry_now(entry);
	guint64 change = position->change;
	subscriber_t *subscriber;

	if (!entry->is_watcher ||
	    subscription_is_starting(entry->subscription, now))
		return;
	if (position->incarnation != incarnation)
		change = catalogue_history_start(entry->catalogue, now);
	subscriber = subscription_renew_subscriber(entry->subscription,
						   connection, change,
						   subscribe->own_only, now);
	subscriber->wants_all = subscribe->want_all;
	send_changes(entry, subscriber);
}

void entry_receive_endpoints(entry_t *entry, const peer_endpoints_t *endpoints)
{
	GTimeSpan now = entry_now(entry);
	guint i;

	for (i = 0; i < endpoints->count; i++)
		catalogue_merge(entry->catalogue, &endpoints->changes[i],
				endpoints->update.name, now);
	subscription_update_received(entry->subscription, &endpoints->update,
				     now);
	if (endpoints->update.complete && endpoints->update.in_contact)
		catalogue_list_received(entry->catalogue);
	if (!is_source(entry) &&
	    subscription_has_live_source(entry->subscription, now))
		catalogue_contact_via_peers(entry->catalogue);
	entry_endpoints_changed(entry);
}

/*
 * Logs whether this instance reads the store, and why: it explains outdated
 * endpoints.
 */
static void log_store_reading(entry_t *entry)
{
	GTimeSpan now = entry_now(entry);
	gboolean reads = entry_should_read_store(entry);

	if (reads == entry->logged_reads_store || !entry->has_called_store)
		return;
	entry->logged_reads_store = reads;
	LOG_EVENT(&entry->actions.log, "store_reading",
		  LOG_NUMBER("reads", reads),
		  LOG_NUMBER("is_source", is_source(entry)),
		  LOG_NUMBER("served_by_source",
			     subscription_has_live_source(entry->subscription,
							  now)),
		  LOG_NUMBER("store_answers", entry->endpoints_call_answered),
		  LOG_NUMBER("fleet", entry->fleet.highest));
}

void entry_subscription_tick(entry_t *entry)
{
	GTimeSpan now = entry_now(entry);

	if (now >= entry->next_source_selection) {
		/* A starting instance cannot wait for its sources. */
		if (!waits_for_sources(entry))
			entry->next_source_selection =
				now + SOURCE_SELECTION_INTERVAL;
		select_sources(entry);
	}
	renew_subscriptions(entry);
	log_store_reading(entry);
	entry_endpoints_changed(entry);
}
