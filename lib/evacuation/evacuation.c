#include "lib/evacuation/evacuation.h"

#include <string.h>

typedef struct evacuation {
	TAILQ_ENTRY(evacuation) link;
	char data_centre[EVACUATION_NAME_MAX + 1];
	gboolean listed; /* seen in the list being read */
} evacuation_t;

struct evacuations {
	evacuations_events_t events;
	guint64 position;
	gboolean changed; /* since the position was recorded */
	guint count;
	TAILQ_HEAD(evacuation_list, evacuation) list;
};

evacuations_t *evacuations_new(const evacuations_events_t *events)
{
	evacuations_t *evacuations = g_new0(evacuations_t, 1);

	evacuations->events = *events;
	TAILQ_INIT(&evacuations->list);
	return evacuations;
}

static void evacuation_free(evacuations_t *evacuations,
			    evacuation_t *evacuation)
{
	TAILQ_REMOVE(&evacuations->list, evacuation, link);
	evacuations->count--;
	g_free(evacuation);
}

void evacuations_free(evacuations_t *evacuations)
{
	if (!evacuations)
		return;
	while (!TAILQ_EMPTY(&evacuations->list))
		evacuation_free(evacuations, TAILQ_FIRST(&evacuations->list));
	g_free(evacuations);
}

static evacuation_t *find(const evacuations_t *evacuations, const char *name)
{
	evacuation_t *evacuation;

	TAILQ_FOREACH (evacuation, &evacuations->list, link)
		if (strcmp(evacuation->data_centre, name) == 0)
			return evacuation;
	return NULL;
}

gboolean evacuations_contains(const evacuations_t *evacuations,
			      const char *data_centre)
{
	return find(evacuations, data_centre) != NULL;
}

guint evacuations_count(const evacuations_t *evacuations)
{
	return evacuations->count;
}

guint evacuations_list(const evacuations_t *evacuations, const char **names,
		       guint max)
{
	const evacuation_t *evacuation;
	guint count = 0;

	TAILQ_FOREACH (evacuation, &evacuations->list, link)
		if (count < max)
			names[count++] = evacuation->data_centre;
	return count;
}

char *evacuations_names(const evacuations_t *evacuations)
{
	GString *names = g_string_new(NULL);
	const evacuation_t *evacuation;

	TAILQ_FOREACH (evacuation, &evacuations->list, link)
		g_string_append_printf(names, "%s%s", names->len ? "," : "",
				       evacuation->data_centre);
	return g_string_free(names, FALSE);
}

guint64 evacuations_position(const evacuations_t *evacuations)
{
	return evacuations->position;
}

static void log_change(const evacuations_t *evacuations, const char *event,
		       const char *data_centre, const char *source)
{
	if (evacuations->events.log)
		LOG_EVENT(evacuations->events.log, event,
			  LOG_TEXT("data_centre", data_centre),
			  LOG_TEXT("learnt_from", source));
}

static void put(evacuations_t *evacuations, const char *name,
		const char *source)
{
	evacuation_t *evacuation = find(evacuations, name);

	if (!evacuation &&
	    (!name[0] || strlen(name) > EVACUATION_NAME_MAX ||
	     evacuations->count == EVACUATION_DATA_CENTRES_MAX)) {
		log_change(evacuations, "evacuation_ignored", name, source);
		if (evacuations->events.counters)
			counters_add(evacuations->events.counters,
				     COUNTER_EVACUATIONS_IGNORED, 1);
		return;
	}
	if (!evacuation) {
		evacuation = g_new0(evacuation_t, 1);
		g_strlcpy(evacuation->data_centre, name,
			  sizeof(evacuation->data_centre));
		TAILQ_INSERT_TAIL(&evacuations->list, evacuation, link);
		evacuations->count++;
		evacuations->changed = TRUE;
		log_change(evacuations, "evacuation_started", name, source);
	}
	evacuation->listed = TRUE;
}

static void end(evacuations_t *evacuations, evacuation_t *evacuation,
		const char *source)
{
	log_change(evacuations, "evacuation_ended", evacuation->data_centre,
		   source);
	evacuation_free(evacuations, evacuation);
	evacuations->changed = TRUE;
}

static void begin(evacuations_t *evacuations)
{
	evacuation_t *evacuation;

	TAILQ_FOREACH (evacuation, &evacuations->list, link)
		evacuation->listed = FALSE;
}

static void end_unlisted(evacuations_t *evacuations, const char *source)
{
	evacuation_t *evacuation, *next;

	TAILQ_FOREACH_SAFE (evacuation, &evacuations->list, link, next)
		if (!evacuation->listed)
			end(evacuations, evacuation, source);
}

static void record_position(evacuations_t *evacuations, guint64 position)
{
	gboolean changed = evacuations->changed;

	evacuations->changed = FALSE;
	if (changed || !evacuations->position)
		evacuations->position = MAX(evacuations->position, position);
	if (changed)
		evacuations->events.changed(evacuations->events.ctx);
}

void evacuations_begin_list(evacuations_t *evacuations)
{
	begin(evacuations);
}

void evacuations_end_list(evacuations_t *evacuations, guint64 position)
{
	end_unlisted(evacuations, "store");
	record_position(evacuations, position);
}

void evacuations_put(evacuations_t *evacuations, const char *data_centre)
{
	put(evacuations, data_centre, "store");
}

void evacuations_remove(evacuations_t *evacuations, const char *data_centre)
{
	evacuation_t *evacuation = find(evacuations, data_centre);

	if (evacuation)
		end(evacuations, evacuation, "store");
}

void evacuations_changes_read(evacuations_t *evacuations, guint64 position)
{
	record_position(evacuations, position);
}

gboolean evacuations_replace(evacuations_t *evacuations,
			     const char *const *data_centres, guint count,
			     guint64 position, const char *source)
{
	guint i;

	if (position <= evacuations->position)
		return FALSE;
	begin(evacuations);
	for (i = 0; i < count; i++)
		put(evacuations, data_centres[i], source);
	end_unlisted(evacuations, source);
	evacuations->position = position;
	record_position(evacuations, position);
	return TRUE;
}

void evacuations_dump(const evacuations_t *evacuations,
		      const dump_writer_t *writer)
{
	gchar *names = evacuations_names(evacuations);

	writer->begin_object(writer->ctx, "evacuations");
	writer->string(writer->ctx, "data_centres", names);
	writer->integer(writer->ctx, "position", (gint64)evacuations->position);
	writer->end_object(writer->ctx);
	g_free(names);
}
