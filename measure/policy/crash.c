/* Retries, refusals and recovery after a third of the capacity crashes.  */

#include <stdio.h>

#include "measure.h"

enum
{
  CRASH_MS = 10000,
  END_MS = 40000,
  STEP_MS = 100,
  /* Consecutive steps below the limit of refusals that count as recovered.  */
  RECOVERED_STEPS = 5
};

static const char *const CHOICES[]
    = { "random", "hash", "two-queue", "two-wait" };

static const double LOADS[] = { 0.20, 0.50 };

/* Kills two of the seven upstreams: 5 of the 15 units of speed.  */
static void
kill_third (struct fleet *fleet)
{
  fleet_kill (fleet, (uint32_t)fleet_find (fleet, "agent-1"));
  fleet_kill (fleet, (uint32_t)fleet_find (fleet, "agent-6"));
}

/* Returns the time in milliseconds from the crash until the end of the last
   step in which more than 1 % of the requests were refused; -1 when fewer than
   RECOVERED_STEPS steps follow it.  */
static int64_t
run_until_recovered (struct fleet *fleet, const struct fleet_load *load)
{
  int64_t recovered_ms = -1;
  uint32_t good_steps = 0;

  for (int64_t at = CRASH_MS + STEP_MS; at <= END_MS; at += STEP_MS)
    {
      uint64_t sent = load->sent;
      uint64_t refused = load->refused;

      fleet_run (fleet, at);
      sent = load->sent - sent;
      refused = load->refused - refused;
      good_steps = refused * 100 <= sent ? good_steps + 1 : 0;
      if (good_steps == RECOVERED_STEPS && recovered_ms < 0)
        recovered_ms = at - RECOVERED_STEPS * STEP_MS - CRASH_MS;
      if (good_steps == 0)
        recovered_ms = -1;
    }
  return recovered_ms;
}

void
measure_run_crash (uint64_t seed, const char *choice, double share,
                   struct measure_crash_figures *figures)
{
  struct fleet *fleet = measure_create_fleet (seed, choice, NULL);
  const struct fleet_load *load
      = measure_add_load (fleet, MEASURE_EVENT, share, 100, END_MS);
  uint64_t retries;
  uint64_t opens;
  uint64_t refused;

  fleet_run (fleet, CRASH_MS);
  retries = measure_sum_counter (fleet, FLEET_ENTRY, GALENA_COUNT_RETRIES);
  opens = measure_sum_counter (fleet, FLEET_ENTRY, GALENA_COUNT_OPENS);
  refused = load->refused;
  kill_third (fleet);
  figures->recovered_ms = run_until_recovered (fleet, load);
  retries = measure_sum_counter (fleet, FLEET_ENTRY, GALENA_COUNT_RETRIES)
            - retries;
  opens = measure_sum_counter (fleet, FLEET_ENTRY, GALENA_COUNT_OPENS) - opens;
  figures->retries = (double)retries / (double)opens;
  figures->refused = (double)(load->refused - refused) / (double)opens;
  fleet_destroy (fleet);
}

static void
print_row (uint64_t seed, const char *choice, double share)
{
  struct measure_crash_figures figures;

  measure_run_crash (seed, choice, share, &figures);
  printf ("| %s | %.0f%% | %.1f%% | %.2f%% | %ld |\n", choice, share * 100,
          figures.retries * 100, figures.refused * 100,
          (long)figures.recovered_ms);
}

static void
run (uint64_t seed)
{
  printf ("| choice | load | retries of first tries | refused "
          "| recovered after ms |\n|---|---|---|---|---|\n");
  for (size_t load = 0; load < G_N_ELEMENTS (LOADS); load++)
    for (size_t i = 0; i < G_N_ELEMENTS (CHOICES); i++)
      print_row (seed, CHOICES[i], LOADS[load]);
}

const struct measure_experiment measure_crash = { "dead", run };
