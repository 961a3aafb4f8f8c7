/* Imbalance of upstreams and latency, for each choice of upstream.  */

#include <stdio.h>

#include "measure.h"

enum
{
  WARM_UP_MS = 5000,
  END_MS = 65000
};

static void
tell_truth (struct fleet *fleet)
{
  (void)fleet;
}

/* The agent tells no wait at all, whatever its queue.  */
static void
tell_no_wait (struct fleet *fleet)
{
  fleet->nodes[fleet_find (fleet, "agent-1")].tells_no_wait = true;
}

/* The record claims three times the slots that the upstream has.  */
static void
claim_slots (struct fleet *fleet)
{
  uint32_t node = (uint32_t)fleet_find (fleet, "agent-1");

  fleet_upstream_row (fleet, node)->slots *= 3;
  fleet_publish (fleet, 0);
}

const struct measure_misreport measure_misreports[MEASURE_MISREPORT_COUNT] = {
  [MEASURE_MISREPORT_NONE] = { "none", tell_truth },
  [MEASURE_MISREPORT_NO_WAIT] = { "no wait told", tell_no_wait },
  [MEASURE_MISREPORT_SLOTS] = { "slots x3", claim_slots },
};

static const char *const CHOICES[]
    = { "random", "hash", "two-queue", "two-wait" };

static const double LOADS[] = { 0.30, 0.70, 0.95 };

void
measure_run_balance (uint64_t seed, const char *choice,
                     enum measure_misreport_number lie, double share,
                     struct measure_balance_figures *figures)
{
  struct fleet *fleet = measure_create_fleet (seed, choice, NULL);
  struct measure_baseline *mark = g_new0 (struct measure_baseline, 1);
  const struct fleet_load *load
      = measure_add_load (fleet, MEASURE_EVENT, share, 100, END_MS);

  measure_misreports[lie].apply (fleet);
  fleet_run (fleet, WARM_UP_MS);
  measure_take_baseline (fleet, mark);
  fleet_run (fleet, END_MS);
  figures->answered = (double)(load->answered - mark->answered[0])
                      / (double)(load->sent - mark->sent[0]);
  figures->imbalance = measure_imbalance (fleet, mark);
  figures->p50_ms = measure_latency (fleet, mark, 0, 0.5);
  figures->p99_ms = measure_latency (fleet, mark, 0, 0.99);
  g_free (mark);
  fleet_destroy (fleet);
}

static void
print_row (uint64_t seed, const char *choice,
           enum measure_misreport_number lie, double share)
{
  struct measure_balance_figures figures;

  measure_run_balance (seed, choice, lie, share, &figures);
  printf ("| %s | %s | %.0f%% | %.2f | %u | %u | %.1f%% |\n",
          measure_misreports[lie].name, choice, share * 100, figures.imbalance,
          figures.p50_ms, figures.p99_ms, figures.answered * 100);
}

static void
run (uint64_t seed)
{
  printf ("| untrue | choice | load | imbalance | p50 ms | p99 ms "
          "| answered |\n|---|---|---|---|---|---|---|\n");
  for (int lie = 0; lie < MEASURE_MISREPORT_COUNT; lie++)
    for (size_t load = 0; load < G_N_ELEMENTS (LOADS); load++)
      for (size_t choice = 0; choice < G_N_ELEMENTS (CHOICES); choice++)
        print_row (seed, CHOICES[choice], (enum measure_misreport_number)lie,
                   LOADS[load]);
}

const struct measure_experiment measure_balance = { "balance", run };
