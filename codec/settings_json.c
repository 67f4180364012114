#include "codec/settings_json.h"

#include <stddef.h>

#include "codec/json_reader.h"
#include "lib/call/call.h"

typedef struct {
	const char *key;
	size_t offset; /* of a char * field in settings_t */
	gboolean required;
} string_key_t;

static const string_key_t string_keys[] = {
	{ "instance", offsetof(settings_t, instance), TRUE },
	{ "data_centre", offsetof(settings_t, data_centre), TRUE },
	{ "caller_address", offsetof(settings_t, caller_address), TRUE },
	{ "peer_address", offsetof(settings_t, peer_address), FALSE },
	{ "peer_listen", offsetof(settings_t, peer_listen), FALSE },
	{ "object_api", offsetof(settings_t, object_api), FALSE },
	{ "config_file", offsetof(settings_t, config_file), FALSE },
	{ "instance_list", offsetof(settings_t, instance_list), FALSE },
	{ "proxy_address", offsetof(settings_t, proxy_address), FALSE },
	{ "directory_address", offsetof(settings_t, directory_address), FALSE },
	{ "ready_address", offsetof(settings_t, ready_address), FALSE },
	{ "metadata_store", offsetof(settings_t, metadata_store), FALSE },
};

/* Type of the settings_t field that a numeric key sets. */
typedef enum {
	FIELD_UINT,
	FIELD_SIZE,
	FIELD_INT64,
	FIELD_MILLISECONDS, /* a GTimeSpan, written in milliseconds */
	FIELD_SECONDS, /* a GTimeSpan, written in seconds with a fraction */
	FIELD_FRACTION /* a double */
} field_type_t;

typedef struct {
	const char *key;
	size_t offset;
	field_type_t type;
	gint64 min;
	gint64 max;
	gint64 default_value;
	const char *unit;
	const char *help;
} numeric_key_t;

#define ENTRY_FIELD(name) offsetof(settings_t, entry.name)

static const numeric_key_t numeric_keys[] = {
	{ "entries_max", ENTRY_FIELD(entries_max), FIELD_UINT, 1, 1000, 18,
	  "instances",
	  "expected maximum number of entry instances; the probe budget and "
	  "the connections of an endpoint are divided by it" },
	{ "request_id_block", ENTRY_FIELD(request_ids.block_size), FIELD_UINT,
	  1, 65536, 64, "ids", "request ids issued with one resolve response" },
	{ "request_id_lifetime_ms", ENTRY_FIELD(request_ids.lifetime),
	  FIELD_MILLISECONDS, 100, 600000, 10000, "ms",
	  "time from the issue of request ids to their expiry" },
	{ "request_id_retention_ms", ENTRY_FIELD(request_ids.retention),
	  FIELD_MILLISECONDS, 0, 3600000, 60000, "ms",
	  "time for which the record of an expired request id is kept" },
	{ "held_answer_bytes", ENTRY_FIELD(request_ids.answer_bytes_max),
	  FIELD_SIZE, 0, 1 << 30, 16 << 20, "bytes",
	  "memory for stored answers to duplicate requests" },
	{ "queue_max", ENTRY_FIELD(admission.queue_max), FIELD_UINT, 1, 100000,
	  200, "calls",
	  "maximum number of queued calls per service, over all priorities" },
	{ "caller_share_percent", ENTRY_FIELD(admission.caller_share_percent),
	  FIELD_UINT, 1, 100, 50, "percent",
	  "maximum share of a queue for one caller while other callers of its "
	  "priority wait" },
	{ "attempts_max", ENTRY_FIELD(attempts_max), FIELD_UINT, 1, 10, 3,
	  "attempts", "maximum attempts per call, including the first" },
	{ "probe_fanout", ENTRY_FIELD(probe_fanout), FIELD_UINT, 0,
	  CALL_PROBES_MAX, 0, "endpoints",
	  "endpoints probed for their load before a routed request is "
	  "dispatched; 0 for none" },
	{ "concurrency_max", ENTRY_FIELD(concurrency_max), FIELD_UINT, 0,
	  100000, 0, "attempts",
	  "maximum concurrent attempts per service; 0 for an adaptive limit" },
	{ "probes_per_second", offsetof(settings_t, probes_per_second),
	  FIELD_INT64, 0, 1000, 10, "probes/s",
	  "probe budget of an endpoint registered in the metadata store, over "
	  "all instances" },
	{ "change_bound_ms", ENTRY_FIELD(change_bound), FIELD_MILLISECONDS, 300,
	  60000, 2000, "ms",
	  "time within which a change in the metadata store must be known; the "
	  "interval between two watches that return changes is a third of it" },
	{ "reconnect_bound_ms", ENTRY_FIELD(reconnect_bound),
	  FIELD_MILLISECONDS, 1500, 60000, 3000, "ms",
	  "time after an outage of the metadata store from which "
	  "change_bound_ms holds; with it, the time after which a watch that "
	  "is not answered is replaced. A connection to the store on which "
	  "nothing is acknowledged for half of it is closed" },
	{ "first_start", ENTRY_FIELD(first_start), FIELD_UINT, 0, 1, 0,
	  "(flag)",
	  "1 if the whole fleet starts for the first time: instances then wait "
	  "longer for others that read the metadata store for them" },
	{ "preferred_instances", ENTRY_FIELD(preferred_instances), FIELD_UINT,
	  0, 1000, 0, "instances",
	  "instances of a data centre that prefer the same endpoint there, so "
	  "that its connections are reused; 0 for all" },
	{ "crossing_price_percent", ENTRY_FIELD(crossing_price_percent),
	  FIELD_UINT, 0, 100, 0, "percent",
	  "share of a call's value that sending it to another data centre "
	  "costs; 0 to decide without a price" },
	{ "quota_window_s", ENTRY_FIELD(quota_window), FIELD_SECONDS, 0, 3600,
	  0, "s",
	  "time window over which the rate limits of organisations are judged; "
	  "0 for no limits" },
	{ "quota_overage", ENTRY_FIELD(quota_overage), FIELD_FRACTION, 0, 10, 0,
	  "(fraction)",
	  "fraction by which the instances together may exceed a rate limit" },
	{ "quota_slack", ENTRY_FIELD(quota_slack), FIELD_UINT, 0, 100000, 0,
	  "requests", "requests per window beyond that" },
	{ "warmup_overage", ENTRY_FIELD(warmup_overage), FIELD_FRACTION, 0, 100,
	  1, "(factor)",
	  "requests per second that the instances together may send to an "
	  "endpoint that has just started, relative to the rate that its "
	  "service declares" },
	{ "warmup_slack", ENTRY_FIELD(warmup_slack), FIELD_UINT, 0, 100000, 0,
	  "requests", "requests per second beyond that" },
	{ "evacuation_bound_ms", ENTRY_FIELD(evacuation_bound),
	  FIELD_MILLISECONDS, 0, 600000, 0, "ms",
	  "time within which the evacuation of a data centre must be known; 0 "
	  "if there are none" },
	{ "retry_saved", ENTRY_FIELD(retry_saved), FIELD_UINT, 0, 100000, 0,
	  "retries",
	  "burst of retries per service, over all instances together, beyond "
	  "retry_percent" },
	{ "retry_percent", ENTRY_FIELD(retry_percent), FIELD_UINT, 0, 100, 10,
	  "percent", "maximum retries per hundred first attempts" },
	{ "report_stale_after_ms", ENTRY_FIELD(report_stale_after),
	  FIELD_MILLISECONDS, 10, 60000, 1000, "ms",
	  "age at which a load report is stale and may be refreshed by a probe" },
	{ "resolve_ttl_ms", ENTRY_FIELD(resolve_ttl), FIELD_MILLISECONDS, 100,
	  600000, 5000, "ms",
	  "time for which a caller may use resolved addresses" },
	{ "resolve_addresses", ENTRY_FIELD(resolve_addresses), FIELD_UINT, 1,
	  ENTRY_RESOLVE_ADDRESSES_MAX, 3, "addresses",
	  "maximum number of addresses in a resolve response" },
	{ "shutdown_max_ms", ENTRY_FIELD(shutdown_max), FIELD_MILLISECONDS, 0,
	  3600000, 60000, "ms",
	  "maximum duration of a graceful shutdown; keep it above the longest "
	  "deadline plus resolve_ttl_ms and request_id_lifetime_ms" },
	{ "termination_grace_s", offsetof(settings_t, termination_grace),
	  FIELD_SECONDS, 0, 3600, 0, "s",
	  "time after SIGTERM at which the process is killed, 0 for unknown; a "
	  "shutdown ends 0.5 s before, or a sixth of it if that is less" },
	{ "resolve_ttl_max_s", offsetof(settings_t, resolve_ttl_max),
	  FIELD_SECONDS, 0, 600, 0, "s",
	  "longest time for which callers use resolved addresses, 0 for "
	  "unlimited; resolve_ttl_ms is limited to it" },
	{ "body_bytes_max", offsetof(settings_t, body_bytes_max), FIELD_INT64,
	  1024, 64 << 20, 1 << 20, "bytes",
	  "maximum size of the body of a request or an answer" },
	{ "memory_max_mb", offsetof(settings_t, memory_max_mb), FIELD_INT64, 64,
	  1048576, 256, "MiB",
	  "memory of the process; the bodies of requests may take 40% of it" },
	{ "object_api_poll_ms", offsetof(settings_t, object_api_poll_ms),
	  FIELD_INT64, 1000, 3600000, 60000, "ms",
	  "time between fallback reads of the configuration" },
	{ "instance_list_poll_ms", offsetof(settings_t, instance_list_poll_ms),
	  FIELD_INT64, 100, 600000, 2000, "ms",
	  "minimum time between two reads of an instance list" },
	{ "instance_list_reads_per_second",
	  offsetof(settings_t, instance_list_reads_per_second), FIELD_INT64, 1,
	  2000, 100, "reads/s",
	  "maximum reads of instance lists per second, over all instances; the "
	  "time between reads is extended to stay below it" },
};

/*
 * Time between the end of a shutdown and the kill of the process: for so long
 * the last answers are written, then the process frees its memory and exits.
 */
#define TERMINATION_RESERVE_MAX (500 * G_TIME_SPAN_MILLISECOND)
#define TERMINATION_RESERVE_DIVISOR 6 /* of a short grace */
#define FINAL_WRITES_PERCENT 40 /* of that time */

static void set_integer(settings_t *settings, const numeric_key_t *key,
			gint64 value)
{
	void *field = (char *)settings + key->offset;

	switch (key->type) {
	case FIELD_UINT:
		*(guint *)field = (guint)value;
		break;
	case FIELD_SIZE:
		*(gsize *)field = (gsize)value;
		break;
	case FIELD_INT64:
		*(gint64 *)field = value;
		break;
	case FIELD_MILLISECONDS:
		*(GTimeSpan *)field = value * G_TIME_SPAN_MILLISECOND;
		break;
	case FIELD_SECONDS:
		*(GTimeSpan *)field = value * G_TIME_SPAN_SECOND;
		break;
	case FIELD_FRACTION:
		*(double *)field = (double)value;
		break;
	}
}

/* Reads a value that may have a fraction. */
static void read_fraction(json_reader_t *reader, JsonObject *object,
			  settings_t *settings, const numeric_key_t *key)
{
	double value = json_reader_number(reader, "$", object, key->key,
					  (double)key->min, (double)key->max);
	void *field = (char *)settings + key->offset;

	if (key->type == FIELD_FRACTION)
		*(double *)field = value;
	else
		*(GTimeSpan *)field = (GTimeSpan)(value * G_TIME_SPAN_SECOND);
}

static void read_strings(json_reader_t *reader, JsonObject *object,
			 settings_t *settings)
{
	const char *text;
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(string_keys); i++) {
		const string_key_t *key = &string_keys[i];

		if (!key->required && !json_object_has_member(object, key->key))
			continue;
		text = json_reader_string(reader, "$", object, key->key);
		*(char **)((char *)settings + key->offset) = g_strdup(text);
	}
}

static void read_numbers(json_reader_t *reader, JsonObject *object,
			 settings_t *settings)
{
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(numeric_keys); i++) {
		const numeric_key_t *key = &numeric_keys[i];
		gint64 value = key->default_value;

		if ((key->type == FIELD_SECONDS ||
		     key->type == FIELD_FRACTION) &&
		    json_object_has_member(object, key->key)) {
			read_fraction(reader, object, settings, key);
			continue;
		}
		if (json_object_has_member(object, key->key))
			value = json_reader_integer(reader, "$", object,
						    key->key, key->min,
						    key->max);
		set_integer(settings, key, value);
	}
}

/* Applies the limits that the deployment sets to the instance's own times. */
static void limit_times(settings_t *settings)
{
	entry_limits_t *entry = &settings->entry;
	GTimeSpan grace = settings->termination_grace;
	GTimeSpan reserve = TERMINATION_RESERVE_MAX;

	if (grace) {
		reserve = MIN(reserve, grace / TERMINATION_RESERVE_DIVISOR);
		entry->shutdown_max = MIN(entry->shutdown_max, grace - reserve);
	}
	settings->final_writes_max = reserve * FINAL_WRITES_PERCENT / 100;
	if (settings->resolve_ttl_max)
		entry->resolve_ttl =
			MIN(entry->resolve_ttl, settings->resolve_ttl_max);
}

static void read_seeds(json_reader_t *reader, JsonObject *object,
		       settings_t *settings)
{
	JsonArray *array;
	guint i;

	if (!json_object_has_member(object, "seeds"))
		return;
	array = json_reader_array(reader, "$", object, "seeds");
	for (i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (json_node_get_value_type(node) != G_TYPE_STRING)
			json_reader_report(reader, "$.seeds",
					   "a seed must be a string "
					   "\"ip:port\"");
		else
			g_ptr_array_add(settings->seeds,
					json_node_dup_string(node));
	}
}

static void read_routing(json_reader_t *reader, JsonObject *object,
			 settings_t *settings)
{
	const char *name;
	int policy;

	settings->entry.routing = ROUTING_SUBSET;
	if (!json_object_has_member(object, "routing"))
		return;
	name = json_reader_string(reader, "$", object, "routing");
	for (policy = 0; name && policy < ROUTING_POLICY_COUNT; policy++)
		if (g_str_equal(routing_policy_name((routing_policy_t)policy),
				name)) {
			settings->entry.routing = (routing_policy_t)policy;
			return;
		}
	if (name)
		json_reader_report(reader, "$",
				   "\"routing\" is \"%s\": use random, "
				   "two_choices, subset, learnt_limit or "
				   "expected_latency",
				   name);
}

static void read_admission(json_reader_t *reader, JsonObject *object,
			   settings_t *settings)
{
	const char *name;

	settings->entry.admission.policy = ADMISSION_PRIORITY;
	if (!json_object_has_member(object, "admission"))
		return;
	name = json_reader_string(reader, "$", object, "admission");
	if (g_strcmp0(name, "fifo") == 0)
		settings->entry.admission.policy = ADMISSION_FIFO;
	else if (name && g_strcmp0(name, "priority") != 0)
		json_reader_report(reader, "$",
				   "\"admission\" is \"%s\": use priority or "
				   "fifo",
				   name);
}

static void check_config_source(json_reader_t *reader,
				const settings_t *settings)
{
	guint count = (settings->object_api != NULL) +
		      (settings->config_file != NULL) +
		      (settings->metadata_store != NULL);

	if (count != 1)
		json_reader_report(reader, "$",
				   "set exactly one of \"object_api\", "
				   "\"config_file\" and \"metadata_store\"");
	if (settings->proxy_address && !settings->metadata_store)
		json_reader_report(
			reader, "$",
			"\"proxy_address\" requires "
			"\"metadata_store\", which provides the routes");
}

static void check_peer_listen(json_reader_t *reader, const settings_t *settings)
{
	if (settings->peer_listen && !settings->peer_address)
		json_reader_report(reader, "$",
				   "\"peer_listen\" requires \"peer_address\", "
				   "the address that other instances use");
}

static void reject_unknown_keys(json_reader_t *reader, JsonObject *object)
{
	GPtrArray *known_keys = g_ptr_array_new();
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(string_keys); i++)
		g_ptr_array_add(known_keys, (gpointer)string_keys[i].key);
	for (i = 0; i < G_N_ELEMENTS(numeric_keys); i++)
		g_ptr_array_add(known_keys, (gpointer)numeric_keys[i].key);
	g_ptr_array_add(known_keys, "seeds");
	g_ptr_array_add(known_keys, "routing");
	g_ptr_array_add(known_keys, "admission");
	g_ptr_array_add(known_keys, NULL);
	json_reader_reject_unknown(reader, "$", object,
				   (const char *const *)known_keys->pdata);
	g_ptr_array_free(known_keys, TRUE);
}

settings_t *settings_from_json(const char *text, gssize length,
			       settings_issue_fn_t on_issue, void *ctx)
{
	json_reader_t reader = { .on_issue = on_issue, .ctx = ctx };
	settings_t *settings = g_new0(settings_t, 1);
	JsonObject *object;
	JsonNode *root;

	settings->seeds = g_ptr_array_new_with_free_func(g_free);
	root = json_reader_parse(&reader, text, length);
	if (!root)
		goto out;
	object = json_node_get_object(root);
	reject_unknown_keys(&reader, object);
	read_strings(&reader, object, settings);
	read_numbers(&reader, object, settings);
	limit_times(settings);
	read_seeds(&reader, object, settings);
	read_routing(&reader, object, settings);
	read_admission(&reader, object, settings);
	check_config_source(&reader, settings);
	check_peer_listen(&reader, settings);
	json_node_unref(root);
out:
	if (reader.issues)
		g_clear_pointer(&settings, settings_free);
	return settings;
}

void settings_free(settings_t *settings)
{
	gsize i;

	if (!settings)
		return;
	for (i = 0; i < G_N_ELEMENTS(string_keys); i++)
		g_free(*(char **)((char *)settings + string_keys[i].offset));
	g_ptr_array_unref(settings->seeds);
	g_free(settings);
}

void settings_describe(settings_describe_fn_t describe, void *ctx)
{
	gsize i;

	for (i = 0; i < G_N_ELEMENTS(numeric_keys); i++)
		describe(ctx, numeric_keys[i].key, numeric_keys[i].unit,
			 numeric_keys[i].min, numeric_keys[i].max,
			 numeric_keys[i].default_value, numeric_keys[i].help);
}
