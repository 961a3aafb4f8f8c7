/* Packets from callers, which are forwarded to the owners of their flows.  */

#include <string.h>

#include "entry_tables.h"

enum
{
  /* A flow that its caller closed is kept for late packets: twice the longest
     interval of retransmissions, which is 1.6 s.  */
  ENDED_LINGER_MS = 3200,
  /* A flow that is not open by then never will be: callers stop trying to open
     one after 1.4 s.  */
  OPENING_LINGER_MS = 2000,
  /* A search without a result ends once the caller sends no packets any more:
     twice the longest interval of retransmissions.  */
  SEARCH_LINGER_MS = 3200,
  /* A flow that no upstream holds is kept for this time, so that packets of it
     that are still under way start no further search.  */
  RESET_LINGER_MS = 1000,
  /* A packet with at least this many bytes of data is part of a bulk transfer;
     a single request has fewer.  */
  BULK_BYTES = 1000,
  /* A parked packet is dropped after the time in which its sender stops trying
     to open a flow.  */
  PARKED_MS = 1400
};

static const struct galena_handle NO_UPSTREAM = { 0, 0 };

struct entry_flow *
entry_flow (const struct galena_plane *plane, struct galena_handle handle)
{
  return galena_table_get (plane->entry->flows, handle);
}

struct entry_flow *
entry_flow_find (const struct galena_plane *plane, struct galena_flow_key key,
                 struct galena_handle *handle)
{
  return plane_flow_find (plane->entry->flows, plane->entry->flows_by_key, key,
                          handle);
}

static struct entry_flow *
add_flow (struct galena_plane *plane, struct galena_flow_key key,
          struct galena_handle *handle)
{
  struct entry_flow *flow = plane_flow_add (
      plane, plane->entry->flows, plane->entry->flows_by_key, key, handle);

  if (flow == NULL)
    return NULL;
  flow->began = plane->entry->parked_since.ms != 0 ? plane->entry->parked_since
                                                   : plane->now;
  flow->last_active = plane->now;
  return flow;
}

void
entry_flow_remove (struct galena_plane *plane, struct galena_handle handle)
{
  struct entry_flow *flow = entry_flow (plane, handle);

  if (flow == NULL)
    return;
  entry_opening_remove (plane, flow);
  entry_search_remove (plane, flow);
  plane_flow_remove (plane->entry->flows, plane->entry->flows_by_key,
                     flow->key, handle);
}

static void
mark_reset (struct galena_plane *plane, struct entry_flow *flow)
{
  entry_opening_remove (plane, flow);
  entry_search_remove (plane, flow);
  flow->state = FLOW_RESET;
  flow->owner = NO_UPSTREAM;
  flow->attempt_count = 0;
  flow->last_active = plane->now;
}

void
entry_flow_reset (struct galena_plane *plane, struct galena_handle handle,
                  enum galena_result reason)
{
  struct entry_flow *flow = entry_flow (plane, handle);
  const struct upstream_row *owner;

  if (flow == NULL)
    return;
  owner = entry_upstream (plane, flow->owner);
  plane_send_reset (plane, flow->key, flow->acknowledged);
  plane_log_event (
      plane, (struct galena_plane_logged_event){
                 .event = GALENA_EVENT_RESET,
                 .flow = flow->key,
                 .agent = owner != NULL ? owner->agent
                                        : (struct galena_endpoint){ 0, 0 },
                 .version = plane->entry->version,
                 .result = reason,
                 .age_ms = galena_clock_elapsed_ms (flow->began, plane->now),
                 .detail = flow->attempt_count });
  if (reason == GALENA_UNKNOWN_FLOW)
    mark_reset (plane, flow);
  else
    entry_flow_remove (plane, handle);
}

void
entry_flow_set_owner (struct galena_plane *plane, struct entry_flow *flow,
                      struct galena_handle owner)
{
  entry_opening_remove (plane, flow);
  entry_search_remove (plane, flow);
  flow->state = FLOW_OPEN;
  flow->owner = owner;
}

/* Adds a message of TYPE about FLOW to the output of the tick, for the agent
   of the upstream that HANDLE names.  Returns NULL when that row is gone or
   the maximum of the tick is reached.  */
static struct galena_output *
queue_message (struct galena_plane *plane, const struct entry_flow *flow,
               struct galena_handle handle, enum galena_peer_type type)
{
  const struct upstream_row *upstream = entry_upstream (plane, handle);
  struct galena_peer_message message
      = { .type = type, .flow = flow->key, .service = flow->service };

  if (upstream == NULL)
    return NULL;
  message.slots = upstream->slots;
  message.work = flow->work;
  message.zone_state = upstream->zone_state;
  message.warm_up_ms = entry_warm_up_left_ms (plane, upstream);
  message.warm_up_per_s = upstream->warm_up_per_s;
  if (type == GALENA_PEER_OPEN)
    {
      message.alternative_us = flow->alternative_us;
      message.attempt = flow->attempt_count > 0 ? flow->attempt_count - 1 : 0;
    }
  return plane_send_message (plane, upstream->agent, &message);
}

void
entry_flow_send (struct galena_plane *plane, const struct entry_flow *flow,
                 struct galena_handle handle, enum galena_peer_type type,
                 const uint8_t *bytes, uint32_t size)
{
  struct galena_output *output = queue_message (plane, flow, handle, type);

  if (output == NULL)
    return;
  output->message.bytes = bytes;
  output->message.size = size;
}

void
entry_flow_send_copy (struct galena_plane *plane,
                      const struct entry_flow *flow,
                      struct galena_handle handle, enum galena_peer_type type,
                      const uint8_t *bytes, uint32_t size)
{
  struct galena_output *output;

  if (size > GALENA_BUFFERED_PACKET_BYTES)
    return;
  output = queue_message (plane, flow, handle, type);
  if (output == NULL)
    return;
  output->packet_copy_size = size;
  memcpy (output->packet_copy, bytes, size);
}

/* Returns the attempt whose upstream chose the sequence number that the caller
   acknowledges; NULL when none is known.  */
static const struct open_attempt *
acknowledged_attempt (const struct entry_flow *flow, uint32_t acknowledged)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    {
      const struct open_attempt *attempt = &flow->attempts[i];

      if (attempt->accepted
          && galena_packet_confirms_open (acknowledged, attempt->sequence))
        return attempt;
    }
  return NULL;
}

/* Handles the first packet after the open: the flow is open at the upstream
   whose acceptance PACKET acknowledges.  Returns false when that one is not
   known.  */
static bool
set_acknowledged_owner (struct galena_plane *plane, struct entry_flow *flow,
                        const struct galena_packet *packet)
{
  const struct open_attempt *opened
      = acknowledged_attempt (flow, packet->acknowledged);

  if (opened == NULL)
    return false;
  entry_flow_set_owner (plane, flow, opened->upstream);
  return true;
}

static void
send_to_owner (struct galena_plane *plane, struct galena_handle handle,
               const struct galena_packet *packet)
{
  struct entry_flow *flow = entry_flow (plane, handle);
  const struct upstream_row *owner = entry_upstream (plane, flow->owner);

  if (owner == NULL || entry_is_gone (plane, owner))
    {
      if (packet->data_size > 0 || (packet->flags & GALENA_PACKET_ENDS) != 0)
        entry_flow_reset (plane, handle, GALENA_UNKNOWN_FLOW);
      return;
    }
  if (packet->data_size >= BULK_BYTES
      && !entry_admits_bulk (plane, flow, packet->size))
    return;
  entry_flow_send (plane, flow, flow->owner, GALENA_PEER_FORWARD,
                   packet->bytes, packet->size);
}

/* Notes the data in PACKET, which may begin a request of FLOW.  The caller
   acknowledges more than before once it has got the last answer.  */
static void
note_data (struct galena_plane *plane, struct entry_flow *flow,
           const struct galena_packet *packet)
{
  if (packet->data_size == 0
      || (flow->request_began.ms != 0
          && packet->acknowledged == flow->request_acknowledged))
    return;
  flow->request_began = plane->now;
  flow->request_acknowledged = packet->acknowledged;
}

/* Returns whether PACKET may be of FLOW, an open one, and not of another one
   of the same addresses.  */
static bool
is_packet_of (const struct entry_flow *flow,
              const struct galena_packet *packet)
{
  return (packet->flags & GALENA_PACKET_ACKNOWLEDGES) == 0
         || (packet->flags & GALENA_PACKET_RESETS) != 0
         || galena_packet_is_near (packet->acknowledged, flow->acknowledged);
}

/* Returns whether PACKET may be of FLOW, which is being opened, and not of an
   earlier one of the same addresses.  */
static bool
follows_opening (const struct entry_flow *flow,
                 const struct galena_packet *packet)
{
  return (packet->flags & GALENA_PACKET_RESETS) != 0
         || acknowledged_attempt (flow, packet->acknowledged) != NULL
         || galena_packet_is_near (packet->sequence, flow->numbers.first);
}

/* Returns whether PACKET opens a new flow with the key of FLOW, which has
   ended or was opened by another packet: its caller uses the port again.  */
static bool
opens_again (const struct entry_flow *flow, const struct galena_packet *packet)
{
  return flow->state == FLOW_RESET || flow->ended
         || !galena_packet_is_copy (packet, flow->numbers);
}

/* Returns whether the row of FLOW says nothing about PACKET, which opens
   another flow of the same addresses, or is of one that was opened at another
   entry.  The agent of an owner that may live decides itself about packets of
   open flows.  */
static bool
is_superseded (const struct galena_plane *plane, const struct entry_flow *flow,
               const struct galena_packet *packet)
{
  const struct upstream_row *owner = entry_upstream (plane, flow->owner);

  if (galena_packet_is_opening (packet))
    return opens_again (flow, packet);
  if (flow->state == FLOW_OPENING || is_packet_of (flow, packet))
    return false;
  return flow->state != FLOW_OPEN || owner == NULL
         || entry_is_gone (plane, owner);
}

static void
on_flow_packet (struct galena_plane *plane, struct galena_handle handle,
                const struct galena_packet *packet)
{
  struct entry_flow *flow = entry_flow (plane, handle);

  if (flow->state == FLOW_OPENING && !follows_opening (flow, packet))
    return;
  if (flow->state == FLOW_RESET)
    {
      if ((packet->flags & GALENA_PACKET_RESETS) == 0)
        plane_send_reset (plane, flow->key, packet->acknowledged);
      return;
    }
  flow->last_active = plane->now;
  note_data (plane, flow, packet);
  if ((packet->flags & GALENA_PACKET_ACKNOWLEDGES) != 0)
    flow->acknowledged = packet->acknowledged;
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) != 0)
    flow->ended = true;
  if (flow->state == FLOW_OPENING
      && !set_acknowledged_owner (plane, flow, packet))
    {
      entry_search_start (plane, handle, NO_UPSTREAM, packet->bytes,
                          packet->size);
      return;
    }
  if (flow->state == FLOW_OPEN)
    send_to_owner (plane, handle, packet);
  else
    entry_park_packet (plane, packet);
}

/* Handles a packet of a flow that is not in the table.  */
static void
on_unknown_flow_packet (struct galena_plane *plane, struct galena_flow_key key,
                        const struct galena_packet *packet)
{
  struct galena_handle handle;
  struct entry_flow *flow;

  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    return;
  flow = add_flow (plane, key, &handle);
  if (flow == NULL)
    return;
  flow->work
      = galena_directory_route (plane->directory, key.service_address)->work;
  flow->numbers.first = packet->sequence;
  note_data (plane, flow, packet);
  flow->acknowledged = packet->acknowledged;
  flow->ended = (packet->flags & GALENA_PACKET_ENDS) != 0;
  entry_search_start (plane, handle, NO_UPSTREAM, packet->bytes, packet->size);
}

static bool
has_config (const struct galena_plane *plane)
{
  return plane->directory != NULL
         && galena_directory_version (plane->directory) != 0;
}

/* Returns whether the directory includes all changes that were published
   during a pause.  */
static bool
directory_is_current (const struct galena_plane *plane)
{
  return galena_clock_reached (plane->now, plane->stale_until);
}

void
entry_park_packet (struct galena_plane *plane,
                   const struct galena_packet *packet)
{
  struct galena_handle handle;
  struct parked_row *parked;

  if (packet->size > GALENA_BUFFERED_PACKET_BYTES)
    return;
  parked = galena_table_insert (plane->entry->parked, &handle);
  if (parked == NULL)
    {
      plane_count (plane, GALENA_PLANE_GIVEN_UP);
      return;
    }
  parked->since = plane->now;
  parked->packet = *packet;
  parked->packet.bytes = parked->bytes;
  memcpy (parked->bytes, packet->bytes, packet->size);
}

/* Drops the parked packets of the flow KEY, whose addresses another flow has
   got.  */
static void
drop_parked (struct galena_plane *plane, struct galena_flow_key key)
{
  const struct parked_row *parked;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((parked = galena_table_next (plane->entry->parked, &cursor, &handle))
         != NULL)
    if (!parked->processed
        && galena_endpoint_equal (parked->packet.source, key.caller)
        && galena_endpoint_equal (parked->packet.destination,
                                  key.service_address))
      {
        galena_table_remove (plane->entry->parked, handle);
        plane_count (plane, GALENA_PLANE_GIVEN_UP);
      }
}

/* Returns whether PACKET, which was parked, can be processed now.  */
static bool
can_process (const struct galena_plane *plane,
             const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->source, packet->destination };
  struct galena_handle handle;
  const struct entry_flow *flow;

  if (!has_config (plane))
    return false;
  flow = entry_flow_find (plane, key, &handle);
  if (flow != NULL && flow->state == FLOW_SEARCHING)
    return false;
  return directory_is_current (plane) || flow != NULL
         || !galena_packet_is_opening (packet);
}

void
entry_run_parked (struct galena_plane *plane)
{
  struct parked_row *parked;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((parked = galena_table_next (plane->entry->parked, &cursor, &handle))
         != NULL)
    {
      if (parked->processed)
        galena_table_remove (plane->entry->parked, handle);
      else if (galena_clock_elapsed_ms (parked->since, plane->now)
               >= PARKED_MS)
        {
          galena_table_remove (plane->entry->parked, handle);
          plane_count (plane, GALENA_PLANE_GIVEN_UP);
        }
      else if (can_process (plane, &parked->packet))
        {
          /* The row stays until the next tick, since the output of this one
             borrows its bytes.  */
          parked->processed = true;
          if (plane->options.load_control)
            plane->entry->parked_since = parked->since;
          entry_on_packet (plane, &parked->packet);
          plane->entry->parked_since.ms = 0;
        }
    }
}

/* Returns whether KEY has a route.  If not, also sends its caller a reset,
   even when the flow is open: the configuration has dropped the route.  */
static bool
check_route (struct galena_plane *plane, struct galena_flow_key key,
             struct galena_handle handle, const struct galena_packet *packet)
{
  if (galena_directory_route (plane->directory, key.service_address) != NULL)
    return true;
  plane_count (plane, GALENA_PLANE_NO_ROUTE);
  if (entry_flow (plane, handle) != NULL)
    entry_flow_reset (plane, handle, GALENA_REFUSED_NO_SERVICE);
  else if ((packet->flags & GALENA_PACKET_RESETS) == 0)
    plane_send_reset (plane, key, packet->acknowledged);
  return false;
}

void
entry_on_packet (struct galena_plane *plane,
                 const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->source, packet->destination };
  struct galena_handle handle = { 0, 0 };
  struct entry_flow *flow;

  plane_count (plane, GALENA_PLANE_FROM_CALLERS);
  if (galena_packet_is_accept (packet)
      || (packet->flags & GALENA_PACKET_RETURNED) != 0)
    {
      plane_count (plane, GALENA_PLANE_UNEXPECTED);
      return;
    }
  if (!has_config (plane))
    {
      entry_park_packet (plane, packet);
      return;
    }
  flow = entry_flow_find (plane, key, &handle);
  if (flow != NULL && is_superseded (plane, flow, packet))
    {
      drop_parked (plane, key);
      entry_flow_remove (plane, handle);
      flow = NULL;
    }
  if (galena_packet_is_opening (packet)
      && (flow == NULL ? !directory_is_current (plane)
                       : flow->state == FLOW_SEARCHING))
    {
      entry_park_packet (plane, packet);
      return;
    }
  if (!check_route (plane, key, handle, packet))
    return;
  if (!galena_packet_is_opening (packet))
    {
      if (flow != NULL)
        on_flow_packet (plane, handle, packet);
      else
        on_unknown_flow_packet (plane, key, packet);
      return;
    }
  if (flow == NULL)
    {
      plane_count (plane, GALENA_PLANE_OPENS);
      flow = add_flow (plane, key, &handle);
    }
  if (flow != NULL)
    entry_on_open_packet (plane, flow, handle, packet);
}

/* Returns the idle timeout of FLOW in milliseconds.  */
static int64_t
linger_ms (const struct galena_plane *plane, const struct entry_flow *flow)
{
  if (flow->state == FLOW_OPENING)
    return OPENING_LINGER_MS;
  if (flow->state == FLOW_SEARCHING)
    return SEARCH_LINGER_MS;
  if (flow->state == FLOW_RESET)
    return RESET_LINGER_MS;
  return flow->ended ? ENDED_LINGER_MS : plane->options.flow_idle_ms;
}

void
entry_run_expire (struct galena_plane *plane)
{
  struct entry_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((flow = galena_table_next (plane->entry->flows, &cursor, &handle))
         != NULL)
    if (galena_clock_elapsed_ms (flow->last_active, plane->now)
        > linger_ms (plane, flow))
      entry_flow_remove (plane, handle);
}
