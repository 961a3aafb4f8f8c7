/* Integers in network byte order, in the bodies of messages.  */

#ifndef GALENAFORD_NETWORK_ORDER_H
#define GALENAFORD_NETWORK_ORDER_H

#include <stdint.h>

/* Writes the lowest BYTES bytes of VALUE to AT.  */
static inline void
network_put (uint8_t *at, uint32_t bytes, uint32_t value)
{
  for (uint32_t i = 0; i < bytes; i++)
    at[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
}

/* Returns the integer of BYTES bytes, at most four, at AT.  */
static inline uint32_t
network_get (const uint8_t *at, uint32_t bytes)
{
  uint32_t value = 0;

  for (uint32_t i = 0; i < bytes; i++)
    value = (value << 8) | at[i];
  return value;
}

#endif
