/*
 * The sockets of libsoup, to tell a whole message from a cut one.
 *
 * libsoup takes the end of a connection within a head for the end of the head,
 * and between two chunks for the end of the body.
 */
#ifndef CATK_SOUP_SOCKETS_H
#define CATK_SOUP_SOCKETS_H

#include <libsoup/soup.h>

typedef struct soup_sockets soup_sockets_t;

/* Free with soup_sockets_free(). */
soup_sockets_t *soup_sockets_new(void);

/* Messages that are tracked may end later. NULL is allowed. */
void soup_sockets_free(soup_sockets_t *sockets);

/* Records the connection of a message that is about to be sent. */
void soup_sockets_track(soup_sockets_t *sockets, SoupMessage *message);

/*
 * TRUE if the response, whose body of that size was read to its end, is
 * complete: its length says so, or its connection has not ended.
 */
gboolean soup_sockets_has_whole_response(const soup_sockets_t *sockets,
					 SoupMessage *message, gsize body_size);

/* The same of a request to a libsoup server, when its handler is called. */
gboolean soup_sockets_has_whole_request(SoupServerMessage *message);

#endif
