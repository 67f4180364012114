/*
 * Three instances and six endpoints of one service, which other callers keep
 * busy. Endpoint i-2 crashes; its entry expires after three
 * heartbeats. Three times, i-1 is full when a request arrives, and says so. It
 * sends a few of its answers, these refusals among them, a second time: late,
 * where the next response on the connection is expected.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define INSTANCES 3
#define ENDPOINTS 6
#define SLOTS 2
#define WORK_MS 25.0
#define DEADLINE_MS 1000
#define HEARTBEAT_MS 1500
#define CRASH_MS 8000.0
#define REQUESTS_MAX 4000
/* The share of i-1's answers that it may send twice. */
#define COPIES_SHARE 0.03

static const char *config =
	"{\"version\":\"r12\",\"resources\":["
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"issue\"},\"spec\":{"
	"\"host\":\"review.example\",\"path_prefix\":\"/issue/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":800,"
	"\"target_latency_ms\":150,\"priority\":0,\"max_attempts\":3,"
	"\"service\":\"office\"}},"
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"office\"},"
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":260}},"
	"{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
	"\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
	"\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}]}";

/* When i-1 is full for the next request, in ms after the crash. */
static const double full_at[] = { 300, 1700, 4100 };
#define FULL_COUNT (sizeof(full_at) / sizeof(*full_at))

static instance_t instances[INSTANCES];
static endpoint_t *endpoints[ENDPOINTS];
static unsigned runs[REQUESTS_MAX]; /* executions of each request */
static int answered[REQUESTS_MAX];
static unsigned last_request;
static unsigned answers, copies; /* of i-1 */
static volatile unsigned full_for; /* number of that request, 0 for none */

/* The load of other callers, which leaves two slots, one or none. */
static unsigned others_load(const endpoint_t *endpoint)
{
	if (strcmp(endpoint->id, "i-1") == 0)
		return 0;
	return strcmp(endpoint->id, "i-2") == 0 ? 1 : SLOTS;
}

static void refuse(endpoint_connection_t *connection, const char *id)
{
	const endpoint_t *endpoint = connection->endpoint;
	char text[512];
	int size = snprintf(text, sizeof(text),
			    "HTTP/1.1 503 Service Unavailable\r\n"
			    "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
			    "X-Instance-Id: %s\r\nX-Server-Load: %u,6,%u\r\n"
			    "Keep-Alive: timeout=10\r\n"
			    "Content-Length: 0\r\n\r\n",
			    id, endpoint->id, SLOTS, SLOTS);

	send_all(connection->reader.fd, text, (size_t)size);
	if (strcmp(endpoint->id, "i-1") == 0)
		__sync_fetch_and_add(&answers, 1);
}

static int is_full(const endpoint_t *endpoint, unsigned number)
{
	static unsigned refused;

	if (strcmp(endpoint->id, "i-1") != 0)
		return others_load(endpoint) == SLOTS;
	if (!number || number != full_for || refused == number)
		return 0;
	refused = number;
	return 1;
}

static void handle(endpoint_connection_t *connection, const message_t *request,
		   const char *id)
{
	endpoint_t *endpoint = connection->endpoint;
	unsigned number = (unsigned)atoi(id + 2);
	char *held = connection->user_data;

	(void)request;
	if (is_full(endpoint, number)) {
		rec("%s at %s: full, not executed", id, endpoint->id);
		refuse(connection, id);
		if (has_trouble() && strcmp(endpoint->id, "i-1") == 0 &&
		    copies + 1 <= COPIES_SHARE * answers) {
			free(held);
			connection->user_data = strdup(id);
		}
		return;
	}
	if (held) {
		rec("%s: sends its answer to %s a second time", endpoint->id,
		    held);
		refuse(connection, held);
		copies++;
		free(held);
		connection->user_data = NULL;
	}
	__sync_fetch_and_add(&runs[number], 1);
	rec("%s runs at %s (execution %u)", id, endpoint->id, runs[number]);
	endpoint_run(endpoint, WORK_MS);
	endpoint_answer(connection, id);
	if (strcmp(endpoint->id, "i-1") == 0)
		__sync_fetch_and_add(&answers, 1);
}

static void request(unsigned number)
{
	static reply_t reply;
	char id[16];

	snprintf(id, sizeof(id), "q-%u", number);
	rec("%s sent", id);
	client_request(instances[0].front, "POST", "/issue/certificate", id,
		       DEADLINE_MS, "certificate", &reply);
	answered[number] = reply.status;
	rec("%s answered: %d", id, reply.status);
}

static void *crash(void *data)
{
	sleep_until(CRASH_MS);
	endpoint_end(endpoints[1]);
	sleep_until(CRASH_MS + 3 * HEARTBEAT_MS);
	store_delete("servers", endpoints[1]->id);
	return data;
}

int main(int argc, char **argv)
{
	unsigned i, twice = 0, refused = 0, next_full = 0;
	uint16_t store_port;
	pthread_t thread;
	char name[32];

	standin_start(argc > 1 ? argv[1] : "record.txt", 60);
	store_port = store_start();
	store_put("config", "main", config);
	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(name, sizeof(name), "i-%u", i + 1);
		endpoints[i] =
			endpoint_start(name, "zone-a", "office", SLOTS, handle);
		endpoints[i]->others = others_load(endpoints[i]);
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
	if (has_trouble())
		pthread_create(&thread, NULL, crash, NULL);
	sleep_until(CRASH_MS - 4000);
	while (now_ms() < CRASH_MS + 5000) {
		unsigned number = ++last_request;

		if (next_full < FULL_COUNT &&
		    now_ms() > CRASH_MS + full_at[next_full]) {
			full_for = number;
			next_full++;
		}
		request(number);
		full_for = 0;
	}
	sleep_ms(2000);
	for (i = 1; i <= last_request; i++) {
		twice += runs[i] > 1;
		refused += runs[i] && answered[i] == 503;
	}
	rec("%u requests, %u answers of i-1, %u of them sent twice",
	    last_request, answers, copies);
	rec("%u requests ran twice, %u ran and were refused", twice, refused);
	printf("%u requests, %u copies: %u ran twice, %u ran and were refused\n",
	       last_request, copies, twice, refused);
	standin_exit(twice || refused ? 1 : 0);
}
