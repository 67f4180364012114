/*
 * Case 7: clients that the operator does not control send large bodies of legal
 * size, whole, and leave before their deadline. Their requests are not
 * idempotent, so the endpoints work on.
 */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lost_callers.h"

#define CROWD 4
#define BODY_BYTES 19000000 /* max_body_bytes is 67,108,864 */
#define LEAVE_AFTER_MS 50 /* after the last byte was sent */
#define ENDPOINTS 21
#define WORK_MS \
	1000 /* at most 1,600 in the site file; the route allows 2,000 */
#define CROWD_AT_MS 4000
#define DURATION_MS 14000

static atomic_bool stop;
static atomic_int sent, refused;
static int port;

/* A client that leaves shortly after it has sent each request. */
static void *send_and_leave(void *data)
{
	char *body = malloc(BODY_BYTES), text[512];
	int fd, sequence = 0;

	memset(body, 'x', BODY_BYTES);
	while (!stop) {
		struct pollfd p = { .events = POLLIN };
		bool whole;

		fd = dial(port, 1000);
		if (fd < 0) {
			sleep_ms(20);
			continue;
		}
		snprintf(text, sizeof(text),
			 "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: x%ld-%d\r\nX-Deadline-Ms: 4000\r\n"
			 "Content-Length: %d\r\n\r\n",
			 (long)data, sequence++, BODY_BYTES);
		whole = write_all(fd, text, strlen(text)) &&
			write_all(fd, body, BODY_BYTES);
		p.fd = fd;
		if (whole && poll(&p, 1, LEAVE_AFTER_MS) == 0)
			sent++;
		else
			refused++;
		close(fd);
	}
	free(body);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t crowd[CROWD];
	instance_t *instance;
	char id[16];
	bool broken;
	long i;

	if (argc != 2)
		return EXIT_COULD_NOT_RUN;
	world_start(argv[1]);
	store_put_config();
	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(id, sizeof(id), "i-%ld", i);
		endpoint_start(id, "huvo11a", 3, WORK_MS);
	}
	instance = instance_start(0);
	instance_wait_ready(instance);
	port = instance->front;
	lost_callers_start(instance);
	while (now_ms() < CROWD_AT_MS)
		sleep_ms(10);
	record("memory before: %ld kB at most", instance->peak_kb);
	for (i = 0; has_trouble() && i < CROWD; i++)
		pthread_create(&crowd[i], NULL, send_and_leave, (void *)i);
	while (now_ms() < DURATION_MS && !instance->ended)
		sleep_ms(10);
	sleep_ms(instance->ended ? 500 : 0);
	stop = true;
	for (i = 0; has_trouble() && i < CROWD; i++)
		pthread_join(crowd[i], NULL);
	record("crowd: %d bodies of %d bytes sent whole, %d refused", sent,
	       BODY_BYTES, refused);
	broken = lost_callers_end(instance);
	world_end();
	return broken ? EXIT_BROKEN : EXIT_HELD;
}
