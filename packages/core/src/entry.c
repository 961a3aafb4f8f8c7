/* The systems of an entry.  It routes packets of established flows by their
   tag and keeps no state for them; for opens it chooses an upstream.  */

#include <stdlib.h>

#include <galenaford/tag.h>

#include "entry.h"
#include "stats.h"

enum
{
  RETRY_PERIOD_MS = 10,
  /* Longest time that a draining entry waits for its pending opens.  */
  DRAIN_TIMEOUT_MS = 2000,
  HINT_PERIOD_MS = 1000,
  BUDGET_PERIOD_MS = 1000,
  HINTS_MAX = 8192,
  /* Most kinds of work, over all services.  */
  BUDGETS_MAX = 8192
};

/* Before the entry has any service record, it drops opens without a refusal:
   the caller sends them again and may reach another entry.  */
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
  if (galena_entry_find_pending (world, open.flow, &handle) != NULL)
    return;
  if (galena_config_service_count (world->config) == 0)
    {
      galena_world_count (world, GALENA_COUNT_NO_ROUTE);
      return;
    }
  galena_world_count (world, GALENA_COUNT_OPENS);
  service = galena_entry_service_of (world, &open);
  if (service == NULL)
    {
      galena_entry_refuse (world, &open, GALENA_REFUSED_NO_SERVICE);
      return;
    }
  if (galena_service_kind (service, open.kind) != NULL)
    galena_stats_count (world, service->number, open.kind, GALENA_KIND_OPENS);
  galena_entry_start_open (world, &open);
}

/* Returns the index of the source port for a caller's packet to UPSTREAM.
   Only requests require a reply and may change the port; other packets use the
   current one.  */
static uint8_t
source_port_to_upstream (struct galena_world *world,
                         const struct galena_message *message,
                         uint32_t upstream)
{
  const struct galena_hint *known;
  struct galena_hint *hint;

  if (message->type != GALENA_MESSAGE_REQUEST)
    {
      known = galena_entry_find_hint (world, upstream);
      return known == NULL ? 0 : known->source_port_index;
    }
  hint = galena_entry_find_or_add_hint (world, upstream);
  return hint == NULL ? 0 : galena_entry_select_source_port (world, hint);
}

/* Forwards a caller's packet to UPSTREAM with the caller's address as return
   path.  */
static void
forward_to_upstream (struct galena_world *world,
                     const struct galena_message *message,
                     const struct galena_service *service,
                     const struct galena_upstream *upstream)
{
  struct galena_message forwarded = *message;

  forwarded.side = GALENA_SIDE_PEER;
  forwarded.peer = upstream->agent;
  forwarded.caller = message->peer;
  forwarded.entry = (struct galena_endpoint){ 0, 0 };
  forwarded.hops = 0;
  forwarded.generation = service->generation;
  forwarded.source_port_index
      = source_port_to_upstream (world, message, upstream->number);
  galena_world_send (world, &forwarded);
}

/* Forwards a packet whose tag carries no upstream number to the first upstream
   of its bucket's chain that is not suspect, or to the last one when all are.
   Agents that do not know the flow forward the packet along the chain.  */
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
      if (!galena_entry_is_suspect (world, upstream->number))
        break;
    }
  if (upstream == NULL)
    galena_world_count (world, GALENA_COUNT_NO_ROUTE);
  else
    forward_to_upstream (world, message, service, upstream);
}

static bool
is_for_service (const struct galena_service *service,
                const struct galena_message *message)
{
  if (message->service_number != 0)
    return service->number == message->service_number;
  return galena_endpoint_equal (service->address, message->service);
}

/* Forwards a caller's packet to the agent of the upstream in its tag.  */
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
  if (!is_for_service (service, message))
    {
      galena_world_count (world, GALENA_COUNT_WRONG_SERVICE);
      return;
    }
  forward_to_upstream (world, message, service, upstream);
}

static void
send_to_caller (struct galena_world *world,
                const struct galena_message *message)
{
  struct galena_message forwarded = *message;

  forwarded.side = GALENA_SIDE_CALLER;
  forwarded.peer = message->caller;
  galena_world_send (world, &forwarded);
}

static void
count_acceptance (struct galena_world *world,
                  const struct galena_pending_open *pending, uint32_t upstream)
{
  const struct galena_message *open = &pending->open;
  const struct galena_service *service = galena_entry_service_of (world, open);

  galena_stats_upstream (world, upstream)->accepted++;
  if (service == NULL || galena_service_kind (service, open->kind) == NULL)
    return;
  galena_stats_count (world, service->number, open->kind,
                      GALENA_KIND_ACCEPTED);
  galena_stats_add_latency (
      world, service->number, open->kind,
      galena_clock_elapsed_ms (pending->began, world->now));
}

/* An agent that handed an open to another agent sends no reply itself; the
   other agent's reply shows that the first one is alive.  */
static void
clear_suspicion_after_handoff (struct galena_world *world,
                               const struct galena_pending_open *pending,
                               const struct galena_message *reply)
{
  if (reply->hops > 0 && pending->tried_count > 0)
    galena_entry_clear_suspicion (world,
                                  pending->tried[pending->tried_count - 1]);
}

static void
on_agent_accept (struct galena_world *world,
                 const struct galena_message *message)
{
  struct galena_handle handle;
  struct galena_pending_open *pending;

  galena_entry_update_hint (world, message);
  pending = galena_entry_find_pending (world, message->flow, &handle);
  if (pending != NULL)
    {
      clear_suspicion_after_handoff (world, pending, message);
      galena_budget_note_reply (world, &pending->open, message);
      count_acceptance (world, pending, galena_tag_upstream (message->tag));
      galena_entry_remove_pending (world, handle);
    }
  galena_world_count (world, GALENA_COUNT_ACCEPTED);
  send_to_caller (world, message);
}

static void
on_agent_refuse (struct galena_world *world,
                 const struct galena_message *message)
{
  struct galena_handle handle;
  const struct galena_pending_open *pending;

  galena_entry_update_hint (world, message);
  if (message->request != 0)
    {
      send_to_caller (world, message);
      return;
    }
  pending = galena_entry_find_pending (world, message->flow, &handle);
  if (pending == NULL)
    return;
  clear_suspicion_after_handoff (world, pending, message);
  galena_budget_note_reply (world, &pending->open, message);
  galena_stats_upstream (world, galena_tag_upstream (message->tag))->refused++;
  if (message->result == GALENA_REFUSED_LEAVING)
    galena_entry_note_leaving (world, message);
  galena_entry_retry (world, handle, message->result);
}

static void
on_agent_data (struct galena_world *world,
               const struct galena_message *message)
{
  galena_entry_update_hint (world, message);
  send_to_caller (world, message);
}

static galena_message_handler *const
    HANDLERS[GALENA_SIDE_COUNT][GALENA_MESSAGE_TYPE_END]
    = {
        [GALENA_SIDE_CALLER] = {
          [GALENA_MESSAGE_OPEN] = on_caller_open,
          [GALENA_MESSAGE_REQUEST] = on_caller_data,
          [GALENA_MESSAGE_ACK_ANSWER] = on_caller_data,
          [GALENA_MESSAGE_CANCEL] = on_caller_data,
          [GALENA_MESSAGE_CLOSE] = on_caller_data,
        },
        [GALENA_SIDE_PEER] = {
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

static bool
has_pending (const struct galena_world *world)
{
  return galena_table_count (world->entry->pending) > 0;
}

static const struct galena_system SYSTEMS[] = {
  { "receive", 0, run_receive },
  { "retry", RETRY_PERIOD_MS, galena_entry_run_retry },
  { "expire-hints", HINT_PERIOD_MS, galena_entry_run_expire_hints },
  { "budgets", BUDGET_PERIOD_MS, galena_entry_run_budgets },
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
  struct galena_table_options budgets
      = { sizeof (struct galena_kind_budget), BUDGETS_MAX };
  struct galena_map_options by_kind = { BUDGETS_MAX, world->options.seed };
  struct galena_map_options by_upstream = { HINTS_MAX, world->options.seed };
  struct galena_map_options by_flow
      = { world->options.flows, world->options.seed };
  enum galena_result result = galena_table_create (&hints, &entry->hints);

  if (result != GALENA_OK)
    return result;
  result = galena_table_create (&pending, &entry->pending);
  if (result != GALENA_OK)
    return result;
  result = galena_table_create (&budgets, &entry->budgets);
  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&by_kind, &entry->budgets_by_kind);
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
  galena_table_destroy (entry->budgets);
  galena_map_destroy (entry->budgets_by_kind);
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

/* Under steady load some open is always pending, so a drain does not wait
   longer than DRAIN_TIMEOUT_MS.  Opens from before the drain have ended by
   then; nothing has run for later ones, and their callers send them again.  */
static bool
is_idle (const struct galena_world *world)
{
  struct galena_clock end
      = galena_clock_add_ms (world->drain_started, DRAIN_TIMEOUT_MS);

  if (galena_table_count (world->entry->pending) == 0)
    return true;
  return world->draining && galena_clock_reached (world->now, end);
}

static void
report_upstream (const struct galena_world *world,
                 struct galena_upstream_stats *row)
{
  const struct galena_hint *hint
      = galena_entry_find_hint (world, row->upstream);

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
  .needs_frequent_ticks = has_pending,
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
