/* Processor time of an entry's periodic systems, reports and opens.  */

#include <galenaford/stats.h>

#include "capacity.h"
#include "fill.h"
#include "fixture.h"
#include "sample.h"

enum
{
  REPEATS = 5,
  /* Shorter than the lifetime of a hint.  */
  HINT_SPAN_MS = 4000,
  /* Shorter than the delay before an open is retried.  */
  OPEN_SPAN_MS = 90,
  /* Rows of the table of pending opens.  */
  ROWS_MAX = 65536,
  UPSTREAMS_MAX = 8192,
  /* Reports, and opens, over which a cost is averaged.  */
  REPORTS = 20,
  OPENS = 4096,
  /* Mean number of opens per upstream.  */
  OPENS_PER_UPSTREAM = 8,
  SERVICES = 10
};

static double
idle_once (uint32_t size, int64_t span_ms,
           void (*fill) (struct test_world *test, uint32_t size))
{
  struct test_world test;
  double cost;

  if (!test_world_create (&test, GALENA_ROLE_ENTRY, ROWS_MAX, 1,
                          FLEET_SERVICES, UPSTREAMS_MAX))
    return -1;
  test_world_tick (&test);
  fill (&test, size);
  cost = test_world_run_idle (&test, span_ms) * 1000 / (double)span_ms;
  test_world_destroy (&test);
  return cost;
}

/* Returns the nanoseconds per second of virtual time.  */
static double
measure_idle (uint32_t size, int64_t span_ms,
              void (*fill) (struct test_world *test, uint32_t size))
{
  struct samples samples = { 0 };

  for (uint32_t i = 0; i < REPEATS; i++)
    samples_add (&samples, idle_once (size, span_ms, fill));
  return samples_median (&samples);
}

static double
idle_by_hints (uint32_t size)
{
  return measure_idle (size, HINT_SPAN_MS, test_world_add_hints);
}

static double
idle_by_opens (uint32_t size)
{
  return measure_idle (size, OPEN_SPAN_MS, test_world_add_opens);
}

/* Returns the nanoseconds per report of a world with SIZE upstreams.  */
static double
report_by_upstreams (uint32_t size)
{
  struct galena_report_options options = { size, size };
  struct galena_report *report;
  struct test_world test;
  double start_ns;
  double cost;

  if (galena_report_create (&options, &report) != GALENA_OK)
    return -1;
  if (!test_world_create (&test, GALENA_ROLE_ENTRY, ROWS_MAX, 1,
                          FLEET_SERVICES, size))
    return -1;
  test_world_tick (&test);
  test_world_add_opens (&test, size * OPENS_PER_UPSTREAM);
  start_ns = thread_cpu_ns ();
  for (uint32_t i = 0; i < REPORTS; i++)
    galena_world_report (test.world, report);
  cost = (thread_cpu_ns () - start_ns) / REPORTS;
  test_world_destroy (&test);
  galena_report_destroy (report);
  return cost;
}

static double
open_once (uint32_t size)
{
  struct test_world test;
  double start_ns;
  double cost;

  if (!test_world_create (&test, GALENA_ROLE_ENTRY, ROWS_MAX, 1, SERVICES,
                          SERVICES * size))
    return -1;
  test_world_tick (&test);
  test_world_add_hints (&test, SERVICES * size);
  start_ns = thread_cpu_ns ();
  test_world_add_opens (&test, OPENS);
  cost = (thread_cpu_ns () - start_ns) / OPENS;
  test_world_destroy (&test);
  return cost;
}

/* Returns the nanoseconds per open in a service with SIZE upstreams.  */
static double
open_by_upstreams (uint32_t size)
{
  struct samples samples = { 0 };

  for (uint32_t i = 0; i < REPEATS; i++)
    samples_add (&samples, open_once (size));
  return samples_median (&samples);
}

const struct sized_cost ENTRY_COSTS[] = {
  { "entry-systems-by-hints",
    "hint",
    "ns/s",
    { 512, 1024, 2048, 4096, 8192 },
    idle_by_hints },
  { "entry-systems-by-pending-opens",
    "open",
    "ns/s",
    { 512, 1024, 2048, 4096, 8192 },
    idle_by_opens },
  { "entry-report-by-upstreams",
    "upstream",
    "ns",
    { 725, 1450, 2900, 5800 },
    report_by_upstreams },
  { "entry-open-by-upstreams-of-the-service",
    "upstream",
    "ns",
    { 4, 8, 16, 64, 256 },
    open_by_upstreams },
  { 0 },
};
