/*
 * Interface of a state dump: modules report their state through these
 * callbacks, and a codec serializes it.
 */
#ifndef CATK_DUMP_H
#define CATK_DUMP_H

#include <glib.h>

/* name is the key of a member, NULL for an element of an array. */
typedef struct {
	void (*begin_object)(void *ctx, const char *name);
	void (*end_object)(void *ctx);
	void (*begin_array)(void *ctx, const char *name);
	void (*end_array)(void *ctx);
	void (*string)(void *ctx, const char *name, const char *value);
	void (*integer)(void *ctx, const char *name, gint64 value);
	void (*number)(void *ctx, const char *name, double value);
	void (*boolean)(void *ctx, const char *name, gboolean value);
	void *ctx;
} dump_writer_t;

#endif
