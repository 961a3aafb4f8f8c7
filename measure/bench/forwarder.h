/* Subjects of the path benchmark.  A subject forwards packets between callers
   and agents: the entry of the daemon, or a bare relay that makes the same
   system calls.  */

#ifndef GALENAFORD_TEST_SUBJECT_H
#define GALENAFORD_TEST_SUBJECT_H

#include <stdint.h>

#include "process.h"

struct subject_options
{
  /* Holds the settings and the snapshot; borrowed.  */
  struct process *process;
  /* Index of the thread.  */
  uint32_t index;
  /* Address to which the relay forwards the packets of callers.  */
  struct galena_endpoint agent;
};

struct subject_operations
{
  const char *name;
  /* Creates a subject in *OUT; the caller owns it.  */
  enum galena_result (*create) (const struct subject_options *options,
                                void **out);
  /* Waits for packets and forwards them.  */
  void (*step) (void *subject);
  void (*destroy) (void *subject);
};

extern const struct subject_operations subject_relay;
extern const struct subject_operations subject_entry;

#endif
