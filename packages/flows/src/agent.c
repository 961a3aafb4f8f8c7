/* The role of an agent: its tables, handlers and systems.  */

#include <stdlib.h>

#include "agent_tables.h"

enum
{
  LOAD_PERIOD_MS = 25,
  ANNOUNCE_PERIOD_MS = 500,
  EXPIRE_PERIOD_MS = 1000,
  /* An upstream counts as draining for so long after an entry said so: six
     hellos of one.  */
  DRAINING_MS = 3000,
  /* An instance starts its processes within some milliseconds, and one that
     has ended half a second later again: an upstream that was born before its
     agent by less than this has had no other agent.  */
  TOGETHER_MS = 100
};

/* Takes what an entry knows of the upstream, which may have started again at
   the same address.  */
static void
take_listing (struct galena_plane *plane,
              const struct galena_peer_message *message)
{
  struct agent_tables *agent = plane->agent;

  if (message->listing == GALENA_LISTING_ABSENT
      || message->born_ms < agent->born_ms)
    return;
  if (message->born_ms > agent->born_ms)
    agent->draining_until = plane->now;
  agent->born_ms = message->born_ms;
  /* Packets reach the upstream through its agent alone.  */
  if (plane->options.started_unix_ms != 0
      && message->born_ms + TOGETHER_MS >= plane->options.started_unix_ms)
    agent->complete = true;
  if (message->listing != GALENA_LISTING_DRAINING)
    return;
  if (!agent_is_leaving (plane))
    plane_note (plane, (struct galena_plane_note){
                           .event = GALENA_EVENT_UPSTREAM,
                           .agent = plane->options.self,
                           .version = message->born_ms,
                           .age_ms = -1,
                           .detail = GALENA_LISTING_DRAINING });
  agent->draining_until = galena_clock_add_ms (plane->now, DRAINING_MS);
}

static void
take_hello (struct galena_plane *plane, struct galena_endpoint peer,
            const struct galena_peer_message *message)
{
  if (message->slots != 0)
    plane->agent->slots = message->slots;
  take_listing (plane, message);
  members_take_hello (plane, peer, message);
}

static const struct plane_system SYSTEMS[] = {
  { "load", LOAD_PERIOD_MS, agent_run_load },
  { "announce", ANNOUNCE_PERIOD_MS, agent_run_announce },
  { "expire", EXPIRE_PERIOD_MS, agent_run_expire },
  { "members", ANNOUNCE_PERIOD_MS, members_run },
};

static void
destroy (struct galena_plane *plane)
{
  if (plane->agent == NULL)
    return;
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
  agent->complete = plane->options.first_start;
  result = galena_table_create (&rows, &agent->flows);
  if (result == GALENA_OK)
    result = galena_map_create (&keys, &agent->flows_by_key);
  return result;
}

static void
wake (struct galena_plane *plane, int64_t gap_ms)
{
  (void)plane;
  (void)gap_ms;
}

static uint32_t
flow_count (const struct galena_plane *plane)
{
  return galena_table_count (plane->agent->flows);
}

const struct plane_role agent_plane_role = {
  .create = create,
  .destroy = destroy,
  .wake = wake,
  .flow_count = flow_count,
  .packets = { [GALENA_LINK_APPLICATION] = agent_take_packet },
  .messages = {
    [GALENA_PEER_OPEN] = agent_take_open,
    [GALENA_PEER_FORWARD] = agent_take_forward,
    [GALENA_PEER_ASK] = agent_take_ask,
    [GALENA_PEER_FIND] = agent_take_find,
    [GALENA_PEER_HELLO] = take_hello,
    [GALENA_PEER_MEMBERS] = members_take_list,
  },
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
