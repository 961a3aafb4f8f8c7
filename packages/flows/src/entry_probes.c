/* Probes of searches to agents that are unsure.  Where several agents need the
   same packet, it crosses the entry's link once: one of the agents, whose link
   is faster, hands it to the others.

   A probe costs an agent four packets.  Each entry has at most a few of them
   under way to each agent, so that queues at agents stay short; most agents
   are told the start of their upstream before they have answered all.  */

#include <galenaford/probe_spread.h>

#include "entry_tables.h"

enum
{
  /* Fewer agents are sent the packet by the entry itself.  */
  SPREAD_MIN = 3,
  /* Bytes of a message besides its body, including the headers of its
     datagram.  */
  HEADER_BYTES = 120,
  AGENT_BYTES = 4,
  /* Probes of this entry under way to one agent.  With 20 or 32 fewer searches
     of test_outage ended in time, since agents spend their processor on
     probes that a registration makes needless.  */
  PROBES_OUT_MAX = 12,
  /* Interval at which half of them count as lost: twice the time that an agent
     takes for the probes of all entries, some 100 ms.  */
  PROBES_HALVED_MS = 200,
  /* Maximum number of upstreams that one run looks at, for each of the
     searches that it sends probes for: takes some 20 us.  */
  ROWS_MAX = 4096,
  /* The same for the searches that do not go first, as a part of that.  */
  OTHERS_PART = 4
};

void
entry_probe_sent (struct galena_plane *plane, struct search_row *search,
                  struct galena_handle handle)
{
  struct upstream_row *upstream = entry_upstream (plane, handle);

  entry_search_set_probed (search, handle);
  if (upstream != NULL)
    upstream->probes_out++;
}

void
entry_probe_answered (struct galena_plane *plane, struct galena_handle handle)
{
  struct upstream_row *upstream = entry_upstream (plane, handle);

  if (upstream != NULL && upstream->probes_out > 0)
    upstream->probes_out--;
}

/* Returns whether the agent of UPSTREAM keeps up with probes.  Those that are
   lost are not answered, so half of the count is forgotten at intervals.  */
static bool
takes_probe (const struct galena_plane *plane, struct upstream_row *upstream)
{
  if (galena_clock_elapsed_ms (upstream->probes_halved_at, plane->now)
      > PROBES_HALVED_MS)
    {
      upstream->probes_out /= 2;
      upstream->probes_halved_at = plane->now;
    }
  return upstream->probes_out < PROBES_OUT_MAX;
}

/* Returns the next agent that was heard lately, round robin; NULL when there
   is none.  */
static const struct upstream_row *
next_live_agent (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  uint32_t left = galena_table_count (entry->upstreams) + 1;
  const struct upstream_row *upstream;
  struct galena_handle handle;

  for (; left > 0; left--)
    {
      upstream = galena_table_next (entry->upstreams, &entry->spread_cursor,
                                    &handle);
      if (upstream == NULL)
        entry->spread_cursor = 0;
      else if (!entry_agent_is_away (plane, upstream))
        return upstream;
    }
  return NULL;
}

/* Adds to SPREAD, and as handles to HANDLES, the unsure agents that need the
   packet of SEARCH and keep up, at most LIMIT; returns whether there are
   more.  */
static bool
find_unsure (struct galena_plane *plane, const struct search_row *search,
             struct galena_probe_spread *spread, struct galena_handle *handles,
             uint32_t limit)
{
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  bool more = false;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (galena_clock_reached (plane->now, upstream->unsure_until)
          || !entry_search_needs_probe (search, handle))
        continue;
      if (spread->count == limit || !takes_probe (plane, upstream))
        {
          more = true;
          continue;
        }
      handles[spread->count] = handle;
      spread->agents[spread->count++] = upstream->agent.ip;
    }
  return more;
}

/* Sends the packet of SEARCH to the agents that are unsure, were queried and
   got none since, and keep up; returns false when some are left.  */
static bool
send_probes (struct galena_plane *plane, struct search_row *search)
{
  struct galena_handle handles[GALENA_SPREAD_MAX];
  struct galena_probe_spread spread
      = { .bytes = search->bytes, .size = search->size };
  const struct entry_flow *flow = entry_flow (plane, search->flow);
  struct galena_peer_message message
      = { .type = GALENA_PEER_SPREAD, .flow = flow->key };
  const struct upstream_row *relay = next_live_agent (plane);
  uint32_t limit = galena_spread_capacity (search->size);
  struct galena_output *output;
  bool more = find_unsure (plane, search, &spread, handles,
                           limit < SPREAD_MIN ? SPREAD_MIN - 1 : limit);

  if (relay == NULL || spread.count < SPREAD_MIN)
    {
      for (uint32_t i = 0; i < spread.count; i++)
        if (!entry_search_send_probe (plane, search, handles[i]))
          return false;
      return !more;
    }
  if (!entry_search_take_tokens (plane, HEADER_BYTES + search->size
                                            + spread.count * AGENT_BYTES))
    return false;
  output = plane_send_message (plane, relay->agent, &message);
  if (output == NULL)
    return false;
  output->packet_copy_size
      = galena_spread_write (output->packet_copy, &spread);
  for (uint32_t i = 0; i < spread.count; i++)
    entry_probe_sent (plane, search, handles[i]);
  return !more;
}

/* Sends probes of the searches from *CURSOR on, until all upstreams were
   looked at for so many that there are ROWS; moves *CURSOR past the last one.
 */
static void
run_from (struct galena_plane *plane, uint32_t *cursor, uint32_t rows)
{
  struct entry_tables *entry = plane->entry;
  uint32_t each = galena_table_count (entry->upstreams);
  struct search_row *search;
  struct galena_handle row;

  for (uint32_t looked_at = 0;
       looked_at < rows && entry->search_bucket.tokens >= 0;)
    {
      search = galena_table_next (entry->searches, cursor, &row);
      if (search == NULL)
        {
          *cursor = 0;
          return;
        }
      if (!search->probes_due)
        continue;
      search->probes_due = !send_probes (plane, search);
      looked_at += each;
    }
}

void
entry_run_probes (struct galena_plane *plane)
{
  uint32_t first = 0;

  /* A flow is reset only when the last agent has denied it, so the same
     searches go first in each run.  Others go on where they stopped, in case
     the first ones wait for an agent that does not answer.  */
  run_from (plane, &first, ROWS_MAX);
  run_from (plane, &plane->entry->probe_cursor, ROWS_MAX / OTHERS_PART);
}
