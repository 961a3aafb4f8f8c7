/* What an agent sees of requests that its upstream fails, without reading
   them.  A caller that goes away is no failure of the upstream.  */

#include "agent_tables.h"

enum
{
  /* An open that is neither accepted nor returned by then has failed: an
     upstream on the same instance replies within a few milliseconds, and the
     entry has tried another one after 180 ms at most.  */
  ACCEPT_EXPECTED_MS = 250,
  /* A longer time between two runs of the system, four periods, is a pause of
     this process: replies may wait to be read.  */
  HEALTH_PAUSE_MS = 400,
  /* An answer to a request that found a free slot is quick if it began within
     this time and in less than this part of the usual time.  The upstream has
     not done the work: it has shed the request although it is not full.  The
     first bound keeps an upstream that is itself again after it was slow from
     being taken for one that sheds.  */
  QUICK_MAX_MS = 3,
  QUICK_DIVISOR = 8,
  /* The clock of a plane can't tell shorter usual times in milliseconds from a
     quick answer.  */
  USUAL_MIN_MS = 8,
  /* Moving average of the usual time: a new sample has a weight of one in this
     many, a longer one in fewer, so that what the work takes prevails over
     answers of requests that were shed.  */
  USUAL_SMOOTHING = 16,
  USUAL_SMOOTHING_LONGER = 4,
  /* After this many quick answers in a row, the usual time is learnt anew: the
     upstream may really be as quick.  One that sheds four of five requests
     does not get there.  */
  QUICK_IN_ROW_MAX = 64
};

/* Counts a request or an open that failed for REASON.  */
static void
note_failure (struct galena_plane *plane, enum galena_plane_counter reason)
{
  if (!plane->options.load_control)
    return;
  plane_count (plane, reason);
  upstream_health_add (&plane->agent->health, plane->now, true);
}

void
agent_health_note_data (struct galena_plane *plane, struct agent_flow *flow,
                        bool is_new)
{
  /* The gaps of an upload are filled by retransmissions.  Those of other
     requests are no progress: they show that an answer is missing.  */
  if (is_new || flow->work.kind == GALENA_WORK_UPLOAD)
    flow->data_at = plane->now;
}

void
agent_health_note_begin (struct agent_flow *flow)
{
  flow->overdue = false;
}

/* Returns whether the answer of FLOW, whose request found a free slot, begins
   too soon for the work to be done.  */
static bool
note_usual_time (struct galena_plane *plane, const struct agent_flow *flow)
{
  struct agent_tables *agent = plane->agent;
  double ms
      = (double)galena_clock_elapsed_ms (flow->request_began, plane->now);

  if (agent->usual_ms >= USUAL_MIN_MS && ms <= QUICK_MAX_MS
      && ms * QUICK_DIVISOR < agent->usual_ms)
    {
      if (++agent->quick_in_row <= QUICK_IN_ROW_MAX)
        return true;
      agent->usual_ms = 0;
    }
  agent->quick_in_row = 0;
  if (agent->usual_ms <= 0)
    agent->usual_ms = ms;
  else
    agent->usual_ms
        += (ms - agent->usual_ms)
           / (ms > agent->usual_ms ? USUAL_SMOOTHING_LONGER : USUAL_SMOOTHING);
  return false;
}

bool
agent_health_note_answer (struct galena_plane *plane, struct agent_flow *flow)
{
  const struct agent_tables *agent = plane->agent;
  bool was_overdue = flow->overdue;

  flow->overdue = false;
  if (!plane->options.load_control || was_overdue)
    return false;
  if (agent->slots > 0 && flow->queue_position <= agent->slots
      && note_usual_time (plane, flow))
    {
      note_failure (plane, GALENA_PLANE_QUICK_ANSWERS);
      return true;
    }
  upstream_health_add (&plane->agent->health, plane->now, false);
  return false;
}

void
agent_health_note_reset (struct galena_plane *plane,
                         const struct agent_flow *flow)
{
  if (flow->running && !flow->overdue && !flow->caller_ended)
    note_failure (plane, GALENA_PLANE_RESET_REQUESTS);
}

void
agent_health_note_returned_open (struct galena_plane *plane,
                                 const struct agent_flow *flow)
{
  const struct agent_tables *agent = plane->agent;
  bool full = agent->slots > 0 && agent->running_count > agent->slots;

  if (flow->state == AGENT_FLOW_HALF_OPEN && !flow->accepted
      && !flow->open_overdue && !full)
    note_failure (plane, GALENA_PLANE_RETURNED_OPENS);
}

static bool
has_waited (const struct galena_plane *plane, struct galena_clock since,
            int64_t limit_ms)
{
  struct galena_clock from = plane->agent->waits_from;

  return galena_clock_elapsed_ms (since.ms > from.ms ? since : from,
                                  plane->now)
         > limit_ms;
}

/* Counts FLOW once if its open or its request has waited too long.  */
static void
check_flow (struct galena_plane *plane, struct agent_flow *flow)
{
  if (flow->state == AGENT_FLOW_HALF_OPEN && !flow->accepted
      && !flow->open_overdue && !flow->caller_ended
      && has_waited (plane, flow->opened_at, ACCEPT_EXPECTED_MS))
    {
      flow->open_overdue = true;
      note_failure (plane, GALENA_PLANE_UNACCEPTED_OPENS);
    }
  if (flow->running && !flow->overdue && !flow->caller_ended
      && has_waited (plane, flow->data_at,
                     upstream_health_overdue_ms (plane->agent->service_us,
                                                 flow->work.timeout_ms)))
    {
      flow->overdue = true;
      note_failure (plane, GALENA_PLANE_OVERDUE_REQUESTS);
    }
}

void
agent_run_health (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;
  struct agent_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (!plane->options.load_control)
    return;
  if (galena_clock_elapsed_ms (agent->health_run_at, plane->now)
      > HEALTH_PAUSE_MS)
    agent->waits_from = plane->now;
  agent->health_run_at = plane->now;
  while ((flow = galena_table_next (agent->flows, &cursor, &handle)) != NULL)
    check_flow (plane, flow);
}
