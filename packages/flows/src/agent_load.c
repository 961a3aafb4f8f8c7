/* What an agent sees of its upstream, and telling it to entries.  */

#include <string.h>

#include "agent_tables.h"

enum
{
  /* Part of a new sample in the mean of the service time: one in so many.  */
  MEAN_SHARE = 16,
  /* Longest time that counts as a sample; a longer one is an upstream that
     was paused or cut off.  */
  SAMPLE_MAX_MS = 10000,
  /* The first request of a flow comes within the way to the caller and back,
     some 10 ms; a flow without one was opened at another upstream.  */
  REQUEST_DUE_MS = 100,
  /* Entries that sent an open this lately are told each change of load.  */
  INTERESTED_MS = 1000,
  /* Entries that are told in one round.  */
  ROUND_MAX = 16,
  US_PER_MS = 1000
};

/* Brings the busy time up to now.  */
static void
note_busy (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;
  uint32_t slots = agent->slots > 0 ? agent->slots : 1;
  uint32_t busy = agent->running < slots ? agent->running : slots;

  agent->busy_us
      += (double)galena_clock_elapsed_ms (agent->busy_at, plane->now) * busy
         * US_PER_MS;
  agent->busy_at = plane->now;
}

static void
end_half (struct galena_plane *plane, struct agent_flow *flow)
{
  if (flow->half)
    plane->agent->half--;
  flow->half = false;
}

void
agent_request_expected (struct galena_plane *plane, struct agent_flow *flow)
{
  flow->half = true;
  flow->half_since = plane->now;
  plane->agent->half++;
}

void
agent_request_began (struct galena_plane *plane, struct agent_flow *flow)
{
  end_half (plane, flow);
  if (flow->running)
    return;
  note_busy (plane);
  flow->running = true;
  flow->request_began = plane->now;
  flow->rank = ++plane->agent->running;
}

/* Tells whether the answer of FLOW came too early for a request that had to
   queue: the upstream shed it.  */
static bool
is_shed (const struct galena_plane *plane, const struct agent_flow *flow)
{
  const struct agent_tables *agent = plane->agent;
  double took_us
      = (double)galena_clock_elapsed_ms (flow->request_began, plane->now)
        * US_PER_MS;

  return agent->slots > 0 && flow->rank > agent->slots
         && took_us < agent->service_us / 2;
}

void
agent_answer_began (struct galena_plane *plane, struct agent_flow *flow)
{
  struct agent_tables *agent = plane->agent;

  if (!flow->running)
    return;
  note_busy (plane);
  plane_measure (plane, GALENA_PLANE_ANSWER_MS, flow->request_began);
  flow->running = false;
  agent->running--;
  if (is_shed (plane, flow))
    return;
  /* On average the slots are busy for one service time between two answers,
     whether requests queue or not.  */
  if (agent->service_us <= 0)
    agent->service_us = agent->busy_us;
  else if (agent->busy_us < SAMPLE_MAX_MS * US_PER_MS)
    agent->service_us += (agent->busy_us - agent->service_us) / MEAN_SHARE;
  agent->busy_us = 0;
}

void
agent_request_dropped (struct galena_plane *plane, struct agent_flow *flow)
{
  end_half (plane, flow);
  if (!flow->running)
    return;
  note_busy (plane);
  plane->agent->running--;
  flow->running = false;
}

bool
agent_is_leaving (const struct galena_plane *plane)
{
  return plane->draining
         || !galena_clock_reached (plane->now, plane->agent->draining_until);
}

struct galena_load
agent_load (const struct galena_plane *plane)
{
  const struct agent_tables *agent = plane->agent;

  return (struct galena_load){
    .running = agent->running + agent->half,
    .flows = agent->open,
    .service_us = (uint32_t)agent->service_us,
    .leaving = agent_is_leaving (plane),
  };
}

uint32_t
galena_plane_running (const struct galena_plane *plane)
{
  return plane->agent == NULL ? 0 : agent_load (plane).running;
}

void
agent_reply (struct galena_plane *plane, struct galena_endpoint peer,
             struct galena_peer_message *message)
{
  if (peer.ip == 0)
    return;
  message->service = plane->options.service;
  message->load = agent_load (plane);
  plane_send_message (plane, peer, message);
}

static void
tell (struct galena_plane *plane, struct member *member)
{
  struct galena_peer_message message = { .type = GALENA_PEER_LOAD };

  agent_reply (plane, member->address, &message);
}

static void
tell_interested (struct galena_plane *plane, struct member *member)
{
  if (member->opened.ms != 0
      && galena_clock_elapsed_ms (member->opened, plane->now) < INTERESTED_MS)
    tell (plane, member);
}

/* Stops to expect requests of flows that were opened elsewhere after all.  */
static void
expire_half (struct galena_plane *plane)
{
  struct agent_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (plane->agent->half == 0)
    return;
  while ((flow = galena_table_next (plane->agent->flows, &cursor, &handle))
         != NULL)
    if (flow->half
        && galena_clock_elapsed_ms (flow->half_since, plane->now)
               > REQUEST_DUE_MS)
      end_half (plane, flow);
}

void
agent_run_load (struct galena_plane *plane)
{
  struct galena_load load;

  expire_half (plane);
  load = agent_load (plane);

  if (load.running == plane->agent->told.running
      && load.leaving == plane->agent->told.leaving)
    return;
  plane->agent->told = load;
  members_visit (plane, ROUND_MAX, tell_interested);
}

void
agent_run_announce (struct galena_plane *plane)
{
  members_visit (plane, ROUND_MAX, tell);
}
