/* The loop of the operator thread.  */

#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <urcu.h>

#include <galenaford/log.h>
#include <galenaford/monotonic.h>

#include "console.h"
#include "console_server.h"

enum
{
  REFRESH_PERIOD_MS = 100,
  /* Most rows of one report.  */
  REPORT_KINDS_MAX = 4096,
  REPORT_UPSTREAMS_MAX = 8192
};

struct console
{
  struct process *process;
  pthread_t thread;
  struct collector *collector;
  /* NULL when the settings name no address.  */
  struct console_server *server;
  /* Event descriptor that becomes readable when the thread should end.  */
  int end_fd;
  atomic_bool ending;
};

static void
step_server (struct console *console, const struct pollfd *fds)
{
  struct view_source source
      = { .collector = console->collector, .now = galena_monotonic_now () };

  rcu_read_lock ();
  source.config = snapshot_read (console->process->snapshot);
  console_server_step (console->server, fds, &source);
  rcu_read_unlock ();
}

static void *
run_console (void *data)
{
  struct console *console = data;
  struct pollfd fds[CONSOLE_CONNECTIONS_MAX + 2];
  uint32_t count = 0;

  rcu_register_thread ();
  while (!atomic_load (&console->ending))
    {
      if (console->server != NULL)
        count = console_server_prepare (console->server, fds);
      fds[count] = (struct pollfd){ console->end_fd, POLLIN, 0 };
      poll (fds, count + 1, REFRESH_PERIOD_MS);
      collector_refresh (console->collector, galena_monotonic_now ());
      if (console->server != NULL)
        step_server (console, fds);
    }
  rcu_unregister_thread ();
  return NULL;
}

static enum galena_result
create_report_buffers (struct process *process)
{
  struct galena_report_options options
      = { REPORT_KINDS_MAX, REPORT_UPSTREAMS_MAX };
  struct galena_report_options audit_only = { 0, 0 };
  uint32_t threads = process_threads (process);

  for (uint32_t i = 0; i <= threads; i++)
    {
      enum galena_result result = report_buffer_create (
          i < threads ? &options : &audit_only, &process->report_buffers[i]);
      if (result != GALENA_OK)
        return result;
      process->report_buffer_count++;
    }
  return GALENA_OK;
}

static enum galena_result
create_server (struct console *console)
{
  const struct galena_settings *settings = &console->process->settings;
  struct console_server_options options
      = { settings->operator_address, settings->operator_connections };
  enum galena_result result;

  if (options.address.ip == 0)
    return GALENA_OK;
  result = console_server_create (&options, &console->server);
  if (result != GALENA_OK)
    galena_log (LOG_ERR, "operator-listen-failed", "port=%u result=%s",
                options.address.port, galena_result_name (result));
  return result;
}

static void
destroy_console (struct console *console)
{
  struct process *process = console->process;

  console_server_destroy (console->server);
  collector_destroy (console->collector);
  for (uint32_t i = 0; i < process->report_buffer_count; i++)
    {
      report_buffer_destroy (process->report_buffers[i]);
      process->report_buffers[i] = NULL;
    }
  process->report_buffer_count = 0;
  if (console->end_fd >= 0)
    close (console->end_fd);
  free (console);
}

enum galena_result
console_start (struct process *process, struct console **out)
{
  struct console *console = calloc (1, sizeof *console);
  enum galena_result result;

  if (console == NULL)
    return GALENA_ERR_MEMORY;
  console->process = process;
  console->end_fd = eventfd (0, EFD_CLOEXEC);
  result
      = console->end_fd < 0 ? GALENA_ERR_IO : create_report_buffers (process);
  if (result != GALENA_OK)
    goto fail;
  result = collector_create (process, &console->collector);
  if (result != GALENA_OK)
    goto fail;
  result = create_server (console);
  if (result != GALENA_OK)
    goto fail;
  if (pthread_create (&console->thread, NULL, run_console, console) != 0)
    {
      result = GALENA_ERR_IO;
      goto fail;
    }
  *out = console;
  return GALENA_OK;

fail:
  destroy_console (console);
  return result;
}

void
console_stop (struct console *console)
{
  uint64_t one = 1;

  if (console == NULL)
    return;
  atomic_store (&console->ending, true);
  if (write (console->end_fd, &one, sizeof one) < 0)
    galena_log (LOG_ERR, "event-failed", "result=io");
  pthread_join (console->thread, NULL);
  collector_refresh (console->collector, galena_monotonic_now ());
  destroy_console (console);
}
