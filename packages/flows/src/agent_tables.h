/* The tables of an agent's plane: the flows of the upstream on its
   instance.  */

#ifndef GALENAFORD_AGENT_TABLES_H
#define GALENAFORD_AGENT_TABLES_H

#include <galenaford/rate_window.h>

#include "agent_transfer.h"
#include "plane_private.h"
#include "upstream_health.h"

struct agent_requests;

enum agent_flow_state
{
  /* The upstream was given a packet; it is not known yet whether it holds the
     flow.  */
  AGENT_FLOW_UNCONFIRMED,
  /* The upstream has returned a packet of the flow, so it does not hold it
     unless it is opened there again.  */
  AGENT_FLOW_NOT_HELD,
  /* The upstream was given an open; the caller has not acknowledged its
     acceptance yet.  */
  AGENT_FLOW_HALF_OPEN,
  /* The upstream has sent packets of the open flow.  */
  AGENT_FLOW_OPEN
};

/* What suggests that the upstream has ended, weakest first.  */
enum agent_evidence
{
  EVIDENCE_NONE,
  /* It is not published.  */
  EVIDENCE_UNPUBLISHED,
  /* It is not published any more and was draining before.  */
  EVIDENCE_LEFT
};

struct agent_flow
{
  struct galena_flow_key key;
  enum agent_flow_state state;
  /* Its requests, as the entry that opened it knows them.  */
  struct galena_work_class work;
  /* Entry that sent the last packet; ip 0 when unknown.  */
  struct galena_endpoint entry;
  /* Whether the entry sent a probe that has no reply yet, and the sequence
     number that the caller acknowledges in it.  */
  bool probe_pending;
  uint32_t probe_acknowledged;
  /* Whether each end has closed.  */
  bool caller_ended;
  bool upstream_ended;
  /* Whether a request runs: the upstream received data of it and has sent
     none since.  */
  bool running;
  /* The request whose data is still arriving, which occupies no slot.  */
  struct agent_transfer transfer;
  /* Its row in the table of held requests, or none.  */
  struct galena_handle held;
  /* Whether it counts as opened and waiting for its first request, and since
     when.  */
  bool awaiting_request;
  struct galena_clock opened_at;
  /* Requests that ran when this one began, including it, and the number of
     finished ones at that time.  */
  uint32_t queue_position;
  uint32_t finished_before;
  /* Whether the upstream has accepted the flow, and its first sequence
     number.  */
  bool accepted;
  uint32_t sequence;
  /* Whether packets of the upstream were seen, the lowest sequence number that
     it can have used, and the next one after those seen.  */
  bool upstream_seen;
  uint32_t upstream_first;
  uint32_t upstream_next;
  /* Next sequence number of the caller's data.  */
  uint32_t caller_next;
  /* Sequence numbers of the caller.  */
  struct galena_caller_numbers numbers;
  struct galena_clock request_began;
  /* When the last data of its request came, and whether the request was
     counted as overdue.  */
  struct galena_clock data_at;
  bool overdue;
  /* Whether its open was counted as not accepted in time.  */
  bool open_overdue;
  struct galena_clock last_active;
};

struct agent_tables
{
  struct galena_table *flows;
  struct galena_map *flows_by_key;
  /* Flows with a queued or running request.  */
  uint32_t running_count;
  /* Number of requests that were answered or dropped, except those that were
     shed; it wraps.  */
  uint32_t finished_requests;
  /* Flows that were opened and wait for their first request.  */
  uint32_t awaiting_count;
  /* Flows with a request whose data is still arriving.  */
  uint32_t transfer_count;
  /* NULL without load control.  */
  struct agent_requests *requests;
  /* Open flows that the upstream has not ended.  */
  uint32_t open_count;
  /* Requests that the upstream runs concurrently; 0 while unknown.  */
  uint32_t slots;
  /* Start in Unix milliseconds of the newest incarnation of the upstream that
     entries have reported, until when that report is valid, and until when the
     upstream counts as draining.  */
  uint64_t upstream_started_unix_ms;
  struct galena_clock start_valid_until;
  struct galena_clock draining_until;
  /* Whether the last state that was published is draining.  */
  bool was_draining;
  /* What entries have reported that suggests the end of the upstream, since
     when, and until when that is valid.  */
  enum agent_evidence evidence;
  struct galena_clock evidence_since;
  struct galena_clock evidence_until;
  /* Moving average of the service time in microseconds, 0 while unknown, and
     when the last answer was added to it.  */
  double service_us;
  struct galena_clock estimated_at;
  /* Sum over all slots of the time in microseconds that they were busy since
     the last answer, counted until BUSY_COUNTED_UNTIL.  */
  double busy_us;
  struct galena_clock busy_counted_until;
  /* Smoothed share of the slots that are busy.  */
  double utilisation;
  /* Packets that a running upstream replies to or returns, given to it since
     its last packet, and the milliseconds in which this process has run since
     the first of them, counted until SILENCE_COUNTED_UNTIL.  */
  uint32_t unanswered_packets;
  int64_t unanswered_ms;
  struct galena_clock silence_counted_until;
  /* Whether the agent has seen all flows that the upstream can hold, because
     it has run for longer than a flow lasts, or because the upstream had none
     when it started.  */
  bool knows_all_flows;
  /* The last start of the upstream that was reported, and whether it is one
     with this process or later.  */
  uint64_t judged_start_unix_ms;
  bool started_with_upstream;
  /* When this process started.  */
  struct galena_clock started;
  /* The newest that entries have reported on the evacuation of the zone.  */
  struct galena_zone_state zone_state;
  /* Until when the upstream warms up, as entries report, the new flows per
     second that it takes meanwhile, and those that it was given lately.  */
  struct galena_clock warm_up_until;
  uint32_t warm_up_per_s;
  struct galena_rate_window opens;
  /* Outcomes of requests.  Time before WAITS_FROM does not count for overdue
     ones, since the process was paused.  */
  struct upstream_health health;
  struct galena_clock health_run_at;
  struct galena_clock waits_from;
  /* Moving average of the time in milliseconds from a request that finds a
     free slot to its answer, 0 while unknown, and the number of successive
     answers that were far quicker.  */
  double usual_ms;
  uint32_t quick_in_row;
  /* Load that was reported last.  */
  struct galena_load reported;
};

/* agent_open.c */

/* Handler of opens from entries.  */
void agent_on_open (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message);

/* Tells the entry at ENTRY that the flow KEY was not opened, for the reason
   RESULT.  */
void agent_refuse (struct galena_plane *plane, struct galena_endpoint entry,
                   struct galena_flow_key key, enum galena_result result);

/* Applies what an entry reports on the evacuation of the upstream's zone.  */
void agent_apply_zone_state (struct galena_plane *plane,
                             struct galena_zone_state state);

/* Applies what MESSAGE of an entry says of the warm-up of the upstream.  */
void agent_apply_warm_up (struct galena_plane *plane,
                          const struct galena_peer_message *message);

/* agent_flows.c */

/* Returns whether the agent has seen all flows that the upstream can hold.  */
bool agent_knows_all_flows (const struct galena_plane *plane);

struct agent_flow *agent_flow_find (const struct galena_plane *plane,
                                    struct galena_flow_key key,
                                    struct galena_handle *handle);

/* Adds the flow KEY, which is not in the table; NULL when that is full.  */
struct agent_flow *agent_flow_add (struct galena_plane *plane,
                                   struct galena_flow_key key,
                                   enum agent_flow_state state);
void agent_flow_remove (struct galena_plane *plane, struct agent_flow *flow,
                        struct galena_handle handle);

/* Returns whether PACKET, an opening packet, opens a new flow with the key of
   FLOW, which the upstream does not hold, which has ended, or which was opened
   by another packet: its caller uses the port again.  */
bool agent_flow_opens_again (const struct agent_flow *flow,
                             const struct galena_packet *packet);

/* Updates the state of FLOW, and of its request, from PACKET of the caller,
   which the upstream is given.  */
void agent_note_caller_packet (struct galena_plane *plane,
                               struct agent_flow *flow,
                               const struct galena_packet *packet);

/* Gives the packet in MESSAGE to the upstream.  */
void agent_send_to_upstream (struct galena_plane *plane,
                             const struct galena_peer_message *message);

/* Records a message from the entry at PEER, and the upstream's slots that it
   reports.  */
struct member *agent_note_entry (struct galena_plane *plane,
                                 struct galena_endpoint peer,
                                 const struct galena_peer_message *message);

/* Handlers of messages from entries about flows that may be open.  */
void agent_on_forward (struct galena_plane *plane, struct galena_endpoint peer,
                       const struct galena_peer_message *message);
void agent_on_query (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message);
void agent_on_query_many (struct galena_plane *plane,
                          struct galena_endpoint peer,
                          const struct galena_peer_message *message);
void agent_on_spread (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);
void agent_on_probe (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message);

/* Handler of packets from the upstream.  */
void agent_on_packet (struct galena_plane *plane,
                      const struct galena_packet *packet);

/* System: removes flows whose idle timeout has passed.  */
void agent_run_expire (struct galena_plane *plane);

/* agent_silence.c */

/* Returns whether the upstream has left so many packets unanswered that it
   holds no flow any more, although its agent runs.  */
bool agent_upstream_is_silent (const struct galena_plane *plane);

/* Returns whether the instance goes away: the upstream has left the platform
   for good, and the agent is being stopped.  */
bool agent_upstream_has_ended (const struct galena_plane *plane);

/* Counts PACKET, which the upstream is given, if it calls for a reply: an
   upstream takes packets without data silently.  */
void agent_note_unanswered (struct galena_plane *plane,
                            const struct galena_packet *packet);

/* System: counts for how long the upstream has left packets unanswered.  */
void agent_run_silence (struct galena_plane *plane);

/* agent_health.c: all are without effect unless load control is on.  */

/* Records that data of FLOW's request came; IS_NEW says whether it was none
   that came before.  */
void agent_health_note_data (struct galena_plane *plane,
                             struct agent_flow *flow, bool is_new);

/* Records that a request of FLOW begins.  */
void agent_health_note_begin (struct agent_flow *flow);

/* Records that the answer to FLOW's request begins.  Returns whether it is
   so quick that the upstream can't have done the work.  */
bool agent_health_note_answer (struct galena_plane *plane,
                               struct agent_flow *flow);

/* Record that the upstream reset FLOW, or returned its opening packet.  */
void agent_health_note_reset (struct galena_plane *plane,
                              const struct agent_flow *flow);
void agent_health_note_returned_open (struct galena_plane *plane,
                                      const struct agent_flow *flow);

/* System: counts requests and opens that have waited too long.  */
void agent_run_health (struct galena_plane *plane);

/* agent_load.c */

/* Returns whether the agent refuses new flows: it or its upstream drains.  */
bool agent_refuses_flows (const struct galena_plane *plane);

/* Returns whether PACKET of the caller of FLOW has data that no packet before
   it had.  */
bool agent_has_new_data (const struct agent_flow *flow,
                         const struct galena_packet *packet);

/* Records PACKET, data of the caller of FLOW: it begins, continues or
   completes a request, or fills a gap in one.  */
void agent_note_request_packet (struct galena_plane *plane,
                                struct agent_flow *flow,
                                const struct galena_packet *packet);

/* Record that a request of FLOW reached the upstream, or that its answer
   began.  */
void agent_request_began (struct galena_plane *plane, struct agent_flow *flow);
void agent_answer_began (struct galena_plane *plane, struct agent_flow *flow);

/* Records that FLOW was opened, so that its first request is expected.  */
void agent_request_expected (struct galena_plane *plane,
                             struct agent_flow *flow);

/* Records that FLOW has no request any more, neither running nor expected.  */
void agent_request_dropped (struct galena_plane *plane,
                            struct agent_flow *flow);

struct galena_load agent_load (const struct galena_plane *plane);

/* Sends MESSAGE with the current load to PEER.  Returns the output; NULL when
   PEER is unknown or the maximum of the tick is reached.  */
struct galena_output *agent_reply (struct galena_plane *plane,
                                   struct galena_endpoint peer,
                                   struct galena_peer_message *message);

/* System: sends load reports to entries that sent an open lately, when the
   load has changed.  */
void agent_run_load (struct galena_plane *plane);

/* System: sends load reports to entries periodically.  */
void agent_run_periodic_load (struct galena_plane *plane);

#endif
