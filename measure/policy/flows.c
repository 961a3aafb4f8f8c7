/* Flows broken by a rolling replacement of entries and upstreams, with
   consistent hashing alone and with flow tags.  */

#include <stdio.h>

#include "measure.h"

enum
{
  FLOWS = 20000,
  AGENTS = 9,
  REPLACE_EVERY_MS = 3000,
  REPLACE_FROM_MS = 5000,
  LONG_FLOWS_UNTIL_MS = 4000,
  /* Broken flows are printed per this number of flows.  */
  PER_FLOWS = 100000
};

static struct galena_config *
make_config (const struct galena_upstream *upstreams, uint32_t count)
{
  struct galena_service service
      = { .number = 1, .address = { 1, 1 }, .upstream_count = count };
  struct galena_config_options options = { &service, 1, upstreams, count };
  struct galena_config *config;

  g_assert_cmpint (galena_config_create (&options, &config), ==, GALENA_OK);
  return config;
}

/* Returns the number of the upstream that is the first candidate of FLOW.  */
static uint32_t
first_candidate (const struct galena_config *config,
                 struct galena_flow_id flow)
{
  uint32_t chosen[GALENA_CANDIDATES_MAX];

  galena_config_candidates (config, galena_config_service (config, 0), flow,
                            chosen);
  return galena_config_upstream (config, chosen[0])->number;
}

/* Marks the flows in BROKEN whose first candidate differs between BEFORE and
   AFTER.  Returns how many are marked, with those marked earlier.  */
static uint32_t
count_broken (struct galena_random random, const struct galena_config *before,
              const struct galena_config *after, bool *broken)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < FLOWS; i++)
    {
      struct galena_flow_id flow
          = { galena_random_next (&random), galena_random_next (&random) };
      broken[i]
          |= first_candidate (before, flow) != first_candidate (after, flow);
      count += broken[i];
    }
  return count;
}

/* Replaces each upstream by a new one, one after another.  Each packet goes to
   the current first candidate of its flow, so a flow breaks when that changes.
   Returns the number of broken flows.  */
static uint32_t
run_consistent_hashing (uint64_t seed)
{
  struct galena_random random = { seed, 0 };
  struct galena_upstream upstreams[AGENTS] = { 0 };
  bool *broken = g_new0 (bool, FLOWS);
  struct galena_config *before;
  struct galena_config *after;
  uint32_t count = 0;

  for (uint32_t i = 0; i < AGENTS; i++)
    upstreams[i]
        = (struct galena_upstream){ .number = i + 1, .slots = 1, .weight = 1 };
  before = make_config (upstreams, AGENTS);
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      upstreams[i].number = AGENTS + i + 1;
      after = make_config (upstreams, AGENTS);
      count = count_broken (random, before, after, broken);
      galena_config_destroy (before);
      before = after;
    }
  galena_config_destroy (before);
  g_free (broken);
  return count;
}

/* Publishes the upstream of NODE as leaving and a new one in its place.  */
static void
replace_upstream (struct fleet *fleet, uint32_t node)
{
  struct fleet_upstream upstream = fleet->nodes[node].upstream;

  upstream.running = 0;
  upstream.busy_ms = 0;
  fleet_upstream_row (fleet, node)->state = GALENA_UPSTREAM_LEAVING;
  fleet_add_agent (fleet, "a", 0, &upstream, MEASURE_CONNECTIONS);
  fleet_publish (fleet, 0);
}

static void
replace_entry (struct fleet *fleet, uint32_t number)
{
  char name[GALENA_NAME_BYTES];
  uint32_t node;

  g_snprintf (name, sizeof name, "entry-%u", number);
  node = (uint32_t)fleet_find (fleet, name);
  fleet_kill (fleet, node);
  fleet_start (fleet, node);
}

/* Runs flows of many requests while all entries and upstreams are replaced one
   after another.  */
static void
run_flow_tags (uint64_t seed, uint64_t *flows, struct fleet_totals *totals)
{
  struct fleet *fleet = measure_create_fleet (seed, NULL, NULL);
  struct fleet_load *load
      = measure_add_load (fleet, MEASURE_EVENT, 0, 100, LONG_FLOWS_UNTIL_MS);
  int64_t at = REPLACE_FROM_MS;

  load->rate = 12500;
  load->flow_requests = 25;
  load->think_ms = 1000;
  load->work_ms = 20;
  for (uint32_t i = 0; i < MEASURE_AGENTS; i++, at += REPLACE_EVERY_MS)
    {
      fleet_run (fleet, at);
      replace_upstream (fleet, i);
      if (i < MEASURE_ENTRIES)
        replace_entry (fleet, i + 1);
    }
  fleet_run (fleet, at + REPLACE_EVERY_MS * 2);
  fleet_totals (fleet, totals);
  *flows = load->sent / load->flow_requests;
  fleet_destroy (fleet);
}

static void
run (uint64_t seed)
{
  struct fleet_totals totals;
  uint64_t flows;

  printf ("| routing | flows | broken per 100,000 |\n|---|---|---|\n");
  printf ("| consistent hashing alone | %d | %.0f |\n", FLOWS,
          (double)run_consistent_hashing (seed) * PER_FLOWS / FLOWS);
  run_flow_tags (seed, &flows, &totals);
  printf ("| flow tag | %lu | %.0f |\n", (unsigned long)flows,
          (double)totals.broken * PER_FLOWS / (double)flows);
}

const struct measure_experiment measure_flows = { "flows", run };
