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
  struct galena_clock last_seen;
  /* Avoid the upstream until then: it left an open unanswered.  */
  struct galena_clock suspect_until;
  /* Whether the upstream left an open unanswered and was not heard since.  */
  bool unresponsive;
  /* Avoid the upstream until then: it said that it is leaving.  */
  struct galena_clock leaving_until;
  /* Source port in use towards the agent, and since when packets that ask for
     a reply have got none; 0 when none is owed.  */
  uint8_t path;
  struct galena_clock awaiting_reply_since;
  /* Opens sent since the last word from the agent.  */
  uint32_t unanswered;
  /* What follows is by kind; what each packet needs stands before it.  */
  /* Overload level of each kind, 0 to 255.  */
  uint8_t overload[GALENA_KINDS_MAX];
  /* Expected wait of each kind in milliseconds, as the agent last told.  */
  uint32_t wait_ms[GALENA_KINDS_MAX];
  /* When that was told.  */
  struct galena_clock wait_reported[GALENA_KINDS_MAX];
};

/* An open that no agent has answered yet.  */
struct galena_pending_open
{
  /* As the caller sent it; its body is not kept.  */
  struct galena_message open;
  /* Number of the service that the address named when the open came; the
     open goes to no other one, should the address change hands.  */
  uint32_t service;
  /* Upstreams tried so far, in order.  */
  uint32_t tried[GALENA_CANDIDATES_MAX];
  uint32_t tried_count;
  /* How often all candidates have been tried without a reply.  */
  uint32_t rounds;
  struct galena_clock began;
  struct galena_clock next_try;
  struct galena_clock deadline;
};

/* The budget of one kind of work of one service.  */
struct galena_kind_budget
{
  /* Retries that may still be sent.  */
  double retry_tokens;
  /* Opens seen lately, and how many of those the agents accept.  */
  double opens;
  double accepted;
};

struct galena_entry
{
  struct galena_table *hints;
  struct galena_map *hints_by_upstream;
  struct galena_table *pending;
  struct galena_map *pending_by_flow;
  struct galena_table *budgets;
  struct galena_map *budgets_by_kind;
  const struct galena_choice_policy *choice;
};

/* entry_hint.c */

/* Returns the hint on UPSTREAM, or NULL when nothing is known.  */
const struct galena_hint *
galena_entry_find_hint (const struct galena_world *world, uint32_t upstream);

/* Returns the hint on UPSTREAM, made when there is none; NULL when full.  */
struct galena_hint *galena_entry_find_or_add_hint (struct galena_world *world,
                                                   uint32_t upstream);

/* Whether opens should go elsewhere than to the upstream of HINT.  */
bool galena_entry_avoids (const struct galena_world *world,
                          const struct galena_hint *hint);

/* Tells whether UPSTREAM is suspected to be dead.  */
bool galena_entry_is_suspect (const struct galena_world *world,
                              uint32_t upstream);

/* Takes what MESSAGE tells of the agent that sent it.  */
void galena_entry_update_hint (struct galena_world *world,
                               const struct galena_message *message);

/* Returns the source port for a packet to the agent of HINT that asks for a
   reply; another one when the last has got none.  */
uint8_t galena_entry_select_path (struct galena_world *world,
                                  struct galena_hint *hint);

/* Notes that an open goes to the upstream of HINT; when the upstream was
   lost, the others avoid it until this one is answered.  */
void galena_entry_note_open_sent (struct galena_world *world,
                                  struct galena_hint *hint);

/* Notes that UPSTREAM gave a sign of life, though not on its own path to this
   entry.  */
void galena_entry_clear_suspicion (struct galena_world *world,
                                   uint32_t upstream);

/* Notes that the agent that sent REFUSAL is leaving.  */
void galena_entry_note_leaving (struct galena_world *world,
                                const struct galena_message *refusal);

/* Notes that UPSTREAM left an open unanswered.  */
void galena_entry_mark_suspect (struct galena_world *world, uint32_t upstream);

/* System: drops hints that were not renewed.  */
void galena_entry_run_expire_hints (struct galena_world *world);

/* entry_open.c */

/* Returns the service that MESSAGE is meant for: by the number that its flow
   was accepted under, or by address while it has none.  */
const struct galena_service *
galena_entry_service_of (const struct galena_world *world,
                         const struct galena_message *message);

/* Returns the pending open of FLOW and its handle, or NULL.  */
struct galena_pending_open *
galena_entry_find_pending (const struct galena_world *world,
                           struct galena_flow_id flow,
                           struct galena_handle *handle);
void galena_entry_remove_pending (struct galena_world *world,
                                  struct galena_handle handle);

/* Refuses OPEN towards its caller.  */
void galena_entry_refuse (struct galena_world *world,
                          const struct galena_message *open,
                          enum galena_result result);

/* Sends OPEN to an upstream, or refuses it.  */
void galena_entry_start_open (struct galena_world *world,
                              const struct galena_message *open);

/* Retries a pending open, or gives it up with RESULT.  */
void galena_entry_retry (struct galena_world *world,
                         struct galena_handle handle,
                         enum galena_result result);

/* System: retries opens that were left unanswered.  */
void galena_entry_run_retry (struct galena_world *world);

/* entry_budget.c */

/* Counts OPEN and tells whether it is to be shed.  */
bool galena_budget_should_shed (struct galena_world *world,
                                const struct galena_message *open);

/* Takes the overload level of REPLY to OPEN.  */
void galena_budget_note_reply (struct galena_world *world,
                               const struct galena_message *open,
                               const struct galena_message *reply);

/* Tells whether OPEN may be retried after RESULT, and counts the retry.  */
bool galena_budget_take_retry_token (struct galena_world *world,
                                     const struct galena_message *open,
                                     enum galena_result result);

/* System: lets old counts fade.  */
void galena_entry_run_budgets (struct galena_world *world);

#endif
