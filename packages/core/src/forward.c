/* Forwarding of packets whose tag carries no upstream number, by an agent that
   does not know their flow.

   An entry sends such packets to the first upstream of the bucket's chain.
   Each agent that does not know the flow copies them to the owners that hold a
   lease on the bucket, and forwards them to the next upstream of the
   chain.  */

#include <galenaford/tag.h>

#include "agent.h"

enum
{
  /* A flow is not reported as lost sooner than this after a record change,
     since its owner may not have received the change.  */
  RECORD_CHANGE_GRACE_MS = 6000,
  /* Number of hops from which a packet is not forwarded any more.  */
  LAST_HOP = GALENA_CHAIN_MAX
};

static bool
is_self (const struct galena_world *world, uint32_t upstream)
{
  return galena_config_upstream (world->config, upstream)->number
         == world->options.upstream;
}

bool
galena_agent_is_candidate (const struct galena_world *world, uint32_t bucket)
{
  uint32_t chosen[GALENA_CANDIDATES_MAX];
  uint32_t count = galena_config_bucket_candidates (
      world->config, galena_agent_service (world), bucket, chosen);

  for (uint32_t i = 0; i < count && i < GALENA_HASH_ROUTED_CANDIDATES; i++)
    if (is_self (world, chosen[i]))
      return true;
  return false;
}

/* Returns the address of the agent after this one in the chain of BUCKET, of
   the first one when this agent is not in the chain, and none at its end.  */
static struct galena_endpoint
next_in_chain (const struct galena_world *world, uint32_t bucket)
{
  struct galena_endpoint none = { 0, 0 };
  uint32_t chain[GALENA_CHAIN_MAX];
  uint32_t count = galena_config_chain (
      world->config, galena_agent_service (world), bucket, chain);
  uint32_t at = 0;

  while (at < count && !is_self (world, chain[at]))
    at++;
  at = at == count ? 0 : at + 1;
  if (at >= count)
    return none;
  return galena_config_upstream (world->config, chain[at])->agent;
}

static void
forward_to (struct galena_world *world, const struct galena_message *message,
            struct galena_endpoint to, uint32_t hops)
{
  struct galena_message forwarded = *message;

  forwarded.peer = to;
  forwarded.hops = (uint8_t)hops;
  if (message->entry.ip == 0)
    forwarded.entry = message->peer;
  galena_world_count (world, GALENA_COUNT_FORWARDED);
  galena_world_send (world, &forwarded);
}

/* Copies MESSAGE to the owners that hold a lease on BUCKET.  Returns false
   when there are none.  */
static bool
copy_to_owners (struct galena_world *world,
                const struct galena_message *message, uint32_t bucket)
{
  const struct galena_lease *lease;
  bool found = false;

  for (uint32_t place = 0; place < GALENA_LEASES_PER_BUCKET; place++)
    {
      lease = galena_agent_lease (world->agent, bucket, place);
      if (lease == NULL)
        continue;
      forward_to (world, message, lease->owner, LAST_HOP);
      found = true;
    }
  return found;
}

static bool
is_past_change_grace (const struct galena_world *world)
{
  return galena_clock_elapsed_ms (world->agent->generation_since, world->now)
         >= RECORD_CHANGE_GRACE_MS;
}

static void
forward_along_chain (struct galena_world *world,
                     const struct galena_message *message,
                     const struct galena_service *service)
{
  uint32_t bucket = galena_service_bucket (service, message->flow);
  struct galena_endpoint next = next_in_chain (world, bucket);
  bool leased = copy_to_owners (world, message, bucket);

  if (next.ip != 0 && message->hops + 1 < LAST_HOP)
    forward_to (world, message, next, message->hops + 1u);
  else if (!leased && is_past_change_grace (world))
    galena_agent_send_lost (world, message);
}

void
galena_agent_forward (struct galena_world *world,
                      const struct galena_message *message)
{
  const struct galena_service *service = galena_agent_service (world);
  bool routed = galena_tag_upstream (message->tag) != 0;

  if (message->hops >= LAST_HOP)
    return;
  if (!routed && service != NULL)
    forward_along_chain (world, message, service);
  else
    galena_agent_send_lost (world, message);
}
