/* Moves of flows from agents that are leaving.  The flow is opened at another
   upstream first, and stays where it is if none accepts it.  */

#include <galenaford/tag.h>

#include "caller_tables.h"

enum
{
  MOVE_RESEND_MS = 250,
  MOVE_DEADLINE_MS = 2000
};

bool
galena_caller_matches_move (const struct galena_caller_flow *flow,
                            const struct galena_message *message)
{
  return flow->moving && galena_flow_id_equal (flow->next_id, message->flow);
}

void
galena_caller_start_move (struct galena_world *world,
                          struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (flow->moving || !galena_handle_is_none (flow->successor.row))
    return;
  galena_caller_generate_flow_id (world, &flow->next_id);
  if (galena_caller_index_flow (world, flow->next_id, handle) != GALENA_OK)
    return;
  flow->moving = true;
  flow->move_resend_at = world->now;
  flow->move_deadline = galena_clock_add_ms (world->now, MOVE_DEADLINE_MS);
}

void
galena_caller_abandon_move (struct galena_world *world,
                            struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (!flow->moving)
    return;
  galena_caller_unindex_flow (world, flow->next_id);
  flow->moving = false;
}

void
galena_caller_run_move (struct galena_world *world,
                        struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_message open;

  if (galena_clock_reached (world->now, flow->move_deadline))
    {
      galena_caller_abandon_move (world, handle);
      return;
    }
  if (!galena_clock_reached (world->now, flow->move_resend_at))
    return;
  open = galena_caller_make_message (world, flow, GALENA_MESSAGE_OPEN);
  open.flow = flow->next_id;
  open.tag = 0;
  open.hash_routed = flow->hash_routed;
  open.deadline_ms
      = galena_clock_remaining_ms (world->now, flow->move_deadline);
  flow->move_resend_at = galena_clock_add_ms (world->now, MOVE_RESEND_MS);
  galena_world_send (world, &open);
}

/* Makes HANDLE, which the application holds, refer to the flow at the new
   upstream, and PREDECESSOR to the flow at the old one.  */
static void
split_flow (struct galena_world *world, struct galena_flow_handle handle,
            struct galena_flow_handle predecessor)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_caller_flow *old = galena_caller_flow (world, predecessor);

  *old = *flow;
  old->moving = false;
  old->open_requests = 0;
  old->successor = handle;
  flow->id = flow->next_id;
  flow->moving = false;
  flow->last_request = 0;
  flow->predecessor = predecessor;
  galena_caller_unindex_flow (world, old->id);
  galena_caller_index_flow (world, old->id, predecessor);
}

/* A request that was already sent stays at the old upstream, where it may be
   running.  An endless one is resumed at the new upstream.  */
static void
leave_or_restart (struct galena_world *world,
                  struct galena_request_handle handle,
                  enum galena_result result)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_flow_handle predecessor
      = galena_caller_flow (world, request->flow)->predecessor;

  (void)result;
  if (request->endless)
    galena_caller_restart_request (world, handle);
  else if (request->number != 0)
    galena_caller_transfer_request (world, handle, predecessor);
}

void
galena_caller_finish_move (struct galena_world *world,
                           struct galena_flow_handle handle,
                           const struct galena_message *accept)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_flow_handle predecessor;
  struct galena_message accepted = *accept;

  if (flow->hash_routed)
    accepted.tag = galena_tag_without_upstream (accept->tag);
  if (galena_table_insert (world->caller->flows, &predecessor.row) == NULL)
    {
      galena_caller_abandon_move (world, handle);
      galena_caller_close_at_agent (world, &accepted);
      return;
    }
  split_flow (world, handle, predecessor);
  galena_caller_for_each_request (world, handle, leave_or_restart, GALENA_OK);
  flow->tag = accepted.tag;
  flow->last_seen = world->now;
  galena_world_count (world, GALENA_COUNT_MOVED);
}
