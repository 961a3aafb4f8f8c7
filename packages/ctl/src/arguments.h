/* The words and options of one command line.  */

#ifndef GALENAFORD_ARGUMENTS_H
#define GALENAFORD_ARGUMENTS_H

#include <stdbool.h>

enum
{
  /* Exit code of a wrong command line.  */
  EXIT_USAGE = 2,
  WORDS_MAX = 4,
  SOURCES_MAX = 64,
  FILTERS_MAX = 8
};

struct arguments
{
  /* The command and its operands.  */
  const char *words[WORDS_MAX];
  int count;
  /* Settings files, folders of these, and addresses to ask.  */
  const char *settings[SOURCES_MAX];
  int settings_count;
  const char *addresses[SOURCES_MAX];
  int address_count;
  /* As in "kind=event".  */
  const char *filters[FILTERS_MAX];
  int filter_count;
  bool json;
  bool follow;
};

/* One command: its name, operands, what it does, and one line on it.  */
struct command
{
  const char *name;
  const char *operands;
  int operand_count;
  /* Whether the command asks running processes.  */
  bool asks;
  int (*run) (const struct arguments *arguments);
  const char *meaning;
};

int run_check (const struct arguments *arguments);
int run_plan (const struct arguments *arguments);
int run_story (const struct arguments *arguments);
int run_view (const struct arguments *arguments);
int run_audit (const struct arguments *arguments);
int run_generation (const struct arguments *arguments);

#endif
