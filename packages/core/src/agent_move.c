/* A leaving agent asks the callers of its flows to open them elsewhere, in
   rounds until none is left.  Callers of hash-routed flows cannot be
   asked.  */

#include "agent.h"

enum
{
  /* Least time between two rounds.  */
  ROUND_MS = 1000,
  /* Most move requests sent in one call of the system.  */
  MOVE_REQUESTS_MAX = 256
};

bool
galena_agent_is_leaving (const struct galena_world *world)
{
  const struct galena_upstream *upstream = galena_agent_upstream (world);

  return world->draining || upstream == NULL
         || upstream->state != GALENA_UPSTREAM_ACTIVE;
}

/* A LOST message with the result GALENA_FLOW_MOVE asks for the move; the flow
   itself stays usable.  */
static void
ask_to_move (struct galena_world *world, const struct galena_flow *flow)
{
  struct galena_message move = { .type = GALENA_MESSAGE_LOST,
                                 .side = GALENA_SIDE_PEER,
                                 .peer = flow->entry,
                                 .caller = flow->caller,
                                 .flow = flow->id,
                                 .tag = flow->tag,
                                 .result = GALENA_FLOW_MOVE };
  const struct galena_service *service = galena_agent_service (world);

  if (service != NULL)
    {
      move.service = service->address;
      move.service_number = service->number;
    }
  galena_world_send (world, &move);
}

void
galena_agent_run_moves (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  const struct galena_flow *flow;
  struct galena_handle handle;
  uint32_t left = MOVE_REQUESTS_MAX;

  if (!galena_agent_is_leaving (world)
      || !galena_clock_reached (world->now, agent->next_move_round))
    return;
  while (left > 0)
    {
      flow = galena_table_next (agent->flows, &agent->move_cursor, &handle);
      if (flow == NULL)
        {
          agent->move_cursor = 0;
          agent->next_move_round = galena_clock_add_ms (world->now, ROUND_MS);
          return;
        }
      if (!flow->confirmed || flow->hash_routed)
        continue;
      ask_to_move (world, flow);
      left--;
    }
}
