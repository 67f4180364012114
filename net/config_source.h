/*
 * Reads configurations and instance lists from the object API, or a schema from
 * a local file, and passes them to an entry.
 *
 * Instances for which entry_is_config_watcher() is TRUE watch the stored
 * configuration. The others receive new versions from peers and poll the object
 * API every object_api_poll_ms as a fallback. Every instance reads the instance
 * lists of all services. The interval grows with the number of live instances
 * and services, so that all instances together stay below
 * instance_list_reads_per_second.
 */
#ifndef CATK_CONFIG_SOURCE_H
#define CATK_CONFIG_SOURCE_H

#include "codec/settings_json.h"
#include "lib/entry/entry.h"
#include "net/object_api.h"

typedef struct config_source config_source_t;

/*
 * Starts reading from api, or reads settings->config_file once if api is NULL.
 * All arguments must outlive the source. Free with config_source_free().
 */
config_source_t *config_source_new(const settings_t *settings,
				   object_api_t *api, entry_t *entry);

/* Stops reading. NULL is allowed. */
void config_source_free(config_source_t *source);

/*
 * Parses a stored configuration or a bare schema and puts it in force.
 * Returns FALSE with CATK_INVALID_ARGUMENT if it is invalid; the version is
 * then rejected, and logged the first time. err may be NULL.
 */
gboolean config_source_activate(entry_t *entry, guint64 version,
				GBytes *document, catk_error_t *err);

#endif
