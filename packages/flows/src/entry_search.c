/* The search for the owner of a flow.  Agents are queried in batches, those of
   the upstreams with the highest ranks for the flow first; each replies
   whether its upstream holds the flow.  An agent that cannot know this,
   because it started after its upstream, is sent a packet of the flow as a
   probe, which its upstream takes or returns.  Queries without an answer are
   repeated at intervals of their own, however many upstreams are added
   meanwhile.

   While many searches are in progress, each waits for the next run of the
   system, so that the queries of all of them to one agent go out together, and
   so do the probes of one search.  */

#include <string.h>

#include "entry_tables.h"

enum
{
  /* Time after which the next batch is queried although the last one is not
     answered.  */
  BATCH_TIMEOUT_MS = 60,
  /* Interval at which queries without an answer are repeated.  It doubles each
     time, up to half of the longest interval of a caller's
     retransmissions.  */
  REPEAT_MIN_MS = 60,
  REPEAT_MAX_MS = 800,
  /* The longest interval while queries are collected: a repetition then costs
     ten bytes, and a lost batch concerns up to 110 flows.  */
  COLLECTED_REPEAT_MS = 240,
  /* Denials expire after this time, because the upstream may hold the flow by
     now: on a full link, the first packet of a flow can take this long to
     reach its upstream.  */
  DENIALS_VALID_MS = 1000,
  /* Upstreams of other services are queried after this time: the route may
     have changed to another service while the flow stayed.  */
  ALL_SERVICES_AFTER_MS = 100,
  /* Upstreams in the first batch: one more than are compared for a new flow.
     Each further batch is BATCH_GROWTH times as large.  */
  BATCH_MIN = 5,
  BATCH_GROWTH = 4,
  /* Packets with more bytes use the upper half of the token bucket only, so
     that searches with smaller ones go first.  */
  SMALL_PROBE_BYTES = 300,
  /* Bytes of a probe besides its packet, including the headers of its
     datagram.  */
  PROBE_HEADER_BYTES = 120,
  /* Queries of a search that is not the only one are not repeated to agents
     that got a probe, until the interval has grown to this: probes of many
     searches take an agent some 100 ms.  */
  PROBE_REPEAT_MS = 240,
  /* Tokens for each agent with which a pass over the searches begins after the
     token bucket was emptied: two queries.  */
  PASS_BYTES_EACH = 240,
  /* With more searches than this, their queries are collected.  */
  SINGLE_SEARCHES_MAX = 4,
  /* They are collected for this time more, in which all denials of the last
     few searches come again if need be.  */
  COLLECTS_AFTER_MS = 1000,
  /* Second and later batches of queries that are collected are due at
     multiples of this time, and so are repetitions, so that those of several
     searches go out together.  Searches that begin over two seconds are one in
     a run of 20 ms otherwise, and each query would be a message of its own. */
  COLLECT_MS = 100,
  /* The same with at most COLLECT_FEW searches, whose messages do not fill a
     link: the period of the system.  */
  COLLECT_FEW_MS = 20,
  COLLECT_FEW = 16,
  /* While queries are collected, an agent that is away gets one in this time,
     and all others when it is heard again.  */
  AWAY_QUERY_MS = 100,
  /* Maximum number of woken agents in one run: bounds the queries that a run
     looks at, since each may be due to all searches.  */
  WAKES_MAX = 16
};

bool
entry_search_is_collecting (const struct galena_plane *plane)
{
  return galena_table_count (plane->entry->searches) > SINGLE_SEARCHES_MAX
         || !galena_clock_reached (plane->now, plane->entry->collects_until);
}

struct search_row *
entry_search_of (const struct galena_plane *plane,
                 const struct entry_flow *flow)
{
  return galena_table_get (plane->entry->searches, flow->search);
}

void
entry_search_remove (struct galena_plane *plane, struct entry_flow *flow)
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

static void
clear_bit (uint64_t *bits, struct galena_handle upstream)
{
  bits[upstream.index / 64] &= ~(UINT64_C (1) << (upstream.index % 64));
}

void
entry_search_deny (const struct galena_plane *plane, struct search_row *search,
                   struct galena_handle upstream)
{
  if (search->denials == 0)
    search->denied_since = plane->now;
  search->denials++;
  if (!has_bit (search->denied, upstream)
      && has_bit (search->queried, upstream) && search->unanswered > 0)
    search->unanswered--;
  set_bit (search->denied, upstream);
}

/* Returns whether SERVICE gets flows of the route at ADDRESS.  */
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

/* Returns whether UPSTREAM, the row that HANDLE names, may hold FLOW.  */
static bool
may_own (const struct galena_plane *plane, const struct entry_flow *flow,
         const struct search_row *search, const struct upstream_row *upstream,
         struct galena_handle handle)
{
  if (has_bit (search->denied, handle) || entry_is_gone (plane, upstream)
      || entry_has_ended (plane, upstream))
    return false;
  return search->all_services
         || is_routed (plane, flow->key.service_address,
                       entry_service_of (upstream));
}

/* Returns whether any upstream may hold FLOW.  */
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

bool
entry_search_needs_probe (const struct search_row *search,
                          struct galena_handle upstream)
{
  return has_bit (search->queried, upstream)
         && !has_bit (search->denied, upstream)
         && !has_bit (search->probed, upstream);
}

bool
entry_search_is_probed (const struct search_row *search,
                        struct galena_handle upstream)
{
  return has_bit (search->probed, upstream);
}

void
entry_search_set_probed (struct search_row *search,
                         struct galena_handle upstream)
{
  set_bit (search->probed, upstream);
}

bool
entry_search_send_probe (struct galena_plane *plane, struct search_row *search,
                         struct galena_handle upstream)
{
  if (search->size > SMALL_PROBE_BYTES
      && !entry_search_has_spare_tokens (plane))
    return false;
  if (!entry_search_take_tokens (plane, PROBE_HEADER_BYTES + search->size))
    return false;
  entry_probe_sent (plane, search, upstream);
  entry_flow_send_copy (plane, entry_flow (plane, search->flow), upstream,
                        GALENA_PEER_PROBE, search->bytes, search->size);
  return true;
}

/* Returns whether a probe to UPSTREAM, the row that HANDLE names, saves a
   query: its agent would probably be unsure.  Once its upstream has returned
   the packet, the agent knows.  */
static bool
takes_probe_at_once (const struct galena_plane *plane,
                     const struct search_row *search,
                     const struct upstream_row *upstream,
                     struct galena_handle handle)
{
  return search->first_pass && !entry_search_is_collecting (plane)
         && !has_bit (search->queried, handle)
         && !galena_clock_reached (plane->now, upstream->unsure_until);
}

/* Returns TIME or, when queries are collected, the next multiple of the time
   for that.  */
static struct galena_clock
collected_due (const struct galena_plane *plane, struct galena_clock time)
{
  int64_t ms = galena_table_count (plane->entry->searches) > COLLECT_FEW
                   ? COLLECT_MS
                   : COLLECT_FEW_MS;

  if (entry_search_is_collecting (plane))
    time.ms = (time.ms + ms - 1) / ms * ms;
  return time;
}

/* Returns whether a query to UPSTREAM waits until its agent is heard: it is
   away, and another query to it is under way.  */
static bool
waits_for_agent (const struct galena_plane *plane,
                 const struct upstream_row *upstream)
{
  return entry_search_is_collecting (plane)
         && entry_agent_is_away (plane, upstream)
         && upstream->queried_at.ms != 0
         && galena_clock_elapsed_ms (upstream->queried_at, plane->now)
                < AWAY_QUERY_MS;
}

/* Queries the agent of the upstream that HANDLE names, or sends it a probe;
   returns false when the token bucket is empty.  */
static bool
send_query (struct galena_plane *plane, const struct entry_flow *flow,
            struct search_row *search, struct galena_handle handle)
{
  struct upstream_row *upstream = entry_upstream (plane, handle);
  bool waits = waits_for_agent (plane, upstream);

  if (!waits && takes_probe_at_once (plane, search, upstream, handle))
    {
      if (!entry_search_send_probe (plane, search, handle))
        return false;
    }
  else if (waits || entry_query_add (plane, flow->search, handle))
    /* The last probe may have been lost.  */
    clear_bit (search->probed, handle);
  else
    return false;
  if (!has_bit (search->queried, handle))
    search->unanswered++;
  set_bit (search->queried, handle);
  set_bit (search->fresh, handle);
  if (waits)
    return true;
  upstream->queried_at = plane->now;
  plane_count (plane, GALENA_PLANE_OWNER_QUERIES);
  return true;
}

/* Fills RANKING with upstreams that may hold FLOW and were not queried yet. */
static void
rank_unqueried (const struct galena_plane *plane,
                const struct entry_flow *flow, const struct search_row *search,
                struct ranking *ranking)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (!has_bit (search->queried, handle)
        && may_own (plane, flow, search, upstream, handle))
      entry_rank_add (ranking, handle,
                      entry_rank (plane, flow->key, upstream));
}

/* Queries all upstreams that may hold FLOW and were not queried yet, in the
   order of their rows; returns false when the token bucket is empty.  */
static bool
query_rest (struct galena_plane *plane, const struct entry_flow *flow,
            struct search_row *search)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (!has_bit (search->queried, handle)
        && may_own (plane, flow, search, upstream, handle)
        && !send_query (plane, flow, search, handle))
      return false;
  return true;
}

/* Queries the upstreams of the highest ranks that may hold FLOW and were not
   queried yet, as many as the batch has; returns false when the token bucket
   is empty.  */
static bool
query_ranked (struct galena_plane *plane, const struct entry_flow *flow,
              struct search_row *search)
{
  uint32_t queried = 0;
  struct ranking ranking;

  do
    {
      ranking.limit = search->batch_size - queried < RANKING_MAX
                          ? search->batch_size - queried
                          : RANKING_MAX;
      ranking.count = 0;
      rank_unqueried (plane, flow, search, &ranking);
      for (uint32_t i = 0; i < ranking.count; i++)
        if (!send_query (plane, flow, search, ranking.rows[i]))
          return false;
      queried += ranking.count;
    }
  while (queried < search->batch_size && ranking.count == ranking.limit);
  return true;
}

/* Queries the next batch of upstreams.  When the token bucket is empty, the
   rest of the batch stays due.  */
static void
query_batch (struct galena_plane *plane, const struct entry_flow *flow,
             struct search_row *search)
{
  bool is_rest = search->batch_size >= ENTRY_UPSTREAMS_MAX;

  search->first_batch = search->first_pass && search->batch_size == BATCH_MIN;
  search->batch_due = plane->now;
  if (!(is_rest ? query_rest : query_ranked) (plane, flow, search))
    return;
  search->batch_due = collected_due (
      plane, galena_clock_add_ms (plane->now, BATCH_TIMEOUT_MS));
  /* One more flow in a batch costs little, and most searches of a time with
     many are for flows that no upstream holds.  */
  if (entry_search_is_collecting (plane))
    search->batch_size = ENTRY_UPSTREAMS_MAX;
  else if (!is_rest)
    search->batch_size *= BATCH_GROWTH;
}

/* Returns whether agents are still given time to answer probes of SEARCH.  */
static bool
awaits_probes (const struct galena_plane *plane,
               const struct search_row *search)
{
  return entry_search_is_collecting (plane)
         && search->repeat_ms < PROBE_REPEAT_MS;
}

/* Repeats the queries that have no answer, but for those sent since the last
   repetition.  When the token bucket is empty, the rest stays due.  */
static void
repeat_queries (struct galena_plane *plane, const struct entry_flow *flow,
                struct search_row *search)
{
  uint32_t most_ms = entry_search_is_collecting (plane) ? COLLECTED_REPEAT_MS
                                                        : REPEAT_MAX_MS;
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (has_bit (search->queried, handle) && !has_bit (search->fresh, handle)
        && !(has_bit (search->probed, handle) && awaits_probes (plane, search))
        && may_own (plane, flow, search, upstream, handle)
        && !send_query (plane, flow, search, handle))
      return;
  search->repeat_due = collected_due (
      plane, galena_clock_add_ms (plane->now, search->repeat_ms));
  search->repeat_ms *= 2;
  if (search->repeat_ms > most_ms)
    search->repeat_ms = most_ms;
}

/* Begins to query all upstreams, with the smallest batch.  */
static void
start_queries (const struct galena_plane *plane, struct search_row *search)
{
  memset (search->denied, 0, sizeof search->denied);
  memset (search->queried, 0, sizeof search->queried);
  memset (search->fresh, 0, sizeof search->fresh);
  memset (search->probed, 0, sizeof search->probed);
  search->denials = 0;
  search->unanswered = 0;
  search->batch_size = BATCH_MIN;
  search->batch_due = plane->now;
  search->repeat_ms = REPEAT_MIN_MS;
  search->repeat_due = galena_clock_add_ms (plane->now, REPEAT_MIN_MS);
}

/* Returns whether the denials of SEARCH are still valid.  If not, begins to
   query all upstreams again.  */
static bool
check_denials (const struct galena_plane *plane, struct search_row *search)
{
  if (galena_clock_elapsed_ms (search->denied_since, plane->now)
      <= DENIALS_VALID_MS)
    return true;
  start_queries (plane, search);
  search->first_pass = false;
  if (entry_search_is_collecting (plane))
    search->batch_size = ENTRY_UPSTREAMS_MAX;
  return false;
}

/* Continues the search for the flow that HANDLE names with the next batch,
   at once or, when queries are collected, in the next run.  Resets the flow
   when no upstream can hold it; returns false then.  */
static bool
advance (struct galena_plane *plane, struct galena_handle handle, bool in_run)
{
  const struct entry_flow *flow = entry_flow (plane, handle);
  struct search_row *search = entry_search_of (plane, flow);

  if (!has_candidate (plane, flow, search))
    search->all_services = true;
  if (!has_candidate (plane, flow, search) && check_denials (plane, search)
      && entry_knows_agents (plane))
    {
      entry_flow_reset (plane, handle, GALENA_UNKNOWN_FLOW);
      return false;
    }
  if (!in_run && entry_search_is_collecting (plane))
    search->batch_due = search->batch_size > BATCH_MIN * BATCH_GROWTH
                            ? collected_due (plane, plane->now)
                            : plane->now;
  else
    query_batch (plane, flow, search);
  if (!in_run)
    entry_queries_send (plane);
  return true;
}

void
entry_search_advance (struct galena_plane *plane, struct galena_handle flow)
{
  advance (plane, flow, false);
}

/* Sends what is due of SEARCH.  Repetitions go first, so that upstreams that
   are added do not hold them up.  */
static void
run_search (struct galena_plane *plane, struct search_row *search)
{
  const struct entry_flow *flow = entry_flow (plane, search->flow);
  bool repeats = galena_clock_reached (plane->now, search->repeat_due);

  if (flow == NULL)
    return;
  if (galena_clock_elapsed_ms (search->began, plane->now)
      >= ALL_SERVICES_AFTER_MS)
    search->all_services = true;
  if (repeats)
    repeat_queries (plane, flow, search);
  if (galena_clock_reached (plane->now, search->batch_due)
      && !advance (plane, search->flow, true))
    return;
  if (repeats && !galena_clock_reached (plane->now, search->repeat_due))
    memset (search->fresh, 0, sizeof search->fresh);
}

void
entry_search_wake (struct galena_plane *plane, struct upstream_row *upstream)
{
  if (galena_table_count (plane->entry->searches) == 0)
    return;
  upstream->woken = true;
  upstream->wake_cursor = 0;
  plane->entry->any_woken = true;
}

/* Repeats the queries to UPSTREAM, the row that HANDLE names, that have no
   answer; returns false when the token bucket is empty.  */
static bool
run_wake (struct galena_plane *plane, struct upstream_row *upstream,
          struct galena_handle handle)
{
  uint32_t cursor = upstream->wake_cursor;
  struct search_row *search;
  struct galena_handle row;

  for (; (search = galena_table_next (plane->entry->searches, &cursor, &row))
         != NULL;
       upstream->wake_cursor = cursor)
    if (has_bit (search->queried, handle) && !has_bit (search->denied, handle)
        && !send_query (plane, entry_flow (plane, search->flow), search,
                        handle))
      return false;
  upstream->woken = false;
  return true;
}

/* Repeats the queries to agents that may answer them now.  */
static void
run_wakes (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t left = WAKES_MAX;

  if (!entry->any_woken)
    return;
  while ((upstream = galena_table_next (entry->upstreams, &cursor, &handle))
         != NULL)
    if (upstream->woken
        && (left-- == 0 || !run_wake (plane, upstream, handle)))
      return;
  entry->any_woken = false;
}

void
entry_run_searches (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  uint32_t left = galena_table_count (entry->searches);
  struct search_row *search;
  struct galena_handle row;

  entry_search_refill_tokens (plane);
  if (left > SINGLE_SEARCHES_MAX)
    entry->collects_until
        = galena_clock_add_ms (plane->now, COLLECTS_AFTER_MS);
  if (entry->searches_wait && entry_search_is_collecting (plane)
      && !entry_search_has_tokens_for (
          plane, galena_table_count (entry->upstreams) * PASS_BYTES_EACH))
    return;
  run_wakes (plane);
  /* Each pass begins where the last one ran out of tokens.  */
  while (left > 0 && entry->search_bucket.tokens >= 0)
    {
      search
          = galena_table_next (entry->searches, &entry->search_cursor, &row);
      if (search == NULL)
        {
          entry->search_cursor = 0;
          continue;
        }
      left--;
      run_search (plane, search);
    }
  entry->searches_wait = entry->search_bucket.tokens < 0;
  entry_queries_send (plane);
}

void
entry_search_log (struct galena_plane *plane, enum galena_plane_event event,
                  const struct entry_flow *flow, struct galena_endpoint agent)
{
  plane_log_event (
      plane, (struct galena_plane_logged_event){
                 .event = event,
                 .flow = flow->key,
                 .agent = agent,
                 .version = plane->entry->version,
                 .age_ms = galena_clock_elapsed_ms (flow->began, plane->now),
                 .detail = galena_table_count (plane->entry->upstreams) });
}

void
entry_search_start (struct galena_plane *plane, struct galena_handle handle,
                    struct galena_handle non_owner, const uint8_t *bytes,
                    uint32_t size)
{
  struct entry_flow *flow = entry_flow (plane, handle);
  struct search_row *search = NULL;

  entry_opening_remove (plane, flow);
  entry_search_remove (plane, flow);
  flow->state = FLOW_SEARCHING;
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
  search->first_pass = true;
  start_queries (plane, search);
  search->size = size;
  memcpy (search->bytes, bytes, size);
  if (!galena_handle_is_none (non_owner))
    entry_search_deny (plane, search, non_owner);
  plane_count (plane, GALENA_PLANE_SEARCHES);
  entry_search_log (plane, GALENA_EVENT_SEARCHING, flow,
                    (struct galena_endpoint){ 0, 0 });
  advance (plane, handle, false);
}
