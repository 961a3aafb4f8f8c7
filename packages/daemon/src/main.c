/* galenaford: an entry or an agent, as its settings say.  */

#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>

#include <curl/curl.h>

#include <galenaford/log.h>

#include "control.h"
#include "process.h"

enum
{
  EXIT_USAGE = 2,
  KEY_CHECK = 256
};

const char *argp_program_version = "galenaford " GALENA_VERSION;

struct arguments
{
  const char *settings_path;
  bool check;
};

static error_t
take_argument (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings_path = text;
      return 0;
    case KEY_CHECK:
      arguments->check = true;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings_path == NULL)
        argp_error (state, "--settings=FILE is needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option OPTIONS[] = {
  { "settings", 's', "FILE", 0, "Read the settings from FILE", 0 },
  { "check", KEY_CHECK, NULL, 0, "Check the settings and exit", 0 },
  { 0 },
};

static const struct argp ARGP = {
  OPTIONS, take_argument,
  NULL,    "Runs one process of the load balancer: an entry or an agent.",
  NULL,    NULL,
  NULL
};

/* Main loop of each role; callers don't run as a daemon.  */
static enum galena_result (*const LOOPS[GALENA_ROLE_COUNT]) (struct process *)
    = {
        [GALENA_ROLE_ENTRY] = entry_loop_run,
        [GALENA_ROLE_AGENT] = agent_loop_run,
      };

static void
begin_stop (struct process *process)
{
  uint64_t one = 1;

  atomic_store (&process->stopping, true);
  if (write (process->stop_fd, &one, sizeof one) < 0)
    galena_log (LOG_ERR, "stop-signal-failed", "result=io");
}

/* Waits for a signal to stop; runs until the process ends.  */
static void *
wait_for_signal (void *data)
{
  struct process *process = data;
  sigset_t signals;
  int number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigwait (&signals, &number);
  galena_log (LOG_NOTICE, "stopping", "signal=%d", number);
  begin_stop (process);
  return NULL;
}

static enum galena_result
start_signal_thread (struct process *process)
{
  sigset_t signals;
  pthread_t thread;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (pthread_create (&thread, NULL, wait_for_signal, process) != 0)
    return GALENA_ERR_IO;
  pthread_detach (thread);
  return GALENA_OK;
}

static enum galena_result
run_process (struct process *process)
{
  struct control *control = NULL;
  enum galena_result result;

  process->stop_fd = eventfd (0, EFD_CLOEXEC);
  if (process->stop_fd < 0)
    return GALENA_ERR_IO;
  if (getrandom (&process->seed, sizeof process->seed, 0)
      != sizeof process->seed)
    return GALENA_ERR_IO;
  result = snapshot_create (&process->snapshot);
  if (result != GALENA_OK)
    return result;
  result = start_signal_thread (process);
  if (result != GALENA_OK)
    goto done;
  result = control_start (process, &control);
  if (result != GALENA_OK)
    goto done;
  galena_log (LOG_NOTICE, "started", "seed=%016llx",
              (unsigned long long)process->seed);
  result = LOOPS[process->settings.role](process);
  atomic_store (&process->stopping, true);
  control_stop (control);

done:
  snapshot_destroy (process->snapshot);
  return result;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  static struct process process;
  enum galena_result result;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  result = galena_settings_load (arguments.settings_path, &process.settings,
                                 stderr);
  if (result != GALENA_OK)
    return EXIT_USAGE;
  if (arguments.check)
    return EXIT_SUCCESS;
  galena_log_name (process.settings.name);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = run_process (&process);
  if (result != GALENA_OK)
    galena_log (LOG_ERR, "failed", "result=%s", galena_result_word (result));
  curl_global_cleanup ();
  return result == GALENA_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
