/* Experiments that print the tables which docs/MEASUREMENTS.md quotes.

   Everything runs in virtual time from a seed, so the same seed prints the
   same table.  */

#ifndef MEASURE_H
#define MEASURE_H

#include "fleet.h"

struct measure_experiment
{
  const char *name;
  /* Prints the experiment's table for SEED.  */
  void (*run) (uint64_t seed);
};

extern const struct measure_experiment measure_balance;
extern const struct measure_experiment measure_flood;
extern const struct measure_experiment measure_feeds;
extern const struct measure_experiment measure_dead;
extern const struct measure_experiment measure_flows;

/* Kinds of work of the measured service, by number.  */
enum measure_kind
{
  MEASURE_FEED,
  MEASURE_READING,
  MEASURE_EVENT,
  MEASURE_PHOTO,
  MEASURE_KIND_COUNT
};

extern const char *const MEASURE_KIND_NAMES[MEASURE_KIND_COUNT];

/* Run time of each kind at an upstream of speed 1, in milliseconds.  */
extern const uint32_t MEASURE_WORK_MS[MEASURE_KIND_COUNT];

enum
{
  MEASURE_AGENTS = 7,
  MEASURE_ENTRIES = 3,
  MEASURE_SLOTS = 3,
  MEASURE_CONNECTIONS = 2000
};

/* Creates entries, agents with upstreams of speeds 1, 2 and 4 in turn, one
   caller and one published service.  Policies may be NULL.  */
struct fleet *measure_create_fleet (uint64_t seed, const char *choice,
                                    const char *admission);

/* Returns the milliseconds of work that all upstreams do in a second.  */
double measure_capacity (const struct fleet *fleet);

/* Adds short flows of KIND that ask for SHARE of the capacity.  */
struct fleet_load *measure_add_load (struct fleet *fleet,
                                     enum measure_kind kind, double share,
                                     int64_t from_ms, int64_t until_ms);

/* What a load and the upstreams had done at an instant.  */
struct measure_baseline
{
  uint64_t answered[FLEET_LOADS_MAX];
  uint64_t sent[FLEET_LOADS_MAX];
  guint latencies[FLEET_LOADS_MAX];
  uint64_t busy_ms[FLEET_NODES_MAX];
};

void measure_take_baseline (const struct fleet *fleet,
                            struct measure_baseline *mark);

/* Returns the greatest busy share of an upstream over the mean, since MARK. */
double measure_imbalance (const struct fleet *fleet,
                          const struct measure_baseline *mark);

/* Returns a load's latency at SHARE of its answers since MARK.  */
uint32_t measure_latency (const struct fleet *fleet,
                          const struct measure_baseline *mark, uint32_t load,
                          double share);

/* Returns a counter summed over all nodes of KIND.  */
uint64_t measure_sum_counter (const struct fleet *fleet,
                              enum fleet_node_kind kind,
                              enum galena_counter counter);

/* Goodput of each kind, in milliseconds of work a second, and its p99.  */
struct measure_flood_figures
{
  double goodput[MEASURE_KIND_COUNT];
  uint32_t p99_ms[MEASURE_KIND_COUNT];
  double total_goodput;
  /* Opens and requests that agents refuse in a second.  */
  double agent_refusals;
};

/* Runs the usual load with a flood of KIND that asks for TIMES the capacity;
   0 for none.  */
void measure_run_flood (uint64_t seed, const char *admission,
                        enum measure_kind kind, double times,
                        struct measure_flood_figures *figures);

struct measure_feeds_figures
{
  uint64_t feeds;
  /* Flows that agents hold at the end.  */
  uint64_t flows;
  /* Share of the events that were answered.  */
  double events_kept;
  uint32_t event_p99_ms;
};

/* Opens feeds for OPENED times the connections of all upstreams.  */
void measure_run_feeds (uint64_t seed, double opened,
                        struct measure_feeds_figures *figures);

struct measure_dead_figures
{
  /* Opens retried and opens refused, as shares of the first tries.  */
  double retries;
  double refused;
  /* When new work was answered again; -1 for not at all.  */
  int64_t recovered_ms;
};

/* Kills a third of the upstreams under a load of SHARE of the capacity.  */
void measure_run_dead (uint64_t seed, const char *choice, double share,
                       struct measure_dead_figures *figures);

/* What is untrue about one upstream of speed 1.  */
enum measure_misreport_number
{
  MEASURE_MISREPORT_NONE,
  MEASURE_MISREPORT_NO_WAIT,
  MEASURE_MISREPORT_SLOTS,
  MEASURE_MISREPORT_COUNT
};

struct measure_misreport
{
  const char *name;
  void (*apply) (struct fleet *fleet);
};

extern const struct measure_misreport
    measure_misreports[MEASURE_MISREPORT_COUNT];

struct measure_balance_figures
{
  /* Greatest busy share of an upstream over the mean.  */
  double imbalance;
  /* Share of the requests that were answered.  */
  double answered;
  uint32_t p50_ms;
  uint32_t p99_ms;
};

/* Runs one kind of work at SHARE of the capacity for a minute.  */
void measure_run_balance (uint64_t seed, const char *choice,
                          enum measure_misreport_number lie, double share,
                          struct measure_balance_figures *figures);

#endif
