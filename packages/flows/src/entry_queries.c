/* Owner queries on their way to agents.  Queries that searches make in one
   step are collected for each agent and sent together: a single one as a
   message of its own, several about flows of one service address as a batch.
   The entry remembers the flows of the latest batches, so that a reply needs
   two bits for each.  */

#include <string.h>

#include <galenaford/query_batch.h>

#include "entry_tables.h"

enum
{
  /* Bytes of a query, including the headers of its datagram.  */
  QUERY_BYTES = 120
};

/* Returns the flow that the search at HANDLE is for; NULL when it has
   ended.  */
static const struct entry_flow *
flow_of (const struct galena_plane *plane, struct galena_handle handle)
{
  const struct search_row *search
      = galena_table_get (plane->entry->searches, handle);

  return search == NULL ? NULL : entry_flow (plane, search->flow);
}

bool
entry_query_add (struct galena_plane *plane, struct galena_handle search,
                 struct galena_handle handle)
{
  struct query_queue *queue = &plane->entry->queries;
  struct upstream_row *upstream = entry_upstream (plane, handle);
  bool first = upstream->first_query == 0;

  if (queue->count == QUERIES_MAX || queue->agent_count == QUERY_AGENTS_MAX)
    {
      entry_queries_send (plane);
      first = true;
    }
  if (!entry_search_take_tokens (plane, first ? QUERY_BYTES
                                              : GALENA_QUERY_FLOW_BYTES))
    return false;
  queue->rows[queue->count++] = (struct query_row){ .search = search };
  if (first)
    {
      upstream->first_query = queue->count;
      queue->agents[queue->agent_count++] = handle;
    }
  else
    queue->rows[upstream->last_query - 1].next = queue->count;
  upstream->last_query = queue->count;
  return true;
}

/* Moves the queued queries about flows of ADDRESS, as many as one message
   takes, from the queue of UPSTREAM to SEARCHES; returns how many.  */
static uint32_t
take_queries (struct galena_plane *plane, struct upstream_row *upstream,
              struct galena_endpoint address, struct galena_handle *searches)
{
  struct query_queue *queue = &plane->entry->queries;
  uint32_t *link = &upstream->first_query;
  uint32_t count = 0;

  while (*link != 0 && count < GALENA_QUERY_BATCH_MAX)
    {
      struct query_row *row = &queue->rows[*link - 1];
      const struct entry_flow *flow = flow_of (plane, row->search);

      if (flow != NULL
          && !galena_endpoint_equal (flow->key.service_address, address))
        {
          link = &row->next;
          continue;
        }
      if (flow != NULL)
        searches[count++] = row->search;
      *link = row->next;
    }
  return count;
}

static void
send_single (struct galena_plane *plane, const struct upstream_row *upstream,
             const struct entry_flow *flow)
{
  struct galena_peer_message query = { .type = GALENA_PEER_QUERY,
                                       .flow = flow->key,
                                       .slots = upstream->slots,
                                       .sequence = flow->acknowledged };

  plane_send_message (plane, upstream->agent, &query);
}

static void
send_batch (struct galena_plane *plane, const struct upstream_row *upstream,
            const struct query_batch *batch, struct galena_endpoint address)
{
  struct galena_peer_message message = { .type = GALENA_PEER_QUERY_MANY,
                                         .flow = { { 0, 0 }, address },
                                         .slots = upstream->slots,
                                         .sequence = batch->number };
  struct galena_output *output
      = plane_send_message (plane, upstream->agent, &message);

  if (output == NULL)
    return;
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct entry_flow *flow = flow_of (plane, batch->searches[i]);

      galena_query_put_flow (
          output->packet_copy, i,
          (struct galena_query_flow){ flow->key.caller, flow->acknowledged });
    }
  output->packet_copy_size = batch->count * GALENA_QUERY_FLOW_BYTES;
  plane_count (plane, GALENA_PLANE_QUERY_BATCHES);
}

/* Sends the queued queries to the agent of UPSTREAM, the row that HANDLE
   names.  */
static void
send_to_agent (struct galena_plane *plane, struct upstream_row *upstream,
               struct galena_handle handle)
{
  struct query_queue *queue = &plane->entry->queries;

  while (upstream->first_query != 0)
    {
      struct query_batch *batch
          = &queue->batches[(queue->last_number + 1) % QUERY_BATCHES_MAX];
      uint32_t first = upstream->first_query;
      const struct entry_flow *flow
          = flow_of (plane, queue->rows[first - 1].search);

      if (flow == NULL)
        {
          upstream->first_query = queue->rows[first - 1].next;
          continue;
        }
      batch->number = ++queue->last_number;
      batch->upstream = handle;
      batch->count = take_queries (plane, upstream, flow->key.service_address,
                                   batch->searches);
      if (batch->count == 1)
        send_single (plane, upstream, flow);
      else
        send_batch (plane, upstream, batch, flow->key.service_address);
    }
}

void
entry_queries_send (struct galena_plane *plane)
{
  struct query_queue *queue = &plane->entry->queries;

  for (uint32_t i = 0; i < queue->agent_count; i++)
    {
      struct upstream_row *upstream = entry_upstream (plane, queue->agents[i]);

      if (upstream != NULL)
        send_to_agent (plane, upstream, queue->agents[i]);
    }
  queue->agent_count = 0;
  queue->count = 0;
}

void
entry_on_answers (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct query_batch *batch
      = &plane->entry->queries.batches[message->sequence % QUERY_BATCHES_MAX];
  struct galena_handle upstream;

  if (entry_update_from_agent (plane, peer, message, &upstream) == NULL)
    return;
  /* The reply may be late, or about a batch of another agent.  */
  if (batch->number != message->sequence
      || galena_handle_pack (batch->upstream) != galena_handle_pack (upstream)
      || message->bytes == NULL
      || message->size < galena_query_answer_bytes (batch->count))
    return;
  batch->number = 0;
  for (uint32_t i = 0; i < batch->count; i++)
    entry_search_on_answer (plane, batch->searches[i], upstream,
                            galena_query_get_answer (message->bytes, i));
}
