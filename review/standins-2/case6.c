/*
 * Case 6: clients that the operator does not control send large bodies of legal
 * size, most of which stop just short of their end and stay open. The headers of
 * their requests fill the legal size, too.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lost_callers.h"

#define CROWD_PROCESSES 4
#define CROWD_CONNECTIONS 250 /* of each process, together below 1,640 */
#define HEADERS 3900 /* with the rest 15.8 kB; max_header_bytes is 16,384 */
#define BODY_BYTES 100000 /* max_body_bytes is 67,108,864 */
#define DURATION_MS 12000
#define CROWD_AT_MS 4000

static size_t write_head(char *text, size_t max, int number)
{
	FILE *out = fmemopen(text, max, "w");
	size_t size;
	int i;

	if (!out)
		return 0;
	fprintf(out,
		"POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		"X-Request-Id: x%d\r\nX-Deadline-Ms: 4000\r\n"
		"Content-Length: %d\r\n",
		number, BODY_BYTES);
	for (i = 0; i < HEADERS; i++)
		fputs("b:\r\n", out);
	fputs("\r\n", out);
	size = (size_t)ftell(out);
	fclose(out);
	return size;
}

/* One process of the crowd: connects, waits for the start, sends, stays open. */
static void run_crowd(int port, int first, int go)
{
	static char text[32768], body[BODY_BYTES];
	int fds[CROWD_CONNECTIONS];
	char byte;
	int i;

	signal(SIGPIPE, SIG_IGN);
	memset(body, 'x', sizeof(body));
	for (i = 0; i < CROWD_CONNECTIONS; i++)
		fds[i] = dial(port, 3000);
	if (read(go, &byte, 1) != 1)
		_exit(0);
	for (i = 0; i < CROWD_CONNECTIONS; i++) {
		size_t size = write_head(text, sizeof(text), first + i);

		if (fds[i] >= 0)
			write_all(fds[i], text, size);
	}
	/* All but the last byte; what the instance no longer reads is left. */
	for (i = 0; i < CROWD_CONNECTIONS; i++)
		if (fds[i] >= 0)
			(void)!send(fds[i], body, BODY_BYTES - 1,
				    MSG_NOSIGNAL | MSG_DONTWAIT);
	while (read(go, &byte, 1) == 1)
		;
	_exit(0);
}

int main(int argc, char **argv)
{
	pid_t crowd[CROWD_PROCESSES] = { 0 };
	int go[CROWD_PROCESSES][2];
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
		endpoint_start(id, "huvo11a", 3, 160);
	}
	instance = instance_start(0);
	instance_wait_ready(instance);
	for (i = 0; has_trouble() && i < CROWD_PROCESSES; i++) {
		if (pipe(go[i]))
			could_not_run("no pipe");
		crowd[i] = fork();
		if (crowd[i] == 0) {
			close(go[i][1]);
			run_crowd(instance->front, i * CROWD_CONNECTIONS,
				  go[i][0]);
		}
		close(go[i][0]);
	}
	lost_callers_start(instance);
	while (now_ms() < CROWD_AT_MS)
		sleep_ms(10);
	record("memory before: %ld kB at most", instance->peak_kb);
	for (i = 0; has_trouble() && i < CROWD_PROCESSES; i++)
		(void)!write(go[i][1], "g", 1);
	if (has_trouble())
		record("crowd: %d requests, headers of 15.8 kB, bodies of %d "
		       "bytes",
		       CROWD_PROCESSES * CROWD_CONNECTIONS, BODY_BYTES);
	while (now_ms() < DURATION_MS && !instance->ended)
		sleep_ms(10);
	sleep_ms(instance->ended ? 500 : 0);
	for (i = 0; i < CROWD_PROCESSES && crowd[i] > 0; i++) {
		kill(crowd[i], SIGKILL);
		waitpid(crowd[i], NULL, 0);
	}
	broken = lost_callers_end(instance);
	world_end();
	return broken ? EXIT_BROKEN : EXIT_HELD;
}
