/*
 * A fake metadata store for tests: objects by kind and name, lists in pages,
 * watches, and faults. POST /fault/MODE sets one of these, which affect reads:
 *   none
 *   busy     responds with status 503
 *   refuse   responds with status 429
 *   silent   holds requests back and serves them when the mode ends
 *   swallow  ends pending watches with status 503 and never responds to
 *            requests received in this mode
 *   lose     never responds to requests received in this mode; pending watches
 *            continue
 *   mute     makes all open connections silent for good: neither requests nor
 *            acknowledgements pass; new connections work
 *   compact  discards the history once: pending watches, and later ones from an
 *            earlier revision, end with status 410
 *   copy     keeps a copy of the current state
 *   restore  returns to the copy in a new era; pending watches are cut
 *
 *   fake_store --port PORT [--page OBJECTS]
 */
#include <argp.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_server.h"
#include "net/system_clock.h"

#define OBJECTS_PATH "/-/objects/"
#define WATCH_CHECK_MS 5
#define FDS_MAX 1024

typedef struct object {
	TAILQ_ENTRY(object) link;
	char *kind;
	char *name;
	char *spec; /* JSON text */
	guint64 revision;
	gboolean deleted; /* deleted objects are kept for watches */
	/* In the copy, revision 0 if the object is not part of it. */
	char *copied_spec;
	guint64 copied_revision;
	gboolean copied_deleted;
} object_t;

/* A pending watch request. */
typedef struct watch {
	TAILQ_ENTRY(watch) link;
	http_exchange_t *exchange;
	char *kind;
	guint64 since; /* reports changes after this revision */
	GTimeSpan until; /* instant of the timeout */
} watch_t;

static struct {
	guint port;
	guint page; /* objects per page of a list */
	guint64 revision;
	guint64 compacted; /* watches from earlier revisions fail */
	guint64 copied_revision; /* of the whole store in the copy */
	guint64 era; /* times that the store was restored */
	char *fault;
	http_server_t *server;
	TAILQ_HEAD(object_list, object) objects; /* sorted by name */
	TAILQ_HEAD(watch_list, watch) watches;
	GPtrArray *held; /* exchanges received in mode silent */
} store = { .page = 500, .revision = 100 };

static void reply(http_exchange_t *exchange, guint status, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	gchar *headers = g_strdup_printf("Content-Type: application/json\r\n"
					 "Store-Era: %" G_GUINT64_FORMAT "\r\n",
					 store.era);

	http_exchange_reply(exchange, status, headers, body);
	g_free(headers);
	g_bytes_unref(body);
}

static object_t *find_object(const char *kind, const char *name)
{
	object_t *object;

	TAILQ_FOREACH (object, &store.objects, link)
		if (strcmp(object->kind, kind) == 0 &&
		    strcmp(object->name, name) == 0)
			return object;
	return NULL;
}

/* Inserts a new object in the order of names. */
static object_t *add_object(const char *kind, const char *name)
{
	object_t *object = g_new0(object_t, 1);
	object_t *next;

	object->kind = g_strdup(kind);
	object->name = g_strdup(name);
	TAILQ_FOREACH (next, &store.objects, link)
		if (strcmp(next->name, name) > 0)
			break;
	if (next)
		TAILQ_INSERT_BEFORE(next, object, link);
	else
		TAILQ_INSERT_TAIL(&store.objects, object, link);
	return object;
}

static void append_object(GString *text, const object_t *object)
{
	g_string_append_printf(text,
			       "{\"metadata\":{\"name\":\"%s\",\"revision\":"
			       "%" G_GUINT64_FORMAT "},\"spec\":%s}",
			       object->name, object->revision, object->spec);
}

/*
 * Replies with a page of objects: those whose names sort after a name, or the
 * first ones if it is NULL.
 */
static void reply_list(http_exchange_t *exchange, const char *kind,
		       const char *after)
{
	GString *text = g_string_new("{\"items\":[");
	const object_t *object;
	guint count = 0;

	TAILQ_FOREACH (object, &store.objects, link) {
		if (object->deleted || strcmp(object->kind, kind) != 0 ||
		    (after && strcmp(object->name, after) <= 0))
			continue;
		if (count++ == store.page)
			break;
		g_string_append(text, count > 1 ? "," : "");
		append_object(text, object);
	}
	g_string_append_printf(text,
			       "],\"more\":%s,\"as_of\":%" G_GUINT64_FORMAT "}",
			       object ? "true" : "false", store.revision);
	reply(exchange, 200, text->str);
	g_string_free(text, TRUE);
}

/*
 * Replies with the changes after a revision. Returns FALSE, without a reply, if
 * there are none and allow_empty is FALSE.
 */
static gboolean reply_changes(http_exchange_t *exchange, const char *kind,
			      guint64 since, gboolean allow_empty)
{
	GString *text = g_string_new("{\"events\":[");
	const object_t *object;
	guint count = 0;

	TAILQ_FOREACH (object, &store.objects, link) {
		if (object->revision <= since ||
		    strcmp(object->kind, kind) != 0)
			continue;
		g_string_append(text, count++ ? "," : "");
		g_string_append_printf(text, "{\"deleted\":%s,\"object\":",
				       object->deleted ? "true" : "false");
		append_object(text, object);
		g_string_append(text, "}");
	}
	g_string_append_printf(text, "],\"as_of\":%" G_GUINT64_FORMAT "}",
			       store.revision);
	if (count || allow_empty)
		reply(exchange, 200, text->str);
	g_string_free(text, TRUE);
	return count || allow_empty;
}

static void watch_free(watch_t *watch)
{
	TAILQ_REMOVE(&store.watches, watch, link);
	g_free(watch->kind);
	g_free(watch);
}

/* Replies to watches that have changes to report or have timed out. */
static gboolean on_tick(gpointer data)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	watch_t *watch, *next;

	(void)data;
	TAILQ_FOREACH_SAFE (watch, &store.watches, link, next)
		if (reply_changes(watch->exchange, watch->kind, watch->since,
				  now >= watch->until))
			watch_free(watch);
	return G_SOURCE_CONTINUE;
}

static void start_watch(http_exchange_t *exchange, const char *kind,
			guint64 since, guint64 wait_ms)
{
	watch_t *watch;

	if (since < store.compacted || since > store.revision) {
		reply(exchange, 410, "{}");
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->exchange = exchange;
	watch->kind = g_strdup(kind);
	watch->since = since;
	watch->until = catk_clock_now(&system_clock) +
		       (GTimeSpan)wait_ms * G_TIME_SPAN_MILLISECOND;
	TAILQ_INSERT_TAIL(&store.watches, watch, link);
}

/* Stores or deletes an object. */
static void change_object(http_exchange_t *exchange, const char *kind,
			  const char *name)
{
	const http_message_t *request = http_exchange_request(exchange);
	object_t *object = find_object(kind, name);
	gsize size;
	const char *spec = g_bytes_get_data(request->body, &size);

	if (!object)
		object = add_object(kind, name);
	object->deleted = strcmp(request->method, "DELETE") == 0;
	object->revision = ++store.revision;
	if (!object->deleted) {
		g_free(object->spec);
		object->spec = g_strndup(spec, size);
	}
	reply(exchange, 200, "{}");
}

static void serve_object_request(http_exchange_t *exchange, const char *kind,
				 const char *name, GHashTable *query)
{
	const char *since = g_hash_table_lookup(query, "watch");
	const char *wait = g_hash_table_lookup(query, "wait_ms");

	if (name)
		change_object(exchange, kind, name);
	else if (since)
		start_watch(exchange, kind, g_ascii_strtoull(since, NULL, 10),
			    wait ? g_ascii_strtoull(wait, NULL, 10) : 0);
	else
		reply_list(exchange, kind, g_hash_table_lookup(query, "after"));
}

static void serve(http_exchange_t *exchange);

static void end_watches(guint status)
{
	watch_t *watch, *next;

	TAILQ_FOREACH_SAFE (watch, &store.watches, link, next) {
		reply(watch->exchange, status, "{}");
		watch_free(watch);
	}
}

static gboolean is_connection(int fd)
{
	struct sockaddr_in peer = { 0 };
	socklen_t size = sizeof(peer);

	return getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
	       peer.sin_family == AF_INET;
}

/*
 * A filter drops what arrives, so the kernel acknowledges nothing. Watches are
 * dropped, as what this side sends would still pass.
 */
static void mute_connections(void)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { .len = 1, .filter = &drop };
	int fd;

	for (fd = 0; fd < FDS_MAX; fd++)
		if (is_connection(fd) &&
		    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			       sizeof(program)))
			g_error("cannot mute a connection: %s",
				g_strerror(errno));
	while (!TAILQ_EMPTY(&store.watches))
		watch_free(TAILQ_FIRST(&store.watches));
}

static void copy_state(void)
{
	object_t *object;

	store.copied_revision = store.revision;
	TAILQ_FOREACH (object, &store.objects, link) {
		g_free(object->copied_spec);
		object->copied_spec = g_strdup(object->spec);
		object->copied_revision = object->revision;
		object->copied_deleted = object->deleted;
	}
}

static void object_free(object_t *object)
{
	TAILQ_REMOVE(&store.objects, object, link);
	g_free(object->kind);
	g_free(object->name);
	g_free(object->spec);
	g_free(object->copied_spec);
	g_free(object);
}

static void restore_copy(void)
{
	object_t *object, *next;

	store.era++;
	store.revision = store.copied_revision;
	TAILQ_FOREACH_SAFE (object, &store.objects, link, next) {
		if (!object->copied_revision) {
			object_free(object);
			continue;
		}
		g_free(object->spec);
		object->spec = g_strdup(object->copied_spec);
		object->revision = object->copied_revision;
		object->deleted = object->copied_deleted;
	}
	end_watches(503);
}

static void set_fault(http_exchange_t *exchange, const char *mode)
{
	g_free(store.fault);
	store.fault = g_strdup(mode);
	if (strcmp(mode, "compact") == 0) {
		store.compacted = store.revision + 1;
		store.revision += 10;
		end_watches(410);
	} else if (strcmp(mode, "swallow") == 0) {
		end_watches(503);
	} else if (strcmp(mode, "mute") == 0) {
		mute_connections();
	} else if (strcmp(mode, "copy") == 0) {
		copy_state();
	} else if (strcmp(mode, "restore") == 0) {
		restore_copy();
	}
	reply(exchange, 200, "{}");
	/* The reply freed the request, which mode is a part of. */
	while (store.held->len && strcmp(store.fault, "silent") != 0)
		serve(g_ptr_array_steal_index(store.held, 0));
}

/* Applies the fault. Returns TRUE if the request is to be served no further. */
static gboolean apply_fault(http_exchange_t *exchange)
{
	/* Changes by the test always succeed, like those by an operator. */
	if (strcmp(http_exchange_request(exchange)->method, "GET") != 0)
		return FALSE;
	if (g_strcmp0(store.fault, "busy") == 0)
		reply(exchange, 503, "{}");
	else if (g_strcmp0(store.fault, "refuse") == 0)
		reply(exchange, 429, "{}");
	else if (g_strcmp0(store.fault, "silent") == 0)
		g_ptr_array_add(store.held, exchange);
	else if (g_strcmp0(store.fault, "swallow") != 0 &&
		 g_strcmp0(store.fault, "lose") != 0)
		return FALSE;
	return TRUE;
}

static void serve(http_exchange_t *exchange)
{
	const char *target = http_exchange_request(exchange)->target;
	gchar **parts = g_strsplit(target, "?", 2);
	gchar **names = NULL;
	GHashTable *query = parts[1] ? g_uri_parse_params(parts[1], -1, "&",
							  G_URI_PARAMS_NONE,
							  NULL) :
				       g_hash_table_new(NULL, NULL);

	if (g_str_has_prefix(target, "/fault/")) {
		set_fault(exchange, target + strlen("/fault/"));
	} else if (!g_str_has_prefix(target, OBJECTS_PATH)) {
		reply(exchange, 404, "{}");
	} else if (!apply_fault(exchange)) {
		names = g_strsplit(parts[0] + strlen(OBJECTS_PATH), "/", 2);
		serve_object_request(exchange, names[0], names[1], query);
	}
	g_strfreev(names);
	g_strfreev(parts);
	g_hash_table_unref(query);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	(void)ctx;
	serve(exchange);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	watch_t *watch, *next;

	(void)ctx;
	g_ptr_array_remove(store.held, exchange);
	TAILQ_FOREACH_SAFE (watch, &store.watches, link, next)
		if (watch->exchange == exchange)
			watch_free(watch);
}

static gboolean never_closing(void *ctx)
{
	(void)ctx;
	return FALSE;
}

static schema_request_limits_t no_limits(void *ctx)
{
	(void)ctx;
	return (schema_request_limits_t){ 0 };
}

static const struct argp_option options[] = {
	{ "port", 'p', "PORT", 0, "Listen on 127.0.0.1:PORT", 0 },
	{ "page", 'n', "OBJECTS", 0, "Objects per page of a list, default 500",
	  0 },
	{ 0 }
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	(void)state;
	if (key == 'p')
		store.port = (guint)strtoul(argument, NULL, 10);
	else if (key == 'n')
		store.page = (guint)strtoul(argument, NULL, 10);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static gboolean on_term(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	const struct argp argp = { .options = options, .parser = parse_option };
	http_server_events_t events = { .request = on_request,
					.disconnected = on_disconnected,
					.limits = no_limits,
					.closing = never_closing };
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	gchar *address;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	TAILQ_INIT(&store.objects);
	TAILQ_INIT(&store.watches);
	store.held = g_ptr_array_new();
	address = g_strdup_printf("127.0.0.1:%u", store.port);
	store.server = http_server_new(address, &events, &system_clock, NULL);
	g_free(address);
	if (!store.server)
		return EXIT_FAILURE;
	g_timeout_add(WATCH_CHECK_MS, on_tick, NULL);
	g_unix_signal_add(SIGTERM, on_term, loop);
	g_main_loop_run(loop);
	return EXIT_SUCCESS;
}
