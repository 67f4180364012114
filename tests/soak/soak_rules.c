/*
 * Keys of organisations that are added and withdrawn, evacuations of a data
 * centre, and a store that returns to an older copy. They draw from a random
 * stream of their own, so that a seed has the same other faults with and without
 * them.
 */
#include <stdlib.h>

#include "tests/soak/soak.h"

#define ORGANISATIONS 3
#define KEYS_MAX 6 /* valid at a time, the permanent ones included */
#define KEY_CHANGE_MIN_MS 700
#define KEY_CHANGE_MAX_MS 2500
#define EVACUATION_GAP_MIN_MS 1500
#define EVACUATION_GAP_MAX_MS 6000
/* Some time after the bound, so that there is traffic to check. */
#define EVACUATION_MS (EVACUATION_MAX / G_TIME_SPAN_MILLISECOND + 1500)
#define COPY_GAP_MIN_MS 500
#define COPY_GAP_MAX_MS 6000
/* Chance that a copy does not wait while other faults pause. */
#define DISTURB_PERCENT 33
#define COPY_AGE_MIN_MS 300
#define COPY_AGE_MAX_MS 2500
#define REWRITE_MIN_MS 50 /* until what the store lost is written again */
#define REWRITE_MAX_MS 800
/* Requests with a key that need not be valid, and with none or an unknown one. */
#define OTHER_KEY_PERCENT 20
#define NO_KEY_PERCENT 5

static guint draw(const soak_t *soak, guint min, guint max)
{
	return faults_draw(soak->rule_random, min, max);
}

static void add_key(soak_t *soak, guint organisation)
{
	soak_key_t *key = g_new0(soak_key_t, 1);

	g_snprintf(key->text, sizeof(key->text), "key-%u", soak->keys->len);
	g_snprintf(key->organisation, sizeof(key->organisation), "o%u",
		   organisation);
	key->added = soak->config_version + 1;
	g_ptr_array_add(soak->keys, key);
}

void rules_init(soak_t *soak)
{
	guint i;

	soak->keys = g_ptr_array_new_with_free_func(g_free);
	soak->evacuations = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; soak->options.rule_series && i < ORGANISATIONS; i++)
		add_key(soak, i);
}

void rules_append_organisations(const soak_t *soak, GString *text)
{
	const soak_key_t *key;
	guint i, k;

	for (i = 0; soak->keys->len && i < ORGANISATIONS; i++) {
		g_string_append_printf(text,
				       "{\"entry_kind\":\"tenants\","
				       "\"metadata\":{\"name\":\"o%u\"},"
				       "\"spec\":{\"api_keys\":[\"spare-%u\"",
				       i, i);
		for (k = 0; k < soak->keys->len; k++) {
			key = g_ptr_array_index(soak->keys, k);
			if (!key->withdrawn &&
			    atoi(key->organisation + 1) == (int)i)
				g_string_append_printf(text, ",\"%s\"",
						       key->text);
		}
		g_string_append(text, "]}},");
	}
}

static soak_key_t *draw_key(const soak_t *soak)
{
	return g_ptr_array_index(soak->keys,
				 draw(soak, 0, soak->keys->len - 1));
}

void rules_choose_key(soak_t *soak, soak_request_t *request, GString *headers)
{
	const instance_t *instance = soak_instance(soak, request->instance);
	guint chance;

	if (!soak->keys->len)
		return;
	chance = draw(soak, 0, 99);
	if (instance->incarnation == request->incarnation &&
	    request->sent_at >
		    instance->config_version_seen_at + DOWNGRADE_GRACE)
		request->version_known = instance->config_version_seen;
	if (request->config_version ||
	    chance >= OTHER_KEY_PERCENT + NO_KEY_PERCENT)
		request->key = g_ptr_array_index(
			soak->keys, draw(soak, 0, ORGANISATIONS - 1));
	else if (chance >= NO_KEY_PERCENT)
		request->key = draw_key(soak);
	if (request->key || chance % 2)
		g_string_append_printf(headers, "X-Credential: %s\r\n",
				       request->key ? request->key->text :
						      "key-of-nobody");
	g_string_append(headers, "X-Tenant-Id: forged\r\n");
}

static GTimeSpan acked_at(const soak_t *soak, guint version)
{
	return version < soak->config_acked_at->len ?
		       g_array_index(soak->config_acked_at, GTimeSpan,
				     version) :
		       0;
}

/* A key that is valid, and was when the request was sent, must not be refused. */
static void check_refusal(soak_t *soak, const soak_request_t *request,
			  const instance_t *instance)
{
	const soak_key_t *key = request->key;
	GTimeSpan acked;

	if (!key || key->withdrawn)
		return;
	acked = acked_at(soak, key->added);
	if (key->added == 1 || key->added <= request->version_known ||
	    (acked && request->sent_at > acked + CHANGE_PROPAGATION_MAX &&
	     soak_is_fault_free(soak, instance, acked, soak_now())))
		soak_violation(soak, "KEY", "%s: e%u refuses %s of r%u",
			       request->id, instance->index, key->text,
			       key->added);
}

void rules_check_response(soak_t *soak, const soak_request_t *request,
			  const instance_t *instance,
			  const http_message_t *response)
{
	const char *organisation =
		http_message_header(response, "X-Got-Tenant");

	if (!soak->keys->len)
		return;
	if (response->status == 401)
		check_refusal(soak, request, instance);
	if (http_message_header(response, "X-Got-Credential"))
		soak_violation(soak, "KEY", "%s: the endpoint got its key",
			       request->id);
	if (response->status == 200 &&
	    g_strcmp0(organisation,
		      request->key ? request->key->organisation : NULL) != 0)
		soak_violation(soak, "TENANT", "%s ran in the name of %s",
			       request->id, organisation);
}

/* In contact for long enough that the bounds apply, whatever came before. */
static gboolean is_in_contact(const soak_t *soak, const soak_request_t *request,
			      GTimeSpan time)
{
	return soak_is_fault_free(soak, soak_instance(soak, request->instance),
				  time, time);
}

static void check_withdrawn(soak_t *soak, const endpoint_t *endpoint,
			    const soak_request_t *request, GTimeSpan time)
{
	const soak_key_t *key = request->key;
	GTimeSpan acked = acked_at(soak, key->withdrawn);

	/* Versions never revert in a process, whatever the faults. */
	if (key->withdrawn <= request->version_known ||
	    (acked && time > acked + CHANGE_PROPAGATION_MAX &&
	     is_in_contact(soak, request, time)))
		soak_violation(soak, "KEY",
			       "%s reached %s with %s, which r%u withdrew",
			       request->id, endpoint->id, key->text,
			       key->withdrawn);
}

void rules_check_arrival(soak_t *soak, const endpoint_t *endpoint,
			 const soak_request_t *request, GTimeSpan time)
{
	const soak_evacuation_t *evacuation;
	guint i;

	if (soak->keys->len && !request->key)
		soak_violation(soak, "KEY", "%s reached %s without a valid key",
			       request->id, endpoint->id);
	else if (request->key && request->key->withdrawn)
		check_withdrawn(soak, endpoint, request, time);
	for (i = 0; i < soak->evacuations->len; i++) {
		evacuation = g_ptr_array_index(soak->evacuations, i);
		if (evacuation->acked_at &&
		    evacuation->zone == endpoint->index % ZONES &&
		    time > evacuation->acked_at + EVACUATION_MAX &&
		    time < evacuation->lifted_at &&
		    is_in_contact(soak, request, time))
			soak_violation(soak, "EVACUATED",
				       "%s reached %s, evacuated for "
				       "%" G_GINT64_FORMAT " ms",
				       request->id, endpoint->id,
				       (time - evacuation->acked_at) /
					       G_TIME_SPAN_MILLISECOND);
	}
}

static guint count_valid_keys(const soak_t *soak)
{
	const soak_key_t *key;
	guint i, count = 0;

	for (i = 0; i < soak->keys->len; i++) {
		key = g_ptr_array_index(soak->keys, i);
		count += !key->withdrawn;
	}
	return count;
}

static gboolean on_key_change(gpointer data)
{
	soak_t *soak = data;
	soak_key_t *key = draw_key(soak);

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	if (count_valid_keys(soak) < KEYS_MAX)
		add_key(soak, draw(soak, 0, ORGANISATIONS - 1));
	else if (key->added > 1 && !key->withdrawn)
		key->withdrawn = soak->config_version + 1;
	fleet_put_config(soak);
	g_timeout_add(draw(soak, KEY_CHANGE_MIN_MS, KEY_CHANGE_MAX_MS),
		      on_key_change, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_evacuation_due(gpointer data);

static gboolean on_evacuation_end(gpointer data)
{
	soak_t *soak = data;
	soak_evacuation_t *evacuation = g_ptr_array_index(
		soak->evacuations, soak->evacuations->len - 1);

	soak_log("k%u is taken back", evacuation->zone);
	evacuation->lifted_at = soak_now();
	fleet_write_evacuation(soak, evacuation);
	g_timeout_add(draw(soak, EVACUATION_GAP_MIN_MS, EVACUATION_GAP_MAX_MS),
		      on_evacuation_due, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_evacuation_due(gpointer data)
{
	soak_t *soak = data;
	soak_evacuation_t *evacuation;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	evacuation = g_new0(soak_evacuation_t, 1);
	evacuation->zone = draw(soak, 0, ZONES - 1);
	evacuation->lifted_at = CATK_NEVER;
	g_ptr_array_add(soak->evacuations, evacuation);
	soak_log("k%u is evacuated", evacuation->zone);
	fleet_write_evacuation(soak, evacuation);
	g_timeout_add(EVACUATION_MS, on_evacuation_end, soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_copy_due(gpointer data);

/* The operator and the endpoints write again what the store lost. */
static gboolean on_rewrite(gpointer data)
{
	soak_t *soak = data;

	fleet_rewrite_all(soak);
	fault_interval_end(soak->store_fault_intervals, FAULT_RESTORE);
	g_timeout_add(draw(soak, COPY_GAP_MIN_MS, COPY_GAP_MAX_MS), on_copy_due,
		      soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_restore(gpointer data)
{
	soak_t *soak = data;

	soak_log("the store returns to its copy");
	fault_interval_begin(soak->store_fault_intervals, FAULT_RESTORE);
	fleet_store_fault(soak, "restore");
	g_timeout_add(draw(soak, REWRITE_MIN_MS, REWRITE_MAX_MS), on_rewrite,
		      soak);
	return G_SOURCE_REMOVE;
}

static gboolean on_copy_due(gpointer data)
{
	soak_t *soak = data;

	if (faults_are_over(soak))
		return G_SOURCE_REMOVE;
	if (soak_now() < soak->quiet_until &&
	    draw(soak, 0, 99) >= DISTURB_PERCENT) {
		g_timeout_add((guint)((soak->quiet_until - soak_now()) /
				      G_TIME_SPAN_MILLISECOND),
			      on_copy_due, soak);
		return G_SOURCE_REMOVE;
	}
	fleet_store_fault(soak, "copy");
	g_timeout_add(draw(soak, COPY_AGE_MIN_MS, COPY_AGE_MAX_MS), on_restore,
		      soak);
	return G_SOURCE_REMOVE;
}

void rules_start(soak_t *soak)
{
	on_key_change(soak);
	g_timeout_add(draw(soak, EVACUATION_GAP_MIN_MS, EVACUATION_GAP_MAX_MS),
		      on_evacuation_due, soak);
	g_timeout_add(draw(soak, COPY_GAP_MIN_MS, COPY_GAP_MAX_MS), on_copy_due,
		      soak);
}
