/* The tables of an agent's plane: flows of the upstream beside it.  */

#ifndef GALENAFORD_AGENT_TABLES_H
#define GALENAFORD_AGENT_TABLES_H

#include "plane_private.h"

enum agent_flow_state
{
  /* A packet was handed to the upstream that may not hold the flow.  */
  AGENT_FLOW_PROBED,
  /* The upstream was given an open, and may have accepted it.  */
  AGENT_FLOW_HALF,
  /* The upstream has sent packets of the open flow.  */
  AGENT_FLOW_OPEN
};

struct agent_flow
{
  struct galena_flow_key key;
  enum agent_flow_state state;
  /* Entry that the last packet came through; none when it is unknown.  */
  struct galena_endpoint entry;
  /* Whether the entry asked who owns the flow and has no reply yet.  */
  bool asked;
  /* Whether each end has closed.  */
  bool caller_ended;
  bool upstream_ended;
  /* Whether the upstream has had data of a request and sent none since.  */
  bool running;
  /* Whether it counts as opened without a request, and since when.  */
  bool half;
  struct galena_clock half_since;
  /* Requests that ran when this one began, it too.  */
  uint32_t rank;
  /* Whether the upstream has accepted the flow, and its first sequence
     number then.  */
  bool accepted;
  uint32_t sequence;
  /* Next sequence number of the caller's data.  */
  uint32_t caller_next;
  struct galena_clock request_began;
  struct galena_clock active;
};

struct agent_tables
{
  struct galena_table *flows;
  struct galena_map *flows_by_key;
  /* Flows whose request runs.  */
  uint32_t running;
  /* Flows that were opened and whose first request has not come yet.  */
  uint32_t half;
  /* Flows that are open and not ended.  */
  uint32_t open;
  /* Requests that the upstream runs at once; 0 while unknown.  */
  uint32_t slots;
  /* Start in Unix milliseconds of the life of the upstream that entries told
     of last, and until when it counts as draining since one said so.  */
  uint64_t born_ms;
  struct galena_clock draining_until;
  /* Moving mean of the service time; 0 while unknown.  */
  double service_us;
  /* Time that slots were busy since the last answer, up to BUSY_AT.  */
  double busy_us;
  struct galena_clock busy_at;
  /* No flow is older than the process.  */
  bool complete;
  struct galena_clock started;
  /* Load as told last, and when.  */
  struct galena_load told;
  struct galena_clock told_at;
};

/* agent_flows.c */

/* Handlers of packets that entries pass on.  */
void agent_take_open (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);
void agent_take_forward (struct galena_plane *plane,
                         struct galena_endpoint peer,
                         const struct galena_peer_message *message);
void agent_take_ask (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message);
void agent_take_find (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);

/* Handler of packets that the upstream sends.  */
void agent_take_packet (struct galena_plane *plane,
                        const struct galena_packet *packet);

/* System: forgets flows without packets.  */
void agent_run_expire (struct galena_plane *plane);

/* agent_load.c */

/* Tells whether the agent takes no new flows.  */
bool agent_is_leaving (const struct galena_plane *plane);

/* Notes that a request of FLOW reached the upstream, or that its answer
   began.  */
void agent_request_began (struct galena_plane *plane, struct agent_flow *flow);
void agent_answer_began (struct galena_plane *plane, struct agent_flow *flow);

/* Notes that FLOW was opened, so that a request is about to come.  */
void agent_request_expected (struct galena_plane *plane,
                             struct agent_flow *flow);

/* Notes that FLOW is forgotten.  */
void agent_request_dropped (struct galena_plane *plane,
                            struct agent_flow *flow);

struct galena_load agent_load (const struct galena_plane *plane);

/* Sends MESSAGE with the present load to PEER.  */
void agent_reply (struct galena_plane *plane, struct galena_endpoint peer,
                  struct galena_peer_message *message);

/* Systems: tell entries the load when it changed, and from time to time.  */
void agent_run_load (struct galena_plane *plane);
void agent_run_announce (struct galena_plane *plane);

#endif
