/* The tables of an entry: hints on upstreams and opens that wait.  */

#ifndef GALENAFORD_ENTRY_H
#define GALENAFORD_ENTRY_H

#include <galenaford/config.h>
#include <galenaford/map.h>

#include "policy.h"
#include "world_private.h"

/* What an entry has heard of one upstream; wrong hints do no harm.  */
struct galena_hint
{
  uint32_t upstream;
  /* Requests queued and running, as the agent last told.  */
  uint32_t queue;
  /* When the agent was last heard.  */
  struct galena_clock heard;
  /* Avoid the upstream until then: it left an open unanswered.  */
  struct galena_clock suspect_until;
  /* Avoid the upstream until then: it said that it is leaving.  */
  struct galena_clock leaving_until;
  /* Source port in use towards the agent, and since when packets that ask for
     a reply have got none; 0 when none is owed.  */
  uint8_t path;
  struct galena_clock asked;
  /* Opens sent since the last word from the agent.  */
  uint32_t unanswered;
  /* What follows is by kind; what each packet needs stands before it.  */
  /* Overload level of each kind, 0 to 255.  */
  uint8_t overload[GALENA_KINDS_MAX];
  /* Expected wait of each kind in milliseconds, as the agent last told.  */
  uint32_t wait_ms[GALENA_KINDS_MAX];
  /* When that was told.  */
  struct galena_clock told[GALENA_KINDS_MAX];
};

/* An open that no agent has answered yet.  */
struct galena_pending_open
{
  /* As the caller sent it; its body is not kept.  */
  struct galena_message open;
  /* Upstreams tried so far, in order.  */
  uint32_t tried[GALENA_CANDIDATES_MAX];
  uint32_t tried_count;
  /* How often all candidates have been tried without a reply.  */
  uint32_t rounds;
  struct galena_clock began;
  struct galena_clock next_try;
  struct galena_clock deadline;
};

struct galena_entry
{
  struct galena_table *hints;
  struct galena_map *hints_by_upstream;
  struct galena_table *pending;
  struct galena_map *pending_by_flow;
  /* Retries that may still be sent.  */
  double retry_tokens;
  const struct galena_choice_policy *choice;
};

/* Returns the hint on UPSTREAM, or NULL when nothing is known.  */
const struct galena_hint *galena_entry_hint (const struct galena_world *world,
                                             uint32_t upstream);

/* Whether opens should go elsewhere than to the upstream of HINT.  */
bool galena_entry_avoids (const struct galena_world *world,
                          const struct galena_hint *hint);

#endif
