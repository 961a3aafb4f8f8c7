/* Kinds of faults, and the schedule of faults, drawn at random from the
   seed.  */

#include <signal.h>

#include "soak.h"

enum
{
  /* Earliest time of a fault, after the start.  */
  FIRST_FAULT_MS = 1500,
  /* SIGHUP is sent only to processes older than this.  */
  SIGHUP_MIN_AGE_MS = 300,
  /* Times until a removed and a crashed upstream start again.  */
  DRAIN_RESTART_MS = 300,
  CRASH_RESTART_MS = 400,
  /* Delay of the replies of a slow store.  */
  STORE_DELAY_MS = 400,
  /* Time until what a restored store has lost is written again.  */
  PUBLISH_AGAIN_MS = 1000,
  /* Number of configurations that a restored store has lost.  */
  LOST_CONFIGS = 50,
  /* One packet in this many is lost, or delayed.  */
  LOSS_ONE_IN = 20,
  DELAY_ONE_IN = 6,
  /* The route that move-route drops and restores.  */
  TOGGLED_ROUTE = 2
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
resume_entry (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_entry (soak, entry_of (soak, target)), false);
}

static void
pause_agent (struct soak *soak, uint32_t target)
{
  fleet_pause (soak, fleet_agent (soak, host_of (soak, target)), true);
}

static void
resume_agent (struct soak *soak, uint32_t target)
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
  /* A SIGHUP that arrives before the program's first line, where it blocks
     signals, would end it.  A process that has just started reads the new
     settings without a signal.  */
  if (child->pid > 0
      && galena_clock_elapsed_ms (child->started, soak->now)
             > SIGHUP_MIN_AGE_MS)
    kill (child->pid, SIGHUP);
}

static void
crash_host (struct soak *soak, uint32_t target)
{
  hosts_crash (soak, host_of (soak, target));
}

static void
schedule_restart (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  host->last_fault = soak->now;
  host->published = false;
  publish_host (soak, host_of (soak, target));
  host->start_at = galena_clock_add_ms (soak->now, CRASH_RESTART_MS);
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
  host->published = false;
  publish_host (soak, host_of (soak, target));
  host->start_at = galena_clock_add_ms (soak->now, DRAIN_RESTART_MS);
}

static void
toggle_route (struct soak *soak, uint32_t target)
{
  struct route *route = &soak->routes[TOGGLED_ROUTE];

  (void)target;
  route->dropped = !route->dropped;
  route->changed = soak->now;
  if (route->dropped)
    route->dropped_at = soak->now;
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
  store_set_faults (soak->store,
                    (struct store_faults){ .slow_ms = STORE_DELAY_MS });
}

static void
restore_store (struct soak *soak, uint32_t target)
{
  (void)target;
  store_set_faults (soak->store, (struct store_faults){ 0 });
}

/* Writes configurations after the copy, so that the revisions given out next
   are lost ones for a while after the return.  */
static void
copy_store (struct soak *soak, uint32_t target)
{
  (void)target;
  store_copy (soak->store);
  soak->copied_at = soak->now;
  for (uint32_t i = 0; i < LOST_CONFIGS; i++)
    publish_config (soak);
}

/* Upstreams and the operator notice after a heartbeat.  */
static void
lose_writes (struct soak *soak, uint32_t target)
{
  (void)target;
  store_restore (soak->store);
  soak->publish_again_at = galena_clock_add_ms (soak->now, PUBLISH_AGAIN_MS);
}

static void
compact_store (struct soak *soak, uint32_t target)
{
  (void)target;
  store_compact (soak->store);
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
reset_connections (struct soak *soak, uint32_t target)
{
  relay_reset (soak, entry_of (soak, target));
}

static void
restore_relay (struct soak *soak, uint32_t target)
{
  set_relay (soak, target, RELAY_NONE);
}

static void
start_loss (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->loss_one_in = LOSS_ONE_IN;
}

static void
stop_loss (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->loss_one_in = 0;
}

static void
start_delays (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->delay_one_in = DELAY_ONE_IN;
}

static void
stop_delays (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->delay_one_in = 0;
}

static void
write_others (struct soak *soak, uint32_t target)
{
  (void)target;
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    publish_others (soak, i);
}

static void
remove_written (struct soak *soak, uint32_t target)
{
  (void)target;
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    remove_others (soak, i);
}

static uint32_t
zone_of (uint32_t target)
{
  return target % ZONES;
}

static void
begin_evacuation (struct soak *soak, uint32_t target)
{
  struct zone *zone = &soak->zones[zone_of (target)];

  if (zone->evacuations++ > 0)
    return;
  zone->written_at = soak->now;
  publish_evacuation (soak, zone_of (target));
}

static void
end_evacuation (struct soak *soak, uint32_t target)
{
  struct zone *zone = &soak->zones[zone_of (target)];

  if (--zone->evacuations > 0)
    return;
  zone->written_at = soak->now;
  publish_evacuation (soak, zone_of (target));
}

static void
begin_partial_failure (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  host->last_fault = soak->now;
  host->failure
      = target / soak->options.hosts % 2 == 0 ? HOST_HANGS : HOST_SHEDS;
}

static void
end_partial_failure (struct soak *soak, uint32_t target)
{
  struct host *host = &soak->hosts[host_of (soak, target)];

  host->last_fault = soak->now;
  host->failure = HOST_FAILS_NONE;
}

static void
begin_burst (struct soak *soak, uint32_t target)
{
  soak->burst_route = target % (SERVICES + 1);
  soak->bursts++;
}

static void
end_burst (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->bursts--;
}

static const struct fault_kind KINDS[] = {
  { "kill-entry", false, 0, 0, kill_entry, NULL },
  { "kill-agent", false, 0, 0, kill_agent, NULL },
  { "kill-all", false, 0, 0, kill_all, NULL },
  { "pause-entry", false, 200, 3000, pause_entry, resume_entry },
  { "pause-agent", false, 200, 3000, pause_agent, resume_agent },
  { "crash-host", false, 200, 2000, crash_host, schedule_restart },
  { "store-down", false, 500, 4000, store_down, restore_store },
  { "store-slow", false, 500, 4000, store_slow, restore_store },
  { "store-forgets", false, 0, 0, compact_store, NULL },
  { "relay-delay", false, 300, 3000, relay_delay, restore_relay },
  { "relay-reset", false, 0, 0, reset_connections, NULL },
  { "relay-one-way", false, 500, 4000, relay_one_way, restore_relay },
  { "relay-silent", false, 500, 4000, relay_silent, restore_relay },
  { "lossy", false, 500, 3000, start_loss, stop_loss },
  /* A network may delay and reorder packets at any time, so this counts as
     planned: it must not cut open flows.  */
  { "late-packets", true, 1000, 4000, start_delays, stop_delays },
  { "end-entry", true, 0, 0, end_entry, NULL },
  { "reload", true, 0, 0, reload_entry, NULL },
  { "drain-host", true, 4000, 5000, drain_host, remove_host },
  { "move-route", true, 0, 0, toggle_route, NULL },
};

/* The store loses all writes of the fault's duration at its end.  It is not
   drawn with the other kinds, so that the plans of seeds stay as they are.  */
static const struct fault_kind RESTORED_STORE
    = { "store-restored", false, 500, 5000, copy_store, lose_writes };

/* Another writer puts entries into the store, which must not affect callers.
   It is not drawn with the other kinds either.  */
static const struct fault_kind OTHER_WRITER
    = { "other-writer", true, 4000, 9000, write_others, remove_written };

/* Lasts longer than the bound, so that the calm period checks it.  It is not
   drawn with the other kinds either.  */
static const struct fault_kind EVACUATE
    = { "evacuate", true, 7000, 9000, begin_evacuation, end_evacuation };

/* Callers of one kind of work send again at once after an answer, which must
   not cut flows.  Drawn on seeds with load control or warm-up only.  */
static const struct fault_kind BURST
    = { "burst", true, 3000, 7000, begin_burst, end_burst };

/* An upstream fails a share of its requests while its registration is
   good.  Drawn on seeds with load control only.  */
static const struct fault_kind PARTIAL_FAILURE
    = { "partial-failure",  false, 1000, 4000, begin_partial_failure,
        end_partial_failure };

enum
{
  KIND_COUNT = sizeof KINDS / sizeof KINDS[0],
  /* Index of the first planned kind; planned kinds come last.  */
  FIRST_PLANNED = 14,
  DRAIN_HOST = 17,
  /* Sets the random numbers of RESTORED_STORE apart from those of the other
     faults.  */
  RESTORE_SEED = 0x5702e,
  OTHER_WRITER_SEED = 0x07e6,
  EVACUATE_SEED = 0xe7ac,
  LOAD_SEED = 0x10ad,
  WARM_UP_SEED = 0x3a43
};

static void
schedule_fault (struct soak *soak, struct galena_random *random,
                const struct fault_kind *kind, uint32_t from_ms,
                uint32_t range_ms)
{
  struct fault *fault = &soak->faults[soak->fault_count++];
  uint32_t at_ms = from_ms + galena_random_below (random, range_ms + 1);
  uint32_t length_ms
      = kind->min_ms
        + galena_random_below (random, kind->max_ms - kind->min_ms + 1);

  *fault = (struct fault){
    .kind = kind,
    .target = (uint32_t)galena_random_next (random),
    .at = galena_clock_add_ms (soak->started, at_ms),
  };
  fault->until = galena_clock_add_ms (fault->at, length_ms);
}

/* Schedules that an upstream warms up in the calm period while the callers of
   its service send a burst.  */
static void
schedule_warm_up (struct soak *soak)
{
  struct galena_random random = { soak->options.seed ^ WARM_UP_SEED, 0 };
  uint32_t from_ms = soak->options.faults_ms + STABLE_MS;
  uint32_t host;

  schedule_fault (soak, &random, &KINDS[DRAIN_HOST], from_ms,
                  soak->options.calm_ms / 8);
  host = host_of (soak, soak->faults[soak->fault_count - 1].target);
  schedule_fault (soak, &random, &BURST, from_ms + STABLE_MS, 0);
  soak->faults[soak->fault_count - 1].target = soak->hosts[host].service;
}

void
faults_schedule (struct soak *soak)
{
  const struct soak_options *options = &soak->options;
  struct galena_random restores = { options->seed ^ RESTORE_SEED, 0 };
  struct galena_random others = { options->seed ^ OTHER_WRITER_SEED, 0 };
  struct galena_random evacuations = { options->seed ^ EVACUATE_SEED, 0 };
  struct galena_random load = { options->seed ^ LOAD_SEED, 0 };
  struct galena_random *random = &soak->random;

  for (uint32_t i = 0; i < options->faults && i < FAULTS_MAX - CALM_FAULTS;
       i++)
    schedule_fault (soak, random,
                    &KINDS[galena_random_below (random, KIND_COUNT)],
                    FIRST_FAULT_MS, options->faults_ms - FIRST_FAULT_MS);
  /* Planned work in the calm period must not affect callers.  */
  schedule_fault (soak, random, &KINDS[FIRST_PLANNED],
                  options->faults_ms + STABLE_MS, options->calm_ms / 4);
  for (uint32_t i = 0; i < 3; i++)
    schedule_fault (
        soak, random,
        &KINDS[FIRST_PLANNED
               + galena_random_below (random, KIND_COUNT - FIRST_PLANNED)],
        options->faults_ms + STABLE_MS + CONFIG_BOUND_MS,
        options->calm_ms / 4);
  for (uint32_t i = galena_random_below (&restores, RESTORES_MAX + 1); i > 0;
       i--)
    schedule_fault (soak, &restores, &RESTORED_STORE, FIRST_FAULT_MS,
                    options->faults_ms - FIRST_FAULT_MS);
  for (uint32_t i = 0; i < OTHER_WRITES; i++)
    schedule_fault (soak, &others, &OTHER_WRITER, FIRST_FAULT_MS,
                    options->faults_ms + options->calm_ms / 2
                        - FIRST_FAULT_MS);
  schedule_fault (soak, &evacuations, &EVACUATE, FIRST_FAULT_MS,
                  options->faults_ms - FIRST_FAULT_MS);
  schedule_fault (soak, &evacuations, &EVACUATE,
                  options->faults_ms + STABLE_MS, options->calm_ms / 8);
  if (options->warm_up)
    schedule_warm_up (soak);
  if (!options->load_control)
    return;
  schedule_fault (soak, &load, &PARTIAL_FAILURE, FIRST_FAULT_MS,
                  options->faults_ms - FIRST_FAULT_MS);
  schedule_fault (soak, &load, &BURST, FIRST_FAULT_MS,
                  options->faults_ms + options->calm_ms / 2 - FIRST_FAULT_MS);
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
        soak->last_fault = soak->now;
      if (!fault->begun || fault->ended
          || !galena_clock_reached (soak->now, fault->until))
        continue;
      fault->ended = true;
      if (fault->kind->end != NULL)
        fault->kind->end (soak, fault->target);
    }
}
