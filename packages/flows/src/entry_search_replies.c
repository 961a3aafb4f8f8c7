/* Replies of agents to the queries, probes and packets of searches.  */

#include "entry_tables.h"

enum
{
  /* An agent that replied "unsure" is sent probes without a query for this
     time.  */
  UNSURE_VALID_MS = 2000
};

/* A reply to a search, and the rows that it concerns.  */
struct reply
{
  struct galena_handle upstream;
  struct galena_handle flow_handle;
  struct entry_flow *flow;
  /* NULL when no search for the flow is in progress.  */
  struct search_row *search;
};

/* Updates the row of the agent at PEER from MESSAGE and finds the rows that
   the message concerns; returns false when the flow is not known, or when the
   message is about another flow of the same addresses.  */
static bool
apply_reply (struct galena_plane *plane, struct galena_endpoint peer,
             const struct galena_peer_message *message, struct reply *reply)
{
  *reply = (struct reply){ 0 };
  if (entry_update_from_agent (plane, peer, message, &reply->upstream) == NULL)
    return false;
  if (message->type != GALENA_PEER_UNSURE)
    entry_probe_answered (plane, reply->upstream);
  reply->flow = entry_flow_find (plane, message->flow, &reply->flow_handle);
  if (reply->flow == NULL || reply->flow->state == FLOW_OPENING
      || !galena_packet_is_near (message->sequence, reply->flow->acknowledged))
    return false;
  if (reply->flow->state == FLOW_SEARCHING)
    reply->search = entry_search_of (plane, reply->flow);
  return true;
}

/* Handles the answer that the agent may hold the flow.  */
static void
take_unsure (struct galena_plane *plane, const struct reply *reply)
{
  struct upstream_row *upstream = entry_upstream (plane, reply->upstream);
  struct search_row *search = reply->search;

  upstream->unsure_until = galena_clock_add_ms (plane->now, UNSURE_VALID_MS);
  if (search == NULL || !entry_search_needs_probe (search, reply->upstream))
    return;
  /* The agents of the first batch are those that most likely own the
     flow.  */
  if ((entry_search_is_collecting (plane) && !search->first_batch)
      || !entry_search_send_probe (plane, search, reply->upstream))
    search->probes_due = entry_search_is_collecting (plane);
}

void
entry_on_unsure (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct reply reply;

  if (apply_reply (plane, peer, message, &reply))
    take_unsure (plane, &reply);
}

/* Handles the answer that the upstream holds the flow.  */
static void
take_owned (struct galena_plane *plane, const struct reply *reply)
{
  const struct search_row *search = reply->search;

  if (search == NULL)
    return;
  plane_count (plane, GALENA_PLANE_FOUND);
  plane_measure (plane, GALENA_PLANE_SEARCH_MS, search->began);
  entry_search_log (plane, GALENA_EVENT_FOUND, reply->flow,
                    entry_upstream (plane, reply->upstream)->agent);
  if (!entry_search_is_probed (search, reply->upstream))
    entry_flow_send_copy (plane, reply->flow, reply->upstream,
                          GALENA_PEER_FORWARD, search->bytes, search->size);
  entry_flow_set_owner (plane, reply->flow, reply->upstream);
  /* Parked packets of the flow can be forwarded now.  */
  plane->tick_again = true;
}

void
entry_on_owned (struct galena_plane *plane, struct galena_endpoint peer,
                const struct galena_peer_message *message)
{
  struct reply reply;

  if (apply_reply (plane, peer, message, &reply))
    take_owned (plane, &reply);
}

/* Handles the answer that the upstream does not hold the flow.  */
static void
take_disowned (struct galena_plane *plane, const struct reply *reply)
{
  if (reply->search == NULL)
    return;
  entry_search_deny (plane, reply->search, reply->upstream);
  if (reply->search->unanswered == 0)
    entry_search_advance (plane, reply->flow_handle);
}

void
entry_search_on_answer (struct galena_plane *plane,
                        struct galena_handle handle,
                        struct galena_handle upstream,
                        enum galena_query_answer answer)
{
  static void (*const HANDLERS[]) (struct galena_plane *, const struct reply *)
      = {
          [GALENA_ANSWER_NONE] = NULL,
          [GALENA_ANSWER_OWNED] = take_owned,
          [GALENA_ANSWER_DISOWNED] = take_disowned,
          [GALENA_ANSWER_UNSURE] = take_unsure,
        };
  struct reply reply
      = { .upstream = upstream,
          .search = galena_table_get (plane->entry->searches, handle) };

  if (reply.search == NULL || HANDLERS[answer] == NULL)
    return;
  reply.flow_handle = reply.search->flow;
  reply.flow = entry_flow (plane, reply.flow_handle);
  HANDLERS[answer](plane, &reply);
}

/* Handles a flow whose presumed owner, NON_OWNER, does not hold it.  Its
   packet is forwarded to another upstream that accepted the flow, which
   becomes the owner; if there is none, a search starts.  */
static void
replace_owner (struct galena_plane *plane, struct galena_handle handle,
               struct galena_handle non_owner, const uint8_t *bytes,
               uint32_t size)
{
  struct entry_flow *flow = entry_flow (plane, handle);

  for (uint32_t i = 0; i < flow->attempt_count; i++)
    {
      struct open_attempt *attempt = &flow->attempts[i];

      if (galena_handle_pack (attempt->upstream)
          == galena_handle_pack (non_owner))
        attempt->accepted = false;
    }
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (flow->attempts[i].accepted
        && entry_upstream (plane, flow->attempts[i].upstream) != NULL)
      {
        flow->owner = flow->attempts[i].upstream;
        entry_flow_send (plane, flow, flow->owner, GALENA_PEER_FORWARD, bytes,
                         size);
        return;
      }
  entry_search_start (plane, handle, non_owner, bytes, size);
}

void
entry_on_disowned (struct galena_plane *plane, struct galena_endpoint peer,
                   const struct galena_peer_message *message)
{
  struct reply reply;

  if (!apply_reply (plane, peer, message, &reply))
    return;
  if (reply.flow->state == FLOW_OPEN
      && galena_handle_pack (reply.flow->owner)
             == galena_handle_pack (reply.upstream)
      && message->bytes != NULL)
    replace_owner (plane, reply.flow_handle, reply.upstream, message->bytes,
                   message->size);
  take_disowned (plane, &reply);
}

void
entry_on_lost (struct galena_plane *plane, struct galena_endpoint peer,
               const struct galena_peer_message *message)
{
  struct reply reply;

  if (!apply_reply (plane, peer, message, &reply)
      || reply.flow->state == FLOW_RESET
      || (reply.flow->state == FLOW_OPEN
          && galena_handle_pack (reply.flow->owner)
                 != galena_handle_pack (reply.upstream)))
    return;
  plane_count (plane, GALENA_PLANE_LOST);
  entry_search_log (plane, GALENA_EVENT_LOST, reply.flow, peer);
  entry_flow_reset (plane, reply.flow_handle, GALENA_UNKNOWN_FLOW);
}
