/* Listening of the HTTP servers. */
#ifndef CATK_HTTP_LISTEN_H
#define CATK_HTTP_LISTEN_H

#include <libsoup/soup.h>

#include "lib/common/error.h"

/*
 * Makes server accept connections on text, "ip:port". FALSE with
 * CATK_INVALID_ARGUMENT when text is not of that form, or CATK_UNAVAILABLE
 * when the address cannot be used.
 */
gboolean http_listen(SoupServer *server, const char *text, catk_error_t *err);

#endif
