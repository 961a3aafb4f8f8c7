/* Graceful shutdown of worlds and of a process.  */

#include <glib.h>
#include <poll.h>

#include <galenaford/stats.h>

#include "process.h"

static const struct galena_endpoint SERVICE = { 0x7f000001, 700 };

/* What a world does with opens before and after it is asked to stop.  */
struct drain_case
{
  const char *name;
  enum galena_role role;
  enum galena_side link;
  /* Flows opened before the drain.  */
  uint32_t opens_before;
  bool drain;
  /* Flows opened after it, and the time from the drain to the last tick.  */
  uint32_t opens_after;
  int64_t later_ms;
  /* Whether the world is then idle: a stop would cut nothing short.  */
  bool idle;
  /* Messages of this type in the last outbox.  */
  enum galena_message_type sent;
  uint32_t sent_count;
};

static const struct drain_case DRAIN_CASES[] = {
  { "/stop/entry-runs", GALENA_ROLE_ENTRY, GALENA_SIDE_CALLER, 0, false, 2, 10,
    false, GALENA_MESSAGE_OPEN, 2 },
  { "/stop/entry-without-opens", GALENA_ROLE_ENTRY, GALENA_SIDE_CALLER, 0,
    true, 0, 10, true, GALENA_MESSAGE_OPEN, 0 },
  { "/stop/entry-takes-opens", GALENA_ROLE_ENTRY, GALENA_SIDE_CALLER, 0, true,
    2, 10, false, GALENA_MESSAGE_OPEN, 2 },
  { "/stop/entry-under-load", GALENA_ROLE_ENTRY, GALENA_SIDE_CALLER, 0, true,
    2, 2000, true, GALENA_MESSAGE_OPEN, 2 },
  { "/stop/entry-old-open", GALENA_ROLE_ENTRY, GALENA_SIDE_CALLER, 1, true, 2,
    50, false, GALENA_MESSAGE_OPEN, 1 },
  { "/stop/agent-runs", GALENA_ROLE_AGENT, GALENA_SIDE_PEER, 0, false, 2, 10,
    false, GALENA_MESSAGE_ACCEPT, 2 },
  { "/stop/agent-refuses", GALENA_ROLE_AGENT, GALENA_SIDE_PEER, 0, true, 2, 10,
    true, GALENA_MESSAGE_REFUSE, 2 },
  { "/stop/agent-repeats-accept", GALENA_ROLE_AGENT, GALENA_SIDE_PEER, 2, true,
    2, 10, false, GALENA_MESSAGE_ACCEPT, 2 },
};

static struct galena_config *
make_config (void)
{
  struct galena_service service
      = { .number = 4, .address = SERVICE, .upstream_count = 1 };
  struct galena_upstream upstream = { .number = 9,
                                      .agent = { 0x7f000002, 7100 },
                                      .slots = 1,
                                      .connections = 10,
                                      .weight = 1 };
  struct galena_config_options options = { &service, 1, &upstream, 1 };
  struct galena_config *config;

  service.kind_count = 1;
  service.kinds[0].deadline_ms = 1000;
  g_assert_cmpint (galena_config_create (&options, &config), ==, GALENA_OK);
  return config;
}

/* Pushes the opens of flows 1 to COUNT.  */
static void
push_opens (struct galena_world *world, enum galena_side link, uint32_t count)
{
  for (uint32_t i = 1; i <= count; i++)
    {
      struct galena_message open = { .type = GALENA_MESSAGE_OPEN,
                                     .side = link,
                                     .service = SERVICE,
                                     .flow = { 1, i },
                                     .deadline_ms = 10000 };
      galena_mailbox_push (galena_world_inbox (world), &open);
    }
}

static uint32_t
count_sent (const struct galena_world *world, enum galena_message_type type)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);
  uint32_t count = 0;

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    count += galena_mailbox_get (outbox, i)->type == type;
  return count;
}

static void
run_drain_case (gconstpointer data)
{
  const struct drain_case *test = data;
  struct galena_world_options options = { .role = test->role,
                                          .upstream = 9,
                                          .flows = 100,
                                          .requests = 16,
                                          .messages = 16 };
  struct galena_config *config = make_config ();
  struct galena_world *world;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  push_opens (world, test->link, test->opens_before);
  galena_world_tick (world, (struct galena_clock){ 1000 }, config);
  if (test->drain)
    galena_world_drain (world);
  push_opens (world, test->link, test->opens_after);
  galena_world_tick (world, (struct galena_clock){ 1000 + test->later_ms },
                     config);
  g_assert_cmpint (galena_world_idle (world), ==, test->idle);
  g_assert_cmpuint (count_sent (world, test->sent), ==, test->sent_count);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

/* Steps in the shutdown of a process with two threads.  */
enum stop_step
{
  /* The first or second thread checks whether it should continue.  */
  STEP_FIRST,
  STEP_SECOND,
  STEP_DRAIN,
  STEP_LIMIT,
  STEP_FORCE,
  STEP_END
};

struct stop_case
{
  const char *name;
  /* Whether the first thread has an open in progress.  */
  bool busy;
  enum stop_step steps[8];
  /* After them: whether the process should end, and its exit code.  */
  bool stopping;
  int exit_code;
};

static const struct stop_case STOP_CASES[] = {
  { "/stop/runs", false, { STEP_FIRST, STEP_SECOND, STEP_END }, false, 0 },
  { "/stop/one-idle",
    false,
    { STEP_DRAIN, STEP_FIRST, STEP_FIRST, STEP_END },
    false,
    0 },
  { "/stop/all-idle",
    false,
    { STEP_DRAIN, STEP_FIRST, STEP_SECOND, STEP_END },
    true,
    0 },
  { "/stop/busy",
    true,
    { STEP_DRAIN, STEP_FIRST, STEP_SECOND, STEP_END },
    false,
    0 },
  { "/stop/limit",
    true,
    { STEP_DRAIN, STEP_FIRST, STEP_SECOND, STEP_LIMIT, STEP_END },
    true,
    EXIT_LIMIT },
  { "/stop/forced",
    true,
    { STEP_DRAIN, STEP_FORCE, STEP_END },
    true,
    EXIT_FORCED },
  { "/stop/limit-after-end",
    false,
    { STEP_DRAIN, STEP_FIRST, STEP_SECOND, STEP_LIMIT, STEP_END },
    true,
    0 },
};

static bool
is_readable (int fd)
{
  struct pollfd wait = { fd, POLLIN, 0 };

  return poll (&wait, 1, 0) == 1;
}

static void
run_step (struct process *process, struct galena_world *worlds[2],
          bool idle[2], enum stop_step step)
{
  switch (step)
    {
    case STEP_DRAIN:
      process_begin_drain (process, process->settings.shutdown_limit_ms);
      return;
    case STEP_LIMIT:
      process_begin_stop (process, EXIT_LIMIT);
      return;
    case STEP_FORCE:
      process_begin_stop (process, EXIT_FORCED);
      return;
    default:
      process_should_continue (process, worlds[step], &idle[step]);
    }
}

static void
run_stop_case (gconstpointer data)
{
  const struct stop_case *test = data;
  struct galena_world_options options
      = { .role = GALENA_ROLE_ENTRY, .flows = 16, .messages = 16 };
  struct process process
      = { .settings.role = GALENA_ROLE_ENTRY, .settings.entry_threads = 2 };
  struct galena_config *config = make_config ();
  struct galena_world *worlds[2];
  bool idle[2] = { false, false };

  g_assert_cmpint (process_init (&process), ==, GALENA_OK);
  for (int i = 0; i < 2; i++)
    g_assert_cmpint (galena_world_create (&options, &worlds[i]), ==,
                     GALENA_OK);
  push_opens (worlds[0], GALENA_SIDE_CALLER, test->busy ? 1 : 0);
  galena_world_tick (worlds[0], (struct galena_clock){ 1000 }, config);
  for (int i = 0; test->steps[i] != STEP_END; i++)
    run_step (&process, worlds, idle, test->steps[i]);
  g_assert_cmpint (atomic_load (&process.stopping), ==, test->stopping);
  g_assert_cmpint (atomic_load (&process.exit_code), ==, test->exit_code);
  /* Waiting threads are woken exactly when the process stops.  */
  g_assert_cmpint (is_readable (process_wake_fd (&process)), ==,
                   test->stopping);
  for (int i = 0; i < 2; i++)
    galena_world_destroy (worlds[i]);
  galena_config_destroy (config);
  process_release (&process);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (DRAIN_CASES); i++)
    g_test_add_data_func (DRAIN_CASES[i].name, &DRAIN_CASES[i],
                          run_drain_case);
  for (size_t i = 0; i < G_N_ELEMENTS (STOP_CASES); i++)
    g_test_add_data_func (STOP_CASES[i].name, &STOP_CASES[i], run_stop_case);
  return g_test_run ();
}
