/* Moves of flows whose agent leaves: the flow is opened elsewhere first, and
   stays where it is if nobody accepts it.  */

#include <galenaford/tag.h>

#include "caller_tables.h"

enum
{
  MOVE_RESEND_MS = 250,
  MOVE_DEADLINE_MS = 2000
};

bool
galena_caller_is_of_move (const struct galena_caller_flow *flow,
                          const struct galena_message *message)
{
  return flow->moving && galena_flow_id_equal (flow->next_id, message->flow);
}

void
galena_caller_move (struct galena_world *world,
                    struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (flow->moving || !galena_handle_is_none (flow->successor.row))
    return;
  galena_caller_draw_id (world, &flow->next_id);
  if (galena_caller_index (world, flow->next_id, handle) != GALENA_OK)
    return;
  flow->moving = true;
  flow->move_resend = world->now;
  flow->move_deadline = galena_clock_add_ms (world->now, MOVE_DEADLINE_MS);
}

void
galena_caller_abandon_move (struct galena_world *world,
                            struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (!flow->moving)
    return;
  galena_caller_unindex (world, flow->next_id);
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
  if (!galena_clock_reached (world->now, flow->move_resend))
    return;
  open = galena_caller_message (world, flow, GALENA_MESSAGE_OPEN);
  open.flow = flow->next_id;
  open.tag = 0;
  open.unrouted = flow->unrouted;
  open.deadline_ms
      = galena_clock_remaining_ms (world->now, flow->move_deadline);
  flow->move_resend = galena_clock_add_ms (world->now, MOVE_RESEND_MS);
  galena_world_send (world, &open);
}

/* Has HANDLE, which the application holds, name the new flow, and PAST what
   the flow was.  */
static void
split_flow (struct galena_world *world, struct galena_flow_handle handle,
            struct galena_flow_handle past)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_caller_flow *old = galena_caller_flow (world, past);

  *old = *flow;
  old->moving = false;
  old->open_requests = 0;
  old->successor = handle;
  flow->id = flow->next_id;
  flow->moving = false;
  flow->last_request = 0;
  flow->past = past;
  galena_caller_unindex (world, old->id);
  galena_caller_index (world, old->id, past);
}

/* Leaves a request where it may run; an endless one goes on elsewhere.  */
static void
leave_behind (struct galena_world *world, struct galena_request_handle handle,
              enum galena_result result)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_flow_handle past
      = galena_caller_flow (world, request->flow)->past;

  (void)result;
  if (request->endless)
    galena_caller_start_over (world, handle);
  else if (request->number != 0)
    galena_caller_transfer (world, handle, past);
}

void
galena_caller_finish_move (struct galena_world *world,
                           struct galena_flow_handle handle,
                           const struct galena_message *accept)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_flow_handle past;
  struct galena_message surplus = *accept;

  if (flow->unrouted)
    surplus.tag = galena_tag_without_route (accept->tag);
  if (galena_table_insert (world->caller->flows, &past.row) == NULL)
    {
      galena_caller_abandon_move (world, handle);
      galena_caller_tell_close (world, &surplus);
      return;
    }
  split_flow (world, handle, past);
  galena_caller_for_each_request (world, handle, leave_behind, GALENA_OK);
  flow->tag = surplus.tag;
  flow->heard = world->now;
  galena_world_count (world, GALENA_COUNT_MOVED);
}
