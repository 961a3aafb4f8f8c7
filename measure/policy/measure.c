/* Runs the experiments named on the command line, or all of them.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "measure.h"

static const struct measure_experiment *const EXPERIMENTS[]
    = { &measure_balance, &measure_overload, &measure_feeds, &measure_crash,
        &measure_flows };

static const struct measure_experiment *
find_experiment (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (EXPERIMENTS); i++)
    if (strcmp (EXPERIMENTS[i]->name, name) == 0)
      return EXPERIMENTS[i];
  return NULL;
}

static void
run_experiment (const struct measure_experiment *experiment, uint64_t seed)
{
  printf ("## %s, seed %lu\n\n", experiment->name, (unsigned long)seed);
  experiment->run (seed);
  printf ("\n");
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  uint64_t seed = 1;
  int first = 1;

  if (argc > 2 && strcmp (argv[1], "--seed") == 0)
    {
      seed = strtoull (argv[2], NULL, 10);
      first = 3;
    }
  for (int i = first; i < argc; i++)
    if (find_experiment (argv[i]) == NULL)
      {
        fprintf (stderr, "usage: measure [--seed N] [EXPERIMENT...]\n");
        return 2;
      }
  for (int i = first; i < argc; i++)
    run_experiment (find_experiment (argv[i]), seed);
  for (size_t i = 0; first == argc && i < G_N_ELEMENTS (EXPERIMENTS); i++)
    run_experiment (EXPERIMENTS[i], seed);
  return 0;
}
