/* scenario FILE.scn [--seed N] [--seeds FIRST-LAST]: runs a scenario and exits
   with 1 when an expectation fails, 2 when the script is at fault.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "scenario.h"

enum
{
  EXIT_EXPECTATION = 1,
  EXIT_SCRIPT = 2
};

struct arguments
{
  const char *path;
  uint64_t first;
  uint64_t last;
};

const char *argp_program_version = "scenario " GALENA_VERSION;

static const struct argp_option OPTIONS[] = {
  { "seed", 's', "N", 0, "Run from seed N (1)", 0 },
  { "seeds", 'S', "FIRST-LAST", 0, "Run from each of these seeds", 0 },
  { "verbs", 'v', NULL, 0, "Print how each verb is called", 0 },
  { 0 },
};

static bool
parse_seeds (struct arguments *arguments, const char *word)
{
  char *end;

  arguments->first = g_ascii_strtoull (word, &end, 10);
  if (*end != '-')
    return false;
  arguments->last = g_ascii_strtoull (end + 1, &end, 10);
  return *end == '\0' && arguments->first <= arguments->last;
}

static void
print_verbs (void)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < SCENARIO_VERB_COUNT; i++)
    {
      scenario_describe (&SCENARIO_VERBS[i], text);
      g_string_append_c (text, '\n');
    }
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static error_t
parse_option (int key, char *word, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->first = g_ascii_strtoull (word, NULL, 10);
      arguments->last = arguments->first;
      return 0;
    case 'S':
      if (!parse_seeds (arguments, word))
        argp_error (state, "bad seeds \"%s\"", word);
      return 0;
    case 'v':
      print_verbs ();
      exit (EXIT_SUCCESS);
    case ARGP_KEY_ARG:
      if (arguments->path != NULL)
        argp_error (state, "more than one file");
      arguments->path = word;
      return 0;
    case ARGP_KEY_END:
      if (arguments->path == NULL)
        argp_error (state, "no file");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp ARGP
    = { OPTIONS, parse_option, "FILE.scn", "Runs a scenario.", 0, 0, 0 };

/* Runs one seed; prints its figures when VERBOSE or when it fails.  */
static int
run_seed (const struct scenario_script *script, uint64_t seed, bool verbose)
{
  struct scenario scenario;
  GError *error = NULL;
  int status = EXIT_SUCCESS;

  if (!scenario_run (&scenario, script, seed, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      scenario_end (&scenario);
      return EXIT_SCRIPT;
    }
  if (scenario.failures->len > 0)
    status = EXIT_EXPECTATION;
  if (verbose || status != EXIT_SUCCESS)
    scenario_print (&scenario);
  fputs (scenario.failures->str, stdout);
  scenario_end (&scenario);
  return status;
}

static int
run_seeds (const struct scenario_script *script,
           const struct arguments *arguments)
{
  bool single = arguments->first == arguments->last;
  uint64_t failed = 0;

  for (uint64_t seed = arguments->first; seed <= arguments->last; seed++)
    {
      int status = run_seed (script, seed, single);

      if (status == EXIT_SCRIPT)
        return status;
      failed += status != EXIT_SUCCESS;
    }
  printf ("scenario=%s seeds=%lu failed=%lu\n", script->path,
          arguments->last - arguments->first + 1, failed);
  return failed > 0 ? EXIT_EXPECTATION : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { .first = 1, .last = 1 };
  struct scenario_script *script;
  GError *error = NULL;
  int status;

  argp_err_exit_status = EXIT_SCRIPT;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  script = scenario_read (arguments.path, &error);
  if (script == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return EXIT_SCRIPT;
    }
  status = run_seeds (script, &arguments);
  scenario_free (script);
  return status;
}
