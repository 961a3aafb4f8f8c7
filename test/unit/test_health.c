/* An upstream that is down while its agent runs must not attract work: it
   refuses at once, so its agent has no queue and would look like the least
   loaded one.  */

#include "fleet.h"

struct health_case
{
  const char *name;
  uint64_t seed;
  uint32_t agents;
  /* Upstreams that are down from 2 s to 12 s.  */
  uint32_t down;
  /* Requests per second.  */
  double rate;
  /* Least share of all requests that is answered, in percent.  */
  uint32_t min_answered_percent;
  /* Fewest requests that the recovered upstreams execute, in percent of their
     equal share of the load.  */
  uint32_t min_recovered_percent;
};

static const struct health_case CASES[] = {
  { "/health/none-down", 1, 3, 0, 60, 100, 0 },
  { "/health/one-of-three", 2, 3, 1, 60, 99, 40 },
  { "/health/two-of-six", 3, 6, 2, 120, 99, 40 },
  { "/health/one-of-two", 4, 2, 1, 40, 99, 40 },
};

static const struct galena_kind KINDS[] = {
  { .name = "event", .number = 0, .urgency = 1, .deadline_ms = 10000 },
};

static void
set_down (struct fleet *fleet, uint32_t count, bool down)
{
  for (uint32_t i = 0; i < count; i++)
    fleet->nodes[i].upstream.down = down;
}

static uint64_t
executed_by (const struct fleet *fleet, uint32_t count)
{
  uint64_t executed = 0;

  for (uint32_t i = 0; i < count; i++)
    executed += fleet->nodes[i].upstream.executed;
  return executed;
}

static void
run_case (gconstpointer data)
{
  const struct health_case *test = data;
  struct fleet_options options
      = { .seed = test->seed, .network = { .delay_ms = 1 } };
  struct fleet *fleet = fleet_create (&options);
  struct fleet_upstream upstream
      = { .speed = 1, .slots = 3, .warmup_factor = 1 };
  struct fleet_load load = { .name = "event",
                             .rate = test->rate,
                             .body_bytes = 100,
                             .answer_bytes = 100,
                             .work_ms = 50,
                             .deadline_ms = 10000,
                             .from = { 100 },
                             .until = { 42000 } };
  uint32_t service = fleet_add_service (fleet, "desk", KINDS, 1);
  struct fleet_totals totals;
  uint64_t before;
  uint64_t back;

  for (uint32_t i = 0; i < test->agents; i++)
    fleet_add_agent (fleet, "a", service, &upstream, 2000);
  fleet_add_entry (fleet, "a");
  fleet_add_entry (fleet, "b");
  load.caller = fleet_add_caller (fleet);
  fleet_publish (fleet, service);
  fleet_add_load (fleet, &load);
  fleet_run (fleet, 2000);
  set_down (fleet, test->down, true);
  fleet_run (fleet, 12000);
  set_down (fleet, test->down, false);
  before = executed_by (fleet, test->down);
  fleet_run (fleet, 42000);
  back = executed_by (fleet, test->down) - before;
  fleet_run (fleet, 60000);
  fleet_totals (fleet, &totals);
  g_test_message ("sent=%lu answered=%lu refused=%lu unknown=%lu back=%lu",
                  totals.sent, totals.answered, totals.refused, totals.unknown,
                  back);
  g_assert_cmpuint (totals.unknown, ==, 0);
  g_assert_cmpuint (totals.false_refusals, ==, 0);
  g_assert_cmpuint (totals.answered * 100, >=,
                    totals.sent * test->min_answered_percent);
  /* The load goes on for 30 s after the recovery.  */
  g_assert_cmpfloat ((double)back, >=,
                     test->rate * 30 * test->down / test->agents
                         * test->min_recovered_percent / 100);
  fleet_destroy (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  return g_test_run ();
}
