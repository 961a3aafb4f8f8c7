/* Brings records from the simulated platform to nodes, directly or through a
   galena_sync per node.  */

#include "fleet_private.h"

enum
{
  AUDIT_ROWS = 256,
  /* Size of a record in the simulation of syncs.  */
  RECORD_BYTES = 2000,
  /* Latency of the links between peers, and of a read of the platform.  */
  SYNC_LINK_MS = 2,
  SYNC_READ_MS = 5,
  /* Time that a long poll of the index waits.  */
  SYNC_WAIT_MS = 20000,
  SYNC_READS_PER_SECOND = 1500,
  SYNC_SEEDS = 2
};

static void
update_config (struct fleet_node *node)
{
  galena_config_destroy (node->config);
  galena_records_snapshot (node->records, &node->config);
}

/* Returns the index of the first entry from *CURSOR on and moves *CURSOR past
   it; -1 if there is none.  */
static int
next_entry (const struct fleet *fleet, uint32_t *cursor)
{
  while (*cursor < fleet->node_count)
    if (fleet->nodes[(*cursor)++].kind == FLEET_ENTRY)
      return (int)*cursor - 1;
  return -1;
}

static void
fill_seeds (const struct fleet *fleet, struct galena_sync_options *options)
{
  uint32_t cursor = 0;
  int entry;

  while (options->seed_count < SYNC_SEEDS
         && (entry = next_entry (fleet, &cursor)) >= 0)
    options->seeds[options->seed_count++] = fleet->nodes[entry].address;
}

/* Creates the simulation of the platform and of the links between peers.  */
static void
create_sync_fleet (struct fleet *fleet)
{
  struct sync_fleet_options options
      = { fleet->options.seed, SYNC_LINK_MS, SYNC_READ_MS };

  fleet->sync_fleet = sync_fleet_create (&options, FLEET_NODES_MAX);
  fleet->sync_fleet->now = fleet->now;
  fleet->sync_fleet->list_generation = 1;
}

static void
add_to_instances (struct fleet *fleet, uint32_t index)
{
  const struct fleet_node *node = &fleet->nodes[index];
  struct galena_instance *row;

  if (fleet->sync_fleet->instances->len <= index)
    g_array_set_size (fleet->sync_fleet->instances, index + 1);
  row = &g_array_index (fleet->sync_fleet->instances, struct galena_instance,
                        index);
  row->peer.address = node->address;
  row->peer.role = node->options.role;
  row->upstream = node->options.upstream;
  fleet->sync_fleet->list_generation++;
}

static void
start_sync (struct fleet *fleet, uint32_t index)
{
  const struct fleet_node *node = &fleet->nodes[index];
  struct galena_sync_options options
      = { .self = { node->address, node->options.role },
          .readers = FLEET_SERVICES_MAX,
          .reads_per_second = SYNC_READS_PER_SECOND,
          .wait_ms = SYNC_WAIT_MS,
          .has_instance_list = true };

  if (fleet->sync_fleet == NULL)
    create_sync_fleet (fleet);
  if (node->kind == FLEET_AGENT)
    options.service = node->service + 1;
  fill_seeds (fleet, &options);
  add_to_instances (fleet, index);
  sync_fleet_start (fleet->sync_fleet, index, &options);
}

static bool
has_sync (const struct fleet *fleet, const struct fleet_node *node)
{
  return fleet->options.synced && node->kind != FLEET_CALLER;
}

void
fleet_platform_start (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options options = { FLEET_SERVICES_MAX, NULL };
  struct galena_records *records;

  galena_audit_create (&audit, &node->audit);
  options.audit = node->audit;
  galena_records_create (&options, &records);
  node->direct_records = records;
  node->records = records;
  update_config (node);
  if (!has_sync (fleet, node))
    return;
  start_sync (fleet, index);
  node->records
      = galena_sync_records (fleet->sync_fleet->processes[index].sync);
}

void
fleet_platform_stop (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];

  if (fleet->sync_fleet != NULL)
    sync_fleet_kill (fleet->sync_fleet, index);
  galena_records_destroy (node->direct_records);
  galena_audit_destroy (node->audit);
  galena_config_destroy (node->config);
  node->direct_records = NULL;
  node->records = NULL;
  node->audit = NULL;
  node->config = NULL;
}

void
fleet_set_listed_leaving (struct fleet *fleet, uint32_t node, bool leaving)
{
  if (fleet->sync_fleet == NULL)
    return;
  g_array_index (fleet->sync_fleet->instances, struct galena_instance, node)
      .leaving
      = leaving;
  fleet->sync_fleet->list_generation++;
}

bool
fleet_is_listed_leaving (const struct fleet *fleet, uint32_t node)
{
  return fleet->sync_fleet != NULL
         && g_array_index (fleet->sync_fleet->instances,
                           struct galena_instance, node)
                .leaving;
}

/* Applies VERSION at NODE if it is visible and newer than the node's record.
   Returns whether it was applied.  */
static bool
apply_version (struct fleet *fleet, struct fleet_node *node,
               const struct fleet_version *version)
{
  int64_t visible = version->at.ms + fleet->options.platform_lag_ms;
  const struct galena_service_record *current
      = galena_records_find (node->records, version->record.service.number);

  if (visible > fleet->now.ms)
    return false;
  if (current != NULL
      && current->service.generation >= version->record.service.generation)
    return false;
  return galena_records_apply (node->direct_records, &version->record,
                               fleet->now)
         == GALENA_OK;
}

/* Returns whether NODE can read the platform and has had the time to do so
   since it started or resumed.  */
static bool
can_read (const struct fleet *fleet, const struct fleet_node *node)
{
  int64_t since_ms = galena_clock_elapsed_ms (node->reachable_at, fleet->now);

  return fleet_node_is_up (fleet, node) && !fleet->platform_down
         && !node->cut_from_platform
         && since_ms >= fleet->options.platform_lag_ms;
}

static void
read_directly (struct fleet *fleet, struct fleet_node *node)
{
  bool changed = false;

  if (node->kind == FLEET_CALLER || !can_read (fleet, node))
    return;
  for (guint v = 0; v < fleet->versions->len; v++)
    changed |= apply_version (
        fleet, node,
        &g_array_index (fleet->versions, struct fleet_version, v));
  if (changed)
    update_config (node);
  galena_config_set_renewed (node->config, fleet->now);
}

/* Publishes new versions of the fleet on the platform of the sync fleet.  */
static void
publish_versions (struct fleet *fleet)
{
  while (fleet->sync_fleet->versions->len < fleet->versions->len)
    sync_fleet_publish (fleet->sync_fleet,
                        &g_array_index (fleet->versions, struct fleet_version,
                                        fleet->sync_fleet->versions->len)
                             .record,
                        RECORD_BYTES);
}

/* Copies the state of the platform and of nodes to the sync fleet.  */
static void
copy_states (struct fleet *fleet)
{
  struct sync_fleet *sync_fleet = fleet->sync_fleet;

  sync_fleet->platform_down = fleet->platform_down;
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    if (fleet->options.platform_lag_ms > 0)
      sync_fleet->visible_until[i] = galena_clock_add_ms (
          fleet->now, -(int64_t)fleet->options.platform_lag_ms);
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      sync_fleet->processes[i].group = fleet->nodes[i].group;
      sync_fleet->processes[i].cut_from_platform
          = fleet->nodes[i].cut_from_platform;
      sync_fleet->processes[i].frozen_until = fleet->nodes[i].frozen_until;
    }
}

/* Replaces the configuration of nodes whose records have changed.  */
static void
update_snapshots (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct sync_fleet_process *process = &fleet->sync_fleet->processes[i];
      struct fleet_node *node = &fleet->nodes[i];

      if (!process->changed || process->sync == NULL)
        continue;
      process->changed = false;
      galena_config_destroy (node->config);
      galena_sync_snapshot (process->sync, &node->config);
    }
}

void
fleet_run_platform (struct fleet *fleet)
{
  if (fleet->sync_fleet != NULL)
    {
      publish_versions (fleet);
      copy_states (fleet);
      sync_fleet_run (fleet->sync_fleet, fleet->now.ms + 1);
      update_snapshots (fleet);
      return;
    }
  for (uint32_t i = 0; i < fleet->node_count; i++)
    read_directly (fleet, &fleet->nodes[i]);
}
