/*
 * HTTP/1.1 messages and their parser. The parser is strict: a message whose end
 * could be read in two ways is an error.
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
	char *method; /* of a request, NULL in an answer */
	char *target; /* of a request, NULL in an answer */
	guint status; /* of an answer, 0 in a request */
	gboolean keep_alive; /* the connection may be used again */
	TAILQ_HEAD(http_headers, http_header) headers;
	GBytes *body; /* complete, never NULL in a parsed message */
} http_message_t;

/* NULL is allowed. */
void http_message_free(http_message_t *message);

/* Value of the first header of that name, in any case, or NULL. */
const char *http_message_header(const http_message_t *message,
				const char *name);

/*
 * Appends the headers that are passed on: all but those that concern one
 * connection, the length of the body, and the names in the NULL-ended list
 * except, which may be NULL.
 */
void http_message_append_headers(const http_message_t *message, GString *text,
				 const char *const *except);

typedef enum {
	HTTP_PARSE_INCOMPLETE, /* all bytes were used, the message is not complete */
	HTTP_PARSE_COMPLETE, /* take it with http_message_parser_take() */
	HTTP_PARSE_MALFORMED,
	HTTP_PARSE_HEADERS_TOO_LARGE,
	HTTP_PARSE_BODY_TOO_LARGE
} http_parse_result_t;

typedef struct http_parse http_message_parser_t;

/* Limits in bytes, 0 for none. */
typedef struct {
	gsize header_bytes_max;
	gsize body_bytes_max;
} http_message_limits_t;

/* A parser of a connection's requests or answers. Free with http_message_parser_free(). */
http_message_parser_t *http_message_parser_new(gboolean requests);

void http_message_parser_free(http_message_parser_t *parse);

void http_message_parser_set_limits(http_message_parser_t *parse,
				    const http_message_limits_t *limits);

/*
 * Parses up to the end of a message. *used is set to the bytes taken; after
 * HTTP_PARSE_COMPLETE the rest belongs to the next message.
 */
http_parse_result_t http_message_parser_feed(http_message_parser_t *parse,
					     const char *data, gsize size,
					     gsize *used);

/*
 * The peer closed the connection. Completes an answer without a length;
 * HTTP_PARSE_INCOMPLETE when no message had begun.
 */
http_parse_result_t http_message_parser_eof(http_message_parser_t *parse);

/* The complete message; the caller frees it. */
http_message_t *http_message_parser_take(http_message_parser_t *parse);

/* The message that is complete, still owned by the parser. */
const http_message_t *
http_message_parser_peek(const http_message_parser_t *parse);

/* TRUE when bytes of a message that is not complete have come. */
gboolean http_message_parser_has_begun(const http_message_parser_t *parse);

/* TRUE when the headers of the current message are complete. */
gboolean http_message_parser_has_headers(const http_message_parser_t *parse);

#endif
