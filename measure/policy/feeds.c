/* Answered share and latency of events while thousands of endless feeds are
   opened.  */

#include <stdio.h>

#include "measure.h"

enum
{
  FEEDS_FROM_MS = 2000,
  COUNT_FROM_MS = 10000,
  END_MS = 12000
};

/* Feeds opened by COUNT_FROM_MS, as multiples of the connections of all
   upstreams.  */
static const double FEEDS_PER_CONNECTION[] = { 0, 0.5, 2 };

static uint64_t
count_flows (const struct fleet *fleet)
{
  uint64_t flows = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct galena_world_usage usage;

      if (fleet->nodes[i].kind != FLEET_AGENT)
        continue;
      galena_world_usage (fleet->nodes[i].world, &usage);
      flows += usage.flows;
    }
  return flows;
}

void
measure_run_feeds (uint64_t seed, double feeds_per_connection,
                   struct measure_feeds_figures *figures)
{
  struct fleet *fleet = measure_create_fleet (seed, NULL, NULL);
  struct measure_baseline *baseline = g_new0 (struct measure_baseline, 1);
  struct fleet_load *feed
      = measure_add_load (fleet, MEASURE_FEED, 0, FEEDS_FROM_MS, END_MS);
  const struct fleet_load *event
      = measure_add_load (fleet, MEASURE_EVENT, 0.2, 100, END_MS);

  feed->rate = feeds_per_connection * MEASURE_AGENTS * MEASURE_CONNECTIONS
               * 1000 / (COUNT_FROM_MS - FEEDS_FROM_MS);
  fleet_run (fleet, COUNT_FROM_MS);
  measure_take_baseline (fleet, baseline);
  fleet_run (fleet, END_MS);
  figures->feeds = feed->sent;
  figures->flows = count_flows (fleet);
  figures->answered_share = (double)(event->answered - baseline->answered[1])
                            / (double)(event->sent - baseline->sent[1]);
  figures->event_p99_ms = measure_latency (fleet, baseline, 1, 0.99);
  g_free (baseline);
  fleet_destroy (fleet);
}

static void
run (uint64_t seed)
{
  printf ("| feeds opened, of all connections | feeds | flows held "
          "| events kept | event p99 ms |\n|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (FEEDS_PER_CONNECTION); i++)
    {
      struct measure_feeds_figures figures;

      measure_run_feeds (seed, FEEDS_PER_CONNECTION[i], &figures);
      printf ("| %.0f%% | %lu | %lu | %.1f%% | %u |\n",
              FEEDS_PER_CONNECTION[i] * 100, (unsigned long)figures.feeds,
              (unsigned long)figures.flows, figures.answered_share * 100,
              figures.event_p99_ms);
    }
}

const struct measure_experiment measure_feeds = { "feeds", run };
