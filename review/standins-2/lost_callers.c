#include "lost_callers.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALLERS 24
#define CALLER_TIMEOUT_MS 4000 /* deadline of the clients */
#define LOST_MAX 3

typedef struct {
	int number;
	int port;
	bool is_unsafe;
	int answered, refused, closed_after_run, closed_before, timeouts;
} caller_t;

static atomic_bool stop;
static caller_t callers[CALLERS];
static pthread_t threads[CALLERS];

/* An ordinary client with one kept connection. */
static void *call(void *data)
{
	caller_t *caller = data;
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
			 CALLER_TIMEOUT_MS,
			 caller->is_unsafe ? "Content-Length: 5\r\n" : "",
			 caller->is_unsafe ? "order" : "");
		record("client sends %s", id);
		reply = exchange(fd, text, strlen(text), CALLER_TIMEOUT_MS);
		if (reply.kind == REPLY_COMPLETE) {
			record("client %s: %d after %.0f ms", id, reply.status,
			       reply.ms);
			if (reply.status == 200)
				caller->answered++;
			else
				caller->refused++;
			if (!reply.closes) {
				sleep_ms(50);
				continue;
			}
		} else if (reply.kind == REPLY_TIMEOUT) {
			record("client %s: no answer", id);
			caller->timeouts++;
		} else if (has_run(id)) {
			record("client %s: closed without an answer, an "
			       "endpoint had it",
			       id);
			caller->closed_after_run++;
		} else {
			record("client %s: closed without an answer", id);
			caller->closed_before++;
		}
		close(fd);
		fd = -1;
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

void lost_callers_start(const instance_t *instance)
{
	int i;

	for (i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .number = i,
					 .port = instance->front,
					 .is_unsafe = i % 2 };
		pthread_create(&threads[i], NULL, call, &callers[i]);
	}
}

bool lost_callers_end(const instance_t *instance)
{
	int i, lost = 0, answered = 0, other = 0;
	bool broken;

	stop = true;
	for (i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		lost += callers[i].closed_after_run;
		answered += callers[i].answered;
		other += callers[i].refused + callers[i].timeouts +
			 callers[i].closed_before;
	}
	record("memory: %ld kB at most, memory_mb %d", instance->peak_kb,
	       MEMORY_MB);
	record("ordinary clients: %d answered, %d lost after an endpoint had "
	       "them, %d others",
	       answered, lost, other);
	broken = lost > LOST_MAX;
	record(broken ? "BROKEN: LOST, %d requests, as the process ended by "
			"its use of memory" :
			"held: %d requests lost",
	       lost);
	return broken;
}
