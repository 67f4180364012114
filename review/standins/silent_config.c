/*
 * Three instances and two services with three endpoints each. A configuration
 * changes a time-out; then the open connections to the store go silent for good,
 * while new ones work; then another configuration moves the route from one
 * service to the other.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define INSTANCES 3
#define ENDPOINTS 6
#define CLIENTS 12
#define WORK_MS 42.0
#define DEADLINE_MS 1000
#define PAUSE_MS 60.0 /* between two requests of a client */
#define REQUESTS_MAX 20000
#define CONFIG_APPLY_MS 2000

#define FIRST_CHANGE_MS 12000.0
#define SILENCE_MS (FIRST_CHANGE_MS + 300)
#define MOVE_MS (SILENCE_MS + 300)
#define END_MS (SILENCE_MS + 8000)
/*
 * Not counted: requests sent within this time after an instance is in touch
 * again, or after the bound of the version.
 */
#define MARGIN_MS 100.0

/* Version, time-out and service of the route. */
static const char *const config =
	"{\"version\":\"r%u\",\"resources\":["
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"issue\"},\"spec\":{"
	"\"host\":\"review.example\",\"path_prefix\":\"/issue/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":%u,"
	"\"target_latency_ms\":150,\"priority\":0,\"max_attempts\":2,"
	"\"service\":\"%s\"}},"
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"office\"},"
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":260}},"
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"register\"},"
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":260}},"
	"{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
	"\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";

static instance_t instances[INSTANCES];
static endpoint_t *endpoints[ENDPOINTS];
static double sent_at[REQUESTS_MAX];
static unsigned last_request, late;
static double moved_at; /* acknowledgement of the move, 0 before */
static volatile int stop;

static void handle(endpoint_connection_t *connection, const message_t *request,
		   const char *id)
{
	endpoint_t *endpoint = connection->endpoint;
	double sent = sent_at[atoi(id + 2)];
	double in_touch = has_trouble() ? SILENCE_MS + CONTACT_MS : 0;

	(void)request;
	rec("%s runs at %s of %s", id, endpoint->id, endpoint->service);
	if (strcmp(endpoint->service, "office") == 0 && moved_at &&
	    sent > moved_at + CONFIG_APPLY_MS + MARGIN_MS &&
	    sent > in_touch + MARGIN_MS) {
		rec("LATE: %s, sent by its client %.0f ms after the store "
		    "acknowledged the move, runs at the old service",
		    id, sent - moved_at);
		__sync_fetch_and_add(&late, 1);
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
		sent_at[number] = now_ms();
		rec("%s sent", id);
		client_request(instances[rand_r(&seed) % INSTANCES].front,
			       "PUT", "/issue/certificate", id, DEADLINE_MS,
			       "certificate", reply);
		rec("%s answered: %d", id, reply->status);
		sleep_ms(PAUSE_MS);
	}
	return NULL;
}

static void put_config(unsigned version, unsigned timeout_ms,
		       const char *service)
{
	char text[2048];

	snprintf(text, sizeof(text), config, version, timeout_ms, service);
	store_put("config", "main", text);
	rec("version r%u: the route goes to %s", version, service);
}

int main(int argc, char **argv)
{
	uint16_t address;
	pthread_t thread;
	char name[32];
	unsigned i;

	standin_start(argc > 1 ? argv[1] : "record.txt", 60);
	address = proxy_start(store_start());
	put_config(12, 800, "office");
	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(name, sizeof(name), "i-%u", i + 1);
		endpoints[i] = endpoint_start(name, "zone-a",
					      i < 3 ? "office" : "register", 2,
					      handle);
		endpoint_register(endpoints[i], "ready");
	}
	for (i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "edge-%u", i + 1);
		instance_prepare(&instances[i], name, "zone-a");
	}
	for (i = 0; i < INSTANCES; i++)
		instance_start(&instances[i], address, instances, INSTANCES);
	for (i = 0; i < INSTANCES; i++)
		instance_wait_ready(&instances[i]);
	sleep_until(6000);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&thread, NULL, run_client,
			       (void *)(uintptr_t)(i + 1));
	sleep_until(FIRST_CHANGE_MS);
	put_config(15, 700, "office");
	sleep_until(SILENCE_MS);
	if (has_trouble())
		rec("%u open connections to the store go silent",
		    proxy_silence());
	sleep_until(MOVE_MS);
	put_config(19, 700, "register");
	moved_at = now_ms();
	sleep_until(END_MS);
	stop = 1;
	sleep_ms(DEADLINE_MS + 500);
	rec("%u requests, %u of them ran at the old service too late",
	    last_request, late);
	printf("%u requests, %u of them ran at the old service too late\n",
	       last_request, late);
	standin_exit(late ? 1 : 0);
}
