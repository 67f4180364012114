/*
 * Helpers of the integration tests and benchmarks: child processes, HTTP
 * requests, waiting in the main loop, and files.
 */
#ifndef CATK_TEST_SUPPORT_H
#define CATK_TEST_SUPPORT_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>

/*
 * Returns the port at an offset, below 1000, from the environment variable
 * TEST_PORT_BASE, default 20000. Checkouts with different bases can run tests
 * at the same time.
 */
guint test_port(guint offset);

/* A child process. It is killed when the test program ends. */
typedef struct {
	GSubprocess *process;
	GPid pid;
} process_t;

/* Starts a program of the build folder. NULL terminates the arguments. */
process_t *process_start(const char *program, ...) G_GNUC_NULL_TERMINATED;

/* Like process_start(), appends the program's output to the file log. */
process_t *process_start_logged(const char *log, const char *program,
				...) G_GNUC_NULL_TERMINATED;

/* Sends a signal to this process, not to its children. */
void process_signal(process_t *process, int signal);

/*
 * Waits until the process ends. Returns its exit status, or the negated number
 * of the signal that terminated it.
 */
int process_wait(process_t *process);

/*
 * Kills the process if it is running, waits until it is gone, and frees it. NULL
 * is allowed.
 */
void process_free(process_t *process);

/*
 * Like process_free(), without blocking: gone is called from the main loop once
 * the process is gone. On a busy machine that takes seconds.
 */
void process_free_async(process_t *process, void (*gone)(void *ctx), void *ctx);

/* An HTTP response. Clear with reply_clear(). */
typedef struct {
	guint status; /* 0 if no complete response was received */
	char *body;
	char *outcome; /* header Catkinstall-Outcome, or NULL */
} reply_t;

/*
 * Sends a request to 127.0.0.1:port and runs the main loop until the response
 * is complete. The variable arguments are header names, each followed by its
 * value, terminated by NULL. body may be NULL.
 */
void http_request(reply_t *reply, const char *method, guint port,
		  const char *path, const char *body,
		  ...) G_GNUC_NULL_TERMINATED;

void reply_clear(reply_t *reply);

/* A request in progress. End with http_join() or http_abort(). */
typedef struct async_request async_request_t;

/* Sends a request without waiting. Arguments as for http_request(). */
async_request_t *http_start(const char *method, guint port, const char *path,
			    const char *body, ...) G_GNUC_NULL_TERMINATED;

/* Runs the main loop until the request ends, fills reply, frees the request. */
void http_join(async_request_t *request, reply_t *reply);

/* Closes the connection without waiting for a response, frees the request. */
void http_abort(async_request_t *request);

/*
 * Calls back from the main loop when the socket is readable. Free the result
 * with g_source_destroy() and g_source_unref().
 */
GSource *watch_socket(GSocket *socket, GSocketSourceFunc callback, void *ctx);

/* Runs the main loop for a time in milliseconds. */
void run_loop_for(guint ms);

/*
 * Runs the main loop and checks condition every 20 ms. Returns TRUE once the
 * condition is true, FALSE after timeout_ms.
 */
gboolean wait_until(gboolean (*condition)(void *ctx), void *ctx,
		    guint timeout_ms);

/*
 * Condition for wait_until(): TRUE if the daemon on the port, a guint in a
 * pointer, responds to a resolve request and has a configuration.
 */
gboolean daemon_is_ready(void *port);

/*
 * Writes formatted text to a file of the build folder. Returns its path, to be
 * freed with g_free().
 */
char *write_build_file(const char *name, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/*
 * Sends a resolve request to the port and returns the first request id of the
 * response, or NULL if it has none. Free with g_free().
 */
char *fetch_request_id(guint port);

/*
 * Returns the integer at a path such as "counters.calls_received" in a JSON
 * document, -1 if there is none.
 */
gint64 json_integer_at(const char *json, const char *path);

#endif
