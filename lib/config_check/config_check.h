/*
 * Checks of a valid configuration for declarations that have no effect or
 * contradict each other, and the difference between two configurations. No
 * message contains a key of an organisation.
 */
#ifndef CATK_CONFIG_CHECK_H
#define CATK_CONFIG_CHECK_H

#include "lib/schema/schema.h"

#define CONFIG_CHECK_MESSAGE_SIZE 256

/* What a finding is about. */
typedef enum {
	CONFIG_ROUTE,
	CONFIG_SERVICE,
	CONFIG_ORGANISATION,
	CONFIG_LIMITS, /* of requests; there is one, without a name */
	CONFIG_SUBJECT_COUNT
} config_subject_t;

typedef enum {
	CONFIG_ENTRY, /* the whole declaration */
	CONFIG_HOST,
	CONFIG_PREFIX,
	CONFIG_TARGETS,
	CONFIG_DEADLINE,
	CONFIG_OBJECTIVE,
	CONFIG_ATTEMPTS,
	CONFIG_PRIORITY,
	CONFIG_IDEMPOTENT,
	CONFIG_PUBLIC,
	CONFIG_CONNECTIONS,
	CONFIG_HEALTH_PATH,
	CONFIG_WARMUP_DURATION,
	CONFIG_WARMUP_RATE,
	CONFIG_KEYS,
	CONFIG_RATE,
	CONFIG_BURST,
	CONFIG_HEADER_BYTES,
	CONFIG_BODY_BYTES,
	CONFIG_HEADER_TIMEOUT,
	CONFIG_IDLE_TIMEOUT,
	CONFIG_FIELD_COUNT
} config_field_t;

typedef enum {
	CONFIG_NEVER_MATCHES, /* no request can reach it */
	CONFIG_UNUSED, /* nothing refers to it */
	CONFIG_CONTRADICTION, /* with another value */
	CONFIG_ADDED, /* these three in differences only */
	CONFIG_REMOVED,
	CONFIG_CHANGED,
	CONFIG_FINDING_KIND_COUNT
} config_finding_kind_t;

/* Valid during the call only. */
typedef struct {
	config_finding_kind_t kind;
	config_subject_t subject;
	const char *name; /* of the subject, "" for limits */
	config_field_t field;
	const char *message; /* with the remedy; in differences, the values */
} config_finding_t;

typedef void (*config_finding_fn_t)(void *ctx, const config_finding_t *finding);

/* Reports each declaration without effect and each contradiction. */
void config_check(const schema_t *schema, config_finding_fn_t on_finding,
		  void *ctx);

/*
 * Reports what is added, removed and changed from one configuration to another.
 * Of keys only their numbers are reported.
 */
void config_check_difference(const schema_t *from, const schema_t *to,
			     config_finding_fn_t on_finding, void *ctx);

/* Such as "never_matches", "route" and "objective". */
const char *config_finding_kind_name(config_finding_kind_t kind);
const char *config_subject_name(config_subject_t subject);
const char *config_field_name(config_field_t field);

#endif
