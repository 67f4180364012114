/*
 * Three instances, six endpoints. Two endpoints leave, one a second after the
 * other. Between the two, the open connections to the store go silent for good;
 * new ones work. An endpoint that leaves serves for drain_ms after the store's
 * acknowledgement and a little longer, then its process ends.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define INSTANCES 3
#define ENDPOINTS 6
#define CLIENTS 12
#define WORK_MS 110.0
#define DEADLINE_MS 2000
#define PAUSE_MS 60.0 /* between two requests of a client */
#define REQUESTS_MAX 20000

#define FIRST_LEAVES_MS 12000.0
#define SILENCE_MS (FIRST_LEAVES_MS + 300)
#define SECOND_LEAVES_MS (FIRST_LEAVES_MS + 1000)
#define SECOND_ENDS_MS (SECOND_LEAVES_MS + DRAIN_MS + 1300)
#define END_MS (SILENCE_MS + 9000)
/*
 * Not counted: requests sent within this time after an instance is in touch
 * again, or that arrive within this time after drain_ms.
 */
#define MARGIN_MS 100.0

static const char *config =
	"{\"version\":\"r12\",\"resources\":["
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"book\"},\"spec\":{"
	"\"host\":\"review.example\",\"path_prefix\":\"/book/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1500,"
	"\"target_latency_ms\":400,\"priority\":0,\"max_attempts\":3,"
	"\"service\":\"booking\"}},"
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"booking\"},"
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":220}},"
	"{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
	"\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
	"\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}]}";

static instance_t instances[INSTANCES];
static endpoint_t *endpoints[ENDPOINTS];
static double sent_at[REQUESTS_MAX];
static int answered[REQUESTS_MAX]; /* status, -1 for none yet */
static int ran_late[REQUESTS_MAX];
static unsigned last_request;
static double acknowledged_at[ENDPOINTS]; /* 0: not leaving */
static unsigned late_arrivals;
static volatile int stop;

static void handle(endpoint_connection_t *connection, const message_t *request,
		   const char *id)
{
	endpoint_t *endpoint = connection->endpoint;
	unsigned number = (unsigned)atoi(id + 2);
	unsigned index = (unsigned)(endpoint->id[2] - '1');
	double arrived = now_ms();
	double in_touch = has_trouble() ? SILENCE_MS + CONTACT_MS : 0;

	(void)request;
	rec("%s arrives at %s and runs", id, endpoint->id);
	if (acknowledged_at[index] &&
	    arrived > acknowledged_at[index] + DRAIN_MS + MARGIN_MS &&
	    sent_at[number] > in_touch + MARGIN_MS) {
		rec("LATE: %s, sent by its client at %.1f ms, arrives at %s "
		    "%.0f ms after the store acknowledged that it leaves",
		    id, sent_at[number], endpoint->id,
		    arrived - acknowledged_at[index]);
		ran_late[number] = 1;
		__sync_fetch_and_add(&late_arrivals, 1);
	}
	endpoint_run(endpoint, WORK_MS);
	endpoint_answer(connection, id);
}

static void *run_client(void *data)
{
	unsigned seed = (unsigned)(uintptr_t)data;
	reply_t *reply = calloc(1, sizeof(*reply));
	char id[16];

	while (!stop) {
		unsigned number = __sync_add_and_fetch(&last_request, 1);

		if (number >= REQUESTS_MAX)
			break;
		snprintf(id, sizeof(id), "q-%u", number);
		answered[number] = -1;
		sent_at[number] = now_ms();
		rec("%s sent", id);
		client_request(instances[rand_r(&seed) % INSTANCES].front,
			       "POST", "/book/visit", id, DEADLINE_MS, "visit",
			       reply);
		rec("%s answered: %d", id, reply->status);
		answered[number] = reply->status;
		sleep_ms(PAUSE_MS);
	}
	return NULL;
}

static void leave(unsigned index, double at)
{
	sleep_until(at);
	endpoint_register(endpoints[index], "draining");
	acknowledged_at[index] = now_ms();
}

static void *end_second(void *data)
{
	sleep_until(SECOND_ENDS_MS);
	store_delete("servers", endpoints[0]->id);
	endpoint_end(endpoints[0]);
	return data;
}

int main(int argc, char **argv)
{
	uint16_t store_port, address;
	pthread_t thread;
	unsigned i, lost = 0;
	char name[32];

	standin_start(argc > 1 ? argv[1] : "record.txt", 60);
	store_port = store_start();
	address = proxy_start(store_port);
	store_put("config", "main", config);
	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(name, sizeof(name), "i-%u", i + 1);
		endpoints[i] = endpoint_start(name, i < 3 ? "zone-a" : "zone-b",
					      "booking", 3, handle);
		endpoint_register(endpoints[i], "ready");
	}
	for (i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "edge-%u", i + 1);
		instance_prepare(&instances[i], name,
				 i < 2 ? "zone-a" : "zone-b");
	}
	for (i = 0; i < INSTANCES; i++)
		instance_start(&instances[i], address, instances, INSTANCES);
	for (i = 0; i < INSTANCES; i++)
		instance_wait_ready(&instances[i]);
	sleep_until(6000);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&thread, NULL, run_client,
			       (void *)(uintptr_t)(i + 1));
	pthread_create(&thread, NULL, end_second, NULL);
	leave(4, FIRST_LEAVES_MS);
	sleep_until(SILENCE_MS);
	if (has_trouble())
		rec("%u open connections to the store go silent",
		    proxy_silence());
	leave(0, SECOND_LEAVES_MS);
	sleep_until(END_MS);
	stop = 1;
	sleep_ms(DEADLINE_MS + 500);
	for (i = 1; i <= last_request; i++)
		lost += ran_late[i] && answered[i] != 200;
	rec("%u requests, %u late arrivals, %u of them without a success",
	    last_request, late_arrivals, lost);
	printf("%u requests, %u late arrivals, %u of them without a success\n",
	       last_request, late_arrivals, lost);
	standin_exit(late_arrivals ? 1 : 0);
}
