/* What happens in each scenario, and the rule that it is judged by.  */

#include <signal.h>
#include <string.h>

#include "scenarios.h"

static const char CONTRACTS[]
    = "base,drain,config,cost,recover,flows,platform";

enum
{
  FLOWS_EACH = 10,
  PAUSE_MS = 350,
  ANSWERS_MIN = 100
};

/* Opens long flows of each caller on route INDEX.  */
static void
open_long_flows (struct lab *lab, uint32_t index)
{
  for (uint32_t i = 0; i < lab->callers_count; i++)
    for (uint32_t k = 0; k < FLOWS_EACH; k++)
      caller_open (lab, &lab->callers[i], index, PAUSE_MS);
}

/* Sends route 0 to the service with INDEX.  */
static void
move_route (struct lab *lab, uint32_t index)
{
  lab->route_service[0] = index;
  publish_config (lab);
}

static void
stop_entry (struct lab *lab, uint32_t index)
{
  note (lab, "planned stop of entry %u (SIGTERM)", index);
  process_signal (entry_process (lab, index), SIGTERM);
}

/* FLOW: planned work never resets a flow whose host lives and holds it.  */
static int
judge_cut (const struct lab *lab)
{
  if (lab->answered < ANSWERS_MIN || lab->bad_exits > 0)
    return 2;
  return lab->cut > 0 ? 1 : 0;
}

/* Route 0 moves to another service, so that no route leads to the first one
   any more, while flows are open there; then the entries are stopped and
   started in turn.  */
static const struct step MOVED_ROUTE[] = {
  { 4000, false, open_long_flows, 0 }, { 8000, false, move_route, 1 },
  { 14000, true, stop_entry, 0 },      { 17250, true, stop_entry, 1 },
  { 20500, true, stop_entry, 2 },      { 23580, true, stop_entry, 0 },
  { 26830, true, stop_entry, 1 },      { 30080, true, stop_entry, 2 },
};

/* The same without the move, for comparison.  */
static const struct step KEPT_ROUTE[] = {
  { 4000, false, open_long_flows, 0 }, { 14000, true, stop_entry, 0 },
  { 17250, true, stop_entry, 1 },      { 20500, true, stop_entry, 2 },
  { 23580, true, stop_entry, 0 },      { 26830, true, stop_entry, 1 },
  { 30080, true, stop_entry, 2 },
};

static const struct scenario SCENARIOS[] = {
  { "moved-route", 3, 6, 12, CONTRACTS, 34000, MOVED_ROUTE,
    sizeof MOVED_ROUTE / sizeof *MOVED_ROUTE, judge_cut },
  { "kept-route", 3, 6, 12, CONTRACTS, 34000, KEPT_ROUTE,
    sizeof KEPT_ROUTE / sizeof *KEPT_ROUTE, judge_cut },
};

const struct scenario *
find_scenario (const char *name)
{
  for (size_t i = 0; i < sizeof SCENARIOS / sizeof *SCENARIOS; i++)
    if (strcmp (SCENARIOS[i].name, name) == 0)
      return &SCENARIOS[i];
  return NULL;
}
