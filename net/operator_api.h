/* The HTTP interface for operators: dump, configuration, drain. */
#ifndef CATK_OPERATOR_API_H
#define CATK_OPERATOR_API_H

#include <libsoup/soup.h>

#include "lib/entry/entry.h"
#include "net/object_api.h"

typedef struct operator_api operator_api_t;

/*
 * Adds the operators' routes to server. api is NULL when the configuration is
 * a local file. All arguments must outlive the result. Free with
 * operator_api_free().
 */
operator_api_t *operator_api_new(SoupServer *server, entry_t *entry,
				 object_api_t *api);

/* Removes the routes. NULL is allowed. */
void operator_api_free(operator_api_t *operators);

#endif
