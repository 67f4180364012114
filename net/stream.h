/*
 * A non-blocking TCP connection on the GLib main loop.
 *
 * Callbacks are only called from the main loop, never from inside a function of
 * this module. A callback may free the stream.
 */
#ifndef CATK_STREAM_H
#define CATK_STREAM_H

#include <gio/gio.h>

#include "lib/common/error.h"

typedef struct stream stream_t;

/* Why a stream ended. */
typedef enum {
	STREAM_EOF, /* the peer closed its sending side */
	STREAM_RESET, /* reset, or the peer became unreachable */
	STREAM_NOT_CONNECTED /* the connection was never established */
} stream_end_t;

typedef struct {
	void (*received)(void *ctx, const char *data, gsize size);
	/* All data written so far was passed to the kernel. May be NULL. */
	void (*flushed)(void *ctx);
	/* No further callbacks follow; the stream still has to be freed. */
	void (*ended)(void *ctx, stream_end_t end);
	void *ctx;
} stream_events_t;

/*
 * Starts to connect to "ip:port". Data written before the connection is
 * established is buffered. Returns NULL with CATK_INVALID_ARGUMENT or
 * CATK_UNAVAILABLE.
 */
stream_t *stream_connect(const char *address, const stream_events_t *events,
			 catk_error_t *err);

/* Creates a stream for an accepted connection; references socket. */
stream_t *stream_new_from_socket(GSocket *socket,
				 const stream_events_t *events);

/* Closes the connection without further callbacks. NULL is allowed. */
void stream_free(stream_t *stream);

/* Sends data, buffering a copy of what the kernel does not accept yet. */
void stream_write(stream_t *stream, const void *data, gsize size);

/* Sends bytes, referencing what the kernel does not accept yet. */
void stream_write_bytes(stream_t *stream, GBytes *bytes);

/*
 * Data up to this size is appended to what is sent before it. A system call of
 * its own costs more than the copy.
 */
#define STREAM_COPY_BYTES_MAX 16384

/* Shuts the sending side down once all buffered data was sent. */
void stream_shutdown_write(stream_t *stream);

/* TRUE if data, or the end of the stream, waits to be read. */
gboolean stream_has_input(const stream_t *stream);

/*
 * TRUE if the peer has closed its sending side or reset the connection, also
 * while data from it waits to be read.
 */
gboolean stream_peer_has_closed(const stream_t *stream);

/* Bytes passed to the kernel since the stream was created. */
guint64 stream_bytes_sent(const stream_t *stream);

/* Bytes written but not yet passed to the kernel. */
gsize stream_bytes_buffered(const stream_t *stream);

/*
 * Ends the connection when the peer has acknowledged nothing for timeout: after
 * timeout if data is in flight, otherwise at the first probe after it, which are
 * sent each second.
 */
void stream_detect_silence(stream_t *stream, GTimeSpan timeout);

/*
 * Pauses or resumes reading. While reading is paused, the end of the stream is
 * noticed later as well.
 */
void stream_set_reading(stream_t *stream, gboolean reading);

#endif
