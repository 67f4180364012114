#include "net/config_source.h"

#include "codec/config_json.h"
#include "codec/instance_list_json.h"
#include "lib/common/intrusive.h"
#include "net/backoff.h"
#include "net/config_store.h"
#include "net/system_clock.h"

/*
 * A watch is renewed every 2 s. A watch on a dead connection is therefore
 * detected and replaced within 2 s plus the call timeout, less than the 6 s
 * within which a version must be in force. A watcher makes 30 calls/min.
 */
#define WATCH_WAIT (2 * G_TIME_SPAN_SECOND)

/* While no configuration is in force. */
#define INITIAL_POLL_INTERVAL (1 * G_TIME_SPAN_SECOND)

#define BACKOFF_INITIAL (100 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX (2 * G_TIME_SPAN_SECOND)
#define POLL_JITTER 0.25 /* fraction of an interval, in both directions */
#define TICK_INTERVAL_MS 100 /* between checks for due requests */
#define LOCAL_FILE_VERSION 1

/* State of reading the instance list of a service. */
typedef struct instance_list {
	TAILQ_ENTRY(instance_list) link;
	config_source_t *source;
	char *service;
	GTimeSpan next_read;
	guint failures; /* consecutive */
	object_api_call_t *call; /* in flight, or NULL */
} instance_list_t;

struct config_source {
	const settings_t *settings;
	object_api_t *api;
	entry_t *entry;
	GRand *random;
	guint tick;
	object_api_call_t *config_call; /* in flight, or NULL */
	guint config_failures; /* consecutive */
	GTimeSpan config_retry_at; /* earliest time of the next request */
	GTimeSpan next_config_poll;
	TAILQ_HEAD(instance_lists, instance_list) lists;
};

static void request_config(config_source_t *source);

static GTimeSpan now(void)
{
	return catk_clock_now(&system_clock);
}

static GTimeSpan with_jitter(const config_source_t *source, GTimeSpan interval)
{
	double factor = g_rand_double_range(source->random, 1 - POLL_JITTER,
					    1 + POLL_JITTER);

	return (GTimeSpan)((double)interval * factor);
}

static void keep_first_issue(void *ctx, const char *place, const char *message)
{
	catk_error_t *error = ctx;

	if (error->kind == CATK_OK)
		catk_error_set(error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "%s: %s", place, message);
}

static schema_t *read_schema(guint64 version, GBytes *document,
			     catk_error_t *error)
{
	config_record_t *record = config_record_from_json(
		document, version, keep_first_issue, error);
	schema_t *schema = NULL;

	if (record)
		schema = schema_from_json(record->schema, keep_first_issue,
					  error);
	config_record_free(record);
	return schema;
}

gboolean config_source_activate(entry_t *entry, guint64 version,
				GBytes *document, catk_error_t *err)
{
	catk_error_t error = { 0 };
	schema_t *schema = read_schema(version, document, &error);

	if (!schema) {
		if (version > config_seen_version(entry_config(entry)))
			g_warning("configuration version %" G_GUINT64_FORMAT
				  " is invalid and was rejected: %s",
				  version, error.message);
		entry_reject_config(entry, version);
		if (err)
			*err = error;
		return FALSE;
	}
	if (entry_activate_config(entry, version, schema, document) ==
	    CONFIG_ACTIVATED)
		g_message("configuration version %" G_GUINT64_FORMAT
			  " is in force",
			  version);
	return TRUE;
}

static void schedule_retry(config_source_t *source)
{
	if (++source->config_failures == 1)
		g_warning("the object API does not answer: the configuration "
			  "in force is kept, and new versions are received "
			  "only from peers");
	source->config_retry_at =
		now() + backoff_delay(source->config_failures, BACKOFF_INITIAL,
				      BACKOFF_MAX, source->random);
}

static void schedule_poll(config_source_t *source)
{
	GTimeSpan interval = INITIAL_POLL_INTERVAL;

	if (config_version(entry_config(source->entry)))
		interval = source->settings->object_api_poll_ms *
			   G_TIME_SPAN_MILLISECOND;
	source->next_config_poll = now() + with_jitter(source, interval);
}

static void on_config(void *ctx, const object_api_result_t *result)
{
	config_source_t *source = ctx;

	source->config_call = NULL;
	if (result->status == OBJECT_API_UNAVAILABLE ||
	    result->status == OBJECT_API_RATE_LIMITED) {
		schedule_retry(source);
		return;
	}
	if (source->config_failures)
		g_message("the object API answers again");
	source->config_failures = 0;
	if (result->status == OBJECT_API_OK)
		config_source_activate(source->entry, result->version,
				       result->body, NULL);
	schedule_poll(source);
	if (entry_is_config_watcher(source->entry))
		request_config(source);
}

/* Requests only versions that have not been seen, valid or invalid. */
static void request_config(config_source_t *source)
{
	gboolean is_watcher = entry_is_config_watcher(source->entry);

	source->config_call = object_api_watch(
		source->api, CONFIG_OBJECT_KEY,
		config_seen_version(entry_config(source->entry)),
		is_watcher ? WATCH_WAIT : 0, on_config, source);
}

static gboolean config_request_is_due(const config_source_t *source)
{
	if (source->config_call || now() < source->config_retry_at)
		return FALSE;
	return entry_is_config_watcher(source->entry) ||
	       now() >= source->next_config_poll;
}

static instance_list_t *find_or_add_list(config_source_t *source,
					 const char *service)
{
	instance_list_t *list;

	TAILQ_FOREACH (list, &source->lists, link)
		if (g_str_equal(list->service, service))
			return list;
	list = g_new0(instance_list_t, 1);
	list->source = source;
	list->service = g_strdup(service);
	TAILQ_INSERT_TAIL(&source->lists, list, link);
	return list;
}

static void list_free(instance_list_t *list)
{
	if (list->call)
		object_api_cancel(list->call);
	TAILQ_REMOVE(&list->source->lists, list, link);
	g_free(list->service);
	g_free(list);
}

static void schedule_list_retry(instance_list_t *list)
{
	list->failures++;
	list->next_read = now() + backoff_delay(list->failures, BACKOFF_INITIAL,
						BACKOFF_MAX,
						list->source->random);
}

static void on_instances(void *ctx, const object_api_result_t *result)
{
	instance_list_t *list = ctx;
	endpoint_info_t *infos = NULL;
	gsize count;

	list->call = NULL;
	if (result->status == OBJECT_API_OK)
		infos = instance_list_from_json(result->body, &count);
	if (!infos) {
		schedule_list_retry(list);
		return;
	}
	list->failures = 0;
	entry_set_endpoints(list->source->entry, list->service, infos, count);
	g_free(infos);
}

static void read_list(config_source_t *source, const schema_service_t *service,
		      GTimeSpan interval)
{
	instance_list_t *list = find_or_add_list(source, service->name);

	if (list->call || now() < list->next_read)
		return;
	list->next_read = now() + with_jitter(source, interval);
	list->call = object_api_get_instances(
		source->api, service->instance_list, on_instances, list);
}

static void read_due_lists(config_source_t *source)
{
	const schema_t *schema = config_schema(entry_config(source->entry));
	const schema_service_t *service;
	GTimeSpan interval;

	if (!schema)
		return;
	interval = entry_instance_list_interval(
		source->entry,
		source->settings->instance_list_poll_ms *
			G_TIME_SPAN_MILLISECOND,
		(guint)source->settings->instance_list_reads_per_second);
	TAILQ_FOREACH (service, &schema->services, link)
		if (service->instance_list)
			read_list(source, service, interval);
}

static gboolean on_tick(gpointer data)
{
	config_source_t *source = data;

	if (config_request_is_due(source))
		request_config(source);
	read_due_lists(source);
	return G_SOURCE_CONTINUE;
}

static void read_local_file(config_source_t *source)
{
	const char *path = source->settings->config_file;
	GError *error = NULL;
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
	if (!config_source_activate(source->entry, LOCAL_FILE_VERSION, document,
				    NULL))
		g_warning("configuration file %s is invalid: correct it and "
			  "restart",
			  path);
	g_bytes_unref(document);
}

config_source_t *config_source_new(const settings_t *settings,
				   object_api_t *api, entry_t *entry)
{
	config_source_t *source = g_new0(config_source_t, 1);

	source->settings = settings;
	source->api = api;
	source->entry = entry;
	source->random = g_rand_new();
	TAILQ_INIT(&source->lists);
	if (!api) {
		read_local_file(source);
		return source;
	}
	request_config(source);
	source->tick = g_timeout_add(TICK_INTERVAL_MS, on_tick, source);
	return source;
}

void config_source_free(config_source_t *source)
{
	if (!source)
		return;
	if (source->tick)
		g_source_remove(source->tick);
	if (source->config_call)
		object_api_cancel(source->config_call);
	while (!TAILQ_EMPTY(&source->lists))
		list_free(TAILQ_FIRST(&source->lists));
	g_rand_free(source->random);
	g_free(source);
}
