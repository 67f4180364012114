#include "net/metrics.h"

#include <gsl/gsl_histogram.h>
#include <http_parser.h>

#include "net/http_reply.h"

#define METRICS_PATH "/metrics"

/* Bounds of the buckets in seconds. */
static const double bucket_bounds[] = { 0,    0.001, 0.002, 0.005, 0.01, 0.02,
					0.05, 0.1,   0.2,   0.3,   0.5,	 0.8,
					1.2,  2,     4,	    10,	   60 };

typedef struct {
	gsl_histogram *buckets;
	double sum; /* seconds */
	guint64 count;
} latency_histogram_t;

/* Label "result" of a call, by the outcome reported to the caller. */
typedef enum {
	RESULT_ANSWERED,
	RESULT_REFUSED,
	RESULT_UNKNOWN,
	RESULT_COUNT
} result_t;

static const char *const result_names[RESULT_COUNT] = {
	[RESULT_ANSWERED] = "answered",
	[RESULT_REFUSED] = "refused",
	[RESULT_UNKNOWN] = "unknown",
};

struct metrics {
	http_service_t *service;
	const counters_t *counters;
	const entry_t *entry;
	latency_histogram_t latencies[RESULT_COUNT];
};

static void append_counters(const metrics_t *metrics, GString *text)
{
	int i;

	for (i = 0; i < COUNTER_COUNT; i++) {
		const char *name = counter_name((counter_t)i);

		g_string_append_printf(text,
				       "# TYPE catkinstall_%s_total counter\n"
				       "catkinstall_%s_total "
				       "%" G_GUINT64_FORMAT "\n",
				       name, name, metrics->counters->value[i]);
	}
}

static void append_latency(const latency_histogram_t *latency,
			   const char *result, GString *text)
{
	double cumulative = 0;
	gsize i;

	for (i = 0; i + 1 < G_N_ELEMENTS(bucket_bounds); i++) {
		cumulative += gsl_histogram_get(latency->buckets, i);
		g_string_append_printf(
			text,
			"catkinstall_request_seconds_bucket{result=\"%s\","
			"le=\"%g\"} %.0f\n",
			result, bucket_bounds[i + 1], cumulative);
	}
	g_string_append_printf(
		text,
		"catkinstall_request_seconds_bucket{result=\"%s\",le=\"+Inf\"} "
		"%" G_GUINT64_FORMAT "\n"
		"catkinstall_request_seconds_sum{result=\"%s\"} %.6f\n"
		"catkinstall_request_seconds_count{result=\"%s\"} "
		"%" G_GUINT64_FORMAT "\n",
		result, latency->count, result, latency->sum, result,
		latency->count);
}

static void append_known_ages(const metrics_t *metrics, GString *text)
{
	guint i;

	g_string_append(text,
			"# TYPE catkinstall_store_known_age_seconds gauge\n");
	for (i = 0; i < FEED_KIND_COUNT; i++) {
		GTimeSpan age = entry_known_age(metrics->entry, (feed_kind_t)i);

		/* An instance that has never read this kind has no age. */
		if (age != CATK_NEVER)
			g_string_append_printf(
				text,
				"catkinstall_store_known_age_seconds{kind="
				"\"%s\"} %.3f\n",
				feed_kind_name((feed_kind_t)i),
				(double)age / G_TIME_SPAN_SECOND);
	}
}

static void append_news_delay(const news_delay_t *news, const char *state,
			      GString *text)
{
	const char *name = "catkinstall_member_news_seconds";
	guint i;

	for (i = 0; i < NEWS_DELAY_BUCKETS; i++)
		g_string_append_printf(text,
				       "%s_bucket{state=\"%s\",le=\"%g\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       name, state,
				       (double)news_delay_bound(i) /
					       G_TIME_SPAN_SECOND,
				       news->buckets[i]);
	g_string_append_printf(
		text,
		"%s_bucket{state=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
		"%s_sum{state=\"%s\"} %.6f\n"
		"%s_count{state=\"%s\"} %" G_GUINT64_FORMAT "\n",
		name, state, news->count, name, state,
		(double)news->sum / G_TIME_SPAN_SECOND, name, state,
		news->count);
}

static void append_news_delays(const metrics_t *metrics, GString *text)
{
	static const member_state_t states[] = { MEMBER_LEAVING, MEMBER_GONE };
	const membership_t *membership = entry_membership(metrics->entry);
	guint i;

	g_string_append(text,
			"# TYPE catkinstall_member_news_seconds histogram\n");
	for (i = 0; i < G_N_ELEMENTS(states); i++)
		append_news_delay(membership_news_delay(membership, states[i]),
				  member_state_name(states[i]), text);
	g_string_append(text,
			"# TYPE catkinstall_member_news_max_seconds gauge\n");
	for (i = 0; i < G_N_ELEMENTS(states); i++)
		g_string_append_printf(
			text,
			"catkinstall_member_news_max_seconds{state=\"%s\"} "
			"%.6f\n",
			member_state_name(states[i]),
			(double)membership_news_delay(membership, states[i])
					->max /
				G_TIME_SPAN_SECOND);
}

static void on_metrics(void *ctx, http_exchange_t *exchange, const char *path,
		       GHashTable *query)
{
	const metrics_t *metrics = ctx;
	GString *text = g_string_new(NULL);
	GBytes *body;
	int i;

	(void)path;
	(void)query;
	append_counters(metrics, text);
	append_known_ages(metrics, text);
	append_news_delays(metrics, text);
	g_string_append_printf(text,
			       "# TYPE catkinstall_config_version gauge\n"
			       "catkinstall_config_version %" G_GUINT64_FORMAT
			       "\n"
			       "# TYPE catkinstall_request_seconds histogram\n",
			       config_version(entry_config(metrics->entry)));
	for (i = 0; i < RESULT_COUNT; i++)
		append_latency(&metrics->latencies[i], result_names[i], text);
	body = g_string_free_to_bytes(text);
	http_reply_bytes(exchange, HTTP_STATUS_OK, "text/plain; version=0.0.4",
			 "", body);
	g_bytes_unref(body);
}

metrics_t *metrics_new(http_service_t *service, const counters_t *counters,
		       const entry_t *entry)
{
	metrics_t *metrics = g_new0(metrics_t, 1);
	const http_handler_t handler = { .request = on_metrics,
					 .ctx = metrics };
	int i;

	metrics->service = service;
	metrics->counters = counters;
	metrics->entry = entry;
	for (i = 0; i < RESULT_COUNT; i++) {
		metrics->latencies[i].buckets =
			gsl_histogram_alloc(G_N_ELEMENTS(bucket_bounds) - 1);
		gsl_histogram_set_ranges(metrics->latencies[i].buckets,
					 bucket_bounds,
					 G_N_ELEMENTS(bucket_bounds));
	}
	http_service_add_handler(service, METRICS_PATH, &handler);
	return metrics;
}

void metrics_free(metrics_t *metrics)
{
	int i;

	if (!metrics)
		return;
	http_service_remove_handler(metrics->service, METRICS_PATH);
	for (i = 0; i < RESULT_COUNT; i++)
		gsl_histogram_free(metrics->latencies[i].buckets);
	g_free(metrics);
}

static result_t classify_answer(const call_answer_t *answer)
{
	if (answer->error.kind == CATK_OK)
		return RESULT_ANSWERED;
	return answer->error.outcome == OUTCOME_NOT_RUN ? RESULT_REFUSED :
							  RESULT_UNKNOWN;
}

void metrics_record_answer(metrics_t *metrics, const call_answer_t *answer)
{
	latency_histogram_t *latency =
		&metrics->latencies[classify_answer(answer)];
	double seconds = (double)answer->elapsed / G_TIME_SPAN_SECOND;

	/* A value above the last bound counts only in the bucket "+Inf". */
	gsl_histogram_increment(latency->buckets, seconds);
	latency->sum += seconds;
	latency->count++;
}
