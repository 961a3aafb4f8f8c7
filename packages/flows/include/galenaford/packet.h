/* Packets of opaque flows: entries and agents read their headers only; the
   contents are readable at the two ends of the flow alone.

   The code in platform/ decodes and encodes packets; all decisions are made on
   these structures alone.  */

#ifndef GALENAFORD_PACKET_H
#define GALENAFORD_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/message.h>

/* Bits of the flags of struct galena_packet.  */
enum galena_packet_flag
{
  /* First packet of a flow in its direction, as TCP's SYN.  */
  GALENA_PACKET_OPENS = 1,
  /* The acknowledged sequence number is valid, as with TCP's ACK.  */
  GALENA_PACKET_ACKNOWLEDGES = 2,
  /* The sender has no more data, as with TCP's FIN.  */
  GALENA_PACKET_ENDS = 4,
  /* The sender aborts the flow, as with TCP's RST.  */
  GALENA_PACKET_RESETS = 8,
  /* The upstream returns the packet: it does not hold the flow, or did not
     accept it.  */
  GALENA_PACKET_RETURNED = 16
};

struct galena_packet
{
  /* Both ends of the flow, as in the header of the packet.  */
  struct galena_endpoint source;
  struct galena_endpoint destination;
  uint32_t sequence;
  uint32_t acknowledged;
  /* Bytes of data after the header.  */
  uint16_t data_size;
  uint8_t flags;
  /* The whole packet, header and data, of SIZE bytes; borrowed from the
     receive buffer.  */
  const uint8_t *bytes;
  uint32_t size;
};

/* Identifies a flow: the address of its caller, and the address of the service
   that the caller sends to.  */
struct galena_flow_key
{
  struct galena_endpoint caller;
  struct galena_endpoint service_address;
};

enum
{
  /* Maximum number of bytes that the upstream can have sent, and the caller
     acknowledged, before the first packet of the open flow is seen.  */
  GALENA_PACKET_FIRST_WINDOW = 65536,
  /* Maximum distance between the sequence numbers of two packets of one flow
     and direction that are seen soon after each other: more than callers and
     upstreams have in flight.  Flows choose their first numbers at random, so
     those of another flow of the same addresses are rarely as near.  */
  GALENA_PACKET_NEAR = 131072
};

/* Returns whether ACKNOWLEDGED, which a caller acknowledges, shows that its
   flow is open at the upstream whose first sequence number is SEQUENCE.  */
static inline bool
galena_packet_confirms_open (uint32_t acknowledged, uint32_t sequence)
{
  return acknowledged - sequence <= GALENA_PACKET_FIRST_WINDOW;
}

/* Returns whether A and B, of the same direction, may be of one flow.  */
static inline bool
galena_packet_is_near (uint32_t a, uint32_t b)
{
  return a - b + GALENA_PACKET_NEAR <= 2U * GALENA_PACKET_NEAR;
}

/* Returns whether PACKET is the caller's first packet of a flow, as TCP's
   SYN.  */
static inline bool
galena_packet_is_opening (const struct galena_packet *packet)
{
  return (packet->flags & (GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES))
         == GALENA_PACKET_OPENS;
}

/* What is known of the sequence numbers of a flow's caller.  */
struct galena_caller_numbers
{
  /* Number of its first packet that was seen, and whether that was the opening
     packet.  */
  uint32_t first;
  bool opening_seen;
};

/* Returns whether PACKET, an opening packet, may be a copy of the one that
   opened the flow with NUMBERS, and not one of another flow of the same
   addresses.  */
static inline bool
galena_packet_is_copy (const struct galena_packet *packet,
                       struct galena_caller_numbers numbers)
{
  return numbers.opening_seen
             ? packet->sequence == numbers.first
             : numbers.first - packet->sequence <= GALENA_PACKET_NEAR;
}

/* Returns whether PACKET accepts a flow on behalf of the upstream, as TCP's
   SYN-ACK.  */
static inline bool
galena_packet_is_accept (const struct galena_packet *packet)
{
  uint8_t both = GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES;

  return (packet->flags & both) == both;
}

#endif
