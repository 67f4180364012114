#include "lib/config/config_record.h"

#include <string.h>

config_record_t *config_record_new(GBytes *schema)
{
	config_record_t *record = g_new0(config_record_t, 1);

	TAILQ_INIT(&record->history);
	record->schema = g_bytes_ref(schema);
	return record;
}

void config_record_free(config_record_t *record)
{
	config_change_t *change, *next;

	if (!record)
		return;
	TAILQ_FOREACH_SAFE (change, &record->history, link, next)
		g_free(change);
	g_bytes_unref(record->schema);
	g_free(record);
}

gboolean config_record_append_history(config_record_t *record,
				      const config_change_t *change)
{
	config_change_t *copy;

	if (record->history_count == CONFIG_HISTORY_MAX)
		return FALSE;
	copy = g_new0(config_change_t, 1);
	*copy = *change;
	TAILQ_INSERT_TAIL(&record->history, copy, link);
	record->history_count++;
	return TRUE;
}

config_record_t *config_record_new_with_change(const config_record_t *before,
					       guint64 base,
					       const config_change_t *change,
					       GBytes *schema)
{
	const config_change_t unparsed = { .version = base };
	config_record_t *record = config_record_new(schema);
	const config_change_t *older;

	record->current = *change;
	if (!before) {
		if (base)
			config_record_append_history(record, &unparsed);
		return record;
	}
	config_record_append_history(record, &before->current);
	TAILQ_FOREACH (older, &before->history, link)
		if (!config_record_append_history(record, older))
			break;
	return record;
}

const config_change_t *config_record_find(const config_record_t *record,
					  const char *change_id)
{
	const config_change_t *change;

	if (strcmp(record->current.change_id, change_id) == 0)
		return &record->current;
	TAILQ_FOREACH (change, &record->history, link)
		if (strcmp(change->change_id, change_id) == 0)
			return change;
	return NULL;
}

gboolean config_record_has_all_since(const config_record_t *record,
				     guint64 version)
{
	const config_change_t *oldest =
		TAILQ_LAST(&record->history, config_change_list);

	if (!oldest)
		oldest = &record->current;
	if (oldest->version <= version)
		return TRUE;
	/*
	 * A history that is not full goes back to the first change. That change
	 * has no id if the object was edited manually; earlier ones are unknown
	 * then.
	 */
	return record->history_count < CONFIG_HISTORY_MAX &&
	       *oldest->change_id != '\0';
}
