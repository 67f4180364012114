/* The daemon: an entry with its front ends on one main loop. */
#ifndef CATK_DAEMON_H
#define CATK_DAEMON_H

#include "codec/settings_json.h"

/* Reads the settings again, for SIGHUP. */
typedef struct {
	/* New settings, or NULL when they are not valid and were reported. */
	settings_t *(*read)(void *ctx);
	void *ctx;
} daemon_reload_t;

/*
 * Runs an instance until its graceful shutdown is complete. FALSE with the
 * error when it cannot start. Arguments must outlive the call.
 *
 * SIGTERM, SIGINT and an operator start the shutdown. SIGHUP reads the settings again: seeds
 * and the limits that entry_update_limits() takes apply at once, everything else with
 * the next start.
 */
gboolean daemon_run(const settings_t *settings, const daemon_reload_t *reload,
		    catk_error_t *err);

#endif
