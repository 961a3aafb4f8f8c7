/* Compares the records of nodes with the published ones, and finds new flows
   that leaving upstreams accept.  */

#include "fleet_private.h"

enum
{
  CHECK_INTERVAL_MS = 10
};

static const struct fleet_version *
newest_version (const struct fleet *fleet, uint32_t service)
{
  const struct fleet_version *newest = NULL;

  for (guint i = 0; i < fleet->versions->len; i++)
    {
      const struct fleet_version *version
          = &g_array_index (fleet->versions, struct fleet_version, i);

      if (version->service == service
          && (newest == NULL
              || version->record.service.generation
                     > newest->record.service.generation))
        newest = version;
    }
  return newest;
}

/* Counts a record that was replaced by an older one, and measures for how long
   the node has lacked the newest one.  */
static void
check_generation (struct fleet *fleet, struct fleet_node *node,
                  const struct fleet_version *newest)
{
  const struct galena_service_record *record
      = galena_records_find (node->records, newest->record.service.number);
  uint64_t generation = record == NULL ? 0 : record->service.generation;
  struct galena_clock since = { MAX (newest->at.ms, node->reachable_at.ms) };
  uint64_t *seen = &node->generations_seen[newest->service];

  fleet->reverts += generation < *seen;
  *seen = generation;
  if (generation >= newest->record.service.generation || node->group != 0)
    return;
  fleet->force_ms = MAX (
      fleet->force_ms, (uint32_t)galena_clock_elapsed_ms (since, fleet->now));
}

/* Returns whether UPSTREAM is missing from the record or not active in it.  */
static bool
is_leaving (const struct fleet_version *version, uint32_t upstream)
{
  for (uint32_t i = 0; i < version->record.service.upstream_count; i++)
    if (version->record.upstreams[i].number == upstream)
      return version->record.upstreams[i].state != GALENA_UPSTREAM_ACTIVE;
  return true;
}

/* Measures for how long a leaving upstream has accepted new flows.  */
static void
check_leaving (struct fleet *fleet, struct fleet_node *node,
               const struct fleet_version *newest)
{
  uint64_t accepted
      = galena_world_counters (node->world)->values[GALENA_COUNT_ACCEPTED];

  bool leaving = is_leaving (newest, node->options.upstream);

  if (!leaving && !fleet_is_listed_leaving (fleet, node->options.upstream - 1))
    node->leaving_at.ms = INT64_MAX;
  else if (node->leaving_at.ms == INT64_MAX)
    node->leaving_at = leaving ? newest->at : fleet->now;
  if (accepted > node->accepted_seen && node->leaving_at.ms < fleet->now.ms)
    fleet->new_work_ms = MAX (
        fleet->new_work_ms,
        (uint32_t)galena_clock_elapsed_ms (node->leaving_at, fleet->now));
  node->accepted_seen = accepted;
}

void
fleet_run_watch (struct fleet *fleet)
{
  if (fleet->now.ms % CHECK_INTERVAL_MS != 0)
    return;
  for (uint32_t service = 0; service < fleet->service_count; service++)
    {
      const struct fleet_version *newest = newest_version (fleet, service);

      for (uint32_t i = 0; i < fleet->node_count && newest != NULL; i++)
        {
          struct fleet_node *node = &fleet->nodes[i];

          if (node->world == NULL || node->kind == FLEET_CALLER)
            continue;
          if (fleet_node_is_up (fleet, node))
            check_generation (fleet, node, newest);
          if (node->kind == FLEET_AGENT && node->service == service)
            check_leaving (fleet, node, newest);
        }
    }
}
