/* Holder of the current configuration snapshot: replaced by one thread, read
   by others under RCU.  */

#ifndef GALENAFORD_SNAPSHOT_H
#define GALENAFORD_SNAPSHOT_H

#include <galenaford/config.h>

struct snapshot;

/* Creates a holder of an empty configuration in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result snapshot_create (struct snapshot **out);

/* Destroys SNAPSHOT and its configuration, which no thread reads any more;
   accepts NULL.  */
void snapshot_destroy (struct snapshot *snapshot);

/* Replaces the configuration by CONFIG, whose ownership it takes, and frees
   the old one.  Waits until no thread reads the old one.  */
void snapshot_replace (struct snapshot *snapshot,
                       struct galena_config *config);

/* Returns the current configuration.  The caller is inside an RCU read-side
   critical section; valid until its end.  */
const struct galena_config *snapshot_read (const struct snapshot *snapshot);

#endif
