#include "net/http_message.h"

#include <http_parser.h>
#include <string.h>

struct http_parse {
	http_parser parser;
	http_message_limits_t limits;
	http_message_t *message; /* being parsed, or complete */
	GString *name; /* of the header being read */
	GString *value;
	GString *target;
	GByteArray *body;
	gsize header_bytes;
	gboolean in_value;
	gboolean has_headers;
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

static gboolean is_named(const char *const *names, const char *name)
{
	for (; names && *names; names++)
		if (g_ascii_strcasecmp(*names, name) == 0)
			return TRUE;
	return FALSE;
}

/* Headers that "Connection" names concern this connection only. */
static gboolean is_listed(const char *connection, const char *name)
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
				 const char *const *except)
{
	static const char *const one_connection[] = { "Connection",
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
		if (!is_named(one_connection, header->name) &&
		    !is_named(except, header->name) &&
		    !is_listed(connection, header->name))
			g_string_append_printf(text, "%s: %s\r\n", header->name,
					       header->value);
}

static http_message_parser_t *parse_of(const http_parser *parser)
{
	return parser->data;
}

static int fail(http_message_parser_t *parse, http_parse_result_t failure)
{
	parse->failure = failure;
	return -1;
}

static int count_header_bytes(http_message_parser_t *parse, size_t size)
{
	parse->header_bytes += size;
	if (parse->limits.header_bytes_max &&
	    parse->header_bytes > parse->limits.header_bytes_max)
		return fail(parse, HTTP_PARSE_HEADERS_TOO_LARGE);
	return 0;
}

static int on_begin(http_parser *parser)
{
	http_message_parser_t *parse = parse_of(parser);

	http_message_free(parse->message);
	parse->message = message_new();
	parse->header_bytes = 0;
	parse->in_value = FALSE;
	parse->has_headers = FALSE;
	parse->complete = FALSE;
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	g_string_truncate(parse->target, 0);
	g_byte_array_set_size(parse->body, 0);
	return 0;
}

static int on_url(http_parser *parser, const char *data, size_t size)
{
	http_message_parser_t *parse = parse_of(parser);

	g_string_append_len(parse->target, data, (gssize)size);
	return count_header_bytes(parse, size);
}

static void end_header(http_message_parser_t *parse)
{
	http_header_t *header;

	if (!parse->in_value)
		return;
	header = g_new0(http_header_t, 1);
	header->name = g_strdup(parse->name->str);
	header->value = g_strdup(g_strchomp(parse->value->str));
	TAILQ_INSERT_TAIL(&parse->message->headers, header, link);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	parse->in_value = FALSE;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	http_message_parser_t *parse = parse_of(parser);

	end_header(parse);
	g_string_append_len(parse->name, data, (gssize)size);
	return count_header_bytes(parse, size);
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	http_message_parser_t *parse = parse_of(parser);

	parse->in_value = TRUE;
	g_string_append_len(parse->value, data, (gssize)size);
	return count_header_bytes(parse, size);
}

static guint count_headers(const http_message_t *message, const char *name)
{
	const http_header_t *header;
	guint count = 0;

	TAILQ_FOREACH (header, &message->headers, link)
		count += g_ascii_strcasecmp(header->name, name) == 0;
	return count;
}

/* "Content-Length : 5" is a length to some readers and none to others. */
static gboolean has_bad_name(const http_message_t *message)
{
	const http_header_t *header;

	TAILQ_FOREACH (header, &message->headers, link)
		if (strpbrk(header->name, " \t"))
			return TRUE;
	return FALSE;
}

/*
 * Two readings of the length let a request hide inside another. The parser
 * checks a length beside chunks; here are the other ways.
 */
static gboolean is_ambiguous(const http_message_t *message)
{
	const char *coding = http_message_header(message, "Transfer-Encoding");

	return has_bad_name(message) ||
	       count_headers(message, "Content-Length") > 1 ||
	       count_headers(message, "Transfer-Encoding") > 1 ||
	       (coding && http_message_header(message, "Content-Length")) ||
	       (coding && g_ascii_strcasecmp(coding, "chunked") != 0);
}

static int on_headers(http_parser *parser)
{
	http_message_parser_t *parse = parse_of(parser);
	http_message_t *message = parse->message;

	end_header(parse);
	parse->has_headers = TRUE;
	if (parser->type == HTTP_REQUEST) {
		message->method = g_strdup(
			http_method_str((enum http_method)parser->method));
		message->target = g_strdup(parse->target->str);
	} else {
		message->status = parser->status_code;
	}
	if (is_ambiguous(message) || parser->upgrade)
		return fail(parse, HTTP_PARSE_MALFORMED);
	if (parse->limits.body_bytes_max &&
	    parser->content_length != G_MAXUINT64 &&
	    parser->content_length > parse->limits.body_bytes_max)
		return fail(parse, HTTP_PARSE_BODY_TOO_LARGE);
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	http_message_parser_t *parse = parse_of(parser);

	g_byte_array_append(parse->body, (const guint8 *)data, (guint)size);
	if (parse->limits.body_bytes_max &&
	    parse->body->len > parse->limits.body_bytes_max)
		return fail(parse, HTTP_PARSE_BODY_TOO_LARGE);
	return 0;
}

static int on_complete(http_parser *parser)
{
	http_message_parser_t *parse = parse_of(parser);

	parse->message->keep_alive = http_should_keep_alive(parser) != 0;
	parse->message->body = g_bytes_new(parse->body->data, parse->body->len);
	parse->complete = TRUE;
	/* The next message is parsed after this one was taken. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

http_message_parser_t *http_message_parser_new(gboolean requests)
{
	http_message_parser_t *parse = g_new0(http_message_parser_t, 1);

	http_parser_init(&parse->parser,
			 requests ? HTTP_REQUEST : HTTP_RESPONSE);
	parse->parser.data = parse;
	parse->name = g_string_new(NULL);
	parse->value = g_string_new(NULL);
	parse->target = g_string_new(NULL);
	parse->body = g_byte_array_new();
	return parse;
}

void http_message_parser_free(http_message_parser_t *parse)
{
	if (!parse)
		return;
	http_message_free(parse->message);
	g_string_free(parse->name, TRUE);
	g_string_free(parse->value, TRUE);
	g_string_free(parse->target, TRUE);
	g_byte_array_unref(parse->body);
	g_free(parse);
}

void http_message_parser_set_limits(http_message_parser_t *parse,
				    const http_message_limits_t *limits)
{
	parse->limits = *limits;
}

static http_parse_result_t result_of(const http_message_parser_t *parse)
{
	enum http_errno code = HTTP_PARSER_ERRNO(&parse->parser);

	if (parse->complete)
		return HTTP_PARSE_COMPLETE;
	if (parse->failure != HTTP_PARSE_INCOMPLETE)
		return parse->failure;
	if (code == HPE_HEADER_OVERFLOW)
		return HTTP_PARSE_HEADERS_TOO_LARGE;
	return code == HPE_OK ? HTTP_PARSE_INCOMPLETE : HTTP_PARSE_MALFORMED;
}

http_parse_result_t http_message_parser_feed(http_message_parser_t *parse,
					     const char *data, gsize size,
					     gsize *used)
{
	g_assert(!parse->complete);
	*used = http_parser_execute(&parse->parser, &callbacks, data, size);
	return result_of(parse);
}

http_parse_result_t http_message_parser_eof(http_message_parser_t *parse)
{
	if (!http_message_parser_has_begun(parse))
		return HTTP_PARSE_INCOMPLETE;
	http_parser_execute(&parse->parser, &callbacks, NULL, 0);
	return parse->complete ? HTTP_PARSE_COMPLETE : HTTP_PARSE_MALFORMED;
}

http_message_t *http_message_parser_take(http_message_parser_t *parse)
{
	http_message_t *message = parse->message;

	g_assert(parse->complete);
	parse->message = NULL;
	parse->complete = FALSE;
	parse->has_headers = FALSE;
	http_parser_pause(&parse->parser, 0);
	return message;
}

const http_message_t *
http_message_parser_peek(const http_message_parser_t *parse)
{
	g_assert(parse->complete);
	return parse->message;
}

gboolean http_message_parser_has_begun(const http_message_parser_t *parse)
{
	return parse->message != NULL;
}

gboolean http_message_parser_has_headers(const http_message_parser_t *parse)
{
	return parse->message && parse->has_headers;
}
