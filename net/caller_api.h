/* HTTP API for callers: resolve and call. */
#ifndef CATK_CALLER_API_H
#define CATK_CALLER_API_H

#include "lib/entry/entry.h"
#include "net/http_service.h"

typedef struct caller_api caller_api_t;

/*
 * Registers the request handlers with service. service and entry must outlive
 * the result. body_bytes_max is the maximum size of a request body. Free with
 * caller_api_free().
 */
caller_api_t *caller_api_new(http_service_t *service, entry_t *entry,
			     gsize body_bytes_max);

/* Forgets the calls that have not been answered. NULL is allowed. */
void caller_api_free(caller_api_t *api);

/* Sends the answer to a call; implements entry_actions_t.answer. */
void caller_api_answer(caller_api_t *api, void *caller_ref,
		       const call_answer_t *answer);

#endif
