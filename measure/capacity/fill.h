/* Worlds filled with rows, without sockets.  */

#ifndef GALENAFORD_TEST_FILL_H
#define GALENAFORD_TEST_FILL_H

#include <galenaford/random.h>
#include <galenaford/world.h>

struct filled_world
{
  struct galena_world *world;
  struct galena_config *config;
  struct galena_random random;
  struct galena_clock now;
};

/* Creates a world of ROLE with room for FLOWS flows or pending opens and
   REQUESTS requests, and a snapshot with SERVICES services and UPSTREAMS
   upstreams.  Returns false when one can't be created.  */
bool filled_world_create (struct filled_world *filled, enum galena_role role,
                          uint32_t flows, uint32_t requests, uint32_t services,
                          uint32_t upstreams);

void filled_world_destroy (struct filled_world *filled);

/* Advances the time by a millisecond and runs one tick.  */
void filled_world_tick (struct filled_world *filled);

/* Runs the periodic systems for SPAN_MS of virtual time without messages.
   Returns their processor time in nanoseconds.  */
double filled_world_run_idle (struct filled_world *filled, int64_t span_ms);

/* Agent only: opens and confirms COUNT flows.  With WITH_REQUESTS each has a
   request of which one part of the body is missing.  */
void filled_world_add_flows (struct filled_world *filled, uint32_t count,
                             bool with_requests);

/* Entry only: receives COUNT opens, to which no agent replies.  */
void filled_world_add_opens (struct filled_world *filled, uint32_t count);

/* Entry only: adds a hint on each of the first COUNT upstreams, by an answer
   from it.  */
void filled_world_add_hints (struct filled_world *filled, uint32_t count);

#endif
