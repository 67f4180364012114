/*
 * A TCP connection on the main loop: bytes in, bytes out, and how it ended.
 *
 * All callbacks come from the main loop, never from inside a function of this
 * module. A callback may free the stream.
 */
#ifndef CATK_STREAM_H
#define CATK_STREAM_H

#include <gio/gio.h>

#include "lib/common/error.h"

typedef struct stream stream_t;

typedef enum {
	STREAM_EOF, /* the peer closed its side */
	STREAM_RESET, /* reset, or no longer reachable */
	STREAM_NOT_CONNECTED /* the connection was never established */
} stream_end_t;

typedef struct {
	void (*received)(void *ctx, const char *data, gsize size);
	/* Everything written so far was handed to the kernel. May be NULL. */
	void (*drained)(void *ctx);
	/* Nothing more is received; the stream is still to be freed. */
	void (*ended)(void *ctx, stream_end_t end);
	void *ctx;
} stream_events_t;

/*
 * Starts to connect to "ip:port". What is written before the connection is
 * established is sent then. NULL with CATK_INVALID_ARGUMENT or
 * CATK_UNAVAILABLE.
 */
stream_t *stream_connect(const char *address, const stream_events_t *events,
			 catk_error_t *err);

/* Takes an accepted connection; references socket. */
stream_t *stream_new_from_socket(GSocket *socket,
				 const stream_events_t *events);

/* Closes the connection without further callbacks. NULL is allowed. */
void stream_free(stream_t *stream);

/* Sends now or as soon as the peer takes it. Copies data. */
void stream_write(stream_t *stream, const void *data, gsize size);

/* Closes the sending side after everything written was sent. */
void stream_shutdown_write(stream_t *stream);

/* Bytes handed to the kernel since the stream was opened. */
guint64 stream_bytes_sent(const stream_t *stream);

/* Bytes written and not yet handed to the kernel. */
gsize stream_bytes_buffered(const stream_t *stream);

/* Checks with small probes that the peer is there while nothing is sent. */
void stream_enable_tcp_keepalive(stream_t *stream);

/* Stops or resumes the reading. An end is then noticed later, too. */
void stream_set_reading(stream_t *stream, gboolean reading);

#endif
