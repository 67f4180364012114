/* The entry instance: reads its settings and runs the daemon. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "net/log.h"
#include "programs/daemon.h"

/*
 * Tests build the daemon with a faulty retry rule or shutdown rule, whose faults
 * they must detect; see catkinstalld_naive and catkinstalld_naive_shutdown in
 * the Makefile.
 */
#ifdef CATK_RETRY_RULE
#include "lib/call/call.h"
extern const retry_rule_t CATK_RETRY_RULE;
#endif
#ifdef CATK_SHUTDOWN_RULE
#include "lib/shutdown/shutdown.h"
extern const shutdown_rule_t CATK_SHUTDOWN_RULE;
#endif

const char *argp_program_version = "catkinstalld 0.1.0";

typedef struct {
	const char *settings_path;
	gboolean check_only;
} options_t;

enum { KEY_SETTINGS = 's', KEY_CHECK = 'c', KEY_LIST = 'l' };

static const struct argp_option option_table[] = {
	{ "settings", KEY_SETTINGS, "FILE", 0, "Read settings from FILE", 0 },
	{ "check", KEY_CHECK, NULL, 0, "Check the settings and exit", 0 },
	{ "list-settings", KEY_LIST, NULL, 0,
	  "List numeric settings with ranges, defaults and units, and exit",
	  0 },
	{ 0 }
};

static void print_setting(void *ctx, const char *key, const char *unit,
			  gint64 min, gint64 max, gint64 initial,
			  const char *help)
{
	(void)ctx;
	printf("%s: %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
	       " %s, default %" G_GINT64_FORMAT "; %s\n",
	       key, min, max, unit, initial, help);
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case KEY_SETTINGS:
		options->settings_path = argument;
		break;
	case KEY_CHECK:
		options->check_only = TRUE;
		break;
	case KEY_LIST:
		settings_describe(print_setting, NULL);
		exit(EXIT_SUCCESS);
	case ARGP_KEY_END:
		if (!options->settings_path)
			argp_error(state, "--settings FILE is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void print_issue(void *ctx, const char *place, const char *message)
{
	g_warning("%s: %s: %s", (const char *)ctx, place, message);
}

static settings_t *read_settings(const char *path)
{
	settings_t *settings;
	GError *error = NULL;
	gchar *text;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		g_warning("cannot read the settings: %s", error->message);
		g_clear_error(&error);
		return NULL;
	}
	settings = settings_from_json(text, (gssize)size, print_issue,
				      (void *)path);
	g_free(text);
	return settings;
}

static settings_t *reload_settings(void *ctx)
{
	return read_settings(ctx);
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "catkinstalld -- an entry instance of the catkinstall "
		       "load balancer",
	};
	options_t options = { 0 };
	int status = EXIT_FAILURE;
	daemon_reload_t reload = { .read = reload_settings };
	settings_t *settings;
	catk_error_t error;

	daemon_block_signals();
	log_init("catkinstalld");
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	settings = read_settings(options.settings_path);
	if (!settings)
		return EXIT_FAILURE;
#ifdef CATK_RETRY_RULE
	settings->entry.retry_rule = &CATK_RETRY_RULE;
#endif
#ifdef CATK_SHUTDOWN_RULE
	settings->entry.shutdown_rule = &CATK_SHUTDOWN_RULE;
#endif
	reload.ctx = (void *)options.settings_path;
	if (options.check_only || daemon_run(settings, &reload, &error))
		status = EXIT_SUCCESS;
	else
		g_warning("%s", error.message);
	settings_free(settings);
	return status;
}
