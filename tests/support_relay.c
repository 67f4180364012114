#include "tests/support_relay.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "lib/common/intrusive.h"

#define READ_BYTES 65536
#define FILES_MAX 256 /* file descriptors examined per process */
#define SIDE_UNKNOWN G_MAXUINT /* affected by every partition */

/* One direction of a relayed connection. */
typedef struct flow {
	TAILQ_ENTRY(flow) link;
	GSocketConnection *from;
	GSocketConnection *to;
	gboolean crosses_sides;
	gboolean held; /* what was read waits for the end of the partition */
	gssize size; /* bytes read and not yet sent, 0 or -1 at the end */
	gchar bytes[READ_BYTES];
} flow_t;

/* A process and the side it is on. */
typedef struct process_side {
	TAILQ_ENTRY(process_side) link;
	GPid pid;
	guint side;
} process_side_t;

/* A listening port. */
typedef struct {
	guint port;
	guint target;
	guint side;
} relay_t;

static struct {
	TAILQ_HEAD(flow_list, flow) flows;
	TAILQ_HEAD(process_side_list, process_side) processes;
	gboolean partitioned;
} relays = { .flows = TAILQ_HEAD_INITIALIZER(relays.flows),
	     .processes = TAILQ_HEAD_INITIALIZER(relays.processes) };

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void start_read(flow_t *flow)
{
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(flow->from)),
		flow->bytes, READ_BYTES, G_PRIORITY_DEFAULT, NULL, on_read,
		flow);
}

static void forward(flow_t *flow)
{
	GOutputStream *out =
		g_io_stream_get_output_stream(G_IO_STREAM(flow->to));

	flow->held = FALSE;
	if (flow->size > 0 &&
	    g_output_stream_write_all(out, flow->bytes, (gsize)flow->size, NULL,
				      NULL, NULL))
		start_read(flow);
	else
		g_socket_shutdown(g_socket_connection_get_socket(flow->to),
				  FALSE, TRUE, NULL);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	flow_t *flow = data;

	flow->size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						NULL);
	flow->held = relays.partitioned && flow->crosses_sides;
	if (!flow->held)
		forward(flow);
}

void relay_set_partition(gboolean partitioned)
{
	flow_t *flow;

	relays.partitioned = partitioned;
	TAILQ_FOREACH (flow, &relays.flows, link)
		if (flow->held && !partitioned)
			forward(flow);
}

guint relay_blocked_directions(void)
{
	guint count = 0;
	flow_t *flow;

	TAILQ_FOREACH (flow, &relays.flows, link)
		count += flow->held;
	return count;
}

static void add_flow(GSocketConnection *from, GSocketConnection *to,
		     gboolean crosses_sides)
{
	flow_t *flow = g_new0(flow_t, 1);

	flow->from = g_object_ref(from);
	flow->to = g_object_ref(to);
	flow->crosses_sides = crosses_sides;
	TAILQ_INSERT_TAIL(&relays.flows, flow, link);
	start_read(flow);
}

/*
 * Inode of the socket that is connected from a local port to the relay, 0 if
 * there is none. The table is read line by line, because each sscanf() on a
 * buffer with the whole table would scan to its end. That takes seconds with
 * the 10,000 closed connections of a whole test run.
 */
static gulong socket_inode(guint port, guint relay_port)
{
	FILE *table = fopen("/proc/net/tcp", "r");
	gulong found = 0, inode;
	guint local, remote;
	char line[256];

	g_assert_nonnull(table);
	while (!found && fgets(line, sizeof(line), table))
		if (sscanf(line,
			   " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*u "
			   "%*d %lu",
			   &local, &remote, &inode) == 3 &&
		    local == port && remote == relay_port)
			found = inode;
	fclose(table);
	return found;
}

static gboolean holds_socket(GPid pid, gulong inode)
{
	struct stat status;
	char path[64];
	int file;

	for (file = 0; file < FILES_MAX; file++) {
		g_snprintf(path, sizeof(path), "/proc/%d/fd/%d", (int)pid,
			   file);
		if (stat(path, &status) == 0 && S_ISSOCK(status.st_mode) &&
		    status.st_ino == inode)
			return TRUE;
	}
	return FALSE;
}

/*
 * Returns the side of the process that opened a connection. The process is
 * found by its socket, as the hello message between peers has no sender.
 */
static guint client_side(GSocketConnection *incoming, guint relay_port)
{
	GSocketAddress *remote =
		g_socket_connection_get_remote_address(incoming, NULL);
	gulong inode = socket_inode(
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(remote)),
		relay_port);
	process_side_t *assigned;

	g_object_unref(remote);
	TAILQ_FOREACH (assigned, &relays.processes, link)
		if (holds_socket(assigned->pid, inode))
			return assigned->side;
	return SIDE_UNKNOWN;
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *incoming, GObject *source,
			    gpointer data)
{
	GSocketClient *client = g_socket_client_new();
	const relay_t *relay = data;
	gboolean crosses_sides = client_side(incoming, relay->port) !=
				 relay->side;
	GSocketConnection *outgoing;

	(void)service;
	(void)source;
	outgoing = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)relay->target, NULL, NULL);
	if (outgoing) {
		add_flow(incoming, outgoing, crosses_sides);
		add_flow(outgoing, incoming, crosses_sides);
		g_object_unref(outgoing);
	}
	g_object_unref(client);
	return TRUE;
}

void relay_add_process(const process_t *process, guint side)
{
	process_side_t *assigned = g_new0(process_side_t, 1);

	assigned->pid = process->pid;
	assigned->side = side;
	TAILQ_INSERT_TAIL(&relays.processes, assigned, link);
}

void relay_start(guint port, guint target, guint side)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocketService *service = g_socket_service_new();
	relay_t *relay = g_new0(relay_t, 1);
	GError *error = NULL;

	relay->port = port;
	relay->target = target;
	relay->side = side;
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), relay);
	g_socket_listener_add_address(G_SOCKET_LISTENER(service), address,
				      G_SOCKET_TYPE_STREAM,
				      G_SOCKET_PROTOCOL_TCP, NULL, NULL,
				      &error);
	g_assert_no_error(error);
	g_object_unref(address);
}
