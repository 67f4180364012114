/* HTTP API for operators: dump, configuration and graceful shutdown. */
#ifndef CATK_OPERATOR_API_H
#define CATK_OPERATOR_API_H

#include "lib/entry/entry.h"
#include "net/http_service.h"
#include "net/object_api.h"

typedef struct operator_api operator_api_t;

/*
 * Registers the request handlers with service. object_api is NULL if the
 * configuration is a local file; changes are then refused. All arguments must
 * outlive the result. Free with operator_api_free().
 */
operator_api_t *operator_api_new(http_service_t *service, entry_t *entry,
				 object_api_t *object_api);

/*
 * Removes the handlers. Changes in progress are answered with an unknown
 * outcome. NULL is allowed.
 */
void operator_api_free(operator_api_t *api);

#endif
