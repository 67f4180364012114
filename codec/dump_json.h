/* Turns a state dump into JSON. */
#ifndef CATK_DUMP_JSON_H
#define CATK_DUMP_JSON_H

#include <json-glib/json-glib.h>

#include "lib/common/dump.h"

/* A writer that adds to builder, which must outlive it. */
dump_writer_t dump_json_writer(JsonBuilder *builder);

/* The finished document as text; free with g_free(). */
gchar *json_builder_to_text(JsonBuilder *builder);

#endif
