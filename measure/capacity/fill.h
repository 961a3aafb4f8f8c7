/* Worlds filled with rows, without sockets.  */

#ifndef GALENAFORD_TEST_FILL_H
#define GALENAFORD_TEST_FILL_H

#include <galenaford/random.h>
#include <galenaford/world.h>

struct filled
{
  struct galena_world *world;
  struct galena_config *config;
  struct galena_random random;
  struct galena_clock now;
};

/* Creates a world of ROLE with room for FLOWS flows or pending opens and
   REQUESTS requests, and a snapshot of SERVICES and UPSTREAMS.  */
bool filled_create (struct filled *filled, enum galena_role role,
                    uint32_t flows, uint32_t requests, uint32_t services,
                    uint32_t upstreams);

void filled_destroy (struct filled *filled);

/* Runs one tick a millisecond later.  */
void filled_tick (struct filled *filled);

/* Returns the processor time in nanoseconds that the periodic systems take in
   SPAN_MS of virtual time without messages.  */
double filled_run_idle (struct filled *filled, int64_t span_ms);

/* Agent: opens and confirms COUNT flows; with a request that lacks a part of
   its body in each if WITH_REQUESTS.  */
void filled_open_flows (struct filled *filled, uint32_t count,
                        bool with_requests);

/* Entry: sends COUNT opens that stay without a reply.  */
void filled_open (struct filled *filled, uint32_t count);

/* Entry: gives a hint on each of the first COUNT upstreams.  */
void filled_hint (struct filled *filled, uint32_t count);

#endif
