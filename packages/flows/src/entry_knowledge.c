/* Whether an entry knows enough agents to conclude that no upstream holds a
   flow.

   The directory does not name all upstreams that live: a registration may have
   lapsed while the platform was down, may be unreadable, or belong to a
   service that no route leads to any more.  An entry that runs for a while
   knows their agents all the same, since agents announce themselves to all
   entries.  One that has started, or was paused, asks the others.  They list
   all that they would ask about a flow themselves, whatever their directory
   says, since that of the asking entry may differ.

   Until then it resets no unknown flow.  It has asked everybody when an entry
   that runs for long enough to know all agents has listed them, when each
   agent has had the time to announce itself, or when all processes have
   started at the same time: all seeds have replied that they have just started
   too, and no agent has been heard that runs for longer.  */

#include <galenaford/agent_list.h>

#include "entry_tables.h"

_Static_assert(ENTRY_UPSTREAMS_MAX
                   <= GALENA_AGENT_LIST_MAX * GALENA_AGENT_LIST_PARTS_MAX,
               "a list names all agents that an entry can know");

enum
{
  /* Time in which each agent finds an entry by its seeds and announces itself
     to it, or longer where many entries share the announcements.  */
  ANNOUNCED_MS = 3000,
  /* When all seeds have just started as well, other entries may still reply
     within this time.  */
  REPLIES_MS = 100,
  /* Processes that start after the same loss of power start within this
     time.  */
  START_SPREAD_MS = 2000,
  /* The parts of a list arrive within this time, in which lists of other
     senders are not put together: the period of the questions.  */
  PARTS_MS = 500
};

/* What the sender of a list of agents knows; the sequence number of the
   message.  */
enum list_kind
{
  /* It has just started itself.  */
  LIST_PARTIAL,
  /* The list has all agents.  */
  LIST_COMPLETE
};

void
entry_ask_for_agents (struct galena_plane *plane)
{
  plane->entry->knowledge = (struct agent_knowledge){ .since = plane->now };
  plane->asks_for_agents = true;
}

/* Returns whether all seeds other than this entry have replied that they know
   no more agents; with no other seed, nobody can be asked.  */
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

static bool
is_alone (const struct galena_plane *plane)
{
  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip != plane->options.self.ip)
      return false;
  return true;
}

/* Returns the milliseconds for which agents could announce themselves to this
   entry.  */
static int64_t
listened_ms (const struct galena_plane *plane)
{
  return galena_clock_elapsed_ms (plane->entry->knowledge.since, plane->now);
}

/* Returns whether an agent was heard that started before this entry asked, and
   not after the same loss of power: others may run on as well, and have not
   announced themselves yet.  */
static bool
has_older_agent (const struct galena_plane *plane)
{
  int64_t asked_ms = plane->entry->knowledge.since.ms;
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (upstream->last_seen.ms != 0
        && upstream->agent_started.ms + START_SPREAD_MS < asked_ms)
      return true;
  return false;
}

/* Returns whether each agent has had the time to announce itself to this
   entry, also if one announcement was lost.  */
static bool
has_heard_all (const struct galena_plane *plane)
{
  int64_t ms = 2 * members_report_interval_ms (plane) + PLANE_REPORT_PERIOD_MS;

  return listened_ms (plane) >= (ms > ANNOUNCED_MS ? ms : ANNOUNCED_MS);
}

bool
entry_knows_agents (const struct galena_plane *plane)
{
  const struct agent_knowledge *knowledge = &plane->entry->knowledge;

  if (knowledge->since.ms == 0)
    return false;
  if (knowledge->listed || has_heard_all (plane))
    return true;
  if (!is_alone (plane)
      && (listened_ms (plane) < REPLIES_MS || !seeds_know_no_more (plane)))
    return false;
  return !has_older_agent (plane);
}

void
entry_run_knowledge (struct galena_plane *plane)
{
  if (plane->entry->knowledge.since.ms == 0)
    entry_ask_for_agents (plane);
  plane->asks_for_agents = !entry_knows_agents (plane);
}

/* Returns whether a search of this entry asks the agent of UPSTREAM.  */
static bool
is_listed (const struct galena_plane *plane,
           const struct upstream_row *upstream)
{
  return !entry_is_gone (plane, upstream)
         && !entry_has_ended (plane, upstream);
}

/* Fills LIST with the agents of the rows from *CURSOR on, as many as a part
   has.  */
static void
fill_part (const struct galena_plane *plane, uint32_t *cursor,
           struct galena_agent_list *list)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;

  list->count = 0;
  while (list->count < GALENA_AGENT_LIST_MAX
         && (upstream
             = galena_table_next (plane->entry->upstreams, cursor, &handle))
                != NULL)
    if (is_listed (plane, upstream))
      list->agents[list->count++] = upstream->agent.ip;
}

/* Returns the number of parts of a list of all agents.  */
static uint16_t
count_parts (const struct galena_plane *plane)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    count += is_listed (plane, upstream);
  if (count == 0)
    return 1;
  return (uint16_t)((count + GALENA_AGENT_LIST_MAX - 1)
                    / GALENA_AGENT_LIST_MAX);
}

void
entry_send_agents (struct galena_plane *plane, struct galena_endpoint peer)
{
  struct galena_peer_message message
      = { .type = GALENA_PEER_AGENTS,
          .sequence = has_heard_all (plane) ? LIST_COMPLETE : LIST_PARTIAL };
  struct galena_agent_list list
      = { .number = ++plane->entry->list_number, .parts = 1 };
  uint32_t cursor = 0;

  /* One part of a list that is not complete does: it is no reason to reset a
     flow, and after a loss of power all entries ask each other.  */
  if (message.sequence == LIST_COMPLETE)
    list.parts = count_parts (plane);
  for (list.part = 0; list.part < list.parts; list.part++)
    {
      struct galena_output *output
          = plane_send_message (plane, peer, &message);

      if (output == NULL)
        return;
      fill_part (plane, &cursor, &list);
      output->packet_copy_size
          = galena_agent_list_write (output->packet_copy, &list);
    }
}

/* Notes that LIST, a part of a complete list, came from PEER.  */
static void
note_part (struct galena_plane *plane, struct galena_endpoint peer,
           const struct galena_agent_list *list)
{
  struct agent_knowledge *knowledge = &plane->entry->knowledge;
  bool same = knowledge->parts_from == peer.ip
              && knowledge->parts_number == list->number;

  if (!same && list->parts > 1 && knowledge->parts_from != 0
      && galena_clock_elapsed_ms (knowledge->parts_since, plane->now)
             < PARTS_MS)
    return;
  if (!same)
    {
      knowledge->parts_from = peer.ip;
      knowledge->parts_number = list->number;
      knowledge->parts_since = plane->now;
      knowledge->parts_seen = 0;
    }
  knowledge->parts_seen |= 1U << list->part;
  if (knowledge->parts_seen == (1U << list->parts) - 1)
    knowledge->listed = true;
}

static void
add_listed (struct galena_plane *plane, uint32_t ip)
{
  struct galena_handle handle;
  struct upstream_row *upstream = entry_upstream_at (plane, ip, &handle);

  if (upstream == NULL)
    upstream = entry_upstream_add (plane, ip, &handle);
  if (upstream != NULL)
    entry_apply_listed (plane, upstream);
}

void
entry_on_agents (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct agent_knowledge *knowledge = &plane->entry->knowledge;
  struct galena_agent_list list;

  if (!galena_agent_list_read (message->bytes, message->size, &list))
    {
      plane_count (plane, GALENA_PLANE_MALFORMED);
      return;
    }
  for (uint32_t i = 0; i < list.count; i++)
    add_listed (plane, list.agents[i]);
  if (message->sequence == LIST_COMPLETE)
    {
      note_part (plane, peer, &list);
      return;
    }
  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip == peer.ip)
      knowledge->partial_seeds |= 1U << i;
  /* Another entry may know all.  */
  if (plane->asks_for_agents)
    members_greet (plane);
}
