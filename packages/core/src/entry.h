/* The tables of an entry: hints about upstreams, pending opens, and the retry
   tokens and counts of opens of each kind of work.  */

#ifndef GALENAFORD_ENTRY_H
#define GALENAFORD_ENTRY_H

#include <galenaford/config.h>
#include <galenaford/map.h>

#include "policy.h"
#include "world_private.h"

/* What an entry last learned about one upstream.  Hints only steer the choice
   of an upstream; a wrong one causes no error.  */
struct galena_hint
{
  uint32_t upstream;
  /* Requests, queued and running, that the agent last reported.  */
  uint32_t queue;
  /* When the last message from the agent was received.  */
  struct galena_clock last_seen;
  /* The upstream is avoided until then, since it did not reply to an open.  */
  struct galena_clock suspect_until;
  /* Whether the upstream did not reply to an open and nothing was received
     from it since.  */
  bool unresponsive;
  /* The upstream is avoided until then, since it reported that it is
     leaving.  */
  struct galena_clock leaving_until;
  /* Index of the source port in use towards the agent, and since when packets
     that require a reply have got none; 0 when no reply is outstanding.  */
  uint8_t source_port_index;
  struct galena_clock awaiting_reply_since;
  /* Opens sent since the last message from the agent.  */
  uint32_t unanswered;
  /* The members above are read for each packet; the arrays by kind are kept
     behind them.  */
  /* Overload level of each kind, 0 to 255.  */
  uint8_t overload[GALENA_KINDS_MAX];
  /* Expected wait of each kind in milliseconds, as last reported.  */
  uint32_t wait_ms[GALENA_KINDS_MAX];
  /* When that wait was reported.  */
  struct galena_clock wait_reported[GALENA_KINDS_MAX];
};

/* An open that no agent has accepted yet.  */
struct galena_pending_open
{
  /* The open as the caller sent it, without its body.  */
  struct galena_message open;
  /* Number of the service that had the address when the open arrived.  The
     open is never sent to another service, even if the address is reassigned
     in the meantime.  */
  uint32_t service;
  /* Upstreams tried so far, in order.  */
  uint32_t tried[GALENA_CANDIDATES_MAX];
  uint32_t tried_count;
  /* How often all candidates have been tried without success.  */
  uint32_t rounds;
  struct galena_clock began;
  struct galena_clock next_try;
  struct galena_clock deadline;
};

/* The retry tokens of one kind of work of one service, and the counts that
   decide how many of its opens are shed.  */
struct galena_kind_budget
{
  /* Token bucket: each retry takes one token.  */
  double retry_tokens;
  /* Recent opens, and how many of them agents accept.  Both decay.  */
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

/* Returns the hint about UPSTREAM, or NULL when there is none.  */
const struct galena_hint *
galena_entry_find_hint (const struct galena_world *world, uint32_t upstream);

/* Returns the hint about UPSTREAM, added when there is none; NULL when the
   table is full.  */
struct galena_hint *galena_entry_find_or_add_hint (struct galena_world *world,
                                                   uint32_t upstream);

/* Returns whether opens should go to other upstreams than that of HINT, since
   it is suspected to be dead or is leaving.  */
bool galena_entry_avoids (const struct galena_world *world,
                          const struct galena_hint *hint);

/* Returns whether UPSTREAM is suspected to be dead.  */
bool galena_entry_is_suspect (const struct galena_world *world,
                              uint32_t upstream);

/* Updates the hint about the agent that sent MESSAGE from the load that the
   message reports.  */
void galena_entry_update_hint (struct galena_world *world,
                               const struct galena_message *message);

/* Returns the index of the source port for a packet to the agent of HINT that
   requires a reply.  Changes to another port when the current one has timed
   out, and starts the timeout when no reply is outstanding.  */
uint8_t galena_entry_select_source_port (struct galena_world *world,
                                         struct galena_hint *hint);

/* Counts an open that is sent to the upstream of HINT.  When the upstream is
   unresponsive, this open probes it and other opens avoid it until it
   replies.  */
void galena_entry_note_open_sent (struct galena_world *world,
                                  struct galena_hint *hint);

/* Clears the suspicion of UPSTREAM, which was seen to be alive by a message
   that did not come from it directly.  */
void galena_entry_clear_suspicion (struct galena_world *world,
                                   uint32_t upstream);

/* Marks the upstream whose agent sent REFUSAL as leaving.  */
void galena_entry_note_leaving (struct galena_world *world,
                                const struct galena_message *refusal);

/* Marks UPSTREAM as suspect after an open that it did not reply to.  */
void galena_entry_mark_suspect (struct galena_world *world, uint32_t upstream);

/* System: removes hints that were not updated within their lifetime.  */
void galena_entry_run_expire_hints (struct galena_world *world);

/* entry_open.c */

/* Returns the service that MESSAGE is for, or NULL: by the service number that
   its flow was accepted for, or by address while the flow has none.  */
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

/* Sends the caller of OPEN a refusal with RESULT.  */
void galena_entry_refuse (struct galena_world *world,
                          const struct galena_message *open,
                          enum galena_result result);

/* Adds a pending open for OPEN and sends it to an upstream, or refuses it.  */
void galena_entry_start_open (struct galena_world *world,
                              const struct galena_message *open);

/* Retries a pending open after RESULT, or refuses it with RESULT.  */
void galena_entry_retry (struct galena_world *world,
                         struct galena_handle handle,
                         enum galena_result result);

/* System: retries opens that got no reply in time.  */
void galena_entry_run_retry (struct galena_world *world);

/* entry_budget.c */

/* Counts OPEN in the budget of its kind and returns whether to shed it.  */
bool galena_budget_should_shed (struct galena_world *world,
                                const struct galena_message *open);

/* Updates the number of accepted opens of OPEN's kind from the overload level
   in REPLY.  */
void galena_budget_note_reply (struct galena_world *world,
                               const struct galena_message *open,
                               const struct galena_message *reply);

/* Returns whether OPEN may be retried after RESULT; takes a token if so.  */
bool galena_budget_take_retry_token (struct galena_world *world,
                                     const struct galena_message *open,
                                     enum galena_result result);

/* System: adds retry tokens and decays the counts.  Runs once a second.  */
void galena_entry_run_budgets (struct galena_world *world);

#endif
