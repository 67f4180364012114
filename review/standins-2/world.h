/*
 * Stand-ins for the cases of this review: the platform's store, endpoints, the
 * platform as it starts and watches processes, and a small HTTP client. All of
 * them use loopback addresses and threads; the instances are real processes.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_COULD_NOT_RUN 2

#define INSTANCES_MAX 8
#define MEMORY_MB 260 /* memory_mb of the small deployments */
#define DESCRIPTORS 4100 /* max_fds of the small deployments */

/* Milliseconds since the start of the case. */
double now_ms(void);
void sleep_ms(double ms);

/* Writes one line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* FALSE if the environment has TROUBLE=0. */
bool has_trouble(void);

/* Ends the case with EXIT_COULD_NOT_RUN after it ended all processes. */
void could_not_run(const char *why) __attribute__((noreturn));

/* A TCP port of 127.0.0.1 that is free at the moment. */
int free_port(void);

/* Opens record.txt in the folder and starts the store. */
void world_start(const char *folder);
/* Ends all processes that were started. */
void world_end(void);

/* Writes an object of the store; a NULL spec removes it. */
void store_put(const char *kind, const char *name, const char *spec);

/*
 * Writes a configuration: /pufi791/ is unsafe, with a timeout of 2,000 ms,
 * /lohu930/ is safe, with one of 1,500 ms; both go to huvo11a.
 */
void store_put_config(void);

/* An endpoint; it works work_ms on each request. */
typedef struct {
	char id[32];
	char service[32];
	int port;
	int slots;
	double work_ms;
	int body_bytes; /* of an answer, 2 at the start */
	int spoil_every; /* every so many answers have wrong bytes, 0: none */
	atomic_int running;
	atomic_long runs;
} endpoint_t;

/* Starts it and registers it in the store as ready. */
endpoint_t *endpoint_start(const char *id, const char *service, int slots,
			   double work_ms);

/* TRUE if an endpoint began to work on the request. */
bool has_run(const char *request_id);
/* How often endpoints began to work on it. */
int run_count(const char *request_id);

typedef struct {
	pid_t pid;
	int front, ready, directory, control, callers;
	atomic_bool ended; /* the process has ended */
	int status; /* of waitpid(), if ended */
	atomic_long peak_kb; /* of its resident memory */
	/* The platform ended it, as it used more than memory_mb. */
	atomic_bool over_memory;
} instance_t;

/* Starts target/catkinstalld with the settings of a small deployment. */
instance_t *instance_start(int index);
/* Waits until its readiness check answers 200. */
void instance_wait_ready(instance_t *instance);
/* TRUE if the readiness check answers 200 within the time. */
bool instance_is_ready(const instance_t *instance, double timeout_ms);

/* Connects; returns the socket or -1. */
int dial(int port, double timeout_ms);

typedef enum {
	REPLY_COMPLETE,
	REPLY_NOT_CONNECTED,
	REPLY_CLOSED, /* without a complete answer */
	REPLY_TIMEOUT,
} reply_kind_t;

typedef struct {
	reply_kind_t kind;
	int status;
	bool signed_by_endpoint;
	bool closes;
	double ms; /* from the sending */
} reply_t;

/* Sends text on the socket and reads one answer. */
reply_t exchange(int fd, const char *text, size_t size, double timeout_ms);

/* Writes all; FALSE if the connection ended. */
bool write_all(int fd, const char *data, size_t size);

#endif
