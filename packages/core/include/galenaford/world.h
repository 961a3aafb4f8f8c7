/* A world: the tables of one role and the systems that run over them.

   A front end pushes received messages, runs a tick, and sends what the
   outbox then holds.  A world reads no clock, opens no socket and starts no
   thread; one thread uses it at a time.  */

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
  GALENA_ROLE_COUNT
};

struct galena_world_options
{
  enum galena_role role;
  /* Seed of the world's random numbers and hash tables.  */
  uint64_t seed;
  /* Agent only: number of the upstream beside it.  */
  uint32_t upstream;
  /* Agent only: drawn at each start, never twice the same in a row.  */
  uint32_t incarnation;
  /* Caller only: where packets are sent to.  */
  struct galena_endpoint fabric;
  /* Most flows (agent, caller) or pending opens (entry).  */
  uint32_t flows;
  /* Most requests held at once (agent, caller).  */
  uint32_t requests;
  /* Most messages in one tick, each way.  */
  uint32_t messages;
  /* Entry only: whether bodies are borrowed.  The front end then keeps the
     bodies that it pushed until it has sent the outbox.  */
  bool borrow_bodies;
  /* Names of policies, or NULL for the default; see policy.h.  */
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

/* Returns where received messages are pushed before a tick.  */
struct galena_mailbox *galena_world_inbox (struct galena_world *world);

/* Returns what the last tick sends; cleared by the next tick.  */
const struct galena_mailbox *
galena_world_outbox (const struct galena_world *world);

/* Runs every system that is due at NOW with the records of CONFIG, then
   clears the inbox.  CONFIG is read during the call only.  */
void galena_world_tick (struct galena_world *world, struct galena_clock now,
                        const struct galena_config *config);

/* Returns the time of the last tick.  */
struct galena_clock galena_world_now (const struct galena_world *world);

/* Returns when the next tick is due if no message arrives.  */
struct galena_clock galena_world_due (const struct galena_world *world);

/* Agent only: the whole body of a request that a RUN message named; NULL
   when the request is gone.  Valid until the next tick.  */
const uint8_t *galena_world_run_body (const struct galena_world *world,
                                      struct galena_request_handle run,
                                      uint32_t *size);

/* Agent only: answer bytes that the request can take before its caller
   acknowledges some; a gone request takes any number.  */
size_t galena_world_run_room (const struct galena_world *world,
                              struct galena_request_handle run);

/* Agent and entry: asks the world to take no new flows.  An agent refuses
   them; an entry goes on, as it holds no flow.  */
void galena_world_drain (struct galena_world *world);

/* Tells whether nothing is in progress that a stop would cut.  */
bool galena_world_idle (const struct galena_world *world);

const struct galena_counters *
galena_world_counters (const struct galena_world *world);

const struct galena_audit *
galena_world_audit (const struct galena_world *world);

/* Rows in use, for reports and for checks that nothing leaks.  */
struct galena_world_usage
{
  uint32_t flows;
  uint32_t requests;
  uint32_t running;
  uint32_t queued;
  uint32_t pending_opens;
  uint32_t pending_closes;
  uint32_t hints;
  /* Bytes of bodies and kept answers.  */
  uint64_t body_bytes;
};

void galena_world_usage (const struct galena_world *world,
                         struct galena_world_usage *usage);

#endif
