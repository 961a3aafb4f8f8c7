/* Requests from caller to upstream and back in one process, without sockets or
   encoding: messages pass between worlds as plain structs.  */

#include "fleet.h"

struct request_case
{
  const char *name;
  struct fleet_network network;
  uint32_t body_bytes;
  uint32_t answer_bytes;
  uint32_t flow_requests;
  bool idempotent;
  uint32_t deadline_ms;
  /* Node that is killed 1 s after the start and started again 1 s later; NULL
     for none.  */
  const char *kill;
};

static const struct request_case CASES[] = {
  { "/path/plain", { .delay_ms = 1 }, 100, 100, 1, false, 10000, NULL },
  { "/path/long-flows", { .delay_ms = 1 }, 100, 100, 10, false, 10000, NULL },
  { "/path/large", { .delay_ms = 1 }, 150000, 90000, 1, false, 10000, NULL },
  { "/path/empty-answer", { .delay_ms = 1 }, 100, 0, 1, false, 10000, NULL },
  { "/path/lossy",
    { .delay_ms = 1, .drop = 0.05 },
    3000,
    3000,
    2,
    false,
    10000,
    NULL },
  { "/path/lossy-upload",
    { .delay_ms = 1, .drop = 0.05 },
    150000,
    100,
    1,
    false,
    3000,
    NULL },
  { "/path/crossed",
    { .delay_ms = 1, .duplicate = 0.3, .reorder = 0.3, .reorder_ms = 40 },
    9000,
    9000,
    2,
    false,
    10000,
    NULL },
  { "/path/entry-dies",
    { .delay_ms = 1 },
    3000,
    3000,
    5,
    false,
    10000,
    "entry-1" },
  { "/path/agent-dies",
    { .delay_ms = 1 },
    3000,
    3000,
    5,
    false,
    10000,
    "agent-1" },
};

static const struct galena_kind KINDS[] = {
  { .name = "event", .number = 0, .urgency = 1, .deadline_ms = 10000 },
};

static struct fleet *
make_fleet (const struct request_case *test)
{
  struct fleet_options options
      = { .seed = 1, .network = test->network, .fabric_lag_ms = 2000 };
  struct fleet_upstream upstream
      = { .speed = 1, .slots = 3, .warmup_factor = 1 };
  struct fleet_load load = { .name = "event",
                             .rate = 50,
                             .flow_requests = test->flow_requests,
                             .think_ms = 100,
                             .body_bytes = test->body_bytes,
                             .answer_bytes = test->answer_bytes,
                             .work_ms = 20,
                             .deadline_ms = test->deadline_ms,
                             .idempotent = test->idempotent,
                             .until = { 4000 } };
  struct fleet *fleet = fleet_create (&options);
  uint32_t service = fleet_add_service (fleet, "desk", KINDS, 1);

  for (int i = 0; i < 3; i++)
    fleet_add_agent (fleet, "a", service, &upstream, 2000);
  fleet_add_entry (fleet, "a");
  fleet_add_entry (fleet, "b");
  load.caller = fleet_add_caller (fleet);
  load.from.ms = 100;
  fleet_publish (fleet, service);
  fleet_add_load (fleet, &load);
  return fleet;
}

static void
run_case (gconstpointer data)
{
  const struct request_case *test = data;
  struct fleet *fleet = make_fleet (test);
  struct fleet_totals totals;

  fleet_run (fleet, 1000);
  if (test->kill != NULL)
    fleet_kill (fleet, (uint32_t)fleet_find (fleet, test->kill));
  fleet_run (fleet, 2000);
  if (test->kill != NULL)
    fleet_start (fleet, (uint32_t)fleet_find (fleet, test->kill));
  fleet_run (fleet, 60000);
  fleet_totals (fleet, &totals);
  g_test_message ("sent=%lu answered=%lu refused=%lu unknown=%lu broken=%lu "
                  "rows=%lu",
                  totals.sent, totals.answered, totals.refused, totals.unknown,
                  totals.broken, totals.rows);
  g_assert_cmpuint (totals.sent, >, 100);
  g_assert_cmpuint (totals.doubled, ==, 0);
  g_assert_cmpuint (totals.misrouted, ==, 0);
  g_assert_cmpuint (totals.false_refusals, ==, 0);
  g_assert_cmpuint (totals.wrong, ==, 0);
  g_assert_cmpuint (totals.open, ==, 0);
  if (test->kill == NULL || g_str_has_prefix (test->kill, "entry"))
    {
      g_assert_cmpuint (totals.answered, ==, totals.sent);
      g_assert_cmpuint (totals.broken, ==, 0);
    }
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
