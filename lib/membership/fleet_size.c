#include "lib/membership/fleet_size.h"

guint fleet_size_update(fleet_size_t *size, guint count, GTimeSpan now)
{
	if (count >= size->highest ||
	    now > size->highest_seen_at + FLEET_SIZE_WINDOW) {
		size->highest = count;
		size->highest_seen_at = now;
	}
	return size->highest;
}
