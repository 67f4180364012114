/* Addresses in text form. */
#ifndef CATK_ADDRESS_H
#define CATK_ADDRESS_H

#include <gio/gio.h>

#include "lib/common/error.h"

/*
 * The socket address of "ip:port", NULL with CATK_INVALID_ARGUMENT. Free with
 * g_object_unref().
 */
GSocketAddress *address_parse(const char *text, catk_error_t *err);

/*
 * A socket that listens on "ip:port". NULL with CATK_INVALID_ARGUMENT or
 * CATK_UNAVAILABLE. Free with g_object_unref().
 */
GSocket *address_listen(const char *text, catk_error_t *err);

#endif
