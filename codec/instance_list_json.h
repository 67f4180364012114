/* The JSON form of the platform's instance lists. */
#ifndef CATK_INSTANCE_LIST_JSON_H
#define CATK_INSTANCE_LIST_JSON_H

#include <glib.h>

#include "lib/upstream/upstream.h"

/*
 * Parses an instance list and skips invalid elements. Returns NULL if the
 * document has no "instances" array. Sets *count to the number of elements
 * returned. Free with g_free().
 */
endpoint_info_t *instance_list_from_json(GBytes *document, gsize *count);

#endif
