/* Bodies of the messages in which an entry lists agents to another one.  A
   list that is longer than one message has several parts.  */

#ifndef GALENAFORD_AGENT_LIST_H
#define GALENAFORD_AGENT_LIST_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Maximum number of agents in one part: with its header a message is no
     longer than 1,200 bytes, the longest packet that every link carries
     whole.  */
  GALENA_AGENT_LIST_MAX = 260,
  /* Maximum number of parts of one list: those of 4,096 agents.  */
  GALENA_AGENT_LIST_PARTS_MAX = 16,
  GALENA_AGENT_LIST_BODY_BYTES = 8 + 4 * GALENA_AGENT_LIST_MAX
};

/* One part of a list.  */
struct galena_agent_list
{
  /* The same in all parts of a list, and another one in the next list of the
     sender.  */
  uint32_t number;
  /* Index of the part, and the number of parts.  */
  uint16_t part;
  uint16_t parts;
  /* IP addresses of agents.  */
  uint32_t count;
  uint32_t agents[GALENA_AGENT_LIST_MAX];
};

/* Writes LIST to BODY, which has GALENA_AGENT_LIST_BODY_BYTES; returns the
   bytes used.  */
uint32_t galena_agent_list_write (uint8_t *body,
                                  const struct galena_agent_list *list);

/* Reads the SIZE bytes of BODY into *LIST; returns false when they are not
   one part of a list.  */
bool galena_agent_list_read (const uint8_t *body, uint32_t size,
                             struct galena_agent_list *list);

#endif
