#include "lib/admission/fair_share.h"

#include <math.h>

#include "lib/common/intrusive.h"

/*
 * The counts remember about as many requests, which takes 40 s at the 1.6
 * requests/s that an instance has for a service: with fewer, a hot organisation
 * cannot be told from chance.
 */
#define MEMORY_REQUESTS 64
#define MEMORY_MIN (10 * G_TIME_SPAN_SECOND)
#define MEMORY_MAX (40 * G_TIME_SPAN_SECOND)
#define UPDATE_INTERVAL (100 * G_TIME_SPAN_MILLISECOND)
/*
 * Requests that an organisation may have by chance beyond its share: a few, and
 * a multiple of the standard deviation of a random count. With 2 and 0, the
 * others keep 0.92 instead of 0.95 beside one that is hot.
 */
#define COUNT_NOISE 5.0
#define NOISE_DEVIATIONS 2.5
#define COUNT_FORGOTTEN 0.05
/* Requests without capacity, as a part of those admitted, that are a shortage. */
#define SHORTAGE_PART 0.01
/*
 * Requests admitted per request started. In a shortage they are fewer than
 * started, so that those within their share rarely lack capacity; while few lack
 * capacity they are more, so that growing capacity is used.
 */
#define ADMITTED_IN_SHORTAGE 0.95
#define ADMITTED_AT_THE_EDGE 1.1
/*
 * Part of its requests that each organisation has admitted, if all that is
 * admitted is started. A quarter is required; the excess covers chance.
 */
#define FLOOR_ADMITTED 0.26
#define LEVEL_STEPS 24 /* of the bisection */

typedef struct sharer {
	TAILQ_ENTRY(sharer) link;
	char *name;
	double weight;
	double count; /* requests, decaying */
	GTimeSpan counted_at;
	double admit_part; /* of its requests, 1 without a shortage */
	double credit; /* requests that may be admitted next */
} sharer_t;

struct fair_share {
	TAILQ_HEAD(sharer_list, sharer) list;
	GHashTable *by_name; /* name -> sharer_t */
	double offered, started, lacking; /* decaying counts */
	GTimeSpan memory; /* time constant of all counts */
	GTimeSpan counted_at, updated_at;
	double served;
};

fair_share_t *fair_share_new(void)
{
	fair_share_t *share = g_new0(fair_share_t, 1);

	TAILQ_INIT(&share->list);
	share->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	share->served = 1;
	share->memory = MEMORY_MIN;
	return share;
}

static void sharer_free(fair_share_t *share, sharer_t *sharer)
{
	TAILQ_REMOVE(&share->list, sharer, link);
	g_hash_table_remove(share->by_name, sharer->name);
	g_free(sharer->name);
	g_free(sharer);
}

void fair_share_free(fair_share_t *share)
{
	if (!share)
		return;
	while (!TAILQ_EMPTY(&share->list))
		sharer_free(share, TAILQ_FIRST(&share->list));
	g_hash_table_destroy(share->by_name);
	g_free(share);
}

static double decay(const fair_share_t *share, GTimeSpan *counted_at,
		    GTimeSpan now)
{
	double factor =
		exp(-(double)(now - *counted_at) / (double)share->memory);

	*counted_at = now;
	return factor;
}

static void decay_totals(fair_share_t *share, GTimeSpan now)
{
	double factor = decay(share, &share->counted_at, now);

	share->offered *= factor;
	share->started *= factor;
	share->lacking *= factor;
}

static sharer_t *find_or_add(fair_share_t *share, const char *name,
			     GTimeSpan now)
{
	sharer_t *sharer = g_hash_table_lookup(share->by_name, name);

	if (sharer)
		return sharer;
	sharer = g_new0(sharer_t, 1);
	sharer->name = g_strdup(name);
	sharer->counted_at = now;
	sharer->admit_part = 1;
	TAILQ_INSERT_TAIL(&share->list, sharer, link);
	g_hash_table_insert(share->by_name, sharer->name, sharer);
	return sharer;
}

static double mean_weight(const fair_share_t *share)
{
	const sharer_t *sharer;
	double sum = 0;
	guint count = 0;

	TAILQ_FOREACH (sharer, &share->list, link)
		if (sharer->weight > 0) {
			sum += sharer->weight;
			count++;
		}
	return count ? sum / count : 1;
}

static double weight_of(const sharer_t *sharer, double mean)
{
	return sharer->weight > 0 ? sharer->weight : mean;
}

/* Requests of an organisation that a level of requests per weight admits. */
static double admitted(const sharer_t *sharer, double mean, double level,
		       double floor)
{
	double expected = level * weight_of(sharer, mean);
	double most =
		expected + COUNT_NOISE + NOISE_DEVIATIONS * sqrt(expected);

	return MIN(sharer->count, MAX(most, floor * sharer->count));
}

static double admitted_by_all(const fair_share_t *share, double mean,
			      double level, double floor)
{
	const sharer_t *sharer;
	double sum = 0;

	TAILQ_FOREACH (sharer, &share->list, link)
		sum += admitted(sharer, mean, level, floor);
	return sum;
}

/* The level at which all together have that many requests admitted. */
static double find_level(const fair_share_t *share, double mean, double budget,
			 double floor)
{
	const sharer_t *sharer;
	double low = 0, high = 0, middle;
	guint i;

	TAILQ_FOREACH (sharer, &share->list, link)
		high = MAX(high, sharer->count / weight_of(sharer, mean));
	for (i = 0; i < LEVEL_STEPS; i++) {
		middle = (low + high) / 2;
		if (admitted_by_all(share, mean, middle, floor) < budget)
			low = middle;
		else
			high = middle;
	}
	return high;
}

static void decay_sharers(fair_share_t *share, GTimeSpan now)
{
	sharer_t *sharer, *next;

	TAILQ_FOREACH_SAFE (sharer, &share->list, link, next) {
		sharer->count *= decay(share, &sharer->counted_at, now);
		if (sharer->count < COUNT_FORGOTTEN)
			sharer_free(share, sharer);
	}
}

/* offered over memory is the rate of requests. */
static void adapt_memory(fair_share_t *share)
{
	double memory = MEMORY_REQUESTS * (double)share->memory /
			MAX(share->offered, 1);

	share->memory = (GTimeSpan)CLAMP(memory, (double)MEMORY_MIN,
					 (double)MEMORY_MAX);
}

static void update(fair_share_t *share, GTimeSpan now)
{
	double mean, budget, floor, level;
	gboolean is_short;
	sharer_t *sharer;

	share->updated_at = now;
	decay_sharers(share, now);
	adapt_memory(share);
	is_short = share->lacking >
		   SHORTAGE_PART * (share->started + share->lacking);
	budget = share->started *
		 (is_short ? ADMITTED_IN_SHORTAGE : ADMITTED_AT_THE_EDGE);
	/* If none lacked capacity lately, requests only wait to start. */
	share->served = share->lacking >= COUNT_FORGOTTEN &&
					budget < share->offered ?
				share->started / share->offered :
				1;
	mean = mean_weight(share);
	floor = FLOOR_ADMITTED * share->started /
		MAX(share->started + share->lacking, 1);
	level = share->served < 1 ? find_level(share, mean, budget, floor) : 0;
	TAILQ_FOREACH (sharer, &share->list, link)
		sharer->admit_part =
			share->served < 1 && sharer->count > 0 ?
				admitted(sharer, mean, level, floor) /
					sharer->count :
				1;
}

gboolean fair_share_admit(fair_share_t *share, const char *organisation,
			  double weight, GTimeSpan now)
{
	sharer_t *sharer = find_or_add(share, organisation, now);

	decay_totals(share, now);
	share->offered++;
	sharer->weight = weight;
	sharer->count =
		sharer->count * decay(share, &sharer->counted_at, now) + 1;
	if (now - share->updated_at >= UPDATE_INTERVAL)
		update(share, now);
	if (sharer->admit_part >= 1) {
		sharer->credit = 0;
		return TRUE;
	}
	sharer->credit += sharer->admit_part;
	if (sharer->credit < 1)
		return FALSE;
	sharer->credit--;
	return TRUE;
}

void fair_share_started(fair_share_t *share, GTimeSpan now)
{
	decay_totals(share, now);
	share->started++;
}

void fair_share_no_capacity(fair_share_t *share, GTimeSpan now)
{
	decay_totals(share, now);
	share->lacking++;
}

double fair_share_served(const fair_share_t *share)
{
	return share->served;
}

guint fair_share_organisations(const fair_share_t *share)
{
	return g_hash_table_size(share->by_name);
}
