/* Programs that the path benchmark compares.  Each forwards packets between
   callers and agents: the entry of the daemon, or a bare relay that makes the
   same system calls.  */

#ifndef GALENAFORD_TEST_FORWARDER_H
#define GALENAFORD_TEST_FORWARDER_H

#include <stdint.h>

#include "process.h"

struct forwarder_options
{
  /* Holds the settings and the snapshot; borrowed.  */
  struct process *process;
  /* Index of the thread.  */
  uint32_t index;
  /* Address to which the relay forwards the packets of callers.  */
  struct galena_endpoint agent;
};

struct forwarder_operations
{
  const char *name;
  /* Creates a forwarder in *OUT; the caller owns it.  */
  enum galena_result (*create) (const struct forwarder_options *options,
                                void **out);
  /* Waits for packets and forwards them.  */
  void (*step) (void *forwarder);
  void (*destroy) (void *forwarder);
};

extern const struct forwarder_operations forwarder_relay;
extern const struct forwarder_operations forwarder_entry;

#endif
