/* The control thread: reads the platform's records and replaces the
   snapshot.  */

#ifndef GALENAFORD_CONTROL_H
#define GALENAFORD_CONTROL_H

#include "process.h"

struct control;

/* Starts the thread; *OUT is owned by the caller.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO.  */
enum galena_result control_start (struct process *process,
                                  struct control **out);

/* Stops the thread and frees what it holds; accepts NULL.  */
void control_stop (struct control *control);

#endif
