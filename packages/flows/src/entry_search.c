/* The search for a flow's owner.  The upstreams that come first for the flow
   are asked first, then further ones, wave by wave; each agent says whether
   its upstream holds the flow.  */

#include <string.h>

#include "entry_tables.h"

enum
{
  /* Agents of a wave get so long to reply, then twice as long, up to the
     most.  */
  PATIENCE_MIN_MS = 60,
  PATIENCE_MAX_MS = 480,
  /* Upstreams of other services are asked after so long: a route may have
     gone to another service while the flow stayed.  */
  WIDEN_MS = 100,
  /* Upstreams of the first wave: as many as a new flow is compared for, and
     one; each further wave is so many times as large.  */
  WAVE_MIN = 5,
  WAVE_GROWTH = 4
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
deny (struct search_row *search, struct galena_handle upstream)
{
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

/* Asks the upstream that HANDLE names.  */
static void
ask (struct galena_plane *plane, const struct entry_flow *flow,
     struct search_row *search, struct galena_handle handle)
{
  set_bit (search->asked, handle);
  search->awaited++;
  plane_count (plane, GALENA_PLANE_FINDS);
  entry_flow_send_copy (plane, flow, handle, GALENA_PEER_FIND, search->bytes,
                        search->size);
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

/* Asks the upstreams of the next wave.  Returns how many.  */
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
        ask (plane, flow, search, ranking.rows[i]);
      asked += ranking.count;
    }
  while (asked < search->wave && ranking.count == ranking.limit);
  if (search->wave < ENTRY_UPSTREAMS_MAX)
    search->wave *= WAVE_GROWTH;
  return asked;
}

/* Asks the next wave, or all of those anew that have not replied.  */
static void
ask_more (struct galena_plane *plane, const struct entry_flow *flow,
          struct search_row *search)
{
  if (ask_wave (plane, flow, search) > 0)
    return;
  memset (search->asked, 0, sizeof search->asked);
  search->awaited = 0;
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
  if (has_candidate (plane, flow, search))
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

  while ((search = galena_table_next (plane->entry->searches, &cursor, &row))
         != NULL)
    {
      if (entry_flow (plane, search->flow) == NULL
          || galena_clock_between (search->asked_at, plane->now)
                 < search->patience_ms)
        continue;
      if (search->patience_ms < PATIENCE_MAX_MS)
        search->patience_ms *= 2;
      if (galena_clock_between (search->began, plane->now) >= WIDEN_MS)
        search->wide = true;
      advance (plane, search->flow);
    }
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
    deny (search, denier);
  plane_count (plane, GALENA_PLANE_SOUGHT);
  plane_note (plane,
              (struct galena_plane_note){
                  .event = GALENA_EVENT_SOUGHT,
                  .flow = flow->key,
                  .version = plane->entry->version,
                  .age_ms = galena_clock_between (flow->began, plane->now),
                  .detail = galena_table_count (plane->entry->upstreams) });
  advance (plane, handle);
}

void
entry_take_owned (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct galena_handle at;
  struct galena_handle handle;
  const struct upstream_row *upstream = entry_hear (plane, peer, message, &at);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);

  if (upstream == NULL || flow == NULL || flow->state != FLOW_SOUGHT
      || search_of (plane, flow) == NULL)
    return;
  plane_count (plane, GALENA_PLANE_FOUND);
  plane_measure (plane, GALENA_PLANE_SEARCH_MS,
                 search_of (plane, flow)->began);
  plane_note (plane,
              (struct galena_plane_note){
                  .event = GALENA_EVENT_FOUND,
                  .flow = flow->key,
                  .agent = peer,
                  .version = plane->entry->version,
                  .age_ms = galena_clock_between (flow->began, plane->now) });
  entry_flow_settle (plane, flow, at);
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
  struct galena_handle at;
  struct galena_handle handle;
  const struct upstream_row *upstream = entry_hear (plane, peer, message, &at);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);
  struct search_row *search;

  if (upstream == NULL || flow == NULL)
    return;
  if (flow->state == FLOW_OPEN)
    {
      if (galena_handle_pack (flow->owner) == galena_handle_pack (at)
          && message->bytes != NULL)
        leave_owner (plane, handle, at, message->bytes, message->size);
      return;
    }
  search = search_of (plane, flow);
  if (flow->state != FLOW_SOUGHT || search == NULL)
    return;
  deny (search, at);
  if (search->awaited == 0)
    advance (plane, handle);
}

void
entry_take_lost (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct galena_handle at;
  struct galena_handle handle;
  const struct upstream_row *upstream = entry_hear (plane, peer, message, &at);
  const struct entry_flow *flow
      = entry_flow_find (plane, message->flow, &handle);

  if (upstream == NULL || flow == NULL
      || (flow->state == FLOW_OPEN
          && galena_handle_pack (flow->owner) != galena_handle_pack (at)))
    return;
  plane_count (plane, GALENA_PLANE_LOST);
  plane_note (plane,
              (struct galena_plane_note){
                  .event = GALENA_EVENT_LOST,
                  .flow = flow->key,
                  .agent = peer,
                  .version = plane->entry->version,
                  .age_ms = galena_clock_between (flow->began, plane->now) });
  entry_flow_reset (plane, handle, GALENA_UNKNOWN_FLOW);
}
