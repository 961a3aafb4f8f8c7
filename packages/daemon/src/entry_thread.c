/* Event loop of one worker thread of an entry: wait, receive, tick, send.  */

#include <poll.h>
#include <stdlib.h>

#include <urcu.h>

#include <galenaford/link.h>
#include <galenaford/monotonic.h>

#include "entry_thread.h"

enum
{
  /* A batch from each socket, and as much again for opens that are resent.  */
  TICK_MESSAGES = 2 * (1 + GALENA_PORTS_MAX) * GALENA_BATCH_MAX
};

struct entry_thread
{
  struct process *process;
  uint32_t index;
  /* Whether the world has become idle during a graceful shutdown.  */
  bool idle;
  struct galena_world *world;
  struct galena_link_ports ports[GALENA_SIDE_COUNT];
  /* The socket towards callers, those towards peers, then the process's wake
     descriptor.  */
  struct pollfd fds[1 + GALENA_PORTS_MAX + 1];
};

static enum galena_result
create_ports (const struct galena_datagrams_options *options, uint32_t count,
              struct galena_link_ports *ports)
{
  for (; ports->count < count; ports->count++)
    {
      enum galena_result result
          = galena_datagrams_create (options, &ports->sockets[ports->count]);

      if (result != GALENA_OK)
        return result;
    }
  return GALENA_OK;
}

static enum galena_result
create_sockets (struct entry_thread *thread)
{
  const struct galena_settings *settings = &thread->process->settings;
  struct galena_datagrams_options callers = { settings->entry_address, true };
  struct galena_datagrams_options peers
      = { { settings->entry_address.ip, 0 }, false };
  enum galena_result result
      = create_ports (&callers, 1, &thread->ports[GALENA_SIDE_CALLER]);

  if (result != GALENA_OK)
    return result;
  return create_ports (&peers, GALENA_PORTS_MAX,
                       &thread->ports[GALENA_SIDE_PEER]);
}

static enum galena_result
create_world (struct entry_thread *thread, uint32_t index)
{
  const struct galena_settings *settings = &thread->process->settings;
  struct galena_world_options options
      = { .role = GALENA_ROLE_ENTRY,
          .seed = thread->process->seed + index,
          /* In an entry this limits the opens that have no reply yet.  */
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
  for (uint32_t link = 0; link < GALENA_SIDE_COUNT; link++)
    for (uint32_t i = 0; i < thread->ports[link].count; i++)
      galena_datagrams_destroy (thread->ports[link].sockets[i]);
  free (thread);
}

/* Calls VISIT for each socket in use with its link, its index and its element
   of the poll set; returns the number of sockets in use.  */
static uint32_t
visit_sockets (struct entry_thread *thread,
               void (*visit) (struct entry_thread *thread, uint32_t link,
                              uint32_t index, struct pollfd *fd))
{
  uint32_t count = 0;

  for (uint32_t link = 0; link < GALENA_SIDE_COUNT; link++)
    {
      const struct galena_link_ports *ports = &thread->ports[link];

      for (uint32_t index = 0;
           index < ports->count && index <= ports->highest_used; index++)
        visit (thread, link, index, &thread->fds[count++]);
    }
  return count;
}

static void
watch_socket (struct entry_thread *thread, uint32_t link, uint32_t index,
              struct pollfd *fd)
{
  fd->fd = galena_datagrams_fd (thread->ports[link].sockets[index]);
  fd->events = POLLIN;
  fd->revents = 0;
}

static void
receive_socket (struct entry_thread *thread, uint32_t link, uint32_t index,
                struct pollfd *fd)
{
  if (fd->revents != 0)
    galena_link_receive (thread->ports[link].sockets[index], thread->world,
                         (enum galena_side)link);
}

static void
wait_for_work (struct entry_thread *thread)
{
  struct galena_clock due = galena_world_due (thread->world);
  uint32_t left_ms = galena_clock_remaining_ms (galena_monotonic_now (), due);
  uint32_t count = visit_sockets (thread, watch_socket);

  thread->fds[count]
      = (struct pollfd){ process_wake_fd (thread->process), POLLIN, 0 };
  poll (thread->fds, count + 1, (int)left_ms);
}

static void
run_tick (struct entry_thread *thread)
{
  visit_sockets (thread, receive_socket);
  rcu_read_lock ();
  galena_world_tick (thread->world, galena_monotonic_now (),
                     snapshot_read (thread->process->snapshot));
  rcu_read_unlock ();
  galena_link_send (thread->ports, thread->world);
  process_report (thread->process, thread->index, thread->world);
}

void
entry_thread_step (struct entry_thread *thread)
{
  wait_for_work (thread);
  run_tick (thread);
}

bool
entry_thread_should_continue (struct entry_thread *thread)
{
  return process_should_continue (thread->process, thread->world,
                                  &thread->idle);
}
