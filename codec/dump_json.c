#include "codec/dump_json.h"

static void name_member(JsonBuilder *builder, const char *name)
{
	if (name)
		json_builder_set_member_name(builder, name);
}

static void begin_object(void *ctx, const char *name)
{
	name_member(ctx, name);
	json_builder_begin_object(ctx);
}

static void end_object(void *ctx)
{
	json_builder_end_object(ctx);
}

static void begin_array(void *ctx, const char *name)
{
	name_member(ctx, name);
	json_builder_begin_array(ctx);
}

static void end_array(void *ctx)
{
	json_builder_end_array(ctx);
}

static void add_string(void *ctx, const char *name, const char *value)
{
	name_member(ctx, name);
	json_builder_add_string_value(ctx, value);
}

static void add_integer(void *ctx, const char *name, gint64 value)
{
	name_member(ctx, name);
	json_builder_add_int_value(ctx, value);
}

static void add_number(void *ctx, const char *name, double value)
{
	name_member(ctx, name);
	json_builder_add_double_value(ctx, value);
}

static void add_boolean(void *ctx, const char *name, gboolean value)
{
	name_member(ctx, name);
	json_builder_add_boolean_value(ctx, value);
}

dump_writer_t dump_json_writer(JsonBuilder *builder)
{
	dump_writer_t writer = {
		.begin_object = begin_object,
		.end_object = end_object,
		.begin_array = begin_array,
		.end_array = end_array,
		.string = add_string,
		.integer = add_integer,
		.number = add_number,
		.boolean = add_boolean,
		.ctx = builder,
	};

	return writer;
}

gchar *json_builder_to_text(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	gchar *text = json_to_string(root, TRUE);

	json_node_unref(root);
	return text;
}
