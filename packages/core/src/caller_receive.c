/* The messages that a caller receives.  */

#include "caller_tables.h"

enum
{
  /* Most other upstreams that a refused request is sent to.  */
  TRIES_ELSEWHERE_MAX = 2
};

struct galena_caller_flow *
galena_caller_find_flow (const struct galena_world *world,
                         const struct galena_message *message,
                         struct galena_flow_handle *handle)
{
  const struct galena_caller *caller = world->caller;
  uint64_t key = galena_flow_key (caller->flows_by_id, message->flow);
  struct galena_caller_flow *flow;
  uint64_t packed;

  if (!galena_map_find (caller->flows_by_id, key, &packed))
    return NULL;
  handle->row = galena_handle_unpack (packed);
  flow = galena_caller_flow (world, *handle);
  if (flow == NULL)
    return NULL;
  if (galena_flow_id_equal (flow->id, message->flow)
      || galena_caller_matches_move (flow, message))
    return flow;
  return NULL;
}

/* Closes a flow at an agent that accepted it after another agent had, or after
   the flow had ended.  */
static void
close_duplicate_accept (struct galena_world *world,
                        const struct galena_message *accept,
                        const struct galena_caller_flow *flow)
{
  struct galena_message close = *accept;

  if (flow != NULL && flow->hash_routed)
    close.tag = galena_tag_without_upstream (accept->tag);
  galena_caller_close_at_agent (world, &close);
}

static void
on_accept (struct galena_world *world, const struct galena_message *message)
{
  struct galena_flow_handle handle;
  struct galena_caller_flow *flow
      = galena_caller_find_flow (world, message, &handle);

  if (flow != NULL && galena_caller_matches_move (flow, message))
    {
      galena_caller_finish_move (world, handle, message);
      return;
    }
  if (flow == NULL
      || (flow->tag != 0 && !galena_tag_matches (message->tag, flow->tag)))
    {
      close_duplicate_accept (world, message, flow);
      return;
    }
  if (flow->state == GALENA_CALLER_FLOW_OPENING)
    flow->state = GALENA_CALLER_FLOW_OPEN;
  flow->tag = flow->hash_routed ? galena_tag_without_upstream (message->tag)
                                : message->tag;
  flow->service_number = message->service_number;
  flow->last_seen = world->now;
  galena_world_count (world, GALENA_COUNT_ACCEPTED);
}

static void
acknowledge (struct galena_world *world, const struct galena_message *message,
             uint32_t part, uint32_t total)
{
  struct galena_message ack = *message;
  struct galena_flow_handle handle;
  const struct galena_caller_flow *flow
      = galena_caller_find_flow (world, message, &handle);

  if (flow != NULL && flow->hash_routed)
    ack.tag = galena_tag_without_upstream (message->tag);
  ack.source_port_index = flow == NULL ? 0 : flow->source_port_index;
  ack.type = GALENA_MESSAGE_ACK_ANSWER;
  ack.peer = world->options.fabric;
  ack.part = part;
  ack.total = total;
  ack.body_size = 0;
  galena_world_send (world, &ack);
}

/* Returns whether a refusal is due to the state of the upstream rather than to
   the request.  */
static bool
is_upstream_refusal (enum galena_result result)
{
  return result == GALENA_REFUSED_BY_UPSTREAM
         || result == GALENA_REFUSED_LEAVING;
}

/* Sends a refused request to another upstream, if its flow has no other
   request.  Returns false when the request should end instead.  A refused
   request was not run, so this is as safe as the first attempt.  */
static bool
try_elsewhere (struct galena_world *world, enum galena_result result,
               struct galena_flow_handle flow_handle,
               struct galena_caller_request *request)
{
  const struct galena_caller_flow *flow
      = galena_caller_flow (world, flow_handle);

  if (!is_upstream_refusal (result) || request->cancelled
      || request->answer.base > 0 || flow->open_requests > 1
      || request->tried_elsewhere == TRIES_ELSEWHERE_MAX)
    return false;
  request->tried_elsewhere++;
  request->sent = 0;
  galena_world_count (world, GALENA_COUNT_TRIED_ELSEWHERE);
  galena_caller_reopen (world, flow_handle);
  return true;
}

static void
on_refuse (struct galena_world *world, const struct galena_message *message)
{
  struct galena_flow_handle flow_handle;
  struct galena_request_handle handle;
  struct galena_caller_flow *flow
      = galena_caller_find_flow (world, message, &flow_handle);
  struct galena_caller_request *request;

  if (flow == NULL)
    return;
  if (galena_caller_matches_move (flow, message))
    {
      galena_caller_abandon_move (world, flow_handle);
      return;
    }
  if (message->request == 0)
    {
      if (flow->state == GALENA_CALLER_FLOW_OPENING)
        galena_caller_end_flow (world, flow_handle, message->result);
      return;
    }
  acknowledge (world, message, message->total, message->total);
  request = galena_caller_find_request (world, message, &handle);
  if (request == NULL)
    return;
  if (message->result == GALENA_UNKNOWN_OUTCOME && request->idempotent
      && !request->cancelled)
    galena_caller_restart_request (world, handle);
  else if (!try_elsewhere (world, message->result, flow_handle, request))
    galena_caller_end_request (world, handle, message->result);
}

static void
on_ack_request (struct galena_world *world,
                const struct galena_message *message)
{
  struct galena_request_handle handle;
  struct galena_caller_request *request
      = galena_caller_find_request (world, message, &handle);

  if (request == NULL || message->part > request->total)
    return;
  if (message->part <= request->acknowledged)
    return;
  request->acknowledged = message->part;
  if (message->part < request->recovery_end)
    request->resend_at = world->now;
}

/* Passes the parts of the answer that are in order to the application.  */
static void
deliver (struct galena_world *world, struct galena_caller_request *request,
         struct galena_request_handle handle)
{
  struct galena_stream *answer = &request->answer;
  const uint8_t *part;
  uint32_t size;

  while ((part = galena_stream_part (answer, answer->base, &size)) != NULL)
    {
      struct galena_message data = { .type = GALENA_MESSAGE_RUN_DATA,
                                     .side = GALENA_SIDE_APPLICATION,
                                     .run = handle,
                                     .kind = request->kind,
                                     .user = request->user,
                                     .part = request->delivered_parts,
                                     .body = part,
                                     .body_size = size };
      galena_world_send (world, &data);
      request->delivered += size;
      request->delivered_parts++;
      galena_stream_acknowledge (answer, answer->base + 1);
    }
}

static void
on_answer (struct galena_world *world, const struct galena_message *message)
{
  struct galena_request_handle handle;
  struct galena_caller_request *request
      = galena_caller_find_request (world, message, &handle);
  struct galena_stream *answer;

  if (request == NULL)
    {
      if (message->total != GALENA_TOTAL_UNKNOWN)
        acknowledge (world, message, message->total, message->total);
      return;
    }
  request->acknowledged = request->total;
  answer = &request->answer;
  if (message->total != GALENA_TOTAL_UNKNOWN)
    {
      answer->finished = true;
      answer->total = message->total;
    }
  if (message->part != message->total)
    galena_stream_store (answer, message->part, message->body,
                         message->body_size);
  deliver (world, request, handle);
  acknowledge (world, message, answer->base,
               galena_stream_complete (answer) ? answer->total
                                               : GALENA_TOTAL_UNKNOWN);
  if (galena_stream_complete (answer))
    galena_caller_end_request (world, handle, GALENA_OK);
}

/* Moves a flow whose agent is leaving.  A flow that the caller does not know
   is closed.  */
static void
on_move (struct galena_world *world, const struct galena_message *message,
         const struct galena_caller_flow *flow,
         struct galena_flow_handle handle)
{
  if (flow == NULL)
    galena_caller_close_at_agent (world, message);
  else if (flow->state == GALENA_CALLER_FLOW_OPEN
           && galena_tag_matches (message->tag, flow->tag))
    galena_caller_start_move (world, handle);
}

/* Handles a LOST message: a request to move the flow, the reply to a close, or
   the notice that the agent does not know the flow.  */
static void
on_lost (struct galena_world *world, const struct galena_message *message)
{
  struct galena_flow_handle handle;
  struct galena_caller_flow *flow
      = galena_caller_find_flow (world, message, &handle);

  if (message->result == GALENA_FLOW_MOVE)
    {
      on_move (world, message, flow, handle);
      return;
    }
  galena_caller_on_closed (world, message);
  if (flow == NULL || flow->tag == 0
      || !galena_tag_matches (message->tag, flow->tag)
      || flow->state != GALENA_CALLER_FLOW_OPEN)
    return;
  galena_world_count (world, GALENA_COUNT_LOST);
  galena_world_count (world, GALENA_COUNT_REOPENED);
  galena_caller_reopen (world, handle);
}

static galena_message_handler *const
    HANDLERS[GALENA_SIDE_COUNT][GALENA_MESSAGE_TYPE_END]
    = {
        [GALENA_SIDE_CALLER] = {
          [GALENA_MESSAGE_ACCEPT] = on_accept,
          [GALENA_MESSAGE_REFUSE] = on_refuse,
          [GALENA_MESSAGE_ACK_REQUEST] = on_ack_request,
          [GALENA_MESSAGE_ANSWER] = on_answer,
          [GALENA_MESSAGE_LOST] = on_lost,
        },
      };

void
galena_caller_run_receive (struct galena_world *world)
{
  galena_world_dispatch (world, HANDLERS);
}
