/* The snapshot in force: replaced by one thread, read by many under RCU.  */

#ifndef GALENAFORD_SNAPSHOT_H
#define GALENAFORD_SNAPSHOT_H

#include <galenaford/config.h>

struct snapshot;

/* Creates a holder with an empty snapshot in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result snapshot_create (struct snapshot **out);

/* Destroys the holder; no thread may read it any more.  */
void snapshot_destroy (struct snapshot *snapshot);

/* Puts CONFIG into force and frees the one before when no thread reads it. */
void snapshot_replace (struct snapshot *snapshot,
                       struct galena_config *config);

/* Returns the snapshot in force, for a thread inside an RCU read section.  */
const struct galena_config *snapshot_read (const struct snapshot *snapshot);

#endif
