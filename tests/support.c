#include "tests/support.h"

#include <fcntl.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/prctl.h>

#define POLL_INTERVAL_MS 20
#define DEFAULT_PORT_BASE 20000

struct async_request {
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GBytes *body;
	gboolean done;
};

static const char *build_folder(void)
{
	const char *folder = g_getenv("TEST_BUILD");

	return folder ? folder : "build";
}

guint test_port(guint offset)
{
	const char *base = g_getenv("TEST_PORT_BASE");

	g_assert(offset < 1000);
	return offset + (base ? (guint)g_ascii_strtoull(base, NULL, 10) :
				DEFAULT_PORT_BASE);
}

/* Kills the child when the test program ends, also when it crashes. */
static void kill_with_parent(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocessLauncher *new_launcher(const char *log)
{
	GSubprocessFlags flags = G_SUBPROCESS_FLAGS_NONE;
	GSubprocessLauncher *launcher;

	if (log)
		flags = G_SUBPROCESS_FLAGS_STDERR_MERGE;
	else if (!g_getenv("TEST_VERBOSE"))
		flags = G_SUBPROCESS_FLAGS_STDOUT_SILENCE |
			G_SUBPROCESS_FLAGS_STDERR_SILENCE;
	launcher = g_subprocess_launcher_new(flags);
	if (log)
		g_subprocess_launcher_take_stdout_fd(
			launcher,
			open(log, O_WRONLY | O_APPEND | O_CREAT, 0600));
	g_subprocess_launcher_set_child_setup(launcher, kill_with_parent, NULL,
					      NULL);
	return launcher;
}

static process_t *start_process(const char *log, const char *program,
				va_list list)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	process_t *process = g_new0(process_t, 1);
	GSubprocessLauncher *launcher = new_launcher(log);
	GError *error = NULL;
	const char *argument;

	g_ptr_array_add(arguments,
			g_build_filename(build_folder(), program, NULL));
	while ((argument = va_arg(list, const char *)))
		g_ptr_array_add(arguments, g_strdup(argument));
	g_ptr_array_add(arguments, NULL);
	process->process = g_subprocess_launcher_spawnv(
		launcher, (const gchar *const *)arguments->pdata, &error);
	g_assert_no_error(error);
	process->pid = atoi(g_subprocess_get_identifier(process->process));
	g_object_unref(launcher);
	g_ptr_array_unref(arguments);
	return process;
}

process_t *process_start(const char *program, ...)
{
	process_t *process;
	va_list list;

	va_start(list, program);
	process = start_process(NULL, program, list);
	va_end(list);
	return process;
}

process_t *process_start_logged(const char *log, const char *program, ...)
{
	process_t *process;
	va_list list;

	va_start(list, program);
	process = start_process(log, program, list);
	va_end(list);
	return process;
}

void process_signal(process_t *process, int signal)
{
	g_subprocess_send_signal(process->process, signal);
}

int process_wait(process_t *process)
{
	g_subprocess_wait(process->process, NULL, NULL);
	if (!g_subprocess_get_if_exited(process->process))
		return -g_subprocess_get_term_sig(process->process);
	return g_subprocess_get_exit_status(process->process);
}

void process_free(process_t *process)
{
	if (!process)
		return;
	g_subprocess_force_exit(process->process);
	g_subprocess_wait(process->process, NULL, NULL);
	g_object_unref(process->process);
	g_free(process);
}

/* A process that has been killed and is not gone yet. */
typedef struct {
	process_t *process;
	void (*gone)(void *ctx);
	void *ctx;
} process_end_t;

static void on_process_gone(GObject *source, GAsyncResult *result,
			    gpointer data)
{
	process_end_t *end = data;

	g_subprocess_wait_finish(G_SUBPROCESS(source), result, NULL);
	g_object_unref(end->process->process);
	g_free(end->process);
	end->gone(end->ctx);
	g_free(end);
}

void process_free_async(process_t *process, void (*gone)(void *ctx), void *ctx)
{
	process_end_t *end = g_new0(process_end_t, 1);

	end->process = process;
	end->gone = gone;
	end->ctx = ctx;
	g_subprocess_force_exit(process->process);
	g_subprocess_wait_async(process->process, NULL, on_process_gone, end);
}

static void on_response(GObject *source, GAsyncResult *result, gpointer data)
{
	async_request_t *request = data;

	request->body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, NULL);
	request->done = TRUE;
}

static async_request_t *start_request(const char *method, guint port,
				      const char *path, const char *body,
				      va_list headers)
{
	async_request_t *request = g_new0(async_request_t, 1);
	gchar *uri = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	const char *name;

	request->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	request->cancellable = g_cancellable_new();
	request->message = soup_message_new(method, uri);
	while ((name = va_arg(headers, const char *)))
		soup_message_headers_append(
			soup_message_get_request_headers(request->message),
			name, va_arg(headers, const char *));
	if (body) {
		GBytes *bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(
			request->message, "application/octet-stream", bytes);
		g_bytes_unref(bytes);
	}
	soup_session_send_and_read_async(request->session, request->message,
					 G_PRIORITY_DEFAULT,
					 request->cancellable, on_response,
					 request);
	g_free(uri);
	return request;
}

async_request_t *http_start(const char *method, guint port, const char *path,
			    const char *body, ...)
{
	async_request_t *request;
	va_list headers;

	va_start(headers, body);
	request = start_request(method, port, path, body, headers);
	va_end(headers);
	return request;
}

/* Runs the main loop until the request ends, then frees it. */
static void request_free(async_request_t *request)
{
	while (!request->done)
		g_main_context_iteration(NULL, TRUE);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_object_unref(request->session);
	g_free(request);
}

void http_join(async_request_t *request, reply_t *reply)
{
	const char *data;
	gsize size;

	while (!request->done)
		g_main_context_iteration(NULL, TRUE);
	memset(reply, 0, sizeof(*reply));
	if (request->body) {
		data = g_bytes_get_data(request->body, &size);
		reply->status = soup_message_get_status(request->message);
		reply->body = g_strndup(data, size);
		reply->outcome = g_strdup(soup_message_headers_get_one(
			soup_message_get_response_headers(request->message),
			"Catkinstall-Outcome"));
	}
	request_free(request);
}

void http_abort(async_request_t *request)
{
	g_cancellable_cancel(request->cancellable);
	request_free(request);
}

void http_request(reply_t *reply, const char *method, guint port,
		  const char *path, const char *body, ...)
{
	async_request_t *request;
	va_list headers;

	va_start(headers, body);
	request = start_request(method, port, path, body, headers);
	va_end(headers);
	http_join(request, reply);
}

void reply_clear(reply_t *reply)
{
	g_clear_pointer(&reply->body, g_free);
	g_clear_pointer(&reply->outcome, g_free);
	reply->status = 0;
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

GSource *watch_socket(GSocket *socket, GSocketSourceFunc callback, void *ctx)
{
	GSource *source = g_socket_create_source(socket, G_IO_IN, NULL);

	g_source_set_callback(source, G_SOURCE_FUNC(callback), ctx, NULL);
	g_source_attach(source, NULL);
	return source;
}

void run_loop_for(guint ms)
{
	gboolean done = FALSE;

	g_timeout_add(ms, on_timeout, &done);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
}

gboolean wait_until(gboolean (*condition)(void *ctx), void *ctx,
		    guint timeout_ms)
{
	gint64 end =
		g_get_monotonic_time() + timeout_ms * G_TIME_SPAN_MILLISECOND;

	while (!condition(ctx)) {
		if (g_get_monotonic_time() > end)
			return FALSE;
		run_loop_for(POLL_INTERVAL_MS);
	}
	return TRUE;
}

gboolean daemon_is_ready(void *port)
{
	reply_t reply;
	gboolean ok;

	http_request(&reply, "GET", GPOINTER_TO_UINT(port), "/v1/resolve", NULL,
		     NULL);
	ok = reply.status == 200 &&
	     json_integer_at(reply.body, "config_version") > 0;
	reply_clear(&reply);
	return ok;
}

char *write_build_file(const char *name, const char *format, ...)
{
	char *path = g_build_filename(build_folder(), name, NULL);
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	return path;
}

/* Returns the node at a path of member names, NULL if there is none. */
static JsonNode *find_node(JsonNode *node, const char *path)
{
	gchar **names = g_strsplit(path, ".", -1);
	guint i;

	for (i = 0; names[i] && node; i++)
		node = JSON_NODE_HOLDS_OBJECT(node) ?
			       json_object_get_member(
				       json_node_get_object(node), names[i]) :
			       NULL;
	g_strfreev(names);
	return node;
}

gint64 json_integer_at(const char *json, const char *path)
{
	JsonNode *root = json_from_string(json, NULL);
	JsonNode *node = root ? find_node(root, path) : NULL;
	gint64 value = node ? json_node_get_int(node) : -1;

	g_clear_pointer(&root, json_node_unref);
	return value;
}

char *fetch_request_id(guint port)
{
	JsonNode *root, *prefix;
	char *id = NULL;
	reply_t reply;

	http_request(&reply, "GET", port, "/v1/resolve", NULL, NULL);
	g_assert_cmpuint(reply.status, ==, 200);
	root = json_from_string(reply.body, NULL);
	prefix = find_node(root, "request_ids.prefix");
	if (prefix)
		id = g_strdup_printf(
			"%s.%" G_GINT64_FORMAT, json_node_get_string(prefix),
			json_integer_at(reply.body, "request_ids.first"));
	json_node_unref(root);
	reply_clear(&reply);
	return id;
}
