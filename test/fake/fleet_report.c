/* Totals and latencies over all jobs and nodes.  */

#include "fleet_private.h"

static void
add_jobs (const struct fleet *fleet, struct fleet_totals *totals)
{
  for (guint i = 0; i < fleet->jobs->len; i++)
    {
      const struct fleet_job *job = fleet_job_at (fleet, i);
      const struct fleet_load *load = &fleet->loads[job->load];

      totals->doubled += !load->idempotent && job->executed > 1;
      totals->misrouted += job->misrouted;
      totals->open += !job->ended;
      totals->false_refusals += job->ended
                                && galena_result_is_refusal (job->result)
                                && job->executed > 0;
    }
}

static void
add_nodes (const struct fleet *fleet, struct fleet_totals *totals)
{
  double sum = 0;
  double max_share = 0;
  uint32_t agents = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      const struct fleet_node *node = &fleet->nodes[i];
      struct galena_world_usage usage;

      if (node->kind == FLEET_AGENT)
        {
          double share = (double)node->upstream.busy_ms / node->upstream.slots;
          sum += share;
          max_share = MAX (max_share, share);
          agents++;
        }
      if (node->world == NULL)
        continue;
      galena_world_usage (node->world, &usage);
      totals->rows += usage.flows + usage.requests + usage.pending_opens
                      + usage.pending_closes;
      if (node->kind == FLEET_CALLER)
        totals->moved
            += galena_world_counters (node->world)->values[GALENA_COUNT_MOVED];
      if (node->kind == FLEET_CALLER)
        totals->broken += galena_world_counters (node->world)
                              ->values[GALENA_COUNT_REOPENED];
    }
  totals->imbalance = sum > 0 ? max_share * agents / sum : 1;
}

void
fleet_totals (const struct fleet *fleet, struct fleet_totals *totals)
{
  *totals = (struct fleet_totals){ 0 };
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      totals->sent += fleet->loads[i].sent;
      totals->answered += fleet->loads[i].answered;
      totals->refused += fleet->loads[i].refused;
      totals->unknown += fleet->loads[i].unknown;
      totals->wrong += fleet->loads[i].wrong;
    }
  add_jobs (fleet, totals);
  add_nodes (fleet, totals);
}

double
fleet_answered_share (const struct fleet *fleet, const struct fleet_load *load,
                      struct galena_clock from, struct galena_clock until)
{
  uint64_t sent = 0;
  uint64_t answered = 0;

  for (guint i = 0; i < fleet->jobs->len; i++)
    {
      const struct fleet_job *job = fleet_job_at (fleet, i);

      if (&fleet->loads[job->load] != load
          || !galena_clock_reached (job->submitted_at, from)
          || galena_clock_reached (job->submitted_at, until))
        continue;
      sent++;
      answered += job->ended && job->result == GALENA_OK;
    }
  return sent == 0 ? 1 : (double)answered / (double)sent;
}

static gint
compare_latencies (gconstpointer a, gconstpointer b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return (first > second) - (first < second);
}

uint32_t
fleet_latency (struct fleet_load *load, double share)
{
  if (load->latencies->len == 0)
    return 0;
  g_array_sort (load->latencies, compare_latencies);
  return g_array_index (load->latencies, uint32_t,
                        (guint)((load->latencies->len - 1) * share));
}
