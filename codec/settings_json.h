/*
 * The settings of one daemon, read from a JSON file. docs/OPERATIONS.md lists
 * the keys with ranges, units and defaults. The table in settings_json.c defines
 * them.
 */
#ifndef CATK_SETTINGS_JSON_H
#define CATK_SETTINGS_JSON_H

#include "lib/common/error.h"
#include "lib/entry/entry.h"

typedef struct {
	char *instance;
	char *data_centre;
	char *caller_address; /* "ip:port" for callers and operators */
	char *peer_address; /* "ip:port" for other instances, or NULL */
	char *peer_listen; /* "ip:port", or NULL to listen on peer_address */
	char *object_api; /* "ip:port", or NULL */
	char *config_file; /* path of a schema file, replaces the object API */
	char *instance_list; /* key of the list of entry instances, or NULL */
	/* For a platform that routes HTTP requests; each "ip:port" or NULL. */
	char *proxy_address; /* for callers' requests */
	char *directory_address; /* for callers that resolve addresses */
	char *ready_address; /* for readiness checks */
	char *metadata_store; /* of configuration and endpoints */
	gint64 probes_per_second; /* per endpoint in the store, all instances */
	GPtrArray *seeds; /* of char *, peer addresses to join through */
	GTimeSpan termination_grace; /* from SIGTERM to SIGKILL, 0: unknown */
	/* For the last answers, after shutdown_max; from termination_grace. */
	GTimeSpan final_writes_max;
	GTimeSpan resolve_ttl_max; /* that callers keep to, 0: unlimited */
	gint64 body_bytes_max; /* of a request or an answer */
	gint64 memory_max_mb; /* of the process, in MiB */
	gint64 object_api_poll_ms; /* between two fallback reads */
	gint64 instance_list_poll_ms; /* between two reads of an instance list */
	gint64 instance_list_reads_per_second; /* over all instances */
	entry_limits_t entry;
} settings_t;

/* Called for each error with its JSONPath in the document. */
typedef void (*settings_issue_fn_t)(void *ctx, const char *path,
				    const char *message);

/*
 * Parses and validates settings. Unknown keys are errors. If there are errors,
 * returns NULL and reports each with the key, the value and the remedy through
 * on_issue, which may be NULL. Free with settings_free().
 */
settings_t *settings_from_json(const char *text, gssize length,
			       settings_issue_fn_t on_issue, void *ctx);

/* Frees settings. NULL is allowed. */
void settings_free(settings_t *settings);

/* Receives the description of one numeric key, for help texts. */
typedef void (*settings_describe_fn_t)(void *ctx, const char *key,
				       const char *unit, gint64 min, gint64 max,
				       gint64 default_value, const char *help);

/* Calls describe for each numeric key. */
void settings_describe(settings_describe_fn_t describe, void *ctx);

#endif
