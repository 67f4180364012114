/*
 * The configuration as the object API stores it: a schema with the change that
 * wrote it and a bounded history of the changes before it.
 */
#ifndef CATK_CONFIG_RECORD_H
#define CATK_CONFIG_RECORD_H

#include <glib.h>

#include "lib/common/intrusive.h"

#define CONFIG_CHANGE_ID_MAX 64 /* bytes of a change id */
#define CONFIG_AUTHOR_MAX 64 /* bytes of an author's name */

/* Changes kept beside the current one: about 40 min at 2,100 changes a day. */
#define CONFIG_HISTORY_MAX 64

typedef struct config_change {
	TAILQ_ENTRY(config_change) link;
	guint64 version; /* that the change wrote */
	char change_id[CONFIG_CHANGE_ID_MAX + 1]; /* empty: written by hand */
	char author[CONFIG_AUTHOR_MAX + 1];
	gint64 time; /* seconds since 1970, 0 when not known */
} config_change_t;

typedef struct {
	config_change_t current;
	TAILQ_HEAD(config_change_list, config_change)
	history; /* newest first */
	guint history_count; /* at most CONFIG_HISTORY_MAX */
	GBytes *schema;
} config_record_t;

/* A record without history. schema is referenced. */
config_record_t *config_record_new(GBytes *schema);

/* Frees the record. NULL is allowed. */
void config_record_free(config_record_t *record);

/* Appends a copy of an older change. FALSE when the history is full. */
gboolean config_record_append_history(config_record_t *record,
				      const config_change_t *change);

/*
 * The record that change writes over the stored version base. before is NULL
 * when there is none (base is 0 then) or it cannot be understood. schema is
 * referenced.
 */
config_record_t *config_record_new_with_change(const config_record_t *before,
					       guint64 base,
					       const config_change_t *change,
					       GBytes *schema);

/* The change of that id, current or earlier, or NULL. */
const config_change_t *config_record_find(const config_record_t *record,
					  const char *change_id);

/* TRUE when the record names every change after the version. */
gboolean config_record_has_all_since(const config_record_t *record,
				     guint64 version);

#endif
