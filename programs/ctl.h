/* Options, HTTP requests and commands of catkinctl. */
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
	guint deadline_ms; /* 0 for the deadline of the method */
	const char *change_id;
	gint64 base_version; /* -1 for the version in force */
	const char *author; /* NULL for the name of the user */
	gboolean wait; /* until a change is in force at all instances */
	const char *against; /* file or "live", NULL for none */
	gboolean json; /* prints the result as JSON */
	guint timeout_ms; /* of each request, and of waiting and retries */
	const char *arguments[CTL_ARGUMENTS_MAX]; /* that follow the command */
	guint argument_count;
} ctl_options_t;

/* Exit statuses; docs/OPERATIONS.md says what to do about each. */
typedef enum {
	CTL_OK = 0,
	CTL_FAILED = 1,
	CTL_INVALID = 2, /* the input must be corrected */
	CTL_CONFLICT = 3, /* another change was applied first */
	CTL_UNKNOWN = 4, /* the request may have taken effect */
	/* Without effect; a retry or another instance may succeed. */
	CTL_UNAVAILABLE = 5,
	/* Accepted, but not in force at all instances within the timeout. */
	CTL_ROLLOUT_INCOMPLETE = 6
} ctl_exit_t;

typedef struct {
	guint status; /* HTTP status, 0 without an answer */
	SoupMessageHeaders *headers; /* NULL without an answer */
	GBytes *body; /* NULL without an answer */
	char *error; /* NULL with an answer */
	/* Without an answer: the request certainly had no effect. */
	gboolean without_effect;
} ctl_reply_t;

/*
 * Sends one request to options->entry and waits for the answer up to
 * options->timeout_ms, rounded up to seconds. request_headers is a
 * NULL-terminated list of alternating names and values, or NULL. body may be
 * NULL. Clear the reply with ctl_reply_clear().
 */
void ctl_request(const ctl_options_t *options, const char *method,
		 const char *path, const char *const *request_headers,
		 GBytes *body, ctl_reply_t *reply);

void ctl_reply_clear(ctl_reply_t *reply);

/* The exit status that corresponds to a reply. */
ctl_exit_t ctl_exit_status(const ctl_reply_t *reply);

/*
 * Parses the body of a reply. Returns NULL if it is no JSON object. Free with
 * json_node_unref().
 */
JsonNode *ctl_reply_json(const ctl_reply_t *reply);

/*
 * Prints the body of a reply to standard output, or an error to standard error.
 * Returns the exit status of the program.
 */
int ctl_print_reply(const ctl_reply_t *reply);

/* Returns NULL if the file cannot be read, after printing why. */
GBytes *ctl_read_file(const char *path);

/* The commands. Each returns the exit status of the program. */
int ctl_schema_check(const ctl_options_t *options);
int ctl_resolve(const ctl_options_t *options);
int ctl_call(const ctl_options_t *options);
int ctl_dump(const ctl_options_t *options);
int ctl_drain(const ctl_options_t *options);
int ctl_config_show(const ctl_options_t *options);
int ctl_config_history(const ctl_options_t *options);
int ctl_config_check(const ctl_options_t *options);
int ctl_config_apply(const ctl_options_t *options);

#endif
