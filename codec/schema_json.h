/* The JSON form of a schema. docs/OPERATIONS.md describes the format. */
#ifndef CATK_SCHEMA_JSON_H
#define CATK_SCHEMA_JSON_H

#include "lib/schema/schema.h"

/* Called for each error with the place in the document, "$.services[0]". */
typedef void (*schema_issue_fn_t)(void *ctx, const char *place,
				  const char *message);

/*
 * Reads a schema and checks it whole. Every error is reported through
 * on_issue, which may be NULL. Returns NULL when there was any. Unknown keys
 * are errors.
 */
schema_t *schema_from_json(GBytes *document, schema_issue_fn_t on_issue,
			   void *ctx);

#endif
