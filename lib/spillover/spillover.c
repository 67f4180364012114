#include "lib/spillover/spillover.h"

#include <math.h>

/*
 * The time between two decisions is drawn from this range, so that instances
 * and data centres do not decide at the same moment.
 */
#define DECISION_INTERVAL_MIN (150 * G_TIME_SPAN_MILLISECOND)
#define DECISION_INTERVAL_MAX (350 * G_TIME_SPAN_MILLISECOND)
/* Longer intervals, after a pause of the process, count as this long. */
#define DECISION_ELAPSED_MAX (500 * G_TIME_SPAN_MILLISECOND)
/* Bounds of the change of the share per second. */
#define SHARE_RISE_PER_SECOND 0.5
#define SHARE_FALL_PER_SECOND 0.25
/*
 * Calls in the share wait for this part of the wait that the price requires.
 * Without any wait they would use up the probes of remote endpoints.
 */
#define SHORT_WAIT_FACTOR 0.5
/* The rest waits longer, as the wait is known only from calls that do. */
#define SHARE_MAX 0.9
/* Factor to the share when a remote endpoint refuses or loses a call. */
#define REFUSAL_FACTOR 0.5
/* The share falls once the gain is below this part of the price. */
#define FALL_THRESHOLD 0.5
/*
 * Weights of a call in the moving average of misses at home. A call that found
 * an endpoint at once says little about those that did not.
 */
#define WAITED_WEIGHT 0.3
#define PLACED_AT_ONCE_WEIGHT 0.05
/* Shorter waits are spent on probes, not on a lack of endpoints. */
#define AT_ONCE_MAX (10 * G_TIME_SPAN_MILLISECOND)
#define PROBE_WEIGHT 0.1
/* Probes that a crossing call sends before it is placed. */
#define PROBES_PER_CROSSING 2
/* Time constant with which the averages decay to 0 without samples. */
#define DECAY_TIME (5 * G_TIME_SPAN_SECOND)
#define LOG_INTERVAL G_TIME_SPAN_SECOND
/* Smallest change of the share that is logged, except to 0. */
#define LOGGED_CHANGE_MIN 0.1

/* A moving average that decays without samples. */
typedef struct {
	double value;
	GTimeSpan at;
} average_t;

struct spillover {
	spillover_options_t options;
	double share;
	average_t home_miss;
	average_t remote_busy; /* share of remote probes without capacity */
	/* Moving averages in microseconds, 0 without a sample. */
	double round_trip_local;
	double round_trip_remote;
	GTimeSpan decided_at;
	GTimeSpan next_decision;
	double logged_share;
	GTimeSpan logged_at;
	gint64 remote_refusals;
};

static double average_at(const average_t *average, GTimeSpan now)
{
	return average->value * exp(-(double)(now - average->at) / DECAY_TIME);
}

static void add_sample(average_t *average, double sample, double weight,
		       GTimeSpan now)
{
	double value = average_at(average, now);

	average->value = value + weight * (sample - value);
	average->at = now;
}

static void schedule_decision(spillover_t *spillover, GTimeSpan now)
{
	spillover->decided_at = now;
	spillover->next_decision =
		now + g_rand_int_range(spillover->options.random,
				       DECISION_INTERVAL_MIN,
				       DECISION_INTERVAL_MAX);
}

spillover_t *spillover_new(const spillover_options_t *options, GTimeSpan now)
{
	spillover_t *spillover = g_new0(spillover_t, 1);

	spillover->options = *options;
	spillover->home_miss.at = now;
	spillover->remote_busy.at = now;
	spillover->logged_at = now;
	schedule_decision(spillover, now);
	return spillover;
}

void spillover_free(spillover_t *spillover)
{
	g_free(spillover);
}

static double price(const spillover_t *spillover)
{
	return spillover->options.price_percent / 100.0;
}

static double added_latency(const spillover_t *spillover)
{
	if (!spillover->round_trip_local || !spillover->round_trip_remote)
		return 0;
	return MAX(spillover->round_trip_remote - spillover->round_trip_local,
		   0);
}

double spillover_share(const spillover_t *spillover)
{
	return spillover->share;
}

double spillover_home_miss(const spillover_t *spillover, GTimeSpan now)
{
	return average_at(&spillover->home_miss, now);
}

/* A crossing call is late only if none of its probes finds capacity. */
double spillover_remote_miss(const spillover_t *spillover, GTimeSpan now)
{
	return pow(average_at(&spillover->remote_busy, now),
		   PROBES_PER_CROSSING);
}

/*
 * A call that has waited for a part of the longest wait is taken to miss its
 * objective with that probability, as calls do on average in spillover_tick().
 */
GTimeSpan spillover_wait(spillover_t *spillover, GTimeSpan wait_max,
			 GTimeSpan now)
{
	double wait;

	wait = (price(spillover) + spillover_remote_miss(spillover, now)) *
		       (double)wait_max +
	       added_latency(spillover);
	if (g_rand_double(spillover->options.random) < spillover->share)
		wait *= SHORT_WAIT_FACTOR;
	return wait < (double)wait_max ? (GTimeSpan)wait : CATK_NEVER;
}

void spillover_record_call(spillover_t *spillover, const spillover_call_t *call,
			   GTimeSpan now)
{
	double sample = 1;

	if (!call->remote && !call->refused && call->wait_max > 0)
		sample = MIN((double)call->wait / (double)call->wait_max, 1);
	if (sample < 1 && call->wait <= AT_ONCE_MAX)
		add_sample(&spillover->home_miss, 0, PLACED_AT_ONCE_WEIGHT,
			   now);
	else
		add_sample(&spillover->home_miss, sample, WAITED_WEIGHT, now);
}

void spillover_record_probe(spillover_t *spillover,
			    const spillover_probe_t *probe, GTimeSpan now)
{
	double *round_trip = probe->remote ? &spillover->round_trip_remote :
					     &spillover->round_trip_local;
	double sample = (double)probe->round_trip;

	if (!*round_trip)
		*round_trip = sample;
	*round_trip += PROBE_WEIGHT * (sample - *round_trip);
	if (probe->remote)
		add_sample(&spillover->remote_busy, probe->has_capacity ? 0 : 1,
			   PROBE_WEIGHT, now);
}

/* A change that comes too early is logged by a later call. */
static void log_share(spillover_t *spillover, GTimeSpan now)
{
	double change = fabs(spillover->share - spillover->logged_share);

	if (!spillover->options.log || change == 0 ||
	    now - spillover->logged_at < LOG_INTERVAL ||
	    (change < LOGGED_CHANGE_MIN && spillover->share > 0))
		return;
	spillover->logged_share = spillover->share;
	spillover->logged_at = now;
	LOG_EVENT(
		spillover->options.log, "spillover_changed",
		LOG_TEXT("service", spillover->options.service),
		LOG_NUMBER("share_percent", lround(100 * spillover->share)),
		LOG_NUMBER("home_miss_percent",
			   lround(100 * spillover_home_miss(spillover, now))),
		LOG_NUMBER("remote_miss_percent",
			   lround(100 * spillover_remote_miss(spillover, now))),
		LOG_NUMBER("added_latency_us",
			   (gint64)added_latency(spillover)),
		LOG_NUMBER("price_percent", spillover->options.price_percent));
}

void spillover_record_remote_refusal(spillover_t *spillover, GTimeSpan now)
{
	spillover->remote_refusals++;
	spillover->share *= REFUSAL_FACTOR;
	add_sample(&spillover->remote_busy, 1, PROBE_WEIGHT, now);
	log_share(spillover, now);
}

void spillover_tick(spillover_t *spillover, GTimeSpan now)
{
	double elapsed, gain;

	if (now < spillover->next_decision) {
		log_share(spillover, now);
		return;
	}
	elapsed =
		(double)MIN(now - spillover->decided_at, DECISION_ELAPSED_MAX) /
		G_TIME_SPAN_SECOND;
	gain = spillover_home_miss(spillover, now) -
	       spillover_remote_miss(spillover, now);
	if (gain > price(spillover))
		spillover->share += SHARE_RISE_PER_SECOND * elapsed;
	else if (gain < FALL_THRESHOLD * price(spillover))
		spillover->share -= SHARE_FALL_PER_SECOND * elapsed;
	spillover->share = CLAMP(spillover->share, 0, SHARE_MAX);
	schedule_decision(spillover, now);
	log_share(spillover, now);
}

void spillover_dump(const spillover_t *spillover, const dump_writer_t *w,
		    GTimeSpan now)
{
	w->begin_object(w->ctx, "spillover");
	w->integer(w->ctx, "price_percent", spillover->options.price_percent);
	w->number(w->ctx, "share", spillover->share);
	w->number(w->ctx, "home_miss", spillover_home_miss(spillover, now));
	w->number(w->ctx, "remote_miss", spillover_remote_miss(spillover, now));
	w->integer(w->ctx, "added_latency_us",
		   (gint64)added_latency(spillover));
	w->integer(w->ctx, "remote_refusals", spillover->remote_refusals);
	w->end_object(w->ctx);
}
