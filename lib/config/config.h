/*
 * The configuration in force at this instance. Versions are those that the
 * object API assigns to the configuration object. The version in force only
 * increases, regardless of the order in which versions arrive.
 */
#ifndef CATK_CONFIG_H
#define CATK_CONFIG_H

#include "lib/common/counters.h"
#include "lib/schema/schema.h"

typedef struct config config_t;

typedef enum {
	CONFIG_ACTIVATED, /* the given version is now in force */
	CONFIG_STALE /* not newer than the version in force: ignored */
} config_activate_result_t;

/* Starts without a version in force. Free with config_free(). */
config_t *config_new(counters_t *counters);

/* Frees the configuration and its schema. NULL is allowed. */
void config_free(config_t *config);

/*
 * Puts a valid version, 1 or higher, in force if it is newer than the one in
 * force. It may come from the object API, a peer or a local file. Takes
 * ownership of schema in every case. When the version comes into force, keeps a
 * reference to document, the text that schema was parsed from.
 */
config_activate_result_t config_activate(config_t *config, guint64 version,
					 schema_t *schema, GBytes *document);

/*
 * Frees a part of the schema that was in force before, which takes
 * milliseconds for thousands of routes. To be called from time to time.
 */
void config_free_replaced(config_t *config);

/*
 * Records that a stored version is invalid. It is counted once and does not
 * come into force; later versions are not affected.
 */
void config_reject(config_t *config, guint64 version);

/* Highest version that was in force or rejected, 0 for none. */
guint64 config_seen_version(const config_t *config);

/* Version in force, 0 for none. */
guint64 config_version(const config_t *config);

/* Schema in force, NULL for none. Valid until the next config_activate(). */
const schema_t *config_schema(const config_t *config);

/* Document in force, NULL for none. Valid until the next config_activate(). */
GBytes *config_document(const config_t *config);

#endif
