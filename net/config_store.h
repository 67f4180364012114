/*
 * Applies changes to the stored configuration; lib/config/config_apply.h has
 * the rules.
 */
#ifndef CATK_CONFIG_STORE_H
#define CATK_CONFIG_STORE_H

#include "lib/config/config_apply.h"
#include "net/object_api.h"

/* Key of the configuration in the object API. */
#define CONFIG_OBJECT_KEY "config/schema"

/* Time after which an apply gives up. */
#define CONFIG_STORE_APPLY_TIMEOUT (5 * G_TIME_SPAN_SECOND)

/* Largest stored object: the object API takes values of up to 1 MB. */
#define CONFIG_STORE_BYTES_MAX 1000000

typedef struct config_store config_store_t;

typedef struct {
	config_apply_step_t step; /* not READ or WRITE */
	guint64 version; /* stored: the change's, or the one in its way */
	GBytes *document; /* stored object, when this call wrote it, or NULL */
	gboolean too_large; /* with NOT_WRITTEN */
} config_store_result_t;

typedef void (*config_store_done_fn_t)(void *ctx,
				       const config_store_result_t *result);

/* api must outlive the store. Free with config_store_free(). */
config_store_t *config_store_new(object_api_t *api);

/* Drops changes in progress without a callback. NULL is allowed. */
void config_store_free(config_store_t *store);

/*
 * Stores schema, which must be valid, as the given change over version base.
 * change is copied, its version is ignored. done is called exactly once, after
 * at most CONFIG_STORE_APPLY_TIMEOUT.
 */
void config_store_apply(config_store_t *store, const config_change_t *change,
			guint64 base, GBytes *schema,
			config_store_done_fn_t done, void *ctx);

#endif
