/* What the threads of one process share.  */

#ifndef GALENAFORD_PROCESS_H
#define GALENAFORD_PROCESS_H

#include <stdatomic.h>

#include <galenaford/settings.h>

#include "snapshot.h"

struct process
{
  struct galena_settings settings;
  struct snapshot *snapshot;
  /* Readable once the process should stop.  */
  int stop_fd;
  atomic_bool stopping;
  /* Drawn at start.  */
  uint64_t seed;
};

/* Runs an entry until it should stop.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result entry_loop_run (struct process *process);

/* Runs an agent until it should stop.  Errors: as entry_loop_run.  */
enum galena_result agent_loop_run (struct process *process);

#endif
