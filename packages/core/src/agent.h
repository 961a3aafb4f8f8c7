/* The tables of an agent: flows, requests, and the queues of each kind.  */

#ifndef GALENAFORD_AGENT_H
#define GALENAFORD_AGENT_H

#include <galenaford/config.h>
#include <galenaford/map.h>
#include <galenaford/stream.h>

#include "policy.h"
#include "world_private.h"

struct galena_flow
{
  struct galena_flow_id id;
  uint64_t tag;
  /* Return path: the caller, and the entry that sent the last packet.  */
  struct galena_endpoint caller;
  struct galena_endpoint entry;
  /* When the flow's last packet arrived, shifted by the length of each pause
     of the process since.  */
  struct galena_clock last_seen;
  /* Requests of this flow in the request table.  */
  uint32_t open_requests;
  /* Request numbers up to this one are done: removed, refused, or too far
     behind a later one to be tracked.  */
  uint32_t done_through;
  /* Bit N is set when request done_through + 1 + N is done.  */
  uint64_t done_bits;
  /* Kind of work given in the open.  */
  uint16_t kind;
  /* Whether a packet with the tag has arrived from the caller.  */
  bool confirmed;
  /* Whether the flow is counted as a reservation in the queue of its kind.  */
  bool reserved;
  /* Whether the tag of the flow's packets carries no upstream number, so that
     they are routed by hash.  */
  bool hash_routed;
};

enum galena_request_state
{
  /* Parts of the body are still missing.  */
  GALENA_REQUEST_RECEIVING,
  /* Waits for a slot.  */
  GALENA_REQUEST_QUEUED,
  /* Sent to the upstream.  */
  GALENA_REQUEST_RUNNING,
  /* The result is known; kept until acknowledged.  */
  GALENA_REQUEST_ENDED
};

struct galena_request
{
  struct galena_flow_handle flow;
  uint32_t number;
  uint16_t kind;
  enum galena_request_state state;
  bool idempotent;
  bool endless;
  /* Whether the request is on the agent's send list.  */
  bool in_send_list;
  /* Whether a cancel was sent to the upstream.  */
  bool cancelling;
  /* Valid when ENDED: GALENA_OK, a refusal, or the unknown outcome.  */
  enum galena_result result;
  struct galena_clock deadline;
  /* When its first part arrived.  */
  struct galena_clock arrived;
  struct galena_clock queued;
  struct galena_clock started;
  /* When an ended request is removed even without an acknowledgement.  */
  struct galena_clock retain_until;
  /* When unacknowledged parts are sent again, and how often they have been
     since the last acknowledgement.  */
  struct galena_clock resend_at;
  uint32_t resends;
  /* Parts of the body that arrived out of order.  */
  struct galena_stream received;
  /* Bytes of an endless answer that the caller got on earlier flows.  */
  uint64_t resume;
  /* Body received so far; owned.  */
  uint8_t *body;
  uint32_t body_size;
  uint32_t body_capacity;
  /* Parts of the answer that the caller has not acknowledged.  */
  struct galena_stream answer;
  /* Next request in the queue of its kind.  */
  struct galena_request_handle next;
};

struct galena_kind_queue
{
  struct galena_request_handle head;
  struct galena_request_handle tail;
  uint32_t queued;
  uint32_t running;
  uint32_t flows;
  /* Accepted flows whose first request has not arrived yet; expected waits
     count each as a queued request.  */
  uint32_t reserved;
  /* Smoothed run time in milliseconds.  */
  double run_ms;
  /* Smoothed number of slots in use.  */
  double slots_used;
  /* Slot time in milliseconds that the kind is owed under its minimum share;
     negative when it recently used more than its share.  */
  double credit_ms;
  /* Smoothed share of opens refused as overload, 0 to 1.  */
  double refused_share;
};

/* A lease on a bucket, held by an agent that owns flows of the bucket but is
   no longer a candidate for it.  Packets of the bucket whose flow is unknown
   here are copied to that agent.  */
struct galena_lease
{
  uint32_t bucket;
  /* Position among the leases on the bucket, from 0.  */
  uint32_t position;
  /* Agent that owns the flows.  */
  struct galena_endpoint owner;
  /* When the lease expires unless it is renewed.  */
  struct galena_clock until;
};

/* Health of the agent's upstream, judged by the results of its requests.  */
struct galena_upstream_health
{
  /* Consecutive requests that the upstream refused.  */
  uint32_t refusals;
  /* End of the backoff, before which no flow is accepted.  */
  struct galena_clock backoff_until;
  /* Length of the next backoff in milliseconds; 0 while the upstream is
     up.  */
  uint32_t backoff_ms;
};

/* An entry from which a packet arrived recently.  */
struct galena_known_entry
{
  struct galena_endpoint address;
  struct galena_clock last_seen;
};

enum
{
  /* Entries through which answers can be sent when the entry of their flow
     fails.  */
  GALENA_KNOWN_ENTRIES = 16
};

/* Load reported by another agent of the service.  */
struct galena_load_report
{
  /* Number of that agent's upstream.  */
  uint32_t upstream;
  /* Expected wait over all kinds in milliseconds.  */
  uint32_t wait_ms;
  /* When the report arrived.  */
  struct galena_clock last_seen;
};

struct galena_agent
{
  struct galena_table *load_reports;
  struct galena_map *load_reports_by_upstream;
  struct galena_table *flows;
  struct galena_map *flows_by_id;
  struct galena_table *requests;
  struct galena_map *requests_by_number;
  struct galena_kind_queue queues[GALENA_KINDS_MAX];
  /* Requests that run and hold a slot.  */
  uint32_t running;
  /* When slot time was last accounted for.  */
  struct galena_clock accounted;
  /* Send list: requests with answer parts to send in this tick.  */
  struct galena_request_handle *send_list;
  uint32_t send_list_count;
  /* Bytes allocated for the bodies of requests.  */
  uint64_t body_bytes;
  struct galena_upstream_health health;
  struct galena_table *leases;
  /* Finds a lease by its bucket and position.  */
  struct galena_map *leases_by_bucket;
  /* Buckets to send to each other agent; empty except during a renewal.  */
  struct galena_table *lease_batches;
  struct galena_clock next_lease_renewal;
  /* Generation of the current service record, and when it was first seen.  */
  uint64_t generation;
  struct galena_clock generation_since;
  const struct galena_admission_policy *admission;
  struct galena_known_entry known_entries[GALENA_KNOWN_ENTRIES];
  /* Position in the flow table that the current round of move requests has
     reached, and when the next round may begin.  */
  uint32_t move_cursor;
  struct galena_clock next_move_round;
};

enum
{
  /* Most bytes of one request's body.  */
  GALENA_BODY_BYTES_MAX = 1024 * 1024
};

/* agent.c */

/* Returns the record of this agent's upstream, or NULL.  */
const struct galena_upstream *
galena_agent_upstream (const struct galena_world *world);

/* Returns the service of this agent's upstream, or NULL.  */
const struct galena_service *
galena_agent_service (const struct galena_world *world);

/* Returns the number of that service, or 0 when there is none or it has no
   KIND.  */
uint32_t galena_agent_service_number (const struct galena_world *world,
                                      uint16_t kind);

/* Returns a reply of TYPE to MESSAGE, addressed along its return path, with
   this agent's current load for the message's kind.  */
struct galena_message galena_agent_reply (const struct galena_world *world,
                                          const struct galena_message *message,
                                          enum galena_message_type type);

/* agent_flow.c */

void galena_agent_on_open (struct galena_world *world,
                           const struct galena_message *message);
void galena_agent_on_close (struct galena_world *world,
                            const struct galena_message *message);

/* Finds the flow of MESSAGE by id and whole tag, updates its return path and
   marks it as seen.  When this agent has no such flow, forwards MESSAGE as
   galena_agent_forward does and returns NULL.  */
struct galena_flow *
galena_agent_find_flow (struct galena_world *world,
                        const struct galena_message *message,
                        struct galena_flow_handle *handle);

/* Shifts the time when each flow was last seen by GAP_MS, a pause in which
   this agent could not receive, so that no flow expires because of it.  */
void galena_agent_on_pause (struct galena_world *world, int64_t gap_ms);

/* System: releases the reservations of flows that sent no request in time, and
   ends flows that have been silent too long.  */
void galena_agent_run_expire_flows (struct galena_world *world);

/* Returns whether request NUMBER of FLOW is done, as done_through says.  */
bool galena_flow_request_is_done (const struct galena_flow *flow,
                                  uint32_t number);

/* Marks request NUMBER of FLOW as done, so that a late copy never runs.  */
void galena_flow_set_request_done (struct galena_flow *flow, uint32_t number);

/* Tells the caller of MESSAGE that its flow is not known.  */
void galena_agent_send_lost (struct galena_world *world,
                             const struct galena_message *message);

/* forward.c */

/* Returns whether this agent may accept hash-routed flows of BUCKET.  */
bool galena_agent_is_candidate (const struct galena_world *world,
                                uint32_t bucket);

/* Forwards a packet of an unknown flow to the agents that may own it.  When
   there are none, tells the caller that the flow is lost, unless the records
   have only just changed.  */
void galena_agent_forward (struct galena_world *world,
                           const struct galena_message *message);

/* agent_health.c */

enum
{
  /* Expected wait in milliseconds that an agent reports while it accepts no
     flows: its upstream is in backoff, or it is leaving.  */
  GALENA_WAIT_UNAVAILABLE_MS = 60000
};

/* Updates the health of the upstream, which ended a request with RESULT.  */
void galena_agent_update_health (struct galena_world *world,
                                 enum galena_result result);

/* Returns whether new flows are accepted: the upstream is not in backoff.  */
bool galena_agent_upstream_is_available (const struct galena_world *world);

/* Called for each accepted flow.  When the upstream is not up again yet, the
   flow is a trial: no other one is accepted until a request succeeds or a
   further backoff has passed.  */
void galena_agent_begin_trial (struct galena_world *world);

/* lease.c */

enum
{
  /* Most leases on one bucket.  */
  GALENA_LEASES_PER_BUCKET = 4
};

/* Creates and destroys the tables of leases.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result galena_agent_create_leases (struct galena_world *world);
void galena_agent_destroy_leases (struct galena_agent *agent);

/* Returns the lease at POSITION among those on BUCKET, or NULL.  */
const struct galena_lease *
galena_agent_lease (const struct galena_agent *agent, uint32_t bucket,
                    uint32_t position);

/* Creates or renews the sender's leases on the buckets that MESSAGE lists.  */
void galena_agent_on_lease (struct galena_world *world,
                            const struct galena_message *message);

/* System: notices record changes, and renews the leases that this agent's
   flows need.  */
void galena_agent_run_renew_leases (struct galena_world *world);

/* System: removes leases that were not renewed in time.  */
void galena_agent_run_expire_leases (struct galena_world *world);

/* agent_entry.c */

/* Marks ENTRY as seen now.  */
void galena_agent_update_known_entry (struct galena_world *world,
                                      struct galena_endpoint entry);

/* Returns the entry seen last other than ENTRY; ENTRY when there is none.  */
struct galena_endpoint
galena_agent_other_entry (const struct galena_world *world,
                          struct galena_endpoint entry);

/* agent_move.c */

/* Returns whether this agent accepts no new flows, because its process drains
   or its upstream is not active in the records.  */
bool galena_agent_is_leaving (const struct galena_world *world);

/* System: asks the callers of a leaving agent to move their flows.  */
void galena_agent_run_moves (struct galena_world *world);

/* agent_request.c */

void galena_agent_on_request (struct galena_world *world,
                              const struct galena_message *message);
void galena_agent_on_ack_answer (struct galena_world *world,
                                 const struct galena_message *message);
void galena_agent_on_cancel (struct galena_world *world,
                             const struct galena_message *message);

/* Ends a request with RESULT and schedules its answer; removes the request
   when its flow has ended.  */
void galena_agent_end_request (struct galena_world *world,
                               struct galena_request_handle handle,
                               enum galena_result result);

/* Marks a request's number as done, frees its buffers and removes it.  */
void galena_agent_remove_request (struct galena_world *world,
                                  struct galena_request_handle handle);

/* System: removes ended requests after their retention time, and refuses
   requests that have not started by their deadline.  */
void galena_agent_run_expire_requests (struct galena_world *world);

/* agent_answer.c */

/* Puts a request on the send list, unless it is there already.  */
void galena_agent_schedule_send (struct galena_world *world,
                                 struct galena_request_handle handle);

/* Restarts the time after which unacknowledged parts are sent again.  */
void galena_agent_restart_resend_timer (const struct galena_world *world,
                                        struct galena_request *request);

/* System: sends the parts of all requests on the send list.  */
void galena_agent_run_answer (struct galena_world *world);

/* System: schedules answers that were not acknowledged in time to be sent
   again.  */
void galena_agent_run_resend (struct galena_world *world);

/* agent_run.c */

void galena_agent_on_run_data (struct galena_world *world,
                               const struct galena_message *message);
void galena_agent_on_run_end (struct galena_world *world,
                              const struct galena_message *message);

/* Sends a cancel of a running request to the upstream, once.  */
void galena_agent_cancel_run (struct galena_world *world,
                              struct galena_request_handle handle);

/* Puts a complete request into the queue of its kind, or refuses it when the
   expected wait exceeds the time left to its deadline.  */
void galena_agent_enqueue (struct galena_world *world,
                           struct galena_request_handle handle);

/* Removes a request from the queue of its kind.  */
void galena_agent_dequeue (struct galena_world *world,
                           struct galena_request_handle handle);

/* System: sends queued requests to the upstream while it has free slots.  */
void galena_agent_run_admit (struct galena_world *world);

/* agent_peers.c */

/* System: reports the load of this agent to a few others of its service.  */
void galena_agent_run_send_load (struct galena_world *world);

/* System: removes load reports that are too old.  */
void galena_agent_run_expire_peers (struct galena_world *world);

void galena_agent_on_load (struct galena_world *world,
                           const struct galena_message *message);

/* Returns the load that the agent of UPSTREAM last reported; NULL when there
   is no report or it is too old.  */
struct galena_load_report *
galena_agent_load_report (const struct galena_world *world, uint32_t upstream);

/* agent_handoff.c */

/* Hands OPEN, to which this agent would reply with RESULT, off to a less
   loaded agent.  Returns false when there is none or the open must be answered
   here.  */
bool galena_agent_hand_off (struct galena_world *world,
                            const struct galena_message *open,
                            enum galena_result result);

/* agent_load.c */

/* System: accounts for the slot time used since the last tick.  */
void galena_agent_run_account (struct galena_world *world);

/* Returns the expected run time in milliseconds of QUEUE's kind of work.  */
double galena_agent_mean_run_ms (const struct galena_kind_queue *queue);

/* Returns the number of slots of the upstream; 0 when it has no record.  */
double galena_agent_slots (const struct galena_world *world);

/* Returns the expected wait of a new request of KIND in milliseconds.  */
uint32_t galena_agent_expected_wait_ms (const struct galena_world *world,
                                        uint16_t kind);

/* Returns the expected time in milliseconds until all queued, running and
   reserved requests of this agent have ended.  */
uint32_t galena_agent_total_wait_ms (const struct galena_world *world);

/* Returns how many milliseconds one more request of KIND adds to that.  */
uint32_t galena_agent_added_wait_ms (const struct galena_world *world,
                                     uint16_t kind);

/* Returns whether a new request of KIND would find no free slot.  */
bool galena_agent_must_wait (const struct galena_world *world, uint16_t kind);

/* Returns whether a new flow of KIND can expect to meet a deadline that is
   LEFT_MS away.  */
bool galena_agent_can_meet_deadline (const struct galena_world *world,
                                     uint16_t kind, uint32_t left_ms);

/* Updates the smoothed share of refused opens of KIND with an open that was
   REFUSED as overload or not.  */
void galena_agent_update_refused_share (struct galena_world *world,
                                        uint16_t kind, bool refused);

/* Returns whether a new flow of KIND leaves the other kinds the connections
   that are guaranteed to them.  */
bool galena_agent_has_connection (const struct galena_world *world,
                                  uint16_t kind);

/* Adds and releases the reservation of FLOW: its first request, which has not
   arrived yet, counts as a queued one.  Releasing none does nothing.  */
void galena_agent_reserve (struct galena_world *world,
                           struct galena_flow *flow);
void galena_agent_release_reservation (struct galena_world *world,
                                       struct galena_flow *flow);

/* Fills in the load fields of MESSAGE for its kind at this agent.  */
void galena_agent_fill_load (const struct galena_world *world,
                             struct galena_message *message);

static inline struct galena_kind_queue *
galena_agent_queue (const struct galena_world *world, uint16_t kind)
{
  return &world->agent->queues[kind % GALENA_KINDS_MAX];
}

static inline struct galena_request *
galena_agent_request (const struct galena_world *world,
                      struct galena_request_handle handle)
{
  return galena_table_get (world->agent->requests, handle.row);
}

static inline struct galena_flow *
galena_agent_flow (const struct galena_world *world,
                   struct galena_flow_handle handle)
{
  return galena_table_get (world->agent->flows, handle.row);
}

#endif
