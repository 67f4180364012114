/*
 * Intrusive lists: the macros of <sys/queue.h>, and those that glibc's version
 * lacks.
 */
#ifndef CATK_INTRUSIVE_H
#define CATK_INTRUSIVE_H

#include <stddef.h>
#include <sys/queue.h>

/* The structure whose member is at ptr. */
#define container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/* TAILQ_FOREACH whose body may remove var from the list and free it. */
#define TAILQ_FOREACH_SAFE(var, head, field, next) \
	for ((var) = TAILQ_FIRST(head);            \
	     (var) && ((next) = TAILQ_NEXT(var, field), 1); (var) = (next))

#endif
