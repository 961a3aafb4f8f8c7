/* Compares the placement of new flows without and with load control at two
   sizes of a deployment; prints the table in docs/design/placement.md.

   Usage: placement [SECONDS [SEED]]  */

#include <stdio.h>
#include <stdlib.h>

#include "placement.h"

enum
{
  DEFAULT_SECONDS = 20,
  MS_PER_S = 1000,
  DECIMAL = 10
};

static const struct site
{
  uint32_t entries;
  uint32_t upstreams;
  double load;
  bool flow_per_request;
  bool speed_by_zone;
} SITES[] = {
  { 24, 49, 0.5, false, false },  { 24, 49, 0.8, false, false },
  { 60, 140, 0.5, false, false }, { 60, 140, 0.8, false, false },
  { 24, 49, 0.5, true, false },   { 24, 49, 0.8, true, false },
  { 60, 140, 0.5, true, false },  { 60, 140, 0.8, true, false },
  { 24, 49, 0.5, false, true },
};

static void
print_row (const struct site *site, bool load_control, uint64_t seed,
           uint32_t seconds)
{
  struct placement_options options
      = { .seed = seed,
          .entries = site->entries,
          .upstreams = site->upstreams,
          .load = site->load,
          .load_control = load_control,
          .flow_per_request = site->flow_per_request,
          .speed_by_zone = site->speed_by_zone,
          .length_ms = seconds * MS_PER_S };
  struct placement_report report;

  placement_run (&options, &report);
  printf ("| %u x %u%s | %.1f | %s | %.1f %% | %.1f | %.1f | %.1f | %.1f | %u "
          "| %.0f | %.0f | %.0f | %.0f | %.0f %% |\n",
          site->entries, site->upstreams,
          site->flow_per_request ? ", short flows"
          : site->speed_by_zone  ? ", speed by zone"
                                 : "",
          site->load, load_control ? "estimated-wait" : "least-wait",
          100 * report.uneven, report.wait_p50_ms, report.wait_p99_ms,
          report.short_p50_ms, report.short_p99_ms, report.shed,
          report.messages_per_s, report.loads_per_s, report.refusals_per_s,
          report.bytes_per_s / MS_PER_S, 100 * report.cross_zone);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  uint32_t seconds = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, DECIMAL)
                              : DEFAULT_SECONDS;
  uint64_t seed = argc > 2 ? strtoul (argv[2], NULL, DECIMAL) : 1;

  printf ("| entries x upstreams | load | policy | uneven | wait p50 ms "
          "| wait p99 ms | short p50 ms | short p99 ms | shed | messages/s "
          "| loads/s | refusals/s | kB/s | other zone |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof SITES / sizeof SITES[0]; i++)
    for (int load_control = 0; load_control <= 1; load_control++)
      print_row (&SITES[i], load_control != 0, seed, seconds);
  return 0;
}
