/*
 * The data centres that are evacuated: nothing may be sent to their endpoints.
 * The set is read from the metadata store or received from another instance;
 * positions in the store (lib/common/store_position.h) tell which one is newer.
 */
#ifndef CATK_EVACUATION_H
#define CATK_EVACUATION_H

#include "lib/common/counters.h"
#include "lib/common/dump.h"
#include "lib/common/event_log.h"
#include "lib/common/intrusive.h"

#define EVACUATION_NAME_MAX 64 /* bytes, without the terminating zero */
/* Data centres that may be evacuated at once; further ones are ignored. */
#define EVACUATION_DATA_CENTRES_MAX 64

typedef struct evacuations evacuations_t;

typedef struct {
	/* The set has changed. */
	void (*changed)(void *ctx);
	const event_log_t *log; /* receives each change, NULL for none */
	counters_t *counters; /* NULL for none */
	void *ctx;
} evacuations_events_t;

/*
 * Creates an empty set with an unknown position, 0. events is copied. Free with
 * evacuations_free().
 */
evacuations_t *evacuations_new(const evacuations_events_t *events);

/* NULL is allowed. */
void evacuations_free(evacuations_t *evacuations);

/* TRUE if the data centre is evacuated. */
gboolean evacuations_contains(const evacuations_t *evacuations,
			      const char *data_centre);

/* Number of evacuated data centres. */
guint evacuations_count(const evacuations_t *evacuations);

/* Writes up to max names, valid until the set changes; returns their number. */
guint evacuations_list(const evacuations_t *evacuations, const char **names,
		       guint max);

/* The names, separated by commas. Free with g_free(). */
char *evacuations_names(const evacuations_t *evacuations);

/* Position of the store at which the set was current, 0 for none. */
guint64 evacuations_position(const evacuations_t *evacuations);

/*
 * Apply a list of the store: names that are not put between its begin and its
 * end are no longer evacuated.
 */
void evacuations_begin_list(evacuations_t *evacuations);
void evacuations_end_list(evacuations_t *evacuations, guint64 position);

/*
 * Start or end the evacuation of a data centre, as an object of the store does.
 * A name that is empty or too long is ignored and logged.
 */
void evacuations_put(evacuations_t *evacuations, const char *data_centre);
void evacuations_remove(evacuations_t *evacuations, const char *data_centre);

/*
 * Records that changes up to a position have been applied. The position changes
 * only with the set, so that instances need not exchange sets that are equal.
 */
void evacuations_changes_read(evacuations_t *evacuations, guint64 position);

/*
 * Replaces the set by that of another instance if its position is higher.
 * Returns TRUE if it was.
 */
gboolean evacuations_replace(evacuations_t *evacuations,
			     const char *const *data_centres, guint count,
			     guint64 position, const char *source);

void evacuations_dump(const evacuations_t *evacuations,
		      const dump_writer_t *writer);

#endif
