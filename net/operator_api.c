#include "net/operator_api.h"

#include "codec/dump_json.h"
#include "net/http_reply.h"

#define DUMP_PATH "/v1/operator/dump"
#define CONFIG_PATH "/v1/operator/config"
#define DRAIN_PATH "/v1/operator/drain"

struct operator_api {
	SoupServer *server;
	entry_t *entry;
	object_api_t *api;
};

static void on_dump(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	operator_api_t *operators = data;
	JsonBuilder *builder = json_builder_new();
	dump_writer_t writer = dump_json_writer(builder);

	(void)server;
	(void)path;
	(void)query;
	entry_dump(operators->entry, &writer);
	http_reply_json(message, builder);
	g_object_unref(builder);
}

static void on_config(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	operator_api_t *operators = data;
	const config_t *config = entry_config(operators->entry);
	catk_error_t error;

	(void)server;
	(void)path;
	(void)query;
	if (config_version(config)) {
		http_reply_bytes(message, SOUP_STATUS_OK, "application/json",
				 config_document(config));
		return;
	}
	catk_error_set(&error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "no configuration is in force: apply one with "
		       "catkinctl config apply");
	http_reply_error(message, &error);
}

static void on_drain(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	operator_api_t *operators = data;
	JsonBuilder *builder = json_builder_new();

	(void)server;
	(void)path;
	(void)query;
	entry_shutdown(operators->entry);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "leaving");
	json_builder_add_boolean_value(builder, TRUE);
	json_builder_end_object(builder);
	http_reply_json(message, builder);
	g_object_unref(builder);
}

operator_api_t *operator_api_new(SoupServer *server, entry_t *entry,
				 object_api_t *api)
{
	operator_api_t *operators = g_new0(operator_api_t, 1);

	operators->server = server;
	operators->entry = entry;
	operators->api = api;
	soup_server_add_handler(server, DUMP_PATH, on_dump, operators, NULL);
	soup_server_add_handler(server, CONFIG_PATH, on_config, operators,
				NULL);
	soup_server_add_handler(server, DRAIN_PATH, on_drain, operators, NULL);
	return operators;
}

void operator_api_free(operator_api_t *operators)
{
	if (!operators)
		return;
	soup_server_remove_handler(operators->server, DUMP_PATH);
	soup_server_remove_handler(operators->server, CONFIG_PATH);
	soup_server_remove_handler(operators->server, DRAIN_PATH);
	g_free(operators);
}
