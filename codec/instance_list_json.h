/* The JSON form of the platform's instance lists. */
#ifndef CATK_INSTANCE_LIST_JSON_H
#define CATK_INSTANCE_LIST_JSON_H

#include <glib.h>

#include "lib/upstream/upstream.h"

/*
 * Reads an instance list. Lines that are not valid are skipped. Returns NULL
 * when the document is not a list at all; free with g_free(). *count is the
 * number of lines.
 */
endpoint_info_t *instance_list_from_json(GBytes *document, gsize *count);

#endif
