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

void
fleet_run_platform (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      bool changed = false;

      if (!fleet_node_is_up (fleet, node) || node->kind == FLEET_CALLER
          || fleet->platform_down || node->cut_from_platform)
        continue;
      for (uint32_t s = 0; s < fleet->service_count; s++)
        {
          int64_t visible
              = fleet->published_at[s].ms + fleet->options.platform_lag_ms;
          const struct galena_service_record *present
              = galena_records_find (node->records, s + 1);

          if (fleet->services[s].service.generation == 0
              || visible > fleet->now.ms)
            continue;
          if (present != NULL
              && present->service.generation
                     >= fleet->services[s].service.generation)
            continue;
          changed |= galena_records_take (node->records, &fleet->services[s],
                                          fleet->now)
                     == GALENA_OK;
        }
      if (changed)
        renew_config (node);
    }
}
