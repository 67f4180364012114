#include "lib/catalogue/catalogue.h"

#include <string.h>

#include "lib/common/store_position.h"

typedef struct service {
	TAILQ_ENTRY(service) link;
	char name[SCHEMA_NAME_MAX + 1];
	gboolean changed;
	guint count; /* of endpoints */
	TAILQ_HEAD(service_endpoint_list, known_endpoint) endpoints;
} service_t;

/* The last change of an endpoint. */
typedef struct {
	guint64 number; /* 0 for entries of the first list */
	GTimeSpan at;
	gboolean own; /* read from the store, not sent by another instance */
} change_stamp_t;

typedef struct known_endpoint {
	TAILQ_ENTRY(known_endpoint) link;
	TAILQ_ENTRY(known_endpoint) service_link;
	service_t *service; /* NULL until the entry is set */
	catalogue_entry_t entry;
	GTimeSpan warmup_until;
	gboolean listed; /* seen in the list being read */
	GTimeSpan remove_at; /* instant, 0: not doubtful */
	change_stamp_t stamp;
} known_endpoint_t;

/* A removed endpoint. */
typedef struct removal {
	TAILQ_ENTRY(removal) link;
	catalogue_entry_t entry; /* last known, with a higher revision */
	change_stamp_t stamp;
} removal_t;

struct catalogue {
	catalogue_events_t events;
	gboolean contact_lost; /* neither store nor peers send changes */
	GTimeSpan delay_removals_until; /* instant */
	gboolean first_list_read;
	guint64 last_change;
	GHashTable *by_id; /* id -> known_endpoint_t */
	TAILQ_HEAD(endpoint_list, known_endpoint) endpoints;
	TAILQ_HEAD(removal_list, removal) removals; /* oldest first */
	TAILQ_HEAD(service_list, service) services;
	GHashTable *services_by_name; /* name -> service_t */
};

catalogue_t *catalogue_new(const catalogue_events_t *events)
{
	catalogue_t *catalogue = g_new0(catalogue_t, 1);

	catalogue->events = *events;
	catalogue->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&catalogue->endpoints);
	TAILQ_INIT(&catalogue->removals);
	TAILQ_INIT(&catalogue->services);
	catalogue->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return catalogue;
}

static void report_leaving(const catalogue_t *catalogue,
			   const catalogue_entry_t *entry,
			   catalogue_state_t state, const char *source)
{
	if (catalogue->events.leaving)
		catalogue->events.leaving(catalogue->events.ctx, entry, state,
					  source);
}

/* source is NULL for a change that was read from the store. */
static change_stamp_t next_stamp(catalogue_t *catalogue, const char *source,
				 GTimeSpan now)
{
	change_stamp_t stamp = { .at = now, .own = !source };

	if (catalogue->first_list_read)
		stamp.number = ++catalogue->last_change;
	return stamp;
}

static service_t *get_service(catalogue_t *catalogue, const char *name)
{
	service_t *service =
		g_hash_table_lookup(catalogue->services_by_name, name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	TAILQ_INIT(&service->endpoints);
	TAILQ_INSERT_TAIL(&catalogue->services, service, link);
	g_hash_table_insert(catalogue->services_by_name, service->name,
			    service);
	return service;
}

/* Adds the endpoint to the service in place of its former one; both change. */
static void set_service(known_endpoint_t *endpoint, service_t *service)
{
	service_t *former = endpoint->service;

	if (former)
		former->changed = TRUE;
	if (service)
		service->changed = TRUE;
	if (former == service)
		return;
	if (former) {
		TAILQ_REMOVE(&former->endpoints, endpoint, service_link);
		former->count--;
	}
	endpoint->service = service;
	if (!service)
		return;
	TAILQ_INSERT_TAIL(&service->endpoints, endpoint, service_link);
	service->count++;
}

static void endpoint_free(catalogue_t *catalogue, known_endpoint_t *endpoint)
{
	set_service(endpoint, NULL);
	g_hash_table_remove(catalogue->by_id, endpoint->entry.info.id);
	TAILQ_REMOVE(&catalogue->endpoints, endpoint, link);
	g_free(endpoint);
}

static void removal_free(catalogue_t *catalogue, removal_t *removal)
{
	TAILQ_REMOVE(&catalogue->removals, removal, link);
	g_free(removal);
}

static removal_t *find_removal(const catalogue_t *catalogue, const char *id)
{
	removal_t *removal;

	TAILQ_FOREACH (removal, &catalogue->removals, link)
		if (strcmp(removal->entry.info.id, id) == 0)
			return removal;
	return NULL;
}

/* Removes the endpoint and records the removal. */
static void remove_endpoint(catalogue_t *catalogue, known_endpoint_t *endpoint,
			    const char *source, GTimeSpan now)
{
	removal_t *removal = find_removal(catalogue, endpoint->entry.info.id);

	if (removal)
		removal_free(catalogue, removal);
	removal = g_new0(removal_t, 1);
	removal->entry = endpoint->entry;
	removal->entry.revision++;
	removal->stamp = next_stamp(catalogue, source, now);
	TAILQ_INSERT_TAIL(&catalogue->removals, removal, link);
	endpoint_free(catalogue, endpoint);
	report_leaving(catalogue, &removal->entry, CATALOGUE_REMOVED, source);
}

void catalogue_free(catalogue_t *catalogue)
{
	service_t *service, *next;

	if (!catalogue)
		return;
	while (!TAILQ_EMPTY(&catalogue->endpoints))
		endpoint_free(catalogue, TAILQ_FIRST(&catalogue->endpoints));
	while (!TAILQ_EMPTY(&catalogue->removals))
		removal_free(catalogue, TAILQ_FIRST(&catalogue->removals));
	TAILQ_FOREACH_SAFE (service, &catalogue->services, link, next)
		g_free(service);
	g_hash_table_destroy(catalogue->services_by_name);
	g_hash_table_destroy(catalogue->by_id);
	g_free(catalogue);
}

static gboolean is_older(const catalogue_entry_t *entry,
			 const catalogue_entry_t *known)
{
	if (entry->start_time != known->start_time)
		return entry->start_time < known->start_time;
	return entry->sequence < known->sequence;
}

static known_endpoint_t *add_endpoint(catalogue_t *catalogue, const char *id)
{
	known_endpoint_t *endpoint = g_new0(known_endpoint_t, 1);

	g_strlcpy(endpoint->entry.info.id, id, sizeof(endpoint->entry.info.id));
	TAILQ_INSERT_TAIL(&catalogue->endpoints, endpoint, link);
	g_hash_table_insert(catalogue->by_id, endpoint->entry.info.id,
			    endpoint);
	return endpoint;
}

static void put_entry(catalogue_t *catalogue, const catalogue_entry_t *entry,
		      const char *source, GTimeSpan now)
{
	known_endpoint_t *endpoint =
		g_hash_table_lookup(catalogue->by_id, entry->info.id);
	removal_t *removal = find_removal(catalogue, entry->info.id);
	gboolean same = endpoint && !endpoint->remove_at &&
			endpoint->entry.revision == entry->revision;
	gboolean was_leaving = endpoint && endpoint->entry.info.leaving;

	if (removal)
		removal_free(catalogue, removal);
	if (!endpoint)
		endpoint = add_endpoint(catalogue, entry->info.id);
	set_service(endpoint, get_service(catalogue, entry->service));
	if (!same)
		endpoint->stamp = next_stamp(catalogue, source, now);
	endpoint->entry = *entry;
	endpoint->remove_at = 0;
	endpoint->warmup_until = now + entry->info.warmup_remaining;
	if (entry->info.leaving && !was_leaving)
		report_leaving(catalogue, entry, CATALOGUE_PRESENT, source);
}

/*
 * TRUE for an entry that an older copy of the store has brought back: its
 * endpoint had left before and has not registered again since.
 */
static gboolean is_restored(const catalogue_t *catalogue,
			    const catalogue_entry_t *entry)
{
	const removal_t *removal = find_removal(catalogue, entry->info.id);

	return removal &&
	       store_position_era(entry->revision) >
		       store_position_era(removal->entry.revision) &&
	       (entry->start_time < removal->entry.start_time ||
		(entry->start_time == removal->entry.start_time &&
		 entry->sequence <= removal->entry.sequence));
}

void catalogue_put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		   GTimeSpan now)
{
	known_endpoint_t *endpoint =
		g_hash_table_lookup(catalogue->by_id, entry->info.id);

	if (is_restored(catalogue, entry))
		return;
	if (!endpoint || !is_older(entry, &endpoint->entry))
		put_entry(catalogue, entry, NULL, now);
	endpoint = g_hash_table_lookup(catalogue->by_id, entry->info.id);
	endpoint->listed = TRUE;
}

static void mark_doubtful(catalogue_t *catalogue, known_endpoint_t *endpoint,
			  GTimeSpan until, const char *source, GTimeSpan now)
{
	if (endpoint->remove_at)
		return;
	endpoint->remove_at = until;
	endpoint->stamp = next_stamp(catalogue, source, now);
	endpoint->service->changed = TRUE;
	report_leaving(catalogue, &endpoint->entry, CATALOGUE_DOUBTFUL, source);
}

/*
 * Removes the endpoint, or marks it as doubtful while its entry may have
 * expired in an outage of the store.
 */
static void remove_or_doubt_endpoint(catalogue_t *catalogue,
				     known_endpoint_t *endpoint, GTimeSpan now)
{
	if (now < catalogue->delay_removals_until)
		mark_doubtful(catalogue, endpoint,
			      catalogue->delay_removals_until, NULL, now);
	else
		remove_endpoint(catalogue, endpoint, NULL, now);
}

void catalogue_remove(catalogue_t *catalogue, const char *id, GTimeSpan now)
{
	known_endpoint_t *endpoint = g_hash_table_lookup(catalogue->by_id, id);

	if (endpoint)
		remove_or_doubt_endpoint(catalogue, endpoint, now);
}

void catalogue_begin_list(catalogue_t *catalogue)
{
	known_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &catalogue->endpoints, link)
		endpoint->listed = FALSE;
}

void catalogue_end_list(catalogue_t *catalogue, guint64 list_revision,
			GTimeSpan now)
{
	known_endpoint_t *endpoint, *next;

	TAILQ_FOREACH_SAFE (endpoint, &catalogue->endpoints, link, next)
		if (!endpoint->listed &&
		    endpoint->entry.revision <= list_revision)
			remove_or_doubt_endpoint(catalogue, endpoint, now);
	catalogue->first_list_read = TRUE;
}

void catalogue_list_received(catalogue_t *catalogue)
{
	catalogue->first_list_read = TRUE;
}

gboolean catalogue_is_complete(const catalogue_t *catalogue)
{
	return catalogue->first_list_read;
}

void catalogue_contact_lost(catalogue_t *catalogue)
{
	catalogue->contact_lost = TRUE;
}

void catalogue_contact_regained(catalogue_t *catalogue, GTimeSpan removals_due,
				GTimeSpan now)
{
	if (!catalogue->contact_lost)
		return;
	catalogue->contact_lost = FALSE;
	catalogue->delay_removals_until =
		MIN(now + CATALOGUE_REREGISTRATION_TIME, removals_due);
}

void catalogue_contact_via_peers(catalogue_t *catalogue)
{
	catalogue->contact_lost = FALSE;
}

static gboolean merge_present(catalogue_t *catalogue,
			      const catalogue_entry_t *entry,
			      const char *source, GTimeSpan now)
{
	const known_endpoint_t *endpoint =
		g_hash_table_lookup(catalogue->by_id, entry->info.id);
	const removal_t *removal = find_removal(catalogue, entry->info.id);

	if ((endpoint && entry->revision <= endpoint->entry.revision) ||
	    (removal && entry->revision < removal->entry.revision))
		return FALSE;
	put_entry(catalogue, entry, source, now);
	return TRUE;
}

gboolean catalogue_merge(catalogue_t *catalogue,
			 const catalogue_change_t *change, const char *source,
			 GTimeSpan now)
{
	const catalogue_entry_t *entry = &change->entry;
	known_endpoint_t *endpoint;

	if (change->state == CATALOGUE_PRESENT)
		return merge_present(catalogue, entry, source, now);
	endpoint = g_hash_table_lookup(catalogue->by_id, entry->info.id);
	if (!endpoint || entry->revision < endpoint->entry.revision)
		return FALSE;
	if (change->state == CATALOGUE_REMOVED) {
		remove_endpoint(catalogue, endpoint, source, now);
		return TRUE;
	}
	if (endpoint->remove_at)
		return FALSE;
	mark_doubtful(catalogue, endpoint, now + CATALOGUE_REREGISTRATION_TIME,
		      source, now);
	return TRUE;
}

guint64 catalogue_last_change(const catalogue_t *catalogue)
{
	return catalogue->last_change;
}

static void update_newest_old(const change_stamp_t *stamp, GTimeSpan now,
			      guint64 *newest_old)
{
	if (now - stamp->at > CATALOGUE_HISTORY_TIME)
		*newest_old = MAX(*newest_old, stamp->number);
}

guint64 catalogue_history_start(const catalogue_t *catalogue, GTimeSpan now)
{
	const removal_t *removal;
	const known_endpoint_t *endpoint;
	guint64 newest = 0;

	TAILQ_FOREACH (endpoint, &catalogue->endpoints, link)
		update_newest_old(&endpoint->stamp, now, &newest);
	TAILQ_FOREACH (removal, &catalogue->removals, link)
		update_newest_old(&removal->stamp, now, &newest);
	return newest;
}

static gboolean is_selected(const change_stamp_t *stamp, guint64 since,
			    gboolean own_only)
{
	return stamp->number > since && (stamp->own || !own_only);
}

static void append_endpoint(GArray *changes, const known_endpoint_t *endpoint,
			    GTimeSpan now)
{
	catalogue_change_t change = {
		.state = endpoint->remove_at ? CATALOGUE_DOUBTFUL :
					       CATALOGUE_PRESENT,
		.entry = endpoint->entry,
	};

	change.entry.info.warmup_remaining =
		MAX(endpoint->warmup_until - now, 0);
	g_array_append_val(changes, change);
}

GArray *catalogue_all(const catalogue_t *catalogue, GTimeSpan now)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(catalogue_change_t));
	const known_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &catalogue->endpoints, link)
		append_endpoint(all, endpoint, now);
	return all;
}

GArray *catalogue_changes_since(const catalogue_t *catalogue, guint64 number,
				gboolean own_only, GTimeSpan now)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(catalogue_change_t));
	catalogue_change_t change;
	const removal_t *removal;
	const known_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &catalogue->endpoints, link)
		if (is_selected(&endpoint->stamp, number, own_only))
			append_endpoint(changes, endpoint, now);
	TAILQ_FOREACH (removal, &catalogue->removals, link) {
		if (!is_selected(&removal->stamp, number, own_only))
			continue;
		change.state = CATALOGUE_REMOVED;
		change.entry = removal->entry;
		g_array_append_val(changes, change);
	}
	return changes;
}

static void purge_old_removals(catalogue_t *catalogue, GTimeSpan now)
{
	removal_t *removal = TAILQ_FIRST(&catalogue->removals);

	while (removal &&
	       now - removal->stamp.at > CATALOGUE_REMOVAL_RETENTION) {
		removal_free(catalogue, removal);
		removal = TAILQ_FIRST(&catalogue->removals);
	}
}

static void report_service(catalogue_t *catalogue, const service_t *service,
			   GTimeSpan now)
{
	endpoint_info_t *infos = g_new0(endpoint_info_t, service->count);
	const known_endpoint_t *endpoint;
	gsize count = 0;

	TAILQ_FOREACH (endpoint, &service->endpoints, service_link) {
		infos[count] = endpoint->entry.info;
		infos[count].start_time = endpoint->entry.start_time;
		infos[count].doubtful = endpoint->remove_at != 0;
		infos[count].warmup_remaining =
			MAX(endpoint->warmup_until - now, 0);
		count++;
	}
	catalogue->events.changed(catalogue->events.ctx, service->name, infos,
				  count);
	g_free(infos);
}

void catalogue_tick(catalogue_t *catalogue, GTimeSpan now)
{
	service_t *service;
	known_endpoint_t *endpoint, *next;

	TAILQ_FOREACH_SAFE (endpoint, &catalogue->endpoints, link, next)
		if (endpoint->remove_at && now >= endpoint->remove_at)
			remove_endpoint(catalogue, endpoint, NULL, now);
	purge_old_removals(catalogue, now);
	TAILQ_FOREACH (service, &catalogue->services, link)
		if (service->changed) {
			service->changed = FALSE;
			report_service(catalogue, service, now);
		}
}

void catalogue_report(catalogue_t *catalogue, const char *name)
{
	service_t *service =
		g_hash_table_lookup(catalogue->services_by_name, name);

	if (service)
		service->changed = TRUE;
}

GTimeSpan catalogue_next_wakeup(const catalogue_t *catalogue)
{
	GTimeSpan earliest = CATK_NEVER;
	const known_endpoint_t *endpoint;

	TAILQ_FOREACH (endpoint, &catalogue->endpoints, link)
		if (endpoint->remove_at)
			earliest = MIN(earliest, endpoint->remove_at);
	return earliest;
}
