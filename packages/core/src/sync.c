/* The systems of the sync module, and its events, actions and queries.  */

#include <stdlib.h>

#include "sync_private.h"

/* Value of the current time before the first tick.  */
static const int64_t NEVER_MS = INT64_MIN;

/* Handles a pause of the process, after which its records may be out of
   date.  */
static void
handle_pause (struct galena_sync *sync)
{
  struct galena_audit_row row
      = { .at = sync->now, .event = GALENA_AUDIT_PAUSED };

  galena_audit_append (sync->options.audit, &row);
  sync_mark_unsynced (sync);
  sync->polls[GALENA_SYNC_READ_INDEX].due = sync->now;
  galena_table_remove (sync->reads, sync->polls[GALENA_SYNC_READ_INDEX].read);
  sync_add_read_jitter (sync);
  sync_request_announcements (sync);
}

static bool
has_synced_peer_announced (const struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    if (link->synced && link->announced_all)
      return true;
  return false;
}

/* Returns whether no peers are known and the list of instances, if the
   platform has one, was read.  */
static bool
has_no_peers (const struct galena_sync *sync)
{
  if (galena_table_count (sync->links) > 0
      || galena_table_count (sync->peers) > 0)
    return false;
  return !sync->options.has_instance_list
         || sync->polls[GALENA_SYNC_READ_INSTANCES].ended;
}

/* Returns whether the index was read, there are outgoing links, and no peer on
   one of them has more to announce: each has sent a heartbeat, and is either
   not synced itself or has announced all its records.  */
static bool
no_peer_has_more (const struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  if (!sync->polls[GALENA_SYNC_READ_INDEX].succeeded)
    return false;
  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    {
      if (!link->outgoing)
        continue;
      if (!link->heartbeat_received || (link->synced && !link->announced_all))
        return false;
      count++;
    }
  return count > 0;
}

/* System: marks the process as synced once no newer record is known, and a
   synced peer has announced all its records or no peer can.  Timeouts limit
   the wait for both.  */
static void
run_finish_sync (struct galena_sync *sync)
{
  int64_t waited = galena_clock_elapsed_ms (sync->unsynced_since, sync->now);
  uint32_t behind = sync_count_behind (sync);
  int64_t limit
      = SYNC_PEERS_WAIT_MS + 2 * (int64_t)sync_read_interval_ms (sync);

  if (sync->synced)
    return;
  if (behind > 0 && waited < SYNC_WAIT_BEHIND_MS + limit)
    return;
  if (waited < limit && !has_no_peers (sync)
      && !has_synced_peer_announced (sync) && !no_peer_has_more (sync))
    return;
  sync->synced = true;
  sync->renewed = sync->now;
  sync->changed = true;
  /* The requests are heartbeats, which also tell the peers that this process
     is synced now.  */
  sync_request_announcements (sync);
}

/* The systems, in the order in which each tick runs them.  */
static void (*const SYSTEMS[]) (struct galena_sync *)
    = { sync_run_link_timeouts, sync_run_connects,  sync_run_heartbeats,
        sync_run_reads,         sync_run_instances, run_finish_sync };

void
galena_sync_tick (struct galena_sync *sync, struct galena_clock now)
{
  bool started = sync->now.ms != NEVER_MS;
  int64_t passed = started ? galena_clock_elapsed_ms (sync->now, now) : 0;

  sync->now = now;
  if (!started)
    {
      sync->unsynced_since = now;
      sync_add_read_jitter (sync);
    }
  if (passed > SYNC_PAUSE_MS)
    handle_pause (sync);
  for (size_t i = 0; i < sizeof SYSTEMS / sizeof SYSTEMS[0]; i++)
    SYSTEMS[i](sync);
}

struct galena_clock
galena_sync_due (const struct galena_sync *sync)
{
  return galena_clock_add_ms (sync->now, SYNC_TICK_MS);
}

void
sync_mark_unsynced (struct galena_sync *sync)
{
  sync->synced = false;
  sync->polls[GALENA_SYNC_READ_INDEX].succeeded = false;
  sync->unsynced_since = sync->now;
}

static void
on_read_ended (struct galena_sync *sync, const struct galena_sync_event *event)
{
  sync_read_ended (sync, event);
}

static void
on_received (struct galena_sync *sync, const struct galena_sync_event *event)
{
  sync_receive (sync, event->peer.row, event->message);
}

static void
on_link_ended (struct galena_sync *sync, const struct galena_sync_event *event)
{
  sync_end_link (sync, event->peer.row, false);
}

static void (*const EVENTS[GALENA_SYNC_EVENT_COUNT]) (
    struct galena_sync *, const struct galena_sync_event *)
    = {
        [GALENA_SYNC_READ_ENDED] = on_read_ended,
        [GALENA_SYNC_RECEIVED] = on_received,
        [GALENA_SYNC_LINK_ENDED] = on_link_ended,
      };

void
galena_sync_handle_event (struct galena_sync *sync,
                          const struct galena_sync_event *event,
                          struct galena_clock now)
{
  if (sync->now.ms == NEVER_MS
      || galena_clock_elapsed_ms (sync->now, now) > SYNC_PAUSE_MS)
    galena_sync_tick (sync, now);
  EVENTS[event->type](sync, event);
}

/* Doubles the capacity of the queue of actions; returns false when that
   fails.  */
static bool
grow_actions (struct galena_sync *sync)
{
  uint32_t room = sync->action_capacity * 2;
  struct galena_sync_action *actions;

  if (room > SYNC_ACTIONS_MAX)
    return false;
  actions = calloc (room, sizeof *actions);
  if (actions == NULL)
    return false;
  for (uint32_t i = 0; i < sync->action_count; i++)
    actions[i]
        = sync->actions[(sync->action_head + i) % sync->action_capacity];
  free (sync->actions);
  sync->actions = actions;
  sync->action_head = 0;
  sync->action_capacity = room;
  return true;
}

struct galena_sync_action *
sync_append_action (struct galena_sync *sync,
                    enum galena_sync_action_type type)
{
  struct galena_sync_action *action;
  uint32_t at;

  if (sync->action_count == sync->action_capacity && !grow_actions (sync))
    return NULL;
  at = (sync->action_head + sync->action_count) % sync->action_capacity;
  sync->action_count++;
  action = &sync->actions[at];
  *action = (struct galena_sync_action){ .type = type };
  return action;
}

bool
galena_sync_next_action (struct galena_sync *sync,
                         struct galena_sync_action *action)
{
  if (sync->action_count == 0)
    return false;
  *action = sync->actions[sync->action_head];
  sync->action_head = (sync->action_head + 1) % sync->action_capacity;
  sync->action_count--;
  return true;
}

bool
galena_sync_changed (struct galena_sync *sync)
{
  bool changed = sync->changed && sync->synced;

  if (changed)
    sync->changed = false;
  return changed;
}

bool
galena_sync_is_synced (const struct galena_sync *sync)
{
  return sync->synced;
}

enum galena_result
galena_sync_snapshot (const struct galena_sync *sync,
                      struct galena_config **out)
{
  enum galena_result result = galena_records_snapshot (sync->records, out);

  if (result == GALENA_OK)
    galena_config_set_renewed (*out, sync->renewed);
  return result;
}

const struct galena_records *
galena_sync_records (const struct galena_sync *sync)
{
  return sync->records;
}

void
galena_sync_usage (const struct galena_sync *sync,
                   struct galena_sync_usage *usage)
{
  usage->links = sync_count_links (sync);
  usage->behind = sync_count_behind (sync);
  usage->known_peers = galena_table_count (sync->peers);
  usage->leaving = sync_count_leaving (sync);
  usage->reads = sync->platform_reads;
}

static enum galena_result
create_tables (struct galena_sync *sync)
{
  struct
  {
    size_t row_size;
    uint32_t capacity;
    struct galena_table **table;
  } const rows[] = {
    { sizeof (struct sync_link), GALENA_SYNC_LINKS_MAX, &sync->links },
    { sizeof (struct sync_peer), SYNC_KNOWN_PEERS_MAX, &sync->peers },
    { sizeof (struct sync_service), SYNC_SERVICES_MAX, &sync->services },
    { sizeof (struct sync_instance), SYNC_INSTANCES_MAX, &sync->instances },
    { sizeof (struct sync_read), SYNC_READS_MAX, &sync->reads },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct galena_table_options options
          = { rows[i].row_size, rows[i].capacity };
      enum galena_result result
          = galena_table_create (&options, rows[i].table);

      if (result != GALENA_OK)
        return result;
    }
  return GALENA_OK;
}

static enum galena_result
create_members (struct galena_sync *sync)
{
  struct galena_map_options services = { SYNC_SERVICES_MAX, 0 };
  struct galena_map_options instances = { SYNC_INSTANCES_MAX, 0 };
  struct galena_records_options records
      = { SYNC_SERVICES_MAX, sync->options.audit };
  enum galena_result result = create_tables (sync);

  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&services, &sync->services_by_number);
  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&instances, &sync->instances_by_number);
  if (result != GALENA_OK)
    return result;
  sync->action_capacity = SYNC_ACTIONS_INITIAL;
  sync->actions = calloc (SYNC_ACTIONS_INITIAL, sizeof *sync->actions);
  if (sync->actions == NULL)
    return GALENA_ERR_MEMORY;
  return galena_records_create (&records, &sync->records);
}

enum galena_result
galena_sync_create (const struct galena_sync_options *options,
                    struct galena_sync **out)
{
  struct galena_sync *sync;
  enum galena_result result;

  if (options->reads_per_second == 0
      || options->seed_count > GALENA_SYNC_SEEDS_MAX)
    return GALENA_ERR_INVALID;
  sync = calloc (1, sizeof *sync);
  if (sync == NULL)
    return GALENA_ERR_MEMORY;
  sync->options = *options;
  sync->random.seed = options->seed;
  sync->now.ms = NEVER_MS;
  result = create_members (sync);
  if (result != GALENA_OK)
    {
      galena_sync_destroy (sync);
      return result;
    }
  for (uint32_t i = 0; i < options->seed_count; i++)
    sync_add_peer (
        sync, (struct galena_peer){ options->seeds[i], GALENA_ROLE_COUNT },
        true);
  *out = sync;
  return GALENA_OK;
}

void
galena_sync_destroy (struct galena_sync *sync)
{
  if (sync == NULL)
    return;
  galena_records_destroy (sync->records);
  galena_table_destroy (sync->links);
  galena_table_destroy (sync->peers);
  galena_table_destroy (sync->services);
  galena_map_destroy (sync->services_by_number);
  galena_table_destroy (sync->instances);
  galena_map_destroy (sync->instances_by_number);
  galena_table_destroy (sync->reads);
  free (sync->actions);
  free (sync);
}
