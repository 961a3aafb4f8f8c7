/* Parsed command line of galenactl, and its commands.  */

#ifndef GALENAFORD_ARGUMENTS_H
#define GALENAFORD_ARGUMENTS_H

#include <stdbool.h>

enum
{
  /* Exit code for wrong usage.  */
  EXIT_USAGE = 2,
  POSITIONAL_MAX = 4,
  /* Most options --settings, and most options --address.  */
  SOURCES_MAX = 64,
  FILTERS_MAX = 8
};

struct arguments
{
  /* The command and its operands.  */
  const char *positional[POSITIONAL_MAX];
  int positional_count;
  /* Settings files, or folders of these, of the processes to query; and
     addresses to query.  */
  const char *settings[SOURCES_MAX];
  int settings_count;
  const char *addresses[SOURCES_MAX];
  int address_count;
  /* Filters of rows, such as "kind=event".  */
  const char *filters[FILTERS_MAX];
  int filter_count;
  /* Configuration in force, to compare with, or NULL.  */
  const char *against;
  bool json;
  bool follow;
};

/* One command of galenactl.  */
struct command
{
  const char *name;
  /* Names of the operands, for the help.  */
  const char *operands;
  int operand_count;
  /* Whether the command queries running processes.  */
  bool queries_processes;
  /* Returns the exit code.  */
  int (*run) (const struct arguments *arguments);
  /* One line for the help.  */
  const char *description;
};

/* The commands; each returns the exit code of the program.  */
int run_check (const struct arguments *arguments);
int run_config (const struct arguments *arguments);
int run_plan (const struct arguments *arguments);
int run_story (const struct arguments *arguments);
int run_view (const struct arguments *arguments);
int run_audit (const struct arguments *arguments);
int run_generation (const struct arguments *arguments);

#endif
