/* Queues of each kind, and the requests that run at the upstream.  */

#include "agent.h"

/* Weight of the newest run time in the smoothed run time of its kind.  */
static const double RUN_TIME_WEIGHT = 0.2;

void
galena_agent_enqueue (struct galena_world *world,
                      struct galena_request_handle handle)
{
  struct galena_request *request = galena_agent_request (world, handle);
  struct galena_kind_queue *queue = galena_agent_queue (world, request->kind);
  struct galena_request *tail = galena_agent_request (world, queue->tail);
  uint32_t left_ms = galena_clock_remaining_ms (world->now, request->deadline);

  if (galena_agent_expected_wait_ms (world, request->kind) > left_ms)
    {
      galena_agent_end_request (world, handle, GALENA_REFUSED_OVERLOAD);
      return;
    }
  request->state = GALENA_REQUEST_QUEUED;
  request->queued = world->now;
  if (tail == NULL)
    queue->head = handle;
  else
    tail->next = handle;
  queue->tail = handle;
  queue->queued++;
}

void
galena_agent_dequeue (struct galena_world *world,
                      struct galena_request_handle handle)
{
  struct galena_request *request = galena_agent_request (world, handle);
  struct galena_kind_queue *queue = galena_agent_queue (world, request->kind);
  struct galena_request_handle *link = &queue->head;
  struct galena_request_handle before = { { 0, 0 } };

  while (link->row.index != handle.row.index)
    {
      before = *link;
      link = &galena_agent_request (world, *link)->next;
    }
  *link = request->next;
  if (galena_handle_is_none (request->next.row))
    queue->tail = before;
  queue->queued--;
}

static void
send_to_upstream (struct galena_world *world,
                  struct galena_request_handle handle)
{
  struct galena_request *request = galena_agent_request (world, handle);
  struct galena_kind_queue *queue = galena_agent_queue (world, request->kind);
  struct galena_message run = { .type = GALENA_MESSAGE_RUN,
                                .side = GALENA_SIDE_APPLICATION,
                                .run = handle,
                                .kind = request->kind,
                                .resume = request->resume,
                                .request = request->number };
  const struct galena_service *service = galena_agent_service (world);

  galena_agent_dequeue (world, handle);
  request->state = GALENA_REQUEST_RUNNING;
  request->started = world->now;
  if (!request->endless)
    {
      queue->running++;
      world->agent->running++;
    }
  if (service != NULL)
    run.service = service->address;
  run.flow = galena_agent_flow (world, request->flow)->id;
  run.deadline_ms = galena_clock_remaining_ms (world->now, request->deadline);
  galena_world_count (world, GALENA_COUNT_RUNS);
  galena_world_send (world, &run);
}

/* Endless answers hold a connection and no slot, so they start at once.  */
static void
start_endless (struct galena_world *world,
               const struct galena_service *service)
{
  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      const struct galena_kind *kind = &service->kinds[i];
      struct galena_kind_queue *queue
          = galena_agent_queue (world, kind->number);

      while (kind->endless && queue->queued > 0)
        send_to_upstream (world, queue->head);
    }
}

void
galena_agent_run_admit (struct galena_world *world)
{
  const struct galena_upstream *upstream = galena_agent_upstream (world);
  int kind;

  if (upstream == NULL)
    return;
  start_endless (world, galena_agent_service (world));
  while (world->agent->running < galena_agent_slots (world))
    {
      kind = world->agent->admission->pick (world);
      if (kind < 0)
        return;
      send_to_upstream (world, world->agent->queues[kind].head);
    }
}

void
galena_agent_cancel_run (struct galena_world *world,
                         struct galena_request_handle handle)
{
  struct galena_request *request = galena_agent_request (world, handle);
  struct galena_message cancel = { .type = GALENA_MESSAGE_RUN_CANCEL,
                                   .side = GALENA_SIDE_APPLICATION,
                                   .run = handle };

  if (request->cancelling)
    return;
  request->cancelling = true;
  galena_world_send (world, &cancel);
}

static void
release_slot (struct galena_world *world, const struct galena_request *request)
{
  struct galena_kind_queue *queue = galena_agent_queue (world, request->kind);
  double run_ms
      = (double)galena_clock_elapsed_ms (request->started, world->now);

  if (request->endless)
    return;
  queue->running--;
  world->agent->running--;
  queue->run_ms
      += (run_ms - galena_agent_mean_run_ms (queue)) * RUN_TIME_WEIGHT;
  if (queue->run_ms <= 0)
    queue->run_ms = run_ms;
}

void
galena_agent_on_run_data (struct galena_world *world,
                          const struct galena_message *message)
{
  struct galena_request *request = galena_agent_request (world, message->run);

  if (request == NULL || request->state != GALENA_REQUEST_RUNNING)
    return;
  galena_stream_append (&request->answer, message->body, message->body_size);
  galena_agent_schedule_send (world, message->run);
}

void
galena_agent_on_run_end (struct galena_world *world,
                         const struct galena_message *message)
{
  struct galena_request *request = galena_agent_request (world, message->run);

  if (request == NULL || request->state != GALENA_REQUEST_RUNNING)
    return;
  release_slot (world, request);
  galena_agent_update_health (world, message->result);
  if (message->result == GALENA_OK)
    galena_world_count (world, GALENA_COUNT_ANSWERED);
  else if (message->result == GALENA_UNKNOWN_OUTCOME)
    galena_world_count (world, GALENA_COUNT_UNKNOWN);
  galena_agent_end_request (world, message->run, message->result);
}
