/*
 * Typed errors. An error has a kind, the outcome of the request that it ends,
 * and a message that says what went wrong and how to correct it.
 */
#ifndef CATK_ERROR_H
#define CATK_ERROR_H

#include <glib.h>

/* Size of a message in bytes, with the terminating zero. */
#define CATK_ERROR_MESSAGE_SIZE 256

typedef enum {
	CATK_OK = 0,
	CATK_INVALID_ARGUMENT,
	CATK_NOT_FOUND,
	CATK_UNAUTHENTICATED,
	CATK_CONFLICT,
	CATK_TOO_LARGE,
	CATK_RATE_LIMITED,
	CATK_OVERLOADED,
	CATK_UNAVAILABLE,
	CATK_DEADLINE_EXCEEDED,
	CATK_CANCELLED,
	CATK_UPSTREAM_FAILED,
	CATK_OUTCOME_UNKNOWN,
	CATK_INTERNAL,
	CATK_ERROR_KIND_COUNT
} catk_error_kind_t;

/*
 * What is known about the execution of a request at an upstream.
 * OUTCOME_NOT_RUN guarantees that the request was not executed and never will
 * be under its id.
 */
typedef enum { OUTCOME_NOT_RUN = 0, OUTCOME_RAN, OUTCOME_UNKNOWN } outcome_t;

typedef struct {
	catk_error_kind_t kind;
	outcome_t outcome;
	GTimeSpan retry_after; /* 0 when a retry would not help */
	char message[CATK_ERROR_MESSAGE_SIZE];
} catk_error_t;

/*
 * Sets all fields of err; retry_after is 0. The message is truncated to
 * CATK_ERROR_MESSAGE_SIZE - 1 bytes. Does nothing when err is NULL.
 */
void catk_error_set(catk_error_t *err, catk_error_kind_t kind,
		    outcome_t outcome, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/* Name of a kind in JSON answers, for example "invalid_argument". */
const char *catk_error_kind_name(catk_error_kind_t kind);

/*
 * Kind with the given name. Returns CATK_INTERNAL for an unknown name, so that
 * an error of a peer with a newer version remains an error.
 */
catk_error_kind_t catk_error_kind_from_name(const char *name);

/* "not_run", "ran" or "unknown". */
const char *outcome_name(outcome_t outcome);

/* Outcome with the given name; OUTCOME_UNKNOWN for any other text. */
outcome_t outcome_from_name(const char *name);

#endif
