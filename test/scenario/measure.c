/* The measures that scenarios check.  */

#include <stdio.h>
#include <string.h>

#include "scenario.h"

/* Returns a measure of the whole run.  */
typedef double run_measure (const struct scenario *scenario,
                            const struct fleet_totals *totals);
/* Returns a measure of one load.  */
typedef double load_measure (const struct scenario *scenario,
                             struct fleet_load *load);

struct measure
{
  const char *name;
  /* NULL if the measure does not exist for the whole run or for a load.  */
  run_measure *of_run;
  load_measure *of_load;
};

#define READ_TOTAL(member)                                                    \
  static double total_##member (const struct scenario *scenario,              \
                                const struct fleet_totals *totals)            \
  {                                                                           \
    (void)scenario;                                                           \
    return (double)totals->member;                                            \
  }
#define READ_FLEET(member)                                                    \
  static double fleet_##member (const struct scenario *scenario,              \
                                const struct fleet_totals *totals)            \
  {                                                                           \
    (void)totals;                                                             \
    return (double)scenario->fleet->member;                                   \
  }
#define READ_LOAD(member)                                                     \
  static double load_##member (const struct scenario *scenario,               \
                               struct fleet_load *load)                       \
  {                                                                           \
    (void)scenario;                                                           \
    return (double)load->member;                                              \
  }

READ_TOTAL (sent)
READ_TOTAL (answered)
READ_TOTAL (refused)
READ_TOTAL (unknown)
READ_TOTAL (doubled)
READ_TOTAL (misrouted)
READ_TOTAL (false_refusals)
READ_TOTAL (wrong)
READ_TOTAL (broken)
READ_TOTAL (moved)
READ_TOTAL (open)
READ_TOTAL (rows)
READ_TOTAL (imbalance)
READ_FLEET (force_ms)
READ_FLEET (new_work_ms)
READ_FLEET (reverts)
READ_LOAD (sent)
READ_LOAD (answered)
READ_LOAD (refused)
READ_LOAD (unknown)
READ_LOAD (wrong)
READ_LOAD (gap_ms)
READ_LOAD (first_ms)

static double
load_kept (const struct scenario *scenario, struct fleet_load *load)
{
  return fleet_answered_share (scenario->fleet, load, scenario->window_from,
                               scenario->window_until);
}

static double
load_p50_ms (const struct scenario *scenario, struct fleet_load *load)
{
  (void)scenario;
  return fleet_latency (load, 0.5);
}

static double
load_p99_ms (const struct scenario *scenario, struct fleet_load *load)
{
  (void)scenario;
  return fleet_latency (load, 0.99);
}

static const struct measure MEASURES[] = {
  { "sent", total_sent, load_sent },
  { "answered", total_answered, load_answered },
  { "refused", total_refused, load_refused },
  { "unknown", total_unknown, load_unknown },
  { "wrong", total_wrong, load_wrong },
  { "doubled", total_doubled, NULL },
  { "misrouted", total_misrouted, NULL },
  { "false_refusals", total_false_refusals, NULL },
  { "broken", total_broken, NULL },
  { "moved", total_moved, NULL },
  { "open", total_open, NULL },
  { "rows", total_rows, NULL },
  { "imbalance", total_imbalance, NULL },
  { "force_ms", fleet_force_ms, NULL },
  { "new_work_after_leaving_ms", fleet_new_work_ms, NULL },
  { "reverts", fleet_reverts, NULL },
  { "kept", NULL, load_kept },
  { "p50_ms", NULL, load_p50_ms },
  { "p99_ms", NULL, load_p99_ms },
  { "first_ms", NULL, load_first_ms },
  { "gap_ms", NULL, load_gap_ms },
};

static struct fleet_load *
find_load (struct scenario *scenario, const char *name)
{
  for (uint32_t i = 0; i < scenario->fleet->load_count; i++)
    if (strcmp (scenario->fleet->loads[i].name, name) == 0)
      return &scenario->fleet->loads[i];
  return NULL;
}

static const struct measure *
find_measure (const char *name, bool of_load)
{
  for (size_t i = 0; i < G_N_ELEMENTS (MEASURES); i++)
    if (strcmp (MEASURES[i].name, name) == 0
        && (of_load ? MEASURES[i].of_load != NULL
                    : MEASURES[i].of_run != NULL))
      return &MEASURES[i];
  return NULL;
}

const char *
scenario_measure_name (uint32_t number, bool *of_run, bool *of_load)
{
  if (number >= G_N_ELEMENTS (MEASURES))
    return NULL;
  *of_run = MEASURES[number].of_run != NULL;
  *of_load = MEASURES[number].of_load != NULL;
  return MEASURES[number].name;
}

bool
scenario_measure (struct scenario *scenario, const char *name,
                  const char *load_name, double *value, GError **error)
{
  bool of_load = *load_name != '\0';
  const struct measure *measure = find_measure (name, of_load);
  struct fleet_load *load = find_load (scenario, load_name);
  struct fleet_totals totals;

  if (measure == NULL || (of_load && load == NULL))
    {
      g_set_error (error, scenario_error (), 0,
                   "no measure \"%s\" of load \"%s\"", name, load_name);
      return false;
    }
  fleet_totals (scenario->fleet, &totals);
  *value = of_load ? measure->of_load (scenario, load)
                   : measure->of_run (scenario, &totals);
  return true;
}

/* Prints the usage of NODE's tables if any row is in use.  */
static void
print_rows (const struct fleet_node *node)
{
  struct galena_world_usage usage;

  if (node->world == NULL)
    return;
  galena_world_usage (node->world, &usage);
  if (usage.flows + usage.requests + usage.pending_opens + usage.pending_closes
      == 0)
    return;
  printf ("node=%s flows=%u requests=%u running=%u queued=%u "
          "pending_opens=%u pending_closes=%u\n",
          node->name, usage.flows, usage.requests, usage.running, usage.queued,
          usage.pending_opens, usage.pending_closes);
}

void
scenario_print (struct scenario *scenario)
{
  struct fleet_totals totals;

  for (uint32_t i = 0; i < scenario->fleet->load_count; i++)
    {
      struct fleet_load *load = &scenario->fleet->loads[i];

      printf ("load=%s", load->name);
      for (size_t m = 0; m < G_N_ELEMENTS (MEASURES); m++)
        if (MEASURES[m].of_load != NULL)
          printf (" %s=%g", MEASURES[m].name,
                  MEASURES[m].of_load (scenario, load));
      printf ("\n");
    }
  for (uint32_t i = 0; i < scenario->fleet->node_count; i++)
    print_rows (&scenario->fleet->nodes[i]);
  fleet_totals (scenario->fleet, &totals);
  printf ("run seed=%lu", scenario->seed);
  for (size_t m = 0; m < G_N_ELEMENTS (MEASURES); m++)
    if (MEASURES[m].of_run != NULL)
      printf (" %s=%g", MEASURES[m].name,
              MEASURES[m].of_run (scenario, &totals));
  printf ("\n");
}
