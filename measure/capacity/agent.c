/* Processor time of an agent's periodic systems by the number of rows.  */

#include <stdbool.h>

#include "capacity.h"
#include "fill.h"
#include "sample.h"

enum
{
  /* Shorter than the time after which a silent flow ends.  */
  SPAN_MS = 5000,
  REPEATS = 5,
  ROWS_MAX = 131072
};

/* Returns the nanoseconds per second of virtual time.  */
static double
measure_idle (uint32_t size, bool with_requests)
{
  struct samples samples = { 0 };

  for (uint32_t i = 0; i < REPEATS; i++)
    {
      struct test_world test;

      if (!test_world_create (&test, GALENA_ROLE_AGENT, ROWS_MAX, ROWS_MAX, 1,
                              1))
        return -1;
      test_world_add_flows (&test, size, with_requests);
      samples_add (&samples,
                   test_world_run_idle (&test, SPAN_MS) / (SPAN_MS / 1000.0));
      test_world_destroy (&test);
    }
  return samples_median (&samples);
}

static double
idle_by_flows (uint32_t size)
{
  return measure_idle (size, false);
}

static double
idle_by_requests (uint32_t size)
{
  return measure_idle (size, true);
}

const struct sized_cost AGENT_COSTS[] = {
  { "agent-systems-by-flows",
    "flow",
    "ns/s",
    { 2048, 4096, 8192, 16384, 65536 },
    idle_by_flows },
  { "agent-systems-by-flows-with-a-request",
    "flow and request",
    "ns/s",
    { 1024, 2048, 4096, 8192, 16384 },
    idle_by_requests },
  { 0 },
};
