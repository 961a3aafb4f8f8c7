/* Sends answers to callers, along the latest return path of the flow.  */

#include "agent.h"

enum
{
  /* An answer that is not acknowledged for this long is sent again.  */
  RESEND_MS = 200,
  /* Most parts sent again at once.  */
  RESEND_PARTS = 8
};

void
galena_agent_restart_resend_timer (const struct galena_world *world,
                                   struct galena_request *request)
{
  request->resend_at = galena_clock_add_ms (world->now, RESEND_MS);
}

void
galena_agent_schedule_send (struct galena_world *world,
                            struct galena_request_handle handle)
{
  struct galena_agent *agent = world->agent;
  struct galena_request *request = galena_agent_request (world, handle);

  if (request->in_send_list)
    return;
  request->in_send_list = true;
  agent->send_list[agent->send_list_count++] = handle;
}

/* Returns a message of REQUEST to its caller.  Every other time that parts are
   sent again, the message takes another entry, since the flow's own may have
   failed.  */
static struct galena_message
message_to_caller (const struct galena_world *world,
                   const struct galena_request *request,
                   enum galena_message_type type)
{
  const struct galena_flow *flow = galena_agent_flow (world, request->flow);
  const struct galena_service *service = galena_agent_service (world);
  struct galena_message message = { 0 };

  message.type = type;
  message.side = GALENA_SIDE_PEER;
  message.peer = flow->entry;
  if (request->resends % 2 == 1)
    message.peer = galena_agent_other_entry (world, flow->entry);
  message.caller = flow->caller;
  message.flow = flow->id;
  message.tag = flow->tag;
  message.request = request->number;
  message.kind = request->kind;
  message.result = request->result;
  galena_agent_fill_load (world, &message);
  if (service != NULL)
    {
      message.service = service->address;
      message.service_number = service->number;
    }
  return message;
}

static uint32_t
announced_total (const struct galena_stream *answer)
{
  return answer->finished ? answer->total : GALENA_TOTAL_UNKNOWN;
}

static void
send_parts (struct galena_world *world, struct galena_request *request)
{
  struct galena_stream *answer = &request->answer;

  while (answer->unsent != answer->end)
    {
      struct galena_message message
          = message_to_caller (world, request, GALENA_MESSAGE_ANSWER);

      message.part = answer->unsent;
      message.total = announced_total (answer);
      message.body
          = galena_stream_part (answer, answer->unsent, &message.body_size);
      answer->unsent++;
      galena_world_send (world, &message);
    }
}

/* Sends the end of an answer whose parts were all sent before.  */
static void
send_end (struct galena_world *world, const struct galena_request *request)
{
  struct galena_message message
      = message_to_caller (world, request, GALENA_MESSAGE_ANSWER);

  message.part = request->answer.total;
  message.total = request->answer.total;
  galena_world_send (world, &message);
}

static void
send_refusal (struct galena_world *world, const struct galena_request *request)
{
  struct galena_message message
      = message_to_caller (world, request, GALENA_MESSAGE_REFUSE);

  message.part = request->answer.total;
  message.total = request->answer.total;
  galena_world_send (world, &message);
}

static void
send_due_answer (struct galena_world *world, struct galena_request *request)
{
  bool outstanding = request->answer.base != request->answer.unsent;

  if (galena_agent_flow (world, request->flow) == NULL)
    return;
  if (!outstanding)
    galena_agent_restart_resend_timer (world, request);
  if (request->state == GALENA_REQUEST_ENDED && request->result != GALENA_OK)
    {
      send_refusal (world, request);
      return;
    }
  send_parts (world, request);
  if (request->state == GALENA_REQUEST_ENDED)
    send_end (world, request);
}

void
galena_agent_run_answer (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;

  for (uint32_t i = 0; i < agent->send_list_count; i++)
    {
      struct galena_request *request
          = galena_agent_request (world, agent->send_list[i]);
      if (request == NULL)
        continue;
      request->in_send_list = false;
      send_due_answer (world, request);
    }
  agent->send_list_count = 0;
}

static bool
awaits_acknowledgement (const struct galena_request *request)
{
  const struct galena_stream *answer = &request->answer;

  return request->state == GALENA_REQUEST_ENDED
         || answer->base != answer->unsent;
}

void
galena_agent_run_resend (struct galena_world *world)
{
  struct galena_request *request;
  struct galena_request_handle handle;
  uint32_t cursor = 0;

  while ((request
          = galena_table_next (world->agent->requests, &cursor, &handle.row))
         != NULL)
    {
      if (!awaits_acknowledgement (request)
          || !galena_clock_reached (world->now, request->resend_at))
        continue;
      galena_world_count (world, GALENA_COUNT_RESENT);
      request->answer.unsent = request->answer.base;
      request->resends++;
      galena_agent_schedule_send (world, handle);
    }
}
