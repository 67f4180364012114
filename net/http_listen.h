/* Binds libsoup servers to an address. */
#ifndef CATK_HTTP_LISTEN_H
#define CATK_HTTP_LISTEN_H

#include <libsoup/soup.h>

#include "lib/common/error.h"

/*
 * Makes server accept connections on address, "ip:port". Returns FALSE with
 * CATK_INVALID_ARGUMENT when address is not of that form, or with
 * CATK_UNAVAILABLE when it cannot be used.
 */
gboolean http_listen(SoupServer *server, const char *address,
		     catk_error_t *err);

#endif
