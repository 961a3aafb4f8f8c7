/* The processes that a command asks, all at the same time.  */

#ifndef GALENAFORD_TARGET_H
#define GALENAFORD_TARGET_H

#include <galenaford/operator.h>

#include "arguments.h"

enum
{
  TARGETS_MAX = 4096,
  /* A process without a further row for this long has failed.  */
  TARGET_TIMEOUT_MS = 3000
};

struct target
{
  /* Name in the settings, or the address as text.  */
  char name[GALENA_NAME_BYTES];
  struct galena_endpoint address;
  /* Of the audit view: the last sequence read.  */
  uint64_t after;
  /* What became of the last query.  */
  enum galena_result result;
};

struct targets;

/* Takes a row of TARGET.  */
typedef void target_reader (void *data, const struct target *target,
                            const struct galena_operator_row *row);

/* Lists the processes that ARGUMENTS name in *OUT; the caller owns it.  Faults
   are printed on standard error.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_IO, GALENA_ERR_FULL,
   GALENA_ERR_MEMORY.  */
enum galena_result targets_create (const struct arguments *arguments,
                                   struct targets **out);

/* Destroys TARGETS; accepts NULL.  */
void targets_destroy (struct targets *targets);

/* Asks all for VIEW and passes each row to READ with DATA.  */
void targets_ask (struct targets *targets, enum galena_operator_type view,
                  target_reader *read, void *data);

/* Prints those without a whole reply to the last query on standard error;
   returns how many.  */
uint32_t targets_print_failed (const struct targets *targets);

/* Returns the number of targets.  */
uint32_t targets_count (const struct targets *targets);

/* Returns target INDEX.  */
const struct target *targets_get (const struct targets *targets,
                                  uint32_t index);

#endif
