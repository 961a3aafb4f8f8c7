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
  /* Return path: the caller and the entry last heard from.  */
  struct galena_endpoint caller;
  struct galena_endpoint entry;
  struct galena_clock last_seen;
  /* Requests of this flow in the request table.  */
  uint32_t open_requests;
  /* All request numbers up to this one are done with.  */
  uint32_t done_through;
  /* Bit N is set when request done_floor + 1 + N is done with.  */
  uint64_t done_bits;
  /* Kind that the open announced.  */
  uint16_t kind;
  /* Whether the caller has sent anything with the tag.  */
  bool confirmed;
  /* Whether the flow counts as promised in the queue of its kind.  */
  bool reserved;
  /* Whether the flow's packets carry no route in their tag.  */
  bool unrouted;
};

enum galena_request_state
{
  /* Parts of the body are still missing.  */
  GALENA_REQUEST_RECEIVING,
  /* Waits for a slot.  */
  GALENA_REQUEST_QUEUED,
  /* Handed to the upstream.  */
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
  /* Whether the request is in the list of those with parts to send.  */
  bool in_send_list;
  /* Whether a cancel was passed to the upstream.  */
  bool cancelling;
  /* Valid when ENDED: GALENA_OK, a refusal, or the unknown outcome.  */
  enum galena_result result;
  struct galena_clock deadline;
  /* When its first part came.  */
  struct galena_clock arrived;
  struct galena_clock queued;
  struct galena_clock started;
  /* When an ended request is forgotten without an acknowledgement.  */
  struct galena_clock retain_until;
  /* When unacknowledged parts are sent again, and how often they were since
     the last acknowledgement.  */
  struct galena_clock resend_at;
  uint32_t resends;
  /* Parts of the body that came out of order.  */
  struct galena_stream received;
  /* Bytes of an endless answer that the caller has had before.  */
  uint64_t resume;
  /* Body so far; owned.  */
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
  /* Flows that were opened for the kind.  */
  uint32_t flows;
  /* Accepted flows whose first request has not come yet.  */
  uint32_t reserved;
  /* Smoothed run time in milliseconds.  */
  double run_ms;
  /* Smoothed number of slots in use.  */
  double slots_used;
  /* Slot time in milliseconds that the minimum share still owes the kind;
     negative for what the kind lately used beyond it.  */
  double credit_ms;
  /* Smoothed share of opens and requests refused as overload, 0 to 1.  */
  double refused_share;
};

/* Another agent's word that it owns flows of a bucket whose chain it has
   left; packets of unknown flows of the bucket are copied to it.  */
struct galena_lease
{
  uint32_t bucket;
  /* Place among the leases on the bucket.  */
  uint32_t position;
  struct galena_endpoint owner;
  struct galena_clock until;
};

/* What the agent has seen of its upstream lately.  */
struct galena_upstream_health
{
  /* Requests that the upstream refused in a row.  */
  uint32_t refusals;
  /* While in the future, no flow is accepted.  */
  struct galena_clock backoff_until;
  /* How long it stays closed after the next refusal, in milliseconds.  */
  uint32_t backoff_ms;
};

/* An entry that has sent something lately.  */
struct galena_known_entry
{
  struct galena_endpoint address;
  struct galena_clock last_seen;
};

enum
{
  /* Entries remembered for answers whose own entry may be gone.  */
  GALENA_KNOWN_ENTRIES = 16
};

/* What another agent of the service told of its load.  */
struct galena_load_peer
{
  uint32_t upstream;
  /* Expected wait over all kinds in milliseconds.  */
  uint32_t wait_ms;
  struct galena_clock last_seen;
};

struct galena_agent
{
  struct galena_table *peers;
  struct galena_map *peers_by_upstream;
  struct galena_table *flows;
  struct galena_map *flows_by_id;
  struct galena_table *requests;
  struct galena_map *requests_by_number;
  struct galena_kind_queue queues[GALENA_KINDS_MAX];
  /* Requests that run and hold a slot.  */
  uint32_t running;
  /* When slot time was last accounted for.  */
  struct galena_clock accounted;
  /* Requests with answer parts to send in this tick.  */
  struct galena_request_handle *send_list;
  uint32_t send_list_count;
  uint64_t body_bytes;
  struct galena_upstream_health health;
  struct galena_table *leases;
  /* Bucket and place among its owners to lease.  */
  struct galena_map *leases_by_bucket;
  /* Buckets listed for other agents, while leases are renewed.  */
  struct galena_table *lease_batches;
  struct galena_clock next_lease_renewal;
  /* Generation of the record last seen, and when it was first seen.  */
  uint64_t generation;
  struct galena_clock generation_since;
  const struct galena_admission_policy *admission;
  struct galena_known_entry known_entries[GALENA_KNOWN_ENTRIES];
  /* Place in the flow table up to which this round of moves has come, and
     when the next round may begin.  */
  uint32_t move_cursor;
  struct galena_clock next_move_round;
};

enum
{
  /* Most bytes of one request's body.  */
  GALENA_BODY_BYTES_MAX = 1024 * 1024
};

/* agent.c */

/* Returns the record of the upstream beside this agent, or NULL.  */
const struct galena_upstream *
galena_agent_upstream (const struct galena_world *world);

/* Returns the service of the upstream beside this agent, or NULL.  */
const struct galena_service *
galena_agent_service (const struct galena_world *world);

/* Returns the number of that service when it has KIND, or 0.  */
uint32_t galena_agent_service_number (const struct galena_world *world,
                                      uint16_t kind);

/* Returns an answer to MESSAGE, addressed along its return path, with the
   present load of KIND.  */
struct galena_message galena_agent_reply (const struct galena_world *world,
                                          const struct galena_message *message,
                                          enum galena_message_type type);

/* agent_flow.c */

void galena_agent_on_open (struct galena_world *world,
                           const struct galena_message *message);
void galena_agent_on_close (struct galena_world *world,
                            const struct galena_message *message);

/* Finds the flow of MESSAGE by id and whole tag and notes its return path;
   sends LOST and returns NULL when there is none.  */
struct galena_flow *
galena_agent_find_flow (struct galena_world *world,
                        const struct galena_message *message,
                        struct galena_flow_handle *handle);

/* Gives flows the time back in which this agent could not hear them.  */
void galena_agent_on_pause (struct galena_world *world, int64_t gap_ms);

/* Ends flows that have been silent too long.  */
void galena_agent_run_expire_flows (struct galena_world *world);

/* Tells whether request NUMBER of FLOW was done with before.  */
bool galena_flow_request_is_done (const struct galena_flow *flow,
                                  uint32_t number);

/* Notes that request NUMBER of FLOW is done with.  */
void galena_flow_set_request_done (struct galena_flow *flow, uint32_t number);

/* Tells the caller of MESSAGE that its flow is not known.  */
void galena_agent_send_lost (struct galena_world *world,
                             const struct galena_message *message);

/* forward.c */

/* Tells whether flows of BUCKET without a route may be accepted here.  */
bool galena_agent_is_candidate (const struct galena_world *world,
                                uint32_t bucket);

/* Passes a packet of an unknown flow to the next agent that may know it; when
   there is none, tells the caller that the flow is lost.  */
void galena_agent_forward (struct galena_world *world,
                           const struct galena_message *message);

/* agent_health.c */

enum
{
  /* Expected wait that an agent tells while its upstream is closed.  */
  GALENA_WAIT_UNAVAILABLE_MS = 60000
};

/* Notes that the upstream ended a request with RESULT.  */
void galena_agent_update_health (struct galena_world *world,
                                 enum galena_result result);

/* Tells whether the upstream can be expected to take a new flow's work.  */
bool galena_agent_upstream_is_available (const struct galena_world *world);

/* Notes that a flow is accepted while the upstream is on trial.  */
void galena_agent_begin_trial (struct galena_world *world);

/* lease.c */

enum
{
  /* Most leases held on one bucket.  */
  GALENA_LEASES_PER_BUCKET = 4
};

/* Creates and destroys the tables of leases.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result galena_agent_create_leases (struct galena_world *world);
void galena_agent_destroy_leases (struct galena_agent *agent);

/* Returns the lease at PLACE among those on BUCKET, or NULL.  */
const struct galena_lease *
galena_agent_lease (const struct galena_agent *agent, uint32_t bucket,
                    uint32_t place);

/* Takes the buckets that another agent lists.  */
void galena_agent_on_lease (struct galena_world *world,
                            const struct galena_message *message);

/* Notes record changes, and renews the leases that this agent's flows need. */
void galena_agent_run_renew_leases (struct galena_world *world);

/* Drops leases that were not renewed.  */
void galena_agent_run_expire_leases (struct galena_world *world);

/* agent_entry.c */

/* Remembers that ENTRY is alive.  */
void galena_agent_update_known_entry (struct galena_world *world,
                                      struct galena_endpoint entry);

/* Returns the entry last heard from that is not ENTRY; ENTRY when there is
   none.  */
struct galena_endpoint
galena_agent_other_entry (const struct galena_world *world,
                          struct galena_endpoint entry);

/* agent_move.c */

/* Whether this agent takes no new flows, now or for good.  */
bool galena_agent_is_leaving (const struct galena_world *world);

/* Asks the callers of a leaving agent to move their flows.  */
void galena_agent_run_moves (struct galena_world *world);

/* agent_request.c */

void galena_agent_on_request (struct galena_world *world,
                              const struct galena_message *message);
void galena_agent_on_ack_answer (struct galena_world *world,
                                 const struct galena_message *message);
void galena_agent_on_cancel (struct galena_world *world,
                             const struct galena_message *message);

/* Ends a request with RESULT and lets its answer be sent.  */
void galena_agent_end_request (struct galena_world *world,
                               struct galena_request_handle handle,
                               enum galena_result result);

/* Removes a request and all that it holds.  */
void galena_agent_remove_request (struct galena_world *world,
                                  struct galena_request_handle handle);

/* Forgets ended requests and refuses queued ones past their deadline.  */
void galena_agent_run_expire_requests (struct galena_world *world);

/* agent_answer.c */

/* Puts a request on the list of those with something to send.  */
void galena_agent_schedule_send (struct galena_world *world,
                                 struct galena_request_handle handle);

/* Has what is not acknowledged be sent again after the usual wait.  */
void galena_agent_restart_resend_timer (const struct galena_world *world,
                                        struct galena_request *request);

/* Sends the parts of all requests on that list.  */
void galena_agent_run_answer (struct galena_world *world);

/* Marks answers that were not acknowledged in time to be sent again.  */
void galena_agent_run_resend (struct galena_world *world);

/* agent_run.c */

void galena_agent_on_run_data (struct galena_world *world,
                               const struct galena_message *message);
void galena_agent_on_run_end (struct galena_world *world,
                              const struct galena_message *message);

/* Passes a cancel of a running request to the upstream, once.  */
void galena_agent_cancel_run (struct galena_world *world,
                              struct galena_request_handle handle);

/* Puts a complete request into the queue of its kind, or refuses it.  */
void galena_agent_enqueue (struct galena_world *world,
                           struct galena_request_handle handle);

/* Takes a request out of the queue of its kind.  */
void galena_agent_dequeue (struct galena_world *world,
                           struct galena_request_handle handle);

/* Hands queued requests to the upstream while it has room.  */
void galena_agent_run_admit (struct galena_world *world);

/* agent_peers.c */

/* System: tells the load of this agent to a few others of its service.  */
void galena_agent_run_send_load (struct galena_world *world);

/* System: drops what was told too long ago.  */
void galena_agent_run_expire_peers (struct galena_world *world);

void galena_agent_on_load (struct galena_world *world,
                           const struct galena_message *message);

/* Returns what the agent of UPSTREAM lately told, or NULL.  */
struct galena_load_peer *galena_agent_peer (const struct galena_world *world,
                                            uint32_t upstream);

/* agent_handoff.c */

/* Passes OPEN, which this agent judged with RESULT, to a less loaded agent;
   false when there is none.  */
bool galena_agent_hand_off (struct galena_world *world,
                            const struct galena_message *open,
                            enum galena_result result);

/* agent_load.c */

/* Accounts for the slot time used since the last tick.  */
void galena_agent_run_account (struct galena_world *world);

/* Returns the run time to expect of QUEUE's kind in milliseconds.  */
double galena_agent_expected_run_ms (const struct galena_kind_queue *queue);

/* Returns the slots that requests may hold at once.  */
double galena_agent_slots (const struct galena_world *world);

/* Returns the expected wait of a new request of KIND in milliseconds.  */
uint32_t galena_agent_expected_wait_ms (const struct galena_world *world,
                                        uint16_t kind);

/* Returns the time in milliseconds until all that this agent holds is done. */
uint32_t galena_agent_total_wait_ms (const struct galena_world *world);

/* Returns by how much one request of KIND lengthens that.  */
uint32_t galena_agent_added_wait_ms (const struct galena_world *world,
                                     uint16_t kind);

/* Tells whether a new request of KIND finds no free slot.  */
bool galena_agent_must_wait (const struct galena_world *world, uint16_t kind);

/* Tells whether a new flow of KIND can expect to meet a deadline that is
   LEFT_MS away.  */
bool galena_agent_can_meet_deadline (const struct galena_world *world,
                                     uint16_t kind, uint32_t left_ms);

/* Notes for the overload level whether an open of KIND was refused.  */
void galena_agent_update_refused_share (struct galena_world *world,
                                        uint16_t kind, bool refused);

/* Tells whether a new flow of KIND leaves the other kinds the connections
   that are kept for them.  */
bool galena_agent_has_connection (const struct galena_world *world,
                                  uint16_t kind);

/* Counts FLOW as a request to come, or no more.  */
void galena_agent_reserve (struct galena_world *world,
                           struct galena_flow *flow);
void galena_agent_release_reservation (struct galena_world *world,
                                       struct galena_flow *flow);

/* Fills in the load of MESSAGE's kind at this agent.  */
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
