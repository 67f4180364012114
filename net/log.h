/* Log lines on standard error in the manner of syslog. */
#ifndef CATK_LOG_H
#define CATK_LOG_H

/*
 * Sends the messages of GLib's g_warning(), g_message(), g_info() and g_debug()
 * to standard error as "<priority>program[pid]: message". Lines below info are
 * written only when the environment variable G_MESSAGES_DEBUG is set. program
 * must outlive the process.
 */
void log_set_up(const char *program);

#endif
