/* The daemon: an entry with its front ends on one main loop. */
#ifndef CATK_DAEMON_H
#define CATK_DAEMON_H

#include "codec/settings_json.h"

/*
 * Runs until a graceful shutdown (SIGTERM, SIGINT or an operator's drain) is
 * complete. Returns FALSE with an error when it cannot start.
 */
gboolean daemon_run(const settings_t *settings, catk_error_t *err);

#endif
