#include "lib/request_id/request_id.h"

#include <string.h>

#include "lib/common/intrusive.h"

typedef enum {
	RECORD_IN_PROGRESS,
	RECORD_DISPATCHED,
	RECORD_ANSWERED,
	RECORD_ANSWER_DROPPED,
	RECORD_SEALED,
	RECORD_OUTCOME_UNKNOWN
} record_state_t;

typedef struct record {
	LIST_ENTRY(record) in_block;
	TAILQ_ENTRY(record) in_held; /* linked while in RECORD_ANSWERED */
	guint64 sequence;
	guint64 fingerprint;
	record_state_t state;
	held_answer_t answer;
} record_t;

typedef struct block {
	TAILQ_ENTRY(block) link;
	guint64 number; /* sequence / block_size */
	GTimeSpan expiry;
	LIST_HEAD(record_list, record) records;
} block_t;

struct request_ids {
	request_ids_limits_t limits;
	counters_t *counters;
	guint64 next_block;
	GTimeSpan last_expiry;
	TAILQ_HEAD(block_list, block) blocks; /* oldest first */
	TAILQ_HEAD(held_list, record) held; /* oldest answer first */
	GHashTable *block_index; /* number -> block_t */
	GHashTable *record_index; /* sequence -> record_t */
	guint64 in_progress;
	gsize answer_bytes;
};

gboolean request_id_parse(const char *text, request_id_t *id, catk_error_t *err)
{
	const char *incarnation_end = strrchr(text, '.');
	const char *instance_end;
	gchar *incarnation = NULL;
	gboolean ok = FALSE;

	instance_end =
		incarnation_end ?
			g_strrstr_len(text, incarnation_end - text, ".") :
			NULL;
	if (!instance_end || instance_end == text ||
	    instance_end - text > REQUEST_ID_INSTANCE_MAX)
		goto out;
	incarnation = g_strndup(instance_end + 1,
				(gsize)(incarnation_end - instance_end - 1));
	if (!g_ascii_string_to_unsigned(incarnation, 10, 0, G_MAXUINT64,
					&id->incarnation, NULL) ||
	    !g_ascii_string_to_unsigned(incarnation_end + 1, 10, 0, G_MAXUINT64,
					&id->sequence, NULL))
		goto out;
	memcpy(id->instance, text, (size_t)(instance_end - text));
	id->instance[instance_end - text] = '\0';
	ok = TRUE;
out:
	if (!ok)
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "request id \"%.64s\" is not of the form "
			       "instance.incarnation.sequence: use an id from "
			       "/v1/resolve",
			       text);
	g_free(incarnation);
	return ok;
}

request_ids_t *request_ids_new(const request_ids_limits_t *limits,
			       counters_t *counters)
{
	request_ids_t *ids = g_new0(request_ids_t, 1);

	g_assert(limits->block_size >= 1 && limits->block_size <= 65536);
	g_assert(limits->lifetime > 0 && limits->retention >= 0);
	ids->limits = *limits;
	ids->counters = counters;
	ids->last_expiry = CATK_NEVER;
	TAILQ_INIT(&ids->blocks);
	TAILQ_INIT(&ids->held);
	ids->block_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	ids->record_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	return ids;
}

static void drop_answer(request_ids_t *ids, record_t *record)
{
	TAILQ_REMOVE(&ids->held, record, in_held);
	ids->answer_bytes -= g_bytes_get_size(record->answer.body);
	g_clear_pointer(&record->answer.body, g_bytes_unref);
	record->state = RECORD_ANSWER_DROPPED;
}

static gboolean is_in_progress(const record_t *record)
{
	return record->state == RECORD_IN_PROGRESS ||
	       record->state == RECORD_DISPATCHED;
}

static void record_free(request_ids_t *ids, record_t *record)
{
	if (record->state == RECORD_ANSWERED)
		drop_answer(ids, record);
	if (is_in_progress(record))
		ids->in_progress--;
	g_hash_table_remove(ids->record_index, &record->sequence);
	LIST_REMOVE(record, in_block);
	g_free(record);
}

static void block_free(request_ids_t *ids, block_t *block)
{
	while (!LIST_EMPTY(&block->records))
		record_free(ids, LIST_FIRST(&block->records));
	g_hash_table_remove(ids->block_index, &block->number);
	TAILQ_REMOVE(&ids->blocks, block, link);
	g_free(block);
}

void request_ids_free(request_ids_t *ids)
{
	if (!ids)
		return;
	while (!TAILQ_EMPTY(&ids->blocks))
		block_free(ids, TAILQ_FIRST(&ids->blocks));
	g_hash_table_destroy(ids->block_index);
	g_hash_table_destroy(ids->record_index);
	g_free(ids);
}

request_id_block_t request_ids_issue(request_ids_t *ids, GTimeSpan now)
{
	block_t *block = g_new0(block_t, 1);
	request_id_block_t issued;

	block->number = ids->next_block++;
	block->expiry = now + ids->limits.lifetime;
	LIST_INIT(&block->records);
	TAILQ_INSERT_TAIL(&ids->blocks, block, link);
	g_hash_table_insert(ids->block_index, &block->number, block);
	ids->last_expiry = block->expiry;
	counters_add(ids->counters, COUNTER_IDS_ISSUED, ids->limits.block_size);

	issued.first = block->number * ids->limits.block_size;
	issued.count = ids->limits.block_size;
	issued.expires_in = ids->limits.lifetime;
	return issued;
}

static block_t *find_block(const request_ids_t *ids, guint64 sequence)
{
	guint64 number = sequence / ids->limits.block_size;

	return g_hash_table_lookup(ids->block_index, &number);
}

static record_t *add_record(request_ids_t *ids, block_t *block,
			    guint64 sequence, guint64 fingerprint)
{
	record_t *record = g_new0(record_t, 1);

	record->sequence = sequence;
	record->fingerprint = fingerprint;
	record->state = RECORD_IN_PROGRESS;
	LIST_INSERT_HEAD(&block->records, record, in_block);
	g_hash_table_insert(ids->record_index, &record->sequence, record);
	ids->in_progress++;
	return record;
}

static request_id_state_t state_of_record(const record_t *record,
					  const held_answer_t **answer)
{
	switch (record->state) {
	case RECORD_IN_PROGRESS:
	case RECORD_DISPATCHED:
		return REQUEST_ID_IN_PROGRESS;
	case RECORD_ANSWERED:
		*answer = &record->answer;
		return REQUEST_ID_ANSWERED;
	case RECORD_ANSWER_DROPPED:
		return REQUEST_ID_ANSWER_DROPPED;
	case RECORD_SEALED:
		return REQUEST_ID_SEALED;
	case RECORD_OUTCOME_UNKNOWN:
		break;
	}
	return REQUEST_ID_OUTCOME_UNKNOWN;
}

request_id_state_t request_ids_begin(request_ids_t *ids, guint64 sequence,
				     guint64 fingerprint, GTimeSpan now,
				     const held_answer_t **answer)
{
	record_t *record = g_hash_table_lookup(ids->record_index, &sequence);
	block_t *block;

	if (record && record->fingerprint != fingerprint)
		return REQUEST_ID_CONFLICT;
	if (record)
		return state_of_record(record, answer);
	if (sequence / ids->limits.block_size >= ids->next_block)
		return REQUEST_ID_NOT_ISSUED;
	block = find_block(ids, sequence);
	if (!block || now >= block->expiry + ids->limits.retention)
		return REQUEST_ID_PURGED;
	if (now >= block->expiry)
		return REQUEST_ID_EXPIRED;
	add_record(ids, block, sequence, fingerprint);
	return REQUEST_ID_NEW;
}

gboolean request_ids_has_record(const request_ids_t *ids, guint64 sequence)
{
	return g_hash_table_contains(ids->record_index, &sequence);
}

static record_t *find_in_progress(request_ids_t *ids, guint64 sequence)
{
	record_t *record = g_hash_table_lookup(ids->record_index, &sequence);

	g_assert(!record || is_in_progress(record));
	return record;
}

gboolean request_ids_dispatch(request_ids_t *ids, guint64 sequence,
			      GTimeSpan now)
{
	record_t *record = g_hash_table_lookup(ids->record_index, &sequence);
	block_t *block = find_block(ids, sequence);

	if (!record || record->state != RECORD_IN_PROGRESS || !block ||
	    now >= block->expiry)
		return FALSE;
	record->state = RECORD_DISPATCHED;
	return TRUE;
}

void request_ids_revoke_dispatch(request_ids_t *ids, guint64 sequence)
{
	record_t *record = find_in_progress(ids, sequence);

	if (record)
		record->state = RECORD_IN_PROGRESS;
}

static void end_record(request_ids_t *ids, record_t *record,
		       record_state_t state)
{
	record->state = state;
	ids->in_progress--;
}

void request_ids_seal(request_ids_t *ids, guint64 sequence)
{
	record_t *record = find_in_progress(ids, sequence);

	if (!record)
		return;
	g_assert(record->state == RECORD_IN_PROGRESS);
	end_record(ids, record, RECORD_SEALED);
	counters_add(ids->counters, COUNTER_IDS_SEALED, 1);
}

void request_ids_complete(request_ids_t *ids, guint64 sequence, guint status,
			  GBytes *body)
{
	record_t *record = find_in_progress(ids, sequence);

	if (!record)
		return;
	end_record(ids, record, RECORD_ANSWERED);
	record->answer.status = status;
	record->answer.body = g_bytes_ref(body);
	ids->answer_bytes += g_bytes_get_size(body);
	TAILQ_INSERT_TAIL(&ids->held, record, in_held);
	while (ids->answer_bytes > ids->limits.answer_bytes_max) {
		drop_answer(ids, TAILQ_FIRST(&ids->held));
		counters_add(ids->counters, COUNTER_ANSWERS_EVICTED, 1);
	}
}

void request_ids_end_unknown(request_ids_t *ids, guint64 sequence)
{
	record_t *record = find_in_progress(ids, sequence);

	if (record)
		end_record(ids, record, RECORD_OUTCOME_UNKNOWN);
}

void request_ids_expire(request_ids_t *ids, GTimeSpan now)
{
	block_t *block = TAILQ_FIRST(&ids->blocks);

	while (block && now >= block->expiry + ids->limits.retention) {
		block_free(ids, block);
		block = TAILQ_FIRST(&ids->blocks);
	}
}

GTimeSpan request_ids_last_expiry(const request_ids_t *ids)
{
	return ids->last_expiry;
}

request_ids_stats_t request_ids_stats(const request_ids_t *ids)
{
	request_ids_stats_t stats = { 0 };

	stats.blocks = g_hash_table_size(ids->block_index);
	stats.records = g_hash_table_size(ids->record_index);
	stats.in_progress = ids->in_progress;
	stats.answer_bytes = ids->answer_bytes;
	return stats;
}
