/* Memory of worlds by the room they are created with.  */

#include "capacity.h"
#include "fill.h"
#include "fixture.h"

enum
{
  FEW = 64
};

/* Room of a world; SIZE takes the place of the members that are 0.  */
struct room
{
  enum galena_role role;
  uint32_t flows;
  uint32_t requests;
  uint32_t messages;
};

static double
measure_room (const struct room *room, uint32_t size)
{
  struct galena_world_options options
      = { .role = room->role,
          .seed = 1,
          .upstream = 1,
          .incarnation = 1,
          .flows = room->flows == 0 ? size : room->flows,
          .requests = room->requests == 0 ? size : room->requests,
          .messages = room->messages == 0 ? size : room->messages,
          .borrow_bodies = room->role == GALENA_ROLE_ENTRY };
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
  struct room room = { GALENA_ROLE_AGENT, 0, FEW, FEW };

  return measure_room (&room, size);
}

static double
agent_by_requests (uint32_t size)
{
  struct room room = { GALENA_ROLE_AGENT, FEW, 0, FEW };

  return measure_room (&room, size);
}

static double
agent_by_messages (uint32_t size)
{
  struct room room = { GALENA_ROLE_AGENT, FEW, FEW, 0 };

  return measure_room (&room, size);
}

static double
entry_by_opens (uint32_t size)
{
  struct room room = { GALENA_ROLE_ENTRY, 0, FEW, FEW };

  return measure_room (&room, size);
}

static double
entry_by_messages (uint32_t size)
{
  struct room room = { GALENA_ROLE_ENTRY, FEW, FEW, 0 };

  return measure_room (&room, size);
}

/* Memory touched by what FILL does with SIZE rows.  */
static double
measure_touched (enum galena_role role, uint32_t size,
                 void (*fill) (struct filled *filled, uint32_t size))
{
  struct filled filled;
  double bytes;

  if (!filled_create (&filled, role, 131072, 131072, FLEET_SERVICES,
                      FLEET_UPSTREAMS))
    return -1;
  filled_tick (&filled);
  bytes = resident_bytes ();
  fill (&filled, size);
  bytes = resident_bytes () - bytes;
  filled_destroy (&filled);
  return bytes;
}

static double
entry_by_hints (uint32_t size)
{
  return measure_touched (GALENA_ROLE_ENTRY, size, filled_hint);
}

const struct slope MEMORY_SLOPES[] = {
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
