/* The messages that a caller sends: opens, parts of requests, probes, cancels
   and heartbeats.  */

#include "caller_tables.h"

enum
{
  OPEN_RESEND_MS = 250,
  PART_RESEND_MS = 250,
  /* Replaces PART_RESEND_MS while parts that were sent before the last
     retransmission are missing.  */
  RECOVERY_RESEND_MS = 60,
  /* Interval at which a request that the agent has in full is probed for its
     answer.  */
  PROBE_PERIOD_MS = 500,
  /* Most unacknowledged parts of one request.  */
  SEND_WINDOW_PARTS = 32,
  /* A flow with requests whose owner sent nothing for this long is opened
     again, at any upstream.  */
  OWNER_TIMEOUT_MS = 3000,
  /* Interval of the heartbeats of an idle flow.  */
  HEARTBEAT_PERIOD_MS = 30000
};

struct galena_message
galena_caller_make_message (const struct galena_world *world,
                            const struct galena_caller_flow *flow,
                            enum galena_message_type type)
{
  struct galena_message message = { 0 };

  message.type = type;
  message.side = GALENA_SIDE_CALLER;
  message.peer = world->options.fabric;
  message.source_port_index = flow->source_port_index;
  message.service = flow->service;
  message.service_number = flow->service_number;
  message.flow = flow->id;
  message.tag = flow->tag;
  message.kind = flow->kind;
  return message;
}

static void
send_open (struct galena_world *world, struct galena_caller_flow *flow)
{
  struct galena_message open
      = galena_caller_make_message (world, flow, GALENA_MESSAGE_OPEN);

  open.deadline_ms = galena_clock_remaining_ms (world->now, flow->deadline);
  open.hash_routed = flow->hash_routed;
  flow->resend_at = galena_clock_add_ms (world->now, OPEN_RESEND_MS);
  galena_world_send (world, &open);
}

static void
run_opening (struct galena_world *world, struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (galena_clock_reached (world->now, flow->deadline))
    galena_caller_end_flow (world, handle, GALENA_REFUSED_DEADLINE);
  else if (galena_clock_reached (world->now, flow->resend_at))
    send_open (world, flow);
}

static void
send_part (struct galena_world *world, const struct galena_caller_flow *flow,
           const struct galena_caller_request *request, uint32_t part)
{
  struct galena_message message
      = galena_caller_make_message (world, flow, GALENA_MESSAGE_REQUEST);
  uint32_t at = part * GALENA_PART_BYTES;
  uint32_t left = request->body_size - at;

  message.request = request->number;
  message.kind = request->kind;
  message.part = part;
  message.total = request->total;
  message.deadline_ms
      = galena_clock_remaining_ms (world->now, request->deadline);
  message.resume = request->resume;
  message.body = request->body == NULL ? NULL : request->body + at;
  message.body_size = left < GALENA_PART_BYTES ? left : GALENA_PART_BYTES;
  galena_world_send (world, &message);
}

static void
send_window (struct galena_world *world, const struct galena_caller_flow *flow,
             struct galena_caller_request *request)
{
  uint32_t end = request->acknowledged + SEND_WINDOW_PARTS;

  if (end > request->total)
    end = request->total;
  while (request->sent < end)
    send_part (world, flow, request, request->sent++);
}

static void
send_cancel (struct galena_world *world, const struct galena_caller_flow *flow,
             const struct galena_caller_request *request)
{
  struct galena_message cancel
      = galena_caller_make_message (world, flow, GALENA_MESSAGE_CANCEL);

  cancel.request = request->number;
  cancel.kind = request->kind;
  galena_world_send (world, &cancel);
}

/* Sends the last part again: the owner replies with an acknowledgement or with
   the answer.  */
static void
send_probe (struct galena_world *world, const struct galena_caller_flow *flow,
            const struct galena_caller_request *request)
{
  send_part (world, flow, request, request->total - 1);
}

/* Returns the milliseconds from one resend to the next.  */
static int64_t
resend_delay_ms (const struct galena_caller_request *request)
{
  if (request->acknowledged == request->total)
    return PROBE_PERIOD_MS;
  if (request->acknowledged < request->recovery_end)
    return RECOVERY_RESEND_MS;
  return PART_RESEND_MS;
}

static void
resend_request (struct galena_world *world,
                const struct galena_caller_flow *flow,
                struct galena_caller_request *request)
{
  bool complete = request->acknowledged == request->total;

  request->resend_at
      = galena_clock_add_ms (world->now, resend_delay_ms (request));
  if (request->cancelled)
    send_cancel (world, flow, request);
  if (complete)
    {
      send_probe (world, flow, request);
      return;
    }
  if (request->sent > request->acknowledged)
    {
      galena_world_count (world, GALENA_COUNT_RESENT);
      request->recovery_end = request->sent;
      send_part (world, flow, request, request->acknowledged);
    }
}

static bool
is_past_deadline (const struct galena_world *world,
                  const struct galena_caller_request *request)
{
  bool answered = request->delivered > 0;

  if (request->endless && answered)
    return false;
  return galena_clock_reached (world->now, request->deadline);
}

/* Ends a request whose deadline has passed.  Until all parts were sent it was
   not run; after that, its outcome is unknown.  */
static void
expire_request (struct galena_world *world,
                struct galena_request_handle handle)
{
  const struct galena_caller_request *request
      = galena_caller_request_row (world, handle);

  galena_caller_end_request (world, handle,
                             request->sent < request->total
                                 ? GALENA_REFUSED_DEADLINE
                                 : GALENA_UNKNOWN_OUTCOME);
}

/* Returns whether FLOW changed its source port in this tick.  The owner learns
   the new return path only from the next packet, so one is sent at once.  */
static bool
has_new_source_port (const struct galena_world *world,
                     const struct galena_caller_flow *flow)
{
  return flow->source_port_since.ms == world->now.ms;
}

static void
send_for_request (struct galena_world *world,
                  struct galena_request_handle handle)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_caller_flow *flow = galena_caller_flow (world, request->flow);

  if (is_past_deadline (world, request))
    {
      expire_request (world, handle);
      return;
    }
  if (flow->state != GALENA_CALLER_FLOW_OPEN)
    return;
  if (request->number == 0)
    {
      galena_caller_assign_number (world, handle);
      request->resend_at = galena_clock_add_ms (world->now, PART_RESEND_MS);
    }
  send_window (world, flow, request);
  if (has_new_source_port (world, flow)
      || galena_clock_reached (world->now, request->resend_at))
    resend_request (world, flow, request);
}

static void
send_for_requests (struct galena_world *world)
{
  struct galena_request_handle handle;
  uint32_t cursor = 0;

  while (galena_table_next (world->caller->requests, &cursor, &handle.row)
         != NULL)
    send_for_request (world, handle);
}

static bool
owner_timed_out (const struct galena_world *world,
                 const struct galena_caller_flow *flow)
{
  int64_t silent_ms = galena_clock_elapsed_ms (flow->last_seen, world->now);

  return flow->open_requests > 0 && silent_ms >= OWNER_TIMEOUT_MS;
}

/* Sends heartbeats for an idle flow, so that its agent does not expire it.
   Any packet of the flow does that; an acknowledgement without a request
   number has no other effect.  An agent that does not know the flow replies
   that it is lost.  */
static void
run_idle_flow (struct galena_world *world, struct galena_caller_flow *flow)
{
  struct galena_message heartbeat
      = galena_caller_make_message (world, flow, GALENA_MESSAGE_ACK_ANSWER);

  flow->last_seen = world->now;
  if (!galena_clock_reached (world->now, flow->next_heartbeat))
    return;
  flow->next_heartbeat = galena_clock_add_ms (world->now, HEARTBEAT_PERIOD_MS);
  galena_world_send (world, &heartbeat);
}

/* Sends the messages that are due in FLOW's state: opens, closes, heartbeats,
   or a new open when the owner timed out.  May remove the row.  */
static void
run_flow (struct galena_world *world, struct galena_caller_flow *flow,
          struct galena_flow_handle handle)
{
  bool is_predecessor = !galena_handle_is_none (flow->successor.row);

  if (flow->state == GALENA_CALLER_FLOW_OPENING)
    run_opening (world, handle);
  else if (flow->state == GALENA_CALLER_FLOW_CLOSING
           || (is_predecessor && flow->open_requests == 0))
    galena_caller_finish_close (world, handle);
  else if (flow->open_requests == 0)
    run_idle_flow (world, flow);
  else if (owner_timed_out (world, flow))
    {
      galena_world_count (world, GALENA_COUNT_REOPENED);
      galena_caller_reopen (world, handle);
    }
}

void
galena_caller_run_send (struct galena_world *world)
{
  struct galena_caller_flow *flow;
  struct galena_flow_handle handle;
  uint32_t cursor = 0;

  while (
      (flow = galena_table_next (world->caller->flows, &cursor, &handle.row))
      != NULL)
    {
      if (flow->state == GALENA_CALLER_FLOW_OPENING || flow->open_requests > 0)
        galena_caller_check_source_port (world, flow);
      if (flow->moving)
        galena_caller_run_move (world, handle);
      run_flow (world, flow, handle);
    }
  send_for_requests (world);
}
