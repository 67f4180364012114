/* What the commands of catkinctl share. */
#ifndef CATK_CTL_H
#define CATK_CTL_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define CTL_ARGUMENTS_MAX 4

typedef struct {
	const char *entry; /* "ip:port" of an instance */
	const char *body;
	const char *request_id;
	const char *caller;
	guint deadline_ms; /* 0 for the method's own */
	const char *change_id;
	gint64 base_version; /* -1 for the version in force */
	const char *author; /* NULL for the user's name */
	gboolean wait;
	guint timeout_ms;
	const char *arguments[CTL_ARGUMENTS_MAX]; /* after the command */
	guint argument_count;
} ctl_options_t;

/* Exit statuses; docs/OPERATIONS.md names the remedy of each. */
typedef enum {
	CTL_OK = 0,
	CTL_FAILED = 1,
	CTL_INVALID = 2, /* the input must be corrected */
	CTL_CONFLICT = 3, /* another change came first */
	CTL_UNKNOWN = 4, /* it may have taken effect */
	CTL_UNAVAILABLE =
		5, /* without effect; later or elsewhere it may work */
	CTL_NOT_EVERYWHERE = 6 /* accepted, not in force everywhere in time */
} ctl_exit_t;

typedef struct {
	guint status; /* HTTP status, 0 when there was no answer */
	SoupMessageHeaders *headers;
	GBytes *body;
	char *error; /* without an answer */
	gboolean without_effect; /* without an answer: certainly not done */
} ctl_reply_t;

/*
 * Sends one request to options->entry and waits for the answer, at most
 * options->timeout_ms (rounded up to seconds). request_headers
 * is a NULL-ended list of names and values, or NULL. body may be NULL. Clear
 * the reply with ctl_reply_clear().
 */
void ctl_request(const ctl_options_t *options, const char *method,
		 const char *path, const char *const *request_headers,
		 GBytes *body, ctl_reply_t *reply);

void ctl_reply_clear(ctl_reply_t *reply);

/* The exit status that a reply calls for. */
ctl_exit_t ctl_exit_of(const ctl_reply_t *reply);

/*
 * The document of the reply when it is a JSON object, else NULL. Free with
 * json_node_unref().
 */
JsonNode *ctl_reply_json(const ctl_reply_t *reply);

/*
 * Prints the body on standard output, or the error on standard error. Returns
 * the exit status of the program: 0 for a status below 400.
 */
int ctl_print(const ctl_reply_t *reply);

/* The file, or NULL with its error on standard error. */
GBytes *ctl_read_file(const char *path);

/* The commands. Each returns the exit status of the program. */
int ctl_schema_check(const ctl_options_t *options);
int ctl_resolve(const ctl_options_t *options);
int ctl_call(const ctl_options_t *options);
int ctl_dump(const ctl_options_t *options);
int ctl_drain(const ctl_options_t *options);
int ctl_config_show(const ctl_options_t *options);
int ctl_config_history(const ctl_options_t *options);
int ctl_config_apply(const ctl_options_t *options);

#endif
