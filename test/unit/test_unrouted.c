/* A front end whose packets carry no upstream number in their tag: flows
   survive planned changes through the chain of candidates and through
   leases.  */

#include "fleet.h"

enum
{
  AGENTS_MAX = 18,
  STEP_MS = 2000
};

struct change_case
{
  const char *name;
  uint64_t seed;
  /* Upstreams at the start, and how many join with each of STEPS records.  */
  uint32_t agents;
  uint32_t steps;
  uint32_t join;
  /* Upstreams that leave with each of STEPS records.  */
  uint32_t leave;
  /* Whether an entry is replaced at each step.  */
  bool replace_entries;
  struct fleet_network network;
  /* Time from the publication of a record until a node reads it.  */
  uint32_t platform_lag_ms;
};

static const struct change_case CASES[] = {
  { "/unrouted/steady", 1, 9, 0, 0, 0, false, { .delay_ms = 1 }, 0 },
  { "/unrouted/one-joins", 2, 9, 1, 1, 0, false, { .delay_ms = 1 }, 0 },
  { "/unrouted/two-join-one-by-one",
    3,
    9,
    2,
    1,
    0,
    false,
    { .delay_ms = 1 },
    0 },
  { "/unrouted/nine-join-at-once",
    4,
    9,
    1,
    9,
    0,
    false,
    { .delay_ms = 1 },
    0 },
  { "/unrouted/nine-join-one-by-one",
    5,
    9,
    9,
    1,
    0,
    false,
    { .delay_ms = 1 },
    0 },
  { "/unrouted/four-leave-one-by-one",
    6,
    9,
    4,
    0,
    1,
    false,
    { .delay_ms = 1 },
    0 },
  { "/unrouted/join-and-leave", 7, 9, 4, 1, 1, false, { .delay_ms = 1 }, 0 },
  { "/unrouted/entries-replaced", 8, 9, 4, 1, 1, true, { .delay_ms = 1 }, 0 },
  { "/unrouted/late-records", 9, 9, 4, 1, 1, false, { .delay_ms = 1 }, 2000 },
  { "/unrouted/crossed",
    10,
    9,
    4,
    1,
    1,
    false,
    { .delay_ms = 1, .duplicate = 0.2, .reorder = 0.2, .reorder_ms = 40 },
    0 },
};

static const struct galena_kind KINDS[] = {
  { .name = "release", .number = 0, .urgency = 1, .deadline_ms = 10000 },
};

struct fixture
{
  struct fleet *fleet;
  uint32_t service;
  uint32_t agents[AGENTS_MAX];
  uint32_t agent_count;
  /* Agents whose upstream has left.  */
  uint32_t left_count;
  uint32_t entries[2];
};

static void
add_agents (struct fixture *fixture, uint32_t count)
{
  struct fleet_upstream upstream
      = { .speed = 1, .slots = 4, .warmup_factor = 1 };

  for (uint32_t i = 0; i < count; i++)
    fixture->agents[fixture->agent_count++] = fleet_add_agent (
        fixture->fleet, "a", fixture->service, &upstream, 2000);
}

static void
take_step (struct fixture *fixture, const struct change_case *test,
           uint32_t step)
{
  uint32_t entry = fixture->entries[step % 2];

  add_agents (fixture, test->join);
  for (uint32_t i = 0; i < test->leave; i++)
    fleet_upstream_row (fixture->fleet, fixture->agents[fixture->left_count++])
        ->state
        = GALENA_UPSTREAM_LEAVING;
  fleet_publish (fixture->fleet, fixture->service);
  if (test->replace_entries)
    {
      fleet_kill (fixture->fleet, entry);
      fleet_start (fixture->fleet, entry);
    }
}

static void
add_load (struct fixture *fixture)
{
  struct fleet_load load = { .name = "release",
                             .rate = 300,
                             .flow_requests = 30,
                             .think_ms = 1000,
                             .body_bytes = 3000,
                             .answer_bytes = 3000,
                             .work_ms = 20,
                             .deadline_ms = 10000,
                             .unrouted = true,
                             .from = { 100 },
                             .until = { 8000 } };

  load.caller = fleet_add_caller (fixture->fleet);
  fleet_add_load (fixture->fleet, &load);
}

static void
run_case (gconstpointer data)
{
  const struct change_case *test = data;
  struct fleet_options options = { .seed = test->seed,
                                   .network = test->network,
                                   .platform_lag_ms = test->platform_lag_ms };
  struct fixture fixture = { .fleet = fleet_create (&options) };
  struct fleet_totals totals;
  uint64_t forwarded = 0;

  fixture.service = fleet_add_service (fixture.fleet, "floor", KINDS, 1);
  add_agents (&fixture, test->agents);
  fixture.entries[0] = fleet_add_entry (fixture.fleet, "a");
  fixture.entries[1] = fleet_add_entry (fixture.fleet, "b");
  fleet_publish (fixture.fleet, fixture.service);
  fleet_run (fixture.fleet, 50 + (int64_t)test->platform_lag_ms);
  add_load (&fixture);
  for (uint32_t step = 0; step < test->steps; step++)
    {
      fleet_run (fixture.fleet, 8000 + (int64_t)step * STEP_MS);
      take_step (&fixture, test, step);
    }
  fleet_run (fixture.fleet, 80000);
  fleet_totals (fixture.fleet, &totals);
  for (uint32_t i = 0; i < fixture.agent_count; i++)
    forwarded += galena_world_counters (
                     fixture.fleet->nodes[fixture.agents[i]].world)
                     ->values[GALENA_COUNT_FORWARDED];
  g_test_message ("sent=%lu answered=%lu refused=%lu unknown=%lu broken=%lu "
                  "forwarded=%lu rows=%lu",
                  totals.sent, totals.answered, totals.refused, totals.unknown,
                  totals.broken, forwarded, totals.rows);
  g_assert_cmpuint (totals.sent, >, 1500);
  g_assert_cmpuint (totals.answered, ==, totals.sent);
  g_assert_cmpuint (totals.doubled, ==, 0);
  g_assert_cmpuint (totals.misrouted, ==, 0);
  g_assert_cmpuint (totals.wrong, ==, 0);
  g_assert_cmpuint (totals.broken, ==, 0);
  fleet_destroy (fixture.fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  return g_test_run ();
}
