/* What nodes read of the platform, and the records in force at each.  */

#include "fleet_private.h"

enum
{
  AUDIT_ROWS = 256
};

static void
renew_config (struct fleet_node *node)
{
  galena_config_destroy (node->config);
  galena_records_snapshot (node->records, &node->config);
}

void
fleet_platform_start (struct fleet_node *node)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options records = { FLEET_SERVICES_MAX, NULL };

  galena_audit_create (&audit, &node->audit);
  records.audit = node->audit;
  galena_records_create (&records, &node->records);
  renew_config (node);
}

void
fleet_platform_stop (struct fleet_node *node)
{
  galena_records_destroy (node->records);
  galena_audit_destroy (node->audit);
  galena_config_destroy (node->config);
  node->records = NULL;
  node->audit = NULL;
  node->config = NULL;
}

/* Takes VERSION into force at NODE if it is newer than what it has.  */
static bool
take_version (struct fleet *fleet, struct fleet_node *node,
              const struct fleet_version *version)
{
  int64_t visible = version->at.ms + fleet->options.platform_lag_ms;
  const struct galena_service_record *present
      = galena_records_find (node->records, version->record.service.number);

  if (visible > fleet->now.ms)
    return false;
  if (present != NULL
      && present->service.generation >= version->record.service.generation)
    return false;
  return galena_records_take (node->records, &version->record, fleet->now)
         == GALENA_OK;
}

/* Whether NODE has had the time to read since it started or woke up.  */
static bool
can_read (const struct fleet *fleet, const struct fleet_node *node)
{
  int64_t since_ms = galena_clock_between (node->reachable_at, fleet->now);

  return fleet_node_is_up (fleet, node) && !fleet->platform_down
         && !node->cut_from_platform
         && since_ms >= fleet->options.platform_lag_ms;
}

void
fleet_run_platform (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      bool changed = false;

      if (node->kind == FLEET_CALLER || !can_read (fleet, node))
        continue;
      for (guint v = 0; v < fleet->versions->len; v++)
        changed |= take_version (
            fleet, node,
            &g_array_index (fleet->versions, struct fleet_version, v));
      if (changed)
        renew_config (node);
    }
}
