/* Routers: which entries are in rotation, and where a flow's packets go.  */

#include <stdio.h>

#include <xxhash.h>

#include "soak.h"

enum
{
  PROBE_MS = 500,
  PROBE_TIMEOUT_MS = 400,
  MISSES_MAX = 2
};

static void
take_probe (struct rotation *rotation, bool ready)
{
  rotation->misses = ready ? 0 : rotation->misses + 1;
  if (ready)
    rotation->in = true;
  else if (rotation->misses >= MISSES_MAX)
    rotation->in = false;
}

static void
send_probes (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.entries; i++)
    {
      char address[64];
      char url[128];

      net_text (net_entry (soak, i, PORT_STATUS), address, sizeof address);
      snprintf (url, sizeof url, "http://%s/readyz", address);
      if (galena_reads_start (soak->reads, url, PROBE_TIMEOUT_MS, i)
          != GALENA_OK)
        take_probe (&soak->rotations[i], false);
    }
}

void
rotation_run (struct soak *soak)
{
  struct galena_completed_read end;

  galena_reads_wait (soak->reads, NULL, 0, 0);
  while (galena_reads_next (soak->reads, &end))
    take_probe (&soak->rotations[end.user_data], end.result == GALENA_OK);
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
  uint32_t in = 0;

  for (uint32_t i = 0; i < soak->options.entries; i++)
    in += soak->rotations[i].in;
  /* With fewer than half in rotation all are used.  */
  for (uint32_t i = 0; i < soak->options.entries; i++)
    {
      uint64_t score = XXH64 (&flow, sizeof flow, i);

      if (!soak->rotations[i].in && in * 2 >= soak->options.entries)
        continue;
      if (chosen < 0 || score > best)
        {
          best = score;
          chosen = (int)i;
        }
    }
  return chosen;
}
