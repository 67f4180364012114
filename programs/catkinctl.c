/* Command line tool for operators. */
#include <argp.h>
#include <stdio.h>
#include <sysexits.h>

#include "programs/ctl.h"

const char *argp_program_version = "catkinctl 0.1.0";

#define DEFAULT_ENTRY "127.0.0.1:8100"
#define DEFAULT_TIMEOUT_MS 10000

typedef struct {
	const char *name; /* of one or more words, such as "config show" */
	guint argument_count;
	const char *usage;
	int (*run)(const ctl_options_t *options);
} command_t;

static const command_t commands[] = {
	{ "schema check", 1, "schema check FILE", ctl_schema_check },
	{ "resolve", 0, "resolve", ctl_resolve },
	{ "call", 1, "call SERVICE.METHOD", ctl_call },
	{ "dump", 0, "dump", ctl_dump },
	{ "drain", 0, "drain", ctl_drain },
	{ "config show", 0, "config show", ctl_config_show },
	{ "config history", 0, "config history", ctl_config_history },
	{ "config check", 1, "config check FILE", ctl_config_check },
	{ "config apply", 1, "config apply FILE", ctl_config_apply },
};

enum {
	KEY_ENTRY = 'e',
	KEY_BODY = 'b',
	KEY_REQUEST_ID = 'r',
	KEY_CALLER = 'c',
	KEY_DEADLINE = 'd',
	KEY_CHANGE_ID = 'i',
	KEY_BASE_VERSION = 'v',
	KEY_AUTHOR = 'a',
	KEY_WAIT = 'w',
	KEY_TIMEOUT = 't',
	KEY_AGAINST = 'g',
	KEY_JSON = 'j'
};

static const struct argp_option option_table[] = {
	{ "entry", KEY_ENTRY, "IP:PORT", 0,
	  "Address of the instance to use, default " DEFAULT_ENTRY, 0 },
	{ "body", KEY_BODY, "TEXT", 0, "Body of a call", 0 },
	{ "request-id", KEY_REQUEST_ID, "ID", 0,
	  "Id of a call; by default one obtained from resolve", 0 },
	{ "caller", KEY_CALLER, "NAME", 0, "Name of the caller", 0 },
	{ "deadline-ms", KEY_DEADLINE, "MS", 0,
	  "Deadline of a call; by default the method's", 0 },
	{ "change-id", KEY_CHANGE_ID, "ID", 0,
	  "Id of a change; by default a new one. Repeating an id does not "
	  "apply the change twice",
	  0 },
	{ "base-version", KEY_BASE_VERSION, "N", 0,
	  "Version that a change replaces; by default the one in force", 0 },
	{ "author", KEY_AUTHOR, "NAME", 0,
	  "Author of a change; by default the user", 0 },
	{ "wait", KEY_WAIT, NULL, 0,
	  "Wait until the change is in force at every live instance", 0 },
	{ "against", KEY_AGAINST, "FILE|live", 0,
	  "Configuration that config check compares with; live: the one in "
	  "force",
	  0 },
	{ "json", KEY_JSON, NULL, 0, "Result of config check as JSON", 0 },
	{ "timeout-ms", KEY_TIMEOUT, "MS", 0,
	  "Maximum time to wait for answers and for --wait, default 10000", 0 },
	{ 0 }
};

typedef struct {
	ctl_options_t options;
	const char *words[CTL_ARGUMENTS_MAX + 2];
	guint word_count;
} input_t;

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	input_t *input = state->input;

	switch (key) {
	case KEY_ENTRY:
		input->options.entry = argument;
		break;
	case KEY_BODY:
		input->options.body = argument;
		break;
	case KEY_REQUEST_ID:
		input->options.request_id = argument;
		break;
	case KEY_CALLER:
		input->options.caller = argument;
		break;
	case KEY_DEADLINE:
		input->options.deadline_ms =
			(guint)g_ascii_strtoull(argument, NULL, 10);
		break;
	case KEY_CHANGE_ID:
		input->options.change_id = argument;
		break;
	case KEY_BASE_VERSION:
		input->options.base_version =
			g_ascii_strtoll(argument, NULL, 10);
		break;
	case KEY_AUTHOR:
		input->options.author = argument;
		break;
	case KEY_WAIT:
		input->options.wait = TRUE;
		break;
	case KEY_TIMEOUT:
		input->options.timeout_ms =
			(guint)g_ascii_strtoull(argument, NULL, 10);
		break;
	case KEY_AGAINST:
		input->options.against = argument;
		break;
	case KEY_JSON:
		input->options.json = TRUE;
		break;
	case ARGP_KEY_ARG:
		if (input->word_count == G_N_ELEMENTS(input->words))
			argp_error(state, "too many arguments");
		input->words[input->word_count++] = argument;
		break;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

/*
 * Returns the number of words in the name of the command if input consists of
 * that name and the right number of arguments, else 0.
 */
static guint match_command(const command_t *command, const input_t *input)
{
	gchar **words = g_strsplit(command->name, " ", -1);
	guint count = g_strv_length(words);
	gboolean same = input->word_count == count + command->argument_count;
	guint i;

	for (i = 0; same && i < count; i++)
		same = g_str_equal(words[i], input->words[i]);
	g_strfreev(words);
	return same ? count : 0;
}

static int run_command(input_t *input)
{
	guint i, j;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		guint words = match_command(&commands[i], input);

		if (!words)
			continue;
		for (j = words; j < input->word_count; j++)
			input->options.arguments[j - words] = input->words[j];
		input->options.argument_count = input->word_count - words;
		return commands[i].run(&input->options);
	}
	fprintf(stderr,
		"unknown command or wrong number of arguments; commands "
		"are:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  catkinctl %s\n", commands[i].usage);
	return EX_USAGE;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.args_doc = "COMMAND [ARGUMENT]",
		.doc = "catkinctl -- operate and call catkinstall\v"
		       "Commands: schema check FILE, resolve, call "
		       "SERVICE.METHOD, dump, drain, config show, config "
		       "history, config check FILE, config apply FILE\n"
		       "Exit status: 0 done; 1 other failure; 2 the input must "
		       "be corrected (config check: 1 findings, 2 cannot "
		       "be read); 3 another change was applied first: "
		       "rebase; 4 the outcome is unknown: repeat with the "
		       "same id; 5 unavailable and without effect: retry "
		       "later or with another --entry; 6 accepted but not "
		       "in force at all instances in time; 64 wrong usage",
	};
	input_t input = { 0 };

	input.options.entry = DEFAULT_ENTRY;
	input.options.base_version = -1;
	input.options.timeout_ms = DEFAULT_TIMEOUT_MS;
	argp_parse(&argp, argc, argv, 0, NULL, &input);
	return run_command(&input);
}
