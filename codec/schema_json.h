/* The JSON form of a schema. docs/OPERATIONS.md describes the format. */
#ifndef CATK_SCHEMA_JSON_H
#define CATK_SCHEMA_JSON_H

#include "lib/schema/schema.h"

/* Called for each error; path is a JSONPath such as "$.services[0]". */
typedef void (*schema_issue_fn_t)(void *ctx, const char *path,
				  const char *message);

/*
 * Parses and validates a schema. Unknown keys are errors. If there are errors,
 * returns NULL and reports all of them through on_issue, which may be NULL.
 */
schema_t *schema_from_json(GBytes *document, schema_issue_fn_t on_issue,
			   void *ctx);

#endif
