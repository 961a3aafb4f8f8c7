/* Bodies of the messages by which an entry hands a packet to one agent that
   sends it to others as a probe: the number of these agents in one byte, their
   IP addresses in network byte order, and the packet.  */

#ifndef GALENAFORD_PROBE_SPREAD_H
#define GALENAFORD_PROBE_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Maximum number of agents in one message.  An agent that gets a few such
     messages in a tick can then still send all probes in it.  */
  GALENA_SPREAD_MAX = 64,
  /* Longest body: with the header of the message no longer than 1,200 bytes,
     the longest packet that every link carries whole.  */
  GALENA_SPREAD_BODY_BYTES = 1100
};

struct galena_probe_spread
{
  uint32_t count;
  uint32_t agents[GALENA_SPREAD_MAX];
  /* The packet; borrowed.  */
  const uint8_t *bytes;
  uint32_t size;
};

/* Returns how many agents a message with a packet of SIZE bytes can name.  */
uint32_t galena_spread_capacity (uint32_t size);

/* Writes SPREAD to BODY, of GALENA_SPREAD_BODY_BYTES; returns the number of
   bytes.  */
uint32_t galena_spread_write (uint8_t *body,
                              const struct galena_probe_spread *spread);

/* Reads SPREAD from the SIZE bytes of BODY; returns false when they are
   malformed.  */
bool galena_spread_read (const uint8_t *body, uint32_t size,
                         struct galena_probe_spread *spread);

#endif
