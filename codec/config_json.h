/*
 * The JSON form of the stored configuration:
 * {"change_id","author","time","history":[{"version","change_id","author",
 * "time"}],"schema":{...}}. The current change has no "version" member because
 * the object API assigns a version to each write.
 */
#ifndef CATK_CONFIG_JSON_H
#define CATK_CONFIG_JSON_H

#include "codec/schema_json.h"
#include "lib/config/config_record.h"

/*
 * Parses a stored configuration of the given version. A bare schema is accepted
 * as a record without change id and history, so that the first configuration can
 * be stored manually or come from a file. Does not validate the schema. If there
 * are errors, returns NULL and reports all of them through on_issue, which may be
 * NULL. Free with config_record_free().
 */
config_record_t *config_record_from_json(GBytes *document, guint64 version,
					 schema_issue_fn_t on_issue, void *ctx);

/*
 * Serializes a record. Returns NULL if its schema is not a JSON object. Free with
 * g_bytes_unref().
 */
GBytes *config_record_to_json(const config_record_t *record);

/*
 * Serializes the changes of a record, newest first, as a JSON document. Free
 * with g_free().
 */
gchar *config_history_to_json(const config_record_t *record);

#endif
