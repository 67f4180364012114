/*
 * Case 10: clients that the operator does not control send many bodies of legal
 * size at once, piece by piece. Ordinary clients open new connections meanwhile.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world.h"

#define CROWD_PROCESSES 8
#define CROWD_CONNECTIONS 230 /* of each process */
#define BODY_BYTES 60000 /* max_body_bytes is 67,108,864 */
#define PIECE_BYTES 1000
#define PIECE_INTERVAL_MS 500

#define CALLERS 10 /* the rule asks for seven or more */
#define DEADLINE_MS 4000
#define CONTACT_MS 3000
#define CROWD_AT_MS 4000
#define DURATION_MS 25000

typedef struct {
	int number;
	int port;
	int answered, closed;
} caller_t;

static atomic_bool stop;
static atomic_long last_taken_ms; /* last answer on a new connection */
static atomic_long longest_ms; /* without one, while ready */
static atomic_int tried; /* bit set of the clients that tried since then */
static atomic_int tried_longest;

static void taken(void)
{
	last_taken_ms = (long)now_ms();
	tried = 0;
}

static void not_taken(int number)
{
	long gap = (long)now_ms() - last_taken_ms;

	atomic_fetch_or(&tried, 1 << number);
	if (gap > longest_ms) {
		longest_ms = gap;
		tried_longest = __builtin_popcount((unsigned)tried);
	}
}

/* An ordinary client with a new connection for each request. */
static void *call(void *data)
{
	caller_t *caller = data;
	char text[512], id[24];
	int fd, sequence = 0;
	reply_t reply;

	while (!stop) {
		fd = dial(caller->port, 1000);
		snprintf(id, sizeof(id), "c%02d-%04d", caller->number,
			 sequence++);
		snprintf(text, sizeof(text),
			 "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
			 id, DEADLINE_MS);
		reply = (reply_t){ .kind = REPLY_NOT_CONNECTED };
		if (fd >= 0)
			reply = exchange(fd, text, strlen(text), DEADLINE_MS);
		if (reply.kind == REPLY_COMPLETE) {
			record("client %s: %d after %.0f ms", id, reply.status,
			       reply.ms);
			caller->answered++;
			taken();
		} else {
			record("client %s: new connection %s", id,
			       reply.kind == REPLY_CLOSED ?
				       "closed without an answer" :
			       reply.kind == REPLY_TIMEOUT ?
				       "without an answer" :
				       "not established");
			caller->closed++;
			not_taken(caller->number);
		}
		if (fd >= 0)
			close(fd);
		sleep_ms(200);
	}
	return NULL;
}

static int begin_body(int port, int number)
{
	char text[512];
	int fd = dial(port, 200);

	snprintf(text, sizeof(text),
		 "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		 "X-Request-Id: x%d\r\nX-Deadline-Ms: 4000\r\n"
		 "Content-Length: %d\r\n\r\n",
		 number, BODY_BYTES);
	if (fd >= 0)
		write_all(fd, text, strlen(text));
	return fd;
}

/*
 * One process of the crowd: sends a piece on each connection by turns, and
 * begins again where the instance closed one or a body is nearly whole.
 */
static void run_crowd(int port, int first)
{
	static char piece[PIECE_BYTES];
	int fds[CROWD_CONNECTIONS], sent[CROWD_CONNECTIONS] = { 0 };
	int i;

	signal(SIGPIPE, SIG_IGN);
	memset(piece, 'x', sizeof(piece));
	for (i = 0; i < CROWD_CONNECTIONS; i++)
		fds[i] = begin_body(port, first + i);
	for (;;) {
		double start = now_ms();

		for (i = 0; i < CROWD_CONNECTIONS; i++) {
			if (fds[i] >= 0 && sent[i] < BODY_BYTES - PIECE_BYTES &&
			    write_all(fds[i], piece, sizeof(piece))) {
				sent[i] += PIECE_BYTES;
				continue;
			}
			if (fds[i] >= 0)
				close(fds[i]);
			fds[i] = begin_body(port, first + i);
			sent[i] = 0;
		}
		sleep_ms(start + PIECE_INTERVAL_MS - now_ms());
	}
}

int main(int argc, char **argv)
{
	static caller_t callers[CALLERS];
	pthread_t threads[CALLERS];
	pid_t crowd[CROWD_PROCESSES] = { 0 };
	int i, answered = 0, closed = 0, not_ready = 0, checks = 0;
	instance_t *instance;
	bool broken;
	char id[16];

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
	taken();
	for (i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .number = i, .port = instance->front };
		pthread_create(&threads[i], NULL, call, &callers[i]);
	}
	while (now_ms() < CROWD_AT_MS)
		sleep_ms(10);
	for (i = 0; has_trouble() && i < CROWD_PROCESSES; i++) {
		crowd[i] = fork();
		if (crowd[i] == 0)
			run_crowd(instance->front, i * CROWD_CONNECTIONS);
	}
	if (has_trouble())
		record("crowd: %d bodies of %d bytes, %d bytes each %d ms",
		       CROWD_PROCESSES * CROWD_CONNECTIONS, BODY_BYTES,
		       PIECE_BYTES, PIECE_INTERVAL_MS);
	while (now_ms() < DURATION_MS && !instance->ended) {
		checks++;
		if (!instance_is_ready(instance, 1000)) {
			not_ready++;
			record("platform: not ready");
			taken(); /* the rule holds for ready machines only */
		}
		sleep_ms(500);
	}
	stop = true;
	for (i = 0; i < CROWD_PROCESSES && crowd[i] > 0; i++) {
		kill(crowd[i], SIGKILL);
		waitpid(crowd[i], NULL, 0);
	}
	for (i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		answered += callers[i].answered;
		closed += callers[i].closed;
	}
	record("memory: %ld kB at most", instance->peak_kb);
	record("readiness: %d of %d checks without a 200", not_ready, checks);
	record("ordinary clients: %d answered, %d not; longest time without a "
	       "new connection taken, while ready: %ld ms, %d clients tried",
	       answered, closed, longest_ms, tried_longest);
	broken = instance->ended ||
		 (longest_ms > CONTACT_MS && tried_longest >= 7);
	record(broken ? "BROKEN: RECOVER" : "held");
	world_end();
	return broken ? EXIT_BROKEN : EXIT_HELD;
}
