/*
 * Overload generator: sends calls of one method to a range of entries (load
 * balancer instances) at a constant rate, regardless of the responses, and
 * counts the responses by outcome. It writes HTTP to plain sockets: libsoup's
 * client uses more CPU for a pending call than an entry for refusing it, and so
 * cannot overload the entries.
 */
#include <argp.h>
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/common/intrusive.h"

#define TICK_MS 1
/* Pause after a connection to each entry. */
#define CONNECT_PAUSE (5 * G_TIME_SPAN_MILLISECOND)
#define RESPONSE_BYTES_MAX 4096
#define DRAIN_TIME (2 * G_TIME_SPAN_SECOND) /* for outstanding responses */

typedef struct target target_t;

typedef struct connection {
	TAILQ_ENTRY(connection) link; /* in the target's idle or busy list */
	target_t *target;
	GSocket *socket;
	GSource *source;
	gboolean busy;
	gsize length;
	char response[RESPONSE_BYTES_MAX + 1];
} connection_t;

TAILQ_HEAD(connection_list, connection);

/* One entry. */
struct target {
	guint port;
	struct connection_list idle;
	struct connection_list busy;
};

static struct {
	guint port, count, connections;
	double rate, seconds;
	char *path, *caller, *deadline_ms;
	target_t *targets;
	gchar *request;
	gsize request_length;
	GTimeSpan begin;
	guint64 scheduled, sent, not_sent, ok, refused, unknown, no_answer;
	GMainLoop *loop;
} flood = { .port = 8100,
	    .count = 1,
	    .connections = 80,
	    .rate = 1000,
	    .seconds = 5,
	    .caller = "flood",
	    .deadline_ms = "1000" };

static void connection_free(connection_t *connection)
{
	target_t *target = connection->target;

	if (connection->busy) {
		flood.no_answer++;
		TAILQ_REMOVE(&target->busy, connection, link);
	} else {
		TAILQ_REMOVE(&target->idle, connection, link);
	}
	g_source_destroy(connection->source);
	g_source_unref(connection->source);
	g_object_unref(connection->socket);
	g_free(connection);
}

static gboolean is_complete(const connection_t *connection)
{
	const char *end = strstr(connection->response, "\r\n\r\n");
	const char *length = strstr(connection->response, "Content-Length: ");

	if (!end || !length || length > end)
		return FALSE;
	return connection->length >=
	       (gsize)(end + 4 - connection->response) +
		       strtoul(length + strlen("Content-Length: "), NULL, 10);
}

static void count_response(const char *response)
{
	if (g_str_has_prefix(response, "HTTP/1.1 200"))
		flood.ok++;
	else if (strstr(response, "Catkinstall-Outcome: not_run"))
		flood.refused++;
	else
		flood.unknown++;
}

static void return_connection(connection_t *connection)
{
	target_t *target = connection->target;

	TAILQ_REMOVE(&target->busy, connection, link);
	TAILQ_INSERT_HEAD(&target->idle, connection, link);
	connection->busy = FALSE;
	connection->length = 0;
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	connection_t *connection = data;
	gssize got = g_socket_receive(socket,
				      connection->response + connection->length,
				      RESPONSE_BYTES_MAX - connection->length,
				      NULL, NULL);

	(void)condition;
	if (got <= 0) {
		connection_free(connection);
		return G_SOURCE_REMOVE;
	}
	connection->length += (gsize)got;
	connection->response[connection->length] = 0;
	if (connection->busy && is_complete(connection)) {
		count_response(connection->response);
		return_connection(connection);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean open_connection(target_t *target)
{
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"127.0.0.1", target->port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	gboolean ok = g_socket_connect(socket, address, NULL, NULL);
	connection_t *connection;

	g_object_unref(address);
	if (!ok) {
		g_object_unref(socket);
		return FALSE;
	}
	g_socket_set_blocking(socket, FALSE);
	connection = g_new0(connection_t, 1);
	connection->target = target;
	connection->socket = socket;
	connection->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(connection->source, G_SOURCE_FUNC(on_readable),
			      connection, NULL);
	g_source_attach(connection->source, NULL);
	TAILQ_INSERT_HEAD(&target->idle, connection, link);
	return TRUE;
}

static connection_t *take_connection(target_t *target)
{
	connection_t *connection = TAILQ_FIRST(&target->idle);

	if (!connection)
		return NULL;
	TAILQ_REMOVE(&target->idle, connection, link);
	TAILQ_INSERT_TAIL(&target->busy, connection, link);
	connection->busy = TRUE;
	return connection;
}

static void send_call(target_t *target)
{
	connection_t *connection = take_connection(target);

	if (!connection) {
		flood.not_sent++;
		return;
	}
	flood.sent++;
	if (g_socket_send(connection->socket, flood.request,
			  flood.request_length, NULL,
			  NULL) != (gssize)flood.request_length)
		connection_free(connection);
}

static gboolean on_tick(gpointer data)
{
	GTimeSpan age = g_get_monotonic_time() - flood.begin;
	double seconds = (double)age / G_TIME_SPAN_SECOND;

	(void)data;
	while (seconds < flood.seconds &&
	       (double)flood.scheduled < seconds * flood.rate)
		send_call(&flood.targets[flood.scheduled++ % flood.count]);
	if (seconds > flood.seconds + (double)DRAIN_TIME / G_TIME_SPAN_SECOND)
		g_main_loop_quit(flood.loop);
	return G_SOURCE_CONTINUE;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'p':
		flood.port = (guint)atoi(argument);
		break;
	case 'n':
		flood.count = (guint)atoi(argument);
		break;
	case 'x':
		flood.connections = (guint)atoi(argument);
		break;
	case 'r':
		flood.rate = g_ascii_strtod(argument, NULL);
		break;
	case 't':
		flood.seconds = g_ascii_strtod(argument, NULL);
		break;
	case 'm':
		flood.path = argument;
		break;
	case 'a':
		flood.caller = argument;
		break;
	case 'd':
		flood.deadline_ms = argument;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

/*
 * Opens all connections before the first call: connecting under load would
 * measure the listen backlogs of the entries and block the main loop. A pause
 * after each connection per entry keeps the backlogs from overflowing here,
 * too.
 */
static gboolean open_connections(void)
{
	guint i, k;

	for (k = 0; k < flood.connections; k++) {
		for (i = 0; i < flood.count; i++)
			if (!open_connection(&flood.targets[i]))
				return FALSE;
		g_usleep(CONNECT_PAUSE);
	}
	return TRUE;
}

static gboolean begin(void)
{
	guint i;

	flood.request = g_strdup_printf("POST /v1/call/%s HTTP/1.1\r\n"
					"Host: 127.0.0.1\r\n"
					"Catkinstall-Caller: %s\r\n"
					"Catkinstall-Deadline-Ms: %s\r\n"
					"Content-Length: 5\r\n\r\nflood",
					flood.path, flood.caller,
					flood.deadline_ms);
	flood.request_length = strlen(flood.request);
	flood.targets = g_new0(target_t, flood.count);
	for (i = 0; i < flood.count; i++) {
		flood.targets[i].port = flood.port + i;
		TAILQ_INIT(&flood.targets[i].idle);
		TAILQ_INIT(&flood.targets[i].busy);
	}
	if (!open_connections())
		return FALSE;
	flood.begin = g_get_monotonic_time();
	g_timeout_add(TICK_MS, on_tick, NULL);
	return TRUE;
}

static void report(void)
{
	printf("flood sent %" G_GUINT64_FORMAT "\n", flood.sent);
	printf("flood not_sent %" G_GUINT64_FORMAT "\n", flood.not_sent);
	printf("flood ok %" G_GUINT64_FORMAT "\n", flood.ok);
	printf("flood refused %" G_GUINT64_FORMAT "\n", flood.refused);
	printf("flood unknown %" G_GUINT64_FORMAT "\n", flood.unknown);
	printf("flood no_answer %" G_GUINT64_FORMAT "\n", flood.no_answer);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "First port", 0 },
		{ "count", 'n', "N", 0, "Number of ports, used in turn", 0 },
		{ "connections", 'x', "N", 0, "Connections per port", 0 },
		{ "rate", 'r', "N", 0, "Calls per second", 0 },
		{ "seconds", 't', "S", 0, "Time", 0 },
		{ "method", 'm', "SERVICE/METHOD", 0, "Method to call", 0 },
		{ "caller", 'a', "NAME", 0, "Name of the caller", 0 },
		{ "deadline-ms", 'd', "MS", 0, "Deadline of a call", 0 },
		{ 0 }
	};
	const struct argp argp = { .options = options, .parser = parse_option };

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (!flood.path) {
		fprintf(stderr, "missing option --method SERVICE/METHOD\n");
		return EXIT_FAILURE;
	}
	flood.loop = g_main_loop_new(NULL, FALSE);
	if (!begin()) {
		fprintf(stderr,
			"cannot connect to all entries: check --port and --count\n");
		return EXIT_FAILURE;
	}
	g_main_loop_run(flood.loop);
	report();
	return EXIT_SUCCESS;
}
