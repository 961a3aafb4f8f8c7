/* Goodput and latency of each kind while one kind overloads the service, for
   each admission policy.  */

#include <stdio.h>

#include "measure.h"

enum
{
  OVERLOAD_FROM_MS = 5000,
  /* The first 3 s of the overload are not measured.  */
  COUNT_FROM_MS = 8000,
  END_MS = 18000
};

/* Load of each kind without an overload, as a share of the capacity.  */
static const double BASE_LOADS[MEASURE_KIND_COUNT] = { 0, 0.25, 0.20, 0.08 };

static void
compute_figures (const struct fleet *fleet,
                 const struct measure_baseline *baseline,
                 struct measure_overload_figures *figures)
{
  double seconds = (END_MS - COUNT_FROM_MS) / 1000.0;

  *figures = (struct measure_overload_figures){ 0 };
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      const struct fleet_load *load = &fleet->loads[i];
      double answered = (double)(load->answered - baseline->answered[i]);
      double goodput = answered * load->work_ms / seconds;

      figures->goodput[load->kind] += goodput;
      figures->total_goodput += goodput;
      figures->p99_ms[load->kind]
          = MAX (figures->p99_ms[load->kind],
                 measure_latency (fleet, baseline, i, 0.99));
    }
}

void
measure_run_overload (uint64_t seed, const char *admission,
                      enum measure_kind kind, double times,
                      struct measure_overload_figures *figures)
{
  struct fleet *fleet = measure_create_fleet (seed, NULL, admission);
  struct measure_baseline *baseline = g_new0 (struct measure_baseline, 1);
  uint64_t refused;

  for (int i = MEASURE_READING; i < MEASURE_KIND_COUNT; i++)
    measure_add_load (fleet, (enum measure_kind)i, BASE_LOADS[i], 100, END_MS);
  if (times > 0)
    measure_add_load (fleet, kind, times, OVERLOAD_FROM_MS, END_MS);
  fleet_run (fleet, COUNT_FROM_MS);
  measure_take_baseline (fleet, baseline);
  refused = measure_sum_counter (fleet, FLEET_AGENT, GALENA_COUNT_REFUSED);
  fleet_run (fleet, END_MS);
  compute_figures (fleet, baseline, figures);
  refused = measure_sum_counter (fleet, FLEET_AGENT, GALENA_COUNT_REFUSED)
            - refused;
  figures->agent_refusals = (double)refused * 1000 / (END_MS - COUNT_FROM_MS);
  g_free (baseline);
  fleet_destroy (fleet);
}

static const char *const ADMISSIONS[] = { "first-come", "urgency", "shares" };

static const enum measure_kind OVERLOAD_KINDS[]
    = { MEASURE_PHOTO, MEASURE_READING };

/* Load of the overloading kind, in multiples of the capacity.  */
static const double TIMES[] = { 1, 2, 10, 50 };

static void
print_row (const char *admission, enum measure_kind kind, double times,
           const struct measure_overload_figures *figures,
           const struct measure_overload_figures *no_overload,
           double total_at_capacity)
{
  printf ("| %s | %s x%.0f ", MEASURE_KIND_NAMES[kind], admission, times);
  for (int i = MEASURE_READING; i < MEASURE_KIND_COUNT; i++)
    printf ("| %.1f%% | %u ",
            figures->goodput[i] / no_overload->goodput[i] * 100,
            figures->p99_ms[i]);
  printf ("| %.1f%% | %.0f |\n",
          figures->total_goodput / total_at_capacity * 100,
          figures->agent_refusals);
  fflush (stdout);
}

static void
run_admission (uint64_t seed, const char *admission)
{
  struct measure_overload_figures no_overload;

  measure_run_overload (seed, admission, MEASURE_PHOTO, 0, &no_overload);
  print_row (admission, MEASURE_PHOTO, 0, &no_overload, &no_overload,
             no_overload.total_goodput);
  for (size_t f = 0; f < G_N_ELEMENTS (OVERLOAD_KINDS); f++)
    {
      double total_at_capacity = 0;

      for (size_t i = 0; i < G_N_ELEMENTS (TIMES); i++)
        {
          struct measure_overload_figures figures;

          measure_run_overload (seed, admission, OVERLOAD_KINDS[f], TIMES[i],
                                &figures);
          if (i == 0)
            total_at_capacity = figures.total_goodput;
          print_row (admission, OVERLOAD_KINDS[f], TIMES[i], &figures,
                     &no_overload, total_at_capacity);
        }
    }
}

static void
run (uint64_t seed)
{
  printf ("| flood of | admission ");
  for (int i = MEASURE_READING; i < MEASURE_KIND_COUNT; i++)
    printf ("| %s kept | p99 ms ", MEASURE_KIND_NAMES[i]);
  printf ("| whole | refused by agents a second "
          "|\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (ADMISSIONS); i++)
    run_admission (seed, ADMISSIONS[i]);
}

const struct measure_experiment measure_overload = { "flood", run };
