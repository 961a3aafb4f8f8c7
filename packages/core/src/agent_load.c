/* The load of an agent: slot time used by each kind, expected waits, and the
   load fields of messages.  */

#include "agent.h"

enum
{
  /* Run time assumed for a kind until a request of it has run.  */
  ASSUMED_RUN_MS = 20,
  /* Time over which the number of slots in use is smoothed.  */
  SLOTS_USED_SMOOTHING_MS = 500,
  /* A kind's credit stays between plus and minus the slot time that its
     minimum share gives it in this time.  */
  CREDIT_SPAN_MS = 1000,
  /* Part of the time left to its deadline that a new request may wait in the
     queue.  */
  QUEUE_TIME_PERCENT = 50,
  /* Part of the connections that is guaranteed to kinds by minimum share; the
     rest is first come, first served.  */
  GUARANTEED_CONNECTIONS_PERCENT = 50,
  OVERLOAD_LEVEL_MAX = 255
};

/* Weight of the newest decision in the smoothed share of refused opens.  */
static const double REFUSED_WEIGHT = 0.05;

double
galena_agent_mean_run_ms (const struct galena_kind_queue *queue)
{
  return queue->run_ms > 0 ? queue->run_ms : ASSUMED_RUN_MS;
}

double
galena_agent_slots (const struct galena_world *world)
{
  const struct galena_upstream *upstream = galena_agent_upstream (world);

  return upstream == NULL ? 0 : upstream->slots;
}

static double
clamp (double value, double low, double high)
{
  if (value < low)
    return low;
  return value > high ? high : value;
}

static void
account_kind (struct galena_kind_queue *queue, double share_slots,
              double elapsed_ms)
{
  double limit_ms = share_slots * CREDIT_SPAN_MS;
  double weight = clamp (elapsed_ms / SLOTS_USED_SMOOTHING_MS, 0, 1);

  queue->slots_used += (queue->running - queue->slots_used) * weight;
  queue->credit_ms += (share_slots - queue->running) * elapsed_ms;
  queue->credit_ms = clamp (queue->credit_ms, -limit_ms, limit_ms);
}

void
galena_agent_run_account (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  const struct galena_service *service = galena_agent_service (world);
  double slots = galena_agent_slots (world);
  double elapsed_ms
      = (double)galena_clock_elapsed_ms (agent->accounted, world->now);

  agent->accounted = world->now;
  if (service == NULL || elapsed_ms <= 0)
    return;
  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      const struct galena_kind *kind = &service->kinds[i];

      account_kind (galena_agent_queue (world, kind->number),
                    slots * kind->minimum_share_percent / 100, elapsed_ms);
    }
}

/* Returns the run time of all running requests in milliseconds, divided by the
   slots: an estimate of the time until they have ended.  */
static double
running_work_ms (const struct galena_world *world)
{
  double work_ms = 0;

  for (uint32_t i = 0; i < GALENA_KINDS_MAX; i++)
    {
      const struct galena_kind_queue *queue = &world->agent->queues[i];

      if (queue->running > 0)
        work_ms += queue->running * galena_agent_mean_run_ms (queue);
    }
  return work_ms / galena_agent_slots (world);
}

uint32_t
galena_agent_expected_wait_ms (const struct galena_world *world, uint16_t kind)
{
  if (galena_agent_slots (world) < 1)
    return 0;
  return (uint32_t)(running_work_ms (world)
                    + world->agent->admission->queue_ms (world, kind));
}

uint32_t
galena_agent_total_wait_ms (const struct galena_world *world)
{
  double work_ms = 0;

  if (galena_agent_slots (world) < 1)
    return 0;
  for (uint32_t i = 0; i < GALENA_KINDS_MAX; i++)
    {
      const struct galena_kind_queue *queue = &world->agent->queues[i];

      work_ms += (queue->queued + queue->reserved)
                 * galena_agent_mean_run_ms (queue);
    }
  return (uint32_t)(running_work_ms (world)
                    + work_ms / galena_agent_slots (world));
}

uint32_t
galena_agent_added_wait_ms (const struct galena_world *world, uint16_t kind)
{
  double slots = galena_agent_slots (world);

  if (slots < 1)
    return 0;
  return (uint32_t)(galena_agent_mean_run_ms (galena_agent_queue (world, kind))
                    / slots);
}

bool
galena_agent_must_wait (const struct galena_world *world, uint16_t kind)
{
  const struct galena_kind_queue *queue = galena_agent_queue (world, kind);

  return queue->queued > 0
         || world->agent->running + queue->reserved
                >= galena_agent_slots (world);
}

bool
galena_agent_can_meet_deadline (const struct galena_world *world,
                                uint16_t kind, uint32_t left_ms)
{
  uint64_t allowed_ms = (uint64_t)left_ms * QUEUE_TIME_PERCENT / 100;

  return galena_agent_expected_wait_ms (world, kind) <= allowed_ms;
}

void
galena_agent_update_refused_share (struct galena_world *world, uint16_t kind,
                                   bool refused)
{
  struct galena_kind_queue *queue = galena_agent_queue (world, kind);

  queue->refused_share
      += ((refused ? 1 : 0) - queue->refused_share) * REFUSED_WEIGHT;
}

/* Returns the connections that KIND is guaranteed and does not use.  */
static uint32_t
unused_connections (const struct galena_world *world,
                    const struct galena_kind *kind, uint32_t connections)
{
  uint64_t guaranteed = (uint64_t)connections * GUARANTEED_CONNECTIONS_PERCENT
                        / 100 * kind->minimum_share_percent / 100;
  uint32_t flows = galena_agent_queue (world, kind->number)->flows;

  return flows < guaranteed ? (uint32_t)guaranteed - flows : 0;
}

bool
galena_agent_has_connection (const struct galena_world *world, uint16_t kind)
{
  const struct galena_service *service = galena_agent_service (world);
  uint32_t connections = galena_agent_upstream (world)->connections;
  uint32_t taken = galena_table_count (world->agent->flows);

  for (uint32_t i = 0; i < service->kind_count; i++)
    if (service->kinds[i].number != kind)
      taken += unused_connections (world, &service->kinds[i], connections);
  return taken < connections;
}

void
galena_agent_reserve (struct galena_world *world, struct galena_flow *flow)
{
  flow->reserved = true;
  galena_agent_queue (world, flow->kind)->reserved++;
}

void
galena_agent_release_reservation (struct galena_world *world,
                                  struct galena_flow *flow)
{
  if (!flow->reserved)
    return;
  flow->reserved = false;
  galena_agent_queue (world, flow->kind)->reserved--;
}

static uint32_t
count_queued (const struct galena_world *world)
{
  uint32_t queued = 0;

  for (uint32_t i = 0; i < GALENA_KINDS_MAX; i++)
    queued += world->agent->queues[i].queued;
  return queued;
}

void
galena_agent_fill_load (const struct galena_world *world,
                        struct galena_message *message)
{
  const struct galena_kind_queue *queue
      = galena_agent_queue (world, message->kind);

  message->wait_ms = galena_agent_expected_wait_ms (world, message->kind);
  if (!galena_agent_upstream_is_available (world))
    message->wait_ms = GALENA_WAIT_UNAVAILABLE_MS;
  message->queue = count_queued (world) + world->agent->running;
  message->overload = (uint8_t)(queue->refused_share * OVERLOAD_LEVEL_MAX);
}
