/* What other kinds keep while endless feeds are opened by the thousand.  */

#include <stdio.h>

#include "measure.h"

enum
{
  FLOOD_FROM_MS = 2000,
  FLOOD_UNTIL_MS = 10000,
  END_MS = 12000
};

/* Feeds opened in all, as shares of the connections of all upstreams.  */
static const double OPENED[] = { 0, 0.5, 2 };

static void
run_row (uint64_t seed, double opened)
{
  struct fleet *fleet = measure_fleet (seed, NULL, NULL);
  struct measure_mark *mark = g_new0 (struct measure_mark, 1);
  struct fleet_load *feed = measure_add_load (fleet, MEASURE_FEED, 0,
                                              FLOOD_FROM_MS, FLOOD_UNTIL_MS);
  const struct fleet_load *event
      = measure_add_load (fleet, MEASURE_EVENT, 0.2, 100, END_MS);

  feed->rate = opened * MEASURE_AGENTS * MEASURE_CONNECTIONS * 1000
               / (FLOOD_UNTIL_MS - FLOOD_FROM_MS);
  fleet_run (fleet, FLOOD_UNTIL_MS);
  measure_take_mark (fleet, mark);
  fleet_run (fleet, END_MS);
  printf ("| %.0f%% | %lu | %lu | %.1f%% | %u |\n", opened * 100,
          (unsigned long)feed->sent, (unsigned long)feed->refused,
          (double)(event->answered - mark->answered[1]) * 100
              / (double)(event->sent - mark->sent[1]),
          measure_latency (fleet, mark, 1, 0.99));
  g_free (mark);
  fleet_destroy (fleet);
}

static void
run (uint64_t seed)
{
  printf ("| feeds opened, of all connections | feeds | refused "
          "| events kept | event p99 ms |\n|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (OPENED); i++)
    run_row (seed, OPENED[i]);
}

const struct measure_experiment measure_feeds = { "feeds", run };
