/* The bodies of lists of agents.  */

#include <stddef.h>

#include <galenaford/agent_list.h>

#include "network_order.h"

enum
{
  PART_AT = 4,
  PARTS_AT = 6,
  AGENTS_AT = 8,
  ADDRESS_BYTES = 4
};

uint32_t
galena_agent_list_write (uint8_t *body, const struct galena_agent_list *list)
{
  network_put (body, sizeof list->number, list->number);
  network_put (body + PART_AT, sizeof list->part, list->part);
  network_put (body + PARTS_AT, sizeof list->parts, list->parts);
  for (uint32_t i = 0; i < list->count; i++)
    network_put (body + AGENTS_AT + (size_t)i * ADDRESS_BYTES, ADDRESS_BYTES,
                 list->agents[i]);
  return AGENTS_AT + list->count * ADDRESS_BYTES;
}

bool
galena_agent_list_read (const uint8_t *body, uint32_t size,
                        struct galena_agent_list *list)
{
  if (body == NULL || size < AGENTS_AT || size > GALENA_AGENT_LIST_BODY_BYTES
      || (size - AGENTS_AT) % ADDRESS_BYTES != 0)
    return false;
  list->number = network_get (body, sizeof list->number);
  list->part = (uint16_t)network_get (body + PART_AT, sizeof list->part);
  list->parts = (uint16_t)network_get (body + PARTS_AT, sizeof list->parts);
  if (list->part >= list->parts || list->parts > GALENA_AGENT_LIST_PARTS_MAX)
    return false;
  list->count = (size - AGENTS_AT) / ADDRESS_BYTES;
  for (uint32_t i = 0; i < list->count; i++)
    list->agents[i] = network_get (
        body + AGENTS_AT + (size_t)i * ADDRESS_BYTES, ADDRESS_BYTES);
  return true;
}
