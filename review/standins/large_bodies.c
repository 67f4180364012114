/*
 * Two instances, six endpoints. Clients send small requests on kept connections
 * all the while. Ten further clients, each on a kept connection of its own, send
 * one large body after the other, within max_body_bytes, never two at once. The
 * platform kills a process that exceeds memory_mb, and starts it again.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin.h"

#define INSTANCES 2
#define ENDPOINTS 6
#define SLOTS 3
#define CLIENTS 24
#define WORK_MS 110.0
#define DEADLINE_MS 4000
#define PAUSE_MAX_MS 100 /* between two requests of a client */
#define REQUESTS_MAX 20000
#define MEMORY_MB 260
#define RESTART_MS 500.0

#define UPLOADS 10
/* Half of max_body_bytes; without the trouble, the largest of the site file. */
#define LARGE_BYTES 32000000
#define SMALL_BYTES 24000
#define FIRST_UPLOAD_MS 9000.0
#define UPLOAD_GAP_MS 1000.0
#define END_MS 21000.0
/* A link of 1,000 Mbit/s: one block each 0.53 ms. */
#define BLOCK_BYTES 65536
#define BLOCK_MS 0.53

/* LOST allows so many in a day. */
#define LOST_MAX 3

static const char *config =
	"{\"version\":\"r12\",\"resources\":["
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"file\"},\"spec\":{"
	"\"host\":\"review.example\",\"path_prefix\":\"/file/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":3000,"
	"\"target_latency_ms\":1000,\"priority\":2,\"max_attempts\":2,"
	"\"service\":\"register\"}},"
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"register\"},"
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":260}},"
	"{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
	"\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";

static instance_t instances[INSTANCES];
static endpoint_t *endpoints[ENDPOINTS];
static int arrived[REQUESTS_MAX]; /* at an endpoint */
static unsigned last_request, lost, kills;
static uint16_t store_port;
static volatile int stop;

static void handle(endpoint_connection_t *connection, const message_t *request,
		   const char *id)
{
	if (strncmp(id, "q-", 2) == 0)
		arrived[atoi(id + 2)] = 1;
	rec("%s, %zu bytes, runs at %s", id, request->body_size,
	    connection->endpoint->id);
	endpoint_run(connection->endpoint, WORK_MS);
	endpoint_answer(connection, id);
}

static size_t memory_bytes(int pid)
{
	char path[64], line[128];
	size_t kilobytes = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in))
		if (sscanf(line, "VmRSS: %zu", &kilobytes) == 1)
			break;
	if (in)
		fclose(in);
	return kilobytes * 1024;
}

/* The platform's limit of memory. */
static void *watch_memory(void *data)
{
	instance_t *instance = data;

	/* Runs to the end: a process that it started ends with it. */
	for (;;) {
		size_t bytes = memory_bytes(instance->pid);

		if (bytes > (size_t)MEMORY_MB << 20) {
			kill(instance->pid, SIGKILL);
			waitpid(instance->pid, NULL, 0);
			rec("MEMORY: %s uses %zu MB, the limit is %d: killed",
			    instance->name, bytes >> 20, MEMORY_MB);
			__sync_fetch_and_add(&kills, 1);
			sleep_ms(RESTART_MS);
			instance_start(instance, store_port, instances,
				       INSTANCES);
		}
		sleep_ms(2);
	}
	return NULL;
}

/* Returns the status of the answer, 0 if the connection ended without one. */
static int exchange(reader_t *reader, const char *id, size_t bytes,
		    message_t *answer)
{
	static char block[BLOCK_BYTES];
	char head[512];
	int size = snprintf(head, sizeof(head),
			    "POST /file/sample HTTP/1.1\r\n"
			    "Host: review.example\r\nX-Request-Id: %s\r\n"
			    "X-Deadline-Ms: %u\r\nContent-Length: %zu\r\n\r\n",
			    id, DEADLINE_MS, bytes);
	double next = now_ms();
	size_t part;

	if (send_all(reader->fd, head, (size_t)size))
		return 0;
	for (; bytes; bytes -= part) {
		part = bytes < BLOCK_BYTES ? bytes : BLOCK_BYTES;
		if (send_all(reader->fd, block, part))
			return 0;
		next += BLOCK_MS;
		sleep_until(next);
	}
	return read_message(reader, answer) == 1 ? atoi(answer->head + 9) : 0;
}

static reader_t *connect_to(const instance_t *instance)
{
	reader_t *reader = calloc(1, sizeof(*reader));

	reader->fd = dial(instance->front, 1000);
	if (reader->fd >= 0)
		set_read_timeout(reader->fd, DEADLINE_MS + 1000);
	return reader;
}

static void *run_client(void *data)
{
	unsigned index = (unsigned)(uintptr_t)data;
	unsigned seed = index + 1;
	message_t *answer = calloc(1, sizeof(*answer));
	reader_t *reader = NULL;
	char id[16];

	for (; !stop; sleep_ms(rand_r(&seed) % PAUSE_MAX_MS)) {
		unsigned number, kept = reader != NULL;
		int status;

		if (!reader)
			reader = connect_to(&instances[index % INSTANCES]);
		if (reader->fd < 0) {
			free(reader);
			reader = NULL;
			continue;
		}
		number = __sync_add_and_fetch(&last_request, 1);
		if (number >= REQUESTS_MAX)
			break;
		snprintf(id, sizeof(id), "q-%u", number);
		rec("%s sent", id);
		status = exchange(reader, id, 300, answer);
		if (status) {
			rec("%s answered: %d", id, status);
			continue;
		}
		rec("%s: its connection%s ended without an answer%s", id,
		    kept ? ", a kept one," : "",
		    arrived[number] ? "; it had reached an endpoint" : "");
		if (kept && arrived[number])
			__sync_fetch_and_add(&lost, 1);
		close(reader->fd);
		free(reader);
		reader = NULL;
	}
	return NULL;
}

static void upload(unsigned number, double at)
{
	const instance_t *instance = &instances[0];
	message_t *answer = calloc(1, sizeof(*answer));
	size_t bytes = has_trouble() ? LARGE_BYTES : SMALL_BYTES;
	reader_t *reader;
	char id[16];
	int status;

	sleep_until(at);
	snprintf(id, sizeof(id), "u-%u", number);
	reader = connect_to(instance);
	rec("%s sent: %zu bytes to %s", id, bytes, instance->name);
	status = exchange(reader, id, bytes, answer);
	rec("%s answered: %d; %s uses %zu MB", id, status, instance->name,
	    memory_bytes(instance->pid) >> 20);
	/* The connection is kept, as a client's pool does. */
}

int main(int argc, char **argv)
{
	pthread_t thread;
	char name[32];
	unsigned i;

	standin_start(argc > 1 ? argv[1] : "record.txt", 60);
	store_port = store_start();
	store_put("config", "main", config);
	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(name, sizeof(name), "i-%u", i + 1);
		endpoints[i] = endpoint_start(name, "zone-a", "register", SLOTS,
					      handle);
		endpoint_register(endpoints[i], "ready");
	}
	for (i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "edge-%u", i + 1);
		instance_prepare(&instances[i], name, "zone-a");
	}
	for (i = 0; i < INSTANCES; i++)
		instance_start(&instances[i], store_port, instances, INSTANCES);
	for (i = 0; i < INSTANCES; i++)
		instance_wait_ready(&instances[i]);
	for (i = 0; i < INSTANCES; i++)
		pthread_create(&thread, NULL, watch_memory, &instances[i]);
	sleep_until(5000);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&thread, NULL, run_client, (void *)(uintptr_t)i);
	for (i = 0; i < UPLOADS; i++)
		upload(i + 1, FIRST_UPLOAD_MS + i * UPLOAD_GAP_MS);
	sleep_until(END_MS);
	stop = 1;
	sleep_ms(RESTART_MS + 1000);
	rec("%u small requests, %u processes killed for their memory, %u "
	    "requests on kept connections lost at an endpoint",
	    last_request, kills, lost);
	printf("%u small requests, %u processes killed for their memory, %u "
	       "requests on kept connections lost at an endpoint\n",
	       last_request, kills, lost);
	standin_exit(lost > LOST_MAX ? 1 : 0);
}
