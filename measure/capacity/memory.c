/* Memory of worlds by the maximum numbers of rows they are created with.  */

#include "capacity.h"
#include "fill.h"
#include "fixture.h"

enum
{
  /* Rows of the tables that a measurement does not vary.  */
  FIXED_ROWS = 64
};

/* Rows of a world's tables.  A member that is 0 takes the size that the
   measurement varies.  */
struct world_sizes
{
  enum galena_role role;
  uint32_t flows;
  uint32_t requests;
  uint32_t messages;
};

/* Returns the bytes that a world with SIZES and SIZE allocates.  */
static double
measure_world (const struct world_sizes *sizes, uint32_t size)
{
  struct galena_world_options options
      = { .role = sizes->role,
          .seed = 1,
          .upstream = 1,
          .incarnation = 1,
          .flows = sizes->flows == 0 ? size : sizes->flows,
          .requests = sizes->requests == 0 ? size : sizes->requests,
          .messages = sizes->messages == 0 ? size : sizes->messages,
          .borrow_bodies = sizes->role == GALENA_ROLE_ENTRY };
  double before = allocated_bytes ();
  struct galena_world *world;
  double bytes;

  if (galena_world_create (&options, &world) != GALENA_OK)
    return -1;
  bytes = allocated_bytes () - before;
  galena_world_destroy (world);
  return bytes;
}

static double
agent_by_flows (uint32_t size)
{
  struct world_sizes sizes = { GALENA_ROLE_AGENT, 0, FIXED_ROWS, FIXED_ROWS };

  return measure_world (&sizes, size);
}

static double
agent_by_requests (uint32_t size)
{
  struct world_sizes sizes = { GALENA_ROLE_AGENT, FIXED_ROWS, 0, FIXED_ROWS };

  return measure_world (&sizes, size);
}

static double
agent_by_messages (uint32_t size)
{
  struct world_sizes sizes = { GALENA_ROLE_AGENT, FIXED_ROWS, FIXED_ROWS, 0 };

  return measure_world (&sizes, size);
}

static double
entry_by_opens (uint32_t size)
{
  struct world_sizes sizes = { GALENA_ROLE_ENTRY, 0, FIXED_ROWS, FIXED_ROWS };

  return measure_world (&sizes, size);
}

static double
entry_by_messages (uint32_t size)
{
  struct world_sizes sizes = { GALENA_ROLE_ENTRY, FIXED_ROWS, FIXED_ROWS, 0 };

  return measure_world (&sizes, size);
}

/* Returns the growth of resident memory in bytes while FILL adds SIZE rows. */
static double
measure_resident (enum galena_role role, uint32_t size,
                  void (*fill) (struct test_world *test, uint32_t size))
{
  struct test_world test;
  double bytes;

  if (!test_world_create (&test, role, 131072, 131072, FLEET_SERVICES,
                          FLEET_UPSTREAMS))
    return -1;
  test_world_tick (&test);
  bytes = resident_bytes ();
  fill (&test, size);
  bytes = resident_bytes () - bytes;
  test_world_destroy (&test);
  return bytes;
}

static double
entry_by_hints (uint32_t size)
{
  return measure_resident (GALENA_ROLE_ENTRY, size, test_world_add_hints);
}

const struct sized_cost MEMORY_COSTS[] = {
  { "agent-memory-by-flows",
    "flow",
    "bytes",
    { 8192, 16384, 32768, 65536, 131072 },
    agent_by_flows },
  { "agent-memory-by-requests",
    "request",
    "bytes",
    { 1024, 2048, 4096, 8192, 16384 },
    agent_by_requests },
  { "agent-memory-by-messages",
    "message",
    "bytes",
    { 128, 256, 512, 1024, 2048 },
    agent_by_messages },
  { "entry-memory-by-pending-opens",
    "open",
    "bytes",
    { 1024, 2048, 4096, 8192, 16384 },
    entry_by_opens },
  { "entry-memory-by-messages",
    "message",
    "bytes",
    { 128, 256, 512, 1024, 2048 },
    entry_by_messages },
  { "entry-touched-by-hints",
    "hint",
    "bytes",
    { 512, 1024, 2048, 4096, 8192 },
    entry_by_hints },
  { 0 },
};
