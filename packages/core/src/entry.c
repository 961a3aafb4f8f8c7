/* Systems of an entry: it routes packets by tag and opens by choice, and
   keeps nothing about established flows.  */

#include <stdlib.h>

#include <galenaford/tag.h>

#include "entry.h"
#include "stats.h"

enum
{
  /* Milliseconds without a reply before an open goes to the next one.  */
  RETRY_AFTER_MS = 100,
  RETRY_PERIOD_MS = 10,
  /* An upstream that left an open unanswered is avoided this long.  */
  SUSPECT_MS = 2000,
  /* A hint not renewed for this long is dropped.  */
  HINT_LIFE_MS = 5000,
  HINT_PERIOD_MS = 1000,
  /* A path that leaves a question unanswered for so long is given up.  */
  SILENT_PATH_MS = 500,
  HINTS_MAX = 8192,
  /* A stopping entry waits for its opens this long.  */
  DRAIN_OPENS_MS = 2000,
  /* Rounds over all candidates, while none of them replies.  */
  ROUNDS_MAX = 3,
  /* Most retries saved up.  */
  RETRY_TOKENS_MAX = 10
};

/* Retries allowed for each first try.  */
static const double RETRY_SHARE = 0.1;

/* Retries allowed each second, however few first tries there are.  */
static const double RETRIES_PER_SECOND = 1;

const struct galena_hint *
galena_entry_hint (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_entry *entry = world->entry;
  uint64_t packed;

  if (!galena_map_find (entry->hints_by_upstream, upstream, &packed))
    return NULL;
  return galena_table_get (entry->hints, galena_handle_unpack (packed));
}

bool
galena_entry_avoids (const struct galena_world *world,
                     const struct galena_hint *hint)
{
  return !galena_clock_reached (world->now, hint->suspect_until)
         || !galena_clock_reached (world->now, hint->leaving_until);
}

/* Returns the service that MESSAGE is meant for: by the number that its flow
   was accepted under, or by address while it has none.  */
static const struct galena_service *
service_of (const struct galena_world *world,
            const struct galena_message *message)
{
  if (message->service_number != 0)
    return galena_config_service_numbered (world->config,
                                           message->service_number);
  return galena_config_service_at (world->config, message->service);
}

/* Returns the hint on UPSTREAM, made when there is none; NULL when full.  */
static struct galena_hint *
hint_for (struct galena_world *world, uint32_t upstream)
{
  struct galena_entry *entry = world->entry;
  struct galena_handle handle;
  struct galena_hint *hint;
  uint64_t packed;

  if (galena_map_find (entry->hints_by_upstream, upstream, &packed))
    return galena_table_get (entry->hints, galena_handle_unpack (packed));
  hint = galena_table_insert (entry->hints, &handle);
  if (hint == NULL)
    return NULL;
  hint->upstream = upstream;
  hint->heard = world->now;
  galena_map_insert (entry->hints_by_upstream, upstream,
                     galena_handle_pack (handle));
  return hint;
}

/* Returns the source port for a packet to the agent of HINT that asks for a
   reply; another one when the last has got none.  */
static uint8_t
path_for_question (struct galena_world *world, struct galena_hint *hint)
{
  if (hint->asked.ms == 0)
    hint->asked = world->now;
  else if (galena_clock_between (hint->asked, world->now) >= SILENT_PATH_MS)
    {
      hint->path++;
      hint->asked = world->now;
      galena_world_count (world, GALENA_COUNT_PATHS_LEFT);
    }
  return hint->path;
}

static struct galena_pending_open *
find_pending (const struct galena_world *world, struct galena_flow_id flow,
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

static void
remove_pending (struct galena_world *world, struct galena_handle handle)
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
  const struct galena_service *service = service_of (world, open);
  bool known
      = service != NULL && galena_service_kind (service, open->kind) != NULL;

  galena_stats_refuse (world, known ? service->number : 0, open->kind, result);
}

static void
refuse_open (struct galena_world *world, const struct galena_message *open,
             enum galena_result result)
{
  struct galena_message refusal = *open;

  refusal.type = GALENA_MESSAGE_REFUSE;
  refusal.link = GALENA_LINK_CALLER;
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

/* Draws the candidates of FLOW from all active upstreams of SERVICE.  */
static uint32_t
draw_candidates (struct galena_world *world,
                 const struct galena_service *service,
                 uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  uint32_t end = service->first_upstream + service->upstream_count;
  uint32_t seen = 0;

  for (uint32_t i = service->first_upstream; i < end; i++)
    {
      uint32_t at;

      if (galena_config_upstream (world->config, i)->state
          != GALENA_UPSTREAM_ACTIVE)
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

/* Stores the candidates of PENDING that were not tried; returns how many. */
static uint32_t
untried_candidates (struct galena_world *world,
                    const struct galena_service *service,
                    const struct galena_pending_open *pending,
                    uint32_t untried[GALENA_CANDIDATES_MAX])
{
  uint32_t all[GALENA_CANDIDATES_MAX];
  uint32_t total;
  uint32_t count = 0;

  if (world->entry->choice->any_upstream)
    total = draw_candidates (world, service, all);
  else
    total = galena_config_candidates (world->config, service,
                                      pending->open.flow, all);
  if (pending->open.unrouted && total > GALENA_UNROUTED_CANDIDATES)
    total = GALENA_UNROUTED_CANDIDATES;
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
  struct galena_hint *hint = hint_for (world, upstream->number);

  if (hint != NULL)
    {
      hint->unanswered++;
      open.path = path_for_question (world, hint);
    }
  galena_stats_upstream (world, upstream->number)->opens++;
  open.link = GALENA_LINK_PEER;
  open.peer = upstream->agent;
  open.generation = service->generation;
  open.deadline_ms = galena_clock_left (world->now, pending->deadline);
  pending->tried[pending->tried_count++] = upstream->number;
  pending->next_try = galena_clock_after (world->now, RETRY_AFTER_MS);
  galena_world_send (world, &open);
}

/* Sends PENDING to its next candidate; false when there is none.  */
static bool
try_next (struct galena_world *world, struct galena_pending_open *pending)
{
  const struct galena_service *service = service_of (world, &pending->open);
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

static void
earn_retry_tokens (struct galena_entry *entry, double tokens)
{
  entry->retry_tokens += tokens;
  if (entry->retry_tokens > RETRY_TOKENS_MAX)
    entry->retry_tokens = RETRY_TOKENS_MAX;
}

static bool
spend_retry_token (struct galena_world *world)
{
  if (world->entry->retry_tokens < 1)
    {
      galena_world_count (world, GALENA_COUNT_RETRIES_DENIED);
      return false;
    }
  world->entry->retry_tokens -= 1;
  galena_world_count (world, GALENA_COUNT_RETRIES);
  return true;
}

/* Whether RESULT says that the upstream is the wrong one, and nothing about
   its load.  */
static bool
is_about_place (enum galena_result result)
{
  return result == GALENA_REFUSED_NO_UPSTREAM
         || result == GALENA_REFUSED_LEAVING
         || result == GALENA_REFUSED_WRONG_SERVICE
         || result == GALENA_REFUSED_RENEWING
         || result == GALENA_REFUSED_NOT_CANDIDATE;
}

/* Has another round begin later, when all candidates were the wrong ones or
   did not reply: packets may have been lost, or upstreams are being replaced.
   False after the last round.  */
static bool
try_again_later (const struct galena_world *world,
                 struct galena_pending_open *pending,
                 enum galena_result result)
{
  if (!is_about_place (result) || ++pending->rounds == ROUNDS_MAX)
    return false;
  pending->tried_count = 0;
  pending->next_try = galena_clock_after (world->now, RETRY_AFTER_MS);
  return true;
}

/* Retries PENDING, or gives it up with RESULT.  An open that met the wrong
   upstream waits while the budget is spent; one that met a full upstream is
   refused.  */
static void
retry_or_refuse (struct galena_world *world, struct galena_handle handle,
                 enum galena_result result)
{
  struct galena_pending_open *pending
      = galena_table_get (world->entry->pending, handle);
  bool left = !galena_clock_reached (world->now, pending->deadline);

  if (left && spend_retry_token (world))
    {
      if (try_next (world, pending)
          || try_again_later (world, pending, result))
        return;
    }
  else if (left && is_about_place (result))
    {
      pending->next_try = galena_clock_after (world->now, RETRY_AFTER_MS);
      return;
    }
  refuse_open (world, &pending->open, result);
  remove_pending (world, handle);
}

static void
start_open (struct galena_world *world, const struct galena_message *open)
{
  struct galena_entry *entry = world->entry;
  struct galena_handle handle;
  struct galena_pending_open *pending
      = galena_table_insert (entry->pending, &handle);
  uint64_t key = galena_flow_key (entry->pending_by_flow, open->flow);

  if (pending == NULL)
    {
      refuse_open (world, open, GALENA_REFUSED_SHED);
      return;
    }
  pending->open = *open;
  pending->open.body = NULL;
  pending->open.body_size = 0;
  pending->began = world->now;
  pending->deadline = galena_clock_after (world->now, open->deadline_ms);
  galena_map_insert (entry->pending_by_flow, key, galena_handle_pack (handle));
  earn_retry_tokens (entry, RETRY_SHARE);
  if (try_next (world, pending))
    return;
  refuse_open (world, open, GALENA_REFUSED_NO_UPSTREAM);
  remove_pending (world, handle);
}

/* Without any record yet, an open is left to the caller's next try at another
   entry.  */
static void
on_caller_open (struct galena_world *world,
                const struct galena_message *message)
{
  struct galena_message open = *message;
  const struct galena_service *service;
  struct galena_handle handle;

  open.caller = message->peer;
  open.tag = 0;
  open.hops = 0;
  open.entry = (struct galena_endpoint){ 0, 0 };
  if (find_pending (world, open.flow, &handle) != NULL)
    return;
  if (galena_config_service_count (world->config) == 0)
    {
      galena_world_count (world, GALENA_COUNT_NO_ROUTE);
      return;
    }
  galena_world_count (world, GALENA_COUNT_OPENS);
  service = service_of (world, &open);
  if (service == NULL)
    {
      refuse_open (world, &open, GALENA_REFUSED_NO_SERVICE);
      return;
    }
  if (galena_service_kind (service, open.kind) != NULL)
    galena_stats_count (world, service->number, open.kind, GALENA_KIND_OPENS);
  start_open (world, &open);
}

static bool
is_suspect (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_hint *hint = galena_entry_hint (world, upstream);

  return hint != NULL
         && !galena_clock_reached (world->now, hint->suspect_until);
}

/* Returns the source port for a caller's packet.  Agents reply to requests;
   what else goes to them follows the same path.  */
static uint8_t
path_onward (struct galena_world *world, const struct galena_message *message,
             uint32_t upstream)
{
  const struct galena_hint *known;
  struct galena_hint *hint;

  if (message->type != GALENA_MESSAGE_REQUEST)
    {
      known = galena_entry_hint (world, upstream);
      return known == NULL ? 0 : known->path;
    }
  hint = hint_for (world, upstream);
  return hint == NULL ? 0 : path_for_question (world, hint);
}

/* Passes a caller's packet to UPSTREAM with its return path.  */
static void
send_onward (struct galena_world *world, const struct galena_message *message,
             const struct galena_service *service,
             const struct galena_upstream *upstream)
{
  struct galena_message onward = *message;

  onward.link = GALENA_LINK_PEER;
  onward.peer = upstream->agent;
  onward.caller = message->peer;
  onward.entry = (struct galena_endpoint){ 0, 0 };
  onward.hops = 0;
  onward.generation = service->generation;
  onward.path = path_onward (world, message, upstream->number);
  galena_world_send (world, &onward);
}

/* Sends a packet without a route to the first upstream of its chain that is
   not suspect; the agents there pass it on.  */
static void
route_by_chain (struct galena_world *world,
                const struct galena_message *message)
{
  const struct galena_service *service
      = galena_config_service_at (world->config, message->service);
  const struct galena_upstream *upstream = NULL;
  uint32_t chain[GALENA_CHAIN_MAX];
  uint32_t count = 0;

  if (service != NULL)
    count = galena_config_chain (
        world->config, service, galena_service_bucket (service, message->flow),
        chain);
  for (uint32_t i = 0; i < count; i++)
    {
      upstream = galena_config_upstream (world->config, chain[i]);
      if (!is_suspect (world, upstream->number))
        break;
    }
  if (upstream == NULL)
    galena_world_count (world, GALENA_COUNT_NO_ROUTE);
  else
    send_onward (world, message, service, upstream);
}

static bool
is_meant_for (const struct galena_service *service,
              const struct galena_message *message)
{
  if (message->service_number != 0)
    return service->number == message->service_number;
  return galena_endpoint_equal (service->address, message->service);
}

/* Sends a caller's packet to the agent that its tag names.  */
static void
on_caller_data (struct galena_world *world,
                const struct galena_message *message)
{
  const struct galena_upstream *upstream = galena_config_upstream_numbered (
      world->config, galena_tag_upstream (message->tag));
  const struct galena_service *service;

  if (galena_tag_upstream (message->tag) == 0)
    {
      route_by_chain (world, message);
      return;
    }
  if (upstream == NULL)
    {
      galena_world_count (world, GALENA_COUNT_NO_ROUTE);
      return;
    }
  service = galena_config_service (world->config, upstream->service);
  if (!is_meant_for (service, message))
    {
      galena_world_count (world, GALENA_COUNT_WRONG_SERVICE);
      return;
    }
  send_onward (world, message, service, upstream);
}

static void
learn_hint (struct galena_world *world, const struct galena_message *message)
{
  struct galena_hint *hint
      = hint_for (world, galena_tag_upstream (message->tag));

  if (hint == NULL)
    return;
  if (!galena_clock_reached (world->now, hint->suspect_until))
    galena_world_note (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_BACK,
                                          .upstream = hint->upstream });
  hint->queue = message->queue;
  hint->heard = world->now;
  hint->asked.ms = 0;
  hint->unanswered = 0;
  hint->suspect_until = world->now;
  if (message->kind >= GALENA_KINDS_MAX)
    return;
  hint->overload[message->kind] = message->overload;
  hint->wait_ms[message->kind] = message->wait_ms;
  hint->told[message->kind] = world->now;
}

static void
send_to_caller (struct galena_world *world,
                const struct galena_message *message)
{
  struct galena_message onward = *message;

  onward.link = GALENA_LINK_CALLER;
  onward.peer = message->caller;
  galena_world_send (world, &onward);
}

static void
count_acceptance (struct galena_world *world,
                  const struct galena_pending_open *pending, uint32_t upstream)
{
  const struct galena_message *open = &pending->open;
  const struct galena_service *service = service_of (world, open);

  galena_stats_upstream (world, upstream)->accepted++;
  if (service == NULL || galena_service_kind (service, open->kind) == NULL)
    return;
  galena_stats_count (world, service->number, open->kind,
                      GALENA_KIND_ACCEPTED);
  galena_stats_time (world, service->number, open->kind,
                     galena_clock_between (pending->began, world->now));
}

static void
on_agent_accept (struct galena_world *world,
                 const struct galena_message *message)
{
  struct galena_handle handle;
  struct galena_pending_open *pending;

  learn_hint (world, message);
  pending = find_pending (world, message->flow, &handle);
  if (pending != NULL)
    {
      count_acceptance (world, pending, galena_tag_upstream (message->tag));
      remove_pending (world, handle);
    }
  galena_world_count (world, GALENA_COUNT_ACCEPTED);
  send_to_caller (world, message);
}

static void
note_leaving (struct galena_world *world, const struct galena_message *message)
{
  struct galena_hint *hint
      = hint_for (world, galena_tag_upstream (message->tag));

  if (hint != NULL)
    hint->leaving_until = galena_clock_after (world->now, SUSPECT_MS);
}

static void
on_agent_refuse (struct galena_world *world,
                 const struct galena_message *message)
{
  struct galena_handle handle;

  learn_hint (world, message);
  if (message->request != 0)
    {
      send_to_caller (world, message);
      return;
    }
  if (find_pending (world, message->flow, &handle) == NULL)
    return;
  galena_stats_upstream (world, galena_tag_upstream (message->tag))->refused++;
  if (message->result == GALENA_REFUSED_LEAVING)
    note_leaving (world, message);
  retry_or_refuse (world, handle, message->result);
}

static void
on_agent_data (struct galena_world *world,
               const struct galena_message *message)
{
  learn_hint (world, message);
  send_to_caller (world, message);
}

static galena_handler *const
    HANDLERS[GALENA_LINK_COUNT][GALENA_MESSAGE_TYPE_END]
    = {
        [GALENA_LINK_CALLER] = {
          [GALENA_MESSAGE_OPEN] = on_caller_open,
          [GALENA_MESSAGE_REQUEST] = on_caller_data,
          [GALENA_MESSAGE_ACK_ANSWER] = on_caller_data,
          [GALENA_MESSAGE_CANCEL] = on_caller_data,
          [GALENA_MESSAGE_CLOSE] = on_caller_data,
        },
        [GALENA_LINK_PEER] = {
          [GALENA_MESSAGE_ACCEPT] = on_agent_accept,
          [GALENA_MESSAGE_REFUSE] = on_agent_refuse,
          [GALENA_MESSAGE_ANSWER] = on_agent_data,
          [GALENA_MESSAGE_ACK_REQUEST] = on_agent_data,
          [GALENA_MESSAGE_LOST] = on_agent_data,
        },
      };

static void
run_receive (struct galena_world *world)
{
  galena_world_dispatch (world, HANDLERS);
}

static void
suspect_last_tried (struct galena_world *world,
                    const struct galena_pending_open *pending)
{
  uint32_t upstream;
  struct galena_hint *hint;

  if (pending->tried_count == 0)
    return;
  upstream = pending->tried[pending->tried_count - 1];
  hint = hint_for (world, upstream);
  galena_stats_upstream (world, upstream)->unanswered++;
  if (hint == NULL || hint->unanswered == 0)
    return;
  if (galena_clock_reached (world->now, hint->suspect_until))
    galena_world_note (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_LOST,
                                          .upstream = upstream });
  hint->suspect_until = galena_clock_after (world->now, SUSPECT_MS);
}

static void
run_retry (struct galena_world *world)
{
  struct galena_pending_open *pending;
  struct galena_handle handle;
  uint32_t cursor = 0;

  earn_retry_tokens (world->entry,
                     RETRIES_PER_SECOND * RETRY_PERIOD_MS / 1000);
  while (
      (pending = galena_table_next (world->entry->pending, &cursor, &handle))
      != NULL)
    {
      if (!galena_clock_reached (world->now, pending->next_try))
        continue;
      suspect_last_tried (world, pending);
      retry_or_refuse (world, handle, GALENA_REFUSED_NO_UPSTREAM);
    }
}

/* Whether HINT tells that an earlier path to a known agent was silent.  */
static bool
keeps_path (const struct galena_world *world, const struct galena_hint *hint)
{
  return hint->path != 0
         && galena_config_upstream_numbered (world->config, hint->upstream)
                != NULL;
}

static void
run_expire_hints (struct galena_world *world)
{
  struct galena_entry *entry = world->entry;
  struct galena_hint *hint;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((hint = galena_table_next (entry->hints, &cursor, &handle)) != NULL)
    {
      if (galena_clock_between (hint->heard, world->now) < HINT_LIFE_MS
          || keeps_path (world, hint))
        continue;
      galena_map_remove (entry->hints_by_upstream, hint->upstream);
      galena_table_remove (entry->hints, handle);
    }
}

static bool
has_pending (const struct galena_world *world)
{
  return galena_table_count (world->entry->pending) > 0;
}

static const struct galena_system SYSTEMS[] = {
  { "receive", 0, run_receive },
  { "retry", RETRY_PERIOD_MS, run_retry },
  { "expire-hints", HINT_PERIOD_MS, run_expire_hints },
  { "stats", GALENA_STATS_PERIOD_MS, galena_stats_run },
};

static enum galena_result
create_tables (struct galena_world *world)
{
  struct galena_entry *entry = world->entry;
  struct galena_table_options hints
      = { sizeof (struct galena_hint), HINTS_MAX };
  struct galena_table_options pending
      = { sizeof (struct galena_pending_open), world->options.flows };
  struct galena_map_options by_upstream = { HINTS_MAX, world->options.seed };
  struct galena_map_options by_flow
      = { world->options.flows, world->options.seed };
  enum galena_result result = galena_table_create (&hints, &entry->hints);

  if (result != GALENA_OK)
    return result;
  result = galena_table_create (&pending, &entry->pending);
  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&by_upstream, &entry->hints_by_upstream);
  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_flow, &entry->pending_by_flow);
}

static enum galena_result
create_entry (struct galena_world *world)
{
  world->entry = calloc (1, sizeof *world->entry);
  if (world->entry == NULL)
    return GALENA_ERR_MEMORY;
  world->entry->retry_tokens = RETRY_TOKENS_MAX;
  world->entry->choice = galena_choice_policy (world->options.choice);
  if (world->entry->choice == NULL)
    return GALENA_ERR_NOT_FOUND;
  return create_tables (world);
}

static void
destroy_entry (struct galena_world *world)
{
  struct galena_entry *entry = world->entry;

  if (entry == NULL)
    return;
  galena_table_destroy (entry->hints);
  galena_table_destroy (entry->pending);
  galena_map_destroy (entry->hints_by_upstream);
  galena_map_destroy (entry->pending_by_flow);
  free (entry);
}

static void
report_usage (const struct galena_world *world,
              struct galena_world_usage *usage)
{
  usage->pending_opens = galena_table_count (world->entry->pending);
  usage->hints = galena_table_count (world->entry->hints);
}

/* Under steady load there is always an open without a reply.  Those from
   before the drain have ended after DRAIN_OPENS_MS; later ones run nothing,
   and their callers send them again.  */
static bool
is_idle (const struct galena_world *world)
{
  struct galena_clock end
      = galena_clock_after (world->drain_began, DRAIN_OPENS_MS);

  if (galena_table_count (world->entry->pending) == 0)
    return true;
  return world->draining && galena_clock_reached (world->now, end);
}

static void
report_upstream (const struct galena_world *world,
                 struct galena_upstream_stats *row)
{
  const struct galena_hint *hint = galena_entry_hint (world, row->upstream);

  if (hint == NULL)
    return;
  for (uint32_t i = 0; i < GALENA_KINDS_MAX; i++)
    if (hint->wait_ms[i] > row->wait_ms)
      row->wait_ms = hint->wait_ms[i];
  row->suspect = !galena_clock_reached (world->now, hint->suspect_until);
}

const struct galena_role_operations galena_entry_role = {
  .name = "entry",
  .create = create_entry,
  .destroy = destroy_entry,
  .usage = report_usage,
  .is_idle = is_idle,
  .report_upstream = report_upstream,
  .busy = has_pending,
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
