/*
 * Decides how to apply one change to the stored configuration so that the
 * operator gets a true answer although answers of the object API may be lost.
 *
 * The change is a conditional update on a base version. It is looked for by
 * its id before each write, in the current change and in the history: what is
 * found there took effect, also when others have changed the configuration
 * since. While the stored version is the base, the write may be repeated: at
 * most one of the copies can meet the condition.
 */
#ifndef CATK_CONFIG_APPLY_H
#define CATK_CONFIG_APPLY_H

#include "lib/config/config_record.h"

typedef enum {
	CONFIG_APPLY_READ, /* next: read the stored configuration */
	CONFIG_APPLY_WRITE, /* next: update it on condition of the base */
	CONFIG_APPLY_ACCEPTED, /* the change took effect */
	CONFIG_APPLY_CONFLICT, /* it did not and will not: the base changed */
	CONFIG_APPLY_NOT_WRITTEN, /* time ran out before any write */
	CONFIG_APPLY_UNKNOWN /* it may have taken effect or still will */
} config_apply_step_t;

typedef enum {
	CONFIG_WRITE_DONE,
	CONFIG_WRITE_CONFLICT,
	CONFIG_WRITE_REFUSED, /* certainly without effect */
	CONFIG_WRITE_IN_DOUBT /* no answer */
} config_write_result_t;

typedef struct {
	const char *change_id;
	guint64 base; /* version that the change replaces, 0 for none */
	gboolean in_doubt; /* a write may have taken effect */
	guint64 version; /* of the change, or in the way of it */
} config_apply_t;

/*
 * The stored configuration was read. version is 0 when there is none; record
 * is NULL then, and when the stored object cannot be understood.
 */
config_apply_step_t config_apply_on_read(config_apply_t *apply, guint64 version,
					 const config_record_t *record);

/* A write ended. version is the new one, with CONFIG_WRITE_DONE. */
config_apply_step_t config_apply_on_write(config_apply_t *apply,
					  config_write_result_t end,
					  guint64 version);

/* The time for the change is over. */
config_apply_step_t config_apply_on_timeout(const config_apply_t *apply);

#endif
