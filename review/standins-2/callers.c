#include "callers.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALLERS 12
#define DEADLINE_MS 4000 /* of the clients */
#define LATE_MS 500 /* after the timeout of the route */
#define WAIT_MS 12000 /* the clients read on, to see when the answer comes */
#define OVERDUE_MIN 8

typedef struct {
	int number;
	int port;
	bool is_unsafe;
	int answered, overdue, late, never;
} caller_t;

static atomic_bool stop;
static caller_t callers[CALLERS];
static pthread_t threads[CALLERS];

/* An ordinary client with one kept connection. */
static void *call(void *data)
{
	caller_t *caller = data;
	double timeout = caller->is_unsafe ? 2000 : 1500;
	char text[512], id[24];
	int fd = -1, sequence = 0;
	reply_t reply;

	while (!stop) {
		if (fd < 0)
			fd = dial(caller->port, 1000);
		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		snprintf(id, sizeof(id), "c%02d-%04d", caller->number,
			 sequence++);
		snprintf(text, sizeof(text),
			 "%s /%s/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
			 caller->is_unsafe ? "POST" : "GET",
			 caller->is_unsafe ? "pufi791" : "lohu930", id,
			 DEADLINE_MS,
			 caller->is_unsafe ? "Content-Length: 5\r\n" : "",
			 caller->is_unsafe ? "order" : "");
		record("client sends %s", id);
		reply = exchange(fd, text, strlen(text), WAIT_MS);
		if (reply.kind == REPLY_COMPLETE)
			record("client %s: %d after %.0f ms", id, reply.status,
			       reply.ms);
		else
			record("client %s: no answer after %.0f ms", id,
			       reply.ms);
		caller->answered += reply.kind == REPLY_COMPLETE;
		caller->never += reply.kind != REPLY_COMPLETE;
		caller->overdue += reply.ms > timeout;
		caller->late += reply.ms > timeout + LATE_MS;
		if (reply.kind != REPLY_COMPLETE || reply.closes) {
			close(fd);
			fd = -1;
		}
		sleep_ms(100);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

void callers_start(const instance_t *instance)
{
	int i;

	for (i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .number = i,
					 .port = instance->front,
					 .is_unsafe = i % 2 };
		pthread_create(&threads[i], NULL, call, &callers[i]);
	}
}

double watch_readiness(const instance_t *instance, double end_ms)
{
	double since = now_ms(), silence = 0;

	while (now_ms() < end_ms && !instance->ended) {
		if (instance_is_ready(instance, 1000))
			since = now_ms();
		else
			record("platform: the readiness check has no answer "
			       "for %.1f s",
			       (now_ms() - since) / 1e3);
		if (now_ms() - since > silence)
			silence = now_ms() - since;
		sleep_ms(100);
	}
	return silence;
}

bool callers_end(double silence_ms)
{
	int i, overdue = 0, late = 0, answered = 0, never = 0;
	bool broken;

	stop = true;
	for (i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		answered += callers[i].answered;
		overdue += callers[i].overdue;
		late += callers[i].late;
		never += callers[i].never;
	}
	record("ordinary clients: %d answered, %d without an answer in %d ms; "
	       "%d had none at the timeout of the route, %d of them none %d ms "
	       "later",
	       answered, never, WAIT_MS, overdue, late, LATE_MS);
	record("longest time without an answer to the readiness check: %.1f s",
	       silence_ms / 1e3);
	broken = overdue >= OVERDUE_MIN && 2 * late > overdue;
	record(broken ?
		       "BROKEN: CONFIG, more than half of the overdue requests "
		       "were late" :
		       "held");
	return broken;
}
