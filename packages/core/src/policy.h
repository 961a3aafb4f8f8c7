/* Policies that settings select by name.  Each is a table of functions.  */

#ifndef GALENAFORD_POLICY_H
#define GALENAFORD_POLICY_H

#include <galenaford/config.h>

#include "world_private.h"

/* Chooses the upstream for an open.  */
struct galena_choice_policy
{
  const char *name;
  /* Returns the position in CANDIDATES of the upstream to try with an open of
     KIND, given COUNT upstream indices, best hash first.  COUNT is at
     least 1.  */
  uint32_t (*choose) (struct galena_world *world, uint16_t kind,
                      const uint32_t *candidates, uint32_t count);
  /* Whether the candidates are sampled from all upstreams of the service
     instead of by rendezvous hashing.  */
  bool any_upstream;
};

/* Decides which queued request runs next, and estimates the wait of a new
   request under that order.  */
struct galena_admission_policy
{
  const char *name;
  /* Returns the number of the kind whose first queued request runs next, or -1
     when none should.  */
  int (*pick) (struct galena_world *world);
  /* Returns the milliseconds that the requests queued ahead of a new request
     of KIND take, without those that run now.  */
  double (*queue_ms) (const struct galena_world *world, uint16_t kind);
};

/* Returns the index of the policy with NAME among the names that NAME_AT
   returns, 0 when NAME is NULL, or -1 when there is no such policy.  */
int galena_policy_index (const char *name, const char *(*name_at) (uint32_t));

/* Return the policy with NAME, the default when NAME is NULL, or NULL when
   there is no such policy.  */
const struct galena_choice_policy *galena_choice_policy (const char *name);
const struct galena_admission_policy *
galena_admission_policy (const char *name);

#endif
