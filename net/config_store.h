/*
 * Applies changes to the configuration in the object API. Runs the state
 * machine of lib/config/config_apply.h, which describes the algorithm.
 */
#ifndef CATK_CONFIG_STORE_H
#define CATK_CONFIG_STORE_H

#include "lib/config/config_apply.h"
#include "net/object_api.h"

/* Key of the configuration in the object API. */
#define CONFIG_OBJECT_KEY "config/schema"

/* Maximum time of config_store_apply() until its result. */
#define CONFIG_STORE_APPLY_TIMEOUT (5 * G_TIME_SPAN_SECOND)

/* Maximum size of the stored object: the limit of the object API is 1 MB. */
#define CONFIG_STORE_BYTES_MAX 1000000

typedef struct config_store config_store_t;

typedef struct {
	config_apply_step_t step; /* the outcome, never READ or WRITE */
	/* Of the change if accepted, else the stored one; 0 if not known. */
	guint64 version;
	GBytes *document; /* the stored object if this call wrote it, or NULL */
	gboolean too_large; /* reason of CONFIG_APPLY_NOT_WRITTEN */
} config_store_result_t;

typedef void (*config_store_done_fn_t)(void *ctx,
				       const config_store_result_t *result);

/* api must outlive the store. Free with config_store_free(). */
config_store_t *config_store_new(object_api_t *api);

/* Drops changes in progress without a callback. NULL is allowed. */
void config_store_free(config_store_t *store);

/*
 * Stores schema, which must be valid, if the stored configuration still has
 * version base, 0 for none. change describes the change; it is copied and its
 * version is ignored. done is called exactly once, within
 * CONFIG_STORE_APPLY_TIMEOUT.
 */
void config_store_apply(config_store_t *store, const config_change_t *change,
			guint64 base, GBytes *schema,
			config_store_done_fn_t done, void *ctx);

#endif
