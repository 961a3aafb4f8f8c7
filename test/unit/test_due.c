/* When a world's next tick is due: soon while rows are waiting, and after a
   long period when it is idle.  */

#include <glib.h>

#include <galenaford/world.h>

enum
{
  SOON_MS = 100,
  IDLE_MS = 900
};

struct due_case
{
  const char *name;
  enum galena_role role;
  /* Whether an open is pending at the entry.  */
  bool open;
  /* Bounds of the time until the next tick.  */
  int64_t min_ms;
  int64_t max_ms;
};

static const struct due_case CASES[] = {
  { "/due/entry-idle", GALENA_ROLE_ENTRY, false, IDLE_MS, 1000 },
  { "/due/entry-with-open", GALENA_ROLE_ENTRY, true, 1, SOON_MS },
  { "/due/agent-idle", GALENA_ROLE_AGENT, false, IDLE_MS, 1000 },
};

static const struct galena_endpoint ADDRESS = { 0x7f0a0001, 700 };

static struct galena_config *
make_config (void)
{
  struct galena_service service
      = { .number = 1, .address = ADDRESS, .upstream_count = 1 };
  struct galena_upstream upstream = { .number = 1,
                                      .agent = { 0x7f000001, 7100 },
                                      .connections = 10,
                                      .slots = 1,
                                      .weight = 1 };
  struct galena_config_options options = { &service, 1, &upstream, 1 };
  struct galena_config *config;

  g_assert_cmpint (galena_config_create (&options, &config), ==, GALENA_OK);
  return config;
}

static void
run_case (gconstpointer data)
{
  const struct due_case *test = data;
  struct galena_world_options options = { .role = test->role,
                                          .seed = 1,
                                          .upstream = 1,
                                          .incarnation = 1,
                                          .flows = 16,
                                          .requests = 16,
                                          .messages = 16 };
  struct galena_message open = { .type = GALENA_MESSAGE_OPEN,
                                 .side = GALENA_SIDE_CALLER,
                                 .peer = { 0x7f000002, 9 },
                                 .service = ADDRESS,
                                 .flow = { 1, 2 },
                                 .deadline_ms = 5000 };
  struct galena_config *config = make_config ();
  struct galena_clock now = { 5000 };
  struct galena_world *world;
  int64_t due_in_ms;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  if (test->open)
    galena_mailbox_push (galena_world_inbox (world), &open);
  galena_world_tick (world, now, config);
  due_in_ms = galena_clock_elapsed_ms (now, galena_world_due (world));
  g_assert_cmpint (due_in_ms, >=, test->min_ms);
  g_assert_cmpint (due_in_ms, <=, test->max_ms);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  return g_test_run ();
}
