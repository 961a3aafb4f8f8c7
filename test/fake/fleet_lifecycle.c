/* Starts, stops, pauses and kills nodes.  */

#include "fleet_private.h"

void
fleet_kill (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];

  galena_world_destroy (node->world);
  node->world = NULL;
  fleet_platform_stop (fleet, index);
  node->upstream.running = 0;
  node->stop_limit.ms = INT64_MAX;
  if (node->stopped_at.ms > fleet->now.ms)
    node->stopped_at = fleet->now;
}

void
fleet_start (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];

  node->start_count++;
  node->stopped_at.ms = INT64_MAX;
  node->stop_limit.ms = INT64_MAX;
  node->reachable_at = fleet->now;
  node->accepted_seen = 0;
  memset (node->generations_seen, 0, sizeof node->generations_seen);
  node->options.seed = galena_random_next (&fleet->random);
  node->options.incarnation = (uint32_t)node->options.seed;
  node->read_at.ms = -1;
  g_assert_cmpint (galena_world_create (&node->options, &node->world), ==,
                   GALENA_OK);
  fleet_platform_start (fleet, index);
}

void
fleet_stop (struct fleet *fleet, uint32_t index, uint32_t limit_ms,
            bool replace)
{
  struct fleet_node *node = &fleet->nodes[index];

  if (node->world == NULL)
    return;
  galena_world_drain (node->world);
  node->stopped_at = fleet->now;
  node->stop_limit = galena_clock_add_ms (fleet->now, limit_ms);
  node->replace = replace;
}

void
fleet_freeze (struct fleet *fleet, uint32_t index, uint32_t length_ms)
{
  struct fleet_node *node = &fleet->nodes[index];

  node->frozen_until = galena_clock_add_ms (fleet->now, length_ms);
  node->reachable_at = node->frozen_until;
}

void
fleet_cut (struct fleet *fleet, uint32_t index, uint32_t group)
{
  struct fleet_node *node = &fleet->nodes[index];

  node->group = group;
  node->cut_from_platform = group != 0;
  node->reachable_at = fleet->now;
}

/* Returns whether the fabric sends nothing to NODE, which is stopping; it only
   sends to entries.  */
static bool
is_removed_from_fabric (const struct fleet *fleet,
                        const struct fleet_node *node)
{
  int64_t since_ms = galena_clock_elapsed_ms (node->stopped_at, fleet->now);

  return node->kind != FLEET_ENTRY || since_ms > fleet->options.fabric_lag_ms;
}

void
fleet_run_stops (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];

      if (node->stop_limit.ms == INT64_MAX || !fleet_node_is_up (fleet, node))
        continue;
      if (!galena_clock_reached (fleet->now, node->stop_limit)
          && !(is_removed_from_fabric (fleet, node)
               && galena_world_idle (node->world)))
        continue;
      fleet_kill (fleet, i);
      if (node->replace)
        fleet_start (fleet, i);
    }
}
