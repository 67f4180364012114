/*
 * Validating access to JSON members. Errors are passed to a callback with the
 * path of the object, so that one pass reports all of them.
 */
#ifndef CATK_JSON_READER_H
#define CATK_JSON_READER_H

#include <json-glib/json-glib.h>

#define JSON_PATH_MAX 256 /* bytes of a path such as "$.services[0].name" */

typedef struct {
	void (*on_issue)(void *ctx, const char *path, const char *message);
	void *ctx;
	guint issues; /* number of reported errors */
} json_reader_t;

/* Reports and counts an error. */
void json_reader_report(json_reader_t *reader, const char *path,
			const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Reports each member of object that is not in the NULL-terminated list. */
void json_reader_reject_unknown(json_reader_t *reader, const char *path,
				JsonObject *object,
				const char *const *known_keys);

/*
 * The accessors below read a required member. If it is missing or invalid, they
 * report an error and return NULL, 0 or FALSE.
 */

/* The string is valid as long as object. */
const char *json_reader_string(json_reader_t *reader, const char *path,
			       JsonObject *object, const char *key);

/* An integer from min to max. */
gint64 json_reader_integer(json_reader_t *reader, const char *path,
			   JsonObject *object, const char *key, gint64 min,
			   gint64 max);

/* A number from min to max. */
double json_reader_number(json_reader_t *reader, const char *path,
			  JsonObject *object, const char *key, double min,
			  double max);

gboolean json_reader_boolean(json_reader_t *reader, const char *path,
			     JsonObject *object, const char *key);

JsonArray *json_reader_array(json_reader_t *reader, const char *path,
			     JsonObject *object, const char *key);

/* Returns NULL and reports an error if the element is not an object. */
JsonObject *json_reader_element(json_reader_t *reader, const char *path,
				JsonArray *array, guint index);

/*
 * Parses a document whose root must be an object. Otherwise reports an error and
 * returns NULL. Free the result with json_node_unref().
 */
JsonNode *json_reader_parse(json_reader_t *reader, const char *text,
			    gssize length);

#endif
