/* Bodies of the messages that query an agent about several flows and reply to
   it: a row of ten bytes for each flow, in network byte order, and two bits
   for each answer.  */

#ifndef GALENAFORD_QUERY_BATCH_H
#define GALENAFORD_QUERY_BATCH_H

#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Maximum number of flows in one message: with its header it is no longer
     than 1,200 bytes, the longest packet that every link carries whole.  */
  GALENA_QUERY_BATCH_MAX = 110,
  GALENA_QUERY_FLOW_BYTES = 10,
  GALENA_QUERY_BODY_BYTES = GALENA_QUERY_BATCH_MAX * GALENA_QUERY_FLOW_BYTES,
  GALENA_ANSWER_BODY_BYTES = (GALENA_QUERY_BATCH_MAX + 3) / 4
};

/* A flow that is asked about.  */
struct galena_query_flow
{
  struct galena_endpoint caller;
  /* Sequence number that the caller acknowledged last.  */
  uint32_t acknowledged;
};

enum galena_query_answer
{
  GALENA_ANSWER_NONE,
  GALENA_ANSWER_OWNED,
  GALENA_ANSWER_DISOWNED,
  GALENA_ANSWER_UNSURE
};

/* Write flow INDEX to BODY, which has room for it, and read it.  */
void galena_query_put_flow (uint8_t *body, uint32_t index,
                            struct galena_query_flow flow);
struct galena_query_flow galena_query_get_flow (const uint8_t *body,
                                                uint32_t index);

/* Write answer INDEX to BODY, which was zero there, and read it.  */
void galena_query_put_answer (uint8_t *body, uint32_t index,
                              enum galena_query_answer answer);
enum galena_query_answer galena_query_get_answer (const uint8_t *body,
                                                  uint32_t index);

/* Returns the bytes of COUNT answers.  */
uint32_t galena_query_answer_bytes (uint32_t count);

#endif
