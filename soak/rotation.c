/* Simulated routers in front of the entries: health checks decide which
   entries are in rotation, and rendezvous hashing chooses one of them for a
   flow.  */

#include <stdio.h>

#include <xxhash.h>

#include "soak.h"

enum
{
  /* Interval of health checks.  */
  PROBE_MS = 500,
  PROBE_TIMEOUT_MS = 400,
  /* An entry is taken out of rotation after this many failed checks.  */
  FAILED_PROBES_MAX = 2
};

static void
record_probe (struct rotation *rotation, bool ready)
{
  rotation->failed_probes = ready ? 0 : rotation->failed_probes + 1;
  if (ready)
    rotation->in_rotation = true;
  else if (rotation->failed_probes >= FAILED_PROBES_MAX)
    rotation->in_rotation = false;
}

static void
send_probes (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.entries; i++)
    {
      char address[64];
      char url[128];

      net_format (net_entry (soak, i, PORT_STATUS), address, sizeof address);
      snprintf (url, sizeof url, "http://%s/readyz", address);
      if (galena_reads_start (soak->probes, url, PROBE_TIMEOUT_MS, i)
          != GALENA_OK)
        record_probe (&soak->rotations[i], false);
    }
}

void
rotation_run (struct soak *soak)
{
  struct galena_completed_read completed;

  galena_reads_wait (soak->probes, NULL, 0, 0);
  while (galena_reads_next (soak->probes, &completed))
    record_probe (&soak->rotations[completed.user_data],
                  completed.result == GALENA_OK);
  if (!galena_clock_reached (soak->now, soak->probe_at))
    return;
  soak->probe_at = galena_clock_add_ms (soak->now, PROBE_MS);
  send_probes (soak);
}

int
rotation_entry (const struct soak *soak, struct galena_flow_key key)
{
  uint64_t flow = ((uint64_t)key.caller.ip << 16) | key.caller.port;
  uint64_t best = 0;
  int chosen = -1;
  uint32_t in_count = 0;

  for (uint32_t i = 0; i < soak->options.entries; i++)
    in_count += soak->rotations[i].in_rotation;
  /* Fail open: with fewer than half in rotation all are used.  */
  for (uint32_t i = 0; i < soak->options.entries; i++)
    {
      uint64_t score = XXH64 (&flow, sizeof flow, i);

      if (!soak->rotations[i].in_rotation
          && in_count * 2 >= soak->options.entries)
        continue;
      if (chosen < 0 || score > best)
        {
          best = score;
          chosen = (int)i;
        }
    }
  return chosen;
}
