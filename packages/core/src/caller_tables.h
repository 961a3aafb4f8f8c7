/* The tables of a caller: flows, requests and pending closes.  */

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
  /* Closed by the application; the close is sent in the next tick.  */
  GALENA_CALLER_FLOW_CLOSING
};

struct galena_caller_flow
{
  struct galena_flow_id id;
  struct galena_endpoint service;
  /* Number of the service that the flow was accepted for; 0 before.  */
  uint32_t service_number;
  enum galena_caller_flow_state state;
  /* Tag that the flow's packets carry; 0 while the flow has none.  */
  uint64_t tag;
  /* Whether that tag carries no upstream number; see tag.h.  */
  bool hash_routed;
  uint16_t kind;
  /* Number of the last request sent on this flow.  */
  uint32_t last_request;
  uint32_t open_requests;
  uint32_t deadline_ms;
  struct galena_clock deadline;
  struct galena_clock resend_at;
  /* When a message of the flow was last received from its owner.  */
  struct galena_clock last_seen;
  /* Index of the source port in use, and when it last changed.  */
  uint8_t source_port_index;
  struct galena_clock source_port_since;
  /* Whether the flow is being moved to another upstream, and the id under
     which it is opened there.  */
  bool moving;
  struct galena_flow_id next_id;
  struct galena_clock move_resend_at;
  struct galena_clock move_deadline;
  /* In the row of a flow at an old upstream, kept after a move until its last
     requests have ended: the flow at the new upstream.  None elsewhere.  */
  struct galena_flow_handle successor;
  /* The flow at the upstream before the last move; none when the flow was
     never moved.  */
  struct galena_flow_handle predecessor;
  /* When the flow, if idle, next sends a heartbeat to its owner.  */
  struct galena_clock next_heartbeat;
};

/* A flow that the caller has ended and that its agent may still hold.  The
   close is sent again until the agent replies.  */
struct galena_caller_pending_close
{
  struct galena_flow_id id;
  struct galena_endpoint service;
  uint32_t service_number;
  uint64_t tag;
  /* Times that the close was sent again.  */
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
  /* Times that it was sent to another upstream after a refusal.  */
  uint32_t tried_elsewhere;
  /* Whether an earlier copy, on another flow or under another number, may have
     run.  */
  bool earlier_run_possible;
  /* Bytes and parts of the answer passed to the application so far.  For an
     endless answer they count over all flows.  */
  uint64_t delivered;
  uint32_t delivered_parts;
  /* Bytes of an endless answer that were delivered on earlier flows; the
     upstream resumes from there.  */
  uint64_t resume;
  /* Set by the application; see galena_caller_set_user.  */
  uint64_t user;
  /* Owned.  */
  uint8_t *body;
  uint32_t body_size;
  /* Number of parts of the body; how many are acknowledged and sent.  */
  uint32_t total;
  uint32_t acknowledged;
  uint32_t sent;
  /* Parts before this one were sent before the last retransmission.  As in the
     fast recovery of TCP, an acknowledgement that advances but does not cover
     them all triggers the retransmission of the next missing part at once.  */
  uint32_t recovery_end;
  /* Parts of the answer that arrived out of order.  */
  struct galena_stream answer;
  uint32_t deadline_ms;
  struct galena_clock deadline;
  struct galena_clock resend_at;
};

struct galena_caller
{
  /* Index of the newest source port, and since when it is in use.  */
  uint8_t source_port_index;
  struct galena_clock source_port_since;
  struct galena_table *flows;
  struct galena_map *flows_by_id;
  struct galena_table *pending_closes;
  struct galena_map *pending_closes_by_id;
  struct galena_table *requests;
  /* Maps the flow and number of a request to its row, once the request has a
     number.  */
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

/* Stores a random flow id in *ID.  */
void galena_caller_generate_flow_id (struct galena_world *world,
                                     struct galena_flow_id *id);

/* Add and remove ID as a key of the flow with HANDLE.  */
enum galena_result galena_caller_index_flow (struct galena_world *world,
                                             struct galena_flow_id id,
                                             struct galena_flow_handle handle);
void galena_caller_unindex_flow (struct galena_world *world,
                                 struct galena_flow_id id);

typedef void
galena_caller_request_visitor (struct galena_world *world,
                               struct galena_request_handle handle,
                               enum galena_result result);

/* Calls VISIT with RESULT for each request of FLOW.  VISIT may remove the
   request.  */
void galena_caller_for_each_request (struct galena_world *world,
                                     struct galena_flow_handle flow,
                                     galena_caller_request_visitor *visit,
                                     enum galena_result result);

/* Moves a request to FLOW, under the number that it has.  */
void galena_caller_transfer_request (struct galena_world *world,
                                     struct galena_request_handle handle,
                                     struct galena_flow_handle flow);

/* Assigns the next number of its flow to a request.  */
void galena_caller_assign_number (struct galena_world *world,
                                  struct galena_request_handle handle);

/* Returns the request that MESSAGE refers to and its handle, or NULL; the tags
   of the message and the flow must match.  Updates when the flow's owner was
   last seen.  */
struct galena_caller_request *
galena_caller_find_request (const struct galena_world *world,
                            const struct galena_message *message,
                            struct galena_request_handle *handle);

/* Returns the flow of MESSAGE and its handle, or NULL when it is unknown.  */
struct galena_caller_flow *
galena_caller_find_flow (const struct galena_world *world,
                         const struct galena_message *message,
                         struct galena_flow_handle *handle);

/* Sends the application a RUN_END with RESULT and removes the request.  A
   refusal becomes the unknown outcome when an earlier copy may have run.  */
void galena_caller_end_request (struct galena_world *world,
                                struct galena_request_handle handle,
                                enum galena_result result);

/* Resets a request so that it is sent again from its first part, under a new
   number.  */
void galena_caller_restart_request (struct galena_world *world,
                                    struct galena_request_handle handle);

/* Opens a flow again under a new id.  Its requests are sent again, but those
   that may have run and are not idempotent end with the unknown outcome.  A
   flow with a successor is closed instead, and its requests are sent again on
   the successor.  */
void galena_caller_reopen (struct galena_world *world,
                           struct galena_flow_handle handle);

/* Removes a flow and its requests; each request ends with RESULT.  */
void galena_caller_end_flow (struct galena_world *world,
                             struct galena_flow_handle handle,
                             enum galena_result result);

/* Sends a close to the owner of a flow and removes the flow.  */
void galena_caller_finish_close (struct galena_world *world,
                                 struct galena_flow_handle handle);

/* caller_source_port.c */

/* Changes FLOW to another source port when nothing was received from its owner
   for too long.  */
void galena_caller_check_source_port (struct galena_world *world,
                                      struct galena_caller_flow *flow);

/* caller_move.c */

/* Begins to move a flow: opens it at another upstream while it stays in use at
   the present one.  */
void galena_caller_start_move (struct galena_world *world,
                               struct galena_flow_handle handle);

/* Completes a move to the agent that sent ACCEPT.  Requests that were sent
   stay at the old upstream, on a flow of their own, until they have ended;
   endless ones are resumed at the new upstream.  */
void galena_caller_finish_move (struct galena_world *world,
                                struct galena_flow_handle handle,
                                const struct galena_message *accept);

/* Ends a move that is in progress, if any; the flow stays where it is.  */
void galena_caller_abandon_move (struct galena_world *world,
                                 struct galena_flow_handle handle);

/* Sends the open of a move when it is due; abandons the move after its
   deadline.  */
void galena_caller_run_move (struct galena_world *world,
                             struct galena_flow_handle handle);

/* Returns whether MESSAGE refers to the flow that FLOW is being moved to.  */
bool galena_caller_matches_move (const struct galena_caller_flow *flow,
                                 const struct galena_message *message);

/* caller_close.c */

/* Creates the table of pending closes.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_caller_create_pending_closes (struct galena_world *world);

/* Closes the flow of MESSAGE at the agent that accepted it.  Sends the close
   again until the agent replies or the attempts are used up.  */
void galena_caller_close_at_agent (struct galena_world *world,
                                   const struct galena_message *message);

/* Handles MESSAGE as the agent's reply to a close: it no longer holds the
   flow.  */
void galena_caller_on_closed (struct galena_world *world,
                              const struct galena_message *message);

/* System: resends closes that got no reply.  */
void galena_caller_run_resend_closes (struct galena_world *world);

/* caller_receive.c */

/* System: handles received messages.  */
void galena_caller_run_receive (struct galena_world *world);

/* caller_send.c */

/* System: sends the messages of flows and requests that are due.  */
void galena_caller_run_send (struct galena_world *world);

/* Returns a message of TYPE on FLOW, addressed to the fabric: the address
   under which callers reach the entries.  */
struct galena_message
galena_caller_make_message (const struct galena_world *world,
                            const struct galena_caller_flow *flow,
                            enum galena_message_type type);

#endif
