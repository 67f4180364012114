#include "net/config_source.h"

#include "codec/config_json.h"
#include "codec/instance_list_json.h"
#include "lib/common/intrusive.h"
#include "net/backoff.h"
#include "net/config_store.h"
#include "net/system_clock.h"

/*
 * A watch is renewed every 2 s, so that one whose connection went silent is
 * found and replaced within 2 s plus the call timeout: below the 6 s in which
 * a version must be in force. It costs a watcher 30 calls/min.
 */
#define WATCH_WAIT (2 * G_TIME_SPAN_SECOND)

/* Between asking while no configuration is in force. */
#define EMPTY_POLL (1 * G_TIME_SPAN_SECOND)

#define FIRST_BACKOFF (100 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX (2 * G_TIME_SPAN_SECOND)
#define POLL_JITTER 0.25 /* part of an interval, to both sides */
#define TICK_MS 100 /* between two looks at what is due */
#define LOCAL_FILE_VERSION 1

/* The reading of one service's instance list. */
typedef struct list {
	TAILQ_ENTRY(list) link;
	config_source_t *source;
	char *service;
	GTimeSpan next_read;
	guint failures; /* in a row */
	object_api_call_t *call; /* in flight, or NULL */
} list_t;

struct config_source {
	const settings_t *settings;
	object_api_t *api;
	entry_t *entry;
	GRand *random;
	guint tick;
	object_api_call_t *call; /* for the configuration, or NULL */
	guint failures; /* of such calls in a row */
	GTimeSpan retry_at; /* no such call before */
	GTimeSpan next_poll;
	TAILQ_HEAD(list_list, list) lists;
};

static void ask_for_config(config_source_t *source);

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

gboolean config_source_offer(entry_t *entry, guint64 version, GBytes *document,
			     catk_error_t *err)
{
	catk_error_t error = { 0 };
	schema_t *schema = read_schema(version, document, &error);

	if (!schema) {
		if (version > config_seen_version(entry_config(entry)))
			g_warning("configuration version %" G_GUINT64_FORMAT
				  " is not valid and stays out of force: %s",
				  version, error.message);
		entry_reject_config(entry, version);
		if (err)
			*err = error;
		return FALSE;
	}
	if (entry_offer_config(entry, version, schema, document) ==
	    CONFIG_ACTIVATED)
		g_message("configuration version %" G_GUINT64_FORMAT
			  " is in force",
			  version);
	return TRUE;
}

static void back_off(config_source_t *source)
{
	if (++source->failures == 1)
		g_warning("the object API does not answer: the configuration "
			  "in force stays; changes come from peers");
	source->retry_at = now() + backoff_time(source->failures, FIRST_BACKOFF,
						BACKOFF_MAX, source->random);
}

static void schedule_poll(config_source_t *source)
{
	GTimeSpan interval = EMPTY_POLL;

	if (config_version(entry_config(source->entry)))
		interval = source->settings->object_api_poll_ms *
			   G_TIME_SPAN_MILLISECOND;
	source->next_poll = now() + with_jitter(source, interval);
}

static void on_config(void *ctx, const object_api_result_t *result)
{
	config_source_t *source = ctx;

	source->call = NULL;
	if (result->status == OBJECT_API_UNAVAILABLE ||
	    result->status == OBJECT_API_RATE_LIMITED) {
		back_off(source);
		return;
	}
	if (source->failures)
		g_message("the object API answers again");
	source->failures = 0;
	if (result->status == OBJECT_API_OK)
		config_source_offer(source->entry, result->version,
				    result->body, NULL);
	schedule_poll(source);
	if (entry_is_config_watcher(source->entry))
		ask_for_config(source);
}

/* A version that was found invalid is not asked for again. */
static void ask_for_config(config_source_t *source)
{
	gboolean waits = entry_is_config_watcher(source->entry);

	source->call = object_api_watch(
		source->api, CONFIG_OBJECT_KEY,
		config_seen_version(entry_config(source->entry)),
		waits ? WATCH_WAIT : 0, on_config, source);
}

static gboolean config_is_due(const config_source_t *source)
{
	if (source->call || now() < source->retry_at)
		return FALSE;
	return entry_is_config_watcher(source->entry) ||
	       now() >= source->next_poll;
}

static list_t *find_list(config_source_t *source, const char *service)
{
	list_t *list;

	TAILQ_FOREACH (list, &source->lists, link)
		if (g_str_equal(list->service, service))
			return list;
	list = g_new0(list_t, 1);
	list->source = source;
	list->service = g_strdup(service);
	TAILQ_INSERT_TAIL(&source->lists, list, link);
	return list;
}

static void list_free(list_t *list)
{
	if (list->call)
		object_api_cancel(list->call);
	TAILQ_REMOVE(&list->source->lists, list, link);
	g_free(list->service);
	g_free(list);
}

static void retry_list(list_t *list)
{
	list->failures++;
	list->next_read = now() + backoff_time(list->failures, FIRST_BACKOFF,
					       BACKOFF_MAX,
					       list->source->random);
}

static void on_instances(void *ctx, const object_api_result_t *result)
{
	list_t *list = ctx;
	endpoint_info_t *infos = NULL;
	gsize count;

	list->call = NULL;
	if (result->status == OBJECT_API_OK)
		infos = instance_list_from_json(result->body, &count);
	if (!infos) {
		retry_list(list);
		return;
	}
	list->failures = 0;
	entry_set_endpoints(list->source->entry, list->service, infos, count);
	g_free(infos);
}

static void read_list(config_source_t *source, const schema_service_t *service,
		      GTimeSpan interval)
{
	list_t *list = find_list(source, service->name);

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

	if (config_is_due(source))
		ask_for_config(source);
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
	if (!config_source_offer(source->entry, LOCAL_FILE_VERSION, document,
				 NULL))
		g_warning("configuration file %s is not valid: correct it and "
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
	ask_for_config(source);
	source->tick = g_timeout_add(TICK_MS, on_tick, source);
	return source;
}

void config_source_free(config_source_t *source)
{
	if (!source)
		return;
	if (source->tick)
		g_source_remove(source->tick);
	if (source->call)
		object_api_cancel(source->call);
	while (!TAILQ_EMPTY(&source->lists))
		list_free(TAILQ_FIRST(&source->lists));
	g_rand_free(source->random);
	g_free(source);
}
