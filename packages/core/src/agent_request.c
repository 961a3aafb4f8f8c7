/* Requests at the agent: each number of a flow runs at most once.  */

#include <stdlib.h>
#include <string.h>

#include "agent.h"
#include "stats.h"

enum
{
  /* An ended request is kept this long for late acknowledgements.  */
  RETENTION_MS = 30000,
  /* Bytes first allocated for a body, doubled as it grows.  */
  FIRST_BODY_CAPACITY = 1024
};

static uint64_t
request_key (const struct galena_world *world, struct galena_flow_handle flow,
             uint32_t number)
{
  return galena_request_key (world->agent->requests_by_number, flow, number);
}

static struct galena_request *
find_request (const struct galena_world *world, struct galena_flow_handle flow,
              uint32_t number, struct galena_request_handle *handle)
{
  uint64_t key = request_key (world, flow, number);
  uint64_t packed;

  if (!galena_map_find (world->agent->requests_by_number, key, &packed))
    return NULL;
  handle->row = galena_handle_unpack (packed);
  return galena_agent_request (world, *handle);
}

/* Counts a reply by its result.  An unknown outcome is the reply to a late
   copy of a request that is done, and counts as a duplicate.  */
static void
count_result (struct galena_world *world, uint16_t kind,
              enum galena_result result)
{
  if (!galena_result_is_refusal (result))
    {
      galena_world_count (world, GALENA_COUNT_DUPLICATES);
      return;
    }
  galena_stats_count_refusal (world, galena_agent_service_number (world, kind),
                              kind, result);
}

/* Replies to MESSAGE with a refusal or the unknown outcome.  */
static void
send_result (struct galena_world *world, const struct galena_message *message,
             enum galena_result result)
{
  struct galena_message refusal
      = galena_agent_reply (world, message, GALENA_MESSAGE_REFUSE);

  refusal.tag = message->tag;
  refusal.result = result;
  count_result (world, message->kind, result);
  galena_world_send (world, &refusal);
}

static void
send_acknowledgement (struct galena_world *world,
                      const struct galena_message *message,
                      const struct galena_request *request)
{
  struct galena_message ack
      = galena_agent_reply (world, message, GALENA_MESSAGE_ACK_REQUEST);

  ack.tag = message->tag;
  ack.part = request->received.base;
  galena_world_send (world, &ack);
}

static struct galena_request *
insert_request (struct galena_world *world,
                const struct galena_message *message,
                struct galena_flow_handle flow, const struct galena_kind *kind,
                struct galena_request_handle *handle)
{
  struct galena_agent *agent = world->agent;
  struct galena_request *request
      = galena_table_insert (agent->requests, &handle->row);

  if (request == NULL)
    return NULL;
  request->flow = flow;
  request->number = message->request;
  request->resume = message->resume;
  request->arrived = world->now;
  request->kind = kind->number;
  request->idempotent = kind->idempotent;
  request->endless = kind->endless;
  request->deadline = galena_clock_add_ms (world->now, message->deadline_ms);
  if (galena_map_insert (agent->requests_by_number,
                         request_key (world, flow, message->request),
                         galena_handle_pack (handle->row))
      == GALENA_OK)
    {
      galena_agent_flow (world, flow)->open_requests++;
      galena_agent_release_reservation (world,
                                        galena_agent_flow (world, flow));
      return request;
    }
  galena_table_remove (agent->requests, handle->row);
  return NULL;
}

void
galena_agent_remove_request (struct galena_world *world,
                             struct galena_request_handle handle)
{
  struct galena_agent *agent = world->agent;
  struct galena_request *request = galena_agent_request (world, handle);
  struct galena_flow *flow = galena_agent_flow (world, request->flow);

  if (request->state == GALENA_REQUEST_QUEUED)
    galena_agent_dequeue (world, handle);
  if (flow != NULL)
    {
      galena_flow_set_request_done (flow, request->number);
      flow->open_requests--;
    }
  galena_map_remove (agent->requests_by_number,
                     request_key (world, request->flow, request->number));
  galena_stream_release (&request->received);
  galena_stream_release (&request->answer);
  agent->body_bytes -= request->body_capacity;
  free (request->body);
  galena_table_remove (agent->requests, handle.row);
}

static enum galena_result
reserve_body (struct galena_world *world, struct galena_request *request,
              uint32_t size)
{
  uint32_t capacity = request->body_capacity;
  uint8_t *body;

  if (size > GALENA_BODY_BYTES_MAX)
    return GALENA_REFUSED_BODY;
  if (capacity == 0)
    capacity = FIRST_BODY_CAPACITY;
  while (capacity < size)
    capacity *= 2;
  if (capacity == request->body_capacity)
    return GALENA_OK;
  body = realloc (request->body, capacity);
  if (body == NULL)
    return GALENA_REFUSED_OVERLOAD;
  world->agent->body_bytes += capacity - request->body_capacity;
  request->body = body;
  request->body_capacity = capacity;
  return GALENA_OK;
}

/* Moves the parts that are in order from the receive window to the body.  */
static enum galena_result
collect_body (struct galena_world *world, struct galena_request *request)
{
  struct galena_stream *received = &request->received;
  const uint8_t *part;
  uint32_t size;

  while ((part = galena_stream_part (received, received->base, &size)) != NULL)
    {
      enum galena_result result
          = reserve_body (world, request, request->body_size + size);
      if (result != GALENA_OK)
        return result;
      memcpy (request->body + request->body_size, part, size);
      request->body_size += size;
      galena_stream_acknowledge (received, received->base + 1);
    }
  return GALENA_OK;
}

static void
receive_part (struct galena_world *world, const struct galena_message *message,
              struct galena_request *request,
              struct galena_request_handle handle)
{
  struct galena_stream *received = &request->received;
  enum galena_result result;

  if (!received->finished && message->total != GALENA_TOTAL_UNKNOWN)
    {
      received->finished = true;
      received->total = message->total;
    }
  if (galena_stream_store (received, message->part, message->body,
                           message->body_size)
      == GALENA_ERR_EXISTS)
    galena_world_count (world, GALENA_COUNT_DUPLICATES);
  result = collect_body (world, request);
  if (result != GALENA_OK)
    {
      galena_agent_end_request (world, handle, result);
      return;
    }
  send_acknowledgement (world, message, request);
  if (galena_stream_complete (received))
    galena_agent_enqueue (world, handle);
}

/* Handles a part of a request that has all its parts: acknowledges it again,
   and sends the answer again when the request has ended.  */
static void
receive_duplicate (struct galena_world *world,
                   const struct galena_message *message,
                   struct galena_request *request,
                   struct galena_request_handle handle)
{
  galena_world_count (world, GALENA_COUNT_DUPLICATES);
  send_acknowledgement (world, message, request);
  if (request->state != GALENA_REQUEST_ENDED)
    return;
  request->answer.unsent = request->answer.base;
  galena_agent_schedule_send (world, handle);
}

/* Refuses a request that gets no row.  Marks its number as done, so that a
   late copy never runs what was refused.  */
static void
refuse_request (struct galena_world *world,
                const struct galena_message *message,
                struct galena_flow_handle flow, enum galena_result result)
{
  galena_flow_set_request_done (galena_agent_flow (world, flow),
                                message->request);
  send_result (world, message, result);
}

static void
add_request (struct galena_world *world, const struct galena_message *message,
             struct galena_flow_handle flow)
{
  const struct galena_service *service = galena_agent_service (world);
  const struct galena_kind *kind = NULL;
  struct galena_request_handle handle;
  struct galena_request *request;

  if (service != NULL)
    kind = galena_service_kind (service, message->kind);
  if (kind == NULL)
    {
      refuse_request (world, message, flow, GALENA_REFUSED_KIND);
      return;
    }
  request = insert_request (world, message, flow, kind, &handle);
  if (request == NULL)
    {
      refuse_request (world, message, flow, GALENA_REFUSED_OVERLOAD);
      return;
    }
  galena_world_count (world, GALENA_COUNT_REQUESTS);
  galena_stats_count (world, service->number, kind->number,
                      GALENA_KIND_REQUESTS);
  receive_part (world, message, request, handle);
}

void
galena_agent_on_request (struct galena_world *world,
                         const struct galena_message *message)
{
  struct galena_flow_handle flow_handle;
  struct galena_flow *flow
      = galena_agent_find_flow (world, message, &flow_handle);
  struct galena_request_handle handle;
  struct galena_request *request;

  if (flow == NULL)
    return;
  request = find_request (world, flow_handle, message->request, &handle);
  if (request == NULL && galena_flow_request_is_done (flow, message->request))
    send_result (world, message, GALENA_UNKNOWN_OUTCOME);
  else if (request == NULL)
    add_request (world, message, flow_handle);
  else if (request->state == GALENA_REQUEST_RECEIVING)
    receive_part (world, message, request, handle);
  else
    receive_duplicate (world, message, request, handle);
}

static void
apply_acknowledgement (struct galena_world *world,
                       const struct galena_message *message,
                       struct galena_request *request)
{
  uint32_t before = request->answer.base;

  galena_stream_acknowledge (&request->answer, message->part);
  request->resends = 0;
  if (request->answer.base != before)
    galena_agent_restart_resend_timer (world, request);
}

void
galena_agent_on_ack_answer (struct galena_world *world,
                            const struct galena_message *message)
{
  struct galena_flow_handle flow_handle;
  struct galena_request_handle handle;
  struct galena_request *request;

  if (galena_agent_find_flow (world, message, &flow_handle) == NULL)
    return;
  request = find_request (world, flow_handle, message->request, &handle);
  if (request == NULL)
    return;
  apply_acknowledgement (world, message, request);
  if (request->state == GALENA_REQUEST_ENDED
      && message->total != GALENA_TOTAL_UNKNOWN
      && galena_stream_complete (&request->answer))
    {
      galena_agent_remove_request (world, handle);
      return;
    }
  if (request->answer.unsent != request->answer.end)
    galena_agent_schedule_send (world, handle);
}

void
galena_agent_on_cancel (struct galena_world *world,
                        const struct galena_message *message)
{
  struct galena_flow_handle flow_handle;
  struct galena_request_handle handle;
  struct galena_request *request;

  if (galena_agent_find_flow (world, message, &flow_handle) == NULL)
    return;
  request = find_request (world, flow_handle, message->request, &handle);
  if (request == NULL || request->state == GALENA_REQUEST_ENDED)
    return;
  galena_world_count (world, GALENA_COUNT_CANCELLED);
  if (request->state == GALENA_REQUEST_RUNNING)
    galena_agent_cancel_run (world, handle);
  else
    galena_agent_end_request (world, handle, GALENA_REFUSED_CANCELLED);
}

static void
count_end (struct galena_world *world, const struct galena_request *request,
           enum galena_result result)
{
  uint32_t service = galena_agent_service_number (world, request->kind);

  if (service == 0)
    return;
  if (galena_result_is_refusal (result))
    galena_stats_count_refusal (world, service, request->kind, result);
  else if (result == GALENA_UNKNOWN_OUTCOME)
    galena_stats_count (world, service, request->kind, GALENA_KIND_UNKNOWN);
  else if (result == GALENA_OK)
    galena_stats_count (world, service, request->kind, GALENA_KIND_ANSWERED);
  if (result == GALENA_OK && !request->endless)
    galena_stats_add_latency (
        world, service, request->kind,
        galena_clock_elapsed_ms (request->arrived, world->now));
}

void
galena_agent_end_request (struct galena_world *world,
                          struct galena_request_handle handle,
                          enum galena_result result)
{
  struct galena_request *request = galena_agent_request (world, handle);

  if (request->state == GALENA_REQUEST_QUEUED)
    galena_agent_dequeue (world, handle);
  count_end (world, request, result);
  request->state = GALENA_REQUEST_ENDED;
  request->result = result;
  request->retain_until = galena_clock_add_ms (world->now, RETENTION_MS);
  galena_stream_finish (&request->answer);
  if (galena_agent_flow (world, request->flow) == NULL)
    galena_agent_remove_request (world, handle);
  else
    galena_agent_schedule_send (world, handle);
}

void
galena_agent_run_expire_requests (struct galena_world *world)
{
  struct galena_request *request;
  struct galena_request_handle handle;
  uint32_t cursor = 0;

  while ((request
          = galena_table_next (world->agent->requests, &cursor, &handle.row))
         != NULL)
    {
      bool past_deadline
          = galena_clock_reached (world->now, request->deadline);

      if (request->state == GALENA_REQUEST_ENDED
          && galena_clock_reached (world->now, request->retain_until))
        galena_agent_remove_request (world, handle);
      else if (request->state <= GALENA_REQUEST_QUEUED && past_deadline)
        galena_agent_end_request (world, handle, GALENA_REFUSED_DEADLINE);
    }
}
