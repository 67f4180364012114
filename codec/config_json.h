/*
 * The JSON form of the stored configuration:
 * {"change_id","author","time","history":[{"version","change_id","author",
 * "time"}],"schema":{...}}. The current change has no version of its own: the
 * object API gives one to each write.
 */
#ifndef CATK_CONFIG_JSON_H
#define CATK_CONFIG_JSON_H

#include "codec/schema_json.h"
#include "lib/config/config_record.h"

/*
 * Reads a stored configuration of the given version. A bare schema is accepted
 * as a record without change id and history, so that a first configuration can
 * be stored by hand or come from a file. The schema is not checked. Returns
 * NULL with all errors reported through on_issue, which may be NULL. Free with
 * config_record_free().
 */
config_record_t *config_record_from_json(GBytes *document, guint64 version,
					 schema_issue_fn_t on_issue, void *ctx);

/*
 * Writes a record. Returns NULL when its schema is not JSON. Free with
 * g_bytes_unref().
 */
GBytes *config_record_to_json(const config_record_t *record);

/* The changes of a record as a JSON document, newest first; g_free() it. */
gchar *config_history_to_json(const config_record_t *record);

#endif
