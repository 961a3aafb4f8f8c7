/* Imbalance of the upstreams and latency for each policy of choosing an
   upstream, also when one upstream is misreported.  */

#include <stdio.h>

#include "measure.h"

enum
{
  WARM_UP_MS = 5000,
  END_MS = 65000
};

static void
report_truthfully (struct fleet *fleet)
{
  (void)fleet;
}

/* The agent reports a wait of 0, whatever its queue length.  */
static void
report_no_wait (struct fleet *fleet)
{
  fleet->nodes[fleet_find (fleet, "agent-1")].reports_no_wait = true;
}

/* The record gives three times the slots that the upstream has.  */
static void
claim_triple_slots (struct fleet *fleet)
{
  uint32_t node = (uint32_t)fleet_find (fleet, "agent-1");

  fleet_upstream_row (fleet, node)->slots *= 3;
  fleet_publish (fleet, 0);
}

const struct measure_misreport measure_misreports[MEASURE_MISREPORT_COUNT] = {
  [MEASURE_MISREPORT_NONE] = { "none", report_truthfully },
  [MEASURE_MISREPORT_NO_WAIT] = { "no wait told", report_no_wait },
  [MEASURE_MISREPORT_SLOTS] = { "slots x3", claim_triple_slots },
};

static const char *const CHOICES[]
    = { "random", "hash", "two-queue", "two-wait" };

static const double LOADS[] = { 0.30, 0.70, 0.95 };

void
measure_run_balance (uint64_t seed, const char *choice,
                     enum measure_misreport_number misreport, double share,
                     struct measure_balance_figures *figures)
{
  struct fleet *fleet = measure_create_fleet (seed, choice, NULL);
  struct measure_baseline *baseline = g_new0 (struct measure_baseline, 1);
  const struct fleet_load *load
      = measure_add_load (fleet, MEASURE_EVENT, share, 100, END_MS);

  measure_misreports[misreport].apply (fleet);
  fleet_run (fleet, WARM_UP_MS);
  measure_take_baseline (fleet, baseline);
  fleet_run (fleet, END_MS);
  figures->answered = (double)(load->answered - baseline->answered[0])
                      / (double)(load->sent - baseline->sent[0]);
  figures->imbalance = measure_imbalance (fleet, baseline);
  figures->p50_ms = measure_latency (fleet, baseline, 0, 0.5);
  figures->p99_ms = measure_latency (fleet, baseline, 0, 0.99);
  g_free (baseline);
  fleet_destroy (fleet);
}

static void
print_row (uint64_t seed, const char *choice,
           enum measure_misreport_number misreport, double share)
{
  struct measure_balance_figures figures;

  measure_run_balance (seed, choice, misreport, share, &figures);
  printf ("| %s | %s | %.0f%% | %.2f | %u | %u | %.1f%% |\n",
          measure_misreports[misreport].name, choice, share * 100,
          figures.imbalance, figures.p50_ms, figures.p99_ms,
          figures.answered * 100);
}

static void
run (uint64_t seed)
{
  printf ("| untrue | choice | load | imbalance | p50 ms | p99 ms "
          "| answered |\n|---|---|---|---|---|---|---|\n");
  for (int misreport = 0; misreport < MEASURE_MISREPORT_COUNT; misreport++)
    for (size_t load = 0; load < G_N_ELEMENTS (LOADS); load++)
      for (size_t choice = 0; choice < G_N_ELEMENTS (CHOICES); choice++)
        print_row (seed, CHOICES[choice],
                   (enum measure_misreport_number)misreport, LOADS[load]);
}

const struct measure_experiment measure_balance = { "balance", run };
