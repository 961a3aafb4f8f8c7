/* Experiments on the choice of upstream, admission and routing; they print
   the tables in docs/MEASUREMENTS.md.

   The simulated fleet runs in virtual time, so the same seed always gives the
   same table.  */

#ifndef MEASURE_H
#define MEASURE_H

#include "fleet.h"

struct measure_experiment
{
  const char *name;
  /* Runs the experiment with SEED and prints its table.  */
  void (*run) (uint64_t seed);
};

extern const struct measure_experiment measure_balance;
extern const struct measure_experiment measure_overload;
extern const struct measure_experiment measure_feeds;
extern const struct measure_experiment measure_crash;
extern const struct measure_experiment measure_flows;

/* Kinds of work of the measured service; the values are their numbers.  */
enum measure_kind
{
  MEASURE_FEED,
  MEASURE_READING,
  MEASURE_EVENT,
  MEASURE_PHOTO,
  MEASURE_KIND_COUNT
};

extern const char *const MEASURE_KIND_NAMES[MEASURE_KIND_COUNT];

/* Service time of a request of each kind at an upstream of speed 1, in
   milliseconds.  */
extern const uint32_t MEASURE_WORK_MS[MEASURE_KIND_COUNT];

enum
{
  MEASURE_AGENTS = 7,
  MEASURE_ENTRIES = 3,
  /* Slots and connections of each upstream.  */
  MEASURE_SLOTS = 3,
  MEASURE_CONNECTIONS = 2000
};

/* Creates a fleet of MEASURE_ENTRIES entries, MEASURE_AGENTS agents, whose
   upstreams have the speeds 1, 2 and 4 in turn, one caller and one published
   service.  CHOICE and ADMISSION name the policies; NULL is the default.  The
   caller owns the fleet.  */
struct fleet *measure_create_fleet (uint64_t seed, const char *choice,
                                    const char *admission);

/* Returns the total capacity, in milliseconds of work per second.  */
double measure_capacity (const struct fleet *fleet);

/* Adds a load of KIND with one request per flow, at a rate that takes SHARE of
   the capacity, between FROM_MS and UNTIL_MS of virtual time.  Returns the
   load, which FLEET owns.  */
struct fleet_load *measure_add_load (struct fleet *fleet,
                                     enum measure_kind kind, double share,
                                     int64_t from_ms, int64_t until_ms);

/* Cumulative counts of the loads and the upstreams at the start of a
   measurement.  */
struct measure_baseline
{
  uint64_t answered[FLEET_LOADS_MAX];
  uint64_t sent[FLEET_LOADS_MAX];
  guint latency_counts[FLEET_LOADS_MAX];
  uint64_t busy_ms[FLEET_NODES_MAX];
};

void measure_take_baseline (const struct fleet *fleet,
                            struct measure_baseline *baseline);

/* Returns the busy time of the busiest upstream divided by the mean of all,
   since BASELINE.  */
double measure_imbalance (const struct fleet *fleet,
                          const struct measure_baseline *baseline);

/* Returns the latency quantile SHARE, from 0 to 1, in milliseconds, of the
   answers to load LOAD since BASELINE; 0 when there are none.  */
uint32_t measure_latency (const struct fleet *fleet,
                          const struct measure_baseline *baseline,
                          uint32_t load, double share);

/* Returns the sum of COUNTER over all running nodes of KIND.  */
uint64_t measure_sum_counter (const struct fleet *fleet,
                              enum fleet_node_kind kind,
                              enum galena_counter counter);

/* Goodput is in milliseconds of answered work per second.  */
struct measure_overload_figures
{
  double goodput[MEASURE_KIND_COUNT];
  uint32_t p99_ms[MEASURE_KIND_COUNT];
  double total_goodput;
  /* Opens and requests that agents refuse, per second.  */
  double agent_refusals;
};

/* Runs the base load together with an overload of KIND at TIMES the capacity;
   a TIMES of 0 runs the base load alone.  */
void measure_run_overload (uint64_t seed, const char *admission,
                           enum measure_kind kind, double times,
                           struct measure_overload_figures *figures);

struct measure_feeds_figures
{
  /* Feeds opened in the whole run.  */
  uint64_t feeds;
  /* Flows in the tables of all agents at the end.  */
  uint64_t flows;
  /* Share of the events that were answered, from 0 to 1.  */
  double answered_share;
  uint32_t event_p99_ms;
};

/* Opens endless feeds at a steady rate, FEEDS_PER_CONNECTION for each
   connection of the upstreams, beside a load of events.  */
void measure_run_feeds (uint64_t seed, double feeds_per_connection,
                        struct measure_feeds_figures *figures);

struct measure_crash_figures
{
  /* Retries of opens by entries and refused requests after the crash, divided
     by the opens that entries received; a repeated open is not counted
     again.  */
  double retries;
  double refused;
  /* Time from the crash until at most 1 % of the requests were refused; -1 for
     not at all.  */
  int64_t recovered_ms;
};

/* Kills a third of the capacity under a load of SHARE of the capacity.  */
void measure_run_crash (uint64_t seed, const char *choice, double share,
                        struct measure_crash_figures *figures);

/* False information about one upstream of speed 1.  */
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
  /* Makes the fleet give the false information.  */
  void (*apply) (struct fleet *fleet);
};

extern const struct measure_misreport
    measure_misreports[MEASURE_MISREPORT_COUNT];

struct measure_balance_figures
{
  /* Busy time of the busiest upstream divided by the mean.  */
  double imbalance;
  /* Share of the requests that were answered, from 0 to 1.  */
  double answered;
  uint32_t p50_ms;
  uint32_t p99_ms;
};

/* Runs events at SHARE of the capacity and measures for a minute of virtual
   time.  */
void measure_run_balance (uint64_t seed, const char *choice,
                          enum measure_misreport_number misreport,
                          double share,
                          struct measure_balance_figures *figures);

#endif
