/*
 * Finds the values of a JSON text without parsing them, so that a large document
 * can be parsed in parts and a part passed on as it was written. The parts are
 * not checked: parse them with json_parse_untrusted().
 */
#ifndef CATK_JSON_SCAN_H
#define CATK_JSON_SCAN_H

#include <glib.h>

/* The text of a value or a name, including quotes and brackets. */
typedef struct {
	const char *start;
	gsize size; /* bytes */
} json_span_t;

/* A position in the text of an array or an object. */
typedef struct {
	const char *at;
	const char *end;
	char close; /* bracket that ends it */
	gboolean begun; /* has returned a value */
	gboolean nested; /* begun by json_scan_enter() */
} json_scan_t;

typedef enum {
	JSON_SCAN_VALUE,
	JSON_SCAN_END,
	/* No JSON, or JSON that only a parser can read, such as comments. */
	JSON_SCAN_UNREADABLE
} json_scan_result_t;

/*
 * Starts before the first value of text, which is an array if open is '[' and an
 * object if it is '{'. Returns FALSE if it is not. text must outlive the scan.
 */
gboolean json_scan_begin(json_scan_t *scan, json_span_t text, char open);

/*
 * Step by step: moves before the next value of an array, or of an object whose
 * name it sets. The value must then be passed by json_scan_read() or entered.
 */
json_scan_result_t json_scan_next_element(json_scan_t *scan);
json_scan_result_t json_scan_next_member(json_scan_t *scan, json_span_t *name);

/* Sets the value and moves behind it. Returns FALSE if it is unreadable. */
gboolean json_scan_read(json_scan_t *scan, json_span_t *value);

/*
 * Starts to scan the value itself, an array or an object as by
 * json_scan_begin(). When nested has returned JSON_SCAN_END, scan is continued
 * after json_scan_leave().
 */
gboolean json_scan_enter(const json_scan_t *scan, json_scan_t *nested,
			 char open);
void json_scan_leave(json_scan_t *scan, const json_scan_t *nested);

/* Sets the next value of an array. */
json_scan_result_t json_scan_element(json_scan_t *scan, json_span_t *value);

/* Sets the next name and value of an object. Names with escapes are unreadable. */
json_scan_result_t json_scan_member(json_scan_t *scan, json_span_t *name,
				    json_span_t *value);

/*
 * Sets the value of the last member of that name. Returns JSON_SCAN_END without
 * such a member.
 */
json_scan_result_t json_scan_find(json_span_t object, const char *name,
				  json_span_t *value);

/* TRUE if the span is the string text, written without escapes. */
gboolean json_span_is_string(json_span_t span, const char *text);

#endif
