/*
 * Case 9: one of ten endpoints hands out wrong bytes in 3 of 100 answers: their
 * heads have a long run of bytes where a header has a few.
 */
#include <stdio.h>

#include "callers.h"

#define SPOIL_EVERY 33
#define DURATION_MS 45000

int main(int argc, char **argv)
{
	endpoint_t *endpoint;
	instance_t *instance;
	char id[16];
	bool broken;
	int i;

	if (argc != 2)
		return EXIT_COULD_NOT_RUN;
	world_start(argv[1]);
	store_put_config();
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "i-%d", i);
		endpoint = endpoint_start(id, "huvo11a", 3, 160);
	}
	if (has_trouble())
		endpoint->spoil_every = SPOIL_EVERY;
	instance = instance_start(0);
	instance_wait_ready(instance);
	callers_start(instance);
	broken = callers_end(watch_readiness(instance, DURATION_MS));
	world_end();
	return broken ? EXIT_BROKEN : EXIT_HELD;
}
