/* Limits, members, and the periodic work of a quota. */
#include "lib/quota/quota_internal.h"

#include <string.h>
#include <xxhash.h>

/* Owners are compared at least this often, as a handover may have ended. */
#define UPDATE_INTERVAL (1 * G_TIME_SPAN_SECOND)
/*
 * Messages of a whole fleet within the time of QUOTA_CONTACT_SLOTS: one ping of
 * its own answered and one received per 0.4 s, 15 on average. A part of the
 * fleet sees fewer in proportion. Fewer than 9 occur by chance in 1 of 200.
 */
#define CONTACTS_EXPECTED 9

static guint64 hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

quota_t *quota_new(const char *self, const quota_options_t *options,
		   const quota_actions_t *actions, counters_t *counters,
		   GTimeSpan now)
{
	quota_t *quota = g_new0(quota_t, 1);

	g_assert(options->window > 0);
	quota->options = *options;
	quota->actions = *actions;
	quota->counters = counters;
	quota->self = hash_name(self);
	TAILQ_INIT(&quota->limits);
	TAILQ_INIT(&quota->asking);
	TAILQ_INIT(&quota->busy);
	quota->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	quota->members = g_array_new(FALSE, FALSE, sizeof(quota_member_t));
	quota->worst = 1;
	quota->last_call = now;
	quota->started = now;
	quota->next_update = now;
	return quota;
}

static void limit_free(quota_t *quota, quota_limit_t *limit)
{
	g_assert(!limit->items);
	g_hash_table_remove(quota->by_name, limit->name);
	TAILQ_REMOVE(&quota->limits, limit, link);
	if (limit->ask_due)
		TAILQ_REMOVE(&quota->asking, limit, asking);
	quota_owner_free(limit);
	g_free(limit->name);
	g_free(limit);
}

void quota_free(quota_t *quota)
{
	if (!quota)
		return;
	while (!TAILQ_EMPTY(&quota->limits))
		limit_free(quota, TAILQ_FIRST(&quota->limits));
	g_hash_table_destroy(quota->by_name);
	g_array_unref(quota->members);
	g_free(quota);
}

void quota_begin_limits(quota_t *quota)
{
	quota_limit_t *limit;

	TAILQ_FOREACH (limit, &quota->limits, link)
		limit->declared = FALSE;
}

static quota_limit_t *add_limit(quota_t *quota, const char *name)
{
	quota_limit_t *limit = g_new0(quota_limit_t, 1);

	limit->name = g_strdup(name);
	TAILQ_INIT(&limit->waiting);
	TAILQ_INSERT_TAIL(&quota->limits, limit, link);
	g_hash_table_insert(quota->by_name, limit->name, limit);
	return limit;
}

void quota_set_limit(quota_t *quota, const char *name, double rate,
		     double burst, GTimeSpan now)
{
	quota_limit_t *limit = g_hash_table_lookup(quota->by_name, name);

	if (!(rate > 0))
		return;
	if (!limit)
		limit = add_limit(quota, name);
	limit->declared = TRUE;
	if (limit->rate == rate && limit->burst == burst)
		return;
	quota_owner_set_limit(quota, limit, rate, burst, now);
	limit->shard = (guint)(quota->self % limit->shard_count);
}

/* Those whose tokens are still in use are kept. */
static void free_unused_limits(quota_t *quota)
{
	quota_limit_t *limit, *next;

	TAILQ_FOREACH_SAFE (limit, &quota->limits, link, next)
		if (!limit->declared && !limit->items)
			limit_free(quota, limit);
}

void quota_end_limits(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit, *next;

	TAILQ_FOREACH_SAFE (limit, &quota->limits, link, next) {
		if (limit->declared)
			continue;
		quota_owner_set_limit(quota, limit, 0, 0, now);
		quota_holder_decide(quota, limit, now);
	}
	free_unused_limits(quota);
	quota_owner_update(quota, now);
}

void quota_begin_members(quota_t *quota)
{
	g_array_set_size(quota->members, 0);
	quota->live = 0;
}

void quota_add_member(quota_t *quota, const char *name, const char *address,
		      quota_member_state_t state)
{
	quota_member_t member = { .hash = hash_name(name), .state = state };

	g_strlcpy(member.address, address, sizeof(member.address));
	member.self = member.hash == quota->self;
	quota->live += state == QUOTA_MEMBER_LIVE;
	g_array_append_val(quota->members, member);
}

static guint64 members_hash(const quota_t *quota)
{
	guint64 hash = 0;
	guint i;

	for (i = 0; i < quota->members->len; i++) {
		const quota_member_t *member =
			&g_array_index(quota->members, quota_member_t, i);

		hash += member->hash *
			(member->state == QUOTA_MEMBER_LEAVING ? 3 : 1);
	}
	return hash;
}

static gint64 slot_of(GTimeSpan now)
{
	return now / QUOTA_CONTACT_SLOT_TIME;
}

static void forget_old_contacts(quota_t *quota, GTimeSpan now)
{
	gint64 slot = slot_of(now);

	if (slot - quota->contact_slot > QUOTA_CONTACT_SLOTS)
		quota->contact_slot = slot - QUOTA_CONTACT_SLOTS;
	while (quota->contact_slot < slot)
		quota->contacts[++quota->contact_slot % QUOTA_CONTACT_SLOTS] =
			0;
}

void quota_record_contact(quota_t *quota, GTimeSpan now)
{
	forget_old_contacts(quota, now);
	quota->contacts[quota->contact_slot % QUOTA_CONTACT_SLOTS]++;
}

static double contact_share(quota_t *quota, GTimeSpan now)
{
	guint sum = 0;
	guint i;

	if (quota->worst <= 1)
		return 1;
	forget_old_contacts(quota, now);
	for (i = 0; i < QUOTA_CONTACT_SLOTS; i++)
		sum += quota->contacts[i];
	return MIN((double)sum / CONTACTS_EXPECTED, 1);
}

/*
 * A fall of the share counts at once. A rise counts only after the time in which
 * other owners of the same shards learn of it.
 */
static double lowest_share(quota_t *quota, double share, GTimeSpan now)
{
	gint64 slot = slot_of(now);
	guint i;

	if (slot - quota->share_slot > QUOTA_SHARE_SLOTS)
		quota->share_slot = slot - QUOTA_SHARE_SLOTS;
	while (quota->share_slot < slot)
		quota->shares[++quota->share_slot % QUOTA_SHARE_SLOTS] = share;
	i = (guint)(slot % QUOTA_SHARE_SLOTS);
	quota->shares[i] = MIN(quota->shares[i], share);
	for (i = 0; i < QUOTA_SHARE_SLOTS; i++)
		share = MIN(share, quota->shares[i]);
	return share;
}

/*
 * While this instance was out of contact with most of the fleet, others may have
 * taken over its shards: it starts again as if it took them over.
 */
static void check_contact(quota_t *quota, GTimeSpan now)
{
	gboolean out = quota->share < 0.5;

	if (quota->out_of_contact && !out)
		quota_owner_reset(quota, now);
	quota->out_of_contact = out;
}

void quota_end_members(quota_t *quota, guint worst, GTimeSpan now)
{
	guint64 hash = members_hash(quota);
	double share;

	quota_owner_fill(quota, now);
	quota->worst = MAX(worst, MAX(quota->live, 1));
	share = lowest_share(quota, (double)quota->live / quota->worst, now);
	quota->share = MIN(share, contact_share(quota, now));
	check_contact(quota, now);
	if (hash == quota->members_hash && now < quota->next_update)
		return;
	quota->members_hash = hash;
	quota->next_update = now + UPDATE_INTERVAL;
	free_unused_limits(quota);
	quota_owner_update(quota, now);
}

void quota_check_pause(quota_t *quota, GTimeSpan now)
{
	GTimeSpan since = now - quota->last_call;

	quota->last_call = now;
	if (since < QUOTA_PAUSE_THRESHOLD)
		return;
	memset(quota->contacts, 0, sizeof(quota->contacts));
	quota_owner_reset(quota, now);
	if (quota->actions.log)
		LOG_EVENT(quota->actions.log, "quota_paused",
			  LOG_NUMBER("pause_us", since));
}

static gboolean is_valid_ask(const quota_ask_t *ask)
{
	guint i;

	for (i = 0; i < ask->count; i++)
		if (strlen(ask->requests[i].name) > QUOTA_NAME_MAX)
			return FALSE;
	return ask->count <= QUOTA_ITEMS_MAX;
}

void quota_receive_ask(quota_t *quota, guint64 connection,
		       const quota_ask_t *ask, GTimeSpan now)
{
	quota_answer_t answer = { .sent = ask->sent, .count = ask->count };
	quota_grant_t *grants;
	guint i;

	quota_check_pause(quota, now);
	if (!is_valid_ask(ask))
		return;
	grants = g_new(quota_grant_t, ask->count);
	for (i = 0; i < ask->count; i++)
		grants[i] = quota_owner_answer(quota, &ask->requests[i], now);
	answer.grants = grants;
	counters_add(quota->counters, COUNTER_QUOTA_MESSAGES, 1);
	quota->actions.send_answer(quota->actions.ctx, connection, &answer);
	g_free(grants);
}

void quota_tick(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit, *next;

	quota_check_pause(quota, now);
	TAILQ_FOREACH_SAFE (limit, &quota->busy, busy, next)
		quota_holder_expire(quota, limit, now);
	quota_holder_send(quota, now);
}

GTimeSpan quota_next_wakeup(const quota_t *quota)
{
	GTimeSpan wakeup = CATK_NEVER;
	const quota_limit_t *limit;

	TAILQ_FOREACH (limit, &quota->asking, asking)
		wakeup = MIN(wakeup, limit->next_ask);
	TAILQ_FOREACH (limit, &quota->busy, busy)
		wakeup = MIN(wakeup, TAILQ_FIRST(&limit->waiting)->wait_until);
	return wakeup;
}

static void dump_bucket(const quota_limit_t *limit, guint shard,
			const dump_writer_t *w, GTimeSpan now)
{
	const quota_bucket_t *bucket = limit->shards[shard].bucket;

	w->begin_object(w->ctx, NULL);
	w->integer(w->ctx, "shard", shard);
	w->number(w->ctx, "level", bucket->level);
	w->integer(w->ctx, "starts_in_us", MAX(bucket->start_at - now, 0));
	w->integer(w->ctx, "granted", (gint64)bucket->granted);
	w->integer(w->ctx, "refused", (gint64)bucket->refused);
	w->end_object(w->ctx);
}

void quota_dump(quota_t *quota, const dump_writer_t *w, GTimeSpan now)
{
	const quota_limit_t *limit;
	guint i;

	w->begin_object(w->ctx, "quota");
	w->integer(w->ctx, "instances_at_worst", quota->worst);
	w->number(w->ctx, "share_in_contact", quota->share);
	w->begin_array(w->ctx, "limits");
	TAILQ_FOREACH (limit, &quota->limits, link) {
		w->begin_object(w->ctx, NULL);
		w->string(w->ctx, "organisation", limit->name);
		w->number(w->ctx, "rate_per_s", limit->rate);
		w->number(w->ctx, "burst", limit->burst);
		w->integer(w->ctx, "waiting", limit->waiting_count);
		w->integer(w->ctx, "refused", (gint64)limit->refused);
		w->begin_array(w->ctx, "owned");
		for (i = 0; i < limit->shard_count; i++)
			if (limit->shards[i].owned)
				dump_bucket(limit, i, w, now);
		w->end_array(w->ctx);
		w->end_object(w->ctx);
	}
	w->end_array(w->ctx);
	w->end_object(w->ctx);
}
