/*
 * The endpoints of all services as the platform's store tells of them, and what
 * holds of that while the store is away.
 */
#ifndef CATK_CATALOGUE_H
#define CATK_CATALOGUE_H

#include "lib/common/clock.h"
#include "lib/common/intrusive.h"
#include "lib/upstream/upstream.h"

/*
 * Endpoints that live are back in the store within about two seconds of its
 * return; a removal that is learnt during that time may be a lapse.
 */
#define CATALOGUE_RETURN_TIME (2 * G_TIME_SPAN_SECOND)

typedef struct catalogue catalogue_t;

/* What the store says of one start of an endpoint. */
typedef struct {
	endpoint_info_t info; /* with an id */
	char service[SCHEMA_NAME_MAX + 1];
	gint64 born; /* instant of its start, of another clock; 0: unknown */
	guint64 sequence; /* rises with each statement of one start */
} catalogue_entry_t;

/* The endpoints of a service have changed. infos is valid during the call. */
typedef void (*catalogue_changed_fn_t)(void *ctx, const char *service,
				       const endpoint_info_t *infos,
				       gsize count);

/* Free with catalogue_free(). */
catalogue_t *catalogue_new(catalogue_changed_fn_t changed, void *ctx);

/* NULL is allowed. */
void catalogue_free(catalogue_t *catalogue);

/*
 * Takes a statement. One that is older than what is known of the same endpoint
 * changes nothing.
 */
void catalogue_put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		   GTimeSpan now);

/*
 * The store no longer has the endpoint. While that may be a lapse, the endpoint
 * stays as a doubtful one.
 */
void catalogue_remove(catalogue_t *catalogue, const char *id, GTimeSpan now);

/*
 * Between the two, catalogue_put() names all endpoints: what is not named is
 * removed at the end.
 */
void catalogue_begin_list(catalogue_t *catalogue);
void catalogue_end_list(catalogue_t *catalogue, GTimeSpan now);

/* The store does not answer, or answers again. */
void catalogue_contact_lost(catalogue_t *catalogue);
void catalogue_contact_regained(catalogue_t *catalogue, GTimeSpan now);

/* Reports the services that have changed, and removes what is due. */
void catalogue_tick(catalogue_t *catalogue, GTimeSpan now);

/* Reports all services again, for a configuration that is new in force. */
void catalogue_report_all(catalogue_t *catalogue);

/* Instant of the next removal, CATK_NEVER for none. */
GTimeSpan catalogue_next_wakeup(const catalogue_t *catalogue);

#endif
