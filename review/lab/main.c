/* Runs one scenario: SCENARIO RECORD.  Exits with 1 if the rule was broken, 0
   if it held, and 2 if the scenario could not run.  TROUBLE=0 in the
   environment leaves out the disruption.  */

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "scenarios.h"

static const struct
{
  const char *name;
  enum outcome (*run) (struct lab *lab);
} SCENARIOS[] = {
  { "foreign-entry", scenario_foreign_entry },
  { "clock-step", scenario_clock_step },
  { "search", scenario_search },
  { "same-port", scenario_same_port },
  { "large-values", scenario_large_values },
  { "address-again", scenario_address_again },
};

enum
{
  RUN_LIMIT_S = 115
};

int
main (int count, char **arguments)
{
  static struct lab lab;
  const char *trouble = getenv ("TROUBLE");
  enum outcome outcome = OUTCOME_NOT_RUN;

  if (count != 3)
    return OUTCOME_NOT_RUN;
  signal (SIGPIPE, SIG_IGN);
  alarm (RUN_LIMIT_S);
  srandom ((unsigned)lab_unix_ms ());
  lab.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  lab.record = fopen (arguments[2], "w");
  if (lab.record == NULL)
    return OUTCOME_NOT_RUN;
  for (size_t i = 0; i < sizeof SCENARIOS / sizeof SCENARIOS[0]; i++)
    if (strcmp (SCENARIOS[i].name, arguments[1]) == 0)
      outcome = SCENARIOS[i].run (&lab);
  lab_close (&lab);
  lab_log (&lab, "outcome %d", (int)outcome);
  fclose (lab.record);
  return outcome;
}
