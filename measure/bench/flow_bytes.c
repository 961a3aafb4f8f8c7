/* Bytes per open flow at an agent: the slope of what an agent's world
   allocates over the maximum number of its flows.  */

#include <malloc.h>
#include <stdio.h>

#include <galenaford/world.h>

#include "bench.h"
#include "sample.h"

enum
{
  REQUESTS = 64,
  MESSAGES = 64
};

static const double TARGET_BYTES = 256;
static const uint32_t SIZES[] = { 8192, 16384, 32768, 65536, 131072 };

static double
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd);
}

static bool
measure_size (uint32_t flows, struct point *point)
{
  struct galena_world_options options = { .role = GALENA_ROLE_AGENT,
                                          .seed = 1,
                                          .upstream = 1,
                                          .incarnation = 1,
                                          .flows = flows,
                                          .requests = REQUESTS,
                                          .messages = MESSAGES };
  double before = allocated_bytes ();
  struct galena_world *world;

  if (galena_world_create (&options, &world) != GALENA_OK)
    return false;
  *point = (struct point){ flows, allocated_bytes () - before };
  galena_world_destroy (world);
  return true;
}

bool
bench_flow_bytes (void)
{
  enum
  {
    COUNT = sizeof SIZES / sizeof SIZES[0]
  };
  struct point points[COUNT];
  struct line line;

  for (uint32_t i = 0; i < COUNT; i++)
    if (!measure_size (SIZES[i], &points[i]))
      return false;
  line = line_fit (points, COUNT);
  printf ("flow: bytes=%.1f base_bytes=%.0f error=%.1f%% target_bytes=%.0f "
          "%s\n",
          line.slope, line.base, line.error * 100, TARGET_BYTES,
          line.slope <= TARGET_BYTES ? "met" : "missed");
  return true;
}
