/* Messages between the entries and agents of the data plane.  */

#ifndef GALENAFORD_PEER_H
#define GALENAFORD_PEER_H

#include <stdint.h>

#include <galenaford/directory.h>
#include <galenaford/packet.h>

enum
{
  /* Maximum number of entries listed in one message.  */
  GALENA_PEER_MEMBERS_MAX = 32
};

/* One row per type: enum value, its number on the wire, its name.  */
#define GALENA_PEER_TYPES(X)                                                  \
  /* Entry to agent: a packet that opens a flow.  */                          \
  X (GALENA_PEER_OPEN, 1, "open")                                             \
  /* Entry to agent: a packet of a flow that the agent presumably owns.  */   \
  X (GALENA_PEER_FORWARD, 2, "forward")                                       \
  /* Entry to agent, during a search: a packet for the upstream, which either \
     takes it or returns it; sent to agents that replied "unsure".  */        \
  X (GALENA_PEER_PROBE, 3, "find")                                            \
  /* Agent to entry: the upstream accepted the flow.  */                      \
  X (GALENA_PEER_OPENED, 4, "opened")                                         \
  /* Agent to entry: the upstream did not accept the flow; no request was     \
     run.  */                                                                 \
  X (GALENA_PEER_REFUSED, 5, "refused")                                       \
  /* Agent to entry: the upstream holds the flow.  */                         \
  X (GALENA_PEER_OWNED, 6, "owned")                                           \
  /* Agent to entry: the upstream does not hold the flow.  */                 \
  X (GALENA_PEER_DISOWNED, 7, "disowned")                                     \
  /* Agent to entry: the upstream held the flow before and has lost it.  */   \
  X (GALENA_PEER_LOST, 8, "lost")                                             \
  /* Agent to entry: a load report on the upstream.  */                       \
  X (GALENA_PEER_LOAD, 9, "load")                                             \
  /* To an agent or a seed: a heartbeat of the sender.  */                    \
  X (GALENA_PEER_HELLO, 10, "hello")                                          \
  /* Reply to a hello: the entries that the sender has seen lately.  */       \
  X (GALENA_PEER_MEMBERS, 11, "members")                                      \
  /* Entry to agent: asks whether the upstream holds the flow.  */            \
  X (GALENA_PEER_QUERY, 12, "ask")                                            \
  /* Agent to entry: the agent does not know; a probe would show it.  */      \
  X (GALENA_PEER_UNSURE, 13, "unsure")                                        \
  /* Reply to a hello of an entry that asks for it: agents that the sender    \
     would ask itself; agent_list.h describes the body.  */                   \
  X (GALENA_PEER_AGENTS, 14, "agents")                                        \
  /* Entry to agent: an owner query for several flows of one service address, \
     which the flow of the message names; query_batch.h describes the         \
     body.  */                                                                \
  X (GALENA_PEER_QUERY_MANY, 15, "ask-many")                                  \
  /* Agent to entry: the answers to these, in the same order.  */             \
  X (GALENA_PEER_ANSWER_MANY, 16, "answer-many")                              \
  /* Entry to agent: a packet that it sends to other agents as a probe;       \
     probe_spread.h describes the body.  */                                   \
  X (GALENA_PEER_SPREAD, 17, "spread")

enum galena_peer_type
{
#define GALENA_PEER_ENUM(value, number, name) value = number,
  GALENA_PEER_TYPES (GALENA_PEER_ENUM)
#undef GALENA_PEER_ENUM
      GALENA_PEER_TYPE_END
};

/* Returns the name of TYPE, or "unknown".  */
const char *galena_peer_type_name (enum galena_peer_type type);

/* Returns whether the body of a message of TYPE, if it has one, is a
   packet.  */
static inline bool
galena_peer_carries_packet (enum galena_peer_type type)
{
  return type != GALENA_PEER_QUERY_MANY && type != GALENA_PEER_ANSWER_MANY
         && type != GALENA_PEER_SPREAD && type != GALENA_PEER_AGENTS;
}

enum
{
  /* Utilisation of an upstream whose slots are all busy.  */
  GALENA_UTILISATION_UNIT = 1000
};

/* Load report of an agent on its upstream.  */
struct galena_load
{
  /* Queued and running requests, plus flows that were just opened and whose
     first request is expected.  */
  uint32_t pending_requests;
  /* Open flows.  */
  uint32_t flows;
  /* Mean service time of a request in microseconds, from its start to its
     answer without the time in queues; 0 when unknown.  */
  uint32_t service_us;
  /* Whether the agent refuses new flows.  */
  bool refuses_flows;
  /* Requests whose data is still arriving from the caller.  */
  uint32_t transfers;
  /* Share of the slots that were busy lately, of
     GALENA_UTILISATION_UNIT.  */
  uint32_t utilisation;
  /* Requests of the last second that ended, and those of them that failed.  */
  uint32_t finished;
  uint32_t failed;
};

/* What an entry knows of the evacuation of an agent's availability zone.  */
struct galena_zone_state
{
  bool evacuated;
  /* Position of the store at which that is known; all 0 when nothing is.  */
  struct galena_store_position position;
};

/* State of an entry as it reports it to others.  */
struct galena_entry_state
{
  /* Hash of the name of its availability zone, as galena_service_key_of
     returns it; 0 when unknown.  */
  uint64_t zone;
  /* Capacity of its link in kbit/s; 0 when unknown.  */
  uint32_t link_kbps;
  /* Whether it is in rotation.  */
  bool in_rotation;
};

struct galena_peer_message
{
  enum galena_peer_type type;
  /* Role of the sender: GALENA_ROLE_ENTRY or GALENA_ROLE_AGENT.  */
  uint32_t role;
  struct galena_flow_key flow;
  /* From an entry: service that the flow was opened for; in hello, service of
     the agent's upstream as published.  From an agent: service that its
     upstream belongs to.  */
  galena_service_key service;
  /* In hello of an entry: port of the agent's upstream as published.  From an
     agent: port at which its upstream listens.  0 when unknown.  */
  uint16_t upstream_port;
  /* Requests that the agent's upstream runs concurrently, as published.  */
  uint32_t slots;
  /* In hello: state of the agent's upstream and its start in Unix
     milliseconds, as published.  */
  enum galena_published_state published_state;
  uint64_t started_unix_ms;
  /* In hello: milliseconds for which the sender has known that start.  */
  uint32_t start_known_ms;
  /* In opened: first sequence number of the upstream.  In a query, in the
     replies to queries, probes and packets, and in lost: the sequence number
     that the caller acknowledged, which tells its flow from others of the same
     addresses.  In hello of an entry to
     another one: 1 if it asks for agents; to an agent: number of further
     registrations that may be that of its upstream.  In load: 1 if the
     upstream has ended.  In agents: 0 if the sender has just started, 1 if
     it knows all. In query-many and answer-many: number
     of the batch.  */
  uint32_t sequence;
  /* In refused: the reason.  */
  enum galena_result result;
  /* In open: the requests of the flow's route.  */
  struct galena_work_class work;
  /* In hello and open of an entry.  */
  struct galena_zone_state zone_state;
  /* In hello and open of an entry: milliseconds until the agent's upstream has
     warmed up, and the new flows per second that it takes meanwhile; 0 for no
     limit.  */
  uint32_t warm_up_ms;
  uint32_t warm_up_per_s;
  /* In open: expected time in microseconds until the best other upstream would
     answer one more request, with the way there; UINT32_MAX if there is none.
     The number of upstreams that the open was sent to before.  */
  uint32_t alternative_us;
  uint32_t attempt;
  /* In messages of agents: how long the process has run, in milliseconds.  */
  uint32_t uptime_ms;
  /* In messages of agents; what follows REFUSES_FLOWS only in load, opened
     and refused.  */
  struct galena_load load;
  /* In hello and members: state of the entry that sends it.  */
  struct galena_entry_state state;
  /* In members: IP addresses of entries.  */
  uint32_t member_count;
  uint32_t members[GALENA_PEER_MEMBERS_MAX];
  /* Packet or batch that the message carries, of SIZE bytes; borrowed.  NULL
     when it carries none.  */
  const uint8_t *bytes;
  uint32_t size;
  /* In messages that an agent receives: the same packet, decoded.  */
  struct galena_packet packet;
};

#endif
