/* Flows at the agent that owns them: acceptance, lookup and expiry.  */

#include <galenaford/tag.h>

#include "agent.h"
#include "stats.h"

enum
{
  /* A flow without a packet since its accept ends after this long.  */
  UNCONFIRMED_FLOW_MS = 5000,
  /* A flow that has been silent for this long loses its reservation.  */
  RESERVATION_MS = 1000,
  /* A confirmed flow ends after being silent for this long.  */
  SILENT_FLOW_MS = 120000,
  /* Request numbers above done_through that are tracked one by one.  */
  DONE_BITS = 64
};

static struct galena_flow *
find_by_id (const struct galena_world *world, struct galena_flow_id id,
            struct galena_flow_handle *handle)
{
  const struct galena_agent *agent = world->agent;
  uint64_t key = galena_flow_key (agent->flows_by_id, id);
  struct galena_flow *flow;
  uint64_t packed;

  if (!galena_map_find (agent->flows_by_id, key, &packed))
    return NULL;
  handle->row = galena_handle_unpack (packed);
  flow = galena_agent_flow (world, *handle);
  if (flow == NULL || !galena_flow_id_equal (flow->id, id))
    return NULL;
  return flow;
}

static void
remove_flow (struct galena_world *world, struct galena_flow_handle handle)
{
  struct galena_agent *agent = world->agent;
  struct galena_flow *flow = galena_agent_flow (world, handle);
  uint64_t key = galena_flow_key (agent->flows_by_id, flow->id);

  galena_agent_release_reservation (world, flow);
  galena_agent_queue (world, flow->kind)->flows--;
  galena_map_remove (agent->flows_by_id, key);
  galena_table_remove (agent->flows, handle.row);
}

static void
refuse_open (struct galena_world *world, const struct galena_message *open,
             enum galena_result result)
{
  struct galena_message refusal
      = galena_agent_reply (world, open, GALENA_MESSAGE_REFUSE);

  refusal.result = result;
  refusal.hops = open->hops;
  galena_stats_count_refusal (world,
                              galena_agent_service_number (world, open->kind),
                              open->kind, result);
  galena_world_send (world, &refusal);
}

static bool
is_meant_for (const struct galena_service *service,
              const struct galena_message *open)
{
  if (open->service_number != 0)
    return service->number == open->service_number;
  return galena_endpoint_equal (service->address, open->service);
}

/* Returns GALENA_OK when this agent may accept OPEN, or else why not.  */
static enum galena_result
check_open (const struct galena_world *world,
            const struct galena_message *open)
{
  const struct galena_service *service = galena_agent_service (world);

  if (service == NULL)
    return GALENA_REFUSED_RENEWING;
  if (!is_meant_for (service, open))
    return GALENA_REFUSED_WRONG_SERVICE;
  if (galena_agent_is_leaving (world))
    return GALENA_REFUSED_LEAVING;
  if (galena_world_is_renewing (world))
    return GALENA_REFUSED_RENEWING;
  if (galena_service_kind (service, open->kind) == NULL)
    return GALENA_REFUSED_KIND;
  if (open->hash_routed
      && !galena_agent_is_candidate (
          world, galena_service_bucket (service, open->flow)))
    return GALENA_REFUSED_NOT_CANDIDATE;
  if (!galena_agent_has_connection (world, open->kind))
    return GALENA_REFUSED_CONNECTIONS;
  if (!galena_agent_upstream_is_available (world))
    return GALENA_REFUSED_BY_UPSTREAM;
  if (open->deadline_ms == 0)
    return GALENA_REFUSED_DEADLINE;
  if (!galena_agent_can_meet_deadline (world, open->kind, open->deadline_ms))
    return GALENA_REFUSED_OVERLOAD;
  return GALENA_OK;
}

static struct galena_flow *
insert_flow (struct galena_world *world, const struct galena_message *open)
{
  struct galena_agent *agent = world->agent;
  struct galena_flow_handle handle;
  struct galena_flow *flow = galena_table_insert (agent->flows, &handle.row);
  uint64_t key = galena_flow_key (agent->flows_by_id, open->flow);

  if (flow == NULL)
    return NULL;
  flow->id = open->flow;
  flow->kind = open->kind;
  flow->tag
      = galena_tag_make (world->options.upstream, world->options.incarnation,
                         (uint32_t)galena_random_next (&world->random));
  flow->last_seen = world->now;
  flow->hash_routed = open->hash_routed != 0;
  if (galena_map_insert (agent->flows_by_id, key,
                         galena_handle_pack (handle.row))
      == GALENA_OK)
    {
      galena_agent_queue (world, flow->kind)->flows++;
      galena_agent_reserve (world, flow);
      return flow;
    }
  galena_table_remove (agent->flows, handle.row);
  return NULL;
}

static void
accept_open (struct galena_world *world, const struct galena_message *open,
             struct galena_flow *flow)
{
  struct galena_message accept
      = galena_agent_reply (world, open, GALENA_MESSAGE_ACCEPT);

  flow->caller = open->caller;
  flow->entry = accept.peer;
  accept.tag = flow->tag;
  accept.hops = open->hops;
  accept.service_number = galena_agent_service (world)->number;
  galena_world_send (world, &accept);
}

void
galena_agent_on_open (struct galena_world *world,
                      const struct galena_message *message)
{
  struct galena_flow_handle handle;
  struct galena_flow *flow = find_by_id (world, message->flow, &handle);
  enum galena_result result;

  if (flow != NULL)
    {
      accept_open (world, message, flow);
      return;
    }
  result = check_open (world, message);
  if (galena_agent_hand_off (world, message, result))
    return;
  galena_agent_update_refused_share (world, message->kind,
                                     result == GALENA_REFUSED_OVERLOAD);
  if (result != GALENA_OK)
    {
      refuse_open (world, message, result);
      return;
    }
  flow = insert_flow (world, message);
  if (flow == NULL)
    {
      refuse_open (world, message, GALENA_REFUSED_CONNECTIONS);
      return;
    }
  galena_world_count (world, GALENA_COUNT_ACCEPTED);
  galena_agent_begin_trial (world);
  galena_stats_count (world,
                      galena_agent_service_number (world, message->kind),
                      message->kind, GALENA_KIND_ACCEPTED);
  accept_open (world, message, flow);
}

void
galena_agent_send_lost (struct galena_world *world,
                        const struct galena_message *message)
{
  struct galena_message lost
      = galena_agent_reply (world, message, GALENA_MESSAGE_LOST);

  lost.tag = message->tag;
  lost.result = GALENA_UNKNOWN_FLOW;
  galena_world_count (world, GALENA_COUNT_LOST);
  galena_world_send (world, &lost);
}

struct galena_flow *
galena_agent_find_flow (struct galena_world *world,
                        const struct galena_message *message,
                        struct galena_flow_handle *handle)
{
  struct galena_flow *flow = find_by_id (world, message->flow, handle);

  if (flow == NULL || !galena_tag_matches (flow->tag, message->tag))
    {
      galena_agent_forward (world, message);
      return NULL;
    }
  flow->caller = message->caller;
  flow->entry = message->entry.ip != 0 ? message->entry : message->peer;
  galena_agent_update_known_entry (world, flow->entry);
  flow->last_seen = world->now;
  flow->confirmed = true;
  return flow;
}

/* Returns whether a running request is cancelled when its flow ends.  Work
   that must not run twice is left to finish, so that it is not lost.  */
static bool
is_cancelled_with_flow (const struct galena_request *request)
{
  return request->idempotent || request->endless;
}

/* Removes the requests of FLOW; running ones are removed when the upstream has
   reported their end.  */
static void
remove_requests_of (struct galena_world *world, struct galena_flow_handle flow)
{
  struct galena_request *request;
  struct galena_request_handle handle;
  uint32_t cursor = 0;

  while ((request
          = galena_table_next (world->agent->requests, &cursor, &handle.row))
         != NULL)
    {
      if (galena_handle_pack (request->flow.row)
          != galena_handle_pack (flow.row))
        continue;
      if (request->state != GALENA_REQUEST_RUNNING)
        galena_agent_remove_request (world, handle);
      else if (is_cancelled_with_flow (request))
        galena_agent_cancel_run (world, handle);
    }
}

static void
end_flow (struct galena_world *world, struct galena_flow_handle handle)
{
  if (galena_agent_flow (world, handle)->open_requests > 0)
    remove_requests_of (world, handle);
  remove_flow (world, handle);
}

void
galena_agent_on_close (struct galena_world *world,
                       const struct galena_message *message)
{
  struct galena_flow_handle handle;
  struct galena_flow *flow = find_by_id (world, message->flow, &handle);

  if (flow == NULL || !galena_tag_matches (flow->tag, message->tag))
    {
      galena_agent_forward (world, message);
      return;
    }
  end_flow (world, handle);
  /* Confirms the close: the flow does not exist any more.  */
  galena_agent_send_lost (world, message);
}

void
galena_agent_on_pause (struct galena_world *world, int64_t gap_ms)
{
  struct galena_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((flow = galena_table_next (world->agent->flows, &cursor, &handle))
         != NULL)
    flow->last_seen = galena_clock_add_ms (flow->last_seen, gap_ms);
}

static bool
is_expired (const struct galena_world *world, const struct galena_flow *flow)
{
  int64_t silent_ms = galena_clock_elapsed_ms (flow->last_seen, world->now);

  if (!flow->confirmed)
    return silent_ms >= UNCONFIRMED_FLOW_MS;
  return silent_ms >= SILENT_FLOW_MS;
}

void
galena_agent_run_expire_flows (struct galena_world *world)
{
  struct galena_flow *flow;
  struct galena_flow_handle handle;
  uint32_t cursor = 0;

  while ((flow = galena_table_next (world->agent->flows, &cursor, &handle.row))
         != NULL)
    {
      if (galena_clock_elapsed_ms (flow->last_seen, world->now)
          >= RESERVATION_MS)
        galena_agent_release_reservation (world, flow);
      if (!is_expired (world, flow))
        continue;
      galena_world_count (world, GALENA_COUNT_EXPIRED_FLOWS);
      end_flow (world, handle);
    }
}

bool
galena_flow_request_is_done (const struct galena_flow *flow, uint32_t number)
{
  uint32_t ahead = number - flow->done_through - 1;

  if (number <= flow->done_through)
    return true;
  if (ahead >= DONE_BITS)
    return false;
  return (flow->done_bits >> ahead) & 1;
}

static void
advance_done (struct galena_flow *flow, uint32_t by)
{
  flow->done_bits = by >= DONE_BITS ? 0 : flow->done_bits >> by;
  flow->done_through += by;
}

void
galena_flow_set_request_done (struct galena_flow *flow, uint32_t number)
{
  uint32_t ahead = number - flow->done_through - 1;

  if (galena_flow_request_is_done (flow, number))
    return;
  if (ahead >= DONE_BITS)
    {
      advance_done (flow, ahead - DONE_BITS + 1);
      ahead = DONE_BITS - 1;
    }
  flow->done_bits |= UINT64_C (1) << ahead;
  while (flow->done_bits & 1)
    advance_done (flow, 1);
}
