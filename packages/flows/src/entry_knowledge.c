/* Whether an entry knows enough agents to conclude that no upstream holds a
   flow.

   An upstream may live without being published: its registration may have
   lapsed while the platform was down.  An entry that runs for a while knows
   its agent all the same, since agents announce themselves to all entries.
   One that has started, or was paused, asks the others for the agents that it
   may lack, and resets no unknown flow until one of them has replied that
   these are all, until all seeds have replied that they have just started too,
   or until each agent has announced itself.  */

#include "entry_tables.h"

enum
{
  /* Time in which each agent finds an entry by its seeds and announces itself
     to it.  */
  ANNOUNCED_MS = 3000,
  /* When all seeds have just started as well, other entries may still reply
     within this time.  */
  REPLIES_MS = 100,
  /* An agent counts as live if its last message is younger than this: ten
     periods of its announcement.  */
  AGENT_LIVE_MS = 5000
};

/* What the sender of a list of agents knows; the sequence number of the
   message.  */
enum list_kind
{
  /* It has just started itself.  */
  LIST_PARTIAL,
  /* All live agents that are not published are in the list.  */
  LIST_COMPLETE,
  /* There are more than fit.  */
  LIST_TRUNCATED
};

void
entry_ask_for_agents (struct galena_plane *plane)
{
  plane->entry->knowledge = (struct agent_knowledge){ .since = plane->now };
  plane->asks_for_agents = true;
}

/* Returns whether all seeds other than this entry have replied that they know
   no more agents.  */
static bool
seeds_know_no_more (const struct galena_plane *plane)
{
  const struct agent_knowledge *knowledge = &plane->entry->knowledge;

  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip != plane->options.self.ip
        && (knowledge->partial_seeds & (1U << i)) == 0)
      return false;
  return true;
}

/* Returns whether there is no seed but this entry, so that no other entry and
   no agent that is not published can be known.  */
static bool
is_alone (const struct galena_plane *plane)
{
  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip != plane->options.self.ip)
      return false;
  return true;
}

/* Returns whether what this entry waits for has happened.  */
static bool
has_asked_enough (const struct galena_plane *plane)
{
  const struct agent_knowledge *knowledge = &plane->entry->knowledge;
  int64_t ms = galena_clock_elapsed_ms (knowledge->since, plane->now);

  if (ms >= ANNOUNCED_MS || is_alone (plane))
    return true;
  return ms >= REPLIES_MS && !knowledge->truncated
         && seeds_know_no_more (plane);
}

void
entry_run_knowledge (struct galena_plane *plane)
{
  if (plane->entry->knowledge.since.ms == 0)
    entry_ask_for_agents (plane);
  if (plane->asks_for_agents && has_asked_enough (plane))
    plane->asks_for_agents = false;
}

void
entry_send_agents (struct galena_plane *plane, struct galena_endpoint peer)
{
  struct galena_peer_message list = { .type = GALENA_PEER_AGENTS };
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  bool fits = true;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (upstream->published_state != GALENA_PUBLISHED_ABSENT
          || upstream->last_seen.ms == 0
          || galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                 >= AGENT_LIVE_MS)
        continue;
      if (list.member_count == GALENA_PEER_MEMBERS_MAX)
        fits = false;
      else
        list.members[list.member_count++] = upstream->agent.ip;
    }
  if (!fits)
    list.sequence = LIST_TRUNCATED;
  else
    list.sequence = plane->asks_for_agents ? LIST_PARTIAL : LIST_COMPLETE;
  plane_send_message (plane, peer, &list);
}

void
entry_on_agents (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct agent_knowledge *knowledge = &plane->entry->knowledge;
  struct galena_handle handle;

  for (uint32_t i = 0; i < message->member_count; i++)
    if (entry_upstream_at (plane, message->members[i], &handle) == NULL)
      entry_upstream_add (plane, message->members[i], &handle);
  if (message->sequence == LIST_COMPLETE)
    plane->asks_for_agents = false;
  if (message->sequence == LIST_TRUNCATED)
    knowledge->truncated = true;
  if (message->sequence != LIST_PARTIAL)
    return;
  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip == peer.ip)
      knowledge->partial_seeds |= 1U << i;
}
