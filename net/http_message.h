/*
 * HTTP/1.1 messages and a strict parser for them. Messages whose length is
 * ambiguous are rejected, which prevents request smuggling.
 */
#ifndef CATK_HTTP_MESSAGE_H
#define CATK_HTTP_MESSAGE_H

#include <glib.h>

#include "lib/common/intrusive.h"

typedef struct http_header {
	TAILQ_ENTRY(http_header) link;
	char *name;
	char *value;
} http_header_t;

typedef struct {
	char *method; /* of a request, NULL in a response */
	char *target; /* of a request, NULL in a response */
	guint status; /* of a response, 0 in a request */
	gboolean keep_alive; /* the connection is persistent */
	TAILQ_HEAD(http_headers, http_header) headers; /* without trailers */
	GBytes *body; /* complete, never NULL in a parsed message */
} http_message_t;

/* NULL is allowed. */
void http_message_free(http_message_t *message);

/*
 * Returns the value of the first header with that name, compared without case,
 * or NULL.
 */
const char *http_message_header(const http_message_t *message,
				const char *name);

/* Number of headers with that name, compared without case. */
guint http_message_header_count(const http_message_t *message,
				const char *name);

/* TRUE for a HEAD request: its response has headers only. */
gboolean http_message_is_head_request(const http_message_t *message);

/*
 * Appends the headers that a proxy forwards: all except the hop-by-hop headers,
 * Content-Length and the names in excluded. excluded is NULL-terminated or
 * NULL.
 */
void http_message_append_headers(const http_message_t *message, GString *text,
				 const char *const *excluded);

typedef enum {
	HTTP_PARSE_INCOMPLETE, /* all input was consumed, more is needed */
	HTTP_PARSE_COMPLETE, /* see http_message_parser_take() */
	HTTP_PARSE_MALFORMED,
	HTTP_PARSE_HEADERS_TOO_LARGE,
	HTTP_PARSE_BODY_TOO_LARGE
} http_parse_result_t;

typedef struct http_message_parser http_message_parser_t;

/* Limits in bytes, 0 for none. */
typedef struct {
	gsize header_bytes_max;
	gsize body_bytes_max;
} http_message_limits_t;

/* Header limit of responses, far above what endpoints and the store send. */
#define HTTP_RESPONSE_HEADER_BYTES_MAX 65536

/*
 * Creates a parser for the requests or the responses of one connection. Free
 * with http_message_parser_free().
 */
http_message_parser_t *http_message_parser_new(gboolean requests);

/* NULL is allowed. */
void http_message_parser_free(http_message_parser_t *parser);

/* Whether the next responses have no body, as those to HEAD requests. */
void http_message_parser_set_bodiless(http_message_parser_t *parser,
				      gboolean bodiless);

void http_message_parser_set_limits(http_message_parser_t *parser,
				    const http_message_limits_t *limits);

/*
 * Parses data up to the end of a message and sets *used to the number of bytes
 * consumed. After HTTP_PARSE_COMPLETE the remaining bytes belong to the next
 * message, and the complete one must be taken before the next call.
 */
http_parse_result_t http_message_parser_feed(http_message_parser_t *parser,
					     const char *data, gsize size,
					     gsize *used);

/*
 * Signals that the peer closed the connection, which completes a response
 * without a length. Returns HTTP_PARSE_INCOMPLETE when no message had begun.
 */
http_parse_result_t http_message_parser_eof(http_message_parser_t *parser);

/* Returns the complete message; the caller frees it. */
http_message_t *http_message_parser_take(http_message_parser_t *parser);

/* Returns the complete message; the parser still owns it. */
const http_message_t *
http_message_parser_peek(const http_message_parser_t *parser);

/*
 * Returns the current message, of which the body may be incomplete, once its
 * headers are complete; NULL before. The parser still owns it.
 */
const http_message_t *
http_message_parser_head(const http_message_parser_t *parser);

/* Bytes of the current message that are kept. */
gsize http_message_parser_kept_bytes(const http_message_parser_t *parser);

/*
 * Bytes that the body of the current message takes: as announced, as allocated
 * so far if that is more, or of the complete body.
 */
gsize http_message_parser_body_bytes(const http_message_parser_t *parser);

/* Bytes that the headers of the current message take. */
gsize http_message_parser_header_bytes(const http_message_parser_t *parser);

/* Bytes of the body of the current, incomplete message received so far. */
gsize http_message_parser_received_bytes(const http_message_parser_t *parser);

/* TRUE when part of the current message was received. */
gboolean http_message_parser_has_begun(const http_message_parser_t *parser);

/* TRUE when the headers of the current message are complete. */
gboolean http_message_parser_has_headers(const http_message_parser_t *parser);

#endif
