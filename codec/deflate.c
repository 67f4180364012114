#include "codec/deflate.h"

#include <gio/gio.h>

/* The fastest: an entry may have a tenth of a core. */
#define COMPRESSION_LEVEL 1
#define CHUNK_BYTES 16384

/*
 * Returns NULL on an error, before the end of the compressed data, or if the
 * output exceeds size_max.
 */
static GByteArray *convert(GConverter *converter, const guint8 *data,
			   gsize size, gsize size_max)
{
	GByteArray *out = g_byte_array_new();
	GConverterResult result = G_CONVERTER_CONVERTED;
	guint8 chunk[CHUNK_BYTES];
	gsize offset = 0;

	while (result == G_CONVERTER_CONVERTED && out->len <= size_max) {
		gsize consumed = 0, produced = 0;

		result = g_converter_convert(converter, data + offset,
					     size - offset, chunk,
					     sizeof(chunk),
					     G_CONVERTER_INPUT_AT_END,
					     &consumed, &produced, NULL);
		if (result == G_CONVERTER_ERROR)
			break;
		offset += consumed;
		g_byte_array_append(out, chunk, (guint)produced);
	}
	if (result == G_CONVERTER_FINISHED && offset == size &&
	    out->len <= size_max)
		return out;
	g_byte_array_unref(out);
	return NULL;
}

GBytes *deflate_bytes(GBytes *data)
{
	GConverter *compressor = G_CONVERTER(g_zlib_compressor_new(
		G_ZLIB_COMPRESSOR_FORMAT_ZLIB, COMPRESSION_LEVEL));
	gsize size;
	const guint8 *bytes = g_bytes_get_data(data, &size);
	GByteArray *out = convert(compressor, bytes, size, G_MAXSIZE);

	g_object_unref(compressor);
	g_assert(out);
	return g_byte_array_free_to_bytes(out);
}

GBytes *inflate_bytes(const guint8 *data, gsize size, gsize size_max)
{
	GConverter *decompressor = G_CONVERTER(
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB));
	GByteArray *out = convert(decompressor, data, size, size_max);

	g_object_unref(decompressor);
	return out ? g_byte_array_free_to_bytes(out) : NULL;
}

GBytes *deflate_cache_get(deflate_cache_t *cache, GBytes *document)
{
	if (cache->document != document) {
		deflate_cache_clear(cache);
		cache->document = g_bytes_ref(document);
		cache->deflated = deflate_bytes(document);
	}
	return cache->deflated;
}

void deflate_cache_clear(deflate_cache_t *cache)
{
	g_clear_pointer(&cache->document, g_bytes_unref);
	g_clear_pointer(&cache->deflated, g_bytes_unref);
}
