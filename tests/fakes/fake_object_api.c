/*
 * A fake of the platform's object API for tests: versioned objects, conditional
 * updates, watches, instance lists, a call counter per client, and faults.
 *
 * POST /control?outage=0|1&slow_ms=N&lose_answers=N&list_lag_ms=N&
 * reads_per_second=N&writes_per_second=N&endless=0|1&silence=1&reset_stats=1
 * changes its behaviour:
 *   outage        closes the connection of every call, and of all watches
 *   slow_ms       delays every call
 *   lose_answers  closes the connection of the next N writes after they took
 *                 effect, without a response
 *   list_lag_ms   delays new instance lists
 *   reads_per_second, writes_per_second
 *                 refuse calls over this rate with status 429; 0 is no limit
 *   endless       answers reads of objects with bytes without end
 *   silence       never responds again on the connections that are open now
 *   reset_stats   restarts the call counters
 *
 * POST /instances/NAME with a JSON list sets an instance list. POST /stats
 * returns the number of calls of each client since the last reset, including
 * watches that were pending at the reset.
 */
#include <argp.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>

#include "codec/dump_json.h"
#include "lib/common/intrusive.h"
#include "tests/fakes/soup_reply.h"

typedef struct object {
	TAILQ_ENTRY(object) link;
	char *key;
	guint64 version;
	GBytes *value;
} object_t;

/* A pending watch call. */
typedef struct watch {
	TAILQ_ENTRY(watch) link;
	SoupServerMessage *message;
	char *key;
	guint64 after; /* waits for a version above this one */
	guint timer;
	gulong disconnected; /* signal handler */
	gboolean silent; /* never gets a response */
} watch_t;

/*
 * A rate limit over intervals of one second. An interval starts with its first
 * call: intervals aligned to the clock could change between the calls of a
 * test.
 */
typedef struct {
	guint per_second; /* 0 for no limit */
	gint64 started; /* instant of the start of the interval */
	guint used; /* calls in this interval */
} rate_limit_t;

static struct {
	guint port;
	SoupServer *server;
	gboolean outage;
	gboolean endless;
	guint slow_ms;
	guint lose_answers;
	guint list_lag_ms;
	/* Number of silence faults, plus 1. Older connections are silent. */
	guint generation;
	rate_limit_t reads;
	rate_limit_t writes;
	gint64 stats_since;
	TAILQ_HEAD(object_list, object) objects;
	TAILQ_HEAD(watch_list, watch) watches;
	GHashTable *instances; /* service -> GBytes */
	GHashTable *calls; /* client -> count */
} fake = { .port = 7000, .generation = 1 };

static void reply_object(SoupServerMessage *message, guint status,
			 guint64 version, GBytes *value)
{
	gchar *text = g_strdup_printf("%" G_GUINT64_FORMAT, version);

	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Object-Version", text);
	g_free(text);
	soup_server_message_set_status(message, status, NULL);
	if (value)
		soup_reply_bytes(message, status, "application/json", value);
}

static object_t *find_object(const char *key)
{
	object_t *object;

	TAILQ_FOREACH (object, &fake.objects, link)
		if (g_str_equal(object->key, key))
			return object;
	return NULL;
}

static void close_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void watch_free(watch_t *watch)
{
	TAILQ_REMOVE(&fake.watches, watch, link);
	if (watch->timer)
		g_source_remove(watch->timer);
	g_clear_signal_handler(&watch->disconnected, watch->message);
	g_object_unref(watch->message);
	g_free(watch->key);
	g_free(watch);
}

static void end_watch(watch_t *watch, guint status, const object_t *object)
{
	if (object)
		reply_object(watch->message, status, object->version,
			     object->value);
	else
		soup_server_message_set_status(watch->message, status, NULL);
	soup_server_message_unpause(watch->message);
	watch_free(watch);
}

static void notify_watches(const object_t *object)
{
	watch_t *watch, *next;

	TAILQ_FOREACH_SAFE (watch, &fake.watches, link, next)
		if (!watch->silent && g_str_equal(watch->key, object->key) &&
		    object->version > watch->after)
			end_watch(watch, SOUP_STATUS_OK, object);
}

static guint64 query_number(GHashTable *query, const char *name,
			    guint64 default_value)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

static void handle_get(SoupServerMessage *message, const char *key)
{
	const object_t *object = find_object(key);

	if (object)
		reply_object(message, SOUP_STATUS_OK, object->version,
			     object->value);
	else
		soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND,
					       NULL);
}

static void handle_put(SoupServerMessage *message, const char *key,
		       GHashTable *query)
{
	guint64 expected = query_number(query, "if_version", 0);
	object_t *object = find_object(key);

	if ((object ? object->version : 0) != expected) {
		reply_object(message, SOUP_STATUS_CONFLICT,
			     object ? object->version : 0, NULL);
		return;
	}
	if (!object) {
		object = g_new0(object_t, 1);
		object->key = g_strdup(key);
		TAILQ_INSERT_TAIL(&fake.objects, object, link);
	}
	g_clear_pointer(&object->value, g_bytes_unref);
	object->value = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	object->version++;
	reply_object(message, SOUP_STATUS_OK, object->version, NULL);
	notify_watches(object);
	if (fake.lose_answers > 0) {
		fake.lose_answers--;
		close_connection(message);
	}
}

static gboolean on_watch_timeout(gpointer data)
{
	watch_t *watch = data;

	watch->timer = 0;
	end_watch(watch, SOUP_STATUS_NO_CONTENT, NULL);
	return G_SOURCE_REMOVE;
}

static void on_watch_disconnected(SoupServerMessage *message, gpointer data)
{
	(void)message;
	watch_free(data);
}

static void handle_watch(SoupServerMessage *message, const char *key,
			 GHashTable *query)
{
	guint64 after = query_number(query, "after", 0);
	const object_t *object = find_object(key);
	watch_t *watch;

	if (object && object->version > after) {
		handle_get(message, key);
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->message = g_object_ref(message);
	watch->key = g_strdup(key);
	watch->after = after;
	watch->timer =
		g_timeout_add((guint)query_number(query, "timeout_ms", 1000),
			      on_watch_timeout, watch);
	watch->disconnected =
		g_signal_connect(message, "disconnected",
				 G_CALLBACK(on_watch_disconnected), watch);
	TAILQ_INSERT_TAIL(&fake.watches, watch, link);
	soup_server_message_pause(message);
}

static void handle_instances(SoupServerMessage *message, const char *name)
{
	GBytes *list = g_hash_table_lookup(fake.instances, name);

	if (list)
		soup_reply_bytes(message, SOUP_STATUS_OK, "application/json",
				 list);
	else
		soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND,
					       NULL);
}

static void count_call(SoupServerMessage *message)
{
	const char *client = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), "Client");
	guint count;

	if (!client)
		client = "";
	count = GPOINTER_TO_UINT(g_hash_table_lookup(fake.calls, client));
	g_hash_table_insert(fake.calls, g_strdup(client),
			    GUINT_TO_POINTER(count + 1));
}

static void reset_stats(void)
{
	const watch_t *watch;

	g_hash_table_remove_all(fake.calls);
	fake.stats_since = g_get_monotonic_time();
	TAILQ_FOREACH (watch, &fake.watches, link)
		if (!watch->silent)
			count_call(watch->message);
}

/* Counts a call. Returns FALSE if it exceeds the limit. */
static gboolean rate_limit_allows(rate_limit_t *rate)
{
	gint64 now = g_get_monotonic_time();

	if (!rate->per_second)
		return TRUE;
	if (now - rate->started >= G_TIME_SPAN_SECOND) {
		rate->started = now;
		rate->used = 0;
	}
	return rate->used++ < rate->per_second;
}

/* A call to /v1, possibly delayed by slow_ms. */
typedef struct {
	SoupServerMessage *message;
	char *path;
	GHashTable *query;
} call_t;

static void append_endless_block(SoupServerMessage *message)
{
	static const char block[65536] = { ' ' };

	soup_message_body_append(soup_server_message_get_response_body(message),
				 SOUP_MEMORY_STATIC, block, sizeof(block));
	soup_server_message_unpause(message);
}

static void on_endless_block_written(SoupServerMessage *message, gpointer data)
{
	(void)data;
	append_endless_block(message);
}

static void handle_endless_get(SoupServerMessage *message)
{
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	g_signal_connect(message, "wrote-chunk",
			 G_CALLBACK(on_endless_block_written), NULL);
	append_endless_block(message);
}

static void handle_call(call_t *call)
{
	if (fake.endless && g_str_has_prefix(call->path, "/v1/get/"))
		handle_endless_get(call->message);
	else if (g_str_has_prefix(call->path, "/v1/get/"))
		handle_get(call->message, call->path + strlen("/v1/get/"));
	else if (g_str_has_prefix(call->path, "/v1/put/"))
		handle_put(call->message, call->path + strlen("/v1/put/"),
			   call->query);
	else if (g_str_has_prefix(call->path, "/v1/watch/"))
		handle_watch(call->message, call->path + strlen("/v1/watch/"),
			     call->query);
	else if (g_str_has_prefix(call->path, "/v1/instances/"))
		handle_instances(call->message,
				 call->path + strlen("/v1/instances/"));
	else
		soup_server_message_set_status(call->message,
					       SOUP_STATUS_NOT_FOUND, NULL);
}

static gboolean on_slow_call(gpointer data)
{
	call_t *call = data;

	soup_server_message_unpause(call->message);
	handle_call(call);
	g_object_unref(call->message);
	g_free(call->path);
	g_clear_pointer(&call->query, g_hash_table_unref);
	g_free(call);
	return G_SOURCE_REMOVE;
}

/* TRUE if the connection was first used before the last silence fault. */
static gboolean is_silent(SoupServerMessage *message)
{
	GObject *socket = G_OBJECT(soup_server_message_get_socket(message));
	guint generation = GPOINTER_TO_UINT(g_object_get_data(socket, "born"));

	if (!generation)
		g_object_set_data(socket, "born",
				  GUINT_TO_POINTER(fake.generation));
	return generation && generation != fake.generation;
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	call_t call = { message, (char *)path, query };
	call_t *slow;

	(void)server;
	(void)data;
	count_call(message);
	if (is_silent(message)) {
		soup_server_message_pause(message);
		return;
	}
	if (fake.outage) {
		close_connection(message);
		return;
	}
	if (!rate_limit_allows(g_str_has_prefix(path, "/v1/put/") ?
				       &fake.writes :
				       &fake.reads)) {
		soup_server_message_set_status(message, 429, NULL);
		return;
	}
	if (!fake.slow_ms) {
		handle_call(&call);
		return;
	}
	slow = g_new0(call_t, 1);
	slow->message = g_object_ref(message);
	slow->path = g_strdup(path);
	slow->query = query ? g_hash_table_ref(query) : NULL;
	soup_server_message_pause(message);
	g_timeout_add(fake.slow_ms, on_slow_call, slow);
}

static void disconnect_watches(void)
{
	watch_t *watch, *next;

	TAILQ_FOREACH_SAFE (watch, &fake.watches, link, next)
		close_connection(watch->message);
}

/* Stops responses on all connections that have served a call. */
static void silence_connections(void)
{
	watch_t *watch;

	fake.generation++;
	TAILQ_FOREACH (watch, &fake.watches, link) {
		watch->silent = TRUE;
		g_clear_handle_id(&watch->timer, g_source_remove);
	}
}

/* Sets *value if the query has the parameter. */
static void read_number(GHashTable *query, const char *name, guint *value)
{
	*value = (guint)query_number(query, name, *value);
}

static void on_control(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	(void)server;
	(void)path;
	(void)data;
	fake.outage = query_number(query, "outage", fake.outage) != 0;
	fake.endless = query_number(query, "endless", fake.endless) != 0;
	read_number(query, "slow_ms", &fake.slow_ms);
	read_number(query, "lose_answers", &fake.lose_answers);
	read_number(query, "list_lag_ms", &fake.list_lag_ms);
	read_number(query, "reads_per_second", &fake.reads.per_second);
	read_number(query, "writes_per_second", &fake.writes.per_second);
	if (query_number(query, "silence", 0))
		silence_connections();
	if (query_number(query, "reset_stats", 0))
		reset_stats();
	if (fake.outage)
		disconnect_watches();
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
}

/* An instance list that is not visible to clients yet. */
typedef struct {
	char *name;
	GBytes *list;
} pending_list_t;

static gboolean on_list_visible(gpointer data)
{
	pending_list_t *pending = data;

	g_hash_table_insert(fake.instances, pending->name, pending->list);
	g_free(pending);
	return G_SOURCE_REMOVE;
}

static void on_set_instances(SoupServer *server, SoupServerMessage *message,
			     const char *path, GHashTable *query, gpointer data)
{
	pending_list_t *pending = g_new0(pending_list_t, 1);

	(void)server;
	(void)query;
	(void)data;
	pending->name = g_strdup(path + strlen("/instances/"));
	pending->list = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	if (fake.list_lag_ms)
		g_timeout_add(fake.list_lag_ms, on_list_visible, pending);
	else
		on_list_visible(pending);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
}

static void on_stats(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	JsonBuilder *builder = json_builder_new();
	dump_writer_t w = dump_json_writer(builder);
	GHashTableIter iter;
	gpointer client, count;

	(void)server;
	(void)path;
	(void)query;
	(void)data;
	w.begin_object(w.ctx, NULL);
	w.integer(w.ctx, "elapsed_ms",
		  (g_get_monotonic_time() - fake.stats_since) /
			  G_TIME_SPAN_MILLISECOND);
	w.begin_object(w.ctx, "calls");
	g_hash_table_iter_init(&iter, fake.calls);
	while (g_hash_table_iter_next(&iter, &client, &count))
		w.integer(w.ctx, client, GPOINTER_TO_UINT(count));
	w.end_object(w.ctx);
	w.end_object(w.ctx);
	soup_reply_json(message, builder);
	g_object_unref(builder);
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	(void)state;
	if (key != 'p')
		return ARGP_ERR_UNKNOWN;
	fake.port = (guint)atoi(argument);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "Port to listen on", 0 }, { 0 }
	};
	const struct argp argp = { .options = options, .parser = parse_option };
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	catk_error_t error;
	gchar *address;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	TAILQ_INIT(&fake.objects);
	TAILQ_INIT(&fake.watches);
	fake.instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	fake.calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake.stats_since = g_get_monotonic_time();
	fake.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(fake.server, "/v1", on_call, NULL, NULL);
	soup_server_add_handler(fake.server, "/control", on_control, NULL,
				NULL);
	soup_server_add_handler(fake.server, "/instances", on_set_instances,
				NULL, NULL);
	soup_server_add_handler(fake.server, "/stats", on_stats, NULL, NULL);
	address = g_strdup_printf("127.0.0.1:%u", fake.port);
	if (!soup_listen(fake.server, address, &error)) {
		fprintf(stderr, "%s\n", error.message);
		return EXIT_FAILURE;
	}
	g_free(address);
	g_main_loop_run(loop);
	return EXIT_SUCCESS;
}
