#include "codec/config_json.h"

#include "codec/dump_json.h"
#include "codec/json_reader.h"

static void read_text(json_reader_t *reader, const char *path,
		      JsonObject *object, const char *key, char *field,
		      gsize size)
{
	const char *text = json_reader_string(reader, path, object, key);

	if (text && g_strlcpy(field, text, size) >= size)
		json_reader_report(reader, path,
				   "\"%s\" is too long: use at most %u bytes",
				   key, (guint)(size - 1));
}

static void read_change(json_reader_t *reader, const char *path,
			JsonObject *object, config_change_t *change)
{
	read_text(reader, path, object, "change_id", change->change_id,
		  sizeof(change->change_id));
	read_text(reader, path, object, "author", change->author,
		  sizeof(change->author));
	change->time = json_reader_integer(reader, path, object, "time", 0,
					   G_MAXINT64);
}

static void read_history(json_reader_t *reader, JsonObject *root,
			 config_record_t *record)
{
	JsonArray *array = json_reader_array(reader, "$", root, "history");
	char path[JSON_PATH_MAX];
	config_change_t change;
	JsonObject *object;
	guint i;

	for (i = 0; array && i < json_array_get_length(array); i++) {
		g_snprintf(path, sizeof(path), "$.history[%u]", i);
		object = json_reader_element(reader, path, array, i);
		if (!object)
			continue;
		memset(&change, 0, sizeof(change));
		read_change(reader, path, object, &change);
		change.version = (guint64)json_reader_integer(
			reader, path, object, "version", 1, G_MAXINT64);
		if (!config_record_append_history(record, &change))
			return;
	}
}

static GBytes *schema_text(JsonNode *node)
{
	gchar *text = json_to_string(node, TRUE);

	return g_bytes_new_take(text, strlen(text));
}

static config_record_t *read_record(json_reader_t *reader, JsonObject *root)
{
	static const char *const known_keys[] = { "change_id", "author", "time",
						  "history",   "schema", NULL };
	GBytes *schema = schema_text(json_object_get_member(root, "schema"));
	config_record_t *record = config_record_new(schema);

	g_bytes_unref(schema);
	json_reader_reject_unknown(reader, "$", root, known_keys);
	read_change(reader, "$", root, &record->current);
	read_history(reader, root, record);
	return record;
}

config_record_t *config_record_from_json(GBytes *document, guint64 version,
					 schema_issue_fn_t on_issue, void *ctx)
{
	json_reader_t reader = { .on_issue = on_issue, .ctx = ctx };
	config_record_t *record;
	JsonObject *object;
	JsonNode *root;
	gsize size;
	const char *text = g_bytes_get_data(document, &size);

	root = json_reader_parse(&reader, text, (gssize)size);
	if (!root)
		return NULL;
	object = json_node_get_object(root);
	if (json_object_has_member(object, "schema"))
		record = read_record(&reader, object);
	else
		record = config_record_new(document);
	record->current.version = version;
	json_node_unref(root);
	if (reader.issues)
		g_clear_pointer(&record, config_record_free);
	return record;
}

static void write_change(const dump_writer_t *w, const config_change_t *change)
{
	w->string(w->ctx, "change_id", change->change_id);
	w->string(w->ctx, "author", change->author);
	w->integer(w->ctx, "time", change->time);
}

static void write_versioned_change(const dump_writer_t *w,
				   const config_change_t *change)
{
	w->begin_object(w->ctx, NULL);
	w->integer(w->ctx, "version", (gint64)change->version);
	write_change(w, change);
	w->end_object(w->ctx);
}

static void write_history(const dump_writer_t *w, const config_record_t *record)
{
	const config_change_t *change;

	TAILQ_FOREACH (change, &record->history, link)
		write_versioned_change(w, change);
}

GBytes *config_record_to_json(const config_record_t *record)
{
	JsonBuilder *builder = json_builder_new();
	dump_writer_t w = dump_json_writer(builder);
	gsize size;
	const char *text = g_bytes_get_data(record->schema, &size);
	json_reader_t reader = { 0 };
	JsonNode *schema = json_reader_parse(&reader, text, (gssize)size);
	GBytes *document = NULL;
	gchar *result;

	if (!schema)
		goto out;
	w.begin_object(w.ctx, NULL);
	write_change(&w, &record->current);
	w.begin_array(w.ctx, "history");
	write_history(&w, record);
	w.end_array(w.ctx);
	json_builder_set_member_name(builder, "schema");
	json_builder_add_value(builder, schema);
	w.end_object(w.ctx);
	result = json_builder_to_text(builder);
	document = g_bytes_new_take(result, strlen(result));
out:
	g_object_unref(builder);
	return document;
}

gchar *config_history_to_json(const config_record_t *record)
{
	JsonBuilder *builder = json_builder_new();
	dump_writer_t w = dump_json_writer(builder);
	gchar *text;

	w.begin_object(w.ctx, NULL);
	w.begin_array(w.ctx, "history");
	write_versioned_change(&w, &record->current);
	write_history(&w, record);
	w.end_array(w.ctx);
	w.end_object(w.ctx);
	text = json_builder_to_text(builder);
	g_object_unref(builder);
	return text;
}
