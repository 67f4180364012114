#include "codec/schema_json.h"

#include "codec/json_reader.h"

static void read_priority(json_reader_t *reader, const char *path,
			  JsonObject *object, schema_t *schema)
{
	static const char *const known_keys[] = { "name", "floor_percent",
						  NULL };
	guint issues = reader->issues;
	catk_error_t error;
	const char *name;
	gint64 floor_percent;

	json_reader_reject_unknown(reader, path, object, known_keys);
	name = json_reader_string(reader, path, object, "name");
	floor_percent = json_reader_integer(reader, path, object,
					    "floor_percent", 0, 100);
	if (reader->issues != issues)
		return;
	if (!schema_add_priority(schema, name, (guint)floor_percent, &error))
		json_reader_report(reader, path, "%s", error.message);
}

static void read_method(json_reader_t *reader, const char *path,
			JsonObject *object, schema_t *schema,
			schema_service_t *service)
{
	static const char *const known_keys[] = { "name", "priority",
						  "idempotent", "deadline_ms",
						  NULL };
	guint issues = reader->issues;
	const char *name, *priority;
	gboolean idempotent;
	catk_error_t error;
	gint64 deadline;

	json_reader_reject_unknown(reader, path, object, known_keys);
	name = json_reader_string(reader, path, object, "name");
	priority = json_reader_string(reader, path, object, "priority");
	idempotent = json_reader_boolean(reader, path, object, "idempotent");
	deadline = json_reader_integer(
		reader, path, object, "deadline_ms",
		SCHEMA_DEADLINE_MIN / G_TIME_SPAN_MILLISECOND,
		SCHEMA_DEADLINE_MAX / G_TIME_SPAN_MILLISECOND);
	if (reader->issues != issues)
		return;
	if (!schema_add_method(schema, service, name, priority, idempotent,
			       deadline * G_TIME_SPAN_MILLISECOND, &error))
		json_reader_report(reader, path, "%s", error.message);
}

static void read_endpoint(json_reader_t *reader, const char *path,
			  JsonNode *node, schema_service_t *service)
{
	catk_error_t error;

	if (json_node_get_value_type(node) != G_TYPE_STRING) {
		json_reader_report(reader, path,
				   "an endpoint must be a string \"ip:port\"");
		return;
	}
	if (!schema_add_endpoint(service, json_node_get_string(node), &error))
		json_reader_report(reader, path, "%s", error.message);
}

/* Endpoints come from exactly one of "instance_list" and "endpoints". */
static void read_endpoints(json_reader_t *reader, const char *path,
			   JsonObject *object, schema_service_t *service)
{
	gboolean from_list = json_object_has_member(object, "instance_list");
	char element[JSON_PATH_MAX];
	catk_error_t error;
	const char *name;
	JsonArray *array;
	guint i;

	if (from_list == json_object_has_member(object, "endpoints")) {
		json_reader_report(reader, path,
				   "set exactly one of \"instance_list\" and "
				   "\"endpoints\"");
		return;
	}
	if (from_list) {
		name = json_reader_string(reader, path, object,
					  "instance_list");
		if (name && !schema_set_instance_list(service, name, &error))
			json_reader_report(reader, path, "%s", error.message);
		return;
	}
	array = json_reader_array(reader, path, object, "endpoints");
	for (i = 0; array && i < json_array_get_length(array); i++) {
		g_snprintf(element, sizeof(element), "%s.endpoints[%u]", path,
			   i);
		read_endpoint(reader, element, json_array_get_element(array, i),
			      service);
	}
}

static void read_methods(json_reader_t *reader, const char *path,
			 JsonObject *object, schema_t *schema,
			 schema_service_t *service)
{
	char element[JSON_PATH_MAX];
	JsonArray *array;
	JsonObject *method;
	guint i;

	array = json_reader_array(reader, path, object, "methods");
	for (i = 0; array && i < json_array_get_length(array); i++) {
		g_snprintf(element, sizeof(element), "%s.methods[%u]", path, i);
		method = json_reader_element(reader, element, array, i);
		if (method)
			read_method(reader, element, method, schema, service);
	}
}

static void read_service(json_reader_t *reader, const char *path,
			 JsonObject *object, schema_t *schema)
{
	static const char *const known_keys[] = {
		"name",	   "slots",	"connections",	 "probes_per_second",
		"methods", "endpoints", "instance_list", NULL
	};
	guint issues = reader->issues;
	schema_service_t *service;
	gint64 slots, connections;
	catk_error_t error;
	const char *name;
	double probes;

	json_reader_reject_unknown(reader, path, object, known_keys);
	name = json_reader_string(reader, path, object, "name");
	slots = json_reader_integer(reader, path, object, "slots", 1,
				    SCHEMA_SLOTS_MAX);
	connections = json_reader_integer(reader, path, object, "connections",
					  1, SCHEMA_CONNECTIONS_MAX);
	probes = json_reader_number(reader, path, object, "probes_per_second",
				    0, SCHEMA_PROBES_PER_SECOND_MAX);
	if (reader->issues != issues)
		return;
	service = schema_add_service(schema, name, (guint)slots,
				     (guint)connections, probes, &error);
	if (!service) {
		json_reader_report(reader, path, "%s", error.message);
		return;
	}
	read_endpoints(reader, path, object, service);
	read_methods(reader, path, object, schema, service);
}

static void read_list(json_reader_t *reader, JsonObject *root, const char *key,
		      schema_t *schema,
		      void (*read)(json_reader_t *, const char *, JsonObject *,
				   schema_t *))
{
	char path[JSON_PATH_MAX];
	JsonObject *object;
	JsonArray *array;
	guint i;

	array = json_reader_array(reader, "$", root, key);
	if (array && json_array_get_length(array) == 0)
		json_reader_report(reader, "$", "\"%s\" is empty: add one",
				   key);
	for (i = 0; array && i < json_array_get_length(array); i++) {
		g_snprintf(path, sizeof(path), "$.%s[%u]", key, i);
		object = json_reader_element(reader, path, array, i);
		if (object)
			read(reader, path, object, schema);
	}
}

schema_t *schema_from_json(GBytes *document, schema_issue_fn_t on_issue,
			   void *ctx)
{
	static const char *const known_keys[] = { "priorities", "services",
						  NULL };
	json_reader_t reader = { .on_issue = on_issue, .ctx = ctx };
	schema_t *schema = schema_new();
	JsonObject *object;
	JsonNode *root;
	gsize size;
	const char *text = g_bytes_get_data(document, &size);

	root = json_reader_parse(&reader, text, (gssize)size);
	if (!root)
		goto out;
	object = json_node_get_object(root);
	json_reader_reject_unknown(&reader, "$", object, known_keys);
	read_list(&reader, object, "priorities", schema, read_priority);
	read_list(&reader, object, "services", schema, read_service);
	json_node_unref(root);
out:
	if (reader.issues)
		g_clear_pointer(&schema, schema_free);
	return schema;
}
