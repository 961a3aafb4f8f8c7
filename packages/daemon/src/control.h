/* The control thread: reads service records from the platform (the HTTP
   service in the settings) and from peers, and replaces the configuration
   snapshot of the process.  */

#ifndef GALENAFORD_CONTROL_H
#define GALENAFORD_CONTROL_H

#include "process.h"

struct control;

/* Starts the thread of PROCESS and stores it in *OUT; the caller stops it, and
   PROCESS outlives it.  Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO.  */
enum galena_result control_start (struct process *process,
                                  struct control **out);

/* Waits for the thread to end, which it does once the process is stopping, and
   frees it; accepts NULL.  */
void control_stop (struct control *control);

#endif
