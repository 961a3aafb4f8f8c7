/* The tables of a caller: its flows and its requests.  */

#ifndef GALENAFORD_CALLER_TABLES_H
#define GALENAFORD_CALLER_TABLES_H

#include <galenaford/caller.h>
#include <galenaford/map.h>
#include <galenaford/stream.h>
#include <galenaford/tag.h>

#include "world_private.h"

enum galena_caller_flow_state
{
  GALENA_CALLER_FLOW_OPENING,
  GALENA_CALLER_FLOW_OPEN,
  /* Closed by the application; the owner is told in the next tick.  */
  GALENA_CALLER_FLOW_CLOSING
};

struct galena_caller_flow
{
  struct galena_flow_id id;
  struct galena_endpoint service;
  /* Service that first accepted the flow; 0 before.  */
  uint32_t service_number;
  enum galena_caller_flow_state state;
  /* As the flow's packets carry it; 0 while the flow has none.  */
  uint64_t tag;
  bool unrouted;
  uint16_t kind;
  /* Number of the last request sent on this flow.  */
  uint32_t last_request;
  uint32_t open_requests;
  uint32_t deadline_ms;
  struct galena_clock deadline;
  struct galena_clock resend_at;
  /* When the owner last gave a sign of life.  */
  struct galena_clock last_seen;
  /* Source port in use, and when it last changed.  */
  uint8_t path;
  struct galena_clock path_since;
  /* While a move is on its way: id of the flow that is opened elsewhere.  */
  bool moving;
  struct galena_flow_id next_id;
  struct galena_clock move_resend_at;
  struct galena_clock move_deadline;
  /* The flow that goes on elsewhere, if this one only lives until its last
     requests have ended.  */
  struct galena_flow_handle successor;
  /* Where the flow was before its last move; none when it never moved.  */
  struct galena_flow_handle predecessor;
  /* When an idle flow next tells its owner that it goes on.  */
  struct galena_clock next_heartbeat;
};

/* A flow that is over for the caller and may still be held by its agent.  */
struct galena_caller_pending_close
{
  struct galena_flow_id id;
  struct galena_endpoint service;
  uint32_t service_number;
  uint64_t tag;
  uint32_t attempts;
  struct galena_clock resend_at;
};

struct galena_caller_request
{
  struct galena_flow_handle flow;
  /* Number in the flow, from 1; 0 before the flow is open.  */
  uint32_t number;
  uint16_t kind;
  bool idempotent;
  bool endless;
  bool cancelled;
  /* Times it was sent to another upstream after a refusal.  */
  uint32_t tried_elsewhere;
  /* Whether a copy on an earlier flow or number may have run.  */
  bool earlier_run_possible;
  /* Bytes and parts of the answer passed to the application so far; of an
     endless answer, on all flows.  */
  uint64_t delivered;
  uint32_t delivered_parts;
  /* Bytes of an endless answer passed on before this flow.  */
  uint64_t resume;
  /* Number that the application gave.  */
  uint64_t user;
  /* Owned.  */
  uint8_t *body;
  uint32_t body_size;
  /* Parts of the body: in all, acknowledged, sent.  */
  uint32_t total;
  uint32_t acknowledged;
  uint32_t sent;
  /* Parts before this one were sent before the last resend; while some of them
     are not acknowledged, each acknowledgement that leaves a gap behind it
     has the next missing part sent at once.  */
  uint32_t recovery_end;
  /* Parts of the answer that came out of order.  */
  struct galena_stream answer;
  uint32_t deadline_ms;
  struct galena_clock deadline;
  struct galena_clock resend_at;
};

struct galena_caller
{
  /* Newest source port, and when it came into use.  */
  uint8_t path;
  struct galena_clock path_since;
  struct galena_table *flows;
  struct galena_map *flows_by_id;
  struct galena_table *pending_closes;
  struct galena_map *pending_closes_by_id;
  struct galena_table *requests;
  /* Flow and number to request, once the request has a number.  */
  struct galena_map *requests_by_number;
};

static inline struct galena_caller_flow *
galena_caller_flow (const struct galena_world *world,
                    struct galena_flow_handle handle)
{
  return galena_table_get (world->caller->flows, handle.row);
}

static inline struct galena_caller_request *
galena_caller_request_row (const struct galena_world *world,
                           struct galena_request_handle handle)
{
  return galena_table_get (world->caller->requests, handle.row);
}

/* Draws an id for a flow.  */
void galena_caller_generate_flow_id (struct galena_world *world,
                                     struct galena_flow_id *id);

/* Lets HANDLE be found by ID, and no longer.  */
enum galena_result galena_caller_index_flow (struct galena_world *world,
                                             struct galena_flow_id id,
                                             struct galena_flow_handle handle);
void galena_caller_unindex_flow (struct galena_world *world,
                                 struct galena_flow_id id);

/* Calls VISIT for each request of FLOW.  */
typedef void
galena_caller_request_visitor (struct galena_world *world,
                               struct galena_request_handle handle,
                               enum galena_result result);
void galena_caller_for_each_request (struct galena_world *world,
                                     struct galena_flow_handle flow,
                                     galena_caller_request_visitor *visit,
                                     enum galena_result result);

/* Has REQUEST belong to FLOW, under the number that it has.  */
void galena_caller_transfer_request (struct galena_world *world,
                                     struct galena_request_handle handle,
                                     struct galena_flow_handle flow);

/* Gives REQUEST the next number of its flow.  */
void galena_caller_assign_number (struct galena_world *world,
                                  struct galena_request_handle handle);

/* Finds the request that MESSAGE speaks of; its flow must have the tag.  */
struct galena_caller_request *
galena_caller_find_request (const struct galena_world *world,
                            const struct galena_message *message,
                            struct galena_request_handle *handle);

/* Finds the flow of MESSAGE; NULL when it is unknown.  */
struct galena_caller_flow *
galena_caller_find_flow (const struct galena_world *world,
                         const struct galena_message *message,
                         struct galena_flow_handle *handle);

/* Tells the application how REQUEST ended and removes it.  */
void galena_caller_end_request (struct galena_world *world,
                                struct galena_request_handle handle,
                                enum galena_result result);

/* Has REQUEST start over with a new number, after a copy of it may have
   run.  */
void galena_caller_restart_request (struct galena_world *world,
                                    struct galena_request_handle handle);

/* Opens FLOW again under a new id.  Requests that may have run start over if
   they are idempotent, and end with the unknown outcome if not.  */
void galena_caller_reopen (struct galena_world *world,
                           struct galena_flow_handle handle);

/* Removes FLOW and its requests; each request ends with RESULT.  */
void galena_caller_end_flow (struct galena_world *world,
                             struct galena_flow_handle handle,
                             enum galena_result result);

/* Removes a flow that the application has closed, and tells the owner.  */
void galena_caller_finish_close (struct galena_world *world,
                                 struct galena_flow_handle handle);

/* caller_path.c */

/* Takes another source port when the flow's path has gone silent.  */
void galena_caller_check_path (struct galena_world *world,
                               struct galena_caller_flow *flow);

/* caller_move.c */

/* Begins to open FLOW elsewhere while it goes on where it is.  */
void galena_caller_start_move (struct galena_world *world,
                               struct galena_flow_handle handle);

/* Goes on where ACCEPT came from.  Requests that may run stay on a flow of
   their own until they have ended; endless ones go on where they were.  */
void galena_caller_finish_move (struct galena_world *world,
                                struct galena_flow_handle handle,
                                const struct galena_message *accept);

/* Gives up a move, if one is on its way.  */
void galena_caller_abandon_move (struct galena_world *world,
                                 struct galena_flow_handle handle);

/* Sends the open of a move again.  */
void galena_caller_run_move (struct galena_world *world,
                             struct galena_flow_handle handle);

/* Whether MESSAGE speaks of the flow that FLOW moves to.  */
bool galena_caller_matches_move (const struct galena_caller_flow *flow,
                                 const struct galena_message *message);

/* caller_close.c */

/* Creates the table of closings.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_caller_create_pending_closes (struct galena_world *world);

/* Tells the agent that accepted the flow that WHAT speaks of that it is
   over, until the agent replies or the tries are spent.  */
void galena_caller_close_at_agent (struct galena_world *world,
                                   const struct galena_message *what);

/* Notes that an agent no longer holds the flow of MESSAGE.  */
void galena_caller_on_closed (struct galena_world *world,
                              const struct galena_message *message);

/* System: sends closes that got no reply again.  */
void galena_caller_run_resend_closes (struct galena_world *world);

/* caller_receive.c */
void galena_caller_run_receive (struct galena_world *world);

/* caller_send.c */
void galena_caller_run_send (struct galena_world *world);

/* Returns a message on FLOW towards the fabric.  */
struct galena_message
galena_caller_make_message (const struct galena_world *world,
                            const struct galena_caller_flow *flow,
                            enum galena_message_type type);

#endif
