/* Processes, HTTP requests and waiting for the integration tests. */
#ifndef CATK_TEST_SUPPORT_H
#define CATK_TEST_SUPPORT_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>

/*
 * A port of this test run. Ports start at the environment variable
 * TEST_PORT_BASE, default 20000, so that several checkouts can run tests at
 * once. offset is below 1000.
 */
guint test_port(guint offset);

typedef struct {
	GSubprocess *process;
	GPid pid;
} process_t;

/* Starts a program of the build folder; NULL ends the arguments. */
process_t *process_start(const char *program, ...) G_GNUC_NULL_TERMINATED;

/* The same, with its output appended to a file. */
process_t *process_start_logged(const char *log, const char *program,
				...) G_GNUC_NULL_TERMINATED;

/* Sends a signal to exactly this process. */
void process_signal(process_t *process, int signal);

/* Waits for the end. Returns the exit status, or less 0 the signal. */
int process_wait(process_t *process);

/* Kills the process when it still runs, and frees it. NULL is allowed. */
void process_free(process_t *process);

typedef struct {
	guint status; /* 0 when there was no whole answer */
	char *body;
	char *outcome; /* header Catkinstall-Outcome, or NULL */
} reply_t;

/*
 * Sends one request to 127.0.0.1:port and waits. Headers are names and values
 * ending with NULL. Clear with reply_clear().
 */
void http_request(reply_t *reply, const char *method, guint port,
		  const char *path, const char *body,
		  ...) G_GNUC_NULL_TERMINATED;

void reply_clear(reply_t *reply);

/* A request whose answer is looked at later; see http_join(). */
typedef struct async_request async_request_t;

async_request_t *http_start(const char *method, guint port, const char *path,
			    const char *body, ...) G_GNUC_NULL_TERMINATED;

/* Runs the main loop until the request ends, fills reply, frees it. */
void http_join(async_request_t *request, reply_t *reply);

/* Closes the connection without waiting for an answer, frees the request. */
void http_abort(async_request_t *request);

/* Runs the main loop for a time in milliseconds. */
void run_loop_for(guint ms);

/* Calls condition every 20 ms until it is true; FALSE after timeout_ms. */
gboolean wait_until(gboolean (*condition)(void *ctx), void *ctx,
		    guint timeout_ms);

/* TRUE when the daemon on the port answers a resolve; for wait_until(). */
gboolean daemon_is_ready(void *port);

/* Writes text to a file of the build folder; free the path with g_free(). */
char *write_build_file(const char *name, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* A request id from a resolve at the port; free with g_free(). */
char *fetch_request_id(guint port);

/* The member of a JSON object at a path such as "counters.calls_received". */
gint64 json_integer_at(const char *json, const char *path);

#endif
