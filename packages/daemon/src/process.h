/* State that the threads of one process share, and the process's lifecycle
   from start to graceful shutdown.  */

#ifndef GALENAFORD_PROCESS_H
#define GALENAFORD_PROCESS_H

#include <stdatomic.h>

#include <galenaford/settings.h>
#include <galenaford/world.h>

#include "report_buffer.h"
#include "reload.h"
#include "snapshot.h"

enum
{
  PROCESS_THREADS_MAX = 64,
  /* Exit codes besides EXIT_SUCCESS and EXIT_FAILURE: the command line or the
     settings are invalid; a graceful shutdown reached its time limit; a second
     signal cut a graceful shutdown short.  */
  EXIT_USAGE = 2,
  EXIT_LIMIT = 3,
  EXIT_FORCED = 4
};

struct process
{
  /* As loaded at the start.  */
  struct galena_settings settings;
  struct settings_file file;
  /* Read under RCU.  */
  struct live_settings *live;
  struct snapshot *snapshot;
  /* Event descriptor that becomes readable when the process should stop.  */
  int stop_fd;
  atomic_bool stopping;
  /* Event descriptor that becomes readable when a graceful shutdown begins or
     the process should stop.  */
  int drain_fd;
  atomic_bool draining;
  /* When a graceful shutdown is cut short, in milliseconds of the monotonic
     clock.  */
  atomic_llong drain_end_ms;
  /* Worker threads with work in progress during a graceful shutdown.  */
  atomic_uint busy_threads;
  /* Exit code of a shutdown.  */
  atomic_int exit_code;
  /* When the process started, by the monotonic clock.  */
  struct galena_clock started;
  /* The same time by the instance's wall clock, in Unix milliseconds.  */
  uint64_t started_unix_ms;
  /* Reports of the worker threads, then of the control thread; NULL when there
     is no operator thread to read them.  */
  struct report_buffer *report_buffers[PROCESS_THREADS_MAX + 1];
  uint32_t report_buffer_count;
  /* Seed of random numbers, drawn at the start.  */
  uint64_t seed;
};

/* Opens the event descriptors of PROCESS and stores its start time; the other
   members are zero or set by the caller.  Errors: GALENA_ERR_IO.  */
enum galena_result process_init (struct process *process);

/* Closes the event descriptors of PROCESS.  */
void process_release (struct process *process);

/* Returns the incarnation of the process, a random number drawn at each
   start.  */
uint32_t process_incarnation (const struct process *process);

/* Returns the number of worker threads, each of which runs a world.  */
uint32_t process_threads (const struct process *process);

/* Begins a graceful shutdown with a time limit of LIMIT_MS: the process stops
   with EXIT_SUCCESS once no worker thread has work in progress.  The caller
   enforces the limit.  */
void process_begin_drain (struct process *process, uint32_t limit_ms);

/* Tells all threads to stop and sets the process's exit code to EXIT_CODE.
   Calls after the first have no effect.  */
void process_begin_stop (struct process *process, int exit_code);

/* Returns the descriptor that a thread polls besides its sockets; it becomes
   readable at the next change to draining or stopping.  */
int process_wake_fd (const struct process *process);

/* Returns whether the thread of WORLD should run another tick.  During a
   graceful shutdown it drains WORLD, and the last thread whose world has
   become idle stops the process.  *IDLE, false at first, belongs to the thread
   and is set once its world has become idle.  */
bool process_should_continue (struct process *process,
                              struct galena_world *world, bool *idle);

/* Publishes a report of WORLD as that of worker thread INDEX, if one is
   due.  */
void process_report (struct process *process, uint32_t index,
                     const struct galena_world *world);

/* Publishes the audit trail of the control thread.  */
void process_report_audit (struct process *process,
                           const struct galena_audit *audit);

/* Runs the threads of an entry until the process stops.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result entry_loop_run (struct process *process);

/* Runs an agent on the calling thread until the process stops.
   Errors: as entry_loop_run.  */
enum galena_result agent_loop_run (struct process *process);

#endif
