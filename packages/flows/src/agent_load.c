/* The load of the upstream as an agent measures it, and the load reports that
   it sends to entries.  */

#include <string.h>

#include "agent_requests.h"

enum
{
  /* Moving average of the service time: a new sample has a weight of one in
     this many.  */
  MEAN_SMOOTHING = 16,
  /* Longest time that counts as a sample; with a longer one, the upstream was
     paused or unreachable.  */
  SAMPLE_MAX_MS = 10000,
  /* The first request of a flow arrives one round trip to the caller after its
     acceptance, about 10 ms; a flow without one by then was opened at another
     upstream.  */
  FIRST_REQUEST_TIMEOUT_MS = 100,
  /* An estimate of the service time is forgotten when no answer has confirmed
     it for this time, so that entries try an upstream again that was slow.  */
  ESTIMATE_VALID_MS = 2000,
  /* Entries whose last open is younger than this get a report at each change
     of load.  */
  RECENT_OPEN_MS = 1000,
  US_PER_MS = 1000,
  /* Time constant of the smoothed utilisation: a long flow sends a request
     about every second, so a shorter one would follow single requests.  */
  UTILISATION_SMOOTHING_MS = 1000
};

/* Adds the time since the last call to the busy time of the slots.  */
static void
update_busy_time (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;
  uint32_t slots = agent->slots > 0 ? agent->slots : 1;
  uint32_t busy = agent->running_count < slots ? agent->running_count : slots;

  double ms = (double)galena_clock_elapsed_ms (agent->busy_counted_until,
                                               plane->now);

  agent->busy_us += ms * busy * US_PER_MS;
  agent->utilisation += ((double)busy / slots - agent->utilisation) * ms
                        / (ms + UTILISATION_SMOOTHING_MS);
  agent->busy_counted_until = plane->now;
}

static void
end_wait_for_request (struct galena_plane *plane, struct agent_flow *flow)
{
  if (flow->awaiting_request)
    plane->agent->awaiting_count--;
  flow->awaiting_request = false;
}

void
agent_request_expected (struct galena_plane *plane, struct agent_flow *flow)
{
  flow->awaiting_request = true;
  flow->opened_at = plane->now;
  plane->agent->awaiting_count++;
}

static void
end_transfer (struct galena_plane *plane, struct agent_flow *flow)
{
  if (flow->transfer.active)
    plane->agent->transfer_count--;
  flow->transfer.active = false;
}

/* Adds PACKET to the transfer of FLOW.  The request occupies a slot only once
   all of its data is there: over a slow link, that takes far longer than the
   work.  */
static void
continue_transfer (struct galena_plane *plane, struct agent_flow *flow,
                   const struct galena_packet *packet)
{
  if (!agent_transfer_add (&flow->transfer, packet))
    return;
  plane->agent->transfer_count--;
  agent_request_began (plane, flow);
}

static void
begin_transfer (struct galena_plane *plane, struct agent_flow *flow,
                const struct galena_packet *packet)
{
  end_wait_for_request (plane, flow);
  agent_transfer_begin (&flow->transfer, packet, flow->caller_next);
  plane->agent->transfer_count++;
  continue_transfer (plane, flow, packet);
}

bool
agent_has_new_data (const struct agent_flow *flow,
                    const struct galena_packet *packet)
{
  uint32_t next = packet->sequence + packet->data_size;

  return packet->data_size > 0 && (int32_t)(next - flow->caller_next) > 0;
}

void
agent_note_request_packet (struct galena_plane *plane, struct agent_flow *flow,
                           const struct galena_packet *packet)
{
  bool is_new = agent_has_new_data (flow, packet);

  if (flow->transfer.active)
    continue_transfer (plane, flow, packet);
  else if (is_new && plane->options.load_control && !flow->running
           && !agent_transfer_is_last (packet))
    begin_transfer (plane, flow, packet);
  else if (is_new)
    agent_request_began (plane, flow);
  if (is_new)
    flow->caller_next = packet->sequence + packet->data_size;
}

void
agent_request_began (struct galena_plane *plane, struct agent_flow *flow)
{
  end_wait_for_request (plane, flow);
  if (flow->running)
    return;
  update_busy_time (plane);
  flow->running = true;
  flow->request_began = plane->now;
  agent_health_note_begin (flow);
  flow->queue_position = ++plane->agent->running_count;
  flow->finished_before = plane->agent->finished_requests;
}

/* Returns whether the answer of FLOW overtook a queue: at least as many
   requests as the upstream has slots were there before it and still are.  The
   upstream has shed it.  */
static bool
is_shed (const struct galena_plane *plane, const struct agent_flow *flow)
{
  const struct agent_tables *agent = plane->agent;
  uint32_t ahead = flow->queue_position - 1;
  uint32_t finished = agent->finished_requests - flow->finished_before;

  return agent->slots > 0 && ahead >= agent->slots + finished;
}

void
agent_answer_began (struct galena_plane *plane, struct agent_flow *flow)
{
  struct agent_tables *agent = plane->agent;

  /* The upstream has not waited for the rest.  Its work can't be measured.  */
  end_transfer (plane, flow);
  if (!flow->running)
    return;
  update_busy_time (plane);
  plane_measure (plane, GALENA_PLANE_ANSWER_MS, flow->request_began);
  flow->running = false;
  agent->running_count--;
  agent_requests_wake (plane);
  if (is_shed (plane, flow) || agent_health_note_answer (plane, flow))
    return;
  agent->finished_requests++;
  agent->estimated_at = plane->now;
  /* On average, the slots together are busy for one service time between two
     answers, whether requests queue or not.  */
  if (agent->service_us <= 0)
    agent->service_us = agent->busy_us;
  else if (agent->busy_us < SAMPLE_MAX_MS * US_PER_MS)
    agent->service_us += (agent->busy_us - agent->service_us) / MEAN_SMOOTHING;
  agent->busy_us = 0;
}

void
agent_request_dropped (struct galena_plane *plane, struct agent_flow *flow)
{
  end_wait_for_request (plane, flow);
  end_transfer (plane, flow);
  if (!flow->running)
    return;
  update_busy_time (plane);
  plane->agent->running_count--;
  agent_requests_wake (plane);
  plane->agent->finished_requests++;
  flow->running = false;
}

bool
agent_refuses_flows (const struct galena_plane *plane)
{
  return plane->draining
         || !galena_clock_reached (plane->now, plane->agent->draining_until);
}

struct galena_load
agent_load (const struct galena_plane *plane)
{
  const struct agent_tables *agent = plane->agent;
  struct health_counts health
      = upstream_health_count (&agent->health, plane->now);

  return (struct galena_load){
    .pending_requests = agent->running_count + agent->awaiting_count
                        + agent_requests_held (plane),
    .flows = agent->open_count,
    .service_us = (uint32_t)agent->service_us,
    .refuses_flows = agent_refuses_flows (plane),
    .utilisation
    = (uint32_t)(agent->utilisation * GALENA_UTILISATION_UNIT + 0.5),
    .finished = health.finished,
    .failed = health.failed,
    .transfers = agent->transfer_count,
  };
}

uint32_t
galena_plane_pending_requests (const struct galena_plane *plane)
{
  return plane->agent == NULL ? 0 : agent_load (plane).pending_requests;
}

struct galena_output *
agent_reply (struct galena_plane *plane, struct galena_endpoint peer,
             struct galena_peer_message *message)
{
  int64_t uptime_ms
      = galena_clock_elapsed_ms (plane->agent->started, plane->now);

  if (peer.ip == 0)
    return NULL;
  message->service = plane->options.service;
  message->upstream_port = plane->options.upstream_port;
  message->uptime_ms
      = uptime_ms < UINT32_MAX ? (uint32_t)uptime_ms : UINT32_MAX;
  message->load = agent_load (plane);
  return plane_send_message (plane, peer, message);
}

static void
send_load (struct galena_plane *plane, struct member *member)
{
  struct galena_peer_message message
      = { .type = GALENA_PEER_LOAD,
          .sequence = agent_upstream_has_ended (plane) };

  agent_reply (plane, member->address, &message);
}

static void
send_load_if_recent (struct galena_plane *plane, struct member *member)
{
  if (member->last_open.ms != 0
      && galena_clock_elapsed_ms (member->last_open, plane->now)
             < RECENT_OPEN_MS)
    send_load (plane, member);
}

/* Stops waiting for the first requests of flows that were opened at another
   upstream.  */
static void
expire_waits_for_request (struct galena_plane *plane)
{
  struct agent_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (plane->agent->awaiting_count == 0)
    return;
  while ((flow = galena_table_next (plane->agent->flows, &cursor, &handle))
         != NULL)
    if (flow->awaiting_request
        && galena_clock_elapsed_ms (flow->opened_at, plane->now)
               > FIRST_REQUEST_TIMEOUT_MS)
      end_wait_for_request (plane, flow);
}

void
agent_run_load (struct galena_plane *plane)
{
  struct galena_load load;
  bool refusal_changed;

  expire_waits_for_request (plane);
  update_busy_time (plane);
  load = agent_load (plane);
  refusal_changed = load.refuses_flows != plane->agent->reported.refuses_flows;

  if (load.pending_requests == plane->agent->reported.pending_requests
      && !refusal_changed)
    return;
  plane->agent->reported = load;
  /* No entry has lately sent a flow to an upstream that was leaving, and it
     may have no other one now.  */
  if (refusal_changed)
    members_visit (plane, &plane->report_cursor,
                   galena_table_count (plane->members), send_load);
  else
    members_visit (plane, &plane->report_cursor, PLANE_REPORTS_MAX,
                   send_load_if_recent);
}

static void
expire_estimate (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;

  if (agent->running_count > 0
      || galena_clock_elapsed_ms (agent->estimated_at, plane->now)
             < ESTIMATE_VALID_MS)
    return;
  agent->service_us = 0;
  agent->busy_us = 0;
}

void
agent_run_periodic_load (struct galena_plane *plane)
{
  expire_estimate (plane);
  /* The last reports go to all, since none may follow.  */
  members_visit (plane, &plane->member_cursor,
                 plane->draining ? galena_table_count (plane->members)
                                 : PLANE_REPORTS_MAX,
                 send_load);
}
