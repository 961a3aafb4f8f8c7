/* The operator thread's view of the process: the newest report of each
   thread, and one audit trail of all.  */

#ifndef GALENAFORD_COLLECTOR_H
#define GALENAFORD_COLLECTOR_H

#include "process.h"

struct collector;

/* Creates a collector of PROCESS in *OUT; the caller owns it and PROCESS
   outlives it.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result collector_create (struct process *process,
                                     struct collector **out);

/* Destroys COLLECTOR; accepts NULL.  */
void collector_destroy (struct collector *collector);

/* Reads the newest reports, adds new audit rows to the trail and logs them. */
void collector_refresh (struct collector *collector, struct galena_clock now);

/* Returns the process that the collector reads.  */
const struct process *collector_process (const struct collector *collector);

/* Returns the newest report of thread INDEX that moves packets.  */
const struct galena_report *
collector_report (const struct collector *collector, uint32_t index);

/* Returns the audit trail of all threads.  */
const struct galena_audit *collector_audit (const struct collector *collector);

#endif
