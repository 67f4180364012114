/*
 * Parser for JSON that other programs have written. What json-glib cannot read
 * safely is replaced, so that one malformed value does not affect the rest of the
 * document.
 */
#ifndef CATK_JSON_UNTRUSTED_H
#define CATK_JSON_UNTRUSTED_H

#include <json-glib/json-glib.h>

/* Levels of arrays and objects within each other. */
#define JSON_DEPTH_MAX 64

/*
 * Arrays and objects nested deeper than JSON_DEPTH_MAX, and numbers out of the
 * range of a gint64 or a double, become null. Bytes that are not UTF-8, unpaired
 * surrogates and NUL characters become U+FFFD. Returns NULL with the error if
 * the document is not JSON otherwise; its message has line and column, and nothing
 * of the document. Free with json_node_unref().
 */
JsonNode *json_parse_untrusted(const char *text, gsize size, GError **error);

#endif
