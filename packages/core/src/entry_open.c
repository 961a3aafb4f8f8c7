/* Opens at an entry: the first attempt, retries at further candidates, and the
   refusal when there are none.  */

#include <string.h>

#include "entry.h"
#include "stats.h"

enum
{
  /* Time after which an open without a reply is sent to the next candidate,
     and delay before further attempts.  */
  RETRY_DELAY_MS = 100,
  /* Most rounds over all candidates.  */
  ROUNDS_MAX = 3
};

const struct galena_service *
galena_entry_service_of (const struct galena_world *world,
                         const struct galena_message *message)
{
  if (message->service_number != 0)
    return galena_config_service_numbered (world->config,
                                           message->service_number);
  return galena_config_service_at (world->config, message->service);
}

struct galena_pending_open *
galena_entry_find_pending (const struct galena_world *world,
                           struct galena_flow_id flow,
                           struct galena_handle *handle)
{
  const struct galena_entry *entry = world->entry;
  uint64_t key = galena_flow_key (entry->pending_by_flow, flow);
  uint64_t packed;

  if (!galena_map_find (entry->pending_by_flow, key, &packed))
    return NULL;
  *handle = galena_handle_unpack (packed);
  return galena_table_get (entry->pending, *handle);
}

void
galena_entry_remove_pending (struct galena_world *world,
                             struct galena_handle handle)
{
  struct galena_entry *entry = world->entry;
  struct galena_pending_open *pending
      = galena_table_get (entry->pending, handle);
  uint64_t key = galena_flow_key (entry->pending_by_flow, pending->open.flow);

  galena_map_remove (entry->pending_by_flow, key);
  galena_table_remove (entry->pending, handle);
}

/* Counts a refusal of OPEN by its kind and by RESULT.  */
static void
count_refusal (struct galena_world *world, const struct galena_message *open,
               enum galena_result result)
{
  const struct galena_service *service = galena_entry_service_of (world, open);
  bool known
      = service != NULL && galena_service_kind (service, open->kind) != NULL;

  galena_stats_count_refusal (world, known ? service->number : 0, open->kind,
                              result);
}

void
galena_entry_refuse (struct galena_world *world,
                     const struct galena_message *open,
                     enum galena_result result)
{
  struct galena_message refusal = *open;

  refusal.type = GALENA_MESSAGE_REFUSE;
  refusal.side = GALENA_SIDE_CALLER;
  refusal.peer = open->caller;
  refusal.result = result;
  refusal.body_size = 0;
  count_refusal (world, open, result);
  galena_world_send (world, &refusal);
}

static bool
was_tried (const struct galena_pending_open *pending, uint32_t upstream)
{
  for (uint32_t i = 0; i < pending->tried_count; i++)
    if (pending->tried[i] == upstream)
      return true;
  return false;
}

static bool
is_avoided (const struct galena_world *world, uint32_t index)
{
  const struct galena_hint *hint = galena_entry_find_hint (
      world, galena_config_upstream (world->config, index)->number);

  return hint != NULL && galena_entry_avoids (world, hint);
}

static bool
all_avoided (const struct galena_world *world, const uint32_t *chosen,
             uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!is_avoided (world, chosen[i]))
      return false;
  return true;
}

/* Stores a random sample of the active upstreams of SERVICE, or of those of
   them that are not avoided, and returns its size.  Uses reservoir sampling:
   each upstream is equally likely to be chosen.  */
static uint32_t
sample_candidates (struct galena_world *world,
                   const struct galena_service *service, bool not_avoided,
                   uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  uint32_t end = service->first_upstream + service->upstream_count;
  uint32_t seen = 0;

  for (uint32_t i = service->first_upstream; i < end; i++)
    {
      uint32_t at;

      if (galena_config_upstream (world->config, i)->state
              != GALENA_UPSTREAM_ACTIVE
          || (not_avoided && is_avoided (world, i)))
        continue;
      seen++;
      at = galena_random_below (&world->random, seen);
      if (seen <= GALENA_CANDIDATES_MAX)
        chosen[seen - 1] = i;
      else if (at < GALENA_CANDIDATES_MAX)
        chosen[at] = i;
    }
  return seen < GALENA_CANDIDATES_MAX ? seen : GALENA_CANDIDATES_MAX;
}

/* Stores the candidates of PENDING and returns how many there are.  When all
   are avoided, other upstreams are sampled, but only for a flow whose tag
   carries the upstream number: any upstream can own such a flow.  */
static uint32_t
candidates_of (struct galena_world *world,
               const struct galena_service *service,
               const struct galena_pending_open *pending,
               uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  uint32_t others[GALENA_CANDIDATES_MAX];
  uint32_t count;
  uint32_t other_count;

  if (world->entry->choice->any_upstream)
    return sample_candidates (world, service, false, chosen);
  count = galena_config_candidates (world->config, service, pending->open.flow,
                                    chosen);
  if (pending->open.hash_routed)
    return count < GALENA_HASH_ROUTED_CANDIDATES
               ? count
               : GALENA_HASH_ROUTED_CANDIDATES;
  if (!all_avoided (world, chosen, count))
    return count;
  other_count = sample_candidates (world, service, true, others);
  if (other_count == 0)
    return count;
  memcpy (chosen, others, other_count * sizeof *chosen);
  return other_count;
}

/* Stores the candidates of PENDING that were not tried; returns how many. */
static uint32_t
untried_candidates (struct galena_world *world,
                    const struct galena_service *service,
                    const struct galena_pending_open *pending,
                    uint32_t untried[GALENA_CANDIDATES_MAX])
{
  uint32_t all[GALENA_CANDIDATES_MAX];
  uint32_t total = candidates_of (world, service, pending, all);
  uint32_t count = 0;

  for (uint32_t i = 0; i < total; i++)
    {
      uint32_t number = galena_config_upstream (world->config, all[i])->number;
      if (!was_tried (pending, number))
        untried[count++] = all[i];
    }
  return count;
}

static void
send_open (struct galena_world *world, struct galena_pending_open *pending,
           const struct galena_service *service,
           const struct galena_upstream *upstream)
{
  struct galena_message open = pending->open;
  struct galena_hint *hint
      = galena_entry_find_or_add_hint (world, upstream->number);

  if (hint != NULL)
    {
      galena_entry_note_open_sent (world, hint);
      open.source_port_index = galena_entry_select_source_port (world, hint);
    }
  galena_stats_upstream (world, upstream->number)->opens++;
  open.side = GALENA_SIDE_PEER;
  open.peer = upstream->agent;
  open.generation = service->generation;
  open.deadline_ms = galena_clock_remaining_ms (world->now, pending->deadline);
  pending->tried[pending->tried_count++] = upstream->number;
  pending->next_try = galena_clock_add_ms (world->now, RETRY_DELAY_MS);
  galena_world_send (world, &open);
}

/* Sends PENDING to its next candidate; false when there is none.  */
static bool
try_next (struct galena_world *world, struct galena_pending_open *pending)
{
  const struct galena_service *service
      = galena_entry_service_of (world, &pending->open);
  uint32_t untried[GALENA_CANDIDATES_MAX];
  uint32_t count;
  uint32_t chosen;

  if (service == NULL || pending->tried_count == GALENA_CANDIDATES_MAX)
    return false;
  count = untried_candidates (world, service, pending, untried);
  if (count == 0)
    return false;
  chosen = world->entry->choice->choose (world, pending->open.kind, untried,
                                         count);
  send_open (world, pending, service,
             galena_config_upstream (world->config, untried[chosen]));
  return true;
}

/* Returns whether RESULT means that the upstream can't take this open for a
   reason other than its load.  */
static bool
is_wrong_upstream (enum galena_result result)
{
  return result == GALENA_REFUSED_NO_UPSTREAM
         || result == GALENA_REFUSED_LEAVING
         || result == GALENA_REFUSED_WRONG_SERVICE
         || result == GALENA_REFUSED_RENEWING
         || result == GALENA_REFUSED_NOT_CANDIDATE;
}

/* Schedules another round when all candidates were the wrong upstreams or did
   not reply: packets may have been lost, or upstreams are being replaced.
   Returns false after the last round.  */
static bool
schedule_next_round (const struct galena_world *world,
                     struct galena_pending_open *pending,
                     enum galena_result result)
{
  if (!is_wrong_upstream (result) || ++pending->rounds == ROUNDS_MAX)
    return false;
  pending->tried_count = 0;
  pending->next_try = galena_clock_add_ms (world->now, RETRY_DELAY_MS);
  return true;
}

/* Returns whether the address of PENDING still belongs to the service that had
   it when the open arrived.  */
static bool
service_unchanged (const struct galena_world *world,
                   const struct galena_pending_open *pending)
{
  const struct galena_service *service
      = galena_entry_service_of (world, &pending->open);

  return service != NULL && service->number == pending->service;
}

/* After a refusal by a wrong upstream or a timeout, an open tries the next
   candidate, and begins another round after the last one; while the retry
   budget is used up, it waits.  After any other refusal it tries the next
   candidate if the budget allows it, and is refused otherwise.  */
void
galena_entry_retry (struct galena_world *world, struct galena_handle handle,
                    enum galena_result result)
{
  struct galena_pending_open *pending
      = galena_table_get (world->entry->pending, handle);
  bool may_retry = !galena_clock_reached (world->now, pending->deadline)
                   && service_unchanged (world, pending);

  if (may_retry
      && galena_budget_take_retry_token (world, &pending->open, result))
    {
      if (try_next (world, pending)
          || schedule_next_round (world, pending, result))
        return;
    }
  else if (may_retry && is_wrong_upstream (result))
    {
      pending->next_try = galena_clock_add_ms (world->now, RETRY_DELAY_MS);
      return;
    }
  galena_entry_refuse (world, &pending->open, result);
  galena_entry_remove_pending (world, handle);
}

void
galena_entry_start_open (struct galena_world *world,
                         const struct galena_message *open)
{
  struct galena_entry *entry = world->entry;
  struct galena_handle handle;
  struct galena_pending_open *pending = NULL;
  uint64_t key = galena_flow_key (entry->pending_by_flow, open->flow);

  if (!galena_budget_should_shed (world, open))
    pending = galena_table_insert (entry->pending, &handle);
  if (pending == NULL)
    {
      galena_world_count (world, GALENA_COUNT_SHED);
      galena_entry_refuse (world, open, GALENA_REFUSED_SHED);
      return;
    }
  pending->open = *open;
  pending->open.body = NULL;
  pending->open.body_size = 0;
  pending->service = galena_entry_service_of (world, open)->number;
  pending->began = world->now;
  pending->deadline = galena_clock_add_ms (world->now, open->deadline_ms);
  galena_map_insert (entry->pending_by_flow, key, galena_handle_pack (handle));
  if (try_next (world, pending))
    return;
  galena_entry_refuse (world, open, GALENA_REFUSED_NO_UPSTREAM);
  galena_entry_remove_pending (world, handle);
}

static void
mark_last_tried_suspect (struct galena_world *world,
                         const struct galena_pending_open *pending)
{
  uint32_t upstream;

  if (pending->tried_count == 0)
    return;
  upstream = pending->tried[pending->tried_count - 1];
  galena_stats_upstream (world, upstream)->unanswered++;
  galena_entry_mark_suspect (world, upstream);
}

void
galena_entry_run_retry (struct galena_world *world)
{
  struct galena_pending_open *pending;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while (
      (pending = galena_table_next (world->entry->pending, &cursor, &handle))
      != NULL)
    {
      if (!galena_clock_reached (world->now, pending->next_try))
        continue;
      mark_last_tried_suspect (world, pending);
      /* No agent sends this result: it means that no reply came.  */
      galena_entry_retry (world, handle, GALENA_REFUSED_NO_UPSTREAM);
    }
}
