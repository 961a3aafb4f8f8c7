/* Worlds: creation, the tick, and the functions that all roles share.  */

#include <stdlib.h>

#include <galenaford/map.h>

#include "stats.h"
#include "world_private.h"

enum
{
  AUDIT_ROWS = 1024,
  /* A gap between two ticks longer than this counts as a pause of the
     process.  */
  PAUSE_MS = 2000,
  /* Maximum wait for renewed records after a pause.  */
  RENEWAL_LIMIT_MS = 10000
};

static const struct galena_role_operations *const ROLES[GALENA_ROLE_COUNT] = {
  [GALENA_ROLE_ENTRY] = &galena_entry_role,
  [GALENA_ROLE_AGENT] = &galena_agent_role,
  [GALENA_ROLE_CALLER] = &galena_caller_role,
};

static enum galena_result
create_mailboxes (struct galena_world *world)
{
  struct galena_mailbox_options options
      = { world->options.messages, world->options.borrow_bodies };
  enum galena_result result = galena_mailbox_create (&options, &world->inbox);

  if (result != GALENA_OK)
    return result;
  return galena_mailbox_create (&options, &world->outbox);
}

enum galena_result
galena_world_create (const struct galena_world_options *options,
                     struct galena_world **out)
{
  struct galena_audit_options audit_options = { AUDIT_ROWS };
  struct galena_world *world;
  enum galena_result result;

  if (options->role >= GALENA_ROLE_COUNT)
    return GALENA_ERR_INVALID;
  if (options->borrow_bodies && options->role != GALENA_ROLE_ENTRY)
    return GALENA_ERR_INVALID;
  world = calloc (1, sizeof *world);
  if (world == NULL)
    return GALENA_ERR_MEMORY;
  world->options = *options;
  world->role = ROLES[options->role];
  world->random.seed = options->seed;
  result = galena_audit_create (&audit_options, &world->audit);
  if (result != GALENA_OK)
    goto fail;
  result = galena_stats_create (options->seed, &world->stats);
  if (result != GALENA_OK)
    goto fail;
  result = create_mailboxes (world);
  if (result != GALENA_OK)
    goto fail;
  result = world->role->create (world);
  if (result != GALENA_OK)
    goto fail;
  *out = world;
  return GALENA_OK;

fail:
  galena_world_destroy (world);
  return result;
}

void
galena_world_destroy (struct galena_world *world)
{
  if (world == NULL)
    return;
  world->role->destroy (world);
  galena_mailbox_destroy (world->inbox);
  galena_mailbox_destroy (world->outbox);
  galena_audit_destroy (world->audit);
  galena_stats_destroy (world->stats);
  free (world);
}

struct galena_mailbox *
galena_world_inbox (struct galena_world *world)
{
  return world->inbox;
}

const struct galena_mailbox *
galena_world_outbox (const struct galena_world *world)
{
  return world->outbox;
}

/* Handles a pause of GAP_MS since the last tick.  */
static void
handle_pause (struct galena_world *world, int64_t gap_ms)
{
  world->resumed_at = world->now;
  galena_world_append_audit (
      world, (struct galena_audit_row){ .event = GALENA_AUDIT_PAUSED,
                                        .generation = (uint64_t)gap_ms });
  if (world->role->on_pause != NULL)
    world->role->on_pause (world, gap_ms);
}

/* Sets the time of the tick and detects a pause before it.  */
static void
set_time (struct galena_world *world, struct galena_clock now)
{
  int64_t gap_ms = galena_clock_elapsed_ms (world->now, now);
  bool first = world->now.ms == 0;

  world->now = now;
  if (!first && gap_ms > PAUSE_MS)
    handle_pause (world, gap_ms);
}

static void
run_due_systems (struct galena_world *world)
{
  for (uint32_t i = 0; i < world->role->system_count; i++)
    {
      const struct galena_system *system = &world->role->systems[i];

      if (!galena_clock_reached (world->now, world->due[i]))
        continue;
      system->run (world);
      world->due[i] = galena_clock_add_ms (world->now, system->period_ms);
    }
}

bool
galena_world_is_renewing (const struct galena_world *world)
{
  struct galena_clock renewed = galena_config_renewed (world->config);

  return world->resumed_at.ms != 0 && renewed.ms != 0
         && renewed.ms < world->resumed_at.ms
         && galena_clock_elapsed_ms (world->resumed_at, world->now)
                < RENEWAL_LIMIT_MS;
}

void
galena_world_tick (struct galena_world *world, struct galena_clock now,
                   const struct galena_config *config)
{
  set_time (world, now);
  world->config = config;
  galena_mailbox_clear (world->outbox);
  galena_world_count (world, GALENA_COUNT_TICKS);
  run_due_systems (world);
  galena_mailbox_clear (world->inbox);
  world->config = NULL;
}

/* Returns the minimum period of the systems that make a tick due.  */
static uint32_t
min_period_ms (const struct galena_world *world)
{
  if (world->role->needs_frequent_ticks == NULL
      || world->role->needs_frequent_ticks (world))
    return 1;
  return GALENA_IDLE_PERIOD_MS;
}

struct galena_clock
galena_world_due (const struct galena_world *world)
{
  uint32_t min_ms = min_period_ms (world);
  struct galena_clock first = { INT64_MAX };

  for (uint32_t i = 0; i < world->role->system_count; i++)
    {
      if (world->role->systems[i].period_ms < min_ms)
        continue;
      if (world->due[i].ms < first.ms)
        first = world->due[i];
    }
  return first;
}

struct galena_clock
galena_world_now (const struct galena_world *world)
{
  return world->now;
}

void
galena_world_drain (struct galena_world *world)
{
  if (world->draining)
    return;
  world->draining = true;
  world->drain_started = world->now;
}

const struct galena_counters *
galena_world_counters (const struct galena_world *world)
{
  return &world->counters;
}

const struct galena_audit *
galena_world_audit (const struct galena_world *world)
{
  return world->audit;
}

void
galena_world_usage (const struct galena_world *world,
                    struct galena_world_usage *usage)
{
  *usage = (struct galena_world_usage){ 0 };
  world->role->usage (world, usage);
}

bool
galena_world_idle (const struct galena_world *world)
{
  struct galena_world_usage usage;

  if (world->role->is_idle != NULL)
    return world->role->is_idle (world);
  galena_world_usage (world, &usage);
  return usage.flows == 0 && usage.requests == 0 && usage.pending_opens == 0;
}

void
galena_world_dispatch (
    struct galena_world *world,
    galena_message_handler
        *const handlers[GALENA_SIDE_COUNT][GALENA_MESSAGE_TYPE_END])
{
  uint32_t count = galena_mailbox_count (world->inbox);

  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_message *message
          = galena_mailbox_get (world->inbox, i);
      galena_message_handler *handler = handlers[message->side][message->type];

      galena_world_count (world, GALENA_COUNT_RECEIVED);
      if (handler == NULL)
        {
          galena_world_count (world, GALENA_COUNT_UNEXPECTED);
          continue;
        }
      handler (world, message);
    }
}

void
galena_world_send (struct galena_world *world,
                   const struct galena_message *message)
{
  if (galena_mailbox_push (world->outbox, message) != GALENA_OK)
    {
      galena_world_count (world, GALENA_COUNT_UNSENT);
      return;
    }
  galena_world_count (world, GALENA_COUNT_SENT);
}

void
galena_world_append_audit (struct galena_world *world,
                           struct galena_audit_row row)
{
  row.at = world->now;
  galena_audit_append (world->audit, &row);
}

uint64_t
galena_flow_key (const struct galena_map *map, struct galena_flow_id flow)
{
  return galena_map_hash (map, &flow, sizeof flow);
}

struct request_key
{
  uint64_t flow;
  uint64_t number;
};

uint64_t
galena_request_key (const struct galena_map *map,
                    struct galena_flow_handle flow, uint32_t number)
{
  struct request_key key = { galena_handle_pack (flow.row), number };

  return galena_map_hash (map, &key, sizeof key);
}
