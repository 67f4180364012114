#include "lib/admission/listener.h"

#define LOG_INTERVAL (1 * G_TIME_SPAN_SECOND)
/* A listener works with any limit of descriptors. */
#define CONNECTIONS_MIN 8

typedef struct {
	const char *name;
	guint descriptors_percent;
	counter_t bodies_refused;
	counter_t connections_refused;
	counter_t connections_replaced;
} listener_kind_t;

/*
 * Together 75%. With 2,870 descriptors the proxy has 1,148 connections, above
 * the largest sudden arrival of 500, and peers 430, above two for each of 204
 * instances.
 */
static const listener_kind_t kinds[LISTENER_COUNT] = {
	[LISTENER_PROXY] = { "proxy", 40, COUNTER_BODIES_REFUSED_PROXY,
			     COUNTER_CONNECTIONS_REFUSED_PROXY,
			     COUNTER_CONNECTIONS_REPLACED_PROXY },
	[LISTENER_CALLERS] = { "callers", 8, COUNTER_BODIES_REFUSED_CALLERS,
			       COUNTER_CONNECTIONS_REFUSED_CALLERS,
			       COUNTER_CONNECTIONS_REPLACED_CALLERS },
	[LISTENER_DIRECTORY] = { "directory", 8,
				 COUNTER_BODIES_REFUSED_DIRECTORY,
				 COUNTER_CONNECTIONS_REFUSED_DIRECTORY,
				 COUNTER_CONNECTIONS_REPLACED_DIRECTORY },
	[LISTENER_READINESS] = { "readiness", 4,
				 COUNTER_BODIES_REFUSED_READINESS,
				 COUNTER_CONNECTIONS_REFUSED_READINESS,
				 COUNTER_CONNECTIONS_REPLACED_READINESS },
	[LISTENER_PEERS] = { "peers", 15, COUNTER_BODIES_REFUSED_PEERS,
			     COUNTER_CONNECTIONS_REFUSED_PEERS,
			     COUNTER_CONNECTIONS_REPLACED_PEERS },
};

const char *listener_name(listener_id_t id)
{
	return kinds[id].name;
}

guint listener_connections_max(listener_id_t id, guint64 descriptors)
{
	guint64 max = descriptors / 100 * kinds[id].descriptors_percent +
		      descriptors % 100 * kinds[id].descriptors_percent / 100;

	return (guint)CLAMP(max, CONNECTIONS_MIN, G_MAXINT);
}

void listener_init(listener_t *listener, listener_id_t id, guint64 descriptors,
		   body_budget_t *bodies, counters_t *counters,
		   const event_log_t *log)
{
	*listener = (listener_t){
		.id = id,
		.connections_max = listener_connections_max(id, descriptors),
		.bodies = bodies,
		.counters = counters,
		.log = log,
	};
}

void listener_body_refused(const listener_t *listener, gsize bytes)
{
	counters_add(listener->counters, COUNTER_BODIES_REFUSED, 1);
	counters_add(listener->counters, kinds[listener->id].bodies_refused, 1);
	LOG_EVENT(listener->log, "body_refused",
		  LOG_TEXT("listener", listener_name(listener->id)),
		  LOG_NUMBER("bytes", (gint64)bytes),
		  LOG_NUMBER("held_bytes",
			     (gint64)body_budget_used(listener->bodies)),
		  LOG_NUMBER("max_bytes", (gint64)listener->bodies->max));
}

void listener_connection_limited(listener_t *listener, gboolean replaced,
				 GTimeSpan now)
{
	const listener_kind_t *kind = &kinds[listener->id];

	counters_add(listener->counters,
		     replaced ? kind->connections_replaced :
				kind->connections_refused,
		     1);
	if (replaced)
		listener->replaced++;
	else
		listener->refused++;
	if (now < listener->next_log)
		return;
	LOG_EVENT(listener->log, "connections_limited",
		  LOG_TEXT("listener", kind->name),
		  LOG_NUMBER("max", listener->connections_max),
		  LOG_NUMBER("refused", listener->refused),
		  LOG_NUMBER("replaced", listener->replaced));
	listener->next_log = now + LOG_INTERVAL;
	listener->refused = 0;
	listener->replaced = 0;
}
