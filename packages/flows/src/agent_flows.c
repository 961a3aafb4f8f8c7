/* Flows of the upstream beside an agent.  The upstream's word is the truth:
   it returns packets of flows that it does not hold.  */

#include "agent_tables.h"

enum
{
  /* An ended flow is kept for late packets: the longest interval of
     retransmissions, twice.  */
  ENDED_LINGER_MS = 3200,
  /* A packet that the upstream may return is waited for so long.  */
  PROBED_LINGER_MS = 1500,
  /* An upstream keeps an accepted flow for its caller's first packet until it
     has repeated its answer eight times, at intervals that double from 200 ms
     to 1.6 s.  */
  HALF_LINGER_MS = 12000
};

static struct agent_flow *
find_flow (const struct galena_plane *plane, struct galena_flow_key key,
           struct galena_handle *handle)
{
  return plane_flow_find (plane->agent->flows, plane->agent->flows_by_key, key,
                          handle);
}

static struct agent_flow *
add_flow (struct galena_plane *plane, struct galena_flow_key key,
          enum agent_flow_state state)
{
  struct galena_handle handle;
  struct agent_flow *flow = plane_flow_add (
      plane, plane->agent->flows, plane->agent->flows_by_key, key, &handle);

  if (flow == NULL)
    return NULL;
  flow->state = state;
  flow->active = plane->now;
  return flow;
}

static bool
is_counted_open (const struct agent_flow *flow)
{
  return flow->state == AGENT_FLOW_OPEN && !flow->upstream_ended;
}

static void
remove_flow (struct galena_plane *plane, struct agent_flow *flow,
             struct galena_handle handle)
{
  struct agent_tables *agent = plane->agent;

  if (is_counted_open (flow))
    agent->open--;
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
    plane->agent->open++;
}

static void
send_to_upstream (struct galena_plane *plane,
                  const struct galena_peer_message *message)
{
  struct galena_departure *departure = plane_depart (plane);

  if (departure == NULL)
    return;
  departure->kind = GALENA_DEPARTURE_PACKET;
  departure->link = GALENA_LINK_APPLICATION;
  departure->bytes = message->bytes;
  departure->size = message->size;
}

/* Notes the entry at PEER and what it says of the upstream.  */
static struct member *
hear_entry (struct galena_plane *plane, struct galena_endpoint peer,
            const struct galena_peer_message *message)
{
  if (message->slots != 0)
    plane->agent->slots = message->slots;
  return members_hear (plane, peer);
}

static void
refuse (struct galena_plane *plane, struct galena_endpoint entry,
        struct galena_flow_key key, enum galena_result result)
{
  struct galena_peer_message refusal
      = { .type = GALENA_PEER_REFUSED, .flow = key, .result = result };

  plane_count (plane, GALENA_PLANE_REFUSED);
  agent_reply (plane, entry, &refusal);
}

void
agent_take_open (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct member *member = hear_entry (plane, peer, message);
  struct galena_handle handle;
  struct agent_flow *flow;

  if (member != NULL)
    member->opened = plane->now;
  if (message->service != plane->options.service)
    {
      refuse (plane, peer, message->flow, GALENA_REFUSED_WRONG_SERVICE);
      return;
    }
  flow = find_flow (plane, message->flow, &handle);
  if (agent_is_leaving (plane) && flow == NULL)
    {
      refuse (plane, peer, message->flow, GALENA_REFUSED_LEAVING);
      return;
    }
  if (flow == NULL)
    {
      plane_count (plane, GALENA_PLANE_OPENS);
      flow = add_flow (plane, message->flow, AGENT_FLOW_HALF);
      if (flow != NULL)
        {
          flow->caller_next = message->packet.sequence;
          agent_request_expected (plane, flow);
        }
    }
  if (flow == NULL)
    {
      refuse (plane, peer, message->flow, GALENA_REFUSED_CONNECTIONS);
      return;
    }
  if (flow->state == AGENT_FLOW_PROBED)
    flow->state = AGENT_FLOW_HALF;
  flow->entry = peer;
  flow->active = plane->now;
  send_to_upstream (plane, message);
}

/* Notes what PACKET of the caller means for the requests of FLOW.  */
static void
note_caller_packet (struct galena_plane *plane, struct agent_flow *flow,
                    const struct galena_packet *packet)
{
  uint32_t next = packet->sequence + packet->data_size;

  flow->active = plane->now;
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) != 0)
    flow->caller_ended = true;
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    agent_request_dropped (plane, flow);
  if (packet->data_size == 0 || (int32_t)(next - flow->caller_next) <= 0)
    return;
  flow->caller_next = next;
  agent_request_began (plane, flow);
}

static struct agent_flow *
flow_for (struct galena_plane *plane, struct galena_endpoint peer,
          const struct galena_peer_message *message)
{
  struct galena_handle handle;
  struct agent_flow *flow = find_flow (plane, message->flow, &handle);

  if (flow == NULL)
    {
      flow = add_flow (plane, message->flow, AGENT_FLOW_PROBED);
      if (flow == NULL)
        return NULL;
      flow->caller_next = message->packet.sequence;
    }
  flow->entry = peer;
  return flow;
}

static void
answer_search (struct galena_plane *plane, struct galena_endpoint entry,
               struct galena_flow_key key, enum galena_peer_type type,
               const struct galena_packet *packet)
{
  struct galena_peer_message answer = { .type = type, .flow = key };

  if (packet != NULL)
    {
      answer.bytes = packet->bytes;
      answer.size = packet->size;
    }
  agent_reply (plane, entry, &answer);
}

/* Takes what the caller of FLOW acknowledges first.  False when it is open at
   another upstream: this one has not accepted it yet, or has chosen other
   numbers.  */
static bool
take_first (struct galena_plane *plane, struct agent_flow *flow,
            uint32_t acknowledged)
{
  if (flow->state != AGENT_FLOW_HALF)
    return true;
  if (!flow->accepted
      || !galena_packet_opens_at (acknowledged, flow->sequence))
    return false;
  become_open (plane, flow);
  return true;
}

/* Takes the first PACKET of FLOW, as take_first does.  */
static bool
take_first_packet (struct galena_plane *plane, struct agent_flow *flow,
                   const struct galena_packet *packet)
{
  return (packet->flags & GALENA_PACKET_ACKNOWLEDGES) == 0
         || take_first (plane, flow, packet->acknowledged);
}

void
agent_take_ask (struct galena_plane *plane, struct galena_endpoint peer,
                const struct galena_peer_message *message)
{
  struct galena_handle handle;
  struct agent_flow *flow = find_flow (plane, message->flow, &handle);
  enum galena_peer_type reply = GALENA_PEER_UNSURE;

  hear_entry (plane, peer, message);
  if (flow == NULL ? plane->agent->complete
                   : !take_first (plane, flow, message->sequence))
    reply = GALENA_PEER_DISOWNED;
  else if (flow != NULL && flow->state == AGENT_FLOW_OPEN)
    {
      flow->entry = peer;
      reply = GALENA_PEER_OWNED;
    }
  answer_search (plane, peer, message->flow, reply, NULL);
}

void
agent_take_forward (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message)
{
  struct agent_flow *flow;

  hear_entry (plane, peer, message);
  flow = flow_for (plane, peer, message);
  if (flow != NULL && !take_first_packet (plane, flow, &message->packet))
    {
      answer_search (plane, peer, message->flow, GALENA_PEER_DISOWNED,
                     &message->packet);
      return;
    }
  if (flow != NULL)
    note_caller_packet (plane, flow, &message->packet);
  send_to_upstream (plane, message);
}

void
agent_take_find (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct galena_handle handle;
  struct agent_flow *flow = find_flow (plane, message->flow, &handle);

  hear_entry (plane, peer, message);
  if (flow == NULL ? plane->agent->complete
                   : !take_first_packet (plane, flow, &message->packet))
    {
      answer_search (plane, peer, message->flow, GALENA_PEER_DISOWNED, NULL);
      return;
    }
  flow = flow_for (plane, peer, message);
  if (flow == NULL)
    return;
  if (flow->state == AGENT_FLOW_OPEN)
    {
      answer_search (plane, peer, message->flow, GALENA_PEER_OWNED, NULL);
      note_caller_packet (plane, flow, &message->packet);
    }
  else
    {
      /* A request is counted once the upstream is known to hold the flow.  */
      flow->asked = true;
      flow->active = plane->now;
    }
  send_to_upstream (plane, message);
}

/* The upstream returned PACKET.  */
static void
take_returned (struct galena_plane *plane, const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->source, packet->destination };
  struct galena_handle handle;
  struct agent_flow *flow = find_flow (plane, key, &handle);
  struct galena_endpoint entry;
  enum agent_flow_state state;
  bool asked;
  bool ended;

  plane_count (plane, GALENA_PLANE_RETURNED);
  if (flow == NULL)
    return;
  entry = flow->entry;
  state = flow->state;
  asked = flow->asked;
  ended = flow->caller_ended && flow->upstream_ended;
  if (galena_packet_is_open (packet))
    {
      if (state == AGENT_FLOW_HALF)
        remove_flow (plane, flow, handle);
      refuse (plane, entry, key, GALENA_REFUSED_BY_UPSTREAM);
      return;
    }
  remove_flow (plane, flow, handle);
  if (ended)
    return;
  if (state != AGENT_FLOW_OPEN)
    answer_search (plane, entry, key, GALENA_PEER_DISOWNED,
                   asked ? NULL : packet);
  else if (packet->data_size > 0)
    answer_search (plane, entry, key, GALENA_PEER_LOST, packet);
}

static void
note_accept (struct galena_plane *plane, struct agent_flow *flow,
             const struct galena_packet *packet)
{
  struct galena_peer_message opened = { .type = GALENA_PEER_OPENED,
                                        .flow = flow->key,
                                        .sequence = packet->sequence };

  flow->accepted = true;
  flow->sequence = packet->sequence;
  plane_count (plane, GALENA_PLANE_OPENED);
  agent_reply (plane, flow->entry, &opened);
}

/* Notes what PACKET of the upstream means for FLOW.  */
static void
note_upstream_packet (struct galena_plane *plane, struct agent_flow *flow,
                      const struct galena_packet *packet)
{
  become_open (plane, flow);
  if (flow->asked)
    answer_search (plane, flow->entry, flow->key, GALENA_PEER_OWNED, NULL);
  flow->asked = false;
  if (packet->data_size > 0)
    agent_answer_began (plane, flow);
  if ((packet->flags & (GALENA_PACKET_ENDS | GALENA_PACKET_RESETS)) == 0)
    return;
  agent_request_dropped (plane, flow);
  if (!flow->upstream_ended)
    plane->agent->open--;
  flow->upstream_ended = true;
}

/* Tells whether FLOW may be open at another upstream: this one accepted it and
   was not chosen, or was given a packet only to find the owner.  Its reset
   would reach the caller as the word of the other one.  */
static bool
is_foreign (const struct agent_flow *flow)
{
  return flow->state == AGENT_FLOW_HALF
         || (flow->state == AGENT_FLOW_PROBED && flow->asked);
}

/* Keeps the upstream's reset of FLOW from the caller; to a search it says that
   the flow is not here.  */
static void
withhold_reset (struct galena_plane *plane, struct agent_flow *flow,
                struct galena_handle handle)
{
  struct galena_endpoint entry = flow->entry;
  struct galena_flow_key key = flow->key;

  plane_count (plane, GALENA_PLANE_WITHHELD);
  if (!flow->asked)
    return;
  remove_flow (plane, flow, handle);
  answer_search (plane, entry, key, GALENA_PEER_DISOWNED, NULL);
}

void
agent_take_packet (struct galena_plane *plane,
                   const struct galena_packet *packet)
{
  struct galena_flow_key key = { packet->destination, packet->source };
  struct galena_handle handle;
  struct agent_flow *flow;

  plane_count (plane, GALENA_PLANE_FROM_UPSTREAM);
  if ((packet->flags & GALENA_PACKET_RETURNED) != 0)
    {
      take_returned (plane, packet);
      return;
    }
  flow = find_flow (plane, key, &handle);
  if (flow != NULL && (packet->flags & GALENA_PACKET_RESETS) != 0
      && is_foreign (flow))
    {
      withhold_reset (plane, flow, handle);
      return;
    }
  plane_send_packet (plane, GALENA_LINK_CALLER, packet);
  if (flow == NULL)
    {
      flow = add_flow (plane, key, AGENT_FLOW_PROBED);
      if (flow == NULL)
        return;
      flow->caller_next = packet->acknowledged;
    }
  flow->active = plane->now;
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
  if (flow->state == AGENT_FLOW_HALF && flow->accepted)
    return HALF_LINGER_MS;
  return flow->state == AGENT_FLOW_OPEN ? plane->options.flow_idle_ms
                                        : PROBED_LINGER_MS;
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
    plane->agent->complete = true;
  while ((flow = galena_table_next (plane->agent->flows, &cursor, &handle))
         != NULL)
    if (galena_clock_elapsed_ms (flow->active, plane->now)
        > linger_ms (plane, flow))
      remove_flow (plane, flow, handle);
}
