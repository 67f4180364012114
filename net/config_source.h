/*
 * Brings configurations and instance lists from the object API, or a schema
 * from a local file, to an entry.
 *
 * Instances for which entry_is_config_watcher() holds keep a watch on the
 * configuration; the others learn of versions from peers and ask the object
 * API every object_api_poll_ms as a fallback. Every instance reads the
 * instance lists of all services, at intervals that grow with the number of
 * live instances and services, so that the fleet stays below
 * instance_list_reads_per_second.
 */
#ifndef CATK_CONFIG_SOURCE_H
#define CATK_CONFIG_SOURCE_H

#include "codec/settings_json.h"
#include "lib/entry/entry.h"
#include "net/object_api.h"

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
 * Offers a stored configuration or a bare schema to the entry. FALSE with
 * CATK_INVALID_ARGUMENT when it is not valid: the version is then counted and
 * logged and stays out of force. err may be NULL.
 */
gboolean config_source_offer(entry_t *entry, guint64 version, GBytes *document,
			     catk_error_t *err);

#endif
