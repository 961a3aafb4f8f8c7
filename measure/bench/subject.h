/* What stands between callers and agents in the path benchmark: the entry of
   the daemon, or a bare relay that makes the same system calls.  */

#ifndef GALENAFORD_TEST_SUBJECT_H
#define GALENAFORD_TEST_SUBJECT_H

#include <stdint.h>

#include "process.h"

struct subject_options
{
  /* Settings and snapshot; borrowed.  */
  struct process *process;
  /* Number of the thread.  */
  uint32_t index;
  /* Where the relay sends callers' packets.  */
  struct galena_endpoint agent;
};

struct subject_operations
{
  const char *name;
  enum galena_result (*create) (const struct subject_options *options,
                                void **out);
  /* Waits for packets and passes them on.  */
  void (*step) (void *subject);
  void (*destroy) (void *subject);
};

extern const struct subject_operations subject_relay;
extern const struct subject_operations subject_entry;

#endif
