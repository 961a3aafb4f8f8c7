/* The program galenaford: runs an entry or an agent, as its settings say.  */

#include <argp.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

#include <galenaford/log.h>

#include "console.h"
#include "control.h"
#include "packet_frontend.h"
#include "process.h"

enum
{
  KEY_CHECK = 256,
  /* How often the settings file is checked for changes.  An edit without
     SIGHUP takes effect within this time, which is about as long as an
     operator takes to notice the effect of a reload by SIGHUP.  */
  FILE_CHECK_MS = 5000,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

const char *argp_program_version = "galenaford " GALENA_VERSION;

/* Environment variable with the path of the settings file, used when there is
   no --settings option.  */
static const char SETTINGS_VARIABLE[] = "GALENAFORD_BOOT";

struct arguments
{
  const char *settings_path;
  bool check;
};

static error_t
parse_argument (int key, char *text, struct argp_state *state)
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
        arguments->settings_path = getenv (SETTINGS_VARIABLE);
      if (arguments->settings_path == NULL)
        argp_error (state, "--settings=FILE or %s is needed",
                    SETTINGS_VARIABLE);
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
  OPTIONS, parse_argument,
  NULL,    "Runs one process of the load balancer: an entry or an agent.",
  NULL,    NULL,
  NULL
};

/* Main loop of each role.  The caller role has none: it does not run as a
   daemon.  */
static enum galena_result (*const ROLE_LOOPS[GALENA_ROLE_COUNT]) (
    struct process *)
    = {
        [GALENA_ROLE_ENTRY] = entry_loop_run,
        [GALENA_ROLE_AGENT] = agent_loop_run,
      };

/* Waits up to LIMIT_MS for any of SIGNALS; returns its number, or -1 after the
   limit.  */
static int
wait_for_any (const sigset_t *signals, uint32_t limit_ms)
{
  struct timespec limit
      = { limit_ms / MS_PER_S, (long)(limit_ms % MS_PER_S) * NS_PER_MS };
  int number;

  do
    number = sigtimedwait (signals, NULL, &limit);
  while (number < 0 && errno == EINTR);
  return number;
}

/* Waits for a second signal during a graceful shutdown of at most LIMIT_MS;
   returns the exit code of the process.  */
static int
wait_for_second_signal (const sigset_t *signals, uint32_t limit_ms)
{
  return wait_for_any (signals, limit_ms) < 0 ? EXIT_LIMIT : EXIT_FORCED;
}

/* Stores the signals that end the process in *SIGNALS.  */
static void
set_termination_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
}

/* Waits for a signal that ends the process and returns its number.  Meanwhile
   reloads the settings on SIGHUP and when the file has changed.  */
static int
wait_for_termination_signal (struct process *process)
{
  sigset_t signals;
  int number;

  set_termination_signals (&signals);
  sigaddset (&signals, SIGHUP);
  do
    {
      number = wait_for_any (&signals, FILE_CHECK_MS);
      if (number == SIGHUP)
        reload_settings (process, "signal");
      else if (number < 0 && reload_file_changed (process))
        reload_settings (process, "file-changed");
    }
  while (number < 0 || number == SIGHUP);
  return number;
}

/* The signal thread.  The first signal begins a graceful shutdown; a second
   one or the time limit ends it.  */
static void *
run_signal_thread (void *data)
{
  struct process *process = data;
  sigset_t signals;
  uint32_t limit_ms;
  int exit_code;
  int number = wait_for_termination_signal (process);

  set_termination_signals (&signals);
  /* Only this thread replaces the live settings.  */
  limit_ms = process->live->settings.shutdown_limit_ms;
  galena_log (LOG_NOTICE, "signal", "number=%d limit_ms=%u", number, limit_ms);
  process_begin_drain (process, limit_ms);
  exit_code = wait_for_second_signal (&signals, limit_ms);
  if (exit_code == EXIT_LIMIT
      && process->settings.front == GALENA_FRONT_PACKETS)
    {
      /* Flows of packets continue at their upstreams without this process.
         The limit only gives routers time to notice that it is leaving.  */
      process_begin_stop (process, EXIT_SUCCESS);
      return NULL;
    }
  galena_log (LOG_WARNING, "shutdown-cut-short", "reason=%s",
              exit_code == EXIT_LIMIT ? "limit" : "signal");
  process_begin_stop (process, exit_code);
  return NULL;
}

/* Blocks the signals that the signal thread waits for: one that arrives while
   the process starts must not end it.  Ignores SIGPIPE.  */
static void
block_signals (void)
{
  sigset_t signals;

  set_termination_signals (&signals);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static enum galena_result
start_signal_thread (struct process *process)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run_signal_thread, process) != 0)
    return GALENA_ERR_IO;
  pthread_detach (thread);
  return GALENA_OK;
}

/* Runs the front end for galenaford's own messages.  */
static enum galena_result
messages_run (struct process *process)
{
  struct console *console = NULL;
  struct control *control = NULL;
  enum galena_result result = console_start (process, &console);

  if (result != GALENA_OK)
    return result;
  result = control_start (process, &control);
  if (result == GALENA_OK)
    result = ROLE_LOOPS[process->settings.role](process);
  process_begin_stop (process, EXIT_SUCCESS);
  control_stop (control);
  console_stop (console);
  return result;
}

/* Main function of each front end: of galenaford's own messages and of the
   platform's packets.  */
static enum galena_result (*const FRONT_ENDS[GALENA_FRONT_COUNT]) (
    struct process *)
    = {
        [GALENA_FRONT_MESSAGES] = messages_run,
        [GALENA_FRONT_PACKETS] = packet_frontend_run,
      };

static enum galena_result
run_process (struct process *process, const char *settings_path)
{
  enum galena_result result = process_init (process);

  if (result != GALENA_OK)
    return result;
  result = reload_init (process, settings_path);
  if (result != GALENA_OK)
    goto done;
  /* The live settings are never freed: the signal thread reads them until the
     process ends.  */
  if (getrandom (&process->seed, sizeof process->seed, 0)
      != sizeof process->seed)
    result = GALENA_ERR_IO;
  if (result == GALENA_OK)
    result = snapshot_create (&process->snapshot);
  if (result != GALENA_OK)
    goto done;
  result = start_signal_thread (process);
  if (result == GALENA_OK)
    result = FRONT_ENDS[process->settings.front](process);

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

  block_signals ();
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  result = galena_settings_load (arguments.settings_path, &process.settings,
                                 stderr);
  if (result != GALENA_OK)
    return EXIT_USAGE;
  if (arguments.check)
    return EXIT_SUCCESS;
  galena_log_set_process (process.settings.name);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = run_process (&process, arguments.settings_path);
  if (result != GALENA_OK)
    galena_log (LOG_ERR, "failed", "result=%s", galena_result_name (result));
  curl_global_cleanup ();
  if (result != GALENA_OK)
    return EXIT_FAILURE;
  return atomic_load (&process.exit_code);
}
