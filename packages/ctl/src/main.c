/* galenactl: the operator's command-line program.  It only reads state and
   never changes anything.  */

#include <argp.h>
#include <string.h>

#include "arguments.h"

enum
{
  KEY_JSON = 256,
  KEY_AGAINST,
  KEY_FOLLOW
};

const char *argp_program_version = "galenactl " GALENA_VERSION;

static const struct command COMMANDS[] = {
  { "check", "RECORD", 1, false, run_check,
    "validates a service record and prints every fault" },
  { "config", "FILE", 1, false, run_config,
    "validates a configuration of the front end packets" },
  { "plan", "OLD NEW", 2, false, run_plan,
    "shows what changes between two records, or folders of records" },
  { "story", "LOG CALLER", 2, false, run_story,
    "prints the lines of LOG (\"-\": standard input) on the flow of CALLER" },
  { "status", "", 0, true, run_view, "state of each process" },
  { "upstreams", "", 0, true, run_view,
    "upstreams as each process sees them" },
  { "flows", "", 0, true, run_view,
    "work by service and kind, with latencies" },
  { "counters", "", 0, true, run_view, "counters by group and reason" },
  { "audit", "", 0, true, run_audit,
    "audit trail of each process, oldest first" },
  { "drain-progress", "", 0, true, run_view,
    "work still in progress in processes that stop or leave" },
  { "generation", "", 0, true, run_generation,
    "generation of each service in each process, and how far it lags" },
};

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof COMMANDS / sizeof COMMANDS[0]; i++)
    if (strcmp (COMMANDS[i].name, name) == 0)
      return &COMMANDS[i];
  return NULL;
}

/* Appends TEXT to a list of at most MAX, or exits with a usage error.  */
static void
add_text (struct argp_state *state, const char **list, int *count, int max,
          const char *text)
{
  if (*count == max)
    argp_error (state, "too many arguments, at most %d of each kind", max);
  else
    list[(*count)++] = text;
}

static void
check_arguments (struct argp_state *state, const struct arguments *arguments)
{
  const struct command *command;
  int sources = arguments->settings_count + arguments->address_count;

  if (arguments->positional_count == 0)
    argp_error (state, "no command given");
  command = find_command (arguments->positional[0]);
  if (command == NULL)
    argp_error (state, "unknown command '%s'", arguments->positional[0]);
  else if (arguments->positional_count - 1 != command->operand_count)
    argp_error (state, "'%s' takes %d operands", command->name,
                command->operand_count);
  else if (command->queries_processes && sources == 0)
    argp_error (state, "'%s' needs --settings or --address", command->name);
  else if (arguments->follow && command->run != run_audit)
    argp_error (state, "'%s' does not support --follow", command->name);
  else if (arguments->against != NULL && command->run != run_config)
    argp_error (state, "'%s' does not support --against", command->name);
  for (int i = 0; i < arguments->filter_count; i++)
    if (strchr (arguments->filters[i], '=') == NULL)
      argp_error (state, "'%s' is not of the form FIELD=VALUE",
                  arguments->filters[i]);
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      add_text (state, arguments->settings, &arguments->settings_count,
                SOURCES_MAX, text);
      return 0;
    case 'a':
      add_text (state, arguments->addresses, &arguments->address_count,
                SOURCES_MAX, text);
      return 0;
    case 'w':
      add_text (state, arguments->filters, &arguments->filter_count,
                FILTERS_MAX, text);
      return 0;
    case KEY_JSON:
      arguments->json = true;
      return 0;
    case KEY_AGAINST:
      arguments->against = text;
      return 0;
    case KEY_FOLLOW:
      arguments->follow = true;
      return 0;
    case ARGP_KEY_ARG:
      add_text (state, arguments->positional, &arguments->positional_count,
                POSITIONAL_MAX, text);
      return 0;
    case ARGP_KEY_END:
      check_arguments (state, arguments);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Appends the list of commands to the help text.  */
static char *
filter_help (int key, const char *text, void *input)
{
  char *help = NULL;
  size_t size;
  FILE *out;

  (void)input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *)text;
  out = open_memstream (&help, &size);
  if (out == NULL)
    return NULL;
  fputs ("Commands:\n", out);
  for (size_t i = 0; i < sizeof COMMANDS / sizeof COMMANDS[0]; i++)
    fprintf (out, "  %s %s\n      %s\n", COMMANDS[i].name,
             COMMANDS[i].operands, COMMANDS[i].description);
  fputs ("Exit codes: 0 done, 1 a fault or a process without a reply, "
         "2 wrong usage; config: or an unreadable file.\n",
         out);
  fclose (out);
  return help;
}

static const struct argp_option OPTIONS[] = {
  { "settings", 's', "FILE", 0,
    "Query the process with these settings, or one for each *.ini "
    "file in a folder",
    0 },
  { "address", 'a', "A.B.C.D:PORT", 0, "Query the process at this address",
    0 },
  { "where", 'w', "FIELD=VALUE", 0, "Print only rows with this value", 0 },
  { "against", KEY_AGAINST, "OLD", 0,
    "config: also print what differs from OLD, the version in force", 0 },
  { "json", KEY_JSON, NULL, 0, "Print JSON", 0 },
  { "follow", KEY_FOLLOW, NULL, 0, "audit: keep printing new rows", 0 },
  { 0 },
};

static const struct argp ARGP
    = { OPTIONS,
        parse_option,
        "COMMAND [OPERAND...]",
        "Validates records and shows the state of running processes.\v",
        NULL,
        filter_help,
        NULL };

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  return find_command (arguments.positional[0])->run (&arguments);
}
