/*
 * Case 8: a crowd of clients sends one request each, all at once. The requests
 * are inside the limits of the configuration; their paths have many slashes.
 */
#include <stdio.h>
#include <string.h>

#include "callers.h"

#define CROWD_CONNECTIONS 200
#define SLASHES 16000 /* max_header_bytes is 16,384 */
#define CROWD_AT_MS 4000
#define DURATION_MS 45000

/* Connects the crowd; returns the number of connections. */
static int connect_crowd(int port, int *fds)
{
	int i, count = 0;

	for (i = 0; i < CROWD_CONNECTIONS; i++)
		if ((fds[count] = dial(port, 3000)) >= 0)
			count++;
	return count;
}

static void send_crowd(const int *fds, int count)
{
	static char path[SLASHES + 1], text[SLASHES + 512];
	int i;

	memset(path, '/', SLASHES);
	for (i = 0; i < count; i++) {
		int size = sprintf(text,
				   "GET /lohu930%s HTTP/1.1\r\n"
				   "Host: ficu95.example\r\n"
				   "X-Request-Id: x%d\r\n"
				   "X-Deadline-Ms: 3000\r\n\r\n",
				   has_trouble() ? path : "/2f", i);

		write_all(fds[i], text, (size_t)size);
	}
}

int main(int argc, char **argv)
{
	int fds[CROWD_CONNECTIONS];
	instance_t *instance;
	char id[16];
	bool broken;
	int i, count;

	if (argc != 2)
		return EXIT_COULD_NOT_RUN;
	world_start(argv[1]);
	store_put_config();
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "i-%d", i);
		endpoint_start(id, "huvo11a", 3, 160);
	}
	instance = instance_start(0);
	instance_wait_ready(instance);
	callers_start(instance);
	while (now_ms() < CROWD_AT_MS)
		sleep_ms(10);
	count = connect_crowd(instance->front, fds);
	record("crowd: %d requests of one client each", count);
	send_crowd(fds, count);
	broken = callers_end(watch_readiness(instance, DURATION_MS));
	world_end();
	return broken ? EXIT_BROKEN : EXIT_HELD;
}
