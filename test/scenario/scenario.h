/* A scenario: a script of verbs that run against the fake fleet in virtual
   time, and the figures that it is judged by.  */

#ifndef SCENARIO_H
#define SCENARIO_H

#include "fleet.h"

enum
{
  SCENARIO_PARAMETERS_MAX = 20
};

enum scenario_type
{
  /* A word, or a name of a service, kind or load.  */
  SCENARIO_WORD,
  /* A whole number.  */
  SCENARIO_COUNT,
  /* A number with decimals.  */
  SCENARIO_NUMBER,
  /* A number with ms or s behind it.  */
  SCENARIO_TIME,
  /* A number with % behind it.  */
  SCENARIO_SHARE,
  /* Names of nodes, with commas between them; * stands for any letters.  */
  SCENARIO_NODES,
  /* A number, with or without a unit.  */
  SCENARIO_ANY,
  /* A word that is given or left out.  */
  SCENARIO_FLAG
};

struct scenario_parameter
{
  const char *name;
  enum scenario_type type;
  /* Value when the parameter is left out; NULL when it must be given.  */
  const char *default_value;
};

struct scenario_value
{
  /* As written; borrowed from the line.  */
  const char *text;
  /* Its number; milliseconds for a time, 0 to 1 for a share.  */
  double number;
};

struct scenario;
struct scenario_line;

/* Runs a verb.  Returns false after setting an error.  */
typedef bool scenario_handler (struct scenario *scenario,
                               const struct scenario_value *values,
                               GError **error);

struct scenario_verb
{
  const char *name;
  scenario_handler *run;
  /* Parameters at fixed places, before those that are given by name.  */
  uint32_t positional;
  /* Place of the one of them that may be left out; 0 for none.  */
  uint32_t optional_index;
  struct scenario_parameter parameters[SCENARIO_PARAMETERS_MAX];
};

struct scenario_line
{
  uint32_t number;
  /* The line's words; owned.  */
  char **words;
  const struct scenario_verb *verb;
  struct scenario_value values[SCENARIO_PARAMETERS_MAX];
  /* The line runs at an instant drawn from these two.  */
  int64_t earliest_ms;
  int64_t latest_ms;
};

struct scenario_script
{
  char *path;
  /* Struct scenario_line, as written.  */
  GArray *lines;
};

struct scenario
{
  const struct scenario_script *script;
  uint64_t seed;
  struct fleet_options options;
  struct fleet *fleet;
  /* Requests sent within it count for the measure "kept".  */
  struct galena_clock window_from;
  struct galena_clock window_until;
  /* Line that runs now.  */
  const struct scenario_line *line;
  /* Expectations that failed, one line each.  */
  GString *failures;
};

extern const struct scenario_verb SCENARIO_VERBS[];
extern const uint32_t SCENARIO_VERB_COUNT;

/* script.c */

GQuark scenario_error (void);

/* Reads a script; NULL after setting an error with file and line.  */
struct scenario_script *scenario_read (const char *path, GError **error);
void scenario_free (struct scenario_script *script);

/* Writes how VERB is called; docs/SCENARIOS.md has the same words.  */
void scenario_describe (const struct scenario_verb *verb, GString *text);

/* run.c */

/* Runs SCRIPT from SEED.  The caller ends it with scenario_end.  Returns
   false after setting an error with file and line.  */
bool scenario_run (struct scenario *scenario,
                   const struct scenario_script *script, uint64_t seed,
                   GError **error);
void scenario_end (struct scenario *scenario);

/* measure.c */

/* Finds the measure NAME; false after setting an error.  LOAD names a load
   or is empty.  */
bool scenario_measure (struct scenario *scenario, const char *name,
                       const char *load, double *value, GError **error);

/* Returns the name of measure NUMBER, NULL after the last, and of what it is
   a measure.  */
const char *scenario_measure_name (uint32_t number, bool *of_run,
                                   bool *of_load);

/* Prints a line for each load and one for the whole run.  */
void scenario_print (struct scenario *scenario);

#endif
