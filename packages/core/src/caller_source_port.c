/* Changes of source port.  A device between caller and owner may have lost
   its state for a source port for good, while packets from a new port arrive.
   A flow changes to the caller's newest port if that port came into use after
   the last message from the flow's owner.  Otherwise it may have failed as
   well, and the caller takes a further port.  */

#include "caller_tables.h"

enum
{
  /* Time without a reply after which the source port is changed.  */
  SOURCE_PORT_TIMEOUT_MS = 1000
};

void
galena_caller_check_source_port (struct galena_world *world,
                                 struct galena_caller_flow *flow)
{
  struct galena_caller *caller = world->caller;
  int64_t silent_ms = galena_clock_elapsed_ms (flow->last_seen, world->now);
  int64_t used_ms
      = galena_clock_elapsed_ms (flow->source_port_since, world->now);

  if (silent_ms < SOURCE_PORT_TIMEOUT_MS || used_ms < SOURCE_PORT_TIMEOUT_MS)
    return;
  if (flow->source_port_index == caller->source_port_index
      || galena_clock_reached (flow->last_seen, caller->source_port_since))
    {
      caller->source_port_index++;
      caller->source_port_since = world->now;
    }
  flow->source_port_index = caller->source_port_index;
  flow->source_port_since = world->now;
  galena_world_count (world, GALENA_COUNT_PATHS_LEFT);
}
