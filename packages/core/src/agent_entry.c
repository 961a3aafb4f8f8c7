/* Entries that were seen recently: other return paths to a caller.  */

#include "agent.h"

void
galena_agent_update_known_entry (struct galena_world *world,
                                 struct galena_endpoint entry)
{
  struct galena_known_entry *known = world->agent->known_entries;
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < GALENA_KNOWN_ENTRIES; i++)
    {
      if (galena_endpoint_equal (known[i].address, entry))
        {
          known[i].last_seen = world->now;
          return;
        }
      if (known[i].last_seen.ms < known[oldest].last_seen.ms)
        oldest = i;
    }
  known[oldest].address = entry;
  known[oldest].last_seen = world->now;
}

struct galena_endpoint
galena_agent_other_entry (const struct galena_world *world,
                          struct galena_endpoint entry)
{
  const struct galena_known_entry *known = world->agent->known_entries;
  struct galena_known_entry latest = { entry, { 0 } };

  for (uint32_t i = 0; i < GALENA_KNOWN_ENTRIES; i++)
    if (known[i].last_seen.ms > latest.last_seen.ms
        && !galena_endpoint_equal (known[i].address, entry))
      latest = known[i];
  return latest.address;
}
