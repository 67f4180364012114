#include "net/log.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

/* Limits the memory that is used while the reader of standard output stalls. */
#define BUFFER_MAX 262144 /* bytes */
/* PIPE_BUF: a writable pipe accepts this many bytes without blocking. */
#define WRITE_SIZE 4096 /* bytes */
#define FLUSH_INTERVAL_MS 100
/* Rate limit, so that a flood of refused calls does not flood the log. */
#define LINES_PER_SECOND 1000
#define LINES_BURST 2000

/* Global because GLib has a single log writer per process. */
static struct {
	GString *buffer;
	counters_t *counters;
	guint flush_timer; /* GLib source, 0 if none */
	double tokens; /* token bucket: lines that may be written now */
	gint64 refilled_at; /* monotonic time of the last refill */
	guint64 dropped; /* lines since the last log_lines_dropped event */
} sink;

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

static gboolean is_hidden(GLogLevelFlags level)
{
	return syslog_priority(level) == LOG_DEBUG &&
	       !g_getenv("G_MESSAGES_DEBUG");
}

static const char *find_message(const GLogField *fields, gsize count)
{
	gsize i;

	for (i = 0; i < count; i++)
		if (g_str_equal(fields[i].key, "MESSAGE"))
			return fields[i].value;
	return "";
}

static gboolean stdout_is_writable(void)
{
	struct pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
}

static void flush_buffer(void)
{
	ssize_t size;

	while (sink.buffer && sink.buffer->len && stdout_is_writable()) {
		size = write(STDOUT_FILENO, sink.buffer->str,
			     MIN(sink.buffer->len, WRITE_SIZE));
		if (size <= 0)
			return;
		g_string_erase(sink.buffer, 0, size);
	}
}

static gboolean on_flush(gpointer data)
{
	(void)data;
	flush_buffer();
	if (sink.buffer->len)
		return G_SOURCE_CONTINUE;
	sink.flush_timer = 0;
	return G_SOURCE_REMOVE;
}

static void append_quoted(GString *line, const char *text)
{
	const char *byte;

	g_string_append_c(line, '"');
	for (byte = text; *byte; byte++) {
		if (*byte == '"' || *byte == '\\')
			g_string_append_printf(line, "\\%c", *byte);
		else if ((guchar)*byte < ' ')
			g_string_append_printf(line, "\\u%04x", *byte);
		else
			g_string_append_c(line, *byte);
	}
	g_string_append_c(line, '"');
}

static void append_field(GString *line, const log_field_t *field)
{
	g_string_append_c(line, ',');
	append_quoted(line, field->name);
	g_string_append_c(line, ':');
	if (field->text)
		append_quoted(line, field->text);
	else
		g_string_append_printf(line, "%" G_GINT64_FORMAT,
				       field->number);
}

static gboolean take_token(void)
{
	gint64 now = g_get_monotonic_time();
	double refill = (double)(now - sink.refilled_at) / G_TIME_SPAN_SECOND *
			LINES_PER_SECOND;

	sink.tokens = MIN(sink.tokens + refill, LINES_BURST);
	sink.refilled_at = now;
	if (sink.tokens < 1 || sink.buffer->len > BUFFER_MAX)
		return FALSE;
	sink.tokens -= 1;
	return TRUE;
}

static void append_line(const char *event, const log_field_t *fields,
			guint count)
{
	GString *line = sink.buffer;
	guint i;

	g_string_append_printf(line, "{\"time_us\":%" G_GINT64_FORMAT,
			       g_get_real_time());
	append_field(line, &LOG_TEXT("event", event));
	for (i = 0; i < count; i++)
		append_field(line, &fields[i]);
	g_string_append(line, "}\n");
}

static void write_event(void *ctx, const char *event, const log_field_t *fields,
			guint count)
{
	(void)ctx;
	if (!take_token()) {
		sink.dropped++;
		counters_add(sink.counters, COUNTER_LOG_LINES_DROPPED, 1);
		return;
	}
	if (sink.dropped) {
		append_line("log_lines_dropped",
			    &LOG_NUMBER("count", (gint64)sink.dropped), 1);
		sink.dropped = 0;
	}
	append_line(event, fields, count);
	if (sink.buffer->len >= WRITE_SIZE)
		flush_buffer();
	if (sink.buffer->len && !sink.flush_timer)
		sink.flush_timer =
			g_timeout_add(FLUSH_INTERVAL_MS, on_flush, NULL);
}

static void write_message(GLogLevelFlags level, const char *message)
{
	log_field_t line[] = {
		LOG_NUMBER("severity", syslog_priority(level)),
		LOG_TEXT("message", message),
	};

	write_event(NULL, "message", line, G_N_ELEMENTS(line));
	/* The process may abort before the main loop runs again. */
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		flush_buffer();
}

/*
 * Writes to standard error or to the event log. The writer function of GLib can
 * be set only once per process, so it handles both cases.
 */
static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields,
				  gsize count, gpointer program)
{
	const char *message = find_message(fields, count);

	if (is_hidden(level))
		return G_LOG_WRITER_HANDLED;
	if (sink.buffer)
		write_message(level, message);
	else
		fprintf(stderr, "<%d>%s[%d]: %s\n", syslog_priority(level),
			(const char *)program, (int)getpid(), message);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *program)
{
	g_log_set_writer_func(write_log, (gpointer)program, NULL);
}

event_log_t log_start_events(counters_t *counters)
{
	sink.buffer = g_string_new(NULL);
	sink.counters = counters;
	sink.tokens = LINES_BURST;
	sink.refilled_at = g_get_monotonic_time();
	return (event_log_t){ .write = write_event };
}

void log_stop_events(void)
{
	if (sink.flush_timer)
		g_source_remove(sink.flush_timer);
	flush_buffer();
	g_string_free(sink.buffer, TRUE);
	sink.buffer = NULL;
	sink.flush_timer = 0;
}
