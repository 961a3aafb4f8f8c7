/* The fleet that all experiments run on, and figures computed from it.  */

#include "measure.h"

const char *const MEASURE_KIND_NAMES[]
    = { "feed", "reading", "event", "photo" };

const uint32_t MEASURE_WORK_MS[] = { 1, 100, 100, 200 };

static const struct galena_kind KINDS[] = {
  { .name = "feed",
    .number = MEASURE_FEED,
    .urgency = 0,
    .idempotent = true,
    .endless = true,
    .deadline_ms = 10000 },
  { .name = "reading",
    .number = MEASURE_READING,
    .urgency = 0,
    .idempotent = true,
    .deadline_ms = 2000,
    .minimum_share_percent = 30 },
  { .name = "event",
    .number = MEASURE_EVENT,
    .urgency = 1,
    .deadline_ms = 10000,
    .minimum_share_percent = 30 },
  { .name = "photo",
    .number = MEASURE_PHOTO,
    .urgency = 2,
    .idempotent = true,
    .deadline_ms = 15000,
    .minimum_share_percent = 10 },
};

enum
{
  /* Longer than any experiment.  */
  FEED_LASTS_MS = 3600000
};

static const double SPEEDS[] = { 1, 2, 4 };

struct fleet *
measure_create_fleet (uint64_t seed, const char *choice, const char *admission)
{
  struct fleet_options options
      = { .seed = seed,
          .network = { .delay_ms = 1, .jitter_ms = 1 },
          .choice = choice,
          .admission = admission };
  struct fleet *fleet = fleet_create (&options);
  uint32_t service
      = fleet_add_service (fleet, "desk", KINDS, G_N_ELEMENTS (KINDS));

  for (uint32_t i = 0; i < MEASURE_AGENTS; i++)
    {
      struct fleet_upstream upstream
          = { .speed = SPEEDS[i % G_N_ELEMENTS (SPEEDS)],
              .slots = MEASURE_SLOTS,
              .warmup_factor = 1 };
      fleet_add_agent (fleet, "a", service, &upstream, MEASURE_CONNECTIONS);
    }
  for (uint32_t i = 0; i < MEASURE_ENTRIES; i++)
    fleet_add_entry (fleet, "a");
  fleet_add_caller (fleet);
  fleet_publish (fleet, service);
  return fleet;
}

double
measure_capacity (const struct fleet *fleet)
{
  double slot_speed = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (fleet->nodes[i].kind == FLEET_AGENT)
      slot_speed
          += fleet->nodes[i].upstream.speed * fleet->nodes[i].upstream.slots;
  return slot_speed * 1000;
}

struct fleet_load *
measure_add_load (struct fleet *fleet, enum measure_kind kind, double share,
                  int64_t from_ms, int64_t until_ms)
{
  struct fleet_load load
      = { .kind = KINDS[kind].number,
          .rate = share * measure_capacity (fleet) / MEASURE_WORK_MS[kind],
          .flow_requests = 1,
          .body_bytes = 100,
          .answer_bytes = 100,
          .work_ms = MEASURE_WORK_MS[kind],
          .deadline_ms = KINDS[kind].deadline_ms,
          .idempotent = KINDS[kind].idempotent,
          .endless = KINDS[kind].endless,
          .lasts_ms = FEED_LASTS_MS,
          .from = { from_ms },
          .until = { until_ms },
          .caller = (uint32_t)fleet_find (fleet, "caller-1") };

  g_strlcpy (load.name, KINDS[kind].name, sizeof load.name);
  return fleet_add_load (fleet, &load);
}

void
measure_take_baseline (const struct fleet *fleet,
                       struct measure_baseline *baseline)
{
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      baseline->answered[i] = fleet->loads[i].answered;
      baseline->sent[i] = fleet->loads[i].sent;
      baseline->latency_counts[i] = fleet->loads[i].latencies->len;
    }
  for (uint32_t i = 0; i < fleet->node_count; i++)
    baseline->busy_ms[i] = fleet->nodes[i].upstream.busy_ms;
}

double
measure_imbalance (const struct fleet *fleet,
                   const struct measure_baseline *baseline)
{
  double sum = 0;
  double max = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      const struct fleet_node *node = &fleet->nodes[i];
      double busy = (double)(node->upstream.busy_ms - baseline->busy_ms[i]);

      if (node->kind != FLEET_AGENT)
        continue;
      sum += busy;
      max = MAX (max, busy);
      count++;
    }
  return sum > 0 ? max * count / sum : 1;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return (first > second) - (first < second);
}

uint32_t
measure_latency (const struct fleet *fleet,
                 const struct measure_baseline *baseline, uint32_t load,
                 double share)
{
  const GArray *all = fleet->loads[load].latencies;
  guint first = baseline->latency_counts[load];
  GArray *since;
  uint32_t latency;

  if (all->len == first)
    return 0;
  since = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_array_append_vals (since, &g_array_index (all, uint32_t, first),
                       all->len - first);
  g_array_sort (since, compare);
  latency = g_array_index (since, uint32_t, (guint)((since->len - 1) * share));
  g_array_free (since, TRUE);
  return latency;
}

uint64_t
measure_sum_counter (const struct fleet *fleet, enum fleet_node_kind kind,
                     enum galena_counter counter)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (fleet->nodes[i].kind == kind && fleet->nodes[i].world != NULL)
      sum += galena_world_counters (fleet->nodes[i].world)->values[counter];
  return sum;
}
