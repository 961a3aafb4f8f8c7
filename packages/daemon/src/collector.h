/* State of the process for the operator thread: the newest report of each
   thread, and an audit trail merged from those of all threads.  */

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

/* Reads the newest report of each thread, and merges new audit rows into the
   trail and logs them.  NOW dates the row that records the beginning of a
   shutdown.  */
void collector_refresh (struct collector *collector, struct galena_clock now);

/* Returns the process that the collector reads.  */
const struct process *collector_process (const struct collector *collector);

/* Returns the newest report of worker thread INDEX.  */
const struct galena_report *
collector_report (const struct collector *collector, uint32_t index);

/* Returns the merged audit trail.  */
const struct galena_audit *collector_audit (const struct collector *collector);

#endif
