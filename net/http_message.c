#include "net/http_message.h"

#include <http_parser.h>
#include <string.h>

/* Returned to http_parser from the callback for complete headers. */
#define SKIP_BODY 1

/* The memory of a body grows by one part in so many beyond what is needed. */
#define BODY_GROWTH_DIVISOR 8
#define BODY_BYTES_MIN 1024 /* of the first allocation */
/* Memory of a header beside its characters: http_header_t and two blocks. */
#define HEADER_OVERHEAD_BYTES 96

struct http_message_parser {
	http_parser impl;
	http_message_limits_t limits;
	http_message_t *message; /* being parsed, or complete */
	GString *name; /* of the header being parsed */
	GString *value;
	GString *target;
	guint8 *body; /* body_bytes of body_allocated, NULL without one */
	gsize body_bytes;
	gsize body_allocated;
	gsize header_bytes;
	guint header_count;
	gsize announced_bytes; /* Content-Length, 0 without one */
	gboolean bodiless; /* responses end with their headers */
	gboolean value_begun; /* part of that header's value was parsed */
	gboolean has_headers; /* names and values from now on are trailers */
	gboolean complete;
	http_parse_result_t failure; /* HTTP_PARSE_INCOMPLETE for none */
};

static http_message_t *message_new(void)
{
	http_message_t *message = g_new0(http_message_t, 1);

	TAILQ_INIT(&message->headers);
	return message;
}

void http_message_free(http_message_t *message)
{
	http_header_t *header, *next;

	if (!message)
		return;
	TAILQ_FOREACH_SAFE (header, &message->headers, link, next) {
		g_free(header->name);
		g_free(header->value);
		g_free(header);
	}
	g_clear_pointer(&message->body, g_bytes_unref);
	g_free(message->method);
	g_free(message->target);
	g_free(message);
}

const char *http_message_header(const http_message_t *message, const char *name)
{
	const http_header_t *header;

	TAILQ_FOREACH (header, &message->headers, link)
		if (g_ascii_strcasecmp(header->name, name) == 0)
			return header->value;
	return NULL;
}

gboolean http_message_is_head_request(const http_message_t *message)
{
	return g_strcmp0(message->method, "HEAD") == 0;
}

static gboolean contains_name(const char *const *names, const char *name)
{
	for (; names && *names; names++)
		if (g_ascii_strcasecmp(*names, name) == 0)
			return TRUE;
	return FALSE;
}

/* Headers that Connection lists are hop-by-hop (RFC 9110, section 7.6.1). */
static gboolean is_connection_option(const char *connection, const char *name)
{
	gchar **tokens;
	gboolean found = FALSE;
	gsize i;

	if (!connection)
		return FALSE;
	tokens = g_strsplit(connection, ",", -1);
	for (i = 0; tokens[i] && !found; i++)
		found = g_ascii_strcasecmp(g_strstrip(tokens[i]), name) == 0;
	g_strfreev(tokens);
	return found;
}

void http_message_append_headers(const http_message_t *message, GString *text,
				 const char *const *excluded)
{
	static const char *const not_forwarded[] = { "Connection",
						     "Keep-Alive",
						     "Proxy-Connection",
						     "TE",
						     "Trailer",
						     "Transfer-Encoding",
						     "Content-Length",
						     "Upgrade",
						     NULL };
	const char *connection = http_message_header(message, "Connection");
	const http_header_t *header;

	TAILQ_FOREACH (header, &message->headers, link)
		if (!contains_name(not_forwarded, header->name) &&
		    !contains_name(excluded, header->name) &&
		    !is_connection_option(connection, header->name))
			g_string_append_printf(text, "%s: %s\r\n", header->name,
					       header->value);
}

static http_message_parser_t *parser_from(const http_parser *impl)
{
	return impl->data;
}

static int fail(http_message_parser_t *parser, http_parse_result_t failure)
{
	parser->failure = failure;
	return -1;
}

static int count_header_bytes(http_message_parser_t *parser, size_t size)
{
	parser->header_bytes += size;
	if (parser->limits.header_bytes_max &&
	    parser->header_bytes > parser->limits.header_bytes_max)
		return fail(parser, HTTP_PARSE_HEADERS_TOO_LARGE);
	return 0;
}

static int on_begin(http_parser *impl)
{
	http_message_parser_t *parser = parser_from(impl);

	http_message_free(parser->message);
	parser->message = message_new();
	parser->header_bytes = 0;
	parser->header_count = 0;
	parser->announced_bytes = 0;
	parser->value_begun = FALSE;
	parser->has_headers = FALSE;
	parser->complete = FALSE;
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->value, 0);
	g_string_truncate(parser->target, 0);
	return 0;
}

static int on_url(http_parser *impl, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_from(impl);

	g_string_append_len(parser->target, data, (gssize)size);
	return count_header_bytes(parser, size);
}

static void finish_header(http_message_parser_t *parser)
{
	http_header_t *header;

	if (!parser->value_begun)
		return;
	header = g_new0(http_header_t, 1);
	header->name = g_strdup(parser->name->str);
	header->value = g_strdup(g_strchomp(parser->value->str));
	TAILQ_INSERT_TAIL(&parser->message->headers, header, link);
	parser->header_count++;
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->value, 0);
	parser->value_begun = FALSE;
}

static int on_header_name(http_parser *impl, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_from(impl);

	if (parser->has_headers)
		return count_header_bytes(parser, size);
	finish_header(parser);
	g_string_append_len(parser->name, data, (gssize)size);
	return count_header_bytes(parser, size);
}

static int on_header_value(http_parser *impl, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_from(impl);

	if (parser->has_headers)
		return count_header_bytes(parser, size);
	parser->value_begun = TRUE;
	g_string_append_len(parser->value, data, (gssize)size);
	return count_header_bytes(parser, size);
}

guint http_message_header_count(const http_message_t *message, const char *name)
{
	const http_header_t *header;
	guint count = 0;

	TAILQ_FOREACH (header, &message->headers, link)
		count += g_ascii_strcasecmp(header->name, name) == 0;
	return count;
}

/* Some parsers accept "Content-Length : 5", others ignore it. */
static gboolean has_space_in_name(const http_message_t *message)
{
	const http_header_t *header;

	TAILQ_FOREACH (header, &message->headers, link)
		if (strpbrk(header->name, " \t"))
			return TRUE;
	return FALSE;
}

/*
 * Where two parsers can read different lengths, a request can be smuggled
 * inside the body of another. http_parser itself rejects Content-Length together
 * with chunked encoding; this covers the other cases.
 */
static gboolean has_ambiguous_length(const http_message_t *message)
{
	const char *encoding =
		http_message_header(message, "Transfer-Encoding");

	return has_space_in_name(message) ||
	       http_message_header_count(message, "Content-Length") > 1 ||
	       http_message_header_count(message, "Transfer-Encoding") > 1 ||
	       (encoding && http_message_header(message, "Content-Length")) ||
	       (encoding && g_ascii_strcasecmp(encoding, "chunked") != 0);
}

/*
 * No client may be given any other status. 101 is interim, too, but ends HTTP on
 * the connection, and no request asks for that.
 */
static gboolean is_valid_status(guint status)
{
	return status >= 100 && status <= 599 &&
	       status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static int on_headers(http_parser *impl)
{
	http_message_parser_t *parser = parser_from(impl);
	http_message_t *message = parser->message;

	finish_header(parser);
	parser->has_headers = TRUE;
	if (impl->type == HTTP_REQUEST) {
		message->method = g_strdup(
			http_method_str((enum http_method)impl->method));
		message->target = g_strdup(parser->target->str);
	} else {
		message->status = impl->status_code;
		if (!is_valid_status(message->status))
			return fail(parser, HTTP_PARSE_MALFORMED);
	}
	if (has_ambiguous_length(message) || impl->upgrade)
		return fail(parser, HTTP_PARSE_MALFORMED);
	if (parser->bodiless)
		return SKIP_BODY;
	if (impl->content_length != G_MAXUINT64)
		parser->announced_bytes = impl->content_length;
	if (parser->limits.body_bytes_max &&
	    parser->announced_bytes > parser->limits.body_bytes_max)
		return fail(parser, HTTP_PARSE_BODY_TOO_LARGE);
	return 0;
}

/* Grows by a part, not to the double: a body takes little more than it has. */
static void reserve_body(http_message_parser_t *parser, gsize bytes)
{
	gsize max = parser->limits.body_bytes_max;
	gsize wanted;

	if (bytes <= parser->body_allocated)
		return;
	wanted = MAX(bytes + bytes / BODY_GROWTH_DIVISOR, BODY_BYTES_MIN);
	if (max)
		wanted = MIN(wanted, max);
	if (parser->announced_bytes)
		wanted = MIN(wanted, parser->announced_bytes);
	wanted = MAX(wanted, bytes);
	parser->body = g_realloc(parser->body, wanted);
	parser->body_allocated = wanted;
}

static void clear_body(http_message_parser_t *parser)
{
	g_clear_pointer(&parser->body, g_free);
	parser->body_bytes = 0;
	parser->body_allocated = 0;
}

static int on_body(http_parser *impl, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_from(impl);
	gsize bytes = parser->body_bytes + size;

	if (parser->limits.body_bytes_max &&
	    bytes > parser->limits.body_bytes_max)
		return fail(parser, HTTP_PARSE_BODY_TOO_LARGE);
	reserve_body(parser, bytes);
	memcpy(parser->body + parser->body_bytes, data, size);
	parser->body_bytes = bytes;
	return 0;
}

/* Returns the body; what it does not use of its memory is given back. */
static GBytes *take_body(http_message_parser_t *parser)
{
	gsize size = parser->body_bytes;
	guint8 *body = g_realloc(parser->body, size);

	parser->body = NULL;
	clear_body(parser);
	return g_bytes_new_take(body, size);
}

static int on_complete(http_parser *impl)
{
	http_message_parser_t *parser = parser_from(impl);

	parser->message->keep_alive = http_should_keep_alive(impl) != 0;
	/* The message takes the data over: a kept connection holds no body. */
	parser->message->body = take_body(parser);
	parser->complete = TRUE;
	/* Parsing resumes after http_message_parser_take(). */
	http_parser_pause(impl, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

http_message_parser_t *http_message_parser_new(gboolean requests)
{
	http_message_parser_t *parser = g_new0(http_message_parser_t, 1);

	http_parser_init(&parser->impl,
			 requests ? HTTP_REQUEST : HTTP_RESPONSE);
	parser->impl.data = parser;
	parser->name = g_string_new(NULL);
	parser->value = g_string_new(NULL);
	parser->target = g_string_new(NULL);
	return parser;
}

void http_message_parser_free(http_message_parser_t *parser)
{
	if (!parser)
		return;
	http_message_free(parser->message);
	g_string_free(parser->name, TRUE);
	g_string_free(parser->value, TRUE);
	g_string_free(parser->target, TRUE);
	clear_body(parser);
	g_free(parser);
}

void http_message_parser_set_bodiless(http_message_parser_t *parser,
				      gboolean bodiless)
{
	parser->bodiless = bodiless;
}

void http_message_parser_set_limits(http_message_parser_t *parser,
				    const http_message_limits_t *limits)
{
	parser->limits = *limits;
}

static http_parse_result_t parse_result(const http_message_parser_t *parser)
{
	enum http_errno code = HTTP_PARSER_ERRNO(&parser->impl);

	if (parser->complete)
		return HTTP_PARSE_COMPLETE;
	if (parser->failure != HTTP_PARSE_INCOMPLETE)
		return parser->failure;
	if (code == HPE_HEADER_OVERFLOW)
		return HTTP_PARSE_HEADERS_TOO_LARGE;
	return code == HPE_OK ? HTTP_PARSE_INCOMPLETE : HTTP_PARSE_MALFORMED;
}

http_parse_result_t http_message_parser_feed(http_message_parser_t *parser,
					     const char *data, gsize size,
					     gsize *used)
{
	g_assert(!parser->complete);
	*used = http_parser_execute(&parser->impl, &callbacks, data, size);
	return parse_result(parser);
}

http_parse_result_t http_message_parser_eof(http_message_parser_t *parser)
{
	if (!http_message_parser_has_begun(parser))
		return HTTP_PARSE_INCOMPLETE;
	http_parser_execute(&parser->impl, &callbacks, NULL, 0);
	return parser->complete ? HTTP_PARSE_COMPLETE : HTTP_PARSE_MALFORMED;
}

http_message_t *http_message_parser_take(http_message_parser_t *parser)
{
	http_message_t *message = parser->message;

	g_assert(parser->complete);
	parser->message = NULL;
	parser->announced_bytes = 0;
	parser->complete = FALSE;
	parser->has_headers = FALSE;
	http_parser_pause(&parser->impl, 0);
	return message;
}

const http_message_t *
http_message_parser_peek(const http_message_parser_t *parser)
{
	g_assert(parser->complete);
	return parser->message;
}

const http_message_t *
http_message_parser_head(const http_message_parser_t *parser)
{
	return http_message_parser_has_headers(parser) ? parser->message : NULL;
}

gsize http_message_parser_kept_bytes(const http_message_parser_t *parser)
{
	return parser->header_bytes + parser->body_bytes;
}

gsize http_message_parser_body_bytes(const http_message_parser_t *parser)
{
	if (parser->complete)
		return g_bytes_get_size(parser->message->body);
	return MAX(parser->announced_bytes, parser->body_allocated);
}

gsize http_message_parser_header_bytes(const http_message_parser_t *parser)
{
	return parser->header_bytes +
	       (gsize)parser->header_count * HEADER_OVERHEAD_BYTES;
}

gsize http_message_parser_received_bytes(const http_message_parser_t *parser)
{
	return parser->body_bytes;
}

gboolean http_message_parser_has_begun(const http_message_parser_t *parser)
{
	return parser->message != NULL;
}

gboolean http_message_parser_has_headers(const http_message_parser_t *parser)
{
	return parser->message && parser->has_headers;
}
