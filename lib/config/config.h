/*
 * The configuration in force. Versions are the object API's versions of the
 * configuration object; they only rise, whatever order they arrive in.
 */
#ifndef CATK_CONFIG_H
#define CATK_CONFIG_H

#include "lib/common/counters.h"
#include "lib/schema/schema.h"

typedef struct config config_t;

typedef enum {
	CONFIG_ACTIVATED, /* the offered version is now in force */
	CONFIG_STALE /* not newer than the version in force: ignored */
} config_activate_result_t;

/* No version is in force yet. Free with config_free(). */
config_t *config_new(counters_t *counters);

/* Frees the configuration and its schema. NULL is allowed. */
void config_free(config_t *config);

/*
 * Offers an accepted version, 1 or higher, from any source: the object API, a
 * peer, a local file. Takes ownership of schema in every case and keeps a
 * reference to document, the text that it was read from.
 */
config_activate_result_t config_activate(config_t *config, guint64 version,
					 schema_t *schema, GBytes *document);

/*
 * Notes that a stored version is not valid. It stays out of force and is
 * counted once; later versions are not affected.
 */
void config_reject(config_t *config, guint64 version);

/* Highest version offered or rejected, 0 for none. */
guint64 config_seen_version(const config_t *config);

/* Version in force, 0 for none. */
guint64 config_version(const config_t *config);

/* Schema in force, NULL for none. Valid until the next config_activate(). */
const schema_t *config_schema(const config_t *config);

/* Document in force, NULL for none. Valid until the next config_activate(). */
GBytes *config_document(const config_t *config);

#endif
