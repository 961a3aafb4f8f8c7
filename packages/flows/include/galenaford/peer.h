/* Typed messages between entries and agents of the data plane.  */

#ifndef GALENAFORD_PEER_H
#define GALENAFORD_PEER_H

#include <stdint.h>

#include <galenaford/directory.h>
#include <galenaford/packet.h>

enum
{
  /* Most entries named in one message.  */
  GALENA_PEER_MEMBERS_MAX = 32
};

/* One row per type: name, number, short word.  */
#define GALENA_PEER_TYPES(X)                                                  \
  /* Entry to agent: a packet that opens a flow.  */                          \
  X (GALENA_PEER_OPEN, 1, "open")                                             \
  /* Entry to agent: a packet of a flow that the agent owns, it seems.  */    \
  X (GALENA_PEER_FORWARD, 2, "forward")                                       \
  /* Entry to agent: a packet of a flow whose owner is looked for, to an      \
     agent that is unsure.  */                                                \
  X (GALENA_PEER_FIND, 3, "find")                                             \
  /* Agent to entry: the upstream accepted the flow.  */                      \
  X (GALENA_PEER_OPENED, 4, "opened")                                         \
  /* Agent to entry: the upstream did not accept the flow; nothing ran.  */   \
  X (GALENA_PEER_REFUSED, 5, "refused")                                       \
  /* Agent to entry: the upstream holds the flow.  */                         \
  X (GALENA_PEER_OWNED, 6, "owned")                                           \
  /* Agent to entry: the upstream does not hold the flow.  */                 \
  X (GALENA_PEER_DISOWNED, 7, "disowned")                                     \
  /* Agent to entry: the upstream held the flow and has lost it.  */          \
  X (GALENA_PEER_LOST, 8, "lost")                                             \
  /* Agent to entry: what the agent sees of its upstream.  */                 \
  X (GALENA_PEER_LOAD, 9, "load")                                             \
  /* To an agent or a seed: the sender is there.  */                          \
  X (GALENA_PEER_HELLO, 10, "hello")                                          \
  /* Reply to a hello: the entries that the sender knows.  */                 \
  X (GALENA_PEER_MEMBERS, 11, "members")                                      \
  /* Entry to agent: whether the upstream holds the flow.  */                 \
  X (GALENA_PEER_ASK, 12, "ask")                                              \
  /* Agent to entry: only the upstream can tell that, by a packet.  */        \
  X (GALENA_PEER_UNSURE, 13, "unsure")

enum galena_peer_type
{
#define GALENA_PEER_ENUM(name, number, word) name = number,
  GALENA_PEER_TYPES (GALENA_PEER_ENUM)
#undef GALENA_PEER_ENUM
      GALENA_PEER_TYPE_END
};

/* Returns the short word of TYPE, or "unknown".  */
const char *galena_peer_word (enum galena_peer_type type);

/* What an agent sees of its upstream.  */
struct galena_load
{
  /* Requests whose answer has not begun, and flows that were opened and are
     about to send one.  */
  uint32_t running;
  /* Open flows.  */
  uint32_t flows;
  /* Mean time from a request's start to its answer, in microseconds, without
     the time in queues; 0 when unknown.  */
  uint32_t service_us;
  /* Whether the agent takes no new flows.  */
  bool leaving;
};

/* What an entry tells others of itself.  */
struct galena_entry_state
{
  /* Key of its availability zone, made as a service's; 0 when unknown.  */
  uint64_t zone;
  /* Capacity of its link; 0 when unknown.  */
  uint32_t link_kbps;
  /* Whether it is in rotation.  */
  bool ready;
};

struct galena_peer_message
{
  enum galena_peer_type type;
  /* Role of the sender: GALENA_ROLE_ENTRY or GALENA_ROLE_AGENT.  */
  uint32_t role;
  struct galena_flow_key flow;
  /* Service that an entry means, or that an agent's upstream belongs to.  */
  galena_service_key service;
  /* Requests that the agent's upstream runs at once, as published.  */
  uint32_t slots;
  /* State and start in Unix milliseconds of the agent's upstream, as
     published, in hello.  */
  enum galena_listing listing;
  uint64_t born_ms;
  /* First sequence number of the upstream, in opened; what the caller
     acknowledged last, in ask.  */
  uint32_t sequence;
  /* Reason, in refused.  */
  enum galena_result result;
  struct galena_load load;
  /* The sender, in hello and members of entries.  */
  struct galena_entry_state state;
  /* Addresses of entries.  */
  uint32_t member_count;
  uint32_t members[GALENA_PEER_MEMBERS_MAX];
  /* The whole packet; borrowed.  NULL when the message carries none.  */
  const uint8_t *bytes;
  uint32_t size;
  /* The same packet decoded, in messages received by an agent.  */
  struct galena_packet packet;
};

#endif
