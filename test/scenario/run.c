/* Runs the lines of a script at their times.  */

#include "scenario.h"

struct step
{
  int64_t at_ms;
  const struct scenario_line *line;
};

static gint
compare_steps (gconstpointer a, gconstpointer b)
{
  const struct step *first = a;
  const struct step *second = b;

  if (first->at_ms != second->at_ms)
    return first->at_ms < second->at_ms ? -1 : 1;
  return first->line->number < second->line->number ? -1 : 1;
}

/* Picks the time of each line and sorts the lines by time, lines with the same
   time by their number.  */
static GArray *
plan_steps (const struct scenario_script *script, uint64_t seed)
{
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct step));
  struct galena_random random = { .seed = ~seed };

  for (guint i = 0; i < script->lines->len; i++)
    {
      const struct scenario_line *line
          = &g_array_index (script->lines, struct scenario_line, i);
      uint32_t range_ms = (uint32_t)(line->latest_ms - line->earliest_ms);
      struct step step = { line->earliest_ms, line };

      step.at_ms += galena_random_below (&random, range_ms + 1);
      g_array_append_val (steps, step);
    }
  g_array_sort (steps, compare_steps);
  return steps;
}

static bool
run_step (struct scenario *scenario, const struct step *step, GError **error)
{
  GError *problem = NULL;

  fleet_run (scenario->fleet, step->at_ms);
  scenario->line = step->line;
  if (step->line->verb->run (scenario, step->line->values, &problem))
    return true;
  g_propagate_prefixed_error (
      error, problem, "%s:%u: ", scenario->script->path, step->line->number);
  return false;
}

bool
scenario_run (struct scenario *scenario, const struct scenario_script *script,
              uint64_t seed, GError **error)
{
  GArray *steps = plan_steps (script, seed);
  bool good = true;

  *scenario = (struct scenario){ .script = script, .seed = seed };
  scenario->options.seed = seed;
  scenario->options.network.delay_ms = 1;
  scenario->options.fabric_lag_ms = 1000;
  scenario->fleet = fleet_create (&scenario->options);
  scenario->failures = g_string_new (NULL);
  for (guint i = 0; i < steps->len && good; i++)
    good = run_step (scenario, &g_array_index (steps, struct step, i), error);
  g_array_free (steps, TRUE);
  return good;
}

void
scenario_end (struct scenario *scenario)
{
  fleet_destroy (scenario->fleet);
  g_string_free (scenario->failures, TRUE);
}
