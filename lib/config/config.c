#include "lib/config/config.h"

/* Routes freed in one step, which takes less than 0.5 ms. */
#define FREED_ROUTES_MAX 500

struct config {
	counters_t *counters;
	guint64 version; /* in force, 0 for none */
	guint64 highest_rejected; /* highest invalid version, 0 for none */
	schema_t *schema;
	schema_t *replaced; /* not used any more, NULL once it is freed */
	GBytes *document;
};

config_t *config_new(counters_t *counters)
{
	config_t *config = g_new0(config_t, 1);

	config->counters = counters;
	return config;
}

void config_free(config_t *config)
{
	if (!config)
		return;
	schema_free(config->schema);
	schema_free(config->replaced);
	g_clear_pointer(&config->document, g_bytes_unref);
	g_free(config);
}

config_activate_result_t config_activate(config_t *config, guint64 version,
					 schema_t *schema, GBytes *document)
{
	if (version <= config->version) {
		schema_free(schema);
		return CONFIG_STALE;
	}
	schema_free(config->replaced);
	config->replaced = config->schema;
	g_clear_pointer(&config->document, g_bytes_unref);
	config->version = version;
	config->schema = schema;
	config->document = g_bytes_ref(document);
	counters_add(config->counters, COUNTER_CONFIG_ACCEPTED, 1);
	return CONFIG_ACTIVATED;
}

void config_free_replaced(config_t *config)
{
	if (config->replaced &&
	    !schema_free_some_routes(config->replaced, FREED_ROUTES_MAX))
		g_clear_pointer(&config->replaced, schema_free);
}

void config_reject(config_t *config, guint64 version)
{
	if (version <= config_seen_version(config))
		return;
	config->highest_rejected = version;
	counters_add(config->counters, COUNTER_CONFIG_REJECTED, 1);
}

guint64 config_seen_version(const config_t *config)
{
	return MAX(config->version, config->highest_rejected);
}

guint64 config_version(const config_t *config)
{
	return config->version;
}

const schema_t *config_schema(const config_t *config)
{
	return config->schema;
}

GBytes *config_document(const config_t *config)
{
	return config->document;
}
