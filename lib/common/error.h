/*
 * Typed errors. Every error has a kind, the outcome of the request it is about,
 * and a message that names the remedy.
 */
#ifndef CATK_ERROR_H
#define CATK_ERROR_H

#include <glib.h>

/* Bytes of a message, including the terminating zero. */
#define CATK_ERROR_MESSAGE_SIZE 256

typedef enum {
	CATK_OK = 0,
	CATK_INVALID_ARGUMENT,
	CATK_NOT_FOUND,
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
 * OUTCOME_NOT_RUN is a promise: it did not run and will not run under this id.
 */
typedef enum { OUTCOME_NOT_RUN = 0, OUTCOME_RAN, OUTCOME_UNKNOWN } outcome_t;

typedef struct {
	catk_error_kind_t kind;
	outcome_t outcome;
	GTimeSpan retry_after; /* microseconds; 0 when waiting does not help */
	char message[CATK_ERROR_MESSAGE_SIZE];
} catk_error_t;

/*
 * Fills err. The message is truncated to CATK_ERROR_MESSAGE_SIZE - 1 bytes.
 * err may be NULL, then nothing happens. retry_after is set to 0.
 */
void catk_error_set(catk_error_t *err, catk_error_kind_t kind,
		    outcome_t outcome, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/* Name of a kind as used in JSON answers, "invalid_argument" for example. */
const char *catk_error_kind_name(catk_error_kind_t kind);

/*
 * Kind with the given name. Returns CATK_INTERNAL for a name that is not
 * known, so that a newer peer's error is still an error.
 */
catk_error_kind_t catk_error_kind_from_name(const char *name);

/* "not_run", "ran" or "unknown". */
const char *outcome_name(outcome_t outcome);

/* Outcome with the given name; OUTCOME_UNKNOWN for any other text. */
outcome_t outcome_from_name(const char *name);

#endif
