/* Hand-off of opens: an agent at which a new flow would have to wait sends the
   open on to the candidate that reported the shortest wait.  */

#include "agent.h"

enum
{
  /* Most times that one open is handed off.  */
  HANDOFF_HOPS_MAX = 3,
  /* The wait of a peer must be shorter by more than this.  */
  HANDOFF_MARGIN_MS = 20
};

/* Returns the load report with the shortest wait among the candidates of
   OPEN's flow, and the record of its upstream in *UPSTREAM; NULL when no
   candidate reported.  */
static struct galena_load_report *
least_loaded (const struct galena_world *world,
              const struct galena_message *open,
              const struct galena_upstream **upstream)
{
  uint32_t chosen[GALENA_CANDIDATES_MAX];
  uint32_t count = galena_config_candidates (
      world->config, galena_agent_service (world), open->flow, chosen);
  struct galena_load_report *best = NULL;

  if (open->hash_routed && count > GALENA_HASH_ROUTED_CANDIDATES)
    count = GALENA_HASH_ROUTED_CANDIDATES;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_upstream *candidate
          = galena_config_upstream (world->config, chosen[i]);
      struct galena_load_report *report
          = galena_agent_load_report (world, candidate->number);

      if (report == NULL || candidate->number == world->options.upstream
          || (best != NULL && report->wait_ms >= best->wait_ms))
        continue;
      best = report;
      *upstream = candidate;
    }
  return best;
}

/* Returns whether an open to which this agent would reply with RESULT may be
   handed off.  An agent that is leaving or whose upstream is in backoff
   refuses instead, so that the entries learn of it.  */
static bool
may_be_handed_off (enum galena_result result)
{
  return result == GALENA_OK || result == GALENA_REFUSED_OVERLOAD
         || result == GALENA_REFUSED_CONNECTIONS;
}

/* Returns the wait here in milliseconds, which a peer's must undercut.  */
static uint32_t
wait_here_ms (const struct galena_world *world,
              const struct galena_message *open, enum galena_result result)
{
  if (result == GALENA_REFUSED_CONNECTIONS)
    return GALENA_WAIT_UNAVAILABLE_MS;
  if (!galena_agent_must_wait (world, open->kind))
    return 0;
  return galena_agent_expected_wait_ms (world, open->kind);
}

bool
galena_agent_hand_off (struct galena_world *world,
                       const struct galena_message *open,
                       enum galena_result result)
{
  struct galena_message forwarded = *open;
  const struct galena_upstream *upstream = NULL;
  struct galena_load_report *report;

  if (!may_be_handed_off (result) || open->hops >= HANDOFF_HOPS_MAX)
    return false;
  report = least_loaded (world, open, &upstream);
  if (report == NULL
      || report->wait_ms + HANDOFF_MARGIN_MS
             >= wait_here_ms (world, open, result))
    return false;
  report->wait_ms += galena_agent_added_wait_ms (world, open->kind);
  forwarded.hops++;
  if (open->entry.ip == 0)
    forwarded.entry = open->peer;
  forwarded.peer = upstream->agent;
  galena_world_count (world, GALENA_COUNT_HANDED_ON);
  galena_world_send (world, &forwarded);
  return true;
}
