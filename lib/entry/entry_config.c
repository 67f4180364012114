/*
 * Selection of the instances that watch the stored configuration, and rate at
 * which instance lists are read.
 */
#include <string.h>
#include <xxhash.h>

#include "lib/entry/entry_internal.h"

void entry_reject_config(entry_t *entry, guint64 version)
{
	config_reject(entry->config, version);
}

static guint64 rendezvous_rank(const member_t *member)
{
	return XXH3_64bits(member->name, strlen(member->name));
}

static gboolean ranks_before(const member_t *member, const member_t *other)
{
	return member != other && member->state == MEMBER_LIVE &&
	       strcmp(member->data_centre, other->data_centre) == 0 &&
	       rendezvous_rank(member) > rendezvous_rank(other);
}

gboolean entry_member_is_watcher(const entry_t *entry, const member_t *member)
{
	const member_t *other;
	guint before = 0;

	if (!member)
		member = membership_self(entry->membership);
	if (member->state != MEMBER_LIVE)
		return FALSE;
	for (other = membership_first(entry->membership); other;
	     other = membership_next(other))
		before += ranks_before(other, member);
	return before < ENTRY_CONFIG_WATCHERS;
}

gboolean entry_is_config_watcher(const entry_t *entry)
{
	return entry_member_is_watcher(entry, NULL);
}

static entry_watchers_t *get_watchers(GArray *all, const char *data_centre)
{
	entry_watchers_t none = { .data_centre = data_centre };
	guint i;

	for (i = 0; i < all->len; i++) {
		entry_watchers_t *watchers =
			&g_array_index(all, entry_watchers_t, i);

		if (strcmp(watchers->data_centre, data_centre) == 0)
			return watchers;
	}
	g_array_append_val(all, none);
	return &g_array_index(all, entry_watchers_t, all->len - 1);
}

/* Inserts the member by its rank; the lowest one drops out. */
static void insert_watcher(entry_watchers_t *watchers, const member_t *member)
{
	guint i;

	for (i = 0; i < ENTRY_CONFIG_WATCHERS && member; i++) {
		const member_t *other = watchers->members[i];

		if (other && rendezvous_rank(other) >= rendezvous_rank(member))
			continue;
		watchers->members[i] = member;
		member = other;
	}
}

GArray *entry_find_watchers(const entry_t *entry)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(entry_watchers_t));
	const member_t *member;

	for (member = membership_first(entry->membership); member;
	     member = membership_next(member))
		if (member->state == MEMBER_LIVE)
			insert_watcher(get_watchers(all, member->data_centre),
				       member);
	return all;
}

guint entry_count_live_instances(const entry_t *entry, const char *data_centre)
{
	const member_t *member;
	guint live = 0;

	for (member = membership_first(entry->membership); member;
	     member = membership_next(member))
		live += member->state == MEMBER_LIVE &&
			(!data_centre ||
			 strcmp(member->data_centre, data_centre) == 0);
	return live;
}

static guint count_instance_lists(const entry_t *entry)
{
	const schema_t *schema = config_schema(entry->config);
	const schema_service_t *service;
	guint count = 0;

	if (!schema)
		return 0;
	TAILQ_FOREACH (service, &schema->services, link)
		count += service->instance_list != NULL;
	return count;
}

GTimeSpan entry_instance_list_interval(const entry_t *entry, GTimeSpan shortest,
				       guint reads_per_second)
{
	gint64 reads = (gint64)count_instance_lists(entry) *
		       entry_count_live_instances(entry, NULL);

	return MAX(shortest, reads * G_TIME_SPAN_SECOND / reads_per_second);
}
