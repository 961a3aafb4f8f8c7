/* Leases on buckets.

   An agent that is no longer a candidate for a bucket after a record change,
   but still owns hash-routed flows of it, renews a lease with the agents of
   the bucket's current chain for as long as it has such flows.  The lease
   tells them where else packets of the bucket may belong.  */

#include <galenaford/tag.h>

#include "agent.h"

enum
{
  /* Most leases held for other agents.  */
  LEASES_MAX = 16384,
  /* Time between two renewals.  */
  LEASE_RENEW_MS = 2000,
  /* A lease that is not renewed expires after this long.  */
  LEASE_LIFE_MS = 7000,
  /* Size of a bucket number in a lease message.  */
  BUCKET_BYTES = 2,
  BUCKETS_PER_MESSAGE = GALENA_PART_BYTES / BUCKET_BYTES,
  /* Most agents that get leases in one renewal.  */
  BATCHES_MAX = 64
};

/* Bucket numbers to send to one agent, as in the body of a lease message.  */
struct lease_batch
{
  struct galena_endpoint to;
  uint32_t count;
  uint8_t bytes[GALENA_PART_BYTES];
};

enum galena_result
galena_agent_create_leases (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_table_options leases
      = { sizeof (struct galena_lease), LEASES_MAX };
  struct galena_map_options by_bucket = { LEASES_MAX, world->options.seed };
  struct galena_table_options batches
      = { sizeof (struct lease_batch), BATCHES_MAX };
  enum galena_result result = galena_table_create (&leases, &agent->leases);

  if (result != GALENA_OK)
    return result;
  result = galena_table_create (&batches, &agent->lease_batches);
  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_bucket, &agent->leases_by_bucket);
}

void
galena_agent_destroy_leases (struct galena_agent *agent)
{
  galena_table_destroy (agent->leases);
  galena_table_destroy (agent->lease_batches);
  galena_map_destroy (agent->leases_by_bucket);
}

static uint64_t
lease_key (uint32_t bucket, uint32_t position)
{
  return (uint64_t)bucket * GALENA_LEASES_PER_BUCKET + position;
}

static struct galena_lease *
lease_at (const struct galena_agent *agent, uint32_t bucket, uint32_t position)
{
  uint64_t packed;

  if (!galena_map_find (agent->leases_by_bucket, lease_key (bucket, position),
                        &packed))
    return NULL;
  return galena_table_get (agent->leases, galena_handle_unpack (packed));
}

const struct galena_lease *
galena_agent_lease (const struct galena_agent *agent, uint32_t bucket,
                    uint32_t position)
{
  return lease_at (agent, bucket, position);
}

/* Returns the lease of OWNER on BUCKET, created if needed; NULL when there is
   no room for it.  */
static struct galena_lease *
find_or_insert_lease (struct galena_agent *agent, uint32_t bucket,
                      struct galena_endpoint owner)
{
  struct galena_handle handle;
  struct galena_lease *lease;
  uint32_t free_position = GALENA_LEASES_PER_BUCKET;

  for (uint32_t position = 0; position < GALENA_LEASES_PER_BUCKET; position++)
    {
      lease = lease_at (agent, bucket, position);
      if (lease == NULL)
        free_position = position;
      else if (galena_endpoint_equal (lease->owner, owner))
        return lease;
    }
  if (free_position == GALENA_LEASES_PER_BUCKET)
    return NULL;
  lease = galena_table_insert (agent->leases, &handle);
  if (lease == NULL)
    return NULL;
  lease->bucket = bucket;
  lease->position = free_position;
  lease->owner = owner;
  galena_map_insert (agent->leases_by_bucket,
                     lease_key (bucket, free_position),
                     galena_handle_pack (handle));
  return lease;
}

void
galena_agent_on_lease (struct galena_world *world,
                       const struct galena_message *message)
{
  for (uint32_t at = 0; at + BUCKET_BYTES <= message->body_size;
       at += BUCKET_BYTES)
    {
      uint32_t bucket
          = ((uint32_t)message->body[at] << 8) | message->body[at + 1];
      struct galena_lease *lease = find_or_insert_lease (
          world->agent, bucket % GALENA_BUCKETS, message->peer);

      if (lease == NULL)
        continue;
      lease->until = galena_clock_add_ms (world->now, LEASE_LIFE_MS);
      galena_world_count (world, GALENA_COUNT_LEASES);
    }
}

void
galena_agent_run_expire_leases (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_lease *lease;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((lease = galena_table_next (agent->leases, &cursor, &handle)) != NULL)
    {
      if (!galena_clock_reached (world->now, lease->until))
        continue;
      galena_map_remove (agent->leases_by_bucket,
                         lease_key (lease->bucket, lease->position));
      galena_table_remove (agent->leases, handle);
    }
}

static void
send_batch (struct galena_world *world, struct lease_batch *batch)
{
  struct galena_message lease = { .type = GALENA_MESSAGE_LEASE,
                                  .side = GALENA_SIDE_PEER,
                                  .peer = batch->to,
                                  .body = batch->bytes,
                                  .body_size = batch->count * BUCKET_BYTES };

  galena_world_send (world, &lease);
  batch->count = 0;
}

/* Returns the batch for the agent at TO, created if needed; NULL when there
   are too many.  */
static struct lease_batch *
find_or_insert_batch (struct galena_agent *agent, struct galena_endpoint to)
{
  struct lease_batch *batch;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((batch = galena_table_next (agent->lease_batches, &cursor, &handle))
         != NULL)
    if (galena_endpoint_equal (batch->to, to))
      return batch;
  batch = galena_table_insert (agent->lease_batches, &handle);
  if (batch != NULL)
    batch->to = to;
  return batch;
}

static void
add_bucket (struct galena_world *world, struct galena_endpoint to,
            uint32_t bucket)
{
  struct lease_batch *batch = find_or_insert_batch (world->agent, to);
  uint8_t *at;

  if (batch == NULL)
    return;
  at = batch->bytes + (size_t)batch->count * BUCKET_BYTES;
  at[0] = (uint8_t)(bucket >> 8);
  at[1] = (uint8_t)bucket;
  batch->count++;
  if (batch->count == BUCKETS_PER_MESSAGE)
    send_batch (world, batch);
}

static void
send_batches (struct galena_world *world)
{
  struct galena_table *batches = world->agent->lease_batches;
  struct lease_batch *batch;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((batch = galena_table_next (batches, &cursor, &handle)) != NULL)
    {
      if (batch->count > 0)
        send_batch (world, batch);
      galena_table_remove (batches, handle);
    }
}

/* Adds BUCKET to the batches for the agents of its chain, unless this agent is
   a current candidate.  A former candidate that is still in the chain sends
   the lease too: an agent that has just started does not know the previous
   record, and so does not have the former candidate in its chain.  */
static void
add_to_batches (struct galena_world *world,
                const struct galena_service *service, uint32_t bucket)
{
  uint32_t chain[GALENA_CHAIN_MAX];
  uint32_t count = galena_config_chain (world->config, service, bucket, chain);

  if (galena_agent_is_candidate (world, bucket))
    return;
  for (uint32_t i = 0; i < count; i++)
    add_bucket (world, galena_config_upstream (world->config, chain[i])->agent,
                bucket);
}

static void
renew_leases (struct galena_world *world, const struct galena_service *service)
{
  uint64_t added[GALENA_BUCKETS / 64] = { 0 };
  struct galena_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((flow = galena_table_next (world->agent->flows, &cursor, &handle))
         != NULL)
    {
      uint32_t bucket = galena_service_bucket (service, flow->id);
      uint64_t bit = UINT64_C (1) << (bucket % 64);

      if (!flow->hash_routed || (added[bucket / 64] & bit) != 0)
        continue;
      added[bucket / 64] |= bit;
      add_to_batches (world, service, bucket);
    }
  send_batches (world);
}

/* Leases are renewed at once after a record change, then periodically.  */
void
galena_agent_run_renew_leases (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  const struct galena_service *service = galena_agent_service (world);

  if (service == NULL)
    return;
  if (agent->generation != service->generation)
    {
      agent->generation = service->generation;
      agent->generation_since = world->now;
      agent->next_lease_renewal = world->now;
    }
  if (!galena_clock_reached (world->now, agent->next_lease_renewal))
    return;
  agent->next_lease_renewal = galena_clock_add_ms (world->now, LEASE_RENEW_MS);
  renew_leases (world, service);
}
