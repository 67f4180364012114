/*
 * Brings configurations and instance lists from the object API, or a schema
 * from a local file, to an entry.
 */
#ifndef CATK_CONFIG_SOURCE_H
#define CATK_CONFIG_SOURCE_H

#include "codec/settings_json.h"
#include "lib/entry/entry.h"
#include "net/object_api.h"

/* Key of the configuration in the object API. */
#define CONFIG_OBJECT_KEY "config/schema"

typedef struct config_source config_source_t;

/*
 * Reads from api, or from settings->config_file when api is NULL. All
 * arguments must outlive the source. Free with config_source_free().
 */
config_source_t *config_source_new(const settings_t *settings,
				   object_api_t *api, entry_t *entry);

/* Stops reading. NULL is allowed. */
void config_source_free(config_source_t *source);

/*
 * Offers a document to the entry. FALSE with CATK_INVALID_ARGUMENT when it is
 * not a valid schema.
 */
gboolean config_source_offer(entry_t *entry, guint64 version, GBytes *document,
			     catk_error_t *err);

#endif
