/* The worker thread of an agent: one world between entries and the
   upstream.  */

#include <stdlib.h>

#include <urcu.h>

#include <galenaford/link.h>
#include <galenaford/monotonic.h>

#include "process.h"
#include "upstream_client.h"

enum
{
  /* Most messages in a tick, in each direction.  Of the received ones one
     batch comes from the socket; the rest is for parts of answers from the
     upstream.  */
  TICK_MESSAGES = 8 * GALENA_BATCH_MAX,
  FLOWS_MAX = 65536
};

struct agent_loop
{
  struct process *process;
  /* Whether the world has become idle during a graceful shutdown.  */
  bool idle;
  struct galena_world *world;
  struct galena_link_ports ports[GALENA_SIDE_COUNT];
  struct upstream_client *upstream;
};

static enum galena_result
create_world (struct agent_loop *loop)
{
  const struct galena_settings *settings = &loop->process->settings;
  struct galena_world_options options
      = { .role = GALENA_ROLE_AGENT,
          .seed = loop->process->seed,
          .upstream = settings->agent_upstream,
          .incarnation = process_incarnation (loop->process),
          .flows = FLOWS_MAX,
          .requests = settings->agent_requests,
          .messages = TICK_MESSAGES,
          .admission = settings->admission };

  return galena_world_create (&options, &loop->world);
}

static enum galena_result
create_loop (struct agent_loop *loop, struct process *process)
{
  const struct galena_settings *settings = &process->settings;
  struct galena_datagrams_options peers = { settings->agent_address, false };
  struct upstream_client_options upstream
      = { settings->agent_upstream_url, settings->agent_requests, NULL };
  enum galena_result result;

  loop->process = process;
  loop->ports[GALENA_SIDE_PEER].count = 1;
  result = galena_datagrams_create (&peers,
                                    &loop->ports[GALENA_SIDE_PEER].sockets[0]);
  if (result != GALENA_OK)
    return result;
  result = create_world (loop);
  if (result != GALENA_OK)
    return result;
  upstream.world = loop->world;
  return upstream_client_create (&upstream, &loop->upstream);
}

static void
destroy_loop (struct agent_loop *loop)
{
  upstream_client_destroy (loop->upstream);
  galena_world_destroy (loop->world);
  for (uint32_t link = 0; link < GALENA_SIDE_COUNT; link++)
    galena_datagrams_destroy (loop->ports[link].sockets[0]);
}

static void
wait_for_work (struct agent_loop *loop)
{
  struct galena_clock due = galena_world_due (loop->world);
  int fds[] = { galena_datagrams_fd (loop->ports[GALENA_SIDE_PEER].sockets[0]),
                process_wake_fd (loop->process) };

  upstream_client_wait (
      loop->upstream, fds, sizeof fds / sizeof fds[0],
      galena_clock_remaining_ms (galena_monotonic_now (), due));
}

static void
run_tick (struct agent_loop *loop)
{
  galena_link_receive (loop->ports[GALENA_SIDE_PEER].sockets[0], loop->world,
                       GALENA_SIDE_PEER);
  upstream_client_receive (loop->upstream);
  rcu_read_lock ();
  galena_world_tick (loop->world, galena_monotonic_now (),
                     snapshot_read (loop->process->snapshot));
  rcu_read_unlock ();
  galena_link_send (loop->ports, loop->world);
  upstream_client_send (loop->upstream);
  process_report (loop->process, 0, loop->world);
}

enum galena_result
agent_loop_run (struct process *process)
{
  struct agent_loop loop = { 0 };
  enum galena_result result = create_loop (&loop, process);

  if (result != GALENA_OK)
    goto done;
  rcu_register_thread ();
  while (process_should_continue (process, loop.world, &loop.idle))
    {
      wait_for_work (&loop);
      run_tick (&loop);
    }
  rcu_unregister_thread ();

done:
  destroy_loop (&loop);
  return result;
}
