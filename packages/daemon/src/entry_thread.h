/* One thread of an entry: its sockets and its world.  */

#ifndef GALENAFORD_ENTRY_THREAD_H
#define GALENAFORD_ENTRY_THREAD_H

#include "process.h"

struct entry_thread;

/* Creates thread INDEX of PROCESS in *OUT; the caller owns it and PROCESS
   outlives it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result entry_thread_create (struct process *process,
                                        uint32_t index,
                                        struct entry_thread **out);

/* Destroys THREAD; accepts NULL.  */
void entry_thread_destroy (struct entry_thread *thread);

/* Waits until a packet arrives, a system is due or a shutdown begins, then
   runs one tick.  The calling thread is registered with RCU.  */
void entry_thread_step (struct entry_thread *thread);

/* Returns whether THREAD should run another step; see
   process_should_continue.  */
bool entry_thread_should_continue (struct entry_thread *thread);

#endif
