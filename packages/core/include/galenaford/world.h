/* A world: the tables of one role and the systems that run over them.

   The front end is the code around a world that does the I/O: it pushes
   received messages into the inbox, runs a tick, and sends the messages of the
   outbox.  A world reads no clock, opens no socket and starts no thread; only
   one thread may use it at a time.  */

#ifndef GALENAFORD_WORLD_H
#define GALENAFORD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/audit.h>
#include <galenaford/clock.h>
#include <galenaford/config.h>
#include <galenaford/counters.h>
#include <galenaford/message.h>
#include <galenaford/result.h>

enum galena_role
{
  GALENA_ROLE_ENTRY,
  GALENA_ROLE_AGENT,
  GALENA_ROLE_CALLER,
  /* Number of roles; stands for an unknown role in struct galena_peer.  */
  GALENA_ROLE_COUNT
};

struct galena_world_options
{
  enum galena_role role;
  /* Seed of the world's random numbers and hash tables.  */
  uint64_t seed;
  /* Agent only: number of the upstream beside it.  */
  uint32_t upstream;
  /* Agent only: random at each start, and different from that of the previous
     start.  */
  uint32_t incarnation;
  /* Caller only: address of the network fabric that distributes packets over
     the entries; all packets are sent to it.  */
  struct galena_endpoint fabric;
  /* Maximum number of flows (agent, caller) or pending opens (entry).  */
  uint32_t flows;
  /* Maximum number of requests (agent, caller).  */
  uint32_t requests;
  /* Maximum number of messages in one tick, in each direction.  */
  uint32_t messages;
  /* Entry only: whether bodies are referenced instead of copied.  The front
     end then keeps the bodies that it pushed until it has sent the outbox.  */
  bool borrow_bodies;
  /* Names of the policies for the choice of an upstream and for admission, or
     NULL for the defaults; see policies.h.  */
  const char *choice;
  const char *admission;
};

struct galena_world;

/* Creates a world in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_NOT_FOUND for an unknown policy,
   GALENA_ERR_MEMORY.  */
enum galena_result
galena_world_create (const struct galena_world_options *options,
                     struct galena_world **out);

/* Destroys WORLD; accepts NULL.  */
void galena_world_destroy (struct galena_world *world);

/* Returns the mailbox for received messages, filled before a tick.  */
struct galena_mailbox *galena_world_inbox (struct galena_world *world);

/* Returns the mailbox of messages to be sent after a tick; the next tick
   clears it.  */
const struct galena_mailbox *
galena_world_outbox (const struct galena_world *world);

/* Runs every system that is due at NOW with the records of CONFIG, then
   clears the inbox.  CONFIG is only read during the call.  */
void galena_world_tick (struct galena_world *world, struct galena_clock now,
                        const struct galena_config *config);

/* Returns the time of the last tick.  */
struct galena_clock galena_world_now (const struct galena_world *world);

/* Returns when the next tick is due if no message arrives.  */
struct galena_clock galena_world_due (const struct galena_world *world);

/* Agent only: returns the whole body of the request that a RUN message
   refers to, with its size in bytes in *SIZE; NULL when the request no longer
   exists.  Valid until the next tick.  */
const uint8_t *galena_world_run_body (const struct galena_world *world,
                                      struct galena_request_handle run,
                                      uint32_t *size);

/* Agent only: returns the number of answer bytes that can be appended to the
   request before its caller acknowledges some; SIZE_MAX when the request no
   longer exists.  */
size_t galena_world_run_room (const struct galena_world *world,
                              struct galena_request_handle run);

/* Agent and entry: starts a graceful shutdown.  An agent then refuses new
   flows; an entry continues, as it holds no flows.  */
void galena_world_drain (struct galena_world *world);

/* Returns whether nothing is in progress that a stop would interrupt.  */
bool galena_world_idle (const struct galena_world *world);

const struct galena_counters *
galena_world_counters (const struct galena_world *world);

const struct galena_audit *
galena_world_audit (const struct galena_world *world);

/* Numbers of rows in use, for reports and leak checks.  */
struct galena_world_usage
{
  uint32_t flows;
  uint32_t requests;
  uint32_t running;
  uint32_t queued;
  uint32_t pending_opens;
  uint32_t pending_closes;
  uint32_t hints;
  /* Bytes of request bodies and of answers that are kept.  */
  uint64_t body_bytes;
};

void galena_world_usage (const struct galena_world *world,
                         struct galena_world_usage *usage);

#endif
