/* Lifecycle of a process.

   During a graceful shutdown the worker threads continue until none has work
   in progress.  The time limit or a second signal stops them all.  */

#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <galenaford/log.h>
#include <galenaford/monotonic.h>

#include "process.h"

enum
{
  REPORT_PERIOD_MS = 100
};

enum galena_result
process_init (struct process *process)
{
  process->started = galena_monotonic_now ();
  process->started_unix_ms = galena_unix_ms ();
  process->stop_fd = eventfd (0, EFD_CLOEXEC);
  process->drain_fd = eventfd (0, EFD_CLOEXEC);
  if (process->stop_fd >= 0 && process->drain_fd >= 0)
    return GALENA_OK;
  process_release (process);
  return GALENA_ERR_IO;
}

void
process_release (struct process *process)
{
  if (process->stop_fd >= 0)
    close (process->stop_fd);
  if (process->drain_fd >= 0)
    close (process->drain_fd);
}

uint32_t
process_incarnation (const struct process *process)
{
  return (uint32_t)(process->seed >> 32);
}

uint32_t
process_threads (const struct process *process)
{
  if (process->settings.role == GALENA_ROLE_ENTRY)
    return process->settings.entry_threads;
  return 1;
}

static void
signal_event (int fd)
{
  uint64_t one = 1;

  if (write (fd, &one, sizeof one) < 0)
    galena_log (LOG_ERR, "event-failed", "result=io");
}

void
process_begin_drain (struct process *process, uint32_t limit_ms)
{
  struct galena_clock end
      = galena_clock_add_ms (galena_monotonic_now (), limit_ms);

  atomic_store (&process->drain_end_ms, end.ms);
  atomic_store (&process->busy_threads, process_threads (process));
  atomic_store (&process->draining, true);
  signal_event (process->drain_fd);
}

void
process_begin_stop (struct process *process, int exit_code)
{
  if (atomic_exchange (&process->stopping, true))
    return;
  atomic_store (&process->exit_code, exit_code);
  signal_event (process->stop_fd);
  signal_event (process->drain_fd);
}

int
process_wake_fd (const struct process *process)
{
  if (atomic_load (&process->draining))
    return process->stop_fd;
  return process->drain_fd;
}

bool
process_should_continue (struct process *process, struct galena_world *world,
                         bool *idle)
{
  if (atomic_load (&process->stopping))
    return false;
  if (!atomic_load (&process->draining))
    return true;
  galena_world_drain (world);
  if (!*idle && galena_world_idle (world))
    {
      *idle = true;
      if (atomic_fetch_sub (&process->busy_threads, 1) == 1)
        process_begin_stop (process, EXIT_SUCCESS);
    }
  return !atomic_load (&process->stopping);
}

void
process_report (struct process *process, uint32_t index,
                const struct galena_world *world)
{
  struct report_buffer *buffer = process->report_buffers[index];
  struct galena_clock now = galena_world_now (world);

  if (buffer == NULL || !report_buffer_is_due (buffer, now, REPORT_PERIOD_MS))
    return;
  galena_world_report (world, report_buffer_writable (buffer));
  report_buffer_publish (buffer, now);
}

void
process_report_audit (struct process *process,
                      const struct galena_audit *audit)
{
  struct report_buffer *buffer
      = process->report_buffers[process_threads (process)];

  if (buffer == NULL)
    return;
  galena_report_copy_audit (report_buffer_writable (buffer), audit);
  report_buffer_publish (buffer, galena_monotonic_now ());
}
