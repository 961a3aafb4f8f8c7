/* scenario FILE.scn [--seed N] [--seeds FIRST-LAST] [--threads N]: runs a
   scenario with one or many seeds.  Exits with 1 if an expectation fails, and
   with 2 on an error in the arguments or the script.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "scenario.h"

enum
{
  EXIT_EXPECTATION_FAILED = 1,
  EXIT_SCRIPT_FAILED = 2,
  THREADS_DEFAULT = 4,
  THREADS_MAX = 256
};

struct arguments
{
  const char *path;
  uint64_t first;
  uint64_t last;
  uint64_t threads;
};

const char *argp_program_version = "scenario " GALENA_VERSION;

static const struct argp_option OPTIONS[] = {
  { "seed", 's', "N", 0, "Run with seed N (default 1)", 0 },
  { "seeds", 'S', "FIRST-LAST", 0, "Run with each of these seeds", 0 },
  { "threads", 't', "N", 0, "Run N seeds in parallel (default 4)", 0 },
  { "verbs", 'v', NULL, 0, "Print the usage of each verb", 0 },
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
    case 't':
      arguments->threads = g_ascii_strtoull (word, NULL, 10);
      if (arguments->threads < 1 || arguments->threads > THREADS_MAX)
        argp_error (state, "bad number of threads \"%s\"", word);
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

/* State shared by the threads that run seeds.  */
struct work
{
  const struct scenario_script *script;
  /* Whether to print the measures of runs that succeed too.  */
  bool verbose;
  /* Number of runs that failed.  */
  uint64_t failed;
  /* Whether the script has an error.  */
  bool script_failed;
  /* Protects the two members above and the output.  */
  GMutex lock;
};

/* Prints the result of a run and returns the exit status for it.  An error in
   the script is printed once.  */
static int
report (const struct work *work, struct scenario *scenario, GError *error)
{
  if (error != NULL)
    {
      if (!work->script_failed)
        fprintf (stderr, "%s\n", error->message);
      return EXIT_SCRIPT_FAILED;
    }
  if (work->verbose || scenario->failures->len > 0)
    scenario_print (scenario);
  fputs (scenario->failures->str, stdout);
  return scenario->failures->len > 0 ? EXIT_EXPECTATION_FAILED : EXIT_SUCCESS;
}

/* Runs one seed; prints its measures if it is the only one or fails.  */
static int
run_seed (struct work *work, uint64_t seed)
{
  struct scenario scenario;
  GError *error = NULL;
  int status;

  scenario_run (&scenario, work->script, seed, &error);
  g_mutex_lock (&work->lock);
  status = report (work, &scenario, error);
  work->script_failed |= status == EXIT_SCRIPT_FAILED;
  g_mutex_unlock (&work->lock);
  g_clear_error (&error);
  scenario_end (&scenario);
  return status;
}

static void
run_seed_in_pool (gpointer seed, gpointer data)
{
  struct work *work = data;
  int status = run_seed (work, GPOINTER_TO_SIZE (seed));

  g_mutex_lock (&work->lock);
  work->failed += status != EXIT_SUCCESS;
  g_mutex_unlock (&work->lock);
}

static int
run_seeds (const struct scenario_script *script,
           const struct arguments *arguments)
{
  struct work work
      = { .script = script, .verbose = arguments->first == arguments->last };
  GThreadPool *pool;

  g_mutex_init (&work.lock);
  pool = g_thread_pool_new (run_seed_in_pool, &work, (gint)arguments->threads,
                            TRUE, NULL);
  for (uint64_t seed = arguments->first; seed <= arguments->last; seed++)
    g_thread_pool_push (pool, GSIZE_TO_POINTER (seed), NULL);
  g_thread_pool_free (pool, FALSE, TRUE);
  g_mutex_clear (&work.lock);
  if (work.script_failed)
    return EXIT_SCRIPT_FAILED;
  printf ("scenario=%s seeds=%lu failed=%lu\n", script->path,
          arguments->last - arguments->first + 1, work.failed);
  return work.failed > 0 ? EXIT_EXPECTATION_FAILED : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arguments arguments
      = { .first = 1, .last = 1, .threads = THREADS_DEFAULT };
  struct scenario_script *script;
  GError *error = NULL;
  int status;

  argp_err_exit_status = EXIT_SCRIPT_FAILED;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  script = scenario_read (arguments.path, &error);
  if (script == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return EXIT_SCRIPT_FAILED;
    }
  status = run_seeds (script, &arguments);
  scenario_free (script);
  return status;
}
