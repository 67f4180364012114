/* The owner of a shard: its token bucket, takeover and handover. */
#include "lib/quota/quota_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Time from the takeover of a shard until its bucket is filled. The previous
 * owner may be alive in another part of the fleet; by then it has noticed that
 * this part is out of contact and fills its own bucket by its share only.
 */
#define TAKEOVER_DELAY (1500 * G_TIME_SPAN_MILLISECOND)
/* The same from the start of the process, which must learn the members. */
#define START_DELAY (3 * G_TIME_SPAN_SECOND)
/* The same when the whole fleet starts and no bucket existed before. */
#define FIRST_START_DELAY (2 * G_TIME_SPAN_SECOND)
/*
 * Time from the start of the process until it claims buckets. Before it knows
 * the members, it would claim those of owners that remain.
 */
#define CLAIM_DELAY (1 * G_TIME_SPAN_SECOND)
/* Time for which a shard that was handed over is not owned again. */
#define RELEASE_TIME (3 * G_TIME_SPAN_SECOND)
/* Difference of clocks and time from the check of a lease to the sending. */
#define LEASE_MARGIN (20 * G_TIME_SPAN_MILLISECOND)

/* Tokens per request of a holder; what waits there beyond is asked later. */
#define WANTED_MAX 1000

/* Requests of holders per second that an owner expects while it refuses some. */
#define ASKS_EXPECTED 64.0

/* Division of quota_allowance(); the rest is for two owners at once. */
#define OUTSTANDING_SHARE 0.6
#define TAKEOVER_SHARE 0.15 /* granted by an owner before it fills */
#define REFUND_SHARE 0.05 /* twice this per window */

double quota_allowance(const quota_t *quota, const quota_limit_t *limit)
{
	double window = (double)quota->options.window / G_TIME_SPAN_SECOND;

	return quota->options.overage * (limit->burst + limit->rate * window) +
	       quota->options.slack;
}

static double allowance_part(const quota_t *quota, const quota_limit_t *limit,
			     double part)
{
	return quota_allowance(quota, limit) * part / limit->shard_count;
}

/* Finaliser of SplitMix64. */
static guint64 mix(guint64 value)
{
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
	value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
	return value ^ (value >> 31);
}

const quota_member_t *quota_owner(const quota_t *quota,
				  const quota_limit_t *limit, guint shard,
				  gboolean others)
{
	guint64 key =
		XXH3_64bits_withSeed(limit->name, strlen(limit->name), shard);
	const quota_member_t *best = NULL;
	guint64 best_score = 0;
	guint i;

	for (i = 0; i < quota->members->len; i++) {
		const quota_member_t *member =
			&g_array_index(quota->members, quota_member_t, i);
		guint64 score = mix(member->hash ^ key);

		if (others ? member->self :
			     member->state == QUOTA_MEMBER_LEAVING)
			continue;
		if (best && score <= best_score)
			continue;
		best = member;
		best_score = score;
	}
	return best;
}

static gboolean is_owner(const quota_t *quota, const quota_limit_t *limit,
			 guint shard)
{
	const quota_member_t *owner = quota_owner(quota, limit, shard, FALSE);

	return owner && owner->self;
}

static double capacity(const quota_limit_t *limit)
{
	return MAX(limit->burst / limit->shard_count, 1);
}

static double fill_rate(const quota_t *quota, const quota_limit_t *limit)
{
	return limit->rate / limit->shard_count * quota->share;
}

/* Another part of the fleet may have an owner with the rest. */
static double capacity_in_contact(const quota_t *quota,
				  const quota_limit_t *limit)
{
	return MAX(capacity(limit) * quota->share, 1);
}

static void forget_old_grants(quota_bucket_t *bucket, GTimeSpan now)
{
	gint64 slot = now / QUOTA_SLOT_TIME;

	if (slot - bucket->slot >= QUOTA_SLOTS)
		bucket->slot = slot - QUOTA_SLOTS;
	while (bucket->slot < slot)
		bucket->outstanding[++bucket->slot % QUOTA_SLOTS] = 0;
}

static void fill(const quota_t *quota, const quota_limit_t *limit,
		 quota_bucket_t *bucket, GTimeSpan now)
{
	GTimeSpan from = MAX(bucket->filled_at, bucket->start_at);
	double refunds_max = allowance_part(quota, limit, REFUND_SHARE);
	double seconds;

	forget_old_grants(bucket, now);
	if (now <= from)
		return;
	seconds = (double)(now - from) / G_TIME_SPAN_SECOND;
	bucket->filled_at = now;
	bucket->level = MIN(bucket->level + seconds * fill_rate(quota, limit),
			    capacity_in_contact(quota, limit));
	bucket->backlog =
		MAX(bucket->backlog - seconds * fill_rate(quota, limit), 0);
	bucket->refunds = MIN(bucket->refunds + seconds * refunds_max *
							G_TIME_SPAN_SECOND /
							quota->options.window,
			      refunds_max);
}

static double outstanding(const quota_bucket_t *bucket)
{
	double sum = 0;
	guint i;

	G_STATIC_ASSERT((QUOTA_SLOTS - 1) * QUOTA_SLOT_TIME >=
			QUOTA_LEASE + LEASE_MARGIN);
	for (i = 0; i < QUOTA_SLOTS; i++)
		sum += bucket->outstanding[i];
	return sum;
}

/* Alone in a fleet of one instance. */
static gboolean is_only_instance(const quota_t *quota)
{
	return quota->worst <= 1 && quota->members->len <= 1;
}

static GTimeSpan start_of_filling(const quota_t *quota, GTimeSpan now)
{
	if (is_only_instance(quota))
		return now;
	if (quota->options.first_start &&
	    now < quota->started + FIRST_START_DELAY)
		return quota->started + FIRST_START_DELAY;
	return MAX(now + TAKEOVER_DELAY, quota->started + START_DELAY);
}

/*
 * Tokens with which a takeover begins. While this instance does not know the
 * others, many may take over the same shard.
 */
static double takeover_level(const quota_t *quota, const quota_limit_t *limit,
			     GTimeSpan now)
{
	if (is_only_instance(quota) && quota->options.first_start)
		return capacity(limit);
	if (now < quota->started + START_DELAY || quota->share < 0.5)
		return 0;
	return MIN(allowance_part(quota, limit, TAKEOVER_SHARE),
		   capacity(limit));
}

static void send_claim(quota_t *quota, const quota_limit_t *limit, guint shard,
		       GTimeSpan now)
{
	quota_bucket_t *bucket = limit->shards[shard].bucket;
	const quota_member_t *previous = quota_owner(quota, limit, shard, TRUE);
	const quota_request_t request = {
		.name = limit->name,
		.shard = shard,
		.claim = TRUE,
	};
	const quota_ask_t ask = {
		.sent = (guint64)now,
		.count = 1,
		.requests = &request,
	};

	if (bucket->claimed || now < quota->started + CLAIM_DELAY ||
	    now >= bucket->start_at || !previous || !previous->address[0])
		return;
	bucket->claimed = TRUE;
	counters_add(quota->counters, COUNTER_QUOTA_MESSAGES, 1);
	quota->actions.send_ask(quota->actions.ctx, previous->address, &ask);
}

static void take_over(quota_t *quota, quota_limit_t *limit, guint shard,
		      GTimeSpan now)
{
	quota_bucket_t *bucket = g_new0(quota_bucket_t, 1);

	g_free(limit->shards[shard].bucket);
	limit->shards[shard].bucket = bucket;
	limit->shards[shard].owned = TRUE;
	bucket->slot = now / QUOTA_SLOT_TIME;
	bucket->filled_at = now;
	bucket->start_at = start_of_filling(quota, now);
	bucket->level = takeover_level(quota, limit, now);
	counters_add(quota->counters, COUNTER_QUOTA_TAKEOVERS, 1);
	if (quota->actions.log)
		LOG_EVENT(quota->actions.log, "quota_owner_changed",
			  LOG_TEXT("organisation", limit->name),
			  LOG_NUMBER("shard", shard),
			  LOG_NUMBER("starts_in_us", bucket->start_at - now));
}

static void update_shard(quota_t *quota, quota_limit_t *limit, guint index,
			 GTimeSpan now)
{
	quota_shard_t *shard = &limit->shards[index];

	if (now >= shard->released_until && is_owner(quota, limit, index)) {
		if (!shard->owned)
			take_over(quota, limit, index, now);
		send_claim(quota, limit, index, now);
		return;
	}
	if (shard->owned) {
		shard->owned = FALSE;
		shard->lost_at = now;
	}
	/* The new owner may claim the bucket for a short time. */
	if (now >= shard->lost_at + RELEASE_TIME)
		g_clear_pointer(&shard->bucket, g_free);
}

static void fill_first_buckets(const quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;
	guint i;

	TAILQ_FOREACH (limit, &quota->limits, link)
		for (i = 0; i < limit->shard_count; i++)
			if (limit->shards[i].owned) {
				fill(quota, limit, limit->shards[i].bucket,
				     now);
				limit->shards[i].bucket->level =
					capacity(limit);
			}
}

void quota_owner_update(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;
	guint i;

	TAILQ_FOREACH (limit, &quota->limits, link)
		for (i = 0; i < limit->shard_count; i++)
			update_shard(quota, limit, i, now);
	if (!quota->options.first_start || quota->filled_first ||
	    now < quota->started + FIRST_START_DELAY)
		return;
	quota->filled_first = TRUE;
	/* A single instance filled them when it took over. */
	if (!is_only_instance(quota))
		fill_first_buckets(quota, now);
}

void quota_owner_fill(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;
	guint i;

	TAILQ_FOREACH (limit, &quota->limits, link)
		for (i = 0; i < limit->shard_count; i++)
			if (limit->shards[i].bucket)
				fill(quota, limit, limit->shards[i].bucket,
				     now);
}

void quota_owner_reset(quota_t *quota, GTimeSpan now)
{
	quota_limit_t *limit;
	guint i;

	TAILQ_FOREACH (limit, &quota->limits, link)
		for (i = 0; i < limit->shard_count; i++) {
			quota_bucket_t *bucket = limit->shards[i].bucket;

			if (!bucket)
				continue;
			bucket->level = 0;
			bucket->claimed = FALSE;
			bucket->filled_at = now;
			bucket->start_at = start_of_filling(quota, now);
		}
}

void quota_owner_set_limit(quota_t *quota, quota_limit_t *limit, double rate,
			   double burst, GTimeSpan now)
{
	guint count = (guint)CLAMP(ceil(rate / QUOTA_SHARD_RATE), 1,
				   QUOTA_SHARDS_MAX);
	guint i;

	if (!(rate > 0))
		count = 0;
	for (i = 0; i < limit->shard_count; i++)
		if (limit->shards[i].bucket)
			fill(quota, limit, limit->shards[i].bucket, now);
	for (i = count; i < limit->shard_count; i++)
		g_free(limit->shards[i].bucket);
	limit->shards = g_renew(quota_shard_t, limit->shards, count);
	for (i = limit->shard_count; i < count; i++)
		limit->shards[i] = (quota_shard_t){ 0 };
	limit->shard_count = count;
	limit->rate = rate;
	limit->burst = burst;
	for (i = 0; i < count; i++)
		if (limit->shards[i].bucket)
			limit->shards[i].bucket->level =
				MIN(limit->shards[i].bucket->level,
				    capacity(limit));
}

static void accept_refunds(quota_bucket_t *bucket, const quota_limit_t *limit,
			   guint returned)
{
	double accepted = MIN((double)returned, bucket->refunds);

	bucket->refunds -= accepted;
	bucket->level = MIN(bucket->level + accepted, capacity(limit));
}

/* Expected time until a bucket has tokens for what it refused. */
static GTimeSpan time_to_fill(const quota_t *quota, const quota_limit_t *limit,
			      double tokens)
{
	double rate = fill_rate(quota, limit);
	double seconds = rate > 0 ? tokens / rate : 1;

	return (GTimeSpan)CLAMP(seconds * G_TIME_SPAN_SECOND,
				(double)QUOTA_ASK_PAUSE_MIN,
				(double)quota->options.window);
}

static void record_ask(quota_bucket_t *bucket, GTimeSpan now)
{
	double kept = 1 - (double)(now - bucket->asked_at) / G_TIME_SPAN_SECOND;

	bucket->asks = bucket->asks * MAX(kept, 0) + 1;
	bucket->asked_at = now;
}

/*
 * Many holders pause long, to bound the owner's load. A few pause briefly, as
 * they need many tokens each and their leases are short.
 */
static GTimeSpan ask_pause(const quota_bucket_t *bucket)
{
	double pause = QUOTA_ASK_PAUSE_MAX * bucket->asks / ASKS_EXPECTED;

	return (GTimeSpan)CLAMP(pause, (double)QUOTA_ASK_PAUSE_MIN,
				(double)QUOTA_ASK_PAUSE_MAX);
}

static void grant_tokens(quota_t *quota, const quota_limit_t *limit,
			 quota_bucket_t *bucket, guint wanted,
			 quota_grant_t *grant)
{
	double outstanding_max =
		MAX(allowance_part(quota, limit, OUTSTANDING_SHARE), 1);
	double available =
		MIN(bucket->level, outstanding_max - outstanding(bucket));

	if (available >= 1)
		grant->granted = (guint)MIN((double)wanted, available);
	bucket->level -= grant->granted;
	bucket->granted += grant->granted;
	bucket->outstanding[bucket->slot % QUOTA_SLOTS] += grant->granted;
	if (grant->granted == wanted)
		return;
	bucket->refused += wanted - grant->granted;
	bucket->backlog += wanted - grant->granted;
	grant->retry_after = time_to_fill(quota, limit, bucket->backlog);
	grant->ask_after = ask_pause(bucket);
}

static void release(quota_t *quota, const quota_limit_t *limit,
		    quota_shard_t *shard, quota_grant_t *grant, GTimeSpan now)
{
	quota_bucket_t *bucket = shard->bucket;

	shard->released_until = now + RELEASE_TIME;
	shard->owned = FALSE;
	shard->lost_at = now;
	if (!bucket)
		return;
	fill(quota, limit, bucket, now);
	/* One that has not started itself has nothing to hand over. */
	if (now >= bucket->start_at) {
		grant->kind = QUOTA_GRANT_RELEASED;
		grant->level = bucket->level;
	}
	g_clear_pointer(&shard->bucket, g_free);
}

quota_grant_t quota_owner_answer(quota_t *quota, const quota_request_t *request,
				 GTimeSpan now)
{
	quota_limit_t *limit =
		g_hash_table_lookup(quota->by_name, request->name);
	quota_grant_t grant = {
		.name = request->name,
		.shard = request->shard,
		.kind = QUOTA_GRANT_NOT_OWNER,
		.retry_after = QUOTA_ASK_PAUSE_MAX,
		.ask_after = QUOTA_ASK_PAUSE_MIN,
	};
	quota_shard_t *shard;
	guint wanted = MIN(request->wanted, WANTED_MAX);

	if (!limit || request->shard >= limit->shard_count)
		return grant;
	shard = &limit->shards[request->shard];
	if (request->claim) {
		release(quota, limit, shard, &grant, now);
		return grant;
	}
	if (!shard->owned)
		return grant;
	grant.kind = QUOTA_GRANT_TOKENS;
	grant.retry_after = 0;
	grant.ask_after = 0;
	fill(quota, limit, shard->bucket, now);
	record_ask(shard->bucket, now);
	accept_refunds(shard->bucket, limit, request->returned);
	grant_tokens(quota, limit, shard->bucket, wanted, &grant);
	return grant;
}

void quota_owner_claimed(quota_t *quota, quota_limit_t *limit, guint shard,
			 double level, GTimeSpan now)
{
	quota_bucket_t *bucket;

	if (shard >= limit->shard_count || !limit->shards[shard].owned)
		return;
	bucket = limit->shards[shard].bucket;
	/* Not asked for, or asked for before a pause of this process. */
	if (!bucket->claimed)
		return;
	if (now >= bucket->start_at)
		return;
	fill(quota, limit, bucket, now);
	bucket->start_at = now;
	bucket->filled_at = now;
	bucket->level = CLAMP(level, 0, capacity(limit));
}

void quota_owner_free(quota_limit_t *limit)
{
	guint i;

	for (i = 0; i < limit->shard_count; i++)
		g_free(limit->shards[i].bucket);
	g_free(limit->shards);
}
