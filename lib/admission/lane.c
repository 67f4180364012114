#include "lib/admission/lane.h"

void lane_init(admission_lane_t *lane)
{
	TAILQ_INIT(&lane->callers);
	TAILQ_INIT(&lane->arrivals);
	lane->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	lane->length = 0;
}

void lane_clear(admission_lane_t *lane)
{
	while (lane->length)
		lane_remove(lane, TAILQ_FIRST(&lane->arrivals));
	g_clear_pointer(&lane->by_name, g_hash_table_destroy);
}

static lane_caller_t *find_or_add_caller(admission_lane_t *lane,
					 const char *name)
{
	lane_caller_t *caller = g_hash_table_lookup(lane->by_name, name);

	if (caller)
		return caller;
	caller = g_new0(lane_caller_t, 1);
	caller->name = g_strdup(name);
	TAILQ_INIT(&caller->items);
	TAILQ_INSERT_TAIL(&lane->callers, caller, link);
	g_hash_table_insert(lane->by_name, caller->name, caller);
	return caller;
}

static void caller_free(admission_lane_t *lane, lane_caller_t *caller)
{
	TAILQ_REMOVE(&lane->callers, caller, link);
	g_hash_table_remove(lane->by_name, caller->name);
	g_free(caller->name);
	g_free(caller);
}

/* Calls mostly arrive in the order of deadlines: the search is short. */
static void insert_by_deadline(lane_caller_t *caller, admission_item_t *item)
{
	admission_item_t *before = TAILQ_LAST(&caller->items, caller_items);

	while (before && before->deadline > item->deadline)
		before = TAILQ_PREV(before, caller_items, link);
	if (before)
		TAILQ_INSERT_AFTER(&caller->items, before, item, link);
	else
		TAILQ_INSERT_HEAD(&caller->items, item, link);
}

static void link_item(admission_lane_t *lane, admission_item_t *item)
{
	lane_caller_t *caller = find_or_add_caller(lane, item->caller);

	insert_by_deadline(caller, item);
	item->lane_caller = caller;
	item->lane = lane;
	caller->length++;
	lane->length++;
}

void lane_add(admission_lane_t *lane, admission_item_t *item)
{
	link_item(lane, item);
	TAILQ_INSERT_TAIL(&lane->arrivals, item, by_arrival);
}

void lane_requeue(admission_lane_t *lane, admission_item_t *item)
{
	link_item(lane, item);
	TAILQ_INSERT_HEAD(&lane->arrivals, item, by_arrival);
	TAILQ_REMOVE(&lane->callers, item->lane_caller, link);
	TAILQ_INSERT_HEAD(&lane->callers, item->lane_caller, link);
}

void lane_remove(admission_lane_t *lane, admission_item_t *item)
{
	lane_caller_t *caller = item->lane_caller;

	g_assert(caller && lane->length);
	TAILQ_REMOVE(&caller->items, item, link);
	TAILQ_REMOVE(&lane->arrivals, item, by_arrival);
	item->lane_caller = NULL;
	item->lane = NULL;
	lane->length--;
	caller->length--;
	if (caller->length == 0)
		caller_free(lane, caller);
}

void lane_dequeue(admission_lane_t *lane, admission_item_t *item)
{
	lane_caller_t *caller = item->lane_caller;

	TAILQ_REMOVE(&lane->callers, caller, link);
	TAILQ_INSERT_TAIL(&lane->callers, caller, link);
	lane_remove(lane, item);
}

admission_item_t *lane_next(const admission_lane_t *lane)
{
	if (!lane->length)
		return NULL;
	return TAILQ_FIRST(&TAILQ_FIRST(&lane->callers)->items);
}

admission_item_t *lane_newest(const admission_lane_t *lane)
{
	return TAILQ_LAST(&lane->arrivals, lane_arrivals);
}

guint lane_caller_length(const admission_lane_t *lane, const char *name)
{
	const lane_caller_t *caller = g_hash_table_lookup(lane->by_name, name);

	return caller ? caller->length : 0;
}

admission_item_t *lane_last_of_longest_caller(const admission_lane_t *lane)
{
	const lane_caller_t *caller, *longest = NULL;

	TAILQ_FOREACH (caller, &lane->callers, link)
		if (!longest || caller->length > longest->length)
			longest = caller;
	return longest ? TAILQ_LAST(&longest->items, caller_items) : NULL;
}
