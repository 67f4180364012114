#include "lib/upstream/warmup_limit.h"

#include <string.h>
#include <xxhash.h>

/* Instances that may send to a cold endpoint, in each view of the members. */
#define SENDERS 2
/* Views of the membership that may exist at once without slowing senders. */
#define VIEWS 2
/* Age at which the senders are determined anew from the live instances. */
#define SENDERS_AGE_MAX (500 * G_TIME_SPAN_MILLISECOND)
/*
 * Longest wait of a new sender for its first token, in a view of at least half
 * of the instances: an endpoint that joins gets a request within 4 s.
 */
#define FIRST_TOKEN_WAIT_MAX G_TIME_SPAN_SECOND
/* Interval at which a sender prefers a cold endpoint to warm ones. */
#define PREFERENCE_INTERVAL G_TIME_SPAN_SECOND
/* Registrations are repeated; smaller differences are not a new warm-up. */
#define LISTED_TOLERANCE (50 * G_TIME_SPAN_MILLISECOND)
/* Lower bound of a sender's rate, as a part of the service's. */
#define RATE_DIVISOR_MAX 8

gboolean warmup_limit_is_cold(const warmup_limit_t *limit, GTimeSpan now)
{
	return now < limit->cold_until;
}

/* The result of ranking the instances for one endpoint. */
typedef struct {
	gboolean is_sender;
	guint live; /* instances in view */
} ranking_t;

static guint64 weight_of(const char *instance, guint64 seed)
{
	return XXH3_64bits_withSeed(instance, strlen(instance), seed);
}

static ranking_t rank_instances(const warmup_rules_t *rules,
				const warmup_endpoint_t *endpoint)
{
	guint64 seed = XXH3_64bits(endpoint->id, strlen(endpoint->id));
	guint64 own = weight_of(rules->instance, seed);
	guint local = 0, heavier = 0, heavier_local = 0;
	gboolean listed = FALSE, is_local = FALSE;
	const void *position = NULL;
	warmup_instance_t instance;
	ranking_t ranking = { 0 };

	while (rules->next_instance(rules->next_instance_ctx, &position,
				    &instance)) {
		gboolean same = strcmp(instance.data_centre,
				       endpoint->data_centre) == 0;

		ranking.live++;
		local += same;
		if (strcmp(instance.name, rules->instance) == 0) {
			listed = TRUE;
			is_local = same;
		} else if (weight_of(instance.name, seed) >= own) {
			heavier++;
			heavier_local += same;
		}
	}
	if (local)
		ranking.is_sender = is_local && heavier_local < SENDERS;
	else
		ranking.is_sender = listed && heavier < SENDERS;
	return ranking;
}

/*
 * Tokens per second of one sender. With a burst of one, n senders send at most
 * n x (rate + 1) requests in a second; n is SENDERS in each view.
 */
static double sender_rate(const warmup_rules_t *rules)
{
	double bound = rules->per_second * rules->overage + rules->slack;
	double senders = SENDERS * VIEWS;
	double rate =
		MIN(rules->per_second / SENDERS, (bound - senders) / senders);

	return MAX(rate, rules->per_second / RATE_DIVISOR_MAX);
}

/* Factor to the interval between tokens in a view of so many instances. */
static double view_factor(const warmup_rules_t *rules, guint live)
{
	double needed = (double)rules->instances / VIEWS;

	return live < needed ? needed / MAX(live, 1) : 1;
}

static void find_senders(warmup_limit_t *limit, const warmup_rules_t *rules,
			 const warmup_endpoint_t *endpoint, GTimeSpan now)
{
	ranking_t ranking = { .is_sender = TRUE, .live = rules->instances };
	gboolean was_sender = limit->is_sender;
	double interval, factor, wait;

	if (rules->next_instance)
		ranking = rank_instances(rules, endpoint);
	factor = view_factor(rules, ranking.live);
	interval = G_TIME_SPAN_SECOND / sender_rate(rules);
	limit->interval =
		(GTimeSpan)MIN(interval * factor, (double)G_TIME_SPAN_HOUR);
	limit->is_sender = ranking.is_sender;
	limit->checked_at = now;
	/* A token of a smaller view may be far off. */
	if (was_sender)
		limit->token_at = MIN(limit->token_at, now + limit->interval);
	if (was_sender || !limit->is_sender)
		return;
	/* Random, as the senders of several views may begin together. */
	wait = MIN(interval, FIRST_TOKEN_WAIT_MAX) * factor *
	       g_rand_double(rules->random);
	limit->token_at = MAX(limit->token_at, now + (GTimeSpan)wait);
}

void warmup_limit_refresh(warmup_limit_t *limit, const warmup_rules_t *rules,
			  const warmup_endpoint_t *endpoint, GTimeSpan now)
{
	if (warmup_limit_is_cold(limit, now) &&
	    now >= limit->checked_at + SENDERS_AGE_MAX)
		find_senders(limit, rules, endpoint, now);
}

static void begin(warmup_limit_t *limit, const warmup_rules_t *rules,
		  const warmup_endpoint_t *endpoint, GTimeSpan until,
		  GTimeSpan now)
{
	if (!warmup_limit_is_cold(limit, now)) {
		limit->cold_since = now;
		limit->is_sender = FALSE;
		limit->used_at = 0;
		find_senders(limit, rules, endpoint, now);
	}
	limit->cold_until = until;
}

void warmup_limit_listed(warmup_limit_t *limit, const warmup_rules_t *rules,
			 const warmup_endpoint_t *endpoint, GTimeSpan remaining,
			 gboolean is_new, GTimeSpan now)
{
	GTimeSpan until = now + MAX(remaining, 0);

	if (rules->per_second <= 0) {
		limit->cold_until = 0;
		return;
	}
	if (remaining > 0 && until > limit->listed_until + LISTED_TOLERANCE) {
		limit->listed_until = until;
		begin(limit, rules, endpoint, MAX(until, limit->cold_until),
		      now);
	} else if (remaining <= 0 && is_new && rules->duration > 0) {
		begin(limit, rules, endpoint, now + rules->duration, now);
	}
}

void warmup_limit_reported(warmup_limit_t *limit, const warmup_rules_t *rules,
			   const warmup_endpoint_t *endpoint,
			   GTimeSpan remaining, GTimeSpan requested_at,
			   GTimeSpan now)
{
	if (rules->per_second <= 0)
		return;
	if (remaining > 0)
		begin(limit, rules, endpoint, now + remaining, now);
	else if (requested_at > limit->cold_since)
		limit->cold_until = 0;
}

GTimeSpan warmup_limit_usable_at(const warmup_limit_t *limit, GTimeSpan now)
{
	return warmup_limit_is_cold(limit, now) && !limit->is_sender ?
		       limit->cold_until :
		       0;
}

GTimeSpan warmup_limit_token_at(const warmup_limit_t *limit, GTimeSpan now)
{
	return warmup_limit_is_cold(limit, now) ?
		       MIN(limit->token_at, limit->cold_until) :
		       0;
}

gboolean warmup_limit_is_due(const warmup_limit_t *limit, GTimeSpan now)
{
	return warmup_limit_is_cold(limit, now) && limit->is_sender &&
	       now >= limit->token_at &&
	       (!limit->used_at || now >= limit->used_at + PREFERENCE_INTERVAL);
}

void warmup_limit_take(warmup_limit_t *limit, GTimeSpan now)
{
	if (!warmup_limit_is_cold(limit, now))
		return;
	limit->token_at = now + limit->interval;
	limit->used_at = now;
}

void warmup_limit_give_back(warmup_limit_t *limit, GTimeSpan started,
			    GTimeSpan now)
{
	if (warmup_limit_is_cold(limit, now) && started >= limit->cold_since)
		limit->token_at = MAX(now, limit->token_at - limit->interval);
}
