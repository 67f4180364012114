/*
 * The configuration as stored in the object API: a schema, the change that
 * wrote it and a bounded history of earlier changes.
 */
#ifndef CATK_CONFIG_RECORD_H
#define CATK_CONFIG_RECORD_H

#include <glib.h>

#include "lib/common/intrusive.h"

#define CONFIG_CHANGE_ID_MAX 64 /* bytes of a change id */
#define CONFIG_AUTHOR_MAX 64 /* bytes of an author's name */

/* Earlier changes kept: about 40 min at 2,100 changes a day. */
#define CONFIG_HISTORY_MAX 64

typedef struct config_change {
	TAILQ_ENTRY(config_change) link;
	guint64 version; /* object version that the change wrote */
	char change_id[CONFIG_CHANGE_ID_MAX + 1]; /* empty if edited manually */
	char author[CONFIG_AUTHOR_MAX + 1];
	gint64 time; /* seconds since the Unix epoch, 0 if unknown */
} config_change_t;

typedef struct {
	config_change_t current;
	TAILQ_HEAD(config_change_list, config_change)
	history; /* newest first */
	guint history_count; /* at most CONFIG_HISTORY_MAX */
	GBytes *schema;
} config_record_t;

/* Creates a record without history. Keeps a reference to schema. */
config_record_t *config_record_new(GBytes *schema);

/* Frees the record. NULL is allowed. */
void config_record_free(config_record_t *record);

/* Appends a copy of an older change. Returns FALSE if the history is full. */
gboolean config_record_append_history(config_record_t *record,
				      const config_change_t *change);

/*
 * Creates the record that change writes over the stored version base. The
 * history is taken over from before, which is NULL if nothing is stored (base
 * is 0) or the stored object cannot be parsed. Keeps a reference to schema.
 */
config_record_t *config_record_new_with_change(const config_record_t *before,
					       guint64 base,
					       const config_change_t *change,
					       GBytes *schema);

/* Returns the current or earlier change with that id, or NULL. */
const config_change_t *config_record_find(const config_record_t *record,
					  const char *change_id);

/* Returns TRUE if the record contains every change after version. */
gboolean config_record_has_all_since(const config_record_t *record,
				     guint64 version);

#endif
