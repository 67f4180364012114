/* Answers of the HTTP front ends: status codes and JSON errors. */
#ifndef CATK_HTTP_REPLY_H
#define CATK_HTTP_REPLY_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "lib/common/error.h"

/* HTTP status of an error kind. */
guint http_status_for_error(catk_error_kind_t kind);

/* Answers with a JSON document of {"error":{...}} and the outcome header. */
void http_reply_error(SoupServerMessage *message, const catk_error_t *error);

/*
 * Like http_reply_error(), with members that add puts beside "error" in the
 * document. add may be NULL.
 */
void http_reply_error_with(SoupServerMessage *message,
			   const catk_error_t *error,
			   void (*add)(void *ctx, JsonBuilder *builder),
			   void *ctx);

/* Answers 200 with the builder's document. */
void http_reply_json(SoupServerMessage *message, JsonBuilder *builder);

/* Answers with a body of the given type; body is referenced. */
void http_reply_bytes(SoupServerMessage *message, guint status,
		      const char *content_type, GBytes *body);

/*
 * The value of a header or query parameter as a number, initial when it is
 * absent. FALSE with CATK_INVALID_ARGUMENT when it is not a whole number in
 * the range.
 */
gboolean http_parse_number(const char *name, const char *text, guint64 min,
			   guint64 max, guint64 initial, guint64 *value,
			   catk_error_t *err);

#endif
