/* The HTTP interface for callers: resolve and call. */
#ifndef CATK_CALLER_API_H
#define CATK_CALLER_API_H

#include <libsoup/soup.h>

#include "lib/entry/entry.h"

typedef struct caller_api caller_api_t;

/*
 * Adds the callers' routes to server. entry and server must outlive the
 * result. body_bytes_max bounds the body of a request. Free with
 * caller_api_free().
 */
caller_api_t *caller_api_new(SoupServer *server, entry_t *entry,
			     gsize body_bytes_max);

/* Drops the calls that are not answered yet. NULL is allowed. */
void caller_api_free(caller_api_t *api);

/* TRUE when every answer is written to its connection. */
gboolean caller_api_is_flushed(const caller_api_t *api);

/* The action entry_actions_t.answer. */
void caller_api_answer(caller_api_t *api, void *caller_ref,
		       const call_answer_t *answer);

#endif
