/*
 * The endpoints of all services, as registered in the metadata store. The
 * last known state stays in use while the store is unreachable. Changes are
 * numbered, so that another instance can ask for those that it has missed.
 */
#ifndef CATK_CATALOGUE_H
#define CATK_CATALOGUE_H

#include "lib/common/clock.h"
#include "lib/common/intrusive.h"
#include "lib/upstream/upstream.h"

/*
 * Live endpoints register again within about 2 s after an outage of the store.
 * An entry that is missing during that time may have expired in the outage
 * although its endpoint is alive.
 */
#define CATALOGUE_REREGISTRATION_TIME (2 * G_TIME_SPAN_SECOND)

/*
 * Age up to which changes are sent to a new subscriber. Longer than an instance
 * waits for updates before it reads the store itself.
 */
#define CATALOGUE_HISTORY_TIME (10 * G_TIME_SPAN_SECOND)
/*
 * Removals are kept for longer than a change can be delayed on its way, so that
 * a late one does not add a removed endpoint again.
 */
#define CATALOGUE_REMOVAL_RETENTION (30 * G_TIME_SPAN_SECOND)

typedef struct catalogue catalogue_t;

/* An endpoint as registered in the store. */
typedef struct {
	endpoint_info_t info; /* with an id */
	char service[SCHEMA_NAME_MAX + 1];
	/*
	 * By the endpoint's own clock, 0: unknown. Only orders successive
	 * starts under the same id.
	 */
	gint64 start_time;
	guint64 sequence; /* rises with each registration since that start */
	guint64 revision; /* of the store, at the entry's last change */
} catalogue_entry_t;

typedef enum {
	CATALOGUE_PRESENT,
	/* No longer in the store, but may have expired in an outage of it. */
	CATALOGUE_DOUBTFUL,
	CATALOGUE_REMOVED
} catalogue_state_t;

/*
 * The new state of an endpoint, as sent to another instance. For a removal,
 * entry is the last known one, with a higher revision.
 */
typedef struct {
	catalogue_state_t state;
	catalogue_entry_t entry;
} catalogue_change_t;

typedef struct {
	/*
	 * The endpoints of a service have changed. infos is valid during the
	 * call only.
	 */
	void (*changed)(void *ctx, const char *service,
			const endpoint_info_t *infos, gsize count);
	/*
	 * An endpoint starts to drain, becomes doubtful or is removed. source
	 * names the instance that sent the change, NULL for a change read from
	 * the store. NULL ignores the event.
	 */
	void (*leaving)(void *ctx, const catalogue_entry_t *entry,
			catalogue_state_t state, const char *source);
	void *ctx;
} catalogue_events_t;

/* Free with catalogue_free(). */
catalogue_t *catalogue_new(const catalogue_events_t *events);

/* NULL is allowed. */
void catalogue_free(catalogue_t *catalogue);

/*
 * Adds or updates an endpoint that the store reports. An entry that is older
 * than the known one of the same endpoint is ignored.
 */
void catalogue_put(catalogue_t *catalogue, const catalogue_entry_t *entry,
		   GTimeSpan now);

/*
 * Removes an endpoint that the store no longer has. For some time after an outage
 * of the store, see catalogue_contact_regained(), the endpoint is marked as
 * doubtful instead and removed at the end of that time.
 */
void catalogue_remove(catalogue_t *catalogue, const char *id, GTimeSpan now);

/*
 * Enclose a complete list of the store's endpoints, passed to catalogue_put().
 * catalogue_end_list() removes the endpoints that were not listed, except those
 * with a revision above list_revision, the store's revision at the start of the
 * list.
 */
void catalogue_begin_list(catalogue_t *catalogue);
void catalogue_end_list(catalogue_t *catalogue, guint64 list_revision,
			GTimeSpan now);

/*
 * Records that another instance has sent all endpoints, passed to
 * catalogue_merge(), in place of the first list of the store.
 */
void catalogue_list_received(catalogue_t *catalogue);

/* TRUE once all endpoints have been listed or received. */
gboolean catalogue_is_complete(const catalogue_t *catalogue);

/* Records that the store does not answer. */
void catalogue_contact_lost(catalogue_t *catalogue);

/*
 * Records that the store answers again. Removals are delayed for
 * CATALOGUE_REREGISTRATION_TIME, but not beyond the instant removals_due.
 */
void catalogue_contact_regained(catalogue_t *catalogue, GTimeSpan removals_due,
				GTimeSpan now);

/*
 * Records that other instances, which are connected to the store, send its
 * changes. They detect entries that may have expired in an outage, so removals
 * need not be delayed here.
 */
void catalogue_contact_via_peers(catalogue_t *catalogue);

/*
 * Applies a change that the instance source has sent. Returns FALSE when it has
 * no effect, for example because it is older than the known state.
 */
gboolean catalogue_merge(catalogue_t *catalogue,
			 const catalogue_change_t *change, const char *source,
			 GTimeSpan now);

/*
 * Number of the last change, 0 for none. Entries of the first list are not
 * changes.
 */
guint64 catalogue_last_change(const catalogue_t *catalogue);

/*
 * Number of the last change that is older than CATALOGUE_HISTORY_TIME, 0 for
 * none.
 */
guint64 catalogue_history_start(const catalogue_t *catalogue, GTimeSpan now);

/*
 * An array of catalogue_change_t with the changes after the given number. With
 * own_only, only those that this instance read from the store itself. Free with
 * g_array_unref().
 */
GArray *catalogue_changes_since(const catalogue_t *catalogue, guint64 number,
				gboolean own_only, GTimeSpan now);

/* The same array with all endpoints. */
GArray *catalogue_all(const catalogue_t *catalogue, GTimeSpan now);

/* Executes removals that are due and reports the services that have changed. */
void catalogue_tick(catalogue_t *catalogue, GTimeSpan now);

/*
 * Makes the next tick report the service, if it is known: for a configuration
 * that declares it anew.
 */
void catalogue_report(catalogue_t *catalogue, const char *service);

/* Instant of the next delayed removal, CATK_NEVER for none. */
GTimeSpan catalogue_next_wakeup(const catalogue_t *catalogue);

#endif
