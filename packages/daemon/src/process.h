/* What the threads of one process share, and its way from start to end.  */

#ifndef GALENAFORD_PROCESS_H
#define GALENAFORD_PROCESS_H

#include <stdatomic.h>

#include <galenaford/settings.h>
#include <galenaford/world.h>

#include "exchange.h"
#include "reload.h"
#include "snapshot.h"

enum
{
  PROCESS_THREADS_MAX = 64,
  /* Exit codes besides EXIT_SUCCESS and EXIT_FAILURE.  */
  EXIT_USAGE = 2,
  EXIT_LIMIT = 3,
  EXIT_FORCED = 4
};

struct process
{
  /* As of the start.  */
  struct galena_settings settings;
  struct settings_file file;
  /* Read under RCU.  */
  struct live_settings *live;
  struct snapshot *snapshot;
  /* Readable once the process should end.  */
  int stop_fd;
  atomic_bool stopping;
  /* Readable once a graceful shutdown has begun.  */
  int drain_fd;
  atomic_bool draining;
  /* When a graceful shutdown is cut short, in milliseconds of the clock.  */
  atomic_llong drain_end_ms;
  /* Threads with work in progress during a graceful shutdown.  */
  atomic_uint busy_threads;
  /* Exit code of a shutdown.  */
  atomic_int exit_code;
  struct galena_clock started;
  /* The same by the instance's time of day, in Unix milliseconds.  */
  uint64_t started_unix_ms;
  /* Reports of the threads that move packets, then of the control thread;
     NULL when nobody reads them.  */
  struct report_buffer *report_buffers[PROCESS_THREADS_MAX + 1];
  uint32_t report_buffer_count;
  /* Drawn at start.  */
  uint64_t seed;
};

/* Opens the events of PROCESS, whose other members are zero or set.
   Errors: GALENA_ERR_IO.  */
enum galena_result process_init (struct process *process);

/* Closes the events of PROCESS.  */
void process_release (struct process *process);

/* Returns the incarnation that the process drew at its start.  */
uint32_t process_incarnation (const struct process *process);

/* Returns the number of threads that move packets.  */
uint32_t process_threads (const struct process *process);

/* Begins a graceful shutdown that is cut short after LIMIT_MS.  */
void process_begin_drain (struct process *process, uint32_t limit_ms);

/* Ends the process with EXIT_CODE; the first call counts.  */
void process_begin_stop (struct process *process, int exit_code);

/* Returns what a thread that moves packets waits on besides its sockets.  */
int process_wake_fd (const struct process *process);

/* Tells whether the thread of WORLD should run a further tick.  *IDLE is
   false at first and belongs to the thread.  */
bool process_goes_on (struct process *process, struct galena_world *world,
                      bool *idle);

/* Hands over a report of WORLD as thread INDEX, if one is due.  */
void process_report (struct process *process, uint32_t index,
                     const struct galena_world *world);

/* Hands over the audit trail of the control thread.  */
void process_report_audit (struct process *process,
                           const struct galena_audit *audit);

/* Runs an entry until it should stop.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result entry_loop_run (struct process *process);

/* Runs an agent until it should stop.  Errors: as entry_loop_run.  */
enum galena_result agent_loop_run (struct process *process);

#endif
