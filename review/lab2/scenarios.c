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

/* From now on the callers send no requests, and discard their flows when these
   have been idle long enough.  */
static void
fall_silent (struct lab *lab, uint32_t index)
{
  (void)index;
  note (lab, "the callers send no further requests");
  lab->quiet = true;
}

/* The callers use the ports of discarded flows again.  */
static void
open_from_same_ports (struct lab *lab, uint32_t index)
{
  lab->quiet = false;
  for (uint32_t i = 0; i < lab->callers_count; i++)
    lab->callers[i].next_port = CALLER_FIRST_PORT;
  open_long_flows (lab, index);
}

static void
drain_host (struct lab *lab, uint32_t index)
{
  host_drain (lab, &lab->hosts[index]);
}

/* DRAIN: no host takes an opening later than drainMs after its report.  */
static int
judge_late (const struct lab *lab)
{
  if (lab->answered < ANSWERS_MIN || lab->bad_exits > 0)
    return 2;
  return lab->late_opens > 0 ? 1 : 0;
}

/* CONFIG: no host of the old service takes an opening later than
   configApplyMs after the configuration.  */
static int
judge_stale (const struct lab *lab)
{
  if (lab->answered < ANSWERS_MIN || lab->bad_exits > 0)
    return 2;
  return lab->stale_opens > 0 ? 1 : 0;
}

/* The entries are stopped and started in turn while flows are open.  These
   then fall idle and are discarded at both ends, route 0 moves to another
   service, and the callers open flows from the ports that they had.  */
static const struct step MOVED_PORTS[] = {
  { 3500, false, open_long_flows, 0 },
  { 6000, true, stop_entry, 0 },
  { 9250, true, stop_entry, 1 },
  { 12500, true, stop_entry, 2 },
  { 17000, false, fall_silent, 0 },
  { 30000, false, move_route, 1 },
  { 35000, false, open_from_same_ports, 0 },
};

/* The same with a host that drains in place of the move.  */
static const struct step SAME_PORTS[] = {
  { 3500, false, open_long_flows, 0 },
  { 6000, true, stop_entry, 0 },
  { 9250, true, stop_entry, 1 },
  { 12500, true, stop_entry, 2 },
  { 17000, false, fall_silent, 0 },
  { 30000, false, drain_host, 0 },
  { 34000, false, open_from_same_ports, 0 },
};

/* Flows fall idle and are discarded at both ends, and the callers open flows
   from the ports that they had.  Then the entries are stopped and started in
   turn.  */
static const struct step NEW_FLOWS[] = {
  { 3500, false, open_long_flows, 0 },
  { 8000, false, fall_silent, 0 },
  { 26000, false, open_from_same_ports, 0 },
  { 30000, true, stop_entry, 0 },
  { 33250, true, stop_entry, 1 },
  { 36500, true, stop_entry, 2 },
};

/* Route 0 moves to another service, so that no route leads to the first one
   any more, while flows are open there; then the entries are stopped and
   started in turn.  */
static const struct step MOVED_ROUTE[] = {
  { 4000, false, open_long_flows, 0 }, { 8000, false, move_route, 1 },
  { 14000, true, stop_entry, 0 },      { 17250, true, stop_entry, 1 },
  { 20500, true, stop_entry, 2 },      { 23580, true, stop_entry, 0 },
  { 26830, true, stop_entry, 1 },      { 30080, true, stop_entry, 2 },
};

static const struct scenario SCENARIOS[] = {
  { "moved-route", 3, 6, 12, CONTRACTS, 34000, MOVED_ROUTE,
    sizeof MOVED_ROUTE / sizeof *MOVED_ROUTE, judge_cut },
  { "same-ports", 3, 6, 12, CONTRACTS, 37000, SAME_PORTS,
    sizeof SAME_PORTS / sizeof *SAME_PORTS, judge_late },
  { "moved-ports", 3, 6, 12, CONTRACTS, 38000, MOVED_PORTS,
    sizeof MOVED_PORTS / sizeof *MOVED_PORTS, judge_stale },
  { "new-flows", 3, 6, 12, CONTRACTS, 41000, NEW_FLOWS,
    sizeof NEW_FLOWS / sizeof *NEW_FLOWS, judge_cut },
};

const struct scenario *
find_scenario (const char *name)
{
  for (size_t i = 0; i < sizeof SCENARIOS / sizeof *SCENARIOS; i++)
    if (strcmp (SCENARIOS[i].name, name) == 0)
      return &SCENARIOS[i];
  return NULL;
}
