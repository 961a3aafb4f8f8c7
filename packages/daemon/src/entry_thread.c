/* Waiting, receiving, deciding and sending of one entry thread.  */

#include <poll.h>
#include <stdlib.h>

#include <urcu.h>

#include <galenaford/link.h>
#include <galenaford/monotonic.h>

#include "entry_thread.h"

enum
{
  TICK_MESSAGES = 4 * GALENA_BATCH_MAX
};

struct entry_thread
{
  struct process *process;
  uint32_t index;
  /* Whether a graceful shutdown found nothing in progress.  */
  bool idle;
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
          .borrow_bodies = true,
          .choice = settings->choice };

  return galena_world_create (&options, &thread->world);
}

enum galena_result
entry_thread_create (struct process *process, uint32_t index,
                     struct entry_thread **out)
{
  struct entry_thread *thread = calloc (1, sizeof *thread);
  enum galena_result result;

  if (thread == NULL)
    return GALENA_ERR_MEMORY;
  thread->process = process;
  thread->index = index;
  result = create_sockets (thread);
  if (result != GALENA_OK)
    goto fail;
  result = create_world (thread, index);
  if (result != GALENA_OK)
    goto fail;
  *out = thread;
  return GALENA_OK;

fail:
  entry_thread_destroy (thread);
  return result;
}

void
entry_thread_destroy (struct entry_thread *thread)
{
  if (thread == NULL)
    return;
  galena_world_destroy (thread->world);
  for (uint32_t link = 0; link < GALENA_LINK_COUNT; link++)
    galena_datagrams_destroy (thread->sockets[link]);
  free (thread);
}

static void
wait_for_work (struct entry_thread *thread)
{
  struct galena_clock due = galena_world_due (thread->world);
  uint32_t left_ms = galena_clock_left (galena_monotonic_now (), due);
  struct pollfd fds[] = {
    { galena_datagrams_fd (thread->sockets[GALENA_LINK_CALLER]), POLLIN, 0 },
    { galena_datagrams_fd (thread->sockets[GALENA_LINK_PEER]), POLLIN, 0 },
    { process_wake_fd (thread->process), POLLIN, 0 },
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
  process_report (thread->process, thread->index, thread->world);
}

void
entry_thread_step (struct entry_thread *thread)
{
  wait_for_work (thread);
  run_tick (thread);
}

bool
entry_thread_goes_on (struct entry_thread *thread)
{
  return process_goes_on (thread->process, thread->world, &thread->idle);
}
