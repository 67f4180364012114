/*
 * Stand-ins for the review's scripts: a metadata store, endpoints, clients and a
 * proxy, all threads of one process, and the start of the project's daemon as
 * separate processes. Only loopback addresses and free ports are used.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX 8192
#define BODY_MAX 65536

/* Bounds of a small deployment, as in the example of DEPLOY.md. */
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define GRACE_S 6

/* An HTTP message with its length in Content-Length, or none. */
typedef struct {
	char head[HEAD_MAX]; /* start line and header lines */
	char body[BODY_MAX];
	size_t body_size;
} message_t;

/* Bytes received from a socket and not used yet. */
typedef struct {
	int fd;
	char data[HEAD_MAX + BODY_MAX];
	size_t size;
} reader_t;

/* Milliseconds since the start of the script, of the steady clock. */
double now_ms(void);
void sleep_ms(double ms);
void sleep_until(double ms);
/* Writes a line to the record, with the time in front. */
void rec(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* TRUE unless the environment has TROUBLE=0. */
int has_trouble(void);
/* Opens the record, and ends the process after limit_s seconds with status 2. */
void standin_start(const char *record_path, unsigned limit_s);
/* Ends the daemons and the process. */
void standin_exit(int status) __attribute__((noreturn));

int listen_on_free_port(uint16_t *port);
/* Returns -1 when the connection is refused or takes longer. */
int dial(uint16_t port, unsigned timeout_ms);
void set_read_timeout(int fd, unsigned ms);
int send_all(int fd, const char *data, size_t size);
/* Returns 1 for a message, 0 when the connection ended before it, -1 inside it. */
int read_message(reader_t *reader, message_t *message);
/* Copies the value of a header, "" if there is none. */
void header_value(const message_t *message, const char *name, char *value,
		  size_t size);

/* The metadata store. */
uint16_t store_start(void);
/* Returns when the change is acknowledged. */
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);
/* Watches of a kind that wait for changes now. */
unsigned store_waiting_watches(const char *kind);

/* Endpoints. */
typedef struct endpoint endpoint_t;
/* A connection from an instance. */
typedef struct {
	endpoint_t *endpoint;
	reader_t reader;
	unsigned requests; /* other than health checks */
	void *user_data;
} endpoint_connection_t;
typedef void (*endpoint_handler_t)(endpoint_connection_t *connection,
				   const message_t *request, const char *id);
struct endpoint {
	char id[32];
	char zone[32];
	char service[32];
	unsigned slots;
	unsigned sequence;
	int64_t born; /* Unix time in milliseconds */
	uint16_t port;
	int listener; /* -1 after the end of the process */
	endpoint_handler_t handle;
	pthread_mutex_t lock;
	unsigned running;
	unsigned others; /* requests of other callers that are running */
	int fds[256]; /* open connections, -1 for none */
};
endpoint_t *endpoint_start(const char *id, const char *zone,
			   const char *service, unsigned slots,
			   endpoint_handler_t handle);
/* Registers the state "ready" or "draining" in the store. */
void endpoint_register(endpoint_t *endpoint, const char *state);
/* What the end of the process does: closes the listener and all connections. */
void endpoint_end(endpoint_t *endpoint);
void endpoint_run(endpoint_t *endpoint, double work_ms);
/* Sends a signed success with the request's id. */
void endpoint_answer(endpoint_connection_t *connection, const char *id);

/* Clients: each request uses a connection of its own. */
typedef struct {
	int status; /* 0: the connection ended without an answer */
	message_t answer;
} reply_t;
void client_request(uint16_t port, const char *method, const char *path,
		    const char *id, unsigned deadline_ms, const char *body,
		    reply_t *reply);

/* A proxy before the store. */
uint16_t proxy_start(uint16_t target);
/*
 * All open connections go silent for good: what arrives on them is dropped
 * without an acknowledgement, and nothing is sent. New ones work.
 */
unsigned proxy_silence(void);

/* An instance of the daemon. */
typedef struct {
	char name[32];
	char zone[32];
	uint16_t caller, peer, front, directory, ready;
	int pid;
} instance_t;
/* Sets the ports. */
void instance_prepare(instance_t *instance, const char *name, const char *zone);
void instance_start(instance_t *instance, uint16_t store,
		    const instance_t *instances, unsigned count);
/* Ends the script with status 2 if an instance is not ready in time. */
void instance_wait_ready(const instance_t *instance);

#endif
