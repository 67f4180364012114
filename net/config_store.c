#include "net/config_store.h"

#include "codec/config_json.h"
#include "net/backoff.h"

#define BACKOFF_INITIAL (50 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX (500 * G_TIME_SPAN_MILLISECOND)

/* A change in progress. Either a call or the retry timer is active. */
typedef struct change {
	TAILQ_ENTRY(change) link;
	config_store_t *store;
	config_change_t description;
	GBytes *schema;
	GBytes *document; /* the record as last written, or NULL */
	config_apply_t apply;
	guint failures; /* number of retries so far */
	guint retry_timer; /* GLib source, 0 if none */
	guint timeout_timer; /* GLib source, 0 if none */
	object_api_call_t *call; /* in flight, or NULL */
	config_store_done_fn_t done;
	void *ctx;
} change_t;

struct config_store {
	object_api_t *api;
	GRand *random;
	TAILQ_HEAD(change_list, change) changes;
};

static void run_step(change_t *change, config_apply_step_t step);

config_store_t *config_store_new(object_api_t *api)
{
	config_store_t *store = g_new0(config_store_t, 1);

	store->api = api;
	store->random = g_rand_new();
	TAILQ_INIT(&store->changes);
	return store;
}

static void change_free(change_t *change)
{
	TAILQ_REMOVE(&change->store->changes, change, link);
	if (change->call)
		object_api_cancel(change->call);
	if (change->retry_timer)
		g_source_remove(change->retry_timer);
	if (change->timeout_timer)
		g_source_remove(change->timeout_timer);
	g_clear_pointer(&change->document, g_bytes_unref);
	g_bytes_unref(change->schema);
	g_free(change);
}

void config_store_free(config_store_t *store)
{
	change_t *change, *next;

	if (!store)
		return;
	TAILQ_FOREACH_SAFE (change, &store->changes, link, next)
		change_free(change);
	g_rand_free(store->random);
	g_free(store);
}

static void finish(change_t *change, config_apply_step_t step,
		   gboolean too_large)
{
	config_store_result_t result = {
		.step = step,
		.version = change->apply.version,
		.too_large = too_large,
	};

	if (step == CONFIG_APPLY_ACCEPTED)
		result.document = change->document;
	change->done(change->ctx, &result);
	change_free(change);
}

static gboolean on_timeout(gpointer data)
{
	change_t *change = data;

	change->timeout_timer = 0;
	change->apply.version = 0;
	finish(change, config_apply_on_timeout(&change->apply), FALSE);
	return G_SOURCE_REMOVE;
}

static gboolean on_retry(gpointer data)
{
	change_t *change = data;

	change->retry_timer = 0;
	run_step(change, CONFIG_APPLY_READ);
	return G_SOURCE_REMOVE;
}

static void schedule_retry(change_t *change)
{
	GTimeSpan delay = backoff_delay(++change->failures, BACKOFF_INITIAL,
					BACKOFF_MAX, change->store->random);

	change->retry_timer = g_timeout_add(
		(guint)(delay / G_TIME_SPAN_MILLISECOND), on_retry, change);
}

static config_write_result_t
write_result_from_status(object_api_status_t status)
{
	switch (status) {
	case OBJECT_API_OK:
		return CONFIG_WRITE_DONE;
	case OBJECT_API_CONFLICT:
		return CONFIG_WRITE_CONFLICT;
	case OBJECT_API_RATE_LIMITED:
		return CONFIG_WRITE_REFUSED;
	case OBJECT_API_NOT_FOUND:
	case OBJECT_API_UNCHANGED:
	case OBJECT_API_UNAVAILABLE:
		break;
	}
	return CONFIG_WRITE_IN_DOUBT;
}

static void on_written(void *ctx, const object_api_result_t *result)
{
	change_t *change = ctx;
	config_write_result_t write_result =
		write_result_from_status(result->status);
	config_apply_step_t step;

	change->call = NULL;
	step = config_apply_on_write(&change->apply, write_result,
				     result->version);
	if (write_result == CONFIG_WRITE_REFUSED ||
	    write_result == CONFIG_WRITE_IN_DOUBT)
		schedule_retry(change);
	else
		run_step(change, step);
}

/* Replaces the record that was read, NULL if none was stored. */
static void write_record(change_t *change, const config_record_t *before)
{
	config_record_t *record = config_record_new_with_change(
		before, change->apply.base, &change->description,
		change->schema);

	g_clear_pointer(&change->document, g_bytes_unref);
	change->document = config_record_to_json(record);
	config_record_free(record);
	if (!change->document ||
	    g_bytes_get_size(change->document) > CONFIG_STORE_BYTES_MAX) {
		finish(change, CONFIG_APPLY_NOT_WRITTEN, TRUE);
		return;
	}
	change->call = object_api_put(change->store->api, CONFIG_OBJECT_KEY,
				      change->apply.base, change->document,
				      on_written, change);
}

static void on_read(void *ctx, const object_api_result_t *result)
{
	change_t *change = ctx;
	config_record_t *record = NULL;
	config_apply_step_t step;

	change->call = NULL;
	if (result->status != OBJECT_API_OK &&
	    result->status != OBJECT_API_NOT_FOUND) {
		schedule_retry(change);
		return;
	}
	if (result->status == OBJECT_API_OK)
		record = config_record_from_json(result->body, result->version,
						 NULL, NULL);
	step = config_apply_on_read(&change->apply, result->version, record);
	if (step == CONFIG_APPLY_WRITE)
		write_record(change, record);
	else
		run_step(change, step);
	config_record_free(record);
}

static void run_step(change_t *change, config_apply_step_t step)
{
	if (step == CONFIG_APPLY_READ)
		change->call = object_api_get(
			change->store->api, CONFIG_OBJECT_KEY, on_read, change);
	else
		finish(change, step, FALSE);
}

void config_store_apply(config_store_t *store, const config_change_t *change,
			guint64 base, GBytes *schema,
			config_store_done_fn_t done, void *ctx)
{
	change_t *pending = g_new0(change_t, 1);

	pending->store = store;
	pending->description = *change;
	pending->schema = g_bytes_ref(schema);
	pending->apply.change_id = pending->description.change_id;
	pending->apply.base = base;
	pending->done = done;
	pending->ctx = ctx;
	pending->timeout_timer = g_timeout_add(
		(guint)(CONFIG_STORE_APPLY_TIMEOUT / G_TIME_SPAN_MILLISECOND),
		on_timeout, pending);
	TAILQ_INSERT_TAIL(&store->changes, pending, link);
	run_step(pending, CONFIG_APPLY_READ);
}
