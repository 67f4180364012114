#include "lib/admission/admission.h"

typedef struct admission_lane {
	TAILQ_HEAD(admission_item_list, admission_item) items;
	guint length;
} admission_lane_t;

struct admission {
	admission_limits_t limits;
	counters_t *counters;
	guint lane_count;
	admission_lane_t lanes[SCHEMA_PRIORITIES_MAX];
};

admission_t *admission_new(const admission_limits_t *limits,
			   counters_t *counters)
{
	admission_t *admission = g_new0(admission_t, 1);
	guint i;

	g_assert(limits->queue_max >= 1);
	admission->limits = *limits;
	admission->counters = counters;
	admission->lane_count = SCHEMA_PRIORITIES_MAX;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		TAILQ_INIT(&admission->lanes[i].items);
	return admission;
}

void admission_free(admission_t *admission)
{
	guint i;

	if (!admission)
		return;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++)
		while (!TAILQ_EMPTY(&admission->lanes[i].items))
			admission_remove(
				admission,
				TAILQ_FIRST(&admission->lanes[i].items));
	g_free(admission);
}

void admission_configure(admission_t *admission, const schema_t *schema)
{
	admission->lane_count = schema->priority_count;
}

static void link_item(admission_lane_t *lane, admission_item_t *item)
{
	item->lane = lane;
	lane->length++;
}

gboolean admission_offer(admission_t *admission, admission_item_t *item,
			 GTimeSpan now, catk_error_t *err)
{
	admission_lane_t *lane = &admission->lanes[item->priority];

	g_assert(item->priority < SCHEMA_PRIORITIES_MAX);
	if (now >= item->deadline) {
		catk_error_set(err, CATK_DEADLINE_EXCEEDED, OUTCOME_NOT_RUN,
			       "the deadline passed before the call was "
			       "queued: send it with a later deadline");
		return FALSE;
	}
	if (lane->length >= admission->limits.queue_max) {
		catk_error_set(err, CATK_OVERLOADED, OUTCOME_NOT_RUN,
			       "%u calls of this priority are waiting: try "
			       "again later",
			       lane->length);
		return FALSE;
	}
	TAILQ_INSERT_TAIL(&lane->items, item, link);
	link_item(lane, item);
	return TRUE;
}

admission_item_t *admission_next(admission_t *admission, GTimeSpan now)
{
	guint i;

	(void)now;
	for (i = 0; i < SCHEMA_PRIORITIES_MAX; i++) {
		admission_item_t *item =
			TAILQ_FIRST(&admission->lanes[i].items);

		if (item) {
			admission_remove(admission, item);
			return item;
		}
	}
	return NULL;
}

void admission_requeue(admission_t *admission, admission_item_t *item)
{
	admission_lane_t *lane = &admission->lanes[item->priority];

	TAILQ_INSERT_HEAD(&lane->items, item, link);
	link_item(lane, item);
}

void admission_remove(admission_t *admission, admission_item_t *item)
{
	(void)admission;
	if (!item->lane)
		return;
	TAILQ_REMOVE(&item->lane->items, item, link);
	item->lane->length--;
	item->lane = NULL;
}

guint admission_length(const admission_t *admission, guint priority)
{
	g_assert(priority < SCHEMA_PRIORITIES_MAX);
	return admission->lanes[priority].length;
}
