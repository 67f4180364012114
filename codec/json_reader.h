/*
 * Checked access to JSON members. Errors go to a callback with the place of
 * the member, so that one pass reports all of them.
 */
#ifndef CATK_JSON_READER_H
#define CATK_JSON_READER_H

#include <json-glib/json-glib.h>

#define JSON_PLACE_MAX 256 /* bytes of a place such as "$.services[0].name" */

typedef struct {
	void (*on_issue)(void *ctx, const char *place, const char *message);
	void *ctx;
	guint issues;
} json_reader_t;

/* Reports an issue. */
void json_reader_issue(json_reader_t *reader, const char *place,
		       const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Reports every member of object that is not in the NULL-ended list. */
void json_reader_refuse_unknown(json_reader_t *reader, const char *place,
				JsonObject *object, const char *const *known);

/* A required string, or NULL with an issue. Valid as long as object. */
const char *json_reader_string(json_reader_t *reader, const char *place,
			       JsonObject *object, const char *key);

/* A required whole number in a range, or 0 with an issue. */
gint64 json_reader_integer(json_reader_t *reader, const char *place,
			   JsonObject *object, const char *key, gint64 min,
			   gint64 max);

/* A required number in a range, or 0 with an issue. */
double json_reader_number(json_reader_t *reader, const char *place,
			  JsonObject *object, const char *key, double min,
			  double max);

/* A required boolean, or FALSE with an issue. */
gboolean json_reader_boolean(json_reader_t *reader, const char *place,
			     JsonObject *object, const char *key);

/* A required array, or NULL with an issue. */
JsonArray *json_reader_array(json_reader_t *reader, const char *place,
			     JsonObject *object, const char *key);

/* An element of an array that must be an object, or NULL with an issue. */
JsonObject *json_reader_element(json_reader_t *reader, const char *place,
				JsonArray *array, guint index);

/*
 * Parses a document whose root is an object. Returns NULL with an issue when
 * it is not. Free the result with json_node_unref().
 */
JsonNode *json_reader_parse(json_reader_t *reader, const char *text,
			    gssize length);

#endif
