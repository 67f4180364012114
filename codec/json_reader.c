#include "codec/json_reader.h"

#include <stdarg.h>
#include <string.h>

#include "codec/json_untrusted.h"

void json_reader_report(json_reader_t *reader, const char *path,
			const char *format, ...)
{
	va_list args;
	gchar *message;

	reader->issues++;
	if (!reader->on_issue)
		return;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	reader->on_issue(reader->ctx, path, message);
	g_free(message);
}

void json_reader_reject_unknown(json_reader_t *reader, const char *path,
				JsonObject *object,
				const char *const *known_keys)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &name, &node))
		if (!g_strv_contains(known_keys, name))
			json_reader_report(reader, path,
					   "key \"%s\" is not known: remove "
					   "it or correct its name",
					   name);
}

static JsonNode *get_member(json_reader_t *reader, const char *path,
			    JsonObject *object, const char *key)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node)
		json_reader_report(reader, path, "\"%s\" is missing: add it",
				   key);
	return node;
}

static void report_wrong_type(json_reader_t *reader, const char *path,
			      const char *key, JsonNode *node,
			      const char *expected)
{
	gchar *text = json_to_string(node, FALSE);

	json_reader_report(reader, path, "\"%s\" is %.80s: use %s", key, text,
			   expected);
	g_free(text);
}

static gboolean holds_type(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

const char *json_reader_string(json_reader_t *reader, const char *path,
			       JsonObject *object, const char *key)
{
	JsonNode *node = get_member(reader, path, object, key);

	if (!node)
		return NULL;
	if (!holds_type(node, G_TYPE_STRING)) {
		report_wrong_type(reader, path, key, node, "a string");
		return NULL;
	}
	return json_node_get_string(node);
}

gint64 json_reader_integer(json_reader_t *reader, const char *path,
			   JsonObject *object, const char *key, gint64 min,
			   gint64 max)
{
	JsonNode *node = get_member(reader, path, object, key);
	gint64 value;

	if (!node)
		return 0;
	if (!holds_type(node, G_TYPE_INT64)) {
		report_wrong_type(reader, path, key, node, "a whole number");
		return 0;
	}
	value = json_node_get_int(node);
	if (value < min || value > max) {
		json_reader_report(reader, path,
				   "\"%s\" is %" G_GINT64_FORMAT
				   ": set it between %" G_GINT64_FORMAT
				   " and %" G_GINT64_FORMAT,
				   key, value, min, max);
		return 0;
	}
	return value;
}

double json_reader_number(json_reader_t *reader, const char *path,
			  JsonObject *object, const char *key, double min,
			  double max)
{
	JsonNode *node = get_member(reader, path, object, key);
	double value;

	if (!node)
		return 0;
	if (!holds_type(node, G_TYPE_INT64) &&
	    !holds_type(node, G_TYPE_DOUBLE)) {
		report_wrong_type(reader, path, key, node, "a number");
		return 0;
	}
	value = json_node_get_double(node);
	if (value < min || value > max) {
		json_reader_report(reader, path,
				   "\"%s\" is %g: set it between %g and %g",
				   key, value, min, max);
		return 0;
	}
	return value;
}

gboolean json_reader_boolean(json_reader_t *reader, const char *path,
			     JsonObject *object, const char *key)
{
	JsonNode *node = get_member(reader, path, object, key);

	if (!node)
		return FALSE;
	if (!holds_type(node, G_TYPE_BOOLEAN)) {
		report_wrong_type(reader, path, key, node, "true or false");
		return FALSE;
	}
	return json_node_get_boolean(node);
}

JsonArray *json_reader_array(json_reader_t *reader, const char *path,
			     JsonObject *object, const char *key)
{
	JsonNode *node = get_member(reader, path, object, key);

	if (!node)
		return NULL;
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		report_wrong_type(reader, path, key, node, "an array");
		return NULL;
	}
	return json_node_get_array(node);
}

JsonObject *json_reader_element(json_reader_t *reader, const char *path,
				JsonArray *array, guint index)
{
	JsonNode *node = json_array_get_element(array, index);

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		json_reader_report(reader, path,
				   "this element must be an object");
		return NULL;
	}
	return json_node_get_object(node);
}

JsonNode *json_reader_parse(json_reader_t *reader, const char *text,
			    gssize length)
{
	gsize size = length < 0 ? strlen(text) : (gsize)length;
	GError *error = NULL;
	JsonNode *root = json_parse_untrusted(text, size, &error);

	if (error) {
		json_reader_report(reader, "$", "invalid JSON: %s",
				   error->message);
		g_clear_error(&error);
		return NULL;
	}
	if (root && !JSON_NODE_HOLDS_OBJECT(root))
		g_clear_pointer(&root, json_node_unref);
	if (!root)
		json_reader_report(reader, "$",
				   "the document must be an object");
	return root;
}
