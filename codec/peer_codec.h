/* Peer messages to and from protobuf, see proto/peer.proto. */
#ifndef CATK_PEER_CODEC_H
#define CATK_PEER_CODEC_H

#include "lib/entry/peer_message.h"

/*
 * The bytes of a message without the length prefix. Free with
 * g_byte_array_unref().
 */
GByteArray *peer_codec_encode(const peer_message_t *message);

/* Called with a message that is valid during the callback. */
typedef void (*peer_codec_fn_t)(void *ctx, const peer_message_t *message);

/*
 * Checks a message and passes it to on_message. FALSE, without a callback,
 * when the bytes are not a message within the documented bounds.
 */
gboolean peer_codec_decode(const guint8 *data, gsize size,
			   peer_codec_fn_t on_message, void *ctx);

#endif
