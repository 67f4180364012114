/* Responses of the small HTTP interfaces: status codes, JSON documents and errors. */
#ifndef CATK_HTTP_REPLY_H
#define CATK_HTTP_REPLY_H

#include <json-glib/json-glib.h>

#include "lib/common/error.h"
#include "net/http_server.h"

/* Returns the HTTP status code for a kind of error. */
guint http_status_for_error(catk_error_kind_t kind);

/*
 * Responds with an error: the JSON document {"error":{...}}, the status code,
 * the outcome header and, where the error says when to retry, Retry-After.
 */
void http_reply_error(http_exchange_t *exchange, const catk_error_t *error);

/*
 * Like http_reply_error(), but calls add to append members beside "error" to
 * the document. add may be NULL.
 */
void http_reply_error_with(http_exchange_t *exchange, const catk_error_t *error,
			   void (*add)(void *ctx, JsonBuilder *builder),
			   void *ctx);

/* Responds with status 200 and the builder's document. */
void http_reply_json(http_exchange_t *exchange, JsonBuilder *builder);

/*
 * Responds with a body of the given content type; references body. headers are
 * further complete header lines.
 */
void http_reply_bytes(http_exchange_t *exchange, guint status,
		      const char *content_type, const char *headers,
		      GBytes *body);

/*
 * Parses the value of a header or query parameter as a decimal number between
 * min and max. *value is default_value when text is NULL. Returns FALSE with
 * CATK_INVALID_ARGUMENT when text is not such a number.
 */
gboolean http_parse_number(const char *name, const char *text, guint64 min,
			   guint64 max, guint64 default_value, guint64 *value,
			   catk_error_t *err);

#endif
