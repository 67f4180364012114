/*
 * TCP connections between entry instances. Each message has its length in front,
 * four bytes, big-endian. An instance opens one connection to each other that
 * it sends requests to; answers return on the connection of the request.
 */
#ifndef CATK_PEER_LINK_H
#define CATK_PEER_LINK_H

#include "lib/common/counters.h"
#include "lib/entry/peer_message.h"

typedef struct peer_link peer_link_t;

/* Never called from within a function of this module. */
typedef struct {
	/* The message is valid during the callback. */
	void (*message)(void *ctx, guint64 connection,
			const peer_message_t *message);
	/* A connection has closed; its number is not used again. */
	void (*closed)(void *ctx, guint64 connection);
	/* The connection opened to the address failed or has closed. */
	void (*outbound_lost)(void *ctx, const char *address);
	void *ctx;
} peer_link_events_t;

/*
 * Listens on address, "ip:port". body_bytes_max bounds the body of a forwarded
 * call. events is copied; counters must outlive the result. Returns NULL with
 * an error when it cannot listen. Free with peer_link_free().
 */
peer_link_t *peer_link_new(const char *address, gsize body_bytes_max,
			   const peer_link_events_t *events,
			   counters_t *counters, catk_error_t *err);

/* Closes all connections without events. NULL is allowed. */
void peer_link_free(peer_link_t *link);

/* Sends on the connection to the address, which is opened when needed. */
void peer_link_send(peer_link_t *link, const char *address,
		    const peer_message_t *message);

/* Sends on an open connection; dropped when it has closed. */
void peer_link_reply(peer_link_t *link, guint64 connection,
		     const peer_message_t *message);

#endif
