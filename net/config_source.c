#include "net/config_source.h"

#include "codec/instance_list_json.h"
#include "codec/schema_json.h"

#define WATCH_WAIT (30 * G_TIME_SPAN_SECOND)
#define RETRY_DELAY_MS 500 /* after a call to the object API failed */
#define LOCAL_FILE_VERSION 1

struct config_source {
	const settings_t *settings;
	object_api_t *api;
	entry_t *entry;
	guint retry_timer;
	guint list_timer;
};

/* One read of an instance list; the service may be gone when it ends. */
typedef struct {
	config_source_t *source;
	char *service;
} list_read_t;

static void watch_config(config_source_t *source);

static void keep_first_issue(void *ctx, const char *place, const char *message)
{
	catk_error_t *error = ctx;

	if (error->kind == CATK_OK)
		catk_error_set(error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "%s: %s", place, message);
}

gboolean config_source_offer(entry_t *entry, guint64 version, GBytes *document,
			     catk_error_t *err)
{
	catk_error_t error = { 0 };
	schema_t *schema;

	schema = schema_from_json(document, keep_first_issue, &error);
	if (!schema) {
		if (err)
			*err = error;
		return FALSE;
	}
	if (entry_offer_config(entry, version, schema, document) ==
	    CONFIG_IN_FORCE)
		g_message("configuration version %" G_GUINT64_FORMAT
			  " is in force",
			  version);
	return TRUE;
}

static gboolean on_retry(gpointer data)
{
	config_source_t *source = data;

	source->retry_timer = 0;
	watch_config(source);
	return G_SOURCE_REMOVE;
}

static void on_watched(void *ctx, const object_api_result_t *result)
{
	config_source_t *source = ctx;
	catk_error_t error;

	if (result->status == OBJECT_API_OK &&
	    !config_source_offer(source->entry, result->version, result->body,
				 &error))
		g_warning("configuration version %" G_GUINT64_FORMAT
			  " is not valid and stays out of force: %s",
			  result->version, error.message);
	if (result->status == OBJECT_API_OK ||
	    result->status == OBJECT_API_UNCHANGED)
		watch_config(source);
	else
		source->retry_timer =
			g_timeout_add(RETRY_DELAY_MS, on_retry, source);
}

static void watch_config(config_source_t *source)
{
	object_api_watch(source->api, CONFIG_OBJECT_KEY,
			 config_version(entry_config(source->entry)),
			 WATCH_WAIT, on_watched, source);
}

static void on_instances(void *ctx, const object_api_result_t *result)
{
	list_read_t *read = ctx;
	endpoint_info_t *infos = NULL;
	gsize count;

	if (result->status == OBJECT_API_OK)
		infos = instance_list_from_json(result->body, &count);
	if (infos)
		entry_set_endpoints(read->source->entry, read->service, infos,
				    count);
	g_free(infos);
	g_free(read->service);
	g_free(read);
}

static gboolean read_instance_lists(gpointer data)
{
	config_source_t *source = data;
	const schema_t *schema = config_schema(entry_config(source->entry));
	const schema_service_t *service;

	if (!schema)
		return G_SOURCE_CONTINUE;
	TAILQ_FOREACH (service, &schema->services, link) {
		list_read_t *read;

		if (!service->instance_list)
			continue;
		read = g_new0(list_read_t, 1);
		read->source = source;
		read->service = g_strdup(service->name);
		object_api_instances(source->api, service->instance_list,
				     on_instances, read);
	}
	return G_SOURCE_CONTINUE;
}

static void read_local_file(config_source_t *source)
{
	const char *path = source->settings->config_file;
	GError *error = NULL;
	catk_error_t issue;
	GBytes *document;
	gchar *text;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		g_warning("configuration file cannot be read: %s",
			  error->message);
		g_clear_error(&error);
		return;
	}
	document = g_bytes_new_take(text, size);
	if (!config_source_offer(source->entry, LOCAL_FILE_VERSION, document,
				 &issue))
		g_warning("configuration file %s is not valid: %s", path,
			  issue.message);
	g_bytes_unref(document);
}

config_source_t *config_source_new(const settings_t *settings,
				   object_api_t *api, entry_t *entry)
{
	config_source_t *source = g_new0(config_source_t, 1);

	source->settings = settings;
	source->api = api;
	source->entry = entry;
	if (!api) {
		read_local_file(source);
		return source;
	}
	watch_config(source);
	source->list_timer =
		g_timeout_add((guint)settings->instance_list_poll_ms,
			      read_instance_lists, source);
	return source;
}

void config_source_free(config_source_t *source)
{
	if (!source)
		return;
	if (source->retry_timer)
		g_source_remove(source->retry_timer);
	if (source->list_timer)
		g_source_remove(source->list_timer);
	g_free(source);
}
