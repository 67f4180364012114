/*
 * TCP connections between instances. Each message is preceded by its length as
 * a 32-bit big-endian number. An instance opens one connection to each instance
 * that it sends requests to; the answer is sent back on the same connection.
 */
#ifndef CATK_PEER_LINK_H
#define CATK_PEER_LINK_H

#include "lib/common/counters.h"
#include "lib/admission/listener.h"
#include "lib/entry/peer_message.h"

typedef struct peer_link peer_link_t;

/* Callbacks from the main loop, never from within a function below. */
typedef struct {
	/* message is valid only during the callback. */
	void (*message)(void *ctx, guint64 connection,
			const peer_message_t *message);
	/* The connection has closed. Its number is not reused. */
	void (*closed)(void *ctx, guint64 connection);
	/* The outbound connection to the address failed or has closed. */
	void (*outbound_lost)(void *ctx, const char *address);
	void *ctx;
} peer_link_events_t;

/*
 * Listens on address, "ip:port". body_bytes_max is the maximum body size of a
 * forwarded call. events is copied; counters must outlive the result. Returns
 * NULL with an error if it cannot listen. Free with peer_link_free().
 */
peer_link_t *peer_link_new(const char *address, gsize body_bytes_max,
			   const peer_link_events_t *events,
			   counters_t *counters, catk_error_t *err);

/*
 * Limits what peers can hold: the connections that they open, the messages being
 * received from them, up to control_bytes of those up to the size of a
 * configuration and the rest in the budget of the listener, and send_bytes of
 * messages that they have not read. listener must outlive the link.
 */
void peer_link_set_limits(peer_link_t *link, listener_t *listener,
			  gsize control_bytes, gsize send_bytes);

/* Closes all connections without events. NULL is allowed. */
void peer_link_free(peer_link_t *link);

/*
 * Sends on the outbound connection to the address, opening it if needed. The
 * message is dropped if the send queue is full.
 */
void peer_link_send(peer_link_t *link, const char *address,
		    const peer_message_t *message);

/*
 * Sends on an existing connection. The message is dropped if the connection has
 * closed or its send queue is full.
 */
void peer_link_reply(peer_link_t *link, guint64 connection,
		     const peer_message_t *message);

#endif
