#include "codec/json_scan.h"

#include <string.h>

static gboolean is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void skip_space(json_scan_t *scan)
{
	while (scan->at < scan->end && is_space(*scan->at))
		scan->at++;
}

/* Returns the position after the string at text, NULL if it does not end. */
static const char *string_end(const char *text, const char *end)
{
	for (text++; text < end && *text != '"'; text++)
		if (*text == '\\' && ++text == end)
			return NULL;
	return text < end ? text + 1 : NULL;
}

static const char *container_end(const char *text, const char *end)
{
	gsize depth = 0;

	while (text && text < end) {
		switch (*text) {
		case '"':
			text = string_end(text, end);
			continue;
		case '[':
		case '{':
			depth++;
			break;
		case ']':
		case '}':
			if (--depth == 0)
				return text + 1;
			break;
		default:
			break;
		}
		text++;
	}
	return NULL;
}

static const char *literal_end(const char *text, const char *end)
{
	const char *start = text;

	while (text < end && !is_space(*text) && !strchr(",:]}[{\"/", *text))
		text++;
	return text > start ? text : NULL;
}

gboolean json_scan_read(json_scan_t *scan, json_span_t *value)
{
	const char *start, *end;

	skip_space(scan);
	if (scan->at == scan->end)
		return FALSE;
	start = scan->at;
	if (*start == '"')
		end = string_end(start, scan->end);
	else if (*start == '[' || *start == '{')
		end = container_end(start, scan->end);
	else
		end = literal_end(start, scan->end);
	if (!end)
		return FALSE;
	*value = (json_span_t){ start, (gsize)(end - start) };
	scan->at = end;
	return TRUE;
}

static gboolean read_char(json_scan_t *scan, char expected)
{
	skip_space(scan);
	if (scan->at == scan->end || *scan->at != expected)
		return FALSE;
	scan->at++;
	return TRUE;
}

gboolean json_scan_begin(json_scan_t *scan, json_span_t text, char open)
{
	*scan = (json_scan_t){ .at = text.start,
			       .end = text.start + text.size,
			       .close = open == '[' ? ']' : '}' };
	return read_char(scan, open);
}

/* Passes the comma before the value, or the end with nothing behind it. */
json_scan_result_t json_scan_next_element(json_scan_t *scan)
{
	if (read_char(scan, scan->close)) {
		skip_space(scan);
		return scan->nested || scan->at == scan->end ?
			       JSON_SCAN_END :
			       JSON_SCAN_UNREADABLE;
	}
	if (scan->begun && !read_char(scan, ','))
		return JSON_SCAN_UNREADABLE;
	scan->begun = TRUE;
	return JSON_SCAN_VALUE;
}

json_scan_result_t json_scan_next_member(json_scan_t *scan, json_span_t *name)
{
	json_scan_result_t result = json_scan_next_element(scan);

	if (result != JSON_SCAN_VALUE)
		return result;
	if (!json_scan_read(scan, name) || name->start[0] != '"' ||
	    memchr(name->start, '\\', name->size) || !read_char(scan, ':'))
		return JSON_SCAN_UNREADABLE;
	return JSON_SCAN_VALUE;
}

gboolean json_scan_enter(const json_scan_t *scan, json_scan_t *nested,
			 char open)
{
	json_span_t rest = { scan->at, (gsize)(scan->end - scan->at) };

	if (!json_scan_begin(nested, rest, open))
		return FALSE;
	nested->nested = TRUE;
	return TRUE;
}

void json_scan_leave(json_scan_t *scan, const json_scan_t *nested)
{
	scan->at = nested->at;
}

json_scan_result_t json_scan_element(json_scan_t *scan, json_span_t *value)
{
	json_scan_result_t result = json_scan_next_element(scan);

	if (result == JSON_SCAN_VALUE && !json_scan_read(scan, value))
		return JSON_SCAN_UNREADABLE;
	return result;
}

json_scan_result_t json_scan_member(json_scan_t *scan, json_span_t *name,
				    json_span_t *value)
{
	json_scan_result_t result = json_scan_next_member(scan, name);

	if (result == JSON_SCAN_VALUE && !json_scan_read(scan, value))
		return JSON_SCAN_UNREADABLE;
	return result;
}

json_scan_result_t json_scan_find(json_span_t object, const char *name,
				  json_span_t *value)
{
	json_scan_result_t result, found = JSON_SCAN_END;
	json_span_t member_name, member;
	json_scan_t scan;

	if (!json_scan_begin(&scan, object, '{'))
		return JSON_SCAN_UNREADABLE;
	while ((result = json_scan_member(&scan, &member_name, &member)) ==
	       JSON_SCAN_VALUE)
		if (json_span_is_string(member_name, name)) {
			*value = member;
			found = JSON_SCAN_VALUE;
		}
	return result == JSON_SCAN_END ? found : result;
}

gboolean json_span_is_string(json_span_t span, const char *text)
{
	gsize length = strlen(text);

	return span.size == length + 2 && span.start[0] == '"' &&
	       memcmp(span.start + 1, text, length) == 0;
}
