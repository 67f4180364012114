/*
 * Position in the history of the metadata store. A store that was restored from
 * an older copy begins a new era: its revisions go back and are assigned again.
 * A position orders its states by era, then by revision, as one number.
 */
#ifndef CATK_STORE_POSITION_H
#define CATK_STORE_POSITION_H

#include <glib.h>

#define STORE_POSITION_REVISION_BITS 44
#define STORE_POSITION_REVISION_MAX \
	((G_GUINT64_CONSTANT(1) << STORE_POSITION_REVISION_BITS) - 1)
#define STORE_POSITION_ERA_MAX \
	((G_GUINT64_CONSTANT(1) << (63 - STORE_POSITION_REVISION_BITS)) - 1)

/* era and revision must not exceed the maximum values above. */
static inline guint64 store_position(guint64 era, guint64 revision)
{
	return era << STORE_POSITION_REVISION_BITS | revision;
}

static inline guint64 store_position_era(guint64 position)
{
	return position >> STORE_POSITION_REVISION_BITS;
}

static inline guint64 store_position_revision(guint64 position)
{
	return position & STORE_POSITION_REVISION_MAX;
}

#endif
