/* Silent paths: something between the two ends may have lost track of a path
   for good, while a path from a new source port works.  A port that was new
   when the flow was last heard may be as silent as its own.  */

#include "caller_tables.h"

enum
{
  /* A path without a reply for so long is given up.  */
  PATH_TIMEOUT_MS = 1000
};

void
galena_caller_check_path (struct galena_world *world,
                          struct galena_caller_flow *flow)
{
  struct galena_caller *caller = world->caller;
  int64_t silent_ms = galena_clock_between (flow->last_seen, world->now);
  int64_t used_ms = galena_clock_between (flow->path_since, world->now);

  if (silent_ms < PATH_TIMEOUT_MS || used_ms < PATH_TIMEOUT_MS)
    return;
  if (flow->path == caller->path
      || galena_clock_reached (flow->last_seen, caller->path_since))
    {
      caller->path++;
      caller->path_since = world->now;
    }
  flow->path = caller->path;
  flow->path_since = world->now;
  galena_world_count (world, GALENA_COUNT_PATHS_LEFT);
}
