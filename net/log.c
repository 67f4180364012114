#include "net/log.h"

#include <glib.h>
#include <stdio.h>
#include <syslog.h>
#include <unistd.h>

static int syslog_priority(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return LOG_CRIT;
	if (level & G_LOG_LEVEL_CRITICAL)
		return LOG_ERR;
	if (level & G_LOG_LEVEL_WARNING)
		return LOG_WARNING;
	if (level & G_LOG_LEVEL_MESSAGE)
		return LOG_NOTICE;
	if (level & G_LOG_LEVEL_INFO)
		return LOG_INFO;
	return LOG_DEBUG;
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer program)
{
	int priority = syslog_priority(level);
	gsize i;

	if (priority == LOG_DEBUG && !g_getenv("G_MESSAGES_DEBUG"))
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < count; i++)
		if (g_str_equal(fields[i].key, "MESSAGE"))
			fprintf(stderr, "<%d>%s[%d]: %s\n", priority,
				(const char *)program, (int)getpid(),
				(const char *)fields[i].value);
	return G_LOG_WRITER_HANDLED;
}

void log_set_up(const char *program)
{
	g_log_set_writer_func(write_line, (gpointer)program, NULL);
}
