#include "lib/catalogue/catalogue.h"

#include <string.h>

typedef struct item {
	TAILQ_ENTRY(item) link;
	catalogue_entry_t entry;
	GTimeSpan cold_until;
	gboolean named; /* in the list being read */
	GTimeSpan removal; /* instant, 0 for none */
} item_t;

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
	guint count;
	GHashTable *by_id; /* id -> item_t */
	TAILQ_HEAD(item_list, item) items;
	TAILQ_HEAD(service_list, service) services;
};

catalogue_t *catalogue_new(catalogue_changed_fn_t changed, void *ctx)
{
	catalogue_t *catalogue = g_new0(catalogue_t, 1);

	catalogue->changed = changed;
	catalogue->ctx = ctx;
	catalogue->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&catalogue->items);
	TAILQ_INIT(&catalogue->services);
	return catalogue;
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

void catalogue_free(catalogue_t *catalogue)
{
	service_t *service, *next;

	if (!catalogue)
		return;
	while (!TAILQ_EMPTY(&catalogue->items))
		item_free(catalogue, TAILQ_FIRST(&catalogue->items));
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

void catalogue_put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		   GTimeSpan now)
{
	item_t *item = g_hash_table_lookup(catalogue->by_id, entry->info.id);

	if (!item) {
		item = g_new0(item_t, 1);
		item->entry = *entry;
		TAILQ_INSERT_TAIL(&catalogue->items, item, link);
		g_hash_table_insert(catalogue->by_id, item->entry.info.id,
				    item);
		catalogue->count++;
	} else if (is_older(entry, &item->entry)) {
		item->named = TRUE;
		return;
	}
	mark_changed(catalogue, item->entry.service);
	mark_changed(catalogue, entry->service);
	item->entry = *entry;
	item->named = TRUE;
	item->removal = 0;
	item->cold_until = now + entry->info.cold_for;
}

/* At once, unless the entry may only have lapsed while the store was away. */
static void remove_item(catalogue_t *catalogue, item_t *item, GTimeSpan now)
{
	if (now < catalogue->hold_until) {
		if (!item->removal) {
			item->removal = catalogue->hold_until;
			mark_changed(catalogue, item->entry.service);
		}
		return;
	}
	item_free(catalogue, item);
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

void catalogue_end_list(catalogue_t *catalogue, GTimeSpan now)
{
	item_t *item, *next;

	TAILQ_FOREACH_SAFE (item, &catalogue->items, link, next)
		if (!item->named)
			remove_item(catalogue, item, now);
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
		infos[count].cold_for = MAX(item->cold_until - now, 0);
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
			item_free(catalogue, item);
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
