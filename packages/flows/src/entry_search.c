/* The search for a flow's owner.  The agents of the upstreams that come first
   for the flow are asked first, then further ones, wave by wave; each says
   whether its upstream holds the flow.  One that can't know, since it started
   after its upstream, is sent a packet, which its upstream takes or returns.

   Searches take a part of the link at most: replies that come late on a full
   link would otherwise bring still more questions.  */

#include <string.h>

#include "entry_tables.h"

enum
{
  /* Agents of a wave get so long to reply, then twice as long, up to the
     longest interval of a caller's retransmissions.  */
  PATIENCE_MIN_MS = 60,
  PATIENCE_MAX_MS = 1600,
  /* What agents denied longer ago may have changed: a flow's first packet can
     be under way to its upstream for as long on a full link.  */
  DENIALS_VALID_MS = 1000,
  /* Upstreams of other services are asked after so long: a route may have
     gone to another service while the flow stayed.  */
  WIDEN_MS = 100,
  /* Upstreams of the first wave: as many as a new flow is compared for, and
     one; each further wave is so many times as large.  */
  WAVE_MIN = 5,
  WAVE_GROWTH = 4,
  /* Searches take one part in so many of the link, and save up what they did
     not take for so long.  */
  LINK_SHARE = 4,
  SAVED_MS = 250,
  /* Where the link is not known: 100 Mbit/s.  */
  USUAL_LINK_KBPS = 100000,
  /* Bytes of a question, with the heads of its datagram.  */
  QUESTION_BYTES = 120,
  BITS = 8
};

static struct search_row *
search_of (const struct galena_plane *plane, const struct entry_flow *flow)
{
  return galena_table_get (plane->entry->searches, flow->search);
}

void
entry_search_end (struct galena_plane *plane, struct entry_flow *flow)
{
  if (!galena_handle_is_none (flow->search))
    galena_table_remove (plane->entry->searches, flow->search);
  flow->search = (struct galena_handle){ 0, 0 };
}

static bool
has_bit (const uint64_t *bits, struct galena_handle upstream)
{
  return (bits[upstream.index / 64] >> (upstream.index % 64)) & 1;
}

static void
set_bit (uint64_t *bits, struct galena_handle upstream)
{
  bits[upstream.index / 64] |= UINT64_C (1) << (upstream.index % 64);
}

/* Notes that UPSTREAM does not hold the flow.  */
static void
deny (const struct galena_plane *plane, struct search_row *search,
      struct galena_handle upstream)
{
  if (search->denials == 0)
    search->denied_since = plane->now;
  search->denials++;
  if (!has_bit (search->denied, upstream) && has_bit (search->asked, upstream)
      && search->awaited > 0)
    search->awaited--;
  set_bit (search->denied, upstream);
}

/* Tells whether SERVICE takes flows of the route at ADDRESS.  */
static bool
is_routed (const struct galena_plane *plane, struct galena_endpoint address,
           galena_service_key service)
{
  const struct galena_route *route
      = plane->directory == NULL
            ? NULL
            : galena_directory_route (plane->directory, address);

  if (route == NULL)
    return false;
  for (uint32_t i = 0; i < route->share_count; i++)
    if (route->shares[i].service == service)
      return true;
  return false;
}

/* Tells whether the upstream that HANDLE names may hold FLOW.  */
static bool
may_own (const struct galena_plane *plane, const struct entry_flow *flow,
         const struct search_row *search, const struct upstream_row *upstream,
         struct galena_handle handle)
{
  if (has_bit (search->denied, handle) || entry_is_gone (plane, upstream))
    return false;
  return search->wide
         || is_routed (plane, flow->key.service, entry_service_of (upstream));
}

/* Tells whether some upstream may hold FLOW.  */
static bool
has_candidate (const struct galena_plane *plane, const struct entry_flow *flow,
               const struct search_row *search)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (may_own (plane, flow, search, upstream, handle))
      return true;
  return false;
}

/* Takes BYTES of what searches may send; false when that is used up.  */
static bool
spend (struct galena_plane *plane, uint32_t bytes)
{
  struct entry_tables *entry = plane->entry;

  if (entry->search_bytes < 0)
    return false;
  entry->search_bytes -= bytes;
  return true;
}

/* Adds what searches may send since the last time.  */
static void
save_up (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  uint32_t kbps = plane->options.link_kbps > 0 ? plane->options.link_kbps
                                               : USUAL_LINK_KBPS;
  double per_ms = (double)kbps / BITS / LINK_SHARE;

  entry->search_bytes
      += per_ms
         * (double)galena_clock_elapsed_ms (entry->search_saved, plane->now);
  entry->search_saved = plane->now;
  if (entry->search_bytes > per_ms * SAVED_MS)
    entry->search_bytes = per_ms * SAVED_MS;
}

/* Asks the agent of the upstream that HANDLE names; false when searches have
   used up what they may send.  */
static bool
ask (struct galena_plane *plane, const struct entry_flow *flow,
     struct search_row *search, struct galena_handle handle)
{
  const struct upstream_row *upstream = entry_upstream (plane, handle);
  struct galena_peer_message question = { .type = GALENA_PEER_ASK,
                                          .flow = flow->key,
                                          .sequence = flow->acknowledged };

  if (!spend (plane, QUESTION_BYTES))
    return false;
  question.slots = upstream->slots;
  set_bit (search->asked, handle);
  search->awaited++;
  plane_count (plane, GALENA_PLANE_FINDS);
  plane_send_message (plane, upstream->agent, &question);
  return true;
}

/* Fills RANKING with upstreams that may hold FLOW and were not asked.  */
static void
rank_unasked (const struct galena_plane *plane, const struct entry_flow *flow,
              const struct search_row *search, struct ranking *ranking)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (!has_bit (search->asked, handle)
        && may_own (plane, flow, search, upstream, handle))
      entry_rank_add (ranking, handle,
                      entry_rank (plane, flow->key, upstream));
}

/* Asks the upstreams of the next wave.  Returns how many it should ask.  */
static uint32_t
ask_wave (struct galena_plane *plane, const struct entry_flow *flow,
          struct search_row *search)
{
  uint32_t asked = 0;
  struct ranking ranking;

  search->asked_at = plane->now;
  do
    {
      ranking.limit = search->wave - asked < RANKING_MAX ? search->wave - asked
                                                         : RANKING_MAX;
      ranking.count = 0;
      rank_unasked (plane, flow, search, &ranking);
      for (uint32_t i = 0; i < ranking.count; i++)
        if (!ask (plane, flow, search, ranking.rows[i]))
          return asked + 1;
      asked += ranking.count;
    }
  while (asked < search->wave && ranking.count == ranking.limit);
  if (search->wave < ENTRY_UPSTREAMS_MAX)
    search->wave *= WAVE_GROWTH;
  return asked;
}

/* Begins a further round.  An upstream is given the packet again once, in case
   that one was lost.  */
static void
ask_anew (struct search_row *search)
{
  memset (search->asked, 0, sizeof search->asked);
  if (search->rounds == 0)
    memset (search->given, 0, sizeof search->given);
  search->rounds++;
  search->awaited = 0;
}

/* Tells whether all denials of SEARCH still count; forgets them otherwise.  */
static bool
denials_hold (const struct galena_plane *plane, struct search_row *search)
{
  if (galena_clock_elapsed_ms (search->denied_since, plane->now)
      <= DENIALS_VALID_MS)
    return true;
  memset (search->denied, 0, sizeof search->denied);
  search->denials = 0;
  search->wave = WAVE_MIN;
  ask_anew (search);
  return false;
}

/* Asks the next wave, or all of those anew that have not replied.  */
static void
ask_more (struct galena_plane *plane, const struct entry_flow *flow,
          struct search_row *search)
{
  if (ask_wave (plane, flow, search) > 0)
    return;
  ask_anew (search);
  ask_wave (plane, flow, search);
}

/* Goes on with a search whose wave has ended: with a reset when no upstream
   can hold the flow.  */
static void
advance (struct galena_plane *plane, struct galena_handle handle)
{
  const struct entry_flow *flow = entry_flow (plane, handle);
  struct search_row *search = search_of (plane, flow);

  if (!has_candidate (plane, flow, search))
    search->wide = true;
  if (has_candidate (plane, flow, search) || !denials_hold (plane, search))
    ask_more (plane, flow, search);
  else
    entry_flow_reset (plane, handle, GALENA_UNKNOWN_FLOW);
}

void
entry_run_searches (struct galena_plane *plane)
{
  struct search_row *search;
  struct galena_handle row;
  uint32_t cursor = 0;

  save_up (plane);
  while ((search = galena_table_next (plane->entry->searches, &cursor, &row))
         != NULL)
    {
      if (entry_flow (plane, search->flow) == NULL
          || galena_clock_elapsed_ms (search->asked_at, plane->now)
                 < search->patience_ms)
        continue;
      if (search->patience_ms < PATIENCE_MAX_MS)
        search->patience_ms *= 2;
      if (galena_clock_elapsed_ms (search->began, plane->now) >= WIDEN_MS)
        search->wide = true;
      advance (plane, search->flow);
    }
}

static void
note_search (struct galena_plane *plane, enum galena_plane_event event,
             const struct entry_flow *flow, struct galena_endpoint agent)
{
  plane_note (plane,
              (struct galena_plane_note){
                  .event = event,
                  .flow = flow->key,
                  .agent = agent,
                  .version = plane->entry->version,
                  .age_ms = galena_clock_elapsed_ms (flow->began, plane->now),
                  .detail = galena_table_count (plane->entry->upstreams) });
}

void
entry_seek (struct galena_plane *plane, struct galena_handle handle,
            struct galena_handle denier, const uint8_t *bytes, uint32_t size)
{
  struct entry_flow *flow = entry_flow (plane, handle);
  struct search_row *search = NULL;

  entry_opening_end (plane, flow);
  entry_search_end (plane, flow);
  flow->state = FLOW_SOUGHT;
  if (size <= sizeof search->bytes)
    search = galena_table_insert (plane->entry->searches, &flow->search);
  if (search == NULL)
    {
      plane_count (plane, GALENA_PLANE_TABLE_FULL);
      entry_flow_remove (plane, handle);
      return;
    }
  search->flow = handle;
  search->began = plane->now;
  search->patience_ms = PATIENCE_MIN_MS;
  search->wave = WAVE_MIN;
  search->size = size;
  memcpy (search->bytes, bytes, size);
  if (!galena_handle_is_none (denier))
    deny (plane, search, denier);
  plane_count (plane, GALENA_PLANE_SOUGHT);
  note_search (plane, GALENA_EVENT_SOUGHT, flow,
               (struct galena_endpoint){ 0, 0 });
  advance (plane, handle);
}

/* A reply to a search, and what it is about.  */
struct reply
{
  struct galena_handle upstream;
  struct galena_handle handle;
  struct entry_flow *flow;
  /* NULL when the owner of the flow is not looked for.  */
  struct search_row *search;
};

/* Hears the agent at PEER and finds what MESSAGE is about; false when the flow
   is not known.  */
static bool
take_reply (struct galena_plane *plane, struct galena_endpoint peer,
            const struct galena_peer_message *message, struct reply *reply)
{
  *reply = (struct reply){ 0 };
  if (entry_hear (plane, peer, message, &reply->upstream) == NULL)
    return false;
  reply->flow = entry_flow_find (plane, message->flow, &reply->handle);
  if (reply->flow == NULL)
    return false;
  if (reply->flow->state == FLOW_SOUGHT)
    reply->search = search_of (plane, reply->flow);
  return true;
}

void
entry_take_unsure (struct galena_plane *plane, struct galena_endpoint peer,
                   const struct galena_peer_message *message)
{
  struct reply reply;
  struct search_row *search;

  if (!take_reply (plane, peer, message, &reply) || reply.search == NULL)
    return;
  search = reply.search;
  if (has_bit (search->given, reply.upstream)
      || has_bit (search->denied, reply.upstream)
      || !spend (plane, QUESTION_BYTES + search->size))
    return;
  set_bit (search->given, reply.upstream);
  entry_flow_send_copy (plane, reply.flow, reply.upstream, GALENA_PEER_FIND,
                        search->bytes, search->size);
}

void
entry_take_owned (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct reply reply;
  const struct search_row *search;

  if (!take_reply (plane, peer, message, &reply) || reply.search == NULL)
    return;
  search = reply.search;
  plane_count (plane, GALENA_PLANE_FOUND);
  plane_measure (plane, GALENA_PLANE_SEARCH_MS, search->began);
  note_search (plane, GALENA_EVENT_FOUND, reply.flow, peer);
  if (!has_bit (search->given, reply.upstream))
    entry_flow_send_copy (plane, reply.flow, reply.upstream,
                          GALENA_PEER_FORWARD, search->bytes, search->size);
  entry_flow_settle (plane, reply.flow, reply.upstream);
  plane->hurry = true;
}

/* The presumed owner does not hold FLOW: another upstream that accepted it
   does, or it is looked for.  */
static void
leave_owner (struct galena_plane *plane, struct galena_handle handle,
             struct galena_handle disowner, const uint8_t *bytes,
             uint32_t size)
{
  struct entry_flow *flow = entry_flow (plane, handle);

  for (uint32_t i = 0; i < flow->try_count; i++)
    {
      struct flow_try *try = &flow->tries[i];

      if (galena_handle_pack (try->upstream) == galena_handle_pack (disowner))
        try->accepted = false;
    }
  for (uint32_t i = 0; i < flow->try_count; i++)
    if (flow->tries[i].accepted
        && entry_upstream (plane, flow->tries[i].upstream) != NULL)
      {
        flow->owner = flow->tries[i].upstream;
        entry_flow_send (plane, flow, flow->owner, GALENA_PEER_FORWARD, bytes,
                         size);
        return;
      }
  entry_seek (plane, handle, disowner, bytes, size);
}

void
entry_take_disowned (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message)
{
  struct reply reply;

  if (!take_reply (plane, peer, message, &reply))
    return;
  if (reply.flow->state == FLOW_OPEN
      && galena_handle_pack (reply.flow->owner)
             == galena_handle_pack (reply.upstream)
      && message->bytes != NULL)
    leave_owner (plane, reply.handle, reply.upstream, message->bytes,
                 message->size);
  if (reply.search == NULL)
    return;
  deny (plane, reply.search, reply.upstream);
  if (reply.search->awaited == 0)
    advance (plane, reply.handle);
}

void
entry_take_lost (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct reply reply;

  if (!take_reply (plane, peer, message, &reply)
      || (reply.flow->state == FLOW_OPEN
          && galena_handle_pack (reply.flow->owner)
                 != galena_handle_pack (reply.upstream)))
    return;
  plane_count (plane, GALENA_PLANE_LOST);
  note_search (plane, GALENA_EVENT_LOST, reply.flow, peer);
  entry_flow_reset (plane, reply.handle, GALENA_UNKNOWN_FLOW);
}
