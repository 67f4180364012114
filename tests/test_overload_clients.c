/*
 * Tests every listener of an instance, with real processes, against clients that
 * respect no limits: a crowd of them stops short of the end of its requests and
 * stays connected. The process must live, stay within its memory and leave
 * descriptors free, and answer an ordinary client meanwhile.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/peer_codec.h"
#include "tests/support.h"

#define START_TIMEOUT_MS 10000
#define MEMORY_MAX_MB 64 /* smallest value of the setting */
#define MEMORY_MAX_KB ((gsize)MEMORY_MAX_MB * 1024)
#define DESCRIPTORS_MAX 256 /* limit of the instance */
/* Endpoints, the store and peers need the rest. */
#define DESCRIPTORS_BOUND (DESCRIPTORS_MAX * 7 / 8)
#define BODY_BYTES_MAX ((gsize)4 << 20)
#define BLOCK_BYTES 65536 /* sent at a time */
/* A single request on an instance with 112 MB, whose bodies have 44.8 MB. */
#define LARGEST_BYTES_MAX ((gsize)40 << 20)
#define LARGEST_BYTES (LARGEST_BYTES_MAX - (gsize)2 * BLOCK_BYTES)
#define LARGEST_TIMEOUT_S 20 /* also of its route */
#define CLIENTS_MAX 400
#define COMPLETE_EACH 4 /* every fourth request is sent to its end */
/* A client that cannot send for longer ends; in microseconds. */
#define SEND_TIMEOUT_US 500000
#define READ_TIMEOUT_S 2
#define SETTLE_MS 300
/* Several times the idle timeout, after which stalled clients have ended. */
#define ANSWER_TIMEOUT_MS 30000

enum {
	STORE_PORT = 800,
	ENDPOINT_PORT,
	CALLER_PORT,
	PROXY_PORT,
	DIRECTORY_PORT,
	READY_PORT,
	PEER_PORT
};

typedef struct {
	guint port;
	const char *head; /* of a request with a body; NULL for peers */
	const char *ordinary_path; /* answered with 200; NULL for peers */
} listener_t;

static const listener_t proxy = { PROXY_PORT, "PUT /once/a", "/safe/a" };
static const listener_t large_proxy = { PROXY_PORT, "PUT /large/a", "/safe/a" };
static const listener_t callers = { CALLER_PORT, "POST /v1/call/s/m",
				    "/v1/resolve" };
static const listener_t operators = { CALLER_PORT,
				      "POST /v1/operator/config?change_id=c"
				      "&base_version=0",
				      "/v1/operator/dump" };
static const listener_t directory = { DIRECTORY_PORT, "POST /-/resolve",
				      "/-/resolve" };
static const listener_t readiness = { READY_PORT, "POST /-/readyz",
				      "/-/readyz" };
static const listener_t peers = { PEER_PORT, NULL, NULL };
static const listener_t *const all_listeners[] = { &proxy,     &callers,
						   &operators, &directory,
						   &readiness, &peers };

typedef enum {
	FRAMED_BY_LENGTH,
	FRAMED_BY_CHUNKS,
	FRAMED_BY_ONE_LINE /* a chunk extension or trailer without end */
} framing_t;

/* What each client of a crowd sends. */
typedef struct {
	const char *name;
	framing_t framing;
	guint clients;
	gsize bytes; /* of the body */
	gsize announced; /* 0: one more than bytes, so that one is missing */
	gsize chunk; /* bytes of a chunk */
	const char *line; /* start of the line without end */
	gboolean in_pieces; /* all clients in turn, one block each */
} crowd_kind_t;

#define LEGAL_BYTES (BODY_BYTES_MAX - BLOCK_BYTES)
#define FAR_OVER_BYTES (4 * BODY_BYTES_MAX)

static const crowd_kind_t bodies[] = {
	{ .name = "whole", .clients = 48, .bytes = LEGAL_BYTES },
	{ .name = "pieces",
	  .clients = 48,
	  .bytes = LEGAL_BYTES,
	  .in_pieces = TRUE },
	{ 0 }
};
static const crowd_kind_t chunked[] = { { .name = "large chunks",
					  .framing = FRAMED_BY_CHUNKS,
					  .clients = 48,
					  .bytes = LEGAL_BYTES,
					  .chunk = BLOCK_BYTES,
					  .in_pieces = TRUE },
					{ .name = "chunks of one byte",
					  .framing = FRAMED_BY_CHUNKS,
					  .clients = 24,
					  .bytes = BLOCK_BYTES,
					  .chunk = 1,
					  .in_pieces = TRUE },
					{ .name = "extension without end",
					  .framing = FRAMED_BY_ONE_LINE,
					  .clients = 24,
					  .bytes = LEGAL_BYTES,
					  .line = "1;",
					  .in_pieces = TRUE },
					{ .name = "trailer without end",
					  .framing = FRAMED_BY_ONE_LINE,
					  .clients = 24,
					  .bytes = LEGAL_BYTES,
					  .line = "1\r\nx\r\n0\r\nA: ",
					  .in_pieces = TRUE },
					{ 0 } };
static const crowd_kind_t over_limit[] = { { .name = "announced",
					     .clients = 24,
					     .bytes = FAR_OVER_BYTES,
					     .announced = 1 << 30,
					     .in_pieces = TRUE },
					   { .name = "sent",
					     .framing = FRAMED_BY_CHUNKS,
					     .clients = 24,
					     .bytes = FAR_OVER_BYTES,
					     .chunk = BLOCK_BYTES,
					     .in_pieces = TRUE },
					   { 0 } };
/* Peers announce the length of each message. */
static const crowd_kind_t over_limit_of_peers[] = { { .name = "announced",
						      .clients = 24,
						      .bytes = FAR_OVER_BYTES,
						      .announced = 1 << 30,
						      .in_pieces = TRUE },
						    { 0 } };
static const crowd_kind_t idle[] = { { .name = "idle", .clients = CLIENTS_MAX },
				     { 0 } };

typedef struct {
	const listener_t *listener; /* NULL for all in turn */
	const crowd_kind_t *kinds; /* ends with one without a name */
	gsize body_bytes_max; /* 0: BODY_BYTES_MAX */
	guint memory_max_mb; /* 0: MEMORY_MAX_MB */
} case_t;

typedef struct {
	case_t test;
	process_t *store;
	process_t *endpoint;
	process_t *daemon;
	guint requests; /* sent so far, for unique ids */
	gsize descriptors_seen; /* most of the instance */
	int clients[CLIENTS_MAX]; /* sockets, -1 once ended */
} fixture_t;

static void put_object(const char *path, const char *body)
{
	reply_t reply;

	http_request(&reply, "PUT", test_port(STORE_PORT), path, body, NULL);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
}

#define ROUTE(name, prefix, type, timeout_ms)                            \
	"{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" name      \
	"\"},\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"" prefix \
	"\",\"route_type\":\"" type "\",\"timeout_ms\":" timeout_ms ","  \
	"\"target_latency_ms\":1000,\"priority\":1,\"max_attempts\":2,"  \
	"\"service\":\"s\"}},"

#define SERVICE                                                       \
	"{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"s\"}," \
	"\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":100}},"
#define LIMITS                                                  \
	"{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":{" \
	"\"max_header_bytes\":4000,\"max_body_bytes\":%zu,"     \
	"\"header_timeout_ms\":500,\"idle_timeout_ms\":4000}}"

static void fill_store(const fixture_t *f)
{
	gchar *body = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"k1\",\"version\":\"v1\",\"max_concurrency\":3,"
		"\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,"
		"\"born\":1}",
		test_port(ENDPOINT_PORT));

	put_object("/-/objects/servers/i-0", body);
	g_free(body);
	body = g_strdup_printf(
		"{\"version\":\"r7\",\"resources\":[" ROUTE("safe", "/safe/",
							    "safe", "2000")
			ROUTE("once", "/once/", "unsafe", "2000")
				ROUTE("large", "/large/", "unsafe", "20000")
					SERVICE LIMITS "]}",
		f->test.body_bytes_max);
	put_object("/-/objects/config/main", body);
	g_free(body);
}

/* The instance inherits the limit of descriptors; this process keeps its own. */
static void start_daemon(fixture_t *f)
{
	char *settings = write_build_file(
		"overload.json",
		"{\"instance\":\"p1\",\"data_centre\":\"k1\","
		"\"caller_address\":\"127.0.0.1:%u\","
		"\"peer_address\":\"127.0.0.1:%u\","
		"\"proxy_address\":\"127.0.0.1:%u\","
		"\"directory_address\":\"127.0.0.1:%u\","
		"\"ready_address\":\"127.0.0.1:%u\","
		"\"metadata_store\":\"127.0.0.1:%u\","
		"\"routing\":\"expected_latency\",\"entries_max\":1,"
		"\"body_bytes_max\":%zu,\"memory_max_mb\":%u}",
		test_port(CALLER_PORT), test_port(PEER_PORT),
		test_port(PROXY_PORT), test_port(DIRECTORY_PORT),
		test_port(READY_PORT), test_port(STORE_PORT),
		f->test.body_bytes_max, f->test.memory_max_mb);
	struct rlimit own, lowered;

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &own), 0);
	lowered = own;
	lowered.rlim_cur = DESCRIPTORS_MAX;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &lowered), 0);
	f->daemon = process_start("catkinstalld", "--settings", settings, NULL);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &own), 0);
	g_free(settings);
}

/* Opens a connection without a crowd's limits. Returns -1 if it is refused. */
static int open_socket(guint port)
{
	const struct timeval send_timeout = {
		.tv_usec = SEND_TIMEOUT_US,
	};
	const struct timeval read_timeout = { .tv_sec = READ_TIMEOUT_S };
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((guint16)test_port(port)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
		   sizeof(send_timeout));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
		   sizeof(read_timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns FALSE if the other side has closed, or reads nothing for long. */
static gboolean send_all(int fd, const void *data, gsize size)
{
	ssize_t sent;

	while (size) {
		sent = send(fd, data, size, MSG_NOSIGNAL);
		if (sent <= 0)
			return FALSE;
		data = (const char *)data + sent;
		size -= (gsize)sent;
	}
	return TRUE;
}

static void append_peer_message(GByteArray *bytes,
				const peer_message_t *message)
{
	GByteArray *encoded = peer_codec_encode(message);
	guint32 length = htonl(encoded->len);

	g_byte_array_append(bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(bytes, encoded->data, encoded->len);
	g_byte_array_unref(encoded);
}

static GByteArray *peer_hello(void)
{
	const peer_message_t hello = {
		.kind = PEER_HELLO,
		.u.protocol_version = PEER_PROTOCOL_VERSION,
	};
	GByteArray *bytes = g_byte_array_new();

	append_peer_message(bytes, &hello);
	return bytes;
}

/* Returns the number of bytes of the answer that were read, at most size. */
static gsize exchange_bytes(guint port, const void *request, gsize request_size,
			    char *answer, gsize size)
{
	int fd = open_socket(port);
	gsize length = 0;
	ssize_t count = 1;

	if (fd < 0)
		return 0;
	if (!send_all(fd, request, request_size))
		count = 0;
	while (count > 0 && length < size) {
		count = recv(fd, answer + length, size - length, 0);
		if (count > 0)
			length += (gsize)count;
		if (length)
			break;
	}
	close(fd);
	return length;
}

static gboolean is_peer_answered(void)
{
	const peer_message_t pull = { .kind = PEER_CONFIG_PULL };
	GByteArray *bytes = peer_hello();
	char answer[16];
	gsize size;

	append_peer_message(bytes, &pull);
	size = exchange_bytes(PEER_PORT, bytes->data, bytes->len, answer,
			      sizeof(answer));
	g_byte_array_unref(bytes);
	return size > 0;
}

static gboolean is_http_answered(fixture_t *f, guint port, const char *path)
{
	static const char expected[] = "HTTP/1.1 200 ";
	gchar *request = g_strdup_printf("GET %s HTTP/1.1\r\n"
					 "Host: a.example\r\n"
					 "X-Request-Id: q-%u\r\n"
					 "Connection: close\r\n\r\n",
					 path, ++f->requests);
	char answer[64];
	gsize size = exchange_bytes(port, request, strlen(request), answer,
				    sizeof(answer));

	g_free(request);
	return size >= sizeof(expected) &&
	       memcmp(answer, expected, sizeof(expected) - 1) == 0;
}

/* The listener that a client of the crowd connects to. */
static const listener_t *listener_of(const fixture_t *f, guint index)
{
	return f->test.listener ?
		       f->test.listener :
		       all_listeners[index % G_N_ELEMENTS(all_listeners)];
}

static gboolean answers(fixture_t *f, const listener_t *listener)
{
	return listener->ordinary_path ?
		       is_http_answered(f, listener->port,
					listener->ordinary_path) :
		       is_peer_answered();
}

static gboolean is_listener_answered(void *ctx)
{
	fixture_t *f = ctx;
	gsize i;

	if (f->test.listener)
		return answers(f, f->test.listener);
	for (i = 0; i < G_N_ELEMENTS(all_listeners); i++)
		if (!answers(f, all_listeners[i]))
			return FALSE;
	return TRUE;
}

static gboolean is_request_served(void *ctx)
{
	return is_http_answered(ctx, proxy.port, proxy.ordinary_path);
}

static gboolean is_store_ready(void *ctx)
{
	int fd = open_socket(STORE_PORT);

	(void)ctx;
	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	gchar *port = g_strdup_printf("%u", test_port(STORE_PORT));
	guint i;

	f->test = *(const case_t *)*state;
	if (!f->test.body_bytes_max)
		f->test.body_bytes_max = BODY_BYTES_MAX;
	if (!f->test.memory_max_mb)
		f->test.memory_max_mb = MEMORY_MAX_MB;
	for (i = 0; i < CLIENTS_MAX; i++)
		f->clients[i] = -1;
	f->store = process_start("fake_store", "--port", port, NULL);
	g_free(port);
	port = g_strdup_printf("%u", test_port(ENDPOINT_PORT));
	f->endpoint = process_start("fake_endpoint", "--port", port, "--id",
				    "i-0", NULL);
	g_free(port);
	assert_true(wait_until(is_store_ready, f, START_TIMEOUT_MS));
	fill_store(f);
	start_daemon(f);
	assert_true(wait_until(is_request_served, f, START_TIMEOUT_MS));
	assert_true(wait_until(is_listener_answered, f, START_TIMEOUT_MS));
	*state = f;
	return 0;
}

static void end_client(fixture_t *f, guint index)
{
	if (f->clients[index] >= 0)
		close(f->clients[index]);
	f->clients[index] = -1;
}

static void end_crowd(fixture_t *f)
{
	guint i;

	for (i = 0; i < CLIENTS_MAX; i++)
		end_client(f, i);
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	end_crowd(f);
	process_free(f->daemon);
	process_free(f->endpoint);
	process_free(f->store);
	g_free(f);
	return 0;
}

static gsize memory_kb(const fixture_t *f, const char *name)
{
	gchar *path = g_strdup_printf("/proc/%d/status", (int)f->daemon->pid);
	gchar *text;
	const char *line;
	gsize kilobytes = 0;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, name);
	/* A process that has ended and was not waited for has no memory. */
	if (!line)
		fail_msg("the instance has ended");
	kilobytes = (gsize)g_ascii_strtoull(line + strlen(name), NULL, 10);
	g_free(text);
	g_free(path);
	return kilobytes;
}

static void sample_descriptors(fixture_t *f)
{
	gchar *path = g_strdup_printf("/proc/%d/fd", (int)f->daemon->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	gsize count = 0;

	g_free(path);
	if (!dir)
		return;
	while (g_dir_read_name(dir))
		count++;
	g_dir_close(dir);
	f->descriptors_seen = MAX(f->descriptors_seen, count);
}

static gsize announced_bytes(const crowd_kind_t *kind)
{
	return kind->announced ? kind->announced : kind->bytes + 1;
}

/* What a client sends before the body. */
static GByteArray *format_head(fixture_t *f, const crowd_kind_t *kind,
			       const char *head)
{
	guint32 length = htonl((guint32)announced_bytes(kind));
	GByteArray *bytes;
	GString *text;

	if (!head) {
		bytes = peer_hello();
		return g_byte_array_append(bytes, (const guint8 *)&length,
					   sizeof(length));
	}
	text = g_string_new(NULL);
	g_string_printf(text,
			"%s HTTP/1.1\r\nHost: a.example\r\n"
			"X-Request-Id: c-%u\r\n",
			head, ++f->requests);
	if (kind->framing == FRAMED_BY_LENGTH)
		g_string_append_printf(text, "Content-Length: %zu\r\n\r\n",
				       announced_bytes(kind));
	else
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	if (kind->line)
		g_string_append(text, kind->line);
	bytes = g_byte_array_new();
	g_byte_array_append(bytes, (const guint8 *)text->str, (guint)text->len);
	g_string_free(text, TRUE);
	return bytes;
}

/* One block of the body as it is sent, in chunks if the kind says so. */
static GString *format_block(const crowd_kind_t *kind)
{
	gchar *data = g_strnfill(BLOCK_BYTES, 'a');
	GString *block = g_string_new(NULL);
	gsize i;

	if (kind->framing == FRAMED_BY_CHUNKS)
		for (i = 0; i < BLOCK_BYTES; i += kind->chunk)
			g_string_append_printf(block, "%zx\r\n%.*s\r\n",
					       kind->chunk, (int)kind->chunk,
					       data);
	else
		g_string_append_len(block, data, BLOCK_BYTES);
	g_free(data);
	return block;
}

static void send_block(fixture_t *f, guint index, const void *data, gsize size)
{
	if (f->clients[index] >= 0 && !send_all(f->clients[index], data, size))
		end_client(f, index);
}

static void start_clients(fixture_t *f, const crowd_kind_t *kind)
{
	GByteArray *head;
	guint i;

	for (i = 0; i < kind->clients; i++) {
		const listener_t *listener = listener_of(f, i);

		f->clients[i] = open_socket(listener->port);
		if (!kind->bytes)
			continue;
		head = format_head(f, kind, listener->head);
		send_block(f, i, head->data, head->len);
		g_byte_array_unref(head);
	}
}

/* A request that is legal ends for one client of some; others stop short. */
static void complete_some(fixture_t *f, const crowd_kind_t *kind)
{
	const char *end = kind->framing == FRAMED_BY_LENGTH ? "x" : "0\r\n\r\n";
	guint i;

	if (kind->announced || kind->bytes > f->test.body_bytes_max ||
	    kind->line || !kind->bytes)
		return;
	for (i = 0; i < kind->clients; i += COMPLETE_EACH)
		send_block(f, i, end, strlen(end));
}

static void send_bodies(fixture_t *f, const crowd_kind_t *kind)
{
	GString *block = format_block(kind);
	gsize blocks = kind->bytes / BLOCK_BYTES;
	gsize i, total = blocks * kind->clients;

	for (i = 0; i < total; i++) {
		send_block(f,
			   (guint)(kind->in_pieces ? i % kind->clients :
						     i / blocks),
			   block->str, block->len);
		if (i % kind->clients == 0)
			sample_descriptors(f);
	}
	g_string_free(block, TRUE);
}

/* The crowd stays connected while the instance is checked. */
static void check_instance(fixture_t *f, const crowd_kind_t *kind)
{
	gsize peak_kb;

	run_loop_for(SETTLE_MS);
	sample_descriptors(f);
	peak_kb = memory_kb(f, "VmHWM:");
	print_message("%s: memory %zu kB, at most %zu kB; %zu descriptors\n",
		      kind->name, memory_kb(f, "VmRSS:"), peak_kb,
		      f->descriptors_seen);
	if (peak_kb > MEMORY_MAX_KB)
		fail_msg("%s: the instance took %zu kB of memory", kind->name,
			 peak_kb);
	if (f->descriptors_seen > DESCRIPTORS_BOUND)
		fail_msg("%s: the instance had %zu descriptors open",
			 kind->name, f->descriptors_seen);
	if (!wait_until(is_listener_answered, f, ANSWER_TIMEOUT_MS))
		fail_msg("%s: the listener does not answer", kind->name);
	if (!wait_until(is_request_served, f, ANSWER_TIMEOUT_MS))
		fail_msg("%s: no request is served", kind->name);
	sample_descriptors(f);
	assert_true(f->descriptors_seen <= DESCRIPTORS_BOUND);
	assert_true(memory_kb(f, "VmHWM:") <= MEMORY_MAX_KB);
}

/* Fails if a crowd takes the memory or the descriptors of the instance. */
static void survives_crowd(void **state)
{
	fixture_t *f = *state;
	const crowd_kind_t *kind;

	for (kind = f->test.kinds; kind->name; kind++) {
		start_clients(f, kind);
		send_bodies(f, kind);
		complete_some(f, kind);
		check_instance(f, kind);
		end_crowd(f);
	}
}

/* The endpoint's answer has the body of the request. */
static const crowd_kind_t largest[] = {
	{ .name = "largest, announced", .clients = 1, .bytes = LARGEST_BYTES },
	{ .name = "largest, chunked",
	  .framing = FRAMED_BY_CHUNKS,
	  .clients = 1,
	  .bytes = LARGEST_BYTES,
	  .chunk = BLOCK_BYTES },
	{ 0 }
};

/* Reads an answer to its end; returns its size, 0 if its status is not 200. */
static gsize read_whole_answer(int fd)
{
	static const char expected[] = "HTTP/1.1 200 ";
	const struct timeval timeout = { .tv_sec = LARGEST_TIMEOUT_S };
	char *data = g_malloc(BLOCK_BYTES);
	gsize size = 0;
	ssize_t count;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	while (size < LARGEST_BYTES) {
		count = recv(fd, data, BLOCK_BYTES, 0);
		if (count <= 0 ||
		    (!size &&
		     ((gsize)count < sizeof(expected) ||
		      memcmp(data, expected, sizeof(expected) - 1) != 0)))
			break;
		size += (gsize)count;
	}
	g_free(data);
	return size;
}

/*
 * Fails if a single request that has room in the budget is not served, or takes
 * more memory with its answer than the instance has.
 */
static void serves_largest_request(void **state)
{
	const struct timeval timeout = { .tv_sec = LARGEST_TIMEOUT_S };
	fixture_t *f = *state;
	const crowd_kind_t *kind;
	gsize size, peak_kb;

	for (kind = f->test.kinds; kind->name; kind++) {
		start_clients(f, kind);
		setsockopt(f->clients[0], SOL_SOCKET, SO_SNDTIMEO, &timeout,
			   sizeof(timeout));
		send_bodies(f, kind);
		complete_some(f, kind);
		size = read_whole_answer(f->clients[0]);
		if (size < LARGEST_BYTES)
			fail_msg("%s: %zu bytes were answered", kind->name,
				 size);
		end_crowd(f);
		peak_kb = memory_kb(f, "VmHWM:");
		print_message("%s: at most %zu kB\n", kind->name, peak_kb);
		assert_true(peak_kb <= (gsize)f->test.memory_max_mb * 1024);
	}
}

#define CASE(...) (&(case_t){ __VA_ARGS__ })
#define TEST(on, with)                                            \
	{                                                         \
#on "_" #with, survives_crowd, set_up, tear_down, \
			CASE(.listener = &(on), .kinds = (with))  \
	}
/* All listeners at once: what bounds each alone need not bound them together. */
#define ALL_TEST(with)                                           \
	{                                                        \
		"all_" #with, survives_crowd, set_up, tear_down, \
			CASE(.kinds = (with))                    \
	}
#define HTTP_TESTS(listener)                             \
	TEST(listener, bodies), TEST(listener, chunked), \
		TEST(listener, over_limit)

int main(void)
{
	const struct CMUnitTest tests[] = {
		HTTP_TESTS(proxy),
		TEST(proxy, idle),
		HTTP_TESTS(callers),
		TEST(callers, idle),
		HTTP_TESTS(operators),
		HTTP_TESTS(directory),
		TEST(directory, idle),
		HTTP_TESTS(readiness),
		TEST(readiness, idle),
		TEST(peers, bodies),
		TEST(peers, over_limit_of_peers),
		TEST(peers, idle),
		ALL_TEST(bodies),
		ALL_TEST(idle),
		{ "proxy_largest", serves_largest_request, set_up, tear_down,
		  CASE(.listener = &large_proxy, .kinds = largest,
		       .body_bytes_max = LARGEST_BYTES_MAX,
		       .memory_max_mb = 112) },
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
