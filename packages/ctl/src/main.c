/* galenactl: the operator's command line.  It reads; it changes nothing.  */

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <galenaford/record.h>

enum
{
  EXIT_USAGE = 2,
  ARGUMENTS_MAX = 8
};

const char *argp_program_version = "galenactl " GALENA_VERSION;

struct arguments
{
  const char *words[ARGUMENTS_MAX];
  int count;
};

/* One command: its name, its operands, and what it does.  */
struct command
{
  const char *name;
  int operands;
  int (*run) (const struct arguments *arguments);
};

static enum galena_result
read_file (const char *path, char **text, size_t *size)
{
  FILE *file = fopen (path, "r");
  enum galena_result result = GALENA_OK;

  if (file == NULL)
    return GALENA_ERR_IO;
  *text = malloc (GALENA_RECORD_BYTES_MAX + 1);
  if (*text == NULL)
    result = GALENA_ERR_MEMORY;
  else
    *size = fread (*text, 1, GALENA_RECORD_BYTES_MAX + 1, file);
  fclose (file);
  return result;
}

static void
print_faults (const char *path, const struct galena_faults *faults)
{
  for (uint32_t i = 0; i < faults->count; i++)
    printf ("%s: %s: %s; allowed: %s\n", path, faults->rows[i].path,
            galena_result_word (faults->rows[i].result),
            faults->rows[i].allowed);
}

static int
run_check (const struct arguments *arguments)
{
  const char *path = arguments->words[1];
  struct galena_service_record record;
  struct galena_faults faults;
  char *text = NULL;
  size_t size = 0;
  enum galena_result result = read_file (path, &text, &size);

  if (result != GALENA_OK)
    {
      fprintf (stderr, "galenactl: %s: %s\n", path, strerror (errno));
      return EXIT_FAILURE;
    }
  result = galena_record_parse (text, size, &record, &faults);
  free (text);
  print_faults (path, &faults);
  if (result != GALENA_OK)
    return EXIT_FAILURE;
  printf ("%s: service=%s generation=%llu schema=%u upstreams=%u kinds=%u\n",
          path, record.service.name,
          (unsigned long long)record.service.generation, record.service.schema,
          record.service.upstream_count, record.service.kind_count);
  galena_record_release (&record);
  return EXIT_SUCCESS;
}

static const struct command COMMANDS[] = {
  { "check", 1, run_check },
};

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof COMMANDS / sizeof COMMANDS[0]; i++)
    if (strcmp (COMMANDS[i].name, name) == 0)
      return &COMMANDS[i];
  return NULL;
}

static error_t
take_argument (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  const struct command *command;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->count == ARGUMENTS_MAX)
        argp_error (state, "too many arguments");
      else
        arguments->words[arguments->count++] = text;
      return 0;
    case ARGP_KEY_END:
      if (arguments->count == 0)
        argp_error (state, "a command is needed");
      command = find_command (arguments->words[0]);
      if (command == NULL)
        argp_error (state, "unknown command '%s'", arguments->words[0]);
      else if (arguments->count - 1 != command->operands)
        argp_error (state, "'%s' takes %d operands", command->name,
                    command->operands);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp ARGP
    = { NULL,
        take_argument,
        "check RECORD",
        "Checks records and reads the state of running processes.",
        NULL,
        NULL,
        NULL };

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  return find_command (arguments.words[0])->run (&arguments);
}
