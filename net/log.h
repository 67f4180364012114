/* Log lines of the programs. */
#ifndef CATK_LOG_H
#define CATK_LOG_H

#include "lib/common/counters.h"
#include "lib/common/event_log.h"

/*
 * Sends the messages of GLib's g_warning(), g_message(), g_info() and g_debug()
 * to standard error as "<priority>program[pid]: message". Lines below info are
 * written only when the environment variable G_MESSAGES_DEBUG is set. program
 * must outlive the process.
 */
void log_init(const char *program);

/*
 * From now on messages, and the events of the result, go to standard output as
 * one JSON object a line. Lines are collected and written from the main loop
 * without blocking; over a bound of volume they are dropped and counted.
 * log_init() must have been called; counters must outlive log_stop_events().
 */
event_log_t log_start_events(counters_t *counters);

/*
 * Writes what is collected, as far as standard output takes it; messages go to
 * standard error again.
 */
void log_stop_events(void);

#endif
