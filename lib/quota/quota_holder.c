/* The holder of leases: requests take tokens or wait for the owner's answer. */
#include "lib/quota/quota_internal.h"

#include <string.h>

/* Demand for which a holder asks in advance. */
#define AHEAD (100 * G_TIME_SPAN_MILLISECOND)
/* Time without any answer after which a holder uses its own share. */
#define FALLBACK_AFTER (3 * G_TIME_SPAN_SECOND)
/* Requests with a longer time between them are not one series. */
#define SERIES_GAP (1 * G_TIME_SPAN_SECOND)
/* Delay for clients that were refused because an owner did not answer. */
#define NO_CONTACT_RETRY_AFTER (200 * G_TIME_SPAN_MILLISECOND)
/* Time between log events about the same limit. */
#define LOG_INTERVAL (10 * G_TIME_SPAN_SECOND)
/* Shards asked for the same requests before they are refused. */
#define TRIES_MAX 2

static void unlink_item(quota_t *quota, quota_item_t *item)
{
	quota_limit_t *limit = item->limit;

	if (!item->waiting)
		return;
	TAILQ_REMOVE(&limit->waiting, item, link);
	item->waiting = FALSE;
	if (!--limit->waiting_count)
		TAILQ_REMOVE(&quota->busy, limit, busy);
}

static void release_item(quota_t *quota, quota_item_t *item)
{
	unlink_item(quota, item);
	item->limit->items--;
	item->limit = NULL;
}

static void add_lease(quota_limit_t *limit, GTimeSpan valid_until, guint count)
{
	quota_lease_t *free_lease = NULL;
	guint i;

	for (i = 0; i < QUOTA_LEASES_MAX; i++) {
		quota_lease_t *lease = &limit->leases[i];

		if (lease->count && lease->valid_until == valid_until) {
			lease->count += count;
			return;
		}
		if (!lease->count)
			free_lease = lease;
	}
	/* Without room the tokens lapse. */
	if (free_lease)
		*free_lease = (quota_lease_t){ valid_until, count };
}

/* Takes the token that lapses first; returns its end, 0 without a token. */
static GTimeSpan take_token(quota_limit_t *limit, GTimeSpan now)
{
	quota_lease_t *best = NULL;
	guint i;

	for (i = 0; i < QUOTA_LEASES_MAX; i++) {
		quota_lease_t *lease = &limit->leases[i];

		if (lease->valid_until <= now)
			lease->count = 0;
		if (lease->count &&
		    (!best || lease->valid_until < best->valid_until))
			best = lease;
	}
	if (!best)
		return 0;
	best->count--;
	return best->valid_until;
}

/* This instance's share of the rate, while no owner answers. */
static GTimeSpan take_fallback(const quota_t *quota, quota_limit_t *limit,
			       GTimeSpan now)
{
	double seconds;

	if (!limit->unanswered_since || now > limit->last_asked + SERIES_GAP ||
	    now < limit->unanswered_since + FALLBACK_AFTER) {
		limit->fallback = 0;
		limit->fallback_at = now;
		return 0;
	}
	seconds = (double)(now - limit->fallback_at) / G_TIME_SPAN_SECOND;
	limit->fallback_at = now;
	limit->fallback += seconds * limit->rate / quota->worst;
	limit->fallback = MIN(limit->fallback, 1);
	if (limit->fallback < 1)
		return 0;
	limit->fallback -= 1;
	return now + QUOTA_LEASE;
}

static gboolean give_token(const quota_t *quota, quota_item_t *item,
			   GTimeSpan now)
{
	GTimeSpan valid_until = take_token(item->limit, now);

	if (!valid_until)
		valid_until = take_fallback(quota, item->limit, now);
	item->valid_until = valid_until;
	return valid_until > 0;
}

static void record_demand(quota_limit_t *limit, GTimeSpan now)
{
	double kept = 1 - (double)(now - limit->demand_at) / G_TIME_SPAN_SECOND;

	limit->demand = limit->demand * MAX(kept, 0) + 1;
	limit->demand_at = now;
}

static void schedule_ask(quota_t *quota, quota_limit_t *limit)
{
	if (limit->ask_due || limit->asked_at)
		return;
	limit->ask_due = TRUE;
	TAILQ_INSERT_TAIL(&quota->asking, limit, asking);
}

static void log_reached(const quota_t *quota, quota_limit_t *limit,
			GTimeSpan retry_after, GTimeSpan now)
{
	if (now < limit->next_log || !quota->actions.log)
		return;
	limit->next_log = now + LOG_INTERVAL;
	LOG_EVENT(quota->actions.log, "quota_reached",
		  LOG_TEXT("organisation", limit->name),
		  LOG_NUMBER("shard", limit->asked_shard),
		  LOG_NUMBER("refused", (gint64)limit->refused),
		  LOG_NUMBER("retry_after_us", retry_after));
}

static void decide(quota_t *quota, quota_item_t *item, quota_result_t result,
		   GTimeSpan retry_after)
{
	if (result == QUOTA_ADMITTED && item->limit->rate > 0) {
		unlink_item(quota, item);
	} else {
		if (result == QUOTA_REFUSED) {
			item->limit->refused++;
			counters_add(quota->counters, COUNTER_QUOTA_REFUSED, 1);
		} else if (result == QUOTA_NO_CONTACT) {
			counters_add(quota->counters, COUNTER_QUOTA_NO_CONTACT,
				     1);
		}
		release_item(quota, item);
	}
	quota->actions.decided(quota->actions.ctx, item, result, retry_after);
}

/* Serves those that wait, oldest first; items that join meanwhile wait on. */
static void serve_waiting(quota_t *quota, quota_limit_t *limit, GTimeSpan now)
{
	guint count = limit->waiting_count;

	for (; count && limit->waiting_count; count--) {
		quota_item_t *item = TAILQ_FIRST(&limit->waiting);

		if (limit->rate > 0 && !give_token(quota, item, now))
			return;
		decide(quota, item, QUOTA_ADMITTED, 0);
	}
}

static void refuse_waiting(quota_t *quota, quota_limit_t *limit,
			   quota_result_t result, GTimeSpan retry_after)
{
	guint count = limit->waiting_count;

	for (; count && limit->waiting_count; count--)
		decide(quota, TAILQ_FIRST(&limit->waiting), result,
		       retry_after);
}

void quota_holder_decide(quota_t *quota, quota_limit_t *limit, GTimeSpan now)
{
	limit->items++;
	serve_waiting(quota, limit, now);
	limit->items--;
}

quota_result_t quota_take(quota_t *quota, quota_item_t *item, const char *name,
			  GTimeSpan now, GTimeSpan *retry_after)
{
	quota_limit_t *limit = g_hash_table_lookup(quota->by_name, name);

	g_assert(!item->waiting);
	*retry_after = 0;
	if (item->limit) {
		if (item->limit == limit && limit->rate > 0 &&
		    now < item->valid_until)
			return QUOTA_ADMITTED;
		quota_give_back(quota, item, now);
	}
	if (!limit || !(limit->rate > 0))
		return QUOTA_ADMITTED;
	record_demand(limit, now);
	item->limit = limit;
	limit->items++;
	/* Those that wait come first. */
	if (!limit->waiting_count && give_token(quota, item, now))
		return QUOTA_ADMITTED;
	if (limit->limited && now < limit->next_ask) {
		*retry_after = MAX(limit->retry_at - now, QUOTA_ASK_PAUSE_MIN);
		limit->refused++;
		counters_add(quota->counters, COUNTER_QUOTA_REFUSED, 1);
		release_item(quota, item);
		return QUOTA_REFUSED;
	}
	item->waiting = TRUE;
	item->wait_until = now + QUOTA_WAIT_MAX;
	TAILQ_INSERT_TAIL(&limit->waiting, item, link);
	if (!limit->waiting_count++)
		TAILQ_INSERT_TAIL(&quota->busy, limit, busy);
	schedule_ask(quota, limit);
	return QUOTA_WAITING;
}

void quota_spend(quota_t *quota, quota_item_t *item)
{
	if (item->limit)
		release_item(quota, item);
}

void quota_give_back(quota_t *quota, quota_item_t *item, GTimeSpan now)
{
	quota_limit_t *limit = item->limit;

	if (!limit)
		return;
	if (item->waiting || !(limit->rate > 0)) {
		release_item(quota, item);
		return;
	}
	release_item(quota, item);
	if (now < item->valid_until)
		add_lease(limit, item->valid_until, 1);
	else
		limit->returned++;
	counters_add(quota->counters, COUNTER_QUOTA_GIVEN_BACK, 1);
}

static void next_shard(quota_limit_t *limit)
{
	if (limit->shard_count > 1)
		limit->shard = (limit->shard + 1) % limit->shard_count;
}

/* The next request goes to another shard, which may have another owner. */
static void give_up_ask(quota_limit_t *limit, GTimeSpan next_ask)
{
	limit->asked_at = 0;
	limit->next_ask = next_ask;
	next_shard(limit);
}

void quota_holder_expire(quota_t *quota, quota_limit_t *limit, GTimeSpan now)
{
	quota_item_t *item;

	limit->items++;
	serve_waiting(quota, limit, now);
	if (limit->asked_at && now >= limit->asked_at + QUOTA_WAIT_MAX)
		give_up_ask(limit, now + QUOTA_ASK_PAUSE_MAX);
	while ((item = TAILQ_FIRST(&limit->waiting)) &&
	       now >= item->wait_until) {
		if (limit->tries)
			decide(quota, item, QUOTA_REFUSED,
			       MAX(limit->retry_at - now, QUOTA_ASK_PAUSE_MIN));
		else
			decide(quota, item, QUOTA_NO_CONTACT,
			       NO_CONTACT_RETRY_AFTER);
	}
	if (limit->waiting_count)
		schedule_ask(quota, limit);
	limit->items--;
}

static guint wanted_tokens(const quota_limit_t *limit, GTimeSpan now)
{
	double kept = 1 - (double)(now - limit->demand_at) / G_TIME_SPAN_SECOND;
	double demand = limit->demand * MAX(kept, 0);

	return limit->waiting_count +
	       (guint)(demand * AHEAD / G_TIME_SPAN_SECOND);
}

static void receive_grant(quota_t *quota, quota_limit_t *limit,
			  const quota_grant_t *grant, GTimeSpan sent,
			  GTimeSpan now)
{
	GTimeSpan retry_after = grant->retry_after;
	gboolean refused;

	limit->asked_at = 0;
	limit->next_ask = now + grant->ask_after;
	if (grant->kind == QUOTA_GRANT_NOT_OWNER) {
		/* The views of the members differ for a short time. */
		limit->limited = FALSE;
		schedule_ask(quota, limit);
		return;
	}
	limit->unanswered_since = 0;
	if (grant->granted)
		add_lease(limit, sent + QUOTA_LEASE, grant->granted);
	limit->items++;
	serve_waiting(quota, limit, now);
	refused = limit->waiting_count > 0 && retry_after > 0;
	/* One shard is not enough for a holder with a large part of the load. */
	if (retry_after > 0 || limit->demand > QUOTA_SHARD_RATE / 5)
		next_shard(limit);
	if (refused && limit->shard_count > 1 && ++limit->tries < TRIES_MAX &&
	    grant->ask_after < QUOTA_ASK_PAUSE_MAX / 2) {
		limit->retry_at = now + retry_after;
		limit->next_ask = now;
		schedule_ask(quota, limit);
	} else if (refused) {
		limit->tries = 0;
		log_reached(quota, limit, retry_after, now);
		limit->limited = TRUE;
		limit->retry_at = now + retry_after;
		refuse_waiting(quota, limit, QUOTA_REFUSED, retry_after);
	} else {
		limit->tries = 0;
		limit->limited = retry_after > 0;
		limit->retry_at = now + retry_after;
		if (limit->waiting_count)
			schedule_ask(quota, limit);
	}
	limit->items--;
}

void quota_receive_answer(quota_t *quota, const quota_answer_t *answer,
			  GTimeSpan now)
{
	guint i;

	quota_check_pause(quota, now);
	for (i = 0; i < answer->count; i++) {
		const quota_grant_t *grant = &answer->grants[i];
		quota_limit_t *limit =
			g_hash_table_lookup(quota->by_name, grant->name);

		if (!limit)
			continue;
		if (grant->kind == QUOTA_GRANT_RELEASED)
			quota_owner_claimed(quota, limit, grant->shard,
					    grant->level, now);
		else if (limit->asked_at &&
			 (guint64)limit->asked_at == answer->sent &&
			 limit->asked_shard == grant->shard)
			receive_grant(quota, limit, grant, limit->asked_at,
				      now);
	}
}

void quota_peer_lost(quota_t *quota, const char *address, GTimeSpan now)
{
	quota_limit_t *limit;

	TAILQ_FOREACH (limit, &quota->limits, link) {
		if (!limit->asked_at ||
		    strcmp(limit->asked_address, address) != 0)
			continue;
		give_up_ask(limit, now + QUOTA_ASK_PAUSE_MIN);
		if (limit->waiting_count)
			schedule_ask(quota, limit);
	}
}

/* Prepares the request of a limit; the owner's address may be empty. */
static quota_request_t start_ask(quota_t *quota, quota_limit_t *limit,
				 GTimeSpan now)
{
	const quota_request_t request = {
		.name = limit->name,
		.shard = limit->shard,
		.wanted = wanted_tokens(limit, now),
		.returned = limit->returned,
	};

	TAILQ_REMOVE(&quota->asking, limit, asking);
	limit->ask_due = FALSE;
	limit->returned = 0;
	limit->asked_at = now;
	limit->asked_shard = limit->shard;
	if (!limit->unanswered_since || now > limit->last_asked + SERIES_GAP)
		limit->unanswered_since = now;
	limit->last_asked = now;
	return request;
}

static void ask_self(quota_t *quota, quota_limit_t *limit, GTimeSpan now)
{
	quota_request_t request = start_ask(quota, limit, now);
	quota_grant_t grant = quota_owner_answer(quota, &request, now);

	receive_grant(quota, limit, &grant, now, now);
}

/* Sends one message with all due requests to the owner of the first one. */
static void ask_owner(quota_t *quota, const quota_member_t *owner,
		      GTimeSpan now)
{
	char address[QUOTA_ADDRESS_MAX + 1];
	quota_request_t requests[QUOTA_ITEMS_MAX];
	quota_ask_t ask = { .sent = (guint64)now, .requests = requests };
	quota_limit_t *limit, *next;

	g_strlcpy(address, owner->address, sizeof(address));
	TAILQ_FOREACH_SAFE (limit, &quota->asking, asking, next) {
		if (now < limit->next_ask || ask.count == QUOTA_ITEMS_MAX ||
		    quota_owner(quota, limit, limit->shard, FALSE) != owner)
			continue;
		requests[ask.count++] = start_ask(quota, limit, now);
		g_strlcpy(limit->asked_address, address,
			  sizeof(limit->asked_address));
	}
	counters_add(quota->counters, COUNTER_QUOTA_MESSAGES, 1);
	quota->actions.send_ask(quota->actions.ctx, address, &ask);
}

static quota_limit_t *first_due(const quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;

	TAILQ_FOREACH (limit, &quota->asking, asking)
		if (now >= limit->next_ask)
			return limit;
	return NULL;
}

static void drop_ask(quota_t *quota, quota_limit_t *limit)
{
	TAILQ_REMOVE(&quota->asking, limit, asking);
	limit->ask_due = FALSE;
}

void quota_holder_send(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;

	while ((limit = first_due(quota, now))) {
		const quota_member_t *owner =
			limit->rate > 0 && limit->waiting_count ?
				quota_owner(quota, limit, limit->shard, FALSE) :
				NULL;

		if (!owner)
			drop_ask(quota, limit);
		else if (owner->self)
			ask_self(quota, limit, now);
		else
			ask_owner(quota, owner, now);
	}
}
