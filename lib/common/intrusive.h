/*
 * Intrusive lists: the TAILQ macros of <sys/queue.h> plus what the C library's
 * copy lacks.
 */
#ifndef CATK_INTRUSIVE_H
#define CATK_INTRUSIVE_H

#include <stddef.h>
#include <sys/queue.h>

/* The structure that embeds member at ptr. */
#define container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/* Iterates while var may be removed from the list in the body. */
#define TAILQ_FOREACH_SAFE(var, head, field, next) \
	for ((var) = TAILQ_FIRST(head);            \
	     (var) && ((next) = TAILQ_NEXT(var, field), 1); (var) = (next))

#endif
