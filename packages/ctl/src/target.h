/* The processes that a command queries, many at the same time.  */

#ifndef GALENAFORD_TARGET_H
#define GALENAFORD_TARGET_H

#include <galenaford/operator.h>

#include "arguments.h"

enum
{
  TARGETS_MAX = 4096,
  /* A query fails when nothing arrives for this long.  */
  TARGET_TIMEOUT_MS = 3000
};

struct target
{
  /* Name in the settings, or the address as text.  */
  char name[GALENA_NAME_BYTES];
  struct galena_endpoint address;
  /* Sequence of the last audit row read; the next query returns later
     ones.  */
  uint64_t after;
  /* Result of the last query.  */
  enum galena_result result;
};

struct targets;

/* Called for each row of a reply of TARGET.  */
typedef void target_row_callback (void *data, const struct target *target,
                                  const struct galena_operator_row *row);

/* Creates the targets that ARGUMENTS name in *OUT; the caller owns it.
   Invalid settings and addresses are reported on standard error.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_IO, GALENA_ERR_FULL,
   GALENA_ERR_MEMORY.  */
enum galena_result targets_create (const struct arguments *arguments,
                                   struct targets **out);

/* Destroys TARGETS; accepts NULL.  */
void targets_destroy (struct targets *targets);

/* Queries all targets for the rows of ROW_TYPE and passes each one to ON_ROW
   with DATA.  */
void targets_query (struct targets *targets,
                    enum galena_operator_type row_type,
                    target_row_callback *on_row, void *data);

/* Prints the targets without a complete reply to the last query on standard
   error; returns how many there are.  */
uint32_t targets_print_failed (const struct targets *targets);

/* Returns the number of targets.  */
uint32_t targets_count (const struct targets *targets);

/* Returns the target at INDEX.  */
const struct target *targets_get (const struct targets *targets,
                                  uint32_t index);

#endif
