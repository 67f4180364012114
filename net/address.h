/* Parsing of "ip:port" addresses and listening on them. */
#ifndef CATK_ADDRESS_H
#define CATK_ADDRESS_H

#include <gio/gio.h>

#include "lib/common/error.h"

/*
 * Parses "ip:port". Returns NULL with CATK_INVALID_ARGUMENT when text is not of
 * that form. Free with g_object_unref().
 */
GSocketAddress *address_parse(const char *text, catk_error_t *err);

/*
 * Opens a TCP socket that listens on "ip:port". Returns NULL with
 * CATK_INVALID_ARGUMENT when text is not of that form, or with CATK_UNAVAILABLE
 * when the address cannot be used. Free with g_object_unref().
 */
GSocket *address_listen(const char *text, catk_error_t *err);

#endif
