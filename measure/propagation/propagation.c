/* Measures how records propagate in a simulated fleet: the time until a record
   is current in every process, reads of the platform per second, and bytes per
   second at a process.

   Usage: propagation [PROCESSES...]  */

#include <stdio.h>
#include <stdlib.h>

#include "sync_fleet.h"

enum
{
  /* Entries and processes of the full fleet; smaller fleets have the same
     share of entries.  */
  FULL_FLEET_ENTRIES = 560,
  FULL_FLEET_PROCESSES = 3460,
  AGENTS_PER_SERVICE = 9,
  /* Room for the upstreams of one record.  */
  AGENTS_MAX = 16,
  RECORD_BYTES = 2000,
  /* Limit on the platform reads of all processes together.  */
  READS_PER_SECOND = 1500,
  /* Period and timeout of the checks whether a record is current in every
     process.  */
  STEP_MS = 10,
  TIMEOUT_MS = 120000,
  /* Time without publications, to settle and to measure idle traffic.  */
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
  /* The platform goes down DOWN_AFTER_MS after the publication.  */
  OUTAGE_AFTER,
  /* The record is published while the platform is down; the time is measured
     from its recovery.  */
  OUTAGE_DURING
};

static const char *const OUTAGE_NAMES[]
    = { "publish", "publish-then-down", "down-then-return" };

enum
{
  DOWN_AFTER_MS = 500
};

static struct galena_endpoint
process_address (uint32_t process)
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
                                    .agent = process_address (i),
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
  struct galena_sync_options options = {
    .self = { process_address (process),
              entry ? GALENA_ROLE_ENTRY : GALENA_ROLE_AGENT },
    .service = entry ? 0 : 1 + (process - size->entries) % size->services,
    .seeds = { process_address (0), process_address (size->entries / 2) },
    .seed_count = 2,
    .readers = size->processes,
    .reads_per_second = READS_PER_SECOND,
    .wait_ms = 20000,
    .has_instance_list = true
  };

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
          = { { process_address (i),
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

/* Returns the number of outdated records, summed over all processes.  */
static uint32_t
count_behind_any (const struct sync_fleet *sync_fleet,
                  const struct fleet_size *size)
{
  uint32_t behind = 0;

  for (uint32_t number = 1; number <= size->services; number++)
    behind += sync_fleet_count_behind (sync_fleet, number, 1, 1);
  return behind;
}

/* Runs the fleet until every process has GENERATION of service 1 or, when
   GENERATION is 0, until every record is current in every process.  Returns
   the time it took in milliseconds; -1 when it timed out.  */
static int64_t
run_until_current (struct sync_fleet *sync_fleet,
                   const struct fleet_size *size, uint64_t generation)
{
  int64_t start_ms = sync_fleet->now.ms;
  uint32_t behind = 1;

  while (behind > 0 && sync_fleet->now.ms < start_ms + TIMEOUT_MS)
    {
      sync_fleet_run (sync_fleet, sync_fleet->now.ms + STEP_MS);
      if (generation != 0)
        behind
            = sync_fleet_count_behind (sync_fleet, 1, generation, generation);
      else if (sync_fleet->now.ms % 100 < STEP_MS)
        behind = count_behind_any (sync_fleet, size);
    }
  return behind > 0 ? -1 : sync_fleet->now.ms - start_ms;
}

/* Returns the bytes that PROCESS has sent and received.  */
static uint64_t
transferred_bytes (const struct sync_fleet_process *process)
{
  return process->bytes_sent + process->bytes_received;
}

static void
reset_byte_counts (struct sync_fleet *sync_fleet)
{
  for (uint32_t i = 0; i < sync_fleet->count; i++)
    sync_fleet->processes[i].bytes_sent
        = sync_fleet->processes[i].bytes_received = 0;
}

static uint64_t
max_bytes (const struct sync_fleet *sync_fleet)
{
  uint64_t max = 0;

  for (uint32_t i = 0; i < sync_fleet->count; i++)
    max = MAX (max, transferred_bytes (&sync_fleet->processes[i]));
  return max;
}

static void
measure_idle (struct sync_fleet *sync_fleet, const struct fleet_size *size)
{
  int64_t start_ms = sync_fleet->now.ms;
  uint64_t sum = 0;

  reset_byte_counts (sync_fleet);
  sync_fleet_run (sync_fleet, start_ms + QUIET_MS);
  for (uint32_t i = 0; i < sync_fleet->count; i++)
    sum += transferred_bytes (&sync_fleet->processes[i]);
  printf ("processes=%u what=quiet seconds=%d reads_per_second_max=%u "
          "bytes_per_second_mean=%.0f bytes_per_second_max=%.0f\n",
          size->processes, QUIET_MS / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, start_ms),
          (double)sum * 1000 / QUIET_MS / sync_fleet->count,
          (double)max_bytes (sync_fleet) * 1000 / QUIET_MS);
}

static void
measure_publish (struct sync_fleet *sync_fleet, const struct fleet_size *size,
                 enum outage outage, uint64_t generation)
{
  int64_t start_ms = sync_fleet->now.ms;
  int64_t elapsed_ms;
  int64_t before_outage_ms = 0;

  reset_byte_counts (sync_fleet);
  sync_fleet->platform_down = outage == OUTAGE_DURING;
  publish (sync_fleet, size, 1, generation);
  if (outage == OUTAGE_DURING)
    {
      sync_fleet_run (sync_fleet, start_ms + OUTAGE_MS);
      sync_fleet->platform_down = false;
    }
  if (outage == OUTAGE_AFTER)
    {
      sync_fleet_run (sync_fleet, start_ms + DOWN_AFTER_MS);
      sync_fleet->platform_down = true;
      before_outage_ms = DOWN_AFTER_MS;
    }
  elapsed_ms = run_until_current (sync_fleet, size, generation);
  printf ("processes=%u what=%s seconds=%s%.2f reads_per_second_max=%u "
          "bytes_max=%llu\n",
          size->processes, OUTAGE_NAMES[outage],
          before_outage_ms > 0 && elapsed_ms <= STEP_MS ? "<" : "",
          elapsed_ms < 0 ? -1 : (double)(elapsed_ms + before_outage_ms) / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, start_ms),
          (unsigned long long)max_bytes (sync_fleet));
  sync_fleet->platform_down = false;
  sync_fleet_run (sync_fleet, sync_fleet->now.ms + QUIET_MS);
}

static void
measure (uint32_t processes)
{
  struct fleet_size size = { .processes = processes,
                             .entries = MAX (2, processes * FULL_FLEET_ENTRIES
                                                    / FULL_FLEET_PROCESSES) };
  struct sync_fleet *sync_fleet;
  int64_t elapsed_ms;

  size.services = MAX (1, (processes - size.entries) / AGENTS_PER_SERVICE);
  sync_fleet = create (&size);
  elapsed_ms = run_until_current (sync_fleet, &size, 0);
  printf ("processes=%u entries=%u services=%u what=start seconds=%.2f "
          "reads_per_second_max=%u\n",
          processes, size.entries, size.services, (double)elapsed_ms / 1000,
          sync_fleet_max_reads_per_second (sync_fleet, 0));
  fflush (stdout);
  sync_fleet_run (sync_fleet, sync_fleet->now.ms + QUIET_MS);
  measure_idle (sync_fleet, &size);
  for (uint32_t i = 0; i < G_N_ELEMENTS (OUTAGE_NAMES); i++)
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
