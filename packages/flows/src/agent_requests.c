/* Requests that an agent holds until its upstream has room for them.

   Requests on long flows follow the flow, and an upstream queues them in order
   of arrival.  The agent keeps that queue short and holds what is beyond, so
   that what can be in time goes first and what nobody waits for any more is
   never run.  */

#include <stdlib.h>
#include <string.h>

#include "agent_requests.h"

enum
{
  /* Requests that an upstream has beyond its slots, so that a slot that
     becomes free is used at once.  */
  SPARE_REQUESTS = 1,
  /* A request counts as hung when it has run for this many service times, and
     for HUNG_MIN_MS.  */
  HUNG_SERVICE_TIMES = 8,
  HUNG_MIN_MS = 250,
  /* Interval between two counts of those.  */
  HUNG_PERIOD_MS = 25,
  US_PER_MS = 1000
};

enum galena_result
agent_requests_create (struct galena_plane *plane)
{
  struct galena_table_options rows
      = { sizeof (struct held_request), HELD_REQUESTS_MAX };

  plane->agent->requests = calloc (1, sizeof *plane->agent->requests);
  if (plane->agent->requests == NULL)
    return GALENA_ERR_MEMORY;
  return galena_table_create (&rows, &plane->agent->requests->held);
}

void
agent_requests_destroy (struct galena_plane *plane)
{
  if (plane->agent->requests == NULL)
    return;
  galena_table_destroy (plane->agent->requests->held);
  free (plane->agent->requests);
}

uint32_t
agent_requests_held (const struct galena_plane *plane)
{
  return plane->agent->requests == NULL ? 0 : plane->agent->requests->count;
}

void
agent_requests_wake (struct galena_plane *plane)
{
  plane->tick_again |= agent_requests_held (plane) > 0;
}

static struct held_request *
held_of (const struct galena_plane *plane, const struct agent_flow *flow)
{
  if (plane->agent->requests == NULL)
    return NULL;
  return galena_table_get (plane->agent->requests->held, flow->held);
}

static void
end_row (struct galena_plane *plane, struct agent_flow *flow,
         struct held_request *held)
{
  held->ended = true;
  flow->held = (struct galena_handle){ 0, 0 };
  plane->agent->requests->count--;
}

void
agent_requests_drop (struct galena_plane *plane, struct agent_flow *flow)
{
  struct held_request *held = held_of (plane, flow);

  if (held != NULL)
    end_row (plane, flow, held);
}

/* Gives the upstream the packets of HELD, a request of FLOW.  */
static void
release (struct galena_plane *plane, struct agent_flow *flow,
         struct held_request *held)
{
  for (uint32_t i = 0; i < held->packet_count; i++)
    {
      struct galena_peer_message message = {
        .packet = held->packets[i].packet,
        .bytes = held->packets[i].bytes,
        .size = held->packets[i].packet.size,
      };

      agent_note_caller_packet (plane, flow, &message.packet);
      agent_send_to_upstream (plane, &message);
    }
  end_row (plane, flow, held);
}

static uint32_t
count_hung (const struct galena_plane *plane)
{
  const struct agent_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t hung = 0;
  int64_t hung_ms
      = (int64_t)(plane->agent->service_us * HUNG_SERVICE_TIMES / US_PER_MS);

  if (hung_ms < HUNG_MIN_MS)
    hung_ms = HUNG_MIN_MS;
  while ((flow = galena_table_next (plane->agent->flows, &cursor, &handle))
         != NULL)
    hung += flow->running
            && galena_clock_elapsed_ms (flow->request_began, plane->now)
                   > hung_ms;
  return hung;
}

/* Returns whether the upstream has as many requests as it is to have.  */
static bool
is_full (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;
  struct agent_requests *requests = agent->requests;
  uint32_t limit = agent->slots + SPARE_REQUESTS;

  if (agent->slots == 0 || agent->running_count < limit)
    return false;
  if (galena_clock_reached (plane->now, requests->count_hung_at))
    {
      requests->hung = count_hung (plane);
      requests->count_hung_at
          = galena_clock_add_ms (plane->now, HUNG_PERIOD_MS);
    }
  return agent->running_count >= limit + requests->hung;
}

/* Returns whether PACKET begins a request of FLOW that may be held: a short
   one whose timeout is known.  The first request of a flow is not held, since
   its open has waited for a free upstream.  */
static bool
may_be_held (const struct agent_flow *flow, const struct galena_packet *packet)
{
  const struct galena_work_class *work = &flow->work;

  return flow->state == AGENT_FLOW_OPEN && !flow->running
         && !flow->transfer.active && !flow->awaiting_request
         && !flow->caller_ended && !flow->upstream_ended
         && (work->kind == GALENA_WORK_IDEMPOTENT
             || work->kind == GALENA_WORK_NON_IDEMPOTENT)
         && work->timeout_ms != 0 && agent_has_new_data (flow, packet)
         && (packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) == 0;
}

static bool
has_packet (const struct held_request *held,
            const struct galena_packet *packet)
{
  for (uint32_t i = 0; i < held->packet_count; i++)
    if (held->packets[i].packet.sequence == packet->sequence)
      return true;
  return false;
}

/* Copies PACKET to HELD; returns false when there is no room.  */
static bool
add_packet (struct held_request *held, const struct galena_packet *packet)
{
  struct held_packet *copy;

  if (held->packet_count == HELD_PACKETS_MAX
      || packet->size > GALENA_BUFFERED_PACKET_BYTES)
    return false;
  copy = &held->packets[held->packet_count++];
  copy->packet = *packet;
  copy->packet.bytes = copy->bytes;
  memcpy (copy->bytes, packet->bytes, packet->size);
  return true;
}

static bool
hold_first (struct galena_plane *plane, struct agent_flow *flow,
            struct galena_handle handle, const struct galena_packet *packet)
{
  struct agent_requests *requests = plane->agent->requests;
  struct held_request *held;

  if (packet->size > GALENA_BUFFERED_PACKET_BYTES
      || !may_be_held (flow, packet)
      || (requests->count == 0 && !is_full (plane)))
    return false;
  held = galena_table_insert (requests->held, &flow->held);
  if (held == NULL)
    {
      plane_count (plane, GALENA_PLANE_HELD_FULL);
      return false;
    }
  held->flow = handle;
  held->since = plane->now;
  requests->count++;
  plane_count_kind (plane, GALENA_PLANE_HELD_UNKNOWN, flow->work.kind);
  return add_packet (held, packet);
}

bool
agent_requests_take (struct galena_plane *plane, struct agent_flow *flow,
                     struct galena_handle handle,
                     const struct galena_peer_message *message)
{
  const struct galena_packet *packet = &message->packet;
  struct held_request *held = held_of (plane, flow);

  if (plane->agent->requests == NULL || plane->draining)
    return false;
  if (held == NULL)
    return hold_first (plane, flow, handle, packet);
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) != 0)
    {
      agent_requests_drop (plane, flow);
      return false;
    }
  /* An acknowledgement has no place in the data that is held, and the upstream
     would retransmit without it.  */
  if (!agent_has_new_data (flow, packet))
    return false;
  flow->last_active = plane->now;
  if (has_packet (held, packet))
    {
      plane_count (plane, GALENA_PLANE_HELD_AGAIN);
      return true;
    }
  if (add_packet (held, packet))
    return true;
  release (plane, flow, held);
  return false;
}

/* Removes the rows that have ended, and drops those that have waited for the
   timeout of their route.  */
static void
sweep (struct galena_plane *plane)
{
  struct agent_requests *requests = plane->agent->requests;
  struct held_request *held;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((held = galena_table_next (requests->held, &cursor, &handle)) != NULL)
    {
      struct agent_flow *flow
          = galena_table_get (plane->agent->flows, held->flow);

      if (held->ended)
        {
          galena_table_remove (requests->held, handle);
          continue;
        }
      if (galena_clock_elapsed_ms (held->since, plane->now)
          < flow->work.timeout_ms)
        continue;
      plane_count_kind (plane, GALENA_PLANE_EXPIRED_UNKNOWN, flow->work.kind);
      agent_requests_drop (plane, flow);
    }
}

/* Returns the number of held requests of the caller at IP.  */
static uint32_t
count_of_caller (const struct galena_plane *plane, uint32_t ip)
{
  const struct held_request *held;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((held
          = galena_table_next (plane->agent->requests->held, &cursor, &handle))
         != NULL)
    {
      const struct agent_flow *flow
          = galena_table_get (plane->agent->flows, held->flow);

      count += !held->ended && flow->key.caller.ip == ip;
    }
  return count;
}

static void
put_in_order (struct galena_plane *plane)
{
  struct agent_requests *requests = plane->agent->requests;
  const struct held_request *held;
  struct galena_handle handle;
  uint32_t cursor = 0;

  galena_open_order_clear (&requests->order);
  while ((held = galena_table_next (requests->held, &cursor, &handle)) != NULL)
    {
      const struct agent_flow *flow
          = galena_table_get (plane->agent->flows, held->flow);
      struct galena_open_row row = { .handle = handle, .first = held->since };

      if (held->ended)
        continue;
      row.kind = flow->work.kind;
      row.priority = flow->work.priority;
      row.late = galena_open_is_late (&flow->work, held->since, plane->now,
                                      plane->agent->service_us
                                          * (1 + SPARE_REQUESTS));
      row.caller_waiting = count_of_caller (plane, flow->key.caller.ip);
      galena_open_order_add (&requests->order, &row);
    }
}

void
agent_run_requests (struct galena_plane *plane)
{
  struct agent_requests *requests = plane->agent->requests;
  const struct galena_open_row *row;

  if (requests == NULL)
    return;
  sweep (plane);
  if (requests->count == 0 || (!plane->draining && is_full (plane)))
    return;
  put_in_order (plane);
  while ((row = galena_open_order_first (&requests->order)) != NULL
         && (plane->draining || !is_full (plane)))
    {
      struct held_request *held
          = galena_table_get (requests->held, row->handle);

      release (plane, galena_table_get (plane->agent->flows, held->flow),
               held);
      galena_open_order_take (&requests->order, true);
    }
  /* An order holds fewer rows than may be held.  */
  plane->tick_again |= requests->count > 0 && plane->draining;
}
