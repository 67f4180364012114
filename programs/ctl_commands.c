#include "programs/ctl.h"

#include <stdio.h>

#include "codec/schema_json.h"

static void print_issue(void *ctx, const char *place, const char *message)
{
	fprintf(stderr, "%s: %s: %s\n", (const char *)ctx, place, message);
}

GBytes *ctl_read_file(const char *path)
{
	GError *error = NULL;
	gchar *text;
	gsize size;

	if (g_file_get_contents(path, &text, &size, &error))
		return g_bytes_new_take(text, size);
	fprintf(stderr, "%s\n", error->message);
	g_clear_error(&error);
	return NULL;
}

int ctl_schema_check(const ctl_options_t *options)
{
	const char *path = options->arguments[0];
	GBytes *document = ctl_read_file(path);
	schema_t *schema;

	if (!document)
		return CTL_INVALID;
	schema = schema_from_json(document, print_issue, (void *)path);
	g_bytes_unref(document);
	if (!schema)
		return CTL_INVALID;
	schema_free(schema);
	printf("%s: valid\n", path);
	return CTL_OK;
}

static int send_and_print(const ctl_options_t *options, const char *method,
			  const char *path)
{
	ctl_reply_t reply;
	int status;

	ctl_request(options, method, path, NULL, NULL, &reply);
	status = ctl_print_reply(&reply);
	ctl_reply_clear(&reply);
	return status;
}

int ctl_resolve(const ctl_options_t *options)
{
	return send_and_print(options, SOUP_METHOD_GET, "/v1/resolve");
}

int ctl_dump(const ctl_options_t *options)
{
	return send_and_print(options, SOUP_METHOD_GET, "/v1/operator/dump");
}

int ctl_drain(const ctl_options_t *options)
{
	return send_and_print(options, SOUP_METHOD_POST, "/v1/operator/drain");
}

int ctl_config_history(const ctl_options_t *options)
{
	return send_and_print(options, SOUP_METHOD_GET,
			      "/v1/operator/config/history");
}

/* Returns the first request id of a resolve reply, NULL if it has none. */
static gchar *read_request_id(const ctl_reply_t *reply)
{
	JsonNode *document = ctl_reply_json(reply);
	JsonObject *root, *ids = NULL;
	gchar *id = NULL;

	if (!document)
		return NULL;
	root = json_node_get_object(document);
	if (json_object_has_member(root, "request_ids"))
		ids = json_object_get_object_member(root, "request_ids");
	if (ids)
		id = g_strdup_printf("%s.%" G_GINT64_FORMAT,
				     json_object_get_string_member(ids,
								   "prefix"),
				     json_object_get_int_member(ids, "first"));
	json_node_unref(document);
	return id;
}

/* The id from the options, else one from a resolve; NULL if that fails. */
static gchar *obtain_request_id(const ctl_options_t *options)
{
	gchar *id = NULL;
	ctl_reply_t reply;

	if (options->request_id)
		return g_strdup(options->request_id);
	ctl_request(options, SOUP_METHOD_GET, "/v1/resolve", NULL, NULL,
		    &reply);
	if (reply.status == SOUP_STATUS_OK)
		id = read_request_id(&reply);
	ctl_reply_clear(&reply);
	return id;
}

static void print_outcome(const ctl_reply_t *reply, const char *id)
{
	const char *outcome = NULL;

	if (reply->headers)
		outcome = soup_message_headers_get_one(reply->headers,
						       "Catkinstall-Outcome");
	fprintf(stderr, "request id %s, outcome %s\n", id ? id : "none",
		outcome ? outcome : "unknown");
}

int ctl_call(const ctl_options_t *options)
{
	gchar **names = g_strsplit(options->arguments[0], ".", 2);
	const char *headers[9] = { 0 };
	const char *text = options->body ? options->body : "";
	GBytes *body = g_bytes_new(text, strlen(text));
	gchar *id = NULL, *path = NULL, *deadline = NULL;
	guint n = 0;
	ctl_reply_t reply = { 0 };
	int status = CTL_INVALID;

	if (g_strv_length(names) != 2) {
		fprintf(stderr, "\"%s\" is not SERVICE.METHOD\n",
			options->arguments[0]);
		goto out;
	}
	id = obtain_request_id(options);
	if (id) {
		headers[n++] = "Catkinstall-Request-Id";
		headers[n++] = id;
	}
	if (options->deadline_ms) {
		deadline = g_strdup_printf("%u", options->deadline_ms);
		headers[n++] = "Catkinstall-Deadline-Ms";
		headers[n++] = deadline;
	}
	if (options->caller) {
		headers[n++] = "Catkinstall-Caller";
		headers[n++] = options->caller;
	}
	path = g_strdup_printf("/v1/call/%s/%s", names[0], names[1]);
	ctl_request(options, SOUP_METHOD_POST, path, headers, body, &reply);
	print_outcome(&reply, id);
	status = ctl_print_reply(&reply);
out:
	ctl_reply_clear(&reply);
	g_bytes_unref(body);
	g_strfreev(names);
	g_free(id);
	g_free(path);
	g_free(deadline);
	return status;
}
