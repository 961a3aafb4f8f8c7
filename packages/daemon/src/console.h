/* The operator thread: collects reports, logs the audit trail, and answers
   queries of operators on the address in the settings, if there is one.  */

#ifndef GALENAFORD_CONSOLE_H
#define GALENAFORD_CONSOLE_H

#include "process.h"

/* The operator thread.  */
struct console;

/* Creates the report buffers of PROCESS, starts the thread and stores it in
   *OUT; the caller stops it, and PROCESS outlives it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO.  */
enum galena_result console_start (struct process *process,
                                  struct console **out);

/* Stops the thread, logs what the last reports add, and frees it and the
   report buffers.  All other threads have ended.  Accepts NULL.  */
void console_stop (struct console *console);

#endif
