/* The bodies of messages that hand a packet to an agent for other agents.  */

#include <string.h>

#include <galenaford/probe_spread.h>

#include "network_order.h"

enum
{
  COUNT_BYTES = 1,
  AGENT_BYTES = 4
};

uint32_t
galena_spread_capacity (uint32_t size)
{
  uint32_t most = GALENA_SPREAD_BODY_BYTES - COUNT_BYTES;

  if (size >= most)
    return 0;
  most = (most - size) / AGENT_BYTES;
  return most < GALENA_SPREAD_MAX ? most : GALENA_SPREAD_MAX;
}

uint32_t
galena_spread_write (uint8_t *body, const struct galena_probe_spread *spread)
{
  uint8_t *at = body;

  *at++ = (uint8_t)spread->count;
  for (uint32_t i = 0; i < spread->count; i++)
    {
      network_put (at, AGENT_BYTES, spread->agents[i]);
      at += AGENT_BYTES;
    }
  memcpy (at, spread->bytes, spread->size);
  return (uint32_t)(at - body) + spread->size;
}

bool
galena_spread_read (const uint8_t *body, uint32_t size,
                    struct galena_probe_spread *spread)
{
  uint32_t head;

  if (size < COUNT_BYTES || body[0] > GALENA_SPREAD_MAX)
    return false;
  spread->count = body[0];
  head = COUNT_BYTES + spread->count * AGENT_BYTES;
  if (size <= head)
    return false;
  for (uint32_t i = 0; i < spread->count; i++)
    spread->agents[i] = network_get (
        body + COUNT_BYTES + (size_t)i * AGENT_BYTES, AGENT_BYTES);
  spread->bytes = body + head;
  spread->size = size - head;
  return true;
}
