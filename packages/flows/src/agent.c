/* The role of an agent: its tables, handlers and systems.  */

#include <stdlib.h>

#include "agent_requests.h"

enum
{
  SILENCE_PERIOD_MS = 25,
  LOAD_PERIOD_MS = 25,
  HEALTH_PERIOD_MS = 100,
  HEARTBEAT_PERIOD_MS = 500,
  EXPIRE_PERIOD_MS = 1000,
  /* An upstream counts as draining for this long after an entry reported it:
     six periods of an entry's hello.  */
  DRAINING_MS = 3000,
  /* It counts as not published for this long after an entry reported it, or
     until one reports the contrary.  */
  EVIDENCE_MS = 3000,
  /* The newest start that entries have reported is forgotten after this time
     without such a report: several rounds of hellos to all agents.  */
  START_VALID_MS = 10000,
  /* An upstream that started at most this long before its agent has had no
     other agent: an instance starts its processes within a few milliseconds
     of each other, while it restarts one that has ended only after half a
     second.  */
  SAME_START_MS = 100
};

/* Applies STARTED_UNIX_MS, the start of the upstream as an entry reports it.
   The upstream may have started again at the same address.  Returns false when
   a newer incarnation has been reported lately.  */
static bool
apply_start (struct galena_plane *plane, uint64_t started_unix_ms)
{
  struct agent_tables *agent = plane->agent;

  if (started_unix_ms < agent->upstream_started_unix_ms
      && !galena_clock_reached (plane->now, agent->start_valid_until))
    return false;
  if (started_unix_ms > agent->upstream_started_unix_ms)
    agent->draining_until = plane->now;
  agent->upstream_started_unix_ms = started_unix_ms;
  agent->start_valid_until = galena_clock_add_ms (plane->now, START_VALID_MS);
  return true;
}

/* Judges from MESSAGE, an entry's hello, whether the upstream started with
   this process or later.  Packets reach the upstream only through its agent,
   which then has seen all of its flows.

   The clock of the instance may have been stepped between the two starts, so
   two findings disprove what the clock says: a start that lies in the future
   when it is first heard of, and an entry that knew it before this process
   started.

   With CERTAIN unset, the start is the latest of several registrations that
   may all be that of the upstream: after a loss of power the old one stands
   beside the new one for seconds.  Only a start at the same time as the
   agent's own is then that of the upstream, since no other writer knows when
   the instance starts.  */
static void
judge_start (struct galena_plane *plane,
             const struct galena_peer_message *message, bool certain)
{
  struct agent_tables *agent = plane->agent;
  int64_t uptime_ms = galena_clock_elapsed_ms (agent->started, plane->now);
  uint64_t own = plane->options.started_unix_ms;
  uint64_t latest = own + (certain ? (uint64_t)uptime_ms : 0) + SAME_START_MS;
  uint64_t start = message->started_unix_ms;

  /* An earlier start than the judged one is reported by an entry that does not
     know of the newer one yet.  */
  if (own == 0 || start == 0 || start < agent->judged_start_unix_ms
      || (!certain && start > latest))
    return;
  if (start > agent->judged_start_unix_ms)
    {
      agent->judged_start_unix_ms = start;
      agent->started_with_upstream
          |= start + SAME_START_MS >= own && start <= latest;
    }
  /* An upstream is published as soon as it starts.  */
  if (message->start_known_ms > uptime_ms + SAME_START_MS)
    agent->started_with_upstream = false;
}

/* Notes what the published STATE says on whether the upstream has ended.  */
static void
note_evidence (struct galena_plane *plane, enum galena_published_state state)
{
  struct agent_tables *agent = plane->agent;
  enum agent_evidence evidence = EVIDENCE_NONE;

  if (state != GALENA_PUBLISHED_ABSENT)
    agent->was_draining = state == GALENA_PUBLISHED_DRAINING;
  else
    evidence = agent->was_draining ? EVIDENCE_LEFT : EVIDENCE_UNPUBLISHED;
  if (evidence != agent->evidence
      || galena_clock_reached (plane->now, agent->evidence_until))
    agent->evidence_since = plane->now;
  agent->evidence = evidence;
  agent->evidence_until = galena_clock_add_ms (plane->now, EVIDENCE_MS);
}

/* Applies what an entry reports as published of the upstream.  */
static void
apply_published (struct galena_plane *plane,
                 const struct galena_peer_message *message)
{
  struct agent_tables *agent = plane->agent;
  bool certain = message->sequence == 0 && message->started_unix_ms != 0;

  if (message->slots != 0)
    agent->slots = message->slots;
  note_evidence (plane, message->published_state);
  if (message->published_state != GALENA_PUBLISHED_ABSENT)
    judge_start (plane, message, certain);
  if (message->published_state == GALENA_PUBLISHED_ABSENT
      || (certain && !apply_start (plane, message->started_unix_ms))
      || message->published_state != GALENA_PUBLISHED_DRAINING)
    return;
  if (!agent_refuses_flows (plane))
    plane_log_event (plane, (struct galena_plane_logged_event){
                                .event = GALENA_EVENT_UPSTREAM,
                                .agent = plane->options.self,
                                .version = message->started_unix_ms,
                                .age_ms = -1,
                                .detail = GALENA_PUBLISHED_DRAINING });
  agent->draining_until = galena_clock_add_ms (plane->now, DRAINING_MS);
}

/* An entry that has no report of this agent yet may take the registration of
   something else for that of the upstream.  */
static bool
is_about_upstream (const struct galena_plane *plane,
                   const struct galena_peer_message *message)
{
  return message->service == plane->options.service
         && message->upstream_port == plane->options.upstream_port;
}

static void
on_hello (struct galena_plane *plane, struct galena_endpoint peer,
          const struct galena_peer_message *message)
{
  if (is_about_upstream (plane, message))
    {
      apply_published (plane, message);
      agent_apply_zone_state (plane, message->zone_state);
      agent_apply_warm_up (plane, message);
    }
  members_on_hello (plane, peer, message);
}

static const struct plane_system SYSTEMS[] = {
  { "requests", 0, agent_run_requests },
  { "silence", SILENCE_PERIOD_MS, agent_run_silence },
  { "health", HEALTH_PERIOD_MS, agent_run_health },
  { "load", LOAD_PERIOD_MS, agent_run_load },
  { "announce", PLANE_REPORT_PERIOD_MS, agent_run_periodic_load },
  { "expire", EXPIRE_PERIOD_MS, agent_run_expire },
  { "members", HEARTBEAT_PERIOD_MS, members_run },
};

static void
destroy (struct galena_plane *plane)
{
  if (plane->agent == NULL)
    return;
  agent_requests_destroy (plane);
  galena_table_destroy (plane->agent->flows);
  galena_map_destroy (plane->agent->flows_by_key);
  free (plane->agent);
  plane->agent = NULL;
}

static enum galena_result
create (struct galena_plane *plane)
{
  struct galena_table_options rows
      = { sizeof (struct agent_flow), plane->options.flows };
  struct galena_map_options keys
      = { plane->options.flows, plane->options.seed };
  struct agent_tables *agent = calloc (1, sizeof *agent);
  enum galena_result result;

  if (agent == NULL)
    return GALENA_ERR_MEMORY;
  plane->agent = agent;
  agent->knows_all_flows = plane->options.first_start;
  result = galena_table_create (&rows, &agent->flows);
  if (result == GALENA_OK)
    result = galena_map_create (&keys, &agent->flows_by_key);
  if (result == GALENA_OK && plane->options.load_control)
    result = agent_requests_create (plane);
  return result;
}

static void
after_pause (struct galena_plane *plane, int64_t gap_ms)
{
  (void)plane;
  (void)gap_ms;
}

static uint32_t
flow_count (const struct galena_plane *plane)
{
  return galena_table_count (plane->agent->flows);
}

_Static_assert(sizeof SYSTEMS / sizeof SYSTEMS[0] <= PLANE_SYSTEMS_MAX,
               "a plane has a due time for each system");

const struct plane_role agent_plane_role = {
  .create = create,
  .destroy = destroy,
  .after_pause = after_pause,
  .flow_count = flow_count,
  .packets = { [GALENA_SIDE_APPLICATION] = agent_on_packet },
  .messages = {
    [GALENA_PEER_OPEN] = agent_on_open,
    [GALENA_PEER_FORWARD] = agent_on_forward,
    [GALENA_PEER_QUERY] = agent_on_query,
    [GALENA_PEER_QUERY_MANY] = agent_on_query_many,
    [GALENA_PEER_PROBE] = agent_on_probe,
    [GALENA_PEER_SPREAD] = agent_on_spread,
    [GALENA_PEER_HELLO] = on_hello,
    [GALENA_PEER_MEMBERS] = members_on_list,
  },
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
