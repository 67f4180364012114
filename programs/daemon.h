/* Runs an entry with its network front ends on one main loop. */
#ifndef CATK_DAEMON_H
#define CATK_DAEMON_H

#include "codec/settings_json.h"

/* Reads the settings again on SIGHUP. */
typedef struct {
	/* Returns NULL if the settings are invalid, after reporting why. */
	settings_t *(*read)(void *ctx);
	void *ctx;
} daemon_reload_t;

/*
 * Holds back the signals that daemon_run() handles. Call it first in main(): a
 * signal during the start is then handled after it instead of killing the
 * process.
 */
void daemon_block_signals(void);

/*
 * Runs an instance until its graceful shutdown is complete. Returns FALSE with
 * the error if it cannot start.
 *
 * SIGTERM, SIGINT or an operator's drain request starts the shutdown. SIGHUP
 * reads the settings again: seeds and the limits that entry_update_limits()
 * accepts apply immediately, all others at the next start.
 */
gboolean daemon_run(const settings_t *settings, const daemon_reload_t *reload,
		    catk_error_t *err);

#endif
