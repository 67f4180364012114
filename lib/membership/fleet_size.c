#include "lib/membership/fleet_size.h"

guint fleet_size_update(fleet_size_t *size, guint count, GTimeSpan now)
{
	if (count >= size->highest || now > size->seen + FLEET_SIZE_WINDOW) {
		size->highest = count;
		size->seen = now;
	}
	return size->highest;
}
