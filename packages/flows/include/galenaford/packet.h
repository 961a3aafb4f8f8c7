/* Packets of flows whose contents only their two ends can read.

   platform/ turns bytes into these and back; everything that decides works on
   these alone.  */

#ifndef GALENAFORD_PACKET_H
#define GALENAFORD_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/message.h>

/* Bits of galena_packet's flags.  */
enum galena_packet_flag
{
  /* First packet of a flow, from either end.  */
  GALENA_PACKET_OPENS = 1,
  /* The acknowledged sequence number is set.  */
  GALENA_PACKET_ACKNOWLEDGES = 2,
  /* The sender has no more data.  */
  GALENA_PACKET_ENDS = 4,
  /* The sender gives the flow up.  */
  GALENA_PACKET_RESETS = 8,
  /* The upstream does not hold the flow, or did not accept it.  */
  GALENA_PACKET_RETURNED = 16
};

struct galena_packet
{
  /* Ends of the flow as the packet names them.  */
  struct galena_endpoint source;
  struct galena_endpoint destination;
  uint32_t sequence;
  uint32_t acknowledged;
  /* Bytes of data behind the head.  */
  uint16_t data_size;
  uint8_t flags;
  /* The whole packet, head and data; borrowed from the receive buffer.  */
  const uint8_t *bytes;
  uint32_t size;
};

/* Names a flow: its caller's end and the address that the caller uses.  */
struct galena_flow_key
{
  struct galena_endpoint caller;
  struct galena_endpoint service;
};

enum
{
  /* Most bytes of an upstream that its caller can have acknowledged before the
     first packet of an open flow is seen.  */
  GALENA_PACKET_FIRST_WINDOW = 65536
};

/* Tells whether a caller that acknowledges ACKNOWLEDGED has opened its flow at
   the upstream whose first sequence number is SEQUENCE.  */
static inline bool
galena_packet_opens_at (uint32_t acknowledged, uint32_t sequence)
{
  return acknowledged - sequence <= GALENA_PACKET_FIRST_WINDOW;
}

/* Tells whether PACKET opens a flow from the caller's side.  */
static inline bool
galena_packet_is_open (const struct galena_packet *packet)
{
  return (packet->flags & (GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES))
         == GALENA_PACKET_OPENS;
}

/* Tells whether PACKET is an upstream's word that it accepts a flow.  */
static inline bool
galena_packet_is_accept (const struct galena_packet *packet)
{
  uint8_t both = GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES;

  return (packet->flags & both) == both;
}

#endif
