/* Measures how records reach a fleet: seconds until one is in force
   everywhere, reads of the platform a second, bytes a second at a node.

   Usage: propagation [PROCESSES...]  */

#include <stdio.h>
#include <stdlib.h>

#include "sync_fleet.h"

enum
{
  /* Entries and agents of the fleet that the shares below come from.  */
  ENTRIES_OF_ALL = 560,
  PROCESSES_OF_ALL = 3460,
  AGENTS_OF_SERVICE = 9,
  AGENTS_MAX = 16,
  RECORD_BYTES = 2000,
  READS_PER_SECOND = 1500,
  /* How often it is looked whether a record is in force everywhere, and how
     long at most.  */
  STEP_MS = 10,
  LIMIT_MS = 120000,
  QUIET_MS = 30000,
  OUTAGE_MS = 60000,
  SEED = 1
};

struct fleet_size
{
  uint32_t processes;
  uint32_t entries;
  uint32_t services;
};

/* What happens around a publication.  */
enum outage
{
  OUTAGE_NONE,
  /* The platform goes down this soon after the publication.  */
  OUTAGE_AFTER,
  /* The record is published while the platform is down; measured from its
     return.  */
  OUTAGE_DURING
};

static const char *const OUTAGE_WORDS[]
    = { "publish", "publish-then-down", "down-then-return" };

enum
{
  DOWN_AFTER_MS = 500
};

static struct galena_endpoint
address_of (uint32_t process)
{
  return (struct galena_endpoint){ 0x7f010000 + process, 7000 };
}

static void
publish (struct sync_fleet *sync_fleet, const struct fleet_size *size,
         uint32_t number, uint64_t generation)
{
  struct galena_upstream upstreams[AGENTS_MAX] = { 0 };
  struct galena_service_record record
      = { .service = { .number = number,
                       .generation = generation,
                       .digest = generation,
                       .address = { 0x7f640000 + number, 700 } },
          .upstreams = upstreams };

  g_snprintf (record.service.name, GALENA_NAME_BYTES, "service-%u", number);
  for (uint32_t i = size->entries + number - 1; i < size->processes;
       i += size->services)
    upstreams[record.service.upstream_count++]
        = (struct galena_upstream){ .number = i,
                                    .agent = address_of (i),
                                    .slots = 1,
                                    .connections = 1,
                                    .weight = 1 };
  sync_fleet_publish (sync_fleet, &record, RECORD_BYTES);
}

static void
start (struct sync_fleet *sync_fleet, const struct fleet_size *size,
       uint32_t process)
{
  bool entry = process < size->entries;
  struct galena_sync_options options
      = { .self = { address_of (process),
                    entry ? GALENA_ROLE_ENTRY : GALENA_ROLE_AGENT },
          .service
          = entry ? 0 : 1 + (process - size->entries) % size->services,
          .seeds = { address_of (0), address_of (size->entries / 2) },
          .seed_count = 2,
          .readers = size->processes,
          .reads_per_second = READS_PER_SECOND,
          .wait_ms = 20000,
          .has_instance_list = true };

  sync_fleet_start (sync_fleet, process, &options);
}

static struct sync_fleet *
create (const struct fleet_size *size)
{
  struct sync_fleet_options options = { SEED, 2, 5 };
  struct sync_fleet *sync_fleet
      = sync_fleet_create (&options, size->processes);

  sync_fleet->list_generation = 1;
  for (uint32_t i = 0; i < size->processes; i++)
    {
      bool entry = i < size->entries;
      struct galena_instance instance
          = { { address_of (i),
                entry ? GALENA_ROLE_ENTRY : GALENA_ROLE_AGENT },
              entry ? 0 : i,
              false };

      g_array_append_val (sync_fleet->instances, instance);
    }
  for (uint32_t number = 1; number <= size->services; number++)
    publish (sync_fleet, size, number, 1);
  for (uint32_t i = 0; i < size->processes; i++)
    start (sync_fleet, size, i);
  return sync_fleet;
}

static uint32_t
count_behind_any (const struct sync_fleet *sync_fleet,
                  const struct fleet_size *size)
{
  uint32_t behind = 0;

  for (uint32_t number = 1; number <= size->services; number++)
    behind += sync_fleet_count_behind (sync_fleet, number, 1, 1);
  return behind;
}

/* Returns the milliseconds from now until service 1 has GENERATION
   everywhere; for 0 until all records are in force everywhere.  */
static int64_t
run_until_in_force (struct sync_fleet *sync_fleet,
                    const struct fleet_size *size, uint64_t generation)
{
  int64_t began = sync_fleet->now.ms;
  uint32_t behind = 1;

  while (behind > 0 && sync_fleet->now.ms < began + LIMIT_MS)
    {
      sync_fleet_run (sync_fleet, sync_fleet->now.ms + STEP_MS);
      if (generation != 0)
        behind
            = sync_fleet_count_behind (sync_fleet, 1, generation, generation);
      else if (sync_fleet->now.ms % 100 < STEP_MS)
        behind = count_behind_any (sync_fleet, size);
    }
  return behind > 0 ? -1 : sync_fleet->now.ms - began;
}

/* Bytes that PROCESS has sent and received.  */
static uint64_t
moved_bytes (const struct sync_fleet_process *process)
{
  return process->bytes_sent + process->bytes_received;
}

static void
forget_bytes (struct sync_fleet *sync_fleet)
{
  for (uint32_t i = 0; i < sync_fleet->count; i++)
    sync_fleet->processes[i].bytes_sent
        = sync_fleet->processes[i].bytes_received = 0;
}

static uint64_t
most_bytes (const struct sync_fleet *sync_fleet)
{
  uint64_t most = 0;

  for (uint32_t i = 0; i < sync_fleet->count; i++)
    most = MAX (most, moved_bytes (&sync_fleet->processes[i]));
  return most;
}

static void
measure_quiet (struct sync_fleet *sync_fleet, const struct fleet_size *size)
{
  int64_t began = sync_fleet->now.ms;
  uint64_t sum = 0;

  forget_bytes (sync_fleet);
  sync_fleet_run (sync_fleet, began + QUIET_MS);
  for (uint32_t i = 0; i < sync_fleet->count; i++)
    sum += moved_bytes (&sync_fleet->processes[i]);
  printf ("processes=%u what=quiet seconds=%d reads_per_second_max=%u "
          "bytes_per_second_mean=%.0f bytes_per_second_max=%.0f\n",
          size->processes, QUIET_MS / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, began),
          (double)sum * 1000 / QUIET_MS / sync_fleet->count,
          (double)most_bytes (sync_fleet) * 1000 / QUIET_MS);
}

static void
measure_publish (struct sync_fleet *sync_fleet, const struct fleet_size *size,
                 enum outage outage, uint64_t generation)
{
  int64_t began = sync_fleet->now.ms;
  int64_t took_ms;
  int64_t early_ms = 0;

  forget_bytes (sync_fleet);
  sync_fleet->platform_down = outage == OUTAGE_DURING;
  publish (sync_fleet, size, 1, generation);
  if (outage == OUTAGE_DURING)
    {
      sync_fleet_run (sync_fleet, began + OUTAGE_MS);
      sync_fleet->platform_down = false;
    }
  if (outage == OUTAGE_AFTER)
    {
      sync_fleet_run (sync_fleet, began + DOWN_AFTER_MS);
      sync_fleet->platform_down = true;
      early_ms = DOWN_AFTER_MS;
    }
  took_ms = run_until_in_force (sync_fleet, size, generation);
  printf ("processes=%u what=%s seconds=%s%.2f reads_per_second_max=%u "
          "bytes_max=%llu\n",
          size->processes, OUTAGE_WORDS[outage],
          early_ms > 0 && took_ms <= STEP_MS ? "<" : "",
          took_ms < 0 ? -1 : (double)(took_ms + early_ms) / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, began),
          (unsigned long long)most_bytes (sync_fleet));
  sync_fleet->platform_down = false;
  sync_fleet_run (sync_fleet, sync_fleet->now.ms + QUIET_MS);
}

static void
measure (uint32_t processes)
{
  struct fleet_size size
      = { .processes = processes,
          .entries = MAX (2, processes * ENTRIES_OF_ALL / PROCESSES_OF_ALL) };
  struct sync_fleet *sync_fleet;
  int64_t took_ms;

  size.services = MAX (1, (processes - size.entries) / AGENTS_OF_SERVICE);
  sync_fleet = create (&size);
  took_ms = run_until_in_force (sync_fleet, &size, 0);
  printf ("processes=%u entries=%u services=%u what=start seconds=%.2f "
          "reads_per_second_max=%u\n",
          processes, size.entries, size.services, (double)took_ms / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, 0));
  fflush (stdout);
  sync_fleet_run (sync_fleet, sync_fleet->now.ms + QUIET_MS);
  measure_quiet (sync_fleet, &size);
  for (uint32_t i = 0; i < G_N_ELEMENTS (OUTAGE_WORDS); i++)
    measure_publish (sync_fleet, &size, (enum outage)i, 2 + i);
  fflush (stdout);
  sync_fleet_destroy (sync_fleet);
}

int
main (int argc, char **argv)
{
  static const uint32_t SIZES[] = { 5, 50, 500 };

  for (int i = 1; i < argc; i++)
    measure ((uint32_t)atoi (argv[i]));
  for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS (SIZES); i++)
    measure (SIZES[i]);
  return 0;
}
