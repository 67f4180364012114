#include "tests/support_relay.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "lib/common/intrusive.h"

#define READ_BYTES 65536
#define FILES_MAX 256 /* open files of a process that are looked at */
#define SIDE_UNKNOWN G_MAXUINT /* such a connection takes part in every cut */

/* One direction of a relayed connection. */
typedef struct flow {
	TAILQ_ENTRY(flow) link;
	GSocketConnection *from;
	GSocketConnection *to;
	gboolean crosses; /* connects two sides */
	gboolean held; /* what was read waits for the end of the cut */
	gssize size; /* read and not yet passed on; -1 at the end */
	gchar bytes[READ_BYTES];
} flow_t;

typedef struct member {
	TAILQ_ENTRY(member) link;
	GPid pid;
	guint side;
} member_t;

typedef struct {
	guint port;
	guint target;
	guint side;
} relay_t;

static struct {
	TAILQ_HEAD(flow_list, flow) flows;
	TAILQ_HEAD(member_list, member) members;
	gboolean cut;
} relays = { .flows = TAILQ_HEAD_INITIALIZER(relays.flows),
	     .members = TAILQ_HEAD_INITIALIZER(relays.members) };

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void read_more(flow_t *flow)
{
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(flow->from)),
		flow->bytes, READ_BYTES, G_PRIORITY_DEFAULT, NULL, on_read,
		flow);
}

static void pass_on(flow_t *flow)
{
	GOutputStream *out =
		g_io_stream_get_output_stream(G_IO_STREAM(flow->to));

	flow->held = FALSE;
	if (flow->size > 0 &&
	    g_output_stream_write_all(out, flow->bytes, (gsize)flow->size, NULL,
				      NULL, NULL))
		read_more(flow);
	else
		g_socket_shutdown(g_socket_connection_get_socket(flow->to),
				  FALSE, TRUE, NULL);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	flow_t *flow = data;

	flow->size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						NULL);
	flow->held = relays.cut && flow->crosses;
	if (!flow->held)
		pass_on(flow);
}

void relay_set_partition(gboolean cut)
{
	flow_t *flow;

	relays.cut = cut;
	TAILQ_FOREACH (flow, &relays.flows, link)
		if (flow->held && !cut)
			pass_on(flow);
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
		     gboolean crosses)
{
	flow_t *flow = g_new0(flow_t, 1);

	flow->from = g_object_ref(from);
	flow->to = g_object_ref(to);
	flow->crosses = crosses;
	TAILQ_INSERT_TAIL(&relays.flows, flow, link);
	read_more(flow);
}

/*
 * Inode of the socket that is connected from one local port to another. Read
 * line by line: sscanf() takes the length of all text that is left, which
 * takes seconds with the 10,000 closed connections of a whole test run.
 */
static gulong inode_of(guint port, guint relay_port)
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

/* The opener's socket tells its side: a peer's hello does not name it. */
static guint side_of_opener(GSocketConnection *front, guint relay_port)
{
	GSocketAddress *remote =
		g_socket_connection_get_remote_address(front, NULL);
	gulong inode = inode_of(
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(remote)),
		relay_port);
	member_t *member;

	g_object_unref(remote);
	TAILQ_FOREACH (member, &relays.members, link)
		if (holds_socket(member->pid, inode))
			return member->side;
	return SIDE_UNKNOWN;
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *front,
			    GObject *source, gpointer data)
{
	GSocketClient *client = g_socket_client_new();
	const relay_t *relay = data;
	gboolean crosses = side_of_opener(front, relay->port) != relay->side;
	GSocketConnection *back;

	(void)service;
	(void)source;
	back = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)relay->target, NULL, NULL);
	if (back) {
		add_flow(front, back, crosses);
		add_flow(back, front, crosses);
		g_object_unref(back);
	}
	g_object_unref(client);
	return TRUE;
}

void relay_add_process(const process_t *process, guint side)
{
	member_t *member = g_new0(member_t, 1);

	member->pid = process->pid;
	member->side = side;
	TAILQ_INSERT_TAIL(&relays.members, member, link);
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
