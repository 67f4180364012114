/*
 * The endpoints of all services as the platform's store tells of them, and what
 * holds of that while the store is away. Changes are numbered, so that another
 * instance can be told what it has missed.
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

/*
 * How long a change is kept for instances that ask for it, above the time in
 * which an instance that hears nothing reads the store itself.
 */
#define CATALOGUE_RECENT (10 * G_TIME_SPAN_SECOND)
/* Removals are remembered longer than a statement can be under way. */
#define CATALOGUE_REMOVAL_MEMORY (30 * G_TIME_SPAN_SECOND)

typedef struct catalogue catalogue_t;

/* What the store says of one start of an endpoint. */
typedef struct {
	endpoint_info_t info; /* with an id */
	char service[SCHEMA_NAME_MAX + 1];
	gint64 start_time; /* instant of its start, of another clock; 0: unknown */
	guint64 sequence; /* rises with each statement of one start */
	guint64 revision; /* of the store, of the entry's last change */
} catalogue_entry_t;

typedef enum {
	CATALOGUE_PRESENT,
	CATALOGUE_DOUBTFUL, /* gone from the store, but that may be a lapse */
	CATALOGUE_REMOVED
} catalogue_state_t;

/*
 * What one instance tells another. The entry of a removal names the last state
 * that was known, with a revision above it.
 */
typedef struct {
	catalogue_state_t state;
	catalogue_entry_t entry;
} catalogue_change_t;

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
 * removed at the end, unless it is newer than the store's revision as_of that
 * the list began with.
 */
void catalogue_begin_list(catalogue_t *catalogue);
void catalogue_end_list(catalogue_t *catalogue, guint64 as_of, GTimeSpan now);

/* The store does not answer, or answers again. */
void catalogue_contact_lost(catalogue_t *catalogue);
void catalogue_contact_regained(catalogue_t *catalogue, GTimeSpan now);

/*
 * Other instances tell what the store says: nothing lapsed unseen, and they
 * judge what may have.
 */
void catalogue_contact_via_peers(catalogue_t *catalogue);

/*
 * Takes what another instance says. FALSE when it changes nothing, as a
 * statement does that is older than what is known.
 */
gboolean catalogue_merge(catalogue_t *catalogue,
			 const catalogue_change_t *statement, GTimeSpan now);

/* Number of the last change, 0 for none. What the first list names is none. */
guint64 catalogue_last_change(const catalogue_t *catalogue);

/* Number of a change that is older than CATALOGUE_RECENT, as is all before. */
guint64 catalogue_history_start(const catalogue_t *catalogue, GTimeSpan now);

/*
 * The catalogue_change_t of all changes behind a change; with own_only those
 * that this instance learnt from the store. Free with g_array_unref().
 */
GArray *catalogue_changes_since(const catalogue_t *catalogue, guint64 change,
				gboolean own_only, GTimeSpan now);

/* Reports the services that have changed, and removes what is due. */
void catalogue_tick(catalogue_t *catalogue, GTimeSpan now);

/* Reports all services again, for a configuration that is new in force. */
void catalogue_report_all(catalogue_t *catalogue);

/* Instant of the next removal, CATK_NEVER for none. */
GTimeSpan catalogue_next_wakeup(const catalogue_t *catalogue);

#endif
