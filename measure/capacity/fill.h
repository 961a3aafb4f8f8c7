/* Worlds without sockets, whose tables the functions below fill with rows.  */

#ifndef GALENAFORD_TEST_FILL_H
#define GALENAFORD_TEST_FILL_H

#include <galenaford/random.h>
#include <galenaford/world.h>

struct test_world
{
  struct galena_world *world;
  struct galena_config *config;
  struct galena_random random;
  struct galena_clock now;
};

/* Creates a world of ROLE with room for FLOWS flows or pending opens and
   REQUESTS requests, and a snapshot with SERVICES services and UPSTREAMS
   upstreams.  Returns false when one can't be created.  */
bool test_world_create (struct test_world *test, enum galena_role role,
                        uint32_t flows, uint32_t requests, uint32_t services,
                        uint32_t upstreams);

void test_world_destroy (struct test_world *test);

/* Advances the time by a millisecond and runs one tick.  */
void test_world_tick (struct test_world *test);

/* Runs the periodic systems for SPAN_MS of virtual time without messages.
   Returns their processor time in nanoseconds.  */
double test_world_run_idle (struct test_world *test, int64_t span_ms);

/* Agent only: opens and confirms COUNT flows.  With WITH_REQUESTS each has a
   request of which one part of the body is missing.  */
void test_world_add_flows (struct test_world *test, uint32_t count,
                           bool with_requests);

/* Entry only: receives COUNT opens, to which no agent replies.  */
void test_world_add_opens (struct test_world *test, uint32_t count);

/* Entry only: adds a hint on each of the first COUNT upstreams, by an answer
   from it.  */
void test_world_add_hints (struct test_world *test, uint32_t count);

#endif
