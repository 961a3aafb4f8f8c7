/* Opening of flows at an agent: a new flow passes a table of checks before the
   upstream sees its opening packet.  */

#include <galenaford/load_estimate.h>
#include <galenaford/warm_up.h>

#include "agent_tables.h"

enum
{
  /* Number of upstreams that may hand one flow back; the next one accepts it,
     so that no flow is refused while all upstreams are busy.  */
  HAND_BACKS_MAX = 2
};

/* A reason not to give the upstream a new flow.  */
struct agent_open_check
{
  const char *name;
  /* Returns GALENA_OK, or the reason why the flow that MESSAGE opens is
     refused.  */
  enum galena_result (*check) (struct galena_plane *plane,
                               const struct galena_peer_message *message);
  /* Whether it also refuses further copies of an open that the upstream has
     not accepted: the first one may not have reached it.  */
  bool refuses_copies;
};

static enum galena_result
check_leaving (struct galena_plane *plane,
               const struct galena_peer_message *message)
{
  (void)message;
  return agent_refuses_flows (plane) ? GALENA_REFUSED_LEAVING : GALENA_OK;
}

static enum galena_result
check_evacuated (struct galena_plane *plane,
                 const struct galena_peer_message *message)
{
  (void)message;
  return plane->agent->zone_state.evacuated ? GALENA_REFUSED_EVACUATED
                                            : GALENA_OK;
}

static enum galena_result
check_warming_up (struct galena_plane *plane,
                  const struct galena_peer_message *message)
{
  struct agent_tables *agent = plane->agent;
  uint32_t limit
      = galena_warm_up_limit (&plane->options, agent->warm_up_per_s);

  (void)message;
  if (limit == 0 || galena_clock_reached (plane->now, agent->warm_up_until))
    return GALENA_OK;
  /* An agent before this one may have given the upstream as many as it may get
     in this second.  */
  if (!agent_knows_all_flows (plane)
      && galena_clock_elapsed_ms (agent->started, plane->now)
             < GALENA_RATE_WINDOW_MS)
    return GALENA_REFUSED_WARMING_UP;
  return galena_rate_window_count (&agent->opens, plane->now) < limit
             ? GALENA_OK
             : GALENA_REFUSED_WARMING_UP;
}

/* Hands a flow back while the upstream has no free slot and another one is
   expected to answer sooner; see load_estimate.h.  While the service time is
   unknown, any other one is.  */
static enum galena_result
check_busy (struct galena_plane *plane,
            const struct galena_peer_message *message)
{
  struct galena_load load = agent_load (plane);
  double answer_us
      = load.service_us > 0 ? galena_estimate_answer_us (
            load.pending_requests, plane->agent->slots, load.service_us)
                            : UINT32_MAX;

  if (!plane->options.load_control || plane->agent->slots == 0
      || message->attempt >= HAND_BACKS_MAX
      || load.pending_requests < plane->agent->slots
      || answer_us <= message->alternative_us)
    return GALENA_OK;
  return GALENA_REFUSED_BUSY;
}

/* In the order in which they run; the first reason is reported.  */
static const struct agent_open_check AGENT_OPEN_CHECKS[] = {
  { "leaving", check_leaving, false },
  { "evacuated", check_evacuated, true },
  { "warming-up", check_warming_up, false },
  { "busy", check_busy, false },
};

enum
{
  CHECK_COUNT = sizeof AGENT_OPEN_CHECKS / sizeof AGENT_OPEN_CHECKS[0]
};

/* Returns the first reason to refuse the open in MESSAGE, which is a COPY of
   one that the upstream was given, or GALENA_OK.  */
static enum galena_result
check_open (struct galena_plane *plane,
            const struct galena_peer_message *message, bool copy)
{
  for (size_t i = 0; i < CHECK_COUNT; i++)
    {
      enum galena_result result = GALENA_OK;

      if (!copy || AGENT_OPEN_CHECKS[i].refuses_copies)
        result = AGENT_OPEN_CHECKS[i].check (plane, message);
      if (result != GALENA_OK)
        return result;
    }
  return GALENA_OK;
}

void
agent_apply_warm_up (struct galena_plane *plane,
                     const struct galena_peer_message *message)
{
  struct agent_tables *agent = plane->agent;
  struct galena_clock until
      = galena_clock_add_ms (plane->now, message->warm_up_ms);

  /* An entry that has not read the registration yet reports nothing, and ends
     nothing that others report.  */
  if (message->warm_up_ms == 0 || message->warm_up_per_s == 0)
    return;
  agent->warm_up_per_s = message->warm_up_per_s;
  if (agent->warm_up_until.ms < until.ms)
    agent->warm_up_until = until;
}

void
agent_apply_zone_state (struct galena_plane *plane,
                        struct galena_zone_state state)
{
  struct galena_zone_state *known = &plane->agent->zone_state;

  if (galena_store_position_is_before (state.position, known->position))
    return;
  /* At the same position an evacuation counts: a flow that is refused can be
     opened elsewhere.  */
  if (!galena_store_position_is_before (known->position, state.position))
    state.evacuated |= known->evacuated;
  *known = state;
}

void
agent_refuse (struct galena_plane *plane, struct galena_endpoint entry,
              struct galena_flow_key key, enum galena_result result)
{
  struct galena_peer_message refusal
      = { .type = GALENA_PEER_REFUSED, .flow = key, .result = result };

  plane_count_refusal (plane, result);
  agent_reply (plane, entry, &refusal);
}

/* Adds the new flow that MESSAGE opens in *FLOW.  Returns why it is refused
   otherwise.  */
static enum galena_result
admit (struct galena_plane *plane, const struct galena_peer_message *message,
       struct agent_flow **flow)
{
  enum galena_result result = check_open (plane, message, false);

  if (result != GALENA_OK)
    return result;
  plane_count (plane, GALENA_PLANE_OPENS);
  *flow = agent_flow_add (plane, message->flow, AGENT_FLOW_HALF_OPEN);
  if (*flow == NULL)
    return GALENA_REFUSED_CONNECTIONS;
  (*flow)->caller_next = message->packet.sequence;
  (*flow)->numbers
      = (struct galena_caller_numbers){ message->packet.sequence, true };
  (*flow)->work = message->work;
  galena_rate_window_add (&plane->agent->opens, plane->now);
  agent_request_expected (plane, *flow);
  return GALENA_OK;
}

/* Returns whether PACKET is a copy of the opening packet of FLOW, which this
   agent or one before it has given the upstream.  A row that a search or a
   packet of the flow has made shows neither, unless the upstream has answered:
   the packet then passes all checks.  */
static bool
is_copy (const struct agent_flow *flow, const struct galena_packet *packet)
{
  return !agent_flow_opens_again (flow, packet)
         && (flow->numbers.opening_seen || flow->accepted
             || flow->state == AGENT_FLOW_OPEN);
}

void
agent_on_open (struct galena_plane *plane, struct galena_endpoint peer,
               const struct galena_peer_message *message)
{
  struct member *member = agent_note_entry (plane, peer, message);
  enum galena_result result = GALENA_OK;
  struct galena_handle handle;
  struct agent_flow *flow;

  if (message->service != plane->options.service)
    {
      if (member != NULL)
        member->last_open = plane->now;
      agent_refuse (plane, peer, message->flow, GALENA_REFUSED_WRONG_SERVICE);
      return;
    }
  agent_apply_zone_state (plane, message->zone_state);
  agent_apply_warm_up (plane, message);
  flow = agent_flow_find (plane, message->flow, &handle);
  if (flow != NULL && !is_copy (flow, &message->packet))
    {
      agent_flow_remove (plane, flow, handle);
      flow = NULL;
    }
  if (flow == NULL)
    result = admit (plane, message, &flow);
  else if (!flow->accepted && flow->state != AGENT_FLOW_OPEN)
    result = check_open (plane, message, true);
  /* An entry that got a flow back has the load by the refusal, and gets no
     further reports for that open.  */
  if (member != NULL && result != GALENA_REFUSED_BUSY)
    member->last_open = plane->now;
  if (result != GALENA_OK)
    {
      agent_refuse (plane, peer, message->flow, result);
      return;
    }
  if (flow->state == AGENT_FLOW_UNCONFIRMED)
    {
      flow->state = AGENT_FLOW_HALF_OPEN;
      galena_rate_window_add (&plane->agent->opens, plane->now);
    }
  flow->entry = peer;
  flow->last_active = plane->now;
  agent_send_to_upstream (plane, message);
}
