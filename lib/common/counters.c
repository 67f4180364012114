#include "lib/common/counters.h"

static const struct {
	const char *name;
	const char *unit;
} descriptions[COUNTER_COUNT] = {
#define X(id, name, unit) { name, unit },
	COUNTER_LIST(X)
#undef X
};

const char *counter_name(counter_t id)
{
	g_assert(id < COUNTER_COUNT);
	return descriptions[id].name;
}

const char *counter_unit(counter_t id)
{
	g_assert(id < COUNTER_COUNT);
	return descriptions[id].unit;
}
