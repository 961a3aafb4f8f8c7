/* Typed messages between callers, entries and agents.

   Messages are the input and output of decisions; packages/wire encodes
   them.  A mailbox is the table that holds the messages of one tick.  */

#ifndef GALENAFORD_MESSAGE_H
#define GALENAFORD_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>
#include <galenaford/table.h>

enum
{
  /* Maximum number of body bytes in one message.  */
  GALENA_PART_BYTES = 1024
};

/* Value of `total' while the number of parts is unknown.  */
#define GALENA_TOTAL_UNKNOWN UINT32_MAX

struct galena_endpoint
{
  /* IPv4 address in host byte order; 0 for none.  */
  uint32_t ip;
  /* Port in host byte order.  */
  uint16_t port;
};

/* Random identifier of a flow, chosen by the caller; it does not change during
   the lifetime of the flow.  */
struct galena_flow_id
{
  uint64_t high;
  uint64_t low;
};

/* One row per type: identifier, number on the wire, name.  LOST is an agent's
   reply to a packet of a flow that it does not know.  */
#define GALENA_MESSAGE_TYPES(X)                                               \
  X (GALENA_MESSAGE_OPEN, 1, "open")                                          \
  X (GALENA_MESSAGE_ACCEPT, 2, "accept")                                      \
  X (GALENA_MESSAGE_REFUSE, 3, "refuse")                                      \
  X (GALENA_MESSAGE_REQUEST, 4, "request")                                    \
  X (GALENA_MESSAGE_ACK_REQUEST, 5, "ack-request")                            \
  X (GALENA_MESSAGE_ANSWER, 6, "answer")                                      \
  X (GALENA_MESSAGE_ACK_ANSWER, 7, "ack-answer")                              \
  X (GALENA_MESSAGE_CANCEL, 8, "cancel")                                      \
  X (GALENA_MESSAGE_CLOSE, 9, "close")                                        \
  X (GALENA_MESSAGE_LOST, 10, "lost")                                         \
  X (GALENA_MESSAGE_LOAD, 11, "load")                                         \
  X (GALENA_MESSAGE_LEASE, 12, "lease")                                       \
  X (GALENA_MESSAGE_RUN, 20, "run")                                           \
  X (GALENA_MESSAGE_RUN_CANCEL, 21, "run-cancel")                             \
  X (GALENA_MESSAGE_RUN_DATA, 22, "run-data")                                 \
  X (GALENA_MESSAGE_RUN_END, 23, "run-end")

enum galena_message_type
{
#define GALENA_MESSAGE_ENUM(id, number, name) id = number,
  GALENA_MESSAGE_TYPES (GALENA_MESSAGE_ENUM)
#undef GALENA_MESSAGE_ENUM
      GALENA_MESSAGE_TYPE_END
};

/* The other side with which a process exchanges a message: callers, other
   processes of the fleet, or the application.  The application is the upstream
   beside an agent, or the program that uses a caller; run messages are
   exchanged on that link only.  */
enum galena_side
{
  GALENA_SIDE_CALLER,
  GALENA_SIDE_PEER,
  GALENA_SIDE_APPLICATION,
  GALENA_SIDE_COUNT
};

struct galena_message
{
  enum galena_message_type type;
  /* Link on which the message was received or is sent.  */
  enum galena_side side;
  /* Source or destination address of the datagram.  */
  struct galena_endpoint peer;
  /* Address of the service, as used by the caller.  */
  struct galena_endpoint service;
  /* Number of the service that accepted the flow; 0 while only its address is
     known.  Takes precedence over the address, which may be reassigned to
     another service.  */
  uint32_t service_number;
  /* Return address of the caller, filled in by the entry.  */
  struct galena_endpoint caller;
  /* Entry that sent the message, filled in when an agent forwards it.  */
  struct galena_endpoint entry;
  struct galena_flow_id flow;
  /* Assigned by the accepting agent; 0 in an open.  See tag.h.  */
  uint64_t tag;
  /* Generation of the service's record that the sender uses.  */
  uint64_t generation;
  /* Number of the request in its flow, from 1.  */
  uint32_t request;
  /* Kind of work, as numbered in the service's record.  */
  uint16_t kind;
  /* Number of agents that have forwarded this message.  */
  uint8_t hops;
  /* In an open: 1 when the tag of the flow's packets is to carry no upstream
     number, so that they are routed by hash.  */
  uint8_t hash_routed;
  /* Index of the UDP source port to send from; never on the wire.  A front end
     (see world.h) uses a different port for each index.  */
  uint8_t source_port_index;
  /* Overload level of the kind at the agent, 0 to 255.  */
  uint8_t overload;
  /* Part number of the body; in acknowledgements, the next part expected.  */
  uint32_t part;
  /* Number of parts of the whole body, or GALENA_TOTAL_UNKNOWN.  */
  uint32_t total;
  /* Bytes of an endless answer that the caller has received on earlier flows;
     the upstream resumes at this offset.  */
  uint64_t resume;
  /* Time left for the request in milliseconds.  */
  uint32_t deadline_ms;
  /* Expected wait at the sending agent in milliseconds.  */
  uint32_t wait_ms;
  /* Number of requests queued and running at the sending agent.  */
  uint32_t queue;
  /* Row of the request that a run message refers to, in the world of the agent
     or caller.  */
  struct galena_request_handle run;
  /* Only on a caller's application link: opaque value of the program; see
     galena_caller_set_user.  */
  uint64_t user;
  /* Outcome of the open or request.  */
  enum galena_result result;
  /* Borrowed; valid until the mailbox is cleared.  */
  const uint8_t *body;
  uint32_t body_size;
};

/* Returns the name of TYPE, or "unknown".  */
const char *galena_message_type_name (enum galena_message_type type);

static inline bool
galena_endpoint_equal (struct galena_endpoint a, struct galena_endpoint b)
{
  return a.ip == b.ip && a.port == b.port;
}

static inline bool
galena_flow_id_equal (struct galena_flow_id a, struct galena_flow_id b)
{
  return a.high == b.high && a.low == b.low;
}

struct galena_mailbox_options
{
  /* Maximum number of messages.  */
  uint32_t capacity;
  /* Whether bodies are referenced instead of copied; their owner then keeps
     them valid until the mailbox is cleared.  */
  bool borrow_bodies;
};

struct galena_mailbox;

/* Creates an empty mailbox in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_mailbox_create (const struct galena_mailbox_options *options,
                       struct galena_mailbox **out);

/* Destroys MAILBOX; accepts NULL.  */
void galena_mailbox_destroy (struct galena_mailbox *mailbox);

/* Copies MESSAGE, and its body unless bodies are borrowed, into MAILBOX.
   Errors: GALENA_ERR_FULL, GALENA_ERR_TOO_LARGE.  */
enum galena_result galena_mailbox_push (struct galena_mailbox *mailbox,
                                        const struct galena_message *message);

/* Returns the number of messages in MAILBOX.  */
uint32_t galena_mailbox_count (const struct galena_mailbox *mailbox);

/* Returns the number of messages that still fit into MAILBOX.  */
uint32_t galena_mailbox_room (const struct galena_mailbox *mailbox);

/* Returns message INDEX; valid until the mailbox is cleared.  */
const struct galena_message *
galena_mailbox_get (const struct galena_mailbox *mailbox, uint32_t index);

/* Removes all messages.  */
void galena_mailbox_clear (struct galena_mailbox *mailbox);

#endif
