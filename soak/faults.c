/* Kinds of faults, and the plan that a seed draws of them.  */

#include <signal.h>

#include "soak.h"

enum
{
  START_MS = 1500,
  BEGIN_MS = 300,
  DRAIN_GONE_MS = 300,
  CRASH_BACK_MS = 400,
  SLOW_MS = 400,
  LOSS_ONE_IN = 20,
  LATE_ONE_IN = 6,
  ROUTE_MOVED = 2
};

static uint32_t
entry_of (const struct soak *soak, uint32_t target)
{
  return target % soak->options.entries;
}

static uint32_t
host_of (const struct soak *soak, uint32_t target)
{
  return target % soak->options.hosts;
}

static void
kill_entry (struct soak *soak, uint32_t target)
{
  fleet_kill (soak, fleet_entry (soak, entry_of (soak, target)));
}

static void
kill_agent (struct soak *soak, uint32_t target)
{
  fleet_kill (soak, fleet_agent (soak, host_of (soak, target)));
}

static void
kill_all (struct soak *soak, uint32_t target)
{
  (void)target;
  for (uint32_t i = 0; i < soak->options.entries; i++)
    fleet_kill (soak, fleet_entry (soak, i));
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    fleet_kill (soak, fleet_agent (soak, i));
}

static void
pause_entry (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_entry (soak, entry_of (soak, target)), true);
}

static void
wake_entry (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_entry (soak, entry_of (soak, target)), false);
}

static void
pause_agent (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_agent (soak, host_of (soak, target)), true);
}

static void
wake_agent (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_agent (soak, host_of (soak, target)), false);
}

static void
end_entry (struct soak *soak, uint32_t target)
{
  fleet_end (soak, fleet_entry (soak, entry_of (soak, target)));
}

static void
reload_entry (struct soak *soak, uint32_t target)
{
  struct child *child = fleet_entry (soak, entry_of (soak, target));

  fleet_write_settings (soak, child);
  /* Before its first line a program can't hold a signal back; it reads the
     settings then anyway.  */
  if (child->pid > 0
      && galena_clock_elapsed_ms (child->started, soak->now) > BEGIN_MS)
    kill (child->pid, SIGHUP);
}

static void
crash_host (struct soak *soak, uint32_t target)
{
  hosts_crash (soak, host_of (soak, target));
}

static void
return_host (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  host->disturbed = soak->now;
  host->listed = false;
  publish_host (soak, host_of (soak, target));
  host->start_at = galena_clock_add_ms (soak->now, CRASH_BACK_MS);
}

static void
drain_host (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  host->draining = true;
  host->drained_since = soak->now;
  publish_host (soak, host_of (soak, target));
}

static void
remove_host (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  hosts_crash (soak, host_of (soak, target));
  host->listed = false;
  publish_host (soak, host_of (soak, target));
  host->start_at = galena_clock_add_ms (soak->now, DRAIN_GONE_MS);
}

static void
move_route (struct soak *soak, uint32_t target)
{
  struct route *route = &soak->routes[ROUTE_MOVED];

  (void)target;
  route->dropped = !route->dropped;
  route->changed = soak->now;
  publish_config (soak);
}

static void
store_down (struct soak *soak, uint32_t target)
{
  (void)target;
  store_set_faults (soak->store, (struct store_faults){ .down = true });
}

static void
store_slow (struct soak *soak, uint32_t target)
{
  (void)target;
  store_set_faults (soak->store, (struct store_faults){ .slow_ms = SLOW_MS });
}

static void
store_back (struct soak *soak, uint32_t target)
{
  (void)target;
  store_set_faults (soak->store, (struct store_faults){ 0 });
}

static void
forget_history (struct soak *soak, uint32_t target)
{
  (void)target;
  store_forget (soak->store);
}

static void
set_relay (struct soak *soak, uint32_t target, enum relay_fault fault)
{
  soak->relays[entry_of (soak, target)].fault = fault;
}

static void
relay_delay (struct soak *soak, uint32_t target)
{
  set_relay (soak, target, RELAY_DELAY);
}

static void
relay_one_way (struct soak *soak, uint32_t target)
{
  set_relay (soak, target, RELAY_ONE_WAY);
}

static void
relay_silent (struct soak *soak, uint32_t target)
{
  set_relay (soak, target, RELAY_SILENT);
}

static void
relay_cut (struct soak *soak, uint32_t target)
{
  relay_reset (soak, entry_of (soak, target));
}

static void
relay_back (struct soak *soak, uint32_t target)
{
  set_relay (soak, target, RELAY_NONE);
}

static void
lose_packets (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->loss = LOSS_ONE_IN;
}

static void
keep_packets (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->loss = 0;
}

static void
delay_packets (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->late = LATE_ONE_IN;
}

static void
hurry_packets (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->late = 0;
}

static const struct fault_kind KINDS[] = {
  { "kill-entry", false, 0, 0, kill_entry, NULL },
  { "kill-agent", false, 0, 0, kill_agent, NULL },
  { "kill-all", false, 0, 0, kill_all, NULL },
  { "pause-entry", false, 200, 3000, pause_entry, wake_entry },
  { "pause-agent", false, 200, 3000, pause_agent, wake_agent },
  { "crash-host", false, 200, 2000, crash_host, return_host },
  { "store-down", false, 500, 4000, store_down, store_back },
  { "store-slow", false, 500, 4000, store_slow, store_back },
  { "store-forgets", false, 0, 0, forget_history, NULL },
  { "relay-delay", false, 300, 3000, relay_delay, relay_back },
  { "relay-reset", false, 0, 0, relay_cut, NULL },
  { "relay-one-way", false, 500, 4000, relay_one_way, relay_back },
  { "relay-silent", false, 500, 4000, relay_silent, relay_back },
  { "lossy", false, 500, 3000, lose_packets, keep_packets },
  /* Packets may come late and in another order at any time.  */
  { "late-packets", true, 1000, 4000, delay_packets, hurry_packets },
  { "end-entry", true, 0, 0, end_entry, NULL },
  { "reload", true, 0, 0, reload_entry, NULL },
  { "drain-host", true, 4000, 5000, drain_host, remove_host },
  { "move-route", true, 0, 0, move_route, NULL },
};

enum
{
  KIND_COUNT = sizeof KINDS / sizeof KINDS[0],
  /* Planned kinds stand last.  */
  FIRST_PLANNED = 14,
  /* Faults in the calm.  */
  FAULTS_CALM = 4
};

static void
plan_fault (struct soak *soak, const struct fault_kind *kind, uint32_t from_ms,
            uint32_t range_ms)
{
  struct fault *fault = &soak->faults[soak->fault_count++];
  uint32_t at_ms = from_ms + galena_random_below (&soak->random, range_ms + 1);
  uint32_t length_ms
      = kind->min_ms
        + galena_random_below (&soak->random, kind->max_ms - kind->min_ms + 1);

  *fault = (struct fault){
    .kind = kind,
    .target = (uint32_t)galena_random_next (&soak->random),
    .at = galena_clock_add_ms (soak->started, at_ms),
  };
  fault->until = galena_clock_add_ms (fault->at, length_ms);
}

void
faults_plan (struct soak *soak)
{
  const struct soak_options *options = &soak->options;

  for (uint32_t i = 0; i < options->faults && i < FAULTS_MAX - FAULTS_CALM;
       i++)
    plan_fault (soak, &KINDS[galena_random_below (&soak->random, KIND_COUNT)],
                START_MS, options->faults_ms - START_MS);
  /* Planned work in the calm must not be noticed.  */
  plan_fault (soak, &KINDS[FIRST_PLANNED], options->faults_ms + STABLE_MS,
              options->calm_ms / 4);
  for (uint32_t i = 0; i < 3; i++)
    plan_fault (soak,
                &KINDS[FIRST_PLANNED
                       + galena_random_below (&soak->random,
                                              KIND_COUNT - FIRST_PLANNED)],
                options->faults_ms + STABLE_MS + CONFIG_BOUND_MS,
                options->calm_ms / 4);
}

void
faults_run (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->fault_count; i++)
    {
      struct fault *fault = &soak->faults[i];

      if (!fault->begun && galena_clock_reached (soak->now, fault->at))
        {
          fault->begun = true;
          soak->report.faults++;
          fault->kind->begin (soak, fault->target);
        }
      if (fault->begun && !fault->ended && !fault->kind->planned)
        soak->disturbed = soak->now;
      if (!fault->begun || fault->ended
          || !galena_clock_reached (soak->now, fault->until))
        continue;
      fault->ended = true;
      if (fault->kind->end != NULL)
        fault->kind->end (soak, fault->target);
    }
}
