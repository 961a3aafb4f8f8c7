/* The operator thread: collects reports, logs the audit trail, and answers
   operators on the address in the settings, if there is one.  */

#ifndef GALENAFORD_CONSOLE_H
#define GALENAFORD_CONSOLE_H

#include "process.h"

struct console;

/* Creates the exchanges of PROCESS and starts the thread; *OUT is owned by
   the caller.  Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO.  */
enum galena_result console_start (struct process *process,
                                  struct console **out);

/* Stops the thread after a last look at the reports and frees what it holds;
   the other threads have ended.  Accepts NULL.  */
void console_stop (struct console *console);

#endif
