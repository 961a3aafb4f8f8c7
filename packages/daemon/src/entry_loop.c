/* Threads of an entry.  Each has a world of its own; they share the address
   of callers and the snapshot, and no lock.  */

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>

#include <urcu.h>

#include <galenaford/link.h>
#include <galenaford/log.h>
#include <galenaford/monotonic.h>

#include "process.h"

enum
{
  TICK_MESSAGES = 4 * GALENA_BATCH_MAX
};

struct entry_thread
{
  struct process *process;
  pthread_t thread;
  struct galena_world *world;
  struct galena_datagrams *sockets[GALENA_LINK_COUNT];
};

static enum galena_result
create_sockets (struct entry_thread *thread)
{
  const struct galena_settings *settings = &thread->process->settings;
  struct galena_datagrams_options callers = { settings->entry_address, true };
  struct galena_datagrams_options peers
      = { { settings->entry_address.ip, 0 }, false };
  enum galena_result result = galena_datagrams_create (
      &callers, &thread->sockets[GALENA_LINK_CALLER]);

  if (result != GALENA_OK)
    return result;
  return galena_datagrams_create (&peers, &thread->sockets[GALENA_LINK_PEER]);
}

static enum galena_result
create_world (struct entry_thread *thread, uint32_t index)
{
  const struct galena_settings *settings = &thread->process->settings;
  struct galena_world_options options
      = { .role = GALENA_ROLE_ENTRY,
          .seed = thread->process->seed + index,
          .flows = settings->entry_pending_opens,
          .messages = TICK_MESSAGES,
          .choice = settings->choice };

  return galena_world_create (&options, &thread->world);
}

static void
destroy_thread (struct entry_thread *thread)
{
  galena_world_destroy (thread->world);
  for (uint32_t link = 0; link < GALENA_LINK_COUNT; link++)
    galena_datagrams_destroy (thread->sockets[link]);
}

static enum galena_result
create_thread (struct entry_thread *thread, struct process *process,
               uint32_t index)
{
  enum galena_result result;

  thread->process = process;
  result = create_sockets (thread);
  if (result != GALENA_OK)
    return result;
  return create_world (thread, index);
}

static void
wait_for_work (struct entry_thread *thread)
{
  struct galena_clock due = galena_world_due (thread->world);
  uint32_t left_ms = galena_clock_left (galena_monotonic_now (), due);
  struct pollfd fds[] = {
    { galena_datagrams_fd (thread->sockets[GALENA_LINK_CALLER]), POLLIN, 0 },
    { galena_datagrams_fd (thread->sockets[GALENA_LINK_PEER]), POLLIN, 0 },
    { thread->process->stop_fd, POLLIN, 0 },
  };

  poll (fds, sizeof fds / sizeof fds[0], (int)left_ms);
}

static void
run_tick (struct entry_thread *thread)
{
  galena_link_receive (thread->sockets[GALENA_LINK_CALLER], thread->world,
                       GALENA_LINK_CALLER);
  galena_link_receive (thread->sockets[GALENA_LINK_PEER], thread->world,
                       GALENA_LINK_PEER);
  rcu_read_lock ();
  galena_world_tick (thread->world, galena_monotonic_now (),
                     snapshot_read (thread->process->snapshot));
  rcu_read_unlock ();
  galena_link_send (thread->sockets, thread->world);
}

static void *
run_thread (void *data)
{
  struct entry_thread *thread = data;

  rcu_register_thread ();
  while (!atomic_load (&thread->process->stopping))
    {
      wait_for_work (thread);
      run_tick (thread);
    }
  rcu_unregister_thread ();
  return NULL;
}

static uint32_t
start_threads (struct entry_thread *threads, uint32_t count)
{
  uint32_t started = 0;

  while (started < count
         && pthread_create (&threads[started].thread, NULL, run_thread,
                            &threads[started])
                == 0)
    started++;
  return started;
}

enum galena_result
entry_loop_run (struct process *process)
{
  uint32_t count = process->settings.entry_threads;
  struct entry_thread *threads = calloc (count, sizeof *threads);
  enum galena_result result = GALENA_OK;
  uint32_t started;

  if (threads == NULL)
    return GALENA_ERR_MEMORY;
  for (uint32_t i = 0; i < count; i++)
    {
      result = create_thread (&threads[i], process, i);
      if (result != GALENA_OK)
        goto done;
    }
  started = start_threads (threads, count);
  if (started < count)
    result = GALENA_ERR_IO;
  for (uint32_t i = 0; i < started; i++)
    pthread_join (threads[i].thread, NULL);

done:
  for (uint32_t i = 0; i < count; i++)
    destroy_thread (&threads[i]);
  free (threads);
  return result;
}
