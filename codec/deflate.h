/* Compression of documents in the zlib format (RFC 1950). */
#ifndef CATK_DEFLATE_H
#define CATK_DEFLATE_H

#include <glib.h>

/* Returns the compressed data. Unref with g_bytes_unref(). */
GBytes *deflate_bytes(GBytes *data);

/*
 * Returns the original of compressed data, NULL if the data is damaged, cut,
 * followed by other bytes, or larger than size_max when decompressed.
 */
GBytes *inflate_bytes(const guint8 *data, gsize size, gsize size_max);

/* Keeps the result for the document that was compressed last. */
typedef struct {
	GBytes *document; /* NULL for none */
	GBytes *deflated;
} deflate_cache_t;

/* Returns the compressed document, owned by the cache until the next call. */
GBytes *deflate_cache_get(deflate_cache_t *cache, GBytes *document);

void deflate_cache_clear(deflate_cache_t *cache);

#endif
