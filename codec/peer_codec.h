/* Encoding of peer messages in protobuf, see proto/peer.proto. */
#ifndef CATK_PEER_CODEC_H
#define CATK_PEER_CODEC_H

#include "lib/entry/peer_message.h"

/*
 * Encodes a message without the length prefix. Free with g_byte_array_unref().
 */
GByteArray *peer_codec_encode(const peer_message_t *message);

/* Receives a decoded message, which is valid only during the callback. */
typedef void (*peer_codec_message_fn_t)(void *ctx,
					const peer_message_t *message);

/*
 * Decodes and validates a message and passes it to on_message. Returns FALSE
 * without a callback if the bytes are not a valid message within its limits.
 */
gboolean peer_codec_decode(const guint8 *data, gsize size,
			   peer_codec_message_fn_t on_message, void *ctx);

#endif
