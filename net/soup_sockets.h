/*
 * The sockets of libsoup, to tell a whole message from a cut one.
 *
 * libsoup takes the end of a connection within a head for the end of the head,
 * and between two chunks for the end of the body.
 */
#ifndef CATK_SOUP_SOCKETS_H
#define CATK_SOUP_SOCKETS_H

#include <libsoup/soup.h>

/*
 * Records the connection of a message that is about to be sent by the session.
 * Each session has a table of its sockets, which is freed with the last of the
 * session, its messages and its sockets.
 */
void soup_sockets_track(SoupSession *session, SoupMessage *message);

/*
 * TRUE if the response, whose body of that size was read to its end, is
 * complete: its length says so, or its connection has not ended. The message
 * must be tracked.
 */
gboolean soup_sockets_has_whole_response(SoupMessage *message, gsize body_size);

#endif
