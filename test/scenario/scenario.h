/* Scenarios: scripts of verbs that act on the simulated fleet in virtual time
   and check measures of the run.  */

#ifndef SCENARIO_H
#define SCENARIO_H

#include "fleet.h"

enum
{
  /* Maximum number of parameters of a verb.  */
  SCENARIO_PARAMETERS_MAX = 20
};

/* Types of parameters.  */
enum scenario_type
{
  /* A word, or the name of a service, kind or load.  */
  SCENARIO_WORD,
  /* A whole number.  */
  SCENARIO_COUNT,
  /* A number with decimals.  */
  SCENARIO_NUMBER,
  /* A number with the unit ms or s.  */
  SCENARIO_TIME,
  /* A percentage, a number with %.  */
  SCENARIO_SHARE,
  /* Names of nodes, separated by commas; * matches any characters.  */
  SCENARIO_NODES,
  /* A number with any unit or none.  */
  SCENARIO_ANY,
  /* The parameter's name alone; set if it is given.  */
  SCENARIO_FLAG
};

struct scenario_parameter
{
  const char *name;
  enum scenario_type type;
  /* Value of a parameter that is left out; NULL if it is required.  */
  const char *default_value;
};

struct scenario_value
{
  /* Text as written, owned by the line, or the default value.  */
  const char *text;
  /* Number: a time in milliseconds, a share from 0 to 1, a flag 0 or 1; 0 for
     words and nodes.  */
  double number;
};

struct scenario;
struct scenario_line;

/* Runs a verb with VALUES in the order of its parameters.  Returns false and
   sets ERROR on failure.  */
typedef bool scenario_handler (struct scenario *scenario,
                               const struct scenario_value *values,
                               GError **error);

struct scenario_verb
{
  const char *name;
  scenario_handler *run;
  /* Number of positional parameters, which precede the named ones.  */
  uint32_t positional;
  /* Index of the positional parameter that may be left out; 0, which is never
     left out, if all are required.  */
  uint32_t optional_index;
  struct scenario_parameter parameters[SCENARIO_PARAMETERS_MAX];
};

struct scenario_line
{
  /* Number of the line in the file, from 1.  */
  uint32_t number;
  /* NULL-terminated words of the line; owned.  */
  char **words;
  const struct scenario_verb *verb;
  struct scenario_value values[SCENARIO_PARAMETERS_MAX];
  /* The line runs at a random time between these two.  */
  int64_t earliest_ms;
  int64_t latest_ms;
};

struct scenario_script
{
  char *path;
  /* Lines in the order of the file, as struct scenario_line.  */
  GArray *lines;
};

struct scenario
{
  const struct scenario_script *script;
  uint64_t seed;
  struct fleet_options options;
  struct fleet *fleet;
  /* Requests sent within this window count for the measure "kept", the
     share of them that was answered.  */
  struct galena_clock window_from;
  struct galena_clock window_until;
  /* Line that is running.  */
  const struct scenario_line *line;
  /* Text with a line for each expectation that failed.  */
  GString *failures;
};

extern const struct scenario_verb SCENARIO_VERBS[];
extern const uint32_t SCENARIO_VERB_COUNT;

/* script.c */

/* Returns the error domain of scenarios; all codes are 0.  */
GQuark scenario_error (void);

/* Reads and checks a script.  The caller frees it with scenario_free.  Returns
   NULL and sets ERROR, with file and line, on failure.  */
struct scenario_script *scenario_read (const char *path, GError **error);
void scenario_free (struct scenario_script *script);

/* Appends the usage of VERB to TEXT.  docs/SCENARIOS.md has the same text,
   which test_scenario checks.  */
void scenario_describe (const struct scenario_verb *verb, GString *text);

/* run.c */

/* Fills SCENARIO and runs SCRIPT with SEED.  The caller releases SCENARIO with
   scenario_end, also after a failure.  Returns false and sets ERROR, with file
   and line, if a line fails; failed expectations are no errors but are
   collected in SCENARIO.  */
bool scenario_run (struct scenario *scenario,
                   const struct scenario_script *script, uint64_t seed,
                   GError **error);
void scenario_end (struct scenario *scenario);

/* measure.c */

/* Sets VALUE to the measure NAME of the load LOAD, or of the whole run if LOAD
   is empty.  Returns false and sets ERROR if there is no such measure or
   load.  */
bool scenario_measure (struct scenario *scenario, const char *name,
                       const char *load, double *value, GError **error);

/* Returns the name of measure NUMBER, or NULL after the last one, and whether
   it exists for the whole run and for a single load.  */
const char *scenario_measure_name (uint32_t number, bool *of_run,
                                   bool *of_load);

/* Prints a line for each load, one for each node with rows in use, and one for
   the whole run.  */
void scenario_print (struct scenario *scenario);

#endif
