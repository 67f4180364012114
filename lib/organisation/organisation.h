/*
 * The organisations of a configuration, with their keys and rate limits. A
 * caller proves its organisation by a key, which is a secret: it may not appear
 * in logs, dumps or error messages.
 */
#ifndef CATK_ORGANISATION_H
#define CATK_ORGANISATION_H

#include <glib.h>

#include "lib/common/error.h"
#include "lib/common/intrusive.h"

#define ORGANISATION_NAME_MAX 64 /* bytes, without the terminating zero */
#define ORGANISATION_KEY_MAX 256 /* bytes, without the terminating zero */
/* Upper limit of the rate and of the burst, far above any useful one. */
#define ORGANISATION_RATE_MAX 1e9
/* The priority of a request is that of its route. */
#define ORGANISATION_NO_PRIORITY (-1)

typedef struct organisation {
	TAILQ_ENTRY(organisation) link;
	char *name;
	int priority; /* index into the schema's, ORGANISATION_NO_PRIORITY */
	double rate; /* requests per second over all instances, 0: unlimited */
	double burst; /* requests beyond the rate */
} organisation_t;

typedef struct {
	TAILQ_HEAD(organisation_list, organisation) list;
	GHashTable *by_name; /* name -> organisation_t */
	GHashTable *by_key; /* key -> organisation_t */
} organisations_t;

/* Creates a set without organisations. Free with organisations_free(). */
organisations_t *organisations_new(void);

/* Frees the set with its organisations. NULL is allowed. */
void organisations_free(organisations_t *organisations);

/*
 * Adds an organisation without keys; the set owns it. attributes is copied.
 * Returns NULL with CATK_INVALID_ARGUMENT for an invalid or repeated name, or a
 * rate or a burst that is not a number from 0 to ORGANISATION_RATE_MAX.
 */
organisation_t *organisations_add(organisations_t *organisations,
				  const organisation_t *attributes,
				  catk_error_t *err);

/*
 * Adds a key. Returns FALSE with CATK_INVALID_ARGUMENT for a key that is empty,
 * too long, contains other than visible ASCII characters, or is in use.
 */
gboolean organisations_add_key(organisations_t *organisations,
			       organisation_t *organisation, const char *key,
			       catk_error_t *err);

/* TRUE if there are none: requests then need no key. */
gboolean organisations_is_empty(const organisations_t *organisations);

/* The organisation of that name, or NULL. */
const organisation_t *organisations_find(const organisations_t *organisations,
					 const char *name);

/* The organisation that holds the key, or NULL. key may be NULL. */
const organisation_t *
organisations_find_by_key(const organisations_t *organisations,
			  const char *key);

#endif
