/* The bodies of batch queries and of the replies to them.  */

#include <galenaford/query_batch.h>

#include "network_order.h"

enum
{
  PORT_AT = 4,
  ACKNOWLEDGED_AT = 6,
  ANSWER_BITS = 2,
  ANSWERS_PER_BYTE = 4,
  ANSWER_MASK = 3
};

void
galena_query_put_flow (uint8_t *body, uint32_t index,
                       struct galena_query_flow flow)
{
  uint8_t *at = body + (size_t)index * GALENA_QUERY_FLOW_BYTES;

  network_put (at, sizeof flow.caller.ip, flow.caller.ip);
  network_put (at + PORT_AT, sizeof flow.caller.port, flow.caller.port);
  network_put (at + ACKNOWLEDGED_AT, sizeof flow.acknowledged,
               flow.acknowledged);
}

struct galena_query_flow
galena_query_get_flow (const uint8_t *body, uint32_t index)
{
  const uint8_t *at = body + (size_t)index * GALENA_QUERY_FLOW_BYTES;
  struct galena_query_flow flow;

  flow.caller.ip = network_get (at, sizeof flow.caller.ip);
  flow.caller.port
      = (uint16_t)network_get (at + PORT_AT, sizeof flow.caller.port);
  flow.acknowledged
      = network_get (at + ACKNOWLEDGED_AT, sizeof flow.acknowledged);
  return flow;
}

void
galena_query_put_answer (uint8_t *body, uint32_t index,
                         enum galena_query_answer answer)
{
  body[index / ANSWERS_PER_BYTE]
      |= (uint8_t)((uint32_t)answer
                   << (ANSWER_BITS * (index % ANSWERS_PER_BYTE)));
}

enum galena_query_answer
galena_query_get_answer (const uint8_t *body, uint32_t index)
{
  uint32_t byte = body[index / ANSWERS_PER_BYTE];

  return (enum galena_query_answer) (
      (byte >> (ANSWER_BITS * (index % ANSWERS_PER_BYTE))) & ANSWER_MASK);
}

uint32_t
galena_query_answer_bytes (uint32_t count)
{
  return (count + ANSWERS_PER_BYTE - 1) / ANSWERS_PER_BYTE;
}
