/* Writes a state dump as JSON. */
#ifndef CATK_DUMP_JSON_H
#define CATK_DUMP_JSON_H

#include <json-glib/json-glib.h>

#include "lib/common/dump.h"

/* Returns a writer that appends to builder, which must outlive it. */
dump_writer_t dump_json_writer(JsonBuilder *builder);

/* Serializes the finished document. Free with g_free(). */
gchar *json_builder_to_text(JsonBuilder *builder);

#endif
