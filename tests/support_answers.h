/*
 * A server in the process of the test that answers each request with given
 * bytes and then keeps, closes or resets the connection.
 */
#ifndef CATK_TEST_SUPPORT_ANSWERS_H
#define CATK_TEST_SUPPORT_ANSWERS_H

#include <gio/gio.h>

typedef enum {
	ANSWER_KEEP, /* the connection stays open */
	ANSWER_CLOSE, /* with FIN */
	ANSWER_RESET /* with RST */
} answer_end_t;

typedef struct {
	const char *text;
	gsize size; /* bytes of text that are sent */
	/* Bytes that are sent at once; the reader reads each piece before the
	 * next is sent. 0 sends all at once, with the end of the connection. */
	gsize piece;
	answer_end_t end;
} raw_answer_t;

typedef struct answer_server answer_server_t;

/* Listens on 127.0.0.1:port. Free with answer_server_free(). */
answer_server_t *answer_server_new(guint port);

/* NULL is allowed. */
void answer_server_free(answer_server_t *server);

/* Sets the answer to requests from now on; its text must stay valid. */
void answer_server_set(answer_server_t *server, const raw_answer_t *answer);

#endif
