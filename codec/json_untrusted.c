#include "codec/json_untrusted.h"

#include <math.h>
#include <string.h>

#define UNICODE_ESCAPE_LENGTH 6 /* characters of "\u0000" */
#define REPLACEMENT_ESCAPE "\\ufffd"

/* A document that is being copied. */
typedef struct {
	const char *at;
	const char *end;
	GString *out;
	guint depth;
} copy_t;

static void copy_bytes(copy_t *copy, gsize size)
{
	g_string_append_len(copy->out, copy->at, (gssize)size);
	copy->at += size;
}

/* Returns the code unit of a \u escape at text, or -1 if there is none. */
static gint32 unicode_escape(const copy_t *copy, const char *text)
{
	gint32 unit = 0;
	guint i;

	if (copy->end - text < UNICODE_ESCAPE_LENGTH || text[0] != '\\' ||
	    text[1] != 'u')
		return -1;
	for (i = 2; i < UNICODE_ESCAPE_LENGTH; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return -1;
		unit = unit * 16 + g_ascii_xdigit_value(text[i]);
	}
	return unit;
}

static gboolean is_high_surrogate(gint32 unit)
{
	return unit >= 0xd800 && unit < 0xdc00;
}

static gboolean is_low_surrogate(gint32 unit)
{
	return unit >= 0xdc00 && unit < 0xe000;
}

static void copy_escape(copy_t *copy)
{
	gint32 unit = unicode_escape(copy, copy->at);

	if (unit < 0) {
		copy_bytes(copy, MIN(2, (gsize)(copy->end - copy->at)));
	} else if (is_high_surrogate(unit) &&
		   is_low_surrogate(unicode_escape(
			   copy, copy->at + UNICODE_ESCAPE_LENGTH))) {
		copy_bytes(copy, (gsize)2 * UNICODE_ESCAPE_LENGTH);
	} else if (!unit || is_high_surrogate(unit) || is_low_surrogate(unit)) {
		g_string_append(copy->out, REPLACEMENT_ESCAPE);
		copy->at += UNICODE_ESCAPE_LENGTH;
	} else {
		copy_bytes(copy, UNICODE_ESCAPE_LENGTH);
	}
}

/* Length of the text up to the next quote or escape. */
static gsize plain_length(const copy_t *copy)
{
	const char *at = copy->at;

	while (at < copy->end && *at != '"' && *at != '\\')
		at++;
	return (gsize)(at - copy->at);
}

static void copy_string(copy_t *copy)
{
	copy_bytes(copy, 1);
	while (copy->at < copy->end && *copy->at != '"')
		if (*copy->at == '\\')
			copy_escape(copy);
		else
			copy_bytes(copy, plain_length(copy));
	if (copy->at < copy->end)
		copy_bytes(copy, 1);
}

/* FALSE for text that is not a number at all: the parser rejects that. */
static gboolean is_out_of_range(const char *number)
{
	GError *error = NULL;
	gboolean out_of_range;

	if (strpbrk(number, ".eE"))
		return !isfinite(g_ascii_strtod(number, NULL));
	g_ascii_string_to_signed(number, 10, G_MININT64, G_MAXINT64, NULL,
				 &error);
	out_of_range = g_error_matches(error, G_NUMBER_PARSER_ERROR,
				       G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS);
	g_clear_error(&error);
	return out_of_range;
}

static void copy_number(copy_t *copy)
{
	gsize length = 0;
	gchar *number;

	while (copy->at + length < copy->end && copy->at[length] &&
	       strchr("+-.0123456789eE", copy->at[length]))
		length++;
	number = g_strndup(copy->at, length);
	g_string_append(copy->out, is_out_of_range(number) ? "null" : number);
	copy->at += length;
	g_free(number);
}

static void skip_string(copy_t *copy)
{
	for (copy->at++; copy->at < copy->end && *copy->at != '"'; copy->at++)
		if (*copy->at == '\\' && copy->at + 1 < copy->end)
			copy->at++;
	if (copy->at < copy->end)
		copy->at++;
}

/* Skips an array or an object, however deep, without recursion. */
static void skip_container(copy_t *copy)
{
	gsize depth = 0;

	do {
		char c = *copy->at;

		if (c == '"') {
			skip_string(copy);
			continue;
		}
		if (c == '[' || c == '{')
			depth++;
		else if (c == ']' || c == '}')
			depth--;
		copy->at++;
	} while (depth && copy->at < copy->end);
}

static void copy_value(copy_t *copy)
{
	char c = *copy->at;

	if (c == '"') {
		copy_string(copy);
	} else if (c == '-' || g_ascii_isdigit(c)) {
		copy_number(copy);
	} else if ((c == '[' || c == '{') && copy->depth == JSON_DEPTH_MAX) {
		skip_container(copy);
		g_string_append(copy->out, "null");
	} else {
		if (c == '[' || c == '{')
			copy->depth++;
		else if ((c == ']' || c == '}') && copy->depth)
			copy->depth--;
		copy_bytes(copy, 1);
	}
}

static GString *copy_readable(const char *text, gsize size)
{
	copy_t copy = { .at = text,
			.end = text + size,
			.out = g_string_sized_new(size) };

	while (copy.at < copy.end)
		copy_value(&copy);
	return copy.out;
}

/* The parser's message quotes strings of the document, which may be secrets. */
static void keep_position_only(GError *error)
{
	const char *end = strstr(error->message, ": Parse error");
	int length = end ? (int)(end - error->message) : 0;
	gchar *message =
		g_strdup_printf("%.*s%sit is not JSON: correct it there",
				length, error->message, length ? ": " : "");

	g_free(error->message);
	error->message = message;
}

JsonNode *json_parse_untrusted(const char *text, gsize size, GError **error)
{
	gchar *valid = g_utf8_validate_len(text, size, NULL) ?
			       NULL :
			       g_utf8_make_valid(text, (gssize)size);
	GString *readable = valid ? copy_readable(valid, strlen(valid)) :
				    copy_readable(text, size);
	JsonParser *parser = json_parser_new_immutable();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, readable->str,
				       (gssize)readable->len, error))
		root = json_parser_steal_root(parser);
	else if (error)
		keep_position_only(*error);
	g_object_unref(parser);
	g_string_free(readable, TRUE);
	g_free(valid);
	return root;
}
