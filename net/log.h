/* Log output of the programs. */
#ifndef CATK_LOG_H
#define CATK_LOG_H

#include "lib/common/counters.h"
#include "lib/common/event_log.h"

/*
 * Redirects g_warning(), g_message(), g_info() and g_debug() of GLib to standard
 * error, in the format "<priority>program[pid]: message" with the priority of
 * syslog. Debug messages are written only if the environment variable
 * G_MESSAGES_DEBUG is set. program must stay valid until the process exits.
 */
void log_init(const char *program);

/*
 * Switches log messages to standard output and returns an event log that writes
 * there too. Each message or event is one line with a JSON object. Lines are
 * buffered and written without blocking. Lines that exceed the rate limit or
 * the buffer are dropped and counted. log_init() must have been called. counters
 * must stay valid until log_stop_events() returns.
 */
event_log_t log_start_events(counters_t *counters);

/*
 * Writes buffered lines as far as possible without blocking, and switches log
 * messages back to standard error.
 */
void log_stop_events(void);

#endif
