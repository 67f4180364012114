#include "lib/catalogue/catalogue.h"

#include <string.h>

/* The last change of an endpoint. */
typedef struct {
	guint64 number; /* 0 for what the first list named */
	GTimeSpan at;
	gboolean own; /* learnt from the store, not from another instance */
} change_t;

typedef struct item {
	TAILQ_ENTRY(item) link;
	catalogue_entry_t entry;
	GTimeSpan cold_until;
	gboolean named; /* in the list being read */
	GTimeSpan removal; /* instant, 0 for none */
	change_t change;
} item_t;

/* An endpoint that was removed. */
typedef struct removal {
	TAILQ_ENTRY(removal) link;
	catalogue_entry_t entry; /* the last one, with a revision above it */
	change_t change;
} removal_t;

typedef struct service {
	TAILQ_ENTRY(service) link;
	char name[SCHEMA_NAME_MAX + 1];
	gboolean changed;
} service_t;

struct catalogue {
	catalogue_changed_fn_t changed;
	void *ctx;
	gboolean away; /* the store does not answer */
	GTimeSpan hold_until; /* removals wait until then */
	gboolean listed; /* a first list was read */
	guint64 last_change;
	guint count;
	GHashTable *by_id; /* id -> item_t */
	TAILQ_HEAD(item_list, item) items;
	TAILQ_HEAD(removal_list, removal) removals; /* oldest first */
	TAILQ_HEAD(service_list, service) services;
};

catalogue_t *catalogue_new(catalogue_changed_fn_t changed, void *ctx)
{
	catalogue_t *catalogue = g_new0(catalogue_t, 1);

	catalogue->changed = changed;
	catalogue->ctx = ctx;
	catalogue->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&catalogue->items);
	TAILQ_INIT(&catalogue->removals);
	TAILQ_INIT(&catalogue->services);
	return catalogue;
}

static change_t next_change(catalogue_t *catalogue, gboolean own, GTimeSpan now)
{
	change_t change = { .at = now, .own = own };

	if (catalogue->listed)
		change.number = ++catalogue->last_change;
	return change;
}

static void mark_changed(catalogue_t *catalogue, const char *name)
{
	service_t *service;

	TAILQ_FOREACH (service, &catalogue->services, link)
		if (strcmp(service->name, name) == 0) {
			service->changed = TRUE;
			return;
		}
	service = g_new0(service_t, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	service->changed = TRUE;
	TAILQ_INSERT_TAIL(&catalogue->services, service, link);
}

static void item_free(catalogue_t *catalogue, item_t *item)
{
	mark_changed(catalogue, item->entry.service);
	g_hash_table_remove(catalogue->by_id, item->entry.info.id);
	TAILQ_REMOVE(&catalogue->items, item, link);
	catalogue->count--;
	g_free(item);
}

static void forget_removal(catalogue_t *catalogue, removal_t *removal)
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

/* Removes the endpoint and remembers that. */
static void drop_item(catalogue_t *catalogue, item_t *item, gboolean own,
		      GTimeSpan now)
{
	removal_t *removal = find_removal(catalogue, item->entry.info.id);

	if (removal)
		forget_removal(catalogue, removal);
	removal = g_new0(removal_t, 1);
	removal->entry = item->entry;
	removal->entry.revision++;
	removal->change = next_change(catalogue, own, now);
	TAILQ_INSERT_TAIL(&catalogue->removals, removal, link);
	item_free(catalogue, item);
}

void catalogue_free(catalogue_t *catalogue)
{
	service_t *service, *next;

	if (!catalogue)
		return;
	while (!TAILQ_EMPTY(&catalogue->items))
		item_free(catalogue, TAILQ_FIRST(&catalogue->items));
	while (!TAILQ_EMPTY(&catalogue->removals))
		forget_removal(catalogue, TAILQ_FIRST(&catalogue->removals));
	TAILQ_FOREACH_SAFE (service, &catalogue->services, link, next)
		g_free(service);
	g_hash_table_destroy(catalogue->by_id);
	g_free(catalogue);
}

static gboolean is_older(const catalogue_entry_t *entry,
			 const catalogue_entry_t *known)
{
	if (entry->born != known->born)
		return entry->born < known->born;
	return entry->sequence < known->sequence;
}

static item_t *add_item(catalogue_t *catalogue, const char *id)
{
	item_t *item = g_new0(item_t, 1);

	g_strlcpy(item->entry.info.id, id, sizeof(item->entry.info.id));
	TAILQ_INSERT_TAIL(&catalogue->items, item, link);
	g_hash_table_insert(catalogue->by_id, item->entry.info.id, item);
	catalogue->count++;
	return item;
}

static void put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		gboolean own, GTimeSpan now)
{
	item_t *item = g_hash_table_lookup(catalogue->by_id, entry->info.id);
	removal_t *removal = find_removal(catalogue, entry->info.id);
	gboolean same = item && !item->removal &&
			item->entry.revision == entry->revision;

	if (removal)
		forget_removal(catalogue, removal);
	if (item)
		mark_changed(catalogue, item->entry.service);
	else
		item = add_item(catalogue, entry->info.id);
	mark_changed(catalogue, entry->service);
	if (!same)
		item->change = next_change(catalogue, own, now);
	item->entry = *entry;
	item->removal = 0;
	item->cold_until = now + entry->info.warmup_remaining;
}

void catalogue_put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		   GTimeSpan now)
{
	item_t *item = g_hash_table_lookup(catalogue->by_id, entry->info.id);

	if (!item || !is_older(entry, &item->entry))
		put(catalogue, entry, TRUE, now);
	item = g_hash_table_lookup(catalogue->by_id, entry->info.id);
	item->named = TRUE;
}

static void doubt_item(catalogue_t *catalogue, item_t *item, GTimeSpan until,
		       gboolean own, GTimeSpan now)
{
	if (item->removal)
		return;
	item->removal = until;
	item->change = next_change(catalogue, own, now);
	mark_changed(catalogue, item->entry.service);
}

/* At once, unless the entry may only have lapsed while the store was away. */
static void remove_item(catalogue_t *catalogue, item_t *item, GTimeSpan now)
{
	if (now < catalogue->hold_until)
		doubt_item(catalogue, item, catalogue->hold_until, TRUE, now);
	else
		drop_item(catalogue, item, TRUE, now);
}

void catalogue_remove(catalogue_t *catalogue, const char *id, GTimeSpan now)
{
	item_t *item = g_hash_table_lookup(catalogue->by_id, id);

	if (item)
		remove_item(catalogue, item, now);
}

void catalogue_begin_list(catalogue_t *catalogue)
{
	item_t *item;

	TAILQ_FOREACH (item, &catalogue->items, link)
		item->named = FALSE;
}

void catalogue_end_list(catalogue_t *catalogue, guint64 as_of, GTimeSpan now)
{
	item_t *item, *next;

	TAILQ_FOREACH_SAFE (item, &catalogue->items, link, next)
		if (!item->named && item->entry.revision <= as_of)
			remove_item(catalogue, item, now);
	catalogue->listed = TRUE;
}

void catalogue_contact_lost(catalogue_t *catalogue)
{
	catalogue->away = TRUE;
}

void catalogue_contact_regained(catalogue_t *catalogue, GTimeSpan now)
{
	if (!catalogue->away)
		return;
	catalogue->away = FALSE;
	catalogue->hold_until = now + CATALOGUE_RETURN_TIME;
}

void catalogue_contact_by_others(catalogue_t *catalogue)
{
	catalogue->away = FALSE;
}

static gboolean merge_present(catalogue_t *catalogue,
			      const catalogue_entry_t *entry, GTimeSpan now)
{
	const item_t *item =
		g_hash_table_lookup(catalogue->by_id, entry->info.id);
	const removal_t *removal = find_removal(catalogue, entry->info.id);

	if ((item && entry->revision <= item->entry.revision) ||
	    (removal && entry->revision < removal->entry.revision))
		return FALSE;
	put(catalogue, entry, FALSE, now);
	return TRUE;
}

gboolean catalogue_merge(catalogue_t *catalogue,
			 const catalogue_statement_t *statement, GTimeSpan now)
{
	const catalogue_entry_t *entry = &statement->entry;
	item_t *item;

	if (statement->state == CATALOGUE_PRESENT)
		return merge_present(catalogue, entry, now);
	item = g_hash_table_lookup(catalogue->by_id, entry->info.id);
	if (!item || entry->revision < item->entry.revision)
		return FALSE;
	if (statement->state == CATALOGUE_REMOVED) {
		drop_item(catalogue, item, FALSE, now);
		return TRUE;
	}
	if (item->removal)
		return FALSE;
	doubt_item(catalogue, item, now + CATALOGUE_RETURN_TIME, FALSE, now);
	return TRUE;
}

guint64 catalogue_last_change(const catalogue_t *catalogue)
{
	return catalogue->last_change;
}

static void note_old_change(const change_t *change, GTimeSpan now,
			    guint64 *newest_old)
{
	if (now - change->at > CATALOGUE_RECENT)
		*newest_old = MAX(*newest_old, change->number);
}

guint64 catalogue_recent_from(const catalogue_t *catalogue, GTimeSpan now)
{
	const removal_t *removal;
	const item_t *item;
	guint64 change = 0;

	TAILQ_FOREACH (item, &catalogue->items, link)
		note_old_change(&item->change, now, &change);
	TAILQ_FOREACH (removal, &catalogue->removals, link)
		note_old_change(&removal->change, now, &change);
	return change;
}

static gboolean is_wanted(const change_t *change, guint64 since,
			  gboolean own_only)
{
	return change->number > since && (change->own || !own_only);
}

GArray *catalogue_changes_since(const catalogue_t *catalogue, guint64 change,
				gboolean own_only, GTimeSpan now)
{
	GArray *statements =
		g_array_new(FALSE, FALSE, sizeof(catalogue_statement_t));
	catalogue_statement_t statement;
	const removal_t *removal;
	const item_t *item;

	TAILQ_FOREACH (item, &catalogue->items, link) {
		if (!is_wanted(&item->change, change, own_only))
			continue;
		statement.state = item->removal ? CATALOGUE_DOUBTFUL :
						  CATALOGUE_PRESENT;
		statement.entry = item->entry;
		statement.entry.info.warmup_remaining =
			MAX(item->cold_until - now, 0);
		g_array_append_val(statements, statement);
	}
	TAILQ_FOREACH (removal, &catalogue->removals, link) {
		if (!is_wanted(&removal->change, change, own_only))
			continue;
		statement.state = CATALOGUE_REMOVED;
		statement.entry = removal->entry;
		g_array_append_val(statements, statement);
	}
	return statements;
}

static void forget_old_removals(catalogue_t *catalogue, GTimeSpan now)
{
	removal_t *removal = TAILQ_FIRST(&catalogue->removals);

	while (removal && now - removal->change.at > CATALOGUE_REMOVAL_MEMORY) {
		forget_removal(catalogue, removal);
		removal = TAILQ_FIRST(&catalogue->removals);
	}
}

static void report(catalogue_t *catalogue, const service_t *service,
		   GTimeSpan now)
{
	endpoint_info_t *infos = g_new0(endpoint_info_t, catalogue->count);
	const item_t *item;
	gsize count = 0;

	TAILQ_FOREACH (item, &catalogue->items, link) {
		if (strcmp(item->entry.service, service->name) != 0)
			continue;
		infos[count] = item->entry.info;
		infos[count].doubtful = item->removal != 0;
		infos[count].warmup_remaining = MAX(item->cold_until - now, 0);
		count++;
	}
	catalogue->changed(catalogue->ctx, service->name, infos, count);
	g_free(infos);
}

void catalogue_tick(catalogue_t *catalogue, GTimeSpan now)
{
	service_t *service;
	item_t *item, *next;

	TAILQ_FOREACH_SAFE (item, &catalogue->items, link, next)
		if (item->removal && now >= item->removal)
			drop_item(catalogue, item, TRUE, now);
	forget_old_removals(catalogue, now);
	TAILQ_FOREACH (service, &catalogue->services, link)
		if (service->changed) {
			service->changed = FALSE;
			report(catalogue, service, now);
		}
}

void catalogue_report_all(catalogue_t *catalogue)
{
	service_t *service;

	TAILQ_FOREACH (service, &catalogue->services, link)
		service->changed = TRUE;
}

GTimeSpan catalogue_next_wakeup(const catalogue_t *catalogue)
{
	GTimeSpan earliest = CATK_NEVER;
	const item_t *item;

	TAILQ_FOREACH (item, &catalogue->items, link)
		if (item->removal)
			earliest = MIN(earliest, item->removal);
	return earliest;
}
