/* Flows of the upstream on an agent's instance.  Only the upstream knows for
   certain which flows it holds: it returns packets of all others.  */

#include <string.h>

#include <galenaford/probe_spread.h>
#include <galenaford/query_batch.h>

#include "agent_requests.h"

enum
{
  /* An ended flow is kept for late packets: twice the longest interval of
     retransmissions, which is 1.6 s.  */
  ENDED_LINGER_MS = 3200,
  /* How long a flow is kept whose packet the upstream may return.  */
  UNCONFIRMED_LINGER_MS = 1500,
  /* How long it is remembered that the upstream does not hold a flow: as long
     as its caller may go on with it.  At most the table's rows divided by
     NOT_HELD_DIVISOR are used for this.  */
  NOT_HELD_LINGER_MS = 10000,
  NOT_HELD_DIVISOR = 2,
  /* A packet of an earlier flow of the same addresses may arrive until a
     packet of the flow is this old: longer than the queue of a full link.  */
  STRAY_MS = 1000,
  /* An upstream keeps an accepted flow until it has retransmitted its
     acceptance eight times without a reply of the caller, at intervals that
     double from 200 ms up to 1.6 s.  */
  HALF_OPEN_LINGER_MS = 12000
};

bool
agent_knows_all_flows (const struct galena_plane *plane)
{
  return plane->agent->knows_all_flows || plane->agent->started_with_upstream;
}

struct agent_flow *
agent_flow_find (const struct galena_plane *plane, struct galena_flow_key key,
                 struct galena_handle *handle)
{
  return plane_flow_find (plane->agent->flows, plane->agent->flows_by_key, key,
                          handle);
}

struct agent_flow *
agent_flow_add (struct galena_plane *plane, struct galena_flow_key key,
                enum agent_flow_state state)
{
  struct galena_handle handle;
  struct agent_flow *flow = plane_flow_add (
      plane, plane->agent->flows, plane->agent->flows_by_key, key, &handle);

  if (flow == NULL)
    return NULL;
  flow->state = state;
  flow->last_active = plane->now;
  return flow;
}

static bool
is_counted_open (const struct agent_flow *flow)
{
  return flow->state == AGENT_FLOW_OPEN && !flow->upstream_ended;
}

void
agent_flow_remove (struct galena_plane *plane, struct agent_flow *flow,
                   struct galena_handle handle)
{
  struct agent_tables *agent = plane->agent;

  if (is_counted_open (flow))
    agent->open_count--;
  agent_requests_drop (plane, flow);
  agent_request_dropped (plane, flow);
  plane_flow_remove (agent->flows, agent->flows_by_key, flow->key, handle);
}

static void
become_open (struct galena_plane *plane, struct agent_flow *flow)
{
  if (flow->state == AGENT_FLOW_OPEN)
    return;
  flow->state = AGENT_FLOW_OPEN;
  if (!flow->upstream_ended)
    plane->agent->open_count++;
}

void
agent_send_to_upstream (struct galena_plane *plane,
                        const struct galena_peer_message *message)
{
  struct galena_output *output = plane_next_output (plane);

  if (output == NULL)
    return;
  agent_note_unanswered (plane, &message->packet);
  output->kind = GALENA_OUTPUT_PACKET;
  output->side = GALENA_SIDE_APPLICATION;
  output->bytes = message->bytes;
  output->size = message->size;
}

struct member *
agent_note_entry (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  if (message->slots != 0)
    plane->agent->slots = message->slots;
  return members_note_seen (plane, peer);
}

void
agent_note_caller_packet (struct galena_plane *plane, struct agent_flow *flow,
                          const struct galena_packet *packet)
{
  flow->last_active = plane->now;
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) != 0)
    flow->caller_ended = true;
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    agent_request_dropped (plane, flow);
  if (packet->data_size == 0)
    return;
  agent_health_note_data (plane, flow, agent_has_new_data (flow, packet));
  agent_note_request_packet (plane, flow, packet);
}

/* Notes that the caller of FLOW uses sequence number FIRST on a packet that
   does not open it.  */
static void
set_first_number (struct agent_flow *flow, uint32_t first)
{
  flow->caller_next = first;
  flow->numbers = (struct galena_caller_numbers){ first, false };
}

static struct agent_flow *
find_or_add_flow (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message,
                  struct galena_handle *handle)
{
  struct agent_flow *flow = agent_flow_find (plane, message->flow, handle);
  bool fresh = flow == NULL;

  if (fresh)
    {
      flow = agent_flow_add (plane, message->flow, AGENT_FLOW_UNCONFIRMED);
      if (flow == NULL)
        return NULL;
      agent_flow_find (plane, message->flow, handle);
    }
  if (flow->state == AGENT_FLOW_NOT_HELD)
    flow->state = AGENT_FLOW_UNCONFIRMED;
  /* The row may be of an earlier flow of the same addresses.  */
  if (flow->state == AGENT_FLOW_UNCONFIRMED && !flow->accepted
      && (fresh
          || !galena_packet_is_near (message->packet.sequence,
                                     flow->numbers.first)))
    set_first_number (flow, message->packet.sequence);
  flow->entry = peer;
  return flow;
}

/* Sends a reply of TYPE about the flow KEY whose caller has acknowledged
   ACKNOWLEDGED.  */
static void
reply_about_flow (struct galena_plane *plane, struct galena_endpoint entry,
                  struct galena_flow_key key, enum galena_peer_type type,
                  uint32_t acknowledged)
{
  struct galena_peer_message reply
      = { .type = type, .flow = key, .sequence = acknowledged };

  agent_reply (plane, entry, &reply);
}

/* Same with PACKET of the caller, which another upstream may take.  */
static void
reply_with_packet (struct galena_plane *plane, struct galena_endpoint entry,
                   struct galena_flow_key key, enum galena_peer_type type,
                   const struct galena_packet *packet)
{
  struct galena_peer_message reply = { .type = type,
                                       .flow = key,
                                       .sequence = packet->acknowledged,
                                       .bytes = packet->bytes,
                                       .size = packet->size };

  agent_reply (plane, entry, &reply);
}

/* Notes the sequence numbers of PACKET of the upstream.  Some packets of FLOW
   may have passed before this process started.  */
static void
note_upstream_numbers (struct agent_flow *flow,
                       const struct galena_packet *packet)
{
  uint32_t next = packet->sequence + packet->data_size;

  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    return;
  if (!flow->upstream_seen)
    {
      flow->upstream_seen = true;
      flow->upstream_first = packet->sequence - GALENA_PACKET_NEAR;
      flow->upstream_next = next;
    }
  /* A late packet of an earlier flow does not widen the range.  */
  else if (galena_packet_is_near (next, flow->upstream_next)
           && (int32_t)(next - flow->upstream_next) > 0)
    flow->upstream_next = next;
}

/* Returns whether ACKNOWLEDGED, from a caller, is a sequence number that the
   upstream has used on FLOW.  If not, the caller means another flow of the
   same addresses, or one that is open at another upstream: FLOW then says
   nothing about it.  */
static bool
is_number_of (const struct agent_flow *flow, uint32_t acknowledged)
{
  switch (flow->state)
    {
    case AGENT_FLOW_HALF_OPEN:
      return flow->accepted
             && galena_packet_confirms_open (acknowledged, flow->sequence);
    case AGENT_FLOW_OPEN:
      return !flow->upstream_seen
             || acknowledged - flow->upstream_first
                    <= flow->upstream_next - flow->upstream_first
                           + GALENA_PACKET_NEAR;
    default:
      return true;
    }
}

/* Same for PACKET of the caller; a reset may acknowledge nothing.  */
static bool
is_packet_of (const struct agent_flow *flow,
              const struct galena_packet *packet)
{
  return (packet->flags & GALENA_PACKET_ACKNOWLEDGES) == 0
         || (packet->flags & GALENA_PACKET_RESETS) != 0
         || is_number_of (flow, packet->acknowledged);
}

/* Marks a half-open FLOW as open when ACKNOWLEDGED, from its caller, matches
   the acceptance of this upstream.  Returns false when FLOW is not the one
   that the caller means.  */
static bool
confirm_open (struct galena_plane *plane, struct agent_flow *flow,
              uint32_t acknowledged)
{
  if (!is_number_of (flow, acknowledged))
    return false;
  if (flow->state == AGENT_FLOW_HALF_OPEN)
    become_open (plane, flow);
  return true;
}

/* Same, for PACKET of the caller.  */
static bool
confirm_open_packet (struct galena_plane *plane, struct agent_flow *flow,
                     const struct galena_packet *packet)
{
  if (flow->state == AGENT_FLOW_OPEN)
    return is_packet_of (flow, packet);
  return (packet->flags & GALENA_PACKET_ACKNOWLEDGES) == 0
         || confirm_open (plane, flow, packet->acknowledged);
}

/* Returns whether the upstream certainly does not hold FLOW, which is NULL if
   this agent knows nothing of it.  */
static bool
is_not_held (const struct galena_plane *plane, const struct agent_flow *flow)
{
  if (flow != NULL && flow->state == AGENT_FLOW_NOT_HELD)
    return true;
  return (flow == NULL || flow->probe_pending)
         && (agent_knows_all_flows (plane)
             || agent_upstream_is_silent (plane));
}

/* Returns what this agent knows about the flow KEY, whose caller acknowledged
   ACKNOWLEDGED last, for the entry at PEER.  */
static enum galena_query_answer
answer_query (struct galena_plane *plane, struct galena_endpoint peer,
              struct galena_flow_key key, uint32_t acknowledged)
{
  struct galena_handle handle;
  struct agent_flow *flow = agent_flow_find (plane, key, &handle);

  if (is_not_held (plane, flow)
      || (flow != NULL && !confirm_open (plane, flow, acknowledged)))
    return GALENA_ANSWER_DISOWNED;
  if (flow == NULL || flow->state != AGENT_FLOW_OPEN)
    return GALENA_ANSWER_UNSURE;
  flow->entry = peer;
  return GALENA_ANSWER_OWNED;
}

void
agent_on_query (struct galena_plane *plane, struct galena_endpoint peer,
                const struct galena_peer_message *message)
{
  static const enum galena_peer_type REPLIES[] = {
    [GALENA_ANSWER_OWNED] = GALENA_PEER_OWNED,
    [GALENA_ANSWER_DISOWNED] = GALENA_PEER_DISOWNED,
    [GALENA_ANSWER_UNSURE] = GALENA_PEER_UNSURE,
  };

  agent_note_entry (plane, peer, message);
  reply_about_flow (
      plane, peer, message->flow,
      REPLIES[answer_query (plane, peer, message->flow, message->sequence)],
      message->sequence);
}

void
agent_on_query_many (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message)
{
  struct galena_peer_message reply
      = { .type = GALENA_PEER_ANSWER_MANY, .sequence = message->sequence };
  uint32_t count = message->size / GALENA_QUERY_FLOW_BYTES;
  struct galena_output *output;

  agent_note_entry (plane, peer, message);
  if (count == 0 || count > GALENA_QUERY_BATCH_MAX)
    {
      plane_count (plane, GALENA_PLANE_MALFORMED);
      return;
    }
  output = agent_reply (plane, peer, &reply);
  if (output == NULL)
    return;
  output->packet_copy_size = galena_query_answer_bytes (count);
  memset (output->packet_copy, 0, output->packet_copy_size);
  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_query_flow row = galena_query_get_flow (message->bytes, i);
      struct galena_flow_key key
          = { row.caller, message->flow.service_address };

      galena_query_put_answer (
          output->packet_copy, i,
          answer_query (plane, peer, key, row.acknowledged));
    }
}

bool
agent_flow_opens_again (const struct agent_flow *flow,
                        const struct galena_packet *packet)
{
  return flow->state == AGENT_FLOW_NOT_HELD || flow->caller_ended
         || flow->upstream_ended
         || !galena_packet_is_copy (packet, flow->numbers);
}

/* Returns whether MESSAGE, a forwarded packet, opens another flow than the one
   that the upstream holds.  It would open one that no check has admitted.  */
static bool
is_stale_opening (const struct galena_plane *plane,
                  const struct galena_peer_message *message)
{
  struct galena_handle handle;
  const struct agent_flow *flow
      = agent_flow_find (plane, message->flow, &handle);

  return galena_packet_is_opening (&message->packet)
         && (flow == NULL || flow->state != AGENT_FLOW_OPEN
             || agent_flow_opens_again (flow, &message->packet));
}

/* Returns whether a packet of another flow than FLOW, at the same addresses,
   is probably a late one of an earlier flow.  */
static bool
may_be_stray (const struct galena_plane *plane, const struct agent_flow *flow)
{
  return flow->state == AGENT_FLOW_OPEN && !flow->caller_ended
         && !flow->upstream_ended
         && galena_clock_elapsed_ms (flow->last_active, plane->now) < STRAY_MS;
}

void
agent_on_forward (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct galena_handle handle;
  struct agent_flow *flow;

  agent_note_entry (plane, peer, message);
  if (is_stale_opening (plane, message))
    return;
  flow = find_or_add_flow (plane, peer, message, &handle);
  if (flow != NULL && !confirm_open_packet (plane, flow, &message->packet))
    {
      if (!may_be_stray (plane, flow))
        reply_with_packet (plane, peer, message->flow, GALENA_PEER_DISOWNED,
                           &message->packet);
      return;
    }
  if (flow != NULL && agent_requests_take (plane, flow, handle, message))
    return;
  if (flow != NULL)
    agent_note_caller_packet (plane, flow, &message->packet);
  agent_send_to_upstream (plane, message);
}

void
agent_on_spread (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct galena_peer_message probe = { .type = GALENA_PEER_PROBE,
                                       .flow = message->flow,
                                       .sequence = peer.ip };
  struct galena_probe_spread spread;

  if (!galena_spread_read (message->bytes, message->size, &spread))
    {
      plane_count (plane, GALENA_PLANE_MALFORMED);
      return;
    }
  /* The bytes stay valid until the output of this tick has been sent.  */
  probe.bytes = spread.bytes;
  probe.size = spread.size;
  for (uint32_t i = 0; i < spread.count; i++)
    plane_send_message (
        plane,
        (struct galena_endpoint){ spread.agents[i], plane->options.self.port },
        &probe);
}

void
agent_on_probe (struct galena_plane *plane, struct galena_endpoint peer,
                const struct galena_peer_message *message)
{
  struct galena_handle handle;
  struct agent_flow *flow = agent_flow_find (plane, message->flow, &handle);

  /* Another agent has handed the packet on for an entry.  */
  if (message->role == GALENA_ROLE_AGENT)
    peer = (struct galena_endpoint){ message->sequence,
                                     plane->options.self.port };
  agent_note_entry (plane, peer, message);
  if (is_not_held (plane, flow)
      || (flow != NULL
          && !confirm_open_packet (plane, flow, &message->packet)))
    {
      reply_about_flow (plane, peer, message->flow, GALENA_PEER_DISOWNED,
                        message->packet.acknowledged);
      return;
    }
  flow = find_or_add_flow (plane, peer, message, &handle);
  if (flow == NULL)
    return;
  if (flow->state == AGENT_FLOW_OPEN)
    {
      reply_about_flow (plane, peer, message->flow, GALENA_PEER_OWNED,
                        message->packet.acknowledged);
      if (agent_requests_take (plane, flow, handle, message))
        return;
      agent_note_caller_packet (plane, flow, &message->packet);
    }
  else
    {
      /* The request is counted only once the upstream is known to hold the
         flow.  */
      flow->probe_pending = true;
      flow->probe_acknowledged = message->packet.acknowledged;
      flow->last_active = plane->now;
    }
  agent_send_to_upstream (plane, message);
}

/* Notes that the upstream does not hold FLOW.  */
static void
mark_not_held (struct galena_plane *plane, struct agent_flow *flow,
               struct galena_handle handle)
{
  if (galena_table_count (plane->agent->flows)
      > plane->options.flows / NOT_HELD_DIVISOR)
    {
      agent_flow_remove (plane, flow, handle);
      return;
    }
  agent_requests_drop (plane, flow);
  agent_request_dropped (plane, flow);
  flow->state = AGENT_FLOW_NOT_HELD;
  flow->probe_pending = false;
  flow->last_active = plane->now;
}

/* Handles the opening PACKET, which the upstream returned.  An upstream that
   holds FLOW open returns each late copy: the entry that forwarded it may know
   nothing of the flow, and would reset it on a refusal.  */
static void
on_returned_opening (struct galena_plane *plane, struct agent_flow *flow,
                     struct galena_handle handle,
                     const struct galena_packet *packet)
{
  struct galena_endpoint entry = flow->entry;
  struct galena_flow_key key = flow->key;

  if (!galena_packet_is_copy (packet, flow->numbers))
    return;
  if (flow->state == AGENT_FLOW_OPEN)
    {
      reply_about_flow (plane, entry, key, GALENA_PEER_OPENED,
                        flow->accepted ? flow->sequence : flow->upstream_next);
      return;
    }
  agent_health_note_returned_open (plane, flow);
  if (flow->state == AGENT_FLOW_HALF_OPEN)
    agent_flow_remove (plane, flow, handle);
  agent_refuse (plane, entry, key, GALENA_REFUSED_BY_UPSTREAM);
}

/* Handles PACKET, which the upstream returned.  */
static void
on_returned (struct galena_plane *plane, const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->source, packet->destination };
  struct galena_handle handle;
  struct agent_flow *flow = agent_flow_find (plane, key, &handle);
  struct galena_endpoint entry;
  enum agent_flow_state state;
  bool probe_pending;
  bool ended;

  plane_count (plane, GALENA_PLANE_RETURNED);
  if (flow == NULL || !is_packet_of (flow, packet))
    return;
  entry = flow->entry;
  state = flow->state;
  probe_pending = flow->probe_pending;
  ended = flow->caller_ended && flow->upstream_ended;
  if (galena_packet_is_opening (packet))
    {
      on_returned_opening (plane, flow, handle, packet);
      return;
    }
  if (state == AGENT_FLOW_OPEN || ended)
    agent_flow_remove (plane, flow, handle);
  else
    mark_not_held (plane, flow, handle);
  if (ended)
    return;
  if (state == AGENT_FLOW_OPEN)
    {
      if (packet->data_size > 0)
        reply_with_packet (plane, entry, key, GALENA_PEER_LOST, packet);
    }
  else if (probe_pending || state == AGENT_FLOW_NOT_HELD)
    reply_about_flow (plane, entry, key, GALENA_PEER_DISOWNED,
                      packet->acknowledged);
  else
    reply_with_packet (plane, entry, key, GALENA_PEER_DISOWNED, packet);
}

static void
note_accept (struct galena_plane *plane, struct agent_flow *flow,
             const struct galena_packet *packet)
{
  struct galena_peer_message accepted = { .type = GALENA_PEER_OPENED,
                                          .flow = flow->key,
                                          .sequence = packet->sequence };

  if (flow->state == AGENT_FLOW_NOT_HELD)
    flow->state = AGENT_FLOW_HALF_OPEN;
  if (!flow->accepted || flow->sequence != packet->sequence)
    {
      flow->upstream_seen = true;
      flow->upstream_first = packet->sequence;
      flow->upstream_next = packet->sequence;
    }
  flow->accepted = true;
  flow->sequence = packet->sequence;
  plane_count (plane, GALENA_PLANE_OPENED);
  agent_reply (plane, flow->entry, &accepted);
}

/* Updates the state of FLOW, and of its request, from PACKET of the
   upstream.  */
static void
note_upstream_packet (struct galena_plane *plane, struct agent_flow *flow,
                      const struct galena_packet *packet)
{
  become_open (plane, flow);
  note_upstream_numbers (flow, packet);
  /* The upstream may hold an earlier flow of the same addresses.  */
  if (flow->probe_pending)
    reply_about_flow (plane, flow->entry, flow->key,
                      is_number_of (flow, flow->probe_acknowledged)
                          ? GALENA_PEER_OWNED
                          : GALENA_PEER_DISOWNED,
                      flow->probe_acknowledged);
  flow->probe_pending = false;
  if (packet->data_size > 0)
    agent_answer_began (plane, flow);
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) == 0)
    return;
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    agent_health_note_reset (plane, flow);
  agent_requests_drop (plane, flow);
  agent_request_dropped (plane, flow);
  if (!flow->upstream_ended)
    plane->agent->open_count--;
  flow->upstream_ended = true;
}

/* Returns whether FLOW may be open at another upstream: this one accepted it
   but the caller opened it elsewhere, or this one only got a probe.  Its reset
   would then reach the caller as if the owner had sent it.  */
static bool
may_be_open_elsewhere (const struct agent_flow *flow)
{
  return flow->state == AGENT_FLOW_HALF_OPEN
         || (flow->state == AGENT_FLOW_UNCONFIRMED && flow->probe_pending);
}

/* Drops the upstream's reset of FLOW instead of forwarding it to the caller.
   During a search the reset shows that this upstream does not hold the
   flow.  */
static void
withhold_reset (struct galena_plane *plane, struct agent_flow *flow,
                struct galena_handle handle)
{
  struct galena_endpoint entry = flow->entry;
  struct galena_flow_key key = flow->key;
  uint32_t acknowledged = flow->probe_acknowledged;

  plane_count (plane, GALENA_PLANE_WITHHELD);
  if (!flow->probe_pending)
    return;
  agent_flow_remove (plane, flow, handle);
  reply_about_flow (plane, entry, key, GALENA_PEER_DISOWNED, acknowledged);
}

void
agent_on_packet (struct galena_plane *plane,
                 const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->destination, packet->source };
  struct galena_handle handle;
  struct agent_flow *flow;

  plane_count (plane, GALENA_PLANE_FROM_UPSTREAM);
  plane->agent->unanswered_packets = 0;
  if ((packet->flags & GALENA_PACKET_RETURNED) != 0)
    {
      on_returned (plane, packet);
      return;
    }
  flow = agent_flow_find (plane, key, &handle);
  if (flow != NULL && (packet->flags & GALENA_PACKET_RESETS) != 0
      && may_be_open_elsewhere (flow))
    {
      withhold_reset (plane, flow, handle);
      return;
    }
  plane_send_packet (plane, GALENA_SIDE_CALLER, packet);
  if (flow == NULL)
    {
      flow = agent_flow_add (plane, key, AGENT_FLOW_UNCONFIRMED);
      if (flow == NULL)
        return;
      set_first_number (flow, packet->acknowledged);
    }
  flow->last_active = plane->now;
  if (galena_packet_is_accept (packet))
    note_accept (plane, flow, packet);
  else
    note_upstream_packet (plane, flow, packet);
}

static int64_t
linger_ms (const struct galena_plane *plane, const struct agent_flow *flow)
{
  if (flow->upstream_ended || flow->caller_ended)
    return ENDED_LINGER_MS;
  if (flow->state == AGENT_FLOW_NOT_HELD)
    return NOT_HELD_LINGER_MS;
  if (flow->state == AGENT_FLOW_HALF_OPEN && flow->accepted)
    return HALF_OPEN_LINGER_MS;
  return flow->state == AGENT_FLOW_OPEN ? plane->options.flow_idle_ms
                                        : UNCONFIRMED_LINGER_MS;
}

void
agent_run_expire (struct galena_plane *plane)
{
  struct agent_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (plane->agent->started.ms == 0)
    plane->agent->started = plane->now;
  if (galena_clock_elapsed_ms (plane->agent->started, plane->now)
      > plane->options.flow_idle_ms)
    plane->agent->knows_all_flows = true;
  while ((flow = galena_table_next (plane->agent->flows, &cursor, &handle))
         != NULL)
    if (galena_clock_elapsed_ms (flow->last_active, plane->now)
        > linger_ms (plane, flow))
      agent_flow_remove (plane, flow, handle);
}
