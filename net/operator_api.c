#include "net/operator_api.h"

#include <http_parser.h>
#include <string.h>

#include "codec/config_json.h"
#include "codec/dump_json.h"
#include "lib/common/intrusive.h"
#include "net/config_source.h"
#include "net/config_store.h"
#include "net/http_reply.h"

#define DUMP_PATH "/v1/operator/dump"
#define CONFIG_PATH "/v1/operator/config"
#define HISTORY_PATH "/v1/operator/config/history"
#define DRAIN_PATH "/v1/operator/drain"

/* A request to change the configuration, until its result is known. */
typedef struct pending_change {
	TAILQ_ENTRY(pending_change) link;
	operator_api_t *api;
	http_exchange_t *exchange; /* NULL once its client disconnected */
} pending_change_t;

struct operator_api {
	http_service_t *service;
	entry_t *entry;
	config_store_t *store; /* NULL if the configuration is a local file */
	TAILQ_HEAD(pending_list, pending_change) pending;
};

static void pending_free(pending_change_t *pending)
{
	TAILQ_REMOVE(&pending->api->pending, pending, link);
	g_free(pending);
}

static void on_dump(void *ctx, http_exchange_t *exchange, const char *path,
		    GHashTable *query)
{
	operator_api_t *api = ctx;
	JsonBuilder *builder = json_builder_new();
	dump_writer_t writer = dump_json_writer(builder);

	(void)path;
	(void)query;
	entry_dump(api->entry, &writer);
	http_reply_json(exchange, builder);
	g_object_unref(builder);
}

/* Responds with a document on the version in force. */
static void reply_document(operator_api_t *api, http_exchange_t *exchange,
			   GBytes *body)
{
	gchar *headers =
		g_strdup_printf("Config-Version: %" G_GUINT64_FORMAT "\r\n",
				config_version(entry_config(api->entry)));

	http_reply_bytes(exchange, HTTP_STATUS_OK, "application/json", headers,
			 body);
	g_free(headers);
}

/* Returns the record in force, or sends an error and returns NULL. */
static config_record_t *get_record_in_force(operator_api_t *api,
					    http_exchange_t *exchange)
{
	const config_t *config = entry_config(api->entry);
	catk_error_t error;

	if (config_version(config))
		return config_record_from_json(config_document(config),
					       config_version(config), NULL,
					       NULL);
	catk_error_set(&error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "no configuration is in force: apply one with "
		       "catkinctl config apply FILE --base-version 0");
	http_reply_error(exchange, &error);
	return NULL;
}

/* Keys are secrets, and callers can reach this interface. */
static void refuse_document_with_keys(http_exchange_t *exchange)
{
	catk_error_t error;

	catk_error_set(&error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "the configuration in force holds keys of organisations "
		       "and is not shown: read it in the metadata store");
	http_reply_error(exchange, &error);
}

static void reply_config(operator_api_t *api, http_exchange_t *exchange)
{
	const schema_t *schema = config_schema(entry_config(api->entry));
	config_record_t *record;

	if (schema && !organisations_is_empty(schema->organisations)) {
		refuse_document_with_keys(exchange);
		return;
	}
	record = get_record_in_force(api, exchange);
	if (record)
		reply_document(api, exchange, record->schema);
	config_record_free(record);
}

static void on_history(void *ctx, http_exchange_t *exchange, const char *path,
		       GHashTable *query)
{
	config_record_t *record = get_record_in_force(ctx, exchange);
	GBytes *body;
	gchar *text;

	(void)path;
	(void)query;
	if (!record)
		return;
	text = config_history_to_json(record);
	body = g_bytes_new_take(text, strlen(text));
	reply_document(ctx, exchange, body);
	g_bytes_unref(body);
	config_record_free(record);
}

static const char *get_parameter(GHashTable *query, const char *name)
{
	return query ? g_hash_table_lookup(query, name) : NULL;
}

static gboolean read_change_id(GHashTable *query, config_change_t *change,
			       catk_error_t *err)
{
	const char *id = get_parameter(query, "change_id");

	if (id && *id && strlen(id) <= CONFIG_CHANGE_ID_MAX &&
	    g_utf8_validate(id, -1, NULL)) {
		g_strlcpy(change->change_id, id, sizeof(change->change_id));
		return TRUE;
	}
	catk_error_set(
		err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		"change_id is missing or too long: send an id of 1 to %d "
		"bytes that no other change has",
		CONFIG_CHANGE_ID_MAX);
	return FALSE;
}

static gboolean read_author(GHashTable *query, config_change_t *change,
			    catk_error_t *err)
{
	const char *author = get_parameter(query, "author");

	if (!author)
		return TRUE;
	if (strlen(author) <= CONFIG_AUTHOR_MAX &&
	    g_utf8_validate(author, -1, NULL)) {
		g_strlcpy(change->author, author, sizeof(change->author));
		return TRUE;
	}
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "author is too long: send at most %d bytes",
		       CONFIG_AUTHOR_MAX);
	return FALSE;
}

static gboolean read_base_version(GHashTable *query, guint64 *base,
				  catk_error_t *err)
{
	const char *text = get_parameter(query, "base_version");

	if (text)
		return http_parse_number("base_version", text, 0, G_MAXINT64, 0,
					 base, err);
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "base_version is missing: send the version that the "
		       "change replaces, 0 when there is none");
	return FALSE;
}

static gboolean read_change(operator_api_t *api, GHashTable *query,
			    config_change_t *change, guint64 *base,
			    catk_error_t *err)
{
	if (!api->store) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "this instance has a local configuration: edit "
			       "its config_file and restart it");
		return FALSE;
	}
	change->time = g_get_real_time() / G_TIME_SPAN_SECOND;
	return read_change_id(query, change, err) &&
	       read_author(query, change, err) &&
	       read_base_version(query, base, err);
}

static void collect_issue(void *ctx, const char *place, const char *message)
{
	JsonBuilder *issues = ctx;

	json_builder_begin_object(issues);
	json_builder_set_member_name(issues, "place");
	json_builder_add_string_value(issues, place);
	json_builder_set_member_name(issues, "message");
	json_builder_add_string_value(issues, message);
	json_builder_end_object(issues);
}

static void add_issues(void *ctx, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "issues");
	json_builder_add_value(builder, json_builder_get_root(ctx));
}

/* If the schema is invalid, sends all its errors and returns FALSE. */
static gboolean check_schema(http_exchange_t *exchange, GBytes *document)
{
	JsonBuilder *issues = json_builder_new();
	catk_error_t error;
	schema_t *schema;

	json_builder_begin_array(issues);
	schema = schema_from_json(document, collect_issue, issues);
	json_builder_end_array(issues);
	if (!schema) {
		catk_error_set(
			&error, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			"the schema is not valid: correct all issues and "
			"apply it again");
		http_reply_error_with(exchange, &error, add_issues, issues);
	}
	g_object_unref(issues);
	if (!schema)
		return FALSE;
	schema_free(schema);
	return TRUE;
}

static void add_version(void *ctx, JsonBuilder *builder)
{
	const config_store_result_t *result = ctx;

	json_builder_set_member_name(builder, "version");
	json_builder_add_int_value(builder, (gint64)result->version);
}

static void reply_accepted(http_exchange_t *exchange,
			   const config_store_result_t *result)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	add_version((void *)result, builder);
	json_builder_end_object(builder);
	http_reply_json(exchange, builder);
	g_object_unref(builder);
}

static void set_error_from_result(const config_store_result_t *result,
				  catk_error_t *error)
{
	if (result->step == CONFIG_APPLY_CONFLICT)
		catk_error_set(error, CATK_CONFLICT, OUTCOME_NOT_RUN,
			       "the stored configuration has version "
			       "%" G_GUINT64_FORMAT
			       ": rebase the change on it and apply with that "
			       "base version and a new change id",
			       result->version);
	else if (result->step == CONFIG_APPLY_UNKNOWN && result->version)
		catk_error_set(error, CATK_UNAVAILABLE, OUTCOME_UNKNOWN,
			       "the history no longer includes the base "
			       "version, so it is unknown whether the change "
			       "took effect: compare with the schema in force, "
			       "then apply with base version %" G_GUINT64_FORMAT
			       " and a new change id",
			       result->version);
	else if (result->step == CONFIG_APPLY_UNKNOWN)
		catk_error_set(error, CATK_UNAVAILABLE, OUTCOME_UNKNOWN,
			       "the change may have taken effect: apply it "
			       "again with the same change id and base version "
			       "to find out");
	else if (result->too_large)
		catk_error_set(error, CATK_TOO_LARGE, OUTCOME_NOT_RUN,
			       "the schema with its history exceeds %d bytes: "
			       "make it smaller",
			       CONFIG_STORE_BYTES_MAX);
	else
		catk_error_set(error, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "the object API does not answer and nothing was "
			       "written: apply again later");
}

static void reply_result(http_exchange_t *exchange,
			 const config_store_result_t *result)
{
	catk_error_t error;

	if (result->step == CONFIG_APPLY_ACCEPTED) {
		reply_accepted(exchange, result);
		return;
	}
	set_error_from_result(result, &error);
	http_reply_error_with(
		exchange, &error,
		result->step == CONFIG_APPLY_CONFLICT ? add_version : NULL,
		(void *)result);
}

static void on_applied(void *ctx, const config_store_result_t *result)
{
	pending_change_t *pending = ctx;

	/* Activates the version now; peers then receive it from here. */
	if (result->document)
		config_source_activate(pending->api->entry, result->version,
				       result->document, NULL);
	if (pending->exchange)
		reply_result(pending->exchange, result);
	pending_free(pending);
}

/* The change continues; only its answer is lost. */
static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	operator_api_t *api = ctx;
	pending_change_t *pending;

	TAILQ_FOREACH (pending, &api->pending, link)
		if (pending->exchange == exchange)
			pending->exchange = NULL;
}

static pending_change_t *pending_new(operator_api_t *api,
				     http_exchange_t *exchange)
{
	pending_change_t *pending = g_new0(pending_change_t, 1);

	pending->api = api;
	pending->exchange = exchange;
	TAILQ_INSERT_TAIL(&api->pending, pending, link);
	return pending;
}

static void apply_config(operator_api_t *api, http_exchange_t *exchange,
			 GHashTable *query)
{
	GBytes *schema = http_exchange_request(exchange)->body;
	config_change_t change = { 0 };
	catk_error_t error;
	guint64 base;

	if (!read_change(api, query, &change, &base, &error))
		http_reply_error(exchange, &error);
	else if (check_schema(exchange, schema))
		config_store_apply(api->store, &change, base, schema,
				   on_applied, pending_new(api, exchange));
}

static void on_config(void *ctx, http_exchange_t *exchange, const char *path,
		      GHashTable *query)
{
	const char *method = http_exchange_request(exchange)->method;

	(void)path;
	if (g_str_equal(method, "POST"))
		apply_config(ctx, exchange, query);
	else
		reply_config(ctx, exchange);
}

static void on_drain(void *ctx, http_exchange_t *exchange, const char *path,
		     GHashTable *query)
{
	operator_api_t *api = ctx;
	JsonBuilder *builder = json_builder_new();

	(void)path;
	(void)query;
	entry_shutdown(api->entry, "operator");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "leaving");
	json_builder_add_boolean_value(builder, TRUE);
	json_builder_end_object(builder);
	http_reply_json(exchange, builder);
	g_object_unref(builder);
}

static void add_handler(operator_api_t *api, const char *path,
			void (*request)(void *ctx, http_exchange_t *exchange,
					const char *path, GHashTable *query))
{
	const http_handler_t handler = { .request = request,
					 .disconnected = on_disconnected,
					 .ctx = api };

	http_service_add_handler(api->service, path, &handler);
}

operator_api_t *operator_api_new(http_service_t *service, entry_t *entry,
				 object_api_t *object_api)
{
	operator_api_t *api = g_new0(operator_api_t, 1);

	api->service = service;
	api->entry = entry;
	api->store = object_api ? config_store_new(object_api) : NULL;
	TAILQ_INIT(&api->pending);
	add_handler(api, DUMP_PATH, on_dump);
	add_handler(api, CONFIG_PATH, on_config);
	add_handler(api, HISTORY_PATH, on_history);
	add_handler(api, DRAIN_PATH, on_drain);
	return api;
}

void operator_api_free(operator_api_t *api)
{
	const config_store_result_t unknown = { .step = CONFIG_APPLY_UNKNOWN };

	if (!api)
		return;
	http_service_remove_handler(api->service, DUMP_PATH);
	http_service_remove_handler(api->service, CONFIG_PATH);
	http_service_remove_handler(api->service, HISTORY_PATH);
	http_service_remove_handler(api->service, DRAIN_PATH);
	config_store_free(api->store);
	while (!TAILQ_EMPTY(&api->pending)) {
		if (TAILQ_FIRST(&api->pending)->exchange)
			reply_result(TAILQ_FIRST(&api->pending)->exchange,
				     &unknown);
		pending_free(TAILQ_FIRST(&api->pending));
	}
	g_free(api);
}
