/*
 * Budget of one instance for the bodies of requests that it holds, those that
 * are still being received included. Without it, bodies that are each within
 * the limit of a request would fill the memory together.
 *
 * Large bodies may use a part of the budget only, so that they never exclude
 * small ones. One large body is always allowed, up to the whole budget; small
 * ones keep their part then, so all together may exceed the budget by it.
 */
#ifndef CATK_BODY_BUDGET_H
#define CATK_BODY_BUDGET_H

#include <glib.h>

/* A body above this size is large, in bytes. */
#define BODY_SMALL_BYTES_MAX 65536

typedef struct {
	gsize max; /* bytes */
	gsize small; /* bytes held by small bodies */
	gsize large; /* bytes held by large bodies */
} body_budget_t;

/* Initialises an unused budget of max bytes. */
void body_budget_init(body_budget_t *budget, gsize max);

/*
 * Changes what one body holds from *held bytes, 0 for a new body, to bytes, 0 to
 * return everything. Returns FALSE without a change if there is no room.
 */
gboolean body_budget_resize(body_budget_t *budget, gsize *held, gsize bytes);

/* Bytes held by all bodies. */
gsize body_budget_used(const body_budget_t *budget);

#endif
