/* The commands that read and change the configuration. */
#include <stdio.h>

#include "programs/ctl.h"

#define CONFIG_PATH "/v1/operator/config"
#define RETRY_INTERVAL (200 * G_TIME_SPAN_MILLISECOND)

static gint64 deadline_from_now(const ctl_options_t *options)
{
	return g_get_monotonic_time() +
	       options->timeout_ms * G_TIME_SPAN_MILLISECOND;
}

/* Value of the header Config-Version, 0 if it is absent. */
static guint64 version_header(const ctl_reply_t *reply)
{
	const char *text = NULL;

	if (reply->headers)
		text = soup_message_headers_get_one(reply->headers,
						    "Config-Version");
	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

int ctl_config_show(const ctl_options_t *options)
{
	ctl_reply_t reply;
	int status;

	ctl_request(options, SOUP_METHOD_GET, CONFIG_PATH, NULL, NULL, &reply);
	status = ctl_print_reply(&reply);
	if (status == CTL_OK)
		fprintf(stderr, "version %" G_GUINT64_FORMAT "\n",
			version_header(&reply));
	ctl_reply_clear(&reply);
	return status;
}

/* The version in force at the instance, 0 for none, -1 if the request fails. */
static gint64 version_in_force(const ctl_options_t *options)
{
	gint64 version = -1;
	ctl_reply_t reply;

	ctl_request(options, SOUP_METHOD_GET, CONFIG_PATH, NULL, NULL, &reply);
	if (reply.status == SOUP_STATUS_OK ||
	    reply.status == SOUP_STATUS_NOT_FOUND)
		version = (gint64)version_header(&reply);
	else
		ctl_print_reply(&reply);
	ctl_reply_clear(&reply);
	return version;
}

static gchar *change_path(const ctl_options_t *options, const char *change_id,
			  gint64 base)
{
	const char *name = options->author ? options->author :
					     g_get_user_name();
	gchar *id = g_uri_escape_string(change_id, NULL, FALSE);
	gchar *author = g_uri_escape_string(name, NULL, FALSE);
	gchar *path = g_strdup_printf(CONFIG_PATH
				      "?base_version=%" G_GINT64_FORMAT
				      "&change_id=%s&author=%s",
				      base, id, author);

	g_free(id);
	g_free(author);
	return path;
}

/* Retries are safe: a change id is applied at most once. */
static ctl_exit_t send_change(const ctl_options_t *options, const char *path,
			      GBytes *schema, ctl_reply_t *reply)
{
	gint64 deadline = deadline_from_now(options);
	gboolean may_have_taken_effect = FALSE;
	ctl_exit_t status;

	for (;;) {
		ctl_request(options, SOUP_METHOD_POST, path, NULL, schema,
			    reply);
		status = ctl_exit_status(reply);
		if (status != CTL_UNKNOWN && status != CTL_UNAVAILABLE)
			return status;
		may_have_taken_effect |= status == CTL_UNKNOWN;
		if (g_get_monotonic_time() + RETRY_INTERVAL >= deadline)
			return may_have_taken_effect ? CTL_UNKNOWN :
						       CTL_UNAVAILABLE;
		ctl_reply_clear(reply);
		g_usleep(RETRY_INTERVAL);
	}
}

static void print_issues(const ctl_reply_t *reply, const char *file)
{
	JsonNode *document = ctl_reply_json(reply);
	JsonArray *issues = NULL;
	JsonObject *root;
	guint i;

	if (!document)
		return;
	root = json_node_get_object(document);
	if (json_object_has_member(root, "issues"))
		issues = json_object_get_array_member(root, "issues");
	for (i = 0; issues && i < json_array_get_length(issues); i++) {
		JsonObject *issue = json_array_get_object_element(issues, i);

		fprintf(stderr, "%s: %s: %s\n", file,
			json_object_get_string_member(issue, "place"),
			json_object_get_string_member(issue, "message"));
	}
	json_node_unref(document);
}

/* TRUE if the rollout of the version has to wait for the member. */
static gboolean lacks_version(JsonObject *member, gint64 version)
{
	const char *state = json_object_get_string_member(member, "state");

	/* Suspected members count: within seconds they are live or removed. */
	return (g_strcmp0(state, "live") == 0 ||
		g_strcmp0(state, "suspect") == 0) &&
	       json_object_get_int_member(member, "config_version") < version;
}

/*
 * Names of the members that lack the version, each after a space. Empty if all
 * have it, NULL if the members cannot be read.
 */
static gchar *members_lacking_version(const ctl_options_t *options,
				      gint64 version)
{
	GString *names = NULL;
	JsonNode *document;
	JsonArray *members;
	ctl_reply_t reply;
	guint i;

	ctl_request(options, SOUP_METHOD_GET, "/v1/operator/dump", NULL, NULL,
		    &reply);
	document = ctl_reply_json(&reply);
	ctl_reply_clear(&reply);
	if (!document)
		return NULL;
	names = g_string_new(NULL);
	members = json_object_get_array_member(json_node_get_object(document),
					       "members");
	for (i = 0; members && i < json_array_get_length(members); i++) {
		JsonObject *member = json_array_get_object_element(members, i);

		if (lacks_version(member, version))
			g_string_append_printf(
				names, " %s",
				json_object_get_string_member(member, "name"));
	}
	json_node_unref(document);
	return g_string_free(names, FALSE);
}

static ctl_exit_t wait_until_in_force(const ctl_options_t *options,
				      gint64 version)
{
	gint64 deadline = deadline_from_now(options);
	gboolean done = FALSE;
	gchar *lacking;

	for (;;) {
		lacking = members_lacking_version(options, version);
		done = lacking && !*lacking;
		if (done || g_get_monotonic_time() + RETRY_INTERVAL >= deadline)
			break;
		g_free(lacking);
		g_usleep(RETRY_INTERVAL);
	}
	if (!done)
		fprintf(stderr,
			"version %" G_GINT64_FORMAT " is accepted but not yet "
			"in force at%s: check these instances with catkinctl "
			"dump; they apply it as soon as they are reachable\n",
			version,
			lacking ? lacking :
				  " an unknown number of "
				  "instances");
	g_free(lacking);
	return done ? CTL_OK : CTL_ROLLOUT_INCOMPLETE;
}

static gint64 accepted_version(const ctl_reply_t *reply)
{
	JsonNode *document = ctl_reply_json(reply);
	gint64 version = 0;

	if (document)
		version = json_object_get_int_member(
			json_node_get_object(document), "version");
	g_clear_pointer(&document, json_node_unref);
	return version;
}

static ctl_exit_t apply(const ctl_options_t *options, const char *change_id,
			gint64 base, GBytes *schema)
{
	gchar *path = change_path(options, change_id, base);
	ctl_exit_t status;
	ctl_reply_t reply;

	fprintf(stderr, "change id %s, base version %" G_GINT64_FORMAT "\n",
		change_id, base);
	status = send_change(options, path, schema, &reply);
	ctl_print_reply(&reply);
	if (status == CTL_INVALID)
		print_issues(&reply, options->arguments[0]);
	if (status == CTL_UNKNOWN)
		fprintf(stderr,
			"the change may have taken effect: repeat it with the "
			"same change id and base version to find out\n");
	if (status == CTL_OK && options->wait)
		status = wait_until_in_force(options, accepted_version(&reply));
	ctl_reply_clear(&reply);
	g_free(path);
	return status;
}

int ctl_config_apply(const ctl_options_t *options)
{
	GBytes *schema = ctl_read_file(options->arguments[0]);
	gchar *new_id = g_uuid_string_random();
	gint64 base = options->base_version;
	ctl_exit_t status = CTL_UNAVAILABLE;

	if (!schema) {
		status = CTL_INVALID;
		goto out;
	}
	if (base < 0)
		base = version_in_force(options);
	if (base >= 0)
		status = apply(options,
			       options->change_id ? options->change_id : new_id,
			       base, schema);
out:
	g_clear_pointer(&schema, g_bytes_unref);
	g_free(new_id);
	return status;
}
