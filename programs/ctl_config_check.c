/* The command that checks a configuration before it is sent. */
#include <stdio.h>
#include <string.h>

#include "codec/json_untrusted.h"
#include "codec/schema_json.h"
#include "lib/config_check/config_check.h"
#include "platform/decode.h"
#include "programs/ctl.h"

#define LIVE "live"
#define CONFIG_PATH "/v1/operator/config"

/* A configuration in the form of the platform's store or of a schema file. */
typedef struct {
	JsonNode *node; /* of the store's form, NULL for a schema file */
	GBytes *document;
	schema_t *schema; /* NULL if it is not valid */
	guint64 version; /* 0 for a schema file */
} source_t;

/* One line of the result. */
typedef struct {
	gchar *kind, *path, *message;
} line_t;

typedef struct {
	const source_t *source; /* that paths refer to */
	GPtrArray *lines; /* of line_t */
} collector_t;

static void line_free(gpointer data)
{
	line_t *line = data;

	g_free(line->kind);
	g_free(line->path);
	g_free(line->message);
	g_free(line);
}

static void add_line(GPtrArray *lines, const char *kind, gchar *path,
		     const char *message)
{
	line_t *line = g_new0(line_t, 1);

	line->kind = g_strdup(kind);
	line->path = path;
	line->message = g_strdup(message);
	g_ptr_array_add(lines, line);
}

static void on_schema_issue(void *ctx, const char *place, const char *message)
{
	add_line(ctx, "error", g_strdup(place), message);
}

/* The message begins with the path, which has neither spaces nor colons. */
static void on_decode_issue(void *ctx, const catk_error_t *error)
{
	size_t length = strcspn(error->message, ": ");
	const char *rest = error->message + length;

	if (g_str_has_prefix(rest, ": "))
		rest += strlen(": ");
	add_line(ctx, "error", g_strndup(error->message, length),
		 *rest == ' ' ? error->message : rest);
}

static gchar *path_of(const source_t *source, const config_finding_t *finding)
{
	const char *field = config_field_name(finding->field);

	if (source->node)
		return decode_path(source->node, finding->subject,
				   finding->name, finding->field);
	return g_strdup_printf("%s%s%s%s%s",
			       config_subject_name(finding->subject),
			       *finding->name ? " " : "", finding->name,
			       *field ? "." : "", field);
}

static void on_finding(void *ctx, const config_finding_t *finding)
{
	const collector_t *collector = ctx;

	add_line(collector->lines, config_finding_kind_name(finding->kind),
		 path_of(collector->source, finding), finding->message);
}

/* The object of the store may be given whole, as it lists it. */
static JsonNode *find_spec(JsonNode *root)
{
	JsonNode *spec = NULL;

	if (JSON_NODE_HOLDS_OBJECT(root))
		spec = json_object_get_member(json_node_get_object(root),
					      "spec");
	return spec && decode_is_config(spec) ? spec : root;
}

static gboolean parse_json(source_t *source, const char *from)
{
	GError *error = NULL;
	JsonNode *root;
	gsize size;
	const char *data = g_bytes_get_data(source->document, &size);

	root = json_parse_untrusted(data, size, &error);
	if (!root) {
		fprintf(stderr, "%s: %s\n", from,
			error ? error->message :
				"it is empty: write a JSON object");
		g_clear_error(&error);
		return FALSE;
	}
	if (decode_is_config(find_spec(root)))
		source->node = json_node_copy(find_spec(root));
	json_node_unref(root);
	return TRUE;
}

/* Reads a document. Returns FALSE, after printing why, if that fails. */
static gboolean read_source(const ctl_options_t *options, const char *from,
			    source_t *source)
{
	ctl_reply_t reply;

	if (strcmp(from, LIVE) != 0) {
		source->document = ctl_read_file(from);
		return source->document && parse_json(source, from);
	}
	ctl_request(options, SOUP_METHOD_GET, CONFIG_PATH, NULL, NULL, &reply);
	if (reply.status == SOUP_STATUS_OK)
		source->document = g_bytes_ref(reply.body);
	else
		ctl_print_reply(&reply);
	ctl_reply_clear(&reply);
	return source->document && parse_json(source, from);
}

/* Decodes what was read; adds the errors to lines. */
static void decode_source(source_t *source, GPtrArray *lines)
{
	const decode_defaults_t defaults = { 0 };

	if (source->node)
		source->schema = decode_config_issues(source->node, &defaults,
						      &source->version,
						      on_decode_issue, lines);
	else
		source->schema = schema_from_json(source->document,
						  on_schema_issue, lines);
}

static void source_clear(source_t *source)
{
	g_clear_pointer(&source->node, json_node_unref);
	g_clear_pointer(&source->document, g_bytes_unref);
	schema_free(source->schema);
}

static void add_array(JsonBuilder *builder, const char *name,
		      const GPtrArray *lines)
{
	guint i;

	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (i = 0; i < lines->len; i++) {
		const line_t *line = g_ptr_array_index(lines, i);

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "kind");
		json_builder_add_string_value(builder, line->kind);
		json_builder_set_member_name(builder, "path");
		json_builder_add_string_value(builder, line->path);
		json_builder_set_member_name(builder, "message");
		json_builder_add_string_value(builder, line->message);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void print_json(const GPtrArray *findings, const GPtrArray *differences)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	gchar *text;

	json_builder_begin_object(builder);
	add_array(builder, "findings", findings);
	add_array(builder, "differences", differences);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	printf("%s\n", text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
}

static void print_lines(const char *prefix, const GPtrArray *lines)
{
	guint i;

	for (i = 0; i < lines->len; i++) {
		const line_t *line = g_ptr_array_index(lines, i);

		printf("%s%s: %s: %s\n", prefix, line->kind, line->path,
		       line->message);
	}
}

/* Instances take only versions above the one in force. */
static void check_version(const source_t *from, const source_t *to,
			  GPtrArray *findings)
{
	gchar *message;

	if (!to->version || to->version > from->version)
		return;
	message = g_strdup_printf("r%" G_GUINT64_FORMAT " is not above "
				  "r%" G_GUINT64_FORMAT
				  ", so that no instance takes it: raise it",
				  to->version, from->version);
	add_line(findings, "contradiction", g_strdup("version"), message);
	g_free(message);
}

static void check(const source_t *source, const source_t *other,
		  GPtrArray *findings, GPtrArray *differences)
{
	collector_t collector = { source, findings };

	config_check(source->schema, on_finding, &collector);
	if (!other->schema)
		return;
	check_version(other, source, findings);
	collector.lines = differences;
	config_check_difference(other->schema, source->schema, on_finding,
				&collector);
}

int ctl_config_check(const ctl_options_t *options)
{
	GPtrArray *findings = g_ptr_array_new_with_free_func(line_free);
	GPtrArray *differences = g_ptr_array_new_with_free_func(line_free);
	GPtrArray *other_errors = g_ptr_array_new_with_free_func(line_free);
	source_t source = { 0 }, other = { 0 };
	int status = CTL_INVALID;

	if (!read_source(options, options->arguments[0], &source) ||
	    (options->against &&
	     !read_source(options, options->against, &other)))
		goto out;
	decode_source(&source, findings);
	if (options->against)
		decode_source(&other, other_errors);
	if (other_errors->len) {
		fprintf(stderr, "%s is not valid: compare with a valid one\n",
			options->against);
		print_lines("", other_errors);
		goto out;
	}
	if (source.schema)
		check(&source, &other, findings, differences);
	if (options->json) {
		print_json(findings, differences);
	} else {
		print_lines("", findings);
		print_lines("difference: ", differences);
	}
	status = findings->len ? CTL_FAILED : CTL_OK;
out:
	source_clear(&source);
	source_clear(&other);
	g_ptr_array_unref(findings);
	g_ptr_array_unref(differences);
	g_ptr_array_unref(other_errors);
	return status;
}
