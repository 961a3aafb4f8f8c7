/* Processor time of one report of a world, which the thread that ticks the
   world makes.  */

#include <stdio.h>

#include <galenaford/random.h>
#include <galenaford/stats.h>

#include "bench.h"
#include "fixture.h"
#include "sample.h"

enum
{
  REPEATS = 31,
  OPENS = 60000,
  BATCH = 64,
  KINDS_MAX = 4096,
  UPSTREAMS_MAX = 8192,
  /* Reports that the daemon makes per second.  */
  REPORTS_PER_S = 10
};

static const double NS_PER_US = 1000;
static const double NS_PER_S = 1e9;

/* Sends opens to WORLD, so that it has a row of statistics for each kind and
   almost each upstream.  */
static void
fill_world (struct galena_world *world, const struct galena_config *config)
{
  struct galena_random random = { .seed = 1 };
  struct galena_clock now = { 1 };

  for (uint32_t i = 0; i < OPENS; i++)
    {
      const struct galena_service *service
          = galena_config_service (config, i % FLEET_SERVICES);
      uint32_t kind = galena_random_below (&random, service->kind_count);
      struct galena_message open = { .type = GALENA_MESSAGE_OPEN,
                                     .side = GALENA_SIDE_CALLER,
                                     .peer = { 0x7f000001, 9000 },
                                     .service = service->address,
                                     .kind = service->kinds[kind].number,
                                     .flow = fixture_flow (&random),
                                     .deadline_ms = 200 };

      galena_mailbox_push (galena_world_inbox (world), &open);
      if (i % BATCH != BATCH - 1)
        continue;
      galena_world_tick (world, now, config);
      now = galena_clock_add_ms (now, 10);
    }
}

static void
measure (const struct galena_world *world, struct galena_report *report)
{
  struct samples samples = { 0 };
  double median_ns;

  for (uint32_t i = 0; i < REPEATS; i++)
    {
      double start_ns = thread_cpu_ns ();

      galena_world_report (world, report);
      samples_add (&samples, thread_cpu_ns () - start_ns);
    }
  median_ns = samples_median (&samples);
  printf ("report: kinds=%u upstreams=%u us=%.0f min=%.0f max=%.0f "
          "core_percent=%.3f\n",
          report->kind_count, report->upstream_count, median_ns / NS_PER_US,
          samples_min (&samples) / NS_PER_US,
          samples_max (&samples) / NS_PER_US,
          100 * REPORTS_PER_S * median_ns / NS_PER_S);
}

bool
bench_report (void)
{
  struct fixture_options fleet
      = { FLEET_SERVICES, FLEET_UPSTREAMS, { 1, 1 }, 1 };
  struct galena_world_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .flows = KINDS_MAX,
                                          .messages = 4 * BATCH };
  struct galena_report_options capacity = { KINDS_MAX, UPSTREAMS_MAX };
  struct galena_config *config = NULL;
  struct galena_world *world = NULL;
  struct galena_report *report = NULL;
  bool good = fixture_config (&fleet, &config) == GALENA_OK
              && galena_world_create (&options, &world) == GALENA_OK
              && galena_report_create (&capacity, &report) == GALENA_OK;

  if (good)
    {
      fill_world (world, config);
      measure (world, report);
    }
  galena_report_destroy (report);
  galena_world_destroy (world);
  galena_config_destroy (config);
  return good;
}
