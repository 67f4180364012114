/*
 * Interface of the structured event log: modules pass the name and the typed
 * fields of an event, and the program writes them.
 */
#ifndef CATK_EVENT_LOG_H
#define CATK_EVENT_LOG_H

#include <glib.h>

typedef struct {
	const char *name;
	const char *text; /* NULL when the value is number */
	gint64 number;
} log_field_t;

typedef struct {
	/* Writes one line; must not block. NULL discards all events. */
	void (*write)(void *ctx, const char *event, const log_field_t *fields,
		      guint count);
	void *ctx;
} event_log_t;

#define LOG_TEXT(name, value) ((log_field_t){ (name), (value), 0 })
#define LOG_NUMBER(name, value) ((log_field_t){ (name), NULL, (value) })

/* Use: LOG_EVENT(log, "event", LOG_TEXT("key", text), LOG_NUMBER("key", 1)) */
#define LOG_EVENT(log, event, ...)                                            \
	event_log_write((log), (event), (const log_field_t[]){ __VA_ARGS__ }, \
			sizeof((const log_field_t[]){ __VA_ARGS__ }) /        \
				sizeof(log_field_t))

static inline void event_log_write(const event_log_t *log, const char *event,
				   const log_field_t *fields, guint count)
{
	if (log->write)
		log->write(log->ctx, event, fields, count);
}

#endif
