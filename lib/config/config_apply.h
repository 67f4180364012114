/*
 * State machine that applies one change to the stored configuration and reports
 * its outcome correctly even if answers of the object API are lost.
 *
 * The change is a conditional update against a base version. Before each write,
 * the stored record is searched for the id of the change, in the current change
 * and in the history. If the id is found, the change took effect, even if the
 * configuration has changed again since. While the stored version equals the
 * base version, the write can safely be retried: the condition holds for at
 * most one of the copies.
 */
#ifndef CATK_CONFIG_APPLY_H
#define CATK_CONFIG_APPLY_H

#include "lib/config/config_record.h"

typedef enum {
	CONFIG_APPLY_READ, /* next: read the stored configuration */
	CONFIG_APPLY_WRITE, /* next: update it if it has the base version */
	CONFIG_APPLY_ACCEPTED, /* the change took effect */
	CONFIG_APPLY_CONFLICT, /* another change replaced the base; no effect */
	CONFIG_APPLY_NOT_WRITTEN, /* timed out; no write can take effect */
	CONFIG_APPLY_UNKNOWN /* it may have taken effect or still may */
} config_apply_step_t;

typedef enum {
	CONFIG_WRITE_DONE,
	CONFIG_WRITE_CONFLICT,
	CONFIG_WRITE_REFUSED, /* rejected without any effect */
	CONFIG_WRITE_IN_DOUBT /* no answer: may have taken effect */
} config_write_result_t;

typedef struct {
	const char *change_id;
	guint64 base; /* version that the change replaces, 0 for none */
	gboolean in_doubt; /* a write without answer may have taken effect */
	guint64 version; /* of the change if found or written, else the stored one */
} config_apply_t;

/*
 * Processes the result of a read. version is 0 if no configuration is stored.
 * record is NULL in that case and if the stored object cannot be parsed.
 */
config_apply_step_t config_apply_on_read(config_apply_t *apply, guint64 version,
					 const config_record_t *record);

/* Processes the result of a write. version is set with CONFIG_WRITE_DONE. */
config_apply_step_t config_apply_on_write(config_apply_t *apply,
					  config_write_result_t result,
					  guint64 version);

/* Returns the outcome when the time limit of the change is reached. */
config_apply_step_t config_apply_on_timeout(const config_apply_t *apply);

#endif
