/* The JSON form of the answer of a resolve. */
#ifndef CATK_RESOLVE_JSON_H
#define CATK_RESOLVE_JSON_H

#include <json-glib/json-glib.h>

#include "lib/entry/entry.h"

/* Adds the member "addresses" to the current object of builder. */
void resolve_json_add_addresses(JsonBuilder *builder,
				const resolve_result_t *result);

#endif
