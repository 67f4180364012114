/* Dump of the state of an entry for operators. */
#include "lib/entry/entry_internal.h"

static void dump_self(entry_t *entry, const dump_writer_t *w)
{
	const member_t *self = membership_self(entry->membership);

	w->string(w->ctx, "instance", self->name);
	w->string(w->ctx, "data_centre", self->data_centre);
	w->integer(w->ctx, "incarnation", (gint64)self->incarnation);
	w->boolean(w->ctx, "leaving", entry_is_leaving(entry));
	w->integer(w->ctx, "config_version",
		   (gint64)config_version(entry->config));
	w->integer(w->ctx, "calls_in_flight",
		   g_hash_table_size(entry->calls_by_ref));
}

static void dump_shutdown(const entry_t *entry, const dump_writer_t *w)
{
	const shutdown_t *shutdown = &entry->shutdown;
	const shutdown_calls_t *calls = &shutdown->calls;

	w->begin_object(w->ctx, "shutdown");
	w->string(w->ctx, "phase", shutdown_phase_name(shutdown->phase));
	w->integer(w->ctx, "elapsed_us",
		   shutdown_elapsed(shutdown, entry_now(entry)));
	w->integer(w->ctx, "open_at_start", (gint64)calls->open_at_start);
	w->integer(w->ctx, "received", (gint64)calls->received);
	w->integer(w->ctx, "refused", (gint64)calls->refused);
	w->integer(w->ctx, "answered", (gint64)calls->answered);
	w->integer(w->ctx, "cancelled", (gint64)calls->cancelled);
	w->end_object(w->ctx);
}

static void dump_feed(const entry_t *entry, feed_kind_t kind,
		      const dump_writer_t *w)
{
	feed_status_t status =
		feed_status(entry->feeds[kind], entry_now(entry));
	GTimeSpan age = entry_known_age(entry, kind);

	w->begin_object(w->ctx, feed_kind_name(kind));
	if (age != CATK_NEVER)
		w->integer(w->ctx, "known_age_us", age);
	w->string(w->ctx, "call", feed_step_name(status.call));
	w->integer(w->ctx, "call_age_us", status.call_age);
	w->integer(w->ctx, "revision", (gint64)status.revision);
	w->integer(w->ctx, "failures", status.failures);
	w->end_object(w->ctx);
}

static void dump_subscription(const entry_t *entry, const dump_writer_t *w)
{
	guint i;

	w->begin_object(w->ctx, "store");
	w->boolean(w->ctx, "reads", entry_should_read_store(entry));
	w->integer(w->ctx, "subscribers",
		   subscription_subscriber_count(entry->subscription));
	w->integer(w->ctx, "last_change",
		   (gint64)catalogue_last_change(entry->catalogue));
	for (i = 0; i < FEED_KIND_COUNT; i++)
		dump_feed(entry, (feed_kind_t)i, w);
	w->end_object(w->ctx);
}

static void dump_request_ids(entry_t *entry, const dump_writer_t *w)
{
	request_ids_stats_t stats = request_ids_stats(entry->ids);

	w->begin_object(w->ctx, "request_ids");
	w->integer(w->ctx, "blocks", (gint64)stats.blocks);
	w->integer(w->ctx, "records", (gint64)stats.records);
	w->integer(w->ctx, "in_progress", (gint64)stats.in_progress);
	w->integer(w->ctx, "answer_bytes", (gint64)stats.answer_bytes);
	w->end_object(w->ctx);
}

static void dump_queue(const entry_t *entry, const entry_service_t *service,
		       const dump_writer_t *w)
{
	const schema_t *schema = config_schema(entry->config);
	guint i;

	w->begin_object(w->ctx, NULL);
	w->string(w->ctx, "service", upstream_service(service->upstream));
	for (i = 0; schema && i < schema->priority_count; i++)
		w->integer(w->ctx, schema->priorities[i].name,
			   admission_waiting_of_priority(service->admission,
							 i));
	w->number(w->ctx, "attempts_limit",
		  admission_limit(service->admission));
	w->number(w->ctx, "drain_rate_per_second",
		  admission_drain_rate(service->admission, entry_now(entry)));
	w->number(w->ctx, "share_served",
		  fair_share_served(admission_fair_share(service->admission)));
	w->integer(w->ctx, "organisations_active",
		   fair_share_organisations(
			   admission_fair_share(service->admission)));
	if (service->spillover)
		spillover_dump(service->spillover, w, entry_now(entry));
	w->end_object(w->ctx);
}

static void dump_counters(const entry_t *entry, const dump_writer_t *w)
{
	int i;

	w->begin_object(w->ctx, "counters");
	for (i = 0; i < COUNTER_COUNT; i++)
		w->integer(w->ctx, counter_name((counter_t)i),
			   (gint64)entry->counters->value[i]);
	w->end_object(w->ctx);
}

void entry_dump(entry_t *entry, const dump_writer_t *w)
{
	const entry_service_t *service;

	w->begin_object(w->ctx, NULL);
	dump_self(entry, w);
	dump_shutdown(entry, w);
	membership_dump(entry->membership, w);
	dump_subscription(entry, w);
	evacuations_dump(entry->evacuations, w);
	if (entry->quota)
		quota_dump(entry->quota, w, entry_now(entry));
	w->begin_array(w->ctx, "upstreams");
	TAILQ_FOREACH (service, &entry->services, link)
		upstream_dump(service->upstream, w, entry_now(entry));
	w->end_array(w->ctx);
	w->begin_array(w->ctx, "queues");
	TAILQ_FOREACH (service, &entry->services, link)
		dump_queue(entry, service, w);
	w->end_array(w->ctx);
	dump_request_ids(entry, w);
	dump_counters(entry, w);
	w->end_object(w->ctx);
}
